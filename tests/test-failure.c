#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "support-process.h"
#include "support-relay.h"

/*
 * Failure tests with real processes.  They check what callers and operators
 * are answered against the workers' log of what ran.  Each test has an
 * installation of its own.
 */

TestSuite(failure, .timeout = 150);

static const struct install_plan default_plan = {
	.layout = "aab", .workers = 2, .slots = 8, .limit = 64};

/* The entry VM that fails. */
enum victim { HOME, OWNER, ENTRY };

/*
 * Returns the entry VM that owns the home or the cell of a running job, or one
 * that takes calls; SIZE_MAX if the owner is unknown.
 */
static size_t victim_vm(const struct install *in, enum victim victim,
			const struct load_job *j)
{
	char *unit;
	size_t i;

	if (victim == OWNER)
		return vm_owner(in, "cell/rounds/a");
	if (victim == ENTRY)
		return 0; /* in the data centre of the cell */
	unit = unit_of_job(j->id);
	i = vm_owner(in, unit);
	free(unit);
	return i;
}

/* Returns the first accepted job of a kind that is running, or NULL. */
static struct load_job *job_running(struct load *l, unsigned kind)
{
	size_t i;

	for (i = 0; i < l->count; i++)
		if (l->jobs[i].kind == kind && l->jobs[i].accepted &&
		    job_runs_of(l->in, l->jobs[i].id).running)
			return &l->jobs[i];
	return NULL;
}

/* Waits for the callers and checks that all they were answered is true. */
static struct load_result load_finish(struct load *l)
{
	struct load_result r;

	load_join(l);
	r = load_check(l);
	cr_expect_eq(r.wrong, 0);
	cr_expect_eq(r.refused, 0, "some jobs were never accepted");
	load_free(l);
	return r;
}

/*
 * Kills one entry VM under load, or freezes it for longer than its lease.
 * Callers lose their connections, retry through another VM under the same key
 * and must learn the actual result of each job: the new owner reads the journal
 * or lists the tasks on the workers.  The expired lease and the epoch keep the
 * frozen VM from acting on its outdated state.
 */
static void outage(const char *name, enum victim victim, bool freeze)
{
	struct install in;
	struct load l = {.in = &in,
			 .name = name,
			 .count = 64,
			 .kinds = KIND_ALL,
			 .quick_ms = 20,
			 .long_ms = 2500,
			 .threads = 12};
	struct load_job *j = NULL;
	size_t vm;

	install_start(&in, &default_plan);
	load_start(&l);
	cr_assert(EVENTUALLY(20, (j = job_running(&l, KIND_LONG))));
	vm = victim_vm(&in, victim, j);
	cr_assert_neq(vm, SIZE_MAX);
	vm_signal(&in, vm, freeze ? SIGSTOP : SIGKILL);
	if (freeze) {
		nap_ms(2 * LEASE_MS + 1000);
		vm_signal(&in, vm, SIGCONT);
	}
	cr_expect_geq(load_finish(&l).done, l.count * 9 / 10);
	install_stop(&in);
}

Test(failure, kill_home)
{
	outage("kill_home", HOME, false);
}
Test(failure, kill_owner)
{
	outage("kill_owner", OWNER, false);
}
Test(failure, kill_entry)
{
	outage("kill_entry", ENTRY, false);
}
Test(failure, freeze_home)
{
	outage("freeze_home", HOME, true);
}
Test(failure, freeze_owner)
{
	outage("freeze_owner", OWNER, true);
}
Test(failure, freeze_entry)
{
	outage("freeze_entry", ENTRY, true);
}

/* Initialises a load that has jobs of every kind. */
#define LOAD(installation, text, jobs_count)                                 \
	{                                                                    \
		.in = (installation), .name = (text), .count = (jobs_count), \
		.kinds = KIND_ALL, .quick_ms = 20, .long_ms = 1500,          \
		.threads = 12                                                \
	}

/*
 * Kills and replaces every entry VM in turn.  Callers lose some connections,
 * but get the result of all accepted jobs, also from VMs that started after
 * the job was accepted.
 */
