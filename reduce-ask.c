#include "reduce.h"

#include <stdlib.h>
#include <string.h>

/*
 * Questions that one entry VM can't answer alone.  The VM that the operator
 * asked puts them to the others and joins what they say, so that a phone
 * call is one command, and it names those that did not answer.
 */
#define ASK_MS 1500
#define ASK_HOME_MS 4000

/* Make a question. */
static struct ask *ask_new(struct state *st, uint64_t call,
			   const op_request *rq, int64_t deadline)
{
	struct ask *a = xcalloc(1, sizeof(*a));

	a->id = ++st->next_serial;
	a->call = call;
	a->deadline = deadline;
	a->pending_vms = bstr_new(" ");
	xdr_copy(XDR_PROC(xdr_op_request), &a->request, rq, sizeof(*rq));
	TAILQ_INSERT_TAIL(&st->asks, a, entry);
	return a;
}

static void ask_free(struct state *st, struct ask *a)
{
	TAILQ_REMOVE(&st->asks, a, entry);
	xdr_free(XDR_PROC(xdr_op_request), (char *)&a->request);
	xdr_free(XDR_PROC(xdr_op_reply), (char *)&a->reply);
	bstr_free(&a->pending_vms);
	json_decref(a->body);
	free(a);
}

/* Free all. */
void asks_free(struct state *st)
{
	struct ask *a;

	while ((a = TAILQ_FIRST(&st->asks)))
		ask_free(st, a);
}

/* Put a question to a VM, this one among them. */
static void ask_send(struct state *st, struct ask *a, bstr vm)
{
	peer_message msg = {.kind = PM_OPERATE};
	bstr vms = bstr_printf("%.*s%.*s ", BSTR_ARG(a->pending_vms),
			       BSTR_ARG(vm));

	bstr_free(&a->pending_vms);
	a->pending_vms = vms;
	a->pending++;
	msg.peer_message_u.operate = (pm_operate){a->id, a->request};
	peer_send(st, vm, &msg);
}

/* Ask every entry VM that is alive. */
void ask_all(struct state *st, uint64_t call, const op_request *rq)
{
	struct ask *a = ask_new(st, call, rq, st->now + ASK_MS);
	struct member *m, *next;

	ask_send(st, a, st->vm);
	HASH_ITER(hh, st->members, m, next) {
		if (member_alive(m))
			ask_send(st, a, m->vm);
	}
}

/* Ask a job's home; false if that is this VM, or there is none. */
bool ask_home(struct state *st, uint64_t call, const op_request *rq)
{
	bstr id = rq->op_request_u.name, vm;
	struct unit *u = unit_of_shard(st, job_shard(id));
	bool elsewhere;

	if (!job_id_soft(id, &vm) && u && !unit_is_active(st, u))
		vm = bstr_copy(unit_choose(st, u));
	elsewhere = vm.bstr_len && !bstr_eq(vm, st->vm) && member_find(st, vm);
	if (elsewhere)
		ask_send(st, ask_new(st, call, rq, st->now + ASK_HOME_MS), vm);
	bstr_free(&vm);
	return elsewhere;
}

/* Which member names a row of an answer; NULL: rows are only put together. */
static const char *ask_key(op_kind kind)
{
	switch (kind) {
	case OP_TEAM_SHOW:
		return "team";
	case OP_VM_SHOW:
		return "vm";
	case OP_WAVE_SHOW:
		return "wave";
	default:
		return NULL;
	}
}

/*
 * Join two rows about the same thing: counts that each VM has a part of are
 * added; the state of a VM is best known to the owner of its cell, which
 * says more than "active".
 */
static void row_join(json_t *row, const json_t *other)
{
	static const char *const sums[] = {"running", "queued", "held"};
	const json_t *state = json_object_get(other, "state");
	const json_t *blocked = json_object_get(other, "blocked");
	const json_t *expected = json_object_get(other, "expected_ms");
	json_int_t n;
	size_t i;

	for (i = 0; i < NELEMS(sums); i++) {
		if (!json_object_get(row, sums[i]))
			continue;
		n = json_integer_value(json_object_get(row, sums[i])) +
		    json_integer_value(json_object_get(other, sums[i]));
		json_object_set_new(row, sums[i], json_integer(n));
	}
	if (json_is_string(state) &&
	    strcmp(json_string_value(state), "active") != 0)
		json_object_set(row, "state", (json_t *)state);
	/* What only the VM that runs a wave knows. */
	if (json_string_length(blocked))
		json_object_set(row, "blocked", (json_t *)blocked);
	if (expected)
		json_object_set(row, "expected_ms", (json_t *)expected);
}

