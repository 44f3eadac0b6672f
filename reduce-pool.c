/*
 * Changes to endpoint VMs' rows, requested by an operator, a wave or the owner
 * of the VM's cell.  An edit reads the rows of the VM, of its pool and the
 * head of the VM rows, checks the request against them, and writes them in
 * one atomic commit that fails if one of them has changed meanwhile.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

#define EDIT_TRIES 8
#define EDIT_TIMEOUT_MS 8000
#define EDIT_RETRY_MS 200

static void edit_free(struct state *st, struct edit *e)
{
	TAILQ_REMOVE(&st->edits, e, entry);
	xdr_free(XDR_PROC(xdr_op_request), (char *)&e->request);
	bstr_free(&e->vm);
	bstr_free(&e->pool);
	bstr_free(&e->boot_id);
	bstr_free(&e->wave);
	free(e);
}

void edits_free(struct state *st)
{
	struct edit *e;

	while ((e = TAILQ_FIRST(&st->edits)))
		edit_free(st, e);
}

/* Report the result of an edit to whoever requested it, and free the edit. */
static void edit_answer(struct state *st, struct edit *e, op_status status,
			const char *reason, const char *detail, uint32_t retry)
{
	json_t *body = NULL;

	if (status == OP_OK && strcmp(reason, "unchanged") != 0) {
		effect_log(st, LOG_POOL_CHANGED, "%.*s: %s", BSTR_ARG(e->vm),
			   reason);
		body = json_object();
		json_object_set_new(body, "vm", bstr_to_json(e->vm));
		json_object_set_new(body, "outcome", json_string(reason));
	}
	if (e->kind == EDIT_OPERATOR)
		op_answer(st, e->call, status, reason, detail, retry, body);
	else
		json_decref(body);
	if (e->kind == EDIT_WAVE_DRAIN)
		wave_drained(st, e->wave, e->vm, status, detail);
	if ((e->kind == EDIT_FAILED || e->kind == EDIT_RECOVERED) &&
	    (status == OP_OK || status == OP_NOT_FOUND))
		worker_health_recorded(st, e->vm, e->kind == EDIT_FAILED);
	edit_free(st, e);
}

/* Reads the rows that an edit depends on.  edit_read goes on from there. */
static void edit_start(struct state *st, struct edit *e)
{
	const op_vm *o = &e->request.op_request_u.vm;
	struct vm *v = vm_find(st, e->vm);
	bstr keys[3], name;

	if (v)
		bstr_set(&e->pool, v->row.pool);
	else if (e->kind == EDIT_OPERATOR)
		bstr_set(&e->pool, o->pool);
	keys[0] = bstr_printf(VM_PREFIX "%.*s", BSTR_ARG(e->vm));
	keys[1] = bstr_lit(VMS_HEAD_KEY);
	keys[2] = bstr_printf("pool/%.*s", BSTR_ARG(e->pool));
	name = request_name(e->id);
	table_read(st, REQ_EDIT_READ, name, keys, 3);
	e->in_flight = true;
	bstr_free(&keys[0]);
	bstr_free(&keys[2]);
	bstr_free(&name);
}

/* Allocates an edit of a VM's row. */
static struct edit *edit_new(struct state *st, enum edit_kind kind, bstr vm)
{
	struct edit *e = xcalloc(1, sizeof(*e));

	e->kind = kind;
	e->id = ++st->next_serial;
	e->vm = bstr_copy(vm);
	e->deadline = st->now + EDIT_TIMEOUT_MS;
	TAILQ_INSERT_TAIL(&st->edits, e, entry);
	return e;
}

/* Starts an operator's change of a VM, or refuses it without the platform. */
void edit_add(struct state *st, uint64_t call, const op_request *rq)
{
	struct edit *e;

	if (!st->vms_known || !lease_valid(st)) {
		op_answer(st, call, OP_UNAVAILABLE, "platform-unavailable",
			  "changes need the platform; nothing was changed",
			  RETRY_AFTER_MS * 2, NULL);
		return;
	}
	e = edit_new(st, EDIT_OPERATOR, rq->op_request_u.vm.vm);
	e->call = call;
	xdr_copy(XDR_PROC(xdr_op_request), &e->request, rq, sizeof(*rq));
	edit_start(st, e);
}

