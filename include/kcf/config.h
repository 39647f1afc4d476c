/*
 * config - the fleet's resources, a state machine over the platform's log.
 *
 * The log's order settles everything: a proposal holds when the version that
 * it was based on is still the resource's version at the proposal's place in
 * the stream, so that every node comes to the same state. A version is the
 * offset of the record that made it. Nothing here reads a clock or a socket.
 */
#ifndef KCF_CONFIG_H
#define KCF_CONFIG_H

#include <glib.h>
#include <jansson.h>
#include <kcf/clock.h>
#include <kcf/resource.h>

typedef enum config_verdict {
	CONFIG_APPLIED,	 /* in force */
	CONFIG_CONFLICT, /* the resource had moved on */
	CONFIG_INVALID,	 /* faults in the body, or broken references */
	CONFIG_REPEATED, /* the same proposal stood in the stream before */
	CONFIG_SNAPSHOT, /* part of a snapshot of what is in force */
	CONFIG_STALE,	 /* offset not above the applied one; ignored */
	CONFIG_UNREADABLE,
	CONFIG_VERDICT_COUNT,
} config_verdict_t;

/* Parallel to config_verdict_t. */
extern const char *const config_verdict_string[];

typedef struct resource {
	resource_kind_t kind;
	char *name;
	uint64_t version;  /* offset of the record that made it */
	uint64_t recorded; /* offset of the latest record that holds it */
	json_t *body;	   /* NULL once deleted */
	char *operator_name;
	char *reason;
	mstime_t changed_at; /* wall time given by the proposer */
} resource_t;

/* One line of the audit trail. */
typedef struct audit_entry {
	uint64_t offset;
	config_verdict_t verdict;
	char *id;
	resource_kind_t kind;
	char *name;
	char *operator_name;
	char *reason;
	mstime_t proposed_at;
	json_t *before;
	json_t *after;
} audit_entry_t;

/* Outcome of one record. */
typedef struct config_result {
	config_verdict_t verdict;
	char id[64];
	uint64_t version;  /* of the resource after the record */
	GPtrArray *faults; /* schema_fault_t, or NULL */
} config_result_t;

/* Parts of a snapshot that is being read from the stream. */
typedef struct snapshot_chunks {
	char id[64];
	int count;
	int received;
	uint64_t applied; /* offset up to which the snapshot counts */
	json_t *resources;
} snapshot_chunks_t;

typedef struct config {
	GHashTable *resources; /* "kind/name" to resource_t * */
	GHashTable *seen_ids;  /* ids of proposals */
	GQueue *seen_order;
	GQueue *audit; /* audit_entry_t *, oldest first */
	uint64_t applied;
	snapshot_chunks_t pending_snapshot;
	mstime_t snapshot_at; /* wall time of the last whole snapshot read */
} config_t;

/* What an operator asks for. */
typedef struct config_proposal {
	const char *id;
	uint64_t base; /* version it is based on; 0 for a new resource */
	resource_kind_t kind;
	const char *name;
	const json_t *body; /* NULL deletes */
	const char *operator_name;
	const char *reason;
	mstime_t proposed_at; /* wall time */
} config_proposal_t;

void config_init(config_t *c);
void config_finish(config_t *c);

/*
 * config_proposal_record - text of a proposal for the log; to be freed with
 * g_free.
 */
char *config_proposal_record(const config_proposal_t *p);

/*
 * config_snapshot_records - texts of a snapshot of everything for the log:
 * char *, freed by the array. A node that starts after older records are gone
 * begins with it.
 * @id: unique
 */
GPtrArray *config_snapshot_records(const config_t *c, const char *id);

/*
 * config_has_gap - whether records that this node has not seen are gone.
 * @first: lowest offset that the stream still holds
 */
bool config_has_gap(const config_t *c, uint64_t first);

/*
 * config_scan_snapshot - looks for a snapshot in a stream with a gap; changes
 * nothing until it is whole and nothing is missing after it.
 *
 * Return: true when it was taken; reading goes on after c->applied.
 */
bool config_scan_snapshot(config_t *c, uint64_t first, mstime_t wall,
			  str_t record);

/*
 * config_apply_record - takes the next record of the stream.
 * @offset: of the record
 * @wall:   wall time of the record in milliseconds
 * @out:    receives the outcome; to be released with config_result_finish
 */
void config_apply_record(config_t *c, uint64_t offset, mstime_t wall,
			 str_t record, config_result_t *out);
void config_result_finish(config_result_t *r);

/*
 * config_check_proposal - checks a proposal against the present state.
 * @faults: receives schema_fault_t entries
 */
bool config_check_proposal(const config_t *c, const config_proposal_t *p,
			   GPtrArray *faults);

/*
 * config_find - a resource; NULL when there is none or it was deleted.
 */
const resource_t *config_find(const config_t *c, resource_kind_t kind,
			      const char *name);

/*
 * config_latest - a resource, also one that was deleted; NULL for none.
 */
const resource_t *config_latest(const config_t *c, resource_kind_t kind,
				const char *name);

/*
 * config_version - version of a resource, deleted ones included; 0 for none.
 */
uint64_t config_version(const config_t *c, resource_kind_t kind,
			const char *name);

/*
 * config_list - resources of a kind in order of their names; the array is
 * the caller's, its entries are not.
 * @kind: KIND_COUNT for all kinds
 */
GPtrArray *config_list(const config_t *c, resource_kind_t kind);

/*
 * config_snapshot - everything as one JSON object; a new reference.
 */
json_t *config_snapshot(const config_t *c);

/*
 * config_restore - takes a snapshot when it is newer than the present state.
 *
 * Return: false when it is unreadable or not newer; nothing changes then.
 */
bool config_restore(config_t *c, const json_t *snapshot);

/*
 * resource_json - a resource as shown to operators; a new reference.
 */
json_t *resource_json(const resource_t *r);

/*
 * audit_json - a line of the audit trail; a new reference.
 */
json_t *audit_json(const audit_entry_t *e);

#endif
