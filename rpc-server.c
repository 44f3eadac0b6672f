#include "bamboofront.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "rpc-client.h"
#include "rpc-server.h"

/*
 * The messages are libtirpc's (xdr_callmsg, xdr_replymsg); the sockets are
 * ours.  Its svc_vc transport keeps its connections in tables of the whole
 * process, sets the mode that withstands a half-sent record only on
 * connections that it accepts itself, and spins for two seconds in the
 * server's thread when a client doesn't read its answer, during which
 * nobody else is served.  Here each listener has its own thread and no
 * connection can make it wait.
 */

#define READ_BYTES 65536 /* of one connection in one round */
#define ACCEPT_PAUSE_MS 100
#define STOP_MS 1000 /* answers are still written for so long */

struct rpc_timeouts rpc_timeouts = {
	.record_ms = 5000,
	.idle_ms = 120000,
	.answer_ms = 15000,
	.sender_idle_ms = 60000,
};

enum conn_state {
	CONN_IDLE,
	CONN_READING, /* part of a record is here */
	CONN_CALLED,  /* the answer is awaited */
	CONN_WRITING
};

struct rpc_conn {
	int fd;
	enum conn_state state;
	int64_t deadline; /* of the state */
	bool dead;
	uint64_t call;
	uint32_t xid;
	uint8_t *in;
	size_t in_at; /* what comes before has been taken */
	size_t in_len;
	size_t in_room;
	uint8_t *out;
	size_t out_len;
	size_t out_sent;
};

struct rpc_server {
	struct rpc_service service;
	pthread_t thread;
	bool started;
	int listen_fd;
	int stop_fd;
	uint16_t port;
	int64_t accept_at;     /* not before: descriptors ran out */
	int64_t stop_deadline; /* 0: not stopping */
	uint64_t next_call;
	struct rpc_conn **conns; /* conn_count of them */
	size_t conn_count;
	bool again;	    /* a connection may hold a whole record already */
	struct pollfd *fds; /* POLL_CONNS, then one for each connection */
};

enum { POLL_STOP, POLL_LISTEN, POLL_WAKE, POLL_CONNS };

/* Start a thread with every signal blocked. */
void rpc_thread_start(pthread_t *thread, void *(*run)(void *), void *arg)
{
	sigset_t all, old;

	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &old);
	if (pthread_create(thread, NULL, run, arg))
		abort();
	pthread_sigmask(SIG_SETMASK, &old, NULL);
}

/* Enter a state and set its deadline. */
static void conn_enter(struct rpc_conn *conn, enum conn_state state)
{
	conn->state = state;
	switch (state) {
	case CONN_IDLE:
		conn->deadline = clock_now() + rpc_timeouts.idle_ms;
		break;
	case CONN_READING:
	case CONN_WRITING:
		conn->deadline = clock_now() + rpc_timeouts.record_ms;
		break;
	case CONN_CALLED:
		conn->deadline = INT64_MAX; /* the edge answers in time */
		break;
	}
}

/*
 * Close a connection.  An answer that is still unsent would stay with the
 * kernel for as long as the other end leaves its window shut; a reset drops
 * it and tells the other end.
 */
static void conn_free(struct rpc_conn *conn)
{
	static const struct linger reset = {.l_onoff = 1};

	if (conn->out_len)
		setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
	close(conn->fd);
	free(conn->in);
	free(conn->out);
	free(conn);
}

/* Give up a connection for what it sent. */
static void conn_refuse(const struct rpc_server *srv, struct rpc_conn *conn,
			enum counter_id counter, const char *why)
{
	conn->dead = true;
	counter_add(counter, 1);
	log_event(LOG_BAD_INPUT, "%s: %s; connection closed", srv->service.name,
		  why);
}

