#include "../http-client.h"
#include "support-fake.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LONG_MS 60000 /* a timeout that must not expire */
#define SHORT_MS 1000 /* a timeout that is meant to expire */
#define WAIT_MS 10000 /* for events that must happen */

/*
 * A request and its outcome.  The members from entered on make its callbacks
 * block the client's thread.
 */
struct call {
	struct http_request http;
	enum http_outcome outcome;
	long status;
	uint32_t retry_after_ms;
	char text[32]; /* the begin of the body */
	int64_t opened_at;
	int64_t ended_at;
	struct gate *ended;
	/* Block at a gate, or until a call's deadline has passed. */
	struct gate *entered;
	struct gate *leave;
	struct call *outlast;
	int listener;	     /* or until a connection arrives here; 0: none */
	int accepted;	     /* the connection that arrived */
	struct call *expire; /* call whose deadline is set to the past */
};

/* A counter of openings that threads can wait for. */
struct gate {
	pthread_mutex_t lock;
	pthread_cond_t opened;
	unsigned count;
};
#define GATE                                                           \
	{                                                              \
		PTHREAD_MUTEX_INITIALIZER, PTHREAD_COND_INITIALIZER, 0 \
	}

/* Opens a gate once more. */
static void gate_open(struct gate *g)
{
	pthread_mutex_lock(&g->lock);
	g->count++;
	pthread_cond_broadcast(&g->opened);
	pthread_mutex_unlock(&g->lock);
}

/* Waits until a gate has been opened count times. */
static void gate_wait(struct gate *g, unsigned count)
{
	pthread_mutex_lock(&g->lock);
	while (g->count < count)
		pthread_cond_wait(&g->opened, &g->lock);
	pthread_mutex_unlock(&g->lock);
}

/* Blocks until the deadline of another call has passed. */
static void call_wait_deadline(const struct call *other)
{
	while (clock_now() <= other->http.deadline)
		poll(NULL, 0, 20);
}

/* Blocks the client's thread, as when a VM gets no processor time. */
static bool call_build(struct http_request *r)
{
	struct call *c = (struct call *)r;

	if (c->leave) {
		gate_open(c->entered);
		gate_wait(c->leave, 1);
	}
	if (c->outlast)
		call_wait_deadline(c->outlast);
	return true;
}

/* Records the outcome.  A call with a listener blocks the client's thread. */
static struct http_request *call_done(struct http_request *r,
				      const struct http_response *a)
{
	struct call *c = (struct call *)r;
	struct pollfd p = {.fd = c->listener, .events = POLLIN};
	int first;

	c->outcome = a->outcome;
	c->status = a->status;
	c->retry_after_ms = a->retry_after_ms;
	snprintf(c->text, sizeof(c->text), "%.*s", BSTR_ARG(a->body));
	c->opened_at = a->conn_opened_at;
	c->ended_at = clock_now();
	if (c->listener) {
		/*
		 * Accepting the first connection makes room for the one that
		 * hangs; waits for that.
		 */
		first = accept(c->listener, NULL, NULL);
		if (c->outlast)
			call_wait_deadline(c->outlast);
		if (c->expire)
			c->expire->http.deadline = clock_now() - 1;
		if (first >= 0 && poll(&p, 1, WAIT_MS) == 1)
			c->accepted = accept(c->listener, NULL, NULL);
		close(first);
	}
	http_request_clear(r);
	gate_open(c->ended);
	return NULL;
}

/* Fills in a call to a port. */
static void call_set(struct call *c, uint16_t port, const char *name,
		     int64_t timeout_ms, struct gate *ended)
{
	memset(c, 0, sizeof(*c));
	c->ended = ended;
	c->accepted = -1;
	c->http.method = "POST";
	c->http.url = xasprintf("http://127.0.0.1:%u/%s", port, name);
	c->http.queue_name = xstrdup("cloud");
	c->http.body = bstr_new("order");
	c->http.max_response = 1000;
	c->http.deadline = clock_now() + timeout_ms;
	c->http.done = call_done;
}

/*
 * A test of what holds over libcurl (direct false) and over the client's own
 * connections (direct true).
 */
#define TEST_TRANSPORTS(name)                  \
	static void name(bool direct);         \
	Test(http_client, name, .timeout = 60) \
	{                                      \
		name(false);                   \
		name(true);                    \
	}                                      \
	static void name(bool direct)

/* Starts a client. */
static struct http_client *client_start(bool direct)
{
	struct http_client_options o = {.max_per_queue = 8,
					.max_requests = 64,
					.connect_ms = LONG_MS,
					.direct = direct};
	struct http_client *c;
	struct error e;

	error_init(&e);
	c = http_client_start(&o, &e);
	cr_assert(c);
	return c;
}

