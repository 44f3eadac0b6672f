/*
 * The owner's view of the workers: their rows, their leases, what their
 * lists say runs and has ended.
 */
#include "sched-state.h"
#include "json-read.h"

#include <stdlib.h>
#include <string.h>

/* A task that one hold did not list is looked for in newer ones only. */
#define CLOCK_NONE (-1)
/* Runs that nobody wants are stopped at most so often on one worker. */
#define STRAY_AGAIN_MS 300
/* A task whose end has to wait is not started again for so long: it is listed
 * again in less. */
#define END_HELD_MS 1500
/* While a successor waits for workers it says so once in so long. */
#define SETTLE_TOLD_MS 500

/* Find a worker. */
struct worker *worker_find(struct sched *s, bstr id)
{
	struct worker *w;

	HASH_FIND_BSTR(s->workers, id, w);
	return w;
}

/* What its clock shows now, at least. */
int64_t worker_clock(const struct sched *s, const struct worker *w)
{
	return w->clock + (s->now - w->clock_at);
}

/*
 * Had the latest lease told to it ended at a time, however slow its clock is?
 */
static bool lease_was_over(const struct worker *w, int64_t at)
{
	double elapsed = (double)(at - w->clock_at) / CLOCK_DRIFT_FACTOR;

	return (double)w->clock + elapsed > (double)w->lease_end;
}

/* When the next lease may end, by this VM's clock. */
static int64_t lease_until(const struct sched *s)
{
	int64_t until = s->now + LEASE_MS;
	int64_t most = s->own.confirmed_at + UNCONFIRMED_LEASE_MS;

	return until < most ? until : most;
}

/* Is an answer of it overdue? */
bool worker_is_quiet(const struct sched *s, const struct worker *w)
{
	return s->now - w->answered_at >= WORKER_TIMEOUT_MS &&
	       s->now >= w->poll_due_by;
}

/* Take its answer for overdue. */
void worker_set_quiet(struct sched *s, struct worker *w)
{
	w->answered_at = s->now - WORKER_TIMEOUT_MS;
	w->poll_due_by = 0;
}

/* Is it there, and well? */
bool worker_is_healthy(const struct sched *s, const struct worker *w)
{
	return w->listed && !w->gone && !w->row.draining &&
	       !w->takedown_pending && w->fenced && !worker_is_quiet(s, w) &&
	       s->now >= w->unhealthy_until;
}

/* May it get new work? */
bool worker_is_eligible(const struct sched *s, const struct worker *w)
{
	return worker_is_healthy(s, w) && w->noted;
}

/* A worker runs nothing any more. */
void worker_set_gone(struct sched *s, struct worker *w)
{
	w->gone = true;
	worker_count(s, w);
}

/* A worker has no end left to acknowledge. */
static void worker_acked(struct sched *s, struct worker *w)
{
	if (w->durable_end != w->last_end)
		TAILQ_REMOVE(&s->unacked, w, unacked);
	w->durable_end = w->last_end;
}

/* A worker has told an end that is new here. */
static void worker_saw_end(struct sched *s, struct worker *w, uint64_t number)
{
	if (w->durable_end != w->last_end)
		TAILQ_REMOVE(&s->unacked, w, unacked);
	if (number > w->last_end)
		w->last_end = number;
	w->last_end_seq = s->dirty_seq;
	TAILQ_INSERT_TAIL(&s->unacked, w, unacked);
}

/* Make a worker that nothing is known of. */
struct worker *worker_new(struct sched *s, bstr id)
{
	struct worker *w = xcalloc(1, sizeof(*w));

	w->id = bstr_copy(id);
	w->serial = ++s->last_worker;
	TAILQ_INIT(&w->tasks);
	HASH_ADD_BSTR(s->workers, id, w);
	worker_count(s, w);
	return w;
}

/* Free a worker that no request speaks of. */
void sched_worker_free(struct sched *s, struct worker *w)
{
	worker_acked(s, w);
	worker_uncount(s, w);
	s->note_has_gone_worker = s->note_has_gone_worker || w->noted;
	HASH_DEL(s->workers, w);
	worker_row_free(&w->row);
	bstr_free(&w->rack);
	bstr_free(&w->id);
	free(w);
}

