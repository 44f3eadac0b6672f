/*
 * The edge to the other entry VMs (peers). One RPC server receives batches of
 * messages. For sending, each peer has a bounded queue and a thread that sends
 * the queue in batches and ends when the peer has been idle.
 */
#include "bamboofront.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "operator-client.h"
#include "rpc-client.h"
#include "rpc-server.h"

#define NONCES_MAX 65536
#define SENDERS_MAX 256
#define INBOX_RETRY_MS 20
#define QUEUE_MESSAGES_MAX 8192
#define QUEUE_BYTES_MAX (8u << 20)
#define BATCH_MESSAGES_MAX 1024
#define BATCH_BYTES_MAX (256u << 10)

struct queued_message {
	TAILQ_ENTRY(queued_message) entry;
	effect *fx;
	size_t bytes;
};
TAILQ_HEAD(queue, queued_message);

/* The send queue of a peer and the thread that sends its messages. */
struct sender {
	TAILQ_ENTRY(sender) entry;
	struct edge_peer *edge;
	bstr to;
	pthread_t thread;
	pthread_cond_t cond; /* a message was queued, or the edge is stopping */
	struct queue queue;
	size_t messages;
	size_t bytes;
	/* Used only by the sender's thread. */
	bstr address;
	struct rpc_client *rpc;
};
TAILQ_HEAD(sender_list, sender);

struct edge_peer {
	const struct settings *settings;
	struct mailbox *inbox;
	struct replay_guard *guard;
	struct rpc_server *server;
	pthread_mutex_t mutex; /* protects the members below and the queues */
	bool stopping;
	struct sender_list senders;
	struct sender_list ended; /* threads to be joined */
	size_t sender_count;
	pthread_cond_t all_ended; /* sender_count is 0 */
};

/*
 * Returns the purpose under which a batch is sealed. It names the receiver.
 * All VMs share one key, so without the name a captured batch could be replayed
 * to another VM, and the successor of a replaced VM would accept a batch that
 * was meant for its predecessor.
 */
static char *peer_purpose(bstr to)
{
	return xasprintf("bamboofront peer v1 deliver to %.*s", BSTR_ARG(to));
}

/*
 * Posts the messages of a batch to the reducer. Returns false if the inbox is
 * full.
 */
static bool edge_post_messages(struct edge_peer *edge, peer_batch *batch)
{
	event *ev;
	u_int i;

	for (i = 0; i < batch->messages.messages_len; i++) {
		ev = event_new(EV_PEER);
		ev->body.event_body_u.peer.from = bstr_copy(batch->from);
		/*
		 * The message is moved. The cleared one left in the batch gets
		 * a kind without a body, for the later xdr_free.
		 */
		ev->body.event_body_u.peer.message =
			batch->messages.messages_val[i];
		memset(&batch->messages.messages_val[i], 0,
		       sizeof(batch->messages.messages_val[i]));
		batch->messages.messages_val[i].kind = PM_LEAVING;
		if (mailbox_put(edge->inbox, ev))
			continue;
		event_free(ev);
		counter_add(COUNT_REFUSED_OVERLOAD, 1);
		log_event(LOG_OVERRUN, "peers: the reducer's inbox is full");
		return false;
	}
	return true;
}

/*
 * Handles DELIVER. The reply only confirms that all messages of the batch are
 * in the inbox. A sender without it regards every message of the batch as lost.
 */
static void edge_handle_deliver(void *arg, uint64_t call,
				const sealed *envelope)
{
	struct edge_peer *edge = arg;
	char *purpose = peer_purpose(edge->settings->vm);
	enum seal_result result;
	peer_batch batch;

	result = seal_open(envelope, purpose, clock_wall(),
			   edge->settings->peers.key, edge->guard);
	free(purpose);
	if (result != SEAL_OK) {
		rpc_server_deny(edge->server, call, result);
		return;
	}
	if (!xdr_decode(XDR_PROC(xdr_peer_batch), envelope->body, &batch,
			sizeof(batch)) ||
	    !bstr_eq(batch.from, envelope->from)) {
		counter_add(COUNT_DROPPED_PEER_GARBAGE, 1);
		log_event(LOG_BAD_INPUT, "peers: cannot decode a batch");
		rpc_server_fail(edge->server, call, GARBAGE_ARGS);
	} else if (edge_post_messages(edge, &batch)) {
		rpc_server_reply(edge->server, call, XDR_PROC(xdr_void), NULL);
	} else {
		rpc_server_fail(edge->server, call, SYSTEM_ERR);
	}
	xdr_free(XDR_PROC(xdr_peer_batch), (char *)&batch);
}

