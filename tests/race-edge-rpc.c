#include "../bamboofront.h"
#include "../intake.h"
#include "../operator-client.h"
#include "../rpc-server.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NODES 3
#define PINGS 300
#define OPERATORS 3
#define CALLS 60

/* Used unless secret.c is linked. */
__attribute__((weak)) void secret_new(bstr key_id, bstr *secret, bstr *salt,
				      bstr *hash)
{
	*secret = bstr_printf("bf_%.*s_x", BSTR_ARG(key_id));
	*salt = bstr_new("salt");
	*hash = bstr_new("hash");
}

struct node {
	struct settings settings;
	struct operator_key keys[1];
	struct mailbox *inbox;
	struct intake *intake;
	struct edge_peer *peers;
	struct edge_operator *operators;
	bstr address;
	char *operator_address;
	pthread_t reducer;
	unsigned pings;
};

static struct node nodes[NODES];
static char *names[NODES] = {"a1", "b1", "c1"};
static atomic_uint answered, lost;
static struct mailbox *finished; /* nodes that have all their pings */

/* Sends a ping to another node; retries while the queue is full. */
static void node_ping(struct node *n, struct node *to, uint64_t seq)
{
	effect *fx = effect_new(FX_PEER);

	fx->effect_u.peer.to = bstr_copy(to->settings.vm);
	fx->effect_u.peer.address = bstr_copy(to->address);
	fx->effect_u.peer.message.kind = PM_PING;
	fx->effect_u.peer.message.peer_message_u.ping.seq = seq;
	while (!edge_peer_send(n->peers, fx))
		sched_yield();
}

/*
 * The thread in place of a node's reducer: answers operators and counts pings,
 * until EV_STOP.
 */
static void *node_reduce(void *arg)
{
	struct node *n = arg;
	effect *fx;
	event *ev;

	for (;; event_free(ev)) {
		while (!(ev = mailbox_take(n->inbox)))
			mailbox_wait(n->inbox, 1000);
		switch (ev->body.kind) {
		case EV_PEER:
			if (++n->pings == PINGS * 2 * (NODES - 1))
				mailbox_put(finished, n);
			break;
		case EV_PEER_LOST:
			atomic_fetch_add(&lost, 1);
			break;
		case EV_OPERATE:
			fx = effect_new(FX_OP_REPLY);
			fx->effect_u.op_reply.call =
				ev->body.event_body_u.operate.call;
			if (!edge_operator_send(n->operators, fx))
				effect_free(fx);
			break;
		default:
			event_free(ev);
			return NULL;
		}
	}
}

/* Starts the edges of a node. */
static void node_start(struct node *n, char *name)
{
	struct error e;

	error_init(&e);
	n->settings.vm = bstr_lit(name);
	n->settings.peers.listen.host = "127.0.0.1";
	n->settings.peers.max_connections = 16;
	n->settings.peers.timeout_ms = 20000;
	n->settings.operators.listen.host = "127.0.0.1";
	n->settings.operators.max_connections = 16;
	n->settings.operators.keys = n->keys;
	n->settings.operators.key_count = 1;
	n->keys[0].name = "ana";
	n->inbox = mailbox_new(4096);
	n->intake = intake_new(64 << 20);
	n->peers = edge_peer_start(&n->settings, n->intake, n->inbox, &e);
	n->operators = edge_operator_start(&n->settings, n->intake, n->inbox,
					   &e);
	if (!n->peers || !n->operators)
		exit(1);
	n->address = bstr_printf("127.0.0.1:%u", edge_peer_port(n->peers));
	n->operator_address = xasprintf("127.0.0.1:%u",
					edge_operator_port(n->operators));
}

/* A thread that sends pings to all other nodes. */
static void *ping_run(void *arg)
{
	struct node *n = arg;
	uint64_t i;
	int to;

	for (i = 0; i < PINGS; i++)
		for (to = 0; to < NODES; to++)
			if (&nodes[to] != n)
				node_ping(n, &nodes[to], i);
	return NULL;
}

/* The thread of an operator that creates keys at each node in turn. */
static void *operate_run(void *arg)
{
	op_request req = {.kind = OP_KEY_CREATE};
	uint8_t key[SEAL_KEY_BYTES] = {0};
	struct operator_client *c[NODES];
	struct error e;
	op_reply reply;
	int i;

	(void)arg;
	error_init(&e);
	req.op_request_u.key.key_id = bstr_lit("k");
	for (i = 0; i < NODES; i++)
		c[i] = operator_client_open(nodes[i].operator_address, "ana",
					    key, clock_now() + 20000, &e);
	for (i = 0; i < CALLS; i++) {
		if (operator_client_call(c[i % NODES], &req,
					 clock_now() + 20000, &reply) &&
		    reply.secret.bstr_len)
			atomic_fetch_add(&answered, 1);
		xdr_free(XDR_PROC(xdr_op_reply), (char *)&reply);
	}
	for (i = 0; i < NODES; i++)
		operator_client_close(c[i]);
	return NULL;
}

/* Opens a connection, sends part of a record mark and then nothing more. */
static int partial_open(uint16_t port)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_port = htons(port);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    write(fd, "\x80", 1) != 1)
		exit(1);
	return fd;
}

/*
 * Each node sends to all others from two threads, operators send requests to
 * all nodes, connections with a partial record stay open, idle senders end and
 * are started again, and the edges stop while messages are still queued.  All
 * messages and answers must arrive; ThreadSanitizer reports state that is
 * shared without a lock.
 */
int main(void)
{
	pthread_t pings[NODES * 2], operators[OPERATORS];
	int partial[NODES * 2], i;
	unsigned failed;

	rpc_timeouts.sender_idle_ms = 1;
	finished = mailbox_new(8);
	for (i = 0; i < NODES; i++)
		node_start(&nodes[i], names[i]);
	for (i = 0; i < NODES; i++) {
		partial[i] = partial_open(edge_peer_port(nodes[i].peers));
		partial[NODES + i] = partial_open(
			edge_operator_port(nodes[i].operators));
		pthread_create(&nodes[i].reducer, NULL, node_reduce, &nodes[i]);
	}
	for (i = 0; i < OPERATORS; i++)
		pthread_create(&operators[i], NULL, operate_run, NULL);
	for (i = 0; i < NODES * 2; i++)
		pthread_create(&pings[i], NULL, ping_run, &nodes[i / 2]);
	for (i = 0; i < NODES * 2; i++)
		pthread_join(pings[i], NULL);
	for (i = 0; i < OPERATORS; i++)
		pthread_join(operators[i], NULL);
	for (i = 0; i < NODES; i++)
		while (!mailbox_take(finished))
			if (!mailbox_wait(finished, 60000))
				goto out;
out:
	failed = i != NODES || atomic_load(&lost);
	for (i = 0; i < NODES; i++) { /* these pings may be lost */
		ping_run(&nodes[i]);
		edge_peer_stop(nodes[i].peers);
		edge_operator_stop(nodes[i].operators);
		close(partial[i]);
		close(partial[NODES + i]);
	}
	for (i = 0; i < NODES; i++) {
		mailbox_put(nodes[i].inbox, event_new(EV_STOP));
		pthread_join(nodes[i].reducer, NULL);
		mailbox_free(nodes[i].inbox);
		intake_free(nodes[i].intake);
		bstr_free(&nodes[i].address);
		free(nodes[i].operator_address);
	}
	mailbox_free(finished);
	failed += answered != OPERATORS * CALLS;
	printf("%d passed, %d failed\n", failed ? 0 : 1, failed ? 1 : 0);
	return failed != 0;
}
