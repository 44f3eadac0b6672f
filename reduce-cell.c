/*
 * Tasks of the cells that this VM owns: dispatches, queries and cancellations
 * from the jobs' homes, reports from workers, and results to the homes.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

/* The result of a soft job is kept this long after its home has died. */
#define ORPHAN_RETENTION_MS 60000

/* Sets up the state of a cell that this VM has just claimed. */
void cell_start(struct state *st, struct unit *u)
{
	struct cell *c = xcalloc(1, sizeof(*c));

	c->unit = u;
	c->started_at = st->now;
	c->dirty = true;
	TAILQ_INIT(&c->ended);
	u->cell = c;
}

void cell_team_free(struct cell *c, struct cell_team *t)
{
	HASH_DEL(c->teams, t);
	bstr_free(&t->team);
	xdr_free(XDR_PROC(xdr_allowance_row), (char *)&t->row);
	free(t);
}

/* Frees a cell.  Its running tasks go on; the next owner adopts them. */
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

/* Returns a team's state in a cell, which is created if needed. */
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
 * Returns true if every worker that may have a task of this cell has answered
 * to the current epoch, and all restarts of workers, which lose task state,
 * are recorded.  From then on every worker refuses starts by an earlier owner.
 * Only then can the absence of a task prove that its job was not started.
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

/* Assigns a task to a worker and counts its resources there. */
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

/* Stops counting a task against its worker, its team and its cell. */
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

/* Removes a task in any phase and frees it. */
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

/* Returns a copy of the name of the VM that is the job's home now. */
static bstr task_home(struct state *st, const struct task *t)
{
	struct unit *u;
	bstr vm;

	if (job_id_is_soft(t->job, &vm))
		return vm;
	u = unit_of_shard(st, job_shard(t->job));
	return u ? bstr_copy(unit_choose(st, u)) : BSTR_NONE;
}

/* Sends a task's state to a VM; serial is that of the query answered, or 0. */
static void task_send_update(struct state *st, struct cell *c, struct task *t,
			     bstr to, uint64_t serial)
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
		m->view.reason = bstr_lit(task_wait_reason(st, c, t, &detail));
		m->view.detail = detail;
		m->view.queued_ms = (uint32_t)(st->now - t->queued_at);
	}
	peer_send(st, to, &msg);
	bstr_free(&detail);
}

/* Sends a task's state to its home; repeats a result until acknowledged. */
void task_notify(struct state *st, struct cell *c, struct task *t)
{
	bstr home = task_home(st, t);

	if (home.bstr_len)
		task_send_update(st, c, t, home, 0);
	bstr_free(&home);
	t->notify_at = t->phase == TASK_ENDED ? st->now + NOTIFY_RETRY_MS
					      : INT64_MAX;
}

/* Ends a task with this result and sends it to the home. */
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

/*
 * Puts a task that is on no worker any more back into its queue, or ends it if
 * it was cancelled or its deadline has passed.
 */
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
 * Handles a task whose start may have reached a worker that can no longer be
 * asked.  A task that may be repeated goes back into the queue.  Any other
 * must not be started again; its result is unknown, as it may have run.
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

/* Parses a number in a task's id, and skips the slash after it. */
static bool task_id_parse_number(const char **p, const char *end, uint32_t *n)
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

/* Parses a task's id: job/attempt/start/team. */
static bool task_id_parse(bstr id, bstr *job, uint32_t *attempt,
			  uint32_t *start, bstr *team)
{
	const char *p = id.bstr_val, *end = p + id.bstr_len, *slash;

	slash = id.bstr_len ? memchr(p, '/', id.bstr_len) : NULL;
	if (!slash || slash == p)
		return false;
	*job = bstr_ref(p, (size_t)(slash - p));
	p = slash + 1;
	if (!task_id_parse_number(&p, end, attempt) ||
	    !task_id_parse_number(&p, end, start))
		return false;
	*team = bstr_ref(p, (size_t)(end - p));
	return bstr_is_name(*team, NAME_MAX_LEN);
}

/*
 * Adopts a task that a worker reports and this VM did not start: an earlier
 * owner of the cell did.  It counts against its team's upper limit from now
 * on.  Returns NULL if the id is invalid or the job has a task here.
 */
static struct task *task_adopt(struct state *st, struct cell *c,
			       struct worker *w, const task_report *r)
{
	uint32_t attempt, start;
	bstr job, team;
	struct task *t;

