/*
 * Orders to workers: starting, stopping and throttling runs, and handling the
 * outcomes of these orders.
 */
#include "sched-state.h"

#include <string.h>

/*
 * A worker's clock is known within the duration of the longest exchange plus 2%
 * of the time between two polls.  A clock that is behind by more than this has
 * been reset, by a restart of the worker.
 */
#define CLOCK_RESET_MIN_MS 1500
/*
 * Pause of a worker that refused a start or did not answer it, and of a task
 * whose start was invalid.
 */
#define REFUSED_PAUSE_MS 400
/* Pause of a worker without room: shorter, as a task may end there soon. */
#define CAPACITY_PAUSE_MS 100

/*
 * Returns what a task of a step needs of a worker.  Best-effort tasks use only
 * idle cores, so they need no CPU.
 */
struct resources step_need(const struct job_step *st)
{
	struct resources need = st->need;

	if (st->best_effort)
		need.cpu = 0;
	return need;
}

/*
 * Bounds of the window of unanswered starts.  The window grows while starts are
 * answered within START_SLOW_MS, and shrinks by a quarter, at most once per
 * START_WINDOW_CUT_INTERVAL_MS, when an answer takes longer and the smoothed
 * time is above START_OWNER_SLOW_MS.  Answers that an owner processes late are
 * late from all workers; those of a few slow workers leave the mean below.
 */
#define START_WINDOW_MIN (64 * START_WINDOW_UNIT)
#define START_WINDOW_MAX (2048 * START_WINDOW_UNIT)
#define START_WINDOW_CUT_INTERVAL_MS 150
#define START_OWNER_SLOW_MS (START_SLOW_MS / 2)
/* Outcomes of starts over which the time between starts is averaged. */
#define START_INTERVAL_SAMPLES 64
/* An answer's weight in the smoothed time until starts are answered. */
#define START_ANSWER_DIVISOR 16
/* Without an answer for this long, the smoothed time is not known. */
#define START_ANSWER_VALID_MS 1000

/*
 * Returns true if no more starts may be in flight, as the owner could not
 * process their answers in time.  An owner short of processor time that sent
 * more would process the answers after their timeouts: tasks would run but
 * count as uncertain, and connections would be replaced as suspect, which takes
 * more processor time, so that the owner would never recover.  With the window
 * the owner sends what it can handle, and the other starts wait.
 */
bool start_window_is_full(const struct sched *s)
{
	return s->starts_in_flight * START_WINDOW_UNIT >= s->start_window;
}

/*
 * Returns true if starts are answered late by most workers, as they are if the
 * owner is short of processor time.
 */
bool starts_are_slow(const struct sched *s)
{
	return s->now < s->start_answer_expires &&
	       s->start_answer_us >= 1000 * START_OWNER_SLOW_MS;
}

/*
 * Updates the smoothed time until starts are answered.  Longer times count as
 * START_SLOW_MS, so that a few slow workers don't look like a slow owner.
 */
static void start_answer_update(struct sched *s, int64_t ms)
{
	int64_t us = 1000 * (ms < START_SLOW_MS ? ms : START_SLOW_MS);

	if (s->now >= s->start_answer_expires)
		s->start_answer_us = 0;
	s->start_answer_us += (us - s->start_answer_us) / START_ANSWER_DIVISOR;
	s->start_answer_expires = s->now + START_ANSWER_VALID_MS;
}

/*
 * Adjusts the window after a worker's answer to a start.  The time includes
 * that in which the answer waited to be processed.
 */
void start_window_update(struct sched *s, int64_t ms)
{
	start_answer_update(s, ms);
	s->load.slow_starts += ms > START_SLOW_MS;
	if (ms <= START_SLOW_MS) {
		if (s->start_window < START_WINDOW_MAX)
			s->start_window++;
		return;
	}
	if (s->now < s->start_window_cut_at + START_WINDOW_CUT_INTERVAL_MS ||
	    !starts_are_slow(s))
		return;
	s->start_window_cut_at = s->now;
	if (s->start_window > s->starts_in_flight * START_WINDOW_UNIT)
		s->start_window = s->starts_in_flight * START_WINDOW_UNIT;
	s->start_window -= s->start_window / 4;
	if (s->start_window < START_WINDOW_MIN)
		s->start_window = START_WINDOW_MIN;
}

/*
 * Updates the mean time between starts after the outcome of one, which took ms:
 * the owner can send as many starts as the window has in the time that one
 * takes.
 */