/*
 * Guards against sending an order after its deadline, when another VM may have
 * taken over the machine that it is about.  The order is queued in libcurl and
 * the client's thread gets no processor time until the deadline has passed.
 * The order is ready before the call that blocks the thread, as both are
 * processed in the one round after the call that waits at the gate.
 */
Test(http_client, nothing_leaves_after_its_deadline, .timeout = 60)
{
	static const struct fake_step steps[] = {{FAKE_ANSWER, 200, "a"},
						 {FAKE_ANSWER, 200, "b"},
						 {FAKE_ANSWER, 200, "c"},
						 {FAKE_ANSWER, 200, "d"}};
	struct call warm, first, order, hold;
	struct http_client *client;
	struct fake *f;
	size_t i, n;
	int kept;

	for (kept = 0; kept < 2; kept++) {
		struct gate entered = GATE, leave = GATE, ended = GATE;
		unsigned count = 0;

		f = fake_start(steps, NELEMS(steps));
		client = client_start(false);
		if (kept) {
			/* Leaves a connection for the order. */
			call_set(&warm, fake_port(f), "warm", LONG_MS, &ended);
			cr_assert(http_client_send(client, &warm.http));
			gate_wait(&ended, ++count);
			cr_assert_eq(warm.outcome, HTTP_OK);
		}
		call_set(&first, fake_port(f), "first", LONG_MS, &ended);
		first.entered = &entered;
		first.leave = &leave;
		first.http.build = call_build;
		cr_assert(http_client_send(client, &first.http));
		gate_wait(&entered, 1);
		call_set(&order, fake_port(f), "order", SHORT_MS, &ended);
		call_set(&hold, fake_port(f), "hold", LONG_MS, &ended);
		hold.outlast = &order;
		hold.http.build = call_build;
		cr_assert(http_client_send(client, &order.http));
		cr_assert(http_client_send(client, &hold.http));
		gate_open(&leave);
		gate_wait(&ended, count + 3);
		cr_expect_eq(first.outcome, HTTP_OK);
		cr_expect_eq(hold.outcome, HTTP_OK);
		cr_expect_eq(order.outcome, HTTP_NOT_SENT, "kept %d: %d", kept,
			     order.outcome);
		http_client_stop(client);
		n = fake_request_count(f);
		for (i = 0; i < n; i++)
			cr_expect_null(strstr(fake_wait(f, i)->head, "/order "),
				       "kept %d: the order arrived", kept);
		fake_stop(f);
	}
}

/*
 * Guards against the same over either transport: the client's thread gets no
 * processor time between the begin of a request and its first byte.
 */
TEST_TRANSPORTS(nothing_leaves_if_the_deadline_passes_meanwhile)
{
	static const struct fake_step steps[] = {{FAKE_ANSWER, 200, "a"},
						 {FAKE_ANSWER, 200, "b"},
						 {FAKE_ANSWER, 200, "c"}};
	struct http_client *client;
	struct call other, order;
	struct fake *f;
	int kept;

	for (kept = 0; kept < 2; kept++) {
		struct gate ended = GATE;

		f = fake_start(steps, NELEMS(steps));
		client = client_start(direct);
		if (kept) {
			/* Leaves a connection for the order. */
			call_set(&other, fake_port(f), "o", LONG_MS, &ended);
			cr_assert(http_client_send(client, &other.http));
			gate_wait(&ended, 1);
		}
		call_set(&order, fake_port(f), "order", SHORT_MS / 5, &ended);
		order.outlast = &order;
		order.http.build = call_build;
		cr_assert(http_client_send(client, &order.http));
		gate_wait(&ended, kept + 1);
		cr_expect_eq(order.outcome, HTTP_NOT_SENT, "kept %d: %d", kept,
			     order.outcome);
		call_set(&other, fake_port(f), "o", LONG_MS, &ended);
		cr_assert(http_client_send(client, &other.http));
		gate_wait(&ended, kept + 2);
		cr_expect_eq(other.outcome, HTTP_OK);
		cr_expect_eq(fake_request_count(f), kept + 1,
			     "kept %d: the order arrived", kept);
		http_client_stop(client);
		fake_stop(f);
	}
}

/*
 * Guards against sending an order on a connection that is established after the
 * deadline.  The order's connection hangs, and is accepted while the client's
 * thread gets no processor time and the deadline passes.  The server must not
 * receive a byte, even if libcurl, which reads the clock once per round, hasn't
 * noticed yet that the deadline has passed ("unnoticed").
 */