Test(failure, replace_one_by_one)
{
	struct install in;
	struct load l = LOAD(&in, "replace_one_by_one", 150);
	size_t i;

	install_start(&in, &default_plan);
	load_start(&l);
	for (i = 0; i < in.vm_count; i++) {
		cr_assert(EVENTUALLY(60, l.ended >= 10 + i * 30));
		vm_signal(&in, i, SIGKILL);
		vm_start(&in, i);
	}
	cr_expect_geq(load_finish(&l).done, 135);
	install_stop(&in);
}

/*
 * Kills all entry VMs at once, which loses all state in memory, and starts new
 * ones.  These recover all accepted jobs from the journal on the platform and
 * from the workers.  The lease of a task may expire meanwhile; such a job is
 * reported as failed.
 */
Test(failure, kill_all)
{
	struct install in;
	struct load l = LOAD(&in, "kill_all", 64);
	size_t i;

	l.may_fail = true;
	install_start(&in, &default_plan);
	load_start(&l);
	cr_assert(EVENTUALLY(20, job_running(&l, KIND_LONG)));
	for (i = 0; i < in.vm_count; i++)
		kill(in.vms[i].pid, SIGKILL);
	for (i = 0; i < in.vm_count; i++)
		vm_wait(&in, i);
	for (i = 0; i < in.vm_count; i++)
		vm_start(&in, i);
	cr_expect_geq(load_finish(&l).done, 50);
	install_stop(&in);
}

/*
 * Stops each VM in turn under load and replaces it once it has exited.
 * Callers are answered "stopping" or lose the connection, but never get a false
 * answer; each process exits with status 0.  Finally all VMs stop, the last
 * without a peer to hand over to, and must exit with status 0 as well.
 */
Test(failure, planned_stop)
{
	struct install in;
	struct load l = LOAD(&in, "planned_stop", 150);
	size_t i;

	install_start(&in, &default_plan);
	load_start(&l);
	for (i = 0; i < in.vm_count; i++) {
		cr_assert(EVENTUALLY(60, l.ended >= 10 + i * 30));
		vm_signal(&in, i, SIGTERM);
		cr_expect_eq(vm_wait(&in, i), 0, "%s", in.vms[i].name);
		vm_start(&in, i);
	}
	cr_expect_geq(load_finish(&l).done, 135);
	for (i = 0; i < in.vm_count; i++) {
		vm_signal(&in, i, SIGTERM);
		cr_expect_eq(vm_wait(&in, i), 0, "%s", in.vms[i].name);
	}
	install_stop(&in);
}

/*
 * Established connections to all workers stop carrying data for good, while
 * new ones work.  Answers are delayed by the workers' timeout and no more,
 * because a request that times out closes its connection.
 */
Test(failure, workers_silent)
{
	struct install in;
	struct load l = LOAD(&in, "workers_silent", 100);
	size_t i;

	install_start(&in, &default_plan);
	load_start(&l);
	for (i = 1; i <= 2; i++) {
		cr_assert(EVENTUALLY(40, l.ended >= i * 25));
		workers_set_mode(&in, 0, "silent", NULL);
		workers_set_mode(&in, 1, "silent", NULL);
	}
	cr_expect_geq(load_finish(&l).done, 95);
	install_stop(&in);
}

/* Sets the mode of the relays between entry VMs, not to the platform. */
static void peer_relays_set(struct install *in, enum relay_mode mode)
{
	size_t i, k;

	for (i = 0; i < in->vm_count; i++)
		for (k = 0; k < i; k++)
			relay_net_set(in->net, in->vms[i].name, in->vms[k].name,
				      mode);
}

/*
 * Established connections between all entry VMs stop carrying data for good,
 * while new ones work.  Calls that another VM decides are delayed by the peers'
 * timeout, because forwarded requests are sent again on a new connection.
 */
Test(failure, peers_silent)
{
	struct install in;
	struct install_plan plan = default_plan;
	struct load l = LOAD(&in, "peers_silent", 100);
	size_t i;

	plan.relayed = true;
	install_start(&in, &plan);
	load_start(&l);
	for (i = 1; i <= 2; i++) {
		cr_assert(EVENTUALLY(40, l.ended >= i * 25));
		peer_relays_set(&in, RELAY_STALL);
	}
	cr_expect_geq(load_finish(&l).done, 95);
	install_stop(&in);
}

/*
 * Submits a short job to a VM.  Returns true if it is done, or, if refused is
 * set, if it is refused with status 503 and a Retry-After.
 */
