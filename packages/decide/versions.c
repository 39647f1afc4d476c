#include <kcf/versions.h>

#include <assert.h>
#include <kcf/str.h>
#include <string.h>

/* Parallel to versions_basis_t. */
static const char *const basis_text[] = { "unknown", "watched", "recorded",
					  "first",   "copied",	"vouched" };

static void version_free_(gpointer p)
{
	version_t *version = p;

	g_free(version->service);
	g_free(version->name);
	g_free(version);
}

uint32_t versions_key(const char *service, const char *name)
{
	uint64_t seed = str_hash64(str_of(service), 0);
	uint32_t key;

	assert(service && name);
	key = (uint32_t)str_hash64(str_of(name), seed);
	return key ? key : 1;
}

void versions_init(versions_t *v, mstime_t now)
{
	assert(v);
	*v = (versions_t){ .life_ms = VERSIONS_STREAM_LIFE_MS,
			   .watched_from = now,
			   .seen_from = VERSIONS_NOWHERE };
	v->by_key = g_hash_table_new_full(NULL, NULL, NULL, version_free_);
	v->unnamed = g_hash_table_new(NULL, NULL);
}

void versions_finish(versions_t *v)
{
	assert(v);
	g_hash_table_destroy(v->by_key);
	g_hash_table_destroy(v->unnamed);
}

void versions_set_life(versions_t *v, mstime_t life_ms)
{
	assert(v);
	v->life_ms = MAX(life_ms, VERSIONS_STREAM_LIFE_MS);
}

void versions_miss(versions_t *v, mstime_t now)
{
	assert(v);
	v->watched_from = now;
	v->basis = VERSIONS_UNKNOWN;
	v->record_holds = false;
	v->was_complete = false;
}

void versions_skip(versions_t *v, mstime_t now)
{
	bool known;

	assert(v);
	known = v->was_complete || versions_is_complete(v, now);
	versions_miss(v, now);
	v->seen_from = VERSIONS_NOWHERE;
	v->was_complete = known;
	v->rescanned = false;
	v->asks = 0;
	v->next_ask_at = now;
}

void versions_restore(versions_t *v, mstime_t now)
{
	versions_skip(v, now);
	v->restored = true;
}

/* The record and the entries that were seen lack none between them. */
static void complete_by_record_(versions_t *v)
{
	if (!v->record_holds || v->seen_from == VERSIONS_NOWHERE ||
	    v->seen_from > v->mark.offset)
		return;
	v->basis = v->mark.present ? VERSIONS_RECORDED : VERSIONS_FIRST;
	v->was_complete = false;
}

void versions_see_from(versions_t *v, uint64_t offset, mstime_t now)
{
	assert(v);
	if (v->seen_from == VERSIONS_NOWHERE)
		v->watched_from = now;
	v->seen_from = offset;
	complete_by_record_(v);
}

void versions_watch(versions_t *v, mstime_t to)
{
	assert(v);
	v->watched_to = MAX(v->watched_to, to);
}

static void copy_complete_(versions_t *v, uint64_t seen_from, mstime_t now)
{
	versions_see_from(v, MIN(v->seen_from, seen_from), now);
	if (versions_is_complete(v, now))
		return;
	v->basis = VERSIONS_COPIED;
	v->was_complete = false;
}

void versions_copy(versions_t *v, const versions_copy_t *copy, mstime_t now)
{
	assert(v && copy);
	if (copy->complete) {
		copy_complete_(v, copy->seen_from, now);
	} else if (copy->seen_from == VERSIONS_NOWHERE) {
		/* It has passed nothing over since it began its scan. */
		return;
	} else if (copy->seen_from <= v->seen_from) {
		versions_see_from(v, copy->seen_from, now);
	} else if (copy->seen_from > copy->known_to) {
		versions_skip(v, now);
		versions_see_from(v, copy->seen_from, now);
		versions_rescan(v, copy->missed_ms, now);
	}
}

bool versions_wants_entries(const versions_t *v, mstime_t now, uint64_t *from)
{
	assert(v && from);
	*from = v->mark.offset;
	return !versions_is_complete(v, now) && v->record_holds &&
	       v->seen_from != VERSIONS_NOWHERE && v->seen_from > *from;
}

void versions_see_earlier(versions_t *v, uint64_t from)
{
	assert(v);
	v->seen_from = MIN(v->seen_from, from);
	complete_by_record_(v);
}

void versions_lack_entries(versions_t *v)
{
	assert(v);
	v->record_holds = false;
}

bool versions_is_restoring(const versions_t *v)
{
	assert(v);
	return v->was_complete;
}