/* Returns true if an edit of this kind is in progress for a VM. */
static bool edit_in_progress(struct state *st, enum edit_kind kind, bstr vm)
{
	struct edit *e;

	TAILQ_FOREACH(e, &st->edits, entry)
		if (e->kind == kind && bstr_eq(e->vm, vm))
			return true;
	return false;
}

/*
 * Records what the owner of a VM's cell has observed, unless an edit of this
 * kind is in progress.
 */
void edit_vm(struct state *st, enum edit_kind kind, bstr vm, bstr boot)
{
	struct vm *v = vm_find(st, vm);
	struct edit *e;

	if (edit_in_progress(st, kind, vm))
		return;
	e = edit_new(st, kind, vm);
	e->boot_id = bstr_copy(boot);
	e->revision = v ? v->revision : 0;
	edit_start(st, e);
}

/*
 * Drains a VM for a wave or returns it from the wave, unless an edit of this
 * kind is in progress.
 */
void edit_wave(struct state *st, enum edit_kind kind, bstr vm, bstr wave,
	       uint32_t deadline_ms)
{
	struct edit *e;

	if (edit_in_progress(st, kind, vm))
		return;
	e = edit_new(st, kind, vm);
	e->wave = bstr_copy(wave);
	e->deadline_ms = deadline_ms;
	edit_start(st, e);
}

/* The rows of an edit, which of them to write, and the result. */
struct edit_rows {
	vm_row vm;
	uint64_t vm_revision;
	vms_head head;
	uint64_t head_revision;
	pool_row pool;
	uint64_t pool_revision;
	bool vm_write, vm_remove, pool_write;
	const char *reason;
	char *detail;
};

/*
 * Decodes the rows of an edit; a missing row is empty.  Returns false if they
 * could not be read or decoded.
 */
static bool edit_rows_decode(struct edit_rows *r, const ev_platform *ev)
{
	const table_row *t = ev->rows.rows_val;

	memset(r, 0, sizeof(*r));
	if (ev->outcome != PLATFORM_OK || ev->rows.rows_len != 3)
		return false;
	r->vm_revision = t[0].revision;
	r->head_revision = t[1].revision;
	r->pool_revision = t[2].revision;
	return (!t[0].revision || xdr_decode(XDR_PROC(xdr_vm_row), t[0].value,
					     &r->vm, sizeof(r->vm))) &&
	       (!t[1].revision || xdr_decode(XDR_PROC(xdr_vms_head), t[1].value,
					     &r->head, sizeof(r->head))) &&
	       (!t[2].revision || xdr_decode(XDR_PROC(xdr_pool_row), t[2].value,
					     &r->pool, sizeof(r->pool)));
}

static void edit_rows_free(struct edit_rows *r)
{
	xdr_free(XDR_PROC(xdr_vm_row), (char *)&r->vm);
	xdr_free(XDR_PROC(xdr_vms_head), (char *)&r->head);
	xdr_free(XDR_PROC(xdr_pool_row), (char *)&r->pool);
	free(r->detail);
}

/* Returns the index of a VM in its pool's list of out VMs, or -1. */
static int out_find(const pool_row *p, bstr vm)
{
	u_int i;

	for (i = 0; i < p->out_vms.out_vms_len; i++)
		if (bstr_eq(p->out_vms.out_vms_val[i].vm, vm))
			return (int)i;
	return -1;
}

/* Adds a VM to its pool's out VMs; if it is listed, updates the reason. */
static void out_add(struct edit_rows *r, bstr vm, out_reason reason)
{
	pool_row *p = &r->pool;
	u_int n = p->out_vms.out_vms_len;
	int i = out_find(p, vm);

	if (i >= 0) {
		r->pool_write = r->pool_write ||
				p->out_vms.out_vms_val[i].reason != reason;
		p->out_vms.out_vms_val[i].reason = reason;
		return;
	}
	p->out_vms.out_vms_val = xrealloc(p->out_vms.out_vms_val, n + 1,
					  sizeof(pool_out_vm));
	p->out_vms.out_vms_val[n] = (pool_out_vm){bstr_copy(vm), reason};
	p->out_vms.out_vms_len++;
	r->pool_write = true;
}