static void queue_free(struct queue *q)
{
	struct queued_message *m;

	while ((m = TAILQ_FIRST(q))) {
		TAILQ_REMOVE(q, m, entry);
		effect_free(m->fx);
		free(m);
	}
}

/* Returns true if the deadline of a message has passed. */
static bool message_expired(const struct queued_message *m)
{
	int64_t deadline = m->fx->effect_u.peer.deadline;

	return deadline && clock_now() >= deadline;
}

/*
 * Moves messages from the queue into the next batch, up to the size limits. All
 * messages of a batch have the same address. Returns false if the deadline of
 * the first message has passed, which then counts as lost. Needs the mutex.
 */
static bool sender_take_batch(struct sender *sd, struct queue *batch)
{
	struct queued_message *m;
	size_t messages = 0, bytes = 0;
	const bstr *address = NULL;

	while ((m = TAILQ_FIRST(&sd->queue))) {
		if (message_expired(m))
			return !TAILQ_EMPTY(batch);
		if (address &&
		    (messages >= BATCH_MESSAGES_MAX ||
		     bytes + m->bytes > BATCH_BYTES_MAX ||
		     !bstr_eq(*address, m->fx->effect_u.peer.address)))
			return true;
		address = &m->fx->effect_u.peer.address;
		TAILQ_REMOVE(&sd->queue, m, entry);
		TAILQ_INSERT_TAIL(batch, m, entry);
		sd->messages--;
		sd->bytes -= m->bytes;
		messages++;
		bytes += m->bytes;
	}
	return true;
}

/*
 * Returns for how many milliseconds a batch may still be delivered. A process
 * that is suspended while it sends a message must not deliver it after it
 * resumes: the owner of the job may have waited until the message expired and
 * then dispatched the job elsewhere, so that it would run twice. The caller
 * reads the wall clock before it calls this. A suspension between the two only
 * makes the deadline of the envelope earlier, never later, and the receiver
 * refuses the envelope after its deadline.
 */
static int64_t batch_time_left(const struct queue *q)
{
	int64_t time_left = SEAL_VALIDITY_MS, left;
	const struct queued_message *m;

	TAILQ_FOREACH(m, q, entry) {
		left = m->fx->effect_u.peer.deadline - clock_now();
		if (m->fx->effect_u.peer.deadline && left < time_left)
			time_left = left;
	}
	return time_left;
}

/* Encodes and seals a batch. */
static void sender_seal_batch(const struct sender *sd, struct queue *q,
			      sealed *out)
{
	const struct settings *s = sd->edge->settings;
	char *purpose = peer_purpose(sd->to);
	peer_batch batch = {.from = s->vm};
	int64_t wall = clock_wall(); /* must precede batch_time_left */
	struct queued_message *m;
	bstr body;
	u_int n = 0;

	TAILQ_FOREACH(m, q, entry)
		n++;
	batch.messages.messages_val = xcalloc(n, sizeof(peer_message));
	TAILQ_FOREACH(m, q, entry) /* shallow copies, owned by the effects */
		batch.messages.messages_val[batch.messages.messages_len++] =
			m->fx->effect_u.peer.message;
	body = xdr_encode(XDR_PROC(xdr_peer_batch), &batch);
	seal(out, purpose, s->vm, body, wall + batch_time_left(q),
	     s->peers.key);
	counter_add(COUNT_PEER_MESSAGES, n);
	counter_add(COUNT_PEER_BYTES, body.bstr_len);
	free(batch.messages.messages_val);
	bstr_free(&body);
	free(purpose);
}

/* Closes the connection; the next batch opens a new one. */
static void sender_disconnect(struct sender *sd)
{
	rpc_client_close(sd->rpc);
	sd->rpc = NULL;
}

/* Reuses the connection to an address, or opens one. */
static bool sender_connect(struct sender *sd, bstr address, int64_t deadline)
{
	if (sd->rpc && bstr_eq(sd->address, address) &&
	    rpc_client_alive(sd->rpc))
		return true;
	sender_disconnect(sd);
	bstr_set(&sd->address, address);
	sd->rpc = rpc_client_open(address, BAMBOO_PEER, BAMBOO_PEER_V1,
				  deadline);
	return sd->rpc;
}

/*
 * Sends a batch and waits for the reply. One deadline covers connecting,
 * sending and the reply.
 */