static bool probe(const struct install *in, size_t vm, const char *name,
		  bool repeat, bool refused)
{
	static unsigned serial;
	char key[40];
	struct submission s = {
		.key = key, .may_repeat = repeat, .wait = true, .run_ms = 5};
	struct caller_response response;
	bool ok;

	snprintf(key, sizeof(key), "%s-probe-%u", name, ++serial);
	response = submit(in, vm, &s);
	ok = refused ? response.status == 503 && response.retry_after
		     : response.status == 200 &&
			       !strcmp(response_text(&response, "state"),
				       "done");
	if (!ok)
		fprintf(stderr, "%s at %s: %d %s %s\n", key, in->vms[vm].name,
			response.status, response_text(&response, "state"),
			response_text(&response, "reason"));
	caller_response_free(&response);
	return ok;
}

/*
 * The platform doesn't answer for 20 s, is slow for a while and then recovers.
 * Every VM keeps running repeatable jobs whose caller waits, because these need
 * no claim and peers confirm that the configuration with the keys is current.
 * Other jobs are refused with a Retry-After and don't run.  After the recovery
 * they are accepted within seconds, and all accepted jobs reach a final state.
 */
Test(failure, platform_down)
{
	struct install in;
	struct load l = LOAD(&in, "platform_down", 80);
	int64_t from;
	size_t i;

	l.give_up_ms = 70000;
	install_start(&in, &default_plan);
	load_start(&l);
	cr_assert(EVENTUALLY(20, job_running(&l, KIND_LONG)));
	platform_set_fault(&in, "{'mode': 'down'}");
	from = clock_now();
	nap_ms(6000);
	for (i = 0; i < in.vm_count; i++) {
		cr_expect(EVENTUALLY(5, probe(&in, i, "down", true, false)));
		cr_expect(EVENTUALLY(5, probe(&in, i, "down", false, true)));
	}
	if (clock_now() < from + 20000)
		nap_ms((unsigned)(from + 20000 - clock_now()));
	for (i = 0; i < in.vm_count; i++)
		cr_expect(EVENTUALLY(5, probe(&in, i, "late", true, false)));
	platform_set_fault(&in, "{'mode': 'slow', 'ms': 300}");
	nap_ms(5000);
	platform_set_fault(&in, "[]");
	for (i = 0; i < in.vm_count; i++)
		cr_expect(EVENTUALLY(15, probe(&in, i, "back", false, false)));
	cr_expect_geq(load_finish(&l).done, 60);
	install_stop(&in);
}

/* Returns true if all entry VMs refuse the second key. */
static bool key_refused(const struct install *in)
{
	struct submission s = {.key = "withdrawn", .run_ms = 1};
	struct caller_response response;
	size_t i, refused = 0;

	for (i = 0; i < in->vm_count; i++) {
		response = submit(in, i, &s);
		refused += response.status == 401;
		caller_response_free(&response);
	}
	return refused == in->vm_count;
}

/*
 * Creates a second key.  Returns a copy of the installation whose callers use
 * it; its secret must be freed.
 */
static struct install key_create_second(struct install *in)
{
	op_request rq = {.kind = OP_KEY_CREATE};
	struct install second;
	bstr secret;
	size_t i;

	rq.op_request_u.key.team = bstr_lit("planning");
	rq.op_request_u.key.key_id = bstr_lit("k2");
	cr_assert_eq(operate(in, 0, &rq, NULL, &secret), OP_OK);
	second = *in;
	second.secret = bstr_cstr(secret);
	bstr_free(&secret);
	for (i = 0; i < in->vm_count; i++)
		cr_expect(EVENTUALLY(10, probe(&second, i, "k2", true, false)));
	return second;
}

static op_status key_withdraw(const struct install *in, size_t vm)
{
	op_request rq = {.kind = OP_KEY_WITHDRAW};

	rq.op_request_u.key.team = bstr_lit("planning");
	rq.op_request_u.key.key_id = bstr_lit("k2");
	return operate(in, vm, &rq, NULL, NULL);
}

/*
 * A key that every VM accepts is withdrawn at one VM.  All VMs refuse it within
 * seconds, and still accept the team's other key.
 */
