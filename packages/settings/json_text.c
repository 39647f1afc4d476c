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
