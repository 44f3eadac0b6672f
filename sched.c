/*
 * The scheduler's reducer.  It passes each event to the file that handles it,
 * and at each tick lets all files check their timeouts.
 */
#include "sched-state.h"

#include <stdlib.h>
#include <string.h>

/*
 * A request without an outcome this long after its deadline counts as
 * unanswered.  The client reports a timeout at the deadline, but an owner short
 * of processor time may process that report seconds later.
 */
#define REQUEST_LOST_MS 3000
#define REQUEST_CHECK_INTERVAL_MS 1000

/* Adds an effect; the caller fills in the rest of it. */
struct sched_effect *sched_effect_add(struct sched *s,
				      enum sched_effect_kind kind)
{
	struct sched_effect *fx = xcalloc(1, sizeof(*fx));

	fx->kind = kind;
	TAILQ_INSERT_TAIL(s->effects, fx, entry);
	return fx;
}

/* Returns true if a request for this purpose orders something of a machine. */
bool purpose_is_machine(enum purpose p)
{
	return p == FOR_MOVE || p == FOR_MAINTENANCE;
}

/* Adds a request to another service, and records what its answer is for. */
struct request *sched_ask(struct sched *s, enum purpose purpose,
			  enum ask_kind kind, int64_t deadline,
			  struct ask **ask)
{
	struct sched_effect *fx = sched_effect_add(s, EFFECT_ASK);
	struct request *rq = xcalloc(1, sizeof(*rq));

	rq->id = ++s->last_request;
	rq->purpose = purpose;
	rq->asked_at = s->now;
	rq->deadline = deadline;
	rq->epoch = own_may_order(s) || s->own.state == OWN_LOADING
			    ? s->own.epoch
			    : 0;
	HASH_ADD(hh, s->requests, id, sizeof(rq->id), rq);
	if (purpose_is_machine(purpose))
		s->own.machine_call_at = s->now;
	fx->ask.request = rq->id;
	fx->ask.kind = kind;
	fx->ask.deadline = deadline;
	*ask = &fx->ask;
	return rq;
}

/* Logs an event by its number; fmt formats its fields as key=value. */
void sched_log(struct sched *s, uint32_t number, const char *fmt, ...)
{
	struct sched_effect *fx = sched_effect_add(s, EFFECT_LOG);
	va_list ap;

	va_start(ap, fmt);
	fx->log.number = number;
	if (vasprintf(&fx->log.text, fmt, ap) < 0)
		abort(); /* out of memory */
	va_end(ap);
}

/* Adds to a counter. */
void sched_count(struct sched *s, enum counter_id id, uint64_t n)
{
	struct sched_effect *fx = sched_effect_add(s, EFFECT_COUNT);

	fx->count.id = id;
	fx->count.n = n;
}

/* Sets a gauge. */
void sched_gauge(struct sched *s, enum counter_id id, uint64_t n)
{
	struct sched_effect *fx = sched_effect_add(s, EFFECT_GAUGE);

	fx->count.id = id;
	fx->count.n = n;
}

/* Adds a duration to a histogram. */
void sched_observe(struct sched *s, enum histogram_id id, int64_t ms)
{
	struct sched_effect *fx = sched_effect_add(s, EFFECT_OBSERVE);

	fx->observe.id = id;
	fx->observe.ms = ms;
}

/*
 * Returns true if the store serves this VM.  After two consecutive failures it
 * doesn't, until a request succeeds; the feeds continue to send requests.
 */
bool sched_store_is_up(const struct sched *s)
{
	return s->store_failures < 2;
}

/* Updates the state of the store by the outcome of a request to it. */
static void store_update_state(struct sched *s, const struct answer *a)
{
	if (a->outcome == OUT_REFUSED || a->outcome == OUT_UNKNOWN) {
		/*
		 * Simultaneous failures, such as several feeds cut at once,
		 * count once.
		 */
		if (s->now - s->store_failed_at < STORE_FAILURE_GAP_MS)
			return;
		s->store_failed_at = s->now;
		s->store_failures++;
		if (s->store_failures == 2 && !s->store_down_logged) {
			s->store_down_logged = true;
			sched_log(s, LOG_STORE_LOST, "idle_ms=%lld",
				  (long long)(s->now - s->store_ok_at));
		}
		return;
	}
	if (s->store_down_logged) {
		sched_log(s, LOG_STORE_BACK, "away_ms=%lld",
			  (long long)(s->now - s->store_ok_at));
		own_store_recovered(s);
	}
	s->store_down_logged = false;
	s->store_failures = 0;
	s->store_ok_at = s->now;
}

/* Returns true if a request for this purpose goes to the store. */
static bool purpose_is_store(enum purpose p)
{
	return p < FOR_POLL || p == FOR_WAVE_ROW;
}

