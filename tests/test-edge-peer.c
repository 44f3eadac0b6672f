#include "../intake.h"
#include "rpc-faults.h"

#include <sys/resource.h>

/* An entry VM's edge and its inbox. */
struct node {
	struct settings settings;
	struct mailbox *inbox;
	struct edge_peer *edge;
	struct intake *intake;
	bstr address;
	struct rpc_client *other; /* a client that calls it beside the faults */
};

/* Starts the edge of a VM at a port, with an inbox of a given capacity. */
static void node_start_at(struct node *n, const char *vm, uint16_t port,
			  unsigned inbox)
{
	struct error e;

	memset(n, 0, sizeof(*n));
	error_init(&e);
	n->settings.vm = bstr_lit(vm);
	n->settings.peers.listen.host = "127.0.0.1";
	n->settings.peers.listen.port = port;
	n->settings.peers.max_connections = 4;
	n->settings.peers.timeout_ms = 300;
	memset(n->settings.peers.key, 7, sizeof(n->settings.peers.key));
	n->inbox = mailbox_new(inbox);
	n->intake = intake_new(64 << 20);
	n->edge = edge_peer_start(&n->settings, n->intake, n->inbox, &e);
	cr_assert_not_null(n->edge);
	n->address = bstr_printf("127.0.0.1:%u", edge_peer_port(n->edge));
}

/* Starts the edge of a VM at any port. */
static void node_start(struct node *n, const char *vm)
{
	node_start_at(n, vm, 0, 1024);
}

/* Stops the edge of a VM. */
static void node_stop(struct node *n)
{
	event *ev;

	edge_peer_stop(n->edge);
	while ((ev = mailbox_take(n->inbox)))
		event_free(ev);
	mailbox_free(n->inbox);
	intake_free(n->intake);
	bstr_free(&n->address);
	rpc_client_close(n->other);
}

/* Waits for the next event. */
static event *node_event(struct node *n)
{
	int64_t deadline = clock_now() + WAIT_MS;
	event *ev;

	while (!(ev = mailbox_take(n->inbox)) && clock_now() < deadline)
		mailbox_wait(n->inbox, 100);
	cr_assert_not_null(ev, "no event");
	return ev;
}

/* Returns a ping to a VM. */
static effect *ping(const char *to, bstr address, uint64_t seq)
{
	effect *fx = effect_new(FX_PEER);
	fx_peer *p = &fx->effect_u.peer;

	p->to = bstr_new(to);
	p->address = bstr_copy(address);
	p->message.kind = PM_PING;
	p->message.peer_message_u.ping.seq = seq;
	return fx;
}

/* Returns a dispatch to a VM, with a payload of a given size. */
static effect *dispatch(const char *to, bstr address, size_t bytes)
{
	effect *fx = ping(to, address, 0);
	bstr *payload =
		&fx->effect_u.peer.message.peer_message_u.dispatch.spec.payload;

	fx->effect_u.peer.message.kind = PM_DISPATCH;
	memset(&fx->effect_u.peer.message.peer_message_u, 0,
	       sizeof(fx->effect_u.peer.message.peer_message_u));
	payload->bstr_val = xcalloc(1, bytes);
	payload->bstr_len = (u_int)bytes;
	return fx;
}

/* Sends a message, which must be accepted. */
static void node_send(struct node *n, effect *fx)
{
	cr_assert(edge_peer_send(n->edge, fx));
}

/* Expects the pings first..last from a VM, in order. */
static void expect_pings(struct node *n, const char *from, uint64_t first,
			 uint64_t last)
{
	const ev_peer *p;
	event *ev;

	for (; first <= last; first++) {
		ev = node_event(n);
		cr_assert_eq(ev->body.kind, EV_PEER);
		p = &ev->body.event_body_u.peer;
		cr_expect(bstr_eq_str(p->from, from));
		cr_expect_eq(p->message.kind, PM_PING);
		cr_expect_eq(p->message.peer_message_u.ping.seq, first);
		event_free(ev);
	}
}

/* Expects the event that a VM's messages were lost. */
static void expect_lost(struct node *n, const char *to, const char *name)
{
	event *ev = node_event(n);

	cr_assert_eq(ev->body.kind, EV_PEER_LOST, "%s", name);
	cr_expect(bstr_eq_str(ev->body.event_body_u.lost, to), "%s", name);
	event_free(ev);
}

