/*
 * The edge to the platform: sends effects as HTTP requests to the platform's
 * table, object and VM services, validates the responses and posts one
 * EV_PLATFORM for each effect.
 */
#include "http-client.h"
#include "json-read.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS_MAX 1024
#define RESPONSE_MAX (16 << 20)
#define SCAN_PAGE_ROWS 500
#define SCAN_PAGES_MAX 4096
#define SCAN_BYTES_MAX (64 << 20) /* sum of all pages */
#define SCAN_TIMEOUTS 8		  /* time limit of a scan, in timeout_ms */
#define SCAN_PAUSE_MS 100	  /* after a refusal without Retry-After */
#define KEY_BYTES 1024
#define NAME_BYTES 128
#define ADDRESS_BYTES 64

struct edge_platform {
	struct http_client *client;
	struct mailbox *inbox;
	char *url;
	uint32_t timeout_ms;
};

/*
 * An effect in progress and the event in which its result is collected. http
 * comes first: the callbacks of the HTTP client convert from it.
 */
struct exchange {
	struct http_request http;
	struct edge_platform *edge;
	effect *fx;
	event *ev;
	unsigned pages;
	unsigned page_size;
	size_t scan_bytes;
	int64_t scan_deadline;
	size_t row_capacity; /* of the event's rows */
};

/* Returns true if the effect changes the state of the platform. */
static bool effect_writes(const effect *fx)
{
	return fx->kind == FX_COMMIT || fx->kind == FX_OBJECT_PUT ||
	       fx->kind == FX_REBOOT;
}

/* Returns the body of a commit request. */
static json_t *commit_json(const fx_commit *c)
{
	json_t *checks = json_array(), *writes = json_array(), *row;
	const table_check *check;
	const table_write *write;
	u_int i;

	for (i = 0; i < c->checks.checks_len; i++) {
		check = &c->checks.checks_val[i];
		row = json_pack("{s:o, s:I}", "key", bstr_to_json(check->key),
				"version", (json_int_t)check->revision);
		json_array_append_new(checks, row);
	}
	for (i = 0; i < c->writes.writes_len; i++) {
		write = &c->writes.writes_val[i];
		row = json_pack("{s:o}", "key", bstr_to_json(write->key));
		if (write->remove)
			json_object_set_new(row, "remove", json_true());
		else
			json_object_set_new(row, "value",
					    json_write_bytes(write->value));
		json_array_append_new(writes, row);
	}
	return json_pack("{s:o, s:o, s:o}", "txid", bstr_to_json(c->txid),
			 "checks", checks, "writes", writes);
}

/* Returns the body of a read request. */
static json_t *read_json(const fx_read *r)
{
	json_t *keys = json_array();
	u_int i;

	for (i = 0; i < r->keys.keys_len; i++)
		json_array_append_new(keys, bstr_to_json(r->keys.keys_val[i]));
	return json_pack("{s:o}", "keys", keys);
}

/* Returns the body of the request for the next page of a scan. */
static json_t *scan_json(const struct exchange *x)
{
	const ev_platform *out = &x->ev->body.event_body_u.platform;
	bstr after = BSTR_NONE;

	if (out->rows.rows_len)
		after = out->rows.rows_val[out->rows.rows_len - 1].key;
	return json_pack("{s:o, s:o, s:i}", "prefix",
			 bstr_to_json(x->fx->effect_u.scan.prefix), "after",
			 bstr_to_json(after), "limit", (int)x->page_size);
}

/* Builds the body of the request and updates the counters. */
static bool exchange_build(struct http_request *r)
{
	struct exchange *x = (struct exchange *)r;
	const effect *fx = x->fx;

	bstr_free(&r->body); /* of the previous page */
	switch (fx->kind) {
	case FX_COMMIT:
		counter_add(COUNT_TABLE_COMMITS, 1);
		r->body = json_write(commit_json(&fx->effect_u.commit));
		break;
	case FX_READ:
		counter_add(COUNT_TABLE_READS, fx->effect_u.read.keys.keys_len);
		r->body = json_write(read_json(&fx->effect_u.read));
		break;
	case FX_SCAN:
		r->body = json_write(scan_json(x));
		break;
	case FX_OBJECT_PUT:
		r->body = bstr_copy(fx->effect_u.object.body);
		break;
	case FX_REBOOT:
		r->body = json_write(
			json_pack("{s:o}", "boot",
				  bstr_to_json(fx->effect_u.reboot.boot_id)));
		break;
	default:
		break;
	}
	return true;
}

