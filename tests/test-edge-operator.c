#include "../intake.h"
#include "rpc-faults.h"

static const uint8_t key[SEAL_KEY_BYTES] = "the operator's key";

/* Used unless secret.c is linked. */
__attribute__((weak)) void secret_new(bstr key_id, bstr *secret, bstr *salt,
				      bstr *hash)
{
	*secret = bstr_printf("bf_%.*s_x", BSTR_ARG(key_id));
	*salt = bstr_new("salt");
	*hash = bstr_new("hash");
}

/* An operators' edge and a thread in place of its reducer. */
struct host {
	struct settings settings;
	struct operator_key keys[1];
	struct mailbox *inbox;
	struct intake *intake;
	struct edge_operator *edge;
	char *address;
	pthread_t reducer;
	op_status answer_status; /* status of the reducer's answers */
	size_t body;	   /* size of the answers' body; 0: kind as JSON */
	bool hold_answers; /* send answers only when the reducer stops */
	struct mailbox *held_answers;
	op_key created_key; /* last key creation at the reducer */
	struct operator_client *other;
};

/* Returns the reducer's answer to a request. */
static effect *host_answer(struct host *h, const ev_operate *operate)
{
	effect *fx = effect_new(FX_OP_REPLY);
	op_reply *reply = &fx->effect_u.op_reply.reply;

	fx->effect_u.op_reply.call = operate->call;
	reply->status = h->answer_status;
	if (h->body) {
		reply->body.bstr_val = xcalloc(1, h->body);
		reply->body.bstr_len = (u_int)h->body;
	} else {
		reply->body = bstr_printf("{\"kind\":%d}",
					  operate->request.kind);
	}
	if (operate->request.kind == OP_KEY_CREATE) {
		xdr_free(XDR_PROC(xdr_op_key), (char *)&h->created_key);
		xdr_copy(XDR_PROC(xdr_op_key), &h->created_key,
			 &operate->request.op_request_u.key,
			 sizeof(h->created_key));
	}
	return fx;
}

/*
 * The reducer's thread: answers requests until EV_STOP, then sends the held
 * answers.
 */
static void *host_reduce(void *arg)
{
	struct host *h = arg;
	effect *fx;
	event *ev;

	for (;;) {
		ev = mailbox_take(h->inbox);
		if (!ev) {
			mailbox_wait(h->inbox, 1000);
			continue;
		}
		if (ev->body.kind == EV_STOP)
			break;
		fx = host_answer(h, &ev->body.event_body_u.operate);
		event_free(ev);
		if (h->hold_answers)
			mailbox_put(h->held_answers, fx);
		else if (!edge_operator_send(h->edge, fx))
			effect_free(fx);
	}
	event_free(ev);
	while ((fx = mailbox_take(h->held_answers)))
		edge_operator_send(h->edge, fx);
	return NULL;
}

/* Starts a host; a reducer's thread runs only if the inbox has 64 entries. */
static void host_start_with(struct host *h, unsigned inbox)
{
	struct error e;

	memset(h, 0, sizeof(*h));
	error_init(&e);
	h->settings.vm = bstr_lit("a1");
	h->settings.operators.listen.host = "127.0.0.1";
	h->settings.operators.max_connections = 4;
	h->settings.operators.keys = h->keys;
	h->settings.operators.key_count = 1;
	h->keys[0].name = "ana";
	memcpy(h->keys[0].key, key, sizeof(key));
	h->inbox = mailbox_new(inbox);
	h->intake = intake_new(64 << 20);
	h->held_answers = mailbox_new(64);
	h->edge = edge_operator_start(&h->settings, h->intake, h->inbox, &e);
	cr_assert_not_null(h->edge);
	h->address = xasprintf("127.0.0.1:%u", edge_operator_port(h->edge));
	if (inbox == 64)
		pthread_create(&h->reducer, NULL, host_reduce, h);
}

static void host_start(struct host *h)
{
	host_start_with(h, 64);
}

