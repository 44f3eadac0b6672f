#include "reduce.h"

#include <stdlib.h>
#include <string.h>

/* An ended task whose home is gone for good is forgotten after this. */
#define ORPHAN_MS 60000

/* Start deciding for a cell that has just been claimed. */
void cell_start(struct state *st, struct unit *u)
{
	struct cell *c = xcalloc(1, sizeof(*c));

	c->unit = u;
	c->started_at = st->now;
	c->dirty = true;
	TAILQ_INIT(&c->ended);
	u->cell = c;
}

/* Free a team's part in a cell. */
void cell_team_free(struct cell *c, struct cell_team *t)
{
	HASH_DEL(c->teams, t);
	bstr_free(&t->team);
	xdr_free(XDR_PROC(xdr_allowance_row), (char *)&t->row);
	free(t);
}

/* Free a cell: what runs goes on under its next owner. */
void cell_free(struct state *st, struct cell *c)
{
	struct cell_team *t, *tn;
	struct worker *w, *wn;
	struct task *k, *kn;

	(void)st;
	HASH_ITER(hh, c->tasks, k, kn)
		task_free(c, k);
	HASH_ITER(hh, c->workers, w, wn)
		worker_free(c, w);
	HASH_ITER(hh, c->teams, t, tn)
		cell_team_free(c, t);
	xdr_free(XDR_PROC(xdr_boots_row), (char *)&c->boots);
	free(c);
}

/* A team's part in a cell, made if there is none. */
struct cell_team *cell_team_get(struct state *st, struct cell *c, bstr team)
{
	struct cell_team *t;
	int i;

	HASH_FIND_BSTR(c->teams, team, t);
	if (t)
		return t;
	t = xcalloc(1, sizeof(*t));
	t->team = bstr_copy(team);
	t->idle_at = st->now;
	for (i = 0; i < CLASS_MAX; i++)
		TAILQ_INIT(&t->queue[i]);
	HASH_ADD_BSTR(c->teams, team, t);
	return t;
}

/*
 * Has every worker that may hold a task of this cell answered to our epoch?
 * An older owner's start is refused by every worker from here on.  And is it
 * settled which of them have forgotten what they ran?  Only then can "no
 * trace" be proof that nothing was started.
 */
bool cell_state_known(struct state *st, struct cell *c)
{
	struct worker *w, *next;

	if (!c->rows_known || !boots_durable(st, c))
		return false;
	HASH_ITER(hh, c->workers, w, next) {
		if (!w->fenced && !w->dead)
			return false;
	}
	return true;
}

/* Put a task on a worker. */
void task_place(struct cell *c, struct task *t, struct worker *w)
{
	t->worker = w;
	TAILQ_INSERT_TAIL(&w->tasks, t, worker_entry);
	w->task_count++;
	w->cpu_used += t->spec.cpu_milli;
	w->memory_used += t->spec.memory_mb;
	w->accelerators_used += t->spec.accelerators;
	t->team->running++;
	c->running++;
	c->long_running += t->class == CLASS_LONG;
}

/* Take a task off its worker's and its team's account. */
void task_release_resources(struct cell *c, struct task *t)
{
	struct worker *w = t->worker;

	if (!w || t->phase == TASK_ENDED)
		return;
	w->task_count--;
	w->cpu_used -= t->spec.cpu_milli;
	w->memory_used -= t->spec.memory_mb;
	w->accelerators_used -= t->spec.accelerators;
	t->team->running--;
	c->running--;
	c->long_running -= t->class == CLASS_LONG;
	c->dirty = true;
}

/* Forget a task. */
void task_free(struct cell *c, struct task *t)
{
	if (t->phase == TASK_QUEUED)
		queue_remove(c, t);
	else
		task_release_resources(c, t);
	if (t->phase == TASK_ENDED)
		TAILQ_REMOVE(&c->ended, t, entry);
	if (t->worker)
		TAILQ_REMOVE(&t->worker->tasks, t, worker_entry);
	HASH_DEL(c->tasks, t);
	bstr_free(&t->job);
	bstr_free(&t->id);
	bstr_free(&t->checkpoint);
	bstr_free(&t->avoid_vm);
	xdr_free(XDR_PROC(xdr_job_spec), (char *)&t->spec);
	xdr_free(XDR_PROC(xdr_job_view), (char *)&t->view);
	free(t);
}

