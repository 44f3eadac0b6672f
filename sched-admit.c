/*
 * Admission control: a job that its pool can't run while the result is still
 * useful to its caller is refused immediately.  The owner computes the share of
 * new jobs that each pool can take and publishes it in its heartbeat; every
 * entry VM decides by that.
 */
#include "sched-state.h"

#include <stdlib.h>

/*
 * Limits for the time that a pool needs for its queued work, in multiples of
 * the mean objective of the queued jobs.  More work than that cannot be done
 * while it is useful.  Above the first limit a growing part of the new jobs is
 * refused, from the second on all of them.
 */
#define OVERLOAD_START 2.0
#define OVERLOAD_FULL 3.0
/* Shares are given in units of 1/SHARE_UNIT. */
#define SHARE_UNIT 1000
/* Upper bound of the Retry-After header of refused jobs. */
#define RETRY_AFTER_MAX_S 30

/* The share of new jobs that a pool admits.  Times are on the store's clock. */
struct admission {
	bstr service;
	unsigned share;	  /* in units of 1/SHARE_UNIT */
	int64_t until;	  /* all are admitted from then on */
	int64_t empty_at; /* when the queued work will be done */
	UT_hash_handle hh;
};

/* Frees the published shares. */
void admissions_free(struct sched *s)
{
	struct admission *a, *next;

	HASH_ITER(hh, s->admissions, a, next) {
		HASH_DEL(s->admissions, a);
		bstr_free(&a->service);
		free(a);
	}
}

/* Adds the share of a pool. */
static void admission_add(struct sched *s, bstr service, unsigned share,
			  int64_t until, int64_t empty_at)
{
	struct admission *a = xcalloc(1, sizeof(*a));

	a->service = bstr_copy(service);
	a->share = share;
	a->until = until;
	a->empty_at = empty_at;
	HASH_ADD_BSTR(s->admissions, service, a);
}

/*
 * Returns the share of new jobs that a pool can admit, given the time that it
 * needs for its queued work and the mean objective of its queued jobs.
 */
unsigned admission_share(double drain_ms, double objective_ms)
{
	double full = objective_ms * OVERLOAD_FULL;
	double start = objective_ms * OVERLOAD_START;

	if (drain_ms <= start)
		return SHARE_UNIT;
	if (drain_ms >= full)
		return 0;
	return (unsigned)(SHARE_UNIT * (full - drain_ms) / (full - start));
}

/*
 * Called by the owner: computes the share of new jobs that a pool admits, and
 * records it if it is not all of them.
 */
void admission_set(struct sched *s, bstr service, double drain_ms,
		   double objective_ms)
{
	unsigned share = admission_share(drain_ms, objective_ms);
	int64_t excess = (int64_t)(drain_ms - objective_ms * OVERLOAD_START);
	int64_t now = store_clock(s);

	if (share < SHARE_UNIT && now)
		admission_add(s, service, share, now + excess,
			      now + (int64_t)drain_ms);
}

/*
 * Returns the shares for the heartbeat, of those pools that refuse some jobs.
 */
json_t *admissions_write(const struct sched *s)
{
	const struct admission *a;
	json_t *all = json_object();
	char *service;

	for (a = s->admissions; a; a = a->hh.next) {
		service = bstr_cstr(a->service);
		json_object_set_new(all, service,
				    json_pack("[I, I, I]", (json_int_t)a->share,
					      (json_int_t)a->until,
					      (json_int_t)a->empty_at));
		free(service);
	}
	return all;
}

/*
 * Reads the shares from a heartbeat.  Heartbeats of older versions have none.
 */
void admissions_read(struct sched *s, const json_t *all)
{
	const char *service;
	json_int_t share, until, empty_at;
	json_t *v;

	admissions_free(s);
	json_object_foreach((json_t *)all, service, v) {
		if (json_unpack(v, "[I, I, I]", &share, &until, &empty_at) <
			    0 ||
		    share < 0)
			continue;
		admission_add(s, bstr_lit(service), (unsigned)share, until,
			      empty_at);
	}
}

/*
 * Hashes a job id.  All entry VMs get the same value for all attempts to submit
 * the job, so they decide alike.
 */
static unsigned job_hash(const char *id)
{
	unsigned n;

	HASH_VALUE(id, JOB_ID_BYTES, n);
	return n;
}

/*
 * Returns true if a job runs once and for a limited time; only such a job waits
 * for nothing but room in its pool.
 */
static bool body_has_one_bounded_run(const struct job_body *b)
{
	size_t i;

	for (i = 0; i < b->step_count; i++)
		if (b->steps[i].long_running)
			return false;
	return !b->repeat_count;
}

/*
 * Decides whether a new job is refused.  Returns 0 if it is admitted, else the
 * seconds after which its caller may retry, which differ between jobs so that
 * callers refused together don't return together.  A share is valid until the
 * pool can have worked off the excess; that also holds while there is no owner,
 * when no work is done.
 */
uint32_t admission_refuses(struct sched *s, const struct route *r,
			   const struct job_body *b, const char *id)
{
	int64_t now = store_clock(s), wait_s;
	const struct admission *a;
	unsigned hash;

	HASH_FIND_BSTR(s->admissions, r->service, a);
	if (!a || !now || now >= a->until || !body_has_one_bounded_run(b))
		return 0;
	hash = job_hash(id);
	if (hash % SHARE_UNIT < a->share)
		return 0;
	wait_s = (a->empty_at - now) / 1000 + 1;
	wait_s += (hash / SHARE_UNIT) % wait_s;
	if (wait_s > RETRY_AFTER_MAX_S)
		wait_s = RETRY_AFTER_MAX_S;
	sched_log(s, LOG_QUEUE_FULL,
		  "job=%s queue=%.*s share=%u full_ms=%lld empty_ms=%lld "
		  "back_s=%lld",
		  id, BSTR_ARG(r->name), a->share, (long long)(a->until - now),
		  (long long)(a->empty_at - now), (long long)wait_s);
	return (uint32_t)wait_s;
}
