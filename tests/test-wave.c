#include "support-sim.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

/*
 * Tests of waves and moves with the reducers of three entry VMs on a simulated
 * clock. After each write the budget is checked against the table and the
 * workers; the tests don't look into the reducers.
 */
#define WAVE_MS 600000

/* What a test records while it runs, and the fault that it injects. */
struct watch {
	unsigned out_max;      /* most VMs out at once, failed ones included */
	unsigned rack_out_max; /* the same plus the largest rack left */
	/* fault of the requests of a kind: count of them from the from-th on */
	effect_kind kind;
	const char *key; /* prefix of a commit's first key; NULL: any */
	enum sim_fault fault;
	unsigned from, count, seen;
};

static struct watch watch;

/*
 * A lost worker counts as up until its leases have expired, which is when the
 * loss is noticed.
 */
#define NOTICE_MS 15000

static bool counts_as_up(const struct sim *s, const struct sim_worker *w)
{
	return w->up || s->now - w->down_at < NOTICE_MS;
}

/*
 * Returns the number of VMs of a pool that aren't active, and the size of its
 * largest rack of active ones, which may fail as a whole.
 */
static unsigned pool_count_out(struct sim *s, const char *pool, unsigned *worst)
{
	unsigned out = 0, n, i, k;

	*worst = 0;
	for (i = 0; i < s->worker_count; i++) {
		struct sim_worker *w = &s->workers[i];

		if (strcmp(w->pool, pool) != 0)
			continue;
		out += w->state != VM_ACTIVE || !counts_as_up(s, w);
		for (k = n = 0; k < s->worker_count; k++)
			n += !strcmp(s->workers[k].pool, pool) &&
			     !strcmp(s->workers[k].rack, w->rack) &&
			     s->workers[k].state == VM_ACTIVE &&
			     counts_as_up(s, &s->workers[k]);
		if (n > *worst)
			*worst = n;
	}
	return out;
}

/* Updates the maxima of a VM's pool after a write of the VM's row. */
static void vm_write_record(struct sim *s, const table_write *t)
{
	struct sim_worker *w;
	unsigned out, worst;
	vm_row row;

	if (t->key.bstr_len < 4 || memcmp(t->key.bstr_val, "vm/", 3) != 0 ||
	    t->remove ||
	    !xdr_decode(XDR_PROC(xdr_vm_row), t->value, &row, sizeof(row)))
		return;
	w = sim_worker_find(s, row.vm);
	out = pool_count_out(s, w->pool, &worst);
	if (out > watch.out_max)
		watch.out_max = out;
	if (row.state == VM_DRAINING && out + worst > watch.rack_out_max)
		watch.rack_out_max = out + worst;
	/*
	 * A VM that is out, or has changed its pool, must have no running
	 * tasks.
	 */
	if (row.state == VM_OUT)
		cr_expect_eq(w->running, 0, "%s is out and has running tasks",
			     w->name);
	xdr_free(XDR_PROC(xdr_vm_row), (char *)&row);
}

/* Returns true if a request is one that the watch's fault applies to. */
static bool request_matches(const effect *fx)
{
	const fx_commit *c = &fx->effect_u.commit;

	if (fx->kind != watch.kind)
		return false;
	if (!watch.key)
		return true;
	return c->writes.writes_len &&
	       c->writes.writes_val[0].key.bstr_len >= strlen(watch.key) &&
	       !memcmp(c->writes.writes_val[0].key.bstr_val, watch.key,
		       strlen(watch.key));
}

/* Returns the watch's fault for a range of the matching requests. */
static enum sim_fault fault_inject(struct sim *s, const effect *fx)
{
	(void)s;
	if (!watch.count || !request_matches(fx) || watch.seen++ < watch.from)
		return SIM_NO_FAULT;
	watch.count--;
	return watch.fault;
}

static const struct sim_plan small = {
	.seed = 5,
	.entries = 3,
	.dcs = 1,
	.slots = 2,
	.per_rack = 2,
	.pools = {{.budget = 3, .workers = 6}, {.budget = 1, .workers = 2}},
	.teams = {{1, 100}},
	.reboot_ms = 12000,
};