/* Returns true if a VM is out because its worker failed. */
static bool out_failed(const pool_row *p, bstr vm)
{
	int i = out_find(p, vm);

	return i >= 0 && p->out_vms.out_vms_val[i].reason == OUT_FAILED;
}

/* Removes a VM from its pool's out VMs. */
static void out_remove(struct edit_rows *r, bstr vm)
{
	pool_row *p = &r->pool;
	int i = out_find(p, vm);

	if (i < 0)
		return;
	bstr_free(&p->out_vms.out_vms_val[i].vm);
	p->out_vms.out_vms_val[i] =
		p->out_vms.out_vms_val[--p->out_vms.out_vms_len];
	r->pool_write = true;
}

/* Sets the result of a refused edit.  Takes ownership of detail. */
static op_status edit_refuse(struct edit_rows *r, op_status status,
			     const char *reason, char *detail)
{
	r->reason = reason;
	r->detail = detail;
	return status;
}

/* Returns true if a pool includes a data centre. */
static bool pool_in_dc(const struct pool *p, bstr dc)
{
	size_t i;

	for (i = 0; p && i < p->dc_count; i++)
		if (bstr_eq(p->dcs[i], dc))
			return true;
	return false;
}

/* Adds a VM to a pool. */
static op_status edit_add_vm(struct state *st, const op_vm *o,
			     struct edit_rows *r)
{
	struct pool *p = config_find_pool(st->config, o->pool);
	vm_row *v = &r->vm;

	if (r->vm_revision)
		return edit_refuse(r, OP_CONFLICT, "exists",
				   xasprintf("%.*s is in pool %.*s already",
					     BSTR_ARG(o->vm),
					     BSTR_ARG(v->pool)));
	if (!p)
		return edit_refuse(r, OP_NOT_FOUND, "not-found",
				   xasprintf("there is no pool '%.*s'",
					     BSTR_ARG(o->pool)));
	if (!pool_in_dc(p, o->dc))
		return edit_refuse(
			r, OP_INVALID, "wrong-dc",
			xasprintf("pool %.*s is not in data centre '%.*s'",
				  BSTR_ARG(o->pool), BSTR_ARG(o->dc)));
	v->vm = bstr_copy(o->vm);
	v->pool = bstr_copy(o->pool);
	v->dc = bstr_copy(o->dc);
	v->rack = bstr_copy(o->rack);
	v->address = bstr_copy(o->address);
	v->slots = o->slots;
	v->cpu_milli = o->cpu_milli;
	v->memory_mb = o->memory_mb;
	v->accelerators = o->accelerators;
	r->vm_write = true;
	r->reason = "added";
	return OP_OK;
}

/*
 * Begins to drain a VM, to take it out or to move it to another pool.  The VM
 * must fit into its pool's availability budget, unless it counts as out already
 * because it has failed.
 */
static op_status edit_drain(struct state *st, const op_vm *o, bool move,
			    struct edit_rows *r)
{
	struct pool *p = config_find_pool(st->config, r->vm.pool);
	struct pool *to = move ? config_find_pool(st->config, o->pool) : NULL;
	uint32_t out = r->pool.out_vms.out_vms_len;

