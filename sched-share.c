/*
 * Shares of organisations.  The load that this answers: one or a few
 * organisations submit several times what they usually do, and the pools can't
 * run all of it.  Their excess then waits and is refused, and the jobs of the
 * others run about as on a calm day.
 *
 * An organisation is beyond its share while its part of the jobs that are
 * submitted exceeds its part of the weights, and it has more queued in a pool
 * than can be run in time.  Only parts count: a burst of all organisations
 * alike is no one's excess.  While any organisation is beyond its share, and
 * until what it has queued can be run in time again, the jobs of a pool start
 * in the order of a weighted fair queue, and the queue that decides about an
 * admission is that of the job's own organisation.
 */
#include "sched-state.h"

#include <math.h>

/* Time over which the submitted jobs are averaged. */
#define RATE_MS 3000.0
/*
 * An organisation is beyond its share from this excess on, a part of all jobs.
 * What others lose by less is little, and a few jobs more at once are usual.
 */
#define EXCESS_MIN 0.15
/* It is within its share again at half of that. */
#define EXCESS_END (EXCESS_MIN / 2)
/* With fewer jobs within RATE_MS, the parts of organisations are chance. */
#define JOBS_MIN 20.0
/* An organisation with fewer jobs within RATE_MS submits nothing now. */
#define ACTIVE_JOBS_MIN 0.05
/* Of an organisation whose configuration has none. */
#define WEIGHT_DEFAULT 1.0
/* A queue can be run in time up to this multiple of the objective. */
#define QUEUE_RATIO_MAX 1.0
#define LOG_INTERVAL_MS 1000

/* Returns the weight of an organisation in the order of a pool. */
double share_weight(const struct tenant *t)
{
	return t && t->weight > 0 ? t->weight : WEIGHT_DEFAULT;
}

/* Lets the average of an organisation's jobs fall by the time that passed. */
static void share_decay(struct share *h, int64_t now)
{
	if (now > h->counted_at)
		h->jobs *= exp((double)(h->counted_at - now) / RATE_MS);
	h->counted_at = now;
}

/* Counts a submitted job. */
void share_add(struct share *h, int64_t now)
{
	share_decay(h, now);
	h->jobs++;
	h->submitted++;
}

/* Adds an organisation to the sums, by its jobs until now. */
void share_sum(struct share_sums *sums, struct share *h, double weight,
	       int64_t now)
{
	share_decay(h, now);
	sums->jobs += h->jobs;
	if (h->jobs >= ACTIVE_JOBS_MIN)
		sums->weights += weight;
}

/*
 * Returns the part of all jobs that an organisation submits beyond its share; 0
 * or less if it is within.
 */
double share_excess(const struct share *h, double weight,
		    const struct share_sums *sums)
{
	if (sums->jobs < JOBS_MIN || sums->weights < weight)
		return 0;
	return h->jobs / sums->jobs - weight / sums->weights;
}

/*
 * Returns true if an organisation may become beyond its share: what it has
 * queued in some pool can't be run in time.  While the pools can run all, an
 * excess is at nobody's expense.
 */
static bool share_may_begin(const struct share *h)
{
	return h->queue_ratio > QUEUE_RATIO_MAX;
}

/*
 * Returns true if an organisation is beyond its share.  Jobs that are refused
 * never reach the owner, so an organisation that was beyond its share stays so
 * while what it has queued can't be run in time.
 */
bool share_is_beyond(const struct share *h, double excess)
{
	if (!h->is_exceeded)
		return excess >= EXCESS_MIN;
	return excess >= EXCESS_END || h->queue_ratio > QUEUE_RATIO_MAX;
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
	if (exceeded)
		s->shares_exceeded++;
	else
		s->shares_exceeded--;
	s->place_due = true;
}

/* Returns the weight of an organisation; 0 if it has no share. */
static double tenant_weight(const struct sched *s, const struct tenant *t)
{
	return t && policy_is_enabled(s, POLICY_SHARES) ? t->weight : 0;
}

