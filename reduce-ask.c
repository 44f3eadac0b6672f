/*
 * Operators' requests that one entry VM can't answer alone.  The VM that got
 * the request sends it to the others and merges their replies, so that the
 * operator needs only one command.  The answer names the VMs that did not
 * reply.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

#define ASK_ALL_TIMEOUT_MS 1500
#define ASK_HOME_TIMEOUT_MS 4000

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

void asks_free(struct state *st)
{
	struct ask *a;

	while ((a = TAILQ_FIRST(&st->asks)))
		ask_free(st, a);
}

/* Sends a request to a VM, which may be this one. */
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

/* Sends a request to all live entry VMs, this one included. */
void ask_all(struct state *st, uint64_t call, const op_request *rq)
{
	struct ask *a = ask_new(st, call, rq, st->now + ASK_ALL_TIMEOUT_MS);
	struct member *m, *next;

	ask_send(st, a, st->vm);
	HASH_ITER(hh, st->members, m, next) {
		if (member_alive(m))
			ask_send(st, a, m->vm);
	}
}

/*
 * Sends a request to a job's home.  Returns false if the home is this VM or is
 * not known.
 */
bool ask_home(struct state *st, uint64_t call, const op_request *rq)
{
	bstr id = rq->op_request_u.name, vm;
	struct unit *u = unit_of_shard(st, job_shard(id));
	bool elsewhere;

	if (!job_id_is_soft(id, &vm) && u && !unit_is_active(st, u))
		vm = bstr_copy(unit_choose(st, u));
	elsewhere = vm.bstr_len && !bstr_eq(vm, st->vm) && member_find(st, vm);
	if (elsewhere)
		ask_send(st,
			 ask_new(st, call, rq, st->now + ASK_HOME_TIMEOUT_MS),
			 vm);
	bstr_free(&vm);
	return elsewhere;
}

/*
 * Returns the member that identifies a row of a reply.  Rows with the same
 * value are merged.  NULL: rows are only concatenated.
 */
static const char *ask_row_key(op_kind kind)
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
 * Merges a row into another about the same object.  Counts of which each VM
 * reports a part are added.  A state other than "active" wins, because it comes
 * from the owner of the VM's cell, which knows the state best.
 */
static void row_merge(json_t *row, const json_t *other)
{
	static const char *const summed[] = {"running", "queued", "held"};
	const json_t *state = json_object_get(other, "state");
	const json_t *blocked = json_object_get(other, "blocked");
	const json_t *expected = json_object_get(other, "expected_ms");
	json_int_t n;
	size_t i;

	for (i = 0; i < NELEMS(summed); i++) {
		if (!json_object_get(row, summed[i]))
			continue;
		n = json_integer_value(json_object_get(row, summed[i])) +
		    json_integer_value(json_object_get(other, summed[i]));
		json_object_set_new(row, summed[i], json_integer(n));
	}
	if (json_is_string(state) &&
	    strcmp(json_string_value(state), "active") != 0)
		json_object_set(row, "state", (json_t *)state);
	/* Only the VM that runs a wave reports these. */
	if (json_string_length(blocked))
		json_object_set(row, "blocked", (json_t *)blocked);
	if (expected)
		json_object_set(row, "expected_ms", (json_t *)expected);
}

/* Merges a list of rows into another, matching rows by the member key. */
static void rows_merge(json_t *rows, const json_t *others, const char *key)
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
			row_merge(match, other);
		else
			json_array_append(rows, other);
	}
}

/* Merges a reply into those received so far. */
static void ask_merge(struct ask *a, const op_reply *r)
{
	json_t *body = json_loadb(r->body.bstr_val ? r->body.bstr_val : "",
				  r->body.bstr_len, 0, NULL);

	if (!body)
		return;
	if (!a->body)
		a->body = json_incref(body);
	else if (json_is_array(a->body))
		rows_merge(a->body, body, ask_row_key(a->request.kind));
	else
		rows_merge(json_object_get(a->body, "owned"),
			   json_object_get(body, "owned"), NULL);
	json_decref(body);
}

/* Answers the operator with the replies received so far. */
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

/*
 * Removes a VM from those that have not replied yet.  Returns false if it is
 * not one of them.
 */
static bool ask_remove_pending(struct ask *a, bstr vm)
{
	bstr name = bstr_printf(" %.*s ", BSTR_ARG(vm));
	char *at = memmem(a->pending_vms.bstr_val, a->pending_vms.bstr_len,
			  name.bstr_val, name.bstr_len);
	size_t rest;

	if (at) {
		rest = (size_t)(a->pending_vms.bstr_val +
				a->pending_vms.bstr_len - at) -
		       name.bstr_len;
		/* Keep one space between the names around it. */
		memmove(at + 1, at + name.bstr_len, rest);
		a->pending_vms.bstr_len -= name.bstr_len - 1;
		a->pending--;
	}
	bstr_free(&name);
	return at;
}

/* Handles an entry VM's reply. */
void ask_answered(struct state *st, bstr from, const pm_op_reply *m)
{
	struct ask *a;

	TAILQ_FOREACH(a, &st->asks, entry)
		if (a->id == m->call)
			break;
	if (!a || !ask_remove_pending(a, from)) {
		effect_count(st, COUNT_DROPPED_LATE, 1);
		return;
	}
	if (m->reply.status == OP_OK) {
		ask_merge(a, &m->reply);
	} else {
		xdr_free(XDR_PROC(xdr_op_reply), (char *)&a->reply);
		xdr_copy(XDR_PROC(xdr_op_reply), &a->reply, &m->reply,
			 sizeof(a->reply));
	}
	if (!a->pending)
		ask_finish(st, a);
}

/* Answers requests whose deadline has passed. */
void asks_tick(struct state *st)
{
	struct ask *a, *next;

	for (a = TAILQ_FIRST(&st->asks); a; a = next) {
		next = TAILQ_NEXT(a, entry);
		if (st->now >= a->deadline)
			ask_finish(st, a);
	}
}