	if (move && !pool_in_dc(to, r->vm.dc))
		return edit_refuse(
			r, OP_INVALID, "wrong-pool",
			xasprintf("there is no pool '%.*s' in data centre "
				  "%.*s",
				  BSTR_ARG(o->pool), BSTR_ARG(r->vm.dc)));
	if (r->vm.state == VM_OUT && r->vm.wave.bstr_len && !move) {
		bstr_free(&r->vm.wave);
		r->vm_write = true;
		r->reason = "out-of-wave";
		return OP_OK;
	}
	if (r->vm.state != VM_ACTIVE)
		return edit_refuse(r, OP_CONFLICT, "not-active",
				   xasprintf("%.*s is draining or out already",
					     BSTR_ARG(o->vm)));
	if (out_find(&r->pool, o->vm) < 0 && p && out >= p->budget) {
		effect_count(st, COUNT_REFUSED_BUDGET, 1);
		effect_log(st, LOG_DRAIN_BLOCKED,
			   "%.*s: %u of pool %.*s are out, its budget is %u",
			   BSTR_ARG(o->vm), out, BSTR_ARG(r->vm.pool),
			   p->budget);
		return edit_refuse(
			r, OP_REFUSED, "availability-budget",
			xasprintf("%u VMs of pool %.*s are out, its budget is "
				  "%u; return one, or raise the budget",
				  out, BSTR_ARG(r->vm.pool), p->budget));
	}
	r->vm.state = VM_DRAINING;
	r->vm.deadline_ms = o->deadline_ms;
	bstr_free(&r->vm.wave);
	if (move)
		bstr_set(&r->vm.target_pool, o->pool);
	if (!out_failed(&r->pool, o->vm))
		out_add(r, o->vm, OUT_DRAIN);
	r->vm_write = true;
	r->reason = move ? "moving" : "draining";
	return OP_OK;
}

/*
 * Makes a VM active again.  One that has failed stays counted as out until its
 * worker answers; otherwise another VM could use its part of the budget while
 * it is still down.
 */
static op_status edit_return(struct edit_rows *r)
{
	if (r->vm.state == VM_ACTIVE)
		return edit_refuse(r, OP_CONFLICT, "active",
				   xstrdup("it is at work already"));
	r->vm.state = VM_ACTIVE;
	bstr_free(&r->vm.target_pool);
	if (!out_failed(&r->pool, r->vm.vm))
		out_remove(r, r->vm.vm);
	r->vm_write = true;
	r->reason = "returned";
	return OP_OK;
}

/*
 * Returns a VM to work for an operator.  While a wave has it out, the platform
 * may already have been asked to reboot it, which would kill the tasks that it
 * is given on its return.  It has to be taken out of the wave first.
 */
static op_status edit_operator_return(struct edit_rows *r)
{
	if (r->vm.state == VM_OUT && r->vm.wave.bstr_len)
		return edit_refuse(
			r, OP_REFUSED, "rebooting",
			xasprintf("wave %.*s reboots it; 'vm drain' takes it "
				  "out of the wave, then return it",
				  BSTR_ARG(r->vm.wave)));
	bstr_free(&r->vm.wave);
	return edit_return(r);
}

/* Handles that a worker which was counted as failed answers again. */
static op_status edit_recovered(struct edit_rows *r)
{
	r->reason = "recovered";
	if (!out_failed(&r->pool, r->vm.vm))
		return OP_OK;
	if (r->vm.state == VM_ACTIVE)
		out_remove(r, r->vm.vm);
	else
		out_add(r, r->vm.vm, OUT_DRAIN);
	return OP_OK;
}

/*
 * Returns the largest number of available VMs in one rack of a pool, not
 * counting the VM except.  The pool's row tells which VMs are out: this VM's
 * copy of the VM rows may be a second old, and would make a rack look emptier
 * than it is.
 */
static uint32_t largest_rack(struct state *st, const vm_row *except,
			     const pool_row *p)
{
	struct vm **list = xcalloc(HASH_COUNT(st->vms) + 1,
				   sizeof(struct vm *));
	struct vm *v, *next;
	uint32_t n = 0, in_rack, max = 0, i, k;

	HASH_ITER(hh, st->vms, v, next) {
		if (bstr_eq(v->row.pool, except->pool) &&
		    v->row.state == VM_ACTIVE &&
		    !bstr_eq(v->row.vm, except->vm) &&
		    out_find(p, v->row.vm) < 0)
			list[n++] = v;
	}
	for (i = 0; i < n; i++) {
		in_rack = 0;
		for (k = 0; k < n; k++)
			in_rack += bstr_eq(list[k]->row.rack,
					   list[i]->row.rack) &&
				   bstr_eq(list[k]->row.dc, list[i]->row.dc);
		if (in_rack > max)
			max = in_rack;
	}
	free(list);
	return max;
}