Test(edge_peer, delivers_in_order_both_ways)
{
	struct node a, b;
	uint64_t i;

	node_start(&a, "a1");
	node_start(&b, "b1");
	for (i = 1; i <= 200; i++) {
		node_send(&a, ping("b1", b.address, i));
		node_send(&b, ping("a1", a.address, i));
	}
	expect_pings(&a, "b1", 1, 200);
	expect_pings(&b, "a1", 1, 200);
	cr_expect_eq(counter_get(COUNT_PEER_MESSAGES), 400);
	cr_expect(counter_get(COUNT_PEER_BYTES) > 400 * 30);
	node_stop(&a);
	node_stop(&b);
}

/* What a fake peer does on its first connection. */
struct fake {
	const char *name;
	bool answer;  /* answer after a complete call; false: act at once */
	uint32_t xid; /* added to the call's xid */
	uint32_t words[6]; /* of the answer, from the direction on */
	size_t bytes;	   /* number of bytes of the answer to send */
	bool close;	   /* close then; false: stay silent */
	uint32_t mark;	   /* record mark; 0: the correct one */
	size_t chunk; /* repeat the answer forever, in pieces of this size */
};

struct fake_peer {
	const struct fake *fake;
	int listen_fd;
	int fd;
	uint16_t port;
	pthread_t thread;
};

/* The thread of a fake peer. */
static void *fake_run(void *arg)
{
	struct fake_peer *p = arg;
	struct pollfd gone = {.events = POLLIN};
	uint32_t head[2], out[8];
	char *rest;
	size_t i, len;

	p->fd = gone.fd = accept(p->listen_fd, NULL, NULL);
	if (!p->fake->answer ||
	    fault_read(p->fd, head, sizeof(head)) < sizeof(head))
		goto out;
	len = (ntohl(head[0]) & ~FAULT_LAST_FRAGMENT) - 4;
	rest = xmalloc(len);
	fault_read(p->fd, rest, len);
	free(rest);
	out[0] = htonl(p->fake->mark ? p->fake->mark
				     : FAULT_LAST_FRAGMENT |
					       (uint32_t)(sizeof(out) - 4));
	out[1] = htonl(ntohl(head[1]) + p->fake->xid);
	for (i = 0; i < NELEMS(p->fake->words); i++)
		out[2 + i] = htonl(p->fake->words[i]);
	fault_write(p->fd, out, p->fake->bytes);
	for (i = 0; p->fake->chunk && poll(&gone, 1, 20) == 0; i++)
		if (send(p->fd, (char *)out + i * p->fake->chunk % sizeof(out),
			 p->fake->chunk, MSG_NOSIGNAL) < 0)
			break;
out:
	if (p->fake->close) {
		close(p->fd);
		p->fd = -1;
	}
	return NULL;
}

/* Starts a fake peer. */
static void fake_start(struct fake_peer *p, const struct fake *fake)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);
	int one = 1;

	p->fake = fake;
	p->fd = -1;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	p->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(p->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	cr_assert(!bind(p->listen_fd, (struct sockaddr *)&sa, len));
	cr_assert(!listen(p->listen_fd, 8));
	cr_assert(!getsockname(p->listen_fd, (struct sockaddr *)&sa, &len));
	p->port = ntohs(sa.sin_port);
	pthread_create(&p->thread, NULL, fake_run, p);
}

/*
 * Closes a fake peer's listening socket; an open connection stays open and
 * silent.
 */
static void fake_stop_listening(struct fake_peer *p)
{
	pthread_join(p->thread, NULL);
	close(p->listen_fd);
}

/*
 * A peer's connection has failed: it is silent, closed or reset, or carries
 * invalid answers.  The sender must report the loss to the reducer once, by the
 * deadline, and send the next message on a new connection to the same address,
 * where a real peer answers by now.  Nothing is sent again automatically.
 */
