/*
 * Operators' requests: which entry VM handles each, and the requests that show
 * the state of the fleet.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

/*
 * Answers an operator of this VM (forwarded_by is empty) or the VM that
 * forwarded the request.  Takes ownership of body.
 */
void op_answer_to(struct state *st, bstr forwarded_by, uint64_t call,
		  op_status status, const char *reason, const char *detail,
		  uint32_t retry_after_ms, json_t *body)
{
	op_reply r = {.status = status, .retry_after_ms = retry_after_ms};
	peer_message msg = {.kind = PM_OP_REPLY};
	effect *fx;

	r.reason = bstr_new(reason);
	r.detail = bstr_new(detail);
	if (body)
		r.body = config_canonical_text(body);
	json_decref(body);
	if (forwarded_by.bstr_len) {
		msg.peer_message_u.op_reply = (pm_op_reply){call, r};
		peer_send(st, forwarded_by, &msg);
		xdr_free(XDR_PROC(xdr_op_reply), (char *)&r);
		return;
	}
	fx = effect_add(st, FX_OP_REPLY);
	fx->effect_u.op_reply.call = call;
	fx->effect_u.op_reply.reply = r;
}

/* Answers the request that is being handled; see op_answer_to. */
void op_answer(struct state *st, uint64_t call, op_status status,
	       const char *reason, const char *detail, uint32_t retry_after_ms,
	       json_t *body)
{
	op_answer_to(st, st->forwarded_by, call, status, reason, detail,
		     retry_after_ms, body);
}

/* Answers a request with OP_OK and a body. */
void op_answer_ok(struct state *st, uint64_t call, json_t *body)
{
	op_answer(st, call, OP_OK, "", "", 0, body);
}

void op_not_found(struct state *st, uint64_t call, const char *what, bstr name)
{
	char *s = xasprintf("there is no %s '%.*s'", what, BSTR_ARG(name));

	op_answer(st, call, OP_NOT_FOUND, "not-found", s, 0, NULL);
	free(s);
}

void json_set_str(json_t *o, const char *name, bstr value)
{
	json_object_set_new(o, name, bstr_to_json(value));
}

void json_set_int(json_t *o, const char *name, uint64_t value)
{
	json_object_set_new(o, name, json_integer((json_int_t)value));
}

/*
 * Returns the name of a VM's state, as far as this entry VM knows it.  Only the
 * owner of the VM's cell knows the state of its worker.
 */
static const char *vm_state_name(struct state *st, const struct vm *v)
{
	struct unit *u, *next;
	struct worker *w;

	if (v->row.state == VM_OUT)
		return "drained";
	if (v->row.state == VM_DRAINING)
		return v->row.target_pool.bstr_len ? "moving" : "draining";
	if (vm_leaving(st, v->row.vm))
		return "leaving";
	HASH_ITER(hh, st->units, u, next) {
		if (!u->cell)
			continue;
		HASH_FIND_BSTR(u->cell->workers, v->row.vm, w);
		if (!w)
			continue;
		if (w->silent)
			return "silent";
		if (w->leaving)
			return "leaving";
		return st->now < w->set_aside_until ? "set-aside" : "working";
	}
	return "active";
}

static json_t *vm_json(struct state *st, const struct vm *v)
{
	json_t *o = json_object();

	json_set_str(o, "vm", v->row.vm);
	json_set_str(o, "pool", v->row.pool);
	json_set_str(o, "dc", v->row.dc);
	json_set_str(o, "rack", v->row.rack);
	json_set_str(o, "address", v->row.address);
	json_set_int(o, "slots", v->row.slots);
	json_object_set_new(o, "state", json_string(vm_state_name(st, v)));
	if (v->row.target_pool.bstr_len)
		json_set_str(o, "moves_to", v->row.target_pool);
	return o;
}

