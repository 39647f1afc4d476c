/*
 * task - a thread with a libev loop that owns its sockets and state.
 *
 * Tasks share no mutable state; they post typed messages to each other's
 * mailboxes. Posting a message passes its ownership to the receiver.
 */
#ifndef KCF_TASK_H
#define KCF_TASK_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

typedef struct task task_t;

/* Callbacks of a task. All of them run on the task's thread. */
typedef struct task_ops {
	/* Opens sockets and starts watchers; false aborts the process start. */
	bool (*start)(void *ctx, struct ev_loop *loop);
	/* Handles one message and frees it. */
	void (*receive)(void *ctx, void *message);
	/* Releases what start allocated. */
	void (*stop)(void *ctx);
} task_ops_t;

struct task {
	const task_ops_t *ops;
	void *ctx;
	struct ev_loop *loop;
	ev_async wake;
	GAsyncQueue *mailbox;
	GThread *thread;
	bool stopping;
	bool started;
};

/*
 * task_init - prepares a task without starting its thread.
 * @t:   caller-owned memory
 * @ops: callbacks; must outlive the task
 * @ctx: passed to every callback
 */
void task_init(task_t *t, const task_ops_t *ops, void *ctx);

/*
 * task_start - starts the task's thread and waits for the start callback.
 *
 * Return: false when the start callback failed.
 */
bool task_start(task_t *t, const char *name);

/*
 * task_post - puts a message into the task's mailbox; callable on any thread.
 * @message: not NULL; ownership passes to the task
 */
void task_post(task_t *t, void *message);

/*
 * task_stop - ends the loop and joins the thread.
 */
void task_stop(task_t *t);

/*
 * task_finish - releases the task's memory. Precondition: task_stop was
 * called, or the task never started. Unread messages are not freed: the tasks
 * that post to this one must have been stopped before it.
 */
void task_finish(task_t *t);

#endif