/* Free all workers; requests under way forget theirs. */
void sched_workers_free(struct sched *s)
{
	struct request *rq, *next_rq;
	struct worker *w, *next;
	struct task *t;

	HASH_ITER(hh, s->requests, rq, next_rq)
		rq->worker = NULL;
	HASH_ITER(hh, s->workers, w, next) {
		while ((t = TAILQ_FIRST(&w->tasks)))
			task_unplace(s, t);
		sched_worker_free(s, w);
	}
	pools_free(s);
}

/*
 * May a start without an answer have reached a later life of its worker than
 * the one known?  Not by a connection that is older than the latest sign of
 * that one: no later life has an end of it.
 */
static bool start_may_be_anothers(const struct task *t)
{
	return t->phase == PHASE_STARTING &&
	       (!t->connected_at || t->connected_at > t->worker->alive_at);
}

/*
 * What a silent worker was told to hold has lapsed, but a new life of it that
 * nobody knows of may have got a start and do it late: its clock began anew,
 * so that it takes the start's deadline for one far ahead.  Such a task would
 * run a second time.  By this time no order is done any more.
 */
static void starts_wait(struct sched *s, struct worker *w)
{
	struct task *t;

	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		if (!start_may_be_anothers(t))
			continue;
		t->awaited_worker = w->serial;
		w->late_starts_possible = true;
		task_pause(t, t->started_at + ORDER_LIFETIME_MAX_MS);
		sched_log(s, LOG_START_AWAITED,
			  "task=%s.%u.%u.%u run=%llu worker=%.*s wait_ms=%lld",
			  t->occ->job->id, t->occ->number, t->step, t->index,
			  (unsigned long long)t->run, BSTR_ARG(w->id),
			  (long long)(t->not_before - s->now));
	}
}

/*
 * A silent worker has answered, and is the life that was known: no other can
 * have got a start, and to this one it is void by now.
 */
static void starts_wait_no_more(struct sched *s, struct worker *w)
{
	struct occurrence *o;
	struct job *j;
	struct task *t;
	unsigned i;

	TAILQ_FOREACH(j, &s->order, entry) {
		TAILQ_FOREACH(o, &j->occs, entry) {
			for (i = 0; i < o->task_count; i++) {
				t = &o->tasks[i];
				if (t->awaited_worker == w->serial &&
				    w->clock > t->start_by)
					t->not_before = s->now;
			}
		}
	}
	w->late_starts_possible = false;
	s->place_due = true;
}

/*
 * A worker runs nothing any more: it was cut off for longer than its lease,
 * started anew, or its machine was taken.  Its tasks may start elsewhere.
 */
void worker_lost(struct sched *s, struct worker *w, const char *why)
{
	struct task *t;
	unsigned n = 0;

	while ((t = TAILQ_FIRST(&w->tasks))) {
		task_unplace(s, t);
		n++;
	}
	sched_log(s, LOG_WORKER_LOST,
		  "worker=%.*s why=%s tasks=%u quiet_ms=%lld", BSTR_ARG(w->id),
		  why, n, (long long)(s->now - w->answered_at));
	s->place_due = true;
}

/* A worker under the same id has begun a new life: it knows nothing. */
static void worker_reborn(struct sched *s, struct worker *w, int64_t born,
			  const struct answer *a)
{
	/*
	 * Its clock counts from its birth, at most 2% too slow, and was read
	 * after the question was sent.  The answer may have lain in the inbox:
	 * by the time of its reading here a start that this life has got would
	 * seem to be from before its birth, and its task would run twice.
	 */
	int64_t birth = a->sent_at -
			(int64_t)((double)a->clock * CLOCK_DRIFT_FACTOR) -
			ORDER_TIMEOUT_MS;
	struct task *t;

	/*
	 * What it may yet start by an order that was meant for its life
	 * before; what was sent before its birth never reached it.
	 */
	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (t->phase == PHASE_STARTING && t->started_at >= birth)
			task_pause(t, t->started_at + ORDER_LIFETIME_MAX_MS);
	if (w->started_at)
		worker_lost(s, w, "restarted");
	w->started_at = born;
	worker_acked(s, w);
	w->last_end = w->durable_end = 0;
	w->last_end_seq = 0;
	w->ends_held = false;
	w->fenced = false;
	worker_count(s, w);
	/* What it has taken by a start meant for the old life lasts longer. */
	w->lease_end = a->running_count ? a->clock + s->options.lease_max_ms
					: 0;
	w->later_life_until = 0;
	w->alive_at = 0;
	w->late_starts_possible = false;
	w->clock = 0; /* it starts anew as well */
	w->clock_at = s->now;
	w->poll_at = s->now;
	w->failure_streak = 0;
}

