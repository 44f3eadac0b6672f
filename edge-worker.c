/*
 * The edge to the workers: sends commands and watches (long polls) as HTTP
 * requests, validates the reports and posts one EV_WORKER for each request.
 */
#include "http-client.h"
#include "json-read.h"

#include <stdlib.h>
#include <string.h>

#define REQUESTS_MAX 4096
#define RESPONSE_MAX (8 << 20)
#define TASKS_MAX 4096
#define NAME_BYTES 128
#define REASON_BYTES 1024
#define ADDRESS_BYTES 64

struct edge_worker {
	struct http_client *client;
	struct mailbox *inbox;
	uint32_t timeout_ms;
	bool tls;
};

/*
 * A request to a worker. http comes first: the callbacks of the HTTP client
 * convert from it.
 */
struct exchange {
	struct http_request http;
	struct edge_worker *edge;
	effect *fx;
};

static const char *const state_names[] = {
	[TASK_RUNNING] = "running",
	[TASK_DONE] = "done",
	[TASK_FAILED] = "failed",
	[TASK_REFUSED] = "refused",
	[TASK_STOPPED] = "stopped",
	[TASK_LAPSED] = "lapsed",
	[TASK_CHECKPOINTED] = "checkpointed",
};

static const char *const verb_names[] = {
	[TASK_STOP] = "stop",
	[TASK_CHECKPOINT] = "checkpoint",
	[TASK_THROTTLE] = "throttle",
	[TASK_FORGET] = "forget",
};

/* Returns a task to start as JSON. */
static json_t *start_json(const task_start *s)
{
	return json_pack(
		"{s:o, s:o, s:o, s:I, s:I, s:I, s:I}", "task",
		bstr_to_json(s->task), "payload", json_write_bytes(s->payload),
		"checkpoint", json_write_bytes(s->checkpoint), "start_by_ms",
		(json_int_t)s->start_by_ms, "cpu_milli",
		(json_int_t)s->cpu_milli, "memory_mb", (json_int_t)s->memory_mb,
		"accelerators", (json_int_t)s->accelerators);
}

/* Returns an order for a task as JSON. */
static json_t *order_json(const task_order *o)
{
	return json_pack("{s:o, s:s, s:I}", "task", bstr_to_json(o->task),
			 "verb", verb_names[o->verb], "percent",
			 (json_int_t)o->percent);
}

/*
 * Returns true if an address contains only characters of host:port. Any other
 * character would change the URL that is built from the address.
 */
static bool address_is_valid(bstr a)
{
	static const char valid[] = "0123456789abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ.-:[]";
	u_int i;

	if (!a.bstr_len || a.bstr_len > ADDRESS_BYTES)
		return false;
	for (i = 0; i < a.bstr_len; i++)
		if (!a.bstr_val[i] || !strchr(valid, a.bstr_val[i]))
			return false;
	return true;
}

/* Builds the body of the request. Returns false if the address is invalid. */
static bool exchange_build(struct http_request *r)
{
	const fx_worker *w = &((struct exchange *)r)->fx->effect_u.worker;
	json_t *j, *starts, *orders;
	u_int i;

	if (!address_is_valid(w->address))
		return false;
	j = json_pack("{s:o, s:o, s:I, s:I}", "pool",
		      bstr_to_json(w->cell.pool), "dc",
		      bstr_to_json(w->cell.dc), "epoch", (json_int_t)w->epoch,
		      "lease_ms", (json_int_t)w->lease_ms);
	if (w->watch) {
		json_object_set_new(j, "since", json_integer(w->since));
		json_object_set_new(j, "wait_ms", json_integer(w->wait_ms));
	} else {
		starts = json_array();
		for (i = 0; i < w->starts.starts_len; i++)
			json_array_append_new(
				starts, start_json(&w->starts.starts_val[i]));
		json_object_set_new(j, "starts", starts);
		orders = json_array();
		for (i = 0; i < w->orders.orders_len; i++)
			json_array_append_new(
				orders, order_json(&w->orders.orders_val[i]));
		json_object_set_new(j, "orders", orders);
	}
	r->body = json_write(j);
	counter_add(COUNT_WORKER_EXCHANGES, 1);
	return true;
}

/* Parses the state of a task. */
static bool state_parse(const json_t *j, task_state *state)
{
	const char *name = json_string_value(json_object_get(j, "state"));
	size_t i;

	for (i = 0; name && i < NELEMS(state_names); i++) {
		if (strcmp(name, state_names[i]) != 0)
			continue;
		*state = (task_state)i;
		return true;
	}
	return false;
}

