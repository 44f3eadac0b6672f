/*
 * The simulated fleet: its queue, platform, entry VMs, requests and set-up.
 */
#include "support-sim-state.h"

/* Returns a random number below a bound, or any for 0 (splitmix64). */
uint64_t sim_random(struct sim *s, uint64_t below)
{
	uint64_t z = random_next(&s->fakes->random);

	return below ? z % below : z;
}

/* Delivers an event to an entry VM after ms milliseconds. */
void sim_entry_post(struct sim *s, unsigned entry, unsigned generation,
		    int64_t ms, event *ev)
{
	event_queue_put(&s->fakes->queue,
			(struct queue_item){.at = s->now + ms,
					    .kind = IT_EVENT,
					    .index = entry,
					    .generation = generation,
					    .ev = ev});
}

/* Returns the number in a name like p3, or count if it isn't below count. */
unsigned sim_name_number(bstr b, unsigned count)
{
	char *text = bstr_cstr(b);
	unsigned n = *text ? (unsigned)strtoul(text + 1, NULL, 10) : count;

	free(text);
	return n < count ? n : count;
}

/* Copies pool and state of a written VM row to its worker. */
static void vm_row_written(void *arg, const fx_commit *c, const table_write *t,
			   const struct fake_row *old)
{
	struct sim *s = arg;
	struct sim_worker *w;
	vm_row row;

	(void)c, (void)old;
	if (t->key.bstr_len <= 3 || memcmp(t->key.bstr_val, "vm/", 3) != 0 ||
	    t->remove ||
	    !xdr_decode(XDR_PROC(xdr_vm_row), t->value, &row, sizeof(row)))
		return;
	w = sim_worker_find(s, row.vm);
	if (w) {
		snprintf(w->pool, sizeof(w->pool), "%.*s", BSTR_ARG(row.pool));
		w->state = row.state;
	}
	xdr_free(XDR_PROC(xdr_vm_row), (char *)&row);
}

/* Commits a transaction and calls the hook for each of its writes. */
static void table_commit(struct sim *s, const fx_commit *c, ev_platform *p)
{
	u_int i;

	if (!fake_table_commit(&s->fakes->table, c, p))
		return;
	/* The hook runs after the whole transaction is written. */
	for (i = 0; s->hooks.written && i < c->writes.writes_len; i++)
		s->hooks.written(s, &c->writes.writes_val[i]);
}

/* Reboots a worker if it still has the boot id of the request. */
static void platform_reboot(struct sim *s, const fx_reboot *r, ev_platform *p)
{
	struct sim_worker *w = sim_worker_find(s, r->vm);
	bstr boot;

	if (!w) {
		p->outcome = PLATFORM_NOT_FOUND;
		return;
	}
	boot = bstr_printf("%s-%u", w->name, w->boot);
	if (!w->up || !bstr_eq(boot, r->boot_id)) {
		p->outcome = PLATFORM_CONFLICT;
	} else {
		s->reboots++;
		w->reboots++;
		sim_worker_kill(s, w);
		if (!w->never_returns)
			event_queue_put(
				&s->fakes->queue,
				(struct queue_item){
					.at = s->now + s->plan.reboot_ms,
					.kind = IT_BOOT,
					.n = (uint64_t)(w - s->workers)});
	}
	bstr_free(&boot);
}

/* Executes a request.  A VM list is answered empty, which changes nothing. */
static void platform_execute(struct sim *s, const effect *fx, ev_platform *p)
{
	if (fx->kind == FX_COMMIT)
		table_commit(s, &fx->effect_u.commit, p);
	else if (fx->kind == FX_REBOOT)
		platform_reboot(s, &fx->effect_u.reboot, p);
	else
		fake_table_request(&s->fakes->table, fx, p);
}

/* Processes a request to the platform, with the fault that the hook chooses. */
static void platform_receive(struct sim *s, struct queue_item *it)
{
	enum sim_fault fault = s->hooks.request ? s->hooks.request(s, it->fx)
						: SIM_NO_FAULT;
	event *ev = event_new(EV_PLATFORM);
	ev_platform *p = &ev->body.event_body_u.platform;

	if (fault == SIM_REFUSE)
		p->outcome = PLATFORM_REFUSED;
	else if (fault != SIM_DROP_REQUEST)
		platform_execute(s, it->fx, p);
	if (fault == SIM_DROP_REQUEST || fault == SIM_DROP_ANSWER) {
		xdr_free(XDR_PROC(xdr_ev_platform), (char *)p);
		memset(p, 0, sizeof(*p));
		p->outcome = PLATFORM_UNKNOWN;
	}
	p->req = effect_request_id(it->fx);
	sim_entry_post(s, it->index, it->generation,
		       p->outcome == PLATFORM_UNKNOWN ? TIMEOUT_MS : LATENCY_MS,
		       ev);
	effect_free(it->fx);
}