/*
 * An exchange with a worker failed: it may have begun a new life under its
 * id.  That one counts its ends from 1 again, and would forget those up to
 * the number that its old life had acknowledged, unseen by anybody: its tasks
 * would be started again.  So nothing is acknowledged before an answer has
 * told which life it is.
 */
void worker_suspect_restart(struct sched *s, struct worker *w)
{
	w->same_life = false;
	if (!w->polling)
		w->poll_at = s->now;
}

/*
 * A start was answered by a clock that began anew: by a later life than the one
 * known.  What it took holds the longest lease there, for the start's deadline
 * was one of the old clock.  Given up with the old life's lease, its tasks
 * would run elsewhere beside it, or once more when it has done them.
 */
void worker_expect_later_life(struct sched *s, struct worker *w)
{
	worker_suspect_restart(s, w);
	w->later_life_until = s->now +
			      (int64_t)((double)s->options.lease_max_ms *
					CLOCK_DRIFT_FACTOR);
}

/* Its row was removed. */
static void worker_unlist(struct sched *s, struct worker *w)
{
	if (!w->listed)
		return;
	w->listed = false;
	sched_log(s, LOG_WORKER_GONE, "worker=%.*s quiet_ms=%lld",
		  BSTR_ARG(w->id), (long long)(s->now - w->answered_at));
}

/* Take over a worker's row. */
static void worker_update(struct sched *s, struct worker *w, struct row *r)
{
	bool was = w->row.draining;
	bool moved = w->row.address.bstr_len &&
		     !bstr_eq(w->row.address, r->worker.address);

	worker_row_free(&w->row);
	w->row = r->worker;
	memset(&r->worker, 0, sizeof(r->worker));
	r->kind = ROW_RAW;
	bstr_free(&w->rack);
	if (w->row.label_count)
		w->rack = bstr_copy(w->row.labels[w->row.label_count - 1]);
	w->last_reading = s->follows[2].reading_serial;
	if (!w->listed)
		w->poll_at = s->now;
	w->listed = true;
	w->gone = false;
	worker_count(s, w);
	if (moved)
		w->poll_at = s->now;
	if (w->row.draining && !was)
		sched_log(s, LOG_WORKER_DRAINS, "worker=%.*s revision=%llu",
			  BSTR_ARG(w->id), (unsigned long long)r->revision);
	if (w->row.started_at && w->started_at &&
	    w->row.started_at > w->started_at)
		worker_suspect_restart(s, w); /* its next list tells */
	s->place_due = true;
}

static void worker_check(struct sched *s, struct worker *w);

/* A row of a worker. */
void worker_row_apply(struct sched *s, struct row *r)
{
	struct worker *w = worker_find(s, r->key);

	if (r->removed || r->kind != ROW_WORKER) {
		if (w)
			worker_unlist(s, w);
		return;
	}
	if (!w) {
		w = worker_new(s, r->key);
		w->answered_at = w->idle_since = s->now;
		w->clock_at = s->now;
		s->own.heartbeat_at = s->now; /* to note it */
		sched_log(s, LOG_WORKER_SEEN,
			  "worker=%.*s service=%.*s address=%.*s",
			  BSTR_ARG(w->id), BSTR_ARG(r->worker.service),
			  BSTR_ARG(r->worker.address));
	}
	worker_update(s, w, r);
	if (s->own.state == OWN_OWNER)
		worker_check(s, w);
}

/*
 * After a whole reading, the rows that did not come are not there any more:
 * they were removed during a gap of the feed.
 */
void workers_unlist_missing(struct sched *s)
{
	struct worker *w, *next;

	HASH_ITER(hh, s->workers, w, next)
		if (w->last_reading != s->follows[2].reading_serial)
			worker_unlist(s, w);
}

/*
 * How long a look at a worker without tasks waits.  Most of a large fleet is
 * idle at a time, and the looks at it would be half of all that the owner does.
 */
static uint32_t idle_wait(const struct sched *s)
{
	uint32_t wait = HASH_COUNT(s->workers) * 1000 / IDLE_POLLS_PER_S;

	if (wait < POLL_WAIT_MAX_MS)
		return POLL_WAIT_MAX_MS;
	return wait < POLL_IDLE_WAIT_MAX_MS ? wait : POLL_IDLE_WAIT_MAX_MS;
}