/* Appends an empty row to the event. */
static table_row *row_add(struct exchange *x)
{
	ev_platform *out = &x->ev->body.event_body_u.platform;
	table_row *row;

	if (out->rows.rows_len == x->row_capacity) {
		x->row_capacity = x->row_capacity ? 2 * x->row_capacity : 16;
		out->rows.rows_val = xrealloc(out->rows.rows_val,
					      x->row_capacity, sizeof(*row));
	}
	row = &out->rows.rows_val[out->rows.rows_len++];
	memset(row, 0, sizeof(*row));
	return row;
}

/*
 * Parses a row. A row that exists has a version of at least 1 and a value; one
 * that does not exist has version 0 and no value.
 */
static bool row_parse(const json_t *j, table_row *row)
{
	json_t *value = json_object_get(j, "value");

	if (!json_read_text(j, "key", KEY_BYTES, &row->key) ||
	    !row->key.bstr_len || !json_read_u64(j, "version", &row->revision))
		return false;
	if (!row->revision)
		return !value || json_is_null(value);
	return json_read_bytes(j, "value", &row->value);
}

/* Adds a key with a number to an index. Returns false for a duplicate key. */
static bool index_add(json_t *index, bstr key, uint64_t n)
{
	if (!key.bstr_len ||
	    json_object_getn(index, key.bstr_val, key.bstr_len))
		return false;
	return !json_object_setn_new(index, key.bstr_val, key.bstr_len,
				     json_integer((json_int_t)n));
}

/*
 * Removes a key from an index and sets its number. Returns false if the index
 * does not contain the key.
 */
static bool index_take(json_t *index, bstr key, uint64_t *n)
{
	const json_t *v;

	v = json_object_getn(index, key.bstr_val, key.bstr_len);
	if (!v)
		return false;
	*n = (uint64_t)json_integer_value(v);
	json_object_deln(index, key.bstr_val, key.bstr_len);
	return true;
}

/*
 * Parses the response to a successful commit: one row for each row written,
 * with a version higher than the one checked. A version that is not higher
 * means that this is a late response to an earlier commit. Removed rows may be
 * included, with version 0.
 */
static bool committed_parse(struct exchange *x, const json_t *rows)
{
	const fx_commit *c = &x->fx->effect_u.commit;
	json_t *index = json_object(), *removed = json_object(), *j;
	const table_write *write;
	const table_check *check;
	table_row *row;
	bool ok = true;
	uint64_t checked;
	size_t i;

	for (i = 0; i < c->writes.writes_len; i++) {
		write = &c->writes.writes_val[i];
		index_add(write->remove ? removed : index, write->key, 0);
	}
	for (i = 0; i < c->checks.checks_len; i++) {
		check = &c->checks.checks_val[i];
		if (index_take(index, check->key, &checked))
			index_add(index, check->key, check->revision);
	}
	json_array_foreach(rows, i, j) {
		row = row_add(x);
		ok = json_read_text(j, "key", KEY_BYTES, &row->key) &&
		     json_read_u64(j, "version", &row->revision);
		if (!ok)
			break;
		ok = row->revision ? index_take(index, row->key, &checked) &&
					     row->revision > checked
				   : index_take(removed, row->key, &checked);
		if (!ok)
			break;
	}
	ok = ok && !json_object_size(index);
	json_decref(index);
	json_decref(removed);
	return ok;
}

/*
 * Parses the response to a commit with a conflict: the checked rows whose
 * version differs from the expected one, at least one.
 */
