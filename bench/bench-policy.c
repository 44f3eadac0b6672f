/*
 * Measures the decisions that users weigh: shares, promptness, buffer and
 * moves of the queue, and roll-out time and budget of maintenance waves.  It
 * drives the reducer itself over the fakes of tests/support-sim.h on a clock
 * of its own.  Baselines run on the same seeds; what ran is told by the
 * fakes, never by the reducer.  JSON on standard output, a table on standard
 * error: bench-policy [SEEDS [SECONDS [TARGET]]].
 */
#include "../reduce.h"
#include "../tests/support-sim.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define TEAMS 6
#define URGENT_MS 4200
#define TURN_MS 10000 /* how long each queue has its burst */
#define SAMPLE_MS 500
#define KINDS 3

enum figure {
	SHARE_LEAST, /* of the teams, what the one worst off attains */
	SHARE_T0,
	SHARE_LAST = SHARE_T0 + TEAMS - 1,
	QUICK_P50,
	QUICK_P99,
	QUICK_OWN_P99, /* of the teams that ask for less than their share */
	LONG_P99,
	LONG_WORST,
	URGENT_P99,
	URGENT_WORST,
	URGENT_LATE,
	IDLE_WANTED, /* share of slots that idle while work waits there */
	IDLE,
	MOVES,
	DONE,
	ROLLOUT_S,
	WAVE_MOVES,
	OVER_MOST, /* VMs out beyond the budget, at worst */
	OVER_S,	   /* and for how long */
	FIGURES
};
static const char *const names[FIGURES] = {
	"share_least",	 "share_t0",	  "share_t1",	 "share_t2",
	"share_t3",	 "share_t4",	  "share_t5",	 "quick_p50_ms",
	"quick_p99_ms",	 "quick_own_p99", "long_p99_ms", "long_worst_ms",
	"urgent_p99_ms", "urgent_worst",  "urgent_late", "idle_wanted",
	"idle",		 "moves",	  "done",	 "rollout_s",
	"wave_moves",	 "over_most",	  "over_s",
};

