/*
 * The journal of a shard: a sequence of segments (rows of the table) with
 * records; new records are appended to the last one.  Records are collected
 * during the commit window and committed together, so the number of writes
 * depends on the window and not on the number of jobs.  Each commit checks the
 * revision of the shard's row.  So an owner that has been replaced can append
 * nothing any more, and the new owner, which reads the journal after it has
 * replaced that row, misses no record.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

/* A segment of this size is full; the next records go to a new one. */
#define SEGMENT_FULL_BYTES 16384
/* With more segments than this, records in the first are written again. */
#define REWRITE_SEGMENTS 24
#define TRIM_INTERVAL_MS 2000
#define FLUSH_RECORDS_MAX 512
/*
 * Callers get most results before the record is durable, so a final record may
 * wait this long to be committed together with later claims.  That does not
 * hold for "not run", which callers get only once it is durable.  Must be less
 * than NOTIFY_RETRY_MS, or cells would send their results twice.
 */
#define FINAL_FLUSH_DELAY_MS 400

/* Returns the key of a segment's row.  Keys sort in order of creation. */
static bstr segment_key(const struct unit *u, uint64_t number)
{
	return bstr_printf("journal/%u/%016llx", u->index,
			   (unsigned long long)number);
}

static void entry_free(struct journal_entry *e)
{
	xdr_free(XDR_PROC(xdr_journal_record), (char *)&e->rec);
	bstr_free(&e->job);
	free(e);
}

static void entries_free(struct journal_list *list)
{
	struct journal_entry *e;

	while ((e = TAILQ_FIRST(list))) {
		TAILQ_REMOVE(list, e, entry);
		entry_free(e);
	}
}

static void segment_free(struct shard *s, struct segment *g)
{
	TAILQ_REMOVE(&s->segments, g, entry);
	xdr_free(XDR_PROC(xdr_journal_row), (char *)&g->row);
	free(g);
}

/* Frees a shard and the jobs whose home it is. */
void shard_free(struct state *st, struct shard *s)
{
	struct segment *g;

	jobs_drop(st, s);
	entries_free(&s->pending);
	entries_free(&s->in_flight);
	while ((g = TAILQ_FIRST(&s->segments)))
		segment_free(s, g);
	free(s);
}

static bstr record_job(const journal_record *rec)
{
	switch (rec->kind) {
	case JOURNAL_CLAIM:
		return rec->journal_record_u.claim.job;
	case JOURNAL_MOVE:
		return rec->journal_record_u.move.job;
	case JOURNAL_FINAL:
		return rec->journal_record_u.final.job;
	}
	return BSTR_NONE;
}

/* Reads the whole journal of a shard that this VM has just claimed. */
void shard_load(struct state *st, struct unit *u)
{
	bstr prefix = bstr_printf("journal/%u/", u->index);

	table_scan(st, REQ_JOURNAL_SCAN, u->name, prefix);
	bstr_free(&prefix);
}

/* Adds a segment that was read and replays it.  Returns false if it is bad. */
static bool segment_load(struct state *st, struct shard *s, const table_row *r)
{
	struct segment *g = xcalloc(1, sizeof(*g));
	char *key = bstr_cstr(r->key), *slash = strrchr(key, '/');
	u_int i;

	g->number = slash ? strtoull(slash + 1, NULL, 16) : 0;
	free(key);
	g->revision = r->revision;
	g->bytes = r->value.bstr_len;
	if (!xdr_decode(XDR_PROC(xdr_journal_row), r->value, &g->row,
			sizeof(g->row))) {
		free(g);
		return false;
	}
	TAILQ_INSERT_TAIL(&s->segments, g, entry);
	s->next_segment = g->number + 1;
	for (i = 0; i < g->row.records.records_len; i++)
		job_replay(st, s, &g->row.records.records_val[i]);
	return true;
}

/*
 * Handles the journal that was read.  If a segment can't be decoded, the shard
 * stays without an owner and an error is logged: going on without the segment
 * would silently lose accepted jobs.
 */
void shard_scanned(struct state *st, struct unit *u, const ev_platform *ev)
{
	struct shard *s;
	u_int i;

	if (u->state != UNIT_LOADING)
		return;
	if (ev->outcome != PLATFORM_OK) {
		effect_count(st, COUNT_RETRY_PLATFORM_UNKNOWN, 1);
		shard_load(st, u);
		return;
	}
	s = u->shard = xcalloc(1, sizeof(*s));
	s->unit = u;
	s->next_segment = 1;
	s->flushed_at = st->now;
	TAILQ_INIT(&s->pending);
	TAILQ_INIT(&s->in_flight);
	TAILQ_INIT(&s->segments);
	for (i = 0; i < ev->rows.rows_len; i++) {
		if (segment_load(st, s, &ev->rows.rows_val[i]))
			continue;
		effect_log(st, LOG_JOURNAL_BAD, "%.*s",
			   BSTR_ARG(ev->rows.rows_val[i].key));
		unit_drop(st, u, "its journal can't be read");
		u->retry_at = st->now + 10000;
		return;
	}
	unit_loaded(st, u);
	jobs_resume(st, s);
}

