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
/* A pool's queue is published from this multiple on. */
#define OVERLOAD_NEAR 1.0
/* Shares are given in units of 1/SHARE_UNIT. */
#define SHARE_UNIT 1000
/* Upper bound of the Retry-After header of refused jobs. */
#define RETRY_AFTER_MAX_S 30
/*
 * If a queue is as of longer ago than this, nobody starts its tasks, and it is
 * assumed to grow by the time that passes.
 */
#define QUEUE_AGE_MAX_MS 2000
/*
 * If two heartbeats in a row are missing, the owner is lost or too slow to send
 * them, and a queue is taken to need at least TAKEOVER_MS longer: a successor
 * claims after OWNER_TIMEOUT_MS, and needs as long again to read the tables and
 * to get answers of the workers.
 */
#define OWNER_SILENT_MS (2 * HEARTBEAT_MS)
#define TAKEOVER_MS (2 * OWNER_TIMEOUT_MS)
/*
 * Longest time by which a queue falls at once.  Queues are computed more often
 * than that, unless the owner is short of processor time.
 */
#define FALL_INTERVAL_MAX_MS 200

/* The queue of a pool that is near overload. */
struct admission {
	bstr service;
	int64_t drain_ms;     /* that the pool needs for it */
	int64_t objective_ms; /* mean of its jobs */
	int64_t as_of;	      /* by the store's clock */
	bool falls_slowly;    /* at most as fast as time passes */
	UT_hash_handle hh;
};

/* Frees the queue of a pool. */
static void admission_free(struct sched *s, struct admission *a)
{
	HASH_DEL(s->admissions, a);
	bstr_free(&a->service);
	free(a);
}

/* Frees all queues. */
void admissions_free(struct sched *s)
{
	struct admission *a, *next;

	HASH_ITER(hh, s->admissions, a, next)
		admission_free(s, a);
}