/* Returns true if the answer to such a request waits for a change. */
static bool purpose_is_feed(enum purpose p)
{
	return p == FOR_OPERATOR_FEED || p == FOR_OWNER_FEED ||
	       p == FOR_WORKERS_FEED || p == FOR_JOBS_FEED;
}

/* Passes an answer to the file that sent the request. */
static void answer_dispatch(struct sched *s, struct request *rq,
			    struct answer *a)
{
	switch (rq->purpose) {
	case FOR_OPERATOR_GET:
	case FOR_OPERATOR_FEED:
	case FOR_OWNER_GET:
	case FOR_OWNER_FEED:
	case FOR_WORKERS_GET:
	case FOR_WORKERS_FEED:
	case FOR_JOBS_GET:
	case FOR_JOBS_FEED:
	case FOR_PROGRESS_GET:
	case FOR_NOTES_GET:
		follow_answer(s, rq, a);
		break;
	case FOR_HEARTBEAT:
	case FOR_CLAIM:
	case FOR_RELEASE:
	case FOR_OFFER:
		own_answer(s, rq, a);
		break;
	case FOR_COMMIT:
		commit_answer(s, rq, a);
		break;
	case FOR_REMOVE_JOBS:
		retention_answer(s, rq, a);
		break;
	case FOR_SUBMIT:
	case FOR_SUBMIT_READ:
	case FOR_STATE:
	case FOR_CANCEL_READ:
	case FOR_STATE_JOB:
	case FOR_CANCEL_READ_JOB:
	case FOR_CANCEL:
		call_answer(s, rq, a);
		break;
	case FOR_POLL:
		worker_answer(s, rq, a);
		break;
	case FOR_START:
	case FOR_STOP:
	case FOR_PACE:
		order_answer(s, rq, a);
		break;
	case FOR_ADVICE:
		advice_answer(s, rq, a);
		break;
	case FOR_MACHINES:
		machines_answer(s, rq, a);
		break;
	case FOR_MAINTENANCE:
		maintenance_answer(s, rq, a);
		break;
	case FOR_WAVE_ROW:
		wave_answer(s, rq, a);
		break;
	case FOR_MOVE:
		move_answer(s, rq, a);
		break;
	case PURPOSE_MAX:
		break;
	}
}

/* Handles an answer. */
static void answer_process(struct sched *s, struct answer *a)
{
	struct request *rq;

	HASH_FIND(hh, s->requests, &a->request, sizeof(a->request), rq);
	if (!rq)
		return;
	HASH_DEL(s->requests, rq);
	if (purpose_is_store(rq->purpose)) {
		store_clock_update(s, a);
		store_update_state(s, a);
		if (!purpose_is_feed(rq->purpose))
			sched_observe(s, HISTOGRAM_STORE, s->now - a->sent_at);
	}
	if (rq->worker)
		rq->worker->requests--;
	if (purpose_is_machine(rq->purpose))
		s->own.machine_call_at = s->now;
	answer_dispatch(s, rq, a);
	bstr_free(&rq->name);
	free(rq);
}

/*
 * Takes requests for unanswered whose outcome the client has not reported for
 * long after their deadline.  Whatever waits for the outcome would wait for
 * ever: a commit, the polls of a worker, a task that counts as starting.
 */
static void requests_check(struct sched *s)
{
	struct request *rq, *next;
	struct answer none = {.outcome = OUT_UNKNOWN};

	if (s->now < s->requests_check_at)
		return;
	s->requests_check_at = s->now + REQUEST_CHECK_INTERVAL_MS;
	HASH_ITER(hh, s->requests, rq, next) {
		if (s->now < rq->deadline + REQUEST_LOST_MS)
			continue;
		sched_log(s, LOG_REQUEST_LOST,
			  "request=%llu purpose=%d asked_ms=%lld",
			  (unsigned long long)rq->id, rq->purpose,
			  (long long)(s->now - rq->asked_at));
		none.request = rq->id;
		none.sent_at = rq->asked_at;
		answer_process(s, &none);
	}
}

/*
 * Detects that the process did not run for a while.  It may have lost its
 * ownership meanwhile, so it sends no order until the store has confirmed the
 * ownership.  Answers that waited are processed before the next tick, so this
 * is checked at each event.
 */
static void suspension_check(struct sched *s)
{
	int64_t gap = s->now - s->last_event_at;

	if (s->last_event_at && gap > SUSPENSION_MIN_MS) {
		sched_log(s, LOG_SUSPENDED, "gap_ms=%lld", (long long)gap);
		own_require_check(s, "suspended");
		s->suspended_at = s->last_event_at;
		s->resumed_at = s->now;
	}
	s->last_event_at = s->now;
}