/* How long a hold may wait for an end. */
static uint32_t hold_wait(const struct sched *s, const struct worker *w)
{
	if (!w->fenced || !w->clock || !w->same_life ||
	    w->durable_end < w->last_end || w->ends_held)
		return 0;
	return TAILQ_EMPTY(&w->tasks) ? idle_wait(s) : POLL_WAIT_MAX_MS;
}

/* Renew a worker's lease and look what runs and has ended there. */
static void worker_hold(struct sched *s, struct worker *w)
{
	uint32_t wait = hold_wait(s, w);
	struct request *rq;
	struct ask *ask;
	struct order *o;

	rq = sched_ask(s, FOR_POLL, ASK_POLL, s->now + wait + ORDER_TIMEOUT_MS,
		       &ask);
	rq->worker = w;
	w->requests++;
	o = &ask->order;
	o->worker = bstr_copy(w->id);
	o->address = bstr_copy(w->row.address);
	o->epoch = s->own.epoch;
	o->ack_through = w->same_life ? w->durable_end : 0;
	rq->number = o->ack_through;
	o->wait_ms = wait;
	/*
	 * Without an answer for a while the lease is not renewed: it ends,
	 * and the tasks may start elsewhere the sooner.
	 */
	if (w->clock && !worker_is_quiet(s, w)) {
		o->deadline = worker_clock(s, w) + lease_until(s) - s->now;
		if (o->deadline > w->lease_end)
			w->lease_end = o->deadline;
	}
	w->polling = true;
	w->poll_at = s->now + POLL_RETRY_MS;
	w->poll_due_by = 0;
	if (wait > POLL_WAIT_MAX_MS)
		w->poll_due_by = s->now + wait + WORKER_TIMEOUT_MS -
				 POLL_WAIT_MAX_MS;
	sched_count(s, COUNT_WORKER_EXCHANGES, 1);
}

/*
 * Is it over with a silent worker?  What it was told to hold has lapsed, by
 * the slowest clock, and this VM was still the owner then: a successor would
 * have renewed the lease, and a task started elsewhere would run twice.  Of a
 * worker that never answered this owner, an earlier one may have renewed the
 * lease for as long as it did not know of its end.
 */
static bool worker_is_over(const struct sched *s, const struct worker *w)
{
	int64_t settle = s->own.settle_by + SETTLE_MARGIN_MS +
			 (int64_t)(UNCONFIRMED_LEASE_MS *
				   (CLOCK_DRIFT_FACTOR - 1));

	if (!worker_is_quiet(s, w) || s->now < w->later_life_until)
		return false;
	if (w->fenced && w->clock)
		return lease_was_over(w, s->own.confirmed_at);
	return s->own.confirmed_at > settle;
}

/* Look at one worker. */
static void worker_check(struct sched *s, struct worker *w)
{
	struct task *t, *next;

	if (!w->gone && worker_is_over(s, w)) {
		worker_set_gone(s, w);
		starts_wait(s, w);
		if (!TAILQ_EMPTY(&w->tasks))
			worker_lost(s, w, "silent");
	}
	if (w->gone && !w->listed && !w->polling && !w->requests &&
	    TAILQ_EMPTY(&w->tasks)) {
		sched_worker_free(s, w);
		return;
	}
	for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
		next = TAILQ_NEXT(t, worker_entry);
		if (t->stopping && s->now >= t->stop_retry_at)
			task_stop(s, t);
	}
	if (!w->polling && s->now >= w->poll_at && own_may_order(s) &&
	    w->row.address.bstr_len)
		worker_hold(s, w);
}

/* Say once in a while for which worker the owner waits, and why. */
static void settle_tell(struct sched *s)
{
	struct worker *w, *next, *one = NULL;

	if (s->now < s->own.wait_log_at)
		return;
	s->own.wait_log_at = s->now + SETTLE_TOLD_MS;
	HASH_ITER(hh, s->workers, w, next)
		if (w->unknown && (!one || w->answered_at < one->answered_at))
			one = w;
	if (!one)
		return;
	sched_log(s, LOG_OWNER_WAITS,
		  "epoch=%llu ms=%lld unknown=%u worker=%.*s listed=%d "
		  "fenced=%d ends_cut=%d quiet_ms=%lld other_ms=%lld "
		  "leases_ms=%lld proof_ms=%lld",
		  (unsigned long long)s->own.epoch,
		  (long long)(s->now - s->own.owned_at), s->unknown_count,
		  BSTR_ARG(one->id), one->listed, one->fenced,
		  one->ends_truncated, (long long)(s->now - one->answered_at),
		  (long long)(one->later_life_until - s->now),
		  (long long)(s->own.settle_by - s->now),
		  (long long)(s->now - s->own.confirmed_at));
}