/* Shows one VM, all of a pool, or all. */
static void op_vm_show(struct state *st, uint64_t call, const op_request *rq)
{
	const op_vm *o = &rq->op_request_u.vm;
	json_t *list = json_array();
	struct vm *v, *next;

	HASH_ITER(hh, st->vms, v, next) {
		if ((!o->vm.bstr_len || bstr_eq(o->vm, v->row.vm)) &&
		    (!o->pool.bstr_len || bstr_eq(o->pool, v->row.pool)))
			json_array_append_new(list, vm_json(st, v));
	}
	if (o->vm.bstr_len && !json_array_size(list)) {
		json_decref(list);
		op_not_found(st, call, "VM", o->vm);
		return;
	}
	op_answer_ok(st, call, list);
}

static json_t *pool_json(struct state *st, const struct pool *p)
{
	json_t *o = json_object(), *dcs = json_array();
	unsigned vms = 0, out = 0, slots = 0;
	struct vm *v, *next;
	size_t i;

	for (i = 0; i < p->dc_count; i++)
		json_array_append_new(dcs, bstr_to_json(p->dcs[i]));
	HASH_ITER(hh, st->vms, v, next) {
		if (!bstr_eq(v->row.pool, p->name))
			continue;
		vms++;
		out += v->row.state != VM_ACTIVE;
		slots += v->row.state == VM_ACTIVE ? v->row.slots : 0;
	}
	json_set_str(o, "pool", p->name);
	json_object_set_new(o, "dcs", dcs);
	json_set_int(o, "vms", vms);
	json_set_int(o, "out", out);
	json_set_int(o, "budget", p->budget);
	json_set_int(o, "slots", slots);
	json_object_set_new(o, "spare", json_boolean(p->spare));
	return o;
}

/* Shows one pool or all. */
static void op_pool_show(struct state *st, uint64_t call, const op_request *rq)
{
	bstr name = rq->op_request_u.pool.pool;
	json_t *list = json_array();
	struct pool *p, *next;

	HASH_ITER(hh, st->config->pools, p, next) {
		if (!name.bstr_len || bstr_eq(name, p->name))
			json_array_append_new(list, pool_json(st, p));
	}
	if (name.bstr_len && !json_array_size(list)) {
		json_decref(list);
		op_not_found(st, call, "pool", name);
		return;
	}
	op_answer_ok(st, call, list);
}

/*
 * Adds a team's usage in the cells of this entry VM.  The VM that got the
 * request adds up the figures of all entry VMs.
 */
static void team_add_usage(struct state *st, bstr team, json_t *o)
{
	uint64_t running = 0, queued = 0, allowance = 0;
	struct unit *u, *next;
	struct cell_team *t;

	HASH_ITER(hh, st->units, u, next) {
		if (!u->cell)
			continue;
		HASH_FIND_BSTR(u->cell->teams, team, t);
		if (!t)
			continue;
		running += team_used(t);
		queued += t->queued;
		allowance += t->allowance;
	}
	json_set_int(o, "running", running);
	json_set_int(o, "queued", queued);
	json_set_int(o, "held", allowance);
}

/* Shows one team or all. */
static void op_team_show(struct state *st, uint64_t call, const op_request *rq)
{
	bstr name = rq->op_request_u.team.team;
	json_t *list = json_array(), *o;
	struct team *t, *next;

	HASH_ITER(hh, st->config->teams, t, next) {
		if (name.bstr_len && !bstr_eq(name, t->name))
			continue;
		o = json_object();
		json_set_str(o, "team", t->name);
		json_set_int(o, "share", t->share);
		json_set_int(o, "limit", t->limit);
		json_set_int(o, "grace_ms", t->grace_ms);
		team_add_usage(st, t->name, o);
		json_array_append_new(list, o);
	}
	if (name.bstr_len && !json_array_size(list)) {
		json_decref(list);
		op_not_found(st, call, "team", name);
		return;
	}
	op_answer_ok(st, call, list);
}

/* Shows the keys of a team, or all; never their hashes. */
static void op_key_show(struct state *st, uint64_t call, const op_request *rq)
{
	bstr team = rq->op_request_u.key.team;
	json_t *list = json_array(), *o;
	struct team_key *k, *next;

	HASH_ITER(hh, st->config->keys, k, next) {
		if (team.bstr_len && !bstr_eq(team, k->team->name))
			continue;
		o = json_object();
		json_set_str(o, "key", k->id);
		json_set_str(o, "team", k->team->name);
		json_object_set_new(o, "withdrawn", json_boolean(k->withdrawn));
		json_array_append_new(list, o);
	}
	op_answer_ok(st, call, list);
}

