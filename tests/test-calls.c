#include "../json-read.h"
#include "../platform/platform.h"
#include "../sched-state.h"
#include "support-fake.h"

#include <criterion/criterion.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 30000
#define SHORT_MS 500 /* a timeout that is meant to expire */

/* Sends an ask with a deadline. */
static void ask_send(struct platform *p, enum ask_kind kind, uint16_t port,
		     int64_t until)
{
	struct sched_effect *fx = xcalloc(1, sizeof(*fx));

	fx->kind = EFFECT_ASK;
	fx->ask.kind = kind;
	fx->ask.deadline = until;
	if (kind != ASK_TX) {
		fx->ask.order.address = bstr_printf("127.0.0.1:%u", port);
		fx->ask.order.worker = bstr_new("i-1");
		fx->ask.order.task = bstr_new("00000000000000aa.0.0.0");
		fx->ask.order.machine = bstr_new("m-1");
		fx->ask.order.pool = bstr_new("rounds");
	}
	platform_send(p, fx);
}

/* Waits for the answer to an ask, and sets why it was refused. */
static enum outcome answer_wait(struct mailbox *inbox, enum refusal *refusal)
{
	int64_t until = clock_now() + TIMEOUT_MS;
	struct sched_event *ev;
	enum outcome outcome;

	while (!(ev = mailbox_take(inbox)) && clock_now() < until)
		mailbox_wait(inbox, 100);
	cr_assert_not_null(ev);
	cr_assert_eq(ev->kind, EVENT_ANSWER);
	outcome = ev->answer.outcome;
	*refusal = ev->answer.refusal;
	sched_event_free(ev);
	return outcome;
}

/* Sends an ask and returns its outcome. */
static enum outcome ask_outcome(struct platform *p, struct mailbox *inbox,
				enum ask_kind kind, uint16_t port)
{
	enum refusal refusal;

	ask_send(p, kind, port, clock_now() + TIMEOUT_MS);
	return answer_wait(inbox, &refusal);
}

/*
 * Guards against sending a second copy of an order whose connection was reset,
 * and taking its refusal for that of the first one, which may have been carried
 * out.  A refusal of the only copy is one.
 */
static const struct {
	enum ask_kind kind;
	int status;
	const char *body;
	enum outcome refused; /* of the only copy */
} copies_rows[] = {
	{ASK_START, 503, "{}", OUT_REFUSED},
	{ASK_START, 429, "{}", OUT_REFUSED},
	{ASK_START, 421, "{}", OUT_REFUSED},
	{ASK_START, 409, "{\"reason\":\"room\"}", OUT_REFUSED},
	{ASK_STOP, 503, "{}", OUT_REFUSED},
	{ASK_PACE, 503, "{}", OUT_REFUSED},
	{ASK_POLL, 409, "{\"reason\":\"fence\"}", OUT_REFUSED},
	{ASK_MOVE, 429, "{}", OUT_REFUSED},
	{ASK_MOVE, 409, "{\"reason\":\"busy\"}", OUT_REFUSED},
	{ASK_MAINTENANCE, 429, "{}", OUT_REFUSED},
	{ASK_MAINTENANCE, 409, "{\"reason\":\"wave\"}", OUT_REFUSED},
	{ASK_TX, 503, "{}", OUT_REFUSED},
	{ASK_TX, 412, "{\"rows\":[]}", OUT_CONFLICT},
};
Test(calls, an_order_without_an_answer_is_sent_once, .timeout = 60)
{
	struct platform_options o = {.advice = ""};
	struct mailbox *inbox = mailbox_new(16);
	struct platform *p;
	struct error e;
	struct fake *f;
	char *address;
	size_t i;

	error_init(&e);
	for (i = 0; i < NELEMS(copies_rows); i++) {
		const struct fake_step refused = {FAKE_ANSWER,
						  copies_rows[i].status,
						  copies_rows[i].body};
		const struct fake_step steps[] = {{FAKE_ANSWER, 200, "{}"},
						  {FAKE_RESET, 200, ""},
						  refused,
						  refused};
		enum ask_kind kind = copies_rows[i].kind;

		f = fake_start(steps, NELEMS(steps));
		address = xasprintf("127.0.0.1:%u", fake_port(f));
		o.store = o.machines = address;
		p = platform_start(&o, inbox, inbox, &e);
		cr_assert(p);
		cr_expect_eq(ask_outcome(p, inbox, kind, fake_port(f)),
			     OUT_DONE, "row %zu", i);
		cr_expect_eq(ask_outcome(p, inbox, kind, fake_port(f)),
			     OUT_UNKNOWN, "row %zu", i);
		cr_expect_eq(fake_request_count(f), 2, "row %zu", i);
		cr_expect_eq(ask_outcome(p, inbox, kind, fake_port(f)),
			     copies_rows[i].refused, "row %zu", i);
		platform_stop(p);
		fake_stop(f);
		free(address);
	}
	mailbox_free(inbox);
}

/*
 * A server that answers one request and is then cut off: nothing that is sent
 * to it later gets an acknowledgement.  What is left to the kernel on the open
 * connection arrives once the server can be reached again, also if the process
 * that sent it has been killed.
 */
