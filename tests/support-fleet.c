/*
 * The simulated fleet: its queue of events and its clock, the start with a
 * first configuration, and the check of the final state.
 */
#include "support-fleet-state.h"

const char *const fleet_pool_names[] = {"p", "q"};
const char *const fleet_dc_names[] = {"d0", "d1"};
const char *const fleet_team_names[] = {"a", "b"};

/* Returns a random number below a bound. */
uint64_t fleet_random(struct fleet *f, uint64_t below)
{
	uint64_t z = random_next(&f->random);

	return z % below;
}

/* Adds an item to the queue; one that is overdue is due now. */
void fleet_queue_put(struct fleet *f, struct queue_item q)
{
	if (q.at < f->now)
		q.at = f->now; /* an overdue wake */
	event_queue_put(&f->queue, q);
}

/*
 * Delivers an event to an entry VM after a delay, unless the VM's process has
 * ended by then.
 */
void fleet_entry_post(struct fleet *f, unsigned slot, unsigned generation,
		      int64_t delay, event *ev)
{
	fleet_queue_put(f, (struct queue_item){.at = f->now + delay,
					       .kind = Q_EVENT,
					       .index = slot,
					       .generation = generation,
					       .ev = ev});
}

/* Counts a fault that starts. */
void fleet_fault_begin(struct fleet *f)
{
	if (!f->faults++ && f->now - f->fault_ended >= SETTLE_MS)
		f->fault_started = f->now;
}

/* Counts a fault that ends. */
void fleet_fault_end(struct fleet *f)
{
	if (!--f->faults)
		f->fault_ended = f->now;
}

/* Returns the index of a name, or n if it is none of the n names. */
unsigned fleet_name_index(bstr b, const char *const *names, unsigned n)
{
	unsigned i;

	for (i = 0; i < n && !bstr_eq_str(b, names[i]); i++)
		;
	return i;
}

/* Returns the index of a worker, w0 to w9, by its name, or -1. */
int fleet_worker_index(bstr name)
{
	if (name.bstr_len != 2 || name.bstr_val[0] != 'w')
		return -1;
	return name.bstr_val[1] - '0';
}

/*
 * Returns the time since when a change may not have reached every VM.  A check
 * of a limit must allow all values that held since then.  Faults delay the
 * propagation, so that the time stays before their start until the fleet has
 * been without faults for SETTLE_MS.
 */
int64_t fleet_unsettled_since(const struct fleet *f)
{
	if (f->faults || f->now - f->fault_ended < SETTLE_MS)
		return f->fault_started - SETTLE_MS;
	return f->now - SETTLE_MS;
}

/* Returns the largest value that a limit had since a time. */
unsigned fleet_limit_max_since(const struct limit_change *l, unsigned n,
			       int64_t since)
{
	unsigned most = 0, i;

	for (i = 0; i < n; i++)
		if ((i + 1 == n || l[i + 1].from >= since) &&
		    l[i].amount > most)
			most = l[i].amount;
	return most;
}

/* Advances the clock to the next item of the queue and processes it. */
static void fleet_process_next(struct fleet *f)
{
	struct queue_item q = event_queue_take(&f->queue);

	f->now = q.at;
	switch ((enum fleet_item_kind)q.kind) {
	case Q_EVENT:
		fleet_entry_receive(f, q.index, q.generation, q.ev);
		break;
	case Q_TICK:
		fleet_entry_tick(f, &q);
		break;
	case Q_PLATFORM:
		fleet_platform_receive(f, &q);
		break;
	case Q_EXCHANGE:
		if (f->workers[q.x->worker].boot == q.x->boot)
			fleet_worker_receive(f, q.x);
		else
			fleet_exchange_fail(f, q.x, WORKER_NO_ANSWER);
		break;
	case Q_EXCHANGE_TIMEOUT:
		fleet_exchange_fail(f, q.x, WORKER_NO_ANSWER);
		break;
	case Q_WATCH_TIMEOUT:
		fleet_watch_timeout(f, q.x);
		break;
	case Q_TASK_END:
		fleet_worker_tick(f, &f->workers[q.index]);
		break;
	case Q_LEASE_END:
		fleet_worker_lease_end(f, &q);
		break;
	case Q_FAULT_END:
		fleet_fault_clear(f, &q);
		break;
	case Q_BOOT:
		fleet_entry_boot(f, q.index);
		fleet_fault_end(f);
		break;
	}
}