static bool conflict_parse(struct exchange *x, const json_t *rows)
{
	const fx_commit *c = &x->fx->effect_u.commit;
	json_t *index = json_object(), *j;
	table_row *row;
	bool ok = json_array_size(rows) > 0;
	uint64_t expected;
	size_t i;

	for (i = 0; i < c->checks.checks_len; i++)
		index_add(index, c->checks.checks_val[i].key,
			  c->checks.checks_val[i].revision);
	json_array_foreach(rows, i, j) {
		row = row_add(x);
		ok = row_parse(j, row) &&
		     index_take(index, row->key, &expected) &&
		     row->revision != expected;
		if (!ok)
			break;
	}
	json_decref(index);
	return ok;
}

/*
 * Parses the response to a read, which must contain each requested key exactly
 * once, in any order. The rows of the event are in the order of the request.
 */
static bool read_response_parse(struct exchange *x, const json_t *rows)
{
	const fx_read *r = &x->fx->effect_u.read;
	ev_platform *out = &x->ev->body.event_body_u.platform;
	json_t *index = json_object(), *j;
	table_row row;
	bool ok = true;
	uint64_t at;
	size_t i;

	for (i = 0; ok && i < r->keys.keys_len; i++)
		ok = index_add(index, r->keys.keys_val[i], i);
	ok = ok && json_array_size(rows) == r->keys.keys_len;
	out->rows.rows_val = xcalloc(r->keys.keys_len, sizeof(row));
	out->rows.rows_len = r->keys.keys_len;
	for (i = 0; ok && i < r->keys.keys_len; i++) {
		j = json_array_get(rows, i);
		memset(&row, 0, sizeof(row));
		ok = row_parse(j, &row) && index_take(index, row.key, &at);
		if (ok)
			out->rows.rows_val[at] = row;
		else
			xdr_free(XDR_PROC(xdr_table_row), (char *)&row);
	}
	json_decref(index);
	return ok;
}

/*
 * Parses a page of a scan. Its rows must exist and have the prefix. Each key
 * must be greater than the one before, across pages as well, so that pages can
 * neither repeat nor loop.
 */
static bool page_parse(struct exchange *x, const json_t *rows)
{
	const ev_platform *out = &x->ev->body.event_body_u.platform;
	bstr prefix = x->fx->effect_u.scan.prefix, start;
	table_row *row;
	const json_t *j;
	size_t i, n;

	n = json_array_size(rows);
	if (n > x->page_size || out->rows.rows_len + n > LIST_MAX)
		return false;
	counter_add(COUNT_TABLE_READS, n ? n : 1);
	json_array_foreach(rows, i, j) {
		row = row_add(x);
		if (!row_parse(j, row) || !row->revision ||
		    row->key.bstr_len < prefix.bstr_len)
			return false;
		start = bstr_ref(row->key.bstr_val, prefix.bstr_len);
		if (!bstr_eq(start, prefix))
			return false;
		if (out->rows.rows_len > 1 &&
		    bstr_cmp(row[-1].key, row->key) >= 0)
			return false;
	}
	return true;
}

/* Parses an entry of the list of VMs. */
static bool vm_parse(const json_t *j, listed_vm *vm)
{
	return json_read_text(j, "vm", NAME_BYTES, &vm->vm) &&
	       bstr_is_name(vm->vm, NAME_BYTES) &&
	       json_read_text(j, "dc", NAME_BYTES, &vm->dc) &&
	       bstr_is_name(vm->dc, NAME_BYTES) &&
	       json_read_text(j, "rack", NAME_BYTES, &vm->rack) &&
	       json_read_text(j, "address", ADDRESS_BYTES, &vm->address) &&
	       json_read_bool(j, "leaving", &vm->leaving);
}

