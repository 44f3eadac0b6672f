#include "standin.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

/*
 * Contract tests of the edges to platform and workers against the stand-ins of
 * these: the edges speak the protocols, and after each fault they report
 * correctly whether a request may have taken effect.
 */
#define WAIT_MS 20000

static struct settings settings;
static struct mailbox *inbox;
static struct standin platform, workers;
static struct edge_platform *edge;
static struct edge_worker *worker_edge;

static void setup(void)
{
	static const char *const none[] = {NULL};
	static const char *const one[] = {"--prefix", "w", NULL};
	struct error e;

	error_init(&e);
	inbox = mailbox_new(64);
	standin_start(&platform, "standin-platform", none);
	standin_start(&workers, "standin-worker", one);
	settings.platform.url = xasprintf("http://127.0.0.1:%u", platform.port);
	settings.platform.timeout_ms = 1000;
	settings.platform.max_in_flight = 8;
	settings.workers.timeout_ms = 1000;
	settings.workers.max_connections = 4;
	edge = edge_platform_start(&settings, inbox, &e);
	worker_edge = edge_worker_start(&settings, inbox, &e);
	cr_assert(edge && worker_edge);
}

static void teardown(void)
{
	edge_platform_stop(edge);
	edge_worker_stop(worker_edge);
	standin_stop(&workers);
	standin_stop(&platform);
	mailbox_free(inbox);
	free(settings.platform.url);
}

TestSuite(contract, .init = setup, .fini = teardown);

/* Returns the event that answers an effect. */
static event *next_event(void)
{
	int64_t deadline = clock_now() + WAIT_MS;
	event *ev;

	while (!(ev = mailbox_take(inbox)) && clock_now() < deadline)
		mailbox_wait(inbox, 100);
	cr_assert_not_null(ev, "no event");
	return ev;
}

/* Sends a request to the platform; stores the event in event_out, if given. */
static platform_outcome platform_exchange(effect *fx, event **event_out)
{
	platform_outcome outcome;
	event *ev;

	cr_assert(edge_platform_send(edge, fx));
	ev = next_event();
	cr_assert_eq(ev->body.kind, EV_PLATFORM);
	outcome = ev->body.event_body_u.platform.outcome;
	if (event_out)
		*event_out = ev;
	else
		event_free(ev);
	return outcome;
}

/* Returns a commit of row k that expects a revision of it. */
static effect *commit_new(const char *txid, uint64_t revision,
			  const char *value)
{
	effect *fx = effect_new(FX_COMMIT);
	fx_commit *c = &fx->effect_u.commit;

	c->req = 1;
	c->txid = bstr_new(txid);
	c->checks.checks_len = 1;
	c->checks.checks_val = xcalloc(1, sizeof(table_check));
	c->checks.checks_val->key = bstr_new("k");
	c->checks.checks_val->revision = revision;
	c->writes.writes_len = 1;
	c->writes.writes_val = xcalloc(1, sizeof(table_write));
	c->writes.writes_val->key = bstr_new("k");
	c->writes.writes_val->value = bstr_new(value);
	return fx;
}

/* Reads row k; returns its revision. */
static uint64_t row_read(char *value, size_t size)
{
	effect *fx = effect_new(FX_READ);
	const table_row *r;
	uint64_t revision;
	event *ev;

	fx->effect_u.read.req = 2;
	fx->effect_u.read.keys.keys_len = 1;
	fx->effect_u.read.keys.keys_val = xcalloc(1, sizeof(bstr));
	fx->effect_u.read.keys.keys_val[0] = bstr_new("k");
	cr_assert_eq(platform_exchange(fx, &ev), PLATFORM_OK);
	r = ev->body.event_body_u.platform.rows.rows_val;
	revision = r->revision;
	snprintf(value, size, "%.*s", BSTR_ARG(r->value));
	event_free(ev);
	return revision;
}

static void fault_set(const char *json)
{
	char *text = http_expand(json);

	cr_assert_eq(
		http_call(platform.port, "POST", "/control/fault", text, NULL),
		200);
	free(text);
}

/* A commit that expects another revision than the row has writes nothing. */
Test(contract, a_commit_checks_its_versions)
{
	char value[16];
	uint64_t v;

	cr_expect_eq(platform_exchange(commit_new("t1", 0, "a"), NULL),
		     PLATFORM_OK);
	cr_expect_eq(platform_exchange(commit_new("t2", 0, "b"), NULL),
		     PLATFORM_CONFLICT);
	v = row_read(value, sizeof(value));
	cr_expect_str_eq(value, "a");
	cr_expect_eq(platform_exchange(commit_new("t3", v, "c"), NULL),
		     PLATFORM_OK);
	row_read(value, sizeof(value));
	cr_expect_str_eq(value, "c");
}

/*
 * A refused commit wrote nothing; one with an unknown outcome may have written.
 * Sending the same transaction again yields the actual outcome, and writes at
 * most once.
 */
