/*
 * Maintenance waves.  A wave's row lists its VMs with the step that each has
 * reached.  One entry VM runs the wave, chosen like the owner of a unit.  If
 * two run it for a while, the revision checks of the commits let only one of
 * them make each step.  The owner of a VM's cell drains, reboots and returns
 * the VM.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

#define WAVE_PREFIX "wave/"
#define WAVES_POLL_MS 2000
#define WAVE_CHANGE_MS 5000
/* Delay before the next drain after one that the budget did not allow. */
#define WAVE_REFUSED_MS 2000
/* Delay before the next drain after one that failed for another reason. */
#define WAVE_NEXT_MS 200
/*
 * A VM is reported as late if it is still draining this long after the
 * deadline of its drain, or has been out for longer than a reboot takes.
 */
#define WAVE_LATE_MS 30000
#define WAVE_REBOOT_MS 300000

static const char *const wave_state_names[] = {"planned", "running", "paused",
					       "cancelled", "finished"};
static const char *const step_names[] = {"waiting", "draining", "rebooting",
					 "done", "skipped"};

static void wave_free(struct state *st, struct wave *w)
{
	HASH_DEL(st->waves, w);
	xdr_free(XDR_PROC(xdr_wave_row), (char *)&w->row);
	bstr_free(&w->blocked);
	free(w);
}

static void wave_change_free(struct state *st, struct wave_change *c)
{
	TAILQ_REMOVE(&st->wave_changes, c, entry);
	xdr_free(XDR_PROC(xdr_op_request), (char *)&c->request);
	free(c);
}

void waves_free(struct state *st)
{
	struct wave *w, *next;
	struct wave_change *c;

	HASH_ITER(hh, st->waves, w, next)
		wave_free(st, w);
	while ((c = TAILQ_FIRST(&st->wave_changes)))
		wave_change_free(st, c);
}

static struct wave *wave_find(struct state *st, bstr name)
{
	struct wave *w;

	HASH_FIND_BSTR(st->waves, name, w);
	return w;
}

/* Returns the number of VMs of a wave that are done or skipped. */
static unsigned wave_count_done(const wave_row *row)
{
	unsigned n = 0;
	u_int i;

	for (i = 0; i < row->vms.vms_len; i++)
		n += row->vms.vms_val[i].step >= STEP_DONE;
	return n;
}

/* Adds or updates a wave from its row. */
static void wave_row_apply(struct state *st, const table_row *r)
{
	struct wave *w;
	wave_row row;

	if (!xdr_decode(XDR_PROC(xdr_wave_row), r->value, &row, sizeof(row))) {
		effect_log(st, LOG_JOURNAL_BAD, "%.*s", BSTR_ARG(r->key));
		return;
	}
	w = wave_find(st, row.wave);
	if (!w) {
		w = xcalloc(1, sizeof(*w));
	} else {
		HASH_DEL(st->waves, w);
		xdr_free(XDR_PROC(xdr_wave_row), (char *)&w->row);
	}
	w->row = row;
	w->revision = r->revision;
	w->marked = true;
	w->read_at = st->now;
	if (row.state != WAVE_RUNNING) {
		w->started_at = 0;
	} else if (!w->started_at) {
		w->started_at = st->now;
		w->done_at_start = wave_count_done(&row);
	}
	HASH_ADD_BSTR(st->waves, row.wave, w);
}

/* Handles a scan of all waves' rows; a wave without a row is removed. */
void waves_scanned(struct state *st, const ev_platform *ev)
{
	struct wave *w, *next;
	u_int i;

	st->waves_request = 0;
	if (ev->outcome != PLATFORM_OK)
		return;
	HASH_ITER(hh, st->waves, w, next)
		w->marked = w->in_flight;
	for (i = 0; i < ev->rows.rows_len; i++)
		wave_row_apply(st, &ev->rows.rows_val[i]);
	HASH_ITER(hh, st->waves, w, next) {
		if (!w->marked)
			wave_free(st, w);
	}
}