/* Writes the name of an entry VM's current process. */
static void entry_name(struct sim *s, unsigned entry, char *name, size_t size)
{
	snprintf(name, size, "e%u-%u", entry, s->generation[entry]);
}

/* Starts a new process of an entry VM. */
void sim_entry_boot(struct sim *s, unsigned entry)
{
	struct settings o = {.workers.watch_ms = 5000,
			     .timing = {.member_renew_ms = 1500,
					.member_lease_ms = 4000,
					.ping_ms = 500,
					.fresh_ms = 3000,
					.commit_window_ms = 50,
					.task_lease_ms = 10000,
					.config_poll_ms = 1000,
					.list_poll_ms = 1000,
					.stop_ms = 10000},
			     .limits = {.queue_per_cell = 100000,
					.queue_per_team = 100000,
					.retention_ms = 600000,
					.attempts = 8}};
	char name[16], dc[16];

	s->generation[entry]++;
	entry_name(s, entry, name, sizeof(name));
	snprintf(dc, sizeof(dc), "d%u", entry % s->plan.dcs);
	o.vm = bstr_lit(name);
	o.dc = bstr_lit(dc);
	o.timing.tick_ms = (uint32_t)(s->plan.tick_ms ? s->plan.tick_ms : 100);
	s->entries[entry] = state_new(&o, sim_random(s, 0), name);
	event_queue_put(&s->fakes->queue,
			(struct queue_item){.at = s->now,
					    .kind = IT_TICK,
					    .index = entry,
					    .generation = s->generation[entry],
					    .n = 1});
}

/* Kills the process of an entry VM. */
void sim_entry_kill(struct sim *s, unsigned entry)
{
	state_free(s->entries[entry]);
	s->entries[entry] = NULL;
}

/* Delivers a message to a peer, or reports it lost if the peer is down. */
static void peer_deliver(struct sim *s, unsigned from, const fx_peer *p)
{
	char name[16];
	unsigned i;
	event *ev;

	for (i = 0; i < s->plan.entries; i++) {
		entry_name(s, i, name, sizeof(name));
		if (s->entries[i] && bstr_eq_str(p->to, name))
			break;
	}
	ev = event_new(i < s->plan.entries ? EV_PEER : EV_PEER_LOST);
	if (i == s->plan.entries) {
		ev->body.event_body_u.lost = bstr_copy(p->to);
		sim_entry_post(s, from, s->generation[from], TIMEOUT_MS, ev);
		return;
	}
	entry_name(s, from, name, sizeof(name));
	ev->body.event_body_u.peer.from = bstr_new(name);
	xdr_copy(XDR_PROC(xdr_peer_message),
		 &ev->body.event_body_u.peer.message, &p->message,
		 sizeof(p->message));
	sim_entry_post(s, i, s->generation[i], LATENCY_MS, ev);
}

/* Records the answer to a caller. */
static void call_record_answer(struct sim *s, const fx_answer *x)
{
	struct sim_job *j = &s->jobs[s->fakes->calls[x->call]];

	j->http_status = x->answer.http;
	j->ended_at = s->now;
	j->state = x->answer.jobs.jobs_len ? x->answer.jobs.jobs_val[0].state
					   : JOB_NOT_RUN;
}

/*
 * Executes an effect.  One that is executed later is moved to the queue, and
 * fx becomes an empty one.
 */
