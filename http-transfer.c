#include "http-state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEADERS_MAX 65536	 /* bytes of all header lines of an answer */
#define RETRY_AFTER_MAX_MS 60000 /* a longer one is cut to this */
#define CONNECTION_IDLE_S 60	 /* an idle connection is kept for */

/* Collect the answer's body, up to the bound. */
static size_t answer_write(char *p, size_t size, size_t count, void *arg)
{
	struct http_transfer *t = arg;
	bstr *body = &t->response.body;
	size_t n = size * count, need = body->bstr_len + n;

	if (need > t->request->max_response) {
		t->response.too_long = true;
		return 0;
	}
	if (need > t->body_capacity) {
		t->body_capacity = need < 2 * t->body_capacity
					   ? 2 * t->body_capacity
					   : need;
		body->bstr_val = xrealloc(body->bstr_val, t->body_capacity, 1);
	}
	if (n)
		memcpy(body->bstr_val + body->bstr_len, p, n);
	body->bstr_len = (u_int)need;
	return n;
}

/* Read Retry-After: seconds, decimals allowed, bounded. */
static uint32_t retry_after_parse(const char *p, size_t len)
{
	char text[32], *end;
	double s;

	while (len && (*p == ' ' || *p == '\t'))
		p++, len--;
	while (len && strchr(" \t\r\n", p[len - 1]))
		len--;
	if (!len || len >= sizeof(text))
		return 0;
	memcpy(text, p, len);
	text[len] = '\0';
	s = strtod(text, &end);
	if (*end || !isfinite(s) || s <= 0)
		return 0;
	if (s * 1000 >= RETRY_AFTER_MAX_MS)
		return RETRY_AFTER_MAX_MS;
	return (uint32_t)ceil(s * 1000);
}

/* If the line is the named header, give its value. */
static const char *header_value(const char *line, size_t len, const char *name,
				size_t *value_len)
{
	size_t n = strlen(name);

	if (len <= n || line[n] != ':' || strncasecmp(line, name, n) != 0)
		return NULL;
	*value_len = len - n - 1;
	return line + n + 1;
}

/* Look at a header line. */
static size_t answer_header(char *p, size_t size, size_t count, void *arg)
{
	struct http_transfer *t = arg;
	size_t n = size * count, len;
	const char *value;

	t->header_bytes += n;
	if (t->header_bytes > HEADERS_MAX) {
		t->response.too_long = true;
		return 0;
	}
	if (n > 5 && strncasecmp(p, "HTTP/", 5) == 0) {
		/* The headers before were those of an interim answer. */
		t->headers_done = false;
		t->response.retry_after_ms = 0;
		t->framed = false;
	}
	if (n == 2 && memcmp(p, "\r\n", 2) == 0)
		t->headers_done = true;
	value = header_value(p, n, "Retry-After", &len);
	if (value)
		t->response.retry_after_ms = retry_after_parse(value, len);
	if (header_value(p, n, "Content-Length", &len))
		t->framed = true;
	value = header_value(p, n, "Transfer-Encoding", &len);
	if (value && memmem(value, len, "chunked", strlen("chunked")))
		t->framed = true;
	return n;
}

/*
 * Called when a connection stands and nothing of the request has been sent
 * on it; from here on the request may have arrived.
 *
 * The deadline is looked at once more.  libcurl's timeout runs from when it
 * begins the transfer, and a round reads the clock once for all transfers: a
 * thread that gets no processor would send orders about machines long after
 * their deadline, beside those of a successor.  libcurl writes right after
 * this returns, all of a small request in one call, so what is late stays
 * here.  Not held back: what is late because the thread stops between the
 * look and that call, and what the kernel has taken before the deadline, until
 * http_socket_close().
 *
 * libcurl calls this again if it repeats the request by itself, which it does
 * when a connection it had kept turns out to be closed without a byte of an
 * answer.  The peer may then see the request twice; that is safe because
 * commits are idempotent by their txid, starts and orders by the task, and
 * objects never change.
 */
