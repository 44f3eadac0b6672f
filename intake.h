/*
 * intake.c: limits what clients take of a process while it receives and answers
 * their requests. All listeners of a process share one budget of bytes; each
 * has a gate, which limits its connections. Under pressure the connections go
 * that hold most for longest, so that a small, whole request finds room.
 *
 * Every function may be called from any thread. The times are those of
 * clock_now().
 */
#ifndef INTAKE_H
#define INTAKE_H

#include "bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What a connection costs beside its request: the buffers of libmicrohttpd and
 * of the kernel. It is not part of the budget of bytes; limits on connections
 * are derived from it.
 */
#define INTAKE_CONNECTION_BYTES 65536
/* A request of up to this many bytes is small: it goes before larger ones. */
#define INTAKE_SMALL_BYTES 16384

struct intake;
struct intake_gate;
struct intake_conn;

enum intake_result {
	INTAKE_OK,
	INTAKE_FULL,	  /* there is no room now */
	INTAKE_TOO_LARGE, /* it would not fit if it were alone */
	INTAKE_CUT	  /* the connection is being closed */
};

/* To be called for a listening socket before its first connection. */
void intake_limit_unread(int listen_fd);

struct intake *intake_new(size_t bytes);
/* All connections must be closed. */
void intake_free(struct intake *in);
/*
 * receive_ms limits the time from the first byte of a request to the last, and
 * the time without a request; 0: the listener has time limits of its own.
 */
struct intake_gate *intake_gate_new(struct intake *in, uint32_t max_connections,
				    uint32_t receive_ms);

/*
 * A connection. It is idle, receives a request (intake_begin, intake_append),
 * has a pending one (intake_complete) or replies (intake_reply), and is idle
 * again after intake_finish. Only pending ones are never closed under pressure:
 * their requests may have taken effect.
 */
struct intake_conn *intake_open(struct intake_gate *gate, int fd, int64_t now);
/* Must precede the close of fd. */
void intake_close(struct intake_conn *conn);
/*
 * Returns true if the gate had no room for the connection: all others have
 * pending requests. Its requests are to be refused.
 */
bool intake_is_surplus(const struct intake_conn *conn);

void intake_begin(struct intake_conn *conn, int64_t now);
/* Appends to the received data. On failure all of it is released. */
enum intake_result intake_append(struct intake_conn *conn, const void *data,
				 size_t len, int64_t now);
/*
 * Ends the reception. *data refers to the received data until it is released.
 * Returns false if the connection has been cut.
 */
bool intake_complete(struct intake_conn *conn, bstr *data);
/* Undoes intake_complete: more of the request has to be received. */
void intake_resume(struct intake_conn *conn);
/* Releases the first len bytes of the received data. */
void intake_release(struct intake_conn *conn, size_t len);
/* Sets what a pending request takes beside its received data. */
enum intake_result intake_charge(struct intake_conn *conn, size_t bytes,
				 int64_t now);
/* A reply of so many bytes is being sent, and is all that is held. */
void intake_reply(struct intake_conn *conn, size_t bytes, int64_t now);
void intake_finish(struct intake_conn *conn, int64_t now);
/*
 * If the client of a pending request goes, detach returns what the request
 * takes; settle releases that when the request has been processed.
 */
size_t intake_detach(struct intake_conn *conn);
void intake_settle(struct intake *in, size_t bytes);

/*
 * Closes the connections whose time is over, and updates the gauges. Logs, at
 * most once a second, how many connections were closed since the last time. To
 * be called about once a second.
 */
void intake_sweep(struct intake *in, int64_t now);
size_t intake_used(struct intake *in);

#ifdef __cplusplus
}
#endif
#endif