Test(edge_peer, replaces_a_connection_that_fails)
{
	static const struct fake fakes[] = {
		{"silent"},
		{"closed at once", .close = true},
		{"takes the call, doesn't answer", true},
		{"takes the call, closes", true, .close = true},
		{"a truncated answer, then silence", true, .words = {REPLY},
		 .bytes = 13},
		{"a truncated answer, then closed", true, .words = {REPLY},
		 .bytes = 13, .close = true},
		{"half a mark", true, .bytes = 2},
		{"an answer to another call", true, 1, {REPLY}, 32},
		{"denied", true, 0, {REPLY, MSG_DENIED, AUTH_ERROR, 3}, 32},
		{"its inbox is full",
		 true,
		 0,
		 {REPLY, 0, 0, 0, SYSTEM_ERR},
		 32},
		{"a call in place of an answer", true, 0, {CALL}, 32},
		{"an unknown status", true, 0, {REPLY, 0, 0, 0, 99}, 32},
		{"answers to other calls without end",
		 true,
		 1,
		 {REPLY},
		 .chunk = 32},
		{"an answer byte by byte", true, .words = {REPLY}, .chunk = 1},
		{"an answer over the bound", true, .words = {REPLY},
		 .bytes = 32, .mark = UINT32_MAX},
	};
	struct fake_peer p;
	struct node a, b;
	bstr address;
	size_t i;

	for (i = 0; i < NELEMS(fakes); i++) {
		node_start(&a, "a1");
		fake_start(&p, &fakes[i]);
		address = bstr_printf("127.0.0.1:%u", p.port);
		node_send(&a, ping("b1", address, 1));
		expect_lost(&a, "b1", fakes[i].name);
		fake_stop_listening(&p);
		node_start_at(&b, "b1", p.port, 64);
		node_send(&a, ping("b1", address, 2));
		expect_pings(&b, "a1", 2, 2);
		cr_expect_null(mailbox_take(a.inbox), "%s", fakes[i].name);
		node_stop(&a);
		node_stop(&b);
		if (p.fd >= 0)
			close(p.fd);
		bstr_free(&address);
	}
}

/*
 * Guards against messages that are sent too late because the VM was suspended.
 * A message whose deadline has passed must not be sent, and the reducer must
 * get the event that it was lost.  A message that is sent in time arrives.
 */
Test(edge_peer, sends_nothing_after_its_deadline)
{
	struct node a, b;
	effect *fx;

	node_start(&a, "a1");
	node_start(&b, "b1");
	fx = ping("b1", b.address, 1);
	fx->effect_u.peer.deadline = clock_now() - 1;
	node_send(&a, fx);
	expect_lost(&a, "b1", "late");
	fx = ping("b1", b.address, 2);
	fx->effect_u.peer.deadline = clock_now() + WAIT_MS;
	node_send(&a, fx);
	expect_pings(&b, "a1", 2, 2);
	node_stop(&a);
	node_stop(&b);
}

/*
 * Messages queue behind a connection that has gone silent.  All of them are
 * lost with it, in one event; the reducer must not get an event for each.
 */
Test(edge_peer, tells_of_a_burst_of_failures_once)
{
	static const struct fake silent = {"silent"};
	struct fake_peer p;
	struct node a, b;
	bstr address;
	uint64_t i;

	node_start(&a, "a1");
	node_start(&b, "b1");
	fake_start(&p, &silent);
	address = bstr_printf("127.0.0.1:%u", p.port);
	for (i = 0; i < 500; i++)
		node_send(&a, ping("b1", address, i));
	for (i = 0; i < 3; i++) /* more than fits into a batch */
		node_send(&a, dispatch("b1", address, 200000));
	expect_lost(&a, "b1", "burst");
	node_send(&a, ping("b1", b.address, 1)); /* on a new connection */
	expect_pings(&b, "a1", 1, 1);
	cr_expect_null(mailbox_take(a.inbox));
	fake_stop_listening(&p);
	node_stop(&a);
	node_stop(&b);
	close(p.fd);
	bstr_free(&address);
}

/*
 * A suspended peer reads nothing, so the socket's buffer fills and the sender's
 * write blocks.  The deadline must end that, too.
 */
Test(edge_peer, notices_a_peer_that_reads_nothing)
{
	static const struct fake silent = {"silent"};
	struct fake_peer p;
	struct node a;
	bstr address;
	int i;

	node_start(&a, "a1");
	fake_start(&p, &silent);
	address = bstr_printf("127.0.0.1:%u", p.port);
	for (i = 0; i < 7; i++)
		node_send(&a, dispatch("b1", address, 1000000));
	for (i = 0; i < 300; i++) /* another peer's sender still works */
		node_send(&a, ping("a1", a.address, (uint64_t)i));
	expect_pings(&a, "a1", 0, 299);
	expect_lost(&a, "b1", "reads nothing");
	fake_stop_listening(&p);
	node_stop(&a);
	close(p.fd);
	bstr_free(&address);
}

/*
 * A message that the receiver refuses is reported as lost once, and counted by
 * the receiver.
 */
