/*
 * The simulated workers (docs/WORKER.md), the requests to them, and the
 * invariants of what they start.
 */
#include "support-fleet-state.h"

/* Timeout of the edge for a request to a worker, apart from its wait. */
#define WORKER_TIMEOUT_MS 2000

/* A worker that has been leaving or draining for this long gets no tasks. */
#define LEAVING_MS 8000

/* Returns how many tasks of a team run on a worker; -1: of all teams. */
static unsigned worker_running(const struct fake_worker *w, int team)
{
	unsigned n = 0, i;

	for (i = 0; i < TASKS_MAX; i++)
		n += w->tasks[i].used && w->tasks[i].state == TASK_RUNNING &&
		     (team < 0 || w->tasks[i].team == (unsigned)team);
	return n;
}

/* Checks that a task may start on a worker. */
static void check_start(struct fleet *f, struct fake_worker *w,
			const struct fake_task *t, unsigned job)
{
	struct fake_job *j = &f->jobs[job];
	unsigned running = 0, most, i;
	int64_t since = f->fault_ended > w->state_at ? f->fault_ended
						     : w->state_at;

	TRACE(f, "%s starts %s, job %u", w->name, t->id, job);
	f->counters[FLEET_TASKS_STARTED]++;
	/* a task that resumes from a checkpoint isn't run a second time */
	if (++j->start_count > 1 + j->checkpoints && !j->may_repeat)
		VIOLATION(f, "once: job %u (%s) starts again as %s on %s", job,
			  j->id, t->id, w->name);
	if (j->not_run)
		VIOLATION(f, "not-run: job %u starts as %s after the answer",
			  job, t->id);
	if (j->refused && j->submit_count == 1)
		VIOLATION(f, "not-run: job %u starts after its refusal", job);
	if (w->pool != t->pool)
		VIOLATION(f, "pool: %s starts %s of another pool", w->name,
			  t->id);
	if (!f->faults && w->state != VM_ACTIVE && f->now - since > LEAVING_MS)
		VIOLATION(f, "leaving: %s starts %s while it drains", w->name,
			  t->id);
	since = f->fault_ended > w->leaving_at ? f->fault_ended : w->leaving_at;
	if (!f->faults && w->leaving && f->now - since > LEAVING_MS)
		VIOLATION(f, "leaving: %s starts %s while it leaves", w->name,
			  t->id);
	for (i = 0; i < FLEET_WORKERS; i++)
		running += worker_running(&f->workers[i], (int)t->team);
	most = fleet_limit_max_since(f->limits[t->team],
				     f->limit_count[t->team],
				     fleet_unsettled_since(f));
	if (running > most)
		VIOLATION(f, "limit: team %s runs %u, its limit is %u, at %s",
			  fleet_team_names[t->team], running, most, t->id);
}

/* Returns a task of a worker by its id, or NULL. */
static struct fake_task *fake_task_find(struct fake_worker *w, bstr id)
{
	unsigned i;

	for (i = 0; i < TASKS_MAX; i++)
		if (w->tasks[i].used && bstr_eq_str(id, w->tasks[i].id))
			return &w->tasks[i];
	return NULL;
}

/* Adds a task to a worker; returns NULL if there is no room for it. */
static struct fake_task *fake_task_new(struct fake_worker *w, bstr id,
				       const cell_id *cell)
{
	struct fake_task *t = NULL;
	const char *slash;
	unsigned i;

	for (i = 0; i < TASKS_MAX && !t; i++)
		if (!w->tasks[i].used)
			t = &w->tasks[i];
	if (!t)
		return NULL;
	memset(t, 0, sizeof(*t));
	snprintf(t->id, sizeof(t->id), "%.*s", BSTR_ARG(id));
	slash = strrchr(t->id, '/');
	t->used = true;
	t->pool = fleet_name_index(cell->pool, fleet_pool_names, POOLS);
	t->dc = fleet_name_index(cell->dc, fleet_dc_names, 2);
	t->team = slash ? fleet_name_index(bstr_lit(slash + 1),
					   fleet_team_names, FLEET_TEAMS)
			: 0;
	t->reason = "";
	t->seq = ++w->seq;
	return t;
}

