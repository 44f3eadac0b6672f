/*
 * Admission control: a job that its pool can't run while the result is still
 * useful to its caller is refused immediately.  The owner computes the share of
 * new jobs that each pool can take and publishes it in its heartbeat; every
 * entry VM decides by that.
 */
#include "sched-demand.h"

#include <stdlib.h>

/*
 * Limits for the time that a pool needs for its queued work, in multiples of
 * the mean objective of the queued jobs.  More work than that cannot be done
 * while it is useful.  Above the first limit a growing part of the new jobs is
 * refused, from the second on all of them.
 */
#define OVERLOAD_START 2.0
#define OVERLOAD_FULL 3.0
/* Queues of organisations that are published for a pool, the longest ones. */
#define ADMISSION_QUEUES_MAX 16
/*
 * The same over all pools: each takes some 50 bytes of the heartbeat.  In a
 * pool beyond that its own queue decides.
 */
#define ADMISSION_QUEUES_TOTAL 256
/*
 * Longest duration of a queue.  One that nobody works off lasts for ever, and
 * its end is a sum with the time of day.
 */
#define QUEUE_MAX_MS 1000000000
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

/* The queue of an organisation in a pool. */
struct admission_queue {
	bstr tenant;
	int64_t drain_ms;
	int64_t objective_ms;
	int64_t as_of;
};

/*
 * The queue of a pool that is near overload.  While an organisation is beyond
 * its share, each caller is admitted by the queue of its own organisation; the
 * queues that are not listed are short.
 */
struct admission {
	bstr service;
	int64_t drain_ms;     /* that the pool needs for it */
	int64_t objective_ms; /* mean of its jobs */
	int64_t as_of;	      /* by the store's clock */
	bool falls_slowly;    /* at most as fast as time passes */
	bool by_organisation;
	struct admission_queue queues[ADMISSION_QUEUES_MAX];
	size_t queue_count;
	UT_hash_handle hh;
};

/* Frees the queues of organisations in a pool. */
static void admission_free_queues(struct admission *a)
{
	size_t i;

	for (i = 0; i < a->queue_count; i++)
		bstr_free(&a->queues[i].tenant);
	a->queue_count = 0;
	a->by_organisation = false;
}

/* Frees the queue of a pool. */
static void admission_free(struct sched *s, struct admission *a)
{
	HASH_DEL(s->admissions, a);
	admission_free_queues(a);
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

/* Returns a duration of a queue, which may be unlimited. */
static int64_t queue_duration_ms(double ms)
{
	return ms < QUEUE_MAX_MS ? (int64_t)ms : QUEUE_MAX_MS;
}

/* Sets the queue of a pool; adds it if needed. */
static struct admission *admission_add(struct sched *s, bstr service,
				       int64_t drain_ms, int64_t objective_ms,
				       int64_t as_of)
{
	struct admission *a;

	HASH_FIND_BSTR(s->admissions, service, a);
	if (!a) {
		a = xcalloc(1, sizeof(*a));
		a->service = bstr_copy(service);
		HASH_ADD_BSTR(s->admissions, service, a);
	}
	a->drain_ms = drain_ms < QUEUE_MAX_MS ? drain_ms : QUEUE_MAX_MS;
	a->objective_ms = objective_ms;
	a->as_of = as_of;
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
	size_t i;

	for (a = s->admissions; a; a = a->hh.next) {
		age_ms = store_clock(s) - a->as_of;
		age_ms = age_ms > 0 ? age_ms : 0;
		a->drain_ms += age_ms;
		a->as_of = store_clock(s);
		for (i = 0; i < a->queue_count; i++) {
			a->queues[i].drain_ms += age_ms;
			a->queues[i].as_of = a->as_of;
		}
		a->falls_slowly = true;
	}
}

/*
 * Returns the least time that a queue is taken to need now, if it falls slowly:
 * from its latest value, or the limit at which all jobs are refused if that is
 * less, it falls only as fast as time passes.
 */
static double queue_least_ms(const struct sched *s, int64_t drain_ms,
			     int64_t as_of, double objective_ms)
{
	double full = objective_ms * OVERLOAD_FULL;
	int64_t elapsed = store_clock(s) - as_of;

	if (elapsed > FALL_INTERVAL_MAX_MS)
		elapsed = FALL_INTERVAL_MAX_MS;
	return ((double)drain_ms < full ? (double)drain_ms : full) -
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
		least_ms = queue_least_ms(s, a->drain_ms, a->as_of,
					  objective_ms);
		falls_slowly = is_new || least_ms > drain_ms;
		drain_ms = least_ms > drain_ms ? least_ms : drain_ms;
	}
	if (!store_clock(s) || drain_ms < objective_ms * OVERLOAD_NEAR) {
		admission_clear(s, service);
		return;
	}
	a = admission_add(s, service, queue_duration_ms(drain_ms),
			  queue_duration_ms(objective_ms), store_clock(s));
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
		admission_add(s, service, queue_duration_ms(drain_ms),
			      queue_duration_ms(objective_ms), store_clock(s));
}

