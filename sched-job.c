/*
 * The owner's book of jobs: their occurrences and tasks, what is ready, and
 * when a job is final.
 */
#include "sched-state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* The wall clock jumps; an occurrence is begun no sooner than this late, to
 * be on the right side of the 250 ms that its start may be early. */
#define DUE_SLACK_MS 20
/* Jobs whose rows are removed together, three of each. */
#define SWEEP_JOBS_MAX 30

/* Find a job of the book. */
struct job *sched_job_find(struct sched *s, const char *id)
{
	struct job *j;

	HASH_FIND(hh, s->jobs, id, JOB_ID_BYTES, j);
	return j;
}

/* The step of a task. */
const struct job_step *task_step(const struct task *t)
{
	return &t->occ->job->body->steps[t->step];
}

/* The name of a task on its worker: ID.K.STEP.INDEX. */
bstr task_name(const struct task *t)
{
	return bstr_printf("%s.%u.%u.%u", t->occ->job->id, t->occ->number,
			   t->step, t->index);
}

/* Find what a job refers to in the configuration in force. */
static void job_configure(const struct sched *s, struct job *j)
{
	if (j->estimate.config_serial == s->config_serial)
		return;
	j->estimate.route = route_named(s, j->route);
	j->estimate.tenant = tenant_named(s, j->tenant);
	j->estimate.pool = NULL; /* the queue may lead to another one */
	j->estimate.config_serial = s->config_serial;
}

/* A job's queue in the configuration in force; NULL: it is not there. */
const struct route *job_route(const struct sched *s, struct job *j)
{
	job_configure(s, j);
	return j->estimate.route;
}

/* A job's organisation there; NULL: it is not there. */
const struct tenant *job_tenant(const struct sched *s, struct job *j)
{
	job_configure(s, j);
	return j->estimate.tenant;
}

/* The service whose workers run a job now. */
bstr job_service(const struct sched *s, struct job *j)
{
	const struct route *r = job_route(s, j);

	return r ? r->service : j->service;
}

/*
 * Is it known where the tasks of a job are?  They can be on workers of the
 * service that its queue leads to, or of the one that it led to when the job
 * was accepted.
 */
bool job_is_settled(struct sched *s, struct job *j)
{
	if (!j->settled)
		j->settled = pool_is_settled(s, job_service(s, j)) &&
			     pool_is_settled(s, j->service);
	return j->settled;
}

/* Does a job's progress, as it was read, show that a task of it has begun? */
static bool progress_has_run(const struct job *j)
{
	const struct occurrence *o;
	unsigned i, open = 0;

	TAILQ_FOREACH(o, &j->occs, entry) {
		open++;
		for (i = 0; i < o->task_count; i++)
			if (o->tasks[i].phase == PHASE_DONE ||
			    o->tasks[i].failure_count ||
			    o->tasks[i].checkpoint.bstr_len)
				return true;
	}
	return j->next_occurrence > open;
}

/*
 * Has no task of a job begun?  Only a worker's word counts: an owner orders
 * starts that workers turn away or never get, and writes that a job may run
 * before its first start.  Counted as begun, all that waits in an overload or
 * at a takeover would seem to run, and callers would be told that none waits.
 */
bool job_waits(const struct job *j)
{
	return j->status <= JOB_STATUS_RUNNING && !j->run_seen;
}

/*
 * May tasks of a job start?  Before the first of them the store has to know.
 * A successor can then start at once what is queued there, wherever workers
 * are out of its reach; it would have to wait for the end of all leases
 * otherwise, 6 s for jobs that have never begun.  Costs one write, which goes
 * with others, and its few milliseconds, once a job.
 */
bool job_begin(struct sched *s, struct job *j)
{
	if (j->start_durable)
		return true;
	if (j->status == JOB_STATUS_QUEUED) {
		s->load.job_starts++;
		j->status = JOB_STATUS_RUNNING;
		job_mark_dirty(s, j);
	}
	return false;
}

/* A job's progress as it is has been written. */
void job_mark_durable(struct sched *s, struct job *j)
{
	if (j->start_durable || j->dirty_seq || j->status != JOB_STATUS_RUNNING)
		return;
	j->start_durable = true;
	s->place_due = true;
}

/* A task changes its phase; its step's pending tasks are counted. */
void task_phase(struct task *t, enum run_phase phase)
{
	struct pending_tasks *r = &t->occ->pending_tasks[t->step];

	if (t->phase == PHASE_PENDING)
		r->count--;
	if (phase == PHASE_PENDING)
		r->count++;
	t->phase = phase;
}