TEST_TRANSPORTS(a_late_connection_carries_nothing)
{
	static const struct fake_step steps[] = {{FAKE_HOLD, 200, "a"}};
	struct http_client *client;
	struct call order, hold;
	struct fake *f;
	uint16_t port;
	char byte;
	int hanging[2], unnoticed;

	for (unnoticed = 0; unnoticed < 2; unnoticed++) {
		struct gate ended = GATE;

		f = fake_start(steps, NELEMS(steps));
		port = fake_hanging_port(hanging);
		client = client_start(direct);
		/* The kernel repeats the SYN after a second. */
		call_set(&order, port, "order", (unnoticed ? 10 : 3) * SHORT_MS,
			 &ended);
		call_set(&hold, fake_port(f), "hold", LONG_MS, &ended);
		hold.outlast = unnoticed ? NULL : &order;
		hold.expire = unnoticed ? &order : NULL;
		hold.listener = hanging[0];
		cr_assert(http_client_send(client, &order.http));
		cr_assert(http_client_send(client, &hold.http));
		/*
		 * The order was started before this request, so it is
		 * connecting by now.
		 */
		cr_assert(fake_wait(f, 0));
		fake_release(f, 0);
		gate_wait(&ended, 2);
		cr_expect_eq(order.outcome, HTTP_NOT_SENT, "unnoticed %d: %d",
			     unnoticed, order.outcome);
		cr_assert_geq(hold.accepted, 0, "no connection arrived");
		http_client_stop(client);
		cr_expect_leq(recv(hold.accepted, &byte, 1, 0), 0,
			      "unnoticed %d: a byte arrived", unnoticed);
		close(hold.accepted);
		close(hanging[0]);
		close(hanging[1]);
		fake_stop(f);
	}
}

/*
 * The age of the connection that carried a request has to be reported, also for
 * a request without an answer.  Without it, a start that only an earlier
 * instance of the worker can have received is taken for one that any instance
 * may still run late.
 */
TEST_TRANSPORTS(tells_how_old_the_connection_is)
{
	static const struct fake_step steps[] = {{FAKE_ANSWER, 200, "a"},
						 {FAKE_HOLD, 200, "b"}};
	struct http_client *client = client_start(direct);
	struct gate ended = GATE;
	struct call first, second;
	struct fake *f = fake_start(steps, NELEMS(steps));
	int64_t before = clock_now(), between;

	call_set(&first, fake_port(f), "first", LONG_MS, &ended);
	cr_assert(http_client_send(client, &first.http));
	gate_wait(&ended, 1);
	cr_expect_geq(first.opened_at, before);
	between = clock_now();
	poll(NULL, 0, 5);
	call_set(&second, fake_port(f), "second", SHORT_MS, &ended);
	cr_assert(http_client_send(client, &second.http));
	gate_wait(&ended, 2);
	cr_expect_eq(second.outcome, HTTP_NO_RESPONSE);
	cr_expect_eq(second.opened_at, first.opened_at);
	cr_expect_leq(second.opened_at, between);
	http_client_stop(client);
	fake_stop(f);
}

/*
 * Guards against taking a connection for older than it is: one that takes long
 * to be established may lead to a worker's process that started meanwhile, and
 * a start sent on it was taken for one that only the process before it can
 * have received.
 */
TEST_TRANSPORTS(a_connection_is_not_older_than_established)
{
	static const struct fake_step steps[] = {{FAKE_ANSWER, 200, "a"}};
	struct http_client *client = client_start(direct);
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct gate ended = GATE;
	int hanging[2], accepted;
	struct call order, next;
	int64_t admitted_at;

	call_set(&order, fake_hanging_port(hanging), "order", LONG_MS, &ended);
	call_set(&next, fake_port(f), "next", LONG_MS, &ended);
	cr_assert(http_client_send(client, &order.http));
	cr_assert(http_client_send(client, &next.http));
	/* The order was started before, and its first SYN is dropped. */
	gate_wait(&ended, 1);
	poll(NULL, 0, 5);
	admitted_at = clock_now();
	close(accept(hanging[0], NULL, NULL));
	accepted = accept(hanging[0], NULL, NULL);
	cr_assert_geq(accepted, 0);
	poll(&(struct pollfd){.fd = accepted, .events = POLLIN}, 1, WAIT_MS);
	close(accepted);
	gate_wait(&ended, 2);
	cr_expect_eq(order.outcome, HTTP_NO_RESPONSE);
	cr_expect_geq(order.opened_at, admitted_at, "%lld ms before",
		      (long long)(admitted_at - order.opened_at));
	http_client_stop(client);
	fake_stop(f);
	close(hanging[0]);
	close(hanging[1]);
}

/* Sends a call and returns its outcome. */
static enum http_outcome call_once(struct http_client *client, struct call *c,
				   uint16_t port, const char *queue)
{
	struct gate ended = GATE;

	call_set(c, port, "once", LONG_MS, &ended);
	free(c->http.queue_name);
	c->http.queue_name = xstrdup(queue);
	cr_assert(http_client_send(client, &c->http));
	gate_wait(&ended, 1);
	return c->outcome;
}

/*
 * Guards against two faults when a peer closes idle connections: the next
 * request fails, or the client's thread spins on a socket that stays readable.
 */
