/*
 * The steps of a test sequence: requests of callers and operators, and faults
 * with their ends.
 */
#include "support-fleet-state.h"

/* Starts a fault that ends after ms milliseconds. */
static void fault_for(struct fleet *f, enum fleet_op op, unsigned index,
		      unsigned generation, int64_t ms)
{
	fleet_fault_begin(f);
	fleet_queue_put(f, (struct queue_item){.at = f->now + ms,
					       .kind = Q_FAULT_END,
					       .index = index,
					       .generation = generation,
					       .n = op});
}

/* Freezes, silences or restarts a worker, or makes all its tasks fail. */
static void worker_fault(struct fleet *f, unsigned i, unsigned how, int64_t ms)
{
	struct fake_worker *w = &f->workers[i];

	if (w->frozen || w->silent || w->fails)
		return;
	switch (how % 4) {
	case 0:
		w->frozen = true;
		break;
	case 1:
		w->silent = true;
		break;
	case 2:
		fleet_worker_restart(f, w);
		break;
	default:
		w->fails = true;
		break;
	}
	fault_for(f, FLEET_WORKER, i, 0, ms);
}

/* Freezes an entry VM for ms milliseconds. */
static void entry_freeze(struct fleet *f, unsigned slot, int64_t ms)
{
	struct entry *e = &f->entries[slot];

	if (!e->up || e->frozen)
		return;
	e->frozen = true;
	e->frozen_at = f->now;
	fault_for(f, FLEET_FREEZE, slot, e->generation, ms);
}

/* Begins a planned stop of an entry VM. */
static void entry_stop(struct fleet *f, unsigned slot)
{
	struct entry *e = &f->entries[slot];

	if (!e->up || e->stopping)
		return;
	e->stopping = true;
	e->stop_at = INT64_MAX;
	fleet_entry_post(f, slot, e->generation, 1, event_new(EV_STOP));
}

/* Starts a fault of network, platform or workers, or lets a worker leave. */
static void step_fault(struct fleet *f, struct fleet_step s)
{
	int64_t ms = 300 + 400 * (int64_t)(s.arg2 % 32);
	unsigned i;

	switch (s.op) {
	case FLEET_CUT:
		if (!f->dc_cut)
			fault_for(f, FLEET_CUT, 0, 0, ms * 2);
		f->dc_cut = true;
		break;
	case FLEET_CUT_PLATFORM:
		i = s.arg1 % (FLEET_ENTRIES + 2);
		if (i >= FLEET_ENTRIES && !f->dc_platform_cut[i % 2]) {
			f->dc_platform_cut[i % 2] = true;
			fault_for(f, FLEET_CUT_PLATFORM, i, 0, ms * 2);
		} else if (i < FLEET_ENTRIES && !f->entries[i].platform_cut) {
			f->entries[i].platform_cut = true;
			fault_for(f, FLEET_CUT_PLATFORM, i, 0, ms * 2);
		}
		break;
	case FLEET_PLATFORM:
		if (f->platform_mode)
			break;
		f->platform_mode = 1 + s.arg1 % (PLATFORM_MODES - 1);
		fault_for(f, FLEET_PLATFORM, 0, 0, ms);
		break;
	case FLEET_LATE:
		if (!f->late)
			fault_for(f, FLEET_LATE, 0, 0, ms * 2);
		f->late = 1;
		break;
	case FLEET_WORKER:
		worker_fault(f, s.arg1 % FLEET_WORKERS, s.arg2 / 32, ms * 2);
		break;
	case FLEET_RACK:
		for (i = s.arg1 % 3; i < FLEET_WORKERS; i += 3)
			worker_fault(f, i, s.arg2 / 32, ms * 2);
		break;
	case FLEET_LEAVE:
		i = s.arg1 % FLEET_WORKERS;
		if (f->workers[i].leaving)
			break;
		f->workers[i].leaving = true;
		f->workers[i].leaving_at = f->now;
		f->workers[i].seq++;
		fleet_worker_answer_watches(f, &f->workers[i]);
		/* not counted as a fault, which would suspend its check */
		fleet_queue_put(f, (struct queue_item){.at = f->now + ms * 2,
						       .kind = Q_FAULT_END,
						       .index = i,
						       .n = FLEET_LEAVE});
		break;
	default:
		break;
	}
}

/* Kills, freezes or stops entry VMs, or advances the clock of one. */
static void step_entry(struct fleet *f, struct fleet_step s)
{
	unsigned slot = s.arg1 % FLEET_ENTRIES, i;

	switch (s.op) {
	case FLEET_KILL:
		for (i = 0; i < FLEET_ENTRIES; i++)
			if (i == slot || s.arg2 % 8 == 7)
				fleet_entry_kill(f, i,
						 200 + 300 * (s.arg2 / 8 % 16));
		break;
	case FLEET_FREEZE:
		entry_freeze(f, slot, 200 + 500 * (int64_t)(s.arg2 % 32));
		break;
	case FLEET_STOP:
		entry_stop(f, slot);
		break;
	case FLEET_JUMP:
		f->entries[slot].clock_offset += 100 * (int64_t)(s.arg2 % 128);
		break;
	default:
		break;
	}
}