/* Stops a host. */
static void host_stop(struct host *h)
{
	event *ev;

	if (h->reducer) {
		mailbox_put(h->inbox, event_new(EV_STOP));
		pthread_join(h->reducer, NULL);
	}
	operator_client_close(h->other);
	edge_operator_stop(h->edge);
	while ((ev = mailbox_take(h->inbox)))
		event_free(ev);
	mailbox_free(h->inbox);
	intake_free(h->intake);
	mailbox_free(h->held_answers);
	xdr_free(XDR_PROC(xdr_op_key), (char *)&h->created_key);
	free(h->address);
}

/*
 * Sends a request by a new client with a name and a key; returns false if it
 * failed.
 */
static bool host_call_as(struct host *h, const char *name, const uint8_t *k,
			 const op_request *req, op_reply *reply)
{
	struct operator_client *c;
	struct error e;
	bool ok;

	error_init(&e);
	c = operator_client_open(h->address, name, k, clock_now() + WAIT_MS,
				 &e);
	cr_assert_not_null(c);
	ok = operator_client_call(c, req, clock_now() + WAIT_MS, reply);
	operator_client_close(c);
	return ok;
}

/* Sends a request by a new client with the valid key. */
static bool host_call(struct host *h, const op_request *req, op_reply *reply)
{
	return host_call_as(h, "ana", key, req, reply);
}

static void reply_free(op_reply *reply)
{
	xdr_free(XDR_PROC(xdr_op_reply), (char *)reply);
}

Test(edge_operator, answers_through_the_reducer)
{
	op_request req = {.kind = OP_FLEET};
	op_reply reply;
	struct host h;

	host_start(&h);
	cr_assert(host_call(&h, &req, &reply));
	cr_expect_eq(reply.status, OP_OK);
	cr_expect(bstr_eq_str(reply.body, "{\"kind\":62}"));
	reply_free(&reply);
	host_stop(&h);
}

/*
 * The edge answers requests for the counters itself, so they work when the
 * reducer is stuck.
 */
Test(edge_operator, answers_counters_itself)
{
	op_request req = {.kind = OP_COUNTERS};
	op_reply reply;
	struct host h;
	json_t *json;

	host_start_with(&h, 2);
	cr_assert(host_call(&h, &req, &reply));
	cr_expect_eq(reply.status, OP_OK);
	json = json_loadb(reply.body.bstr_val, reply.body.bstr_len, 0, NULL);
	cr_expect_not_null(json);
	json_decref(json);
	reply_free(&reply);
	host_stop(&h);
}

/*
 * The secret of a new key reaches the operator, and only if the key was
 * created; the reducer gets only the salt and hash.
 */
Test(edge_operator, shows_a_new_keys_secret_only_if_it_was_made)
{
	op_request req = {.kind = OP_KEY_CREATE};
	op_reply reply;
	struct host h;

	req.op_request_u.key.key_id = bstr_lit("k1");
	req.op_request_u.key.hash = bstr_lit("of a secret of one's own");
	host_start(&h);
	cr_assert(host_call(&h, &req, &reply));
	cr_expect(reply.secret.bstr_len > 6 &&
		  !memcmp(reply.secret.bstr_val, "bf_k1_", 6));
	cr_expect(h.created_key.salt.bstr_len && h.created_key.hash.bstr_len);
	cr_expect_not(bstr_eq(h.created_key.hash, req.op_request_u.key.hash));
	reply_free(&reply);
	h.answer_status = OP_CONFLICT;
	cr_assert(host_call(&h, &req, &reply));
	cr_expect_eq(reply.status, OP_CONFLICT);
	cr_expect_eq(reply.secret.bstr_len, 0);
	reply_free(&reply);
	host_stop(&h);
}