/* The VM that a job's home is on now. */
static bstr task_home(struct state *st, const struct task *t)
{
	struct unit *u;
	bstr vm;

	if (job_id_soft(t->job, &vm))
		return vm;
	u = unit_of_shard(st, job_shard(t->job));
	return u ? bstr_copy(unit_choose(st, u)) : BSTR_NONE;
}

/* Say what we know of a task, to a VM. */
static void task_tell(struct state *st, struct cell *c, struct task *t, bstr to,
		      uint64_t serial)
{
	peer_message msg = {.kind = PM_UPDATE};
	pm_update *m = &msg.peer_message_u.update;
	bstr detail = BSTR_NONE;

	m->cell = c->unit->id;
	m->job = t->job;
	m->attempt = t->attempt;
	m->query_id = serial;
	m->known = TRUE;
	m->final = t->phase == TASK_ENDED;
	m->started = t->may_have_started;
	m->view = t->view;
	if (t->phase == TASK_QUEUED) {
		m->view.reason = bstr_lit(task_hold_reason(st, c, t, &detail));
		m->view.detail = detail;
		m->view.queued_ms = (uint32_t)(st->now - t->queued_at);
	}
	peer_send(st, to, &msg);
	bstr_free(&detail);
}

/* Tell a task's home; a final word is repeated until it is acknowledged. */
void task_notify(struct state *st, struct cell *c, struct task *t)
{
	bstr home = task_home(st, t);

	if (home.bstr_len)
		task_tell(st, c, t, home, 0);
	bstr_free(&home);
	t->notify_at = t->phase == TASK_ENDED ? st->now + NOTIFY_RETRY_MS
					      : INT64_MAX;
}

/* A task has come to its end here. */
void task_end(struct state *st, struct cell *c, struct task *t, job_state state,
	      const char *reason, const char *detail)
{
	if (t->phase == TASK_QUEUED)
		queue_remove(c, t);
	else
		task_release_resources(c, t);
	t->phase = TASK_ENDED;
	t->view.state = state;
	t->view.attempts = t->start;
	bstr_set(&t->view.reason, bstr_lit(reason));
	bstr_set(&t->view.detail, bstr_lit(detail));
	TAILQ_INSERT_TAIL(&c->ended, t, entry);
	t->ended_at = st->now;
	task_notify(st, c, t);
}

/* Put a task that is on no worker any more back into its queue. */
void task_requeue(struct state *st, struct cell *c, struct task *t)
{
	task_release_resources(c, t);
	if (t->worker)
		TAILQ_REMOVE(&t->worker->tasks, t, worker_entry);
	t->worker = NULL;
	t->unsent = false;
	t->checkpoint_requested = false;
	t->phase = TASK_QUEUED;
	t->view.state = JOB_QUEUED;
	queue_add(st, c, t);
	if (t->stopping)
		task_end(st, c, t,
			 t->may_have_started ? JOB_FAILED : JOB_NOT_RUN,
			 "cancelled", "cancelled while it was not running");
	else if (st->now >= t->deadline && !t->may_have_started)
		task_end(st, c, t, JOB_NOT_RUN, "deadline",
			 "its deadline passed before it was started");
}

/*
 * A start may have reached a worker that can no longer tell.  Work that may
 * be repeated goes back into the queue; other work must not be started
 * again, and the truth about it is that it may have run.
 */
void task_lost(struct state *st, struct cell *c, struct task *t)
{
	effect_count(st, COUNT_RETRY_WORKER_LOST, 1);
	if (!t->adopted && t->spec.may_repeat && ++t->tries < st->attempts)
		task_requeue(st, c, t);
	else
		task_end(st, c, t, JOB_UNKNOWN, "worker-lost",
			 "its worker was lost while it may have been running");
}

/* A number out of a task's id, up to the next slash. */
static bool id_number(const char **p, const char *end, uint32_t *n)
{
	uint64_t v = 0;

	if (*p == end || **p == '/')
		return false;
	for (; *p < end && **p != '/'; (*p)++) {
		if (**p < '0' || **p > '9' || v > UINT32_MAX / 10)
			return false;
		v = v * 10 + (uint64_t)(**p - '0');
	}
	*n = (uint32_t)v;
	return *p < end && *(*p)++ == '/';
}