/* Completes an event as the answer to an exchange and sends it. */
static void exchange_answer(struct fleet *f, struct exchange *x, event *ev)
{
	ev_worker *r = &ev->body.event_body_u.worker;

	r->req = x->fx->effect_u.worker.req;
	r->vm = bstr_new(f->workers[x->worker].name);
	x->finished = true;
	fleet_entry_post(f, x->slot, x->generation,
			 1 + (int64_t)fleet_random(f, 3), ev);
}

/* Ends an exchange without an answer, unless it has finished. */
void fleet_exchange_fail(struct fleet *f, struct exchange *x,
			 worker_outcome outcome)
{
	event *ev;

	if (x->finished)
		return;
	ev = event_new(EV_WORKER);
	ev->body.event_body_u.worker.outcome = outcome;
	exchange_answer(f, x, ev);
}

/* Appends the state of a task to an answer. */
static void worker_report(ev_worker *r, const struct fake_task *t)
{
	task_report *k;

	r->tasks.tasks_val = xrealloc(r->tasks.tasks_val,
				      r->tasks.tasks_len + 1, sizeof(*k));
	k = &r->tasks.tasks_val[r->tasks.tasks_len++];
	memset(k, 0, sizeof(*k));
	k->task = bstr_new(t->id);
	k->state = t->state;
	k->reason = bstr_new(t->reason);
	k->result = bstr_new(t->result);
	k->ran_ms = 50;
}

/* Returns true if the answer to an exchange reports a task. */
static bool report_includes(const fx_worker *x, const struct fake_task *t)
{
	u_int i;

	if (!t->used || !bstr_eq_str(x->cell.pool, fleet_pool_names[t->pool]))
		return false;
	if (x->watch)
		return t->seq > x->since;
	for (i = 0; i < x->starts.starts_len; i++)
		if (bstr_eq_str(x->starts.starts_val[i].task, t->id))
			return true;
	for (i = 0; i < x->orders.orders_len; i++)
		if (bstr_eq_str(x->orders.orders_val[i].task, t->id))
			return true;
	return false;
}

/* Answers an exchange with the state of the worker and its tasks. */
static void worker_answer(struct fleet *f, struct fake_worker *w,
			  struct exchange *x)
{
	const fx_worker *fx = &x->fx->effect_u.worker;
	unsigned pool = fleet_name_index(fx->cell.pool, fleet_pool_names,
					 POOLS),
		 i;
	event *ev;
	ev_worker *r;

	if (x->finished)
		return;
	ev = event_new(EV_WORKER);
	r = &ev->body.event_body_u.worker;
	r->boot_id = bstr_printf("%s-%u", w->name, w->boot);
	r->epoch = w->epoch[pool];
	r->seq = w->seq;
	r->leaving = w->leaving;
	r->slots = FLEET_SLOTS;
	if (fx->epoch < w->epoch[pool])
		r->outcome = WORKER_STALE;
	else
		for (i = 0; i < TASKS_MAX; i++)
			if (report_includes(fx, &w->tasks[i]))
				worker_report(r, &w->tasks[i]);
	exchange_answer(f, x, ev);
}

/* Answers the blocked watches of a worker, after a change. */
void fleet_worker_answer_watches(struct fleet *f, struct fake_worker *w)
{
	unsigned i, n = w->blocked_count;

	if (w->frozen)
		return;
	w->blocked_count = 0;
	for (i = 0; i < n; i++) {
		if (w->silent)
			w->blocked[w->blocked_count++] = w->blocked[i];
		else
			worker_answer(f, w, w->blocked[i]);
	}
}

/* Sets a task's final state and answers the watches. */
static void fake_task_end(struct fleet *f, struct fake_worker *w,
			  struct fake_task *t, task_state state,
			  const char *reason)
{
	TRACE(f, "%s ends %s: %d %s", w->name, t->id, (int)state, reason);
	t->state = state;
	t->reason = reason;
	t->seq = ++w->seq;
	fleet_worker_answer_watches(f, w);
}