/*
 * Drains a VM for a wave.  While its VMs are out, a wave keeps enough of the
 * budget free for the loss of the largest rack.  If the budget is too small for
 * the loss of a rack at all, the wave drains one VM at a time, and only while
 * no other VM is out.  A failed VM can't be drained, so it waits until it has
 * recovered.
 */
static op_status edit_wave_drain(struct state *st, struct edit *e,
				 struct edit_rows *r)
{
	struct pool *p = config_find_pool(st->config, r->vm.pool);
	uint32_t out = r->pool.out_vms.out_vms_len;
	uint32_t largest = largest_rack(st, &r->vm, &r->pool);
	uint32_t budget = p ? p->budget : 0;
	bool room;

	/* The copy of the VM rows must match the head that was just read. */
	if (r->head.generation != st->vms_generation)
		return edit_refuse(r, OP_UNAVAILABLE, "stale", NULL);
	room = budget > largest ? out + 1 + largest <= budget : budget && !out;

	if (r->vm.state != VM_ACTIVE || bstr_eq(r->vm.wave, e->wave) ||
	    wave_tracks_vm(st, r->vm.wave, e->vm))
		return edit_refuse(r, OP_CONFLICT, "not-active", NULL);
	if (out_failed(&r->pool, e->vm))
		return edit_refuse(r, OP_CONFLICT, "failed",
				   xasprintf("%.*s has failed; it is drained "
					     "when it is back",
					     BSTR_ARG(e->vm)));
	if (st->wave_policy != WAVE_ROOM_FOR_RACK)
		room = out < budget;
	if (!room)
		return edit_refuse(
			r, OP_REFUSED, "availability-budget",
			xasprintf("%u VMs of pool %.*s are out and a rack of "
				  "%u may fail; its budget is %u",
				  out, BSTR_ARG(r->vm.pool), largest, budget));
	r->vm.state = VM_DRAINING;
	r->vm.deadline_ms = e->deadline_ms;
	bstr_set(&r->vm.wave, e->wave);
	out_add(r, e->vm, OUT_DRAIN);
	r->vm_write = true;
	r->reason = "draining";
	return OP_OK;
}

/*
 * Returns a VM to work after its reboot by a wave.  Its row continues to name
 * the wave, so that the entry VM that runs the wave next knows that it is done.
 */
static op_status edit_rebooted(struct edit *e, struct edit_rows *r)
{
	if (r->vm.state != VM_OUT || !r->vm.wave.bstr_len ||
	    bstr_eq(r->vm.boot, e->boot_id))
		return edit_refuse(r, OP_CONFLICT, "not-rebooting", NULL);
	bstr_set(&r->vm.boot, e->boot_id);
	return edit_return(r);
}

/*
 * Returns to work a VM that a cancelled wave was draining.  One that is drained
 * already may be rebooting; it returns after the reboot.
 */
static op_status edit_wave_return(struct edit *e, struct edit_rows *r)
{
	if (!bstr_eq(r->vm.wave, e->wave) || r->vm.state != VM_DRAINING)
		return edit_refuse(r, OP_CONFLICT, "not-in-wave", NULL);
	bstr_free(&r->vm.wave);
	return edit_return(r);
}

/* Removes a VM from the fleet.  It must be out, or have failed. */
static op_status edit_remove_vm(struct edit_rows *r)
{
	if (r->vm.state != VM_OUT && !out_failed(&r->pool, r->vm.vm))
		return edit_refuse(r, OP_REFUSED, "in-use",
				   xstrdup("drain it first: it may run tasks"));
	out_remove(r, r->vm.vm);
	r->vm_remove = true;
	r->reason = "removed";
	return OP_OK;
}

/*
 * Completes the drain of an empty VM: it is out, or active in its new pool. The
 * VM was seen empty under a certain revision of its row.  If the row has
 * changed since, the VM may have been given tasks in between, even if it is
 * draining again.
 */
