#include <kcf/json_text.h>

#include <glib.h>
#include <stdlib.h>

char *json_text(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(root);
	return copy;
}

uint64_t json_get_uint(const json_t *object, const char *name)
{
	json_int_t n = json_integer_value(json_object_get(object, name));

	return (uint64_t)MAX(0, n);
}