/* Take a task's id apart: job/attempt/start/team. */
static bool id_parse(bstr id, bstr *job, uint32_t *attempt, uint32_t *start,
		     bstr *team)
{
	const char *p = id.bstr_val, *end = p + id.bstr_len, *slash;

	slash = id.bstr_len ? memchr(p, '/', id.bstr_len) : NULL;
	if (!slash || slash == p)
		return false;
	*job = bstr_ref(p, (size_t)(slash - p));
	p = slash + 1;
	if (!id_number(&p, end, attempt) || !id_number(&p, end, start))
		return false;
	*team = bstr_ref(p, (size_t)(end - p));
	return bstr_is_name(*team, NAME_MAX_LEN);
}

/*
 * A worker has a task that we don't know: an earlier owner of the cell
 * started it.  It counts against its team's upper limit from now on.
 */
static struct task *task_adopt(struct state *st, struct cell *c,
			       struct worker *w, const task_report *r)
{
	uint32_t attempt, start;
	bstr job, team;
	struct task *t;

	if (!id_parse(r->task, &job, &attempt, &start, &team)) {
		effect_count(st, COUNT_DROPPED_WORKER_GARBAGE, 1);
		return NULL;
	}
	HASH_FIND_BSTR(c->tasks, job, t);
	if (t)
		return NULL;
	t = xcalloc(1, sizeof(*t));
	t->job = bstr_copy(job);
	t->id = bstr_copy(r->task);
	t->attempt = attempt;
	t->start = start;
	t->adopted = true;
	t->may_have_started = true;
	t->phase = TASK_ON_WORKER;
	t->queued_at = t->started_at = st->now;
	t->deadline = INT64_MAX;
	t->notify_at = INT64_MAX;
	t->view.job = bstr_copy(job);
	t->view.team = bstr_copy(team);
	t->view.state = JOB_RUNNING;
	t->team = cell_team_get(st, c, team);
	HASH_ADD_BSTR(c->tasks, job, t);
	task_place(c, t, w);
	return t;
}

/* A worker stopped a task: on a cancellation, or to move it. */
static void task_stopped(struct state *st, struct cell *c, struct task *t,
			 const task_report *r)
{
	if (t->stopping) {
		task_end(st, c, t, JOB_FAILED, "cancelled",
			 "cancelled; it had been started and was stopped");
		return;
	}
	if (r->state == TASK_CHECKPOINTED && !t->adopted) {
		bstr_set(&t->checkpoint, r->result);
		task_requeue(st, c, t);
		return;
	}
	if (r->state == TASK_LAPSED) {
		effect_count(st, COUNT_RETRY_TASK_LAPSED, 1);
		if (!t->adopted && t->spec.may_repeat &&
		    ++t->tries < st->attempts) {
			task_requeue(st, c, t);
			return;
		}
		task_end(st, c, t, JOB_FAILED, "lease-lapsed",
			 "its lease lapsed while it ran; it was stopped");
		return;
	}
	task_end(st, c, t, JOB_FAILED, "stopped",
		 "its worker stopped it while it ran");
}

/*
 * A task failed.  On a worker that fails all it starts, the worker is the
 * likelier cause, so work that may be repeated is tried on another one.
 */
static void task_failed(struct state *st, struct cell *c, struct task *t,
			const task_report *r)
{
	char *detail;

	t->worker->failures++;
	if (t->worker->failures >= WORKER_SUSPECT_FAILURES && !t->adopted &&
	    t->spec.may_repeat && ++t->tries < st->attempts) {
		bstr_set(&t->avoid_vm, t->worker->vm);
		task_requeue(st, c, t);
		return;
	}
	detail = bstr_cstr(r->reason);
	task_end(st, c, t, JOB_FAILED, "task-failed", detail);
	free(detail);
}