TEST_TRANSPORTS(a_connection_closed_while_idle_is_replaced)
{
	static const char whole[] = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
				    "\r\na";
	static const struct fake_step steps[] = {{FAKE_RAW, 200, whole},
						 {FAKE_ANSWER, 200, "b"},
						 {FAKE_ANSWER, 200, "c"}};
	struct http_client *client = client_start(direct);
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct call c;
	int64_t used;

	cr_expect_eq(call_once(client, &c, fake_port(f), "q"), HTTP_OK);
	cr_expect_eq(call_once(client, &c, fake_port(f), "q"), HTTP_OK);
	cr_expect_eq(call_once(client, &c, fake_port(f), "q"), HTTP_OK);
	fake_stop(f);
	used = http_client_cpu_ms(client);
	poll(NULL, 0, 300);
	cr_expect_leq(http_client_cpu_ms(client) - used, 100);
	http_client_stop(client);
}

/*
 * Guards against taking a request as not carried out that was received twice:
 * the server carries out the first copy and closes the connection, and refuses
 * the second copy.
 */
static const struct {
	const char *method;
	enum fake_action first; /* what happens to the first copy */
	int status;		/* response to the second copy */
	enum http_outcome outcome;
} repeated_rows[] = {
	{"POST", FAKE_RESET, 200, HTTP_OK},
	{"POST", FAKE_RESET, 503, HTTP_NO_RESPONSE},
	{"POST", FAKE_RESET, 429, HTTP_NO_RESPONSE},
	{"POST", FAKE_RESET, 409, HTTP_NO_RESPONSE},
	{"POST", FAKE_RESET, 412, HTTP_NO_RESPONSE},
	{"POST", FAKE_RESET, 421, HTTP_NO_RESPONSE},
	{"POST", FAKE_RAW, 503, HTTP_NO_RESPONSE}, /* closed, not reset */
	{"PUT", FAKE_RESET, 412, HTTP_NO_RESPONSE},
	{"DELETE", FAKE_RESET, 404, HTTP_NO_RESPONSE},
	{"GET", FAKE_RESET, 410, HTTP_OK}, /* a reading has no effect */
};
Test(http_client, refusal_of_a_second_copy_is_no_outcome, .timeout = 60)
{
	struct http_client *client;
	struct gate ended;
	struct fake *f;
	struct call c;
	size_t i;

	for (i = 0; i < NELEMS(repeated_rows); i++) {
		const struct fake_step steps[] = {
			{FAKE_ANSWER, 200, "a"},
			{repeated_rows[i].first, 200, ""},
			{FAKE_ANSWER, repeated_rows[i].status, "b"},
			{FAKE_ANSWER, 503, "c"}};

		client = client_start(false);
		f = fake_start(steps, NELEMS(steps));
		cr_expect_eq(call_once(client, &c, fake_port(f), "q"), HTTP_OK);
		ended = (struct gate)GATE;
		call_set(&c, fake_port(f), "twice", LONG_MS, &ended);
		free(c.http.queue_name);
		c.http.queue_name = xstrdup("q");
		c.http.method = repeated_rows[i].method;
		cr_assert(http_client_send(client, &c.http));
		gate_wait(&ended, 1);
		cr_expect_eq(fake_request_count(f), 3, "row %zu", i);
		cr_expect_eq(c.outcome, repeated_rows[i].outcome, "row %zu", i);
		/* The refusal of a request that was received once is one. */
		cr_expect_eq(call_once(client, &c, fake_port(f), "q"), HTTP_OK);
		http_client_stop(client);
		fake_stop(f);
	}
}

/*
 * Guards against reporting the older of the connections of a request that was
 * sent twice.  The younger one may lead to a later process of the worker, which
 * may carry its copy out late.  The first copy goes to the younger connection,
 * as the other one is busy, and the second to the older one.
 */
Test(http_client, tells_the_younger_connection_of_two_copies, .timeout = 60)
{
	static const struct fake_step steps[] = {
		{FAKE_HOLD, 200, "a"},	      {FAKE_HOLD, 200, "b"},
		{FAKE_HOLD, 200, "c"},	      {FAKE_HOLD_RESET, 200, ""},
		{FAKE_ANSWER, 200, "second"},
	};
	struct http_client *client = client_start(false);
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct gate ended = GATE;
	struct call calls[4];
	size_t i;

	for (i = 0; i < NELEMS(calls); i++) {
		call_set(&calls[i], fake_port(f), "order", LONG_MS, &ended);
		cr_assert(http_client_send(client, &calls[i].http));
		cr_assert(fake_wait(f, i));
		poll(NULL, 0, 5); /* connections of different ages */
		if (i != 1)
			continue;
		fake_release(f, 0);
		fake_release(f, 1);
		gate_wait(&ended, 2);
	}
	cr_assert_lt(calls[0].opened_at, calls[1].opened_at);
	cr_assert_eq(fake_wait(f, 3)->connection, 2);
	fake_release(f, 2);
	gate_wait(&ended, 3);
	fake_release(f, 3);
	gate_wait(&ended, 4);
	cr_assert_eq(fake_wait(f, 4)->connection, 1);
	cr_expect_eq(calls[3].outcome, HTTP_OK);
	cr_expect_eq(calls[3].opened_at, calls[1].opened_at);
	http_client_stop(client);
	fake_stop(f);
}