static void effect_execute(struct sim *s, unsigned entry, effect *fx)
{
	struct queue_item it = {.at = s->now + LATENCY_MS,
				.index = entry,
				.generation = s->generation[entry]};

	switch (fx->kind) {
	case FX_ANSWER:
		call_record_answer(s, &fx->effect_u.answer);
		return;
	case FX_OP_REPLY:
		xdr_free(XDR_PROC(xdr_op_reply), (char *)&s->reply);
		xdr_copy(XDR_PROC(xdr_op_reply), &s->reply,
			 &fx->effect_u.op_reply.reply, sizeof(s->reply));
		s->replied = true;
		return;
	case FX_PEER:
		peer_deliver(s, entry, &fx->effect_u.peer);
		return;
	case FX_COUNT:
		s->counters[fx->effect_u.count.counter] +=
			fx->effect_u.count.amount;
		return;
	case FX_WAKE:
		it.at = fx->effect_u.wake > s->now ? fx->effect_u.wake : s->now;
		it.kind = IT_TICK;
		event_queue_put(&s->fakes->queue, it);
		return;
	case FX_LOG:
		if (getenv("SIM_TRACE"))
			fprintf(stderr, "%lld e%u %u %.*s\n", (long long)s->now,
				entry, fx->effect_u.log.number,
				BSTR_ARG(fx->effect_u.log.text));
		return;
	case FX_READY:
	case FX_EXIT:
		return;
	case FX_WORKER:
		it.kind = IT_WORKER;
		break;
	default:
		it.kind = IT_PLATFORM;
		break;
	}
	it.fx = xmalloc(sizeof(*it.fx));
	*it.fx = *fx;
	fx->kind = FX_EXIT;
	event_queue_put(&s->fakes->queue, it);
}

/* Runs the reducer of an entry VM on an event and executes the effects. */
static void entry_reduce(struct sim *s, unsigned entry, event *ev)
{
	struct effects out;
	size_t i;

	ev->now = s->now;
	effects_init(&out);
	reduce(s->entries[entry], ev, &out);
	for (i = 0; i < out.count; i++)
		effect_execute(s, entry, &out.list[i]);
	effects_free(&out);
	event_free(ev);
}

/* Processes an item of the queue that is due. */
static void queue_item_process(struct sim *s, struct queue_item *it)
{
	bool here = it->kind < IT_PLATFORM && s->entries[it->index] &&
		    s->generation[it->index] == it->generation;

	switch ((enum sim_item_kind)it->kind) {
	case IT_EVENT:
		if (here)
			entry_reduce(s, it->index, it->ev);
		else
			event_free(it->ev);
		break;
	case IT_TICK:
		if (!here)
			break;
		if (it->n) { /* the periodic tick, not a wake */
			it->at += s->plan.tick_ms ? s->plan.tick_ms : 100;
			event_queue_put(&s->fakes->queue, *it);
		}
		entry_reduce(s, it->index, event_new(EV_TICK));
		break;
	case IT_PLATFORM:
		platform_receive(s, it);
		break;
	case IT_WORKER:
		sim_worker_receive(s, it);
		break;
	case IT_WATCH_TIMEOUT:
		sim_watch_timeout(s, it);
		break;
	case IT_TASK_END:
		sim_task_complete(s, it);
		break;
	case IT_BOOT:
		sim_worker_boot(s, &s->workers[it->n]);
		break;
	}
}

/* Advances the clock by ms milliseconds. */
void sim_run(struct sim *s, int64_t ms)
{
	int64_t until = s->now + ms;
	struct queue_item it;

	while (s->fakes->queue.count && s->fakes->queue.items[0].at <= until) {
		it = event_queue_take(&s->fakes->queue);
		s->now = it.at;
		queue_item_process(s, &it);
	}
	s->now = until;
}

/* Runs until done() returns true; returns false after ms milliseconds. */
bool sim_run_until(struct sim *s, bool (*done)(struct sim *s), int64_t ms)
{
	int64_t until = s->now + ms;

	while (!done(s) && s->now < until)
		sim_run(s, 20);
	return done(s);
}

/*
 * Submits a job.  Unless it is claimed, it may be repeated and its caller
 * waits.
 */