/*
 * Returns the name of the object that stores an older revision, empty if the
 * revision is not in the history.
 */
static bstr history_object(struct state *st, uint64_t revision)
{
	json_t *list = config_history(st);
	bstr name = BSTR_NONE;
	const json_t *o;
	size_t i;

	json_array_foreach(list, i, o) {
		if ((uint64_t)json_integer_value(
			    json_object_get(o, "revision")) == revision)
			name = bstr_from_json(json_object_get(o, "object"));
	}
	json_decref(list);
	return name;
}

/* Returns a configuration with its revision. */
static json_t *config_body(uint64_t revision, json_t *doc)
{
	json_t *o = json_object();

	json_set_int(o, "revision", revision);
	json_object_set(o, "config", doc);
	return o;
}

/* Shows the configuration in force, or reads an older one from its object. */
static void op_config_show(struct state *st, uint64_t call,
			   const op_request *rq)
{
	uint64_t revision = rq->op_request_u.config.revision;
	bstr object, name;

	if (!revision || revision == st->config->revision) {
		op_answer_ok(
			st, call,
			config_body(st->config->revision, st->config->doc));
		return;
	}
	object = history_object(st, revision);
	if (!object.bstr_len) {
		op_answer(st, call, OP_NOT_FOUND, "not-found",
			  "that revision is not in the history", 0, NULL);
		return;
	}
	name = bstr_printf("%llu %llu", (unsigned long long)call,
			   (unsigned long long)revision);
	object_get(st, REQ_OP_OBJECT, name, object);
	bstr_free(&name);
	bstr_free(&object);
}

/* Handles an older configuration that was read. */
void op_object_got(struct state *st, struct request *rq, const ev_platform *ev)
{
	uint64_t call, revision;
	char *name = bstr_cstr(rq->name), *end;
	json_t *doc;

	call = strtoull(name, &end, 10);
	revision = strtoull(end, NULL, 10);
	free(name);
	doc = ev->outcome == PLATFORM_OK && ev->body.bstr_len
		      ? json_loadb(ev->body.bstr_val, ev->body.bstr_len, 0,
				   NULL)
		      : NULL;
	if (!doc) {
		op_answer(st, call, OP_UNAVAILABLE, "platform-unavailable",
			  "the stored configuration could not be read",
			  RETRY_AFTER_MS, NULL);
		return;
	}
	op_answer_ok(st, call, config_body(revision, doc));
	json_decref(doc);
}

/* Shows what would change if a document were applied. */
static void op_config_diff(struct state *st, uint64_t call,
			   const op_request *rq)
{
	const op_config *oc = &rq->op_request_u.config;
	struct config *c;
	struct error e;
	char *text;

	error_init(&e);
	c = config_parse(oc->body, 0, &e);
	if (c) {
		op_answer_ok(st, call, config_diff(st->config->doc, c->doc));
		config_free(c);
		return;
	}
	text = error_text(&e);
	op_answer(st, call, OP_INVALID, "config-invalid", text, 0, NULL);
	free(text);
	error_free(&e);
}

/* Shows the latest revisions. */
static void op_config_history(struct state *st, uint64_t call,
			      const op_request *rq)
{
	(void)rq;
	op_answer_ok(st, call, config_history(st));
}

static json_t *member_json(bstr vm, bstr dc, const char *state,
			   uint64_t revision)
{
	json_t *o = json_object();

	json_set_str(o, "vm", vm);
	json_set_str(o, "dc", dc);
	json_object_set_new(o, "state", json_string(state));
	json_set_int(o, "config", revision);
	return o;
}