Test(failure, key_withdrawn)
{
	struct install in, second;
	size_t i;

	install_start(&in, &default_plan);
	second = key_create_second(&in);
	cr_expect_eq(key_withdraw(&in, 2), OP_OK);
	cr_expect(EVENTUALLY(10, key_refused(&second)));
	for (i = 0; i < in.vm_count; i++)
		cr_expect(probe(&in, i, "k1", true, false));
	free(second.secret);
	install_stop(&in);
}

/* Returns true if all entry VMs show a VM in this pool. */
static bool vm_in_pool(const struct install *in, const char *name,
		       const char *want)
{
	size_t i, same = 0;
	char *pool;

	for (i = 0; i < in->vm_count; i++) {
		pool = vm_pool_get(in, i, name);
		same += !strcmp(pool, want);
		free(pool);
	}
	return same == in->vm_count;
}

/*
 * The platform carries out all requests but loses 3 of 10 answers.  Callers and
 * operators still get true answers, because a request with an unknown outcome
 * is repeated under the same transaction id, and no job runs twice.
 */
Test(failure, platform_loses)
{
	struct install in, second;
	struct load l = LOAD(&in, "platform_loses", 100);
	op_status withdrawn, moved;

	l.give_up_ms = 60000;
	install_start(&in, &default_plan);
	second = key_create_second(&in);
	platform_set_fault(&in, "{'mode': 'lose', 'share': 0.3}");
	load_start(&l);
	cr_expect(EVENTUALLY(30, (withdrawn = key_withdraw(&in, 1)) !=
					 OP_UNAVAILABLE));
	cr_expect(EVENTUALLY(
		30, (moved = operate(&in, 0,
				     OP_VM_REQUEST(OP_VM_MOVE, "b-2", "spare"),
				     NULL, NULL)) != OP_UNAVAILABLE));
	fprintf(stderr, "platform_loses: withdrawal %d, move %d\n", withdrawn,
		moved);
	cr_expect(withdrawn == OP_OK || withdrawn == OP_UNKNOWN);
	cr_expect(moved == OP_OK || moved == OP_UNKNOWN);
	if (withdrawn == OP_OK)
		cr_expect(EVENTUALLY(10, key_refused(&second)));
	if (moved == OP_OK)
		cr_expect(EVENTUALLY(30, vm_in_pool(&in, "b-2", "spare")));
	cr_expect_geq(load_finish(&l).done, 90);
	platform_set_fault(&in, "[]");
	free(second.secret);
	install_stop(&in);
}

/* Returns the state of a job in a VM's answer; to be freed. */
static char *job_state_get(const struct install *in, size_t vm, const char *job,
			   const char *method)
{
	char *path = xasprintf("/v1/jobs/%s", job), *state;
	struct caller_response response = caller_ask(in, vm, method, path, NULL,
						     NULL, 4000);

	state = xstrdup(response_text(&response, "state"));
	caller_response_free(&response);
	free(path);
	return state;
}

static bool job_state_is(const struct install *in, size_t vm, const char *job,
			 const char *want)
{
	char *state = job_state_get(in, vm, job, "GET");
	bool same = !strcmp(state, want);

	free(state);
	return same;
}

/*
 * Collects running jobs whose home and worker are in data centre b and returns
 * their number.
 */
static size_t jobs_in_b(struct load *l, struct load_job **jobs, size_t most)
{
	size_t i, n = 0, b = l->in->vm_count - 1;
	char *unit;

	for (i = 0; i < l->count && n < most; i++) {
		if (!l->jobs[i].accepted)
			continue;
		unit = unit_of_job(l->jobs[i].id);
		if (vm_owner(l->in, unit) == b &&
		    job_runs_at(l->in, 1, l->jobs[i].id).running)
			jobs[n++] = &l->jobs[i];
		free(unit);
	}
	return n;
}

/*
 * A data centre is cut off from the platform and from its peers while jobs run
 * there.  Its callers can still get and cancel these jobs and see them end.
 * New jobs are refused with a Retry-After once the configuration there is no
 * longer known to be current.  Callers elsewhere wait; once the network is
 * restored, all get the same, actual results.
 */
