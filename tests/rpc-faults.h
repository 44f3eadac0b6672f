/*
 * Tests of malformed input and misbehaving clients that the RPC listeners for
 * peers and for operators share.  Each fault gets a connection of its own,
 * while another client has to be served as usual.
 */
#ifndef RPC_FAULTS_H
#define RPC_FAULTS_H

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../bamboofront.h"
#include "../operator-client.h"
#include "../rpc-client.h"
#include "../rpc-server.h"

#define WAIT_MS 10000 /* far longer than any answer takes */
#define FAULT_LAST_FRAGMENT 0x80000000u

/* The listener under test. */
struct target {
	uint16_t port;
	uint32_t program;
	uint32_t max_connections;

	/* Makes a new valid envelope. */
	void (*make_envelope)(void *arg, sealed *out);

	/* Makes a call of another client; returns true if it is answered. */
	bool (*other_call)(void *arg);

	void *arg;
};

static inline void fault_connect_with(int fd, uint16_t port)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};

	sa.sin_port = htons(port);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	cr_assert(!connect(fd, (struct sockaddr *)&sa, sizeof(sa)));
}

static inline int fault_connect(uint16_t port)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	fault_connect_with(fd, port);
	return fd;
}

static inline void fault_write(int fd, const void *p, size_t len)
{
	cr_assert_eq(send(fd, p, len, MSG_NOSIGNAL), (ssize_t)len);
}

/* Reads len bytes; returns fewer if the other end closes the connection. */
static inline size_t fault_read(int fd, void *p, size_t len)
{
	struct pollfd pfd = {.fd = fd, .events = POLLIN};
	size_t got = 0;
	ssize_t n;

	while (got < len) {
		cr_assert_eq(poll(&pfd, 1, WAIT_MS), 1, "no answer");
		n = recv(fd, (char *)p + got, len - got, 0);
		if (n <= 0)
			break;
		got += (size_t)n;
	}
	return got;
}

/*
 * Reads an answer: its id, the status (accepted or denied) and the result or
 * the cause of the denial.  Returns false if the connection is closed.
 */
static inline bool fault_answer(int fd, uint32_t *xid, uint32_t words[2])
{
	uint32_t head[4], rest[262144];
	size_t len;

	if (fault_read(fd, head, sizeof(head)) < sizeof(head))
		return false;
	len = (ntohl(head[0]) & 0x7fffffff) - 12;
	cr_assert(len >= 8 && len <= sizeof(rest));
	cr_assert_eq(fault_read(fd, rest, len), len);
	*xid = ntohl(head[1]);
	words[0] = ntohl(head[3]);
	words[1] = ntohl(rest[words[0] == MSG_ACCEPTED ? 2 : 1]);
	return true;
}

/* Encodes a call as a record of one fragment. */
static inline bstr fault_call(const struct target *t, uint32_t xid,
			      const sealed *envelope)
{
	uint32_t head[11] = {0, xid, CALL, RPC_MSG_VERSION, t->program, 1, 1};
	bstr args = xdr_encode(XDR_PROC(xdr_sealed), envelope), b;
	size_t i;

	head[0] = FAULT_LAST_FRAGMENT |
		  (uint32_t)(sizeof(head) - 4 + args.bstr_len);
	for (i = 0; i < NELEMS(head); i++)
		head[i] = htonl(head[i]);
	b.bstr_len = (u_int)(sizeof(head) + args.bstr_len);
	b.bstr_val = xmalloc(b.bstr_len);
	memcpy(b.bstr_val, head, sizeof(head));
	memcpy(b.bstr_val + sizeof(head), args.bstr_val, args.bstr_len);
	bstr_free(&args);
	return b;
}

/* Encodes a valid call. */
static inline bstr fault_good_call(const struct target *t, uint32_t xid)
{
	sealed envelope;
	bstr b;

	t->make_envelope(t->arg, &envelope);
	b = fault_call(t, xid, &envelope);
	xdr_free(XDR_PROC(xdr_sealed), (char *)&envelope);
	return b;
}

