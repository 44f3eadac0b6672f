/*
 * Keeps tables of the store up to date: reads them completely, page by page,
 * and then follows their change feeds.  A table is read again if the feed's
 * history has been discarded.
 */
#include "sched-state.h"

#include <stdlib.h>
#include <string.h>

/*
 * Pause between requests to the feed of worker rows.  Workers write their rows
 * every second or two, so the feed always has changes.  At 350 workers the
 * pause limits the rate to 5 calls a second instead of one per row.  Nothing
 * that workers write there is more urgent.
 */
#define WORKERS_FEED_PAUSE_MS 200

/*
 * Pause between requests to the feed of the owner table, on a VM that leaves
 * the claim to larger VMs.  The owner sends extra heartbeats when a ceiling or
 * a new worker needs it, and each one is sent to all VMs.  The pause is shorter
 * than the interval of regular heartbeats.
 */
#define OWNER_FEED_PAUSE_MS 300

/*
 * Limit of the parts of a table read at the same time.  The answer to an
 * owner's heartbeat is queued behind their pages, and the next heartbeat waits
 * for it.  Behind all 16 parts of a long job table it would be too late.
 */
#define PARALLEL_READS_MAX 4

/*
 * Upper bound of the timeout of the jobs feed beyond its wait.  The timeout is
 * twice the delay of the last answer, and doubles after each request that got
 * no answer although the store answered others.  On an owner short of processor
 * time a long answer takes seconds.  With a fixed timeout it would be given up
 * and requested again each time and never be received, and cancellations would
 * be read only after their tasks have started.  An outage does not raise the
 * timeout, as requests sent during one are never answered.
 */
#define FEED_TIMEOUT_MAX_MS 4000

/* Returns the current timeout of a feed beyond its wait. */
static uint32_t feed_timeout(const struct follow *f)
{
	if (f->feed_timeout_ms < FEED_TIMEOUT_MS)
		return FEED_TIMEOUT_MS;
	return f->feed_timeout_ms < FEED_TIMEOUT_MAX_MS ? f->feed_timeout_ms
							: FEED_TIMEOUT_MAX_MS;
}

/* Adapts the timeout of the jobs feed after an answer or a timeout. */
static void feed_timeout_update(struct sched *s, struct follow *f,
				bool answered)
{
	int64_t late_ms = s->now - f->asked_at - f->wait_ms;

	if (f->table != TABLE_JOBS)
		return;
	if (answered)
		f->feed_timeout_ms = late_ms > 0 ? 2 * (uint32_t)late_ms : 0;
	else if (s->store_ok_at > f->asked_at)
		f->feed_timeout_ms = 2 * feed_timeout(f);
}

/* Returns the number of parts of a table to read. */
static unsigned follow_parts(const struct follow *f)
{
	return f->parts ? f->parts : 1;
}

/* Starts the reading of a table anew. */
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

/* Sends a request to a table's feed. */
static void feed_request(struct sched *s, struct follow *f)
{
	struct request *rq;
	struct ask *ask;

	/*
	 * The first request after a complete reading returns immediately with
	 * the changes made since.
	 */
	uint32_t wait_ms = f->feed_answered ? f->wait_ms : 0;

	rq = sched_ask(s, f->feed_purpose, ASK_FEED,
		       s->now + wait_ms + feed_timeout(f), &ask);
	f->asked_at = s->now;
	rq->number = f->reading_serial;
	ask->range.table = f->table;
	ask->range.after = f->revision;
	ask->range.wait_ms = wait_ms;
	f->feed_in_flight = true;
	sched_count(s, COUNT_TABLE_READS, 1);
}

/* Requests the next page of a part of a table. */
static void page_request(struct sched *s, struct follow *f, unsigned i)
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
	if (!f->reads[i].first_revision)
		f->reads[i].asked_at = s->now;
	f->reads[i].in_flight = true;
	sched_count(s, COUNT_TABLE_READS, 1);
}

/* Sends the requests for a table that are needed and not in flight. */
static void follow_request(struct sched *s, struct follow *f)
{
	unsigned i, in_flight = 0;

	if (!f->wanted || s->now < f->retry_at)
		return;
	if (f->complete) {
		if (!f->feed_in_flight && f->feed_purpose != PURPOSE_MAX)
			feed_request(s, f);
		return;
	}
	for (i = 0; i < follow_parts(f); i++)
		in_flight += f->reads[i].in_flight;
	for (i = 0; i < follow_parts(f) && in_flight < PARALLEL_READS_MAX;
	     i++) {
		if (f->reads[i].in_flight || f->reads[i].complete)
			continue;
		page_request(s, f, i);
		in_flight++;
	}
}

/* Sends the requests that are needed for all tables. */
void follow_tick(struct sched *s)
{
	size_t i;

	for (i = 0; i < NELEMS(s->follows); i++)
		follow_request(s, &s->follows[i]);
	follow_request(s, &s->progress);
	follow_request(s, &s->notes);
}

/* Passes a row to the file that handles it. */
static void row_dispatch(struct sched *s, struct row *r)
{
	switch (r->table) {
	case TABLE_OPERATOR:
		if (r->kind == ROW_CONFIG)
			config_row_apply(s, r);
		else if (r->kind == ROW_WAVE)
			wave_row_apply(s, r);
		else if (r->kind == ROW_EVACUATION)
			evacuation_row_apply(s, r);
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
		if (large_read(s, r))
			own_row_apply(s, r);
		break;
	case TABLE_NOTES:
		if (large_read(s, r))
			note_row_apply(s, r);
		break;
	case TABLE_STATUS:
	case TABLE_MAX:
		break;
	}
}

