/*
 * Admission: a job that its pool can't get to while it is of use to its caller
 * is refused at once.  The owner reckons what share of new jobs each pool can
 * take and tells it with its beat; every entry VM decides by that.
 */
#include "sched-state.h"

#include <stdlib.h>

/*
 * Work that takes a pool as long as so many objectives of its jobs is more
 * than it can do while that is of use: from the first on some of the jobs that
 * come are refused, from the second on all.
 */
#define QUEUED_SOME 2.0
#define QUEUED_ALL 3.0
/* Shares are told in parts of this. */
#define SHARE_WHOLE 1000
/* Callers who are turned away come back after this at the latest. */
#define RETRY_AFTER_MAX_S 30

/* What share of new jobs a pool takes; times are by the store's clock. */
struct admission {
	bstr service;
	unsigned share;	  /* in parts of SHARE_WHOLE */
	int64_t until;	  /* all are taken then, if none came */
	int64_t empty_at; /* what is queued now is done then */
	UT_hash_handle hh;
};

/* Forget what was told. */
void admissions_free(struct sched *s)
{
	struct admission *a, *next;

	HASH_ITER(hh, s->admissions, a, next) {
		HASH_DEL(s->admissions, a);
		bstr_free(&a->service);
		free(a);
	}
}

/* Add what is known of a pool. */
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
 * A pool has work for so long, and its jobs that objective: what share of new
 * ones can it take?
 */
unsigned admission_share(double drain_ms, double objective_ms)
{
	double most = objective_ms * QUEUED_ALL;
	double some = objective_ms * QUEUED_SOME;

	if (drain_ms <= some)
		return SHARE_WHOLE;
	if (drain_ms >= most)
		return 0;
	return (unsigned)(SHARE_WHOLE * (most - drain_ms) / (most - some));
}

/* Note what share of new jobs a pool takes: the owner has looked at it. */
void admission_set(struct sched *s, bstr service, double drain_ms,
		   double objective_ms)
{
	unsigned share = admission_share(drain_ms, objective_ms);
	int64_t excess = (int64_t)(drain_ms - objective_ms * QUEUED_SOME);
	int64_t now = store_clock(s);

	if (share < SHARE_WHOLE && now)
		admission_add(s, service, share, now + excess,
			      now + (int64_t)drain_ms);
}

/* For the beat: which pools don't take all jobs. */
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

/* Take over what a beat tells; an owner of before told nothing of it. */
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

/* A job's own number: all VMs and all tries of it find the same. */
static unsigned job_number(const char *id)
{
	unsigned n;

	HASH_VALUE(id, JOB_ID_BYTES, n);
	return n;
}

/* Does a job wait for room of its pool alone, and once? */
static bool body_is_bounded(const struct job_body *b)
{
	size_t i;

	for (i = 0; i < b->step_count; i++)
		if (b->steps[i].long_running)
			return false;
	return !b->repeat_count;
}

/*
 * Is a new job refused?  Gives the seconds after which its caller may come
 * back, spread so that those refused together don't return together; 0: it is
 * taken.  What was told holds until the pool can have done so much: also
 * without an owner, when nothing gets done.
 */
uint32_t admission_refuses(struct sched *s, const struct route *r,
			   const struct job_body *b, const char *id)
{
	int64_t now = store_clock(s), wait_s;
	const struct admission *a;
	unsigned number;

	HASH_FIND_BSTR(s->admissions, r->service, a);
	if (!a || !now || now >= a->until || !body_is_bounded(b))
		return 0;
	number = job_number(id);
	if (number % SHARE_WHOLE < a->share)
		return 0;
	wait_s = (a->empty_at - now) / 1000 + 1;
	wait_s += (number / SHARE_WHOLE) % wait_s;
	if (wait_s > RETRY_AFTER_MAX_S)
		wait_s = RETRY_AFTER_MAX_S;
	sched_log(s, LOG_QUEUE_FULL,
		  "job=%s queue=%.*s share=%u full_ms=%lld empty_ms=%lld "
		  "back_s=%lld",
		  id, BSTR_ARG(r->name), a->share, (long long)(a->until - now),
		  (long long)(a->empty_at - now), (long long)wait_s);
	return (uint32_t)wait_s;
}
