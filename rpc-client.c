/*
 * ONC RPC client and record marking. As in rpc-server.c, libtirpc encodes the
 * messages, and the sockets are handled here.
 *
 * libtirpc's clnt_vc restarts its timeout with each byte that it receives. A
 * server that sends a byte at a time, or that answers other calls without end,
 * held a call with a deadline of 300 ms for more than ten seconds. Its write
 * has no timeout at all. Here the deadline holds whatever the server does.
 */
#include "bamboofront.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rpc-client.h"

#define FRAGMENT_LAST 0x80000000u /* flag in the mark of a fragment */
#define FRAGMENT_MARK 4		  /* bytes of the mark before each fragment */
#define FRAGMENTS_MAX 256
#define READ_BYTES 4096

struct rpc_client {
	int fd;
	uint32_t program;
	uint32_t version;
	uint32_t xid;
	uint8_t *in;
	size_t in_len;
	size_t in_capacity;
};

/*
 * Checks whether p starts with a complete record. If so, payload is the length
 * of the message and raw that of the record with its marks.
 */
enum rpc_record_result rpc_record_find(const uint8_t *p, size_t len,
				       size_t *payload, size_t *raw)
{
	size_t at = 0, total = 0, fragment;
	uint32_t mark;
	int n;

	for (n = 0; n < FRAGMENTS_MAX; n++) {
		if (len - at < FRAGMENT_MARK)
			return RPC_RECORD_PARTIAL;
		memcpy(&mark, p + at, FRAGMENT_MARK);
		mark = ntohl(mark);
		fragment = mark & ~FRAGMENT_LAST;
		total += fragment;
		at += FRAGMENT_MARK;
		if (total > RPC_RECORD_MAX)
			return RPC_RECORD_TOO_LONG;
		if (len - at < fragment)
			return RPC_RECORD_PARTIAL;
		at += fragment;
		if (mark & FRAGMENT_LAST) {
			*payload = total;
			*raw = at;
			return RPC_RECORD_COMPLETE;
		}
	}
	return RPC_RECORD_INVALID;
}

/* Joins the fragments of a complete record in place, without the marks. */
void rpc_record_join(uint8_t *p, size_t payload)
{
	size_t from = 0, to = 0, fragment;
	uint32_t mark;

	while (to < payload) {
		memcpy(&mark, p + from, FRAGMENT_MARK);
		fragment = ntohl(mark) & ~FRAGMENT_LAST;
		memmove(p + to, p + from + FRAGMENT_MARK, fragment);
		from += FRAGMENT_MARK + fragment;
		to += fragment;
	}
}

/* Returns a record of one fragment with the two parts of a message. */
bstr rpc_record_new(bstr head, bstr body)
{
	uint32_t mark = htonl(FRAGMENT_LAST | (head.bstr_len + body.bstr_len));
	bstr b;

	b.bstr_len = FRAGMENT_MARK + head.bstr_len + body.bstr_len;
	b.bstr_val = xmalloc(b.bstr_len);
	memcpy(b.bstr_val, &mark, FRAGMENT_MARK);
	if (head.bstr_len)
		memcpy(b.bstr_val + FRAGMENT_MARK, head.bstr_val,
		       head.bstr_len);
	if (body.bstr_len)
		memcpy(b.bstr_val + FRAGMENT_MARK + head.bstr_len,
		       body.bstr_val, body.bstr_len);
	return b;
}

/*
 * Converts a numeric IP address and a port to a socket address. Returns false
 * if host is neither an IPv4 nor an IPv6 address; no name is resolved.
 */
bool socket_address(const char *host, uint16_t port,
		    struct sockaddr_storage *sa, socklen_t *len)
{
	struct sockaddr_in *in = (struct sockaddr_in *)sa;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)sa;

	memset(sa, 0, sizeof(*sa));
	if (inet_pton(AF_INET, host, &in->sin_addr) == 1) {
		in->sin_family = AF_INET;
		in->sin_port = htons(port);
		*len = sizeof(*in);
		return true;
	}
	if (inet_pton(AF_INET6, host, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(port);
		*len = sizeof(*in6);
		return true;
	}
	return false;
}