/* Take the state of a task that we know by this very id. */
static void task_take(struct state *st, struct cell *c, struct task *t,
		      const task_report *r)
{
	bool first = t->phase == TASK_STARTING;

	bstr_set(&t->view.worker, t->worker->vm);
	t->view.ran_ms = r->ran_ms;
	switch (r->state) {
	case TASK_RUNNING:
		t->phase = TASK_ON_WORKER;
		t->view.state = JOB_RUNNING;
		t->unsent = false;
		if (first) {
			t->running_seen_at = st->now;
			task_notify(st, c, t);
		}
		return;
	case TASK_DONE:
		t->worker->failures = 0;
		bstr_set(&t->view.result, r->result);
		run_time_observe(st, t, r->ran_ms);
		task_end(st, c, t, JOB_DONE, "", "");
		return;
	case TASK_FAILED:
		bstr_set(&t->view.result, r->result);
		task_failed(st, c, t, r);
		return;
	case TASK_REFUSED:
		worker_order(st, t->worker, t->id, TASK_FORGET);
		if (t->adopted) {
			task_free(c, t);
			return;
		}
		effect_count(st, COUNT_RETRY_TASK_REFUSED, 1);
		t->may_have_started = t->may_have_started_before;
		task_requeue(st, c, t);
		return;
	case TASK_STOPPED:
	case TASK_LAPSED:
	case TASK_CHECKPOINTED:
		task_stopped(st, c, t, r);
		return;
	}
}

/*
 * A worker's word on one task.  A start that we have replaced meanwhile is
 * stopped if it runs, and forgotten once it has ended.
 */
void task_report_handle(struct state *st, struct cell *c, struct worker *w,
			const task_report *r)
{
	bstr job = r->task;
	struct task *t;
	const char *slash;

	slash = job.bstr_len ? memchr(job.bstr_val, '/', job.bstr_len) : NULL;
	if (slash)
		job.bstr_len = (u_int)(slash - job.bstr_val);
	HASH_FIND_BSTR(c->tasks, job, t);
	if (!t)
		t = task_adopt(st, c, w, r);
	if (r->state != TASK_RUNNING)
		worker_confirm_ended(w, r->task);
	if (t && t->worker == w && bstr_eq(t->id, r->task)) {
		if (t->phase != TASK_ENDED)
			task_take(st, c, t, r);
		return;
	}
	if (r->state != TASK_RUNNING) {
		worker_order(st, w, r->task, TASK_FORGET);
	} else if (t) {
		worker_add_unconfirmed(w, r->task, t->team);
		worker_order(st, w, r->task, TASK_STOP);
	}
}

/* Refuse a dispatch finally, without keeping anything of it. */
static void dispatch_refuse(struct state *st, bstr to, const pm_dispatch *m,
			    enum counter_id counter, const char *detail,
			    uint32_t retry)
{
	peer_message msg = {.kind = PM_UPDATE};
	pm_update *u = &msg.peer_message_u.update;

	effect_count(st, counter, 1);
	u->cell = m->cell;
	u->job = m->job;
	u->attempt = m->attempt;
	u->known = TRUE;
	u->final = TRUE;
	u->view.job = m->job;
	u->view.state = JOB_NOT_RUN;
	u->view.reason = bstr_lit(counter_entries[counter].value);
	u->view.detail = bstr_lit(detail);
	u->view.retry_after_ms = retry;
	peer_send(st, to, &msg);
}

/* Say that we don't own a cell; nothing was done with the message. */
static void cell_disown(struct state *st, bstr to, peer_kind kind,
			const cell_id *cell, bstr job, uint32_t attempt)
{
	peer_message msg = {.kind = PM_UNOWNED};

	msg.peer_message_u.unowned = (pm_unowned){kind, 0,	 *cell,
						  job,	attempt, st->stopping};
	peer_send(st, to, &msg);
}

/* Take a dispatched job into the queue. */
static void task_new(struct state *st, struct cell *c, const pm_dispatch *m)
{
	struct task *t = xcalloc(1, sizeof(*t));

	t->job = bstr_copy(m->job);
	t->attempt = m->attempt;
	xdr_copy(XDR_PROC(xdr_job_spec), &t->spec, &m->spec, sizeof(m->spec));
	t->phase = TASK_QUEUED;
	t->queued_at = st->now;
	t->deadline = st->now + m->budget_ms;
	t->notify_at = INT64_MAX;
	t->view.job = bstr_copy(m->job);
	t->view.team = bstr_copy(m->spec.team);
	t->view.pool = bstr_copy(m->spec.pool);
	t->view.label = bstr_copy(m->spec.label);
	t->team = cell_team_get(st, c, m->spec.team);
	HASH_ADD_BSTR(c->tasks, job, t);
	queue_add(st, c, t);
}

