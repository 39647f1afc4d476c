/*
 * task - a thread with one libev loop that owns its sockets and state.
 *
 * Tasks share nothing that changes; they post typed messages into each
 * other's mailboxes. A message belongs to its receiver once posted.
 */
#ifndef KCF_TASK_H
#define KCF_TASK_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

typedef struct task task_t;

/* Behaviour of a task. All functions run on the task's own thread. */
typedef struct task_ops {
	/* Starts watchers and sockets; false ends the process start. */
	bool (*start)(void *ctx, struct ev_loop *loop);
	/* Takes one message and frees it. */
	void (*receive)(void *ctx, void *message);
	/* Releases what start made. */
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
 * @ops: behaviour; must outlive the task
 * @ctx: passed to every function of ops
 */
void task_init(task_t *t, const task_ops_t *ops, void *ctx);

/*
 * task_start - runs the task on a thread of its own.
 *
 * Return: false when the start function of ops failed.
 */
bool task_start(task_t *t, const char *name);

/*
 * task_post - puts a message into the task's mailbox; allowed on any thread.
 * @message: not NULL; owned by the task from now on
 */
void task_post(task_t *t, void *message);

/*
 * task_stop - makes the loop end and joins the thread.
 */
void task_stop(task_t *t);

/*
 * task_finish - releases the task's memory. Precondition: task_stop was
 * called, or the task never started. Messages still unread are leaked to
 * their pools by contract: a stopped task's peers have stopped before it.
 */
void task_finish(task_t *t);

#endif
