/*
 * Divides the cores of the fleet among the pools while they need more than
 * there are: one queue that gets several times its usual work, or peaks of
 * several queues that overlap.  The pool with the longest queue would otherwise
 * take all machines, also for work that is late whatever it gets, and one whose
 * peak begins later would find none.
 */
#include "sched-demand.h"

#include <stdlib.h>

/*
 * Cores that are divided stay so until the needs have fallen by this part below
 * them; otherwise the division would begin and end with single jobs.
 */
#define DIVIDED_MARGIN_DIVISOR 8
/* Steps of the search for the level that uses up the cores. */
#define LEVEL_STEPS 40

/*
 * What the pools get cores for, in this order.  All get what the jobs at the
 * start of a peak can't wait for; then come the jobs that can still be in time,
 * those at the start of a later peak, and the ones that are late already.
 */
enum claim_stage {
	CLAIM_RESERVE,
	CLAIM_IN_TIME,
	CLAIM_KEEP,
	CLAIM_ALL,
	CLAIM_STAGES
};

/* Returns the cores up to which a pool has a claim in a stage. */
static double claim_limit(const struct pool_claim *c, enum claim_stage stage)
{
	double limit = c->granted_cores, cores = 0;

	switch (stage) {
	case CLAIM_RESERVE:
		cores = c->reserve_cores;
		break;
	case CLAIM_IN_TIME:
		cores = c->in_time_cores;
		break;
	case CLAIM_KEEP:
		cores = c->keep_cores;
		break;
	case CLAIM_ALL:
	case CLAIM_STAGES:
		cores = c->all_cores;
		break;
	}
	return cores > limit ? cores : limit;
}

/*
 * Returns what a pool has after a stage in which each gets as many cores as its
 * claim allows, but at most level times its weight.
 */
static double claim_at_level(const struct pool_claim *c, enum claim_stage stage,
			     double level)
{
	double limit = claim_limit(c, stage), cores = level * c->weight;

	if (cores > limit)
		cores = limit;
	return cores > c->granted_cores ? cores : c->granted_cores;
}

/* Returns the cores that the pools have together after a stage. */
static double claims_sum(const struct pool_claim *list, size_t count,
			 enum claim_stage stage, double level)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < count; i++)
		sum += claim_at_level(&list[i], stage, level);
	return sum;
}

/* Returns the level at which the claims of a stage are all met. */
static double claims_level_max(const struct pool_claim *list, size_t count,
			       enum claim_stage stage)
{
	double max = 0, level;
	size_t i;

	for (i = 0; i < count; i++) {
		level = claim_limit(&list[i], stage) / list[i].weight;
		if (level > max)
			max = level;
	}
	return max;
}

/*
 * Grants the cores of a stage.  If there are too few, all pools whose claim is
 * not met get the same number for each unit of their weight, counting what they
 * have from earlier stages.  Returns true if all claims are met.
 */
static bool claims_grant(struct pool_claim *list, size_t count,
			 enum claim_stage stage, double total_cores)
{
	double low = 0, high = claims_level_max(list, count, stage), level;
	bool met = claims_sum(list, count, stage, high) <= total_cores;
	unsigned n;
	size_t i;

	for (n = 0; n < LEVEL_STEPS && !met; n++) {
		level = (low + high) / 2;
		if (claims_sum(list, count, stage, level) <= total_cores)
			low = level;
		else
			high = level;
	}
	for (i = 0; i < count; i++)
		list[i].granted_cores = claim_at_level(&list[i], stage,
						       met ? high : low);
	return met;
}

/*
 * Sets the cores that each pool is granted.  Returns true if some get less than
 * they claim.  Weights must be above 0.
 */
bool claims_divide(struct pool_claim *list, size_t count, double total_cores)
{
	unsigned stage;
	size_t i;

	for (i = 0; i < count; i++)
		list[i].granted_cores = 0;
	for (stage = 0; stage < CLAIM_STAGES; stage++)
		if (!claims_grant(list, count, (enum claim_stage)stage,
				  total_cores))
			return true;
	return false;
}

/* Sets what a pool claims.  Its weight is the size that the operator gave it.
 */
static void pool_set_claim(const struct sched *s, struct pool_load *p,
			   double machine_cores)
{
	p->claim = (struct pool_claim){
		.weight = p->home_size ? p->home_size : 1,
		.reserve_cores = pool_reserve_cores(s, p, machine_cores),
		.in_time_cores = pool_in_time_cores(s, p),
		.all_cores = pool_need_cores(s, p)};
	if (pool_peak_is_known(s, p, machine_cores))
		p->claim.keep_cores = pool_keep_cores(s, p, machine_cores);
}

/* Logs that the division of the cores begins or ends. */
static void division_log(struct sched *s, bool divided, double total_cores)
{
	if (divided == s->cores_divided)
		return;
	s->cores_divided = divided;
	sched_log(s, LOG_CORES_DIVIDED, "divided=%d cores=%.0f", divided,
		  total_cores / 1000);
}

/*
 * Divides the cores among the pools that routes name, if they need more than
 * those of the pools and of the standby machines that can move.
 */
void pools_divide(struct sched *s, struct pool_loads *l, double machine_cores)
{
	struct pool_claim *list = xcalloc(l->count + 1, sizeof(*list));
	double total = l->standby_cores, needed = 0;
	struct pool_load *p;
	size_t i, n = 0;

	for (i = 0; i < l->count; i++) {
		p = &l->list[i];
		if (!p->routed || p->service->standby)
			continue;
		pool_set_claim(s, p, machine_cores);
		total += pool_room_cores(p, machine_cores);
		needed += p->claim.all_cores > p->claim.reserve_cores
				  ? p->claim.all_cores
				  : p->claim.reserve_cores;
		list[n++] = p->claim;
	}
	if (s->cores_divided)
		needed += needed / DIVIDED_MARGIN_DIVISOR;
	l->divided = policy_is_enabled(s, POLICY_DIVISION) && needed > total;
	if (l->divided)
		claims_divide(list, n, total);
	for (i = n = 0; i < l->count; i++) {
		p = &l->list[i];
		if (p->routed && !p->service->standby)
			p->claim = list[n++];
	}
	free(list);
	division_log(s, l->divided, total);
}