/* A home gives us a job. */
void cell_dispatch(struct state *st, bstr from, const pm_dispatch *m)
{
	struct unit *u = unit_of_cell(st, &m->cell);
	struct cell_team *team;
	struct task *t;

	if (!unit_is_active(st, u) || st->stopping) {
		cell_disown(st, from, PM_DISPATCH, &m->cell, m->job,
			    m->attempt);
		return;
	}
	HASH_FIND_BSTR(u->cell->tasks, m->job, t);
	if (t) {
		/* The same again, or one that its home has given up. */
		effect_count(st, COUNT_DROPPED_DUPLICATE, 1);
		if (t->attempt != m->attempt)
			effect_log(st, LOG_PEER_CONFUSED,
				   "attempt %u of %.*s, here is %u", m->attempt,
				   BSTR_ARG(m->job), t->attempt);
		task_tell(st, u->cell, t, from, 0);
		return;
	}
	team = cell_team_get(st, u->cell, m->spec.team);
	if (!m->budget_ms)
		dispatch_refuse(st, from, m, COUNT_REFUSED_DEADLINE,
				"its deadline passed before it was queued", 0);
	else if (u->cell->queued >= st->queue_per_cell)
		dispatch_refuse(st, from, m, COUNT_REFUSED_QUEUE_FULL,
				"the pool's queue is full", RETRY_AFTER_MS * 2);
	else if (team->queued >= st->queue_per_team)
		dispatch_refuse(st, from, m, COUNT_REFUSED_TEAM_QUEUE_FULL,
				"the team's queue is full", RETRY_AFTER_MS * 2);
	else
		task_new(st, u->cell, m);
}

/*
 * Answer for a job that this cell has no task of.  Until every worker has
 * answered to our epoch it may be on one of them; and if one has forgotten
 * what it ran, the job may have been among that, for good.
 */
static void cell_untraced(struct state *st, struct cell *c, bstr from,
			  const pm_attempt *m)
{
	peer_message msg = {.kind = PM_UPDATE};
	pm_update *u = &msg.peer_message_u.update;

	u->cell = m->cell;
	u->job = m->job;
	u->attempt = m->attempt;
	u->query_id = m->query_id;
	u->view.state = JOB_UNKNOWN;
	u->known = TRUE;
	if (!cell_state_known(st, c)) {
		u->view.reason = bstr_lit("owner-taking-over");
		u->view.detail = bstr_lit("the cell's new owner has not yet "
					  "heard every worker");
	} else if (c->boots.history_lost) {
		u->final = u->started = TRUE;
		u->view.reason = bstr_lit("worker-lost");
		u->view.detail = bstr_lit("a worker of its cell restarted and "
					  "forgot what it ran: it may have "
					  "run there");
	} else {
		u->known = FALSE;
	}
	peer_send(st, from, &msg);
}

/* A home asks what has become of a job. */
void cell_query(struct state *st, bstr from, const pm_attempt *m)
{
	struct unit *u = unit_of_cell(st, &m->cell);
	struct task *t;

	if (!unit_is_active(st, u)) {
		cell_disown(st, from, PM_QUERY, &m->cell, m->job, m->attempt);
		return;
	}
	HASH_FIND_BSTR(u->cell->tasks, m->job, t);
	if (t && t->attempt == m->attempt)
		task_tell(st, u->cell, t, from, m->query_id);
	else if (!t)
		cell_untraced(st, u->cell, from, m);
}