struct load {
	const char *name;
	unsigned long_percent; /* of the slots' time that is asked for */
	double mean;	       /* of a pool's slots that its queue asks for */
	double urgent_per_s;
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
/* How much of the demand is a team's; not as the shares are. */
static const double demand[TEAMS] = {0.3, 0.15, 0.3, 0.1, 0.1, 0.05};

/* What runs and waits now, by team and pool. */
struct now {
	int running[SIM_POOLS][TEAMS], queued[SIM_POOLS][TEAMS];
	double attained[TEAMS];
	unsigned samples[TEAMS];
	double idle, idle_wanted, slots;
};
static struct now now;

static void began(struct sim *s, unsigned job, struct sim_worker *w)
{
	const struct sim_job *j = &s->jobs[job];

	(void)w;
	now.running[j->pool][j->team]++;
	now.queued[j->pool][j->team]--;
}

/* It is done, or it waits again. */
static void ended(struct sim *s, unsigned job, struct sim_worker *w)
{
	const struct sim_job *j = &s->jobs[job];

	(void)w;
	now.running[j->pool][j->team]--;
	if (j->total_run_ms < j->run_ms)
		now.queued[j->pool][j->team]++;
}

/*
 * Sample a pool.  When it is full, a team whose work waits should have its
 * share of the slots among the teams that want any.
 */
static void sample_pool(const struct sim *s, unsigned pool, unsigned slots)
{
	unsigned t, weight = 0;
	int busy = 0, waiting = 0;

	(void)s;
	for (t = 0; t < TEAMS; t++) {
		busy += now.running[pool][t];
		waiting += now.queued[pool][t];
		if (now.running[pool][t] + now.queued[pool][t])
			weight += shares[t];
	}
	now.slots += slots;
	now.idle += (int)slots - busy;
	if (waiting >= (int)slots - busy)
		now.idle_wanted += (int)slots - busy;
	for (t = 0; t < TEAMS && waiting > (int)slots / 4; t++) {
		if (now.queued[pool][t] <= 2)
			continue;
		now.attained[t] += fmin(1, now.running[pool][t] * 1.0 * weight /
						   (shares[t] * slots));
		now.samples[t]++;
	}
}

static double uniform(struct sim *s)
{
	return (double)(sim_random(s, 1u << 30) + 1) / (1u << 30);
}

/* Submit one job of a pool's queue; kind 0 quick, 1 long, 2 urgent. */
static void submit(struct sim *s, unsigned pool, unsigned kind)
{
	struct sim_job j = {.pool = pool, .urgent = kind == 2};
	double u = uniform(s);

	while (j.team + 1 < TEAMS && u > demand[j.team])
		u -= demand[j.team++];
	j.run_ms = kind == 1 ? 20000 + (int64_t)sim_random(s, 40000)
			     : 200 + (int64_t)sim_random(s, 1300);
	/* Declared run times are off by up to ten times either way. */
	j.declared_ms = (int64_t)((double)j.run_ms *
				  pow(10, 2 * uniform(s) - 1));
	j.label = kind;
	sim_submit(s, (unsigned)sim_random(s, s->plan.entries), &j);
	now.queued[pool][j.team]++;
}

/* Let a pool's queue ask for as much as its turn says, for a step. */
static void demand_step(struct sim *s, const struct load *l, unsigned pool,
			double ms)
{
	unsigned slots = s->plan.pools[pool].workers * s->plan.slots, kind;
	unsigned turn = (unsigned)(s->now / TURN_MS) % s->pool_count;
	double factor = !l->bursts ? 1 : turn == pool ? 5 : 0.05, rate;

	for (kind = 0; kind < KINDS; kind++) {
		if (kind == 2)
			rate = l->urgent_per_s / s->pool_count / 1000;
		else
			rate = factor * l->mean * slots *
			       (kind ? l->long_percent
				     : 100 - l->long_percent) /
			       100 / (kind ? 40000 : 850);
		/* Poisson arrivals, by their count in the step */
		rate = rate * ms + log(uniform(s));
		while (rate > 0) {
			submit(s, pool, kind);
			rate += log(uniform(s));
		}
	}
}

static int by_size(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* The waits of a kind until the first start, sorted; of the first teams. */
static size_t waits(const struct sim *s, unsigned kind, unsigned teams,
		    double **out)
{
	size_t i, n = 0;

	*out = xcalloc(s->job_count + 1, sizeof(double));
	for (i = 0; i < s->job_count; i++) {
		const struct sim_job *j = &s->jobs[i];
		int64_t end = j->began_at ? j->began_at : s->now;

		if (j->label == kind && j->team < teams)
			(*out)[n++] = (double)(end - j->submitted_at);
	}
	qsort(*out, n, sizeof(double), by_size);
	return n;
}

static double quantile(const double *v, size_t n, double q)
{
	return n ? v[(size_t)((double)(n - 1) * q)] : 0;
}

static void figures_of_queue(struct sim *s, double *f)
{
	size_t n, i;
	double *v;

	f[SHARE_LEAST] = 1;
	for (i = 0; i < TEAMS; i++) {
		f[SHARE_T0 + i] = now.samples[i]
					  ? now.attained[i] / now.samples[i]
					  : 1;
		f[SHARE_LEAST] = fmin(f[SHARE_LEAST], f[SHARE_T0 + i]);
	}
	n = waits(s, 0, TEAMS, &v);
	f[QUICK_P50] = quantile(v, n, 0.5);
	f[QUICK_P99] = quantile(v, n, 0.99);
	free(v);
	n = waits(s, 0, 2, &v); /* t0 and t1 */
	f[QUICK_OWN_P99] = quantile(v, n, 0.99);
	free(v);
	n = waits(s, 1, TEAMS, &v);
	f[LONG_P99] = quantile(v, n, 0.99);
	f[LONG_WORST] = quantile(v, n, 1);
	free(v);
	n = waits(s, 2, TEAMS, &v);
	f[URGENT_P99] = quantile(v, n, 0.99);
	f[URGENT_WORST] = quantile(v, n, 1);
	for (i = 0; i < n; i++)
		f[URGENT_LATE] += v[i] > URGENT_MS;
	free(v);
	f[IDLE] = now.idle / now.slots;
	f[IDLE_WANTED] = now.idle_wanted / now.slots;
	f[MOVES] = (double)s->checkpoints;
	for (i = 0; i < s->job_count; i++)
		f[DONE] += s->jobs[i].state == JOB_DONE;
}

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

/* One run of a load under a policy. */
static void run_queue(const struct load *l, enum queue_policy policy,
		      uint64_t seed, int64_t ms, unsigned pools, double *f)
{
	struct sim_plan plan;
	struct sim *s;
	int64_t from;
	unsigned p;

	plan_fleet(&plan, seed, pools);
	memset(&now, 0, sizeof(now));
	s = sim_new(&plan);
	s->entries[0]->queue_policy = policy;
	s->hooks.began = began;
	s->hooks.ended = ended;
	for (from = s->now; s->now - from < ms; sim_run(s, 50)) {
		for (p = 0; p < s->pool_count; p++) {
			demand_step(s, l, p, 50);
			if ((s->now - from) % SAMPLE_MS == 0)
				sample_pool(s, p,
					    plan.pools[p].workers * plan.slots);
		}
	}
	figures_of_queue(s, f);
	sim_free(s);
}

/* VMs of the pool that are not at work beyond its budget. */
static unsigned out_over(const struct sim *s)
{
	unsigned out = 0, i;

	for (i = 0; i < s->worker_count; i++)
		out += s->workers[i].state != VM_ACTIVE || !s->workers[i].up;
	return out > s->plan.pools[0].budget ? out - s->plan.pools[0].budget
					     : 0;
}

static bool wave_ended(struct sim *s)
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

/* A rack ends at a time and is back two minutes later. */
static void rack_step(struct sim *s, struct sim_worker *w, const char *rack,
		      int64_t lost)
{
	if (strcmp(w->rack, rack) != 0)
		return;
	if (s->now >= lost && s->now < lost + 100)
		sim_worker_kill(s, w);
	else if (s->now >= lost + 120000 && !w->up)
		sim_worker_boot(s, w);
}

/* A wave over a pool at work, with the loss of a rack for two minutes. */
static void run_wave(enum wave_policy policy, uint64_t seed, double *f)
{
	struct sim_plan plan;
	int64_t from, lost;
	unsigned i, over;
	char rack[16];
	struct sim *s;

	plan_fleet(&plan, seed, 1);
	plan.interleaved = true;
	memset(&now, 0, sizeof(now));
	s = sim_new(&plan);
	s->entries[0]->wave_policy = policy;
	for (i = 0; i < 60; i++)
		submit(s, 0, 1);
	sim_run(s, 3000);
	sim_wave(s, OP_WAVE_PLAN, "w", "p0", 10000);
	sim_wave(s, OP_WAVE_START, "w", "", 0);
	from = s->now;
	lost = from + 20000 + (int64_t)sim_random(s, 60000);
	snprintf(rack, sizeof(rack), "r%u", (unsigned)sim_random(s, 3));
	while (!wave_ended(s) && s->now - from < 3600000) {
		for (i = 0; i < s->worker_count; i++)
			rack_step(s, &s->workers[i], rack, lost);
		over = out_over(s);
		f[OVER_MOST] = fmax(f[OVER_MOST], over);
		f[OVER_S] += over ? 0.1 : 0;
		if (s->now % 40000 < 100)
			for (i = 0; i < 30; i++)
				submit(s, 0, 1);
		sim_run(s, 100);
	}
	f[ROLLOUT_S] = (double)(s->now - from) / 1000;
	f[WAVE_MOVES] = (double)s->checkpoints;
	sim_free(s);
}

/* Mean, least and most over the seeds, as JSON and in the table. */
static json_t *spread(double f[][FIGURES], unsigned seeds, unsigned from,
		      unsigned to)
{
	json_t *o = json_object();
	double sum, least, most;
	unsigned i, k;

	for (i = from; i <= to; i++) {
		sum = 0;
		least = most = f[0][i];
		for (k = 0; k < seeds; k++) {
			sum += f[k][i];
			least = fmin(least, f[k][i]);
			most = fmax(most, f[k][i]);
		}
		json_object_set_new(
			o, names[i],
			json_pack("[f,f,f]", sum / seeds, least, most));
		fprintf(stderr, "  %-14s %10.3f  (%.3f to %.3f)\n", names[i],
			sum / seeds, least, most);
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
					    spread(f, seeds, 0, DONE));
		}
		json_object_set_new(out, loads[l].name, o);
	}
	o = json_object();
	for (p = 0; p < NELEMS(wave_policies); p++) {
		memset(f, 0, seeds * sizeof(*f));
		for (k = 0; k < seeds; k++)
			run_wave(p, 100 + k, f[k]);
		fprintf(stderr, "wave: %s\n", wave_policies[p]);
		json_object_set_new(o, wave_policies[p],
				    spread(f, seeds, ROLLOUT_S, OVER_S));
	}
	json_object_set_new(out, "waves with the loss of a rack", o);
	json_dumpf(out, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	printf("\n");
	json_decref(out);
	free(f);
	return 0;
}