/* Returns the table that a request with this purpose is for. */
static struct follow *follow_of(struct sched *s, enum purpose p)
{
	size_t i;

	for (i = 0; i < NELEMS(s->follows); i++)
		if (s->follows[i].read_purpose == p ||
		    s->follows[i].feed_purpose == p)
			return &s->follows[i];
	return p == FOR_NOTES_GET ? &s->notes : &s->progress;
}

/* Sets the start of the next page, just after the last key of this page. */
static void page_set_next(struct part_read *p, const struct answer *a)
{
	bstr last = a->rows[a->row_count - 1].key;
	bstr next = {.bstr_len = last.bstr_len + 1};

	next.bstr_val = xcalloc((size_t)last.bstr_len + 1, 1);
	memcpy(next.bstr_val, last.bstr_val, last.bstr_len);
	/*
	 * Byte 1 sorts after the key itself and before all longer keys in use.
	 */
	next.bstr_val[last.bstr_len] = 1;
	bstr_free(&p->next_key);
	p->next_key = next;
}

/*
 * Completes the reading of a table if all its parts have been read.  The feed
 * continues from the earliest of the first pages' revisions, so that a row that
 * changed between two pages is received again.
 */
static void follow_finish_reading(struct sched *s, struct follow *f)
{
	unsigned i;

	for (i = 0; i < follow_parts(f); i++)
		if (!f->reads[i].complete)
			return;
	f->complete = true;
	f->revision = f->reads[0].first_revision;
	f->current_at = f->reads[0].asked_at;
	for (i = 0; i < follow_parts(f); i++) {
		if (f->reads[i].first_revision < f->revision)
			f->revision = f->reads[i].first_revision;
		if (f->reads[i].asked_at < f->current_at)
			f->current_at = f->reads[i].asked_at;
		bstr_free(&f->reads[i].next_key);
	}
	if (f->table == TABLE_OPERATOR)
		evacuations_unlist_missing(s);
	if (f->table == TABLE_WORKERS)
		workers_unlist_missing(s);
	if (f->table == TABLE_OWNER && !s->own.known) {
		s->own.known = true;
		s->own.silent_since = s->now;
	}
	own_table_loaded(s);
}

/* Advances the position in a part of a table after a page was processed. */
static void page_finish(struct sched *s, struct follow *f, struct part_read *p,
			const struct answer *a)
{
	s->own.load_progress_at = s->now;
	if (!p->first_revision)
		p->first_revision = a->revision;
	if (a->more && a->row_count) {
		page_set_next(p, a);
		return;
	}
	p->complete = true;
	follow_finish_reading(s, f);
}

/* Advances the position of a feed after an answer was processed. */
static void feed_finish(struct sched *s, struct follow *f,
			const struct answer *a)
{
	f->feed_answered = true;
	if (a->revision > f->revision)
		f->revision = a->revision;
	/*
	 * An answer as long as a page may be truncated; then more changes
	 * follow.
	 */
	if (a->row_count < PAGE_ROWS && !a->more) {
		f->current_as_of = a->store_clock;
		f->current_at = f->asked_at;
	}
	if (f->table == TABLE_WORKERS)
		f->retry_at = s->now + WORKERS_FEED_PAUSE_MS;
	if (f->table == TABLE_OWNER && own_defers_claim(s))
		f->retry_at = s->now + OWNER_FEED_PAUSE_MS;
}

/* Handles a page or an answer of a feed. */
void follow_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct follow *f = follow_of(s, rq->purpose);
	bool is_feed = rq->purpose == f->feed_purpose;
	size_t i;

	if (is_feed)
		f->feed_in_flight = false;
	/*
	 * The flag is also cleared for a table that is not wanted now.  The
	 * answer is dropped, and if an owner wants the table again it has to
	 * send a new request; otherwise the reading would never finish.
	 */
	if (!is_feed && rq->number == f->reading_serial)
		f->reads[rq->occurrence].in_flight = false;
	/*
	 * The answer belongs to an earlier reading; the current one continues.
	 */
	if (rq->number != f->reading_serial || !f->wanted) {
		follow_request(s, f);
		return;
	}
	if (a->outcome == OUT_COMPACTED) {
		sched_log(s, LOG_HISTORY_GONE, "table=%d revision=%llu",
			  f->table, (unsigned long long)f->revision);
		follow_restart(f);
		follow_request(s, f);
		return;
	}
	if (is_feed)
		feed_timeout_update(s, f, a->outcome == OUT_DONE);
	if (a->outcome != OUT_DONE) {
		f->retry_at = s->now + STORE_RETRY_MS;
		return;
	}
	for (i = 0; i < a->row_count; i++)
		row_dispatch(s, &a->rows[i]);
	if (f->table == TABLE_OWNER)
		own_count_answer(s);
	/*
	 * A row may have ended this VM's ownership and thereby restarted the
	 * reading.
	 */
	if (rq->number != f->reading_serial)
		return;
	if (is_feed)
		feed_finish(s, f, a);
	if (!is_feed)
		page_finish(s, f, &f->reads[rq->occurrence], a);
	follow_request(s, f);
}
