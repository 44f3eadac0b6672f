/*
 * How many jobs of each queue wait: the owner counts them in its book and
 * tells the store with its beat, and any VM answers callers from one of the
 * two.  Either is as old as the owner's latest reading of the jobs, which is
 * told by the store's clock, so that every VM can reckon the age.
 */
#include "sched-state.h"
#include "json-read.h"

#include <stdlib.h>

/* A count may be so old, by the callers' interface. */
#define COUNT_AGE_MAX_MS 2000

/* What a VM knows of a queue's waiting jobs. */
struct known_count {
	uint64_t waiting;
	int64_t told_at; /* by the store's clock; 0: not known */
	bool own;	 /* from this VM's book, not from a beat */
};

/* The store's clock now, by its latest answer; 0: it has not told yet. */
int64_t store_clock(const struct sched *s)
{
	return s->store_clock_known ? s->now + s->store_clock_offset : 0;
}

/*
 * Take the store's clock from an answer of it.  It showed this at some moment
 * between sending and now.  An answer that waited here while the VM stood
 * still must not set the clock back: old counts would seem new.
 */
void store_clock_update(struct sched *s, const struct answer *a)
{
	int64_t least = a->store_clock - s->now;
	int64_t most = a->store_clock - a->sent_at;

	if (!a->store_clock)
		return;
	if (!s->store_clock_known || s->store_clock_offset > most)
		s->store_clock_offset = most;
	if (s->store_clock_offset < least)
		s->store_clock_offset = least;
	s->store_clock_known = true;
}

/* The waiting jobs by queue, for a beat. */
json_t *counts_write(const struct sched *s)
{
	json_t *counts = json_object();
	const struct job *j;
	json_t *v;
	char *route;

	TAILQ_FOREACH(j, &s->order, entry) {
		if (!job_waits(j))
			continue;
		route = bstr_cstr(j->route);
		v = json_object_get(counts, route);
		json_object_set_new(counts, route,
				    json_integer(json_integer_value(v) + 1));
		free(route);
	}
	return counts;
}

/* Forget what was told. */
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

/* Take over the counts of a beat, of the jobs as they were at a time. */
void counts_read(struct sched *s, const json_t *counts, int64_t told_at)
{
	struct waiting_count *w;
	const char *route;
	json_t *v;

	counts_free(s);
	s->waiting_as_of = told_at;
	json_object_foreach((json_t *)counts, route, v) {
		w = xcalloc(1, sizeof(*w));
		w->route = bstr_new(route);
		w->count = (uint64_t)json_integer_value(v);
		HASH_ADD_KEYPTR(hh, s->waiting_counts, w->route.bstr_val,
				w->route.bstr_len, w);
	}
}

/*
 * Up to when does the owner's book have all jobs that were accepted?  One that
 * still reads them does not know: what it has read so far would be told as
 * all there is, and callers would hear that none waits.
 */
int64_t job_list_as_of(const struct sched *s)
{
	return s->own.state == OWN_OWNER ? s->follows[3].current_as_of : 0;
}

/* What this VM knows of a queue: the owner's book, or its last beat. */
static struct known_count count_known(const struct sched *s, bstr route)
{
	struct known_count k = {.told_at = s->waiting_as_of};
	struct waiting_count *w;
	const struct job *j;

	if (s->own.state != OWN_OWNER) {
		HASH_FIND_BSTR(s->waiting_counts, route, w);
		k.waiting = w ? w->count : 0;
		return k;
	}
	k.own = true;
	k.told_at = job_list_as_of(s);
	TAILQ_FOREACH(j, &s->order, entry)
		k.waiting += job_waits(j) && bstr_eq(j->route, route);
	return k;
}

/* How old is what is known?  -1: that is not known. */
static int64_t count_age(const struct sched *s, int64_t told_at)
{
	int64_t now = store_clock(s);

	return told_at && now ? now - told_at : -1;
}

/* The age of what this VM would tell a caller now. */
int64_t counts_age_ms(const struct sched *s)
{
	return count_age(s, s->own.state == OWN_OWNER ? job_list_as_of(s)
						      : s->waiting_as_of);
}

/*
 * Answer how many jobs of a queue wait.  While nobody owns the scheduling, and
 * where beats or the feed of the jobs do not come, what is known grows old and
 * jobs are accepted elsewhere: a caller would be told that none waits while
 * many do.  Such a VM says that it can't tell; others can, or soon will.
 */
void count_receive(struct sched *s, const struct call_in *in,
		   const struct route *r)
{
	struct known_count k = count_known(s, r->name);
	int64_t age = count_age(s, k.told_at);
	struct sched_effect *fx;

	sched_log(s, LOG_COUNT_TOLD,
		  "queue=%.*s waiting=%llu source=%s epoch=%llu age_ms=%lld",
		  BSTR_ARG(r->name), (unsigned long long)k.waiting,
		  k.own ? "book" : "beat", (unsigned long long)s->own.epoch,
		  (long long)age);
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
