/*
 * json_text - JSON trees as texts of the log and of answers, and numbers in
 * them.
 */
#ifndef KCF_JSON_TEXT_H
#define KCF_JSON_TEXT_H

#include <jansson.h>
#include <stdint.h>

/*
 * json_text - compact text of a tree, to be freed with g_free; the tree's
 * reference is taken.
 */
char *json_text(json_t *root);

/*
 * json_get_uint - a member that is a whole number from 0 on, else 0.
 */
uint64_t json_get_uint(const json_t *object, const char *name);

#endif
