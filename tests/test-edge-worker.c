#include "support-fake.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HEAD(worker, epoch, seq)                                      \
	"{\"worker\":\"" worker "\",\"boot\":\"b1\",\"epoch\":" epoch \
	",\"seq\":" seq ",\"leaving\":false,\"slots\":8"
#define REPORT(tasks) HEAD("w1", "7", "3") ",\"tasks\":[" tasks "]}"
#define TASK_LIKE(id, state, result, rest)                               \
	"{\"task\":\"" id "\",\"state\":\"" state "\",\"reason\":\"r\"," \
	"\"result\":\"" result "\"," rest "}"
#define REST "\"ran_ms\":5,\"cpu_milli\":6,\"memory_mb\":7"
#define TASK(id, state) TASK_LIKE(id, state, "aGk=", REST)
#define STEP(...)           \
	{                   \
		__VA_ARGS__ \
	}
#define SAY(status, body)                 \
	{                                 \
		FAKE_ANSWER, status, body \
	}
#define K64 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define LONG_MS 20000 /* a timeout that must not expire */
#define SHORT_MS 200  /* a timeout that is meant to expire */

/* Returns a watch since 2, or a command that names t1 once and t2 twice. */
static effect *exchange(uint16_t port, uint64_t req, bool watch)
{
	effect *fx = effect_new(FX_WORKER);
	fx_worker *w = &fx->effect_u.worker;

	w->req = req;
	w->vm = bstr_new("w1");
	w->address = bstr_printf("127.0.0.1:%u", port);
	w->cell.pool = bstr_new("planning");
	w->cell.dc = bstr_new("a");
	w->epoch = 7;
	w->watch = watch;
	w->lease_ms = 5000;
	if (watch) {
		w->wait_ms = 100;
		w->since = 2;
		return fx;
	}
	w->starts.starts_len = 2;
	w->starts.starts_val = xcalloc(2, sizeof(task_start));
	w->starts.starts_val[0].task = bstr_new("t1");
	w->starts.starts_val[0].payload = bstr_new("hi");
	w->starts.starts_val[0].start_by_ms = 900;
	w->starts.starts_val[1].task = bstr_new("t2");
	w->orders.orders_len = 1;
	w->orders.orders_val = xcalloc(1, sizeof(task_order));
	w->orders.orders_val->task = bstr_new("t2");
	w->orders.orders_val->verb = TASK_THROTTLE;
	w->orders.orders_val->percent = 50;
	return fx;
}

/* Starts an edge with a timeout and a limit of connections. */
static struct edge_worker *start(struct mailbox *inbox, uint32_t timeout_ms,
				 uint32_t connections)
{
	struct settings s = {0};
	struct edge_worker *edge;
	struct error e;

	error_init(&e);
	s.workers.timeout_ms = timeout_ms;
	s.workers.max_connections = connections;
	edge = edge_worker_start(&s, inbox, &e);
	cr_assert(edge);
	return edge;
}

/* Takes the event of an effect and checks its outcome. */
static ev_worker expect(struct mailbox *inbox, uint64_t req,
			worker_outcome outcome, const char *what)
{
	event *ev = fake_next_event(inbox);
	ev_worker w;

	cr_assert(ev, "%s: no event", what);
	cr_assert_eq(ev->body.kind, EV_WORKER);
	w = ev->body.event_body_u.worker;
	cr_expect_eq(w.req, req, "%s: req %lu", what, w.req);
	cr_expect(bstr_eq_str(w.vm, "w1"), "%s: vm", what);
	cr_expect_eq(w.outcome, outcome, "%s: %d", what, w.outcome);
	free(ev);
	return w;
}

/* Frees an event. */
static void discard(ev_worker w)
{
	xdr_free(XDR_PROC(xdr_ev_worker), (char *)&w);
}

/*
 * One exchange with one answer each.  The reducer must get exactly one event,
 * of the VM that the effect addressed.  An answer that isn't this VM's valid
 * report on the request must yield an event without contents, and is counted.
 */
