/*
 * schema - checks JSON objects against tables of fields.
 *
 * Settings files and resource bodies are both described by such tables. Every
 * fault of an object is reported, not only the first one.
 */
#ifndef KCF_SCHEMA_H
#define KCF_SCHEMA_H

#include <glib.h>
#include <jansson.h>
#include <kcf/str.h>

typedef enum schema_type {
	SCHEMA_STRING,
	SCHEMA_INT,
	SCHEMA_REAL,
	SCHEMA_BOOL,
	SCHEMA_CHOICE,	/* one of a list of words */
	SCHEMA_ADDRESS, /* numeric ip:port */
	SCHEMA_URL,	/* http or https */
	SCHEMA_HEX,	/* hexadecimal digits; min and max count bytes */
	SCHEMA_NAME,	/* name of another resource, see ref */
	SCHEMA_STRINGS, /* list of strings */
	SCHEMA_NAMES,	/* list of names of resources, see ref */
	SCHEMA_HEXES,	/* list of SCHEMA_HEX */
	SCHEMA_OBJECT,	/* object described by sub */
	SCHEMA_OBJECTS, /* list of objects described by sub */
} schema_type_t;

typedef struct schema_field {
	const char *name;
	schema_type_t type;
	bool required;
	double min; /* of a number, or of a length */
	double max;
	const char *const *choices;	/* NULL at the end */
	const char *ref;		/* kind of the named resource */
	const struct schema_field *sub; /* entry without a name at the end */
} schema_field_t;

/* One fault: where and what. */
typedef struct schema_fault {
	char *path; /* dotted */
	char *text;
} schema_fault_t;

/*
 * schema_faults_new - an empty list of schema_fault_t that frees its entries.
 */
GPtrArray *schema_faults_new(void);

/*
 * schema_fault_add - appends one fault.
 */
void schema_fault_add(GPtrArray *faults, const char *path, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);

/*
 * schema_check - checks an object and everything in it.
 * @fields: ended by an entry without a name
 * @path:   prefix of the paths in faults; "" at the top
 * @faults: receives the faults
 *
 * Return: true when the object has no fault.
 */
bool schema_check(const json_t *object, const schema_field_t *fields,
		  const char *path, GPtrArray *faults);

/*
 * schema_each_ref - calls fn for each name of another resource in a checked
 * object.
 */
void schema_each_ref(const json_t *object, const schema_field_t *fields,
		     void (*fn)(void *arg, const char *field, const char *kind,
				const char *name),
		     void *arg);

/*
 * schema_name_ok - whether a text may name a resource: 1 to 63 of lower-case
 * letters, digits, dots, dashes and underscores, a letter or digit first.
 */
bool schema_name_ok(str_t name);

#endif
