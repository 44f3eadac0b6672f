/*
 * Connections of the callers' HTTP server: the connection table and the watcher
 * thread, which enforces deadlines and detects clients that disconnect.
 */
#include "edge-caller.h"

#include <ck_pr.h>
#include <sys/epoll.h>
#include <sys/socket.h>

/* Returns the ID of a connection's current call. Needs the conn's lock. */
uint64_t caller_conn_call(const struct edge_caller *edge, const struct conn *cn)
{
	return cn->generation << SLOT_BITS | (uint64_t)(cn - edge->conns);
}

/* Posts an EV_CALL_GONE. Returns false if the inbox is full. */
static bool gone_post(struct edge_caller *edge, uint64_t call)
{
	event *ev = event_new(EV_CALL_GONE);

	ev->body.event_body_u.gone = call;
	if (mailbox_put(edge->inbox, ev))
		return true;
	event_free(ev);
	return false;
}

/*
 * Reports to the reducer that nobody waits for a connection's call any more.
 * Needs the conn's lock.
 *
 * If the inbox is full, the call is kept in a list that the watcher retries. If
 * the report got lost, the reducer would hold the call forever. The list is
 * bounded: it never has more entries than calls were put into the inbox, and a
 * full inbox accepts no more calls.
 */
void caller_conn_notify_gone(struct edge_caller *edge, const struct conn *cn)
{
	struct gone_call *gone = xcalloc(1, sizeof(*gone));
	uint64_t call = caller_conn_call(edge, cn);

	gone->call = call;
	gone->bytes = intake_detach(cn->held);
	pthread_mutex_lock(&edge->lock);
	HASH_ADD(hh, edge->gone_calls, call, sizeof(gone->call), gone);
	if (!gone_post(edge, call)) {
		if (edge->unsent_gone_count == edge->unsent_gone_capacity) {
			edge->unsent_gone_capacity =
				edge->unsent_gone_capacity * 2 + 16;
			edge->unsent_gone = xrealloc(
				edge->unsent_gone, edge->unsent_gone_capacity,
				sizeof(*edge->unsent_gone));
		}
		edge->unsent_gone[edge->unsent_gone_count++] = call;
	}
	pthread_mutex_unlock(&edge->lock);
}

/* Releases what a call took that nobody waited for. */
void edge_caller_gone(struct edge_caller *edge, uint64_t call)
{
	struct gone_call *gone;

	pthread_mutex_lock(&edge->lock);
	HASH_FIND(hh, edge->gone_calls, &call, sizeof(call), gone);
	if (gone)
		HASH_DEL(edge->gone_calls, gone);
	pthread_mutex_unlock(&edge->lock);
	if (gone)
		intake_settle(edge->intake, gone->bytes);
	free(gone);
}

/* Posts the reports that caller_conn_notify_gone could not post. */
static void gone_retry(struct edge_caller *edge)
{
	pthread_mutex_lock(&edge->lock);
	while (edge->unsent_gone_count &&
	       gone_post(edge, edge->unsent_gone[edge->unsent_gone_count - 1]))
		edge->unsent_gone_count--;
	pthread_mutex_unlock(&edge->lock);
}

/* Sets the deadline of a connection, see conn_expire. */
void caller_conn_set_deadline(struct conn *cn, uint32_t ms)
{
	pthread_mutex_lock(&cn->lock);
	cn->deadline = clock_now() + ms;
	pthread_mutex_unlock(&cn->lock);
}

/*
 * Ends the call of a connection in the given state and resumes the connection.
 * Needs the conn's lock.
 */
void caller_conn_resume(struct edge_caller *edge, struct conn *cn,
			enum conn_state state)
{
	cn->state = state;
	cn->deadline = clock_now() + edge->timing.io_timeout_ms;
	MHD_resume_connection(cn->mhd);
}

/*
 * Handles a deadline that has passed. Needs the conn's lock.
 *
 * Pending call: the reducer answers each call by its own deadline. If it does
 * not (an answer between entry VMs was lost, or there is a bug), the caller
 * would hang until its own timeout without any information. It gets the answer
 * that the outcome is unknown, and can repeat the request with its idempotency
 * key. That is enough because nothing is decided here: the job continues.
 *
 * Request or reply in transfer: the connection is closed. A client that sends
 * or reads only a byte now and then, or nothing, would otherwise occupy the
 * connection forever.
 */
static void conn_expire(struct edge_caller *edge, struct conn *cn)
{
	if (cn->state == CONN_PENDING) {
		caller_conn_notify_gone(edge, cn);
		caller_conn_resume(edge, cn, CONN_TIMED_OUT);
		return;
	}
	if (!cn->got_request)
		counter_add(COUNT_REFUSED_SLOW, 1);
	cn->deadline = INT64_MAX;
	shutdown(cn->fd, SHUT_RDWR);
}