/* Parses the list of VMs, which must have no duplicates. */
static bool vms_parse(struct exchange *x, const json_t *list)
{
	ev_platform *out = &x->ev->body.event_body_u.platform;
	json_t *index = json_object();
	size_t i, n = json_array_size(list);
	listed_vm *vm;
	bool ok;

	ok = json_is_array(list) && n <= LIST_MAX;
	if (ok) {
		out->vms.vms_val = xcalloc(n, sizeof(*vm));
		out->vms.vms_len = (u_int)n;
	}
	for (i = 0; ok && i < n; i++) {
		vm = &out->vms.vms_val[i];
		ok = vm_parse(json_array_get(list, i), vm) &&
		     index_add(index, vm->vm, i);
	}
	json_decref(index);
	return ok;
}

/* Counts a page of a scan. Returns false if the scan is over its limits. */
static bool scan_count_page(struct exchange *x, const struct http_response *res)
{
	x->pages++;
	x->scan_bytes += res->body.bstr_len;
	return x->pages <= SCAN_PAGES_MAX && x->scan_bytes <= SCAN_BYTES_MAX;
}

/*
 * Parses the JSON body of a response with status 200, or 409 for a commit. Sets
 * more if the scan has another page.
 */
static bool json_response_parse(struct exchange *x,
				const struct http_response *res, bool *more)
{
	json_t *j = json_read(res->body), *rows = json_object_get(j, "rows");
	bool_t more_rows = FALSE;
	bool ok = false;

	if (x->fx->kind == FX_VM_LIST)
		ok = vms_parse(x, json_object_get(j, "vms"));
	else if (!json_is_array(rows))
		ok = false;
	else if (x->fx->kind == FX_READ)
		ok = read_response_parse(x, rows);
	else if (x->fx->kind == FX_COMMIT)
		ok = res->status == 409 ? conflict_parse(x, rows)
					: committed_parse(x, rows);
	else if (x->fx->kind == FX_SCAN)
		ok = scan_count_page(x, res) &&
		     json_read_bool(j, "more", &more_rows) &&
		     page_parse(x, rows) &&
		     (!more_rows || json_array_size(rows) > 0);
	*more = ok && more_rows;
	json_decref(j);
	return ok;
}

/* Parses a response and returns the outcome that it stands for. */
static platform_outcome response_parse(struct exchange *x,
				       const struct http_response *res,
				       bool *more)
{
	ev_platform *out = &x->ev->body.event_body_u.platform;
	effect_kind kind = x->fx->kind;

	out->retry_after_ms = 0;
	if (res->status == 429 || res->status == 503) {
		out->retry_after_ms = res->retry_after_ms;
		return PLATFORM_REFUSED;
	}
	if (kind == FX_OBJECT_PUT) {
		if (res->status == 409)
			return PLATFORM_CONFLICT;
		return res->status == 200 || res->status == 201
			       ? PLATFORM_OK
			       : PLATFORM_INVALID;
	}
	if (kind == FX_OBJECT_GET) {
		if (res->status == 404)
			return PLATFORM_NOT_FOUND;
		if (res->status != 200)
			return PLATFORM_INVALID;
		out->body = bstr_copy(res->body);
		return PLATFORM_OK;
	}
	if (kind == FX_REBOOT) {
		if (res->status == 404)
			return PLATFORM_NOT_FOUND;
		if (res->status == 409)
			return PLATFORM_CONFLICT;
		return res->status == 202 ? PLATFORM_OK : PLATFORM_INVALID;
	}
	if (res->status != 200 && !(res->status == 409 && kind == FX_COMMIT))
		return PLATFORM_INVALID;
	if (!json_response_parse(x, res, more))
		return PLATFORM_INVALID;
	return res->status == 409 ? PLATFORM_CONFLICT : PLATFORM_OK;
}

/* Returns the outcome of an exchange, which may have got no response. */
static platform_outcome exchange_outcome(struct exchange *x,
					 const struct http_response *res,
					 bool *more)
{
	switch (res->outcome) {
	case HTTP_OK:
		return response_parse(x, res, more);
	case HTTP_NOT_SENT:
		return PLATFORM_REFUSED;
	case HTTP_NO_RESPONSE:
		return PLATFORM_UNKNOWN;
	default:
		return PLATFORM_INVALID;
	}
}

