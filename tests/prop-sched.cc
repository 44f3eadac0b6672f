/*
 * Property tests of the scheduler: random operations and faults in the
 * simulated world. The world checks the invariants after each event, see
 * support-world.h. Some time after the faults have ended, every accepted job
 * must be completed.
 */
#include "support-world.h"

#include <cctype>
#include <cstdlib>
#include <cstring>
#include <rapidcheck.h>
#include <sstream>
#include <string>
#include <vector>

enum op {
	OP_RUN,
	OP_QUICK,
	OP_CHAIN,
	OP_LASTING,
	OP_RETRY,
	OP_CANCEL,
	OP_KILL,
	OP_STOP,
	OP_FREEZE,
	OP_CUT_STORE,
	OP_CUT_WORKER,
	OP_STORE,
	OP_STORE_VM,
	OP_COMPACT,
	OP_UNLIST,
	OP_CRASH,
	OP_LATE,
	OP_FAILS,
	OP_LIMIT,
	OP_WAVE,
	OP_HEAL,
	OP_ASK, /* from here on all VMs are asked how many jobs wait */
	OP_SLOW,
	OP_PAGES,
	OP_STALL,
	OP_REFUSE,
	OP_VANISH,
	OP_LONG,	 /* like RUN, and five times as long */
	OP_WRITES_LATE,	 /* for a while, writes of one VM are carried out
			    seconds later */
	OP_PAGES_SLOW,	 /* of one table */
	OP_INBOX,	 /* answers of workers are processed late, and
			    orders leave late */
	OP_UNHEARD,	 /* starts are carried out without an answer */
	OP_POISON,	 /* a job that crashes its workers */
	OP_CRASH_MODE,	 /* how they are back */
	OP_SHRINK,	 /* a worker's capacity changes */
	OP_MOST_LATE,	 /* most orders are late */
	OP_RESTART,	 /* of a worker, at times while it is cut off */
	OP_LATE_RESTART, /* of idle workers, while all orders are late */
	OP_CUT_ALL,	 /* all VMs are cut off from a worker */
	OP_RESETS,   /* from here on polls fail when their worker restarts */
	OP_SLOW_JOB, /* a job whose tasks take seconds */
	OP_EVACUATE, /* a data centre is evacuated, or not any more */
	OP_UNTOLD,   /* VMs hear nothing of the operator for a while */
	OP_DRIFT,    /* clocks of workers are slow; only the first operation */
	OP_POOLS,  /* there is a second pool, likewise; no machine moves to it,
		      unless b is odd */
	OP_ROUTE,  /* the first queue's route names this or that pool */
	OP_RETAIN, /* final jobs are forgotten soon; only the first operation */
	OP_RESTART_LOSE, /* like RESTART_CUT, and the owner is lost before the
			    cut */
	OP_LEASES, /* the longest lease in seconds, and if b is odd the clocks
		      of workers tell no age; only the first operation */
	OP_RESTART_CUT, /* workers are cut off soon after a restart */
	OP_POLLS_LATE,	/* all polls of workers are late */
	OP_OWNERS, /* owners follow each other, while workers are cut off of
		      all VMs or of all but one */
	OPS
};
static const char *const names[OPS] = {
	"RUN",	      "QUICK",	  "CHAIN",	  "LASTING",	 "RETRY",
	"CANCEL",     "KILL",	  "STOP",	  "FREEZE",	 "CUT_STORE",
	"CUT_WORKER", "STORE",	  "STORE_VM",	  "COMPACT",	 "UNLIST",
	"CRASH",      "LATE",	  "FAILS",	  "LIMIT",	 "WAVE",
	"HEAL",	      "ASK",	  "SLOW",	  "PAGES",	 "STALL",
	"REFUSE",     "VANISH",	  "LONG",	  "WRITES_LATE", "PAGES_SLOW",
	"INBOX",      "UNHEARD",  "POISON",	  "CRASH_MODE",	 "SHRINK",
	"MOST_LATE",  "RESTART",  "LATE_RESTART", "CUT_ALL",	 "RESETS",
	"SLOW_JOB",   "EVACUATE", "UNTOLD",	  "DRIFT",	 "POOLS",
	"ROUTE",      "RETAIN",	  "RESTART_LOSE", "LEASES",	 "RESTART_CUT",
	"POLLS_LATE", "OWNERS"};

struct operation {
	op what;
	unsigned a, b;
};
using operations = std::vector<operation>;

static const world_job quick = {3, 0, 300, 0, false, 0, 0};
static const world_job two_steps = {3, 2, 400, 1, false, 0, 0};
static const world_job slow_job = {4, 0, 9000, 0, false, 1, 0};
static const world_job long_lived = {3, 0, 0, 0, true, 1, 1};
static const world_job poisons[] = {
	{1, 0, 300, 0, false, 0, 0, false, true, 0},
	{3, 0, 2000, 0, false, 0, 0, false, true, 700},
	{2, 0, 0, 0, true, 0, 0, false, true, 40}};

struct submitted_job {
	char id[17];
	const world_job *job;
	std::vector<uint64_t> calls;
	uint64_t cancel;
};

struct simulation {
	world *w;
	std::vector<submitted_job> jobs;
	bool wave_started;
	bool has_second_pool;
	unsigned long_lived_jobs;
	bool forgets;		/* final jobs, within the simulation */
	unsigned busy_restarts; /* see restart() */
};

/* Formats a sequence as the text that replay() takes. */
static std::string operations_format(uint64_t seed, const operations &v)
{
	std::ostringstream o;

	o << "seed " << seed << ":";
	for (const auto &s : v)
		o << " {" << names[s.what] << " " << s.a << " " << s.b << "}";
	return o.str();
}

/* Ends all faults and starts the VMs that were killed or have stopped. */
static void faults_end(simulation &p)
{
	unsigned i, k;

	world_set_store_mode(p.w, WORLD_STORE_OK);
	world_set_store_delay(p.w, 0);
	world_set_page_rows(p.w, 0);
	for (i = 0; i < TABLE_MAX; i++)
		world_set_page_delay(p.w, (table)i, 0);
	world_refuse_starts(p.w, REFUSAL_NONE);
	world_set_lost_starts(p.w, 0);
	world_lose_start_answers(p.w, false);
	world_set_order_delay(p.w, 0);
	world_set_late_orders(p.w, 0);
	world_set_late_polls(p.w, false);
	world_set_limit(p.w, 0);
	for (i = 0; i < WORLD_DCS; i++)
		world_evacuate(p.w, i, false);
	for (i = 0; i < 4; i++) {
		world_cut_store(p.w, i, false);
		world_set_vm_store_mode(p.w, i, WORLD_STORE_OK);
		world_set_vm_store_delay(p.w, i, 0);
		world_set_inbox_delay(p.w, i, 0);
		world_stall_reads(p.w, i, TABLE_JOBS, false);
		world_stall_reads(p.w, i, TABLE_OWNER, false);
		world_stall_reads(p.w, i, TABLE_OPERATOR, false);
		world_start_vm(p.w, i);
		for (k = 0; k < WORLD_WORKERS; k++)
			world_cut_worker(p.w, i, k, false);
	}
	for (k = 0; k < WORLD_WORKERS; k++) {
		world_unlist_worker(p.w, k, false);
		world_fail_tasks(p.w, k, false);
		world_set_capacity(p.w, k, 16000);
	}
}

/* Submits a new job, up to 24 in a simulation. */
static void submit(simulation &p, unsigned vm, const world_job *job)
{
	submitted_job h = {{0}, job, {}, 0};

	if (p.jobs.size() >= 24)
		return;
	/* Half of the workers must have room for the other jobs. */
	if (p.has_second_pool && job == &long_lived && p.long_lived_jobs++ >= 7)
		return;
	snprintf(h.id, sizeof(h.id), "%016llx",
		 (p.jobs.size() + 1) * 0x0511111111111111ULL);
	h.calls.push_back(world_submit(p.w, vm, h.id, job));
	p.jobs.push_back(h);
}