/* Reports changes of whether this VM accepts new connections. */
static void ready_tick(struct sched *s)
{
	bool ready = s->config && sched_store_is_up(s) && !s->stop_by;

	if (ready == s->ready)
		return;
	s->ready = ready;
	sched_effect_add(s, EFFECT_READY)->ready = ready;
	sched_log(s, LOG_READY, "ready=%d config=%d store=%d stopping=%d",
		  ready, s->config != NULL, sched_store_is_up(s),
		  s->stop_by != 0);
}

/* Ends the process in a planned stop, when its calls are done or time is up. */
static void stop_tick(struct sched *s)
{
	bool may_end_early = s->now >= s->end_at && !s->calls;

	if (!s->stop_by || s->ended)
		return;
	if (s->now < s->stop_by && !may_end_early)
		return;
	s->ended = true;
	sched_effect_add(s, EFFECT_END);
}

/*
 * Begins a planned stop.  If the process has just resumed after a suspension,
 * the stop may have been requested while it was suspended, and most of the
 * grace period may be over; without a shorter one the process would be killed
 * while it handles calls.
 */
static void stop_begin(struct sched *s)
{
	if (s->stop_by)
		return;
	s->stop_by = s->now + s->options.grace_ms;
	s->end_at = s->stop_by - s->options.grace_ms / 4;
	if (s->resumed_at && s->now - s->resumed_at < SUSPENSION_MIN_MS)
		s->end_at -= s->resumed_at - s->suspended_at;
	sched_log(s, LOG_STOPPING, "calls=%u owner=%d", HASH_COUNT(s->calls),
		  s->own.state == OWN_OWNER);
	own_release(s);
}

/* Returns the value of a gauge for an age; an unknown age is the maximum. */
static uint64_t gauge_of_age(int64_t age)
{
	return age < 0 ? UINT32_MAX : (uint64_t)age;
}

/* Sets the gauges at intervals. */
static void gauges_tick(struct sched *s)
{
	const struct worker *w;
	uint64_t eligible = 0;

	if (s->now < s->gauges_set_at)
		return;
	s->gauges_set_at = s->now + GAUGE_INTERVAL_MS;
	for (w = s->workers; w; w = w->hh.next)
		eligible += worker_is_eligible(s, w);
	sched_gauge(s, COUNT_OWNER, s->own.state == OWN_OWNER);
	sched_gauge(s, COUNT_JOBS_OPEN, HASH_COUNT(s->jobs));
	sched_gauge(s, COUNT_JOBS_RETAINED, HASH_COUNT(s->retention.jobs));
	sched_gauge(s, COUNT_JOBS_SET_ASIDE, commit_set_aside_count(s));
	sched_gauge(s, COUNT_REMOVAL_LATE, retention_late_ms(s));
	sched_gauge(s, COUNT_WORKERS_KNOWN, HASH_COUNT(s->workers));
	sched_gauge(s, COUNT_WORKERS_TAKING, eligible);
	sched_gauge(s, COUNT_CONFIG_REVISION,
		    s->config ? s->config->version : 0);
	sched_gauge(s, COUNT_EVACUATIONS, HASH_COUNT(s->evacuations));
	sched_gauge(s, COUNT_CORES_DIVIDED,
		    own_may_order(s) && s->cores_divided);
	sched_gauge(s, COUNT_SHARES_EXCEEDED, s->shares_exceeded);
	sched_gauge(s, COUNT_STORE_AGE, (uint64_t)(s->now - s->store_ok_at));
	sched_gauge(s, COUNT_COUNTS_AGE, gauge_of_age(counts_age_ms(s)));
}

/* Handles a tick: checks all timeouts. */
static void tick_process(struct sched *s)
{
	s->place_due = s->place_due || s->has_pending_tasks;
	requests_check(s);
	follow_tick(s);
	own_tick(s);
	call_tick(s);
	job_tick(s);
	retention_tick(s);
	worker_tick(s);
	evacuations_tick(s);
	wave_tick(s);
	move_tick(s);
	commit_tick(s);
	load_tick(s);
	gauges_tick(s);
	ready_tick(s);
	stop_tick(s);
}

/* Handles an event and appends its effects to out. */
void sched_reduce(struct sched *s, const struct sched_event *ev,
		  struct sched_effects *out)
{
	s->now = ev->now;
	s->wall = ev->wall;
	s->effects = out;
	suspension_check(s);
	switch (ev->kind) {
	case EVENT_TICK:
		tick_process(s);
		break;
	case EVENT_CALL:
		call_receive(s, (struct call_in *)&ev->call);
		break;
	case EVENT_ANSWER:
		answer_process(s, (struct answer *)&ev->answer);
		break;
	case EVENT_STOP:
		stop_begin(s);
		break;
	}
	/*
	 * One placement pass serves a whole round of events.  Under load a pass
	 * for each event would take more processor time than the owner has, and
	 * the queue would grow because of that.
	 */
	if (s->place_due && !ev->more_follow && s->now >= s->place_at)
		place_all(s);
	heartbeat_if_due(s);
	commit_tick(s);
	s->effects = NULL;
}