/*
 * Guards against an outcome that comes long after the deadline because the
 * request was sent twice: libcurl starts the timeout anew with the second copy,
 * and whatever waits for the outcome would wait on.  A request with a later
 * deadline must not end before it.
 */
Test(http_client, a_second_copy_does_not_extend_the_deadline, .timeout = 60)
{
	static const struct fake_step steps[] = {{FAKE_ANSWER, 200, "a"},
						 {FAKE_HOLD_RESET, 200, ""},
						 {FAKE_NO_ANSWER, 200, ""},
						 {FAKE_NO_ANSWER, 200, ""}};
	struct http_client *client = client_start(false);
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct call warm, order, later;
	struct gate ended = GATE;

	call_set(&warm, fake_port(f), "warm", LONG_MS, &ended);
	cr_assert(http_client_send(client, &warm.http));
	gate_wait(&ended, 1);
	call_set(&order, fake_port(f), "order", 4 * SHORT_MS, &ended);
	cr_assert(http_client_send(client, &order.http));
	cr_assert(fake_wait(f, 1));
	poll(NULL, 0, SHORT_MS);
	fake_release(f, 1);
	cr_assert(fake_wait(f, 2));
	call_set(&later, fake_port(f), "later", LONG_MS, &ended);
	later.http.deadline = order.http.deadline + SHORT_MS / 2;
	cr_assert(http_client_send(client, &later.http));
	gate_wait(&ended, 3);
	cr_expect_eq(order.outcome, HTTP_NO_RESPONSE);
	cr_expect_leq(order.ended_at, later.ended_at, "%lld ms after the other",
		      (long long)(order.ended_at - later.ended_at));
	http_client_stop(client);
	fake_stop(f);
}

/* Returns how many copies of a request have arrived. */
static unsigned copies_count(struct fake *f, const char *name)
{
	size_t i, n = fake_request_count(f);
	unsigned copies = 0;

	for (i = 0; i < n; i++)
		copies += strstr(fake_wait(f, i)->head, name) != NULL;
	return copies;
}

/*
 * Guards against a request without an outcome, or with a wrong one, when the
 * server resets and closes many connections, leaves requests unanswered and
 * refuses some: each has one, a request that arrived was sent, and a refusal is
 * one only if a single copy arrived.
 */
TEST_TRANSPORTS(every_request_has_one_outcome)
{
	enum { CALLS = 400, STEPS = 6 * CALLS, OUTSTANDING = 40 };
	static const enum fake_action actions[] = {
		FAKE_ANSWER, FAKE_ANSWER, FAKE_ANSWER,	  FAKE_ANSWER,
		FAKE_RESET,  FAKE_RESET,  FAKE_NO_ANSWER, FAKE_RESET_ACCEPT,
		FAKE_RAW,    FAKE_ANSWER, FAKE_TRUNCATE,  FAKE_ANSWER_TWICE};
	static struct fake_step steps[STEPS];
	static struct call calls[CALLS];
	struct http_client *client = client_start(direct);
	struct gate ended = GATE;
	uint64_t random = 1;
	unsigned i, copies;
	struct fake *f;
	char name[32];

	for (i = 0; i < STEPS; i++) {
		steps[i].action =
			actions[random_next(&random) % NELEMS(actions)];
		steps[i].status = random_next(&random) % 3 ? 200 : 503;
		steps[i].body = steps[i].action == FAKE_RAW ? "" : "a";
	}
	f = fake_start(steps, STEPS);
	for (i = 0; i < CALLS; i++) {
		snprintf(name, sizeof(name), "call%u", i);
		call_set(&calls[i], fake_port(f), name,
			 (int64_t)(random_next(&random) % 500) + 1, &ended);
		free(calls[i].http.queue_name);
		calls[i].http.queue_name = xasprintf(
			"q%u", (unsigned)(random_next(&random) % 4));
		gate_wait(&ended, i < OUTSTANDING ? 0 : i - OUTSTANDING);
		cr_assert(http_client_send(client, &calls[i].http));
	}
	gate_wait(&ended, CALLS);
	http_client_stop(client);
	cr_expect_eq(ended.count, CALLS);
	for (i = 0; i < CALLS; i++) {
		snprintf(name, sizeof(name), "/call%u ", i);
		copies = copies_count(f, name);
		if (calls[i].outcome == HTTP_NOT_SENT)
			cr_expect_eq(copies, 0, "%s", name);
		if (direct)
			cr_expect_leq(copies, 1, "%s", name);
		if (calls[i].outcome == HTTP_OK && calls[i].status >= 300)
			cr_expect_eq(copies, 1, "%s", name);
	}
	fake_stop(f);
}