/* Answers of workers to all starts. */
static const refusal refusals[] = {REFUSAL_NONE, REFUSAL_UNHEALTHY,
				   REFUSAL_CAPACITY, REFUSAL_BUSY};

/*
 * Restarts a worker under its id, either at once, or after it was cut off for a
 * while, which lasts on.  Nothing may run there: the owner can't tell a task
 * from one that crashes its workers if several crash under it by chance.
 */
static void worker_restart(simulation &p, unsigned worker, int64_t before_ms,
			   int64_t after_ms)
{
	if (!before_ms) {
		world_restart_idle_worker(p.w, worker);
		return;
	}
	world_cut_worker_of_all(p.w, worker, true);
	world_run(p.w, before_ms);
	world_restart_idle_worker(p.w, worker);
	world_run(p.w, after_ms);
	world_cut_worker_of_all(p.w, worker, false);
}

/* Restarts all workers without runs, while all orders are late. */
static void idle_workers_restart_late(simulation &p, int64_t late_ms)
{
	world_set_late_orders(p.w, 100);
	for (unsigned i = 0; i < WORLD_WORKERS; i++)
		world_restart_idle_worker(p.w, i);
	world_run(p.w, late_ms);
	world_set_late_orders(p.w, 0);
}

/*
 * Restarts a worker under its id.  That ends runs, or loses ends that no owner
 * stored, on at most two workers in a simulation: a task is taken for the cause
 * after one crash more.
 */
static void restart(simulation &p, unsigned worker)
{
	if (!world_worker_is_idle(p.w, worker)) {
		if (p.busy_restarts == 2)
			return;
		p.busy_restarts++;
	}
	world_crash_worker(p.w, worker);
}

/* Kills the owner, or freezes it; returns the VM, or -1 if there is none. */
static int owner_lose(simulation &p, bool kill, int64_t freeze_ms)
{
	int vm = world_owner(p.w);

	if (vm != -1 && kill)
		world_kill_vm(p.w, vm);
	else if (vm != -1)
		world_freeze_vm(p.w, vm, freeze_ms);
	return vm;
}

/*
 * Restarts three workers under their ids, submits work, which the owner sends
 * there with deadlines on the clocks of before, and cuts them off for about
 * the time of the longest lease.  If the owner is to be lost, that is soon
 * before the cut, and it may know of the restart or not.
 */
static void restart_and_cut(simulation &p, const operation &s, bool lose_owner)
{
	unsigned first = s.b / 2 % WORLD_WORKERS, i;
	int lost = -1;

	for (i = 0; i < 3; i++)
		restart(p, (first + i) % WORLD_WORKERS);
	world_run(p.w, 310);
	submit(p, s.a % 4, &slow_job);
	world_run(p.w, s.a * 8);
	if (lose_owner)
		lost = owner_lose(p, s.b % 2, 2000 + s.a * 40);
	world_run(p.w, s.b % 7 * 100);
	for (i = 0; i < 3; i++)
		world_cut_worker_of_all(p.w, (first + i) % WORLD_WORKERS, true);
	world_run(p.w, 8000 + s.b % 81 * 50);
	for (i = 0; i < 3; i++)
		world_cut_worker_of_all(p.w, (first + i) % WORLD_WORKERS,
					false);
	if (lost != -1)
		world_start_vm(p.w, lost);
}

/* Ends the time of the owner, in one of four ways; returns the VM, or -1. */
static int owner_end(simulation &p, unsigned how)
{
	int vm = world_owner(p.w);

	if (vm == -1)
		return vm;
	if (how % 4 == 0)
		world_kill_vm(p.w, vm);
	else if (how % 4 == 1)
		world_stop_vm(p.w, vm);
	else if (how % 4 == 2)
		world_freeze_vm(p.w, vm, 1700);
	else
		world_cut_store(p.w, vm, true);
	return vm;
}

/*
 * Lets up to four owners follow each other, each of which lives for 5 ms to 1.5
 * s, while workers are cut off of all VMs, or of all but one.
 */
static void owners_follow(simulation &p, const operation &s)
{
	unsigned first = s.a % WORLD_WORKERS, count = 2 + s.a / 6 % 3, i, k;
	unsigned reached = s.a / 18 % 8; /* by this VM; 4 and above: by none */
	int lost[4];
	int64_t live;

	for (i = 0; i < count; i++)
		for (k = 0; k < 4; k++)
			world_cut_worker(p.w, k, (first + i) % WORLD_WORKERS,
					 k != reached);
	for (i = 0; i < 4; i++) {
		lost[i] = owner_end(p, s.b / (1u << 2 * i));
		for (k = 0; k < 300 && (k < 1 || world_owner(p.w) == -1 ||
					world_owner(p.w) == lost[i]);
		     k++)
			world_run(p.w, 10);
		live = (s.a + 97 * i) % 6;
		world_run(p.w, 5 + live * live * 60);
		if (i && lost[i - 1] != -1) {
			world_cut_store(p.w, lost[i - 1], false);
			world_start_vm(p.w, lost[i - 1]);
		}
	}
	if (lost[3] != -1) {
		world_cut_store(p.w, lost[3], false);
		world_start_vm(p.w, lost[3]);
	}
	for (i = 0; i < count; i++)
		world_cut_worker_of_all(p.w, (first + i) % WORLD_WORKERS,
					false);
}