/* Returns the units that this VM owns. */
static json_t *units_json(struct state *st)
{
	json_t *list = json_array(), *o;
	struct unit *u, *next;

	HASH_ITER(hh, st->units, u, next) {
		if (u->state != UNIT_OWNED)
			continue;
		o = json_object();
		json_set_str(o, "unit", u->name);
		json_set_str(o, "owner", st->vm);
		json_set_int(o, "epoch", u->epoch);
		json_object_set_new(o, "acts",
				    json_boolean(unit_is_active(st, u)));
		if (u->cell) {
			json_set_int(o, "running", u->cell->running);
			json_set_int(o, "queued", u->cell->queued);
			json_set_int(o, "workers",
				     HASH_COUNT(u->cell->workers));
		}
		json_array_append_new(list, o);
	}
	return list;
}

/* Shows the entry VMs and the platform as this entry VM sees them. */
static void op_fleet_show(struct state *st, uint64_t call, const op_request *rq)
{
	json_t *o = json_object(), *members = json_array();
	struct member *m, *next;

	(void)rq;
	json_array_append_new(members, member_json(st->vm, st->dc, "this",
						   st->config->revision));
	HASH_ITER(hh, st->members, m, next)
		json_array_append_new(members,
				      member_json(m->vm, m->dc,
						  m->leaving	     ? "leaving"
						  : m->lease_expired ? "gone"
						  : member_reachable(st, m)
							  ? "alive"
							  : "unheard",
						  m->config_revision));
	json_set_int(o, "revision", st->config->revision);
	json_object_set_new(o, "fresh", json_boolean(proof_fresh(st)));
	json_object_set_new(
		o, "platform",
		json_string(st->platform_up ? "answers" : "silent"));
	json_set_int(o, "vms", HASH_COUNT(st->vms));
	json_set_int(o, "jobs_open", HASH_COUNT(st->jobs) - st->finished_count);
	json_object_set_new(o, "entry_vms", members);
	json_object_set_new(o, "owned", units_json(st));
	op_answer_ok(st, call, o);
}

/*
 * Removes a pool.  Refused while it has VMs, because no cell would manage their
 * tasks any more.
 */
static void op_pool_remove(struct state *st, uint64_t call,
			   const op_request *rq)
{
	struct vm *v, *next;

	HASH_ITER(hh, st->vms, v, next) {
		if (!bstr_eq(v->row.pool, rq->op_request_u.pool.pool))
			continue;
		op_answer(st, call, OP_REFUSED, "in-use",
			  "the pool has VMs: move or remove them first", 0,
			  NULL);
		return;
	}
	change_add(st, call, rq);
}

/* Which VMs answer a request: any one, all of them, or a job's home. */
enum op_scope { SCOPE_ANY, SCOPE_ALL, SCOPE_HOME };

static const struct {
	op_kind kind;
	enum op_scope scope;
	void (*exec)(struct state *st, uint64_t call, const op_request *rq);
} ops[] = {
	{OP_POOL_REMOVE, SCOPE_ANY, op_pool_remove},
	{OP_POOL_SHOW, SCOPE_ANY, op_pool_show},
	{OP_VM_ADD, SCOPE_ANY, edit_add},
	{OP_VM_REMOVE, SCOPE_ANY, edit_add},
	{OP_VM_MOVE, SCOPE_ANY, edit_add},
	{OP_VM_DRAIN, SCOPE_ANY, edit_add},
	{OP_VM_RETURN, SCOPE_ANY, edit_add},
	{OP_VM_SHOW, SCOPE_ALL, op_vm_show},
	{OP_TEAM_SHOW, SCOPE_ALL, op_team_show},
	{OP_KEY_SHOW, SCOPE_ANY, op_key_show},
	{OP_CONFIG_SHOW, SCOPE_ANY, op_config_show},
	{OP_CONFIG_DIFF, SCOPE_ANY, op_config_diff},
	{OP_CONFIG_HISTORY, SCOPE_ANY, op_config_history},
	{OP_WHY_JOB, SCOPE_HOME, op_why_job},
	{OP_WHY_TEAM, SCOPE_ALL, op_why_team},
	{OP_FLEET, SCOPE_ALL, op_fleet_show},
	{OP_WAVE_PLAN, SCOPE_ANY, op_wave_change},
	{OP_WAVE_START, SCOPE_ANY, op_wave_change},
	{OP_WAVE_PAUSE, SCOPE_ANY, op_wave_change},
	{OP_WAVE_RESUME, SCOPE_ANY, op_wave_change},
	{OP_WAVE_CANCEL, SCOPE_ANY, op_wave_change},
	{OP_WAVE_SHOW, SCOPE_ALL, op_wave_show},
};

