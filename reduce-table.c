/*
 * Requests to the platform: reads, scans, objects, and commits with checks.
 * Commits are retried with the same transaction id until their outcome is
 * certain.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

#define RESEND_FIRST_MS 100
#define RESEND_MAX_MS 3000

/* Registers a request; the caller puts its id into the effect. */
struct request *request_new(struct state *st, enum request_kind kind, bstr name)
{
	struct request *rq = xcalloc(1, sizeof(*rq));

	rq->id = ++st->next_request;
	rq->kind = kind;
	rq->name = bstr_copy(name);
	rq->sent_at = st->now;
	HASH_ADD(hh, st->requests, id, sizeof(rq->id), rq);
	return rq;
}

/* Returns an outstanding request, or NULL if it was answered or given up. */
struct request *request_find(struct state *st, uint64_t id)
{
	struct request *rq;

	HASH_FIND(hh, st->requests, &id, sizeof(id), rq);
	return rq;
}

/* Frees a request.  An answer that still arrives is dropped as late. */
void request_free(struct state *st, struct request *rq)
{
	HASH_DEL(st->requests, rq);
	xdr_free(XDR_PROC(xdr_fx_commit), (char *)&rq->commit);
	bstr_free(&rq->name);
	free(rq);
}

/* Returns the request name for an object that is identified by a number. */
bstr request_name(uint64_t number)
{
	return bstr_printf("%llu", (unsigned long long)number);
}

/* Returns the number in a name made by request_name. */
uint64_t request_number(bstr name)
{
	char *s = bstr_cstr(name);
	uint64_t number = strtoull(s, NULL, 10);

	free(s);
	return number;
}

/* Reads rows by key. */
uint64_t table_read(struct state *st, enum request_kind kind, bstr name,
		    const bstr *keys, size_t count)
{
	struct request *rq = request_new(st, kind, name);
	effect *fx = effect_add(st, FX_READ);
	fx_read *r = &fx->effect_u.read;
	size_t i;

	r->req = rq->id;
	r->keys.keys_val = xcalloc(count, sizeof(bstr));
	r->keys.keys_len = (u_int)count;
	for (i = 0; i < count; i++)
		r->keys.keys_val[i] = bstr_copy(keys[i]);
	return rq->id;
}

/* Reads all rows whose key begins with a prefix. */
uint64_t table_scan(struct state *st, enum request_kind kind, bstr name,
		    bstr prefix)
{
	struct request *rq = request_new(st, kind, name);
	effect *fx = effect_add(st, FX_SCAN);

	fx->effect_u.scan.req = rq->id;
	fx->effect_u.scan.prefix = bstr_copy(prefix);
	return rq->id;
}

/* Fetches an object. */
uint64_t object_get(struct state *st, enum request_kind kind, bstr name,
		    bstr object)
{
	struct request *rq = request_new(st, kind, name);
	effect *fx = effect_add(st, FX_OBJECT_GET);

	fx->effect_u.object.req = rq->id;
	fx->effect_u.object.name = bstr_copy(object);
	return rq->id;
}

/* Stores an object.  Objects never change, so a repeated put is harmless. */
uint64_t object_put(struct state *st, enum request_kind kind, bstr name,
		    bstr object, bstr body)
{
	struct request *rq = request_new(st, kind, name);
	effect *fx = effect_add(st, FX_OBJECT_PUT);

	fx->effect_u.object.req = rq->id;
	fx->effect_u.object.name = bstr_copy(object);
	fx->effect_u.object.body = bstr_copy(body);
	return rq->id;
}

/* Lets a commit succeed only if a row is at a revision (0: does not exist). */
void commit_check(fx_commit *c, bstr key, uint64_t revision)
{
	u_int n = c->checks.checks_len++;
	table_check *k;

	c->checks.checks_val = xrealloc(c->checks.checks_val, n + 1,
					sizeof(*k));
	k = &c->checks.checks_val[n];
	k->key = bstr_copy(key);
	k->revision = revision;
}

/* Appends an empty write of a row to a commit. */
static table_write *commit_write(fx_commit *c, bstr key)
{
	u_int n = c->writes.writes_len++;
	table_write *w;

	c->writes.writes_val = xrealloc(c->writes.writes_val, n + 1,
					sizeof(*w));
	w = &c->writes.writes_val[n];
	memset(w, 0, sizeof(*w));
	w->key = bstr_copy(key);
	return w;
}