/* Starts a task, or refuses it if no slot is free. */
static void worker_start(struct fleet *f, struct fake_worker *w,
			 const task_start *s, const cell_id *cell)
{
	struct fake_task *t = fake_task_find(w, s->task);
	char *payload = bstr_cstr(s->payload);
	unsigned job = 0, run_ms = 0, fails = 0;
	bool room = worker_running(w, -1) < FLEET_SLOTS;

	if (sscanf(payload, "s%u %u %u", &job, &run_ms, &fails) != 3)
		VIOLATION(f, "payload: a start has payload '%s'", payload);
	free(payload);
	if (t || !(t = fake_task_new(w, s->task, cell)))
		return;
	if (!room) {
		t->state = TASK_REFUSED;
		t->reason = "no-slot";
		return;
	}
	t->job = job;
	t->fails = fails || w->fails;
	t->ends_at = f->now + (w->fails ? 5 : run_ms);
	snprintf(t->result, sizeof(t->result), "r:s%u", job);
	check_start(f, w, t, job);
	fleet_queue_put(
		f, (struct queue_item){.at = t->ends_at,
				       .kind = Q_TASK_END,
				       .index = (unsigned)(w - f->workers)});
}

/*
 * Carries out an order.  A stop of an unknown task leaves a tombstone, which
 * refuses a start that arrives later.
 */
static void worker_order(struct fleet *f, struct fake_worker *w,
			 const task_order *o, const cell_id *cell)
{
	struct fake_task *t = fake_task_find(w, o->task);

	if (o->verb == TASK_STOP && !t) {
		t = fake_task_new(w, o->task, cell);
		if (t) {
			t->state = TASK_REFUSED;
			t->reason = "tombstone";
		}
	} else if (!t) {
		return;
	} else if (o->verb == TASK_FORGET && t->state != TASK_RUNNING) {
		t->used = false;
	} else if (t->state == TASK_RUNNING && o->verb == TASK_STOP) {
		fake_task_end(f, w, t, TASK_STOPPED, "stopped");
	} else if (t->state == TASK_RUNNING && o->verb == TASK_CHECKPOINT) {
		f->jobs[t->job].checkpoints++;
		fake_task_end(f, w, t, TASK_CHECKPOINTED, "");
	}
}

/* Extends the lease of a cell on a worker. */
static void worker_lease(struct fleet *f, struct fake_worker *w,
			 const fx_worker *x)
{
	unsigned pool = fleet_name_index(x->cell.pool, fleet_pool_names, POOLS);
	unsigned dc = fleet_name_index(x->cell.dc, fleet_dc_names, 2);
	int64_t *lease = &w->lease[pool][dc];
	bool armed = *lease > f->now;

	*lease = f->now + x->lease_ms;
	if (!armed)
		fleet_queue_put(f, (struct queue_item){
					   .at = *lease,
					   .kind = Q_LEASE_END,
					   .index = (unsigned)(w - f->workers),
					   .n = 2 * pool + dc});
}

/* Processes a request that has reached its worker. */
void fleet_worker_receive(struct fleet *f, struct exchange *x)
{
	struct fake_worker *w = &f->workers[x->worker];
	const fx_worker *fx = &x->fx->effect_u.worker;
	unsigned pool = fleet_name_index(fx->cell.pool, fleet_pool_names,
					 POOLS);
	event *ev;
	u_int i;

	if (w->frozen) {
		if (w->blocked_count < NELEMS(w->blocked))
			w->blocked[w->blocked_count++] = x;
		return;
	}
	if (fx->epoch >= w->epoch[pool] && !x->executed) {
		x->executed = true;
		w->epoch[pool] = fx->epoch;
		worker_lease(f, w, fx);
		for (i = 0; i < fx->starts.starts_len; i++)
			worker_start(f, w, &fx->starts.starts_val[i],
				     &fx->cell);
		for (i = 0; i < fx->orders.orders_len; i++)
			worker_order(f, w, &fx->orders.orders_val[i],
				     &fx->cell);
		if (fx->watch && fx->since >= w->seq && fx->wait_ms &&
		    w->blocked_count < NELEMS(w->blocked)) {
			w->blocked[w->blocked_count++] = x;
			fleet_queue_put(f, (struct queue_item){
						   .at = f->now + fx->wait_ms,
						   .kind = Q_WATCH_TIMEOUT,
						   .x = x});
			return;
		}
	}
	if (w->silent)
		return;
	if (w->boot != x->boot) {
		ev = event_new(EV_WORKER);
		ev->body.event_body_u.worker.outcome = WORKER_NO_ANSWER;
		exchange_answer(f, x, ev);
		return;
	}
	worker_answer(f, w, x);
}

