/*
 * Copies of the endpoint VMs' rows and of the platform's list of VMs.  The
 * row vms/head counts the changes of VM rows and names the latest ones, so a
 * poll reads one row while nothing changes, and a few rows otherwise.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

/*
 * A VM that is absent from the platform's list for this long is gone.  The
 * list lags behind, so a shorter absence says nothing.
 */
#define ABSENT_MS 15000

/* Returns an endpoint VM, or NULL if it has no row. */
struct vm *vm_find(struct state *st, bstr name)
{
	struct vm *v;

	HASH_FIND_BSTR(st->vms, name, v);
	return v;
}

static void vm_free(struct state *st, struct vm *v)
{
	HASH_DEL(st->vms, v);
	xdr_free(XDR_PROC(xdr_vm_row), (char *)&v->row);
	free(v);
}

/* Frees the copies of the VM rows and of the platform's list. */
void vms_free(struct state *st)
{
	struct vm_listing *l, *ln;
	struct vm *v, *vn;

	HASH_ITER(hh, st->vms, v, vn)
		vm_free(st, v);
	HASH_ITER(hh, st->vm_listings, l, ln) {
		HASH_DEL(st->vm_listings, l);
		bstr_free(&l->vm);
		free(l);
	}
}

/*
 * Updates the copy of a VM's row, unless the copy is as new; drops a gone VM.
 */
void vm_row_apply(struct state *st, const table_row *r)
{
	bstr name = bstr_ref(r->key.bstr_val + sizeof(VM_PREFIX) - 1,
			     r->key.bstr_len - (sizeof(VM_PREFIX) - 1));
	struct vm *v = vm_find(st, name);
	vm_row row;

	if (!r->revision) {
		if (v)
			vm_free(st, v);
		return;
	}
	if (v && r->revision <= v->revision) {
		v->marked = true;
		return;
	}
	if (!xdr_decode(XDR_PROC(xdr_vm_row), r->value, &row, sizeof(row))) {
		effect_log(st, LOG_JOURNAL_BAD, "%.*s", BSTR_ARG(r->key));
		return;
	}
	if (!v) {
		v = xcalloc(1, sizeof(*v));
	} else {
		HASH_DEL(st->vms, v);
		xdr_free(XDR_PROC(xdr_vm_row), (char *)&v->row);
	}
	/* xdr_free frees only what the row points to; state is still valid. */
	if (!v->revision || v->row.state != row.state)
		v->state_since = st->now;
	v->row = row;
	v->revision = r->revision;
	v->marked = true;
	HASH_ADD_BSTR(st->vms, row.vm, v);
}

/* Applies the VM rows that this VM's own commit wrote, without reading them. */
void vms_apply_committed(struct state *st, const struct request *rq,
			 const ev_platform *ev)
{
	const size_t n = sizeof(VM_PREFIX) - 1;
	table_row r;
	u_int i;

	for (i = 0; i < rq->commit.writes.writes_len; i++) {
		const table_write *w = &rq->commit.writes.writes_val[i];

		if (w->key.bstr_len < n ||
		    memcmp(w->key.bstr_val, VM_PREFIX, n) != 0)
			continue;
		r = (table_row){w->key, row_revision(ev, w->key), w->value};
		vm_row_apply(st, &r);
	}
}

/* Records that the copies match the head that the completed read covers. */
static void vms_set_current(struct state *st, const struct request *rq)
{
	st->vms_revision = st->vms_target_revision;
	st->vms_generation = st->vms_target_generation;
	st->vms_known = true;
	st->vms_current_at = rq->sent_at;
}

/* Reads all VM rows. */
static void vms_scan(struct state *st)
{
	st->vms_request = table_scan(st, REQ_VMS_SCAN, st->vm,
				     bstr_lit(VM_PREFIX));
}

/* Returns true if a change's VM has an entry before it in the recent list. */
static bool change_is_repeated(const vms_head *h, size_t index)
{
	size_t i;

	for (i = 0; i < index; i++)
		if (bstr_eq(h->recent.recent_val[i].vm,
			    h->recent.recent_val[index].vm))
			return true;
	return false;
}

/* Reads the rows that changed after the generation of the copies, each once. */
static void vms_read_recent(struct state *st, const vms_head *h)
{
	bstr keys[HEAD_RECENT_MAX] = {BSTR_NONE};
	size_t n = 0, i;

	for (i = 0; i < h->recent.recent_len && n < HEAD_RECENT_MAX; i++) {
		const vm_change *c = &h->recent.recent_val[i];

		if (c->generation > st->vms_generation &&
		    !change_is_repeated(h, i))
			keys[n++] = bstr_printf(VM_PREFIX "%.*s",
						BSTR_ARG(c->vm));
	}
	st->vms_request = table_read(st, REQ_VMS_READ, st->vm, keys, n);
	for (i = 0; i < n; i++)
		bstr_free(&keys[i]);
}