/* A task is not placed before a time. */
void task_pause(struct task *t, int64_t until)
{
	struct pending_tasks *r = &t->occ->pending_tasks[t->step];

	t->not_before = until;
	if (until > r->retry_at_max)
		r->retry_at_max = until;
}

/* Since when has a pending task been ready?  0: it is not. */
int64_t task_ready_at(const struct task *t)
{
	return t->ready_at ? t->ready_at
			   : t->occ->pending_tasks[t->step].ready_at;
}

/* Make the tasks of an occurrence. */
void job_make_occurrence(struct job *j, unsigned k)
{
	struct occurrence *o = xcalloc(1, sizeof(*o));
	const struct job_body *b = j->body;
	struct task *t;
	size_t i;
	unsigned n;

	o->job = j;
	o->number = k;
	o->unfinished_in_step = xcalloc(b->step_count,
					sizeof(*o->unfinished_in_step));
	o->pending_tasks = xcalloc(b->step_count, sizeof(*o->pending_tasks));
	o->first_task = xcalloc(b->step_count, sizeof(*o->first_task));
	for (i = 0; i < b->step_count; i++) {
		o->first_task[i] = o->task_count;
		o->unfinished_in_step[i] = b->steps[i].count;
		o->pending_tasks[i].count = b->steps[i].count;
		o->task_count += b->steps[i].count;
	}
	o->unfinished = o->task_count;
	o->tasks = xcalloc(o->task_count, sizeof(*o->tasks));
	for (i = 0; i < b->step_count; i++) {
		for (n = 0; n < b->steps[i].count; n++) {
			t = &o->tasks[o->first_task[i] + n];
			t->occ = o;
			t->step = (unsigned)i;
			t->index = n;
			t->pace_percent = 100;
		}
	}
	TAILQ_INSERT_TAIL(&j->occs, o, entry);
}

/* Free an occurrence; none of its tasks is anywhere. */
static void occurrence_free(struct occurrence *o)
{
	unsigned i;

	advice_free(o);
	for (i = 0; i < o->task_count; i++)
		bstr_free(&o->tasks[i].checkpoint);
	free(o->tasks);
	free(o->unfinished_in_step);
	free(o->pending_tasks);
	free(o->first_task);
	free(o);
}

/* Take a job's tasks off their workers' lists, whatever they do there. */
static void job_detach(struct sched *s, struct job *j)
{
	struct occurrence *o;
	unsigned i;

	TAILQ_FOREACH(o, &j->occs, entry) {
		for (i = 0; i < o->task_count; i++)
			if (o->tasks[i].worker)
				task_unplace(s, &o->tasks[i]);
	}
}

/* Free a job. */
void sched_job_free(struct sched *s, struct job *j)
{
	struct occurrence *o;

	job_detach(s, j);
	if (j->dirty_seq)
		TAILQ_REMOVE(&s->dirty, j, dirty);
	else if (j->commit_seq)
		TAILQ_REMOVE(&s->committing_jobs, j, dirty);
	TAILQ_REMOVE(&s->order, j, entry);
	HASH_DEL(s->jobs, j);
	while ((o = TAILQ_FIRST(&j->occs))) {
		TAILQ_REMOVE(&j->occs, o, entry);
		occurrence_free(o);
	}
	bstr_free(&j->tenant);
	bstr_free(&j->route);
	bstr_free(&j->service);
	job_body_free(j->body);
	free(j->estimate.step_ms);
	free(j->estimate.remaining_ms);
	free(j);
}

/* Is everything before a step done? */
bool step_ready(const struct occurrence *o, unsigned at)
{
	const struct job_step *st = &o->job->body->steps[at];
	size_t i;

	for (i = 0; i < st->prerequisite_count; i++)
		if (o->unfinished_in_step[st->prerequisites[i]])
			return false;
	return true;
}

/* A job's progress has changed and is to be written. */
void job_mark_dirty(struct sched *s, struct job *j)
{
	if (j->dirty_seq || j->recommit_seq)
		return;
	/* In the commit under way: it is written once more after that. */
	if (j->commit_seq) {
		j->recommit_seq = ++s->dirty_seq;
		return;
	}
	j->dirty_seq = ++s->dirty_seq;
	TAILQ_INSERT_TAIL(&s->dirty, j, dirty);
}