Test(edge_peer, reports_what_a_peer_refuses)
{
	static const struct {
		const char *name;
		const char *vm; /* of the receiver */
		uint8_t key;
		unsigned inbox;
		size_t bytes;
		enum counter_id counter;
	} cases[] = {
		{"a successor under another name", "b2", 7, 64, 0,
		 COUNT_REFUSED_SEAL},
		{"another key", "b1", 8, 64, 0, COUNT_REFUSED_SEAL},
		{"its inbox is full", "b1", 7, 2, 0, COUNT_REFUSED_OVERLOAD},
		{"a message over the bound", "b1", 7, 64, BSTR_MAX,
		 COUNT_REFUSED_BODY_TOO_LARGE},
		{"a message of no kind", "b1", 7, 64, 1,
		 COUNT_DROPPED_PEER_GARBAGE},
	};
	struct node a, b;
	effect *fx;
	size_t i;

	for (i = 0; i < NELEMS(cases); i++) {
		node_start(&a, "a1");
		node_start_at(&b, cases[i].vm, 0, cases[i].inbox);
		b.settings.peers.key[0] = cases[i].key;
		if (cases[i].inbox == 2)
			mailbox_put(b.inbox, event_new(EV_TICK));
		fx = cases[i].bytes > 1
			     ? dispatch("b1", b.address, cases[i].bytes)
			     : ping("b1", b.address, 1);
		if (cases[i].bytes == 1)
			fx->effect_u.peer.message.kind = 99;
		node_send(&a, fx);
		expect_lost(&a, "b1", cases[i].name);
		cr_expect(counter_get(cases[i].counter) > 0, "%s",
			  cases[i].name);
		counter_set(cases[i].counter, 0);
		cr_expect_null(mailbox_take(a.inbox), "%s", cases[i].name);
		node_stop(&a);
		node_stop(&b);
	}
}

/*
 * A peer's restart closes the idle connection; that must not lose the next
 * message.
 */
Test(edge_peer, does_not_use_a_closed_connection)
{
	struct node a, b;
	uint16_t port;

	node_start(&a, "a1");
	node_start(&b, "b1");
	node_send(&a, ping("b1", b.address, 1));
	expect_pings(&b, "a1", 1, 1);
	port = edge_peer_port(b.edge);
	node_stop(&b);
	node_start_at(&b, "b1", port, 64);
	node_send(&a, ping("b1", b.address, 2));
	expect_pings(&b, "a1", 2, 2);
	cr_expect_null(mailbox_take(a.inbox));
	node_stop(&a);
	node_stop(&b);
}

/* Messages reach a VM that was replaced by one at another address. */
Test(edge_peer, follows_a_changed_address)
{
	struct node a, b, c;
	uint64_t i;

	node_start(&a, "a1");
	node_start(&b, "b1");
	node_start(&c, "b1");
	for (i = 0; i < 50; i++) {
		node_send(&a, ping("b1", b.address, i));
		node_send(&a, ping("b1", c.address, i));
	}
	expect_pings(&b, "a1", 0, 49);
	expect_pings(&c, "a1", 0, 49);
	node_send(&a, ping("b1", b.address, 50));
	expect_pings(&b, "a1", 50, 50);
	node_send(&a, ping("b1", c.address, 50));
	expect_pings(&c, "a1", 50, 50);
	cr_expect_null(mailbox_take(a.inbox));
	node_stop(&a);
	node_stop(&b);
	node_stop(&c);
}

/*
 * The queue to a peer that reads nothing is bounded, by messages and by bytes.
 */
Test(edge_peer, bounds_its_queues)
{
	static const struct fake silent = {"silent"};
	static const size_t sizes[] = {0, 500000};
	struct fake_peer p;
	struct node a;
	bstr address;
	effect *fx;
	size_t i, n;

	fake_start(&p, &silent);
	address = bstr_printf("127.0.0.1:%u", p.port);
	for (i = 0; i < NELEMS(sizes); i++) {
		node_start(&a, "a1");
		a.settings.peers.timeout_ms = 2000;
		for (n = 0; n < 20000; n++) {
			fx = sizes[i] ? dispatch("b1", address, sizes[i])
				      : ping("b1", address, n);
			if (!edge_peer_send(a.edge, fx))
				break;
		}
		cr_expect(n >= 16 && n < 20000, "%zu", n);
		effect_free(fx);
		node_stop(&a);
	}
	fake_stop_listening(&p);
	close(p.fd);
	bstr_free(&address);
}