/*
 * Guards against losing requests or connections when there are more queues than
 * one shard holds.
 */
TEST_TRANSPORTS(many_queues_keep_their_connections)
{
	enum { QUEUES = 70 };
	static struct fake_step steps[2 * QUEUES];
	struct http_client *client = client_start(direct);
	struct fake *f;
	struct call c;
	char name[16];
	size_t i;

	for (i = 0; i < NELEMS(steps); i++)
		steps[i] = (struct fake_step){FAKE_ANSWER, 200, "a"};
	f = fake_start(steps, NELEMS(steps));
	for (i = 0; i < NELEMS(steps); i++) {
		snprintf(name, sizeof(name), "q%zu", i % QUEUES);
		cr_assert_eq(call_once(client, &c, fake_port(f), name), HTTP_OK,
			     "call %zu", i);
	}
	for (i = 0; i < NELEMS(steps); i++)
		cr_expect_leq(fake_wait(f, i)->connection, QUEUES);
	http_client_stop(client);
	fake_stop(f);
}

/*
 * Guards against requests that start late, never or too early after they waited
 * for a free connection or for their start time.
 */
TEST_TRANSPORTS(waits_for_a_place_and_for_its_time)
{
	static const struct {
		const char *name;
		int64_t start_ms;
		int64_t timeout_ms;
		enum http_outcome outcome;
	} rows[] = {
		{"at once", 0, LONG_MS, HTTP_OK},
		{"after a while", 100, LONG_MS, HTTP_OK},
		{"out of time before its time", 400, 100, HTTP_NOT_SENT},
	};
	static const struct fake_step steps[] = {{FAKE_ANSWER, 200, "a"},
						 {FAKE_ANSWER, 200, "b"}};
	struct http_client *client = client_start(direct);
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct call c;
	int64_t from;
	size_t i;

	for (i = 0; i < NELEMS(rows); i++) {
		struct gate ended = GATE;

		call_set(&c, fake_port(f), "timed", rows[i].timeout_ms, &ended);
		from = clock_now();
		c.http.start_at = from + rows[i].start_ms;
		cr_assert(http_client_send(client, &c.http));
		gate_wait(&ended, 1);
		cr_expect_eq(c.outcome, rows[i].outcome, "%s", rows[i].name);
		if (rows[i].outcome == HTTP_OK)
			cr_expect_geq(clock_now(), from + rows[i].start_ms,
				      "%s", rows[i].name);
	}
	http_client_stop(client);
	fake_stop(f);
}

/*
 * Guards against carrying out a request twice: a connection that ends without a
 * response doesn't tell whether the request was carried out, so it isn't sent
 * again on another one.
 */
Test(http_client, a_direct_request_is_sent_once, .timeout = 60)
{
	static const struct {
		const char *method;
		enum fake_action action;
		enum http_outcome outcome;
	} rows[] = {
		{"POST", FAKE_RESET, HTTP_NO_RESPONSE},
		{"POST", FAKE_RAW, HTTP_NO_RESPONSE}, /* closed, not reset */
		{"POST", FAKE_TRUNCATE, HTTP_NO_RESPONSE},
		{"PUT", FAKE_RESET, HTTP_NO_RESPONSE},
		{"GET", FAKE_RESET, HTTP_NO_RESPONSE},
	};
	struct http_client *client;
	struct fake *f;
	struct call c;
	size_t i;

	for (i = 0; i < NELEMS(rows); i++) {
		const struct fake_step steps[] = {{FAKE_ANSWER, 200, "a"},
						  {rows[i].action, 200, ""},
						  {FAKE_ANSWER, 200, "b"}};
		struct gate ended = GATE;

		client = client_start(true);
		f = fake_start(steps, NELEMS(steps));
		cr_expect_eq(call_once(client, &c, fake_port(f), "q"), HTTP_OK);
		call_set(&c, fake_port(f), "once", LONG_MS, &ended);
		free(c.http.queue_name);
		c.http.queue_name = xstrdup("q");
		c.http.method = rows[i].method;
		cr_assert(http_client_send(client, &c.http));
		gate_wait(&ended, 1);
		cr_expect_eq(c.outcome, rows[i].outcome, "row %zu: %d", i,
			     c.outcome);
		cr_expect_eq(fake_request_count(f), 2, "row %zu", i);
		cr_expect_eq(call_once(client, &c, fake_port(f), "q"), HTTP_OK);
		http_client_stop(client);
		fake_stop(f);
	}
}

/*
 * Guards against leaving a request that must not arrive late to an open
 * connection, whose server may be unreachable by now, and against keeping the
 * connection of each such request open: they would use up the descriptors.
 */