/*
 * A fault: a valid call with one word changed or with a changed length, or
 * other bytes in place of a call.  The listener either closes the connection
 * or sends an answer.
 */
struct fault {
	const char *name;
	const char *bytes; /* NULL: change a valid call */
	size_t len;
	unsigned word_index; /* of the word to change */
	uint32_t word_value;
	int extra_bytes; /* added to the record; negative: removed */
	bool closed;	 /* expected: closed, otherwise this answer */
	uint32_t answer[2];
	int counter; /* expected to increase by one; -1: none */
};

static const char fault_empty_fragments[4 * 300];
#define BYTES(s) .bytes = (s), .len = sizeof(s) - 1, .closed = true
#define ANSWER(a, b) .answer = {(a), (b)}

static const struct fault faults[] = {
	{"valid call", ANSWER(MSG_ACCEPTED, SUCCESS), .counter = -1},
	{"another program", .word_index = 4, .word_value = 7,
	 ANSWER(MSG_ACCEPTED, PROG_UNAVAIL), .counter = -1},
	{"another version", .word_index = 5, .word_value = 7,
	 ANSWER(MSG_ACCEPTED, PROG_MISMATCH), .counter = -1},
	{"another procedure", .word_index = 6, .word_value = 7,
	 ANSWER(MSG_ACCEPTED, PROC_UNAVAIL), .counter = -1},
	{"name over the limit", .word_index = 11, .word_value = UINT32_MAX,
	 ANSWER(MSG_ACCEPTED, GARBAGE_ARGS),
	 .counter = COUNT_REFUSED_MALFORMED},
	{"arguments cut short", .extra_bytes = -8,
	 ANSWER(MSG_ACCEPTED, GARBAGE_ARGS),
	 .counter = COUNT_REFUSED_MALFORMED},
	{"bytes after the arguments", .extra_bytes = 4,
	 ANSWER(MSG_ACCEPTED, GARBAGE_ARGS),
	 .counter = COUNT_REFUSED_MALFORMED},
	{"another nonce under the MAC", .word_index = 13, .word_value = 7,
	 ANSWER(MSG_DENIED, AUTH_BADVERF), .counter = COUNT_REFUSED_SEAL},
	{"an answer in place of a call", .word_index = 2, .word_value = REPLY,
	 .closed = true, .counter = COUNT_REFUSED_MALFORMED},
	{"another version of RPC", .word_index = 3, .word_value = 3,
	 .closed = true, .counter = COUNT_REFUSED_MALFORMED},
	{"credential over the limit", .word_index = 8, .word_value = 401,
	 .closed = true, .counter = COUNT_REFUSED_MALFORMED},
	{"record just over the limit", .word_index = 0,
	 .word_value = FAULT_LAST_FRAGMENT | (RPC_RECORD_MAX + 1),
	 .closed = true, .counter = COUNT_REFUSED_BODY_TOO_LARGE},
	{"the longest record", .word_index = 0, .word_value = UINT32_MAX,
	 .closed = true, .counter = COUNT_REFUSED_BODY_TOO_LARGE},
	{"record that never ends", .word_index = 0,
	 .word_value = FAULT_LAST_FRAGMENT | RPC_RECORD_MAX, .closed = true,
	 .counter = COUNT_DROPPED_SLOW},
	{"half of a record mark", BYTES("\x80\0"),
	 .counter = COUNT_DROPPED_SLOW},
	{"an empty record", BYTES("\x80\0\0\0"),
	 .counter = COUNT_REFUSED_MALFORMED},
	{"another protocol", BYTES("GET / HTTP/1.1\r\n\r\n"),
	 .counter = COUNT_REFUSED_BODY_TOO_LARGE},
	{"empty fragments", .bytes = fault_empty_fragments,
	 .len = sizeof(fault_empty_fragments), .closed = true,
	 .counter = COUNT_REFUSED_MALFORMED},
	{"no byte at all", .bytes = "", .closed = true, .counter = -1},
};

