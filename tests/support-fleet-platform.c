/*
 * The simulated platform: table, object store and list of VMs, the requests to
 * them, and the invariants of what is written to the table.
 */
#include "support-fleet-state.h"

#include "../config.h"

/* Timeout of the edge for a request to the platform. */
#define PLATFORM_TIMEOUT_MS 1000

/* Appends a change of a limit, unless its value stays the same. */
static void limit_record(struct limit_change *l, unsigned *n, int64_t now,
			 unsigned amount)
{
	if (*n && l[*n - 1].amount == amount)
		return;
	if (*n < LIMIT_CHANGES_MAX)
		l[(*n)++] = (struct limit_change){now, amount};
}

/* Returns in how many places two documents differ. */
static size_t doc_changes(const json_t *from, const json_t *to)
{
	json_t *d = config_diff(from, to);
	size_t n = json_array_size(d);

	json_decref(d);
	return n;
}

/* Records the limits and budgets of a document that takes effect now. */
static void limits_record(struct fleet *f, const json_t *doc)
{
	unsigned i;

	for (i = 0; i < FLEET_TEAMS; i++)
		limit_record(
			f->limits[i], &f->limit_count[i], f->now,
			(unsigned)json_integer_value(json_object_get(
				json_object_get(json_object_get(doc, "teams"),
						fleet_team_names[i]),
				"limit")));
	for (i = 0; i < POOLS; i++)
		limit_record(
			f->budgets[i], &f->budget_count[i], f->now,
			(unsigned)json_integer_value(json_object_get(
				json_object_get(json_object_get(doc, "pools"),
						fleet_pool_names[i]),
				"budget")));
}

/*
 * Checks a write of the configuration's head.  It must name a stored object,
 * have the next revision and differ from the last one in one place: each
 * request changes one, so that more would undo an accepted change.
 */
void fleet_head_check(struct fleet *f, bstr value)
{
	json_t *head = json_loadb(value.bstr_val, value.bstr_len, 0, NULL);
	uint64_t revision = (uint64_t)json_integer_value(
		json_object_get(head, "revision"));
	bstr name = bstr_from_json(json_object_get(head, "object"));
	struct fake_row *o = fake_row_get(f->table.objects, name);
	json_t *doc = o ? json_loadb(o->value.bstr_val, o->value.bstr_len, 0,
				     NULL)
			: NULL;

	if (!doc)
		VIOLATION(f, "config: the head names no object: %.*s (%.*s)",
			  BSTR_ARG(name), o ? (int)o->value.bstr_len : 4,
			  o ? o->value.bstr_val : "none");
	else if (f->doc && revision != f->revision + 1)
		VIOLATION(f, "config: revision %llu follows %llu",
			  (unsigned long long)revision,
			  (unsigned long long)f->revision);
	else if (f->doc && doc_changes(f->doc, doc) > 1)
		VIOLATION(f, "config: revision %llu undoes an accepted change",
			  (unsigned long long)revision);
	if (doc) {
		limits_record(f, doc);
		json_decref(f->doc);
		f->doc = doc;
		f->revision = revision;
	}
	bstr_free(&name);
	json_decref(head);
}

/*
 * Checks a write of a VM's row: a worker that changes its pool or is out must
 * not run tasks.
 */
static void check_vm(struct fleet *f, bstr value)
{
	struct fake_worker *w;
	vm_row row;
	unsigned pool, i;

	if (!xdr_decode(XDR_PROC(xdr_vm_row), value, &row, sizeof(row)))
		return;
	w = &f->workers[fleet_worker_index(row.vm)];
	pool = fleet_name_index(row.pool, fleet_pool_names, POOLS);
	if (row.state != w->state)
		w->state_at = f->now;
	for (i = 0; i < TASKS_MAX; i++)
		if ((pool != w->pool || row.state == VM_OUT) &&
		    w->tasks[i].used && w->tasks[i].state == TASK_RUNNING)
			VIOLATION(f,
				  "pool: %s moves or is out while it runs %s",
				  w->name, w->tasks[i].id);
	w->state = row.state;
	w->pool = pool;
	xdr_free(XDR_PROC(xdr_vm_row), (char *)&row);
}

/* Returns true if a pool's row lists a VM as out, for any reason. */
static bool pool_row_has(const pool_row *row, bstr vm)
{
	u_int i;

	for (i = 0; i < row->out_vms.out_vms_len; i++)
		if (bstr_eq(row->out_vms.out_vms_val[i].vm, vm))
			return true;
	return false;
}

/*
 * Checks a write of a pool's row: drains must not take more VMs out of a pool
 * than its budget.  A VM that was out already doesn't count: if one that failed
 * while it drained answers again, only its reason changes.
 */
