/*
 * The owner's view of the workers: their rows, their processes, and the polls
 * that renew their leases.
 */
#include "sched-state.h"
#include "json-read.h"

#include <stdlib.h>
#include <string.h>

/* Minimum interval between stops of stray runs on one worker. */
#define STRAY_STOP_INTERVAL_MS 300
/* Returns the worker with an id, or NULL. */
struct worker *worker_find(struct sched *s, bstr id)
{
	struct worker *w;

	HASH_FIND_BSTR(s->workers, id, w);
	return w;
}

/* Returns true if an answer of a worker is overdue. */
bool worker_is_overdue(const struct sched *s, const struct worker *w)
{
	return s->now - w->answered_at >= WORKER_TIMEOUT_MS &&
	       s->now >= w->poll_due_by;
}

/* Marks the next answer of a worker as overdue. */
void worker_set_overdue(struct sched *s, struct worker *w)
{
	w->answered_at = s->now - WORKER_TIMEOUT_MS;
	w->poll_due_by = 0;
}

/* Returns true if a worker is present, healthy and not to be taken down. */
bool worker_is_healthy(const struct sched *s, const struct worker *w)
{
	return w->listed && !w->gone && !w->row.draining &&
	       !w->takedown_pending && w->fenced && !w->token_is_new &&
	       !worker_is_overdue(s, w) && s->now >= w->unhealthy_until;
}

/*
 * Returns true if a worker may get new tasks: it is healthy, the store records
 * that it may hold leases, a successor would wait for these, and its data
 * centre is not evacuated.
 */
bool worker_is_eligible(const struct sched *s, const struct worker *w)
{
	return worker_is_healthy(s, w) && w->noted &&
	       lease_ends_in_time(s, w) && !worker_is_evacuated(s, w);
}

/* Marks a worker as one that runs nothing any more. */
void worker_set_gone(struct sched *s, struct worker *w)
{
	w->gone = true;
	worker_update_unknown(s, w);
}

/*
 * Adds a worker about which only its id is known.  Its record may have been
 * freed earlier in this epoch, so it gets the highest token given so far.
 */
struct worker *worker_new(struct sched *s, bstr id)
{
	struct worker *w = xcalloc(1, sizeof(*w));

	w->id = bstr_copy(id);
	w->token = s->own.token_max;
	w->serial = ++s->last_worker;
	TAILQ_INIT(&w->tasks);
	HASH_ADD_BSTR(s->workers, id, w);
	worker_update_unknown(s, w);
	return w;
}

/* Frees a worker.  No request in flight may refer to it. */
void sched_worker_free(struct sched *s, struct worker *w)
{
	ack_worker_freed(s, w);
	worker_clear_unknown(s, w);
	s->workers_note_has_gone = s->workers_note_has_gone || w->noted;
	s->own.workers_forgotten = true;
	HASH_DEL(s->workers, w);
	worker_row_free(&w->row);
	bstr_free(&w->rack);
	bstr_free(&w->machine);
	bstr_free(&w->id);
	free(w);
}

/* Frees all workers, and the references of requests in flight to them. */
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
 * Returns true if an unanswered start may have reached a later process of its
 * worker than the known one.  A connection opened before the known process was
 * last known to exist can't lead to a later one.
 */
static bool start_may_reach_later_process(const struct task *t)
{
	return t->phase == PHASE_STARTING &&
	       (!t->connected_at || t->connected_at > t->worker->alive_at);
}

/*
 * Delays a task whose start may still be carried out by a later process of its
 * worker than the one that it was sent to.
 */
static void task_await_late_start(struct task *t)
{
	t->late_start_until = t->started_at + ORDER_LIFETIME_MAX_MS;
	task_delay(t, t->late_start_until);
}

/*
 * Delays the tasks of a silent worker whose starts are unanswered.  The
 * worker's lease has expired, but it may have restarted unnoticed, and the new
 * process may carry out a start late: its clock was reset, so that the start's
 * deadline seems to be far in the future.  The task would then run a second
 * time.  After ORDER_LIFETIME_MAX_MS no order is carried out any more.
 */