/* Writes a wave's row, provided that it is at a revision (0: is new). */
static void wave_write(struct state *st, enum request_kind kind, bstr name,
		       const wave_row *row, uint64_t revision)
{
	bstr key = bstr_printf(WAVE_PREFIX "%.*s", BSTR_ARG(row->wave));
	fx_commit c = {0};

	commit_check(&c, key, revision);
	commit_put(&c, key, XDR_PROC(xdr_wave_row), row);
	table_commit(st, kind, name, &c, st->now + WAVE_CHANGE_MS);
	bstr_free(&key);
}

/*
 * Handles the outcome of a wave's step: applies what the commit wrote.  The row
 * is read again in any case.
 */
void wave_committed(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct wave *w = wave_find(st, rq->name);
	const table_write *x = rq->commit.writes.writes_val;
	table_row r;

	if (w)
		w->in_flight = false;
	st->waves_poll_at = st->now;
	if (ev->outcome != PLATFORM_OK || !w)
		return;
	r = (table_row){x->key, row_revision(ev, x->key), x->value};
	wave_row_apply(st, &r);
}

/*
 * Handles the result of a drain.  If it was refused, records the reason and
 * retries later.  If the VM itself can't be drained now (OP_CONFLICT), the
 * search goes on soon with the next one.
 */
void wave_drained(struct state *st, bstr wave, bstr vm, op_status status,
		  const char *detail)
{
	struct wave *w = wave_find(st, wave);
	u_int i;

	if (!w)
		return;
	if (status == OP_OK) {
		bstr_free(&w->blocked);
		return;
	}
	w->next_drain_at = st->now + (status == OP_REFUSED ? WAVE_REFUSED_MS
							   : WAVE_NEXT_MS);
	for (i = 0; i < w->row.vms.vms_len && status == OP_CONFLICT; i++) {
		if (!bstr_eq(w->row.vms.vms_val[i].vm, vm))
			continue;
		w->next_index = i + 1;
	}
	if (!*detail)
		return;
	if (!bstr_eq_str(w->blocked, detail))
		effect_log(st, LOG_DRAIN_BLOCKED, "wave %.*s: %s",
			   BSTR_ARG(wave), detail);
	bstr_set(&w->blocked, bstr_lit(detail));
}

/*
 * Returns true if a wave has not yet recorded that a VM is done or skipped.  If
 * another wave drained the VM before that, this wave would record it as taken
 * away.
 */
bool wave_tracks_vm(struct state *st, bstr wave, bstr vm)
{
	struct wave *w = wave_find(st, wave);
	u_int i;

	for (i = 0; w && i < w->row.vms.vms_len; i++)
		if (bstr_eq(w->row.vms.vms_val[i].vm, vm))
			return w->row.vms.vms_val[i].step < STEP_DONE;
	return false;
}

/*
 * Returns the step that a VM of a wave has reached, as its row shows.  The row
 * continues to name the wave after the VM's reboot.  If another wave or an
 * operator has the VM now, its boot id tells whether it was rebooted before.
 */
static wave_step wave_vm_step(struct state *st, const struct wave *w,
			      const wave_vm *v)
{
	static const wave_step by_state[] = {[VM_ACTIVE] = STEP_DONE,
					     [VM_DRAINING] = STEP_DRAINING,
					     [VM_OUT] = STEP_REBOOTING};
	struct vm *vm = vm_find(st, v->vm);

	if (v->step == STEP_DONE || v->step == STEP_SKIPPED)
		return v->step;
	if (!vm || !bstr_eq(vm->row.pool, w->row.pool))
		return STEP_SKIPPED;
	if (bstr_eq(vm->row.wave, w->row.wave))
		return by_state[vm->row.state];
	if (v->step == STEP_WAITING)
		return STEP_WAITING;
	return v->boot.bstr_len && !bstr_eq(v->boot, vm->row.boot)
		       ? STEP_DONE
		       : STEP_SKIPPED;
}