static void check_pool(struct fleet *f, bstr key, bstr value,
		       const struct fake_row *old)
{
	bstr name = bstr_ref(key.bstr_val + 5, key.bstr_len - 5);
	unsigned pool = fleet_name_index(name, fleet_pool_names, POOLS),
		 taken = 0;
	pool_row row = {0}, was = {0};
	u_int i;

	if (pool == POOLS) {
		VIOLATION(f, "budget: a row of %.*s, which is no pool",
			  BSTR_ARG(name));
		return;
	}
	if (!xdr_decode(XDR_PROC(xdr_pool_row), value, &row, sizeof(row)))
		return;
	if (old)
		xdr_decode(XDR_PROC(xdr_pool_row), old->value, &was,
			   sizeof(was));
	for (i = 0; i < row.out_vms.out_vms_len; i++)
		taken += row.out_vms.out_vms_val[i].reason == OUT_DRAIN &&
			 !pool_row_has(&was, row.out_vms.out_vms_val[i].vm);
	if (taken && row.out_vms.out_vms_len >
			     fleet_limit_max_since(f->budgets[pool],
						   f->budget_count[pool],
						   fleet_unsettled_since(f)))
		VIOLATION(f, "budget: a drain takes %u VMs of %s out",
			  row.out_vms.out_vms_len, fleet_pool_names[pool]);
	xdr_free(XDR_PROC(xdr_pool_row), (char *)&row);
	xdr_free(XDR_PROC(xdr_pool_row), (char *)&was);
}

/* Returns true if a key begins with a prefix and is longer. */
static bool key_has_prefix(bstr key, const char *prefix)
{
	size_t n = strlen(prefix);

	return key.bstr_len > n && !memcmp(key.bstr_val, prefix, n);
}

/* Checks a write to the table before it takes effect. */
void fleet_write_check(void *arg, const fx_commit *c, const table_write *w,
		       const struct fake_row *old)
{
	struct fleet *f = arg;

	TRACE(f, "write %.*s by %.*s", BSTR_ARG(w->key), BSTR_ARG(c->txid));
	if (key_has_prefix(w->key, "pool/"))
		check_pool(f, w->key, w->value, old);
	if (key_has_prefix(w->key, "vm/") && !w->remove)
		check_vm(f, w->value);
	if (bstr_eq_str(w->key, "config/head"))
		fleet_head_check(f, w->value);
}

/* Answers a request for the list of VMs. */
static void vms_list(struct fleet *f, ev_platform *p)
{
	unsigned i;

	p->vms.vms_val = xcalloc(FLEET_WORKERS, sizeof(listed_vm));
	for (i = 0; i < FLEET_WORKERS; i++)
		p->vms.vms_val[p->vms.vms_len++] = (listed_vm){
			bstr_new(f->workers[i].name),
			bstr_new(fleet_dc_names[f->workers[i].dc]), BSTR_NONE,
			bstr_new("w"), f->workers[i].leaving};
}

/* Executes a request and fills in its answer. */
static void platform_execute(struct fleet *f, const effect *fx, ev_platform *p)
{
	if (fx->kind == FX_COMMIT)
		fake_table_commit(&f->table, &fx->effect_u.commit, p);
	else if (!fake_table_request(&f->table, fx, p))
		vms_list(f, p);
}

/*
 * Sends a request to the platform.  The edge gives up after its timeout and
 * reports the outcome as unknown; the request may still take effect later.
 */
void fleet_platform_send(struct fleet *f, unsigned slot, effect *fx)
{
	struct entry *e = &f->entries[slot];
	int64_t request_ms = 1 + (int64_t)fleet_random(f, 4);
	int64_t reply_ms = 1 + (int64_t)fleet_random(f, 4);
	bool cut = e->platform_cut || f->dc_platform_cut[slot % 2];
	bool reaches = !cut, answered = !cut;
	event *ev = event_new(EV_PLATFORM);
	ev_platform *p = &ev->body.event_body_u.platform;

	p->req = effect_request_id(fx);
	p->outcome = PLATFORM_UNKNOWN;
	if (f->platform_mode == PLATFORM_SLOW)
		request_ms += (int64_t)fleet_random(f, 2500);
	if (f->platform_mode == PLATFORM_DOWN)
		reaches = answered = false;
	if (f->platform_mode == PLATFORM_LOSING && !fleet_random(f, 3))
		answered = false;
	if (f->platform_mode == PLATFORM_REFUSING && fleet_random(f, 4)) {
		reaches = answered = false;
		p->outcome = PLATFORM_REFUSED;
		p->retry_after_ms = 100;
		fleet_entry_post(f, slot, e->generation, request_ms, ev);
	} else if (!answered || request_ms + reply_ms > PLATFORM_TIMEOUT_MS) {
		answered = false;
		fleet_entry_post(f, slot, e->generation, PLATFORM_TIMEOUT_MS,
				 ev);
	}
	if (answered)
		event_free(ev);
	if (!reaches) {
		effect_free(fx);
		return;
	}
	fleet_queue_put(
		f, (struct queue_item){.at = f->now + request_ms,
				       .kind = Q_PLATFORM,
				       .index = slot,
				       .generation = e->generation,
				       .n = answered ? (uint64_t)reply_ms : 0,
				       .fx = fx});
}

/*
 * Executes a request that has reached the platform.  The item's n is the delay
 * of the reply, or 0 if the reply is lost.
 */
void fleet_platform_receive(struct fleet *f, struct queue_item *q)
{
	event *ev = event_new(EV_PLATFORM);

	ev->body.event_body_u.platform.req = effect_request_id(q->fx);
	platform_execute(f, q->fx, &ev->body.event_body_u.platform);
	if (q->n)
		fleet_entry_post(f, q->index, q->generation, (int64_t)q->n, ev);
	else
		event_free(ev);
	effect_free(q->fx);
}