Test(failure, dc_cut)
{
	struct install in;
	struct install_plan plan = default_plan;
	struct load l = {.in = &in,
			 .name = "dc_cut",
			 .count = 30,
			 .kinds = KIND_LONG,
			 .long_ms = 8000,
			 .threads = 30,
			 .may_fail = true};
	struct load_job *jobs[2];
	struct load_result r;
	char *state;

	plan.relayed = true;
	install_start(&in, &plan);
	load_start(&l);
	cr_assert(EVENTUALLY(7, jobs_in_b(&l, jobs, 2) == 2));
	relay_net_set(in.net, "b1", NULL, RELAY_RESET);
	nap_ms(FRESH_MS);
	cr_expect(EVENTUALLY(10, probe(&in, 2, "cut", true, true)));
	cr_expect(EVENTUALLY(10, probe(&in, 2, "cut", false, true)));
	cr_expect(job_state_is(&in, 2, jobs[0]->id, "running"));
	state = job_state_get(&in, 2, jobs[1]->id, "DELETE");
	cr_expect_str_eq(state, "failed", "cancelled, but %s", state);
	free(state);
	cr_expect(EVENTUALLY(15, job_state_is(&in, 2, jobs[0]->id, "done")));
	relay_net_set(in.net, "b1", NULL, RELAY_PASS);
	cr_expect(EVENTUALLY(15, probe(&in, 2, "healed", false, false)));
	r = load_finish(&l);
	cr_expect_eq(r.done, 29);
	cr_expect_eq(r.failed, 1);
	install_stop(&in);
}

/*
 * A data centre is cut off from the platform only.  Its peers confirm that its
 * configuration is current and take over its units, so jobs of all kinds from
 * its callers are still done.
 */
Test(failure, dc_cut_platform)
{
	struct install in;
	struct install_plan plan = default_plan;
	struct load l = LOAD(&in, "dc_cut_platform", 100);

	plan.relayed = true;
	install_start(&in, &plan);
	load_start(&l);
	cr_assert(EVENTUALLY(20, job_running(&l, KIND_LONG)));
	relay_net_set(in.net, "b1", "platform", RELAY_RESET);
	nap_ms(LEASE_MS + 2000);
	cr_expect(EVENTUALLY(10, probe(&in, 2, "vouched", true, false)));
	cr_expect(EVENTUALLY(10, probe(&in, 2, "vouched", false, false)));
	nap_ms(2000);
	relay_net_set(in.net, "b1", "platform", RELAY_PASS);
	cr_expect_geq(load_finish(&l).done, 95);
	install_stop(&in);
}

/*
 * The home of some jobs writes their claims, but the platform's answers are
 * lost, and then the VM is cut off.  Another VM reads the claims and runs the
 * jobs.  The first VM, once reconnected, still has the jobs as not started in
 * time; it must not answer its callers so.
 */
Test(failure, home_cut_after_claim)
{
	struct install in;
	struct install_plan plan = default_plan;
	struct load l = LOAD(&in, "home_cut", 24);

	plan.relayed = true;
	l.kinds = 0;
	l.threads = 24;
	l.quick_ms = 300;
	l.timeout_ms = 9000;
	l.only_vm = 3;
	install_start(&in, &plan);
	relay_net_set(in.net, "b1", "platform", RELAY_LOSE_ANSWERS);
	load_start(&l);
	nap_ms(400);
	relay_net_set(in.net, "b1", NULL, RELAY_RESET);
	nap_ms(12000);
	relay_net_set(in.net, "b1", NULL, RELAY_PASS);
	load_join(&l);
	cr_expect_eq(load_check(&l).wrong, 0);
	load_free(&l);
	install_stop(&in);
}

/* An operator's request, made in a thread of its own. */
struct operator_call {
	const struct install *in;
	size_t vm;
	op_request rq;
	op_status status;
	pthread_t thread;
};

static void *operator_call_run(void *arg)
{
	struct operator_call *r = arg;

	r->status = operate(r->in, r->vm, &r->rq, NULL, NULL);
	return NULL;
}

/*
 * Makes two operators' requests at once.  Returns the index of the one that
 * got OP_OK while the other got loser_status, or 2 if that wasn't so.
 */
static size_t race(const struct install *in, struct operator_call r[2],
		   op_status loser_status)
{
	size_t i;

	for (i = 0; i < 2; i++) {
		r[i].in = in;
		r[i].vm = i;
		pthread_create(&r[i].thread, NULL, operator_call_run, &r[i]);
	}
	for (i = 0; i < 2; i++)
		pthread_join(r[i].thread, NULL);
	fprintf(stderr, "two operators got %d and %d\n", (int)r[0].status,
		(int)r[1].status);
	for (i = 0; i < 2; i++)
		if (r[i].status == OP_OK && r[!i].status == loser_status)
			return i;
	return 2;
}