static struct sim *start(const struct sim_plan *plan)
{
	struct sim *s = sim_new(plan);

	s->hooks.written = vm_write_record;
	s->hooks.request = fault_inject;
	return s;
}

/* Returns an integer field of the first wave in the answer to a wave's show. */
static json_int_t wave_show_integer(struct sim *s, const char *wave,
				    const char *name)
{
	json_t *j;
	json_int_t n;

	if (sim_wave(s, OP_WAVE_SHOW, wave, "", 0) != OP_OK)
		return -1;
	j = sim_reply_json(s);
	n = json_integer_value(json_object_get(json_array_get(j, 0), name));
	json_decref(j);
	return n;
}

/* Returns true if the stored row of a wave has the state. */
static bool wave_is(struct sim *s, const char *wave, wave_state state)
{
	char key[32];
	wave_row row;
	bool is;

	snprintf(key, sizeof(key), "wave/%s", wave);
	if (!sim_row_get(s, key, XDR_PROC(xdr_wave_row), &row, sizeof(row)))
		return false;
	is = row.state == state;
	xdr_free(XDR_PROC(xdr_wave_row), (char *)&row);
	return is;
}

static bool wave_w_is_finished(struct sim *s)
{
	return wave_is(s, "w", WAVE_FINISHED);
}

/* Returns the number of reboots of a pool's VMs. */
static unsigned reboots(const struct sim *s, const char *pool)
{
	unsigned n = 0, i;

	for (i = 0; i < s->worker_count; i++)
		n += strcmp(s->workers[i].pool, pool) ? 0
						      : s->workers[i].reboots;
	return n;
}

/* Returns the number of VMs that are up and active. */
static unsigned active_count(const struct sim *s)
{
	unsigned n = 0, i;

	for (i = 0; i < s->worker_count; i++)
		n += s->workers[i].state == VM_ACTIVE && s->workers[i].up;
	return n;
}

/* Submits jobs of the given duration in ms through all entry VMs. */
static void submit_load(struct sim *s, unsigned jobs, int64_t ms)
{
	struct sim_job j = {.run_ms = ms, .declared_ms = ms};

	while (jobs--)
		sim_submit(s, jobs % s->plan.entries, &j);
}

static unsigned jobs_done(const struct sim *s)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < s->job_count; i++)
		n += s->jobs[i].state == JOB_DONE;
	return n;
}

/*
 * A complete wave under load: each VM is rebooted once and never while a task
 * runs on it, and every job is completed. With a budget of 3 and racks of two,
 * at most one VM may be out, as a rack of two may fail.
 */
Test(wave, runs_whole)
{
	struct sim *s = start(&small);
	unsigned i;

	watch = (struct watch){0};
	submit_load(s, 60, 3000);
	cr_expect_eq(sim_wave(s, OP_WAVE_PLAN, "w", "p0", 2000), OP_OK);
	cr_expect_eq(reboots(s, "p0"), 0);
	cr_expect_eq(sim_wave(s, OP_WAVE_START, "w", "", 0), OP_OK);
	cr_expect(sim_run_until(s, wave_w_is_finished, WAVE_MS));
	for (i = 0; i < s->worker_count; i++) {
		cr_expect_eq(s->workers[i].reboots, i < 6, "%s: %u",
			     s->workers[i].name, s->workers[i].reboots);
		cr_expect_eq(s->workers[i].kills, 0);
	}
	sim_run(s, 30000);
	cr_expect_eq(jobs_done(s), 60, "%u", jobs_done(s));
	cr_expect_eq(active_count(s), 8);
	cr_expect(watch.rack_out_max <= 3, "%u", watch.rack_out_max);
	cr_expect_eq(wave_show_integer(s, "w", "done"), 6);
	sim_free(s);
}

