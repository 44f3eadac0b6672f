/*
 * The simulated workers and the requests to them.
 */
#include "support-sim-state.h"

/* Returns a worker by its name, or NULL. */
struct sim_worker *sim_worker_find(struct sim *s, bstr name)
{
	unsigned i = sim_name_number(name, s->worker_count);

	return i < s->worker_count ? &s->workers[i] : NULL;
}

/* Returns a task of a worker by its id, or NULL. */
static struct sim_task *task_find(struct sim_worker *w, bstr id)
{
	struct sim_task *t;

	for (t = w->tasks; t; t = t->next)
		if (bstr_eq_str(id, t->id))
			return t;
	return NULL;
}

/* Appends the state of a task to an answer. */
static void report_add(ev_worker *r, const struct sim_task *t)
{
	u_int n = r->tasks.tasks_len++;
	task_report *k;

	r->tasks.tasks_val = xrealloc(r->tasks.tasks_val, n + 1, sizeof(*k));
	k = &r->tasks.tasks_val[n];
	memset(k, 0, sizeof(*k));
	k->task = bstr_new(t->id);
	k->state = t->state;
	k->reason = bstr_new(t->reason);
	k->ran_ms = (uint32_t)t->elapsed;
	if (t->state == TASK_CHECKPOINTED)
		k->result = bstr_printf("%lld", (long long)t->elapsed);
}

/* Returns a worker's answer to a request, without tasks. */
static event *answer_new(struct sim_worker *w, uint64_t req)
{
	event *ev = event_new(EV_WORKER);
	ev_worker *r = &ev->body.event_body_u.worker;

	r->req = req;
	r->vm = bstr_new(w->name);
	r->boot_id = bstr_printf("%s-%u", w->name, w->boot);
	r->seq = w->seq;
	return ev;
}

/* Answers a watch with the tasks that have changed. */
static void watch_answer(struct sim *s, struct sim_worker *w,
			 struct sim_watch *h)
{
	event *ev = answer_new(w, h->req);
	struct sim_task *t;

	ev->body.event_body_u.worker.epoch = w->epochs[h->pool];
	for (t = w->tasks; t; t = t->next)
		if (t->pool == h->pool && t->seq > h->since)
			report_add(&ev->body.event_body_u.worker, t);
	sim_entry_post(s, h->entry, h->generation, LATENCY_MS, ev);
	free(h);
}

/* Answers all watches of a worker, after a change. */
static void worker_answer_watches(struct sim *s, struct sim_worker *w)
{
	struct sim_watch *h, *next = w->watches;

	w->watches = NULL;
	while ((h = next)) {
		next = h->next;
		watch_answer(s, w, h);
	}
}

/* Ends a run of a task and answers the watches. */
static void task_end(struct sim *s, struct sim_worker *w, struct sim_task *t,
		     task_state state, const char *reason)
{
	int64_t ran = s->now - t->started_at;

	t->state = state;
	t->reason = reason;
	t->elapsed += ran;
	t->seq = ++w->seq;
	w->running--;
	s->jobs[t->job].total_run_ms += ran;
	if (s->hooks.ended)
		s->hooks.ended(s, t->job, w);
	worker_answer_watches(s, w);
}

/* Starts a task, at its checkpoint if it has one; refused without free slot. */
static void task_begin(struct sim *s, struct sim_worker *w, const task_start *x,
		       unsigned pool)
{
	struct sim_task *t = task_find(w, x->task);
	char *payload = bstr_cstr(x->payload), *ck = bstr_cstr(x->checkpoint);
	struct sim_job *j = &s->jobs[strtoul(payload, NULL, 10)];

	if (!t) {
		t = xcalloc(1, sizeof(*t));
		snprintf(t->id, sizeof(t->id), "%.*s", BSTR_ARG(x->task));
		t->pool = pool;
		t->job = (unsigned)(j - s->jobs);
		t->reason = "";
		t->seq = ++w->seq;
		t->next = w->tasks;
		w->tasks = t;
		if (w->running >= s->plan.slots) {
			t->state = TASK_REFUSED;
			t->reason = "no-slot";
		} else {
			t->elapsed = strtoll(ck, NULL, 10);
			t->started_at = s->now;
			t->end_id = ++s->fakes->ids;
			w->running++;
			j->starts++;
			if (!j->started_at)
				j->started_at = s->now;
			if (s->hooks.started)
				s->hooks.started(s, t->job, w);
			event_queue_put(
				&s->fakes->queue,
				(struct queue_item){
					.at = s->now + j->run_ms - t->elapsed,
					.kind = IT_TASK_END,
					.index = (unsigned)(w - s->workers),
					.n = t->end_id});
		}
	}
	free(payload);
	free(ck);
}

/*
 * Carries out an order.  A stop of an unknown task leaves a tombstone, which
 * refuses a start that arrives later.
 */