/*
 * Updates a wave's row from its VMs' rows.  Returns true if it has changed.
 * The boot id of a VM is recorded when it is drained, to tell a reboot from an
 * operator's return.
 */
static bool wave_update_row(struct state *st, const struct wave *w,
			    wave_row *row)
{
	bool changed = false, open = false;
	wave_step at;
	u_int i;

	for (i = 0; i < row->vms.vms_len; i++) {
		wave_vm *v = &row->vms.vms_val[i];

		at = wave_vm_step(st, w, v);
		if (at == STEP_REBOOTING && at != v->step)
			bstr_set(&v->boot, vm_find(st, v->vm)->row.boot);
		changed = changed || at != v->step;
		v->step = at;
		open = open || at < STEP_DONE;
	}
	if (!open && row->state == WAVE_RUNNING) {
		row->state = WAVE_FINISHED;
		changed = true;
	}
	/* Stored in the row, so that every entry VM can show it. */
	if (row->state != WAVE_RUNNING)
		bstr_free(&row->blocked_reason);
	else if (!bstr_eq(row->blocked_reason, w->blocked)) {
		bstr_set(&row->blocked_reason, w->blocked);
		changed = true;
	}
	return changed;
}

/* Starts the drain of the next waiting VM, unless delayed. */
static void wave_drain_next(struct state *st, struct wave *w)
{
	u_int i, n = w->row.vms.vms_len;

	if (st->now < w->next_drain_at)
		return;
	for (i = 0; i < n; i++) {
		const wave_vm *v = &w->row.vms.vms_val[(w->next_index + i) % n];
		struct vm *vm = vm_find(st, v->vm);

		if (wave_vm_step(st, w, v) != STEP_WAITING || !vm ||
		    vm->row.state != VM_ACTIVE)
			continue;
		edit_wave(st, EDIT_WAVE_DRAIN, v->vm, w->row.wave,
			  w->row.deadline_ms);
		return;
	}
}

/* Has the VMs that a cancelled wave is still draining return to work. */
static void wave_return_draining(struct state *st, struct wave *w)
{
	u_int i;

	for (i = 0; i < w->row.vms.vms_len; i++) {
		const wave_vm *v = &w->row.vms.vms_val[i];

		if (wave_vm_step(st, w, v) == STEP_DRAINING)
			edit_wave(st, EDIT_WAVE_RETURN, v->vm, w->row.wave, 0);
	}
}

/* Returns true if this entry VM runs the wave. */
static bool wave_runs_here(struct state *st, const struct wave *w)
{
	struct unit as_unit = {.name = w->row.wave, .kind = UNIT_SHARD};

	return bstr_eq(unit_choose(st, &as_unit), st->vm);
}

/*
 * Advances a wave: records the progress of its VMs; if there is none, drains or
 * returns VMs.
 */
static void wave_advance(struct state *st, struct wave *w)
{
	wave_row row;

	if (w->in_flight || !wave_runs_here(st, w) ||
	    w->row.state == WAVE_PLANNED || w->row.state == WAVE_FINISHED)
		return;
	xdr_copy(XDR_PROC(xdr_wave_row), &row, &w->row, sizeof(row));
	/*
	 * VM rows older than the wave's row would show a VM that is being
	 * drained as one that was returned, and the wave would skip it.
	 */
	if (st->vms_current_at > w->read_at && wave_update_row(st, w, &row)) {
		w->in_flight = true;
		wave_write(st, REQ_WAVE_COMMIT, w->row.wave, &row, w->revision);
		if (row.state == WAVE_FINISHED)
			effect_log(st, LOG_WAVE_CHANGED, "%.*s finished",
				   BSTR_ARG(row.wave));
	} else if (w->row.state == WAVE_RUNNING) {
		wave_drain_next(st, w);
	} else if (w->row.state == WAVE_CANCELLED) {
		wave_return_draining(st, w);
	}
	xdr_free(XDR_PROC(xdr_wave_row), (char *)&row);
}