/* Applies an operation, whose numbers choose its target and extent. */
static void operation_apply(simulation &p, const operation &s)
{
	unsigned vm = s.a % 4, worker = s.b % WORLD_WORKERS, i;

	switch (s.what) {
	case OP_RUN:
		world_run(p.w, 1 + s.a * 4);
		break;
	case OP_QUICK:
		submit(p, vm, &quick);
		break;
	case OP_CHAIN:
		submit(p, vm, &two_steps);
		break;
	case OP_LASTING:
		submit(p, vm, &long_lived);
		break;
	case OP_RETRY:
		if (p.jobs.empty())
			break;
		i = s.b % p.jobs.size();
		/* Nobody hands a job in again when it is forgotten. */
		if (p.forgets && world_job_was_final(p.w, p.jobs[i].id))
			break;
		p.jobs[i].calls.push_back(
			world_submit(p.w, vm, p.jobs[i].id, p.jobs[i].job));
		break;
	case OP_CANCEL:
		if (p.jobs.empty())
			break;
		i = s.b % p.jobs.size();
		if (!p.jobs[i].cancel)
			p.jobs[i].cancel = world_call(p.w, vm, VERB_CANCEL,
						      p.jobs[i].id);
		break;
	case OP_KILL:
		world_kill_vm(p.w, vm);
		if (s.b % 2) {
			world_run(p.w, 500);
			world_start_vm(p.w, vm);
		}
		break;
	case OP_STOP:
		world_stop_vm(p.w, vm);
		break;
	case OP_FREEZE:
		world_freeze_vm(p.w, vm, 200 + s.b * 30);
		break;
	case OP_CUT_STORE:
		world_cut_store(p.w, vm, s.b % 3);
		break;
	case OP_CUT_WORKER:
		world_cut_worker(p.w, vm, worker, s.b % 3);
		break;
	case OP_STORE:
		world_set_store_mode(p.w, (world_store_mode)(s.a % 4));
		world_run(p.w, s.b * 12);
		world_set_store_mode(p.w, WORLD_STORE_OK);
		break;
	case OP_STORE_VM:
		world_set_vm_store_mode(p.w, vm, (world_store_mode)(s.b % 4));
		break;
	case OP_COMPACT:
		world_compact_history(p.w);
		break;
	case OP_UNLIST:
		world_unlist_worker(p.w, worker, s.a % 2);
		break;
	case OP_CRASH:
		world_crash_worker(p.w, worker);
		break;
	case OP_LATE:
		world_set_late_orders(p.w, s.a % 40);
		break;
	case OP_FAILS:
		world_fail_tasks(p.w, worker, s.a % 2);
		break;
	case OP_LIMIT:
		world_set_limit(p.w, s.a % 2 ? 0 : 8000 + 1000 * (s.b % 20));
		break;
	case OP_WAVE:
		if (!p.wave_started)
			world_start_wave(p.w, 2 + s.a % 5, 1 + s.b % 2);
		p.wave_started = true;
		break;
	case OP_HEAL:
		faults_end(p);
		break;
	case OP_ASK:
		world_poll_counts(p.w, 20 + s.a);
		break;
	case OP_SLOW:
		if (s.a % 2)
			world_set_store_delay(p.w, s.b * 3);
		else
			world_set_vm_store_delay(p.w, s.a / 2 % 4, s.b * 3);
		break;
	case OP_PAGES:
		world_set_page_rows(p.w, s.b % 4);
		break;
	case OP_STALL:
		world_stall_reads(p.w, vm, s.b % 2 ? TABLE_JOBS : TABLE_OWNER,
				  s.b % 3);
		break;
	case OP_REFUSE:
		world_refuse_starts(p.w, refusals[s.b % 4]);
		break;
	case OP_VANISH:
		world_set_lost_starts(p.w, s.b % 3 ? s.b % 101 : 0);
		break;
	case OP_LONG:
		world_run(p.w, 1 + s.a * 20);
		break;
	case OP_WRITES_LATE:
		world_set_vm_store_mode(p.w, vm, WORLD_STORE_LATE);
		world_run(p.w, 10 + s.b * 4);
		world_set_vm_store_mode(p.w, vm, WORLD_STORE_OK);
		break;
	case OP_PAGES_SLOW:
		world_set_page_delay(p.w, (table)(s.a % TABLE_MAX),
				     s.b % 3 ? s.b * 3 : 0);
		break;
	case OP_INBOX:
		for (i = 0; i < 4; i++)
			world_set_inbox_delay(p.w, i,
					      s.b % 3 ? 500 + s.b * 12 : 0);
		world_set_order_delay(p.w, s.b % 3 == 1 ? 700 : 0);
		world_run(p.w, s.a * 12);
		break;
	case OP_UNHEARD:
		world_lose_start_answers(p.w, s.b % 2);
		break;
	case OP_POISON:
		submit(p, vm, &poisons[s.b % 3]);
		break;
	case OP_CRASH_MODE:
		world_set_crash_mode(
			p.w, s.a % 2 ? WORLD_CRASH_NEW_ID : WORLD_CRASH_SAME_ID,
			200 + s.b * 20);
		break;
	case OP_SHRINK:
		world_set_capacity(p.w, worker, 2000 * (s.a % 9));
		break;
	case OP_MOST_LATE:
		world_set_late_orders(p.w, s.a % 3 ? 40 + s.b % 61 : 0);
		break;
	case OP_RESTART:
		worker_restart(p, worker, s.a % 4 * 200, s.b / 6 * 40);
		break;
	case OP_LATE_RESTART:
		idle_workers_restart_late(p, 300 + s.a * 4);
		world_set_late_orders(p.w, s.b % 2 ? 60 : 0);
		break;
	case OP_CUT_ALL:
		world_cut_worker_of_all(p.w, worker, s.a % 3);
		break;
	case OP_RESETS:
		world_reset_polls(p.w);
		break;
	case OP_SLOW_JOB:
		submit(p, vm, &slow_job);
		break;
	case OP_EVACUATE:
		world_evacuate(p.w, s.a % WORLD_DCS, s.b % 3);
		break;
	case OP_UNTOLD:
		for (i = 0; i < 4; i++)
			world_stall_reads(p.w, i, TABLE_OPERATOR,
					  i != vm || s.b % 2);
		world_run(p.w, 100 + s.b * 30);
		for (i = 0; i < 4; i++)
			world_stall_reads(p.w, i, TABLE_OPERATOR, false);
		break;
	case OP_ROUTE:
		if (p.has_second_pool)
			world_move_route(p.w, s.a % 2);
		break;
	case OP_POLLS_LATE:
		world_set_late_polls(p.w, s.a % 3);
		break;
	case OP_RESTART_CUT:
	case OP_RESTART_LOSE:
		restart_and_cut(p, s, s.what == OP_RESTART_LOSE);
		break;
	case OP_OWNERS:
		owners_follow(p, s);
		break;
	case OP_DRIFT: /* see run() */
	case OP_POOLS:
	case OP_RETAIN:
	case OP_LEASES:
	case OPS:
		break;
	}
}

/* Returns true if any of a job's calls was accepted. */
static bool job_is_accepted(const simulation &p, const submitted_job &h)
{
	for (uint64_t c : h.calls)
		if (world_call_status(p.w, c) == 200)
			return true;
	return false;
}

/*
 * Checks the jobs and the wave after the faults; returns what is wrong, or "".
 */
static std::string final_state_check(simulation &p)
{
	for (const auto &h : p.jobs) {
		std::string state = world_job_state(p.w, h.id);

		if (!job_is_accepted(p, h))
			continue;
		if (p.forgets && world_job_was_final(p.w, h.id)) {
			if (world_stored_rows(p.w, h.id))
				return "final and not forgotten: " +
				       std::string(h.id);
			continue;
		}
		if (state != "completed" && state != "failed" && !h.cancel &&
		    h.job != &long_lived)
			return "accepted and not completed: " +
			       std::string(h.id) + " " + state;
		if (state != "running" && h.job == &long_lived && !h.cancel)
			return "long-running and not running: " +
			       std::string(h.id) + " " + state;
	}
	if (p.wave_started && !world_wave_is_completed(p.w))
		return "the wave is not completed";
	return "";
}

/*
 * Runs a sequence, ends the faults and checks the result; returns what failed,
 * or "".
 */
static std::string run(uint64_t seed, const operations &v)
{
	simulation p = {
		world_new(seed, 4, WORLD_WORKERS), {}, false, false, 0, false};
	std::string failure;

	if (!v.empty() && v[0].what == OP_DRIFT)
		world_slow_clocks(p.w);
	p.has_second_pool = !v.empty() && v[0].what == OP_POOLS;
	if (p.has_second_pool)
		world_add_second_pool(p.w, WORLD_WORKERS / 2);
	if (p.has_second_pool && v[0].b % 2 == 0)
		world_set_machine_mode(p.w, WORLD_MACHINES_BUSY);
	p.forgets = !v.empty() && v[0].what == OP_RETAIN;
	if (p.forgets)
		world_set_retention(p.w, 1500);
	if (!v.empty() && v[0].what == OP_LEASES) {
		/* No job is forgotten, though these sequences last minutes. */
		world_set_retention(p.w, 3600000);
		world_set_lease_max(p.w, v[0].a * 1000);
		if (v[0].b % 2)
			world_set_clocks_behind(p.w);
	}
	world_run(p.w, 2000);
	for (const auto &s : v) {
		operation_apply(p, s);
		world_run(p.w, 7);
	}
	/*
	 * VMs that were asked to stop have ended by the second call, which
	 * starts them again.
	 */
	faults_end(p);
	world_run(p.w, 8000);
	faults_end(p);
	world_run(p.w, 36000);
	if (world_violation(p.w))
		failure = world_violation(p.w);
	else
		failure = final_state_check(p);
	world_free(p.w);
	return failure;
}

