/*
 * The budget of requests in progress: what is refused, which connections are
 * closed to make room, and what is held afterwards. Times are injected.
 */
#include "../intake.h"

#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNS 5
#define STEPS 16
#define KB 1024
/* Budget of the cases; an eighth of it is left to small requests. */
#define BUDGET (512 * KB)

enum op {
	OP_END,
	OP_OPEN,
	OP_BEGIN,
	OP_APPEND,
	OP_COMPLETE,
	OP_CHARGE,
	OP_REPLY,
	OP_FINISH,
	OP_CLOSE,
	OP_DETACH,
	OP_SWEEP
};

/* What happens at a time (ms) on a connection, and its result. */
struct intake_step {
	int64_t at;
	enum op op;
	unsigned conn;
	size_t bytes;
	enum intake_result result;
};

/*
 * cut and surplus have a character for each connection: 'x' for one that has
 * been closed under pressure or in excess. used is what is held in the end.
 */
struct intake_case {
	const char *name;
	uint32_t max_connections, receive_ms;
	struct intake_step steps[STEPS];
	const char *cut, *surplus;
	size_t used;
};

/* Begins a request on a new connection and receives so many bytes. */
#define RECEIVED(at, conn, bytes)                  \
	{at, OP_OPEN, conn}, {at, OP_BEGIN, conn}, \
	{                                          \
		at, OP_APPEND, conn, bytes         \
	}
/* The same of a request that is whole and takes so many bytes. */
#define PENDING(at, conn, bytes)                                            \
	{at, OP_OPEN, conn}, {at, OP_BEGIN, conn}, {at, OP_COMPLETE, conn}, \
	{                                                                   \
		at, OP_CHARGE, conn, bytes                                  \
	}