static void starts_delay(struct sched *s, struct worker *w)
{
	struct task *t;

	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		if (!start_may_reach_later_process(t))
			continue;
		t->awaited_worker = w->serial;
		w->late_starts_possible = true;
		task_await_late_start(t);
		sched_log(s, LOG_START_AWAITED,
			  "task=%s.%u.%u.%u run=%llu worker=%.*s wait_ms=%lld",
			  t->occ->job->id, t->occ->number, t->step, t->index,
			  (unsigned long long)t->run, BSTR_ARG(w->id),
			  (long long)(t->not_before - s->now));
	}
}

/*
 * Ends the delays of starts_delay, as a silent worker has answered and is still
 * the known process: no other process can have received a start, and this one
 * refuses it because its deadline has passed.
 */
static void starts_end_delay(struct sched *s, struct worker *w)
{
	struct occurrence *o;
	struct job *j;
	struct task *t;
	unsigned i;

	TAILQ_FOREACH(j, &s->jobs_by_arrival, entry) {
		TAILQ_FOREACH(o, &j->occs, entry) {
			for (i = 0; i < o->task_count; i++) {
				t = &o->tasks[i];
				if (t->awaited_worker == w->serial &&
				    w->clock > t->start_by)
					t->not_before = t->late_start_until =
						s->now;
			}
		}
	}
	w->late_starts_possible = false;
	s->place_due = true;
}

/* Returns the word for a reason in log lines. */
const char *loss_reason_word(enum loss_reason why)
{
	static const char *const words[] = {
		[LOSS_RESTARTED] = "restarted",
		[LOSS_REPLACED] = "replaced",
		[LOSS_SILENT] = "silent",
		[LOSS_MOVED] = "moved",
		[LOSS_MAINTENANCE] = "maintenance",
	};

	return words[why];
}

/*
 * Releases the tasks of a worker that runs nothing any more, because it was cut
 * off for longer than its lease, was restarted, or its machine was taken down.
 * The tasks may start elsewhere.
 */
void worker_lost(struct sched *s, struct worker *w, enum loss_reason why)
{
	struct task *t;
	unsigned n = 0;

	while ((t = TAILQ_FIRST(&w->tasks))) {
		t->lost_worker = w->serial;
		t->lost_run = t->run;
		t->lost_at = s->now;
		t->lost_why = why;
		task_unplace(s, t);
		n++;
	}
	w->lost_runs = w->lost_runs || n;
	sched_log(s, LOG_WORKER_LOST,
		  "worker=%.*s why=%s tasks=%u quiet_ms=%lld", BSTR_ARG(w->id),
		  loss_reason_word(why), n,
		  (long long)(s->now - w->answered_at));
	s->place_due = true;
}

/*
 * Handles the end of a worker whose machine was taken by plan.  Its id is not
 * used again.
 */
void worker_taken(struct sched *s, struct worker *w, enum loss_reason why)
{
	worker_lost(s, w, why);
	worker_set_gone(s, w);
	w->listed = false;
	w->orders_until = 0;
}

/*
 * Raises the fencing token of a worker, as a new process of it was noticed.
 * Orders to the old process may be carried out by the new one for
 * ORDER_LIFETIME_MAX_MS: it knows no token, and takes a deadline on the old
 * clock as one far in the future.  A late poll would extend its lease to the
 * longest one, so that its tasks would still run when they are started
 * elsewhere.  Once the new process has answered a poll with the raised token,
 * it refuses all older orders.  If no token is left, the ownership is released,
 * and the successor has new ones.
 */
static void worker_raise_token(struct sched *s, struct worker *w)
{
	w->token_is_new = true;
	if (w->token == s->own.epoch) {
		s->own.tokens_used_up = true;
		return;
	}
	w->token++;
	if (w->token > s->own.token_max)
		s->own.token_max = w->token;
}

/*
 * Handles the first answer of a worker's process to a poll with the current
 * token.
 */
static void worker_token_accepted(struct sched *s, struct worker *w,
				  const struct answer *a)
{
	w->token_is_new = false;
	s->place_due = true;
	lease_fenced(s, w, a);
}

/*
 * Returns true if the old process of a restarted worker can't have carried out
 * a task's start: the new one lists the run, or the start was sent after the
 * latest time at which the new one can have started.
 */
