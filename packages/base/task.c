#include <kcf/task.h>

#include <assert.h>

typedef struct start_gate {
	task_t *task;
	GMutex lock;
	GCond cond;
	bool done;
	bool ok;
} start_gate_t;

static void on_wake_(struct ev_loop *loop, ev_async *w, int revents);
static gpointer run_(gpointer data);

void task_init(task_t *t, const task_ops_t *ops, void *ctx)
{
	assert(t && ops && ops->start && ops->receive && ops->stop);
	*t = (task_t){ .ops = ops, .ctx = ctx };
	t->loop = ev_loop_new(EVFLAG_AUTO);
	t->mailbox = g_async_queue_new();
	ev_async_init(&t->wake, on_wake_);
	t->wake.data = t;
	ev_async_start(t->loop, &t->wake);
}

bool task_start(task_t *t, const char *name)
{
	start_gate_t gate = { .task = t };

	assert(!t->thread);
	g_mutex_init(&gate.lock);
	g_cond_init(&gate.cond);
	t->thread = g_thread_new(name, run_, &gate);
	g_mutex_lock(&gate.lock);
	while (!gate.done)
		g_cond_wait(&gate.cond, &gate.lock);
	g_mutex_unlock(&gate.lock);
	g_mutex_clear(&gate.lock);
	g_cond_clear(&gate.cond);
	return t->started;
}

void task_post(task_t *t, void *message)
{
	g_async_queue_push(t->mailbox, message);
	ev_async_send(t->loop, &t->wake);
}

void task_stop(task_t *t)
{
	if (!t->thread)
		return;
	__atomic_store_n(&t->stopping, true, __ATOMIC_RELEASE);
	ev_async_send(t->loop, &t->wake);
	g_thread_join(t->thread);
	t->thread = NULL;
}

void task_finish(task_t *t)
{
	assert(!t->thread);
	ev_async_stop(t->loop, &t->wake);
	ev_loop_destroy(t->loop);
	g_async_queue_unref(t->mailbox);
}

static void on_wake_(struct ev_loop *loop, ev_async *w, int revents)
{
	task_t *t = w->data;
	void *message;

	(void)revents;
	while ((message = g_async_queue_try_pop(t->mailbox)))
		t->ops->receive(t->ctx, message);
	if (__atomic_load_n(&t->stopping, __ATOMIC_ACQUIRE))
		ev_break(loop, EVBREAK_ALL);
}

static gpointer run_(gpointer data)
{
	start_gate_t *gate = data;
	task_t *t = gate->task;
	bool ok = t->ops->start(t->ctx, t->loop);

	t->started = ok;
	g_mutex_lock(&gate->lock);
	gate->done = true;
	g_cond_signal(&gate->cond);
	g_mutex_unlock(&gate->lock);
	if (ok) {
		ev_run(t->loop, 0);
		t->ops->stop(t->ctx);
	}
	return NULL;
}
