/*
 * Clients that don't behave, against the real daemons: many large bodies that
 * stop short of their end, bodies far over the limit, bodies whose tree is many
 * times their text, connections that send next to nothing. The process has to
 * live, within the memory and the descriptors of its machine, and an ordinary
 * caller beside them has to get an answer.
 *
 * Nothing here depends on how fast the machine is. Run these one at a time:
 * each of them is a load of its own.
 */
#include "support-crowd.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define CROWDS_MAX 3
#define KB 1024
#define MB (1024 * KB)
/* Of the platform's machines, 4,100 less 200 for files. */
#define DESCRIPTORS_MAX 3900
/* Of a process whose clients have all gone. */
#define DESCRIPTORS_CALM 100
#define CALM_MS 60000

/* A crowd of count clients at a listener. */
struct crowd_plan {
	size_t count;
	enum crowd_port port;
	struct crowd_script script;
};

/*
 * The machine's memory in MB is also its memory_mb where more says so. No
 * client may send more than sent_max bytes, if that isn't 0.
 */
struct crowd_case {
	enum crowd_daemon daemon;
	const char *more; /* settings */
	long memory_mb;
	size_t sent_max;
	struct crowd_plan crowds[CROWDS_MAX];
};

/* Waits until the process has closed the connections of all who have gone. */
static void expect_descriptors_free(const struct crowd_target *t)
{
	int64_t deadline = clock_now() + CALM_MS;

	while (crowd_target_descriptors(t) > DESCRIPTORS_CALM &&
	       clock_now() < deadline)
		usleep(50000);
	cr_expect_leq(crowd_target_descriptors(t), DESCRIPTORS_CALM);
}

/* Expects that an ordinary caller of a listener gets an answer. */
static void expect_answer(const struct crowd_target *t, enum crowd_port port,
			  struct crowd *crowds, size_t count, const char *when)
{
	unsigned status = crowd_ordinary(t, port, crowds, count);

	cr_expect(status, "no answer to an ordinary caller %s", when);
	fprintf(stderr, "%s: status %u\n", when, status);
}

/* Lets the crowds of a case loose, and checks what has to hold. */
static void crowd_check(struct crowd_case *c)
{
	struct crowd crowds[CROWDS_MAX];
	struct crowd_target t;
	struct crowd_plan *p;
	size_t i, n = 0;

	crowd_target_start(&t, c->daemon, c->more);
	for (; n < CROWDS_MAX && c->crowds[n].count; n++) {
		p = &c->crowds[n];
		crowd_send(&crowds[n], &p->script, p->count, t.ports[p->port]);
		if (c->sent_max)
			cr_expect_leq(crowd_sent_most(&crowds[n]), c->sent_max);
	}
	cr_expect_leq(crowd_target_descriptors(&t), DESCRIPTORS_MAX);
	for (i = 0; i < n; i++)
		expect_answer(&t, c->crowds[i].port, crowds, n,
			      "beside the crowd");
	cr_assert(crowd_target_lives(&t), "the process has ended");
	for (i = 0; i < n; i++)
		crowd_close(&crowds[i]);
	expect_descriptors_free(&t);
	expect_answer(&t, PORT_CALLERS, NULL, 0, "after the crowd");
	cr_expect_leq(crowd_target_peak_kb(&t), c->memory_mb * KB);
	fprintf(stderr, "peak %ld KB\n", crowd_target_peak_kb(&t));
	cr_assert(crowd_target_lives(&t), "the process has ended");
	cr_expect_eq(crowd_target_stop(&t), 0);
	for (i = 0; i < n; i++)
		crowd_script_free(&c->crowds[i].script);
}

/* Defines the test of a case. */
#define CROWD_TEST(name, ...)                                           \
	Test(crowd, name)                                               \
	{                                                               \
		struct crowd_case c = (struct crowd_case){__VA_ARGS__}; \
		crowd_check(&c);                                        \
	}

