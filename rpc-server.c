/*
 * ONC RPC server. libtirpc encodes the messages (xdr_callmsg, xdr_replymsg),
 * and the sockets are handled here.
 *
 * libtirpc's own transport, svc_vc, keeps its connections in tables of the
 * whole process. It enables the mode that tolerates an incomplete record only
 * on connections that it accepts itself. And it busy-waits for two seconds in
 * the server's thread when a client does not read its reply, during which no
 * other client is served. Here each server has its own thread, and no
 * connection can block it.
 */
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

#include "intake.h"
#include "rpc-client.h"
#include "rpc-server.h"

#define READ_BYTES 65536    /* per connection and iteration of the loop */
#define SPARE_CONNS 16	    /* that are being closed */
#define ACCEPT_PAUSE_MS 100 /* after descriptors or memory ran out */
#define STOP_MS 1000	    /* replies are still written for this long */

struct rpc_timeouts rpc_timeouts = {
	.record_ms = 5000,
	.idle_ms = 120000,
	.answer_ms = 15000,
	.sender_idle_ms = 60000,
};

enum conn_state {
	CONN_IDLE,
	CONN_READING,	 /* a part of a record has been received */
	CONN_DISPATCHED, /* waits for the service to reply */
	CONN_WRITING
};

struct rpc_conn {
	int fd;
	enum conn_state state;
	int64_t deadline; /* of the state */
	bool closing;	  /* at the next server_close_conns */
	uint64_t call;
	uint32_t xid;
	struct intake_conn *held; /* has the received data */
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
	int64_t accept_at;     /* no connection is accepted earlier */
	int64_t stop_deadline; /* 0: not stopping */
	uint64_t next_call;
	struct rpc_conn **conns; /* conn_count of them */
	size_t conn_count;
	struct intake_gate *gate;
	uint8_t *scratch; /* READ_BYTES */
	bool closing;	  /* a connection is to be closed: do not sleep */
	bool buffered;	  /* a complete record may be buffered: do not sleep */
	struct pollfd *fds; /* POLL_CONNS, then one for each connection */
};

enum { POLL_STOP, POLL_LISTEN, POLL_WAKE, POLL_CONNS };

/*
 * Starts a thread with all signals blocked, because the main thread handles
 * them.
 */
void rpc_thread_start(pthread_t *thread, void *(*run)(void *), void *arg)
{
	sigset_t all, old;

	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &old);
	if (pthread_create(thread, NULL, run, arg))
		abort();
	pthread_sigmask(SIG_SETMASK, &old, NULL);
}

/* Changes the state of a connection and sets the deadline of the state. */
static void conn_set_state(struct rpc_conn *conn, enum conn_state state)
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
	case CONN_DISPATCHED:
		conn->deadline = INT64_MAX; /* the service replies in time */
		break;
	}
}

/*
 * Closes and frees a connection. If a reply has not been written completely,
 * the connection is reset. The kernel would otherwise keep the data for as long
 * as the client's receive window is closed; a reset discards it and notifies
 * the client.
 */
static void conn_free(struct rpc_conn *conn)
{
	static const struct linger reset = {.l_onoff = 1};

	if (conn->out_len)
		setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
	intake_close(conn->held);
	close(conn->fd);
	free(conn->out);
	free(conn);
}

/* Marks a misbehaving connection for closing; logs and counts the reason. */
static void conn_reject(const struct rpc_server *srv, struct rpc_conn *conn,
			enum counter_id counter, const char *why)
{
	conn->closing = true;
	counter_add(counter, 1);
	log_event(LOG_BAD_INPUT, "%s: %s; connection closed", srv->service.name,
		  why);
}

/*
 * Writes as much of the reply as the socket accepts. Once it is complete, the
 * connection may process the next record, which may be buffered already.
 */
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
			conn->closing = true;
			return;
		}
		conn->out_sent += (size_t)n;
	}
	free(conn->out);
	conn->out = NULL;
	conn->out_len = conn->out_sent = 0;
	conn_set_state(conn, CONN_READING);
	srv->buffered = true;
}

