/*
 * What the files of the callers' edge share: edge-caller.c listens, starts
 * and stops, edge-caller-conn.c has a connection's life, edge-caller-request.c
 * reads requests and edge-caller-reply.c writes replies.
 */
#ifndef EDGE_CALLER_H
#define EDGE_CALLER_H

#include "caller.h"

#include <microhttpd.h>
#include <pthread.h>

#define SLOT_BITS 20
#define SLOT_MASK ((1U << SLOT_BITS) - 1)

/*
 * IDLE: no call is with the reducer.  PENDING: one is, and the connection is
 * suspended.  ANSWERED, LATE, GONE, STOPPED: it was resumed with an answer,
 * without one in time, because the client left, because the daemon stops.
 */
enum conn_state {
	CONN_IDLE,
	CONN_PENDING,
	CONN_ANSWERED,
	CONN_LATE,
	CONN_GONE,
	CONN_STOPPED
};

/*
 * A connection's slot.  A call's id is its slot with the generation above,
 * and the generation grows with each call and is kept from one connection to
 * the next, so no id comes twice and an answer finds its own call or none.
 */
struct conn {
	pthread_mutex_t lock;
	struct MHD_Connection *mhd; /* NULL: the slot is free */
	int fd;
	uint64_t generation;
	uint64_t incarnation; /* of the slot: one for each connection */
	enum conn_state state;
	effect *answer;
	int64_t deadline; /* for what is awaited, see conn_expire */
	bool over;	  /* above the limit: told so */
	bool left;	  /* the client has closed its side */
	bool served;	  /* one request at least has been whole */
};

/* A request on its way in; MHD's con_cls. */
struct request {
	struct caller_call call;
	bstr body;
	size_t room;
	size_t drained;
	bool sent; /* to the reducer */
};

struct edge_caller {
	struct MHD_Daemon *daemon;
	struct mailbox *inbox;
	struct caller_bounds bounds;
	struct caller_timing timing;
	uint16_t port;
	uint32_t max_connections;
	struct conn *conns;
	uint32_t room;
	uint32_t *slots; /* free ones, under lock */
	uint32_t slot_count;
	uint32_t used;	      /* slots below this have ever been used */
	uint32_t busy;	      /* requests under way, under lock */
	pthread_mutex_t lock; /* taken inside a conn's, never around */
	pthread_cond_t quiet;
	int epoll;
	int wake;
	pthread_t watcher;
	uint64_t *gone; /* calls whose EV_CALL_GONE found no room, under lock */
	uint32_t gone_count;
	uint32_t gone_room;
	int ready;	 /* by ck_pr */
	int stopping;	 /* by ck_pr */
	uint64_t logged; /* second and count, by ck_pr */
};

/* edge-caller-conn.c */
uint64_t caller_conn_call(const struct edge_caller *edge,
			  const struct conn *cn);
void caller_conn_gone(struct edge_caller *edge, const struct conn *cn);
void caller_conn_expect(struct conn *cn, uint32_t ms);
void caller_conn_resume(struct edge_caller *edge, struct conn *cn,
			enum conn_state state);
void *edge_caller_watch(void *arg);
enum MHD_Result edge_caller_accept(void *cls, const struct sockaddr *sa,
				   socklen_t len);
void edge_caller_connection(void *cls, struct MHD_Connection *mhd,
			    void **context,
			    enum MHD_ConnectionNotificationCode code);

/* edge-caller-request.c */
enum MHD_Result edge_caller_handle(void *cls, struct MHD_Connection *mhd,
				   const char *path, const char *method,
				   const char *version, const char *data,
				   size_t *len, void **con_cls);
void edge_caller_completed(void *cls, struct MHD_Connection *mhd,
			   void **con_cls,
			   enum MHD_RequestTerminationCode code);

/* edge-caller-reply.c */
void caller_refusal_note(struct edge_caller *edge,
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