Test(contract, outcomes_of_a_commit_under_faults)
{
	static const struct {
		const char *fault;
		platform_outcome outcome;
		bool written;
	} cases[] = {
		{"{'mode':'refuse'}", PLATFORM_REFUSED, false},
		{"{'mode':'down'}", PLATFORM_UNKNOWN, false},
		{"{'mode':'slow','ms':3000}", PLATFORM_UNKNOWN, false},
		{"{'mode':'lose'}", PLATFORM_UNKNOWN, true},
		{"{'mode':'truncate'}", PLATFORM_UNKNOWN, true},
		{"{'mode':'garbage'}", PLATFORM_UNKNOWN, true},
	};
	char txid[8], value[16];
	uint64_t before = 0, after;
	size_t i;

	for (i = 0; i < NELEMS(cases); i++) {
		snprintf(txid, sizeof(txid), "t%zu", i);
		fault_set(cases[i].fault);
		cr_expect_eq(
			platform_exchange(commit_new(txid, before, txid), NULL),
			cases[i].outcome, "%s", cases[i].fault);
		fault_set("{'mode':'none'}");
		after = row_read(value, sizeof(value));
		cr_expect_eq(after != before, cases[i].written, "%s",
			     cases[i].fault);
		cr_expect_eq(
			platform_exchange(commit_new(txid, before, txid), NULL),
			PLATFORM_OK, "%s again", cases[i].fault);
		after = row_read(value, sizeof(value));
		cr_expect_str_eq(value, txid);
		cr_expect_neq(after, before);
		before = after;
	}
}

/* Sends a command to the worker; also returns the state of the first task. */
static worker_outcome worker_exchange(uint64_t epoch, const char *start,
				      const char *stop, task_state *state)
{
	effect *fx = effect_new(FX_WORKER);
	fx_worker *w = &fx->effect_u.worker;
	worker_outcome outcome;
	event *ev;

	w->req = 3;
	w->vm = bstr_new("w");
	w->address = bstr_printf("127.0.0.1:%u", workers.workers[0].port);
	w->cell.pool = bstr_new("p");
	w->cell.dc = bstr_new("a");
	w->epoch = epoch;
	w->lease_ms = 60000;
	if (start) {
		w->starts.starts_len = 1;
		w->starts.starts_val = xcalloc(1, sizeof(task_start));
		w->starts.starts_val->task = bstr_new(start);
		w->starts.starts_val->payload = bstr_new(
			"{\"sleep_ms\": 60000}");
		w->starts.starts_val->start_by_ms = 5000;
	}
	if (stop) {
		w->orders.orders_len = 1;
		w->orders.orders_val = xcalloc(1, sizeof(task_order));
		w->orders.orders_val->task = bstr_new(stop);
		w->orders.orders_val->verb = TASK_STOP;
	}
	cr_assert(edge_worker_send(worker_edge, fx));
	ev = next_event();
	cr_assert_eq(ev->body.kind, EV_WORKER);
	outcome = ev->body.event_body_u.worker.outcome;
	if (ev->body.event_body_u.worker.tasks.tasks_len)
		*state = ev->body.event_body_u.worker.tasks.tasks_val->state;
	event_free(ev);
	return outcome;
}

/*
 * A worker refuses an outdated epoch, a repeated start has no effect, and a
 * task that was stopped before its start is refused later.
 */
Test(contract, commands_to_a_worker)
{
	static const struct {
		uint64_t epoch;
		const char *start, *stop;
		worker_outcome outcome;
		task_state state;
	} cases[] = {
		{5, "a/1/1/t", NULL, WORKER_OK, TASK_RUNNING},
		{5, "a/1/1/t", NULL, WORKER_OK, TASK_RUNNING},
		{4, "b/1/1/t", NULL, WORKER_STALE, TASK_FAILED},
		{6, NULL, "c/1/1/t", WORKER_OK, TASK_REFUSED},
		{6, "c/1/1/t", NULL, WORKER_OK, TASK_REFUSED},
		{6, NULL, "a/1/1/t", WORKER_OK, TASK_STOPPED},
	};
	task_state state = TASK_FAILED;
	size_t i;

	for (i = 0; i < NELEMS(cases); i++) {
		state = TASK_FAILED;
		cr_expect_eq(worker_exchange(cases[i].epoch, cases[i].start,
					     cases[i].stop, &state),
			     cases[i].outcome, "%zu", i);
		cr_expect_eq(state, cases[i].state, "%zu", i);
	}
}

/* A worker that doesn't answer may have taken the start: never NOT_SENT. */
Test(contract, a_frozen_worker_may_have_taken_it)
{
	task_state state = TASK_FAILED;

	cr_assert_eq(http_call(workers.port, "POST", "/control",
			       "{\"mode\": \"freeze\"}", NULL),
		     200);
	cr_expect_eq(worker_exchange(5, "a/1/1/t", NULL, &state),
		     WORKER_NO_ANSWER);
	cr_assert_eq(http_call(workers.port, "POST", "/control",
			       "{\"mode\": \"none\"}", NULL),
		     200);
	cr_expect_eq(worker_exchange(5, "a/1/1/t", NULL, &state), WORKER_OK);
	cr_expect_eq(state, TASK_RUNNING);
}