static void exchange_free(struct exchange *x)
{
	http_request_clear(&x->http);
	effect_free(x->fx);
	event_free(x->ev);
	free(x);
}

/* Updates the counters for the outcome of a commit. */
static void commit_count(const fx_commit *c, platform_outcome outcome)
{
	if (outcome == PLATFORM_OK)
		counter_add(COUNT_TABLE_WRITES, c->writes.writes_len);
	if (outcome == PLATFORM_CONFLICT)
		counter_add(COUNT_TABLE_CONFLICTS, 1);
	if (outcome == PLATFORM_UNKNOWN)
		counter_add(COUNT_TABLE_UNKNOWN, 1);
}

/*
 * Returns true if a scan continues with another request, which is then
 * scheduled. A refusal between two pages is the platform's rate limit on reads,
 * which a scan of a few thousand rows always reaches. A scan that started over
 * would reach it again, so it pauses and then continues.
 */
static bool scan_continue(struct exchange *x, const struct http_response *res,
			  platform_outcome outcome, bool more)
{
	struct http_request *r = &x->http;
	int64_t now = clock_now(), pause = 0;

	if (x->fx->kind != FX_SCAN)
		return false;
	if (outcome == PLATFORM_REFUSED && res->outcome == HTTP_OK &&
	    x->pages) {
		pause = res->retry_after_ms ? res->retry_after_ms
					    : SCAN_PAUSE_MS;
	} else if (res->too_long && x->page_size > 1) {
		/* Large rows: request fewer of them per response. */
		x->page_size /= 2;
	} else if (outcome != PLATFORM_OK || !more) {
		return false;
	}
	if (now + pause >= x->scan_deadline)
		return false;
	r->start_at = now + pause;
	r->deadline = r->start_at + x->edge->timeout_ms;
	if (r->deadline > x->scan_deadline)
		r->deadline = x->scan_deadline;
	return true;
}

/* Counts and logs an invalid response. */
static void invalid_response_count(const struct exchange *x,
				   const struct http_response *res)
{
	counter_add(COUNT_DROPPED_PLATFORM_GARBAGE, 1);
	log_event(LOG_BAD_INPUT, "platform %s: status %ld, %u bytes",
		  x->http.url, res->status, res->body.bstr_len);
}

/* Drops what was parsed of an invalid or partial response. */
static void event_reset(ev_platform *out)
{
	uint32_t retry_after_ms = out->retry_after_ms;

	xdr_free(XDR_PROC(xdr_ev_platform), (char *)out);
	memset(out, 0, sizeof(*out));
	out->retry_after_ms = retry_after_ms;
}

/*
 * Handles a response: posts the event of the effect, or returns the request for
 * the next page of a scan.
 */
static struct http_request *exchange_done(struct http_request *r,
					  const struct http_response *res)
{
	struct exchange *x = (struct exchange *)r;
	ev_platform *out = &x->ev->body.event_body_u.platform;
	platform_outcome outcome;
	bool more = false;

	outcome = exchange_outcome(x, res, &more);
	if (scan_continue(x, res, outcome, more))
		return r;
	if (outcome == PLATFORM_OK && more)
		outcome = PLATFORM_UNKNOWN; /* partial scan */
	if (outcome == PLATFORM_INVALID) {
		invalid_response_count(x, res);
		/* The write may have been executed nevertheless. */
		if (effect_writes(x->fx))
			outcome = PLATFORM_UNKNOWN;
	}
	if (outcome != PLATFORM_OK && outcome != PLATFORM_CONFLICT)
		event_reset(out);
	if (x->fx->kind == FX_COMMIT)
		commit_count(&x->fx->effect_u.commit, outcome);
	out->req = effect_request_id(x->fx);
	out->outcome = outcome;
	http_client_post(x->edge->client, x->edge->inbox, x->ev);
	x->ev = NULL; /* owned by the reducer */
	exchange_free(x);
	return NULL;
}