/* Encodes a reply as a record of one fragment and starts to write it. */
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
	conn_set_state(conn, CONN_WRITING);
	conn_write(srv, conn);
}

/* Replies that a call was accepted, with its status and its result, if any. */
static void conn_reply_accepted(struct rpc_server *srv, struct rpc_conn *conn,
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

/* Returns the connection that waits for the reply to a call, or NULL. */
static struct rpc_conn *server_find_conn(struct rpc_server *srv, uint64_t call)
{
	size_t i;

	for (i = 0; i < srv->conn_count; i++)
		if (srv->conns[i]->call == call && !srv->conns[i]->closing)
			return srv->conns[i];
	return NULL;
}

/* Replies to a call with its result; false if the client has disconnected. */
bool rpc_server_reply(struct rpc_server *srv, uint64_t call, xdrproc_t proc,
		      const void *result)
{
	struct rpc_conn *conn = server_find_conn(srv, call);

	if (!conn)
		return false;
	conn_reply_accepted(srv, conn, SUCCESS, proc, result);
	return true;
}

/* Replies to a call with an RPC error; false if the client has disconnected. */
bool rpc_server_fail(struct rpc_server *srv, uint64_t call,
		     enum accept_stat why)
{
	struct rpc_conn *conn = server_find_conn(srv, call);

	if (!conn)
		return false;
	conn_reply_accepted(srv, conn, why, NULL, NULL);
	return true;
}

/*
 * Replies to a call that its seal was rejected, and logs and counts that.
 * Returns false if the client has disconnected.
 */
bool rpc_server_deny(struct rpc_server *srv, uint64_t call,
		     enum seal_result why)
{
	struct rpc_conn *conn = server_find_conn(srv, call);
	struct rpc_msg msg = {0};

	counter_add(COUNT_REFUSED_SEAL, 1);
	log_event(LOG_BAD_SEAL, "%s: %s", srv->service.name,
		  why == SEAL_EXPIRED ? "expired, or the clocks differ"
		  : why == SEAL_REPLAYED
			  ? "replayed, or the replay guard is full"
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

/* Passes a call to the service; x is positioned at the arguments. */
static void conn_dispatch(struct rpc_server *srv, struct rpc_conn *conn,
			  const struct call_body *body, XDR *x, size_t payload)
{
	const struct rpc_service *service = &srv->service;
	sealed envelope;

	if (body->cb_prog != service->program) {
		conn_reply_accepted(srv, conn, PROG_UNAVAIL, NULL, NULL);
	} else if (body->cb_vers != service->version) {
		conn_reply_accepted(srv, conn, PROG_MISMATCH, NULL, NULL);
	} else if (body->cb_proc != service->procedure) {
		conn_reply_accepted(srv, conn, PROC_UNAVAIL, NULL, NULL);
	} else {
		memset(&envelope, 0, sizeof(envelope));
		if (xdr_sealed(x, &envelope) && xdr_getpos(x) == payload) {
			service->on_call(service->arg, conn->call, &envelope);
		} else {
			counter_add(COUNT_REFUSED_MALFORMED, 1);
			log_event(LOG_BAD_INPUT,
				  "%s: arguments cannot be decoded",
				  service->name);
			conn_reply_accepted(srv, conn, GARBAGE_ARGS, NULL,
					    NULL);
		}
		xdr_free(XDR_PROC(xdr_sealed), (char *)&envelope);
	}
}

/* Decodes a record as a call and dispatches it. */
static void conn_decode_call(struct rpc_server *srv, struct rpc_conn *conn,
			     uint8_t *record, size_t payload)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	XDR x;

	msg.rm_call.cb_cred.oa_base = cred;
	msg.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&x, (char *)record, (u_int)payload, XDR_DECODE);
	if (xdr_callmsg(&x, &msg)) {
		conn->xid = msg.rm_xid;
		conn->call = srv->next_call++;
		conn_set_state(conn, CONN_DISPATCHED);
		conn_dispatch(srv, conn, &msg.rm_call, &x, payload);
	} else {
		conn_reject(srv, conn, COUNT_REFUSED_MALFORMED,
			    "a record is not a call");
	}
	xdr_destroy(&x);
}

/*
 * Processes the first record of the received data. Returns its length, or 0 if
 * it is incomplete or invalid.
 */
static size_t conn_process_record(struct rpc_server *srv, struct rpc_conn *conn,
				  bstr data)
{
	uint8_t *record = (uint8_t *)data.bstr_val;
	size_t payload, raw;

	switch (rpc_record_find(record, data.bstr_len, &payload, &raw)) {
	case RPC_RECORD_PARTIAL:
		return 0;
	case RPC_RECORD_TOO_LONG:
		conn_reject(srv, conn, COUNT_REFUSED_BODY_TOO_LARGE,
			    "a record is too long");
		return 0;
	case RPC_RECORD_INVALID:
		conn_reject(srv, conn, COUNT_REFUSED_MALFORMED,
			    "a record has too many fragments");
		return 0;
	case RPC_RECORD_COMPLETE:
		break;
	}
	rpc_record_join(record, payload);
	conn_decode_call(srv, conn, record, payload);
	return raw;
}

/*
 * Reads up to READ_BYTES. Returns false if nothing was read, or if there is no
 * room for it: unlike a caller of HTTP, a client can't be told.
 */
static bool conn_read(struct rpc_server *srv, struct rpc_conn *conn)
{
	ssize_t n = recv(conn->fd, srv->scratch, READ_BYTES, MSG_DONTWAIT);
	int64_t now = clock_now();

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return false;
	if (n <= 0) {
		conn->closing = true;
		return false;
	}
	if (conn->state == CONN_IDLE)
		intake_begin(conn->held, now);
	switch (intake_append(conn->held, srv->scratch, (size_t)n, now)) {
	case INTAKE_OK:
		return true;
	case INTAKE_CUT:
		conn->closing = true;
		return false;
	default:
		conn_reject(srv, conn, COUNT_REFUSED_INTAKE,
			    "no room for a record");
		return false;
	}
}

/*
 * Processes the records that have been received. The connection becomes idle if
 * it waits for a record of which nothing has been received.
 */
static void conn_process_records(struct rpc_server *srv, struct rpc_conn *conn)
{
	size_t done = 0, len = 0;
	bstr data;

	if (!intake_complete(conn->held, &data)) {
		conn->closing = true;
		return;
	}
	while (!conn->closing && conn->state == CONN_READING) {
		len = conn_process_record(
			srv, conn,
			bstr_ref(data.bstr_val + done, data.bstr_len - done));
		if (!len)
			break;
		done += len;
	}
	intake_release(conn->held, done);
	if (conn->state != CONN_READING)
		return;
	if (done == data.bstr_len) {
		intake_finish(conn->held, clock_now());
		conn_set_state(conn, CONN_IDLE);
	} else if (done) {
		intake_begin(conn->held, clock_now());
	} else {
		intake_resume(conn->held);
	}
}

/*
 * Handles the poll events of a connection. Its calls are processed one at a
 * time and in order.
 */
static void conn_handle_events(struct rpc_server *srv, struct rpc_conn *conn,
			       short revents)
{
	if (conn->state == CONN_DISPATCHED) {
		if (revents)
			conn->closing = true; /* the client has disconnected */
		return;
	}
	if (conn->state == CONN_WRITING && revents)
		conn_write(srv, conn);
	else if (revents && conn_read(srv, conn) && conn->state == CONN_IDLE)
		conn_set_state(conn, CONN_READING);
	if (conn->state == CONN_READING && !conn->closing)
		conn_process_records(srv, conn);
}

/* Marks a connection for closing if the deadline of its state has passed. */
static void conn_expire(const struct rpc_server *srv, struct rpc_conn *conn,
			int64_t now)
{
	if (conn->closing || now < conn->deadline)
		return;
	if (conn->state == CONN_IDLE)
		conn->closing = true;
	else
		conn_reject(srv, conn, COUNT_DROPPED_SLOW,
			    conn->state == CONN_READING
				    ? "a record was not received in time"
				    : "a reply was not read in time");
}

/* Adds a connection for an accepted socket. */
static void server_add_conn(struct rpc_server *srv, int fd)
{
	struct rpc_conn *conn = xcalloc(1, sizeof(*conn));
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conn->fd = fd;
	conn->held = intake_open(srv->gate, fd, clock_now());
	conn_set_state(conn, CONN_IDLE);
	srv->conns[srv->conn_count++] = conn;
	if (!intake_is_surplus(conn->held))
		return;
	conn->closing = true;
	srv->closing = true;
	counter_add(COUNT_REFUSED_CONNECTIONS, 1);
	log_event(LOG_REFUSED_CONNECTION, "%s: %u connections have calls",
		  srv->service.name, srv->service.max_connections);
}

/* Returns true if there is room for a connection, or will be in a moment. */
static bool server_has_room(const struct rpc_server *srv)
{
	return srv->conn_count < srv->service.max_connections + SPARE_CONNS;
}

/*
 * Accepts pending connections. When no descriptor is left, the listening
 * socket stays readable and the event loop would spin on it. Accepting is
 * paused then, so that the thread can serve the connections whose end frees
 * descriptors.
 */
static void server_accept(struct rpc_server *srv)
{
	int fd = 0;

	while (server_has_room(srv) &&
	       (fd = accept4(srv->listen_fd, NULL, NULL,
			     SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0)
		server_add_conn(srv, fd);
	if (fd >= 0)
		return;
	if (errno == EMFILE || errno == ENFILE || errno == ENOMEM) {
		srv->accept_at = clock_now() + ACCEPT_PAUSE_MS;
		counter_add(COUNT_REFUSED_CONNECTIONS, 1);
		log_event(LOG_REFUSED_CONNECTION, "%s: %s", srv->service.name,
			  strerror(errno));
	}
}

/* Returns the events to poll a connection for. */
static short conn_events(const struct rpc_conn *conn)
{
	switch (conn->state) {
	case CONN_IDLE:
	case CONN_READING:
		return POLLIN;
	case CONN_WRITING:
		return POLLOUT;
	case CONN_DISPATCHED:
		break;
	}
	return POLLRDHUP;
}

/* Fills the poll set. Returns the earliest deadline, at most until. */
static int64_t server_fill_poll_set(struct rpc_server *srv, int64_t until)
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

/* Handles the poll events of all connections. */
static void server_serve_conns(struct rpc_server *srv)
{
	size_t i;

	for (i = 0; i < srv->conn_count; i++)
		conn_handle_events(srv, srv->conns[i],
				   srv->fds[POLL_CONNS + i].revents);
}

/*
 * Closes the connections that are marked or expired. Returns true if a reply is
 * still being written.
 */
static bool server_close_conns(struct rpc_server *srv)
{
	int64_t now = clock_now();
	struct rpc_conn *conn;
	bool writing = false;
	size_t i, kept = 0;

	for (i = 0; i < srv->conn_count; i++) {
		conn = srv->conns[i];
		conn_expire(srv, conn, now);
		if (conn->closing) {
			conn_free(conn);
			continue;
		}
		writing |= conn->state == CONN_WRITING;
		srv->conns[kept++] = conn;
	}
	srv->conn_count = kept;
	return writing;
}

/* Waits for events, until a deadline or until a timeout of a connection. */
static void server_poll(struct rpc_server *srv, int64_t until)
{
	int64_t left;

	until = server_fill_poll_set(srv, until);
	left = until - clock_now();
	if (left < 0 || srv->buffered || srv->closing)
		left = 0;
	srv->buffered = srv->closing = false;
	if (left > INT32_MAX)
		left = INT32_MAX;
	/* After EINTR, revents are stale: accept at the next iteration. */
	if (poll(srv->fds, POLL_CONNS + srv->conn_count, (int)left) < 0)
		srv->fds[POLL_LISTEN].revents = 0;
}

/* The event loop of the server's thread. */
static void *server_run(void *arg)
{
	struct rpc_server *srv = arg;
	const struct rpc_service *service = &srv->service;
	int64_t until = INT64_MAX;
	bool writing;

	for (;;) {
		server_poll(srv, until);
		if (srv->fds[POLL_STOP].revents)
			srv->stop_deadline = clock_now() + STOP_MS;
		if (srv->fds[POLL_WAKE].revents)
			mailbox_clear_wakeup(service->wake);
		server_serve_conns(srv);
		if (service->on_loop)
			until = service->on_loop(service->arg, clock_now());
		/* Comes before accepting, because it may free capacity. */
		writing = server_close_conns(srv);
		if (srv->fds[POLL_LISTEN].revents)
			server_accept(srv);
		if (srv->stop_deadline &&
		    (!writing || clock_now() >= srv->stop_deadline))
			return NULL;
	}
}

/* Returns a listening socket, or -1 with an error. */
static int server_listen(struct rpc_server *srv, const struct address *address,
			 struct error *e)
{
	struct sockaddr_storage sa;
	socklen_t len;
	int fd, one = 1;
	char *place = xasprintf("%s.listen", srv->service.name);

	fd = -1;
	if (!socket_address(address->host, address->port, &sa, &len)) {
		error_add(e, place, "%s is not an IP address", address->host);
		goto out;
	}
	fd = socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, len) ||
	    listen(fd, SOMAXCONN) ||
	    getsockname(fd, (struct sockaddr *)&sa, &len)) {
		error_add(e, place, "%s:%u: %s", address->host, address->port,
			  strerror(errno));
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
 * Creates a server that is bound but not started. Returns NULL with an error if
 * it cannot listen. Call ids start at the wall clock, so that a late reply to a
 * call that a previous process received matches no call of this one.
 */
struct rpc_server *rpc_server_new(const struct rpc_service *service,
				  const struct address *address,
				  struct error *e)
{
	struct rpc_server *srv = xcalloc(1, sizeof(*srv));

	if (sodium_init() < 0)
		abort();
	srv->service = *service;
	srv->next_call = (uint64_t)clock_wall() << 20;
	srv->listen_fd = server_listen(srv, address, e);
	if (srv->listen_fd < 0) {
		free(srv);
		return NULL;
	}
	srv->stop_fd = eventfd(0, EFD_CLOEXEC);
	if (srv->stop_fd < 0)
		abort();
	intake_limit_unread(srv->listen_fd);
	srv->gate = intake_gate_new(service->intake, service->max_connections,
				    0);
	srv->scratch = xmalloc(READ_BYTES);
	srv->conns = xcalloc(service->max_connections + SPARE_CONNS,
			     sizeof(struct rpc_conn *));
	srv->fds = xcalloc(POLL_CONNS + service->max_connections + SPARE_CONNS,
			   sizeof(*srv->fds));
	return srv;
}

/* Starts the server's thread. */
void rpc_server_start(struct rpc_server *srv)
{
	rpc_thread_start(&srv->thread, server_run, srv);
	srv->started = true;
}

/* Returns the port that the server listens on. */
uint16_t rpc_server_port(const struct rpc_server *srv)
{
	return srv->port;
}

/* Stops a server, after writing the replies that are ready, and frees it. */
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
	free(srv->scratch);
	free(srv->conns);
	free(srv->fds);
	free(srv);
}