static const struct intake_case cases[] = {
	{"what is received is held until the end",
	 4,
	 0,
	 {RECEIVED(0, 0, 1000), {1, OP_APPEND, 0, 1000}},
	 "-----",
	 "-----",
	 2 * KB},
	{"a finished request holds nothing",
	 4,
	 0,
	 {PENDING(0, 0, 9000), {1, OP_REPLY, 0, 100}, {2, OP_FINISH, 0}},
	 "-----",
	 "-----",
	 0},
	{"a closed connection holds nothing",
	 4,
	 0,
	 {RECEIVED(0, 0, 1000), {1, OP_CLOSE, 0}},
	 "-----",
	 "-----",
	 0},
	{"of two that are as old the one that holds more goes",
	 4,
	 0,
	 {RECEIVED(0, 0, 128 * KB), RECEIVED(0, 1, 256 * KB),
	  RECEIVED(1, 2, 128 * KB)},
	 "-x---",
	 "-----",
	 256 * KB},
	{"of two that hold as much the older one goes",
	 4,
	 0,
	 {RECEIVED(5, 0, 128 * KB), RECEIVED(0, 1, 128 * KB),
	  RECEIVED(5, 2, 128 * KB), RECEIVED(9, 3, 128 * KB)},
	 "-x---",
	 "-----",
	 384 * KB},
	{"one that asks for more is refused if it holds most for longest",
	 4,
	 0,
	 {RECEIVED(0, 0, KB),
	  RECEIVED(90, 1, 128 * KB),
	  RECEIVED(90, 2, 128 * KB),
	  {100, OP_APPEND, 0, 255 * KB, INTAKE_FULL}},
	 "-----",
	 "-----",
	 256 * KB},
	{"a small request stays, however old it is",
	 4,
	 0,
	 {RECEIVED(0, 0, 16 * KB), RECEIVED(900, 1, 256 * KB),
	  RECEIVED(1000, 2, 256 * KB)},
	 "-x---",
	 "-----",
	 272 * KB},
	{"pending requests are not closed",
	 4,
	 0,
	 {PENDING(0, 0, 400 * KB),
	  RECEIVED(1, 1, 32 * KB),
	  {2, OP_APPEND, 1, 32 * KB, INTAKE_FULL}},
	 "-----",
	 "-----",
	 400 * KB},
	{"a small request finds room beside large ones",
	 4,
	 0,
	 {PENDING(0, 0, 448 * KB),
	  {1, OP_OPEN, 1},
	  {1, OP_BEGIN, 1},
	  {1, OP_APPEND, 1, 17 * KB, INTAKE_FULL},
	  RECEIVED(1, 2, 16 * KB)},
	 "-----",
	 "-----",
	 464 * KB},
	{"what is charged makes room for itself",
	 4,
	 0,
	 {RECEIVED(0, 0, 256 * KB),
	  RECEIVED(1, 1, 32 * KB),
	  {1, OP_COMPLETE, 1},
	  {1, OP_CHARGE, 1, 200 * KB}},
	 "x----",
	 "-----",
	 232 * KB},
	{"nobody is closed if that would not make enough room",
	 4,
	 0,
	 {PENDING(0, 0, 200 * KB),
	  RECEIVED(0, 1, 128 * KB),
	  PENDING(0, 2, KB),
	  {1, OP_CHARGE, 2, 300 * KB, INTAKE_FULL}},
	 "-----",
	 "-----",
	 329 * KB},
	{"what never fits is told from what doesn't fit now",
	 4,
	 0,
	 {{0, OP_OPEN, 0},
	  {0, OP_BEGIN, 0},
	  {0, OP_APPEND, 0, 449 * KB, INTAKE_TOO_LARGE},
	  RECEIVED(0, 1, KB),
	  {0, OP_COMPLETE, 1},
	  {0, OP_CHARGE, 1, BUDGET, INTAKE_TOO_LARGE}},
	 "-----",
	 "-----",
	 KB},
	{"a closed one can't go on",
	 4,
	 0,
	 {RECEIVED(0, 0, 256 * KB),
	  RECEIVED(1, 1, 256 * KB),
	  {2, OP_APPEND, 0, 1, INTAKE_CUT}},
	 "x----",
	 "-----",
	 256 * KB},
	{"a reply that nobody reads makes room",
	 4,
	 0,
	 {PENDING(0, 0, KB),
	  {1, OP_REPLY, 0, 400 * KB},
	  RECEIVED(9, 1, 128 * KB)},
	 "x----",
	 "-----",
	 128 * KB},
	{"a reply counts beyond the budget",
	 4,
	 0,
	 {PENDING(0, 0, 440 * KB),
	  PENDING(0, 1, KB),
	  {1, OP_REPLY, 1, 100 * KB}},
	 "-----",
	 "-----",
	 540 * KB},
	{"what was detached counts on",
	 4,
	 0,
	 {PENDING(0, 0, 9 * KB), {1, OP_DETACH, 0, 9 * KB}, {1, OP_CLOSE, 0}},
	 "-----",
	 "-----",
	 9 * KB},
	{"of idle connections the oldest makes room for a new one",
	 2,
	 0,
	 {{0, OP_OPEN, 0}, {1, OP_OPEN, 1}, {2, OP_OPEN, 2}, {3, OP_OPEN, 3}},
	 "xx---",
	 "-----",
	 0},
	{"so does one that has sent a part of its request",
	 2,
	 0,
	 {RECEIVED(0, 0, KB), {1, OP_OPEN, 1}, {2, OP_OPEN, 2}},
	 "x----",
	 "-----",
	 0},
	{"a request renews the age of its connection",
	 2,
	 0,
	 {PENDING(0, 0, KB),
	  {1, OP_OPEN, 1},
	  {5, OP_FINISH, 0},
	  {6, OP_OPEN, 2}},
	 "-x---",
	 "-----",
	 0},
	{"a connection beside pending requests only is in excess",
	 2,
	 0,
	 {PENDING(0, 0, KB), PENDING(0, 1, KB), {1, OP_OPEN, 2}},
	 "-----",
	 "--x--",
	 2 * KB},
	{"one in excess leaves the limit as it is",
	 2,
	 0,
	 {PENDING(0, 0, KB),
	  PENDING(0, 1, KB),
	  {1, OP_OPEN, 2},
	  {2, OP_FINISH, 0},
	  {3, OP_OPEN, 3}},
	 "x----",
	 "--x--",
	 KB},
	{"a byte now and then doesn't renew the deadline",
	 4,
	 1000,
	 {RECEIVED(0, 0, 10),
	  {999, OP_APPEND, 0, 1},
	  {999, OP_SWEEP},
	  RECEIVED(999, 1, 10),
	  {1000, OP_APPEND, 0, 1},
	  {1000, OP_SWEEP}},
	 "x----",
	 "-----",
	 KB},
	{"nor does a connection stay that never sends a head",
	 4,
	 1000,
	 {{0, OP_OPEN, 0}, {1, OP_OPEN, 1}, {1000, OP_SWEEP}},
	 "x----",
	 "-----",
	 0},
	{"a pending request has the time limits of its listener",
	 4,
	 1000,
	 {PENDING(0, 0, KB), {9999, OP_SWEEP}},
	 "-----",
	 "-----",
	 KB},
	{"a reply has a deadline too",
	 4,
	 1000,
	 {PENDING(0, 0, KB),
	  {500, OP_REPLY, 0, KB},
	  {1499, OP_SWEEP},
	  PENDING(1499, 1, KB),
	  {1500, OP_SWEEP}},
	 "x----",
	 "-----",
	 KB},
};

/* The connections of a case, each with the client's end of its socket. */
struct world {
	struct intake *intake;
	struct intake_gate *gate;
	struct intake_conn *conns[CONNS];
	int fds[CONNS][2];
};

/* Opens a connection. */
static void world_open(struct world *w, unsigned i, int64_t at)
{
	cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, w->fds[i]), 0);
	w->conns[i] = intake_open(w->gate, w->fds[i][0], at);
}