/* Adds the queue of a pool. */
static struct admission *admission_add(struct sched *s, bstr service,
				       int64_t drain_ms, int64_t objective_ms,
				       int64_t as_of)
{
	struct admission *a = xcalloc(1, sizeof(*a));

	a->service = bstr_copy(service);
	a->drain_ms = drain_ms;
	a->objective_ms = objective_ms;
	a->as_of = as_of;
	HASH_ADD_BSTR(s->admissions, service, a);
	return a;
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

/* Called by the owner: records that a pool has no queue. */
void admission_clear(struct sched *s, bstr service)
{
	struct admission *a;

	HASH_FIND_BSTR(s->admissions, service, a);
	if (a)
		admission_free(s, a);
}

/*
 * Called by a new owner when it has read all tables: nobody has worked off the
 * queues since they were computed.
 */
void admissions_inherit(struct sched *s)
{
	struct admission *a;
	int64_t age_ms;

	for (a = s->admissions; a; a = a->hh.next) {
		age_ms = store_clock(s) - a->as_of;
		a->drain_ms += age_ms > 0 ? age_ms : 0;
		a->as_of = store_clock(s);
		a->falls_slowly = true;
	}
}

/*
 * Returns the least time that a queue is taken to need now, if it falls slowly:
 * from its latest value, or the limit at which all jobs are refused if that is
 * less, it falls only as fast as time passes.
 */
static double admission_least_ms(const struct sched *s,
				 const struct admission *a, double objective_ms)
{
	double full = objective_ms * OVERLOAD_FULL;
	int64_t elapsed = store_clock(s) - a->as_of;

	if (elapsed > FALL_INTERVAL_MAX_MS)
		elapsed = FALL_INTERVAL_MAX_MS;
	return ((double)a->drain_ms < full ? (double)a->drain_ms : full) -
	       (double)elapsed;
}

/*
 * Called by the owner: records the queue of a pool if it is near overload,
 * given the time that it takes and the mean objective of its jobs.
 *
 * An earlier owner's queue falls slowly for the first objective of a new owner,
 * and until the computed one is the longer.  Otherwise, when the new owner
 * computes less than the old one that was too slow, if only for a moment while
 * it measures its starts, all callers refused before would be admitted within
 * the second that passes until their jobs are counted, and most of them would
 * be late.  Later it falls freely, as the pool may have got more cores.
 */
void admission_set(struct sched *s, bstr service, double drain_ms,
		   double objective_ms)
{
	bool is_new = (double)(s->now - s->own.ready_at) < objective_ms;
	bool falls_slowly = false;
	struct admission *a;
	double least_ms;

	HASH_FIND_BSTR(s->admissions, service, a);
	if (a && a->falls_slowly) {
		least_ms = admission_least_ms(s, a, objective_ms);
		falls_slowly = is_new || least_ms > drain_ms;
		drain_ms = least_ms > drain_ms ? least_ms : drain_ms;
	}
	admission_clear(s, service);
	if (!store_clock(s) || drain_ms < objective_ms * OVERLOAD_NEAR)
		return;
	a = admission_add(s, service, (int64_t)drain_ms, (int64_t)objective_ms,
			  store_clock(s));
	a->falls_slowly = falls_slowly;
}

/*
 * Called by the owner: records that nobody works off the queue of a pool.  It
 * keeps the time of the latest computation, so that it grows from then on.
 */
void admission_hold(struct sched *s, bstr service, double drain_ms,
		    double objective_ms)
{
	struct admission *a;

	HASH_FIND_BSTR(s->admissions, service, a);
	if (!a && store_clock(s))
		admission_add(s, service, (int64_t)drain_ms,
			      (int64_t)objective_ms, store_clock(s));
}

/* Called by the owner: drops the queues of services that were removed. */
void admissions_drop_unconfigured(struct sched *s)
{
	struct admission *a, *next;

	HASH_ITER(hh, s->admissions, a, next)
		if (!service_named(s, a->service))
			admission_free(s, a);
}

/* Returns the row of a queue for the heartbeat. */
static json_t *admission_write(const struct admission *a)
{
	double drain_ms = (double)a->drain_ms;
	double objective_ms = (double)a->objective_ms;
	int64_t excess_ms = (int64_t)(drain_ms - OVERLOAD_START * objective_ms);

	return json_pack("[I, I, I, I, I, I]",
			 (json_int_t)admission_share(drain_ms, objective_ms),
			 (json_int_t)(a->as_of + excess_ms),
			 (json_int_t)(a->as_of + a->drain_ms),
			 (json_int_t)a->drain_ms, (json_int_t)a->objective_ms,
			 (json_int_t)a->as_of);
}

/*
 * Returns the queues for the heartbeat.  The first three numbers of each are
 * the share and the times until which it holds and the queue lasts, which older
 * versions read.
 */
json_t *admissions_write(const struct sched *s)
{
	const struct admission *a;
	json_t *all = json_object();
	char *service;

	for (a = s->admissions; a; a = a->hh.next) {
		service = bstr_cstr(a->service);
		json_object_set_new(all, service, admission_write(a));
		free(service);
	}
	return all;
}

/*
 * Reads the queues from a heartbeat.  Heartbeats of older versions have none,
 * or no lengths.
 */
void admissions_read(struct sched *s, const json_t *all)
{
	json_int_t share, until, empty_at, drain_ms, objective_ms, as_of;
	const char *service;
	json_t *v;

	admissions_free(s);
	json_object_foreach((json_t *)all, service, v) {
		if (json_unpack(v, "[I, I, I, I, I, I]", &share, &until,
				&empty_at, &drain_ms, &objective_ms,
				&as_of) < 0 ||
		    drain_ms < 0 || objective_ms <= 0)
			continue;
		admission_add(s, bstr_lit(service), drain_ms, objective_ms,
			      as_of);
	}
}

/* Returns true if this VM gets no heartbeats of the owner. */
static bool owner_is_silent(const struct sched *s)
{
	return s->own.state != OWN_OWNER && s->own.heartbeat_as_of &&
	       store_clock(s) - s->own.heartbeat_as_of >= OWNER_SILENT_MS;
}

/*
 * Returns the time that a queue needs now.  While nobody works it off, it
 * grows: what is accepted then waits for the next owner, or for workers, and
 * that may take seconds, in which everything would be accepted otherwise.
 */
static int64_t admission_drain_ms(const struct sched *s,
				  const struct admission *a)
{
	int64_t idle_ms = store_clock(s) - a->as_of - QUEUE_AGE_MAX_MS;

	if (idle_ms < 0)
		idle_ms = 0;
	if (idle_ms < TAKEOVER_MS && owner_is_silent(s))
		idle_ms = TAKEOVER_MS;
	return a->drain_ms + idle_ms;
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
 * callers refused together don't return together.
 */
uint32_t admission_refuses(struct sched *s, const struct route *r,
			   const struct job_body *b, const char *id)
{
	const struct admission *a;
	int64_t drain_ms, wait_s;
	unsigned hash, share;

	HASH_FIND_BSTR(s->admissions, r->service, a);
	if (!a || !store_clock(s) || !body_has_one_bounded_run(b))
		return 0;
	drain_ms = admission_drain_ms(s, a);
	share = admission_share((double)drain_ms, (double)a->objective_ms);
	hash = job_hash(id);
	if (hash % SHARE_UNIT < share)
		return 0;
	wait_s = drain_ms / 1000 + 1;
	if (wait_s > RETRY_AFTER_MAX_S / 2)
		wait_s = RETRY_AFTER_MAX_S / 2;
	wait_s += (hash / SHARE_UNIT) % wait_s;
	sched_log(s, LOG_QUEUE_FULL,
		  "job=%s queue=%.*s share=%u full_ms=%lld empty_ms=%lld "
		  "back_s=%lld",
		  id, BSTR_ARG(r->name), share,
		  (long long)(drain_ms - (int64_t)(OVERLOAD_START *
						   (double)a->objective_ms)),
		  (long long)drain_ms, (long long)wait_s);
	return (uint32_t)wait_s;
}