/* Requests of an operator for a wave are accepted or refused by its state. */
Test(wave, states_table)
{
	static const struct {
		op_kind ask;
		op_status want;
		wave_state state;
	} steps[] = {
		{OP_WAVE_START, OP_NOT_FOUND, WAVE_PLANNED},
		{OP_WAVE_PLAN, OP_OK, WAVE_PLANNED},
		{OP_WAVE_PLAN, OP_CONFLICT, WAVE_PLANNED},
		{OP_WAVE_PAUSE, OP_CONFLICT, WAVE_PLANNED},
		{OP_WAVE_RESUME, OP_CONFLICT, WAVE_PLANNED},
		{OP_WAVE_START, OP_OK, WAVE_RUNNING},
		{OP_WAVE_START, OP_CONFLICT, WAVE_RUNNING},
		{OP_WAVE_PAUSE, OP_OK, WAVE_PAUSED},
		{OP_WAVE_PAUSE, OP_CONFLICT, WAVE_PAUSED},
		{OP_WAVE_RESUME, OP_OK, WAVE_RUNNING},
		{OP_WAVE_CANCEL, OP_OK, WAVE_CANCELLED},
		{OP_WAVE_RESUME, OP_CONFLICT, WAVE_CANCELLED},
		{OP_WAVE_CANCEL, OP_CONFLICT, WAVE_CANCELLED},
	};
	struct sim *s = start(&small);
	op_status got;
	size_t i;

	watch = (struct watch){0};
	for (i = 0; i < NELEMS(steps); i++) {
		/* a step of the wave itself may have come first: retry */
		do
			got = sim_wave(s, steps[i].ask, "w", "p0", 500);
		while (got == OP_CONFLICT && steps[i].want == OP_OK &&
		       bstr_eq_str(s->reply.reason, "raced"));
		cr_expect_eq(got, steps[i].want, "step %zu: %d", i, (int)got);
		cr_expect(!i || wave_is(s, "w", steps[i].state), "step %zu", i);
	}
	cr_expect_eq(sim_wave(s, OP_WAVE_PLAN, "v", "none", 1), OP_NOT_FOUND);
	cr_expect_eq(sim_wave(s, OP_WAVE_PLAN, "a b", "p0", 1), OP_INVALID);
	sim_free(s);
}

/* Plans a wave "w" of the pool p0 and starts it. */
static void wave_w_start(struct sim *s, uint32_t deadline_ms)
{
	sim_wave(s, OP_WAVE_PLAN, "w", "p0", deadline_ms);
	sim_wave(s, OP_WAVE_START, "w", "", 0);
}

/*
 * Expects that the wave "w" finishes, has rebooted each VM of the pool p0 once
 * and has kept the budget.
 */
static void expect_wave_w_finishes(struct sim *s, unsigned row)
{
	unsigned i;

	cr_expect(sim_run_until(s, wave_w_is_finished, WAVE_MS), "case %u",
		  row);
	for (i = 0; i < 6; i++)
		cr_expect_eq(s->workers[i].reboots, 1, "case %u: %s %u", row,
			     s->workers[i].name, s->workers[i].reboots);
	cr_expect(watch.rack_out_max <= 3, "case %u: %u", row,
		  watch.rack_out_max);
}

/*
 * Pause and cancel at various moments of a wave. After a pause, VMs in progress
 * are finished and no others are begun. After a cancel, draining VMs become
 * active without a reboot, and rebooting ones after it.
 */
Test(wave, pause_and_cancel_at_each_step)
{
	static const int64_t moments[] = {0,	100,   1000,  2500, 4000,
					  8000, 12000, 16000, 18000};
	static const op_kind asks[] = {OP_WAVE_PAUSE, OP_WAVE_CANCEL};
	unsigned i, before;
	struct sim *s;

	for (i = 0; i < 2 * NELEMS(moments); i++) {
		s = start(&small);
		watch = (struct watch){0};
		submit_load(s, 8, 3000);
		wave_w_start(s, 1000);
		sim_run(s, moments[i / 2]);
		while (sim_wave(s, asks[i % 2], "w", "", 0) == OP_CONFLICT)
			continue;
		cr_expect(wave_is(s, "w", i % 2 ? WAVE_CANCELLED : WAVE_PAUSED),
			  "case %u", i);
		sim_run(s, 40000);
		before = reboots(s, "p0");
		cr_expect(before <= 2, "case %u: %u", i, before);
		cr_expect_eq(active_count(s), 8, "case %u: %u active", i,
			     active_count(s));
		sim_run(s, 60000);
		cr_expect_eq(reboots(s, "p0"), before, "case %u", i);
		cr_expect_eq(s->workers[0].kills, 0, "case %u", i);
		if (i % 2 == 0) {
			cr_expect_eq(sim_wave(s, OP_WAVE_RESUME, "w", "", 0),
				     OP_OK);
			cr_expect(sim_run_until(s, wave_w_is_finished, WAVE_MS),
				  "case %u", i);
			cr_expect_eq(reboots(s, "p0"), 6, "case %u", i);
		}
		sim_free(s);
	}
}