/*
 * Handles the read of the head: if it has changed, reads the changed rows, or
 * all if the head no longer names all changes since the copies.
 */
void vms_head_read(struct state *st, struct request *rq, const ev_platform *ev)
{
	const table_row *r = row_find(ev, bstr_lit(VMS_HEAD_KEY));
	vms_head h = {0};
	uint64_t oldest = 0;

	if (!r || st->vms_request)
		return;
	if (st->vms_known && r->revision == st->vms_revision) {
		st->vms_current_at = rq->sent_at;
		return;
	}
	if (r->revision &&
	    !xdr_decode(XDR_PROC(xdr_vms_head), r->value, &h, sizeof(h)))
		return;
	st->vms_target_revision = r->revision;
	st->vms_target_generation = h.generation;
	if (h.recent.recent_len)
		oldest =
			h.recent.recent_val[h.recent.recent_len - 1].generation;
	if (!r->revision)
		vms_set_current(st, rq);
	else if (st->vms_known && oldest <= st->vms_generation + 1)
		vms_read_recent(st, &h);
	else
		vms_scan(st);
	xdr_free(XDR_PROC(xdr_vms_head), (char *)&h);
}

/* Handles the read of the changed rows. */
void vms_rows_read(struct state *st, struct request *rq, const ev_platform *ev)
{
	u_int i;

	st->vms_request = 0;
	if (ev->outcome != PLATFORM_OK)
		return;
	for (i = 0; i < ev->rows.rows_len; i++)
		vm_row_apply(st, &ev->rows.rows_val[i]);
	vms_set_current(st, rq);
}

/* Handles a scan of all rows; a VM without a row is removed. */
void vms_scanned(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct vm *v, *next;
	u_int i;

	st->vms_request = 0;
	if (ev->outcome != PLATFORM_OK)
		return;
	HASH_ITER(hh, st->vms, v, next)
		v->marked = false;
	for (i = 0; i < ev->rows.rows_len; i++)
		vm_row_apply(st, &ev->rows.rows_val[i]);
	HASH_ITER(hh, st->vms, v, next) {
		if (!v->marked)
			vm_free(st, v);
	}
	vms_set_current(st, rq);
}

/*
 * Handles the platform's list of VMs.  It lags behind, so it only marks VMs as
 * leaving or absent.
 */
void vms_listed(struct state *st, const ev_platform *ev)
{
	struct vm_listing *l, *next;
	u_int i;

	st->vm_list_request = 0;
	if (ev->outcome != PLATFORM_OK)
		return;
	HASH_ITER(hh, st->vm_listings, l, next)
		l->marked = false;
	for (i = 0; i < ev->vms.vms_len; i++) {
		const listed_vm *v = &ev->vms.vms_val[i];

		HASH_FIND_BSTR(st->vm_listings, v->vm, l);
		if (!l) {
			l = xcalloc(1, sizeof(*l));
			l->vm = bstr_copy(v->vm);
			HASH_ADD_BSTR(st->vm_listings, vm, l);
		}
		l->marked = true;
		l->leaving = v->leaving;
		l->absent_at = 0;
	}
	HASH_ITER(hh, st->vm_listings, l, next) {
		if (!l->marked && !l->absent_at)
			l->absent_at = st->now;
	}
}

/* Returns true if the platform's list has a VM as leaving, or lost it. */
bool vm_leaving(struct state *st, bstr name)
{
	struct vm_listing *l;

	HASH_FIND_BSTR(st->vm_listings, name, l);
	return l && (l->leaving || l->absent_at);
}

/* Returns true if a VM that was in the list is absent for ABSENT_MS. */
bool vm_absent(struct state *st, bstr name)
{
	struct vm_listing *l;

	HASH_FIND_BSTR(st->vm_listings, name, l);
	return l && l->absent_at && st->now - l->absent_at >= ABSENT_MS;
}

/* Polls the platform's list of VMs when due. */
void vms_tick(struct state *st)
{
	struct request *rq;
	effect *fx;

	if (st->vm_list_request || st->now < st->vm_list_poll_at)
		return;
	st->vm_list_poll_at = st->now + st->list_poll_ms;
	rq = request_new(st, REQ_VM_LIST, st->vm);
	st->vm_list_request = rq->id;
	fx = effect_add(st, FX_VM_LIST);
	fx->effect_u.vm_list = rq->id;
}