/* Makes the bytes that a fault sends. */
static inline bstr fault_bytes(const struct target *t, const struct fault *f)
{
	bstr b, call;
	uint32_t word;

	if (f->bytes)
		return bstr_from_bytes(f->bytes, f->len);
	call = fault_good_call(t, 1);
	b = bstr_from_bytes(call.bstr_val, call.bstr_len);
	if (f->extra_bytes) {
		b.bstr_len = (u_int)((int)b.bstr_len + f->extra_bytes);
		b.bstr_val = xrealloc(b.bstr_val, b.bstr_len, 1);
		if (f->extra_bytes > 0)
			memset(b.bstr_val + call.bstr_len, 0,
			       (size_t)f->extra_bytes);
		word = htonl(FAULT_LAST_FRAGMENT | (b.bstr_len - 4));
		memcpy(b.bstr_val, &word, 4);
	} else if (f->word_index || f->word_value) {
		word = htonl(f->word_value);
		memcpy(b.bstr_val + (size_t)f->word_index * 4, &word, 4);
	}
	bstr_free(&call);
	return b;
}

/*
 * Checks for each fault that the connection is answered or closed as expected
 * and that its counter increases by exactly one.  Calls of another client on
 * its own connection have to be answered during and after the fault.
 */
static inline void faults_run(const struct target *t)
{
	uint32_t xid, words[2];
	uint64_t before;
	const struct fault *f;
	bstr bytes;
	size_t i;
	int fd;

	rpc_timeouts.record_ms = rpc_timeouts.idle_ms = 200;
	for (i = 0; i < NELEMS(faults); i++) {
		f = &faults[i];
		before = f->counter < 0 ? 0 : counter_get(f->counter);
		bytes = fault_bytes(t, f);
		fd = fault_connect(t->port);
		fault_write(fd, bytes.bstr_val, bytes.bstr_len);
		cr_expect(t->other_call(t->arg), "%s: other client", f->name);
		if (fault_answer(fd, &xid, words)) {
			cr_expect(!f->closed, "%s: answered", f->name);
			cr_expect_eq(words[0], f->answer[0], "%s", f->name);
			cr_expect_eq(words[1], f->answer[1], "%s", f->name);
		} else {
			cr_expect(f->closed, "%s: closed", f->name);
		}
		if (f->counter >= 0)
			cr_expect_eq(counter_get(f->counter), before + 1, "%s",
				     f->name);
		cr_expect(t->other_call(t->arg), "%s: after", f->name);
		close(fd);
		bstr_free(&bytes);
	}
}

/*
 * Checks that a call is answered that arrives in two fragments, the second one
 * byte by byte, and also the call that follows it on the same connection.
 */
static inline void fault_fragments(const struct target *t)
{
	uint32_t xid, words[2], mark;
	bstr one = fault_good_call(t, 1), two = fault_good_call(t, 2);
	int fd = fault_connect(t->port);
	size_t i, split = 17;

	mark = htonl((uint32_t)split);
	fault_write(fd, &mark, 4);
	fault_write(fd, one.bstr_val + 4, split);
	mark = htonl(FAULT_LAST_FRAGMENT |
		     (uint32_t)(one.bstr_len - 4 - split));
	fault_write(fd, &mark, 4);
	for (i = 4 + split; i + 1 < one.bstr_len; i++)
		fault_write(fd, one.bstr_val + i, 1);
	/* Send the last byte together with the second call. */
	one.bstr_val[0] = one.bstr_val[i];
	one.bstr_val = xrealloc(one.bstr_val, two.bstr_len + 1, 1);
	memcpy(one.bstr_val + 1, two.bstr_val, two.bstr_len);
	fault_write(fd, one.bstr_val, two.bstr_len + 1);
	for (i = 1; i <= 2; i++) {
		cr_assert(fault_answer(fd, &xid, words));
		cr_expect_eq(xid, i);
		cr_expect_eq(words[1], SUCCESS);
	}
	close(fd);
	bstr_free(&one);
	bstr_free(&two);
}