static bool start_missed_old_process(const struct sched *s,
				     const struct answer *a,
				     const struct task *t)
{
	bstr name;
	size_t i;
	bool listed = false;

	if (t->started_at > s->now - a->clock)
		return true;
	name = task_name(t);
	for (i = 0; i < a->running_count && !listed; i++)
		listed = t->run == a->running[i].run &&
			 bstr_eq(a->running[i].task, name);
	bstr_free(&name);
	return listed;
}

/*
 * Removes the tasks that did not run in the old process of a restarted worker:
 * if that crashed, they are not the cause.  Those that the new process lists
 * are adopted again.
 */
static void worker_remove_later_starts(struct sched *s, struct worker *w,
				       const struct answer *a)
{
	struct task *t, *next;

	for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
		next = TAILQ_NEXT(t, worker_entry);
		if (!start_missed_old_process(s, a, t))
			continue;
		t->lost_worker = w->serial;
		task_unplace(s, t);
	}
}

/*
 * Handles the restart of a worker under the same id.  The new process knows
 * nothing of the earlier runs.
 */
static void worker_restarted(struct sched *s, struct worker *w,
			     int64_t started_at, const struct answer *a)
{
	/*
	 * The earliest time at which the new process can have started, on this
	 * VM's clock.  Its clock counts from its start, runs at most 2% slow,
	 * and was read after the request was sent.  The time of the answer's
	 * processing can't be used instead, because the answer may have waited
	 * in the inbox: a start that the new process has received would then
	 * seem to be older than that process, and its task would run twice.
	 */
	int64_t earliest_start = a->sent_at -
				 (int64_t)((double)a->clock *
					   CLOCK_DRIFT_FACTOR) -
				 ORDER_TIMEOUT_MS;
	int64_t late_starts_until = w->late_starts_until;
	struct task *t;

	/*
	 * Starts sent to the old process may still be carried out by the new
	 * one, unless they were sent before it existed.
	 */
	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (t->phase == PHASE_STARTING &&
		    t->started_at >= earliest_start) {
			task_await_late_start(t);
			late_starts_until = t->late_start_until;
		}
	w->token_is_new = true;
	/* No deadline was sent with a token that was raised before. */
	if (w->clock && !w->later_process)
		worker_raise_token(s, w);
	w->later_process = false;
	worker_remove_later_starts(s, w, a);
	if (w->started_at) {
		crash_worker_lost(s, w, true);
		worker_lost(s, w, LOSS_RESTARTED);
		crash_settle(s, w, true);
	}
	w->late_starts_until = late_starts_until;
	w->started_at = started_at;
	ack_worker_restarted(s, w);
	w->last_end = w->durable_end = 0;
	w->last_end_seq = 0;
	w->fenced = false;
	worker_update_unknown(s, w);
	lease_reset(s, w);
	w->alive_at = 0;
	w->late_starts_possible = false;
	w->lost_runs = false; /* it has none of their ends */
	w->clock = 0;	      /* it was reset as well */
	w->clock_at = s->now;
	w->poll_at = s->now;
	w->failure_streak = 0;
}

/*
 * Notes that a worker may have been restarted under its id, as an exchange with
 * it failed.  The new process numbers its ends from 1 again.  It would discard
 * those up to the number acknowledged to the old process before anybody saw
 * them, and their tasks would be started again.  So nothing is acknowledged
 * until an answer has shown which process it is.
 */
void worker_suspect_restart(struct sched *s, struct worker *w)
{
	w->same_process = false;
	if (!w->polling)
		w->poll_at = s->now;
}

/*
 * Notes that a start was answered with a clock that was reset, so by a later
 * process than the known one.  A run it started has the longest lease, as the
 * start's deadline refers to the old clock.  If the run were given up when the
 * old process's lease ends, the task would run elsewhere at the same time, or
 * once more after it is done.  Each further deadline on the old clock would
 * extend that lease, so none is sent, and the token is raised at once: the next
 * poll then ends the effect of those that are under way, also if its answer is
 * lost.
 */
void worker_expect_later_process(struct sched *s, struct worker *w)
{
	worker_suspect_restart(s, w);
	lease_await_fence(s, w);
	if (w->later_process)
		return;
	w->later_process = true;
	worker_raise_token(s, w);
}