unsigned sim_submit(struct sim *s, unsigned entry, const struct sim_job *job)
{
	struct sim_fakes *f = s->fakes;
	event *ev = event_new(EV_CALL);
	caller_request *r = &ev->body.event_body_u.call.request;
	job_spec *p = &r->body.caller_body_u.spec;
	unsigned n = (unsigned)s->job_count++;

	if (!(n & (n + 1)))
		s->jobs = xrealloc(s->jobs, 2 * (n + 1), sizeof(*s->jobs));
	s->jobs[n] = *job;
	s->jobs[n].submitted_at = s->now;
	r->key_id = bstr_printf("k%u", job->team);
	r->key_digest = bstr_copy(f->digests[job->team]);
	r->body.kind = CALL_SUBMIT;
	p->pool = bstr_printf("p%u", job->pool);
	p->key = bstr_printf("j%u", n);
	p->label = bstr_printf("l%u", job->label);
	p->payload = bstr_printf("%u", n);
	p->may_repeat = p->wait = !job->claimed;
	p->urgent = job->urgent;
	p->run_ms = (uint32_t)job->declared_ms;
	p->timeout_ms = 3600000;
	f->calls = xrealloc(f->calls, f->call_count + 1, sizeof(*f->calls));
	f->calls[f->call_count] = n;
	ev->body.event_body_u.call.call = f->call_count++;
	sim_entry_post(s, entry, s->generation[entry], LATENCY_MS, ev);
	return n;
}

/* Sends an operator's request without waiting for the reply. */
void sim_operate_begin(struct sim *s, unsigned entry, const op_request *rq)
{
	event *ev = event_new(EV_OPERATE);

	xdr_copy(XDR_PROC(xdr_op_request),
		 &ev->body.event_body_u.operate.request, rq, sizeof(*rq));
	ev->body.event_body_u.operate.call = ++s->fakes->ids;
	s->replied = false;
	sim_entry_post(s, entry, s->generation[entry], LATENCY_MS, ev);
}

/* Returns true if the last operator's request is replied to. */
static bool sim_replied(struct sim *s)
{
	return s->replied;
}

/* Sends an operator's request and returns the status of its reply. */
op_status sim_operate(struct sim *s, unsigned entry, const op_request *rq)
{
	sim_operate_begin(s, entry, rq);
	return sim_run_until(s, sim_replied, 20000) ? s->reply.status
						    : OP_UNKNOWN;
}

/* Returns the first entry VM that is up. */
static unsigned entry_first_up(const struct sim *s)
{
	unsigned i = 0;

	while (!s->entries[i])
		i++;
	return i;
}

/* Sends an operator's request about a wave. */
op_status sim_wave(struct sim *s, op_kind kind, const char *wave,
		   const char *pool, uint32_t deadline_ms)
{
	op_request rq = {.kind = kind};

	rq.op_request_u.wave = (op_wave){bstr_lit(wave), bstr_lit(pool),
					 deadline_ms};
	return sim_operate(s, entry_first_up(s), &rq);
}

/* Sends an operator's request about a VM. */
op_status sim_vm(struct sim *s, op_kind kind, const char *vm, const char *pool,
		 uint32_t deadline_ms)
{
	op_request rq = {.kind = kind};

	rq.op_request_u.vm.vm = bstr_lit(vm);
	rq.op_request_u.vm.pool = bstr_lit(pool);
	rq.op_request_u.vm.deadline_ms = deadline_ms;
	return sim_operate(s, entry_first_up(s), &rq);
}

/* Returns the body of the last reply. */
json_t *sim_reply_json(const struct sim *s)
{
	return json_loadb(s->reply.body.bstr_val, s->reply.body.bstr_len, 0,
			  NULL);
}

/* Decodes a row of the table; returns false if there is none. */
bool sim_row_get(struct sim *s, const char *key, xdrproc_t proc, void *out,
		 size_t size)
{
	struct fake_row *r = fake_row_get(s->fakes->table.rows, bstr_lit(key));

	return r && xdr_decode(proc, r->value, out, size);
}

/* Returns a configuration document with the pools and no teams. */
static json_t *doc_new(struct sim *s)
{
	json_t *doc = json_pack("{s:{},s:{}}", "pools", "teams"), *o, *dcs;
	char name[16];
	unsigned i, k;

	for (i = 0; i < s->pool_count; i++) {
		dcs = json_array();
		for (k = 0; k < s->plan.dcs; k++) {
			snprintf(name, sizeof(name), "d%u", k);
			json_array_append_new(dcs, json_string(name));
		}
		snprintf(name, sizeof(name), "p%u", i);
		o = json_pack("{s:o,s:i,s:b}", "dcs", dcs, "budget",
			      (int)s->plan.pools[i].budget, "spare",
			      s->plan.pools[i].spare);
		json_object_set_new(json_object_get(doc, "pools"), name, o);
	}
	return doc;
}