	if (!task_id_parse(r->task, &job, &attempt, &start, &team)) {
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

/*
 * Handles a task that its worker stopped: cancelled, checkpointed to be moved,
 * or because its lease expired.
 */
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
 * Handles a failed task.  If a worker fails many tasks in a row, the worker is
 * the likelier cause, so a task that may be repeated is started elsewhere.
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

/* Applies a worker's report to a task whose current start it names. */
static void task_apply_report(struct state *st, struct cell *c, struct task *t,
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
 * Handles a worker's report about one task.  If the report is about a start
 * that has been replaced by a later one, the worker is told to stop the task,
 * or to drop it if it has ended.
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
			task_apply_report(st, c, t, r);
		return;
	}
	if (r->state != TASK_RUNNING) {
		worker_order(st, w, r->task, TASK_FORGET);
	} else if (t) {
		worker_add_unconfirmed(w, r->task, t->team);
		worker_order(st, w, r->task, TASK_STOP);
	}
}

/* Answers a dispatch with "not run", without creating a task. */
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

/* Replies that this VM does not own the cell and ignored the message. */
static void cell_reply_unowned(struct state *st, bstr to, peer_kind kind,
			       const cell_id *cell, bstr job, uint32_t attempt)
{
	peer_message msg = {.kind = PM_UNOWNED};

	msg.peer_message_u.unowned = (pm_unowned){kind, 0,	 *cell,
						  job,	attempt, st->stopping};
	peer_send(st, to, &msg);
}

/* Creates the task of a dispatched job and queues it. */
static void task_enqueue(struct state *st, struct cell *c, const pm_dispatch *m)
{
	struct task *t = xcalloc(1, sizeof(*t));

	t->job = bstr_copy(m->job);
	t->attempt = m->attempt;
	xdr_copy(XDR_PROC(xdr_job_spec), &t->spec, &m->spec, sizeof(m->spec));
	t->phase = TASK_QUEUED;
	t->queued_at = st->now;
	t->deadline = st->now + m->remaining_ms;
	t->notify_at = INT64_MAX;
	t->view.job = bstr_copy(m->job);
	t->view.team = bstr_copy(m->spec.team);
	t->view.pool = bstr_copy(m->spec.pool);
	t->view.label = bstr_copy(m->spec.label);
	t->team = cell_team_get(st, c, m->spec.team);
	HASH_ADD_BSTR(c->tasks, job, t);
	queue_add(st, c, t);
}

/* Handles a job that its home dispatches to a cell. */
void cell_dispatch(struct state *st, bstr from, const pm_dispatch *m)
{
	struct unit *u = unit_of_cell(st, &m->cell);
	struct cell_team *team;
	struct task *t;

	if (!unit_is_active(st, u) || st->stopping) {
		cell_reply_unowned(st, from, PM_DISPATCH, &m->cell, m->job,
				   m->attempt);
		return;
	}
	HASH_FIND_BSTR(u->cell->tasks, m->job, t);
	if (t) {
		/* A duplicate, or the home has given up the attempt here. */
		effect_count(st, COUNT_DROPPED_DUPLICATE, 1);
		if (t->attempt != m->attempt)
			effect_log(st, LOG_PEER_CONFUSED,
				   "attempt %u of %.*s, here is %u", m->attempt,
				   BSTR_ARG(m->job), t->attempt);
		task_send_update(st, u->cell, t, from, 0);
		return;
	}
	team = cell_team_get(st, u->cell, m->spec.team);
	if (!m->remaining_ms)
		dispatch_refuse(st, from, m, COUNT_REFUSED_DEADLINE,
				"its deadline passed before it was queued", 0);
	else if (u->cell->queued >= st->queue_per_cell)
		dispatch_refuse(st, from, m, COUNT_REFUSED_QUEUE_FULL,
				"the pool's queue is full", RETRY_AFTER_MS * 2);
	else if (team->queued >= st->queue_per_team)
		dispatch_refuse(st, from, m, COUNT_REFUSED_TEAM_QUEUE_FULL,
				"the team's queue is full", RETRY_AFTER_MS * 2);
	else
		task_enqueue(st, u->cell, m);
}

/*
 * Answers a query about a job that has no task in this cell.  Until every
 * worker has answered to the current epoch, the job may be on one of them.  If
 * a worker has lost its task state, the job may have run there, which can never
 * be found out.  Otherwise the job was not started.
 */
static void cell_reply_no_task(struct state *st, struct cell *c, bstr from,
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

/* Handles a home's query for the state of an attempt. */
void cell_query(struct state *st, bstr from, const pm_attempt *m)
{
	struct unit *u = unit_of_cell(st, &m->cell);
	struct task *t;

	if (!unit_is_active(st, u)) {
		cell_reply_unowned(st, from, PM_QUERY, &m->cell, m->job,
				   m->attempt);
		return;
	}
	HASH_FIND_BSTR(u->cell->tasks, m->job, t);
	if (t && t->attempt == m->attempt)
		task_send_update(st, u->cell, t, from, m->query_id);
	else if (!t)
		cell_reply_no_task(st, u->cell, from, m);
}

/* Handles a home's cancellation of an attempt. */
void cell_cancel(struct state *st, bstr from, const pm_attempt *m)
{
	struct unit *u = unit_of_cell(st, &m->cell);
	struct task *t;

	if (!unit_is_active(st, u)) {
		cell_reply_unowned(st, from, PM_CANCEL, &m->cell, m->job,
				   m->attempt);
		return;
	}
	HASH_FIND_BSTR(u->cell->tasks, m->job, t);
	if (!t) {
		cell_reply_no_task(st, u->cell, from, m);
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
		task_send_update(st, u->cell, t, from, m->query_id);
		return;
	}
	t->stopping = true;
	if (t->unsent)
		task_requeue(st, u->cell, t); /* ends it, as it was not sent */
	else
		worker_order(st, t->worker, t->id, TASK_STOP);
}

/*
 * Handles the home's acknowledgement of a result: drops the task here and at
 * the worker.
 */
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

/*
 * Repeats results that were not acknowledged.  Drops those of soft jobs whose
 * home has died, as nobody will acknowledge them.
 */
static void cell_repeat_results(struct state *st, struct cell *c)
{
	struct task *t, *next;
	struct member *m;
	bool orphan;
	bstr vm;

	for (t = TAILQ_FIRST(&c->ended); t; t = next) {
		next = TAILQ_NEXT(t, entry);
		if (st->now < t->notify_at)
			continue;
		orphan = job_id_is_soft(t->job, &vm);
		m = orphan ? member_find(st, vm) : NULL;
		orphan = orphan && !bstr_eq(vm, st->vm) &&
			 (!m || !member_alive(m)) &&
			 st->now - t->ended_at > ORPHAN_RETENTION_MS;
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

/* Ends queued tasks whose deadline has passed and that were never started. */
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

/* Does what is due in the cells that this VM owns. */
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
		cell_repeat_results(st, u->cell);
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

/* Runs a scheduling pass in each cell that has changed. */
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
		/* Teams that are blocked need more allowance at once. */
		limits_tick(st, u->cell);
	}
}
