#include <kcf/address.h>
#include <kcf/schema.h>

#include <math.h>
#include <stdarg.h>
#include <string.h>

#define NAME_MAX_LEN 63

typedef struct check {
	const schema_field_t *field;
	const char *path;
	GPtrArray *faults;
} check_t;

static void check_value_(const check_t *c, const json_t *v);
static void check_list_(const check_t *c, const json_t *v,
			schema_type_t item_type);

static void free_fault_(gpointer p)
{
	schema_fault_t *f = p;

	g_free(f->path);
	g_free(f->text);
	g_free(f);
}

GPtrArray *schema_faults_new(void)
{
	return g_ptr_array_new_with_free_func(free_fault_);
}

void schema_fault_add(GPtrArray *faults, const char *path, const char *fmt, ...)
{
	schema_fault_t *f = g_new0(schema_fault_t, 1);
	va_list ap;

	va_start(ap, fmt);
	f->path = g_strdup(path);
	f->text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(faults, f);
}

bool schema_name_ok(str_t name)
{
	if (!name.len || name.len > NAME_MAX_LEN)
		return false;
	for (size_t i = 0; i < name.len; i++) {
		char c = name.data[i];

		if (g_ascii_islower(c) || g_ascii_isdigit(c))
			continue;
		if (!i || !strchr("-_.", c) || !c)
			return false;
	}
	return true;
}

static const schema_field_t *find_(const schema_field_t *fields,
				   const char *name)
{
	for (const schema_field_t *f = fields; f->name; f++) {
		if (!strcmp(f->name, name))
			return f;
	}
	return NULL;
}

static char *join_(const char *path, const char *name)
{
	return *path ? g_strdup_printf("%s.%s", path, name) : g_strdup(name);
}

bool schema_check(const json_t *object, const schema_field_t *fields,
		  const char *path, GPtrArray *faults)
{
	guint before = faults->len;
	const char *key;
	json_t *value;

	if (!json_is_object(object)) {
		schema_fault_add(faults, path, "must be a table of fields");
		return false;
	}
	json_object_foreach ((json_t *)object, key, value) {
		const schema_field_t *f = find_(fields, key);
		char *at = join_(path, key);

		if (f)
			check_value_(&(check_t){ f, at, faults }, value);
		else
			schema_fault_add(faults, at, "unknown field");
		g_free(at);
	}
	for (const schema_field_t *f = fields; f->name; f++) {
		char *at;

		if (!f->required || json_object_get(object, f->name))
			continue;
		at = join_(path, f->name);
		schema_fault_add(faults, at, "is required");
		g_free(at);
	}
	return faults->len == before;
}

static void check_range_(const check_t *c, double v, const char *what)
{
	const schema_field_t *f = c->field;

	if (f->min == 0 && f->max == 0)
		return;
	if (v >= f->min && v <= f->max)
		return;
	schema_fault_add(c->faults, c->path, "%s must be from %g to %g", what,
			 f->min, f->max);
}

static void check_hex_(const check_t *c, str_t s)
{
	for (size_t i = 0; i < s.len; i++) {
		if (!g_ascii_isxdigit(s.data[i])) {
			schema_fault_add(c->faults, c->path,
					 "must be hexadecimal digits");
			return;
		}
	}
	if (s.len % 2)
		schema_fault_add(c->faults, c->path,
				 "must have two digits a byte");
	else
		check_range_(c, (double)s.len / 2, "number of bytes");
}

static void check_choice_(const check_t *c, const char *word)
{
	GString *list;

	for (const char *const *w = c->field->choices; *w; w++) {
		if (!strcmp(*w, word))
			return;
	}
	list = g_string_new(NULL);
	for (const char *const *w = c->field->choices; *w; w++)
		g_string_append_printf(list, "%s%s", list->len ? ", " : "", *w);
	schema_fault_add(c->faults, c->path, "must be one of: %s", list->str);
	g_string_free(list, TRUE);
}