/* Returns the URL of an object, with special characters escaped. */
static char *object_url(const char *base, bstr name)
{
	char *url = xasprintf("%s/v1/objects/", base), *p;
	size_t len = strlen(url);
	unsigned char c;
	u_int i;

	url = xrealloc(url, len + (size_t)name.bstr_len * 3 + 1, 1);
	p = url + len;
	for (i = 0; i < name.bstr_len; i++) {
		c = (unsigned char)name.bstr_val[i];
		if (isalnum(c) || (c && strchr("-._~/", c)))
			*p++ = (char)c;
		else
			p += sprintf(p, "%%%02X", c);
	}
	*p = '\0';
	return url;
}

/* Sets the method and URL of the request. */
static void exchange_set_target(struct exchange *x)
{
	const effect *fx = x->fx;
	struct http_request *r = &x->http;
	const char *base = x->edge->url;

	switch (fx->kind) {
	case FX_COMMIT:
		r->method = "POST";
		r->url = xasprintf("%s/v1/table/commit", base);
		break;
	case FX_READ:
		r->method = "POST";
		r->url = xasprintf("%s/v1/table/read", base);
		break;
	case FX_SCAN:
		r->method = "POST";
		r->url = xasprintf("%s/v1/table/scan", base);
		break;
	case FX_OBJECT_PUT:
	case FX_OBJECT_GET:
		r->method = fx->kind == FX_OBJECT_PUT ? "PUT" : "GET";
		r->url = object_url(base, fx->effect_u.object.name);
		break;
	case FX_REBOOT:
		r->method = "POST";
		r->url = xasprintf("%s/v1/vms/%.*s/reboot", base,
				   BSTR_ARG(fx->effect_u.reboot.vm));
		break;
	default:
		r->method = "GET";
		r->url = xasprintf("%s/v1/vms", base);
		break;
	}
}

/* Starts the edge. Returns NULL with errors on failure. */
struct edge_platform *edge_platform_start(const struct settings *s,
					  struct mailbox *inbox,
					  struct error *e)
{
	struct edge_platform *edge = xcalloc(1, sizeof(*edge));
	struct http_client_options o = {
		.token = s->platform.token,
		.tls_ca = s->platform.tls_ca,
		.max_per_queue = s->platform.max_in_flight,
		.max_requests = REQUESTS_MAX,
		.connect_ms = s->platform.timeout_ms,
	};
	size_t len = strlen(s->platform.url);

	edge->inbox = inbox;
	edge->timeout_ms = s->platform.timeout_ms;
	edge->client = http_client_start(&o, e);
	if (!edge->client) {
		free(edge);
		return NULL;
	}
	while (len && s->platform.url[len - 1] == '/')
		len--;
	edge->url = xasprintf("%.*s", (int)len, s->platform.url);
	return edge;
}

/* Sends an effect that is a request to the platform. */
bool edge_platform_send(struct edge_platform *edge, effect *fx)
{
	struct exchange *x = xcalloc(1, sizeof(*x));
	struct http_request *r = &x->http;

	x->edge = edge;
	x->fx = fx;
	x->ev = event_new(EV_PLATFORM);
	x->page_size = SCAN_PAGE_ROWS;
	x->scan_deadline = clock_now() +
			   (int64_t)SCAN_TIMEOUTS * edge->timeout_ms;
	r->queue_name = xstrdup("platform");
	r->max_response = fx->kind == FX_OBJECT_GET ? BSTR_MAX : RESPONSE_MAX;
	r->deadline = clock_now() + edge->timeout_ms;
	r->build = exchange_build;
	r->done = exchange_done;
	exchange_set_target(x);
	if (http_client_send(edge->client, r))
		return true;
	x->fx = NULL; /* still owned by the caller */
	exchange_free(x);
	return false;
}

/* Stops the edge. By then each effect sent has got its event. */
void edge_platform_stop(struct edge_platform *edge)
{
	http_client_stop(edge->client);
	free(edge->url);
	free(edge);
}