/* Parses a task of a report. */
static bool task_parse(const json_t *j, task_report *t)
{
	return json_read_text(j, "task", NAME_BYTES, &t->task) &&
	       t->task.bstr_len && state_parse(j, &t->state) &&
	       json_read_text(j, "reason", REASON_BYTES, &t->reason) &&
	       json_read_bytes(j, "result", &t->result) &&
	       json_read_u32(j, "ran_ms", &t->ran_ms) &&
	       json_read_u32(j, "cpu_milli", &t->cpu_milli) &&
	       json_read_u32(j, "memory_mb", &t->memory_mb);
}

/* Allows a report to contain a task once more. */
static void allowed_add(json_t *allowed, bstr task)
{
	json_int_t n;

	n = json_integer_value(
		json_object_getn(allowed, task.bstr_val, task.bstr_len));
	json_object_setn_new(allowed, task.bstr_val, task.bstr_len,
			     json_integer(n + 1));
}

/*
 * Consumes one permission for a report to contain a task. Returns false if
 * there is none left.
 */
static bool allowed_take(json_t *allowed, bstr task)
{
	json_t *n = json_object_getn(allowed, task.bstr_val, task.bstr_len);

	if (json_integer_value(n) < 1)
		return false;
	json_integer_set(n, json_integer_value(n) - 1);
	return true;
}

/*
 * Parses the tasks of a report. The report on a command may contain a task only
 * as often as the command does; otherwise it is the response to another request
 * and invalid here. A watch lists no tasks; its report may contain any task
 * once.
 */
static bool tasks_parse(const json_t *list, const fx_worker *w, ev_worker *ev)
{
	json_t *allowed;
	task_report *t;
	bool ok = true;
	size_t i, n = json_array_size(list);

	if (!json_is_array(list) || n > TASKS_MAX)
		return false;
	allowed = json_object();
	for (i = 0; i < w->starts.starts_len; i++)
		allowed_add(allowed, w->starts.starts_val[i].task);
	for (i = 0; i < w->orders.orders_len; i++)
		allowed_add(allowed, w->orders.orders_val[i].task);
	ev->tasks.tasks_val = xcalloc(n, sizeof(*t));
	ev->tasks.tasks_len = (u_int)n;
	for (i = 0; ok && i < n; i++) {
		t = &ev->tasks.tasks_val[i];
		ok = task_parse(json_array_get(list, i), t);
		if (ok && w->watch &&
		    !json_object_getn(allowed, t->task.bstr_val,
				      t->task.bstr_len))
			allowed_add(allowed, t->task);
		ok = ok && allowed_take(allowed, t->task);
	}
	json_decref(allowed);
	return ok;
}

/*
 * Parses a report. It must come from the VM that was addressed: if the address
 * was reassigned to another VM, the worker there has no record of this VM's
 * tasks. The epoch must not be lower than that of the request, because a worker
 * that accepts a request has seen its epoch.
 */
static bool report_parse(const json_t *j, const fx_worker *w, ev_worker *ev)
{
	bstr name = BSTR_NONE;
	bool ok;

	ok = json_read_text(j, "worker", NAME_BYTES, &name) &&
	     bstr_eq(name, w->vm);
	bstr_free(&name);
	return ok && json_read_bool(j, "leaving", &ev->leaving) &&
	       json_read_text(j, "boot", NAME_BYTES, &ev->boot_id) &&
	       ev->boot_id.bstr_len && json_read_u64(j, "epoch", &ev->epoch) &&
	       ev->epoch >= w->epoch && json_read_u64(j, "seq", &ev->seq) &&
	       json_read_u32(j, "slots", &ev->slots) &&
	       tasks_parse(json_object_get(j, "tasks"), w, ev);
}

/*
 * Parses a refusal because of a stale epoch, which is valid only if it contains
 * a higher epoch.
 */
static bool stale_parse(const json_t *j, const fx_worker *w, ev_worker *ev)
{
	return json_read_u64(j, "epoch", &ev->epoch) && ev->epoch > w->epoch &&
	       json_read_text(j, "boot", NAME_BYTES, &ev->boot_id);
}