Test(edge_worker, answers, .timeout = 120)
{
#define CASE(what, watch, outcome, ...)           \
	{                                         \
		what, watch, outcome, __VA_ARGS__ \
	}
#define GARBAGE(what, watch, ...)                        \
	{                                                \
		what, watch, WORKER_INVALID, __VA_ARGS__ \
	}
	static const struct {
		const char *what;
		bool watch;
		worker_outcome outcome;
		struct fake_step step;
	} cases[] = {
		CASE("no tasks", true, WORKER_OK, SAY(200, REPORT(""))),
		CASE("byte by byte", false, WORKER_OK,
		     STEP(FAKE_ANSWER_BYTEWISE, 200,
			  REPORT(TASK("t1", "running")))),
		CASE("named twice", false, WORKER_OK,
		     SAY(200, REPORT(TASK("t2", "running") "," TASK(
				      "t2", "checkpointed")))),
		CASE("later epoch meanwhile", true, WORKER_OK,
		     SAY(200, HEAD("w1", "8", "0") ",\"tasks\":[]}")),
		CASE("stale", false, WORKER_STALE,
		     SAY(409, "{\"epoch\":9,\"boot\":\"b\"}")),
		CASE("busy", false, WORKER_BUSY, SAY(503, "")),
		CASE("busy watch", true, WORKER_BUSY, SAY(503, "")),
		CASE("silent", false, WORKER_NO_ANSWER, STEP(FAKE_NO_ANSWER)),
		CASE("silent watch", true, WORKER_NO_ANSWER,
		     STEP(FAKE_NO_ANSWER)),
		CASE("reset", false, WORKER_NO_ANSWER, STEP(FAKE_RESET)),
		CASE("cut short", false, WORKER_NO_ANSWER,
		     STEP(FAKE_TRUNCATE, 200, REPORT(""))),
		CASE("closed without an answer", false, WORKER_NO_ANSWER,
		     STEP(FAKE_RAW, 0, "")),
		GARBAGE("no HTTP", false, STEP(FAKE_RAW, 0, "x\r\n\r\n")),
		GARBAGE("length unknown", false,
			STEP(FAKE_ANSWER_CLOSE, 200, REPORT(""))),
		GARBAGE("too long", false,
			STEP(FAKE_ANSWER, 200, REPORT(""), NULL, NULL,
			     9 << 20)),
		GARBAGE("error", false, SAY(500, REPORT(""))),
		GARBAGE("no such path", false, SAY(404, "")),
		GARBAGE("no body", false, SAY(200, "")),
		GARBAGE("no JSON", false, SAY(200, "<html>")),
		GARBAGE("a list", false, SAY(200, "[]")),
		GARBAGE("a key of JSON twice", false,
			SAY(200, HEAD("w1", "7", "3") ",\"tasks\":[],"
						      "\"tasks\":[]}")),
		GARBAGE("another VM", false,
			SAY(200, HEAD("w2", "7", "3") ",\"tasks\":[]}")),
		GARBAGE("earlier epoch", false,
			SAY(200, HEAD("w1", "6", "3") ",\"tasks\":[]}")),
		GARBAGE("epoch below zero", false,
			SAY(200, HEAD("w1", "-7", "3") ",\"tasks\":[]}")),
		GARBAGE("seq a text", false,
			SAY(200, HEAD("w1", "7", "\"3\"") ",\"tasks\":[]}")),
		GARBAGE("no tasks at all", false,
			SAY(200, HEAD("w1", "7", "3") "}")),
		GARBAGE("stale for nothing", false,
			SAY(409, "{\"epoch\":7,\"boot\":\"b\"}")),
		GARBAGE("stale without epoch", false, SAY(409, "{}")),
		GARBAGE("task not named", false,
			SAY(200, REPORT(TASK("t3", "done")))),
		GARBAGE("task named once, reported twice", false,
			SAY(200, REPORT(TASK("t1", "running") "," TASK(
					 "t1", "done")))),
		GARBAGE("task twice in a watch", true,
			SAY(200, REPORT(TASK("t1", "running") "," TASK(
					 "t1", "done")))),
		GARBAGE("unknown state", true,
			SAY(200, REPORT(TASK("t1", "asleep")))),
		GARBAGE("state a number", true,
			SAY(200, REPORT("{\"task\":\"t1\",\"state\":1}"))),
		GARBAGE("task without a name", true,
			SAY(200, REPORT(TASK("", "done")))),
		GARBAGE("task with a long name", true,
			SAY(200, REPORT(TASK(K64 K64 "x", "done")))),
		GARBAGE("result no base64", true,
			SAY(200, REPORT(TASK_LIKE("t1", "done", "?", REST)))),
		GARBAGE("number out of range", true,
			SAY(200, REPORT(TASK_LIKE(
					 "t1", "done", "",
					 "\"ran_ms\":4294967296,"
					 "\"cpu_milli\":0,\"memory_mb\":0")))),
		GARBAGE("a valid task and an invalid one", true,
			SAY(200, REPORT(TASK("t1", "done") ",{}"))),
	};
	struct mailbox *inbox = mailbox_new(16);
	struct edge_worker *edge;
	uint64_t garbage;
	struct fake *f;
	ev_worker w;
	size_t i;

	for (i = 0; i < NELEMS(cases); i++) {
		garbage = counter_get(COUNT_DROPPED_WORKER_GARBAGE) +
			  (cases[i].outcome == WORKER_INVALID);
		f = fake_start(&cases[i].step, 1);
		edge = start(inbox,
			     cases[i].step.action == FAKE_NO_ANSWER ? SHORT_MS
								    : LONG_MS,
			     4);
		cr_assert(edge_worker_send(
			edge, exchange(fake_port(f), i, cases[i].watch)));
		w = expect(inbox, i, cases[i].outcome, cases[i].what);
		if (w.outcome == WORKER_STALE)
			cr_expect_eq(w.epoch, 9);
		else if (w.outcome != WORKER_OK)
			cr_expect(!w.tasks.tasks_len && !w.boot_id.bstr_len,
				  "%s: has contents", cases[i].what);
		cr_expect_eq(counter_get(COUNT_DROPPED_WORKER_GARBAGE), garbage,
			     "%s: counter", cases[i].what);
		edge_worker_stop(edge);
		cr_expect_null(mailbox_take(inbox), "%s: twice", cases[i].what);
		discard(w);
		fake_stop(f);
	}
	mailbox_free(inbox);
}