static bool sender_send_batch(struct sender *sd, struct queue *batch)
{
	int64_t deadline = clock_now() + sd->edge->settings->peers.timeout_ms;
	bstr address = TAILQ_FIRST(batch)->fx->effect_u.peer.address;
	enum clnt_stat stat;
	sealed envelope;

	if (!sender_connect(sd, address, deadline)) {
		log_debug("peer %.*s: no connection to %.*s", BSTR_ARG(sd->to),
			  BSTR_ARG(address));
		return false;
	}
	sender_seal_batch(sd, batch, &envelope);
	stat = rpc_client_call(sd->rpc, DELIVER, &envelope, XDR_PROC(xdr_void),
			       NULL, deadline);
	xdr_free(XDR_PROC(xdr_sealed), (char *)&envelope);
	if (stat == RPC_SUCCESS)
		return true;
	if (stat == RPC_CANTENCODEARGS) {
		counter_add(COUNT_REFUSED_BODY_TOO_LARGE, 1);
		log_event(LOG_BAD_INPUT,
			  "peer %.*s: message exceeds the size limit",
			  BSTR_ARG(sd->to));
	}
	log_debug("peer %.*s: %s", BSTR_ARG(sd->to), clnt_sperrno(stat));
	sender_disconnect(sd);
	return false;
}

/*
 * Waits until the sender is signalled or the time has passed. Returns the
 * result of pthread_cond_timedwait. Needs the mutex.
 */
static int sender_timedwait(struct sender *sd, int64_t ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += ms / 1000;
	ts.tv_nsec += ms % 1000 * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	return pthread_cond_timedwait(&sd->cond, &sd->edge->mutex, &ts);
}

/*
 * Handles a failed batch: drops the queue as well and posts one EV_PEER_LOST to
 * the reducer. The event covers every message that the reducer sent before it
 * takes the event; loss of a later one is reported by another event. If the
 * event got lost, the reducer would wait for replies that never come, so a full
 * inbox is retried until the edge stops. Needs the mutex.
 */
static void sender_report_lost(struct sender *sd)
{
	struct edge_peer *edge = sd->edge;
	event *ev = event_new(EV_PEER_LOST);

	queue_free(&sd->queue);
	sd->messages = sd->bytes = 0;
	ev->body.event_body_u.lost = bstr_copy(sd->to);
	while (!edge->stopping) {
		if (mailbox_put(edge->inbox, ev))
			return;
		sender_timedwait(sd, INBOX_RETRY_MS);
	}
	event_free(ev);
}

/*
 * Waits until a message is queued. Returns false if the thread must end because
 * the edge stops or the peer was idle. Needs the mutex.
 */
static bool sender_wait(struct sender *sd)
{
	while (TAILQ_EMPTY(&sd->queue)) {
		if (sd->edge->stopping)
			return false;
		if (sender_timedwait(sd, rpc_timeouts.sender_idle_ms) ==
			    ETIMEDOUT &&
		    TAILQ_EMPTY(&sd->queue))
			return false;
	}
	return true;
}

/*
 * The thread of a sender. It ends when it had nothing to send for
 * sender_idle_ms, so that replaced VMs leave no threads behind. When the edge
 * stops, it ends after an attempt to send the queued messages.
 */
static void *sender_run(void *arg)
{
	struct sender *sd = arg;
	struct edge_peer *edge = sd->edge;
	struct queue batch = TAILQ_HEAD_INITIALIZER(batch);
	bool ok;

	pthread_mutex_lock(&edge->mutex);
	while (sender_wait(sd)) {
		ok = sender_take_batch(sd, &batch);
		pthread_mutex_unlock(&edge->mutex);
		ok = ok && sender_send_batch(sd, &batch);
		queue_free(&batch);
		pthread_mutex_lock(&edge->mutex);
		if (!ok)
			sender_report_lost(sd);
	}
	TAILQ_REMOVE(&edge->senders, sd, entry);
	TAILQ_INSERT_TAIL(&edge->ended, sd, entry);
	edge->sender_count--;
	pthread_cond_signal(&edge->all_ended);
	pthread_mutex_unlock(&edge->mutex);
	sender_disconnect(sd);
	return NULL;
}

/* Joins and frees the senders that have ended. Takes the mutex. */
static void edge_join_ended(struct edge_peer *edge)
{
	struct sender *sd;

	for (;;) {
		pthread_mutex_lock(&edge->mutex);
		sd = TAILQ_FIRST(&edge->ended);
		if (sd)
			TAILQ_REMOVE(&edge->ended, sd, entry);
		pthread_mutex_unlock(&edge->mutex);
		if (!sd)
			return;
		pthread_join(sd->thread, NULL);
		pthread_cond_destroy(&sd->cond);
		bstr_free(&sd->address);
		bstr_free(&sd->to);
		free(sd);
	}
}

