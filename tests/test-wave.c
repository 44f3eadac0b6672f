#include "support-sim.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

/*
 * Waves and moves through the reducers of three entry VMs, on a clock of
 * their own.  After each write the budget is checked against the table and
 * the workers: nothing here looks into a reducer.
 */
#define WAVE_MS 600000

/* What a test watches while it runs. */
struct watch {
	unsigned out_most;  /* VMs out at once, failures included */
	unsigned room_most; /* and the worst rack of what is left */
	/* a fault in the requests of a kind, by its number */
	effect_kind kind;
	const char *key; /* of a commit's first write; NULL: any */
	enum sim_fault fault;
	unsigned from, count, seen;
};

static struct watch watch;

/* A lost worker is known as lost when its leases have ended, and counts. */
#define NOTICE_MS 15000

static bool counts_as_up(const struct sim *s, const struct sim_worker *w)
{
	return w->up || s->now - w->down_at < NOTICE_MS;
}

/* VMs of a pool that are not at work, and the worst rack of those that are. */
static unsigned pool_outs(struct sim *s, const char *pool, unsigned *worst)
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

/* Note what a write of a VM's row makes of its pool. */
static void written(struct sim *s, const table_write *t)
{
	struct sim_worker *w;
	unsigned out, worst;
	vm_row row;

	if (t->key.bstr_len < 4 || memcmp(t->key.bstr_val, "vm/", 3) != 0 ||
	    t->remove ||
	    !xdr_decode(XDR_PROC(xdr_vm_row), t->value, &row, sizeof(row)))
		return;
	w = sim_worker_find(s, row.vm);
	out = pool_outs(s, w->pool, &worst);
	if (out > watch.out_most)
		watch.out_most = out;
	if (row.state == VM_DRAINING && out + worst > watch.room_most)
		watch.room_most = out + worst;
	/* What is out, or in another pool, has nothing left to run. */
	if (row.state == VM_OUT)
		cr_expect_eq(w->running, 0, "%s is out and runs", w->name);
	xdr_free(XDR_PROC(xdr_vm_row), (char *)&row);
}

static bool request_is(const effect *fx)
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

static enum sim_fault request(struct sim *s, const effect *fx)
{
	(void)s;
	if (!watch.count || !request_is(fx) || watch.seen++ < watch.from)
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

	s->hooks.written = written;
	s->hooks.request = request;
	return s;
}

/* A field of the first wave shown. */
static json_int_t wave_figure(struct sim *s, const char *wave, const char *name)
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

static bool wave_over(struct sim *s)
{
	return wave_is(s, "w", WAVE_FINISHED);
}

static unsigned reboots(const struct sim *s, const char *pool)
{
	unsigned n = 0, i;

	for (i = 0; i < s->worker_count; i++)
		n += strcmp(s->workers[i].pool, pool) ? 0
						      : s->workers[i].reboots;
	return n;
}

static unsigned active(const struct sim *s)
{
	unsigned n = 0, i;

	for (i = 0; i < s->worker_count; i++)
		n += s->workers[i].state == VM_ACTIVE && s->workers[i].up;
	return n;
}

/* Keep a pool busy with jobs of so many ms. */
static void load(struct sim *s, unsigned jobs, int64_t ms)
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
 * A whole wave under work: each VM is rebooted once and none while a task
 * runs on it; every job comes to its end.  Budget 3 of racks of two: never
 * more than one out while a rack of two may fail.
 */
Test(wave, runs_whole)
{
	struct sim *s = start(&small);
	unsigned i;

	watch = (struct watch){0};
	load(s, 60, 3000);
	cr_expect_eq(sim_wave(s, OP_WAVE_PLAN, "w", "p0", 2000), OP_OK);
	cr_expect_eq(reboots(s, "p0"), 0);
	cr_expect_eq(sim_wave(s, OP_WAVE_START, "w", "", 0), OP_OK);
	cr_expect(sim_run_until(s, wave_over, WAVE_MS));
	for (i = 0; i < s->worker_count; i++) {
		cr_expect_eq(s->workers[i].reboots, i < 6, "%s: %u",
			     s->workers[i].name, s->workers[i].reboots);
		cr_expect_eq(s->workers[i].kills, 0);
	}
	sim_run(s, 30000);
	cr_expect_eq(jobs_done(s), 60, "%u", jobs_done(s));
	cr_expect_eq(active(s), 8);
	cr_expect(watch.room_most <= 3, "%u", watch.room_most);
	cr_expect_eq(wave_figure(s, "w", "done"), 6);
	sim_free(s);
}

/* What an operator may ask of a wave in each of its states. */
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
		/* a step of the wave itself may be first; ask again then */
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