/* Write what the socket takes now. */
static void conn_write(struct rpc_server *srv, struct rpc_conn *conn)
{
	ssize_t n;

	while (conn->out_sent < conn->out_len) {
		n = send(conn->fd, conn->out + conn->out_sent,
			 conn->out_len - conn->out_sent,
			 MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return;
		if (n < 0) {
			conn->dead = true;
			return;
		}
		conn->out_sent += (size_t)n;
	}
	free(conn->out);
	conn->out = NULL;
	conn->out_len = conn->out_sent = 0;
	conn_enter(conn, CONN_READING);
	srv->again = true;
}

/* Encode an answer as a record of one fragment and begin to write it. */
static void conn_reply(struct rpc_server *srv, struct rpc_conn *conn,
		       struct rpc_msg *msg)
{
	bstr b, record;

	msg->rm_xid = conn->xid;
	msg->rm_direction = REPLY;
	b = xdr_encode(XDR_PROC(xdr_replymsg), msg);
	record = rpc_record_new(b, BSTR_NONE);
	conn->out = (uint8_t *)record.bstr_val;
	conn->out_len = record.bstr_len;
	bstr_free(&b);
	conn->call = 0;
	conn_enter(conn, CONN_WRITING);
	conn_write(srv, conn);
}

/* Answer that the call was accepted, with what came of it. */
static void conn_accepted(struct rpc_server *srv, struct rpc_conn *conn,
			  enum accept_stat stat, xdrproc_t proc,
			  const void *result)
{
	struct rpc_msg msg = {0};

	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_verf = _null_auth;
	msg.acpted_rply.ar_stat = stat;
	if (stat == SUCCESS) {
		msg.acpted_rply.ar_results.where = (caddr_t)(void *)result;
		msg.acpted_rply.ar_results.proc = proc;
	} else if (stat == PROG_MISMATCH) {
		msg.acpted_rply.ar_vers.low = srv->service.version;
		msg.acpted_rply.ar_vers.high = srv->service.version;
	}
	conn_reply(srv, conn, &msg);
}

/* Find the connection that awaits the answer to a call. */
static struct rpc_conn *server_find(struct rpc_server *srv, uint64_t call)
{
	size_t i;

	for (i = 0; i < srv->conn_count; i++)
		if (srv->conns[i]->call == call && !srv->conns[i]->dead)
			return srv->conns[i];
	return NULL;
}

/* Answer a call with its result. */
bool rpc_server_reply(struct rpc_server *srv, uint64_t call, xdrproc_t proc,
		      const void *result)
{
	struct rpc_conn *conn = server_find(srv, call);

	if (!conn)
		return false;
	conn_accepted(srv, conn, SUCCESS, proc, result);
	return true;
}

/* Answer that a call failed on this side. */
bool rpc_server_fail(struct rpc_server *srv, uint64_t call,
		     enum accept_stat why)
{
	struct rpc_conn *conn = server_find(srv, call);

	if (!conn)
		return false;
	conn_accepted(srv, conn, why, NULL, NULL);
	return true;
}

/* Answer that a call's seal did not hold. */
bool rpc_server_deny(struct rpc_server *srv, uint64_t call,
		     enum seal_result why)
{
	struct rpc_conn *conn = server_find(srv, call);
	struct rpc_msg msg = {0};

	counter_add(COUNT_REFUSED_SEAL, 1);
	log_event(LOG_BAD_SEAL, "%s: %s", srv->service.name,
		  why == SEAL_EXPIRED	 ? "late, or the clocks differ"
		  : why == SEAL_REPLAYED ? "replayed, or too many at once"
					 : "bad MAC");
	if (!conn)
		return false;
	msg.rm_reply.rp_stat = MSG_DENIED;
	msg.rjcted_rply.rj_stat = AUTH_ERROR;
	msg.rjcted_rply.rj_why = why == SEAL_BAD_MAC ? AUTH_BADVERF
						     : AUTH_REJECTEDVERF;
	conn_reply(srv, conn, &msg);
	return true;
}

/* Dispatch a call whose arguments come next in x. */
static void conn_dispatch(struct rpc_server *srv, struct rpc_conn *conn,
			  const struct call_body *body, XDR *x, size_t payload)
{
	const struct rpc_service *service = &srv->service;
	sealed envelope;

	if (body->cb_prog != service->program) {
		conn_accepted(srv, conn, PROG_UNAVAIL, NULL, NULL);
	} else if (body->cb_vers != service->version) {
		conn_accepted(srv, conn, PROG_MISMATCH, NULL, NULL);
	} else if (body->cb_proc != service->procedure) {
		conn_accepted(srv, conn, PROC_UNAVAIL, NULL, NULL);
	} else {
		memset(&envelope, 0, sizeof(envelope));
		if (xdr_sealed(x, &envelope) && xdr_getpos(x) == payload) {
			service->on_call(service->arg, conn->call, &envelope);
		} else {
			counter_add(COUNT_REFUSED_MALFORMED, 1);
			log_event(LOG_BAD_INPUT, "%s: arguments don't decode",
				  service->name);
			conn_accepted(srv, conn, GARBAGE_ARGS, NULL, NULL);
		}
		xdr_free(XDR_PROC(xdr_sealed), (char *)&envelope);
	}
}

/* Decode one record as a call. */
static void conn_call(struct rpc_server *srv, struct rpc_conn *conn,
		      size_t payload)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	XDR x;

	msg.rm_call.cb_cred.oa_base = cred;
	msg.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&x, (char *)conn->in + conn->in_at, (u_int)payload,
		      XDR_DECODE);
	if (xdr_callmsg(&x, &msg)) {
		conn->xid = msg.rm_xid;
		conn->call = srv->next_call++;
		conn_enter(conn, CONN_CALLED);
		conn_dispatch(srv, conn, &msg.rm_call, &x, payload);
	} else {
		conn_refuse(srv, conn, COUNT_REFUSED_MALFORMED,
			    "a record that is no call");
	}
	xdr_destroy(&x);
}