/* A request with an unknown name or the wrong key is denied. */
Test(edge_operator, denies_strangers)
{
	static const uint8_t other[SEAL_KEY_BYTES] = "another key";
	static const struct {
		const char *name;
		const uint8_t *key;
	} cases[] = {{"ana", other}, {"anb", key}, {"an", key}, {"", key}};
	op_request req = {.kind = OP_FLEET};
	op_reply reply;
	struct host h;
	size_t i;

	host_start(&h);
	for (i = 0; i < NELEMS(cases); i++) {
		cr_expect_not(host_call_as(&h, cases[i].name, cases[i].key,
					   &req, &reply));
		cr_expect_eq(reply.status, OP_DENIED, "%s", cases[i].name);
		cr_expect_eq(counter_get(COUNT_REFUSED_SEAL), i + 1);
		reply_free(&reply);
	}
	host_stop(&h);
}

/*
 * The reducer doesn't answer, or its inbox is full.  The operator must still
 * get an answer in bounded time, and a correct one: a change may have taken
 * effect, so its outcome is unknown; a query can be repeated.  The reducer's
 * late answer is dropped.
 */
Test(edge_operator, answers_when_the_reducer_does_not)
{
	static const struct {
		op_kind kind;
		unsigned inbox;
		op_status status;
		enum counter_id counter;
	} cases[] = {
		{OP_KEY_CREATE, 64, OP_UNKNOWN, COUNT_REFUSED_DEADLINE},
		{OP_VM_DRAIN, 64, OP_UNKNOWN, COUNT_REFUSED_DEADLINE},
		{OP_CONFIG_APPLY, 64, OP_UNKNOWN, COUNT_REFUSED_DEADLINE},
		{OP_FLEET, 64, OP_UNAVAILABLE, COUNT_REFUSED_DEADLINE},
		{OP_WHY_JOB, 64, OP_UNAVAILABLE, COUNT_REFUSED_DEADLINE},
		{OP_VM_DRAIN, 2, OP_UNAVAILABLE, COUNT_REFUSED_OVERLOAD},
	};
	op_request req;
	op_reply reply;
	struct host h;
	size_t i;

	rpc_timeouts.answer_ms = 100;
	for (i = 0; i < NELEMS(cases); i++) {
		counter_set(cases[i].counter, 0);
		counter_set(COUNT_DROPPED_LATE, 0);
		host_start_with(&h, cases[i].inbox);
		if (cases[i].inbox == 2)
			mailbox_put(h.inbox, event_new(EV_TICK));
		h.hold_answers = true;
		memset(&req, 0, sizeof(req));
		req.kind = cases[i].kind;
		cr_assert(host_call(&h, &req, &reply));
		cr_expect_eq(reply.status, cases[i].status, "case %zu", i);
		cr_expect(reply.retry_after_ms > 0 && reply.reason.bstr_len);
		cr_expect_eq(reply.secret.bstr_len, 0);
		cr_expect_eq(counter_get(cases[i].counter), 1, "case %zu", i);
		reply_free(&reply);
		host_stop(&h);
		cr_expect_eq(counter_get(COUNT_DROPPED_LATE),
			     cases[i].inbox == 2 ? 0 : 1, "case %zu", i);
	}
}

/*
 * A large answer arrives complete; one that is too large to be sent is refused.
 */
Test(edge_operator, bounds_answers)
{
	static const struct {
		op_kind kind;
		size_t bytes;
		op_status status;
		size_t body;
	} cases[] = {
		{OP_CONFIG_SHOW, 1000000, OP_OK, 1000000},
		{OP_CONFIG_SHOW, BSTR_MAX, OP_REFUSED, 0},
		{OP_CONFIG_SHOW, BSTR_MAX + 1, OP_REFUSED, 0},
		{OP_CONFIG_APPLY, BSTR_MAX, OP_OK, 0},
	};
	op_request req;
	op_reply reply;
	struct host h;
	size_t i;

	host_start(&h);
	for (i = 0; i < NELEMS(cases); i++) {
		h.body = cases[i].bytes;
		memset(&req, 0, sizeof(req));
		req.kind = cases[i].kind;
		cr_assert(host_call(&h, &req, &reply));
		cr_expect_eq(reply.status, cases[i].status, "case %zu", i);
		cr_expect_eq(reply.body.bstr_len, cases[i].body);
		reply_free(&reply);
	}
	cr_expect_eq(counter_get(COUNT_REFUSED_BODY_TOO_LARGE), 3);
	host_stop(&h);
}