/* Advances the clock by ms milliseconds. */
void fleet_run(struct fleet *f, int64_t ms)
{
	int64_t until = f->now + ms;

	while (f->queue.count && f->queue.items[0].at <= until &&
	       !f->violation[0])
		fleet_process_next(f);
	f->now = until;
}

/* Checks that all calls to entry VMs that are still up were answered. */
static void check_answers(struct fleet *f)
{
	const struct fake_call *c;
	unsigned i;

	for (i = 0; i < f->call_count; i++) {
		c = &f->calls[i];
		if (!c->answered &&
		    f->entries[c->slot].generation == c->generation &&
		    f->now - c->sent_at > 40000)
			VIOLATION(f, "answer: call %u at %s was not answered",
				  i, f->entries[c->slot].name);
	}
}

/* Sets limits, budgets and pools so that all accepted jobs can finish. */
static void restore_capacity(struct fleet *f)
{
	unsigned i, have[POOLS] = {0};

	for (i = 0; i < FLEET_TEAMS; i++)
		fleet_operate(f, OP_TEAM_LIMIT, i, 6);
	for (i = 0; i < POOLS; i++)
		fleet_operate(f, OP_POOL_BUDGET, i, FLEET_WORKERS);
	for (i = 0; i < FLEET_WORKERS; i++) {
		have[f->workers[i].pool]++;
		if (f->workers[i].state != VM_ACTIVE)
			fleet_operate(f, OP_VM_RETURN, i, 0);
	}
	fleet_run(f, 5000);
	if (!have[POOL_P])
		fleet_operate(f, OP_VM_MOVE, 7, POOL_P);
	if (!have[POOL_Q])
		fleet_operate(f, OP_VM_MOVE, 0, POOL_Q);
}

/*
 * Lets all faults end, restores the capacity and checks that all VMs have the
 * same configuration, that accepted jobs are final and calls were answered.
 */
void fleet_settle(struct fleet *f)
{
	unsigned i, from;

	/* until the longest fault has ended */
	for (i = 0; i < 120 && f->faults; i++)
		fleet_run(f, 500);
	fleet_run(f, 10000); /* pending operators' requests */
	restore_capacity(f);
	fleet_run(f, 60000);
	for (i = 0; i < FLEET_ENTRIES && !f->violation[0]; i++)
		if (f->entries[i].revision != f->revision)
			VIOLATION(f,
				  "config: %s has revision %u, the head is %u",
				  f->entries[i].name,
				  (unsigned)f->entries[i].revision,
				  (unsigned)f->revision);
	from = f->call_count;
	for (i = 0; i < f->job_count; i++)
		if (f->jobs[i].accepted && !f->jobs[i].memory_only) {
			f->jobs[i].final = false;
			fleet_job_request(f, CALL_GET, i, 0);
		}
	fleet_run(f, 5000);
	for (i = from; i < f->call_count && !f->violation[0]; i++) {
		struct fake_job *j = &f->jobs[f->calls[i].job];

		if (!f->calls[i].answered || !j->final)
			VIOLATION(f, "lost: accepted job %u (%s) is not final",
				  f->calls[i].job, j->id);
		else
			f->counters[FLEET_JOBS_FINAL]++;
	}
	check_answers(f);
}