/* An idle sender ends; the next message starts a new one. */
Test(edge_peer, senders_come_and_go)
{
	struct node a, b;
	uint64_t i;

	rpc_timeouts.sender_idle_ms = 1;
	node_start(&a, "a1");
	node_start(&b, "b1");
	for (i = 0; i < 50; i++) {
		node_send(&a, ping("b1", b.address, i));
		expect_pings(&b, "a1", i, i);
		mailbox_wait(a.inbox, 2);
	}
	node_stop(&a);
	node_stop(&b);
}

/* Messages that were queued before a planned stop are still sent. */
Test(edge_peer, stop_sends_what_is_queued)
{
	struct node a, b;
	uint64_t i;

	node_start(&a, "a1");
	node_start(&b, "b1");
	for (i = 0; i < 100; i++)
		node_send(&a, ping("b1", b.address, i));
	node_stop(&a);
	expect_pings(&b, "a1", 0, 99);
	node_stop(&b);
}

/* Seals a batch of a valid peer. */
static void target_envelope(void *arg, sealed *out)
{
	const struct node *n = arg;
	peer_message m = {.kind = PM_LEAVING};
	peer_batch batch = {.from = bstr_lit("x1"), .messages = {1, &m}};
	bstr body = xdr_encode(XDR_PROC(xdr_peer_batch), &batch);

	seal(out, "bamboofront peer v1 deliver to a1", batch.from, body,
	     clock_wall() + SEAL_VALIDITY_MS, n->settings.peers.key);
	bstr_free(&body);
}

/*
 * Delivers a batch as another peer and takes its event; it must work beside the
 * faults.
 */
static bool target_other_call(void *arg)
{
	struct node *n = arg;
	int64_t deadline = clock_now() + WAIT_MS;
	enum clnt_stat stat;
	sealed envelope;

	if (!n->other || !rpc_client_alive(n->other)) {
		rpc_client_close(n->other);
		n->other = rpc_client_open(n->address, BAMBOO_PEER,
					   BAMBOO_PEER_V1, deadline);
	}
	target_envelope(n, &envelope);
	stat = rpc_client_call(n->other, DELIVER, &envelope, XDR_PROC(xdr_void),
			       NULL, deadline);
	xdr_free(XDR_PROC(xdr_sealed), (char *)&envelope);
	event_free(node_event(n));
	return stat == RPC_SUCCESS;
}

/* Starts a node as the target of the fault tests. */
static void target_start(struct node *n, struct target *t)
{
	node_start(n, "a1");
	*t = (struct target){edge_peer_port(n->edge), BAMBOO_PEER,	 4,
			     target_envelope,	      target_other_call, n};
}

/* The listener serves the client of libtirpc. */
Test(edge_peer, serves_clnt_vc)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	struct netbuf nb = {sizeof(sa), sizeof(sa), &sa};
	sealed envelope;
	struct node n;
	CLIENT *c;
	int i, fd;

	node_start(&n, "a1");
	fd = fault_connect(edge_peer_port(n.edge));
	/* Small fragments, so that a call comes in many. */
	c = clnt_vc_create(fd, &nb, BAMBOO_PEER, BAMBOO_PEER_V1, 100, 100);
	cr_assert_not_null(c);
	for (i = 0; i < 3; i++) {
		target_envelope(&n, &envelope);
		cr_expect_eq(deliver_1(envelope, NULL, c), RPC_SUCCESS);
		xdr_free(XDR_PROC(xdr_sealed), (char *)&envelope);
		event_free(node_event(&n));
	}
	clnt_destroy(c);
	close(fd);
	node_stop(&n);
}

static int served;

/* Dispatch function of libtirpc's server; counts the valid calls. */
static void tirpc_dispatch(struct svc_req *req, SVCXPRT *xprt)
{
	sealed envelope = {0};

	served += req->rq_proc == DELIVER &&
		  svc_getargs(xprt, XDR_PROC(xdr_sealed), (char *)&envelope) &&
		  bstr_eq_str(envelope.from, "x1");
	svc_freeargs(xprt, XDR_PROC(xdr_sealed), (char *)&envelope);
	svc_sendreply(xprt, XDR_PROC(xdr_void), NULL);
}

