/*
 * Compares the scheduling policies: shares, waiting times, idle slots and
 * preemptions of the queue policies, and roll-out time and budget violations of
 * the wave policies.  It runs the reducer in the simulated fleet of
 * tests/support-sim.h on a simulated clock.  All policies, with the baselines
 * among them, run on the same seeds.  What ran is counted by the fakes, never
 * by the reducer itself.
 *
 * bench-policy [SEEDS [SECONDS [POOLS]]] prints JSON on standard output and a
 * table on standard error.
 */
#include "../reduce.h"
#include "../tests/support-sim.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define TEAMS 6
#define URGENT_MS 4200 /* an urgent job that waits longer is late */
#define TURN_MS 10000  /* length of a burst; the queues have it in turn */
#define SAMPLE_MS 500

enum job_kind { KIND_QUICK, KIND_LONG, KIND_URGENT, KINDS };

/* The measured values, each printed under its name in figure_names. */
enum figure {
	SHARE_LEAST, /* lowest part of its share that a team attains */
	SHARE_T0,
	SHARE_LAST = SHARE_T0 + TEAMS - 1,
	QUICK_P50,
	QUICK_P99,
	QUICK_OWN_P99, /* of the teams that demand less than their share */
	LONG_P99,
	LONG_WORST,
	URGENT_P99,
	URGENT_WORST,
	URGENT_LATE,
	IDLE_WANTED, /* fraction of slots that idle while jobs for them wait */
	IDLE,
	MOVES, /* checkpoints, by which jobs are preempted */
	DONE,
	ROLLOUT_S,
	WAVE_MOVES,
	OVER_MOST, /* maximum of VMs out of service beyond the budget */
	OVER_S,	   /* time with VMs out of service beyond the budget */
	FIGURES
};
static const char *const figure_names[FIGURES] = {
	"share_least",	 "share_t0",	  "share_t1",	 "share_t2",
	"share_t3",	 "share_t4",	  "share_t5",	 "quick_p50_ms",
	"quick_p99_ms",	 "quick_own_p99", "long_p99_ms", "long_worst_ms",
	"urgent_p99_ms", "urgent_worst",  "urgent_late", "idle_wanted",
	"idle",		 "moves",	  "done",	 "rollout_s",
	"wave_moves",	 "over_most",	  "over_s",
};

struct load {
	const char *name;
	unsigned long_percent; /* part of the demand that is long jobs */
	double mean;	       /* demand of a queue, relative to its slots */
	double urgent_per_s;   /* in all pools together */
	bool bursts;
};
static const struct load loads[] = {
	{"bursts in turn", 70, 0.6, 0.5, true},
	{"full of long work", 95, 2.0, 2.0, false},
};
static const char *const queue_policies[] = {"shares", "fifo",
					     "weighted round robin"};
static const char *const wave_policies[] = {"room for a rack", "rack by rack",
					    "by name"};
static const unsigned shares[TEAMS] = {4, 3, 1, 1, 1, 1};
/* Each team's part of the demand, not proportional to the shares. */
static const double demand[TEAMS] = {0.3, 0.15, 0.3, 0.1, 0.1, 0.05};

/* The current jobs by pool and team, and the sums over the samples. */
struct usage {
	int running[SIM_POOLS][TEAMS], queued[SIM_POOLS][TEAMS];
	double attained[TEAMS]; /* sums of parts of the share, each 0 to 1 */
	unsigned samples[TEAMS];
	double idle, idle_wanted, slots;
};
static struct usage usage;

/* Counts a job that starts; a hook of the simulated fleet. */
static void job_started(struct sim *s, unsigned job, struct sim_worker *w)
{
	const struct sim_job *j = &s->jobs[job];

	(void)w;
	usage.running[j->pool][j->team]++;
	usage.queued[j->pool][j->team]--;
}

/* Counts a run that ends: its job is done, or is queued again. */
static void job_ended(struct sim *s, unsigned job, struct sim_worker *w)
{
	const struct sim_job *j = &s->jobs[job];

	(void)w;
	usage.running[j->pool][j->team]--;
	if (j->total_run_ms < j->run_ms)
		usage.queued[j->pool][j->team]++;
}

/*
 * Samples a pool.  While much work is queued, a team with queued jobs should
 * have its share of the slots among the teams that have any jobs.
 */