/*
 * A sealed body that isn't a request gets an answer, as the seal has identified
 * the operator.
 */
Test(edge_operator, refuses_a_body_that_does_not_decode)
{
	struct rpc_client *rpc;
	sealed call, answer = {0};
	op_reply reply;
	struct host h;
	char *purpose;

	host_start(&h);
	seal(&call, OPERATOR_CALL_PURPOSE, bstr_lit("ana"), bstr_lit("what?"),
	     clock_wall() + SEAL_VALIDITY_MS, key);
	rpc = rpc_client_open(bstr_lit(h.address), BAMBOO_OPERATOR,
			      BAMBOO_OPERATOR_V1, clock_now() + WAIT_MS);
	cr_assert_eq(rpc_client_call(rpc, OPERATE, &call, XDR_PROC(xdr_sealed),
				     &answer, clock_now() + WAIT_MS),
		     RPC_SUCCESS);
	purpose = operator_reply_purpose(call.nonce);
	cr_expect_eq(seal_open(&answer, purpose, clock_wall(), key, NULL),
		     SEAL_OK);
	cr_assert(xdr_decode(XDR_PROC(xdr_op_reply), answer.body, &reply,
			     sizeof(reply)));
	cr_expect_eq(reply.status, OP_INVALID);
	cr_expect_eq(counter_get(COUNT_REFUSED_MALFORMED), 1);
	reply_free(&reply);
	xdr_free(XDR_PROC(xdr_sealed), (char *)&call);
	xdr_free(XDR_PROC(xdr_sealed), (char *)&answer);
	rpc_client_close(rpc);
	free(purpose);
	host_stop(&h);
}

/*
 * The operator's client calls a server that isn't an entry VM or that fails.
 * The call must end by its deadline and report "unknown" only if it may have
 * been carried out.
 */
Test(operator_client, tells_what_became_of_a_call)
{
	static const struct {
		const char *name;
		const char *bytes; /* the answer; NULL: none */
		size_t len;
		bool close;
		op_status status;
	} cases[] = {
		{"silent", NULL, 0, false, OP_UNKNOWN},
		{"closed after the request", NULL, 0, true, OP_UNKNOWN},
		{"another protocol", "HTTP/1.1 400 Bad Request\r\n\r\n", 28,
		 true, OP_UNKNOWN},
		{"half an answer", "\x80\0\0\x20\0\0", 6, false, OP_UNKNOWN},
	};
	op_request req = {.kind = OP_VM_DRAIN};
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);
	struct operator_client *c;
	struct error e;
	op_reply reply;
	char *address;
	int fd, in;
	size_t i;

	error_init(&e);
	for (i = 0; i < NELEMS(cases); i++) {
		sa.sin_port = 0;
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		cr_assert(!bind(fd, (struct sockaddr *)&sa, len));
		cr_assert(!listen(fd, 1));
		cr_assert(!getsockname(fd, (struct sockaddr *)&sa, &len));
		address = xasprintf("127.0.0.1:%u", ntohs(sa.sin_port));
		c = operator_client_open(address, "ana", key,
					 clock_now() + WAIT_MS, &e);
		cr_assert_not_null(c);
		in = accept(fd, NULL, NULL);
		if (cases[i].bytes)
			fault_write(in, cases[i].bytes, cases[i].len);
		if (cases[i].close)
			shutdown(in, SHUT_WR);
		/*
		 * Neither bytes that arrived before the call nor the end of the
		 * connection are taken as its answer.
		 */
		cr_expect_not(operator_client_call(c, &req, clock_now() + 200,
						   &reply));
		cr_expect_eq(reply.status, cases[i].status, "%s: %d %.*s",
			     cases[i].name, reply.status,
			     BSTR_ARG(reply.detail));
		reply_free(&reply);
		operator_client_close(c);
		close(in);
		close(fd);
		c = operator_client_open(address, "ana", key, clock_now() + 200,
					 &e);
		cr_expect_null(c, "a closed port");
		free(address);
	}
	cr_expect_null(operator_client_open("localhost", "ana", key, 0, &e));
	cr_expect_eq(e.count, NELEMS(cases) + 1);
	error_free(&e);
}