/* The thread of libtirpc's server; serves one connection. */
static void *tirpc_run(void *arg)
{
	int i;

	svc_getreq_common(*(int *)arg); /* accepts the connection */
	for (i = 0; i < 3; i++)
		svc_getreq_common(svc_pollfd[1].fd);
	return NULL;
}

/* The server of libtirpc serves the calls of our client. */
Test(edge_peer, is_served_by_svc_vc)
{
	static const struct fake silent = {"silent"};
	int64_t deadline = clock_now() + WAIT_MS;
	struct fake_peer p; /* used for its listening socket */
	struct rpc_client *c;
	pthread_t thread;
	sealed envelope;
	struct node n;
	bstr address;
	SVCXPRT *xprt;
	int i;

	node_start(&n, "a1");
	fake_start(&p, &silent);
	close(fault_connect(p.port)); /* uses up the fake's one connection */
	pthread_join(p.thread, NULL);
	xprt = svc_vc_create(p.listen_fd, 0, 0);
	cr_assert(svc_reg(xprt, BAMBOO_PEER, BAMBOO_PEER_V1, tirpc_dispatch,
			  NULL));
	pthread_create(&thread, NULL, tirpc_run, &p.listen_fd);
	address = bstr_printf("127.0.0.1:%u", p.port);
	c = rpc_client_open(address, BAMBOO_PEER, BAMBOO_PEER_V1, deadline);
	cr_assert_not_null(c);
	for (i = 0; i < 3; i++) {
		target_envelope(&n, &envelope);
		cr_expect_eq(rpc_client_call(c, DELIVER, &envelope,
					     XDR_PROC(xdr_void), NULL,
					     deadline),
			     RPC_SUCCESS);
		xdr_free(XDR_PROC(xdr_sealed), (char *)&envelope);
	}
	pthread_join(thread, NULL);
	cr_expect_eq(served, 3);
	rpc_client_close(c);
	bstr_free(&address);
	close(p.fd);
	node_stop(&n);
}

/* A message to more peers than there may be senders is refused. */
Test(edge_peer, bounds_its_senders)
{
	struct node a, b;
	char name[16];
	effect *fx;
	int i;

	node_start(&a, "a1");
	node_start(&b, "b1");
	for (i = 0; i < 1000; i++) {
		snprintf(name, sizeof(name), "x%d", i);
		fx = ping(name, b.address, 1);
		if (!edge_peer_send(a.edge, fx))
			break;
	}
	cr_expect(i >= 64 && i < 1000, "%d", i);
	effect_free(fx);
	node_stop(&a);
	node_stop(&b);
}

/*
 * No file descriptor is left for a new connection.  The other client must still
 * be served, and the new connection once there are descriptors again.
 */
Test(edge_peer, survives_a_lack_of_descriptors)
{
	int64_t deadline = clock_now() + WAIT_MS;
	struct rlimit old, few;
	uint32_t xid, words[2];
	struct target t;
	struct node n;
	bstr call;
	int fd;

	target_start(&n, &t);
	cr_expect(t.other_call(t.arg));
	call = fault_good_call(&t, 1);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	getrlimit(RLIMIT_NOFILE, &old);
	few = old;
	few.rlim_cur = (rlim_t)dup(fd); /* the lowest free descriptor */
	close((int)few.rlim_cur);
	cr_assert(!setrlimit(RLIMIT_NOFILE, &few));
	fault_connect_with(fd, t.port);
	fault_write(fd, call.bstr_val, call.bstr_len);
	while (!counter_get(COUNT_REFUSED_CONNECTIONS)) {
		cr_assert(t.other_call(t.arg));
		cr_assert(clock_now() < deadline);
	}
	cr_assert(!setrlimit(RLIMIT_NOFILE, &old));
	cr_assert(fault_answer(fd, &xid, words));
	cr_expect_eq(words[1], SUCCESS);
	close(fd);
	bstr_free(&call);
	node_stop(&n);
}

#define FAULT_TEST(name, run)         \
	Test(edge_peer, name)         \
	{                             \
		struct target t;      \
		struct node n;        \
                                      \
		target_start(&n, &t); \
		run(&t);              \
		node_stop(&n);        \
	}

FAULT_TEST(withstands_faults, faults_run)
FAULT_TEST(takes_a_call_in_pieces, fault_fragments)
FAULT_TEST(resets_a_caller_that_never_reads, fault_never_read)
FAULT_TEST(bounds_connections, fault_connection_limit)
FAULT_TEST(refuses_a_copy, fault_replay)
