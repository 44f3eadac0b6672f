/*
 * Shares of organisations.  The load that this answers: one or a few
 * organisations submit several times what they usually do, and the pools can't
 * run all of it.  Their excess then waits and is refused, and the jobs of the
 * others run about as on a calm day.
 *
 * The owner fills a token bucket for each organisation at its weight in jobs
 * per second.  While the bucket of any organisation is empty, and until what it
 * has queued can be run in time again, the jobs of a pool start in the order of
 * a weighted fair queue, and the queue that decides about an admission is that
 * of the job's own organisation.
 */
#include "sched-state.h"

/*
 * Capacity of a bucket, as the time in which it fills, and at least this many
 * jobs: callers of a small organisation also submit several at once.
 */
#define BURST_S 6.0
#define BURST_JOBS_MIN 8.0
/*
 * An organisation is within its share again once its bucket is this full.
 * Otherwise the order of the queues would change with every few jobs.
 */
#define REFILLED_PART 0.5
/* Of an organisation whose configuration has none. */
#define WEIGHT_DEFAULT 1.0
#define LOG_INTERVAL_MS 1000

/* Returns the weight of an organisation in the order of a pool. */
double share_weight(const struct tenant *t)
{
	return t && t->weight > 0 ? t->weight : WEIGHT_DEFAULT;
}

/* Returns the number of tokens in a full bucket. */
static double share_burst(double weight)
{
	double n = weight * BURST_S;

	return n > BURST_JOBS_MIN ? n : BURST_JOBS_MIN;
}

/* Adds the tokens of the time that has passed. */
void share_fill(struct share *h, double weight, int64_t now)
{
	double burst = share_burst(weight);

	if (!h->filled_at)
		h->tokens = burst;
	else if (now > h->filled_at)
		h->tokens += weight * (double)(now - h->filled_at) / 1000;
	if (h->tokens > burst)
		h->tokens = burst;
	h->filled_at = now;
}

/*
 * Counts a submitted job.  Returns false if its organisation has no token left
 * for it.
 */
bool share_take(struct share *h, double weight, int64_t now)
{
	share_fill(h, weight, now);
	h->submitted++;
	if (h->tokens < 1)
		return false;
	h->tokens--;
	return true;
}

/* Returns true if a job's organisation submits more than its share. */
bool share_is_exceeded(struct sched *s, struct job *j)
{
	return job_usage(s, j)->share.is_exceeded;
}

/* Returns true if any organisation submits more than its share. */
bool shares_are_exceeded(const struct sched *s)
{
	return s->shares_exceeded > 0;
}

/* Records that an organisation is beyond its share, or within it again. */
static void share_set_exceeded(struct sched *s, struct usage *u, bool exceeded)
{
	if (u->share.is_exceeded == exceeded)
		return;
	u->share.is_exceeded = exceeded;
	s->shares_exceeded += exceeded ? 1 : -1U;
	sched_gauge(s, COUNT_SHARES_EXCEEDED, s->shares_exceeded);
	s->place_due = true;
}

/* Counts a job that was submitted while this VM owns the scheduling. */
void share_count_job(struct sched *s, struct job *j)
{
	const struct tenant *t = job_tenant(s, j);
	struct usage *u;

	if (!t || t->weight <= 0 || !policy_is_enabled(s, POLICY_SHARES))
		return;
	u = job_usage(s, j);
	if (!share_take(&u->share, t->weight, s->now))
		share_set_exceeded(s, u, true);
}

/* Logs an organisation beyond its share, at most once per LOG_INTERVAL_MS. */
static void share_log(struct sched *s, struct usage *u, double weight)
{
	struct share *h = &u->share;

	if (s->now < h->log_at)
		return;
	sched_log(s, LOG_SHARE,
		  "organisation=%.*s weight=%.2f submitted=%u tokens=%.1f "
		  "cores=%lld queue=%.2f",
		  BSTR_ARG(u->tenant), weight, h->submitted, h->tokens,
		  (long long)(u->ending_cpu / 1000), h->queue_ratio);
	h->log_at = s->now + LOG_INTERVAL_MS;
	h->submitted = 0;
}

/*
 * Called by the owner after each computation of the queues: determines which
 * organisations are within their shares again.  The jobs that are refused never
 * reach the owner, so the bucket alone would fill while callers still press.
 */
void shares_update(struct sched *s)
{
	const struct tenant *t;
	struct usage *u;
	double weight;

	if (!shares_are_exceeded(s))
		return;
	for (u = s->usage; u; u = u->hh.next) {
		if (!u->share.is_exceeded)
			continue;
		t = tenant_named(s, u->tenant);
		weight = t ? t->weight : 0;
		share_fill(&u->share, weight, s->now);
		share_log(s, u, weight);
		if (weight <= 0 ||
		    (u->share.queue_ratio <= OVERLOAD_START &&
		     u->share.tokens >= REFILLED_PART * share_burst(weight)))
			share_set_exceeded(s, u, false);
	}
}

/*
 * Returns the organisations beyond their shares for the heartbeat.  An owner
 * that is still loading records those that it has read.
 */
json_t *shares_write(const struct sched *s)
{
	json_t *names = json_array();
	const struct usage *u;

	if (s->own.state == OWN_LOADING)
		json_array_extend(names, s->own.shares_exceeded);
	else
		for (u = s->usage; u; u = u->hh.next)
			if (u->share.is_exceeded)
				json_array_append_new(names,
						      bstr_to_json(u->tenant));
	return names;
}

/*
 * Called by a new owner when it has read all tables: the organisations that
 * were beyond their shares begin with empty buckets.  With full ones a flood
 * would be served like all others until it has used them up again.
 */
void shares_inherit(struct sched *s)
{
	const struct tenant *t;
	struct usage *u;
	json_t *name;
	size_t i;

	json_array_foreach(s->own.shares_exceeded, i, name) {
		t = tenant_named(s, bstr_lit(json_string_value(name)));
		if (!t || t->weight <= 0 ||
		    !policy_is_enabled(s, POLICY_SHARES))
			continue;
		u = usage_of(s, t->name);
		share_fill(&u->share, t->weight, s->now);
		u->share.tokens = 0;
		share_set_exceeded(s, u, true);
	}
}