/*
 * Requests of a kind get lost, lose their answers or are refused: the first, a
 * later one, or several in a row. The wave still ends, with each VM rebooted
 * once and the budget kept.
 */
Test(wave, platform_faults_at_each_step)
{
	static const struct {
		effect_kind kind;
		const char *key;
		unsigned from, count;
	} cases[] = {
		{FX_REBOOT, NULL, 0, 1},       {FX_REBOOT, NULL, 2, 3},
		{FX_COMMIT, "pool/", 0, 1},    {FX_COMMIT, "pool/", 1, 4},
		{FX_COMMIT, "vms/head", 0, 1}, {FX_COMMIT, "vms/head", 1, 6},
		{FX_COMMIT, "wave/", 2, 1},    {FX_COMMIT, "wave/", 3, 4},
		{FX_COMMIT, NULL, 10, 12},     {FX_READ, NULL, 60, 20},
		{FX_SCAN, NULL, 8, 10},
	};
	static const enum sim_fault faults[] = {SIM_DROP_REQUEST,
						SIM_DROP_ANSWER, SIM_REFUSE};
	unsigned i;
	struct sim *s;

	for (i = 0; i < 3 * NELEMS(cases); i++) {
		s = start(&small);
		submit_load(s, 6, 3000);
		wave_w_start(s, 1000);
		watch = (struct watch){.kind = cases[i / 3].kind,
				       .key = cases[i / 3].key,
				       .fault = faults[i % 3],
				       .from = cases[i / 3].from,
				       .count = cases[i / 3].count};
		expect_wave_w_finishes(s, i);
		cr_expect_eq(watch.count, 0, "case %u: fault not injected", i);
		sim_run(s, 10000);
		cr_expect_eq(active_count(s), 8, "case %u", i);
		sim_free(s);
	}
}

/*
 * Each entry VM dies in turn, among them the runner of the wave and the owner
 * of the cell, at various moments of a wave; it restarts 3 s later. Another VM
 * continues from the stored rows, and no VM is rebooted twice.
 */
Test(wave, entry_vm_dies_at_each_step)
{
	unsigned i;
	struct sim *s;

	for (i = 0; i < 3 * 14; i++) {
		s = start(&small);
		watch = (struct watch){0};
		submit_load(s, 6, 3000);
		wave_w_start(s, 1000);
		sim_run(s, 1300 * (i / 3) + 50);
		sim_entry_kill(s, i % 3);
		sim_run(s, 3000);
		sim_entry_boot(s, i % 3);
		expect_wave_w_finishes(s, i);
		cr_expect_eq(wave_show_integer(s, "w", "skipped"), 0, "case %u",
			     i);
		sim_free(s);
	}
}

/*
 * Two operators run a wave each on one pool: each VM is rebooted for both, and
 * together they keep the budget.
 */
static bool both_are_finished(struct sim *s)
{
	return wave_is(s, "w", WAVE_FINISHED) && wave_is(s, "v", WAVE_FINISHED);
}