/* Handle the record at the start of what has been read, if it is whole. */
static bool conn_take(struct rpc_server *srv, struct rpc_conn *conn)
{
	size_t payload, raw;

	switch (rpc_record_find(conn->in + conn->in_at,
				conn->in_len - conn->in_at, &payload, &raw)) {
	case RPC_RECORD_PARTIAL:
		return false;
	case RPC_RECORD_TOO_LONG:
		conn_refuse(srv, conn, COUNT_REFUSED_BODY_TOO_LARGE,
			    "a record over the bound");
		return false;
	case RPC_RECORD_INVALID:
		conn_refuse(srv, conn, COUNT_REFUSED_MALFORMED,
			    "a record in too many fragments");
		return false;
	case RPC_RECORD_COMPLETE:
		break;
	}
	rpc_record_join(conn->in + conn->in_at, payload);
	conn_call(srv, conn, payload);
	conn->in_at += raw;
	return true;
}

/* Read what is there, up to a bound for each round. */
static bool conn_read(struct rpc_conn *conn)
{
	ssize_t n;

	if (conn->in_room - conn->in_len < READ_BYTES) {
		conn->in_room = conn->in_len + READ_BYTES;
		conn->in = xrealloc(conn->in, conn->in_room, 1);
	}
	n = recv(conn->fd, conn->in + conn->in_len, READ_BYTES, MSG_DONTWAIT);
	if (n > 0) {
		conn->in_len += (size_t)n;
		return true;
	}
	if (n == 0 || (errno != EAGAIN && errno != EINTR))
		conn->dead = true;
	return false;
}

/* Drop what has been taken; without anything left the connection is idle. */
static void conn_compact(struct rpc_conn *conn)
{
	conn->in_len -= conn->in_at;
	if (conn->in_len) {
		memmove(conn->in, conn->in + conn->in_at, conn->in_len);
	} else {
		free(conn->in);
		conn->in = NULL;
		conn->in_room = 0;
		if (conn->state == CONN_READING)
			conn_enter(conn, CONN_IDLE);
	}
	conn->in_at = 0;
}

/* Go on with a connection; one call at a time, calls in their order. */
static void conn_serve(struct rpc_server *srv, struct rpc_conn *conn,
		       short revents)
{
	if (conn->state == CONN_CALLED) {
		if (revents)
			conn->dead = true; /* nobody is left to answer */
		return;
	}
	if (conn->state == CONN_WRITING && revents)
		conn_write(srv, conn);
	else if (revents && conn_read(conn) && conn->state == CONN_IDLE)
		conn_enter(conn, CONN_READING);
	if (conn->state != CONN_READING)
		return;
	while (!conn->dead && conn->state == CONN_READING)
		if (!conn_take(srv, conn))
			break;
	conn_compact(conn);
}