/* Seals a request of a valid operator. */
static void target_envelope(void *arg, sealed *out)
{
	op_request req = {.kind = OP_FLEET};
	bstr body = xdr_encode(XDR_PROC(xdr_op_request), &req);

	(void)arg;
	seal(out, OPERATOR_CALL_PURPOSE, bstr_lit("ana"), body,
	     clock_wall() + SEAL_VALIDITY_MS, key);
	bstr_free(&body);
}

/* Sends a request by another client, which must work beside the faults. */
static bool target_bystander(void *arg)
{
	op_request req = {.kind = OP_FLEET};
	struct host *h = arg;
	struct error e;
	op_reply reply;
	bool ok;

	error_init(&e);
	if (!h->other)
		h->other = operator_client_open(h->address, "ana", key,
						clock_now() + WAIT_MS, &e);
	ok = operator_client_call(h->other, &req, clock_now() + WAIT_MS,
				  &reply);
	reply_free(&reply);
	return ok;
}

#define FAULT_TEST(name, run)                                   \
	Test(edge_operator, name)                               \
	{                                                       \
		struct target t;                                \
		struct host h;                                  \
                                                                \
		host_start(&h);                                 \
		t = (struct target){edge_operator_port(h.edge), \
				    BAMBOO_OPERATOR,            \
				    4,                          \
				    target_envelope,            \
				    target_bystander,           \
				    &h};                        \
		run(&t);                                        \
		host_stop(&h);                                  \
	}

FAULT_TEST(withstands_faults, faults_run)
FAULT_TEST(takes_a_call_in_pieces, fault_fragments)
FAULT_TEST(resets_a_caller_that_never_reads, fault_never_read)
FAULT_TEST(bounds_connections, fault_connection_limit)
FAULT_TEST(refuses_a_copy, fault_replay)

/*
 * A caller doesn't read large answers and sends nothing more.  As its window is
 * closed, a plain close() would leave the rest of the answers in the kernel, so
 * the connection must be reset.
 */