/* Adds the write of an encoded value to a commit. */
void commit_put(fx_commit *c, bstr key, xdrproc_t proc, const void *value)
{
	commit_write(c, key)->value = xdr_encode(proc, value);
}

/* Adds the write of a byte string to a commit. */
void commit_put_bytes(fx_commit *c, bstr key, bstr value)
{
	commit_write(c, key)->value = bstr_copy(value);
}

/* Adds the removal of a row to a commit. */
void commit_remove(fx_commit *c, bstr key)
{
	commit_write(c, key)->remove = TRUE;
}

/* Sends or resends a commit. */
static void commit_send(struct state *st, struct request *rq)
{
	effect *fx = effect_add(st, FX_COMMIT);

	rq->tries++;
	rq->resend_at = 0;
	rq->commit.req = rq->id;
	xdr_copy(XDR_PROC(xdr_fx_commit), &fx->effect_u.commit, &rq->commit,
		 sizeof(rq->commit));
}

/* Sends a commit, and keeps it for retries until its outcome is certain. */
uint64_t table_commit(struct state *st, enum request_kind kind, bstr name,
		      fx_commit *c, int64_t give_up_at)
{
	struct request *rq = request_new(st, kind, name);

	rq->commit = *c;
	rq->is_commit = true;
	rq->give_up_at = give_up_at;
	rq->commit.txid = bstr_printf("%.*s-%016llx-%llu", BSTR_ARG(st->vm),
				      (unsigned long long)st->incarnation,
				      (unsigned long long)rq->id);
	memset(c, 0, sizeof(*c));
	commit_send(st, rq);
	return rq->id;
}

/* Returns a row in an answer, or NULL if it is not included. */
const table_row *row_find(const ev_platform *ev, bstr key)
{
	u_int i;

	for (i = 0; i < ev->rows.rows_len; i++)
		if (bstr_eq(ev->rows.rows_val[i].key, key))
			return &ev->rows.rows_val[i];
	return NULL;
}

/* Returns the revision of a row in an answer, 0 if it is not included. */
uint64_t row_revision(const ev_platform *ev, bstr key)
{
	const table_row *r = row_find(ev, key);

	return r ? r->revision : 0;
}

/* Dispatches the final outcome of a request to its handler. */
static void request_finish(struct state *st, struct request *rq,
			   const ev_platform *ev)
{
	switch (rq->kind) {
	case REQ_MEMBER_RENEW:
		member_renewed(st, rq, ev);
		break;
	case REQ_MEMBER_READ:
		member_read(st, ev);
		break;
	case REQ_MEMBER_SCAN:
		member_scanned(st, rq, ev);
		break;
	case REQ_HEADS_READ:
		heads_read(st, rq, ev);
		break;
	case REQ_CONFIG_GET:
		config_got(st, rq, ev);
		break;
	case REQ_CHANGE_PUT:
		change_put(st, ev);
		break;
	case REQ_CHANGE_COMMIT:
		change_committed(st, rq, ev);
		break;
	case REQ_OP_OBJECT:
		op_object_got(st, rq, ev);
		break;
	case REQ_UNIT_READ:
		unit_read(st, rq, ev);
		break;
	case REQ_UNIT_CLAIM:
		unit_claimed(st, rq, ev);
		break;
	case REQ_UNIT_RELEASE:
		unit_released(st, rq, ev);
		break;
	case REQ_JOURNAL_SCAN:
		if (unit_find(st, rq->name))
			shard_scanned(st, unit_find(st, rq->name), ev);
		break;
	case REQ_JOURNAL_COMMIT:
		if (unit_find(st, rq->name))
			shard_committed(st, unit_find(st, rq->name), rq, ev);
		break;
	case REQ_JOURNAL_TRIM:
		if (unit_find(st, rq->name))
			shard_trimmed(st, unit_find(st, rq->name), ev);
		break;
	case REQ_BOOTS_READ:
		boots_read(st, rq, ev);
		break;
	case REQ_BOOTS_COMMIT:
		boots_committed(st, rq, ev);
		break;
	case REQ_ALLOWANCE_READ:
		allowance_read(st, rq, ev);
		break;
	case REQ_ALLOWANCE_COMMIT:
		allowance_committed(st, rq, ev);
		break;
	case REQ_VMS_SCAN:
		vms_scanned(st, rq, ev);
		break;
	case REQ_VMS_READ:
		vms_rows_read(st, rq, ev);
		break;
	case REQ_EDIT_READ:
		edit_read(st, rq, ev);
		break;
	case REQ_EDIT_COMMIT:
		edit_committed(st, rq, ev);
		break;
	case REQ_WAVES_SCAN:
		waves_scanned(st, ev);
		break;
	case REQ_WAVE_READ:
		wave_read(st, rq, ev);
		break;
	case REQ_WAVE_CHANGE:
		wave_changed(st, rq, ev);
		break;
	case REQ_WAVE_COMMIT:
		wave_committed(st, rq, ev);
		break;
	case REQ_VM_LIST:
		vms_listed(st, ev);
		break;
	case REQ_REBOOT:
	case REQ_MEMBER_REMOVE:
	case REQ_WATCH:
	case REQ_COMMAND:
		break;
	}
}