static void start_interval_update(struct sched *s, int64_t ms)
{
	double interval = (double)ms * START_WINDOW_UNIT / s->start_window;

	s->start_interval_ms += (interval - s->start_interval_ms) /
				START_INTERVAL_SAMPLES;
}

/* Assigns a task to a worker, as a new run. */
static void task_place(struct sched *s, struct task *t, struct worker *w,
		       uint64_t run)
{
	struct job *j = t->occ->job;

	t->worker = w;
	t->run = run;
	t->last_list = 0;
	t->lost_worker = 0;
	if (run > t->highest_run)
		t->highest_run = run;
	t->stopping = false;
	t->pace_percent = 100;
	t->percent = 0;
	t->load_figure = 0;
	t->started_at = s->now;
	t->run_clock = 0;
	t->run_is_part = false;
	TAILQ_INSERT_TAIL(&w->tasks, t, worker_entry);
	w->used = resources_add(w->used, step_need(task_step(t)));
	crash_task_placed(t);
	t->crash_inherited = t->crash_wait_inherited = false;
	usage_add(s, t, 1);
	j->placed++;
	if (!j->starts++ && !j->inherited)
		sched_observe(s, HISTOGRAM_FIRST_START, s->now - j->arrived);
}

/* Removes a task from its worker; unless done, it becomes pending again. */
void task_unplace(struct sched *s, struct task *t)
{
	struct worker *w = t->worker;

	if (!w)
		return;
	TAILQ_REMOVE(&w->tasks, t, worker_entry);
	crash_task_unplaced(t, w);
	w->used = resources_sub(w->used, step_need(task_step(t)));
	w->idle_since = s->now;
	usage_add(s, t, -1);
	t->worker = NULL;
	t->start_in_flight = t->stopping = false;
	if (t->phase != PHASE_DONE) {
		task_set_phase(t, PHASE_PENDING);
		job_queue_placing(s, t->occ->job);
	}
	t->ready_at = s->now;
	t->occ->job->placed--;
	s->place_due = true;
}

/* Sends an order to a worker; the caller fills in the rest of it. */
static struct order *order_send(struct sched *s, enum purpose purpose,
				enum ask_kind kind, struct worker *w,
				struct request **rq)
{
	struct ask *ask;

	*rq = sched_ask(s, purpose, kind, s->now + ORDER_TIMEOUT_MS, &ask);
	(*rq)->worker = w;
	w->requests++;
	ask->order.worker = bstr_copy(w->id);
	ask->order.address = bstr_copy(w->row.address);
	ask->order.epoch = (*rq)->token = w->token;
	sched_count(s, COUNT_WORKER_EXCHANGES, 1);
	return &ask->order;
}

/* Returns the word for a reason in log lines. */
const char *pending_reason_word(enum pending_reason reason)
{
	static const char *const words[] = {
		[PENDING_NONE] = "none",
		[PENDING_LEASES] = "leases",
		[PENDING_CAPACITY] = "room",
		[PENDING_CONSTRAINTS] = "worker",
		[PENDING_LIMIT] = "limit",
		[PENDING_CEILING] = "ceiling",
		[PENDING_STORE] = "store",
		[PENDING_TICKET] = "ticket",
		[PENDING_WINDOW] = "window",
		[PENDING_CRASH] = "crash",
		[PENDING_ISOLATION] = "isolation",
		[PENDING_EVACUATION] = "evacuation",
		[PENDING_ENDS] = "ends",
		[PENDING_NOT_ADVISED] = "advice",
	};

	return words[reason];
}