Test(wave, two_race_on_a_pool)
{
	struct sim *s = start(&small);

	watch = (struct watch){0};
	sim_wave(s, OP_WAVE_PLAN, "w", "p0", 1000);
	sim_wave(s, OP_WAVE_PLAN, "v", "p0", 1000);
	sim_wave(s, OP_WAVE_START, "w", "", 0);
	sim_wave(s, OP_WAVE_START, "v", "", 0);
	cr_expect(sim_run_until(s, both_are_finished, 2 * WAVE_MS));
	sim_run(s, 3000); /* what is shown is at most one poll old */
	cr_expect_eq(reboots(s, "p0"), 12, "%u", reboots(s, "p0"));
	cr_expect(watch.rack_out_max <= 3, "%u", watch.rack_out_max);
	cr_expect_eq(wave_show_integer(s, "w", "done"), 6);
	cr_expect_eq(wave_show_integer(s, "v", "done"), 6);
	sim_free(s);
}

/*
 * A VM fails during a wave: before its turn, while it drains, or it never
 * returns from its reboot. It counts against the budget; the wave goes on with
 * the others and shows which VM it waits for.
 */
Test(wave, vm_fails)
{
	static const struct {
		unsigned victim;
		int64_t at;
		bool in_reboot;
		unsigned reboots; /* of the other VMs */
	} cases[] = {
		{5, 500, false, 5},
		{0, 1500, false, 5},
		{0, 0, true, 5},
		{3, 5000, false, 5},
	};
	struct sim_plan plan = small;
	struct sim *s;
	unsigned i, k, n;
	json_t *j;

	plan.pools[0].budget = 4; /* two may be out beside a rack of two */
	for (i = 0; i < NELEMS(cases); i++) {
		s = start(&plan);
		watch = (struct watch){0};
		submit_load(s, 6, 8000);
		s->workers[cases[i].victim].never_returns = cases[i].in_reboot;
		wave_w_start(s, 4000);
		sim_run(s, cases[i].at);
		if (!cases[i].in_reboot)
			sim_worker_kill(s, &s->workers[cases[i].victim]);
		sim_run(s, 400000);
		cr_expect(!wave_w_is_finished(s), "case %u", i);
		for (k = n = 0; k < 6; k++)
			n += k == cases[i].victim ? 0 : s->workers[k].reboots;
		cr_expect_eq(n, cases[i].reboots, "case %u: %u", i, n);
		cr_expect(watch.rack_out_max <= 4, "case %u: %u", i,
			  watch.rack_out_max);
		sim_wave(s, OP_WAVE_SHOW, "w", "", 0);
		j = sim_reply_json(s);
		cr_expect(json_array_size(json_object_get(json_array_get(j, 0),
							  "late")) ||
				  json_string_length(json_object_get(
					  json_array_get(j, 0), "blocked")),
			  "case %u: reason not shown", i);
		json_decref(j);
		/* When the VM returns, the wave ends and all VMs are active. */
		s->workers[cases[i].victim].never_returns = false;
		sim_worker_boot(s, &s->workers[cases[i].victim]);
		cr_expect(sim_run_until(s, wave_w_is_finished, WAVE_MS),
			  "case %u", i);
		sim_run(s, 10000);
		cr_expect_eq(active_count(s), 8, "case %u", i);
		sim_free(s);
	}
}

/*
 * A failure is recorded while the platform is down, and its end by another
 * owner than the one that recorded it. The budget must be whole again then: a
 * drain that the failure forbade is accepted.
 */
Test(wave, failure_is_counted_and_uncounted)
{
	struct sim *s = start(&small);
	pool_row row;
	unsigned i;

	watch = (struct watch){.kind = FX_COMMIT,
			       .key = "pool/",
			       .fault = SIM_REFUSE,
			       .count = 100};
	sim_worker_kill(s, &s->workers[6]);
	sim_run(s, 40000);
	watch.count = 0;
	sim_run(s, 10000);
	cr_expect_eq(sim_vm(s, OP_VM_DRAIN, "w7", "", 0), OP_REFUSED);
	for (i = 0; i < 3; i++) {
		sim_entry_kill(s, i);
		sim_entry_boot(s, i);
	}
	sim_run(s, 15000);
	sim_worker_boot(s, &s->workers[6]);
	sim_run(s, 15000);
	cr_assert(sim_row_get(s, "pool/p1", XDR_PROC(xdr_pool_row), &row,
			      sizeof(row)));
	cr_expect_eq(row.out_vms.out_vms_len, 0);
	xdr_free(XDR_PROC(xdr_pool_row), (char *)&row);
	cr_expect_eq(sim_vm(s, OP_VM_DRAIN, "w7", "", 0), OP_OK);
	sim_free(s);
}