/* Returns the published queue of an organisation in a pool, or NULL. */
static const struct admission_queue *admission_queue_find(
	const struct admission *a, bstr tenant)
{
	size_t i;

	for (i = 0; i < a->queue_count; i++)
		if (bstr_eq(a->queues[i].tenant, tenant))
			return &a->queues[i];
	return NULL;
}

/* Adds the queue of an organisation to those that are published for a pool. */
static void admission_add_queue(struct admission *a, bstr tenant,
				int64_t drain_ms, int64_t objective_ms,
				int64_t as_of)
{
	a->queues[a->queue_count++] = (struct admission_queue){
		bstr_copy(tenant), drain_ms, objective_ms, as_of};
}

/*
 * Adds a computed queue of an organisation.  An earlier owner's falls slowly,
 * like that of the whole pool in admission_set().
 */
static void admission_add_computed(const struct sched *s, struct admission *a,
				   const struct admission *before,
				   const struct fair_queue *q)
{
	const struct admission_queue *old = admission_queue_find(
		before, q->usage->tenant);
	double objective_ms = fair_objective_ms(q);
	double drain_ms = q->drain_ms, least_ms;

	if (old && a->falls_slowly) {
		least_ms = queue_least_ms(s, old->drain_ms, old->as_of,
					  objective_ms);
		drain_ms = least_ms > drain_ms ? least_ms : drain_ms;
	}
	if (drain_ms >= objective_ms * OVERLOAD_NEAR)
		admission_add_queue(a, q->usage->tenant,
				    queue_duration_ms(drain_ms),
				    queue_duration_ms(objective_ms), a->as_of);
}

/*
 * Called by the owner after admission_set(), while an organisation is beyond
 * its share: records the queues of the organisations in a pool, sorted by how
 * long they take.  If more than ADMISSION_QUEUES_MAX of them are overloaded,
 * the overload is that of all, and the pool's queue decides.  It decides too if
 * no organisation has a queue there any more.
 */
void admission_set_shares(struct sched *s, bstr service,
			  const struct fair_queue *q, size_t count)
{
	size_t rest = count > ADMISSION_QUEUES_MAX
			      ? count - ADMISSION_QUEUES_MAX
			      : 0;
	struct admission before;
	struct admission *a;

	HASH_FIND_BSTR(s->admissions, service, a);
	if (!a)
		return;
	if (!count) {
		admission_free_queues(a);
		return;
	}
	before = *a;
	a->queue_count = 0;
	a->by_organisation = !rest ||
			     q[rest - 1].drain_ms <=
				     OVERLOAD_START *
					     fair_objective_ms(&q[rest - 1]);
	while (a->by_organisation && count > rest)
		admission_add_computed(s, a, &before, &q[--count]);
	admission_free_queues(&before);
}

/* Called by the owner: no organisation is beyond its share. */
void admissions_drop_shares(struct sched *s)
{
	struct admission *a;

	for (a = s->admissions; a; a = a->hh.next)
		admission_free_queues(a);
}

/* Called by the owner: drops the queues of services that were removed. */
void admissions_drop_unconfigured(struct sched *s)
{
	struct admission *a, *next;

	HASH_ITER(hh, s->admissions, a, next)
		if (!service_named(s, a->service))
			admission_free(s, a);
}

/* Returns the queues of organisations in a pool for the heartbeat. */
static json_t *admission_write_queues(const struct admission *a)
{
	const struct admission_queue *q;
	json_t *all = json_object();
	char *tenant;
	size_t i;

	for (i = 0; i < a->queue_count; i++) {
		q = &a->queues[i];
		tenant = bstr_cstr(q->tenant);
		json_object_set_new(all, tenant,
				    json_pack("[I, I]", (json_int_t)q->drain_ms,
					      (json_int_t)q->objective_ms));
		free(tenant);
	}
	return all;
}

/*
 * Returns the row of a queue for the heartbeat.  Counts down the queues of
 * organisations that may still be listed.
 */
static json_t *admission_write(const struct admission *a, size_t *left)
{
	json_t *row;
	double drain_ms = (double)a->drain_ms;
	double objective_ms = (double)a->objective_ms;
	int64_t excess_ms = (int64_t)(drain_ms - OVERLOAD_START * objective_ms);

	row = json_pack("[I, I, I, I, I, I]",
			(json_int_t)admission_share(drain_ms, objective_ms),
			(json_int_t)(a->as_of + excess_ms),
			(json_int_t)(a->as_of + a->drain_ms),
			(json_int_t)a->drain_ms, (json_int_t)a->objective_ms,
			(json_int_t)a->as_of);
	if (!a->by_organisation || a->queue_count > *left)
		return row;
	*left -= a->queue_count;
	json_array_append_new(row, admission_write_queues(a));
	return row;
}

/*
 * Returns the queues for the heartbeat.  The first three numbers of each are
 * the share and the times until which it holds and the queue lasts, which older
 * versions read; they skip the queues of organisations at the end.
 */
json_t *admissions_write(const struct sched *s)
{
	const struct admission *a;
	size_t left = ADMISSION_QUEUES_TOTAL;
	json_t *all = json_object();
	char *service;

	for (a = s->admissions; a; a = a->hh.next) {
		service = bstr_cstr(a->service);
		json_object_set_new(all, service, admission_write(a, &left));
		free(service);
	}
	return all;
}