/* Scans the waves when due, expires requests, and runs this VM's waves. */
void waves_tick(struct state *st)
{
	struct wave_change *c, *cn;
	struct wave *w, *next;

	if (!st->waves_request && st->now >= st->waves_poll_at &&
	    st->config_known) {
		st->waves_request = table_scan(st, REQ_WAVES_SCAN, st->vm,
					       bstr_lit(WAVE_PREFIX));
		st->waves_poll_at = st->now + WAVES_POLL_MS;
	}
	for (c = TAILQ_FIRST(&st->wave_changes); c; c = cn) {
		cn = TAILQ_NEXT(c, entry);
		if (st->now < c->deadline)
			continue;
		op_answer(st, c->call, OP_UNAVAILABLE, "platform-unavailable",
			  "the wave could not be read; nothing was changed",
			  RETRY_AFTER_MS * 2, NULL);
		wave_change_free(st, c);
	}
	if (!lease_valid(st) || !st->vms_known || st->stopping)
		return;
	HASH_ITER(hh, st->waves, w, next)
		wave_advance(st, w);
}

/* Compares VMs by data centre, rack and name, so that racks drain in turn. */
static int vm_compare_rack(const void *a, const void *b)
{
	const struct vm *x = *(struct vm *const *)a;
	const struct vm *y = *(struct vm *const *)b;
	int c = bstr_cmp(x->row.dc, y->row.dc);

	if (!c)
		c = bstr_cmp(x->row.rack, y->row.rack);
	return c ? c : bstr_cmp(x->row.vm, y->row.vm);
}

/* Compares VMs by name only. */
static int vm_compare_name(const void *a, const void *b)
{
	return bstr_cmp((*(struct vm *const *)a)->row.vm,
			(*(struct vm *const *)b)->row.vm);
}

/* Fills in the VMs of a wave's pool, in the order in which to drain them. */
static void wave_list_vms(struct state *st, wave_row *row)
{
	struct vm **list, *v, *next;
	u_int n = 0, i;

	list = xcalloc(HASH_COUNT(st->vms), sizeof(struct vm *));
	HASH_ITER(hh, st->vms, v, next) {
		if (bstr_eq(v->row.pool, row->pool))
			list[n++] = v;
	}
	if (n)
		qsort(list, n, sizeof(struct vm *),
		      st->wave_policy == WAVE_BY_NAME ? vm_compare_name
						      : vm_compare_rack);
	row->vms.vms_val = xcalloc(n, sizeof(wave_vm));
	row->vms.vms_len = n;
	for (i = 0; i < n; i++)
		row->vms.vms_val[i].vm = bstr_copy(list[i]->row.vm);
	free(list);
}

/*
 * Sets the state that an operator's request leads to.  Returns false if the
 * request is not allowed in the current state.
 */
static bool wave_next_state(op_kind kind, wave_state from, wave_state *to)
{
	switch (kind) {
	case OP_WAVE_START:
		*to = WAVE_RUNNING;
		return from == WAVE_PLANNED;
	case OP_WAVE_PAUSE:
		*to = WAVE_PAUSED;
		return from == WAVE_RUNNING;
	case OP_WAVE_RESUME:
		*to = WAVE_RUNNING;
		return from == WAVE_PAUSED;
	case OP_WAVE_CANCEL:
		*to = WAVE_CANCELLED;
		return from < WAVE_CANCELLED;
	default:
		return false;
	}
}

/* Answers an operator's request to change a wave, and frees the request. */
static void wave_answer(struct state *st, struct wave_change *c,
			op_status status, const char *reason,
			const char *detail, json_t *body)
{
	op_answer(st, c->call, status, reason, detail,
		  status >= OP_UNAVAILABLE ? RETRY_AFTER_MS : 0, body);
	wave_change_free(st, c);
}