/* Checks the deadlines of all connections. */
static void watcher_sweep(struct edge_caller *edge)
{
	int64_t now = clock_now();
	uint32_t i, used;

	pthread_mutex_lock(&edge->lock);
	used = edge->slot_high_water;
	pthread_mutex_unlock(&edge->lock);
	for (i = 0; i < used; i++) {
		struct conn *cn = &edge->conns[i];

		pthread_mutex_lock(&cn->lock);
		if (cn->mhd && cn->deadline <= now)
			conn_expire(edge, cn);
		pthread_mutex_unlock(&cn->lock);
	}
}

/*
 * Handles a client that has closed its side of a connection. id consists of the
 * incarnation and the slot number.
 */
static void watcher_client_closed(struct edge_caller *edge, uint64_t id)
{
	struct conn *cn = &edge->conns[id & SLOT_MASK];

	pthread_mutex_lock(&cn->lock);
	if (cn->mhd && cn->incarnation == id >> SLOT_BITS) {
		cn->client_closed = true;
		if (cn->state == CONN_PENDING) {
			caller_conn_notify_gone(edge, cn);
			caller_conn_resume(edge, cn, CONN_CLIENT_CLOSED);
		}
	}
	pthread_mutex_unlock(&cn->lock);
}

/*
 * The watcher thread. MHD does not poll suspended connections, so this thread
 * detects clients that disconnect and checks the deadlines.
 */
void *edge_caller_watch(void *arg)
{
	struct edge_caller *edge = arg;
	struct epoll_event evs[64];
	int64_t next = 0, now;
	int i, n;

	while (!ck_pr_load_int(&edge->stopping)) {
		n = epoll_wait(edge->epoll, evs, NELEMS(evs),
			       (int)edge->timing.sweep_ms);
		for (i = 0; i < n; i++)
			if (evs[i].data.u64 != UINT64_MAX)
				watcher_client_closed(edge, evs[i].data.u64);
		now = clock_now();
		if (now < next)
			continue;
		next = now + edge->timing.sweep_ms;
		watcher_sweep(edge);
		gone_retry(edge);
	}
	return NULL;
}

/* Allocates a slot for a new connection. Returns NULL if none is free. */
static struct conn *conn_open(struct edge_caller *edge,
			      struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct epoll_event ev = {.events = EPOLLRDHUP | EPOLLET};
	struct conn *cn = NULL;
	struct intake_conn *held;
	uint32_t slot;

	pthread_mutex_lock(&edge->lock);
	if (edge->free_slot_count) {
		slot = edge->free_slots[--edge->free_slot_count];
		cn = &edge->conns[slot];
		if (slot >= edge->slot_high_water)
			edge->slot_high_water = slot + 1;
	}
	pthread_mutex_unlock(&edge->lock);
	if (!cn)
		return NULL;
	held = intake_open(edge->gate, info->connect_fd, clock_now());
	pthread_mutex_lock(&cn->lock);
	cn->mhd = mhd;
	cn->held = held;
	cn->fd = info->connect_fd;
	cn->incarnation++;
	cn->state = CONN_IDLE;
	cn->client_closed = cn->got_request = false;
	cn->over_limit = intake_is_surplus(held);
	cn->deadline = clock_now() + edge->timing.io_timeout_ms;
	ev.data.u64 = cn->incarnation << SLOT_BITS | slot;
	/* If this fails, the connection is served until its deadline. */
	epoll_ctl(edge->epoll, EPOLL_CTL_ADD, cn->fd, &ev);
	pthread_mutex_unlock(&cn->lock);
	return cn;
}

/* Releases a slot. MHD closes the socket after this. */
static void conn_close(struct edge_caller *edge, struct conn *cn)
{
	pthread_mutex_lock(&cn->lock);
	cn->mhd = NULL;
	pthread_mutex_unlock(&cn->lock);
	intake_close(cn->held);
	pthread_mutex_lock(&edge->lock);
	edge->free_slots[edge->free_slot_count++] = (uint32_t)(cn -
							       edge->conns);
	pthread_mutex_unlock(&edge->lock);
}

/* Callback of MHD for an opened or closed connection. */
void edge_caller_connection(void *cls, struct MHD_Connection *mhd,
			    void **context,
			    enum MHD_ConnectionNotificationCode code)
{
	struct edge_caller *edge = cls;

	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		*context = conn_open(edge, mhd);
	else if (*context)
		conn_close(edge, *context);
}

/*
 * Callback of MHD that returns whether a new connection is accepted. While
 * there are spare slots, a connection over the limit is accepted and its
 * requests are answered with 503. Others are closed without an answer.
 */
enum MHD_Result edge_caller_accept(void *cls, const struct sockaddr *sa,
				   socklen_t len)
{
	struct edge_caller *edge = cls;
	bool has_free_slot;

	(void)sa, (void)len;
	pthread_mutex_lock(&edge->lock);
	has_free_slot = edge->free_slot_count > 0;
	pthread_mutex_unlock(&edge->lock);
	if (has_free_slot)
		return MHD_YES;
	counter_add(COUNT_REFUSED_CONNECTIONS, 1);
	return MHD_NO;
}