struct fault_mix {
	const char *name;
	std::vector<op> faults;
	bool polls_counts; /* all VMs are asked throughout how many jobs wait */
	bool polls_reset;  /* polls fail when their worker restarts */
	bool clocks_slow;  /* of workers */
	bool second_pool;
	bool forgets;	  /* final jobs, within the simulation */
	bool leases_long; /* the longest one, and clocks tell no age */
};
static const std::vector<fault_mix> mixes = {
	{"undisturbed, with retries and cancels", {OP_RETRY, OP_CANCEL}},
	{"VMs killed, stopped, frozen", {OP_KILL, OP_STOP, OP_FREEZE}},
	{"the store away, refusing, losing answers",
	 {OP_STORE, OP_STORE_VM, OP_CUT_STORE, OP_COMPACT}},
	{"workers cut off, crashed, unlisted, late",
	 {OP_CUT_WORKER, OP_CRASH, OP_UNLIST, OP_LATE}},
	{"limits and waves", {OP_LIMIT, OP_WAVE, OP_KILL}},
	{"all of it together",
	 {OP_KILL, OP_STOP, OP_FREEZE, OP_CUT_STORE, OP_CUT_WORKER, OP_STORE,
	  OP_STORE_VM, OP_COMPACT, OP_UNLIST, OP_CRASH, OP_LATE, OP_LIMIT,
	  OP_WAVE, OP_CANCEL, OP_RETRY, OP_HEAL}},
	{"limits, VMs killed and stopped, and all are asked",
	 {OP_LIMIT, OP_KILL, OP_STOP, OP_FREEZE, OP_CANCEL, OP_LONG},
	 true},
	{"the store slow, starts turned away, and all are asked",
	 {OP_SLOW, OP_PAGES, OP_STALL, OP_REFUSE, OP_VANISH, OP_LIMIT, OP_KILL,
	  OP_HEAL, OP_LONG},
	 true},
	{"all of it together, and all are asked",
	 {OP_KILL,  OP_STOP,  OP_FREEZE,   OP_CUT_STORE, OP_CUT_WORKER,
	  OP_STORE, OP_LATE,  OP_STORE_VM, OP_COMPACT,	 OP_UNLIST,
	  OP_CRASH, OP_LIMIT, OP_WAVE,	   OP_CANCEL,	 OP_RETRY,
	  OP_SLOW,  OP_PAGES, OP_STALL,	   OP_REFUSE,	 OP_VANISH,
	  OP_HEAL,  OP_LONG},
	 true},
	{"writes done late, pages slow, VMs lost, and all are asked",
	 {OP_WRITES_LATE, OP_WRITES_LATE, OP_PAGES_SLOW, OP_KILL, OP_FREEZE,
	  OP_SLOW, OP_CUT_STORE, OP_CUT_WORKER, OP_UNLIST, OP_COMPACT, OP_LIMIT,
	  OP_WAVE, OP_CANCEL, OP_STOP, OP_HEAL, OP_LONG},
	 true},
	{"answers of workers processed late",
	 {OP_INBOX, OP_INBOX, OP_INBOX, OP_UNHEARD, OP_UNHEARD, OP_VANISH,
	  OP_CUT_WORKER, OP_LATE, OP_CRASH, OP_SLOW, OP_LIMIT, OP_REFUSE,
	  OP_KILL, OP_FREEZE, OP_HEAL, OP_LONG}},
	{"tasks that crash their workers, and capacity that shrinks",
	 {OP_POISON, OP_CRASH_MODE, OP_SHRINK, OP_LONG, OP_LONG, OP_CANCEL,
	  OP_STORE}},
	/*
	 * Without OP_CRASH: a task that runs alone on a worker that crashes by
	 * chance can't be told from one that is the cause.
	 */
	{"tasks that crash their workers, VMs stopped, workers cut off and late",
	 {OP_POISON, OP_CRASH_MODE, OP_SHRINK, OP_LONG, OP_STOP, OP_CUT_WORKER,
	  OP_UNLIST, OP_LATE, OP_WAVE, OP_HEAL}},
	{"workers restarted and cut off while orders are late, owners killed",
	 {OP_MOST_LATE, OP_LATE_RESTART, OP_LATE_RESTART, OP_RESTART,
	  OP_CUT_ALL, OP_CUT_ALL, OP_LONG, OP_SLOW_JOB, OP_SLOW_JOB, OP_KILL,
	  OP_FREEZE},
	 false,
	 true},
	{"data centres evacuated, VMs lost and untold, the history discarded",
	 {OP_EVACUATE, OP_EVACUATE, OP_EVACUATE, OP_UNTOLD, OP_KILL, OP_FREEZE,
	  OP_CUT_STORE, OP_COMPACT, OP_PAGES_SLOW, OP_LATE, OP_STORE, OP_WAVE,
	  OP_LONG, OP_LONG, OP_CANCEL}},
	{"clocks of workers slow, owners lost, workers cut off and unlisted",
	 {OP_KILL, OP_KILL, OP_STOP, OP_FREEZE, OP_FREEZE, OP_CUT_STORE,
	  OP_CUT_WORKER, OP_CUT_ALL, OP_CUT_ALL, OP_UNLIST, OP_STORE_VM,
	  OP_WRITES_LATE, OP_UNHEARD, OP_LATE, OP_INBOX, OP_SLOW_JOB, OP_LONG,
	  OP_LONG},
	 false,
	 false,
	 true},
	{"routes that change, owners lost, workers cut off",
	 {OP_ROUTE, OP_ROUTE, OP_ROUTE, OP_KILL, OP_STOP, OP_FREEZE,
	  OP_CUT_STORE, OP_CUT_WORKER, OP_CUT_ALL, OP_CUT_ALL, OP_REFUSE,
	  OP_STORE_VM, OP_CANCEL, OP_SLOW_JOB, OP_LONG, OP_LONG},
	 false,
	 false,
	 false,
	 true},
	{"final jobs forgotten, VMs lost, writes late, tables read again",
	 {OP_KILL,	  OP_STOP,	  OP_FREEZE,	 OP_CUT_STORE,
	  OP_STORE,	  OP_STORE,	  OP_STORE_VM,	 OP_COMPACT,
	  OP_COMPACT,	  OP_COMPACT,	  OP_PAGES_SLOW, OP_PAGES_SLOW,
	  OP_WRITES_LATE, OP_WRITES_LATE, OP_CANCEL,	 OP_LATE,
	  OP_CUT_WORKER,  OP_LONG,	  OP_LONG,	 OP_LONG,
	  OP_LONG},
	 false,
	 false,
	 false,
	 false,
	 true},
	/*
	 * The two mixes with long leases have no tasks that crash workers: the
	 * clock of a process still counts as its age where the owner decides
	 * which tasks a crash has ended.  They have no late starts either: one
	 * that a silent process carries out after its task was started
	 * elsewhere is a known failure, see KNOWN-RED.txt.
	 */
	{"long leases, workers restarted and cut off, one owner",
	 {OP_RESTART_CUT, OP_RESTART_CUT, OP_CUT_ALL, OP_CUT_ALL, OP_POLLS_LATE,
	  OP_POLLS_LATE, OP_SLOW_JOB, OP_UNLIST, OP_CANCEL, OP_LONG},
	 false,
	 true,
	 false,
	 false,
	 false,
	 true},
	{"long leases, workers restarted and cut off, owners lost",
	 {OP_RESTART_LOSE, OP_RESTART_LOSE, OP_CUT_ALL, OP_POLLS_LATE, OP_KILL,
	  OP_FREEZE, OP_STOP, OP_SLOW_JOB, OP_CANCEL, OP_LONG},
	 false,
	 true,
	 false,
	 false,
	 false,
	 true},
	{"owners that follow each other, workers cut off for long",
	 {OP_OWNERS, OP_CUT_WORKER, OP_CUT_ALL, OP_LASTING, OP_SLOW_JOB,
	  OP_SLOW, OP_UNLIST, OP_CANCEL, OP_WRITES_LATE, OP_POLLS_LATE},
	 false,
	 true,
	 false,
	 false,
	 false,
	 true},
};

