/*
 * json_text - JSON trees as texts of the log and of answers.
 */
#ifndef KCF_JSON_TEXT_H
#define KCF_JSON_TEXT_H

#include <jansson.h>

/*
 * json_text - compact text of a tree, to be freed with g_free; the tree's
 * reference is taken.
 */
char *json_text(json_t *root);

#endif