static void sample_pool(const struct sim *s, unsigned pool, unsigned slots)
{
	unsigned t, weight = 0;
	int busy = 0, waiting = 0;

	(void)s;
	for (t = 0; t < TEAMS; t++) {
		busy += usage.running[pool][t];
		waiting += usage.queued[pool][t];
		if (usage.running[pool][t] + usage.queued[pool][t])
			weight += shares[t];
	}
	usage.slots += slots;
	usage.idle += (int)slots - busy;
	if (waiting >= (int)slots - busy)
		usage.idle_wanted += (int)slots - busy;
	for (t = 0; t < TEAMS && waiting > (int)slots / 4; t++) {
		if (usage.queued[pool][t] <= 2)
			continue;
		usage.attained[t] += fmin(1, usage.running[pool][t] * 1.0 *
						     weight /
						     (shares[t] * slots));
		usage.samples[t]++;
	}
}

/* Returns a random number above 0 and up to 1. */
static double random_unit(struct sim *s)
{
	return (double)(sim_random(s, 1u << 30) + 1) / (1u << 30);
}

/* Submits a job of a random team to a pool. */
static void submit_job(struct sim *s, unsigned pool, unsigned kind)
{
	struct sim_job j = {.pool = pool, .urgent = kind == KIND_URGENT};
	double u = random_unit(s);

	while (j.team + 1 < TEAMS && u > demand[j.team])
		u -= demand[j.team++];
	j.run_ms = kind == KIND_LONG ? 20000 + (int64_t)sim_random(s, 40000)
				     : 200 + (int64_t)sim_random(s, 1300);
	/* Declared run times are wrong by up to a factor of ten. */
	j.declared_ms = (int64_t)((double)j.run_ms *
				  pow(10, 2 * random_unit(s) - 1));
	j.label = kind;
	sim_submit(s, (unsigned)sim_random(s, s->plan.entries), &j);
	usage.queued[pool][j.team]++;
}

/* Submits the demand of a pool's queue for a step of ms milliseconds. */
static void submit_demand(struct sim *s, const struct load *l, unsigned pool,
			  double ms)
{
	unsigned slots = s->plan.pools[pool].workers * s->plan.slots, kind;
	unsigned turn = (unsigned)(s->now / TURN_MS) % s->pool_count;
	double factor = !l->bursts ? 1 : turn == pool ? 5 : 0.05, rate;

	for (kind = 0; kind < KINDS; kind++) {
		if (kind == KIND_URGENT)
			rate = l->urgent_per_s / s->pool_count / 1000;
		else
			rate = factor * l->mean * slots *
			       (kind ? l->long_percent
				     : 100 - l->long_percent) /
			       100 / (kind ? 40000 : 850);
		/*
		 * Poisson arrivals: exponential gaps, as long as they fit
		 * into the step.
		 */
		rate = rate * ms + log(random_unit(s));
		while (rate > 0) {
			submit_job(s, pool, kind);
			rate += log(random_unit(s));
		}
	}
}

/* Compares two doubles; for qsort(). */
static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/*
 * Stores the sorted waiting times of the jobs of a kind until their first start
 * (or until now), for the given number of teams from the first; returns their
 * number.
 */
static size_t waiting_times(const struct sim *s, unsigned kind, unsigned teams,
			    double **out)
{
	size_t i, n = 0;

	*out = xcalloc(s->job_count + 1, sizeof(double));
	for (i = 0; i < s->job_count; i++) {
		const struct sim_job *j = &s->jobs[i];
		int64_t end = j->started_at ? j->started_at : s->now;

		if (j->label == kind && j->team < teams)
			(*out)[n++] = (double)(end - j->submitted_at);
	}
	qsort(*out, n, sizeof(double), compare_doubles);
	return n;
}

/* Returns a quantile of sorted values, or 0 if there are none. */
static double quantile(const double *v, size_t n, double q)
{
	return n ? v[(size_t)((double)(n - 1) * q)] : 0;
}