/* Returns the configuration that a VM shows, and its revision. */
static json_t *config_get(const struct install *in, size_t vm,
			  uint64_t *revision)
{
	op_request rq = {.kind = OP_CONFIG_SHOW};
	json_t *j, *config;

	operate(in, vm, &rq, &j, NULL);
	*revision = (uint64_t)json_int(j, "revision");
	config = json_incref(json_object_get(j, "config"));
	json_decref(j);
	return config;
}

/* Returns true if all VMs show this revision with this share of the team. */
static bool share_in_effect(const struct install *in, uint64_t revision,
			    int64_t share)
{
	size_t i, same = 0;
	uint64_t shown;
	json_t *j;

	for (i = 0; i < in->vm_count; i++) {
		j = config_get(in, i, &shown);
		same += shown == revision &&
			json_int(json_object_get(json_object_get(j, "teams"),
						 "planning"),
				 "share") == share;
		json_decref(j);
	}
	return same == in->vm_count;
}

/*
 * Two operators apply different configurations to the same revision at two VMs
 * at once.  Each time one is accepted and the other gets a conflict; all VMs
 * show the accepted configuration within seconds.
 */
Test(failure, race_config)
{
	struct install in;
	struct operator_call r[2] = {{0}};
	uint64_t revision;
	size_t round, winner, i;
	char *text[2];
	json_t *j;

	install_start(&in, &default_plan);
	for (round = 0; round < 8; round++) {
		j = config_get(&in, 0, &revision);
		for (i = 0; i < 2; i++) {
			json_object_set_new(
				json_object_get(json_object_get(j, "teams"),
						"planning"),
				"share",
				json_integer((json_int_t)(10 * round + i + 2)));
			text[i] = json_dumps(j, 0);
			r[i].rq.kind = OP_CONFIG_APPLY;
			r[i].rq.op_request_u.config = (op_config){
				revision, bstr_lit(text[i])};
		}
		json_decref(j);
		winner = race(&in, r, OP_CONFLICT);
		cr_expect_neq(winner, 2);
		cr_expect(EVENTUALLY(
			10,
			share_in_effect(&in, revision + 1,
					(int64_t)(10 * round + winner + 2))));
		free(text[0]);
		free(text[1]);
	}
	install_stop(&in);
}

/* Returns true if both VMs that operators call know a pool. */
static bool pool_known(const struct install *in, const char *pool)
{
	op_request rq = {.kind = OP_POOL_SHOW};

	rq.op_request_u.pool.pool = bstr_lit(pool);
	return operate(in, 0, &rq, NULL, NULL) == OP_OK &&
	       operate(in, 1, &rq, NULL, NULL) == OP_OK;
}

/*
 * Two operators move the same busy worker VM to different pools at once.  One
 * request is accepted, the other gets a conflict; once its tasks are done, all
 * entry VMs show the worker in the pool of the accepted request.
 */
Test(failure, race_move)
{
	struct install in;
	static const char *const pools[] = {"spare", "other"};
	bstr dc = bstr_lit("a");
	op_request rq = {.kind = OP_POOL_CREATE};
	struct load l = LOAD(&in, "race_move", 24);
	struct operator_call r[2] = {{0}};
	size_t winner, i;

	l.kinds = KIND_LONG;
	l.long_ms = 4000;
	l.threads = 24;
	install_start(&in, &default_plan);
	rq.op_request_u.pool = (op_pool){bstr_lit("other"), {1, &dc}, 1, false};
	cr_expect_eq(operate(&in, 0, &rq, NULL, NULL), OP_OK);
	cr_expect(EVENTUALLY(10, pool_known(&in, "other")));
	load_start(&l);
	cr_expect(EVENTUALLY(10, worker_starts(&in, 0, "a-1") > 3));
	for (i = 0; i < 2; i++) {
		r[i].rq = *OP_VM_REQUEST(OP_VM_MOVE, "a-1", pools[i]);
		r[i].rq.op_request_u.vm.deadline_ms = 20000;
	}
	winner = race(&in, r, OP_CONFLICT);
	cr_expect_neq(winner, 2);
	cr_expect(EVENTUALLY(20, vm_in_pool(&in, "a-1", pools[winner % 2])));
	cr_expect_eq(load_finish(&l).done, 24);
	install_stop(&in);
}