void versions_rescan(versions_t *v, mstime_t missed_ms, mstime_t now)
{
	assert(v);
	if (!v->was_complete)
		return;
	if (missed_ms > VERSIONS_MISSED_MAX_MS)
		versions_miss(v, now);
	else
		v->rescanned = true;
}

static uint32_t seconds_(mstime_t now)
{
	return (uint32_t)(now / MSEC_PER_SEC);
}

/* Whether a stream of a version was told whose entry is not known. */
static bool has_unnamed_(const versions_t *v, mstime_t now)
{
	GHashTableIter iter;
	gpointer at;

	g_hash_table_iter_init(&iter, v->unnamed);
	while (g_hash_table_iter_next(&iter, NULL, &at)) {
		if ((seconds_(now) - GPOINTER_TO_UINT(at)) * MSEC_PER_SEC <=
		    v->life_ms)
			return true;
		g_hash_table_iter_remove(&iter);
	}
	return false;
}

bool versions_take_ask(versions_t *v, mstime_t now)
{
	assert(v);
	if (!v->was_complete || now < v->next_ask_at)
		return false;
	if (v->asks < VERSIONS_ASKS) {
		v->asks++;
		v->next_ask_at = now + VERSIONS_ASK_INTERVAL_MS;
		return true;
	}
	if (v->rescanned && !has_unnamed_(v, now)) {
		v->basis = VERSIONS_VOUCHED;
		v->was_complete = false;
	}
	return false;
}

void versions_hear(versions_t *v, uint32_t key, mstime_t now)
{
	assert(v);
	if (key && !versions_find(v, key))
		g_hash_table_insert(v->unnamed, GUINT_TO_POINTER(key),
				    GUINT_TO_POINTER(seconds_(now)));
}

bool versions_is_possible(const versions_t *v, const version_t *version,
			  mstime_t now)
{
	assert(v && version);
	return version->seen && now - version->seen_at <= v->life_ms;
}

static void note_seen_(version_t *version, mstime_t now)
{
	version->seen_at = version->seen ? MAX(version->seen_at, now) : now;
	version->seen = true;
}

/* The entry of a version, created if missing. */
static version_t *get_(versions_t *v, const char *service, const char *name)
{
	uint32_t key = versions_key(service, name);
	version_t *version =
		g_hash_table_lookup(v->by_key, GUINT_TO_POINTER(key));

	if (version)
		return version;
	version = g_new0(version_t, 1);
	version->key = key;
	version->service = g_strdup(service);
	version->name = g_strdup(name);
	g_hash_table_insert(v->by_key, GUINT_TO_POINTER(key), version);
	g_hash_table_remove(v->unnamed, GUINT_TO_POINTER(key));
	return version;
}

bool versions_observe(versions_t *v, const char *service, const char *name,
		      mstime_t now)
{
	version_t *version;
	bool fresh;

	assert(v && service && name);
	version = get_(v, service, name);
	fresh = !versions_is_possible(v, version, now);
	note_seen_(version, now);
	return fresh;
}

const version_t *versions_find(const versions_t *v, uint32_t key)
{
	assert(v);
	return g_hash_table_lookup(v->by_key, GUINT_TO_POINTER(key));
}

int versions_count(const versions_t *v, const char *service, mstime_t now,
		   uint32_t *only)
{
	GHashTableIter iter;
	gpointer value;
	int count = 0;

	assert(v && service && only);
	g_hash_table_iter_init(&iter, v->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const version_t *version = value;

		if (!versions_is_possible(v, version, now) ||
		    strcmp(version->service, service) != 0)
			continue;
		*only = version->key;
		count++;
	}
	return count;
}

bool versions_is_any_mixed(const versions_t *v, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t only;

	assert(v);
	g_hash_table_iter_init(&iter, v->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (versions_count(v, ((const version_t *)value)->service, now,
				   &only) > 1)
			return true;
	}
	return false;
}

versions_basis_t versions_basis(const versions_t *v, mstime_t now)
{
	assert(v);
	if (v->basis != VERSIONS_UNKNOWN)
		return v->basis;
	return MIN(now, v->watched_to) - v->watched_from > v->life_ms
		       ? VERSIONS_WATCHED
		       : VERSIONS_UNKNOWN;
}

const char *versions_basis_text(const versions_t *v, mstime_t now)
{
	return basis_text[versions_basis(v, now)];
}

bool versions_is_complete(const versions_t *v, mstime_t now)
{
	return versions_basis(v, now) != VERSIONS_UNKNOWN;
}

