/*
 * Tests of offers: an owner with too little processor time for the tasks that
 * wait leaves the ownership to a larger VM, if there is one.
 */
#include "../sched-state.h"
#include "support-world.h"

#include <criterion/criterion.h>

#define SMALL_CORES 0.1
#define WORKERS 60	    /* have room for all tasks that can be started */
#define CALLS_LEASE_MS 3000 /* of calls about machines, by the platform */
#define WINDOW 64 /* starts in flight: the least that an owner allows */

/* Four of them take the owner 6 s to start with that window. */
static const struct world_job wide = {.tasks = 240, .task_ms = 500};
static const char *const jobs[] = {"00000000000000aa", "00000000000000bb",
				   "00000000000000cc", "00000000000000dd"};

/*
 * Guards against tasks that wait beside free workers for as long as a small VM
 * owns the scheduling, which alone reached the store when the owner before it
 * was lost, although larger VMs reach it again.
 */
static const struct {
	const char *name;
	double cores;	 /* of the other VMs */
	int64_t late_ms; /* answers to the owner; 0: it has enough cores */
	bool others_cut; /* the other VMs don't reach the store again */
	bool lose_offer; /* the first to offer is killed as its offer arrives */
	bool yields;
} rows[] = {
	{"larger VMs are back", 0.5, 400, false, false, true},
	{"the one that offers dies", 0.5, 400, false, true, true},
	{"no larger VM reaches the store", 0.5, 400, true, false, false},
	{"the others are hardly larger", 0.19, 400, false, false, false},
	{"the owner answers in time", 0.5, 0, false, false, false},
};

/* Starts a VM anew with a number of cores. */
static void vm_restart(struct world *w, unsigned vm, double cores)
{
	world_kill_vm(w, vm);
	world_set_cores(w, vm, cores);
	world_start_vm(w, vm);
}

/* Kills the VM whose offer an owner has accepted, before it can claim. */
static void offerer_kill(struct world *w, unsigned small, bool *killed)
{
	unsigned k;

	for (k = 0; k < WORLD_VMS && !*killed; k++) {
		struct sched *s = world_sched(w, k);

		if (k == small || !s || !s->own.offer_epoch ||
		    !bstr_eq(s->own.offer_vm, s->options.vm))
			continue;
		world_kill_vm(w, k);
		*killed = true;
	}
}

Test(offer, small_owner_yields_to_a_larger_vm)
{
	struct world *w;
	unsigned row, small, k;
	bool killed;
	int64_t ms;

	for (row = 0; row < NELEMS(rows); row++) {
		w = world_new(3100 + row, WORLD_VMS, WORKERS);
		world_run(w, 2000);
		small = (unsigned)(world_owner(w) + 1) % WORLD_VMS;
		killed = !rows[row].lose_offer;
		vm_restart(w, small, SMALL_CORES);
		for (k = 0; k < WORLD_VMS; k++) {
			if (k == small)
				continue;
			world_cut_store(w, k, true);
			vm_restart(w, k, rows[row].cores);
		}
		world_run(w, 4000);
		cr_assert_eq(world_owner(w), (int)small, "%s", rows[row].name);
		world_set_inbox_delay(w, small, rows[row].late_ms);
		for (k = 0; k < WORLD_VMS; k++)
			world_cut_store(w, k,
					k != small && rows[row].others_cut);
		for (k = 0; k < NELEMS(jobs); k++)
			world_submit(w, small, jobs[k], &wide);
		world_sched(w, small)->start_window = WINDOW *
						      START_WINDOW_UNIT;
		for (ms = 0; ms < 7000; ms += 5) {
			world_run(w, 5);
			offerer_kill(w, small, &killed);
		}
		cr_expect_eq(world_owner(w) != (int)small, rows[row].yields,
			     "%s", rows[row].name);
		for (k = 0; rows[row].yields && k < NELEMS(jobs); k++)
			cr_expect_str_eq(world_job_state(w, jobs[k]),
					 "completed", "%s: job %u",
					 rows[row].name, k);
		cr_expect_null(world_violation(w), "%s: %s", rows[row].name,
			       world_violation(w));
		world_free(w);
	}
}

/*
 * Makes a world whose owner is the small VM and answered late, with tasks that
 * wait; the other VMs reach the store again.
 */
static struct world *world_short_new(uint64_t seed, unsigned *small)
{
	struct world *w = world_new(seed, WORLD_VMS, WORKERS);
	unsigned k;

	world_run(w, 2000);
	*small = (unsigned)(world_owner(w) + 1) % WORLD_VMS;
	vm_restart(w, *small, SMALL_CORES);
	for (k = 0; k < WORLD_VMS; k++) {
		if (k == *small)
			continue;
		world_cut_store(w, k, true);
		vm_restart(w, k, 0.5);
	}
	world_run(w, 4000);
	cr_assert_eq(world_owner(w), (int)*small);
	world_set_inbox_delay(w, *small, 600);
	for (k = 0; k < WORLD_VMS; k++)
		world_cut_store(w, k, false);
	for (k = 0; k < NELEMS(jobs); k++)
		world_submit(w, *small, jobs[k], &wide);
	world_sched(w, *small)->start_window = WINDOW * START_WINDOW_UNIT;
	return w;
}

/* Returns when the first order of another VM about a machine arrived. */
static int64_t other_machine_order_at(const struct world *w, unsigned small)
{
	int64_t at = 0;
	unsigned k;

	for (k = 0; k < WORLD_VMS && !at; k++)
		if (k != small)
			at = world_machine_order_at(w, k);
	return at;
}

/*
 * Guards against calls about machines by two owners within the lease of such
 * calls, if one that yields during a wave is followed at once.
 */
Test(offer, machine_calls_of_two_owners_are_a_lease_apart)
{
	unsigned small;
	struct world *w = world_short_new(3200, &small);
	int64_t ms, old, next = 0;

	world_run(w, 1800); /* so that its calls come just before an offer */
	world_start_wave(w, WORKERS, 4);
	for (ms = 0; ms < 12000 && !next; ms += 5) {
		world_run(w, 5);
		next = other_machine_order_at(w, small);
	}
	old = world_machine_order_at(w, small);
	cr_expect_neq(world_owner(w), (int)small);
	cr_expect_neq(old, 0);
	cr_expect_geq(next, old + CALLS_LEASE_MS, "%lld ms",
		      (long long)(next - old));
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/* Guards against offers to an older version, which tells no processor time. */
Test(offer, owner_of_unknown_size_gets_no_offer)
{
	unsigned small;
	struct world *w = world_short_new(3201, &small);

	world_sched(w, small)->options.cpu_share = 0;
	world_run(w, 4000);
	cr_expect_neq(world_log_count(w, LOG_OWNER_SHORT), 0);
	cr_expect_eq(world_log_count(w, LOG_OWNER_OFFER), 0);
	cr_expect_eq(world_owner(w), (int)small);
	world_free(w);
}
