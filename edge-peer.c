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

struct queued {
	TAILQ_ENTRY(queued) entry;
	effect *fx;
	size_t bytes;
};
TAILQ_HEAD(queue, queued);

/* One peer's queue and the thread that sends it. */
struct sender {
	TAILQ_ENTRY(sender) entry;
	struct edge_peer *edge;
	bstr to;
	pthread_t thread;
	pthread_cond_t cond; /* something is queued, or the edge stops */
	struct queue queue;
	size_t messages;
	size_t bytes;
	/* The rest is the thread's own. */
	bstr address;
	struct rpc_client *rpc;
};
TAILQ_HEAD(sender_list, sender);

struct edge_peer {
	const struct settings *settings;
	struct mailbox *inbox;
	struct replay_guard *guard;
	struct rpc_server *server;
	pthread_mutex_t mutex; /* of all below and of the queues */
	bool stopping;
	struct sender_list senders;
	struct sender_list ended; /* to be joined */
	size_t sender_count;
	pthread_cond_t all_ended; /* sender_count is 0 */
};

/*
 * What a batch is sealed for.  It names the receiver, so that a batch that
 * somebody copied off the wire fits no other VM that has the same key, and
 * one meant for a VM that was replaced is refused by its successor.
 */
static char *peer_purpose(bstr to)
{
	return xasprintf("bamboofront peer v1 deliver to %.*s", BSTR_ARG(to));
}

/* Hand the messages of a batch to the reducer; false: it takes no more. */
static bool edge_deliver(struct edge_peer *edge, peer_batch *batch)
{
	event *ev;
	u_int i;

	for (i = 0; i < batch->messages.messages_len; i++) {
		ev = event_new(EV_PEER);
		ev->body.event_body_u.peer.from = bstr_copy(batch->from);
		/* Moved, not copied: what is left is freed as a ping. */
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
 * DELIVER.  The acknowledgement says that the batch is in the inbox, no
 * more; without it the sender takes every message of the batch as lost.
 */
static void edge_call(void *arg, uint64_t call, const sealed *envelope)
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
		log_event(LOG_BAD_INPUT, "peers: a batch does not decode");
		rpc_server_fail(edge->server, call, GARBAGE_ARGS);
	} else if (edge_deliver(edge, &batch)) {
		rpc_server_reply(edge->server, call, XDR_PROC(xdr_void), NULL);
	} else {
		rpc_server_fail(edge->server, call, SYSTEM_ERR);
	}
	xdr_free(XDR_PROC(xdr_peer_batch), (char *)&batch);
}

/* Free a queue with its messages. */
static void queue_free(struct queue *q)
{
	struct queued *m;

	while ((m = TAILQ_FIRST(q))) {
		TAILQ_REMOVE(q, m, entry);
		effect_free(m->fx);
		free(m);
	}
}

/* Has the time passed until which a message may be sent? */
static bool message_late(const struct queued *m)
{
	int64_t deadline = m->fx->effect_u.peer.deadline;

	return deadline && clock_now() >= deadline;
}

/*
 * Move what makes up the next batch: one address, bounded; under the lock.
 * False if the first message is too late to be sent: it is as good as lost.
 */