/* Handles the removal of a worker's row. */
static void worker_unlist(struct sched *s, struct worker *w)
{
	if (!w->listed)
		return;
	w->listed = false;
	sched_log(s, LOG_WORKER_GONE, "worker=%.*s quiet_ms=%lld",
		  BSTR_ARG(w->id), (long long)(s->now - w->answered_at));
}

/* Stores a worker's row; its content is moved. */
static void worker_update(struct sched *s, struct worker *w, struct row *r)
{
	bool was_draining = w->row.draining;
	bool address_changed = w->row.address.bstr_len &&
			       !bstr_eq(w->row.address, r->worker.address);

	worker_row_free(&w->row);
	w->row = r->worker;
	memset(&r->worker, 0, sizeof(r->worker));
	r->kind = ROW_RAW;
	bstr_free(&w->rack);
	if (w->row.label_count)
		w->rack = bstr_copy(w->row.labels[w->row.label_count - 1]);
	s->largest_capacity = resources_max(s->largest_capacity,
					    w->row.capacity);
	w->last_reading = s->follows[FOLLOW_WORKERS].reading_serial;
	if (!w->listed)
		w->poll_at = s->now;
	w->listed = true;
	w->gone = false;
	worker_update_unknown(s, w);
	if (address_changed)
		w->poll_at = w->address_since = s->now;
	if (w->row.draining && !was_draining)
		sched_log(s, LOG_WORKER_DRAINS, "worker=%.*s revision=%llu",
			  BSTR_ARG(w->id), (unsigned long long)r->revision);
	if (w->row.started_at && w->started_at &&
	    w->row.started_at > w->started_at)
		worker_suspect_restart(s, w); /* its next list shows it */
	s->place_due = true;
}

static void worker_check(struct sched *s, struct worker *w);

/* Applies a row of the workers table. */
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
 * Handles the removal of the rows that a complete reading did not return.  They
 * were removed during a gap in the change feed.
 */
void workers_unlist_missing(struct sched *s)
{
	struct worker *w, *next;

	HASH_ITER(hh, s->workers, w, next)
		if (w->last_reading !=
		    s->follows[FOLLOW_WORKERS].reading_serial)
			worker_unlist(s, w);
}

/*
 * Returns how long a poll of a worker without tasks waits.  Most workers of a
 * large fleet are idle at any time, and polling them would be half of the
 * owner's work.
 */
static uint32_t poll_idle_wait(const struct sched *s)
{
	uint32_t wait = HASH_COUNT(s->workers) * 1000 / IDLE_POLLS_PER_S;

	if (wait < POLL_WAIT_MAX_MS)
		return POLL_WAIT_MAX_MS;
	return wait < POLL_IDLE_WAIT_MAX_MS ? wait : POLL_IDLE_WAIT_MAX_MS;
}

/* Returns how long a poll may wait for an end of a run. */
static uint32_t poll_wait(const struct sched *s, const struct worker *w)
{
	if (!w->fenced || w->token_is_new || !w->clock || !w->same_process ||
	    w->durable_end < w->last_end)
		return 0;
	if (TAILQ_EMPTY(&w->tasks))
		return poll_idle_wait(s);
	/* After a pause, the next answer comes as soon as without it. */
	if (w->poll_paused_until > w->answered_at)
		return POLL_WAIT_MAX_MS -
		       (uint32_t)(w->poll_paused_until - w->answered_at);
	return POLL_WAIT_MAX_MS;
}

/*
 * Returns the end of the pause before the next poll of a worker that has just
 * listed ends, or now if it is to be polled at once.
 *
 * An owner short of processor time answers late, and a poll for each end then
 * takes processor time from the starts that free workers wait for.  During the
 * pause more tasks end, and one poll lists them all.  The pause is at most
 * POLL_PAUSE_MAX_MS, and the next poll waits that much shorter, so leases are
 * renewed as often as without it.  A worker whose tasks are not all known, or
 * whose machine is to be taken down, is polled at once.
 */