/* Sends a request to a worker; a silent one gets only half of them. */
void fleet_exchange_send(struct fleet *f, unsigned slot, effect *fx)
{
	struct exchange *x = xcalloc(1, sizeof(*x));
	int i = fleet_worker_index(fx->effect_u.worker.vm);
	struct fake_worker *w = &f->workers[i];
	bool reaches = !w->silent || fleet_random(f, 2);

	x->next = f->exchanges;
	f->exchanges = x;
	x->slot = slot;
	x->generation = f->entries[slot].generation;
	x->worker = (unsigned)i;
	x->boot = w->boot;
	x->fx = fx;
	fleet_queue_put(f,
			(struct queue_item){.at = f->now + WORKER_TIMEOUT_MS +
						  fx->effect_u.worker.wait_ms,
					    .kind = Q_EXCHANGE_TIMEOUT,
					    .x = x});
	if (reaches)
		fleet_queue_put(f, (struct queue_item){
					   .at = f->now + 1 +
						 (int64_t)fleet_random(f, 3),
					   .kind = Q_EXCHANGE,
					   .x = x});
}

/* Answers a watch whose time is over without changes. */
void fleet_watch_timeout(struct fleet *f, struct exchange *x)
{
	struct fake_worker *w = &f->workers[x->worker];
	unsigned i;

	for (i = 0; i < w->blocked_count; i++) {
		if (w->blocked[i] != x || w->frozen || w->silent)
			continue;
		w->blocked[i] = w->blocked[--w->blocked_count];
		worker_answer(f, w, x);
		return;
	}
}

/* Stops tasks whose lease has expired and ends those that are due. */
void fleet_worker_tick(struct fleet *f, struct fake_worker *w)
{
	struct fake_task *t;
	unsigned i;

	for (i = 0; i < TASKS_MAX && !w->frozen; i++) {
		t = &w->tasks[i];
		if (!t->used || t->state != TASK_RUNNING)
			continue;
		if (w->lease[t->pool][t->dc] <= f->now)
			fake_task_end(f, w, t, TASK_LAPSED, "lapsed");
		else if (t->ends_at <= f->now)
			fake_task_end(f, w, t,
				      t->fails ? TASK_FAILED : TASK_DONE,
				      t->fails ? "failed" : "");
	}
}

/* Stops the tasks of an expired lease, or waits if it was extended. */
void fleet_worker_lease_end(struct fleet *f, const struct queue_item *q)
{
	struct fake_worker *w = &f->workers[q->index];
	struct queue_item again = *q;

	again.at = w->lease[q->n / 2][q->n % 2];
	if (again.at > f->now)
		fleet_queue_put(f, again);
	else
		fleet_worker_tick(f, w);
}

/* Restarts a worker, which loses its tasks, epochs and connections. */
void fleet_worker_restart(struct fleet *f, struct fake_worker *w)
{
	unsigned i;

	memset(w->tasks, 0, sizeof(w->tasks));
	memset(w->epoch, 0, sizeof(w->epoch));
	w->seq = 0;
	w->boot++;
	for (i = 0; i < w->blocked_count; i++)
		fleet_exchange_fail(f, w->blocked[i], WORKER_NO_ANSWER);
	w->blocked_count = 0;
}

/* Resumes a frozen worker, which then processes the blocked requests. */
void fleet_worker_thaw(struct fleet *f, struct fake_worker *w)
{
	struct exchange *blocked[NELEMS(w->blocked)];
	unsigned n = w->blocked_count, i;

	w->frozen = false;
	memcpy(blocked, w->blocked, sizeof(blocked));
	w->blocked_count = 0;
	fleet_worker_tick(f, w);
	for (i = 0; i < n; i++)
		fleet_worker_receive(f, blocked[i]);
}