/* Calculates the figures of a queue policy at the end of a run. */
static void queue_figures(struct sim *s, double *f)
{
	size_t n, i;
	double *v;

	f[SHARE_LEAST] = 1;
	for (i = 0; i < TEAMS; i++) {
		f[SHARE_T0 + i] = usage.samples[i]
					  ? usage.attained[i] / usage.samples[i]
					  : 1;
		f[SHARE_LEAST] = fmin(f[SHARE_LEAST], f[SHARE_T0 + i]);
	}
	n = waiting_times(s, KIND_QUICK, TEAMS, &v);
	f[QUICK_P50] = quantile(v, n, 0.5);
	f[QUICK_P99] = quantile(v, n, 0.99);
	free(v);
	n = waiting_times(s, KIND_QUICK, 2, &v); /* t0 and t1 */
	f[QUICK_OWN_P99] = quantile(v, n, 0.99);
	free(v);
	n = waiting_times(s, KIND_LONG, TEAMS, &v);
	f[LONG_P99] = quantile(v, n, 0.99);
	f[LONG_WORST] = quantile(v, n, 1);
	free(v);
	n = waiting_times(s, KIND_URGENT, TEAMS, &v);
	f[URGENT_P99] = quantile(v, n, 0.99);
	f[URGENT_WORST] = quantile(v, n, 1);
	for (i = 0; i < n; i++)
		f[URGENT_LATE] += v[i] > URGENT_MS;
	free(v);
	f[IDLE] = usage.idle / usage.slots;
	f[IDLE_WANTED] = usage.idle_wanted / usage.slots;
	f[MOVES] = (double)s->checkpoints;
	for (i = 0; i < s->job_count; i++)
		f[DONE] += s->jobs[i].state == JOB_DONE;
}

/* Describes a fleet of pools of ten workers each. */
static void plan_fleet(struct sim_plan *plan, uint64_t seed, unsigned pools)
{
	unsigned i;

	memset(plan, 0, sizeof(*plan));
	plan->seed = seed;
	plan->entries = plan->dcs = 1;
	plan->slots = 8;
	plan->per_rack = 4;
	plan->reboot_ms = 30000;
	for (i = 0; i < pools; i++)
		plan->pools[i] = (struct sim_pool){5, 10, false};
	for (i = 0; i < TEAMS; i++)
		plan->teams[i] = (struct sim_team){shares[i], 100000};
}

/* Runs a load for ms milliseconds under a queue policy. */
static void run_queue(const struct load *l, enum queue_policy policy,
		      uint64_t seed, int64_t ms, unsigned pools, double *f)
{
	struct sim_plan plan;
	struct sim *s;
	int64_t from;
	unsigned p;

	plan_fleet(&plan, seed, pools);
	memset(&usage, 0, sizeof(usage));
	s = sim_new(&plan);
	s->entries[0]->queue_policy = policy;
	s->hooks.started = job_started;
	s->hooks.ended = job_ended;
	for (from = s->now; s->now - from < ms; sim_run(s, 50)) {
		for (p = 0; p < s->pool_count; p++) {
			submit_demand(s, l, p, 50);
			if ((s->now - from) % SAMPLE_MS == 0)
				sample_pool(s, p,
					    plan.pools[p].workers * plan.slots);
		}
	}
	queue_figures(s, f);
	sim_free(s);
}

/* Returns how many VMs are out of service beyond the pool's budget. */
static unsigned vms_over_budget(const struct sim *s)
{
	unsigned out = 0, i;

	for (i = 0; i < s->worker_count; i++)
		out += s->workers[i].state != VM_ACTIVE || !s->workers[i].up;
	return out > s->plan.pools[0].budget ? out - s->plan.pools[0].budget
					     : 0;
}

/* Returns true if the wave is finished. */
static bool wave_is_finished(struct sim *s)
{
	wave_row row;
	bool is;

	if (!sim_row_get(s, "wave/w", XDR_PROC(xdr_wave_row), &row,
			 sizeof(row)))
		return false;
	is = row.state == WAVE_FINISHED;
	xdr_free(XDR_PROC(xdr_wave_row), (char *)&row);
	return is;
}

/* Kills a worker if its rack is the lost one; boots it two minutes later. */
static void worker_apply_outage(struct sim *s, struct sim_worker *w,
				const char *rack, int64_t lost)
{
	if (strcmp(w->rack, rack) != 0)
		return;
	if (s->now >= lost && s->now < lost + 100)
		sim_worker_kill(s, w);
	else if (s->now >= lost + 120000 && !w->up)
		sim_worker_boot(s, w);
}