/*
 * Two operators drain two VMs of a pool with a budget of 1 at once.  One drain
 * is accepted, the other is refused because of the budget.
 */
Test(failure, race_drain)
{
	struct install in;
	struct operator_call r[2] = {{0}};

	install_start(&in, &default_plan);
	r[0].rq = *OP_VM_REQUEST(OP_VM_DRAIN, "a-1", "");
	r[1].rq = *OP_VM_REQUEST(OP_VM_DRAIN, "b-1", "");
	cr_expect_neq(race(&in, r, OP_REFUSED), 2);
	install_stop(&in);
}

/*
 * Busy workers of a data centre restart, or one freezes for longer than its
 * leases.  Repeatable jobs are run again and done; other jobs are not run
 * again, and their callers are answered that the job may have run or was
 * stopped.
 */
static void workers_lost(const char *name, const char *mode, const char *worker)
{
	struct install in;
	struct load l = LOAD(&in, name, 80);

	l.may_fail = true;
	install_start(&in, &default_plan);
	load_start(&l);
	cr_assert(EVENTUALLY(20, job_running(&l, KIND_LONG)));
	workers_set_mode(&in, 0, mode, worker);
	if (worker) {
		nap_ms(TASK_LEASE_MS + 2000);
		workers_set_mode(&in, 0, "none", worker);
	}
	cr_expect_geq(load_finish(&l).done, 60);
	install_stop(&in);
}

Test(failure, worker_restart)
{
	workers_lost("worker_restart", "restart", NULL);
}
Test(failure, worker_freeze)
{
	workers_lost("worker_freeze", "freeze", "a-1");
}

/*
 * A worker fails every task immediately, so that it always has free slots and
 * would attract further tasks.  Repeatable jobs are done by other workers, and
 * the faulty one soon gets few tasks.
 */
Test(failure, worker_fails_all)
{
	struct install in;
	struct install_plan plan = default_plan;
	struct load l = LOAD(&in, "worker_fails_all", 300);

	/* at most a quarter of a cell's workers is set aside */
	plan.workers = 4;
	l.may_fail = true;
	l.kinds = KIND_REPEAT | KIND_WAIT;
	install_start(&in, &plan);
	workers_set_mode(&in, 0, "fail-all", "a-1");
	load_start(&l);
	cr_expect_geq(load_finish(&l).done, 295);
	fprintf(stderr, "worker_fails_all: %zu starts there\n",
		worker_starts(&in, 0, "a-1"));
	cr_expect_leq(worker_starts(&in, 0, "a-1"), 20);
	install_stop(&in);
}

/*
 * A worker reports that it is leaving.  A few seconds later no more tasks are
 * started there, and all jobs are done.
 */
Test(failure, worker_leaving)
{
	struct install in;
	struct load l = LOAD(&in, "worker_leaving", 400);
	size_t before;

	l.kinds = KIND_WAIT;
	l.threads = 4;
	l.pace_ms = 100;
	install_start(&in, &default_plan);
	load_start(&l);
	cr_assert(EVENTUALLY(10, worker_starts(&in, 0, "a-1") > 5));
	workers_set_mode(&in, 0, "leave", "a-1");
	nap_ms(4000);
	before = worker_starts(&in, 0, "a-1");
	cr_expect_lt(l.ended, l.count, "the load ended before the worker left");
	cr_expect_eq(load_finish(&l).done, 400);
	cr_expect_eq(worker_starts(&in, 0, "a-1"), before);
	install_stop(&in);
}

/* Returns how many of n jobs are final, asking the VMs in turn. */
static size_t jobs_final(const struct install *in, char (*ids)[96], size_t n)
{
	size_t i, ends = 0;
	char *state;

	for (i = 0; i < n; i++) {
		state = job_state_get(in, i % in->vm_count, ids[i], "GET");
		ends += !strcmp(state, "not-run") || !strcmp(state, "failed") ||
			!strcmp(state, "done");
		free(state);
	}
	return ends;
}

/*
 * A caller cancels 300 jobs by their label, some running, most queued.  Each
 * is final within seconds, those reported as "not-run" were never started, and
 * none still runs at the workers.
 */