/* Queues a record for the next commit. */
void shard_append(struct state *st, struct shard *s, const journal_record *rec)
{
	struct journal_entry *e = xcalloc(1, sizeof(*e));
	int64_t due = s->flushed_at + st->commit_window_ms;

	xdr_copy(XDR_PROC(xdr_journal_record), &e->rec, rec, sizeof(*rec));
	e->job = bstr_copy(record_job(rec));
	if (rec->kind == JOURNAL_FINAL &&
	    rec->journal_record_u.final.state != JOB_NOT_RUN &&
	    due < st->now + FINAL_FLUSH_DELAY_MS)
		due = st->now + FINAL_FLUSH_DELAY_MS;
	if (TAILQ_EMPTY(&s->pending) || due < s->flush_at)
		s->flush_at = due;
	TAILQ_INSERT_TAIL(&s->pending, e, entry);
	effect_wake(st, s->flush_at);
}

/* Returns the segment to append to: the last, or a new one if that is full. */
static struct segment *segment_current(struct shard *s)
{
	struct segment *g = TAILQ_LAST(&s->segments, segment_list);

	if (g && g->bytes < SEGMENT_FULL_BYTES)
		return g;
	g = xcalloc(1, sizeof(*g));
	g->number = s->next_segment++;
	TAILQ_INSERT_TAIL(&s->segments, g, entry);
	return g;
}

/* Appends copies of records to a row. */
static void row_append(journal_row *row, const struct journal_list *list)
{
	const struct journal_entry *e;
	u_int n = row->records.records_len;

	TAILQ_FOREACH(e, list, entry)
		n++;
	row->records.records_val = xrealloc(row->records.records_val, n,
					    sizeof(journal_record));
	TAILQ_FOREACH(e, list, entry)
		xdr_copy(XDR_PROC(xdr_journal_record),
			 &row->records.records_val[row->records.records_len++],
			 &e->rec, sizeof(journal_record));
}

/* Commits pending records, unless a commit is outstanding. */
static void shard_flush(struct state *st, struct shard *s)
{
	struct journal_entry *e;
	fx_commit c = {0};
	struct segment *g;
	journal_row row;
	unsigned n = 0;
	bstr key;

	if (s->commit_request || TAILQ_EMPTY(&s->pending))
		return;
	g = segment_current(s);
	while ((e = TAILQ_FIRST(&s->pending)) && n++ < FLUSH_RECORDS_MAX) {
		TAILQ_REMOVE(&s->pending, e, entry);
		TAILQ_INSERT_TAIL(&s->in_flight, e, entry);
	}
	xdr_copy(XDR_PROC(xdr_journal_row), &row, &g->row, sizeof(row));
	row_append(&row, &s->in_flight);
	key = segment_key(s->unit, g->number);
	commit_check(&c, s->unit->name, s->unit->revision);
	commit_check(&c, key, g->revision);
	commit_put(&c, key, XDR_PROC(xdr_journal_row), &row);
	s->commit_request = table_commit(st, REQ_JOURNAL_COMMIT, s->unit->name,
					 &c, 0);
	s->commit_segment = g;
	s->flushed_at = st->now;
	xdr_free(XDR_PROC(xdr_journal_row), (char *)&row);
	bstr_free(&key);
}

/* Handles a successful commit: the records in flight are durable. */
static void shard_durable(struct state *st, struct shard *s,
			  const ev_platform *ev)
{
	struct segment *g = s->commit_segment;
	bstr key = segment_key(s->unit, g->number);
	struct journal_entry *e;
	struct job *j;

	g->revision = row_revision(ev, key);
	bstr_free(&key);
	row_append(&g->row, &s->in_flight);
	g->bytes = xdr_sizeof(XDR_PROC(xdr_journal_row), &g->row);
	while ((e = TAILQ_FIRST(&s->in_flight))) {
		TAILQ_REMOVE(&s->in_flight, e, entry);
		j = job_find(st, e->job);
		if (j && j->shard == s) {
			if (e->rec.kind != JOURNAL_MOVE)
				j->record_segment = g->number;
			if (e->rec.kind == JOURNAL_FINAL)
				job_final_durable(st, j);
			else
				job_claimed(st, j);
		}
		entry_free(e);
	}
}

/* Handles the outcome of a journal commit. */
void shard_committed(struct state *st, struct unit *u, struct request *rq,
		     const ev_platform *ev)
{
	struct shard *s = u->shard;

	if (!s || s->commit_request != rq->id)
		return;
	s->commit_request = 0;
	if (ev->outcome != PLATFORM_OK) {
		/*
		 * The row of the shard or of the segment has changed, so
		 * another VM owns the shard.  This commit wrote nothing, and
		 * the new owner has read all earlier records.
		 */
		unit_drop(st, u, "another owner has the journal");
		return;
	}
	shard_durable(st, s, ev);
	if (st->now >= s->flush_at)
		shard_flush(st, s);
}