/* Remember a final job until its rows may go. */
static void job_retire(struct sched *s, const char *id, int64_t ended)
{
	struct retired *r;

	HASH_FIND(hh, s->retired, id, JOB_ID_BYTES, r);
	if (r)
		return;
	r = xcalloc(1, sizeof(*r));
	memcpy(r->id, id, JOB_ID_BYTES);
	r->ended = ended ? ended : s->wall;
	HASH_ADD(hh, s->retired, id, JOB_ID_BYTES, r);
	TAILQ_INSERT_TAIL(&s->retired_order, r, entry);
}

/* Forget a final job. */
void job_unretire(struct sched *s, struct retired *r)
{
	TAILQ_REMOVE(&s->retired_order, r, entry);
	if (s->retired)
		HASH_DEL(s->retired, r);
	free(r);
}

/* Stop all that a final job still has on workers. */
static void job_stop(struct sched *s, struct job *j)
{
	struct occurrence *o;
	unsigned i;

	TAILQ_FOREACH(o, &j->occs, entry) {
		for (i = 0; i < o->task_count; i++)
			if (o->tasks[i].worker)
				task_stop(s, &o->tasks[i]);
	}
}

/* Give a job its final state. */
static void job_finish(struct sched *s, struct job *j, enum job_status fate)
{
	if (j->status > JOB_STATUS_RUNNING)
		return;
	j->status = fate;
	j->ended = s->wall;
	sched_count(s,
		    fate == JOB_STATUS_COMPLETED ? COUNT_JOBS_DONE
		    : fate == JOB_STATUS_FAILED	 ? COUNT_JOBS_FAILED
						 : COUNT_JOBS_NOT_RUN,
		    1);
	sched_log(s, LOG_JOB_FINAL,
		  "job=%s queue=%.*s state=%s starts=%u ms=%lld late_ms=%lld",
		  j->id, BSTR_ARG(j->route), job_status_name(fate), j->starts,
		  (long long)(s->now - j->arrived),
		  (long long)(j->due ? s->now - j->due : 0));
	if (!j->inherited)
		sched_observe(s, HISTOGRAM_JOB, s->now - j->arrived);
	job_stop(s, j);
	job_mark_dirty(s, j);
	s->place_due = true;
}

/*
 * May runs of a job that an earlier owner started still come to light?  Of a
 * final one they are to be stopped, and count for their organisation until
 * they have ended: others started beside them would be above its upper limit.
 */
static bool job_may_show_up(struct sched *s, struct job *j)
{
	return j->inherited && !s->settled && !job_is_settled(s, j);
}

/* A final job whose state is durable and that runs nowhere is forgotten. */
void job_retire_if_done(struct sched *s, struct job *j)
{
	if (j->status <= JOB_STATUS_RUNNING || j->dirty_seq || j->commit_seq ||
	    j->placed || job_may_show_up(s, j))
		return;
	job_retire(s, j->id, j->ended);
	sched_job_free(s, j);
}

/* Are all times of a job done? */
static bool job_is_done(const struct job *j)
{
	unsigned times = j->body->repeat_count ? j->body->repeat_count : 1;

	return j->next_occurrence >= times && TAILQ_EMPTY(&j->occs);
}

/* Make the occurrences that are due. */
static void job_due(struct sched *s, struct job *j)
{
	const struct job_body *b = j->body;
	int64_t due;

	if (j->status > JOB_STATUS_RUNNING)
		return;
	if (!b->repeat_count) {
		if (!j->next_occurrence) {
			job_make_occurrence(j, 0);
			j->next_occurrence = 1;
			s->place_due = true;
		}
		return;
	}
	while (j->next_occurrence < b->repeat_count) {
		due = b->first_at +
		      (int64_t)j->next_occurrence * b->interval_ms;
		if (s->wall < due + DUE_SLACK_MS)
			return;
		job_make_occurrence(j, j->next_occurrence++);
		s->place_due = true;
		job_mark_dirty(s, j);
	}
}

/* Put a job into the book. */
static void job_add(struct sched *s, struct job *j)
{
	j->arrived = s->now;
	j->inherited = s->own.state == OWN_LOADING;
	HASH_ADD(hh, s->jobs, id, JOB_ID_BYTES, j);
	TAILQ_INSERT_TAIL(&s->order, j, entry);
	if (!j->inherited)
		job_due(s, j);
}

/* A job's cancel has been written. */
static void job_cancel(struct sched *s, const char *id)
{
	struct job *j = sched_job_find(s, id);

	if (!j || j->status > JOB_STATUS_RUNNING)
		return;
	sched_log(s, LOG_JOB_CANCEL, "job=%s placed=%u", id, j->placed);
	job_finish(s, j, JOB_STATUS_CANCELLED);
}