/* Creates a planned wave with the current VMs of its pool. */
static void wave_plan(struct state *st, struct wave_change *c, bstr id)
{
	const op_wave *o = &c->request.op_request_u.wave;
	wave_row row = {0};

	row.wave = bstr_copy(o->wave);
	row.pool = bstr_copy(o->pool);
	row.deadline_ms = o->deadline_ms;
	wave_list_vms(st, &row);
	if (row.vms.vms_len)
		wave_write(st, REQ_WAVE_CHANGE, id, &row, 0);
	else
		wave_answer(st, c, OP_REFUSED, "empty-pool",
			    "the pool has no VMs to maintain", NULL);
	xdr_free(XDR_PROC(xdr_wave_row), (char *)&row);
}

/* Returns an operator's change by the name of its request, or NULL if it ended.
 */
static struct wave_change *wave_change_find(struct state *st, bstr name)
{
	struct wave_change *c;
	uint64_t id = request_number(name);

	TAILQ_FOREACH(c, &st->wave_changes, entry)
		if (c->id == id)
			return c;
	return NULL;
}

/* Handles the read of the row that an operator wants to create or change. */
void wave_read(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct wave_change *c = wave_change_find(st, rq->name);
	const table_row *r;
	wave_row row;

	if (!c)
		return;
	r = ev->rows.rows_len ? &ev->rows.rows_val[0] : NULL;
	if (ev->outcome != PLATFORM_OK || !r) {
		wave_answer(st, c, OP_UNAVAILABLE, "platform-unavailable",
			    "nothing was changed", NULL);
	} else if (c->request.kind == OP_WAVE_PLAN) {
		if (r->revision)
			wave_answer(st, c, OP_CONFLICT, "exists",
				    "there is a wave of that name already",
				    NULL);
		else
			wave_plan(st, c, rq->name);
	} else if (!r->revision || !xdr_decode(XDR_PROC(xdr_wave_row), r->value,
					       &row, sizeof(row))) {
		wave_answer(st, c, OP_NOT_FOUND, "not-found",
			    "there is no wave of that name", NULL);
	} else {
		if (wave_next_state(c->request.kind, row.state, &row.state))
			wave_write(st, REQ_WAVE_CHANGE, rq->name, &row,
				   r->revision);
		else
			wave_answer(st, c, OP_CONFLICT, "wrong-state",
				    "the wave is not in a state for that: "
				    "see 'wave show'",
				    NULL);
		xdr_free(XDR_PROC(xdr_wave_row), (char *)&row);
	}
}

/* Handles the outcome of an operator's change of a wave. */
void wave_changed(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct wave_change *c = wave_change_find(st, rq->name);
	json_t *body;

	st->waves_poll_at = st->now;
	if (!c)
		return;
	switch (ev->outcome) {
	case PLATFORM_OK:
		effect_log(st, LOG_WAVE_CHANGED, "%.*s: operation %d",
			   BSTR_ARG(c->request.op_request_u.wave.wave),
			   (int)c->request.kind);
		body = json_object();
		json_set_str(body, "wave", c->request.op_request_u.wave.wave);
		json_object_set_new(body, "outcome", json_string("accepted"));
		wave_answer(st, c, OP_OK, "", "", body);
		break;
	case PLATFORM_CONFLICT:
		wave_answer(st, c, OP_CONFLICT, "raced",
			    "the wave moved on meanwhile: look, then ask "
			    "again",
			    NULL);
		break;
	case PLATFORM_REFUSED:
		wave_answer(st, c, OP_UNAVAILABLE, "platform-unavailable",
			    "nothing was changed", NULL);
		break;
	default:
		wave_answer(st, c, OP_UNKNOWN, "outcome-unknown",
			    "the change may have been made: show the wave "
			    "before you repeat it",
			    NULL);
		break;
	}
}