/*
 * The contents of a report reach the reducer, and each request has the
 * documented form.
 */
Test(edge_worker, command_and_watch)
{
	static const struct fake_step steps[] = {
		SAY(200, REPORT(TASK("t1", "running"))),
		SAY(200, REPORT(TASK("t9", "done"))),
	};
	static const char *const lines[] = {"POST /v1/command ",
					    "POST /v1/watch "};
	static const char *const bodies[] = {
		"{\"pool\":\"planning\",\"dc\":\"a\",\"epoch\":7,"
		"\"lease_ms\":5000,\"starts\":[{\"task\":\"t1\","
		"\"payload\":\"aGk=\",\"checkpoint\":\"\",\"start_by_ms\":900,"
		"\"cpu_milli\":0,\"memory_mb\":0,\"accelerators\":0},"
		"{\"task\":\"t2\",\"payload\":\"\",\"checkpoint\":\"\","
		"\"start_by_ms\":0,\"cpu_milli\":0,\"memory_mb\":0,"
		"\"accelerators\":0}],\"orders\":[{\"task\":\"t2\","
		"\"verb\":\"throttle\",\"percent\":50}]}",
		"{\"pool\":\"planning\",\"dc\":\"a\",\"epoch\":7,"
		"\"lease_ms\":5000,\"since\":2,\"wait_ms\":100}"};
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct mailbox *inbox = mailbox_new(16);
	struct edge_worker *edge = start(inbox, LONG_MS, 4);
	const struct fake_request *r;
	const task_report *t;
	ev_worker w;
	int i;

	for (i = 0; i < 2; i++) {
		cr_assert(
			edge_worker_send(edge, exchange(fake_port(f), 40, i)));
		w = expect(inbox, 40, WORKER_OK, lines[i]);
		cr_expect(w.slots == 8 && w.seq == 3 && w.epoch == 7 &&
			  !w.leaving && bstr_eq_str(w.boot_id, "b1"));
		cr_assert_eq(w.tasks.tasks_len, 1);
		t = w.tasks.tasks_val;
		cr_expect(bstr_eq_str(t->task, i ? "t9" : "t1"));
		cr_expect_eq(t->state, i ? TASK_DONE : TASK_RUNNING);
		cr_expect(bstr_eq_str(t->result, "hi") &&
			  bstr_eq_str(t->reason, "r") && t->ran_ms == 5 &&
			  t->cpu_milli == 6 && t->memory_mb == 7);
		discard(w);
		r = fake_wait(f, (size_t)i);
		cr_expect_eq(strncmp(r->head, lines[i], strlen(lines[i])), 0);
		cr_expect(bstr_eq_str(r->body, bodies[i]), "%.*s",
			  BSTR_ARG(r->body));
	}
	edge_worker_stop(edge);
	mailbox_free(inbox);
	fake_stop(f);
}

/*
 * Without a connection, or with an invalid address, the worker received
 * nothing, so the outcome must allow the start to be sent to another worker.
 */
