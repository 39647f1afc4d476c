/*
 * toml_shim - C entry to the TOML reader, which is a C++ library.
 */
#ifndef KCF_PRIVATE_TOML_SHIM_H
#define KCF_PRIVATE_TOML_SHIM_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct toml_shim_result {
	char *json;  /* the document, or NULL when it could not be read */
	char *lines; /* JSON object of dotted path to line number */
	char *error; /* text of the fault, or NULL */
	int error_line;
} toml_shim_result_t;

/*
 * toml_shim_parse - reads a TOML document.
 * @out: receives strings to be freed with free
 */
void toml_shim_parse(const char *text, size_t len, toml_shim_result_t *out);

#ifdef __cplusplus
}
#endif

#endif