/* Creates the first configuration with its teams and keys. */
static void fleet_configure(struct fleet *f)
{
	json_t *doc = json_pack(
		"{s:{s:{s:[s,s],s:i,s:b},s:{s:[s],s:i,s:b}},s:{}}", "pools",
		"p", "dcs", "d0", "d1", "budget", 2, "spare", 0, "q", "dcs",
		"d0", "budget", 1, "spare", 0, "teams");
	json_t *teams = json_object_get(doc, "teams"), *keys;
	unsigned t, k;
	char id[16];

	for (t = 0; t < FLEET_TEAMS; t++) {
		keys = json_object();
		for (k = 0; k < FLEET_KEYS; k++) {
			snprintf(id, sizeof(id), "%s%u", fleet_team_names[t],
				 k);
			json_object_set_new(
				keys, id, fake_key_new(id, &f->digests[t][k]));
		}
		json_object_set_new(teams, fleet_team_names[t],
				    json_pack("{s:i,s:i,s:i,s:o}", "share",
					      (int)t + 1, "limit",
					      3 + 3 * (int)t, "grace_ms", 0,
					      "keys", keys));
	}
	fake_config_set(&f->table, doc);
	json_decref(doc);
	fleet_head_check(
		f, fake_row_get(f->table.rows, bstr_lit("config/head"))->value);
}

/* Creates the workers and their rows. */
static void fleet_populate(struct fleet *f)
{
	unsigned i;

	for (i = 0; i < FLEET_WORKERS; i++) {
		struct fake_worker *w = &f->workers[i];
		vm_row row = {.slots = FLEET_SLOTS};

		snprintf(w->name, sizeof(w->name), "w%u", i);
		w->dc = i >= 3 && i < 6;
		w->pool = i < 6 ? POOL_P : POOL_Q;
		row.vm = bstr_lit(w->name);
		row.pool = bstr_lit(fleet_pool_names[w->pool]);
		row.dc = bstr_lit(fleet_dc_names[w->dc]);
		row.address = bstr_lit("w");
		fake_vm_set(&f->table, &row);
	}
	fake_vms_head_set(&f->table, FLEET_WORKERS);
}

/* Creates a fleet and runs it until its entry VMs are ready. */
struct fleet *fleet_new(uint64_t seed)
{
	struct fleet *f = xcalloc(1, sizeof(*f));
	unsigned i;

	f->random = seed;
	f->table.before_write = fleet_write_check;
	f->table.arg = f;
	fleet_configure(f);
	fleet_populate(f);
	for (i = 0; i < FLEET_ENTRIES; i++)
		fleet_entry_boot(f, i);
	fleet_run(f, 5000);
	return f;
}

/* Frees a fleet with the items of its queue. */
void fleet_free(struct fleet *f)
{
	struct exchange *x;
	unsigned i, k;

	event_queue_free(&f->queue);
	for (i = 0; i < FLEET_ENTRIES; i++) {
		state_free(f->entries[i].st);
		while (f->entries[i].inbox_count)
			event_free(f->entries[i]
					   .inbox[--f->entries[i].inbox_count]);
		free(f->entries[i].inbox);
	}
	while ((x = f->exchanges)) {
		f->exchanges = x->next;
		effect_free(x->fx);
		free(x);
	}
	fake_table_free(&f->table);
	for (i = 0; i < FLEET_TEAMS; i++)
		for (k = 0; k < FLEET_KEYS; k++)
			bstr_free(&f->digests[i][k]);
	json_decref(f->doc);
	free(f);
}

/* Returns the first violated invariant, or NULL. */
const char *fleet_violation(const struct fleet *f)
{
	return f->violation[0] ? f->violation : NULL;
}

/* Returns how many events the reducers have handled. */
uint64_t fleet_events(const struct fleet *f)
{
	return f->events;
}

/* Returns a counter. */
unsigned fleet_counter(const struct fleet *f, enum fleet_counter n)
{
	return f->counters[n];
}
