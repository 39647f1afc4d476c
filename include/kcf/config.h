/*
 * config - the fleet's resources, a state machine over the platform's log.
 *
 * The order of the log decides: a proposal is applied if the version it is
 * based on is still the resource's version when its record is reached, so every
 * node computes the same state. The version of a resource is the offset of the
 * record that changed it last. Nothing here reads a clock or a socket.
 */
#ifndef KCF_CONFIG_H
#define KCF_CONFIG_H

#include <glib.h>
#include <jansson.h>
#include <kcf/clock.h>
#include <kcf/resource.h>

typedef enum config_verdict {
	CONFIG_APPLIED,	 /* in force */
	CONFIG_CONFLICT, /* based on an older version of the resource */
	CONFIG_INVALID,	 /* malformed body, or broken references */
	CONFIG_REPEATED, /* duplicate of an earlier proposal */
	CONFIG_SNAPSHOT, /* chunk of a snapshot; changes nothing */
	CONFIG_STALE,	 /* offset was applied before; ignored */
	CONFIG_UNREADABLE,
	CONFIG_VERDICT_COUNT,
} config_verdict_t;

/* Parallel to config_verdict_t. */
extern const char *const config_verdict_string[];

typedef struct resource {
	resource_kind_t kind;
	char *name;
	uint64_t version;  /* offset of the record that changed it last */
	uint64_t recorded; /* unused */
	json_t *body;	   /* NULL once deleted */
	char *operator_name;
	char *reason;
	mstime_t changed_at; /* wall time at the proposing node */
} resource_t;

/* One entry of the audit trail. */
typedef struct audit_entry {
	uint64_t offset;
	config_verdict_t verdict;
	char *id;
	resource_kind_t kind;
	char *name;
	char *operator_name;
	char *reason;
	mstime_t proposed_at; /* wall time at the proposing node */
	json_t *before;
	json_t *after;
} audit_entry_t;

/* Result of applying one record. */
typedef struct config_result {
	config_verdict_t verdict;
	char id[64];
	uint64_t version;  /* of the resource after the record */
	GPtrArray *faults; /* schema_fault_t, or NULL */
} config_result_t;

/* Snapshot that is being assembled from its chunks in the stream. */
typedef struct snapshot_chunks {
	char id[64];
	int count;	  /* chunks of the snapshot */
	int received;	  /* in order, so far */
	uint64_t applied; /* offset of the last record it includes */
	json_t *resources;
} snapshot_chunks_t;

typedef struct config {
	GHashTable *resources; /* "kind/name" to resource_t * */
	GHashTable *seen_ids;  /* of recent proposals */
	GQueue *seen_order;    /* the same ids, oldest first */
	GQueue *audit;	       /* audit_entry_t *, oldest first */
	uint64_t applied;      /* offset of the last applied record */
	snapshot_chunks_t pending_snapshot;
	mstime_t snapshot_at; /* wall time of the last complete snapshot */
} config_t;

/* A change that an operator asks for. */
typedef struct config_proposal {
	const char *id;
	uint64_t base; /* version it is based on, 0 for a new resource */
	resource_kind_t kind;
	const char *name;
	const json_t *body; /* NULL deletes */
	const char *operator_name;
	const char *reason;
	mstime_t proposed_at; /* wall time */
} config_proposal_t;

/*
 * config_init - an empty configuration; release it with config_finish.
 */
void config_init(config_t *c);
void config_finish(config_t *c);

/*
 * config_proposal_record - log record of a proposal; free with g_free.
 */
char *config_proposal_record(const config_proposal_t *p);

/*
 * config_snapshot_records - log records, char *, of a snapshot of all resources
 * in chunks. A node that starts after the log has dropped older records begins
 * with the snapshot. The array frees its entries.
 * @id: unique id of the snapshot
 */
GPtrArray *config_snapshot_records(const config_t *c, const char *id);

/*
 * config_has_gap - whether the log has dropped records that were not applied.
 * @first: lowest offset that the stream still has
 */
bool config_has_gap(const config_t *c, uint64_t first);

/*
 * config_scan_snapshot - collects the chunks of a snapshot from a stream with a
 * gap. Restores it once it is complete and no record after it is missing;
 * changes no resource before.
 * @first:  lowest offset that the stream still has
 * @wall:   wall time of the record in milliseconds
 * @record: next record of the scan
 *
 * Return: true when a snapshot was restored; continue reading after c->applied.
 */
bool config_scan_snapshot(config_t *c, uint64_t first, mstime_t wall,
			  str_t record);

/*
 * config_apply_record - applies the next record of the stream.
 * @offset: of the record
 * @wall:   wall time of the record in milliseconds
 * @out:    receives the result; release it with config_result_finish
 */
void config_apply_record(config_t *c, uint64_t offset, mstime_t wall,
			 str_t record, config_result_t *out);
void config_result_finish(config_result_t *r);

/*
 * config_check_proposal - checks the body and references of a proposal against
 * the present state.
 * @faults: receives schema_fault_t entries
 *
 * Return: true when no fault was added.
 */
bool config_check_proposal(const config_t *c, const config_proposal_t *p,
			   GPtrArray *faults);

/*
 * config_find - the resource of a name; NULL if missing or deleted.
 */
const resource_t *config_find(const config_t *c, resource_kind_t kind,
			      const char *name);

/*
 * config_latest - like config_find, but finds deleted resources too.
 */
const resource_t *config_latest(const config_t *c, resource_kind_t kind,
				const char *name);

/*
 * config_version - version of a resource, deleted or not; 0 if there never was
 * one of the name.
 */
uint64_t config_version(const config_t *c, resource_kind_t kind,
			const char *name);

/*
 * config_list - existing resources of a kind, sorted by name. The caller frees
 * the array, not its entries.
 * @kind: KIND_COUNT for all kinds
 */
GPtrArray *config_list(const config_t *c, resource_kind_t kind);

/*
 * config_snapshot - all resources, deleted ones included, as one JSON object; a
 * new reference.
 */
json_t *config_snapshot(const config_t *c);

/*
 * config_restore - replaces all resources by those of a newer snapshot.
 *
 * Return: false, with nothing changed, if it is malformed or not newer.
 */
bool config_restore(config_t *c, const json_t *snapshot);

/*
 * resource_json - a resource as shown to operators; a new reference.
 */
json_t *resource_json(const resource_t *r);

/*
 * audit_json - an entry of the audit trail as shown to operators; a new
 * reference.
 */
json_t *audit_json(const audit_entry_t *e);

#endif
