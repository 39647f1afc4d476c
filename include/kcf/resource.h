/*
 * resource - kinds of resources that operators declare, and their fields.
 */
#ifndef KCF_RESOURCE_H
#define KCF_RESOURCE_H

#include <kcf/schema.h>

typedef enum resource_kind {
	KIND_SITE,
	KIND_DATA_CENTRE,
	KIND_HOST,
	KIND_SERVICE,
	KIND_UPSTREAM,
	KIND_MODEL,
	KIND_CUSTOMER,
	KIND_COUNT,
} resource_kind_t;

/* Parallel to resource_kind_t, as written in the operators' interface. */
extern const char *const resource_kind_string[];

/*
 * resource_kind_of - kind of a name, or KIND_COUNT.
 */
resource_kind_t resource_kind_of(str_t name);

/*
 * resource_fields - fields of a kind's body.
 */
const schema_field_t *resource_fields(resource_kind_t kind);

#endif