/* A home cancels a job. */
void cell_cancel(struct state *st, bstr from, const pm_attempt *m)
{
	struct unit *u = unit_of_cell(st, &m->cell);
	struct task *t;

	if (!unit_is_active(st, u)) {
		cell_disown(st, from, PM_CANCEL, &m->cell, m->job, m->attempt);
		return;
	}
	HASH_FIND_BSTR(u->cell->tasks, m->job, t);
	if (!t) {
		cell_untraced(st, u->cell, from, m);
		return;
	}
	if (t->attempt != m->attempt)
		return;
	if (t->phase == TASK_QUEUED) {
		task_end(st, u->cell, t,
			 t->may_have_started ? JOB_FAILED : JOB_NOT_RUN,
			 "cancelled", "cancelled while it was queued");
		return;
	}
	if (t->phase == TASK_ENDED) {
		task_tell(st, u->cell, t, from, m->query_id);
		return;
	}
	t->stopping = true;
	if (t->unsent)
		task_requeue(st, u->cell, t); /* ends it: nothing was sent */
	else
		worker_order(st, t->worker, t->id, TASK_STOP);
}

/* The home has kept the final word: worker and cell may forget the task. */
void cell_ack(struct state *st, const pm_attempt *m)
{
	struct unit *u = unit_of_cell(st, &m->cell);
	struct task *t;

	if (!u || !u->cell)
		return;
	HASH_FIND_BSTR(u->cell->tasks, m->job, t);
	if (!t || t->phase != TASK_ENDED || t->attempt > m->attempt)
		return;
	if (t->worker)
		worker_order(st, t->worker, t->id, TASK_FORGET);
	task_free(u->cell, t);
}

/* Repeat final words that were not acknowledged; forget orphans. */
static void cell_notify(struct state *st, struct cell *c)
{
	struct task *t, *next;
	struct member *m;
	bool orphan;
	bstr vm;

	for (t = TAILQ_FIRST(&c->ended); t; t = next) {
		next = TAILQ_NEXT(t, entry);
		if (st->now < t->notify_at)
			continue;
		orphan = job_id_soft(t->job, &vm);
		m = orphan ? member_find(st, vm) : NULL;
		orphan = orphan && !bstr_eq(vm, st->vm) &&
			 (!m || !member_alive(m)) &&
			 st->now - t->ended_at > ORPHAN_MS;
		bstr_free(&vm);
		if (orphan) {
			if (t->worker)
				worker_order(st, t->worker, t->id, TASK_FORGET);
			task_free(c, t);
		} else {
			task_notify(st, c, t);
		}
	}
}

/* End what has waited beyond its deadline. */
static void cell_expire(struct state *st, struct cell *c)
{
	struct cell_team *team, *tn;
	struct task *t, *next;
	int i;

	HASH_ITER(hh, c->teams, team, tn) {
		for (i = 0; i < CLASS_MAX; i++) {
			for (t = TAILQ_FIRST(&team->queue[i]); t; t = next) {
				next = TAILQ_NEXT(t, entry);
				if (st->now < t->deadline ||
				    t->may_have_started)
					continue;
				task_end(st, c, t, JOB_NOT_RUN, "deadline",
					 "its deadline passed in the queue");
			}
		}
	}
}

/* What is due in the cells that we own. */
void cells_tick(struct state *st)
{
	uint64_t queued = 0, running = 0;
	struct unit *u, *next;

	HASH_ITER(hh, st->units, u, next) {
		if (!u->cell || u->state != UNIT_OWNED)
			continue;
		workers_tick(st, u->cell);
		if (unit_is_active(st, u))
			boots_tick(st, u->cell);
		if (unit_is_active(st, u)) {
			cell_expire(st, u->cell);
			limits_tick(st, u->cell);
			u->cell->dirty = true;
		}
		cell_notify(st, u->cell);
		queued += u->cell->queued;
		running += u->cell->running;
	}
	if (queued != st->reported_queued)
		effect_count(st, COUNT_QUEUED, queued);
	if (running != st->reported_running)
		effect_count(st, COUNT_RUNNING, running);
	st->reported_queued = queued;
	st->reported_running = running;
}

/* Schedule the cells in which something has changed. */
void cells_schedule(struct state *st)
{
	struct unit *u, *next;

	HASH_ITER(hh, st->units, u, next) {
		if (!u->cell || !u->cell->dirty || !unit_is_active(st, u))
			continue;
		u->cell->dirty = false;
		if (st->stopping)
			continue;
		cell_schedule(st, u->cell);
		/* What an upper limit held back need not wait for a tick. */
		limits_tick(st, u->cell);
	}
}