/* Returns true if some operator's request has no answer yet. */
bool ops_pending(struct state *st)
{
	struct edit *e;

	TAILQ_FOREACH(e, &st->edits, entry)
		if (e->kind == EDIT_OPERATOR)
			return true;
	return !TAILQ_EMPTY(&st->changes) || !TAILQ_EMPTY(&st->wave_changes) ||
	       !TAILQ_EMPTY(&st->why_requests) || !TAILQ_EMPTY(&st->asks);
}

/* Answers a request that may have taken effect, as the process stops. */
static void op_answer_stopping(struct state *st, uint64_t call)
{
	op_answer(st, call, OP_UNKNOWN, "stopping",
		  "this VM stops; a change may have been made: look before "
		  "you repeat it",
		  RETRY_AFTER_MS, NULL);
}

/* Answers all operators' requests that still wait, as the process stops. */
void ops_stop(struct state *st)
{
	struct wave_change *w;
	struct why_request *q;
	struct change *c;
	struct edit *e;
	struct ask *a;

	TAILQ_FOREACH(c, &st->changes, entry)
		op_answer_stopping(st, c->call);
	TAILQ_FOREACH(w, &st->wave_changes, entry)
		op_answer_stopping(st, w->call);
	TAILQ_FOREACH(e, &st->edits, entry)
		if (e->kind == EDIT_OPERATOR)
			op_answer_stopping(st, e->call);
	TAILQ_FOREACH(a, &st->asks, entry)
		op_answer_stopping(st, a->call);
	TAILQ_FOREACH(q, &st->why_requests, entry)
		if (!q->forwarded_by.bstr_len)
			op_answer_stopping(st, q->call);
}

/*
 * Handles an operator's request: here, at the job's home or at all entry VMs,
 * by its scope.  A forwarded request is always handled here.
 */
void op_event(struct state *st, uint64_t call, const op_request *rq)
{
	size_t i;

	if (st->stopping) {
		op_answer(st, call, OP_UNAVAILABLE, "stopping",
			  "this VM is stopping; nothing was changed",
			  RETRY_AFTER_MS, NULL);
		return;
	}
	if (!st->config) {
		op_answer(st, call, OP_UNAVAILABLE, "no-config",
			  "no configuration has been read yet", RETRY_AFTER_MS,
			  NULL);
		return;
	}
	for (i = 0; i < NELEMS(ops); i++) {
		if (ops[i].kind != rq->kind)
			continue;
		if (ops[i].scope == SCOPE_ALL && !st->forwarded_by.bstr_len)
			ask_all(st, call, rq);
		else if (ops[i].scope != SCOPE_HOME ||
			 st->forwarded_by.bstr_len || !ask_home(st, call, rq))
			ops[i].exec(st, call, rq);
		return;
	}
	if (config_is_edit(rq->kind)) {
		change_add(st, call, rq);
		return;
	}
	effect_count(st, COUNT_REFUSED_OPERATOR, 1);
	op_answer(st, call, OP_INVALID, "unsupported",
		  "this entry VM does not know that request", 0, NULL);
}

/*
 * Handles a request that another entry VM has forwarded.  Only requests that
 * show something are forwarded; changes are dropped.
 */
void op_forwarded(struct state *st, bstr from, const pm_operate *m)
{
	size_t i;

	for (i = 0; i < NELEMS(ops); i++) {
		if (ops[i].kind != m->request.kind || ops[i].scope == SCOPE_ANY)
			continue;
		st->forwarded_by = from;
		op_event(st, m->call, &m->request);
		st->forwarded_by = BSTR_NONE;
		return;
	}
	effect_count(st, COUNT_DROPPED_STRANGE, 1);
}