/* A wave's progress, what blocks it and its expected end are shown. */
Test(wave, is_shown)
{
	struct sim *s = start(&small);
	json_int_t expected;

	watch = (struct watch){0};
	submit_load(s, 2, 1000);
	sim_vm(s, OP_VM_DRAIN, "w5", "", 0);
	wave_w_start(s, 1000);
	sim_run(s, 5000);
	cr_expect_eq(wave_show_integer(s, "w", "waiting"), 6);
	sim_wave(s, OP_WAVE_SHOW, "w", "", 0);
	cr_expect(memmem(s->reply.body.bstr_val, s->reply.body.bstr_len,
			 "its budget is 3", 15),
		  "%.*s", BSTR_ARG(s->reply.body));
	cr_expect_eq(sim_vm(s, OP_VM_RETURN, "w5", "", 0), OP_OK);
	sim_run(s, 60000);
	expected = wave_show_integer(s, "w", "expected_ms");
	cr_expect(expected > 10000 && expected < 300000, "%lld",
		  (long long)expected);
	cr_expect(wave_show_integer(s, "w", "done") > 1);
	cr_expect(sim_run_until(s, wave_w_is_finished, WAVE_MS));
	sim_free(s);
}

/*
 * An operator takes a VM out of a wave. A draining VM may be returned at once.
 * The reboot of an empty one may be in progress, so it must be drained out of
 * the wave first: otherwise the reboot would hit new tasks.
 */
Test(wave, operator_takes_a_vm_out)
{
	struct sim *s = start(&small);

	watch = (struct watch){0};
	submit_load(s, 12, 6000);
	wave_w_start(s, 20000);
	sim_run(s, 2000);
	cr_expect_eq(s->workers[0].state, VM_DRAINING);
	cr_expect_eq(sim_vm(s, OP_VM_RETURN, "w0", "", 0), OP_OK);
	sim_run(s, 15000);
	cr_expect_eq(s->workers[1].state, VM_OUT);
	cr_expect_eq(sim_vm(s, OP_VM_RETURN, "w1", "", 0), OP_REFUSED);
	cr_expect_eq(sim_vm(s, OP_VM_DRAIN, "w1", "", 0), OP_OK);
	cr_expect_eq(sim_vm(s, OP_VM_RETURN, "w1", "", 0), OP_OK);
	cr_expect(sim_run_until(s, wave_w_is_finished, WAVE_MS));
	cr_expect_eq(s->workers[0].reboots, 0);
	cr_expect_eq(wave_show_integer(s, "w", "skipped"), 2);
	sim_free(s);
}

/*
 * A VM moves from p0 to p1. At each step a request or its answer is lost, an
 * entry VM dies, or another operator's request races. The VM is in exactly one
 * pool at any time, is empty when it changes the pool, and ends in the pool it
 * was moved to, or in its own if the other operator was first.
 */