TEST_TRANSPORTS(a_request_gets_a_connection_of_its_own)
{
	static const struct fake_step steps[] = {{FAKE_ANSWER, 200, "a"},
						 {FAKE_ANSWER, 200, "b"},
						 {FAKE_ANSWER, 200, "c"},
						 {FAKE_ANSWER, 200, "d"}};
	static const unsigned connections[] = {1, 2, 3, 2};
	struct http_client *client = client_start(direct);
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct call c;
	size_t i;

	for (i = 0; i < NELEMS(steps); i++) {
		struct gate ended = GATE;

		call_set(&c, fake_port(f), "call", LONG_MS, &ended);
		c.http.new_connection = i % 2 == 0;
		cr_assert(http_client_send(client, &c.http));
		gate_wait(&ended, 1);
		cr_expect_eq(c.outcome, HTTP_OK, "call %zu", i);
		cr_expect_eq(fake_wait(f, i)->connection, connections[i],
			     "call %zu", i);
	}
	http_client_stop(client);
	fake_stop(f);
}

/*
 * Guards against reusing a connection after a request on it, or on an older one
 * of its queue, had no answer in time: it may be silent for good, and each use
 * would cost another timeout.
 */
TEST_TRANSPORTS(a_timeout_ends_the_use_of_older_connections)
{
	static const struct fake_step steps[] = {{FAKE_HOLD, 200, "a"},
						 {FAKE_HOLD, 200, "b"},
						 {FAKE_NO_ANSWER, 200, ""},
						 {FAKE_ANSWER, 200, "c"}};
	struct http_client *client = client_start(direct);
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct call pair[2], lost, next;
	struct gate ended = GATE;
	size_t i;

	for (i = 0; i < NELEMS(pair); i++) {
		call_set(&pair[i], fake_port(f), "pair", LONG_MS, &ended);
		cr_assert(http_client_send(client, &pair[i].http));
		cr_assert(fake_wait(f, i));
	}
	fake_release(f, 0);
	fake_release(f, 1);
	gate_wait(&ended, 2);
	call_set(&lost, fake_port(f), "lost", SHORT_MS, &ended);
	cr_assert(http_client_send(client, &lost.http));
	gate_wait(&ended, 3);
	cr_expect_eq(lost.outcome, HTTP_NO_RESPONSE);
	cr_expect_leq(fake_wait(f, 2)->connection, 2);
	call_set(&next, fake_port(f), "next", LONG_MS, &ended);
	cr_assert(http_client_send(client, &next.http));
	gate_wait(&ended, 4);
	cr_expect_eq(next.outcome, HTTP_OK);
	cr_expect_eq(fake_wait(f, 3)->connection, 3);
	http_client_stop(client);
	fake_stop(f);
}

/*
 * Guards against taking a truncated, malformed or overlong response for a whole
 * one, and against reading a whole one wrongly because of how it is framed.
 */
TEST_TRANSPORTS(reads_responses_as_they_are_framed)
{
	static const struct {
		const char *name, *raw;
		enum http_outcome outcome;
		long status;
		uint32_t retry_after_ms;
		const char *body;
	} rows[] = {
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		 HTTP_OK, 200, 0, "ab"},
		{"chunks",
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
		 HTTP_OK, 200, 0, "ab"},
		{"interim response",
		 "HTTP/1.1 103 Early\r\nRetry-After: 9\r\n\r\n"
		 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
		 HTTP_OK, 200, 0, "a"},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", HTTP_OK, 204,
		 0, ""},
		{"refusal with a time",
		 "HTTP/1.1 503 Busy\r\nretry-after: 1.5 \r\n"
		 "Content-Length: 0\r\n\r\n",
		 HTTP_OK, 503, 1500, ""},
		{"a time that is a date",
		 "HTTP/1.1 503 Busy\r\nRetry-After: Fri, 31 Dec 1999 "
		 "23:59:59 GMT\r\nContent-Length: 0\r\n\r\n",
		 HTTP_OK, 503, 0, ""},
		{"a longer name",
		 "HTTP/1.1 503 Busy\r\nRetry-After-Extended: 5\r\n"
		 "Content-Length: 0\r\n\r\n",
		 HTTP_OK, 503, 0, ""},
		{"truncated body",
		 "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
		 HTTP_NO_RESPONSE, 0, 0, NULL},
		{"truncated chunk",
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "3\r\nab",
		 HTTP_NO_RESPONSE, 0, 0, NULL},
		{"truncated headers", "HTTP/1.1 200 OK\r\nContent-Le",
		 HTTP_NO_RESPONSE, 0, 0, NULL},
		{"interim only", "HTTP/1.1 100 Continue\r\n\r\n",
		 HTTP_NO_RESPONSE, 0, 0, NULL},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nab", HTTP_INVALID, 0, 0,
		 NULL},
		{"no HTTP", "SSH-2.0-x\r\n", HTTP_INVALID, 0, 0, NULL},
		{"too long",
		 "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789",
		 HTTP_INVALID, 0, 0, NULL},
	};
	struct http_client *client;
	struct fake *f;
	struct call c;
	size_t i;

	for (i = 0; i < NELEMS(rows); i++) {
		const struct fake_step raw = {FAKE_RAW, 200, rows[i].raw};
		struct gate ended = GATE;

		client = client_start(direct);
		f = fake_start(&raw, 1);
		call_set(&c, fake_port(f), "framed", LONG_MS, &ended);
		c.http.max_response = 8;
		cr_assert(http_client_send(client, &c.http));
		gate_wait(&ended, 1);
		cr_expect_eq(c.outcome, rows[i].outcome, "%s: %d", rows[i].name,
			     c.outcome);
		if (c.outcome == HTTP_OK) {
			cr_expect_eq(c.status, rows[i].status, "%s",
				     rows[i].name);
			cr_expect_eq(c.retry_after_ms, rows[i].retry_after_ms,
				     "%s: %u", rows[i].name, c.retry_after_ms);
			cr_expect_str_eq(c.text, rows[i].body, "%s",
					 rows[i].name);
		}
		http_client_stop(client);
		fake_stop(f);
	}
}