/*
 * Runs a wave over a pool that has work, under a wave policy, while a rack
 * fails for two minutes.
 */
static void run_wave(enum wave_policy policy, uint64_t seed, double *f)
{
	struct sim_plan plan;
	int64_t from, lost;
	unsigned i, over;
	char rack[16];
	struct sim *s;

	plan_fleet(&plan, seed, 1);
	plan.interleaved = true;
	memset(&usage, 0, sizeof(usage));
	s = sim_new(&plan);
	s->entries[0]->wave_policy = policy;
	for (i = 0; i < 60; i++)
		submit_job(s, 0, KIND_LONG);
	sim_run(s, 3000);
	sim_wave(s, OP_WAVE_PLAN, "w", "p0", 10000);
	sim_wave(s, OP_WAVE_START, "w", "", 0);
	from = s->now;
	lost = from + 20000 + (int64_t)sim_random(s, 60000);
	snprintf(rack, sizeof(rack), "r%u", (unsigned)sim_random(s, 3));
	while (!wave_is_finished(s) && s->now - from < 3600000) {
		for (i = 0; i < s->worker_count; i++)
			worker_apply_outage(s, &s->workers[i], rack, lost);
		over = vms_over_budget(s);
		f[OVER_MOST] = fmax(f[OVER_MOST], over);
		f[OVER_S] += over ? 0.1 : 0;
		if (s->now % 40000 < 100)
			for (i = 0; i < 30; i++)
				submit_job(s, 0, KIND_LONG);
		sim_run(s, 100);
	}
	f[ROLLOUT_S] = (double)(s->now - from) / 1000;
	f[WAVE_MOVES] = (double)s->checkpoints;
	sim_free(s);
}

/*
 * Returns mean, minimum and maximum over the seeds of a range of figures as
 * JSON, and prints them as a table.
 */
static json_t *figures_report(double f[][FIGURES], unsigned seeds,
			      unsigned from, unsigned to)
{
	json_t *o = json_object();
	double sum, min, max;
	unsigned i, k;

	for (i = from; i <= to; i++) {
		sum = 0;
		min = max = f[0][i];
		for (k = 0; k < seeds; k++) {
			sum += f[k][i];
			min = fmin(min, f[k][i]);
			max = fmax(max, f[k][i]);
		}
		json_object_set_new(
			o, figure_names[i],
			json_pack("[f,f,f]", sum / seeds, min, max));
		fprintf(stderr, "  %-14s %10.3f  (%.3f to %.3f)\n",
			figure_names[i], sum / seeds, min, max);
	}
	return o;
}

int main(int argc, char **argv)
{
	unsigned seeds = argc > 1 ? (unsigned)atoi(argv[1]) : 5;
	int64_t ms = argc > 2 ? 1000 * (int64_t)atoi(argv[2]) : 200000;
	unsigned pools = argc > 3 ? (unsigned)atoi(argv[3]) : 5, p, k;
	double(*f)[FIGURES] = xcalloc(seeds, sizeof(*f));
	json_t *out = json_object(), *o;
	size_t l;

	for (l = 0; l < NELEMS(loads); l++) {
		o = json_object();
		for (p = 0; p < NELEMS(queue_policies); p++) {
			memset(f, 0, seeds * sizeof(*f));
			for (k = 0; k < seeds; k++)
				run_queue(&loads[l], p, 100 + k, ms, pools,
					  f[k]);
			fprintf(stderr, "%s: %s\n", loads[l].name,
				queue_policies[p]);
			json_object_set_new(o, queue_policies[p],
					    figures_report(f, seeds, 0, DONE));
		}
		json_object_set_new(out, loads[l].name, o);
	}
	o = json_object();
	for (p = 0; p < NELEMS(wave_policies); p++) {
		memset(f, 0, seeds * sizeof(*f));
		for (k = 0; k < seeds; k++)
			run_wave(p, 100 + k, f[k]);
		fprintf(stderr, "wave: %s\n", wave_policies[p]);
		json_object_set_new(
			o, wave_policies[p],
			figures_report(f, seeds, ROLLOUT_S, OVER_S));
	}
	json_object_set_new(out, "waves with the loss of a rack", o);
	json_dumpf(out, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	printf("\n");
	json_decref(out);
	free(f);
	return 0;
}