static bool sender_take(struct sender *sd, struct queue *batch)
{
	struct queued *m;
	size_t messages = 0, bytes = 0;
	const bstr *address = NULL;

	while ((m = TAILQ_FIRST(&sd->queue))) {
		if (message_late(m))
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
 * How long a batch may still be delivered.  A process that freezes with a
 * message in its hands and thaws later must not deliver it: a home that has
 * waited for the message's end may have sent the work elsewhere, and it
 * would run twice.  The wall clock is read before the remaining time is: a
 * freeze between the two makes the envelope's deadline earlier, never later,
 * and the receiver refuses it after that.
 */
static int64_t batch_life(const struct queue *q)
{
	int64_t life = SEAL_LIFE_MS, left;
	const struct queued *m;

	TAILQ_FOREACH(m, q, entry) {
		left = m->fx->effect_u.peer.deadline - clock_now();
		if (m->fx->effect_u.peer.deadline && left < life)
			life = left;
	}
	return life;
}

/* Encode and seal a batch. */
static void sender_seal(const struct sender *sd, struct queue *q, sealed *out)
{
	const struct settings *s = sd->edge->settings;
	char *purpose = peer_purpose(sd->to);
	peer_batch batch = {.from = s->vm};
	int64_t wall = clock_wall(); /* before batch_life: see there */
	struct queued *m;
	bstr body;
	u_int n = 0;

	TAILQ_FOREACH(m, q, entry)
		n++;
	batch.messages.messages_val = xcalloc(n, sizeof(peer_message));
	TAILQ_FOREACH(m, q, entry) /* refers to the effect's message */
		batch.messages.messages_val[batch.messages.messages_len++] =
			m->fx->effect_u.peer.message;
	body = xdr_encode(XDR_PROC(xdr_peer_batch), &batch);
	seal(out, purpose, s->vm, body, wall + batch_life(q), s->peers.key);
	counter_add(COUNT_PEER_MESSAGES, n);
	counter_add(COUNT_PEER_BYTES, body.bstr_len);
	free(batch.messages.messages_val);
	bstr_free(&body);
	free(purpose);
}

/* Close the connection; the next batch opens a fresh one. */
static void sender_disconnect(struct sender *sd)
{
	rpc_client_close(sd->rpc);
	sd->rpc = NULL;
}

/* Have a connection to the address that the batch is for. */
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

/* Send a batch; one deadline covers connecting, sending and the answer. */
static bool sender_send(struct sender *sd, struct queue *batch)
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
	sender_seal(sd, batch, &envelope);
	stat = rpc_client_call(sd->rpc, DELIVER, &envelope, XDR_PROC(xdr_void),
			       NULL, deadline);
	xdr_free(XDR_PROC(xdr_sealed), (char *)&envelope);
	if (stat == RPC_SUCCESS)
		return true;
	if (stat == RPC_CANTENCODEARGS) {
		counter_add(COUNT_REFUSED_BODY_TOO_LARGE, 1);
		log_event(LOG_BAD_INPUT, "peer %.*s: a message over the bound",
			  BSTR_ARG(sd->to));
	}
	log_debug("peer %.*s: %s", BSTR_ARG(sd->to), clnt_sperrno(stat));
	sender_disconnect(sd);
	return false;
}

/* Sleep until the sender is signalled or a time has passed. */
static int sender_sleep(struct sender *sd, int64_t ms)
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
 * A failure: what is queued goes with the batch, and the reducer is told
 * once.  Every message that it sent before it takes that event may be lost;
 * what it sends after is covered by an event of its own.  The event must
 * reach it, or it would wait for answers that never come, so a full inbox is
 * tried again until the edge stops.  Under the lock.
 */
static void sender_lost(struct sender *sd)
{
	struct edge_peer *edge = sd->edge;
	event *ev = event_new(EV_PEER_LOST);

	queue_free(&sd->queue);
	sd->messages = sd->bytes = 0;
	ev->body.event_body_u.lost = bstr_copy(sd->to);
	while (!edge->stopping) {
		if (mailbox_put(edge->inbox, ev))
			return;
		sender_sleep(sd, INBOX_RETRY_MS);
	}
	event_free(ev);
}

/* Sleep until something is queued; false: the thread is to end. */
static bool sender_wait(struct sender *sd)
{
	while (TAILQ_EMPTY(&sd->queue)) {
		if (sd->edge->stopping)
			return false;
		if (sender_sleep(sd, rpc_timeouts.sender_idle_ms) ==
			    ETIMEDOUT &&
		    TAILQ_EMPTY(&sd->queue))
			return false;
	}
	return true;
}

/*
 * A sender's thread.  It ends when its peer has been sent nothing for a
 * while, so that VMs that were replaced leave no threads behind, and when
 * the edge stops, after a last try to send what is queued.
 */
static void *sender_run(void *arg)
{
	struct sender *sd = arg;
	struct edge_peer *edge = sd->edge;
	struct queue batch = TAILQ_HEAD_INITIALIZER(batch);
	bool ok;

	pthread_mutex_lock(&edge->mutex);
	while (sender_wait(sd)) {
		ok = sender_take(sd, &batch);
		pthread_mutex_unlock(&edge->mutex);
		ok = ok && sender_send(sd, &batch);
		queue_free(&batch);
		pthread_mutex_lock(&edge->mutex);
		if (!ok)
			sender_lost(sd);
	}
	TAILQ_REMOVE(&edge->senders, sd, entry);
	TAILQ_INSERT_TAIL(&edge->ended, sd, entry);
	edge->sender_count--;
	pthread_cond_signal(&edge->all_ended);
	pthread_mutex_unlock(&edge->mutex);
	sender_disconnect(sd);
	return NULL;
}

/* Join and free the senders that have ended; the lock is not held. */
static void edge_reap(struct edge_peer *edge)
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

/* Find a peer's sender, or start one; NULL at the bound.  Under the lock. */
static struct sender *edge_sender(struct edge_peer *edge, bstr to)
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

/* Queue a message for its peer; false at a bound. */
bool edge_peer_send(struct edge_peer *edge, effect *fx)
{
	struct queued *m;
	struct sender *sd;
	size_t bytes;

	bytes = xdr_sizeof(XDR_PROC(xdr_peer_message),
			   &fx->effect_u.peer.message);
	edge_reap(edge);
	pthread_mutex_lock(&edge->mutex);
	sd = edge_sender(edge, fx->effect_u.peer.to);
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

/* Start the peers' listener; NULL with findings on failure. */
struct edge_peer *edge_peer_start(const struct settings *s,
				  struct mailbox *inbox, struct error *e)
{
	struct edge_peer *edge = xcalloc(1, sizeof(*edge));
	struct rpc_service service = {
		.name = "peers",
		.program = BAMBOO_PEER,
		.version = BAMBOO_PEER_V1,
		.procedure = DELIVER,
		.max_connections = s->peers.max_connections,
		.on_call = edge_call,
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

/* The port that was bound. */
uint16_t edge_peer_port(const struct edge_peer *edge)
{
	return rpc_server_port(edge->server);
}

/* Stop: each sender tries once more to send what it has queued. */
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
	edge_reap(edge);
	pthread_cond_destroy(&edge->all_ended);
	pthread_mutex_destroy(&edge->mutex);
	replay_guard_free(edge->guard);
	free(edge);
}