/* Generates operations: work, and faults of the mix. */
static rc::Gen<operation> random_operation(const fault_mix &m)
{
	std::vector<op> all = {OP_RUN,	 OP_RUN,   OP_RUN,     OP_RUN,
			       OP_QUICK, OP_CHAIN, OP_LASTING, OP_RETRY};

	all.insert(all.end(), m.faults.begin(), m.faults.end());
	if (m.faults.size() < 6)
		all.insert(all.end(), m.faults.begin(), m.faults.end());
	return rc::gen::map(rc::gen::tuple(rc::gen::elementOf(all),
					   rc::gen::inRange(0u, 256u),
					   rc::gen::inRange(0u, 256u)),
			    [](const std::tuple<op, unsigned, unsigned> &t) {
				    return operation{std::get<0>(t),
						     std::get<1>(t),
						     std::get<2>(t)};
			    });
}

/*
 * Prints a failure under the name that KNOWN-RED.txt uses, such as
 * mix::its_words.
 */
static void failure_print(const char *kind, const char *name)
{
	std::string words;

	for (; *name; name++)
		if (isalnum(*name))
			words += (char)tolower(*name);
		else if (!words.empty() && words.back() != '_')
			words += '_';
	printf("[FAIL] %s::%s\n", kind, words.c_str());
}

/* Runs a sequence that is given as text. */
static std::string replay(const char *s)
{
	uint64_t seed = strtoull(s + strlen("seed "), NULL, 10);
	char name[32];
	operation one;
	operations v;

	while ((s = strchr(s, '{')) &&
	       sscanf(s, "{%31[A-Z_] %u %u}", name, &one.a, &one.b) == 3) {
		s++;
		for (int i = 0; i < OPS; i++)
			if (!strcmp(name, names[i]))
				one.what = (op)i;
		v.push_back(one);
	}
	return run(seed, v);
}