/*
 * Guards against reading a response wrongly that arrives in many parts, and
 * against taking what follows it for the response to the next request.
 */
TEST_TRANSPORTS(reads_responses_in_parts)
{
	static const struct fake_step steps[] = {
		{FAKE_ANSWER_BYTEWISE, 503, "part", "Retry-After: 2\r\n"},
		{FAKE_ANSWER_TWICE, 200, "twice"},
		{FAKE_ANSWER, 200, "last"}};
	static const char *const texts[] = {"part", "twice", "last"};
	struct http_client *client = client_start(direct);
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct call c;
	size_t i;

	for (i = 0; i < NELEMS(steps); i++) {
		cr_expect_eq(call_once(client, &c, fake_port(f), "q"), HTTP_OK);
		cr_expect_str_eq(c.text, texts[i]);
		cr_expect_eq(c.status, steps[i].status);
		cr_expect_eq(c.retry_after_ms, i ? 0 : 2000);
	}
	http_client_stop(client);
	fake_stop(f);
}

/* Of the sanitizer's runtime; gcc has no header with it. */
extern int __sanitizer_install_malloc_and_free_hooks(
	void (*allocate)(const volatile void *, size_t),
	void (*release)(const volatile void *));

/* Memory allocations of a thread. */
static _Thread_local unsigned allocations;

/* Hook of the sanitizer: memory is allocated. */
static void allocation_count(const volatile void *p, size_t size)
{
	(void)p;
	(void)size;
	allocations++;
}

/* Hook of the sanitizer: memory is freed. */
static void release_ignore(const volatile void *p)
{
	(void)p;
}

/* A request that is sent again until enough responses have come. */
struct repeated_call {
	struct call call;
	unsigned left;
	unsigned begin; /* of the allocations, when the connection was open */
	unsigned spent;
};

/* Sends a request again, and counts what the client's thread allocated. */
static struct http_request *repeated_done(struct http_request *r,
					  const struct http_response *res)
{
	struct repeated_call *c = (struct repeated_call *)r;

	cr_assert_eq(res->outcome, HTTP_OK);
	if (!c->begin)
		c->begin = allocations;
	if (c->left--)
		return r;
	c->spent = allocations - c->begin;
	http_request_clear(r);
	gate_open(c->call.ended);
	return NULL;
}

/*
 * Guards against an owner that runs out of processor time because each exchange
 * with a worker is set up anew: a class of work is then started late for as
 * long as its demand lasts. Allocations stand for the cost, as they are the
 * same in each run.
 */
Test(http_client, an_exchange_on_an_open_connection_costs_little, .timeout = 60)
{
	enum { EXCHANGES = 50, ALLOCATIONS_MAX = 4 };
	static struct fake_step steps[EXCHANGES + 2];
	struct repeated_call c = {.left = EXCHANGES};
	struct http_client *client;
	struct gate ended = GATE;
	struct fake *f;
	size_t i;

	for (i = 0; i < NELEMS(steps); i++)
		steps[i] = (struct fake_step){FAKE_ANSWER, 200, "a"};
	__sanitizer_install_malloc_and_free_hooks(allocation_count,
						  release_ignore);
	f = fake_start(steps, NELEMS(steps));
	client = client_start(true);
	call_set(&c.call, fake_port(f), "many", LONG_MS, &ended);
	c.call.http.done = repeated_done;
	cr_assert(http_client_send(client, &c.call.http));
	gate_wait(&ended, 1);
	cr_expect_leq(c.spent, EXCHANGES * ALLOCATIONS_MAX, "%u", c.spent);
	http_client_stop(client);
	fake_stop(f);
}