/* Close a connection whose state has lasted too long. */
static void conn_expire(const struct rpc_server *srv, struct rpc_conn *conn,
			int64_t now)
{
	if (conn->dead || now < conn->deadline)
		return;
	if (conn->state == CONN_IDLE)
		conn->dead = true;
	else
		conn_refuse(srv, conn, COUNT_DROPPED_SLOW,
			    conn->state == CONN_READING
				    ? "a record was not whole in time"
				    : "an answer was not read in time");
}

/* Add an accepted socket. */
static void server_add(struct rpc_server *srv, int fd)
{
	struct rpc_conn *conn = xcalloc(1, sizeof(*conn));
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conn->fd = fd;
	conn_enter(conn, CONN_IDLE);
	srv->conns[srv->conn_count++] = conn;
}

/*
 * Accept what waits.  When no descriptor is left the listener stays readable
 * and a loop would spin on it; a pause keeps the thread free for the calls
 * that will give descriptors back.
 */
static void server_accept(struct rpc_server *srv)
{
	int fd;

	while ((fd = accept4(srv->listen_fd, NULL, NULL,
			     SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0) {
		if (srv->conn_count < srv->service.max_connections) {
			server_add(srv, fd);
			continue;
		}
		counter_add(COUNT_REFUSED_CONNECTIONS, 1);
		log_event(LOG_REFUSED_CONNECTION,
			  "%s: %zu connections are open", srv->service.name,
			  srv->conn_count);
		close(fd);
	}
	if (errno == EMFILE || errno == ENFILE || errno == ENOMEM) {
		srv->accept_at = clock_now() + ACCEPT_PAUSE_MS;
		counter_add(COUNT_REFUSED_CONNECTIONS, 1);
		log_event(LOG_REFUSED_CONNECTION, "%s: %s", srv->service.name,
			  strerror(errno));
	}
}

/* What to poll a connection for. */
static short conn_events(const struct rpc_conn *conn)
{
	switch (conn->state) {
	case CONN_IDLE:
	case CONN_READING:
		return POLLIN;
	case CONN_WRITING:
		return POLLOUT;
	case CONN_CALLED:
		break;
	}
	return POLLRDHUP;
}

/* Fill the poll set; returns the first deadline, at most `until`. */
static int64_t server_poll_set(struct rpc_server *srv, int64_t until)
{
	struct pollfd *p = srv->fds;
	const struct rpc_conn *conn;
	size_t i;
	bool accepting = !srv->stop_deadline && clock_now() >= srv->accept_at;

	p[POLL_STOP] = (struct pollfd){srv->stop_deadline ? -1 : srv->stop_fd,
				       POLLIN, 0};
	p[POLL_LISTEN] = (struct pollfd){accepting ? srv->listen_fd : -1,
					 POLLIN, 0};
	p[POLL_WAKE] = (struct pollfd){
		srv->service.wake ? mailbox_fd(srv->service.wake) : -1, POLLIN,
		0};
	if (!accepting && !srv->stop_deadline && srv->accept_at < until)
		until = srv->accept_at;
	if (srv->stop_deadline && srv->stop_deadline < until)
		until = srv->stop_deadline;
	p += POLL_CONNS;
	for (i = 0; i < srv->conn_count; i++) {
		conn = srv->conns[i];
		p[i] = (struct pollfd){conn->fd, conn_events(conn), 0};
		if (conn->deadline < until)
			until = conn->deadline;
	}
	return until;
}

/* Serve every connection once. */
static void server_round(struct rpc_server *srv)
{
	size_t i;

	for (i = 0; i < srv->conn_count; i++)
		conn_serve(srv, srv->conns[i],
			   srv->fds[POLL_CONNS + i].revents);
}

/* Close what is over; true if an answer is still being written. */
static bool server_sweep(struct rpc_server *srv)
{
	int64_t now = clock_now();
	struct rpc_conn *conn;
	bool writing = false;
	size_t i, kept = 0;

	for (i = 0; i < srv->conn_count; i++) {
		conn = srv->conns[i];
		conn_expire(srv, conn, now);
		if (conn->dead) {
			conn_free(conn);
			continue;
		}
		writing |= conn->state == CONN_WRITING;
		srv->conns[kept++] = conn;
	}
	srv->conn_count = kept;
	return writing;
}

/* Sleep until something is to be done. */
static void server_sleep(struct rpc_server *srv, int64_t until)
{
	int64_t left;

	until = server_poll_set(srv, until);
	left = until - clock_now();
	if (left < 0 || srv->again)
		left = 0;
	srv->again = false;
	if (left > INT32_MAX)
		left = INT32_MAX;
	if (poll(srv->fds, POLL_CONNS + srv->conn_count, (int)left) < 0)
		srv->fds[POLL_LISTEN].revents = 0; /* EINTR: look again */
}

/* The loop of the listener's thread. */
static void *server_run(void *arg)
{
	struct rpc_server *srv = arg;
	const struct rpc_service *service = &srv->service;
	int64_t until = INT64_MAX;
	bool writing;

	for (;;) {
		server_sleep(srv, until);
		if (srv->fds[POLL_STOP].revents)
			srv->stop_deadline = clock_now() + STOP_MS;
		if (srv->fds[POLL_WAKE].revents)
			mailbox_clear_wakeup(service->wake);
		server_round(srv);
		if (service->on_loop)
			until = service->on_loop(service->arg, clock_now());
		writing = server_sweep(srv); /* makes room for new ones */
		if (srv->fds[POLL_LISTEN].revents)
			server_accept(srv);
		if (srv->stop_deadline &&
		    (!writing || clock_now() >= srv->stop_deadline))
			return NULL;
	}
}

/* Bind and listen; -1 with a finding on failure. */
static int server_listen(struct rpc_server *srv,
			 const struct address *listen_at, struct error *e)
{
	struct sockaddr_storage sa;
	socklen_t len;
	int fd, one = 1;
	char *place = xasprintf("%s.listen", srv->service.name);

	fd = -1;
	if (!socket_address(listen_at->host, listen_at->port, &sa, &len)) {
		error_add(e, place, "%s is no IP number", listen_at->host);
		goto out;
	}
	fd = socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, len) ||
	    listen(fd, SOMAXCONN) ||
	    getsockname(fd, (struct sockaddr *)&sa, &len)) {
		error_add(e, place, "%s:%u: %s", listen_at->host,
			  listen_at->port, strerror(errno));
		if (fd >= 0)
			close(fd);
		fd = -1;
		goto out;
	}
	srv->port = ntohs(sa.ss_family == AF_INET
				  ? ((struct sockaddr_in *)&sa)->sin_port
				  : ((struct sockaddr_in6 *)&sa)->sin6_port);
out:
	free(place);
	return fd;
}