/* Adds a team with one key. */
static void doc_add_team(struct sim *s, json_t *doc, unsigned i)
{
	char team[16], key[16];

	snprintf(team, sizeof(team), "t%u", i);
	snprintf(key, sizeof(key), "k%u", i);
	json_object_set_new(
		json_object_get(doc, "teams"), team,
		json_pack("{s:i,s:i,s:i,s:{s:o}}", "share",
			  (int)s->plan.teams[i].share, "limit",
			  (int)s->plan.teams[i].limit, "grace_ms", 0, "keys",
			  key, fake_key_new(key, &s->fakes->digests[i])));
}

/* Stores the first configuration. */
static void sim_configure(struct sim *s)
{
	json_t *doc = doc_new(s);
	unsigned i;

	for (i = 0; i < s->team_count; i++)
		doc_add_team(s, doc, i);
	fake_config_set(&s->fakes->table, doc);
	json_decref(doc);
}

/* Adds a worker and its VM's row. */
static void worker_add(struct sim *s, unsigned pool, unsigned nth)
{
	unsigned i = s->worker_count++;
	struct sim_worker *w = &s->workers[i];
	unsigned in_dc = nth / s->plan.dcs, all = s->plan.pools[pool].workers;
	unsigned racks = (all / s->plan.dcs + s->plan.per_rack - 1) /
			 s->plan.per_rack;
	unsigned rack = s->plan.interleaved ? in_dc % racks
					    : in_dc / s->plan.per_rack;
	vm_row row = {.slots = s->plan.slots};

	w->up = true;
	snprintf(w->name, sizeof(w->name), "w%u", i);
	snprintf(w->pool, sizeof(w->pool), "p%u", pool);
	snprintf(w->dc, sizeof(w->dc), "d%u", nth % s->plan.dcs);
	snprintf(w->rack, sizeof(w->rack), "r%u", rack + 100 * pool);
	row.vm = bstr_lit(w->name);
	row.pool = bstr_lit(w->pool);
	row.dc = bstr_lit(w->dc);
	row.rack = bstr_lit(w->rack);
	row.address = bstr_lit("w");
	fake_vm_set(&s->fakes->table, &row);
}

/* Creates the workers of all pools and the head of the list of VMs. */
static void sim_populate(struct sim *s)
{
	unsigned i, k, n = 0;

	for (i = 0; i < s->pool_count; i++)
		n += s->plan.pools[i].workers;
	s->workers = xcalloc(n, sizeof(*s->workers));
	for (i = 0; i < s->pool_count; i++)
		for (k = 0; k < s->plan.pools[i].workers; k++)
			worker_add(s, i, k);
	fake_vms_head_set(&s->fakes->table, 1);
}

/* Creates a fleet and runs it until its entry VMs are ready. */
struct sim *sim_new(const struct sim_plan *plan)
{
	struct sim *s = xcalloc(1, sizeof(*s));
	unsigned i;

	s->plan = *plan;
	s->fakes = xcalloc(1, sizeof(*s->fakes));
	s->fakes->table.before_write = vm_row_written;
	s->fakes->table.arg = s;
	s->fakes->random = plan->seed;
	while (s->pool_count < SIM_POOLS && plan->pools[s->pool_count].workers)
		s->pool_count++;
	while (s->team_count < SIM_TEAMS && plan->teams[s->team_count].share)
		s->team_count++;
	sim_configure(s);
	sim_populate(s);
	for (i = 0; i < plan->entries; i++)
		sim_entry_boot(s, i);
	sim_run(s, 5000);
	return s;
}

/* Frees a fleet with the items of its queue. */
void sim_free(struct sim *s)
{
	struct sim_fakes *f = s->fakes;
	unsigned i;

	for (i = 0; i < s->worker_count; i++)
		sim_worker_kill(s, &s->workers[i]);
	event_queue_free(&f->queue);
	for (i = 0; i < s->plan.entries; i++)
		state_free(s->entries[i]);
	fake_table_free(&f->table);
	for (i = 0; i < s->team_count; i++)
		bstr_free(&f->digests[i]);
	xdr_free(XDR_PROC(xdr_op_reply), (char *)&s->reply);
	free(f->calls);
	free(f);
	free(s->workers);
	free(s->jobs);
	free(s);
}
