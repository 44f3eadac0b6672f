/*
 * Transfers: runs each request on a connection of the client's own
 * (http-direct.c) or on a libcurl easy handle, and decides on the outcome.
 */
#include "http-state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEADER_BYTES_MAX 65536	 /* all header lines of a response */
#define RETRY_AFTER_MAX_MS 60000 /* longer values are reduced to this */

/*
 * Appends to the body of the response. Returns false if it exceeds max_response
 * bytes.
 */
bool http_response_append(struct http_transfer *t, const char *p, size_t n)
{
	bstr *body = &t->response.body;
	size_t need = body->bstr_len + n;

	if (need > t->request->max_response) {
		t->response.too_long = true;
		return false;
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
	return true;
}

/* Callback of libcurl: appends to the body. */
static size_t response_body(char *p, size_t size, size_t count, void *arg)
{
	return http_response_append(arg, p, size * count) ? size * count : 0;
}

/*
 * Returns the value of a Retry-After header in ms, at most RETRY_AFTER_MAX_MS,
 * or 0 if it is not a positive number of seconds. Decimals are accepted.
 */
uint32_t http_retry_after_parse(const char *p, size_t len)
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

/* Returns the value of a header line if it has the given name, else NULL. */
static const char *header_value(const char *line, size_t len, const char *name,
				size_t *value_len)
{
	size_t n = strlen(name);

	if (len <= n || line[n] != ':' || strncasecmp(line, name, n) != 0)
		return NULL;
	*value_len = len - n - 1;
	return line + n + 1;
}

/* Callback of libcurl: handles a header line of the response. */
static size_t response_header(char *p, size_t size, size_t count, void *arg)
{
	struct http_transfer *t = arg;
	size_t n = size * count, len;
	const char *value;

	t->header_bytes += n;
	if (t->header_bytes > HEADER_BYTES_MAX) {
		t->response.too_long = true;
		return 0;
	}
	if (n > 5 && strncasecmp(p, "HTTP/", 5) == 0) {
		/* The previous headers were of an interim response (1xx). */
		t->headers_done = false;
		t->response.retry_after_ms = 0;
		t->framed = false;
	}
	if (n == 2 && memcmp(p, "\r\n", 2) == 0)
		t->headers_done = true;
	value = header_value(p, n, "Retry-After", &len);
	if (value)
		t->response.retry_after_ms = http_retry_after_parse(value, len);
	if (header_value(p, n, "Content-Length", &len))
		t->framed = true;
	value = header_value(p, n, "Transfer-Encoding", &len);
	if (value && memmem(value, len, "chunked", strlen("chunked")))
		t->framed = true;
	return n;
}

/*
 * Callback of libcurl: the connection is established and nothing of the request
 * has been sent on it. Once this returns CURL_PREREQFUNC_OK, the server may
 * receive the request.
 *
 * The deadline is checked again here. An iteration of the event loop starts all
 * its transfers at one reading of the clock. Without the check, a thread that
 * is denied the CPU would send orders about machines long after their deadline,
 * while a successor sends its own. The check is enough because libcurl writes
 * right after this returns, and a small request in one call. Two cases remain:
 * the thread is suspended between the check and that call, and data that the
 * kernel accepted before the deadline is sent until http_socket_close.
 *
 * libcurl calls this again if it repeats the request by itself. It does so when
 * a reused connection was closed without a byte of a response. The server may
 * then receive the request twice; see response_is_ambiguous.
 */
static int transfer_prereq(void *arg, char *peer_ip, char *local_ip,
			   int peer_port, int local_port)
{
	struct http_transfer *t = arg;
	struct http_socket *s = http_socket_find(t->client, peer_ip, peer_port,
						 local_port);
	int64_t opened_at = clock_now();

	(void)local_ip;
	if (s && !s->used)
		s->opened_at = opened_at;
	if (s)
		opened_at = s->opened_at;
	if (!t->fresh_connect &&
	    (!s || !http_socket_is_reusable(s, t->queue))) {
		t->stale = true;
		return CURL_PREREQFUNC_ABORT;
	}
	if (t->request->deadline <= clock_now())
		return CURL_PREREQFUNC_ABORT;
	if (s)
		s->used = true;
	if (opened_at > t->response.conn_opened_at)
		t->response.conn_opened_at = opened_at;
	t->response.repeated = t->sent;
	t->sent = true;
	return CURL_PREREQFUNC_OK;
}

/* Sets up an easy handle with the options that all requests share. */
static void transfer_init_easy(struct http_transfer *t)
{
	struct http_client *c = t->client;
	CURL *h = curl_easy_init();

	if (!h)
		abort(); /* out of memory */
	t->easy = h;
	curl_easy_setopt(h, CURLOPT_PRIVATE, t);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(h, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(h, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(h, CURLOPT_HTTP09_ALLOWED, 0L);
	curl_easy_setopt(h, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(h, CURLOPT_MAXAGE_CONN,
			 HTTP_CONNECTION_IDLE_MS / 1000L);
	curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)c->options.connect_ms);
	if (c->tls_ca)
		curl_easy_setopt(h, CURLOPT_CAINFO, c->tls_ca);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, response_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, response_header);
	curl_easy_setopt(h, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(h, CURLOPT_OPENSOCKETFUNCTION, http_socket_open);
	curl_easy_setopt(h, CURLOPT_OPENSOCKETDATA, c);
	curl_easy_setopt(h, CURLOPT_CLOSESOCKETFUNCTION, http_socket_close);
	curl_easy_setopt(h, CURLOPT_CLOSESOCKETDATA, c);
	curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, transfer_prereq);
	curl_easy_setopt(h, CURLOPT_PREREQDATA, t);
}

/*
 * Starts a transfer, to be ended at its deadline. Returns false if that has
 * passed or libcurl refuses the transfer.
 *
 * libcurl's own timeout is not used: it starts anew when libcurl repeats a
 * request, so that the outcome would come up to twice as late.
 */
static bool transfer_add(struct http_transfer *t)
{
	if (t->request->deadline <= clock_now())
		return false;
	heap_set(&t->client->transfer_timers, &t->timer, t->request->deadline);
	return curl_multi_add_handle(t->queue->shard->multi, t->easy) ==
	       CURLM_OK;
}

/* Ends a transfer, keeps it for reuse and reports the response. */
void http_transfer_end(struct http_transfer *t, enum http_outcome outcome)
{
	struct http_client *c = t->client;
	struct http_response res = t->response;

	res.outcome = outcome;
	heap_remove(&c->transfer_timers, &t->timer);
	TAILQ_REMOVE(&c->running, t, entry);
	TAILQ_INSERT_HEAD(&c->free_transfers, t, entry);
	http_queue_end(c, t->queue);
	http_request_end(c, t->request, &res);
	bstr_free(&res.body);
}

/*
 * Sets the headers of the request, followed by those of the client. The list is
 * built from nodes in the transfer that point to the strings of the request,
 * which libcurl does not copy. curl_slist_append would copy each string for
 * every request.
 */
static void transfer_set_headers(struct http_transfer *t,
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

/* Sets the method and the body of the request. */
static void transfer_set_method(struct http_transfer *t,
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

/* Starts a transfer with libcurl. */
static void transfer_start_easy(struct http_transfer *t)
{
	if (!t->easy)
		transfer_init_easy(t);
	if (!t->queue->shard)
		t->queue->shard = http_shard_acquire(t->client);
	curl_easy_setopt(t->easy, CURLOPT_URL, t->request->url);
	transfer_set_headers(t, t->request);
	curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT,
			 (long)t->fresh_connect);
	curl_easy_setopt(t->easy, CURLOPT_FORBID_REUSE, (long)t->fresh_connect);
	transfer_set_method(t, t->request);
	if (!transfer_add(t))
		http_transfer_end(t, HTTP_NOT_SENT);
}

/*
 * Starts a request, whose queue must have capacity for it. The request ends at
 * once if its deadline has passed or its body cannot be built.
 */
void http_transfer_start(struct http_client *c, struct http_queue *q,
			 struct http_request *r)
{
	struct http_transfer *t = TAILQ_FIRST(&c->free_transfers);

	if (r->deadline <= clock_now() || (r->build && !r->build(r))) {
		http_request_not_sent(c, r);
		return;
	}
	if (t) {
		TAILQ_REMOVE(&c->free_transfers, t, entry);
	} else {
		t = xcalloc(1, sizeof(*t));
		t->client = c;
	}
	TAILQ_INSERT_TAIL(&c->running, t, entry);
	http_queue_begin(q);
	t->queue = q;
	t->request = r;
	t->sent = t->stale = false;
	t->fresh_connect = r->new_connection;
	t->headers_done = t->framed = false;
	t->header_bytes = t->body_capacity = 0;
	memset(&t->response, 0, sizeof(t->response));
	if (!c->options.direct || !http_direct_start(t))
		transfer_start_easy(t);
}

/*
 * Returns true if the response to a request that was sent twice is a refusal.
 * It tells nothing about the first copy: a server that has carried it out and
 * then closed the connection may refuse the second one because it is unhealthy,
 * or because of what the first one did. The sender would take the request as
 * not carried out, and a task would be started on another worker beside its
 * first run. A success stands: what was asked for has been done.
 */
static bool response_is_ambiguous(const struct http_transfer *t)
{
	return t->response.repeated && t->response.status >= 300 &&
	       strcmp(t->request->method, "GET") != 0;
}

/*
 * Returns the outcome of a completed transfer. libcurl reports success for two
 * kinds of truncated responses: one whose connection was closed within the
 * headers, and one with a body of unknown length, which ends with the
 * connection.
 */
static enum http_outcome transfer_outcome(struct http_transfer *t, CURLcode rc)
{
	if (rc == CURLE_OK && (!t->headers_done || response_is_ambiguous(t)))
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

/*
 * Ends a transfer that libcurl has completed. If its connection was stale, the
 * transfer is started again on a new connection instead. If a second copy can't
 * connect in time, all older connections of the queue are not reused.
 */
static void transfer_complete(struct http_transfer *t, CURLcode rc)
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
	http_transfer_end(t, transfer_outcome(t, rc));
}

/* Ends the transfers of a shard that libcurl has completed. */
void http_transfers_reap(struct http_shard *sh)
{
	struct http_transfer *t;
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(sh->multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &t);
		transfer_complete(t, msg->data.result);
	}
}

/* Ends a running transfer: if it was sent, it has no response. */
static void transfer_abort(struct http_transfer *t)
{
	if (t->conn)
		http_direct_abort(t);
	else
		curl_multi_remove_handle(t->queue->shard->multi, t->easy);
	http_transfer_end(t, t->sent ? HTTP_NO_RESPONSE : HTTP_NOT_SENT);
}

/*
 * Ends the transfers whose deadline has passed. Each one that was sent marks
 * all older connections of its queue as not reusable.
 */
void http_transfers_expire(struct http_client *c, int64_t now)
{
	struct http_transfer *t;
	struct heap_node *n;

	while ((n = heap_first(&c->transfer_timers)) && n->due <= now) {
		t = HEAP_ENTRY(n, struct http_transfer, timer);
		if (t->sent)
			t->queue->timeout_serial = c->last_serial;
		log_debug("%s %s: deadline", t->request->method,
			  t->request->url);
		transfer_abort(t);
	}
}

/* Ends all running transfers. */
void http_transfers_abort(struct http_client *c)
{
	struct http_transfer *t;

	while ((t = TAILQ_FIRST(&c->running)))
		transfer_abort(t);
}

/* Frees all transfers, none of which may be running. */
void http_transfers_free(struct http_client *c)
{
	struct http_transfer *t;

	while ((t = TAILQ_FIRST(&c->free_transfers))) {
		TAILQ_REMOVE(&c->free_transfers, t, entry);
		if (t->easy)
			curl_easy_cleanup(t->easy);
		free(t);
	}
}