/*
 * Reads the queues of organisations in a pool, if the owner has published them.
 */
static void admission_read_queues(struct admission *a, const json_t *all)
{
	json_int_t drain_ms, objective_ms;
	const char *tenant;
	json_t *v;

	a->by_organisation = json_is_object(all);
	json_object_foreach((json_t *)all, tenant, v) {
		if (a->queue_count == ADMISSION_QUEUES_MAX ||
		    json_unpack(v, "[I, I]", &drain_ms, &objective_ms) < 0 ||
		    drain_ms < 0 || objective_ms <= 0)
			continue;
		admission_add_queue(a, bstr_lit(tenant), drain_ms, objective_ms,
				    a->as_of);
	}
}

/*
 * Reads the queues from a heartbeat.  Heartbeats of older versions have none,
 * or no lengths.
 */
void admissions_read(struct sched *s, const json_t *all)
{
	json_int_t share, until, empty_at, drain_ms, objective_ms, as_of;
	const char *service;
	struct admission *a;
	json_t *v;

	admissions_free(s);
	json_object_foreach((json_t *)all, service, v) {
		if (json_unpack(v, "[I, I, I, I, I, I]", &share, &until,
				&empty_at, &drain_ms, &objective_ms,
				&as_of) < 0 ||
		    drain_ms < 0 || objective_ms <= 0)
			continue;
		a = admission_add(s, bstr_lit(service), drain_ms, objective_ms,
				  as_of);
		admission_read_queues(a, json_array_get(v, 6));
	}
}

/* Returns true if this VM gets no heartbeats of the owner. */
static bool owner_is_silent(const struct sched *s)
{
	return s->own.state != OWN_OWNER && s->own.heartbeat_as_of &&
	       store_clock(s) - s->own.heartbeat_as_of >= OWNER_SILENT_MS;
}

/*
 * Returns the time by which a queue has grown.  While nobody works it off, it
 * grows: what is accepted then waits for the next owner, or for workers, and
 * that may take seconds, in which everything would be accepted otherwise.
 */
static int64_t admission_growth_ms(const struct sched *s,
				   const struct admission *a)
{
	int64_t idle_ms = store_clock(s) - a->as_of - QUEUE_AGE_MAX_MS;

	if (idle_ms < 0)
		idle_ms = 0;
	if (idle_ms < TAKEOVER_MS && owner_is_silent(s))
		idle_ms = TAKEOVER_MS;
	return idle_ms;
}

/*
 * Returns the queue that decides about a job of an organisation: the pool's, or
 * its own, which is empty if it is not listed.
 */
static struct admission_queue admission_queue_of(const struct sched *s,
						 const struct admission *a,
						 bstr tenant)
{
	const struct admission_queue *own = admission_queue_find(a, tenant);
	struct admission_queue q = {.drain_ms = a->drain_ms,
				    .objective_ms = a->objective_ms};

	if (a->by_organisation) {
		q.drain_ms = own ? own->drain_ms : 0;
		q.objective_ms = own ? own->objective_ms : a->objective_ms;
	}
	q.drain_ms += admission_growth_ms(s, a);
	return q;
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
 * Returns the seconds after which a refused caller may retry.  They differ
 * between jobs so that callers refused together don't return together.
 */
static uint32_t admission_wait_s(int64_t drain_ms, unsigned hash)
{
	int64_t wait_s = drain_ms / 1000 + 1;

	if (wait_s > RETRY_AFTER_MAX_S / 2)
		wait_s = RETRY_AFTER_MAX_S / 2;
	return (uint32_t)(wait_s + (hash / SHARE_UNIT) % wait_s);
}

/*
 * Decides whether a new job is refused, and sets in its call after how long its
 * caller may retry.  Returns false if it is admitted.
 */
bool admission_refuses(struct sched *s, struct call *c, const struct route *r,
		       const struct job_body *b)
{
	const struct admission *a;
	struct admission_queue q;
	unsigned hash, share;

	HASH_FIND_BSTR(s->admissions, r->service, a);
	if (!a || !store_clock(s) || !body_has_one_bounded_run(b))
		return false;
	q = admission_queue_of(s, a, c->tenant);
	share = admission_share((double)q.drain_ms, (double)q.objective_ms);
	hash = job_hash(c->job);
	if (hash % SHARE_UNIT < share)
		return false;
	c->retry_after_s = admission_wait_s(q.drain_ms, hash);
	c->refused_by_share = a->by_organisation;
	sched_log(s, LOG_QUEUE_FULL,
		  "job=%s queue=%.*s share=%u full_ms=%lld empty_ms=%lld "
		  "back_s=%u organisation=%.*s own=%d",
		  c->job, BSTR_ARG(r->name), share,
		  (long long)(q.drain_ms - (int64_t)(OVERLOAD_START *
						     (double)q.objective_ms)),
		  (long long)q.drain_ms, c->retry_after_s, BSTR_ARG(c->tenant),
		  a->by_organisation);
	return true;
}
