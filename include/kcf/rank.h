/*
 * rank - weighted rendezvous hashing.
 *
 * Every node computes the same order from the same names and weights; a change
 * of one weight moves only the keys that go to or come from that entry.
 */
#ifndef KCF_RANK_H
#define KCF_RANK_H

#include <stdint.h>

/*
 * rank_score - score of an entry for a key; the highest score ranks first.
 * @weight: share of the keys, relative to the others; 0 or less never ranks
 *
 * Return: a positive score, or 0 for an entry that never ranks.
 */
double rank_score(uint64_t key, uint64_t entry, double weight);

#endif