/*
 * Returns the sender of a peer, which is started if necessary, or NULL if there
 * are SENDERS_MAX. Needs the mutex.
 */
static struct sender *edge_find_or_start_sender(struct edge_peer *edge, bstr to)
{
	pthread_condattr_t attr;
	struct sender *sd;

	TAILQ_FOREACH(sd, &edge->senders, entry)
		if (bstr_eq(sd->to, to))
			return sd;
	if (edge->sender_count >= SENDERS_MAX)
		return NULL;
	sd = xcalloc(1, sizeof(*sd));
	sd->edge = edge;
	sd->to = bstr_copy(to);
	TAILQ_INIT(&sd->queue);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&sd->cond, &attr);
	pthread_condattr_destroy(&attr);
	TAILQ_INSERT_TAIL(&edge->senders, sd, entry);
	edge->sender_count++;
	rpc_thread_start(&sd->thread, sender_run, sd);
	return sd;
}

/* Queues a message for its peer. Returns false if a limit is reached. */
bool edge_peer_send(struct edge_peer *edge, effect *fx)
{
	struct queued_message *m;
	struct sender *sd;
	size_t bytes;

	bytes = xdr_sizeof(XDR_PROC(xdr_peer_message),
			   &fx->effect_u.peer.message);
	edge_join_ended(edge);
	pthread_mutex_lock(&edge->mutex);
	sd = edge_find_or_start_sender(edge, fx->effect_u.peer.to);
	if (!sd || sd->messages >= QUEUE_MESSAGES_MAX ||
	    sd->bytes + bytes > QUEUE_BYTES_MAX) {
		pthread_mutex_unlock(&edge->mutex);
		return false;
	}
	m = xcalloc(1, sizeof(*m));
	m->fx = fx;
	m->bytes = bytes;
	TAILQ_INSERT_TAIL(&sd->queue, m, entry);
	sd->messages++;
	sd->bytes += bytes;
	pthread_cond_signal(&sd->cond);
	pthread_mutex_unlock(&edge->mutex);
	return true;
}

/* Starts the peers' listener. Returns NULL with errors on failure. */
struct edge_peer *edge_peer_start(const struct settings *s,
				  struct intake *intake, struct mailbox *inbox,
				  struct error *e)
{
	struct edge_peer *edge = xcalloc(1, sizeof(*edge));
	struct rpc_service service = {
		.name = "peers",
		.program = BAMBOO_PEER,
		.version = BAMBOO_PEER_V1,
		.procedure = DELIVER,
		.max_connections = s->peers.max_connections,
		.on_call = edge_handle_deliver,
		.intake = intake,
		.arg = edge,
	};

	edge->settings = s;
	edge->inbox = inbox;
	edge->guard = replay_guard_new(NONCES_MAX);
	pthread_mutex_init(&edge->mutex, NULL);
	pthread_cond_init(&edge->all_ended, NULL);
	TAILQ_INIT(&edge->senders);
	TAILQ_INIT(&edge->ended);
	edge->server = rpc_server_new(&service, &s->peers.listen, e);
	if (edge->server) {
		rpc_server_start(edge->server);
		return edge;
	}
	pthread_cond_destroy(&edge->all_ended);
	pthread_mutex_destroy(&edge->mutex);
	replay_guard_free(edge->guard);
	free(edge);
	return NULL;
}

uint16_t edge_peer_port(const struct edge_peer *edge)
{
	return rpc_server_port(edge->server);
}

/* Stops the edge. Each sender first tries to send its queued messages. */
void edge_peer_stop(struct edge_peer *edge)
{
	struct sender *sd;

	rpc_server_stop(edge->server);
	pthread_mutex_lock(&edge->mutex);
	edge->stopping = true;
	TAILQ_FOREACH(sd, &edge->senders, entry)
		pthread_cond_signal(&sd->cond);
	while (edge->sender_count)
		pthread_cond_wait(&edge->all_ended, &edge->mutex);
	pthread_mutex_unlock(&edge->mutex);
	edge_join_ended(edge);
	pthread_cond_destroy(&edge->all_ended);
	pthread_mutex_destroy(&edge->mutex);
	replay_guard_free(edge->guard);
	free(edge);
}