static op_status edit_drained(struct edit *e, struct edit_rows *r)
{
	if (r->vm.state != VM_DRAINING || r->vm_revision != e->revision)
		return edit_refuse(r, OP_CONFLICT, "not-draining", NULL);
	r->vm_write = true;
	bstr_set(&r->vm.boot, e->boot_id);
	if (!r->vm.target_pool.bstr_len) {
		r->vm.state = VM_OUT;
		r->reason = "drained";
		return OP_OK;
	}
	bstr_free(&r->vm.pool);
	r->vm.pool = r->vm.target_pool;
	r->vm.target_pool = BSTR_NONE;
	r->vm.state = VM_ACTIVE;
	out_remove(r, r->vm.vm);
	r->reason = "moved";
	return OP_OK;
}

/* Applies an edit to the rows that were read. */
static op_status edit_apply(struct state *st, struct edit *e,
			    struct edit_rows *r)
{
	const op_vm *o = &e->request.op_request_u.vm;

	if (!r->vm_revision &&
	    (e->kind != EDIT_OPERATOR || e->request.kind != OP_VM_ADD))
		return edit_refuse(
			r, OP_NOT_FOUND, "not-found",
			xasprintf("there is no VM '%.*s'", BSTR_ARG(e->vm)));
	switch (e->kind) {
	case EDIT_DRAINED:
		return edit_drained(e, r);
	case EDIT_FAILED:
		out_add(r, e->vm, OUT_FAILED);
		r->reason = "failed";
		return OP_OK;
	case EDIT_RECOVERED:
		return edit_recovered(r);
	case EDIT_REBOOTED:
		return edit_rebooted(e, r);
	case EDIT_WAVE_DRAIN:
		return edit_wave_drain(st, e, r);
	case EDIT_WAVE_RETURN:
		return edit_wave_return(e, r);
	case EDIT_OPERATOR:
		break;
	}
	switch (e->request.kind) {
	case OP_VM_ADD:
		return edit_add_vm(st, o, r);
	case OP_VM_MOVE:
		return edit_drain(st, o, true, r);
	case OP_VM_DRAIN:
		return edit_drain(st, o, false, r);
	case OP_VM_RETURN:
		return edit_operator_return(r);
	case OP_VM_REMOVE:
		return edit_remove_vm(r);
	default:
		return edit_refuse(r, OP_INVALID, "unsupported", NULL);
	}
}

/* Adds a VM to the head's recent changes, so that all VMs read its row. */
static void head_add_change(vms_head *h, bstr vm)
{
	vm_change *list = h->recent.recent_val;
	u_int n = h->recent.recent_len;

	h->generation++;
	list = xrealloc(list, n + 1, sizeof(*list));
	if (n)
		memmove(list + 1, list, n * sizeof(*list));
	list[0] = (vm_change){h->generation, bstr_copy(vm)};
	h->recent.recent_val = list;
	h->recent.recent_len = n + 1;
	while (h->recent.recent_len > HEAD_RECENT_MAX)
		bstr_free(&list[--h->recent.recent_len].vm);
}

/*
 * Commits an edit atomically: the rows of the VM and its pool, and the head if
 * the VM's row changes.
 */
static void edit_commit(struct state *st, struct edit *e, struct edit_rows *r)
{
	bstr vm = bstr_printf(VM_PREFIX "%.*s", BSTR_ARG(e->vm));
	bstr pool = bstr_printf("pool/%.*s", BSTR_ARG(e->pool));
	bstr name = request_name(e->id);
	fx_commit c = {0};

	commit_check(&c, vm, r->vm_revision);
	commit_check(&c, pool, r->pool_revision);
	if (r->pool_write)
		commit_put(&c, pool, XDR_PROC(xdr_pool_row), &r->pool);
	if (r->vm_write || r->vm_remove) {
		commit_check(&c, bstr_lit(VMS_HEAD_KEY), r->head_revision);
		head_add_change(&r->head, e->vm);
		commit_put(&c, bstr_lit(VMS_HEAD_KEY), XDR_PROC(xdr_vms_head),
			   &r->head);
	}
	if (r->vm_write)
		commit_put(&c, vm, XDR_PROC(xdr_vm_row), &r->vm);
	if (r->vm_remove)
		commit_remove(&c, vm);
	table_commit(st, REQ_EDIT_COMMIT, name, &c, e->deadline);
	bstr_free(&name);
	bstr_free(&pool);
	bstr_free(&vm);
}

