/*
 * Following tables of the store: read whole by pages, then by the feed of
 * changes; read whole again when the feed's history is gone.
 */
#include "sched-state.h"

#include <stdlib.h>
#include <string.h>

/*
 * Workers write their rows every second or two, so their feed has always
 * something new: it is asked for what came in so long.  At 350 workers that
 * is at most 5 calls a second in place of one for each row, and nothing that a
 * worker says of itself there is more urgent.
 */
#define WORKERS_FEED_APART_MS 200

/*
 * An owner beats as often as a limit or a new worker wants it, and each beat
 * is sent to all VMs.  One that leaves the claim to larger ones asks for the
 * next after a pause that is shorter than the time between regular beats.
 */
#define OWNER_FEED_APART_MS 300

/*
 * So many parts are read at once.  The answer to an owner's beat comes behind
 * their pages, and the next beat waits for it: behind all sixteen of a long
 * book it would be too late.
 */
#define READS_AT_ONCE 4

/*
 * An answer of the jobs' feed is waited for twice as long as the last one was
 * late, and twice as long again after one that did not come though the store
 * answered others.  On an owner short of processor a long one takes seconds:
 * given up and asked for again each time, it would never come, and cancels be
 * read when their tasks have begun.  After an outage nothing is waited for
 * longer: what was asked in it is never answered.
 */
#define FEED_PATIENCE_MAX_MS 4000

/* How long beyond its wait is a feed's answer waited for? */
static uint32_t feed_patience(const struct follow *f)
{
	if (f->feed_timeout_ms < FEED_TIMEOUT_MS)
		return FEED_TIMEOUT_MS;
	return f->feed_timeout_ms < FEED_PATIENCE_MAX_MS ? f->feed_timeout_ms
							 : FEED_PATIENCE_MAX_MS;
}

/* A feed's answer has come, or not: how long the next one is waited for. */
static void feed_patience_take(struct sched *s, struct follow *f, bool came)
{
	int64_t beyond = s->now - f->asked_at - f->wait_ms;

	if (f->table != TABLE_JOBS)
		return;
	if (came)
		f->feed_timeout_ms = beyond > 0 ? 2 * (uint32_t)beyond : 0;
	else if (s->store_ok_at > f->asked_at)
		f->feed_timeout_ms = 2 * feed_patience(f);
}

/* How many parts of a table are read. */
static unsigned follow_parts(const struct follow *f)
{
	return f->parts ? f->parts : 1;
}

/* Have a table read whole again. */
void follow_restart(struct follow *f)
{
	unsigned i;

	f->complete = f->feed_answered = false;
	f->reading_serial++;
	f->revision = 0;
	for (i = 0; i < JOB_PARTS; i++) {
		bstr_free(&f->reads[i].next_key);
		f->reads[i].complete = f->reads[i].in_flight = false;
		f->reads[i].first_revision = 0;
	}
}

/* Ask for what has changed. */
static void feed_ask(struct sched *s, struct follow *f)
{
	struct request *rq;
	struct ask *ask;

	/* Just after a whole reading it tells at once what came meanwhile. */
	uint32_t wait_ms = f->feed_answered ? f->wait_ms : 0;

	rq = sched_ask(s, f->feed_purpose, ASK_FEED,
		       s->now + wait_ms + feed_patience(f), &ask);
	f->asked_at = s->now;
	rq->number = f->reading_serial;
	ask->range.table = f->table;
	ask->range.after = f->revision;
	ask->range.wait_ms = wait_ms;
	f->feed_in_flight = true;
	sched_count(s, COUNT_TABLE_READS, 1);
}

/* Ask for the next page of a part. */
static void page_ask(struct sched *s, struct follow *f, unsigned i)
{
	struct request *rq;
	struct ask *ask;

	rq = sched_ask(s, f->read_purpose, ASK_GET, s->now + STORE_TIMEOUT_MS,
		       &ask);
	rq->number = f->reading_serial;
	rq->occurrence = i;
	ask->range.table = f->table;
	ask->range.part = f->parts ? i + 1 : 0;
	ask->range.limit = PAGE_ROWS;
	ask->range.from = bstr_copy(f->reads[i].next_key);
	f->reads[i].in_flight = true;
	sched_count(s, COUNT_TABLE_READS, 1);
}

/* Ask where nothing is under way. */
static void follow_go(struct sched *s, struct follow *f)
{
	unsigned i, open = 0;

	if (!f->wanted || s->now < f->retry_at)
		return;
	if (f->complete) {
		if (!f->feed_in_flight && f->feed_purpose != PURPOSE_MAX)
			feed_ask(s, f);
		return;
	}
	for (i = 0; i < follow_parts(f); i++)
		open += f->reads[i].in_flight;
	for (i = 0; i < follow_parts(f) && open < READS_AT_ONCE; i++) {
		if (f->reads[i].in_flight || f->reads[i].complete)
			continue;
		page_ask(s, f, i);
		open++;
	}
}

/* Ask wherever nothing is under way. */
void follow_tick(struct sched *s)
{
	size_t i;

	for (i = 0; i < NELEMS(s->follows); i++)
		follow_go(s, &s->follows[i]);
	follow_go(s, &s->progress);
	follow_go(s, &s->notes);
}