/* A row of a job, or of its cancel. */
void job_row_apply(struct sched *s, struct row *r)
{
	char id[JOB_ID_BYTES + 1] = "";
	struct retired *done;
	struct job *j;

	if (r->removed || r->kind == ROW_BAD || r->key.bstr_len < JOB_ID_BYTES)
		return;
	memcpy(id, r->key.bstr_val, JOB_ID_BYTES);
	if (r->key.bstr_len > JOB_ID_BYTES) {
		job_cancel(s, id);
		return;
	}
	HASH_FIND(hh, s->retired, id, JOB_ID_BYTES, done);
	if (done || sched_job_find(s, id))
		return;
	j = job_row_read(id, r->value);
	if (!j) {
		sched_log(s, LOG_JOURNAL_BAD, "job=%s revision=%llu", id,
			  (unsigned long long)r->revision);
		return;
	}
	job_add(s, j);
	if (!j->inherited)
		sched_log(s, LOG_JOB_SEEN,
			  "job=%s queue=%.*s organisation=%.*s revision=%llu",
			  id, BSTR_ARG(j->route), BSTR_ARG(j->tenant),
			  (unsigned long long)r->revision);
}

/* A row of progress, read at a takeover after the jobs' rows. */
void progress_row_apply(struct sched *s, struct row *r)
{
	char id[JOB_ID_BYTES + 1] = "";
	enum job_status fate;
	struct job *j;
	int64_t ended;
	bstr tenant;

	if (r->removed || commit_row_apply(s, r) || r->kind == ROW_BAD ||
	    r->key.bstr_len != JOB_ID_BYTES)
		return;
	memcpy(id, r->key.bstr_val, JOB_ID_BYTES);
	if (!progress_peek(r->value, &tenant, &fate, &ended)) {
		sched_log(s, LOG_JOURNAL_BAD, "progress=%s", id);
		return;
	}
	bstr_free(&tenant);
	j = sched_job_find(s, id);
	if (fate > JOB_STATUS_RUNNING) {
		job_retire(s, id, ended);
		if (j && j->inherited) {
			j->status = fate;
			j->ended = ended;
		}
		return;
	}
	if (j && j->inherited && TAILQ_EMPTY(&j->occs) && !j->next_occurrence &&
	    j->status <= JOB_STATUS_RUNNING) {
		progress_apply(j, r->value);
		j->run_seen = progress_has_run(j);
	}
	if (j && j->inherited && j->status == JOB_STATUS_RUNNING)
		j->start_durable = j->start_was_durable = true;
}

/* A task has ended as done. */
void job_task_done(struct sched *s, struct task *t)
{
	struct occurrence *o = t->occ;
	struct job *j = o->job;

	if (t->phase == PHASE_DONE)
		return;
	task_phase(t, PHASE_DONE);
	o->unfinished_in_step[t->step]--;
	o->unfinished--;
	job_mark_dirty(s, j);
	if (o->unfinished)
		return;
	TAILQ_REMOVE(&j->occs, o, entry);
	occurrence_free(o);
	if (job_is_done(j))
		job_finish(s, j, JOB_STATUS_COMPLETED);
}

/* How often may a task of a job fail? */
static unsigned job_attempts(const struct sched *s, struct job *j)
{
	const struct route *r = job_route(s, j);

	return r && r->attempts ? r->attempts : 1;
}

/* Failed runs of a task; of a gang, whose members fail for all, of it. */
static unsigned task_failures(const struct task *t)
{
	const struct occurrence *o = t->occ;
	unsigned i, n = 0;

	if (!task_step(t)->gang)
		return t->failure_count;
	for (i = 0; i < task_step(t)->count; i++)
		n += o->tasks[o->first_task[t->step] + i].failure_count;
	return n;
}

/* Was a failed run counted before? */
static bool failure_is_known(const struct task *t, uint64_t run)
{
	unsigned i;

	for (i = 0; i < t->failure_count && i < FAILED_RUNS_MAX; i++)
		if (t->failed_runs[i] == run)
			return true;
	return false;
}

/*
 * A run of a task has ended as failed; the task is not placed now.  Ends of
 * several workers come in any order, and again after a takeover, so each run
 * is counted by its number.
 */
void job_task_failed(struct sched *s, struct task *t, uint64_t run)
{
	struct job *j = t->occ->job;

	if (failure_is_known(t, run))
		return;
	if (t->failure_count < FAILED_RUNS_MAX)
		t->failed_runs[t->failure_count] = run;
	t->failure_count++;
	job_mark_dirty(s, j);
	if (task_step(t)->long_running)
		return;
	if (task_failures(t) >= job_attempts(s, j))
		job_finish(s, j, JOB_STATUS_FAILED);
}

