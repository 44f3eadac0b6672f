/*
 * Following tables of the store: read whole by pages, then by the feed of
 * changes; read whole again when the feed's history is gone.
 */
#include "sched-state.h"

#include <stdlib.h>
#include <string.h>

/* Have a table read whole again. */
void follow_restart(struct follow *f)
{
	f->whole = false;
	f->reading++;
	f->first = f->revision = 0;
	bstr_free(&f->from);
}

/* Ask for the next page, or for what has changed. */
static void follow_ask(struct sched *s, struct follow *f)
{
	int64_t wait = f->whole ? f->wait_ms + FEED_TIMEOUT_MS
				: STORE_TIMEOUT_MS;
	struct ask *ask;

	sched_ask(s, f->whole ? f->feed : f->get, f->whole ? ASK_FEED : ASK_GET,
		  s->now + wait, &ask);
	ask->range.table = f->table;
	ask->range.limit = PAGE_ROWS;
	ask->range.after = f->revision;
	ask->range.wait_ms = f->wait_ms;
	if (!f->whole)
		ask->range.from = bstr_copy(f->from);
	f->open = true;
	sched_count(s, COUNT_TABLE_READS, 1);
}

/* Ask where nothing is under way. */
static void follow_go(struct sched *s, struct follow *f)
{
	if (f->wanted && !f->open && s->now >= f->again_at &&
	    !(f->whole && f->feed == PURPOSE_MAX))
		follow_ask(s, f);
}

/* Ask wherever nothing is under way. */
void follow_tick(struct sched *s)
{
	size_t i;

	for (i = 0; i < NELEMS(s->follows); i++)
		follow_go(s, &s->follows[i]);
	follow_go(s, &s->progress);
}

/* Hand a row to the file whose subject it is. */
static void row_dispatch(struct sched *s, struct row *r)
{
	switch (r->table) {
	case TABLE_OPERATOR:
		if (r->kind == ROW_CONFIG)
			config_take(s, r);
		else if (r->kind == ROW_WAVE)
			wave_row_take(s, r);
		break;
	case TABLE_WORKERS:
		worker_row_take(s, r);
		break;
	case TABLE_JOBS:
		job_row_take(s, r);
		break;
	case TABLE_PROGRESS:
		progress_row_take(s, r);
		break;
	case TABLE_OWNER:
		own_row_take(s, r);
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
		if (s->follows[i].get == p || s->follows[i].feed == p)
			return &s->follows[i];
	return &s->progress;
}

/* Note where the next page starts: just after the last key of this one. */
static void page_next(struct follow *f, const struct answer *a)
{
	bstr last = a->rows[a->row_count - 1].key;
	bstr next = {.bstr_len = last.bstr_len + 1};

	next.bstr_val = xcalloc((size_t)last.bstr_len + 1, 1);
	memcpy(next.bstr_val, last.bstr_val, last.bstr_len);
	/* A byte 1 is above "just this key" and below every longer one used. */
	next.bstr_val[last.bstr_len] = 1;
	bstr_free(&f->from);
	f->from = next;
}

/* A table has been read whole. */
static void follow_whole(struct sched *s, struct follow *f)
{
	f->whole = true;
	f->revision = f->first;
	bstr_free(&f->from);
	if (f->table == TABLE_WORKERS)
		worker_sweep(s);
	if (f->table == TABLE_OWNER)
		s->own.known = true;
	own_loaded(s);
}

/*
 * Take a page or a feed's answer.  The feed goes on from the first page's
 * revision: a row that changed between two pages is then seen again.
 */
void follow_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct follow *f = follow_of(s, rq->purpose);
	bool fed = rq->purpose == f->feed;
	size_t i;

	f->open = false;
	if (a->outcome == OUT_GONE) {
		sched_log(s, LOG_HISTORY_GONE, "table=%d revision=%llu",
			  f->table, (unsigned long long)f->revision);
		follow_restart(f);
		follow_go(s, f);
		return;
	}
	if (a->outcome != OUT_DONE) {
		f->again_at = s->now + STORE_AGAIN_MS;
		return;
	}
	/* A follow that was begun anew meanwhile: this answer is of before. */
	if (!f->wanted || fed != f->whole) {
		follow_go(s, f);
		return;
	}
	if (!fed && !f->first)
		f->first = a->revision;
	for (i = 0; i < a->row_count; i++)
		row_dispatch(s, &a->rows[i]);
	if (f->table == TABLE_OWNER)
		own_answered(s);
	if (fed) {
		if (a->revision > f->revision)
			f->revision = a->revision;
	} else if (a->more && a->row_count) {
		page_next(f, a);
	} else {
		follow_whole(s, f);
	}
	follow_go(s, f);
}