/* Returns true if no write to the journal is pending or outstanding. */
bool shard_is_flushed(const struct shard *s)
{
	return !s->commit_request && TAILQ_EMPTY(&s->pending) && !s->trimming;
}

/*
 * Withdraws a job's claim.  Returns true if it has certainly not been written:
 * it is still pending, or each attempt of its commit was refused and none is
 * outstanding.
 */
bool shard_withdraw(struct state *st, struct shard *s, bstr job)
{
	struct request *rq = s->commit_request
				     ? request_find(st, s->commit_request)
				     : NULL;
	struct journal_entry *e;

	if (rq && !rq->uncertain && rq->resend_at) {
		request_free(st, rq);
		s->commit_request = 0;
		s->flush_at = st->now;
		while ((e = TAILQ_LAST(&s->in_flight, journal_list))) {
			TAILQ_REMOVE(&s->in_flight, e, entry);
			TAILQ_INSERT_HEAD(&s->pending, e, entry);
		}
	}
	TAILQ_FOREACH(e, &s->pending, entry) {
		if (e->rec.kind != JOURNAL_CLAIM || !bstr_eq(e->job, job))
			continue;
		TAILQ_REMOVE(&s->pending, e, entry);
		entry_free(e);
		return true;
	}
	return false;
}

/* Appends a full record of a job, so that older records can be removed. */
static void job_append_record(struct state *st, struct shard *s, struct job *j)
{
	journal_record rec = {.kind = JOURNAL_CLAIM};

	if (j->phase == PHASE_FINAL) {
		rec.kind = JOURNAL_FINAL;
		rec.journal_record_u.final = j->view;
	} else {
		rec.journal_record_u.claim = (journal_claim){
			j->id, j->spec, j->digest, j->cell, j->attempt};
	}
	shard_append(st, s, &rec);
}

/*
 * Returns true if a segment holds the latest full record of a job that is
 * still kept.  With rewrite set, such records are appended to the journal
 * again, so that the segment can be removed later.
 */
static bool segment_needed(struct state *st, struct shard *s, struct segment *g,
			   bool rewrite)
{
	bool needed = false;
	struct job *j;
	u_int i;

	for (i = 0; i < g->row.records.records_len; i++) {
		j = job_find(st, record_job(&g->row.records.records_val[i]));
		if (!j || j->shard != s || j->record_segment > g->number)
			continue;
		needed = true;
		if (rewrite && j->phase != PHASE_CLAIMING &&
		    j->phase != PHASE_ENDING) {
			job_append_record(st, s, j);
			j->record_segment = g->number;
		}
	}
	return needed;
}

/*
 * Removes the first segment if no job needs it.  Segments are removed only in
 * order: if a final record were removed before its claim, a new owner would
 * take the job as not final and run it again.
 */
static void shard_trim(struct state *st, struct shard *s)
{
	struct segment *g = TAILQ_FIRST(&s->segments), *h;
	unsigned count = 0;
	fx_commit c = {0};
	bstr key;

	if (st->now < s->trim_at || s->trimming || s->commit_request || !g ||
	    !TAILQ_NEXT(g, entry))
		return;
	s->trim_at = st->now + TRIM_INTERVAL_MS;
	TAILQ_FOREACH(h, &s->segments, entry)
		count++;
	if (segment_needed(st, s, g, count > REWRITE_SEGMENTS))
		return;
	key = segment_key(s->unit, g->number);
	commit_check(&c, s->unit->name, s->unit->revision);
	commit_check(&c, key, g->revision);
	commit_remove(&c, key);
	s->trimming = true;
	table_commit(st, REQ_JOURNAL_TRIM, s->unit->name, &c, 0);
	bstr_free(&key);
}

/* Handles the outcome of removing the first segment. */
void shard_trimmed(struct state *st, struct unit *u, const ev_platform *ev)
{
	struct shard *s = u->shard;

	if (!s || !s->trimming)
		return;
	s->trimming = false;
	if (ev->outcome == PLATFORM_OK) {
		segment_free(s, TAILQ_FIRST(&s->segments));
		s->trim_at = st->now;
	} else {
		unit_drop(st, u, "another owner has the journal");
	}
}

/* Commits pending records and removes old segments when due. */
void shards_tick(struct state *st)
{
	struct unit *u, *next;

	HASH_ITER(hh, st->units, u, next) {
		if (!u->shard || u->state != UNIT_OWNED)
			continue;
		if (st->now >= u->shard->flush_at || st->stopping)
			shard_flush(st, u->shard);
		else if (!TAILQ_EMPTY(&u->shard->pending))
			effect_wake(st, u->shard->flush_at);
		shard_trim(st, u->shard);
	}
}