/*
 * A client sends calls forever and reads no answers.  The answers fill its
 * receive window and the listener's socket buffer, and after record_ms the
 * listener has to reset the connection.  A listener that blocked on this
 * client would not answer the other client.
 */
static inline void fault_never_read(const struct target *t)
{
	static char calls[44 * 1000];
	struct pollfd p = {.events = POLLOUT};
	sealed none = {0};
	bstr call = fault_call(t, 1, &none);
	uint32_t other = htonl(7), mark = htonl(FAULT_LAST_FRAGMENT | 40);
	uint64_t before = counter_get(COUNT_DROPPED_SLOW);
	size_t i, at = 0;
	ssize_t n;

	rpc_timeouts.record_ms = 300;
	for (i = 0; i < sizeof(calls); i += 44) { /* no such procedure */
		memcpy(calls + i, call.bstr_val, 44);
		memcpy(calls + i, &mark, 4);
		memcpy(calls + i + 24, &other, 4);
	}
	p.fd = fault_connect(t->port);
	for (;;) {
		cr_assert_eq(poll(&p, 1, WAIT_MS), 1, "never reset");
		n = send(p.fd, calls + at, sizeof(calls) - at,
			 MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN)
			break;
		at = n < 0 ? at : (at + (size_t)n) % sizeof(calls);
	}
	cr_expect_eq(counter_get(COUNT_DROPPED_SLOW), before + 1);
	cr_expect(t->other_call(t->arg));
	close(p.fd);
	bstr_free(&call);
}

/* Checks that a replayed call is denied and its original is answered. */
static inline void fault_replay(const struct target *t)
{
	uint32_t xid, words[2];
	bstr call = fault_good_call(t, 1);
	int fd = fault_connect(t->port);

	fault_write(fd, call.bstr_val, call.bstr_len);
	cr_assert(fault_answer(fd, &xid, words));
	cr_expect_eq(words[0], MSG_ACCEPTED);
	fault_write(fd, call.bstr_val, call.bstr_len);
	cr_assert(fault_answer(fd, &xid, words));
	cr_expect_eq(words[0], MSG_DENIED);
	cr_expect_eq(words[1], AUTH_REJECTEDVERF);
	cr_expect_eq(counter_get(COUNT_REFUSED_SEAL), 1);
	close(fd);
	bstr_free(&call);
}

/* Checks whether the server has closed a connection. */
static inline bool fault_closed(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	char byte;

	return poll(&p, 1, 0) == 1 &&
	       recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) <= 0;
}

/*
 * Checks that silent connections up to the limit keep no caller out: a new one
 * is answered, the connection that has been silent for longest is closed, and
 * there are never more than the limit.
 */
static inline void fault_connection_limit(const struct target *t)
{
	uint64_t before = counter_get(COUNT_DROPPED_HELD_LONGEST);
	uint32_t xid, words[2] = {0}, i, open = 0;
	bstr call = fault_good_call(t, 1);
	int fds[64] = {0}, extra;

	for (i = 0; i < t->max_connections; i++) {
		fds[i] = fault_connect(t->port);
		usleep(2000); /* the order of their ages */
	}
	cr_expect(t->other_call(t->arg));
	extra = fault_connect(t->port);
	fault_write(extra, call.bstr_val, call.bstr_len);
	cr_assert(fault_answer(extra, &xid, words));
	cr_expect_eq(words[1], SUCCESS);
	cr_expect_eq(counter_get(COUNT_DROPPED_HELD_LONGEST), before + 2);
	cr_expect(fault_closed(fds[0]));
	for (i = 0; i < t->max_connections; i++)
		open += !fault_closed(fds[i]);
	cr_expect_eq(open, t->max_connections - 2);
	cr_expect(t->other_call(t->arg));
	close(extra);
	for (i = 0; i < t->max_connections; i++)
		close(fds[i]);
	bstr_free(&call);
}

#endif