/* Sequences that violated an invariant once, with the fault that they found. */
static const struct {
	const char *failure;
	const char *sequence;
} regressions[] = {
	{"a paused task was not looked at again",
	 "seed 129418: {WAVE 120 35} {CHAIN 20 118} {RUN 145 52} {RUN 33 33} "
	 "{QUICK 51 13} {RUN 147 52} {LIMIT 36 132} {RETRY 145 121} "
	 "{LASTING 134 120} {RUN 55 127} {CHAIN 100 90} {LASTING 89 99} "
	 "{LASTING 115 120} {RUN 11 142} {LIMIT 150 84} {LIMIT 26 75} "
	 "{LIMIT 72 95} {QUICK 58 122} {LASTING 82 104} {RUN 145 92} "
	 "{RETRY 69 3} {LASTING 59 24} {RUN 90 148}"},
	{"a start by the clock of an earlier life was carried out late",
	 "seed 153616: {RETRY 81 124} {CRASH 5 81} {RUN 136 88} "
	 "{UNLIST 105 11} {LATE 42 34} {RETRY 134 87} {UNLIST 43 106} "
	 "{RUN 104 25} {CUT_WORKER 83 133} {RUN 116 73} {RUN 28 70} "
	 "{RUN 87 62} {LATE 20 149} {QUICK 141 130} {RUN 32 33} "
	 "{UNLIST 147 62} {CHAIN 110 29} {CRASH 62 137} {CHAIN 69 43} "
	 "{CRASH 93 97} {RUN 68 114} {UNLIST 3 123} {CRASH 95 20} "
	 "{LATE 144 66} {CUT_WORKER 87 13} {CUT_WORKER 29 32} {RETRY 12 35} "
	 "{LASTING 65 16} {UNLIST 64 140} {CHAIN 66 68} {RUN 96 146} "
	 "{CRASH 87 75} {RUN 16 150} {CUT_WORKER 27 32} {CUT_WORKER 101 0} "
	 "{CRASH 51 4} {UNLIST 8 71} {RUN 109 99} {LASTING 63 31} "
	 "{CRASH 105 5} {LASTING 94 108} {RUN 84 70} {CUT_WORKER 35 18} "
	 "{RUN 23 104} {RUN 94 87}"},
	{"a new life's end was acknowledged unseen",
	 "seed 61057: {RUN 49 98} {RUN 74 88} {QUICK 62 130} {CRASH 99 142} "
	 "{RUN 66 114} {UNLIST 81 19} {CRASH 135 63} {RUN 89 149} "
	 "{CHAIN 24 69} {CRASH 79 64} {CUT_WORKER 25 65} {CRASH 74 99} "
	 "{RUN 40 48} {UNLIST 77 72} {RETRY 113 18} {CHAIN 68 24} "
	 "{CRASH 80 142} {LATE 40 64} {RUN 3 46} {LATE 14 44} {CHAIN 36 4} "
	 "{QUICK 42 23} {CRASH 98 123} {CUT_WORKER 50 109} {UNLIST 15 132} "
	 "{UNLIST 21 70} {UNLIST 7 80} {CRASH 90 24} {LATE 52 42} "
	 "{RUN 150 117} {UNLIST 92 12} {LATE 4 92} {QUICK 22 136} "
	 "{LATE 72 60} {CUT_WORKER 113 113} {LATE 151 27} {CRASH 97 92} "
	 "{CUT_WORKER 132 25} {RUN 41 49} {LATE 146 6} {QUICK 121 103} "
	 "{CUT_WORKER 150 88} {RUN 30 134} {RUN 34 95}"},
	/*
	 * A check that takes a limit of 0, which means none, for a low one
	 * fails here.
	 */
	{"a start under no limit, as one was set, was counted against it",
	 "seed 399222: {CHAIN 36 78} {WAVE 35 90} {WAVE 33 10} {LIMIT 36 59} "
	 "{CHAIN 37 130} {WAVE 125 85} {KILL 73 76} {RETRY 30 110} "
	 "{LASTING 137 94} {WAVE 130 54} {CHAIN 15 65} {LIMIT 105 24} "
	 "{LIMIT 14 40} {RUN 147 18} {RUN 26 98} {RETRY 58 97} {RETRY 62 48} "
	 "{WAVE 102 66} {WAVE 34 26} {RUN 5 106} {QUICK 119 6} {RUN 126 73} "
	 "{WAVE 152 105} {RETRY 102 92} {RUN 68 142} {RUN 83 43} {RUN 144 20} "
	 "{RUN 92 47} {LIMIT 11 4} {LIMIT 94 43} {QUICK 8 125} {RUN 104 111} "
	 "{LASTING 89 11} {KILL 39 34} {RETRY 128 97} {RUN 82 8}"},
	{"a start without an answer was done by a later life of a silent "
	 "worker",
	 "seed 158121: {UNLIST 21 115} {CRASH 136 0} {RUN 34 137} "
	 "{LATE 141 5} {RUN 65 85} {RUN 114 14} {CUT_WORKER 29 6} "
	 "{UNLIST 54 87} {QUICK 38 145} {UNLIST 45 64} "
	 "{CUT_WORKER 58 94} {RUN 128 23} {RUN 23 52} {UNLIST 21 55} "
	 "{UNLIST 89 34} {CHAIN 100 41} {CHAIN 77 34} {RUN 110 84} "
	 "{RETRY 42 61} {RUN 127 33} {RUN 20 76} {RUN 21 121} "
	 "{QUICK 143 4} {CRASH 13 6} {RUN 135 4} {RUN 136 52} "
	 "{RUN 25 13} {LASTING 151 1} {LASTING 54 2} {CRASH 61 63} "
	 "{LATE 19 88} {RUN 66 56} {CUT_WORKER 32 58} {CRASH 18 59} "
	 "{CHAIN 59 76} {CUT_WORKER 129 57} {QUICK 112 19} {RUN 141 147} "
	 "{CUT_WORKER 131 7} {RUN 53 51} {CRASH 129 149} {RUN 126 54} "
	 "{CUT_WORKER 116 20} {CUT_WORKER 90 96} {QUICK 41 110} "
	 "{CUT_WORKER 148 52} {UNLIST 105 23} {RUN 14 51} "
	 "{LASTING 83 76} {UNLIST 148 68} {UNLIST 67 103} "
	 "{CRASH 109 108} {CUT_WORKER 149 151} {RUN 16 104} "
	 "{RETRY 12 109} {RUN 148 40} {RUN 100 136}"},
	{"a list that was asked of an old life of a worker hid ends",
	 "seed 196535: {CHAIN 78 148} {RUN 113 92} {LATE 125 126} "
	 "{CRASH 9 48} {CUT_WORKER 124 22} {RETRY 55 104} {LATE 59 121} "
	 "{LATE 96 105} {LASTING 74 38} {CUT_WORKER 73 26} {LATE 124 80} "
	 "{LATE 94 45} {UNLIST 23 33} {RUN 32 7} {LATE 74 137} "
	 "{LATE 19 9} {RETRY 153 81} {CUT_WORKER 53 44} {LATE 126 121} "
	 "{QUICK 21 95} {RUN 9 13} {LATE 124 22} {QUICK 5 46} "
	 "{CRASH 36 59} {UNLIST 16 92} {UNLIST 98 24} {LATE 26 94} "
	 "{QUICK 11 12} {LASTING 58 65} {CRASH 141 125} "
	 "{CUT_WORKER 24 84} {QUICK 17 131} {UNLIST 81 147} {RUN 15 55} "
	 "{CHAIN 31 71} {QUICK 19 38} {RUN 139 149} {UNLIST 72 45} "
	 "{UNLIST 35 59} {CUT_WORKER 134 128} {RETRY 145 136} "
	 "{LATE 10 86} {LASTING 21 10} {CUT_WORKER 113 111} "
	 "{CHAIN 119 18} {UNLIST 90 29} {RUN 152 76} {RUN 26 22} "
	 "{QUICK 79 148} {CUT_WORKER 93 113} {LATE 85 123}"},
	{"a VM told the count of a beat from before all were lost",
	 "seed 380132: {ASK 30 0} {QUICK 39 37} {RETRY 28 16} "
	 "{RETRY 16 11} {LONG 24 31} {RUN 38 85} {RETRY 135 85} "
	 "{FREEZE 105 71} {LONG 94 43} {CHAIN 105 29} {STOP 101 122} "
	 "{RUN 80 144} {RUN 119 95} {STOP 57 83} {STOP 67 34} "
	 "{RUN 108 69} {CHAIN 143 136} {CHAIN 25 82} {LONG 31 39} "
	 "{LIMIT 64 85} {LASTING 99 91} {KILL 46 138} {KILL 62 106} "
	 "{RUN 145 92} {RUN 14 89} {FREEZE 135 15} {RETRY 28 112} "
	 "{FREEZE 24 62} {LASTING 136 118} {STOP 68 21} {CHAIN 65 31} "
	 "{KILL 36 12} {QUICK 69 67} {CHAIN 25 113} {LIMIT 136 37} "
	 "{FREEZE 114 102} {STOP 62 65} {CANCEL 65 64} {RUN 117 44} "
	 "{LONG 72 25} {CHAIN 13 152} {RUN 12 124} {CHAIN 55 117} "
	 "{CANCEL 43 134} {RUN 80 144} {RUN 139 36} {KILL 146 10} "
	 "{LIMIT 29 15} {RUN 121 80} {LONG 76 92} {LASTING 145 135} "
	 "{QUICK 109 21} {RUN 123 115} {QUICK 31 138} {KILL 125 140} "
	 "{RUN 129 98} {KILL 124 113} {RUN 20 142} {CHAIN 74 151} "
	 "{CHAIN 89 94} {CANCEL 150 65}"},
	{"a VM told a count from before all had stopped",
	 "seed 19: {ASK 30 0} {KILL 129 21} {CANCEL 95 40} "
	 "{LASTING 47 102} {STOP 65 66} {LONG 23 28} {RUN 27 13} "
	 "{RETRY 81 66} {KILL 74 126} {KILL 15 113} {LONG 22 20} "
	 "{RUN 77 76} {STOP 131 125} {CANCEL 149 100} {CHAIN 138 141} "
	 "{STOP 60 136} {FREEZE 49 43} {RUN 0 97} {FREEZE 145 105} "
	 "{LASTING 56 80} {LONG 30 122} {STOP 86 94} {LASTING 89 55} "
	 "{STOP 84 3} {QUICK 64 14} {RUN 89 61} {CANCEL 11 81} "
	 "{LIMIT 121 30} {RUN 65 63} {RUN 98 114} {LASTING 50 143} "
	 "{KILL 66 28} {RUN 80 96} {CHAIN 77 129} {LONG 122 49} "
	 "{RUN 76 80} {RUN 133 35} {RUN 70 110} {RUN 77 102} "
	 "{RUN 146 31} {STOP 2 9} {KILL 6 128} {FREEZE 143 80} "
	 "{FREEZE 86 64} {RUN 79 20} {CHAIN 0 80} {LONG 148 62} "
	 "{RUN 128 116} {STOP 34 113} {RUN 26 83} {FREEZE 65 58} "
	 "{STOP 32 119}"},
	{"an owner told a count while its reads of the jobs stalled",
	 "seed 84491: {ASK 30 0} {HEAL 81 77} {KILL 123 22} "
	 "{VANISH 61 99} {RUN 102 130} {LONG 47 130} {KILL 70 136} "
	 "{RUN 131 7} {RUN 124 73} {VANISH 105 96} {SLOW 49 111} "
	 "{LIMIT 74 89} {RUN 144 12} {RETRY 82 106} {RUN 43 115} "
	 "{SLOW 149 52} {RUN 120 121} {LIMIT 92 92} {STALL 12 65} "
	 "{RETRY 89 129} {LONG 57 109} {REFUSE 44 28} {QUICK 44 19} "
	 "{CHAIN 102 119} {SLOW 64 110} {RUN 9 129} {STALL 108 78} "
	 "{RUN 87 87} {RUN 1 30} {LASTING 152 46} {RUN 108 45} "
	 "{KILL 149 61} {RUN 118 32} {RUN 108 151} {LONG 30 104} "
	 "{RUN 93 107} {LASTING 18 0} {PAGES 33 145} {RUN 115 1} "
	 "{RUN 141 68} {CHAIN 115 57}"},
	{"a VM told a count while its reads of the ownership stalled",
	 "seed 15: {ASK 30 0} {LASTING 99 4} {RUN 79 11} "
	 "{LONG 63 142} {SLOW 39 12} {COMPACT 45 68} "
	 "{CUT_WORKER 108 122} {CUT_WORKER 64 134} {CANCEL 3 106} "
	 "{CRASH 80 0} {STALL 41 127} {STOP 93 1} {LASTING 85 1} "
	 "{RUN 41 26} {CHAIN 63 137} {RUN 20 132} {WAVE 39 36} "
	 "{STALL 19 34} {RETRY 131 95} {CUT_WORKER 123 51} "
	 "{RUN 138 90} {RUN 113 44} {RUN 87 5} {RUN 89 61} "
	 "{STOP 80 115} {RUN 126 81} {RUN 92 81} {RUN 22 151} "
	 "{STOP 147 64} {CUT_WORKER 121 116} {STALL 147 73} "
	 "{RUN 128 73} {RUN 47 7} {CHAIN 47 152} {CUT_WORKER 85 28} "
	 "{LONG 98 131} {CUT_STORE 60 2} {FREEZE 55 46} "
	 "{LASTING 103 148} {VANISH 8 7} {CHAIN 91 109} "
	 "{CHAIN 122 45} {HEAL 53 76} {UNLIST 99 133} {CHAIN 17 19} "
	 "{CANCEL 87 38} {FREEZE 69 78} {RUN 108 37} {RUN 0 52} "
	 "{COMPACT 9 34} {SLOW 21 101} {REFUSE 26 89} {RUN 149 73} "
	 "{WAVE 98 122} {STOP 47 11} {CRASH 28 18} {LIMIT 37 135} "
	 "{RETRY 145 101} {SLOW 14 97}"},
	{"an owner took jobs for begun whose starts were lost",
	 "seed 20: {ASK 30 0} {LIMIT 131 46} {RUN 58 17} {RUN 106 64} "
	 "{CHAIN 6 59} {LASTING 105 61} {VANISH 117 107} "
	 "{STALL 105 69} {QUICK 142 41} {VANISH 4 44} {STALL 35 49} "
	 "{QUICK 26 80} {LIMIT 111 66} {SLOW 81 2} {CHAIN 32 142} "
	 "{STALL 82 123} {REFUSE 113 31} {KILL 16 7} {LASTING 57 79} "
	 "{VANISH 136 1} {LASTING 14 116} {QUICK 152 44} "
	 "{LASTING 120 118} {KILL 96 55} {RUN 82 38} {LIMIT 137 43} "
	 "{VANISH 27 130} {VANISH 32 91} {LONG 116 79} {STALL 8 80} "
	 "{SLOW 35 54} {REFUSE 138 48} {LASTING 55 61} {LIMIT 100 23} "
	 "{LASTING 55 60} {SLOW 122 1} {RUN 153 51} {RUN 139 138} "
	 "{RUN 73 122} {RUN 93 53} {PAGES 69 47} {HEAL 117 23} "
	 "{RETRY 104 5} {SLOW 129 40} {RUN 61 94} {RUN 49 12} "
	 "{HEAL 119 95}"},
	{"a successor left a cancelled job's runs out of the limit",
	 "seed 200073: {ASK 30 0} {CANCEL 41 89} {LIMIT 116 29} "
	 "{CHAIN 138 14} {RUN 105 63} {FREEZE 79 90} {CHAIN 9 84} "
	 "{RUN 115 15} {LONG 70 55} {CANCEL 19 58} {FREEZE 27 150} "
	 "{RUN 109 143} {STOP 121 13} {LASTING 73 56} {CHAIN 9 75} "
	 "{STOP 136 27} {RETRY 140 124} {CHAIN 102 123} "
	 "{LASTING 76 81} {QUICK 85 25} {CANCEL 22 65} {RETRY 9 56} "
	 "{RUN 13 15} {RUN 48 85} {STOP 48 28} {RUN 85 77} "
	 "{LIMIT 94 6} {CHAIN 143 72} {STOP 91 67} {RUN 152 44} "
	 "{LONG 33 21} {RETRY 38 18} {QUICK 72 138} {LASTING 119 51} "
	 "{LASTING 140 19} {CHAIN 11 76} {CHAIN 118 106} {STOP 83 58} "
	 "{LONG 128 15}"},
	{"a VM that stood still told a beat that had lain in the store",
	 "seed 200138: {ASK 30 0} {RETRY 132 92} {RETRY 73 42} "
	 "{RETRY 114 51} {RUN 62 97} {CANCEL 14 135} "
	 "{LASTING 125 102} {RUN 101 3} {RUN 98 20} {CANCEL 102 22} "
	 "{LONG 127 100} {FREEZE 95 126} {LASTING 103 140} "
	 "{STOP 132 53} {RUN 55 71} {LONG 131 88} {RUN 62 153} "
	 "{KILL 121 82} {LASTING 44 38} {LIMIT 66 65} {FREEZE 90 113} "
	 "{CANCEL 2 66} {LASTING 109 70} {FREEZE 15 146} "
	 "{QUICK 11 99} {RUN 34 53} {RUN 108 6} {RUN 84 129} "
	 "{LIMIT 58 121} {RUN 74 15} {RUN 30 38} {CANCEL 121 68} "
	 "{RUN 44 95} {RUN 68 12} {RUN 24 108} {LIMIT 102 116} "
	 "{RUN 106 47} {CHAIN 44 121} {QUICK 129 22} {LASTING 103 38} "
	 "{RETRY 48 34} {RUN 35 124} {KILL 128 146} {RUN 146 29} "
	 "{QUICK 99 38} {RUN 97 148} {LONG 56 52} {FREEZE 72 40} "
	 "{STOP 148 109} {RUN 85 37} {RUN 98 44} {RUN 131 71} "
	 "{STOP 36 93} {CANCEL 98 61} {LIMIT 78 35} {STOP 57 71} "
	 "{LIMIT 43 132} {LONG 79 122} {RUN 49 56} {QUICK 151 12}"},
	{"a crash of a worker that a wave had noted was not counted",
	 "seed 152081: {RUN 150 140} {POISON 152 97} {QUICK 143 63} "
	 "{RUN 102 0} {QUICK 81 101} {WAVE 78 18} {WAVE 57 137} "
	 "{LATE 109 50} {CRASH_MODE 26 127} {POISON 21 11} "
	 "{CUT_WORKER 108 26} {RETRY 81 141} {POISON 92 127} "
	 "{HEAL 84 53} {RUN 61 98} {STOP 121 67} {CUT_WORKER 4 151} "
	 "{QUICK 94 117} {HEAL 114 103} {STOP 106 25} {LATE 21 134} "
	 "{SHRINK 131 100} {STOP 56 58} {HEAL 3 121} {POISON 111 42} "
	 "{LASTING 140 20} {LASTING 54 100} {CUT_WORKER 42 28} "
	 "{RETRY 134 122} {LONG 49 28} {RETRY 103 40} {HEAL 120 34} "
	 "{POISON 1 6}"},
	{"a wave took silent workers that a task had crashed",
	 "seed 4650: {CRASH_MODE 91 120} {UNLIST 106 94} {RUN 59 92} "
	 "{POISON 137 117} {RUN 150 129} {CHAIN 5 83} {STOP 142 14} "
	 "{RUN 142 141} {RUN 5 18} {CRASH_MODE 26 102} "
	 "{CUT_WORKER 72 38} {STOP 145 11} {WAVE 49 69} {RUN 51 112} "
	 "{LONG 84 10} {RETRY 12 0} {HEAL 71 83} {LASTING 30 20} "
	 "{RUN 40 63} {RUN 149 40} {RUN 63 150} {QUICK 52 137} "
	 "{QUICK 107 36} {RETRY 91 56} {UNLIST 57 88} "
	 "{CUT_WORKER 79 0} {LATE 131 106} {RUN 1 93} {RUN 72 109} "
	 "{RUN 66 104} {LASTING 144 118} {CRASH_MODE 13 25} "
	 "{LASTING 92 47} {RUN 55 87} {UNLIST 7 118} "
	 "{LASTING 55 107} {LONG 6 56} {RUN 86 104}"},
	{"a late poll to the old process extended a lease of the new one",
	 "seed 80536: {RESETS 0 0} {QUICK 135 79} "
	 "{LATE_RESTART 71 111} {RUN 100 137} {RUN 111 64} "
	 "{CUT_ALL 48 110} {SLOW_JOB 136 73} {RUN 137 92} {RUN 58 29} "
	 "{RUN 54 133} {RUN 96 16} {CUT_ALL 116 46} {CUT_ALL 47 117} "
	 "{LONG 69 99} {CUT_ALL 97 77} {RETRY 89 99} {RUN 25 10} "
	 "{QUICK 135 51} {SLOW_JOB 149 127} {CUT_ALL 71 4} "
	 "{RETRY 53 78} {RUN 77 16} {RUN 127 67} {QUICK 74 32} "
	 "{LATE_RESTART 73 102} {LONG 72 133} {LATE_RESTART 66 120} "
	 "{SLOW_JOB 20 28} {RESTART 78 38} {SLOW_JOB 16 97} "
	 "{RUN 149 117} {LATE_RESTART 38 120} {RUN 80 2} {RUN 15 91} "
	 "{CUT_ALL 29 86}"},
	{"a late order to the old process extended a lease, another time",
	 "seed 17225: {RESETS 0 0} {MOST_LATE 122 16} "
	 "{LASTING 119 126} {SLOW_JOB 105 3} {LATE_RESTART 6 131} "
	 "{LASTING 87 152} {RUN 99 82} {RUN 93 112} "
	 "{SLOW_JOB 108 125} {RUN 47 7} {MOST_LATE 141 147} "
	 "{LASTING 79 115} {CUT_ALL 54 145} {CUT_ALL 113 71} "
	 "{LASTING 144 116} {CUT_ALL 92 9} {RUN 23 149} "
	 "{LONG 114 126} {RUN 123 76} {MOST_LATE 60 61} "
	 "{RESTART 97 106} {LONG 109 28} {CUT_ALL 107 138} "
	 "{CUT_ALL 78 48} {LONG 104 33}"},
	{"a run in a service that a route named in between was not known",
	 "seed 445532: {POOLS 0 0} {FREEZE 39 132} {KILL 19 81} "
	 "{STORE_VM 76 80} {RUN 42 52} {RUN 5 139} {STORE_VM 28 60} "
	 "{QUICK 1 96} {CANCEL 33 108} {LASTING 48 4} {CUT_ALL 12 81} "
	 "{KILL 137 85} {ROUTE 93 13} {CHAIN 119 130} {CUT_ALL 72 49} "
	 "{CUT_STORE 77 22} {RUN 141 1} {CUT_WORKER 40 8} "
	 "{STOP 115 113} {SLOW_JOB 123 130} {STOP 6 19} {RUN 60 81} "
	 "{QUICK 142 136} {CUT_ALL 29 114} {LONG 91 21} {RUN 4 62} "
	 "{RUN 131 81} {RUN 56 146} {LONG 35 50} {REFUSE 24 141} "
	 "{CUT_ALL 138 25} {STOP 54 98} {LONG 53 67} {ROUTE 58 111} "
	 "{SLOW_JOB 108 93} {SLOW_JOB 63 71} {KILL 66 30} "
	 "{LONG 102 140} {CHAIN 119 138} {LONG 56 120} "
	 "{CUT_ALL 16 22} {RUN 151 62} {QUICK 6 3} {STOP 60 44} "
	 "{RUN 149 122} {RUN 17 141} {STORE_VM 92 129} {ROUTE 135 56} "
	 "{RUN 90 137} {ROUTE 40 45} {REFUSE 123 138} {ROUTE 29 94} "
	 "{CHAIN 137 41} {CUT_ALL 14 136} {LONG 41 41} {STOP 150 142}"},
	{"progress was written again after its job's rows were removed",
	 "seed 620627: {RETAIN 0 0} {FREEZE 130 30} {WRITES_LATE 106 13} "
	 "{LONG 15 69} {LONG 63 78} {STORE 114 63} {KILL 153 35} "
	 "{LONG 17 19} {STORE 83 36} {STORE 98 97} {STORE_VM 67 71} "
	 "{STORE_VM 8 47} {QUICK 152 150} {LONG 16 23} "
	 "{WRITES_LATE 152 67} {CANCEL 144 45} {LASTING 4 14} "
	 "{WRITES_LATE 41 41} {CUT_STORE 15 124} {LASTING 55 115} "
	 "{RETRY 31 139} {LONG 6 122} {STORE 16 122} {FREEZE 148 93} "
	 "{RETRY 87 12} {RETRY 45 10} {RUN 5 83} {STORE 30 24} "
	 "{WRITES_LATE 120 146} {CHAIN 76 107} {STOP 50 134} "
	 "{QUICK 105 85} {PAGES_SLOW 79 43} {WRITES_LATE 60 45} "
	 "{CANCEL 49 146} {RUN 120 132} {LONG 85 133} {RUN 2 138} "
	 "{PAGES_SLOW 131 115} {CUT_WORKER 110 38} {COMPACT 19 16} "
	 "{RUN 94 16} {STORE_VM 1 55} {WRITES_LATE 148 116} "
	 "{LATE 66 112} {LONG 83 119} {QUICK 33 81} {PAGES_SLOW 42 20} "
	 "{COMPACT 28 19} {STOP 90 10} {COMPACT 119 97} {FREEZE 99 136} "
	 "{KILL 141 105} {CANCEL 124 63} {KILL 48 72} {STORE 74 83} "
	 "{LONG 150 16}"},
	{"a clock that tells no age made a long lease count as a short one",
	 "seed 7731: {LEASES 10 1} {RESETS 0 0} {RESTART_CUT 94 28}"},
	{"a successor waited for a shorter lease than a worker may hold",
	 "seed 7731: {LEASES 10 1} {RESETS 0 0} {RESTART_LOSE 94 28}"},
};