/* Parses "ip:port" or "[ip]:port"; returns false if address is neither. */
static bool address_parse(bstr address, struct sockaddr_storage *sa,
			  socklen_t *len)
{
	char *text = bstr_cstr(address), *host = text, *colon, *end;
	unsigned long port = 0;
	bool ok = false;

	colon = strrchr(text, ':');
	if (colon) {
		*colon = '\0';
		port = strtoul(colon + 1, &end, 10);
		ok = end != colon + 1 && !*end && port && port <= UINT16_MAX;
	}
	if (ok && *host == '[' && colon[-1] == ']') {
		colon[-1] = '\0';
		host++;
	}
	ok = ok && socket_address(host, (uint16_t)port, sa, len);
	free(text);
	return ok;
}

/* Returns the time until a deadline in ms, in the range that poll accepts. */
static int ms_until(int64_t deadline)
{
	int64_t left = deadline - clock_now();

	if (left < 0)
		return 0;
	return left > INT32_MAX ? INT32_MAX : (int)left;
}

/* Waits until a socket is ready. Returns false at the deadline. */
static bool socket_wait(int fd, short events, int64_t deadline)
{
	struct pollfd p = {.fd = fd, .events = events};
	int n;

	do
		n = poll(&p, 1, ms_until(deadline));
	while (n < 0 && errno == EINTR);
	return n > 0;
}

/*
 * Returns a non-blocking socket that is connected, or -1 on failure or at the
 * deadline.
 */
static int socket_connect(const struct sockaddr_storage *sa, socklen_t len,
			  int64_t deadline)
{
	int fd, one = 1, err = 0;
	socklen_t size = sizeof(err);

	fd = socket(sa->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!connect(fd, (const struct sockaddr *)sa, len) ||
	    (errno == EINPROGRESS && socket_wait(fd, POLLOUT, deadline) &&
	     !getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &size) && !err))
		return fd;
	close(fd);
	return -1;
}

/*
 * Opens a connection. Returns NULL if the address is malformed or the
 * connection is not established by the deadline.
 */
struct rpc_client *rpc_client_open(bstr address, uint32_t program,
				   uint32_t version, int64_t deadline)
{
	struct sockaddr_storage sa;
	struct rpc_client *c;
	socklen_t len;
	int fd;

	if (!address_parse(address, &sa, &len))
		return NULL;
	fd = socket_connect(&sa, len, deadline);
	if (fd < 0)
		return NULL;
	c = xcalloc(1, sizeof(*c));
	c->fd = fd;
	c->program = program;
	c->version = version;
	c->xid = randombytes_random();
	return c;
}

/*
 * Returns true if an idle connection can carry another call. It is readable,
 * and so cannot, if the server has closed it or has sent unsolicited data.
 */
bool rpc_client_alive(const struct rpc_client *c)
{
	struct pollfd p = {.fd = c->fd, .events = POLLIN | POLLRDHUP};

	return poll(&p, 1, 0) == 0;
}

/*
 * Writes a complete record. Returns false on failure or at the deadline; the
 * server cannot execute a call of which a part is missing.
 */
static bool client_write(const struct rpc_client *c, bstr record,
			 int64_t deadline)
{
	size_t sent = 0;
	ssize_t n;

	while (sent < record.bstr_len) {
		n = send(c->fd, record.bstr_val + sent, record.bstr_len - sent,
			 MSG_NOSIGNAL);
		if (n >= 0)
			sent += (size_t)n;
		else if (errno == EAGAIN) {
			if (!socket_wait(c->fd, POLLOUT, deadline))
				return false;
		} else if (errno != EINTR)
			return false;
	}
	return true;
}

/* Waits for data and appends it to the buffer. */
static enum clnt_stat client_read(struct rpc_client *c, int64_t deadline)
{
	ssize_t n;