int64_t poll_pause_end(const struct sched *s, const struct worker *w)
{
	int64_t late_us = s->start_answer_us - 1000 * START_PROMPT_MS;

	if (s->now >= s->start_answer_expires || late_us <= 0 || !s->settled ||
	    w->ends_truncated || w->takedown_pending || w->row.draining ||
	    TAILQ_EMPTY(&w->tasks))
		return s->now;
	return s->now + late_us * POLL_PAUSE_MAX_MS /
				(1000 * (START_SLOW_MS - START_PROMPT_MS));
}

/* Polls a worker: renews its lease and asks for its running and ended runs. */
void worker_poll(struct sched *s, struct worker *w)
{
	uint32_t wait = poll_wait(s, w);
	struct request *rq;
	struct ask *ask;
	struct order *o;
	int64_t lease_ms = lease_next_ms(s, w);

	rq = sched_ask(s, FOR_POLL, ASK_POLL, s->now + wait + ORDER_TIMEOUT_MS,
		       &ask);
	rq->worker = w;
	w->requests++;
	o = &ask->order;
	o->worker = bstr_copy(w->id);
	o->address = bstr_copy(w->row.address);
	o->epoch = rq->token = w->token;
	o->ack_through = w->same_process ? w->durable_end : 0;
	rq->number = o->ack_through;
	o->wait_ms = wait;
	/*
	 * The lease of a silent worker is not renewed, so that it expires and
	 * the tasks can start elsewhere sooner.
	 */
	if (w->clock && !w->later_process && !worker_is_overdue(s, w) &&
	    lease_ms > 0) {
		o->deadline = worker_clock(s, w) + lease_ms;
		lease_granted(w, o->deadline);
		w->orders_until = s->now + ORDER_LIFETIME_MAX_MS;
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
 * Returns true if a worker may answer a poll, or its answer may tell whether it
 * has crashed.
 */
static bool worker_may_answer(const struct sched *s, const struct worker *w)
{
	return w->listed || !w->gone || crash_needs_evidence(s, w);
}

/*
 * Returns true if nothing refers to a worker any more.  While an order to it
 * may be carried out, it is kept: if it came back restarted, under the same
 * token and as one that is not known, that order would extend its lease
 * unnoticed.
 */
static bool worker_may_be_freed(const struct sched *s, const struct worker *w)
{
	return !worker_may_answer(s, w) && !w->polling && !w->requests &&
	       TAILQ_EMPTY(&w->tasks) && s->now >= w->orders_until;
}

/*
 * Checks a worker's timeouts, repeats stop orders, and polls the worker if it
 * is time.  May free the worker.
 */
static void worker_check(struct sched *s, struct worker *w)
{
	struct task *t, *next;

	if (!w->gone && lease_has_expired(s, w)) {
		lease_log_expired(s, w);
		worker_set_gone(s, w);
		starts_delay(s, w);
		crash_worker_lost(s, w, false);
		if (!TAILQ_EMPTY(&w->tasks))
			worker_lost(s, w, LOSS_SILENT);
	}
	if (!crash_needs_evidence(s, w))
		crash_settle(s, w, false);
	if (worker_may_be_freed(s, w)) {
		sched_worker_free(s, w);
		return;
	}
	for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
		next = TAILQ_NEXT(t, worker_entry);
		if (t->stopping && s->now >= t->stop_retry_at)
			task_stop(s, t);
		crash_check_outlived(s, t);
	}
	if (!w->polling && s->now >= w->poll_at && own_may_order(s) &&
	    w->row.address.bstr_len && worker_may_answer(s, w))
		worker_poll(s, w);
}

/* Checks the timeouts of all workers. */
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
 * Returns true if a poll was meant for an earlier process than the one that
 * answers.  The list then lacks the ends up to the number acknowledged to the
 * old process.  If it were taken as complete, tasks that the new process has
 * done would run again, and their ends would be acknowledged without having
 * been seen.  The worker is polled again, without that number.
 */
static bool poll_was_for_old_process(const struct worker *w,
				     const struct request *rq,
				     const struct answer *a)
{
	return rq->number && a->worker_started_at && w->started_at &&
	       a->worker_started_at != w->started_at;
}

/*
 * Returns true if a list may lack runs that a later process of its worker has
 * begun: an answer to a start has shown that process, and the poll was sent
 * before that.  The next list tells; taken by this one, the runs would count as
 * lost, and their tasks would be started elsewhere.
 */
static bool list_may_be_older_than_runs(const struct worker *w,
					const struct request *rq)
{
	return w->later_process && rq->token != w->token;
}

/* Processes a worker's answer to a poll. */
static void poll_process(struct sched *s, struct worker *w, struct request *rq,
			 struct answer *a)
{
	if (poll_was_for_old_process(w, rq, a) ||
	    list_may_be_older_than_runs(w, rq)) {
		w->answered_at = s->now;
		w->same_process = false;
		return;
	}
	if (a->worker_started_at && a->worker_started_at != w->started_at)
		worker_restarted(s, w, a->worker_started_at, a);
	/*
	 * The clock went back: either a newer answer has overtaken this one, or
	 * a worker that does not report its start time was restarted.
	 */
	if (a->clock < w->clock) {
		if (a->worker_started_at || a->sent_at < w->clock_at)
			return;
		worker_restarted(s, w, 0, a);
	}
	load_add_poll(s, w, a);
	w->ends_truncated = a->ended_truncated;
	w->clock = a->clock;
	w->clock_at = s->now;
	w->answered_at = s->now;
	if (a->worker_started_at && a->sent_at > w->alive_at)
		w->alive_at = a->sent_at;
	crash_settle(s, w, false);
	w->gone = w->expiry_logged = w->later_process = false;
	w->same_process = w->has_answered = true;
	if (!w->fenced) {
		w->fenced = true;
		s->place_due = true;
	}
	if (w->token_is_new && rq->token == w->token)
		worker_token_accepted(s, w, a);
	if (worker_needs_note(w))
		workers_note_request(s);
	w->strays_due = s->now >= w->stray_at;
	if (w->strays_due)
		w->stray_at = s->now + STRAY_STOP_INTERVAL_MS;
	w->list_count++;
	list_process(s, w, a);
	if (w->late_starts_possible && a->worker_started_at &&
	    !w->ends_truncated)
		starts_end_delay(s, w);
	pace_worker_tasks(s, w);
	worker_update_unknown(s, w);
}

/*
 * Returns true if another process answers at a worker's address, so that the
 * known one has ended.  The answer to a poll that was sent before the worker's
 * row got its current address says nothing about a process at that one.  If the
 * worker was started again there under its id, it may run tasks already, which
 * would be started elsewhere at the same time.
 */
static bool worker_is_replaced(const struct worker *w, const struct request *rq,
			       const struct answer *a)
{
	return a->refusal == REFUSAL_OTHER_PROCESS &&
	       rq->asked_at > w->address_since;
}

/* Handles the outcome of a poll. */
void worker_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct worker *w = rq->worker;

	if (!w || rq->epoch != s->own.epoch || s->own.state != OWN_OWNER)
		return;
	w->polling = false;
	if (a->outcome == OUT_DONE) {
		poll_process(s, w, rq, a);
		w->poll_at = s->now;
		if (w->durable_end < w->last_end)
			w->poll_paused_until = poll_pause_end(s, w);
		if (w->durable_end < w->last_end)
			w->poll_at += POLL_RETRY_MS;
		worker_acknowledge(s);
		if (!w->polling && s->now >= w->poll_at && own_may_order(s))
			worker_poll(s, w);
		settle_check(s);
		return;
	}
	w->same_process = false;
	w->poll_at = s->now + POLL_RETRY_MS;
	if (a->refusal == REFUSAL_STALE_EPOCH) {
		order_refused_stale(s, rq, w);
	} else if (worker_is_replaced(w, rq, a)) {
		worker_set_gone(s, w);
		worker_set_overdue(s, w);
		crash_worker_lost(s, w, false);
		if (!TAILQ_EMPTY(&w->tasks))
			worker_lost(s, w, LOSS_REPLACED);
		crash_settle(s, w, true);
	} else if (a->refusal != REFUSAL_OTHER_PROCESS &&
		   a->outcome == OUT_REFUSED) {
		w->unhealthy_until = s->now + POLL_RETRY_MS;
	}
	settle_check(s);
}