int main(int argc, char **argv)
{
	int passed = 0, failed = 0;

	/* prop-sched "seed 7: {RUN 1 2} ..." runs one sequence again. */
	if (argc > 1) {
		printf("%s\n", replay(argv[1]).c_str());
		return 0;
	}
	/*
	 * Fixed seeds give the same result in each run; RC_PARAMS overrides
	 * them.
	 */
	setenv("RC_PARAMS", "seed=7 max_success=60 noshrink=1", 0);
	for (const auto &m : mixes) {
		bool ok = rc::check(m.name, [&] {
			const auto seed = *rc::gen::inRange<uint64_t>(1,
								      1 << 20);
			auto v = *rc::gen::resize(
				60, rc::gen::container<operations>(
					    random_operation(m)));

			if (m.polls_counts)
				v.insert(v.begin(), {OP_ASK, 30, 0});
			if (m.polls_reset)
				v.insert(v.begin(), {OP_RESETS, 0, 0});
			if (m.clocks_slow)
				v.insert(v.begin(), {OP_DRIFT, 0, 0});
			if (m.second_pool)
				v.insert(v.begin(), {OP_POOLS, 0, 0});
			if (m.forgets)
				v.insert(v.begin(), {OP_RETAIN, 0, 0});
			if (m.leases_long)
				v.insert(v.begin(), {OP_LEASES, 10, 1});
			const auto failure = run(seed, v);

			if (!failure.empty())
				RC_FAIL(failure + "\n" +
					operations_format(seed, v));
		});
		if (!ok)
			failure_print("mix", m.name);
		(ok ? passed : failed)++;
	}
	for (const auto &k : regressions) {
		const auto failure = replay(k.sequence);

		if (!failure.empty()) {
			printf("%s: %s\n", k.failure, failure.c_str());
			failure_print("kept", k.failure);
		}
		(failure.empty() ? passed : failed)++;
	}
	printf("%d passed, %d failed\n", passed, failed);
	return failed != 0;
}