/*
 * Bind a listener; NULL with a finding if that fails.  Call identifiers
 * begin at the wall clock, so that an answer that comes late, for a call to
 * the process that ran here before, fits no call of this one.
 */
struct rpc_server *rpc_server_new(const struct rpc_service *service,
				  const struct address *listen_at,
				  struct error *e)
{
	struct rpc_server *srv = xcalloc(1, sizeof(*srv));

	if (sodium_init() < 0)
		abort();
	srv->service = *service;
	srv->next_call = (uint64_t)clock_wall() << 20;
	srv->listen_fd = server_listen(srv, listen_at, e);
	if (srv->listen_fd < 0) {
		free(srv);
		return NULL;
	}
	srv->stop_fd = eventfd(0, EFD_CLOEXEC);
	if (srv->stop_fd < 0)
		abort();
	srv->conns = xcalloc(service->max_connections,
			     sizeof(struct rpc_conn *));
	srv->fds = xcalloc(POLL_CONNS + service->max_connections,
			   sizeof(*srv->fds));
	return srv;
}

/* Start serving. */
void rpc_server_start(struct rpc_server *srv)
{
	rpc_thread_start(&srv->thread, server_run, srv);
	srv->started = true;
}

/* The port that was bound. */
uint16_t rpc_server_port(const struct rpc_server *srv)
{
	return srv->port;
}

/* Stop serving, write out the answers that are there, and free. */
void rpc_server_stop(struct rpc_server *srv)
{
	uint64_t one = 1;

	if (srv->started) {
		if (write(srv->stop_fd, &one, sizeof(one)) != sizeof(one))
			abort();
		pthread_join(srv->thread, NULL);
	}
	while (srv->conn_count)
		conn_free(srv->conns[--srv->conn_count]);
	close(srv->listen_fd);
	close(srv->stop_fd);
	free(srv->conns);
	free(srv->fds);
	free(srv);
}