/*
 * After a takeover tasks of earlier owners may run anywhere, until each
 * worker has answered or cannot hold a lease any more.
 */
static void settle_check(struct sched *s)
{
	if (s->settled)
		return;
	if (s->unknown_count) {
		settle_tell(s);
		s->place_due = true; /* of the pools that are settled */
		return;
	}
	s->settled = true;
	s->place_due = true;
	sched_log(s, LOG_OWNER_SETTLED, "epoch=%llu ms=%lld",
		  (unsigned long long)s->own.epoch,
		  (long long)(s->now - s->own.owned_at));
}

/* Look at all workers. */
void worker_tick(struct sched *s)
{
	struct worker *w, *next;

	if (s->own.state != OWN_OWNER)
		return;
	HASH_ITER(hh, s->workers, w, next)
		worker_check(s, w);
	settle_check(s);
}

/*
 * Are all ends that a worker has told durable?  If planned work took its
 * machine before, they would go with the worker's list, and with the owner's
 * memory if that is lost: tasks that were done would run again.
 */
bool worker_ends_durable(const struct worker *w)
{
	return w->durable_end == w->last_end && !w->ends_truncated &&
	       !w->ends_held;
}

/* Ends up to here are durable: tell the workers with the next hold. */
void worker_acknowledge(struct sched *s)
{
	uint64_t durable = commit_durable(s);
	struct worker *w;

	while ((w = TAILQ_FIRST(&s->unacked)) && w->last_end_seq <= durable) {
		worker_acked(s, w);
		if (!w->polling && own_may_order(s))
			worker_hold(s, w);
	}
}

/* Does a run's failure cast doubt on its worker? */
static void worker_doubt(struct sched *s, struct worker *w,
			 const struct task *t)
{
	if (!strcmp(w->failure_streak_job, t->occ->job->id))
		return;
	memcpy(w->failure_streak_job, t->occ->job->id,
	       sizeof(w->failure_streak_job));
	if (++w->failure_streak < SUSPECT_FAILURES)
		return;
	w->suspect_until = s->now + SUSPECT_MS;
	sched_log(s, LOG_WORKER_SUSPECT, "worker=%.*s failures=%u",
		  BSTR_ARG(w->id), w->failure_streak);
}

/* A run has ended, and it was the task's own. */
static void end_apply(struct sched *s, struct worker *w, struct task *t,
		      const struct ended *n)
{
	if (n->checkpoint.bstr_len && !bstr_eq(n->checkpoint, t->checkpoint)) {
		bstr_set(&t->checkpoint, n->checkpoint);
		if (n->kind != END_DONE)
			job_mark_dirty(s, t->occ->job);
	}
	if (n->kind == END_DONE)
		learn_run_time(s, t);
	task_unplace(s, t);
	switch (n->kind) {
	case END_DONE:
		w->failure_streak = 0;
		w->failure_streak_job[0] = '\0';
		job_task_done(s, t);
		return;
	case END_FAILED:
		t->avoided_worker = w->serial;
		task_pause(t, s->now + TASK_RETRY_DELAY_MS);
		worker_doubt(s, w, t);
		job_task_failed(s, t, n->run);
		return;
	case END_LAPSED:
	case END_GANG_INCOMPLETE:
	case END_GANG_BROKEN:
		task_pause(t, s->now + TASK_RETRY_DELAY_MS);
		return;
	case END_STOPPED:
		return;
	}
}