/* Counts a job that was submitted while this VM owns the scheduling. */
void share_count_job(struct sched *s, struct job *j)
{
	if (tenant_weight(s, job_tenant(s, j)) > 0)
		share_add(&job_usage(s, j)->share, s->now);
}

/* Logs an organisation beyond its share, at most once per LOG_INTERVAL_MS. */
static void share_log(struct sched *s, struct usage *u, double weight,
		      double excess)
{
	struct share *h = &u->share;

	if (s->now < h->log_at)
		return;
	sched_log(s, LOG_SHARE,
		  "organisation=%.*s weight=%.2f submitted=%u excess=%.2f "
		  "cores=%lld queue=%.2f",
		  BSTR_ARG(u->tenant), weight, h->submitted, excess,
		  (long long)(u->ending_cpu / 1000), h->queue_ratio);
	h->log_at = s->now + LOG_INTERVAL_MS;
	h->submitted = 0;
}

/* Returns the usage of a configured organisation that has a share, or NULL. */
static struct usage *tenant_usage(const struct sched *s, const struct tenant *t)
{
	struct usage *u = NULL;

	if (tenant_weight(s, t) > 0)
		HASH_FIND_BSTR(s->usage, t->name, u);
	return u;
}

/* Returns the sums over all organisations that have a share. */
static struct share_sums shares_sum(struct sched *s)
{
	const struct fleet_config *c = s->config;
	struct share_sums sums = {0};
	struct usage *u;
	size_t i;

	for (i = 0; i < c->tenant_count; i++) {
		u = tenant_usage(s, &c->tenants[i]);
		if (u)
			share_sum(&sums, &u->share, c->tenants[i].weight,
				  s->now);
	}
	return sums;
}

/* Ends the excess of organisations that have no share any more. */
static void shares_end_unconfigured(struct sched *s)
{
	struct usage *u;

	if (!shares_are_exceeded(s))
		return;
	for (u = s->usage; u; u = u->hh.next)
		if (u->share.is_exceeded &&
		    tenant_weight(s, tenant_named(s, u->tenant)) <= 0)
			share_set_exceeded(s, u, false);
}

/*
 * Called by the owner in each pass over the pools: determines which
 * organisations are beyond their shares.  A new owner has no averages yet, and
 * its queues seem short until the workers have answered, so it changes nothing
 * about those that it has inherited.
 */
void shares_update(struct sched *s)
{
	const struct fleet_config *c = s->config;
	struct share_sums sums = shares_sum(s);
	bool is_new = (double)(s->now - s->own.ready_at) < RATE_MS;
	double weight, excess;
	struct usage *u;
	size_t i;

	shares_end_unconfigured(s);
	for (i = 0; i < c->tenant_count; i++) {
		u = tenant_usage(s, &c->tenants[i]);
		if (!u)
			continue;
		weight = c->tenants[i].weight;
		excess = share_excess(&u->share, weight, &sums);
		if (u->share.is_exceeded ? !is_new : share_may_begin(&u->share))
			share_set_exceeded(s, u,
					   share_is_beyond(&u->share, excess));
		if (u->share.is_exceeded)
			share_log(s, u, weight, excess);
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
 * were beyond their shares stay so while they have more queued than can be run
 * in time.  Otherwise the excess would be served like all others until this
 * owner has seen enough of it.
 */
void shares_inherit(struct sched *s)
{
	const struct tenant *t;
	struct usage *u;
	json_t *name;
	size_t i;

	json_array_foreach(s->own.shares_exceeded, i, name) {
		if (!json_is_string(name)) {
			sched_log(s, LOG_BAD_ROW,
				  "table=owner member=beyond_share index=%zu",
				  i);
			continue;
		}
		t = tenant_named(s, bstr_lit(json_string_value(name)));
		if (tenant_weight(s, t) <= 0)
			continue;
		u = usage_of(s, t->name);
		share_set_exceeded(s, u, true);
	}
}