/* Sends one or more requests of operators. */
static void step_operator(struct fleet *f, struct fleet_step s)
{
	unsigned team = s.arg1 % FLEET_TEAMS, worker = s.arg1 % FLEET_WORKERS;

	switch (s.op) {
	case FLEET_LIMIT:
		fleet_operate(f, OP_TEAM_LIMIT, team, s.arg2 % 10);
		break;
	case FLEET_BUDGET:
		fleet_operate(f, OP_POOL_BUDGET, s.arg1 % POOLS, s.arg2 % 4);
		break;
	case FLEET_WITHDRAW: /* key 0 stays */
		fleet_operate(f, OP_KEY_WITHDRAW, team,
			      1 + s.arg2 % (FLEET_KEYS - 1));
		break;
	case FLEET_DRAIN:
		fleet_operate(f, OP_VM_DRAIN, worker, s.arg2);
		break;
	case FLEET_MOVE:
		fleet_operate(f, OP_VM_MOVE, worker, s.arg2);
		break;
	case FLEET_RETURN:
		fleet_operate(f, OP_VM_RETURN, worker, s.arg2);
		break;
	case FLEET_RACE:
		fleet_operate(f, OP_TEAM_LIMIT, team, 2 + s.arg2 % 8);
		fleet_operate(f, OP_TEAM_LIMIT, team, 2 + s.arg2 / 8 % 8);
		fleet_operate(f, OP_POOL_BUDGET, s.arg1 % POOLS,
			      1 + s.arg2 % 3);
		break;
	default:
		break;
	}
}

/* Sends requests of callers. */
static void step_caller(struct fleet *f, struct fleet_step s)
{
	unsigned i, n = f->job_count;

	switch (s.op) {
	case FLEET_SUBMIT:
		for (i = 0; i <= s.arg2 % 8; i++)
			fleet_job_create(f, s.arg1 + i * 37);
		break;
	case FLEET_RETRY:
		for (i = 0; n && i <= s.arg2 % 4; i++)
			if (!f->jobs[(s.arg1 + i) % n].memory_only)
				fleet_job_submit(f, (s.arg1 + i) % n,
						 s.arg2 + i);
		break;
	case FLEET_GET:
		if (n)
			fleet_job_request(f, CALL_GET, s.arg1 % n,
					  s.arg2 % 2 ? 2000 : 0);
		break;
	case FLEET_CANCEL:
		for (i = 0; n && i <= s.arg2 % 8; i++)
			fleet_job_request(f, CALL_CANCEL,
					  n - 1 - (s.arg1 + i) % n, 0);
		break;
	case FLEET_CANCEL_LABEL:
		fleet_label_cancel(f, s.arg1 % FLEET_TEAMS, s.arg2 % 8);
		break;
	default:
		break;
	}
}

/* Does a step, unless an invariant has been violated already. */
void fleet_apply(struct fleet *f, struct fleet_step s)
{
	if (f->violation[0] || s.op == FLEET_END)
		return;
	TRACE(f, "step %s %u %u", fleet_op_name(s.op), s.arg1, s.arg2);
	if (s.op == FLEET_RUN)
		fleet_run(f, 50 * (int64_t)(1 + s.arg1 % 64));
	else if (s.op <= FLEET_CANCEL_LABEL)
		step_caller(f, s);
	else if (s.op <= FLEET_JUMP)
		step_entry(f, s);
	else if (s.op <= FLEET_RACK || s.op == FLEET_LEAVE)
		step_fault(f, s);
	else
		step_operator(f, s);
	fleet_run(f, 3);
}

/* Ends a fault. */
void fleet_fault_clear(struct fleet *f, const struct queue_item *q)
{
	struct fake_worker *w = &f->workers[q->index % FLEET_WORKERS];
	struct entry *e = &f->entries[q->index % FLEET_ENTRIES];

	if (q->n != FLEET_LEAVE)
		fleet_fault_end(f);
	switch ((enum fleet_op)q->n) {
	case FLEET_FREEZE:
		if (e->up && e->frozen && e->generation == q->generation)
			fleet_entry_thaw(f, q->index);
		break;
	case FLEET_CUT:
		f->dc_cut = false;
		break;
	case FLEET_CUT_PLATFORM:
		if (q->index >= FLEET_ENTRIES)
			f->dc_platform_cut[q->index % 2] = false;
		else
			e->platform_cut = false;
		break;
	case FLEET_PLATFORM:
		f->platform_mode = PLATFORM_UP;
		break;
	case FLEET_LATE:
		f->late = 0;
		break;
	case FLEET_LEAVE:
		w->leaving = false;
		w->seq++;
		fleet_worker_answer_watches(f, w);
		break;
	case FLEET_WORKER:
		w->silent = w->fails = false;
		if (w->frozen)
			fleet_worker_thaw(f, w);
		fleet_worker_answer_watches(f, w);
		break;
	default:
		break;
	}
}

/* Returns the name of a step without its prefix. */
const char *fleet_op_name(enum fleet_op op)
{
	static const char *const names[] = {
		"END",		"RUN",	    "SUBMIT",	    "RETRY",
		"GET",		"CANCEL",   "CANCEL_LABEL", "KILL",
		"FREEZE",	"STOP",	    "JUMP",	    "CUT",
		"CUT_PLATFORM", "PLATFORM", "LATE",	    "WORKER",
		"RACK",		"LIMIT",    "BUDGET",	    "WITHDRAW",
		"DRAIN",	"MOVE",	    "RETURN",	    "LEAVE",
		"RACE"};

	return op < FLEET_OPS ? names[op] : "?";
}