/* Returns the initial state of following a table. */
static struct follow follow_make(enum table table, enum purpose get,
				 enum purpose feed, uint32_t wait_ms,
				 bool wanted)
{
	return (struct follow){.table = table,
			       .read_purpose = get,
			       .feed_purpose = feed,
			       .wait_ms = wait_ms,
			       .wanted = wanted};
}

/* Creates a scheduler that has read nothing yet. */
struct sched *sched_new(const struct sched_options *o)
{
	struct sched *s = xcalloc(1, sizeof(*s));

	s->options = *o;
	s->options.vm = bstr_copy(o->vm);
	s->options.zone = bstr_copy(o->zone);
	if (!o->row_bytes)
		s->options.row_bytes = ROW_BYTES_DEFAULT;
	s->follows[FOLLOW_OPERATOR] = follow_make(
		TABLE_OPERATOR, FOR_OPERATOR_GET, FOR_OPERATOR_FEED,
		evacuations_feed_wait_ms(o), true);
	s->follows[FOLLOW_OWNER] = follow_make(TABLE_OWNER, FOR_OWNER_GET,
					       FOR_OWNER_FEED,
					       OWNER_FEED_WAIT_MS, true);
	s->follows[FOLLOW_WORKERS] = follow_make(TABLE_WORKERS, FOR_WORKERS_GET,
						 FOR_WORKERS_FEED, FEED_WAIT_MS,
						 false);
	s->follows[FOLLOW_JOBS] = follow_make(TABLE_JOBS, FOR_JOBS_GET,
					      FOR_JOBS_FEED, JOBS_FEED_WAIT_MS,
					      false);
	s->follows[FOLLOW_JOBS].parts = JOB_PARTS;
	s->progress = follow_make(TABLE_PROGRESS, FOR_PROGRESS_GET, PURPOSE_MAX,
				  0, false);
	s->notes = follow_make(TABLE_NOTES, FOR_NOTES_GET, PURPOSE_MAX, 0,
			       false);
	s->removed_config = xcalloc(1, sizeof(*s->removed_config));
	s->start_window = START_WINDOW_INITIAL;
	s->advice_workers_max = ADVICE_WORKERS_FIRST;
	TAILQ_INIT(&s->jobs_by_arrival);
	TAILQ_INIT(&s->placing);
	TAILQ_INIT(&s->dirty);
	TAILQ_INIT(&s->committing_jobs);
	TAILQ_INIT(&s->refused);
	s->commit_jobs_max = COMMIT_ROWS_MAX;
	TAILQ_INIT(&s->retention.removing);
	TAILQ_INIT(&s->retention.removed);
	TAILQ_INIT(&s->unacked);
	TAILQ_INIT(&s->open_starts);
	return s;
}

/* Frees a scheduler; requests in flight are abandoned. */
void sched_free(struct sched *s)
{
	struct request *rq, *next_rq;
	struct call *c, *next_c;
	struct sched_effects out;
	size_t i;

	TAILQ_INIT(&out);
	s->effects = &out; /* cppcheck-suppress autoVariables */
	own_lose(s, "ended");
	sched_workers_free(s);
	sched_waves_free(s);
	evacuations_free(s);
	learnt_times_free(s);
	backlogs_free(s);
	HASH_ITER(hh, s->calls, c, next_c)
		call_free(s, c);
	HASH_ITER(hh, s->requests, rq, next_rq) {
		HASH_DEL(s->requests, rq);
		bstr_free(&rq->name);
		free(rq);
	}
	counts_free(s);
	large_free(s);
	flows_free(s);
	admissions_free(s);
	for (i = 0; i < NELEMS(s->follows); i++)
		follow_restart(&s->follows[i]);
	follow_restart(&s->progress);
	follow_restart(&s->notes);
	while (!TAILQ_EMPTY(&out)) {
		struct sched_effect *fx = TAILQ_FIRST(&out);

		TAILQ_REMOVE(&out, fx, entry);
		sched_effect_free(fx);
	}
	fleet_config_free(s->config);
	fleet_config_free(s->removed_config);
	bstr_free(&s->own.holder);
	bstr_free(&s->own.offer_vm);
	json_decref(s->own.workers);
	json_decref(s->own.lease_note);
	json_decref(s->own.ceilings);
	json_decref(s->own.shares_exceeded);
	json_decref(s->home_sizes);
	bstr_free(&s->options.vm);
	bstr_free(&s->options.zone);
	free(s);
}