struct cut_server {
	int listener;
	int filler; /* keeps the kernel from answering further connections */
	int conn;
	uint16_t port;
};

/* Starts the server, not cut off yet. */
static void cut_server_start(struct cut_server *s)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(a);

	s->listener = socket(AF_INET, SOCK_STREAM, 0);
	s->filler = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(bind(s->listener, (struct sockaddr *)&a, length), 0);
	cr_assert_eq(getsockname(s->listener, (struct sockaddr *)&a, &length),
		     0);
	cr_assert_eq(listen(s->listener, 0), 0);
	s->port = ntohs(a.sin_port);
}

/* Answers the first request, and is cut off by then. */
static void cut_server_answer(struct cut_server *s)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\n"
				     "Content-Length: 2\r\n\r\n{}";
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				.sin_port = htons(s->port)};
	struct pollfd p = {.events = POLLIN};
	char request[4096];

	p.fd = s->listener;
	cr_assert_eq(poll(&p, 1, TIMEOUT_MS), 1);
	p.fd = s->conn = accept(s->listener, NULL, NULL);
	cr_assert_eq(poll(&p, 1, TIMEOUT_MS), 1);
	cr_assert_gt(recv(s->conn, request, sizeof(request), 0), 0);
	cr_assert_eq(connect(s->filler, (struct sockaddr *)&a, sizeof(a)), 0);
	cr_assert_eq(send(s->conn, answer, strlen(answer), 0), strlen(answer));
}

/* Stops the server. */
static void cut_server_stop(struct cut_server *s)
{
	close(s->conn);
	close(s->filler);
	close(s->listener);
}

/*
 * Guards against a call about a machine that a killed owner leaves to its
 * kernel while the platform is cut off: it is carried out when the cut ends,
 * after calls of later owners, and ends what runs on the machine by then.
 */
Test(calls, no_call_about_a_machine_outlives_a_cut, .timeout = 60)
{
	static const enum ask_kind kinds[] = {ASK_MOVE, ASK_MAINTENANCE};
	struct platform_options o = {.advice = ""};
	struct mailbox *inbox = mailbox_new(16);
	struct cut_server server;
	enum refusal refusal;
	struct platform *p;
	char left[4096];
	struct error e;
	char *address;
	size_t i;

	error_init(&e);
	for (i = 0; i < NELEMS(kinds); i++) {
		cut_server_start(&server);
		address = xasprintf("127.0.0.1:%u", server.port);
		o.store = o.machines = address;
		p = platform_start(&o, inbox, inbox, &e);
		cr_assert(p);
		/* Leaves an open connection. */
		ask_send(p, ASK_MACHINES, server.port,
			 clock_now() + TIMEOUT_MS);
		cut_server_answer(&server);
		cr_assert_eq(answer_wait(inbox, &refusal), OUT_DONE);
		ask_send(p, kinds[i], server.port, clock_now() + SHORT_MS);
		cr_expect_eq(answer_wait(inbox, &refusal), OUT_REFUSED,
			     "row %zu", i);
		cr_expect_eq(refusal, REFUSAL_NOT_SENT, "row %zu", i);
		cr_expect_leq(
			recv(server.conn, left, sizeof(left), MSG_DONTWAIT), 0,
			"row %zu: a call is left", i);
		platform_stop(p);
		cut_server_stop(&server);
		free(address);
	}
	mailbox_free(inbox);
}

/* A row of a transaction, and the part that the platform has to be told. */
static const struct {
	enum table table;
	const char *key;
	const char *part;
	bool across; /* beside a row of the owner's table */
} part_rows[] = {
	{TABLE_JOBS, "00000000000000aa", "1", true},
	{TABLE_JOBS, "9000000000000001", "10", true},
	{TABLE_JOBS, "f000000000000001", "16", true},
	{TABLE_JOBS, "f000000000000001/cancel", "16", true},
	{TABLE_PROGRESS, "f000000000000001", "", false},
};

/* Returns the body of a transaction that names the row in each way. */
static json_t *named_row_body(struct platform *p, struct fake *f, size_t i,
			      size_t n)
{
	struct sched_effect *fx = xcalloc(1, sizeof(*fx));
	bstr key = bstr_lit(part_rows[i].key);
	struct tx *t = &fx->ask.tx;

	fx->kind = EFFECT_ASK;
	fx->ask.kind = ASK_TX;
	fx->ask.deadline = clock_now() + TIMEOUT_MS;
	tx_expect(t, TABLE_OWNER, bstr_lit("epoch"), 3);
	tx_expect(t, part_rows[i].table, key, 4);
	tx_write(t, part_rows[i].table, key, bstr_new("{}"));
	tx_remove(t, part_rows[i].table, key);
	platform_send(p, fx);
	return json_read(fake_wait(f, n)->body);
}

/* Returns the part of the last row in a list of a transaction. */
static const char *last_part(const json_t *body, const char *list)
{
	const json_t *rows = json_object_get(body, list);
	size_t n = json_array_size(rows);

	return n ? json_string_value(
			   json_object_get(json_array_get(rows, n - 1), "part"))
		 : NULL;
}

