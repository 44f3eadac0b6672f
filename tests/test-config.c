/*
 * Tests of what jobs go by while the configuration lacks their queue or their
 * organisation.
 */
#include "../sched-state.h"
#include "world-calm.h"

#define JOB_A "a000000000000001"
#define JOB_B "b000000000000001"

/* Who has to know what the queue's terms were. */
enum knows {
	KNOWS_OWNER,	 /* the owner stays */
	KNOWS_SUCCESSOR, /* a VM that has seen the queue takes over */
	KNOWS_STORE	 /* all VMs are started anew without the queue */
};

static const struct {
	const char *name;
	enum knows who;
} rows[] = {
	{"the owner stays", KNOWS_OWNER},
	{"a successor", KNOWS_SUCCESSOR},
	{"all VMs are new", KNOWS_STORE},
};

/* Changes the owner while the queue is missing. */
static void owner_change(struct world *w, enum knows who)
{
	unsigned i;

	switch (who) {
	case KNOWS_OWNER:
		break;
	case KNOWS_SUCCESSOR:
		world_kill_vm(w, owner(w));
		break;
	case KNOWS_STORE:
		for (i = 0; i < 4; i++) {
			world_kill_vm(w, i);
			world_start_vm(w, i);
		}
		break;
	}
}

/* Jobs whose runs fail while their queue, of three attempts, is missing. */
static const struct {
	const char *name;
	struct world_job job;
	int64_t missing_ms;
	const char *meanwhile; /* its state at the end of that */
	const char *after;     /* its state when the queue is back */
	unsigned starts;
} attempt_rows[] = {
	{"one run fails",
	 {.tasks = 1, .task_ms = 4000, .failures = 1},
	 7000,
	 "running",
	 "completed",
	 2},
	{"all runs fail",
	 {.tasks = 1, .task_ms = 1500, .failures = 9},
	 15000,
	 "failed",
	 "failed",
	 3},
};

/* A job has one attempt, or any number, as its queue is missing. */
Test(config, a_missing_queue_leaves_its_attempts)
{
	const struct world_job *job;
	struct world *w;
	unsigned i, k;

	for (k = 0; k < NELEMS(attempt_rows); k++) {
		job = &attempt_rows[k].job;
		for (i = 0; i < NELEMS(rows); i++) {
			w = world_new_settled(5400 + 10 * k + i);
			world_submit(w, other(w), JOB_A, job);
			world_run(w, 1000);
			cr_assert_eq(world_starts(w), 1);
			world_remove_route(w, true);
			world_run(w, 400);
			owner_change(w, rows[i].who);
			world_run(w, attempt_rows[k].missing_ms - 400);
			cr_expect_str_eq(world_job_state(w, JOB_A),
					 attempt_rows[k].meanwhile, "%s, %s",
					 attempt_rows[k].name, rows[i].name);
			world_remove_route(w, false);
			world_run(w, 10000);
			cr_expect_str_eq(world_job_state(w, JOB_A),
					 attempt_rows[k].after, "%s, %s",
					 attempt_rows[k].name, rows[i].name);
			cr_expect_eq(world_starts(w), attempt_rows[k].starts,
				     "%s, %s", attempt_rows[k].name,
				     rows[i].name);
			cr_expect_null(world_violation(w), "%s, %s: %s",
				       attempt_rows[k].name, rows[i].name,
				       world_violation(w));
			world_free(w);
		}
	}
}

/* Tasks of a queue with advice start without a ticket, anywhere. */
Test(config, a_missing_queue_needs_tickets)
{
	static const struct world_job two = {.tasks = 24, .task_ms = 1500};
	struct world *w;
	unsigned i;

	for (i = 0; i < NELEMS(rows); i++) {
		w = world_new_settled(5420 + i);
		world_require_advice(w);
		world_run(w, 100);
		world_submit(w, other(w), JOB_A, &two);
		world_submit(w, other(w), JOB_B, &two);
		world_run(w, 400);
		world_remove_route(w, true);
		world_run(w, 100);
		owner_change(w, rows[i].who);
		world_run(w, 16000);
		cr_expect_eq(world_log_count(w, LOG_TASK_REFUSED), 0,
			     "%s: %u refused", rows[i].name,
			     world_log_count(w, LOG_TASK_REFUSED));
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed", "%s",
				 rows[i].name);
		cr_expect_str_eq(world_job_state(w, JOB_B), "completed", "%s",
				 rows[i].name);
		cr_expect_null(world_violation(w), "%s: %s", rows[i].name,
			       world_violation(w));
		world_free(w);
	}
}

/* An organisation's upper limit is exceeded while it is missing. */
Test(config, a_missing_organisation_keeps_its_limit)
{
	static const struct world_job wide = {.tasks = 24, .task_ms = 1000};
	unsigned i;
	struct world *w;

	/* A successor that never knew the organisation has no limit to keep. */
	for (i = 0; i < KNOWS_STORE; i++) {
		w = world_new_settled(5430 + i);
		world_set_limit(w, 8000);
		world_run(w, 2500);
		world_submit(w, other(w), JOB_A, &wide);
		world_run(w, 500);
		world_remove_organisation(w, true);
		world_run(w, 200);
		owner_change(w, rows[i].who);
		world_run(w, 14000);
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed", "%s",
				 rows[i].name);
		cr_expect_null(world_violation(w), "%s: %s", rows[i].name,
			       world_violation(w));
		world_free(w);
	}
}

/* Rows without terms, of a job that an earlier version accepted. */
#define OLD_ROW                                                        \
	"{\"tenant\":\"org\",\"route\":\"gone\",\"service\":\"pool\"," \
	"\"steps\":[{\"count\":1,\"cpu\":2000}]}"

/* A job whose queue nobody knows is failed after its first failed run. */
Test(config, a_queue_that_nobody_knows_fails_no_job)
{
	static const struct world_job fails_twice = {
		.tasks = 1, .task_ms = 200, .failures = 2};
	struct world *w = world_new_settled(5440);

	world_expect_job(w, JOB_A, &fails_twice);
	world_put_row(w, TABLE_JOBS, JOB_A, OLD_ROW);
	world_run(w, 4000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/* Names that come and go use up the memory of every VM. */
Test(config, removed_names_are_bounded)
{
	struct sched_options o = {.vm = bstr_lit("vm"), .seed = 1};
	struct sched *s = sched_new(&o);
	struct sched_effects out;
	struct sched_effect *fx;
	struct row r;
	unsigned i;

	TAILQ_INIT(&out);
	s->effects = &out;
	for (i = 1; i <= 2000; i++) {
		r = (struct row){.kind = ROW_CONFIG, .revision = i};
		r.config = xcalloc(1, sizeof(*r.config));
		r.config->version = i;
		r.config->routes = xcalloc(1, sizeof(*r.config->routes));
		r.config->routes[r.config->route_count++] = (struct route){
			.name = bstr_printf("q%u", i), .attempts = i};
		config_row_apply(s, &r);
	}
	cr_expect_leq(s->removed_config->route_count, 600);
	cr_expect_eq(route_known(s, bstr_lit("q1999"))->attempts, 1999);
	cr_expect_null(route_named(s, bstr_lit("q1999")));
	cr_expect_null(route_known(s, bstr_lit("q1")));
	while ((fx = TAILQ_FIRST(&out))) {
		TAILQ_REMOVE(&out, fx, entry);
		sched_effect_free(fx);
	}
	sched_free(s);
}