/* Join a list of rows into another by the member that names them. */
static void rows_join(json_t *rows, const json_t *others, const char *key)
{
	json_t *other, *row, *match;
	size_t i, k;

	json_array_foreach((json_t *)others, i, other) {
		match = NULL;
		json_array_foreach(rows, k, row) {
			if (key && json_equal(json_object_get(row, key),
					      json_object_get(other, key)))
				match = row;
		}
		if (match)
			row_join(match, other);
		else
			json_array_append(rows, other);
	}
}

/* Join an answer to what has come so far. */
static void ask_join(struct ask *a, const op_reply *r)
{
	json_t *body = json_loadb(r->body.bstr_val ? r->body.bstr_val : "",
				  r->body.bstr_len, 0, NULL);

	if (!body)
		return;
	if (!a->body)
		a->body = json_incref(body);
	else if (json_is_array(a->body))
		rows_join(a->body, body, ask_key(a->request.kind));
	else
		rows_join(json_object_get(a->body, "owned"),
			  json_object_get(body, "owned"), NULL);
	json_decref(body);
}

/* Answer the operator with what there is. */
static void ask_finish(struct state *st, struct ask *a)
{
	char *missing = bstr_cstr(a->pending_vms), *detail, *reason;

	if (a->body) {
		detail = a->pending ? xasprintf("no answer from:%s", missing)
				    : xstrdup("");
		op_answer(st, a->call, OP_OK, a->pending ? "partial" : "",
			  detail, 0, json_incref(a->body));
	} else if (a->pending) {
		detail = xasprintf("no answer from:%s", missing);
		op_answer(st, a->call, OP_UNAVAILABLE, "no-answer", detail,
			  RETRY_AFTER_MS, NULL);
	} else {
		detail = bstr_cstr(a->reply.detail);
		reason = bstr_cstr(a->reply.reason);
		op_answer(st, a->call, a->reply.status, reason, detail,
			  a->reply.retry_after_ms, NULL);
		free(reason);
	}
	free(detail);
	free(missing);
	ask_free(st, a);
}

/* Strike a VM off those that have not answered; false: not among them. */
static bool ask_strike(struct ask *a, bstr vm)
{
	bstr name = bstr_printf(" %.*s ", BSTR_ARG(vm));
	char *at = memmem(a->pending_vms.bstr_val, a->pending_vms.bstr_len,
			  name.bstr_val, name.bstr_len);
	size_t rest;

	if (at) {
		rest = (size_t)(a->pending_vms.bstr_val +
				a->pending_vms.bstr_len - at) -
		       name.bstr_len;
		/* The space before the next name stays. */
		memmove(at + 1, at + name.bstr_len, rest);
		a->pending_vms.bstr_len -= name.bstr_len - 1;
		a->pending--;
	}
	bstr_free(&name);
	return at;
}

/* An entry VM has answered. */
void ask_answered(struct state *st, bstr from, const pm_op_reply *m)
{
	struct ask *a;

	TAILQ_FOREACH(a, &st->asks, entry)
		if (a->id == m->call)
			break;
	if (!a || !ask_strike(a, from)) {
		effect_count(st, COUNT_DROPPED_LATE, 1);
		return;
	}
	if (m->reply.status == OP_OK) {
		ask_join(a, &m->reply);
	} else {
		xdr_free(XDR_PROC(xdr_op_reply), (char *)&a->reply);
		xdr_copy(XDR_PROC(xdr_op_reply), &a->reply, &m->reply,
			 sizeof(a->reply));
	}
	if (!a->pending)
		ask_finish(st, a);
}

/* Answer what has waited long enough. */
void asks_tick(struct state *st)
{
	struct ask *a, *next;

	for (a = TAILQ_FIRST(&st->asks); a; a = next) {
		next = TAILQ_NEXT(a, entry);
		if (st->now >= a->deadline)
			ask_finish(st, a);
	}
}