/* Returns an edit by the name of its request, or NULL if it has ended. */
static struct edit *edit_find(struct state *st, bstr name)
{
	struct edit *e;
	uint64_t id = request_number(name);

	TAILQ_FOREACH(e, &st->edits, entry)
		if (e->id == id)
			return e;
	return NULL;
}

/*
 * Has an edit retried from the start after a delay, or gives it up.  An edit
 * that no operator requested is dropped after the delay instead: whoever
 * requested it does so again if there still is reason to.
 */
static void edit_retry(struct state *st, struct edit *e)
{
	e->in_flight = false;
	e->retry_at = st->now + EDIT_RETRY_MS +
		      (int64_t)state_random(st, EDIT_RETRY_MS);
	if (++e->tries >= EDIT_TRIES && e->kind == EDIT_OPERATOR)
		edit_answer(st, e, OP_UNAVAILABLE, "platform-unavailable",
			    "nothing was changed", RETRY_AFTER_MS * 2);
}

/* Handles the rows of an edit: checks it against them and commits it. */
void edit_read(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct edit *e = edit_find(st, rq->name);
	const char *reason;
	struct edit_rows r;
	op_status status;

	if (!e)
		return;
	if (!edit_rows_decode(&r, ev)) {
		edit_rows_free(&r);
		edit_retry(st, e);
		return;
	}
	/* The VM has moved to another pool: read that pool's row instead. */
	if (r.vm_revision && !bstr_eq(r.vm.pool, e->pool)) {
		vm_row_apply(st, &ev->rows.rows_val[0]);
		edit_rows_free(&r);
		edit_retry(st, e);
		return;
	}
	/* It may have been given tasks since, by a later owner of the cell. */
	if (e->kind == EDIT_DRAINED && !worker_is_empty(st, e->vm)) {
		edit_rows_free(&r);
		edit_retry(st, e);
		return;
	}
	status = edit_apply(st, e, &r);
	reason = r.reason ? r.reason : "unchanged";
	if (status != OP_OK)
		edit_answer(st, e, status, reason, r.detail ? r.detail : "", 0);
	else if (r.vm_write || r.vm_remove || r.pool_write) {
		e->reason = reason;
		edit_commit(st, e, &r);
	} else
		edit_answer(st, e, OP_OK, "unchanged", "", 0);
	edit_rows_free(&r);
}

/* Handles the outcome of an edit's commit. */
void edit_committed(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct edit *e = edit_find(st, rq->name);

	if (!e)
		return;
	switch (ev->outcome) {
	case PLATFORM_OK:
		st->heads_poll_at = st->now;
		vms_apply_committed(st, rq, ev);
		edit_answer(st, e, OP_OK, e->reason, "", 0);
		break;
	case PLATFORM_CONFLICT:
		edit_retry(st, e);
		break;
	case PLATFORM_REFUSED:
		edit_answer(st, e, OP_UNAVAILABLE, "platform-unavailable",
			    "nothing was changed", RETRY_AFTER_MS * 2);
		break;
	default:
		edit_answer(st, e, OP_UNKNOWN, "outcome-unknown",
			    "the change may have been made: show the VM "
			    "before you repeat it",
			    RETRY_AFTER_MS * 2);
		break;
	}
}

/* Restarts the edits that are due, and gives up those past their deadline. */
void edits_tick(struct state *st)
{
	struct edit *e, *next;

	for (e = TAILQ_FIRST(&st->edits); e; e = next) {
		next = TAILQ_NEXT(e, entry);
		if (e->in_flight)
			continue;
		if (st->now >= e->deadline)
			edit_answer(st, e, OP_UNAVAILABLE,
				    "platform-unavailable",
				    "nothing was changed", RETRY_AFTER_MS * 2);
		else if (st->now >= e->retry_at && e->kind != EDIT_OPERATOR)
			edit_free(st, e);
		else if (st->now >= e->retry_at)
			edit_start(st, e);
	}
}
