/*
 * The number of waiting jobs of each route.  The owner counts the jobs that it
 * tracks and publishes the numbers in its heartbeat; every VM answers callers
 * from one of the two.  The numbers are as old as the owner's latest reading of
 * the jobs.  That time is given by the store's clock, so that every VM can
 * compute their age.
 */
#include "sched-state.h"
#include "json-read.h"

#include <stdlib.h>

/* The callers' interface allows a count to be this old. */
#define COUNT_AGE_MAX_MS 2000

/* The number of waiting jobs of a route, as this VM knows it. */
struct known_count {
	uint64_t waiting;
	int64_t as_of;	   /* by the store's clock; 0: not known */
	bool counted_here; /* counted by this VM, not read from a heartbeat */
};

/* Adds to the number of waiting jobs of a route. */
static void counts_add(json_t *counts, bstr route, unsigned n)
{
	char *name = bstr_cstr(route);
	json_t *v = json_object_get(counts, name);

	json_object_set_new(counts, name,
			    json_integer(json_integer_value(v) + n));
	free(name);
}

/*
 * Returns the number of waiting jobs by route, for a heartbeat.  They are
 * counted by the route's place in the configuration, as an overloaded owner has
 * thousands of jobs and writes tens of heartbeats a second.  Routes that were
 * removed are counted by name.
 */
json_t *counts_write(struct sched *s)
{
	json_t *counts = json_object();
	size_t i, n = s->config ? s->config->route_count : 0;
	unsigned *waiting = xcalloc(n + 1, sizeof(*waiting));
	const struct route *r;
	struct job *j;

	TAILQ_FOREACH(j, &s->jobs_by_arrival, entry) {
		if (!job_is_waiting(j))
			continue;
		r = s->config ? job_route(s, j) : NULL;
		if (r)
			waiting[r - s->config->routes]++;
		else
			counts_add(counts, j->route, 1);
	}
	for (i = 0; i < n; i++)
		if (waiting[i])
			counts_add(counts, s->config->routes[i].name,
				   waiting[i]);
	free(waiting);
	return counts;
}

/* Frees the counts read from a heartbeat. */
void counts_free(struct sched *s)
{
	struct waiting_count *w, *next;

	HASH_ITER(hh, s->waiting_counts, w, next) {
		HASH_DEL(s->waiting_counts, w);
		bstr_free(&w->route);
		free(w);
	}
	s->waiting_as_of = 0;
}

/* Reads the counts from a heartbeat.  They are as of the given time. */
void counts_read(struct sched *s, const json_t *counts, int64_t as_of)
{
	struct waiting_count *w;
	const char *route;
	json_t *v;

	counts_free(s);
	s->waiting_as_of = as_of;
	json_object_foreach((json_t *)counts, route, v) {
		w = xcalloc(1, sizeof(*w));
		w->route = bstr_new(route);
		w->count = (uint64_t)json_integer_value(v);
		HASH_ADD_KEYPTR(hh, s->waiting_counts, w->route.bstr_val,
				w->route.bstr_len, w);
	}
}

/*
 * Returns the time up to which the owner's list of jobs has all accepted jobs.
 * An owner that is still loading returns 0, not known: the number of jobs read
 * so far would be taken for the total, and callers would be told that none
 * waits.
 */
int64_t job_list_as_of(const struct sched *s)
{
	return s->own.state == OWN_OWNER ? s->follows[FOLLOW_JOBS].current_as_of
					 : 0;
}

/*
 * Returns the count of a route: by this VM's own list if it is the owner, else
 * from the latest heartbeat.
 */
static struct known_count count_lookup(const struct sched *s, bstr route)
{
	struct known_count k = {.as_of = s->waiting_as_of};
	struct waiting_count *w;
	const struct job *j;

	if (s->own.state != OWN_OWNER) {
		HASH_FIND_BSTR(s->waiting_counts, route, w);
		k.waiting = w ? w->count : 0;
		return k;
	}
	k.counted_here = true;
	k.as_of = job_list_as_of(s);
	TAILQ_FOREACH(j, &s->jobs_by_arrival, entry)
		k.waiting += job_is_waiting(j) && bstr_eq(j->route, route);
	return k;
}

/* Returns the age of a count, or -1 if it is not known. */
static int64_t count_age_ms(const struct sched *s, int64_t as_of)
{
	int64_t now = store_clock(s);

	return as_of && now ? now - as_of : -1;
}

/* Returns the age of the counts that callers would get now. */
int64_t counts_age_ms(const struct sched *s)
{
	return count_age_ms(s, s->own.state == OWN_OWNER ? job_list_as_of(s)
							 : s->waiting_as_of);
}

/*
 * Answers the request for the number of waiting jobs of a route.  While there
 * is no owner, or if heartbeats or the jobs feed don't arrive, the counts
 * become outdated as other VMs accept jobs; a caller could be told that none
 * waits while many do.  This VM then refuses the request.  Other VMs may have
 * current counts, or this one will soon.
 */
void count_receive(struct sched *s, const struct call_in *in,
		   const struct route *r)
{
	struct known_count k = count_lookup(s, r->name);
	int64_t age = count_age_ms(s, k.as_of);
	struct sched_effect *fx;

	sched_log(s, LOG_COUNT_TOLD,
		  "queue=%.*s waiting=%llu source=%s epoch=%llu age_ms=%lld",
		  BSTR_ARG(r->name), (unsigned long long)k.waiting,
		  k.counted_here ? "book" : "beat",
		  (unsigned long long)s->own.epoch, (long long)age);
	if (age < 0 || age > COUNT_AGE_MAX_MS) {
		call_refuse(s, in->id, 503, COUNT_REFUSED_NOT_FRESH,
			    "count-not-fresh", "-");
		return;
	}
	fx = sched_effect_add(s, EFFECT_REPLY);
	fx->reply = (struct reply){.call = in->id,
				   .status = 200,
				   .kind = REPLY_WAITING,
				   .waiting = k.waiting};
}