static void check_string_(const check_t *c, const json_t *v)
{
	str_t s = { json_string_value(v), json_string_length(v) };
	struct sockaddr_in sa;

	if (memchr(s.data, '\0', s.len)) {
		schema_fault_add(c->faults, c->path, "holds a zero byte");
		return;
	}
	switch (c->field->type) {
	case SCHEMA_STRING:
	case SCHEMA_STRINGS:
		check_range_(c, (double)s.len, "length");
		break;
	case SCHEMA_CHOICE:
		check_choice_(c, s.data);
		break;
	case SCHEMA_ADDRESS:
		if (!address_parse(s.data, &sa))
			schema_fault_add(c->faults, c->path,
					 "must be a numeric ip:port");
		break;
	case SCHEMA_URL:
		if (!g_str_has_prefix(s.data, "http://") &&
		    !g_str_has_prefix(s.data, "https://"))
			schema_fault_add(c->faults, c->path,
					 "must be an http or https address");
		break;
	case SCHEMA_HEX:
		check_hex_(c, s);
		break;
	case SCHEMA_NAME:
		if (!schema_name_ok(s))
			schema_fault_add(c->faults, c->path,
					 "is not a valid name");
		break;
	default:
		break;
	}
}

static void check_value_(const check_t *c, const json_t *v)
{
	switch (c->field->type) {
	case SCHEMA_INT:
		if (!json_is_integer(v))
			schema_fault_add(c->faults, c->path,
					 "must be a whole number");
		else
			check_range_(c, (double)json_integer_value(v), "it");
		break;
	case SCHEMA_REAL:
		if (!json_is_number(v) || !isfinite(json_number_value(v)))
			schema_fault_add(c->faults, c->path,
					 "must be a number");
		else
			check_range_(c, json_number_value(v), "it");
		break;
	case SCHEMA_BOOL:
		if (!json_is_boolean(v))
			schema_fault_add(c->faults, c->path,
					 "must be true or false");
		break;
	case SCHEMA_OBJECT:
		schema_check(v, c->field->sub, c->path, c->faults);
		break;
	case SCHEMA_STRINGS:
		check_list_(c, v, SCHEMA_STRING);
		break;
	case SCHEMA_NAMES:
		check_list_(c, v, SCHEMA_NAME);
		break;
	case SCHEMA_HEXES:
		check_list_(c, v, SCHEMA_HEX);
		break;
	case SCHEMA_OBJECTS:
		check_list_(c, v, SCHEMA_OBJECT);
		break;
	default:
		if (!json_is_string(v))
			schema_fault_add(c->faults, c->path,
					 "must be a string");
		else
			check_string_(c, v);
	}
}

static void check_list_(const check_t *c, const json_t *v,
			schema_type_t item_type)
{
	schema_field_t item = *c->field;
	size_t i;
	json_t *entry;

	if (!json_is_array(v)) {
		schema_fault_add(c->faults, c->path, "must be a list");
		return;
	}
	item.type = item_type;
	json_array_foreach ((json_t *)v, i, entry) {
		char *at = g_strdup_printf("%s[%zu]", c->path, i);

		check_value_(&(check_t){ &item, at, c->faults }, entry);
		g_free(at);
	}
}

void schema_each_ref(const json_t *object, const schema_field_t *fields,
		     void (*fn)(void *arg, const char *field, const char *kind,
				const char *name),
		     void *arg)
{
	for (const schema_field_t *f = fields; f->name; f++) {
		json_t *v = json_object_get(object, f->name);
		size_t i;
		json_t *entry;

		if (!v)
			continue;
		if (f->type == SCHEMA_NAME && f->ref)
			fn(arg, f->name, f->ref, json_string_value(v));
		if (f->type != SCHEMA_NAMES || !f->ref)
			continue;
		json_array_foreach (v, i, entry)
			fn(arg, f->name, f->ref, json_string_value(entry));
	}
}