Test(failure, cancel_many)
{
	static char ids[300][96];
	struct submission s = {.label = "tour", .run_ms = 20000};
	struct job_runs runs, all = {0};
	struct caller_response response;
	size_t i, false_not_run = 0;
	struct install in;
	char key[32];

	install_start(&in, &default_plan);
	for (i = 0; i < 300; i++) {
		snprintf(key, sizeof(key), "tour-%zu", i);
		s.key = key;
		response = submit(&in, i % in.vm_count, &s);
		cr_assert_eq(response.status, 202, "submission %zu: %d %s", i,
			     (int)response.status,
			     response_text(&response, "reason"));
		snprintf(ids[i], sizeof(ids[i]), "%s",
			 response_text(&response, "job"));
		caller_response_free(&response);
	}
	response = caller_ask(&in, 1, "POST", "/v1/cancel", NULL,
			      "{\"label\": \"tour\"}", 10000);
	cr_expect_eq(response.status, 200);
	cr_expect_eq(json_array_size(json_object_get(response.json, "jobs")),
		     300);
	caller_response_free(&response);
	cr_expect(EVENTUALLY(15, jobs_final(&in, ids, 300) == 300));
	for (i = 0; i < 300; i++) {
		runs = job_runs_of(&in, ids[i]);
		all.running += runs.running;
		all.starts += runs.starts;
		false_not_run += runs.starts &&
				 job_state_is(&in, 0, ids[i], "not-run");
	}
	fprintf(stderr, "cancel_many: %u of 300 had been started\n",
		all.starts);
	cr_expect_eq(all.running, 0);
	cr_expect_eq(false_not_run, 0);
	install_stop(&in);
}

/* A submission with a key that others use at the same time. */
struct duplicate {
	const struct install *in;
	size_t vm;
	char id[96], state[16];
	pthread_t thread;
};

static void *duplicate_run(void *arg)
{
	struct submission s = {.key = "twins", .wait = true, .run_ms = 300};
	struct duplicate *d = arg;
	struct caller_response response = submit(d->in, d->vm, &s);

	snprintf(d->id, sizeof(d->id), "%s", response_text(&response, "job"));
	snprintf(d->state, sizeof(d->state), "%s",
		 response_text(&response, "state"));
	caller_response_free(&response);
	return NULL;
}

/*
 * 12 callers submit the same job under the same key through all entry VMs at
 * once.  All get the same job id and result, and the job is started once.
 */
Test(failure, same_key)
{
	struct install in;
	struct duplicate duplicates[12];
	size_t i;

	install_start(&in, &default_plan);
	for (i = 0; i < NELEMS(duplicates); i++) {
		duplicates[i] = (struct duplicate){.in = &in,
						   .vm = i % in.vm_count};
		pthread_create(&duplicates[i].thread, NULL, duplicate_run,
			       &duplicates[i]);
	}
	for (i = 0; i < NELEMS(duplicates); i++) {
		pthread_join(duplicates[i].thread, NULL);
		cr_expect_str_eq(duplicates[i].state, "done");
		cr_expect_str_eq(duplicates[i].id, duplicates[0].id);
	}
	cr_expect_eq(job_runs_of(&in, duplicates[0].id).starts, 1);
	install_stop(&in);
}

/*
 * A team with an upper limit of 6 has jobs in two data centres, and the owner
 * of a cell is killed.  The jobs are done; the workers never ran more than 6
 * tasks of the team at once, and came close to the limit.
 */
Test(failure, upper_limit)
{
	struct install in;
	struct install_plan plan = default_plan;
	struct load l = LOAD(&in, "upper_limit", 160);

	plan.limit = 6;
	plan.workers = 4;
	plan.one_worker_process = true;
	l.quick_ms = 100;
	l.long_ms = 500;
	l.threads = 16;
	l.give_up_ms = 90000;
	install_start(&in, &plan);
	load_start(&l);
	cr_assert(EVENTUALLY(40, l.ended > 50));
	vm_signal(&in, vm_owner(&in, "cell/rounds/a"), SIGKILL);
	cr_expect_geq(load_finish(&l).done, 150);
	fprintf(stderr, "upper_limit: at most %jd ran at once\n",
		(intmax_t)max_running(&in));
	cr_expect_leq(max_running(&in), 6);
	cr_expect_geq(max_running(&in), 5);
	install_stop(&in);
}