static int request_ready(void *arg, char *peer_ip, char *local_ip,
			 int peer_port, int local_port)
{
	struct http_transfer *t = arg;
	struct http_socket *s = http_socket_find(t->client, peer_ip, peer_port,
						 local_port);

	(void)local_ip;
	if (!t->fresh_connect &&
	    (!s || !http_socket_is_reusable(s, t->queue))) {
		t->stale = true;
		return CURL_PREREQFUNC_ABORT;
	}
	if (t->request->deadline <= clock_now())
		return CURL_PREREQFUNC_ABORT;
	t->response.conn_opened_at = clock_now();
	if (s) {
		s->used = true;
		t->response.conn_opened_at = s->opened_at;
	}
	t->sent = true;
	return CURL_PREREQFUNC_OK;
}

/* Make a handle with the options that all requests share. */
static struct http_transfer *transfer_new(struct http_client *c)
{
	struct http_transfer *t = xcalloc(1, sizeof(*t));
	CURL *h = curl_easy_init();

	if (!h)
		abort(); /* out of memory */
	t->client = c;
	t->easy = h;
	curl_easy_setopt(h, CURLOPT_PRIVATE, t);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(h, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(h, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(h, CURLOPT_HTTP09_ALLOWED, 0L);
	curl_easy_setopt(h, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(h, CURLOPT_MAXAGE_CONN, (long)CONNECTION_IDLE_S);
	curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)c->options.connect_ms);
	if (c->tls_ca)
		curl_easy_setopt(h, CURLOPT_CAINFO, c->tls_ca);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, answer_write);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, answer_header);
	curl_easy_setopt(h, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(h, CURLOPT_OPENSOCKETFUNCTION, http_socket_open);
	curl_easy_setopt(h, CURLOPT_OPENSOCKETDATA, c);
	curl_easy_setopt(h, CURLOPT_CLOSESOCKETFUNCTION, http_socket_close);
	curl_easy_setopt(h, CURLOPT_CLOSESOCKETDATA, c);
	curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, request_ready);
	curl_easy_setopt(h, CURLOPT_PREREQDATA, t);
	return t;
}

/* Hand a transfer to libcurl, with the time that is left. */
static bool transfer_add(struct http_transfer *t)
{
	int64_t left = t->request->deadline - clock_now();

	if (left <= 0)
		return false;
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS, (long)left);
	return curl_multi_add_handle(t->queue->shard->multi, t->easy) ==
	       CURLM_OK;
}

/* Give a transfer back and tell its outcome. */
static void transfer_end(struct http_transfer *t, enum http_outcome outcome)
{
	struct http_client *c = t->client;
	struct http_response a = t->response;

	a.outcome = outcome;
	TAILQ_REMOVE(&c->running, t, entry);
	TAILQ_INSERT_HEAD(&c->free_transfers, t, entry);
	http_queue_end(c, t->queue);
	http_request_end(c, t->request, &a);
	bstr_free(&a.body);
}

/*
 * Give a transfer its request's headers, with the client's behind them.  The
 * list's nodes are the transfer's own and its texts the request's: libcurl
 * keeps a pointer only, and a copy of each would be made for every request.
 */
static void transfer_headers(struct http_transfer *t,
			     const struct http_request *r)
{
	struct curl_slist *next = t->client->headers;
	size_t i;

	for (i = HTTP_HEADERS_MAX; i-- > 0;) {
		if (!r->headers[i])
			continue;
		t->headers[i].data = r->headers[i];
		t->headers[i].next = next;
		next = &t->headers[i];
	}
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, next);
}

/* Give a transfer its request's method and body. */
static void transfer_method(struct http_transfer *t,
			    const struct http_request *r)
{
	CURL *h = t->easy;

	if (strcmp(r->method, "GET") == 0) {
		curl_easy_setopt(h, CURLOPT_HTTPGET, 1L);
		curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, NULL);
		return;
	}
	curl_easy_setopt(h, CURLOPT_POST, 1L);
	curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST,
			 strcmp(r->method, "POST") ? r->method : NULL);
	curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE, (long)r->body.bstr_len);
	curl_easy_setopt(h, CURLOPT_POSTFIELDS,
			 r->body.bstr_val ? r->body.bstr_val : "");
}

