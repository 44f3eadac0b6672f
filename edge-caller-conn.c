#include "edge-caller.h"

#include <ck_pr.h>
#include <sys/epoll.h>
#include <sys/socket.h>

/* The id of a connection's present call; under its lock. */
uint64_t caller_conn_call(const struct edge_caller *edge, const struct conn *cn)
{
	return cn->generation << SLOT_BITS | (uint64_t)(cn - edge->conns);
}

/* Put an EV_CALL_GONE; false: the inbox is full. */
static bool gone_put(struct edge_caller *edge, uint64_t call)
{
	event *ev = event_new(EV_CALL_GONE);

	ev->body.event_body_u.gone = call;
	if (mailbox_put(edge->inbox, ev))
		return true;
	event_free(ev);
	return false;
}

/*
 * Tell the reducer that nobody waits for a connection's call any more; under
 * its lock.  With a full inbox the call is kept and the watcher tries again:
 * were it lost, the reducer would hold the call for good.  There are never
 * more than calls were put into the inbox, and a full inbox takes none.
 */
void caller_conn_notify_gone(struct edge_caller *edge, const struct conn *cn)
{
	uint64_t call = caller_conn_call(edge, cn);

	pthread_mutex_lock(&edge->lock);
	if (!gone_put(edge, call)) {
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

/* Put what caller_conn_notify_gone could not. */
static void gone_retry(struct edge_caller *edge)
{
	pthread_mutex_lock(&edge->lock);
	while (edge->unsent_gone_count &&
	       gone_put(edge, edge->unsent_gone[edge->unsent_gone_count - 1]))
		edge->unsent_gone_count--;
	pthread_mutex_unlock(&edge->lock);
}

/* Set when what is awaited of a connection is overdue. */
void caller_conn_set_deadline(struct conn *cn, uint32_t ms)
{
	pthread_mutex_lock(&cn->lock);
	cn->deadline = clock_now() + ms;
	pthread_mutex_unlock(&cn->lock);
}

/* End a connection's call and let its thread go on; under its lock. */
void caller_conn_resume(struct edge_caller *edge, struct conn *cn,
			enum conn_state state)
{
	cn->state = state;
	cn->deadline = clock_now() + edge->timing.idle_ms;
	MHD_resume_connection(cn->mhd);
}

/*
 * Act on a passed deadline; under the connection's lock.
 *
 * A call: the reducer answers every call by its own deadline.  Should it
 * fail to (a lost answer between entry VMs, a fault of ours), the caller
 * would hang until its own patience ends and know nothing.  It is told the
 * truth, that the state is unknown, and can ask again by its idempotency
 * key.  That is enough because nothing is decided here: the job goes on.
 *
 * A request or answer under way: a peer that sends or reads a byte now and
 * then, or none, would hold its connection for good.
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

/* Look at every deadline. */
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

/* A client has closed its side of a connection. */
static void watcher_left(struct edge_caller *edge, uint64_t id)
{
	struct conn *cn = &edge->conns[id & SLOT_MASK];

	pthread_mutex_lock(&cn->lock);
	if (cn->mhd && cn->incarnation == id >> SLOT_BITS) {
		cn->client_closed = true;
		if (cn->state == CONN_PENDING) {
			caller_conn_notify_gone(edge, cn);
			caller_conn_resume(edge, cn, CONN_CLIENT_GONE);
		}
	}
	pthread_mutex_unlock(&cn->lock);
}

/*
 * The watcher's thread.  MHD doesn't look at a suspended connection, so a
 * client that leaves is seen here, and deadlines are looked at here.
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
				watcher_left(edge, evs[i].data.u64);
		now = clock_now();
		if (now < next)
			continue;
		next = now + edge->timing.sweep_ms;
		watcher_sweep(edge);
		gone_retry(edge);
	}
	return NULL;
}

/* Take a slot for a new connection; NULL if there is none. */
static struct conn *conn_open(struct edge_caller *edge,
			      struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct epoll_event ev = {.events = EPOLLRDHUP | EPOLLET};
	struct conn *cn = NULL;
	bool over = false;
	uint32_t slot;

	pthread_mutex_lock(&edge->lock);
	if (edge->free_slot_count) {
		slot = edge->free_slots[--edge->free_slot_count];
		cn = &edge->conns[slot];
		if (slot >= edge->slot_high_water)
			edge->slot_high_water = slot + 1;
		over = edge->slot_total - edge->free_slot_count >
		       edge->max_connections;
	}
	pthread_mutex_unlock(&edge->lock);
	if (!cn)
		return NULL;
	pthread_mutex_lock(&cn->lock);
	cn->mhd = mhd;
	cn->fd = info->connect_fd;
	cn->incarnation++;
	cn->state = CONN_IDLE;
	cn->client_closed = cn->got_request = false;
	cn->over_limit = over;
	cn->deadline = clock_now() + edge->timing.idle_ms;
	ev.data.u64 = cn->incarnation << SLOT_BITS | slot;
	/* a connection that can't be watched is served, and swept */
	epoll_ctl(edge->epoll, EPOLL_CTL_ADD, cn->fd, &ev);
	pthread_mutex_unlock(&cn->lock);
	return cn;
}

/* Give a slot back.  MHD closes the socket only after this. */
static void conn_close(struct edge_caller *edge, struct conn *cn)
{
	pthread_mutex_lock(&cn->lock);
	cn->mhd = NULL;
	pthread_mutex_unlock(&cn->lock);
	pthread_mutex_lock(&edge->lock);
	edge->free_slots[edge->free_slot_count++] = (uint32_t)(cn -
							       edge->conns);
	pthread_mutex_unlock(&edge->lock);
}

/* MHD opened or closed a connection. */
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
 * Take a new connection?  Those above the limit are taken as long as there
 * are spare slots, and told; the rest are closed without a word.
 */
enum MHD_Result edge_caller_accept(void *cls, const struct sockaddr *sa,
				   socklen_t len)
{
	struct edge_caller *edge = cls;
	bool room;

	(void)sa, (void)len;
	pthread_mutex_lock(&edge->lock);
	room = edge->free_slot_count > 0;
	pthread_mutex_unlock(&edge->lock);
	if (room)
		return MHD_YES;
	counter_add(COUNT_REFUSED_CONNECTIONS, 1);
	return MHD_NO;
}