/* Records whether the platform answers, and logs when that changes. */
static void platform_record_answer(struct state *st, bool answered)
{
	if (answered)
		st->platform_answered_at = st->now;
	if (answered == st->platform_up)
		return;
	st->platform_up = answered;
	if (answered)
		effect_log(st, LOG_PLATFORM_BACK, "the platform answers");
	else
		effect_log(st, LOG_PLATFORM_DOWN, "a request was not answered");
}

/*
 * Schedules the next attempt of a commit with exponential backoff.  Half of the
 * delay is random, so that VMs that were cut off at the same time don't retry
 * at the same time.  A longer retry hint of the platform takes precedence.
 */
static void commit_schedule_resend(struct state *st, struct request *rq,
				   const ev_platform *ev)
{
	unsigned shift = rq->tries < 6 ? rq->tries : 6;
	uint64_t delay = (uint64_t)RESEND_FIRST_MS << shift;

	if (delay > RESEND_MAX_MS)
		delay = RESEND_MAX_MS;
	delay = delay / 2 + state_random(st, delay / 2 + 1);
	if (ev->retry_after_ms > delay)
		delay = ev->retry_after_ms;
	rq->resend_at = st->now + (int64_t)delay;
}

/*
 * Handles the outcome of an attempt of a commit.  Returns true if it is final:
 * certain, or given up.  Otherwise the commit is resent with the same
 * transaction id.  An attempt with an unknown outcome marks the commit as
 * uncertain for good, because it may still take effect after a later attempt
 * was refused.
 */
static bool commit_outcome(struct state *st, struct request *rq,
			   const ev_platform *ev)
{
	switch (ev->outcome) {
	case PLATFORM_OK:
		return true;
	case PLATFORM_CONFLICT:
		effect_count(st, COUNT_RETRY_PLATFORM_CONFLICT, 1);
		return true;
	case PLATFORM_REFUSED:
		effect_count(st, COUNT_RETRY_PLATFORM_REFUSED, 1);
		break;
	case PLATFORM_UNKNOWN:
	case PLATFORM_NOT_FOUND:
	case PLATFORM_INVALID:
		rq->uncertain = true;
		effect_count(st, COUNT_RETRY_PLATFORM_UNKNOWN, 1);
		break;
	}
	commit_schedule_resend(st, rq, ev);
	return rq->give_up_at && rq->resend_at >= rq->give_up_at;
}

/* Handles the platform's answer to a request, or that there was none. */
void platform_event(struct state *st, const ev_platform *ev)
{
	struct request *rq = request_find(st, ev->req);
	ev_platform final;

	platform_record_answer(st, ev->outcome == PLATFORM_OK ||
					   ev->outcome == PLATFORM_CONFLICT ||
					   ev->outcome == PLATFORM_NOT_FOUND ||
					   ev->retry_after_ms);
	if (!rq) {
		effect_count(st, COUNT_DROPPED_LATE, 1);
		return;
	}
	if (rq->is_commit && !commit_outcome(st, rq, ev))
		return;
	final = *ev;
	/* A refusal says nothing about an earlier attempt without an answer. */
	if (rq->uncertain && ev->outcome == PLATFORM_REFUSED)
		final.outcome = PLATFORM_UNKNOWN;
	request_finish(st, rq, &final);
	request_free(st, rq);
}

/* Resends the commits that are due. */
void requests_tick(struct state *st)
{
	struct request *rq, *next;

	HASH_ITER(hh, st->requests, rq, next) {
		if (rq->resend_at && st->now >= rq->resend_at)
			commit_send(st, rq);
	}
}