static void task_order_apply(struct sim *s, struct sim_worker *w,
			     const task_order *o, unsigned pool)
{
	struct sim_task *t = task_find(w, o->task), **at;

	if (!t && o->verb == TASK_STOP) {
		t = xcalloc(1, sizeof(*t));
		snprintf(t->id, sizeof(t->id), "%.*s", BSTR_ARG(o->task));
		t->pool = pool;
		t->state = TASK_REFUSED;
		t->reason = "tombstone";
		t->seq = ++w->seq;
		t->next = w->tasks;
		w->tasks = t;
	} else if (t && o->verb == TASK_FORGET && t->state != TASK_RUNNING) {
		for (at = &w->tasks; *at != t; at = &(*at)->next)
			;
		*at = t->next;
		free(t);
	} else if (t && t->state == TASK_RUNNING && o->verb == TASK_STOP) {
		task_end(s, w, t, TASK_STOPPED, "stopped");
	} else if (t && t->state == TASK_RUNNING &&
		   o->verb == TASK_CHECKPOINT) {
		s->checkpoints++;
		task_end(s, w, t, TASK_CHECKPOINTED, "");
	}
}

/* Executes a command and reports the tasks that it names. */
static void command_execute(struct sim *s, struct sim_worker *w,
			    const fx_worker *x, unsigned pool, event *ev)
{
	ev_worker *r = &ev->body.event_body_u.worker;
	struct sim_task *t;
	u_int i;

	for (i = 0; i < x->starts.starts_len; i++)
		task_begin(s, w, &x->starts.starts_val[i], pool);
	for (i = 0; i < x->orders.orders_len; i++)
		task_order_apply(s, w, &x->orders.orders_val[i], pool);
	for (i = 0; i < x->starts.starts_len; i++)
		if ((t = task_find(w, x->starts.starts_val[i].task)))
			report_add(r, t);
	for (i = 0; i < x->orders.orders_len; i++)
		if ((t = task_find(w, x->orders.orders_val[i].task)))
			report_add(r, t);
	if (x->starts.starts_len)
		worker_answer_watches(s, w);
}

/* Processes a request that has reached its worker. */
void sim_worker_receive(struct sim *s, struct queue_item *it)
{
	const fx_worker *x = &it->fx->effect_u.worker;
	struct sim_worker *w = sim_worker_find(s, x->vm);
	unsigned pool = sim_name_number(x->cell.pool, SIM_POOLS);
	event *ev = answer_new(w, x->req);
	ev_worker *r = &ev->body.event_body_u.worker;
	struct sim_watch *h;
	int64_t ms = LATENCY_MS;

	if (!w->up) {
		r->outcome = WORKER_NO_ANSWER;
		ms = TIMEOUT_MS;
	} else if (x->epoch < w->epochs[pool]) {
		r->outcome = WORKER_STALE;
		r->epoch = w->epochs[pool];
	} else {
		r->epoch = w->epochs[pool] = x->epoch;
		if (x->watch) {
			h = xcalloc(1, sizeof(*h));
			*h = (struct sim_watch){
				NULL,	it->index,	 it->generation, pool,
				x->req, ++s->fakes->ids, x->since};
			event_free(ev);
			if (!x->wait_ms || w->seq > x->since) {
				watch_answer(s, w, h);
			} else {
				h->next = w->watches;
				w->watches = h;
				event_queue_put(
					&s->fakes->queue,
					(struct queue_item){
						.at = s->now + x->wait_ms,
						.kind = IT_WATCH_TIMEOUT,
						.index = (unsigned)(w -
								    s->workers),
						.n = h->id});
			}
			effect_free(it->fx);
			return;
		}
		command_execute(s, w, x, pool, ev);
	}
	sim_entry_post(s, it->index, it->generation, ms, ev);
	effect_free(it->fx);
}

/* Answers a watch whose time is over. */
void sim_watch_timeout(struct sim *s, const struct queue_item *it)
{
	struct sim_worker *w = &s->workers[it->index];
	struct sim_watch **at, *h;

	for (at = &w->watches; (h = *at); at = &h->next) {
		if (h->id != it->n)
			continue;
		*at = h->next;
		watch_answer(s, w, h);
		return;
	}
}

/* Completes the task whose run time is over, unless it was stopped. */
void sim_task_complete(struct sim *s, const struct queue_item *it)
{
	struct sim_worker *w = &s->workers[it->index];
	struct sim_task *t;

	for (t = w->tasks; t; t = t->next) {
		if (t->end_id != it->n || t->state != TASK_RUNNING)
			continue;
		task_end(s, w, t, TASK_DONE, "");
		return;
	}
}

/* Shuts a worker down, with its tasks and watches. */
void sim_worker_kill(struct sim *s, struct sim_worker *w)
{
	struct sim_task *t, *next = w->tasks;
	struct sim_watch *h;
	event *ev;

	w->tasks = NULL;
	while ((t = next)) {
		next = t->next;
		if (t->state == TASK_RUNNING) {
			w->kills++;
			s->jobs[t->job].total_run_ms += s->now - t->started_at;
			if (s->hooks.ended)
				s->hooks.ended(s, t->job, w);
		}
		free(t);
	}
	while ((h = w->watches)) {
		w->watches = h->next;
		ev = answer_new(w, h->req);
		ev->body.event_body_u.worker.outcome = WORKER_NO_ANSWER;
		sim_entry_post(s, h->entry, h->generation, TIMEOUT_MS, ev);
		free(h);
	}
	w->up = false;
	w->down_at = s->now;
	w->running = 0;
}

/* Boots a worker that is down, which remembers nothing. */
void sim_worker_boot(struct sim *s, struct sim_worker *w)
{
	(void)s;
	if (w->up)
		return;
	w->up = true;
	w->boot++;
	w->seq = 0;
	memset(w->epochs, 0, sizeof(w->epochs));
}