/* Closes a connection. */
static void world_close(struct world *w, unsigned i)
{
	if (!w->conns[i])
		return;
	intake_close(w->conns[i]);
	w->conns[i] = NULL;
	close(w->fds[i][0]);
	close(w->fds[i][1]);
}

/* Takes a step; returns its result. */
static enum intake_result world_step(struct world *w,
				     const struct intake_step *s)
{
	static const char zeros[BUDGET];
	struct intake_conn *conn = w->conns[s->conn];
	bstr data;

	switch (s->op) {
	case OP_OPEN:
		world_open(w, s->conn, s->at);
		break;
	case OP_BEGIN:
		intake_begin(conn, s->at);
		break;
	case OP_APPEND:
		return intake_append(conn, zeros, s->bytes, s->at);
	case OP_COMPLETE:
		return intake_complete(conn, &data) ? INTAKE_OK : INTAKE_CUT;
	case OP_CHARGE:
		return intake_charge(conn, s->bytes, s->at);
	case OP_REPLY:
		intake_reply(conn, s->bytes, s->at);
		break;
	case OP_FINISH:
		intake_finish(conn, s->at);
		break;
	case OP_CLOSE:
		world_close(w, s->conn);
		break;
	case OP_DETACH:
		cr_expect_eq(intake_detach(conn), s->bytes);
		break;
	case OP_SWEEP:
		intake_sweep(w->intake, s->at);
		break;
	case OP_END:
		break;
	}
	return INTAKE_OK;
}

/* Returns true if the client's end of a connection has been shut down. */
static bool world_cut(const struct world *w, unsigned i)
{
	char byte;

	return w->conns[i] && recv(w->fds[i][1], &byte, 1, MSG_DONTWAIT) == 0;
}

static void case_run(const struct intake_case *c)
{
	struct world w = {.intake = intake_new(BUDGET)};
	const struct intake_step *s;
	unsigned i;

	w.gate = intake_gate_new(w.intake, c->max_connections, c->receive_ms);
	for (s = c->steps; s < c->steps + STEPS && s->op != OP_END; s++)
		cr_expect_eq(world_step(&w, s), s->result, "%s: step %zd",
			     c->name, s - c->steps);
	cr_expect_eq(intake_used(w.intake), c->used, "%s: %zu bytes held",
		     c->name, intake_used(w.intake));
	for (i = 0; i < CONNS; i++) {
		cr_expect_eq(world_cut(&w, i), c->cut[i] == 'x',
			     "%s: connection %u", c->name, i);
		if (w.conns[i])
			cr_expect_eq(intake_is_surplus(w.conns[i]),
				     c->surplus[i] == 'x', "%s: excess of %u",
				     c->name, i);
		world_close(&w, i);
	}
	intake_free(w.intake);
}

Test(intake, cases)
{
	size_t i;

	for (i = 0; i < NELEMS(cases); i++)
		case_run(&cases[i]);
}

/* What was detached is released when its request has been processed. */
Test(intake, settles_what_was_detached)
{
	struct intake *in = intake_new(BUDGET);
	struct intake_conn *conn;
	bstr data;

	conn = intake_open(intake_gate_new(in, 1, 0), -1, 0);
	intake_begin(conn, 0);
	cr_expect(intake_complete(conn, &data));
	cr_expect_eq(intake_charge(conn, 5000, 0), INTAKE_OK);
	cr_expect_eq(intake_detach(conn), 5000);
	intake_close(conn);
	cr_expect_eq(intake_used(in), 5000);
	intake_settle(in, 5000);
	cr_expect_eq(intake_used(in), 0);
	intake_free(in);
}

/* The data of many appends, large and small, is what was sent. */
Test(intake, keeps_the_data)
{
	static const size_t sizes[] = {1, 1023, 1, 40000, 100000, 7, 150000};
	struct intake *in = intake_new(BUDGET);
	struct intake_conn *conn;
	char text[150000];
	size_t i, k, total = 0;
	bstr data;

	conn = intake_open(intake_gate_new(in, 1, 0), -1, 0);
	intake_begin(conn, 0);
	for (i = 0; i < NELEMS(sizes); i++) {
		for (k = 0; k < sizes[i]; k++)
			text[k] = (char)((total + k) % 251);
		cr_assert_eq(intake_append(conn, text, sizes[i], 0), INTAKE_OK);
		total += sizes[i];
	}
	cr_assert(intake_complete(conn, &data));
	cr_assert_eq(data.bstr_len, total);
	for (k = 0; k < total; k++)
		cr_assert_eq(data.bstr_val[k], (char)(k % 251));
	intake_release(conn, 1000);
	cr_assert(intake_complete(conn, &data));
	cr_assert_eq(data.bstr_len, total - 1000);
	cr_expect_eq(data.bstr_val[0], (char)(1000 % 251));
	intake_close(conn);
	cr_expect_eq(intake_used(in), 0);
	intake_free(in);
}