void versions_begin_record(versions_t *v)
{
	GHashTableIter iter;
	gpointer value;

	assert(v);
	g_hash_table_iter_init(&iter, v->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((version_t *)value)->recorded = false;
}

void versions_add_marked(versions_t *v, const char *service, const char *name,
			 mstime_t now)
{
	version_t *version;

	assert(v && service && name);
	version = get_(v, service, name);
	/* Its last upstream may have left just before this node started. */
	if (!version->seen || !versions_is_complete(v, now))
		note_seen_(version, now);
}

void versions_add_recorded(versions_t *v, const char *service, const char *name,
			   uint64_t epoch, mstime_t now)
{
	version_t *version;

	versions_add_marked(v, service, name, now);
	version = get_(v, service, name);
	version->recorded = true;
	version->recorded_epoch = epoch;
}

static bool is_any_recorded_(const versions_t *v)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, v->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const version_t *)value)->recorded)
			return true;
	}
	return false;
}

/* Whether a mark, or the want of one, says which versions there were. */
static bool holds_(const versions_t *v, const versions_mark_t *mark,
		   uint64_t read_epoch)
{
	if (mark->present)
		return mark->epoch >= read_epoch;
	return !is_any_recorded_(v) && read_epoch <= VERSIONS_FIRST_EPOCH;
}

void versions_end_record(versions_t *v, const versions_mark_t *mark,
			 uint64_t read_epoch, mstime_t now)
{
	assert(v && mark);
	if (mark->epoch != v->mark.epoch || mark->offset != v->mark.offset)
		v->marked_at = now;
	v->mark = *mark;
	v->record_holds = holds_(v, mark, read_epoch);
	if (!v->record_holds)
		return;
	if (mark->present && !mark->counted) {
		v->basis = VERSIONS_RECORDED;
		v->was_complete = false;
	} else {
		complete_by_record_(v);
	}
}

static void remove_obsolete_(versions_t *v, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, v->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const version_t *version = value;

		if (!version->recorded &&
		    !versions_is_possible(v, version, now))
			g_hash_table_iter_remove(&iter);
	}
}

static bool needs_(const versions_t *v, const version_t *version,
		   uint64_t epoch, mstime_t now, versions_change_kind_t kind)
{
	bool current = version->recorded && version->recorded_epoch >= epoch;

	if (kind == VERSIONS_ADD)
		return versions_is_possible(v, version, now) && !current;
	return !versions_is_possible(v, version, now) && version->recorded;
}

static version_t *find_change_(const versions_t *v, uint64_t epoch,
			       mstime_t now, versions_change_kind_t kind)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, v->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (needs_(v, value, epoch, now, kind))
			return value;
	}
	return NULL;
}

/* Whether the record is not marked as complete up to a short while ago. */
static bool needs_mark_(const versions_t *v, uint64_t epoch,
			mstime_t mark_age_ms, mstime_t now)
{
	bool marked = v->mark.present && v->mark.epoch >= epoch;

	return versions_is_complete(v, now) &&
	       g_hash_table_size(v->by_key) > 0 &&
	       (!marked || !v->mark.counted ||
		now - v->marked_at >= mark_age_ms);
}

bool versions_next_change(versions_t *v, uint64_t epoch, mstime_t mark_age_ms,
			  mstime_t now, versions_change_t *change)
{
	bool needs_mark;

	assert(v && change);
	remove_obsolete_(v, now);
	needs_mark = needs_mark_(v, epoch, mark_age_ms, now);
	/* For older builds, a first record without the mark would look like an
	 * incomplete one; that of a restored log is one until it has all.
	 */
	change->kind = VERSIONS_MARK;
	change->version = NULL;
	if (!v->mark.present && !v->restored && !is_any_recorded_(v) &&
	    versions_is_complete(v, now))
		return needs_mark;
	change->kind = VERSIONS_ADD;
	change->version = find_change_(v, epoch, now, VERSIONS_ADD);
	if (change->version)
		return true;
	change->kind = VERSIONS_MARK;
	if (needs_mark)
		return true;
	change->kind = VERSIONS_REMOVE;
	change->version = find_change_(v, epoch, now, VERSIONS_REMOVE);
	return change->version != NULL;
}

void versions_apply_change(versions_t *v, const versions_change_t *change,
			   uint64_t epoch, mstime_t now)
{
	assert(v && change);
	switch (change->kind) {
	case VERSIONS_ADD:
		change->version->recorded = true;
		change->version->recorded_epoch = epoch;
		break;
	case VERSIONS_REMOVE:
		change->version->recorded = false;
		break;
	case VERSIONS_MARK:
		v->mark =
			(versions_mark_t){ true, epoch, true, change->offset };
		v->marked_at = now;
		break;
	}
}