/* An end that a worker lists. */
static void end_take(struct sched *s, struct worker *w, const struct ended *n)
{
	static const char *const words[] = {"done",   "failed", "stopped",
					    "lapsed", "broken", "alone"};
	struct job *j;
	struct task *t = task_find(s, n->task, &j);

	if (n->kind != END_DONE || s->settled == false)
		sched_log(s, LOG_TASK_ENDED,
			  "task=%.*s run=%llu worker=%.*s how=%s known=%d",
			  BSTR_ARG(n->task), (unsigned long long)n->run,
			  BSTR_ARG(w->id), words[n->kind], t != NULL);
	if (!t || t->phase == PHASE_DONE)
		return;
	j->run_seen = true;
	if (t->worker == w && t->run == n->run) {
		end_apply(s, w, t, n);
	} else if (n->kind == END_DONE) {
		/*
		 * A run of an earlier owner, or one given up as lost, was
		 * done after all.  What runs now is for nothing.
		 */
		if (t->worker)
			task_stop(s, t);
		if (t->worker)
			task_unplace(s, t);
		job_task_done(s, t);
	} else {
		if (n->run > t->highest_run)
			t->highest_run = n->run;
		if (n->kind == END_FAILED)
			job_task_failed(s, t, n->run);
	}
	s->place_due = true;
}

/*
 * The task of an end that has to wait, or NULL.  It was given up as lost and
 * its next start is under way: were the end acknowledged now, that start would
 * be carried out after it, and the task run again although it is done.
 */
static struct task *end_held_by(struct sched *s, const struct worker *w,
				const struct ended *n)
{
	struct job *j;
	struct task *t = task_find(s, n->task, &j);

	if (!t || n->kind != END_DONE || t->phase != PHASE_STARTING ||
	    (t->worker == w && t->run == n->run))
		return NULL;
	return t;
}

/*
 * The number from which on the ends of a list have to wait.  Until they are
 * taken, with the outcome of the start, no other start is ordered.
 */
static uint64_t ends_hold(struct sched *s, const struct worker *w,
			  const struct answer *a)
{
	uint64_t limit = UINT64_MAX;
	struct task *t;
	size_t i;

	for (i = 0; i < a->ended_count; i++) {
		if (a->ended[i].number <= w->last_end ||
		    a->ended[i].number >= limit)
			continue;
		t = end_held_by(s, w, &a->ended[i]);
		if (!t)
			continue;
		task_pause(t, s->now + END_HELD_MS);
		limit = a->ended[i].number;
	}
	return limit;
}

/*
 * All ends of a list that are new here, in whatever order it has them: one
 * that is passed over would be acknowledged with the highest, and its task
 * would start again although it is done.  So none is taken behind one that has
 * to wait.
 */
static void ends_take(struct sched *s, struct worker *w, const struct answer *a)
{
	uint64_t known = w->last_end, limit = ends_hold(s, w, a);
	size_t i;

	w->ends_held = limit != UINT64_MAX;
	for (i = 0; i < a->ended_count; i++) {
		if (a->ended[i].number <= known || a->ended[i].number >= limit)
			continue;
		end_take(s, w, &a->ended[i]);
		worker_saw_end(s, w, a->ended[i].number);
		s->place_due = true;
	}
}

/* A run that a worker lists as running. */
static void running_take(struct sched *s, struct worker *w,
			 const struct running *r)
{
	struct job *j;
	struct task *t = task_find(s, r->task, &j);

	/*
	 * A run of an earlier owner, or one whose start had no answer: since
	 * the task is nowhere else, it is the task's.
	 */
	if (t && t->phase == PHASE_PENDING) {
		task_adopt(s, t, w, r->run);
		if (j->status > JOB_STATUS_RUNNING)
			task_stop(s, t);
	}
	if (!t || t->worker != w || t->run != r->run) {
		if (w->strays_due)
			run_stop(s, w, r->task, r->run);
		return;
	}
	t->last_list = w->list_count;
	j->run_seen = true;
	if (t->phase == PHASE_STARTING)
		task_phase(t, PHASE_RUNNING);
	t->percent = r->percent;
	t->load_figure = r->load_figure;
	t->started_at_worker =
		CLOCK_NONE; /* seen in a list: its absence counts */
	if (r->checkpoint.bstr_len && !bstr_eq(t->checkpoint, r->checkpoint))
		bstr_set(&t->checkpoint, r->checkpoint);
}

/*
 * Tasks that a list does not name, if it has room for all ends: a task that was
 * done and whose end is not listed yet would run a second time.  A list may be
 * older than the start of a task that another exchange told of, and a start
 * without an answer may yet be carried out until its own deadline; both are
 * seen by the worker's clock.
 */