/* Begin the exchange of a request whose queue has a place for it. */
void http_transfer_start(struct http_client *c, struct http_queue *q,
			 struct http_request *r)
{
	struct http_transfer *t = TAILQ_FIRST(&c->free_transfers);
	CURL *h;

	if (r->deadline <= clock_now() || (r->build && !r->build(r))) {
		http_request_not_sent(c, r);
		return;
	}
	if (t)
		TAILQ_REMOVE(&c->free_transfers, t, entry);
	else
		t = transfer_new(c);
	TAILQ_INSERT_TAIL(&c->running, t, entry);
	http_queue_begin(q);
	t->queue = q;
	t->request = r;
	t->sent = t->stale = t->fresh_connect = false;
	t->headers_done = t->framed = false;
	t->header_bytes = t->body_capacity = 0;
	memset(&t->response, 0, sizeof(t->response));

	h = t->easy;
	curl_easy_setopt(h, CURLOPT_URL, r->url);
	transfer_headers(t, r);
	curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 0L);
	transfer_method(t, r);
	if (!transfer_add(t))
		transfer_end(t, HTTP_NOT_SENT);
}

/*
 * What a finished transfer amounts to.  libcurl takes two kinds of answers
 * that are cut short for whole ones: headers that end with the connection,
 * and a body without a length, which ends where the connection does.
 */
static enum http_outcome transfer_outcome(struct http_transfer *t, CURLcode rc)
{
	if (rc == CURLE_OK && !t->headers_done)
		return HTTP_NO_RESPONSE;
	if (rc == CURLE_OK)
		return t->framed || t->response.status == 204 ? HTTP_OK
							      : HTTP_INVALID;
	if (t->response.too_long)
		return HTTP_INVALID;
	if (!t->sent)
		return HTTP_NOT_SENT;
	switch (rc) {
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_BAD_CONTENT_ENCODING:
		return HTTP_INVALID;
	default:
		return HTTP_NO_RESPONSE;
	}
}

/* End a transfer that libcurl is done with, or send it by a fresh way. */
static void transfer_done(struct http_transfer *t, CURLcode rc)
{
	struct http_client *c = t->client;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &t->response.status);
	curl_multi_remove_handle(t->queue->shard->multi, t->easy);
	if (t->stale && !t->fresh_connect) {
		t->fresh_connect = true;
		curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT, 1L);
		if (transfer_add(t))
			return;
	}
	if (rc == CURLE_OPERATION_TIMEDOUT && t->sent)
		t->queue->timeout_serial = c->last_serial;
	if (rc != CURLE_OK)
		log_debug("%s %s: %s", t->request->method, t->request->url,
			  curl_easy_strerror(rc));
	transfer_end(t, transfer_outcome(t, rc));
}

/* Take the finished transfers out of libcurl. */
void http_transfers_reap(struct http_shard *sh)
{
	struct http_transfer *t;
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(sh->multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &t);
		transfer_done(t, msg->data.result);
	}
}

/* End all that is under way: what was sent has no answer. */
void http_transfers_abort(struct http_client *c)
{
	struct http_transfer *t;

	while ((t = TAILQ_FIRST(&c->running))) {
		curl_multi_remove_handle(t->queue->shard->multi, t->easy);
		transfer_end(t, t->sent ? HTTP_NO_RESPONSE : HTTP_NOT_SENT);
	}
}

/* Free the handles; none is under way. */
void http_transfers_free(struct http_client *c)
{
	struct http_transfer *t;

	while ((t = TAILQ_FIRST(&c->free_transfers))) {
		TAILQ_REMOVE(&c->free_transfers, t, entry);
		curl_easy_cleanup(t->easy);
		free(t);
	}
}