/*
 * Pause and cancel at each moment of a wave.  Paused: what was begun ends,
 * nothing else begins.  Cancelled: what was being emptied goes back to work
 * without a reboot, what is being rebooted comes back after it.
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
		load(s, 8, 3000);
		sim_wave(s, OP_WAVE_PLAN, "w", "p0", 1000);
		sim_wave(s, OP_WAVE_START, "w", "", 0);
		sim_run(s, moments[i / 2]);
		while (sim_wave(s, asks[i % 2], "w", "", 0) == OP_CONFLICT)
			continue;
		cr_expect(wave_is(s, "w", i % 2 ? WAVE_CANCELLED : WAVE_PAUSED),
			  "case %u", i);
		sim_run(s, 40000);
		before = reboots(s, "p0");
		cr_expect(before <= 2, "case %u: %u", i, before);
		cr_expect_eq(active(s), 8, "case %u: %u at work", i, active(s));
		sim_run(s, 60000);
		cr_expect_eq(reboots(s, "p0"), before, "case %u", i);
		cr_expect_eq(s->workers[0].kills, 0, "case %u", i);
		if (i % 2 == 0) {
			cr_expect_eq(sim_wave(s, OP_WAVE_RESUME, "w", "", 0),
				     OP_OK);
			cr_expect(sim_run_until(s, wave_over, WAVE_MS),
				  "case %u", i);
			cr_expect_eq(reboots(s, "p0"), 6, "case %u", i);
		}
		sim_free(s);
	}
}

/*
 * A request of a kind is lost, its answer is lost, or it is refused: the
 * first, a later one, or a run of them.  The operator sees the wave end all
 * the same, each VM rebooted once and the budget kept.
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
	unsigned i, k;
	struct sim *s;

	for (i = 0; i < 3 * NELEMS(cases); i++) {
		s = start(&small);
		load(s, 6, 3000);
		sim_wave(s, OP_WAVE_PLAN, "w", "p0", 1000);
		sim_wave(s, OP_WAVE_START, "w", "", 0);
		watch = (struct watch){.kind = cases[i / 3].kind,
				       .key = cases[i / 3].key,
				       .fault = faults[i % 3],
				       .from = cases[i / 3].from,
				       .count = cases[i / 3].count};
		cr_expect(sim_run_until(s, wave_over, WAVE_MS), "case %u", i);
		for (k = 0; k < 6; k++)
			cr_expect_eq(s->workers[k].reboots, 1, "case %u: %s %u",
				     i, s->workers[k].name,
				     s->workers[k].reboots);
		cr_expect(watch.room_most <= 3, "case %u: %u", i,
			  watch.room_most);
		cr_expect_eq(watch.count, 0, "case %u never happened", i);
		sim_run(s, 10000);
		cr_expect_eq(active(s), 8, "case %u", i);
		sim_free(s);
	}
}

/*
 * Each entry VM dies in turn, the runner of the wave and the owner of the
 * cell among them, at each moment of a wave; a new one comes 3 s later.
 * Another goes on from the rows; nothing is rebooted twice.
 */
Test(wave, entry_vm_dies_at_each_step)
{
	unsigned i, k;
	struct sim *s;

	for (i = 0; i < 3 * 14; i++) {
		s = start(&small);
		watch = (struct watch){0};
		load(s, 6, 3000);
		sim_wave(s, OP_WAVE_PLAN, "w", "p0", 1000);
		sim_wave(s, OP_WAVE_START, "w", "", 0);
		sim_run(s, 1300 * (i / 3) + 50);
		sim_entry_kill(s, i % 3);
		sim_run(s, 3000);
		sim_entry_boot(s, i % 3);
		cr_expect(sim_run_until(s, wave_over, WAVE_MS), "case %u", i);
		for (k = 0; k < 6; k++)
			cr_expect_eq(s->workers[k].reboots, 1, "case %u: %s %u",
				     i, s->workers[k].name,
				     s->workers[k].reboots);
		cr_expect(watch.room_most <= 3, "case %u: %u", i,
			  watch.room_most);
		cr_expect_eq(wave_figure(s, "w", "skipped"), 0, "case %u", i);
		sim_free(s);
	}
}

/*
 * Two waves on one pool, by two operators: each VM is rebooted for both,
 * and together they keep the budget.
 */
static bool both_over(struct sim *s)
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
	cr_expect(sim_run_until(s, both_over, 2 * WAVE_MS));
	sim_run(s, 3000); /* what is shown is at most one poll old */
	cr_expect_eq(reboots(s, "p0"), 12, "%u", reboots(s, "p0"));
	cr_expect(watch.room_most <= 3, "%u", watch.room_most);
	cr_expect_eq(wave_figure(s, "w", "done"), 6);
	cr_expect_eq(wave_figure(s, "v", "done"), 6);
	sim_free(s);
}

/*
 * A VM fails in the midst of a wave, before its turn, while it is emptied,
 * or never comes back from its reboot.  It counts against the budget first;
 * the wave goes on with the others and says which one it waits for.
 */