/* A machine of bamboofront-entryd with 64 MB. */
#define SMALL_ENTRYD \
	.daemon = CROWD_ENTRYD, .memory_mb = 64, .more = ", \"memory_mb\": 64"

/* bamboofrontd within the 128 MB that a node may take. */
#define NODE .daemon = CROWD_DAEMON, .memory_mb = 128, .more = ""

/* Returns a script whose clients write a piece at a time. */
static struct crowd_script in_pieces(struct crowd_script s, size_t piece)
{
	s.piece = piece;
	return s;
}

/* Bodies that are held until their end, which never comes. */
CROWD_TEST(whole_bodies, SMALL_ENTRYD,
	   .crowds = {
		   {100, PORT_CALLERS, crowd_body(CROWD_ENTRYD, MB, MB - 1)}})

/* The same, written in pieces. */
CROWD_TEST(bodies_in_pieces, SMALL_ENTRYD,
	   .crowds = {
		   {100, PORT_CALLERS,
		    in_pieces(crowd_body(CROWD_ENTRYD, MB, MB - 1), 64 * KB)}})

/* Buffers of many bodies of the size that the operator's limit allows. */
CROWD_TEST(many_bodies, SMALL_ENTRYD,
	   .crowds = {{600, PORT_CALLERS,
		       crowd_body(CROWD_ENTRYD, 256 * KB, 256 * KB - 1)}})

/* Bodies whose length nobody announces. */
CROWD_TEST(large_chunks, SMALL_ENTRYD,
	   .crowds = {{100, PORT_CALLERS, crowd_chunks(MB, MB)}})

/* Bodies that cost a call of the handler for each few bytes. */
CROWD_TEST(small_chunks, SMALL_ENTRYD,
	   .crowds = {{100, PORT_CALLERS, crowd_chunks(MB, 16)}})

/* Whole bodies whose tree is many times their text. */
CROWD_TEST(lists_of_objects, SMALL_ENTRYD,
	   .crowds = {{100, PORT_CALLERS,
		       crowd_list(CROWD_ENTRYD, "{}", MB - KB)}})
CROWD_TEST(lists_of_lists, SMALL_ENTRYD,
	   .crowds = {{100, PORT_CALLERS,
		       crowd_list(CROWD_ENTRYD, "[]", MB - KB)}})

/* A body that is read on and on, far beyond what is ever accepted. */
CROWD_TEST(announced_too_long, SMALL_ENTRYD, .sent_max = 32 * MB,
	   .crowds = {{4, PORT_CALLERS,
		       crowd_announced((size_t)10000 * MB, 64 * MB)}})
CROWD_TEST(endless_bodies, SMALL_ENTRYD, .sent_max = 32 * MB,
	   .crowds = {{4, PORT_CALLERS, crowd_endless(64 * MB)}})

/* Connections that never send a whole head keep all others out. */
CROWD_TEST(half_heads, SMALL_ENTRYD,
	   .crowds = {{2200, PORT_CALLERS, crowd_half_head()}})
CROWD_TEST(half_heads_at_readiness, SMALL_ENTRYD,
	   .crowds = {{2200, PORT_READINESS, crowd_half_head()}})
CROWD_TEST(half_heads_at_metrics, SMALL_ENTRYD,
	   .crowds = {{2200, PORT_METRICS, crowd_half_head()}})

/* The limits of single listeners that allow too much together. */
CROWD_TEST(heads_and_bodies, SMALL_ENTRYD,
	   .crowds = {{100, PORT_CALLERS, crowd_body(CROWD_ENTRYD, MB, MB - 1)},
		      {1000, PORT_CALLERS, crowd_half_head()},
		      {1000, PORT_READINESS, crowd_half_head()}})

/* Bodies of callers whose key nobody has looked up yet. */
CROWD_TEST(daemon_bodies, NODE,
	   .crowds = {{600, PORT_CALLERS,
		       crowd_body(CROWD_DAEMON, 262000, 262000 - 1)}})
CROWD_TEST(daemon_lists_of_objects, NODE,
	   .crowds = {
		   {200, PORT_CALLERS, crowd_list(CROWD_DAEMON, "{}", 262000)}})
