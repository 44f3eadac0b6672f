/*
 * Internal interfaces of the callers' HTTP server. edge-caller.c starts and
 * stops the listener, edge-caller-conn.c manages connections,
 * edge-caller-request.c reads requests and edge-caller-reply.c writes replies.
 */
#ifndef EDGE_CALLER_H
#define EDGE_CALLER_H

#include "caller.h"
#include "intake.h"

#include <microhttpd.h>
#include <pthread.h>
#include <uthash.h>

#define SLOT_BITS 20 /* of a call ID, see struct conn */
#define SLOT_MASK ((1U << SLOT_BITS) - 1)

/*
 * IDLE: the reducer has no call of this connection. PENDING: it has one, and
 * the connection is suspended. In the other states the connection was resumed:
 * ANSWERED with the reducer's answer, TIMED_OUT because no answer arrived in
 * time, CLIENT_CLOSED because the client closed its side of the connection,
 * STOPPED because the daemon is stopping.
 */
enum conn_state {
	CONN_IDLE,
	CONN_PENDING,
	CONN_ANSWERED,
	CONN_TIMED_OUT,
	CONN_CLIENT_CLOSED,
	CONN_STOPPED
};

/*
 * A slot of the connection table. A call ID consists of the slot number and,
 * above it, the generation. The generation is incremented for each call and
 * survives the connection, so no call ID is used twice and a late answer cannot
 * reach another call.
 */
struct conn {
	pthread_mutex_t lock;
	struct MHD_Connection *mhd; /* NULL if the slot is free */
	struct intake_conn *held;
	int fd;
	uint64_t generation;
	uint64_t incarnation; /* number of connections so far */
	enum conn_state state;
	effect *answer;
	int64_t deadline;   /* see conn_expire */
	bool over_limit;    /* over max_connections, refused */
	bool client_closed; /* the client has closed its side */
	bool got_request;   /* received a complete request */
};

/*
 * A request that is being received; the con_cls of libmicrohttpd. discarded
 * counts the body bytes that were read and dropped after a refusal.
 */
struct request {
	struct caller_call call;
	size_t body_len;
	size_t discarded;
	bool submitted; /* sent to the reducer */
};

/* What a call takes whose EV_CALL_GONE the reducer has not handled yet. */
struct gone_call {
	uint64_t call;
	size_t bytes;
	UT_hash_handle hh;
};

/*
 * The server. unsent_gone lists the calls whose EV_CALL_GONE could not be
 * posted because the inbox was full; the watcher retries them. log_window holds
 * a second and the number of refusals logged in it, to limit their rate.
 *
 * Lock order: lock may be taken while the lock of a conn is held, but not the
 * other way round.
 */
struct edge_caller {
	struct MHD_Daemon *daemon;
	struct intake *intake;
	struct intake_gate *gate;
	struct mailbox *inbox;
	struct caller_limits limits;
	struct caller_timing timing;
	uint16_t port;
	uint32_t max_connections;
	struct conn *conns;
	uint32_t slot_total;
	uint32_t *free_slots; /* stack, under lock */
	uint32_t free_slot_count;
	uint32_t slot_high_water; /* first slot never used so far */
	uint32_t active_requests; /* under lock */
	pthread_mutex_t lock;	  /* see above */
	pthread_cond_t idle_cond; /* active_requests is 0 */
	int epoll;
	int wake; /* eventfd, wakes the watcher */
	pthread_t watcher;
	uint64_t *unsent_gone; /* under lock */
	uint32_t unsent_gone_count;
	uint32_t unsent_gone_capacity;
	struct gone_call *gone_calls; /* by call, under lock */
	int ready;		      /* atomic (ck_pr) */
	int stopping;		      /* atomic (ck_pr) */
	uint64_t log_window;	      /* atomic (ck_pr) */
};

/*
 * edge-caller-conn.c: caller_conn_set_deadline takes the lock of the
 * connection; the other caller_conn_* functions need it.
 */
uint64_t caller_conn_call(const struct edge_caller *edge,
			  const struct conn *cn);
void caller_conn_notify_gone(struct edge_caller *edge, const struct conn *cn);
void caller_conn_set_deadline(struct conn *cn, uint32_t ms);
void caller_conn_resume(struct edge_caller *edge, struct conn *cn,
			enum conn_state state);
void *edge_caller_watch(void *arg);
enum MHD_Result edge_caller_accept(void *cls, const struct sockaddr *sa,
				   socklen_t len);
void edge_caller_connection(void *cls, struct MHD_Connection *mhd,
			    void **context,
			    enum MHD_ConnectionNotificationCode code);

/* edge-caller-request.c: callbacks of libmicrohttpd */
enum MHD_Result edge_caller_handle(void *cls, struct MHD_Connection *mhd,
				   const char *path, const char *method,
				   const char *version, const char *data,
				   size_t *len, void **con_cls);
void edge_caller_completed(void *cls, struct MHD_Connection *mhd,
			   void **con_cls,
			   enum MHD_RequestTerminationCode code);

/* edge-caller-reply.c */
void caller_refusal_record(struct edge_caller *edge,
			   const struct caller_problem *p);
enum MHD_Result caller_reply_send(struct MHD_Connection *mhd,
				  const struct request *rq,
				  struct caller_reply *r, const char *allow,
				  bool close);
enum MHD_Result caller_reply_problem(struct edge_caller *edge,
				     struct MHD_Connection *mhd,
				     struct request *rq, bool close);
enum MHD_Result caller_reply_unavailable(struct edge_caller *edge,
					 struct MHD_Connection *mhd,
					 struct request *rq,
					 enum conn_state state);
enum MHD_Result caller_reply_local(struct edge_caller *edge,
				   struct MHD_Connection *mhd,
				   struct request *rq);

#endif