Test(wave, vm_fails)
{
	static const struct {
		unsigned victim;
		int64_t at;
		bool in_reboot;
		unsigned reboots; /* of the others */
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
		load(s, 6, 8000);
		s->workers[cases[i].victim].never_returns = cases[i].in_reboot;
		sim_wave(s, OP_WAVE_PLAN, "w", "p0", 4000);
		sim_wave(s, OP_WAVE_START, "w", "", 0);
		sim_run(s, cases[i].at);
		if (!cases[i].in_reboot)
			sim_worker_kill(s, &s->workers[cases[i].victim]);
		sim_run(s, 400000);
		cr_expect(!wave_over(s), "case %u", i);
		for (k = n = 0; k < 6; k++)
			n += k == cases[i].victim ? 0 : s->workers[k].reboots;
		cr_expect_eq(n, cases[i].reboots, "case %u: %u", i, n);
		cr_expect(watch.room_most <= 4, "case %u: %u", i,
			  watch.room_most);
		sim_wave(s, OP_WAVE_SHOW, "w", "", 0);
		j = sim_reply_json(s);
		cr_expect(json_array_size(json_object_get(json_array_get(j, 0),
							  "late")) ||
				  json_string_length(json_object_get(
					  json_array_get(j, 0), "blocked")),
			  "case %u tells nobody", i);
		json_decref(j);
		/* It comes back: the wave ends, and all are at work. */
		s->workers[cases[i].victim].never_returns = false;
		sim_worker_boot(s, &s->workers[cases[i].victim]);
		cr_expect(sim_run_until(s, wave_over, WAVE_MS), "case %u", i);
		sim_run(s, 10000);
		cr_expect_eq(active(s), 8, "case %u", i);
		sim_free(s);
	}
}

/*
 * A failure is noted while the platform is down, and its end by another
 * owner than the one that noted it.  The budget is whole again then: a drain
 * that it forbade is accepted.
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

/* An operator sees how far a wave is, what blocks it and when it may end. */
Test(wave, is_shown)
{
	struct sim *s = start(&small);
	json_int_t expected;

	watch = (struct watch){0};
	load(s, 2, 1000);
	sim_vm(s, OP_VM_DRAIN, "w5", "", 0);
	sim_wave(s, OP_WAVE_PLAN, "w", "p0", 1000);
	sim_wave(s, OP_WAVE_START, "w", "", 0);
	sim_run(s, 5000);
	cr_expect_eq(wave_figure(s, "w", "waiting"), 6);
	sim_wave(s, OP_WAVE_SHOW, "w", "", 0);
	cr_expect(memmem(s->reply.body.bstr_val, s->reply.body.bstr_len,
			 "its budget is 3", 15),
		  "%.*s", BSTR_ARG(s->reply.body));
	cr_expect_eq(sim_vm(s, OP_VM_RETURN, "w5", "", 0), OP_OK);
	sim_run(s, 60000);
	expected = wave_figure(s, "w", "expected_ms");
	cr_expect(expected > 10000 && expected < 300000, "%lld",
		  (long long)expected);
	cr_expect(wave_figure(s, "w", "done") > 1);
	cr_expect(sim_run_until(s, wave_over, WAVE_MS));
	sim_free(s);
}

/*
 * An operator takes a VM out of a wave.  While it is emptied it may be given
 * back at once; once empty its reboot may be under way, and it must be taken
 * out of the wave first, or the reboot would come upon new work.
 */
Test(wave, operator_takes_a_vm_out)
{
	struct sim *s = start(&small);

	watch = (struct watch){0};
	load(s, 12, 6000);
	sim_wave(s, OP_WAVE_PLAN, "w", "p0", 20000);
	sim_wave(s, OP_WAVE_START, "w", "", 0);
	sim_run(s, 2000);
	cr_expect_eq(s->workers[0].state, VM_DRAINING);
	cr_expect_eq(sim_vm(s, OP_VM_RETURN, "w0", "", 0), OP_OK);
	sim_run(s, 15000);
	cr_expect_eq(s->workers[1].state, VM_OUT);
	cr_expect_eq(sim_vm(s, OP_VM_RETURN, "w1", "", 0), OP_REFUSED);
	cr_expect_eq(sim_vm(s, OP_VM_DRAIN, "w1", "", 0), OP_OK);
	cr_expect_eq(sim_vm(s, OP_VM_RETURN, "w1", "", 0), OP_OK);
	cr_expect(sim_run_until(s, wave_over, WAVE_MS));
	cr_expect_eq(s->workers[0].reboots, 0);
	cr_expect_eq(wave_figure(s, "w", "skipped"), 2);
	sim_free(s);
}

/*
 * A VM moves from p0 to p1.  At each step a request is lost or its answer,
 * an entry VM dies, or another operator races: the VM is in one pool at
 * each moment, changes it empty, and ends in the pool it was moved to, or
 * in its own if the other operator was first.
 */
Test(move, steps_and_faults)
{
	static const struct {
		const char *what;
		effect_kind kind;
		enum sim_fault fault;
		unsigned from;
		int kill;	  /* an entry VM, -1: none */
		int64_t after_ms; /* then */
		op_kind race;	  /* by another operator; 0: none */
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
		load(s, 12, 2000);
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
		/* The mover died before the first write: nothing was done. */
		if (cases[i].kill == 0 && cases[i].after_ms == 1)
			want = s->workers[0].pool;
		/* The other operator was first. */
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
		/* What waits at an entry VM ends with it. */
		if (cases[i].kill < 0)
			cr_expect_eq(jobs_done(s), 12, "%s: %u done",
				     cases[i].what, jobs_done(s));
		sim_free(s);
	}
}