Test(move, steps_and_faults)
{
	static const struct {
		const char *what;
		effect_kind kind;
		enum sim_fault fault;
		unsigned from;
		int kill;	  /* an entry VM; -1: none */
		int64_t after_ms; /* before the kill and the race */
		op_kind race;	  /* of another operator; 0: none */
	} cases[] = {
		{"nothing", FX_COMMIT, SIM_NO_FAULT, 0, -1, 0, 0},
		{"the read is lost", FX_READ, SIM_DROP_REQUEST, 0, -1, 0, 0},
		{"the first write", FX_COMMIT, SIM_DROP_REQUEST, 0, -1, 0, 0},
		{"its answer", FX_COMMIT, SIM_DROP_ANSWER, 0, -1, 0, 0},
		{"the second write", FX_COMMIT, SIM_DROP_REQUEST, 1, -1, 0, 0},
		{"its answer", FX_COMMIT, SIM_DROP_ANSWER, 1, -1, 0, 0},
		{"e0 dies at once", FX_COMMIT, SIM_NO_FAULT, 0, 0, 1, 0},
		{"e1 dies at once", FX_COMMIT, SIM_NO_FAULT, 0, 1, 1, 0},
		{"e2 dies at once", FX_COMMIT, SIM_NO_FAULT, 0, 2, 1, 0},
		{"e0 dies while it drains", FX_COMMIT, SIM_NO_FAULT, 0, 0, 900,
		 0},
		{"e1 dies while it drains", FX_COMMIT, SIM_NO_FAULT, 0, 1, 900,
		 0},
		{"e2 dies while it drains", FX_COMMIT, SIM_NO_FAULT, 0, 2, 900,
		 0},
		{"e0 dies as it moves", FX_COMMIT, SIM_NO_FAULT, 0, 0, 2500, 0},
		{"e1 dies as it moves", FX_COMMIT, SIM_NO_FAULT, 0, 1, 2500, 0},
		{"e2 dies as it moves", FX_COMMIT, SIM_NO_FAULT, 0, 2, 2500, 0},
		{"another moves it", FX_COMMIT, SIM_NO_FAULT, 0, -1, 1,
		 OP_VM_MOVE},
		{"another drains it", FX_COMMIT, SIM_NO_FAULT, 0, -1, 1,
		 OP_VM_DRAIN},
		{"another returns it", FX_COMMIT, SIM_NO_FAULT, 0, -1, 900,
		 OP_VM_RETURN},
	};
	op_request rq = {.kind = OP_VM_MOVE};
	const char *want;
	unsigned i, k, n;
	struct sim *s;
	pool_row row;

	rq.op_request_u.vm.vm = bstr_lit("w0");
	rq.op_request_u.vm.pool = bstr_lit("p1");
	rq.op_request_u.vm.deadline_ms = 500;
	for (i = 0; i < NELEMS(cases); i++) {
		s = start(&small);
		submit_load(s, 12, 2000);
		sim_run(s, 300);
		watch = (struct watch){
			.kind = cases[i].kind,
			.key = cases[i].kind == FX_COMMIT ? "pool/" : NULL,
			.fault = cases[i].fault,
			.from = cases[i].from,
			.count = cases[i].fault != SIM_NO_FAULT};
		sim_operate_begin(s, 0, &rq);
		sim_run(s, cases[i].after_ms);
		if (cases[i].kill >= 0) {
			sim_entry_kill(s, (unsigned)cases[i].kill);
			sim_run(s, 3000);
			sim_entry_boot(s, (unsigned)cases[i].kill);
		}
		if (cases[i].race)
			sim_vm(s, cases[i].race, "w0", "p1", 500);
		sim_run(s, 60000);
		want = cases[i].race == OP_VM_RETURN ? "p0" : "p1";
		/*
		 * The entry VM that got the move may die before its first
		 * write; the move has no effect then.
		 */
		if (cases[i].kill == 0 && cases[i].after_ms == 1)
			want = s->workers[0].pool;
		/* The other operator's drain came first. */
		if (cases[i].race == OP_VM_DRAIN &&
		    s->workers[0].state == VM_OUT)
			want = "p0";
		cr_expect_str_eq(s->workers[0].pool, want, "%s", cases[i].what);
		cr_expect(s->workers[0].state != VM_DRAINING, "%s",
			  cases[i].what);
		for (k = n = 0; k < 2; k++) {
			if (!sim_row_get(s, k ? "pool/p1" : "pool/p0",
					 XDR_PROC(xdr_pool_row), &row,
					 sizeof(row)))
				continue;
			n += row.out_vms.out_vms_len;
			xdr_free(XDR_PROC(xdr_pool_row), (char *)&row);
		}
		cr_expect_eq(n, s->workers[0].state == VM_OUT, "%s: %u out",
			     cases[i].what, n);
		/* Jobs that wait at an entry VM are lost with it. */
		if (cases[i].kill < 0)
			cr_expect_eq(jobs_done(s), 12, "%s: %u done",
				     cases[i].what, jobs_done(s));
		sim_free(s);
	}
}