Test(edge_operator, resets_a_caller_that_leaves_its_answer)
{
	struct target t = {.program = BAMBOO_OPERATOR};
	struct pollfd p = {0}; /* POLLERR and POLLHUP are always reported */
	struct host h;
	int small = 4096;
	bstr call;
	int i;

	rpc_timeouts.record_ms = 200;
	host_start(&h);
	h.body = 1000000;
	t.make_envelope = target_envelope;
	p.fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(p.fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	fault_connect_with(p.fd, edge_operator_port(h.edge));
	for (i = 0; i < 32; i++) { /* more than the kernel buffers */
		call = fault_good_call(&t, 1);
		fault_write(p.fd, call.bstr_val, call.bstr_len);
		bstr_free(&call);
	}
	cr_expect_eq(poll(&p, 1, WAIT_MS), 1, "no reset");
	cr_expect_eq(counter_get(COUNT_DROPPED_SLOW), 1);
	close(p.fd);
	host_stop(&h);
}

/* Callers disconnect before the reducer answers; later calls must work. */
Test(edge_operator, forgets_a_caller_that_left)
{
	struct target t = {.program = BAMBOO_OPERATOR};
	struct linger reset = {.l_onoff = 1};
	int64_t deadline = clock_now() + WAIT_MS;
	sealed envelope;
	struct host h;
	bstr call;
	int i, fd;

	host_start(&h);
	h.hold_answers = true;
	for (i = 0; i < 8; i++) {
		target_envelope(NULL, &envelope);
		call = fault_call(&t, 1, &envelope);
		fd = fault_connect(edge_operator_port(h.edge));
		fault_write(fd, call.bstr_val, call.bstr_len);
		if (i % 2)
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
		close(fd);
		bstr_free(&call);
		xdr_free(XDR_PROC(xdr_sealed), (char *)&envelope);
	}
	h.hold_answers = false;
	while (!target_bystander(&h)) /* until the edge accepts a call again */
		cr_assert(clock_now() < deadline);
	host_stop(&h);
}

/*
 * Calls without an answer have all connections.  A further operator must learn
 * at once that there is none, by the end of the connection.
 */
Test(edge_operator, closes_a_connection_beside_unanswered_calls)
{
	struct target t = {.program = BAMBOO_OPERATOR};
	uint64_t before = counter_get(COUNT_REFUSED_CONNECTIONS);
	struct pollfd p = {.events = POLLIN};
	sealed envelope;
	struct host h;
	void *answers[4];
	int fds[4], i;
	bstr call;
	char byte;

	host_start(&h);
	h.hold_answers = true;
	for (i = 0; i < (int)NELEMS(fds); i++) {
		target_envelope(NULL, &envelope);
		call = fault_call(&t, 1, &envelope);
		fds[i] = fault_connect(edge_operator_port(h.edge));
		fault_write(fds[i], call.bstr_val, call.bstr_len);
		bstr_free(&call);
		xdr_free(XDR_PROC(xdr_sealed), (char *)&envelope);
	}
	for (i = 0; i < (int)NELEMS(fds); i++) /* until all wait */
		while (!(answers[i] = mailbox_take(h.held_answers)))
			usleep(1000);
	for (i = 0; i < (int)NELEMS(fds); i++)
		mailbox_put(h.held_answers, answers[i]);
	p.fd = fault_connect(edge_operator_port(h.edge));
	cr_expect_eq(poll(&p, 1, WAIT_MS), 1, "still open");
	cr_expect_leq(recv(p.fd, &byte, 1, MSG_DONTWAIT), 0);
	cr_expect_eq(counter_get(COUNT_REFUSED_CONNECTIONS), before + 1);
	close(p.fd);
	for (i = 0; i < (int)NELEMS(fds); i++)
		close(fds[i]);
	host_stop(&h);
}

/*
 * The number of unanswered calls is bounded, also if their callers disconnect.
 */
Test(edge_operator, bounds_waiting_calls)
{
	struct target t = {.program = BAMBOO_OPERATOR};
	int64_t deadline = clock_now() + 6 * (int64_t)WAIT_MS;
	op_request req = {.kind = OP_VM_DRAIN};
	op_reply reply = {0};
	struct host h;
	bstr call;
	int i, fd;

	host_start_with(&h, 4096);
	t.port = edge_operator_port(h.edge);
	t.make_envelope = target_envelope;
	for (i = 0; !counter_get(COUNT_REFUSED_OVERLOAD); i++) {
		cr_assert(clock_now() < deadline && i < 100000);
		call = fault_good_call(&t, 1);
		fd = fault_connect(t.port);
		(void)!send(fd, call.bstr_val, call.bstr_len, MSG_NOSIGNAL);
		close(fd);
		bstr_free(&call);
	}
	cr_expect(i >= 1024);
	while (!host_call(&h, &req,
			  &reply)) { /* until the edge accepts a call */
		reply_free(&reply);
		cr_assert(clock_now() < deadline);
	}
	cr_expect_eq(reply.status, OP_UNAVAILABLE);
	cr_expect(bstr_eq_str(reply.reason, "overload"));
	reply_free(&reply);
	host_stop(&h);
}