/* Assigns a task to a worker and sends the start order. */
void sched_task_start(struct sched *s, struct task *t, struct worker *w,
		      uint64_t run)
{
	const struct job *j = t->occ->job;
	struct request *rq;
	struct order *o;

	task_place(s, t, w, run);
	task_set_phase(t, PHASE_STARTING);
	t->start_in_flight = true;
	t->connected_at = 0;
	t->awaited_worker = 0;
	t->late_start_until = 0;
	t->start_by = worker_clock(s, w) + start_valid_ms(&s->options);
	lease_granted(w, t->start_by);
	w->orders_until = s->now + ORDER_LIFETIME_MAX_MS;
	o = order_send(s, FOR_START, ASK_START, w, &rq);
	memcpy(rq->job, j->id, sizeof(rq->job));
	rq->occurrence = t->occ->number;
	rq->task = (unsigned)(t - t->occ->tasks);
	rq->run = run;
	o->task = task_name(t);
	o->run = run;
	o->deadline = t->start_by;
	o->payload = bstr_copy(j->body->payload);
	if (policy_is_enabled(s, POLICY_CHECKPOINTS))
		o->checkpoint = bstr_copy(t->checkpoint);
	o->ticket = bstr_copy(advice_ticket(s, t->occ, t->step, w));
	s->load.starts++;
	s->starts_in_flight++;
	if (s->starts_in_flight > s->load.starts_in_flight_max)
		s->load.starts_in_flight_max = s->starts_in_flight;
	sched_count(s, COUNT_STARTS, 1);
	sched_log(s, LOG_TASK_START,
		  "task=%.*s run=%llu worker=%.*s waited_ms=%lld hold=%s "
		  "epoch=%llu",
		  BSTR_ARG(o->task), (unsigned long long)run, BSTR_ARG(w->id),
		  (long long)(task_ready_at(t) ? s->now - task_ready_at(t) : 0),
		  pending_reason_word(j->pending_reason),
		  (unsigned long long)s->own.epoch);
}

/* Adopts a run that an earlier owner started, or whose start had no answer. */
void task_adopt(struct sched *s, struct task *t, struct worker *w, uint64_t run)
{
	task_place(s, t, w, run);
	if (!s->settled)
		usage_add_found(s, t);
	task_set_phase(t, PHASE_RUNNING);
	t->occ->job->run_seen = true;
	job_add_service(s, t->occ->job, w->row.service);
	sched_log(s, LOG_TASK_ADOPTED, "task=%s.%u.%u.%u run=%llu worker=%.*s",
		  t->occ->job->id, t->occ->number, t->step, t->index,
		  (unsigned long long)run, BSTR_ARG(w->id));
}

/* Stops a task.  The worker's list reports its end. */
void task_stop(struct sched *s, struct task *t)
{
	struct request *rq;
	struct order *o;

	if (!t->worker)
		return;
	t->stopping = true;
	t->stop_retry_at = s->now + STOP_RETRY_MS;
	if (!own_may_order(s))
		return;
	o = order_send(s, FOR_STOP, ASK_STOP, t->worker, &rq);
	o->task = task_name(t);
	o->run = t->run;
}

/* Stops a stray run, which is not the current run of any task. */
void run_stop(struct sched *s, struct worker *w, bstr task, uint64_t run)
{
	struct request *rq;
	struct order *o;

	if (!own_may_order(s))
		return;
	o = order_send(s, FOR_STOP, ASK_STOP, w, &rq);
	o->task = bstr_copy(task);
	o->run = run;
	sched_log(s, LOG_RUN_STRAY, "task=%.*s run=%llu worker=%.*s",
		  BSTR_ARG(task), (unsigned long long)run, BSTR_ARG(w->id));
}

/* Throttles a task to a percentage of its CPU share. */
void task_pace(struct sched *s, struct task *t, unsigned percent)
{
	struct request *rq;
	struct order *o;

	t->pace_percent = percent;
	t->paced_at = s->now;
	if (!own_may_order(s))
		return;
	o = order_send(s, FOR_PACE, ASK_PACE, t->worker, &rq);
	o->task = task_name(t);
	o->run = t->run;
	o->percent = percent;
	sched_log(s, LOG_TASK_PACED, "task=%.*s run=%llu percent=%u",
		  BSTR_ARG(o->task), (unsigned long long)t->run, percent);
}

/*
 * Returns the task that a start order was for, or NULL if the task is no longer
 * in that run.
 */
static struct task *start_find_task(struct sched *s, const struct request *rq)
{
	struct job *j = sched_job_find(s, rq->job);
	struct occurrence *o;
	struct task *t;

	if (!j)
		return NULL;
	o = occurrence_find(j, rq->occurrence);
	if (!o)
		return NULL;
	t = &o->tasks[rq->task];
	return t->worker == rq->worker && t->run == rq->run ? t : NULL;
}

/*
 * Handles the refusal of an order because of its token.  Another owner has
 * given the worker a higher one, unless this owner has itself.
 */
void order_refused_stale(struct sched *s, const struct request *rq,
			 const struct worker *w)
{
	if (rq->token == w->token)
		own_require_check(s, "fenced");
}

/*
 * Handles a refused start.  The run has not been started and won't be, so the
 * task is pending again.
 */