/* Parses a response and returns the outcome that it stands for. */
static worker_outcome response_parse(const struct http_response *res,
				     const fx_worker *w, ev_worker *ev)
{
	bool ok = false;
	json_t *j;

	if (res->status == 503)
		return WORKER_BUSY;
	if (res->status != 200 && res->status != 409)
		return WORKER_INVALID;
	j = json_read(res->body);
	if (j)
		ok = res->status == 200 ? report_parse(j, w, ev)
					: stale_parse(j, w, ev);
	json_decref(j);
	if (!ok)
		return WORKER_INVALID;
	return res->status == 200 ? WORKER_OK : WORKER_STALE;
}

static void exchange_free(struct exchange *x)
{
	http_request_clear(&x->http);
	effect_free(x->fx);
	free(x);
}

/* Handles a response: posts the event of the effect. */
static struct http_request *exchange_done(struct http_request *r,
					  const struct http_response *res)
{
	struct exchange *x = (struct exchange *)r;
	const fx_worker *w = &x->fx->effect_u.worker;
	event *ev = event_new(EV_WORKER);
	ev_worker *out = &ev->body.event_body_u.worker;

	switch (res->outcome) {
	case HTTP_OK:
		out->outcome = response_parse(res, w, out);
		break;
	case HTTP_NOT_SENT:
		out->outcome = WORKER_NOT_SENT;
		break;
	case HTTP_NO_RESPONSE:
		out->outcome = WORKER_NO_ANSWER;
		break;
	case HTTP_INVALID:
		out->outcome = WORKER_INVALID;
		break;
	}
	if (out->outcome == WORKER_INVALID) {
		/* No part of an invalid report reaches the reducer. */
		xdr_free(XDR_PROC(xdr_ev_worker), (char *)out);
		memset(out, 0, sizeof(*out));
		out->outcome = WORKER_INVALID;
		counter_add(COUNT_DROPPED_WORKER_GARBAGE, 1);
		log_event(LOG_BAD_INPUT, "worker %.*s: status %ld, %u bytes",
			  BSTR_ARG(w->vm), res->status, res->body.bstr_len);
	}
	out->req = w->req;
	out->vm = bstr_copy(w->vm);
	http_client_post(x->edge->client, x->edge->inbox, ev);
	exchange_free(x);
	return NULL;
}

/* Starts the edge. Returns NULL with errors on failure. */
struct edge_worker *edge_worker_start(const struct settings *s,
				      struct mailbox *inbox, struct error *e)
{
	struct edge_worker *edge = xcalloc(1, sizeof(*edge));
	uint32_t half = s->workers.max_connections / 2;
	struct http_client_options o = {
		.tls_ca = s->workers.tls_ca,
		.max_per_queue = half ? half : 1,
		.max_requests = REQUESTS_MAX,
		.connect_ms = s->workers.timeout_ms,
	};

	edge->inbox = inbox;
	edge->timeout_ms = s->workers.timeout_ms;
	edge->tls = s->workers.tls_ca != NULL;
	edge->client = http_client_start(&o, e);
	if (edge->client)
		return edge;
	free(edge);
	return NULL;
}

/* Sends an FX_WORKER. */
bool edge_worker_send(struct edge_worker *edge, effect *fx)
{
	const fx_worker *w = &fx->effect_u.worker;
	struct exchange *x = xcalloc(1, sizeof(*x));
	struct http_request *r = &x->http;

	x->edge = edge;
	x->fx = fx;
	r->method = "POST";
	r->max_response = RESPONSE_MAX;
	r->deadline = clock_now() + edge->timeout_ms +
		      (w->watch ? w->wait_ms : 0);
	r->build = exchange_build;
	r->done = exchange_done;
	/*
	 * Commands and watches have separate queues, each with half of the
	 * connections: a watch is a long poll, and a command must not wait
	 * until it ends.
	 */
	r->queue_name = xasprintf("%s %.*s", w->watch ? "watch" : "command",
				  BSTR_ARG(w->address));
	r->url = xasprintf("%s://%.*s/v1/%s", edge->tls ? "https" : "http",
			   BSTR_ARG(w->address),
			   w->watch ? "watch" : "command");
	if (http_client_send(edge->client, r))
		return true;
	x->fx = NULL; /* still owned by the caller */
	exchange_free(x);
	return false;
}

/* Stops the edge. By then each effect sent has got its event. */
void edge_worker_stop(struct edge_worker *edge)
{
	http_client_stop(edge->client);
	free(edge);
}
