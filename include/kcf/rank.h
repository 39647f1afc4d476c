/*
 * rank - weighted rendezvous hashing.
 *
 * Every node computes the same order from the same entries and weights. A
 * change of one weight moves only keys that leave or join that entry.
 */
#ifndef KCF_RANK_H
#define KCF_RANK_H

#include <stdint.h>

/*
 * rank_score - score of an entry for a key; the entry with the highest score
 * is the first by rank.
 * @weight: determines the entry's share of the keys; one of weight 0 or less
 *          gets none
 *
 * Return: a positive score, or 0 if the weight is not positive.
 */
double rank_score(uint64_t key, uint64_t entry, double weight);

#endif