static void start_refused(struct sched *s, struct task *t,
			  const struct request *rq, enum refusal why)
{
	struct worker *w = rq->worker;
	static const char *const words[] = {
		[REFUSAL_NONE] = "none",
		[REFUSAL_STALE_EPOCH] = "fence",
		[REFUSAL_STALE_RUN] = "old",
		[REFUSAL_LATE] = "late",
		[REFUSAL_CAPACITY] = "room",
		[REFUSAL_TICKET] = "ticket",
		[REFUSAL_BUSY] = "busy",
		[REFUSAL_WAVE] = "wave",
		[REFUSAL_OTHER_PROCESS] = "other-life",
		[REFUSAL_UNHEALTHY] = "unwell",
		[REFUSAL_INVALID] = "invalid",
		[REFUSAL_NOT_SENT] = "not-sent",
	};

	sched_count(s, COUNT_RETRY_TASK_REFUSED, 1);
	sched_log(s, LOG_TASK_REFUSED,
		  "task=%s.%u.%u.%u run=%llu worker=%.*s "
		  "reason=%s",
		  t->occ->job->id, t->occ->number, t->step, t->index,
		  (unsigned long long)t->run, BSTR_ARG(w->id), words[why]);
	task_unplace(s, t);
	switch (why) {
	case REFUSAL_STALE_EPOCH:
		order_refused_stale(s, rq, w);
		break;
	case REFUSAL_CAPACITY:
		w->unhealthy_until = s->now + CAPACITY_PAUSE_MS;
		break;
	case REFUSAL_TICKET:
		advice_ticket_refused(t, w);
		break;
	case REFUSAL_INVALID:
		task_delay(t, s->now + REFUSED_PAUSE_MS);
		break;
	case REFUSAL_OTHER_PROCESS:
	case REFUSAL_UNHEALTHY:
	case REFUSAL_NOT_SENT:
		w->unhealthy_until = s->now + REFUSED_PAUSE_MS;
		break;
	default:
		break;
	}
}

/*
 * Returns true if the clock in an answer was reset since the worker's last
 * list.  The clock was read after the request was sent.  The time of the
 * answer's processing can't be used instead, because the answer may have waited
 * in the inbox of an owner short of processor time.
 */
static bool clock_was_reset(const struct worker *w, const struct answer *a)
{
	return a->clock && a->clock + CLOCK_RESET_MIN_MS <
				   w->clock + (a->sent_at - w->clock_at);
}

/*
 * Handles the outcome of an order.  The outcomes of stops and throttles are
 * seen in the workers' lists.
 */
void order_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct worker *w = rq->worker;
	struct task *t;

	if (rq->purpose == FOR_START) {
		s->starts_in_flight--;
		if (rq->epoch == s->own.epoch)
			start_interval_update(s, s->now - rq->asked_at);
		if (a->clock)
			start_window_update(s, s->now - a->sent_at);
	}
	if (!w || rq->epoch != s->own.epoch)
		return;
	if (a->refusal == REFUSAL_STALE_EPOCH && rq->purpose != FOR_START)
		order_refused_stale(s, rq, w);
	if (rq->purpose != FOR_START)
		return;
	/* A reset clock belongs to a later process of the worker. */
	if (clock_was_reset(w, a))
		worker_expect_later_process(s, w);
	else if (a->outcome == OUT_UNKNOWN || a->refusal == REFUSAL_NOT_SENT)
		worker_suspect_restart(s, w);
	sched_observe(s, HISTOGRAM_START_CALL, s->now - a->sent_at);
	t = start_find_task(s, rq);
	if (!t)
		return;
	t->start_in_flight = false;
	switch (a->outcome) {
	case OUT_DONE:
		t->occ->job->run_seen = true;
		learn_run_started(t, a);
		if (t->phase == PHASE_STARTING) {
			task_set_phase(t, PHASE_RUNNING);
			t->started_at_worker = a->clock;
		}
		break;
	case OUT_UNKNOWN:
		t->connected_at = a->connected_at;
		w->unhealthy_until = s->now + REFUSED_PAUSE_MS;
		sched_log(s, LOG_TASK_UNSURE,
			  "task=%s.%u.%u.%u run=%llu "
			  "worker=%.*s start_by=%lld repeated=%d",
			  rq->job, rq->occurrence, t->step, t->index,
			  (unsigned long long)t->run, BSTR_ARG(w->id),
			  (long long)t->start_by, a->repeated);
		break;
	default:
		start_refused(s, t, rq, a->refusal);
		break;
	}
}
