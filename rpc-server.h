/*
 * rpc-server.c: a server for a single ONC RPC procedure whose argument is a
 * sealed envelope. Each server has its own thread.
 */
#ifndef RPC_SERVER_H
#define RPC_SERVER_H

#include <pthread.h>

#include "bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

struct intake;
struct rpc_server;

/*
 * The procedure that a server offers. Both callbacks run in the server's
 * thread.
 *
 * on_call receives each envelope. The call is answered with rpc_server_reply,
 * rpc_server_deny or rpc_server_fail, either at once or later.
 *
 * on_loop, if set, is called after each iteration of the event loop and when a
 * message arrives in wake. It returns the latest time of its next call.
 */
struct rpc_service {
	const char *name; /* in error messages and log lines */
	uint32_t program;
	uint32_t version;
	uint32_t procedure;
	uint32_t max_connections;
	struct intake *intake;
	void (*on_call)(void *arg, uint64_t call, const sealed *envelope);
	int64_t (*on_loop)(void *arg, int64_t now); /* or NULL */
	struct mailbox *wake;			    /* or NULL */
	void *arg;
};

/*
 * service is copied. Its arg must be ready to receive calls before
 * rpc_server_start is called.
 */
struct rpc_server *rpc_server_new(const struct rpc_service *service,
				  const struct address *listen,
				  struct error *e);
void rpc_server_start(struct rpc_server *srv);
uint16_t rpc_server_port(const struct rpc_server *srv);
void rpc_server_stop(struct rpc_server *srv);

/*
 * Each of these answers a call. For use in the server's thread only. They
 * return false if the client has disconnected.
 */
bool rpc_server_reply(struct rpc_server *srv, uint64_t call, xdrproc_t proc,
		      const void *result);
bool rpc_server_deny(struct rpc_server *srv, uint64_t call,
		     enum seal_result why);
bool rpc_server_fail(struct rpc_server *srv, uint64_t call,
		     enum accept_stat why);

void rpc_thread_start(pthread_t *thread, void *(*run)(void *), void *arg);

/* Timeouts. Tests shorten them before they start a server. */
extern struct rpc_timeouts {
	int64_t record_ms;	/* to receive or to send one record */
	int64_t idle_ms;	/* connection without a call */
	int64_t answer_ms;	/* reducer's answer to an operator */
	int64_t sender_idle_ms; /* sender thread without a message */
} rpc_timeouts;

#ifdef __cplusplus
}
#endif
#endif