/* A removal names a row that isn't there, so the row stays for ever. */
Test(calls, rows_are_named_with_their_part, .timeout = 60)
{
	static const char *const lists[] = {"expected_revision", "writes",
					    "remove"};
	struct fake_step steps[NELEMS(part_rows)];
	struct platform_options o = {.advice = ""};
	struct mailbox *inbox = mailbox_new(16);
	struct sched_event *ev;
	struct platform *p;
	struct error e;
	struct fake *f;
	char *address;
	json_t *body;
	size_t i, k;

	error_init(&e);
	for (i = 0; i < NELEMS(steps); i++)
		steps[i] = (struct fake_step){FAKE_ANSWER, 200, "{}"};
	f = fake_start(steps, NELEMS(steps));
	address = xasprintf("127.0.0.1:%u", fake_port(f));
	o.store = o.machines = address;
	p = platform_start(&o, inbox, inbox, &e);
	cr_assert(p);
	for (i = 0; i < NELEMS(part_rows); i++) {
		body = named_row_body(p, f, i, i);
		for (k = 0; k < NELEMS(lists); k++)
			cr_expect_str_eq(last_part(body, lists[k]),
					 part_rows[i].part, "%s of %s",
					 lists[k], part_rows[i].key);
		cr_expect_eq(json_is_true(json_object_get(body, "across")),
			     part_rows[i].across, "%s", part_rows[i].key);
		json_decref(body);
	}
	platform_stop(p);
	fake_stop(f);
	while ((ev = mailbox_take(inbox)))
		sched_event_free(ev);
	mailbox_free(inbox);
	free(address);
}

#define ODD_ROWS 300

/* Returns a page of malformed rows of workers, and a good one at the end. */
static char *odd_page(void)
{
	static const char good[] =
		"{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\","
		"\"address\":\"10.1.0.1:80\",\"capacity\":{\"cpu\":1}}";
	json_t *list = json_array(), *page;
	char key[16], *text;
	unsigned i;

	for (i = 0; i <= ODD_ROWS; i++) {
		snprintf(key, sizeof(key), i == 7 ? "w-%u\r\nX: y" : "w-%u", i);
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:i, s:o}", "table",
				  "servers", "part", "", "key", key,
				  "record_version", (int)i + 1, "value",
				  json_write_bytes(bstr_lit(
					  i == ODD_ROWS || i == 7 ? good
								  : "{"))));
	}
	page = json_pack("{s:o, s:i}", "rows", list, "record_version", 1000);
	text = json_dumps(page, JSON_COMPACT);
	json_decref(page);
	return text;
}

/* Returns how many lines with a text were logged to a pipe. */
static unsigned lines_count(int fd, const char *text)
{
	static char log[1 << 20];
	unsigned n = 0;
	ssize_t size;
	char *p = log;

	log_flush();
	size = read(fd, log, sizeof(log) - 1);
	log[size > 0 ? size : 0] = '\0';
	while ((p = strstr(p, text))) {
		n++;
		p++;
	}
	return n;
}

/* Odd entries of another writer crowd out all other lines of the log. */
Test(calls, malformed_rows_are_logged_within_bounds, .timeout = 60)
{
	struct fake_step answer = {FAKE_ANSWER, 200, odd_page()};
	struct platform_options o = {.advice = ""};
	struct mailbox *inbox = mailbox_new(16);
	struct sched_effect *fx = xcalloc(1, sizeof(*fx));
	struct sched_event *ev = NULL;
	struct platform *p;
	unsigned i, lines;
	struct error e;
	struct fake *f;
	char *address;
	int fds[2];

	cr_assert_eq(pipe2(fds, O_NONBLOCK), 0);
	log_open_structured(fds[1], 2, "vm");
	error_init(&e);
	f = fake_start(&answer, 1);
	address = xasprintf("127.0.0.1:%u", fake_port(f));
	o.store = o.machines = address;
	p = platform_start(&o, inbox, inbox, &e);
	cr_assert(p);
	fx->kind = EFFECT_ASK;
	fx->ask.kind = ASK_GET;
	fx->ask.range.table = TABLE_WORKERS;
	fx->ask.range.limit = 500;
	fx->ask.deadline = clock_now() + TIMEOUT_MS;
	platform_send(p, fx);
	while (!(ev = mailbox_take(inbox)))
		mailbox_wait(inbox, 100);
	cr_assert_eq(ev->answer.row_count, ODD_ROWS + 1);
	for (i = 0; i < ODD_ROWS; i++)
		cr_expect_eq(ev->answer.rows[i].kind, ROW_BAD, "row %u", i);
	cr_expect_eq(ev->answer.rows[ODD_ROWS].kind, ROW_WORKER);
	lines = lines_count(fds[0], "table=servers");
	cr_expect_geq(lines, 1);
	cr_expect_leq(lines, 40, "%u", lines);
	cr_expect_eq(counter_get(COUNT_DROPPED_PLATFORM_GARBAGE), ODD_ROWS);
	sched_event_free(ev);
	platform_stop(p);
	fake_stop(f);
	mailbox_free(inbox);
	free(address);
	free((char *)answer.body);
}