/* Find one time of a job. */
struct occurrence *occurrence_find(const struct job *j, unsigned k)
{
	struct occurrence *o;

	TAILQ_FOREACH(o, &j->occs, entry)
		if (o->number == k)
			return o;
	return NULL;
}

/*
 * Make what a worker speaks of: the occurrences up to one that an owner has
 * begun whose wall clock was ahead of this VM's; or just that one, of a job
 * that was final when it was read and has none.
 */
static void job_catch_up(struct sched *s, struct job *j, unsigned k)
{
	unsigned times = j->body->repeat_count ? j->body->repeat_count : 1;

	if (k >= times)
		return;
	if (j->status > JOB_STATUS_RUNNING) {
		if (job_may_show_up(s, j) && !occurrence_find(j, k))
			job_make_occurrence(j, k);
		return;
	}
	while (j->next_occurrence <= k) {
		job_make_occurrence(j, j->next_occurrence++);
		job_mark_dirty(s, j);
	}
}

/* Read ".NUMBER" and move on; false: that is not there. */
static bool number_take(bstr *text, unsigned *n)
{
	const char *p = text->bstr_val, *end = p + text->bstr_len;
	uint64_t value = 0;

	if (end - p < 2 || *p != '.' || p[1] < '0' || p[1] > '9')
		return false;
	for (p++; p < end && *p >= '0' && *p <= '9'; p++) {
		value = value * 10 + (unsigned)(*p - '0');
		if (value > UINT32_MAX)
			return false;
	}
	*n = (unsigned)value;
	*text = bstr_ref(p, (size_t)(end - p));
	return true;
}

/*
 * Find a task by its name on a worker; job is set if that is known.  Each list
 * of a worker names all that runs there, so names are read thousands of times
 * a second.
 */
struct task *task_find(struct sched *s, bstr name, struct job **job)
{
	struct occurrence *o;
	unsigned k, number, index;
	bstr rest;

	*job = NULL;
	if (name.bstr_len <= JOB_ID_BYTES)
		return NULL;
	*job = sched_job_find(s, name.bstr_val);
	rest = bstr_ref(name.bstr_val + JOB_ID_BYTES,
			name.bstr_len - JOB_ID_BYTES);
	if (!*job || !number_take(&rest, &k) || !number_take(&rest, &number) ||
	    !number_take(&rest, &index) || rest.bstr_len)
		return NULL;
	if (number >= (*job)->body->step_count ||
	    index >= (*job)->body->steps[number].count)
		return NULL;
	job_catch_up(s, *job, k);
	o = occurrence_find(*job, k);
	return o ? &o->tasks[o->first_task[number] + index] : NULL;
}

/*
 * Remove the rows of jobs that nobody may ask for any more.  They are known
 * as final until their rows are gone: a row that is read again would be taken
 * for a new job, and run a second time.
 */
static void job_sweep(struct sched *s)
{
	struct retired *r;
	struct request *rq;
	struct tx *t = NULL;
	unsigned n = 0;
	bstr key;

	TAILQ_FOREACH(r, &s->retired_order, entry) {
		if (n++ == SWEEP_JOBS_MAX || r->removing ||
		    s->wall - r->ended <= s->options.keep_ms)
			break;
		if (!t) {
			t = sched_tx(s, FOR_SWEEP, s->now + STORE_TIMEOUT_MS,
				     &rq);
			tx_expect(t, TABLE_OWNER, bstr_lit("epoch"),
				  s->own.revision);
		}
		key = bstr_printf("%s/cancel", r->id);
		tx_remove(t, TABLE_JOBS, bstr_lit(r->id));
		tx_remove(t, TABLE_PROGRESS, bstr_lit(r->id));
		tx_remove(t, TABLE_JOBS, key);
		bstr_free(&key);
		r->removing = true;
	}
	s->sweep_at = s->now + 1000;
}

/* Look at the clock: occurrences that are due, rows to remove. */
void job_tick(struct sched *s)
{
	struct job *j, *next;

	if (s->own.state != OWN_OWNER)
		return;
	for (j = TAILQ_FIRST(&s->order); j; j = next) {
		next = TAILQ_NEXT(j, entry);
		if (!j->next_occurrence || j->body->repeat_count)
			job_due(s, j);
		job_retire_if_done(s, j);
	}
	if (s->now >= s->sweep_at && own_may_order(s))
		job_sweep(s);
}