/* Handles an operator's request to create or change a wave. */
void op_wave_change(struct state *st, uint64_t call, const op_request *rq)
{
	const op_wave *o = &rq->op_request_u.wave;
	struct wave_change *c;
	bstr key, name;

	if (!bstr_is_name(o->wave, NAME_MAX_LEN)) {
		op_answer(st, call, OP_INVALID, "wave-name",
			  "expected a name of a-z 0-9 . _ -", 0, NULL);
		return;
	}
	if (rq->kind == OP_WAVE_PLAN &&
	    !config_find_pool(st->config, o->pool)) {
		op_not_found(st, call, "pool", o->pool);
		return;
	}
	c = xcalloc(1, sizeof(*c));
	c->id = ++st->next_serial;
	c->call = call;
	c->deadline = st->now + WAVE_CHANGE_MS + 1000;
	xdr_copy(XDR_PROC(xdr_op_request), &c->request, rq, sizeof(*rq));
	TAILQ_INSERT_TAIL(&st->wave_changes, c, entry);
	key = bstr_printf(WAVE_PREFIX "%.*s", BSTR_ARG(o->wave));
	name = request_name(c->id);
	table_read(st, REQ_WAVE_READ, name, &key, 1);
	bstr_free(&name);
	bstr_free(&key);
}

/* Returns true if the drain or the reboot of a VM takes too long. */
static bool wave_late(struct state *st, const struct wave *w, const wave_vm *x,
		      wave_step at)
{
	const struct vm *vm = vm_find(st, x->vm);
	int64_t max = at == STEP_DRAINING ? w->row.deadline_ms + WAVE_LATE_MS
					  : WAVE_REBOOT_MS;

	return vm && (at == STEP_DRAINING || at == STEP_REBOOTING) &&
	       st->now - vm->state_since > max;
}

/*
 * Returns a wave's progress, what blocks it and the estimated time to its end;
 * with steps also the step of each VM.
 */
static json_t *wave_json(struct state *st, const struct wave *w, bool steps)
{
	unsigned n[5] = {0}, done, left;
	json_t *o = json_object(), *list = json_array(), *late = json_array();
	json_t *v;
	u_int i;

	for (i = 0; i < w->row.vms.vms_len; i++) {
		const wave_vm *x = &w->row.vms.vms_val[i];
		wave_step at = wave_vm_step(st, w, x);

		n[at]++;
		v = json_object();
		json_set_str(v, "vm", x->vm);
		json_object_set_new(v, "step", json_string(step_names[at]));
		json_array_append_new(list, v);
		if (wave_late(st, w, x, at))
			json_array_append_new(late, bstr_to_json(x->vm));
	}
	done = n[STEP_DONE] + n[STEP_SKIPPED];
	left = w->row.vms.vms_len - done;
	json_set_str(o, "wave", w->row.wave);
	json_set_str(o, "pool", w->row.pool);
	json_object_set_new(o, "state",
			    json_string(wave_state_names[w->row.state]));
	json_set_int(o, "done", n[STEP_DONE]);
	json_set_int(o, "skipped", n[STEP_SKIPPED]);
	json_set_int(o, "out", n[STEP_DRAINING] + n[STEP_REBOOTING]);
	json_set_int(o, "waiting", n[STEP_WAITING]);
	json_set_str(o, "blocked", w->row.blocked_reason);
	json_object_set_new(o, "late", late);
	/* Estimated from the progress since this VM first saw it running. */
	if (w->row.state == WAVE_RUNNING && w->started_at &&
	    done > w->done_at_start)
		json_set_int(o, "expected_ms",
			     (uint64_t)(st->now - w->started_at) * left /
				     (done - w->done_at_start));
	if (steps)
		json_object_set_new(o, "vms", list);
	else
		json_decref(list);
	return o;
}

/* Shows one wave with its VMs, or a summary of all waves. */
void op_wave_show(struct state *st, uint64_t call, const op_request *rq)
{
	bstr name = rq->op_request_u.wave.wave;
	json_t *list = json_array();
	struct wave *w, *next;

	HASH_ITER(hh, st->waves, w, next) {
		if (!name.bstr_len || bstr_eq(name, w->row.wave))
			json_array_append_new(
				list, wave_json(st, w, name.bstr_len > 0));
	}
	if (name.bstr_len && !json_array_size(list)) {
		json_decref(list);
		op_not_found(st, call, "wave", name);
		return;
	}
	op_answer_ok(st, call, list);
}