static void absent_take(struct sched *s, struct worker *w,
			const struct answer *a)
{
	struct task *t, *next;

	if (w->ends_truncated || w->ends_held)
		return;
	for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
		next = TAILQ_NEXT(t, worker_entry);
		if (t->start_in_flight || t->last_list == w->list_count)
			continue;
		if (t->phase == PHASE_STARTING && a->clock <= t->start_by)
			continue;
		if (t->phase == PHASE_RUNNING &&
		    t->started_at_worker != CLOCK_NONE &&
		    a->clock <= t->started_at_worker)
			continue;
		sched_log(s, LOG_TASK_MISSING,
			  "task=%s.%u.%u.%u run=%llu worker=%.*s phase=%d",
			  t->occ->job->id, t->occ->number, t->step, t->index,
			  (unsigned long long)t->run, BSTR_ARG(w->id),
			  t->phase);
		task_unplace(s, t);
		task_pause(t, s->now + TASK_RETRY_DELAY_MS);
		s->place_due = true;
	}
}

/*
 * Was a hold meant for the life before the one that answers it?  Then its list
 * leaves out the ends up to a number that the old life had told: taken for
 * whole, tasks that the new life has done would run again, and their ends be
 * acknowledged unseen.  It is asked once more, without that number.
 */
static bool hold_was_for_old_life(const struct worker *w,
				  const struct request *rq,
				  const struct answer *a)
{
	return rq->number && a->worker_started_at && w->started_at &&
	       a->worker_started_at != w->started_at;
}

/* A worker has answered a hold. */
static void hold_take(struct sched *s, struct worker *w, struct request *rq,
		      struct answer *a)
{
	size_t i;

	if (hold_was_for_old_life(w, rq, a)) {
		w->answered_at = s->now;
		w->same_life = false;
		return;
	}
	if (a->worker_started_at && a->worker_started_at != w->started_at)
		worker_reborn(s, w, a->worker_started_at, a);
	/*
	 * A clock that goes back: an answer that a newer one has overtaken,
	 * or a new life of a worker that does not say when it was born.
	 */
	if (a->clock < w->clock) {
		if (a->worker_started_at || a->sent_at < w->clock_at)
			return;
		worker_reborn(s, w, 0, a);
	}
	load_add_poll(s, w, a);
	w->ends_truncated = a->ended_truncated;
	w->clock = a->clock;
	w->clock_at = s->now;
	w->answered_at = s->now;
	if (a->worker_started_at && a->sent_at > w->alive_at)
		w->alive_at = a->sent_at;
	if (w->late_starts_possible && a->worker_started_at)
		starts_wait_no_more(s, w);
	if (w->gone && !w->noted)
		s->own.heartbeat_at = s->now; /* to note it */
	w->gone = false;
	w->same_life = true;
	if (!w->fenced) {
		w->fenced = true;
		s->place_due = true;
	}
	w->strays_due = s->now >= w->stray_at;
	if (w->strays_due)
		w->stray_at = s->now + STRAY_AGAIN_MS;
	w->list_count++;
	ends_take(s, w, a);
	for (i = 0; i < a->running_count; i++)
		running_take(s, w, &a->running[i]);
	absent_take(s, w, a);
	pace_worker_tasks(s, w);
	worker_count(s, w);
}

/* An answer to a hold. */
void worker_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct worker *w = rq->worker;

	if (!w || rq->epoch != s->own.epoch || s->own.state != OWN_OWNER)
		return;
	w->polling = false;
	if (a->outcome == OUT_DONE) {
		hold_take(s, w, rq, a);
		w->poll_at = s->now;
		if (w->durable_end < w->last_end || w->ends_held)
			w->poll_at += POLL_RETRY_MS;
		worker_acknowledge(s);
		if (!w->polling && s->now >= w->poll_at && own_may_order(s))
			worker_hold(s, w);
		settle_check(s);
		return;
	}
	w->same_life = false;
	w->poll_at = s->now + POLL_RETRY_MS;
	if (a->refusal == REFUSAL_STALE_EPOCH) {
		own_require_check(s, "fenced");
	} else if (a->refusal == REFUSAL_OTHER_LIFE) {
		/* Another worker answers there: this one has ended. */
		worker_set_gone(s, w);
		worker_set_quiet(s, w);
		if (!TAILQ_EMPTY(&w->tasks))
			worker_lost(s, w, "replaced");
	} else if (a->outcome == OUT_REFUSED) {
		w->unhealthy_until = s->now + POLL_RETRY_MS;
	}
	settle_check(s);
}