Test(edge_worker, not_sent)
{
	static const char *const addresses[] = {
		"", "127.0.0.1:1/x?", "u@127.0.0.1:1", "127.0.0.1:1 ", "host:x",
	};
	struct mailbox *inbox = mailbox_new(16);
	struct edge_worker *edge = start(inbox, SHORT_MS, 4);
	int refusing, hanging[2];
	uint16_t ports[2];
	effect *fx;
	size_t i;

	ports[0] = fake_refusing_port(&refusing);
	ports[1] = fake_hanging_port(hanging);
	for (i = 0; i < 4; i++) {
		fx = exchange(ports[i / 2], i, i % 2);
		cr_assert(edge_worker_send(edge, fx));
		discard(expect(inbox, i, WORKER_NOT_SENT, "no connection"));
	}
	for (i = 0; i < NELEMS(addresses); i++) {
		fx = exchange(1, i, false);
		bstr_free(&fx->effect_u.worker.address);
		fx->effect_u.worker.address = bstr_new(addresses[i]);
		cr_assert(edge_worker_send(edge, fx));
		discard(expect(inbox, i, WORKER_NOT_SENT, addresses[i]));
	}
	edge_worker_stop(edge);
	mailbox_free(inbox);
	close(refusing);
	close(hanging[0]);
	close(hanging[1]);
}

/*
 * Guards against commands that wait for a watch.  There are two connections to
 * a worker.  A watch occupies one until something changes; commands use the
 * other, one after the other, and a second watch waits for the first.
 */
Test(edge_worker, commands_do_not_wait_for_a_watch)
{
	static const struct fake_step steps[] = {
		{FAKE_HOLD, 200, REPORT(""), NULL, "/watch "},
		{FAKE_ANSWER, 200, REPORT(""), NULL, "/command "},
		{FAKE_ANSWER, 200, REPORT(""), NULL, "/command "},
		{FAKE_ANSWER, 200, REPORT(""), NULL, "/watch "},
	};
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct mailbox *inbox = mailbox_new(16);
	struct edge_worker *edge = start(inbox, LONG_MS, 2);
	uint64_t i;

	cr_assert(edge_worker_send(edge, exchange(fake_port(f), 10, true)));
	cr_assert(edge_worker_send(edge, exchange(fake_port(f), 11, true)));
	fake_wait(f, 0);
	for (i = 0; i < 2; i++)
		cr_assert(edge_worker_send(edge, exchange(fake_port(f), i, 0)));
	for (i = 0; i < 2; i++)
		discard(expect(inbox, i, WORKER_OK, "command"));
	cr_expect_eq(fake_request_count(f), 3);
	fake_release(f, 0);
	discard(expect(inbox, 10, WORKER_OK, "watch"));
	discard(expect(inbox, 11, WORKER_OK, "second watch"));
	for (i = 0; i < 4; i++)
		cr_expect_leq(fake_wait(f, i)->connection, 2);
	edge_worker_stop(edge);
	mailbox_free(inbox);
	fake_stop(f);
}

/*
 * Guards against sending after the deadline.  A worker reads nothing until long
 * after the command has timed out.  It must get no more than it had been sent
 * by then: if the kernel went on sending, the worker would start tasks that the
 * reducer takes as not started.
 */
Test(edge_worker, nothing_is_sent_after_the_deadline)
{
	static const struct fake_step steps[] = {{FAKE_NO_READ}};
	static const size_t size = 1 << 20;
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct mailbox *inbox = mailbox_new(16);
	struct edge_worker *edge = start(inbox, 1000, 4);
	effect *fx = exchange(fake_port(f), 1, false);
	task_start *s = fx->effect_u.worker.starts.starts_val;
	char *payload = xcalloc(size, 1);

	bstr_free(&s->payload);
	s->payload = bstr_from_bytes(payload, size);
	cr_assert(edge_worker_send(edge, fx));
	discard(expect(inbox, 1, WORKER_NO_ANSWER,
		       "worker that reads nothing"));
	fake_release(f, 0);
	cr_expect_lt(fake_bytes_read(f), size);
	edge_worker_stop(edge);
	free(payload);
	mailbox_free(inbox);
	fake_stop(f);
}

/* Each proper prefix of a valid report is an error. */
Test(edge_worker, every_part_of_a_report)
{
	static const char whole[] = REPORT(TASK("t1", "done"));
	struct fake_step steps[sizeof(whole)] = {{0}};
	struct mailbox *inbox = mailbox_new(16);
	struct edge_worker *edge = start(inbox, LONG_MS, 2);
	struct fake *f;
	size_t i;

	for (i = 0; i < NELEMS(steps); i++) {
		steps[i] = (struct fake_step)SAY(200, xstrdup(whole));
		((char *)steps[i].body)[i] = '\0';
	}
	f = fake_start(steps, NELEMS(steps));
	for (i = 0; i < NELEMS(steps); i++) {
		cr_assert(edge_worker_send(edge, exchange(fake_port(f), i, 0)));
		discard(expect(inbox, i,
			       i < sizeof(whole) - 1 ? WORKER_INVALID
						     : WORKER_OK,
			       steps[i].body));
		free((char *)steps[i].body);
	}
	edge_worker_stop(edge);
	mailbox_free(inbox);
	fake_stop(f);
}