CROWD_TEST(daemon_half_heads, .daemon = CROWD_DAEMON, .memory_mb = 128,
	   .more = ", \"max_connections\": 64",
	   .crowds = {{300, PORT_CALLERS, crowd_half_head()}})

/* Records whose seal can't be checked before they are whole. */
CROWD_TEST(daemon_peer_records, NODE,
	   .crowds = {{128, PORT_PEERS, crowd_record(MB, MB - 1)}})
CROWD_TEST(daemon_operator_records, NODE,
	   .crowds = {{64, PORT_OPERATORS, crowd_record(MB, MB - 1)}})
CROWD_TEST(daemon_all_listeners, NODE,
	   .crowds = {{128, PORT_PEERS, crowd_record(MB, MB - 1)},
		      {64, PORT_OPERATORS, crowd_record(MB, MB - 1)},
		      {300, PORT_CALLERS,
		       crowd_body(CROWD_DAEMON, 262000, 262000 - 1)}})

/* Memory of a crowd that has left, and that the allocator keeps. */
Test(crowd, second_crowd_after_the_first)
{
	struct crowd_script first = crowd_body(CROWD_ENTRYD, MB, MB - 1);
	struct crowd_script second = crowd_list(CROWD_ENTRYD, "{}", MB - KB);
	struct crowd_target t;
	struct crowd crowd;

	crowd_target_start(&t, CROWD_ENTRYD, ", \"memory_mb\": 64");
	crowd_send(&crowd, &first, 100, t.ports[PORT_CALLERS]);
	crowd_close(&crowd);
	crowd_send(&crowd, &second, 100, t.ports[PORT_CALLERS]);
	crowd_close(&crowd);
	crowd_send(&crowd, &first, 100, t.ports[PORT_CALLERS]);
	expect_answer(&t, PORT_CALLERS, &crowd, 1, "beside the third crowd");
	crowd_close(&crowd);
	expect_descriptors_free(&t);
	cr_expect_leq(crowd_target_peak_kb(&t), 64 * KB);
	fprintf(stderr, "peak %ld KB\n", crowd_target_peak_kb(&t));
	cr_expect_eq(crowd_target_stop(&t), 0);
	crowd_script_free(&first);
	crowd_script_free(&second);
}

/* A client that sends a byte now and then keeps its connection for ever. */
Test(crowd, dripping_body)
{
	struct crowd_script s = crowd_body(CROWD_ENTRYD, MB, KB);
	int64_t deadline = clock_now() + CALM_MS;
	struct crowd_target t;
	struct crowd crowd;

	s.drip = 'y';
	crowd_target_start(&t, CROWD_ENTRYD, ", \"receive_ms\": 2000");
	crowd_send(&crowd, &s, 4, t.ports[PORT_CALLERS]);
	while (crowd_open(&crowd) && clock_now() < deadline) {
		crowd_drip(&crowd);
		usleep(200000);
	}
	cr_expect_eq(crowd_open(&crowd), 0);
	crowd_close(&crowd);
	cr_expect_eq(crowd_target_stop(&t), 0);
	crowd_script_free(&s);
}

/* In calm, a caller that sends single bytes gets its answer. */
Test(crowd, single_bytes_in_calm)
{
	struct crowd_script s = crowd_list(CROWD_ENTRYD, "{\"count\":1}", KB);
	struct crowd_target t;
	struct crowd one;

	crowd_target_start(&t, CROWD_ENTRYD, ", \"memory_mb\": 64");
	s.piece = 1;
	crowd_send(&one, &s, 1, t.ports[PORT_CALLERS]);
	crowd_open(&one); /* reads the answer */
	cr_expect_eq(crowd_sent_most(&one), s.head_len);
	cr_expect(one.clients[0].received, "closed without an answer");
	crowd_close(&one);
	cr_expect_eq(crowd_target_stop(&t), 0);
	crowd_script_free(&s);
}