/* Hand a row to the file whose subject it is. */
static void row_dispatch(struct sched *s, struct row *r)
{
	switch (r->table) {
	case TABLE_OPERATOR:
		if (r->kind == ROW_CONFIG)
			config_row_apply(s, r);
		else if (r->kind == ROW_WAVE)
			wave_row_apply(s, r);
		break;
	case TABLE_WORKERS:
		worker_row_apply(s, r);
		break;
	case TABLE_JOBS:
		job_row_apply(s, r);
		break;
	case TABLE_PROGRESS:
		progress_row_apply(s, r);
		break;
	case TABLE_OWNER:
		own_row_apply(s, r);
		break;
	case TABLE_NOTES:
		note_row_apply(s, r);
		break;
	case TABLE_STATUS:
	case TABLE_MAX:
		break;
	}
}

/* Which table is a request for? */
static struct follow *follow_of(struct sched *s, enum purpose p)
{
	size_t i;

	for (i = 0; i < NELEMS(s->follows); i++)
		if (s->follows[i].read_purpose == p ||
		    s->follows[i].feed_purpose == p)
			return &s->follows[i];
	return p == FOR_NOTES_GET ? &s->notes : &s->progress;
}

/* Note where the next page starts: just after the last key of this one. */
static void page_next(struct part_read *p, const struct answer *a)
{
	bstr last = a->rows[a->row_count - 1].key;
	bstr next = {.bstr_len = last.bstr_len + 1};

	next.bstr_val = xcalloc((size_t)last.bstr_len + 1, 1);
	memcpy(next.bstr_val, last.bstr_val, last.bstr_len);
	/* A byte 1 is above "just this key" and below every longer one used. */
	next.bstr_val[last.bstr_len] = 1;
	bstr_free(&p->next_key);
	p->next_key = next;
}

/*
 * If all parts have been read, go on with the feed, from the earliest first
 * page: a row that changed between two pages is then seen again.
 */
static void follow_whole(struct sched *s, struct follow *f)
{
	unsigned i;

	for (i = 0; i < follow_parts(f); i++)
		if (!f->reads[i].complete)
			return;
	f->complete = true;
	f->revision = f->reads[0].first_revision;
	for (i = 0; i < follow_parts(f); i++) {
		if (f->reads[i].first_revision < f->revision)
			f->revision = f->reads[i].first_revision;
		bstr_free(&f->reads[i].next_key);
	}
	if (f->table == TABLE_WORKERS)
		workers_unlist_missing(s);
	if (f->table == TABLE_OWNER && !s->own.known) {
		s->own.known = true;
		s->own.silent_since = s->now;
	}
	own_table_loaded(s);
}

/* Take a page. */
static void page_take(struct sched *s, struct follow *f, struct part_read *p,
		      const struct answer *a)
{
	s->own.load_progress_at = s->now;
	if (!p->first_revision)
		p->first_revision = a->revision;
	if (a->more && a->row_count) {
		page_next(p, a);
		return;
	}
	p->complete = true;
	follow_whole(s, f);
}

/* Note how far the feed is. */
static void feed_take(struct sched *s, struct follow *f, const struct answer *a)
{
	f->feed_answered = true;
	if (a->revision > f->revision)
		f->revision = a->revision;
	/* One that is as long as a page may be cut off: more follows. */
	if (a->row_count < PAGE_ROWS && !a->more)
		f->current_as_of = a->store_clock;
	if (f->table == TABLE_WORKERS)
		f->retry_at = s->now + WORKERS_FEED_APART_MS;
	if (f->table == TABLE_OWNER && own_defers_claim(s))
		f->retry_at = s->now + OWNER_FEED_APART_MS;
}

/* Take a page or a feed's answer. */
void follow_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct follow *f = follow_of(s, rq->purpose);
	bool fed = rq->purpose == f->feed_purpose;
	size_t i;

	if (fed)
		f->feed_in_flight = false;
	/*
	 * Also of a table that is not wanted now: this answer is dropped, and
	 * an owner that wants it again has to ask, or it would read for ever.
	 */
	if (!fed && rq->number == f->reading_serial)
		f->reads[rq->occurrence].in_flight = false;
	/* Of a reading that was begun anew meanwhile: that one goes on. */
	if (rq->number != f->reading_serial || !f->wanted) {
		follow_go(s, f);
		return;
	}
	if (a->outcome == OUT_COMPACTED) {
		sched_log(s, LOG_HISTORY_GONE, "table=%d revision=%llu",
			  f->table, (unsigned long long)f->revision);
		follow_restart(f);
		follow_go(s, f);
		return;
	}
	if (fed)
		feed_patience_take(s, f, a->outcome == OUT_DONE);
	if (a->outcome != OUT_DONE) {
		f->retry_at = s->now + STORE_RETRY_MS;
		return;
	}
	for (i = 0; i < a->row_count; i++)
		row_dispatch(s, &a->rows[i]);
	if (f->table == TABLE_OWNER)
		own_reset_silence(s);
	/* A row may have ended this VM's ownership, and with it the follow. */
	if (rq->number != f->reading_serial)
		return;
	if (fed)
		feed_take(s, f, a);
	if (!fed)
		page_take(s, f, &f->reads[rq->occurrence], a);
	follow_go(s, f);
}