	if (!ms_until(deadline) || !socket_wait(c->fd, POLLIN, deadline))
		return RPC_TIMEDOUT;
	if (c->in_capacity - c->in_len < READ_BYTES) {
		c->in_capacity = c->in_len * 2 + READ_BYTES;
		c->in = xrealloc(c->in, c->in_capacity, 1);
	}
	n = recv(c->fd, c->in + c->in_len, c->in_capacity - c->in_len, 0);
	if (n > 0)
		c->in_len += (size_t)n;
	else if (n == 0 || (errno != EAGAIN && errno != EINTR))
		return RPC_CANTRECV;
	return RPC_SUCCESS;
}

/* Decodes a reply and its result, which the caller must free. */
static enum clnt_stat client_decode_reply(uint8_t *p, size_t len,
					  xdrproc_t proc, void *result)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	struct rpc_err err = {0};
	XDR x;

	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.where = result;
	msg.acpted_rply.ar_results.proc = proc;
	xdrmem_create(&x, (char *)p, (u_int)len, XDR_DECODE);
	if (xdr_replymsg(&x, &msg) && xdr_getpos(&x) == len)
		_seterr_reply(&msg, &err);
	else
		err.re_status = RPC_CANTDECODERES;
	xdr_destroy(&x);
	return err.re_status;
}

/* Waits for the reply to the current call; other replies are ignored. */
static enum clnt_stat client_await_reply(struct rpc_client *c, xdrproc_t proc,
					 void *result, int64_t deadline)
{
	enum clnt_stat stat;
	size_t payload, raw;
	uint32_t xid = 0;

	for (;;) {
		switch (rpc_record_find(c->in, c->in_len, &payload, &raw)) {
		case RPC_RECORD_PARTIAL:
			stat = client_read(c, deadline);
			if (stat != RPC_SUCCESS)
				return stat;
			continue;
		case RPC_RECORD_TOO_LONG:
		case RPC_RECORD_INVALID:
			return RPC_CANTDECODERES;
		case RPC_RECORD_COMPLETE:
			break;
		}
		rpc_record_join(c->in, payload);
		if (payload >= sizeof(xid))
			memcpy(&xid, c->in, sizeof(xid));
		if (payload >= sizeof(xid) && ntohl(xid) == c->xid)
			stat = client_decode_reply(c->in, payload, proc,
						   result);
		else
			stat = RPC_INPROGRESS;
		c->in_len -= raw;
		memmove(c->in, c->in + raw, c->in_len);
		if (stat != RPC_INPROGRESS)
			return stat;
	}
}

/* Makes a call and waits for its reply until the deadline. */
enum clnt_stat rpc_client_call(struct rpc_client *c, uint32_t procedure,
			       const sealed *args, xdrproc_t proc, void *result,
			       int64_t deadline)
{
	struct rpc_msg msg = {.rm_xid = ++c->xid, .rm_direction = CALL};
	bstr head, body, record;
	bool sent;

	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = c->program;
	msg.rm_call.cb_vers = c->version;
	msg.rm_call.cb_proc = procedure;
	msg.rm_call.cb_cred = msg.rm_call.cb_verf = _null_auth;
	body = xdr_encode(XDR_PROC(xdr_sealed), args);
	if (!body.bstr_len)
		return RPC_CANTENCODEARGS;
	head = xdr_encode(XDR_PROC(xdr_callmsg), &msg);
	record = rpc_record_new(head, body);
	sent = client_write(c, record, deadline);
	bstr_free(&head);
	bstr_free(&body);
	bstr_free(&record);
	if (!sent)
		return RPC_CANTSEND;
	return client_await_reply(c, proc, result, deadline);
}

/* Closes a connection and frees it; c may be NULL. */
void rpc_client_close(struct rpc_client *c)
{
	if (!c)
		return;
	close(c->fd);
	free(c->in);
	free(c);
}
