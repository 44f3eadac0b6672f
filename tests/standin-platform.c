/*
 * Stand-in for the platform of docs/PLATFORM.md: a transactional table, an
 * object store and a VM list that lags behind changes, with limits on the rates
 * of writes and reads.  Faults are injected under /control.
 */
#include "standin.h"

#include <popt.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define TXID_KEPT_MS 600000
#define SCAN_MAX 10000
#define CONNECTIONS_MAX 4096

struct row {
	bstr key;
	bstr value;
	int64_t version;
};
struct txid {
	char *id;
	json_t *answer;
	struct timer timer; /* frees it after TXID_KEPT_MS */
	UT_hash_handle hh;
};
struct table {
	struct row **rows; /* sorted by key */
	size_t count, capacity;
};
struct bucket {
	double rate; /* tokens per second; also the capacity */
	double tokens;
	int64_t filled_at;
};
static json_t *stats; /* by name; initialised in main() */
static struct table table, objects;
static int64_t last_version; /* shared by all rows, never reused */
static struct txid *txids;
static struct bucket writes = {.rate = 400}, reads = {.rate = 2000};
static json_t *vms_shown, *vms_newest;
static struct timer vms_timer;
static int port, list_lag_ms = 500;
static char *token;

/*
 * Takes tokens from a bucket and returns 0; if there are too few, takes none
 * and returns the ms until there are enough.  A request for more tokens than
 * the bucket holds passes when it is full and leaves it negative.
 */
static int64_t bucket_take(struct bucket *b, size_t n)
{
	int64_t now = clock_now();
	double want = (double)n < b->rate ? (double)n : b->rate;

	b->tokens += b->rate * (double)(now - b->filled_at) / 1000;
	if (!b->filled_at || b->tokens > b->rate)
		b->tokens = b->rate;
	b->filled_at = now;
	if (b->tokens < want)
		return (int64_t)((want - b->tokens) * 1000 / b->rate) + 1;
	b->tokens -= (double)n; /* may become negative */
	return 0;
}

/* Adds to a counter of the statistics. */
static void stat_add(const char *name, size_t n)
{
	json_object_set_new(
		stats, name,
		json_integer(json_int(stats, name) + (json_int_t)n));
}

/*
 * Charges a request to a rate limit; over the limit it answers 429 and returns
 * false.
 */
static bool charge_request(struct request *rq, struct bucket *b, size_t n)
{
	int64_t wait = bucket_take(b, n);

	if (!wait)
		return true;
	stat_add("refusals", 1);
	request_refuse(rq, 429, wait);
	return false;
}

/* Returns the index of the first row whose key is not before a key. */
static size_t row_index(const struct table *t, bstr key, bool *found)
{
	size_t low = 0, high = t->count, mid;

	while (low < high) {
		mid = (low + high) / 2;
		if (bstr_cmp(t->rows[mid]->key, key) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	*found = low < t->count && bstr_eq(t->rows[low]->key, key);
	return low;
}

/* Returns the row with a key, or NULL. */
static struct row *row_find(const struct table *t, bstr key)
{
	bool found;
	size_t i = row_index(t, key, &found);

	return found ? t->rows[i] : NULL;
}

/* Writes a row and returns its new version. */
static int64_t row_write(struct table *t, bstr key, bstr value)
{
	bool found;
	size_t i = row_index(t, key, &found);
	struct row **at;

	if (!found && t->count == t->capacity) {
		t->capacity = t->capacity ? t->capacity * 2 : 1024;
		t->rows = xrealloc(t->rows, t->capacity, sizeof(struct row *));
	}
	at = t->rows + i;
	if (!found) {
		memmove(at + 1, at, (t->count++ - i) * sizeof(struct row *));
		*at = xcalloc(1, sizeof(**at));
		(*at)->key = bstr_copy(key);
	}
	bstr_set(&(*at)->value, value);
	return (*at)->version = ++last_version;
}

/* Removes a row, if it exists. */
static void row_remove(struct table *t, bstr key)
{
	bool found;
	size_t i = row_index(t, key, &found);
	struct row **at = t->rows + i;

	if (!found)
		return;
	bstr_free(&(*at)->key);
	bstr_free(&(*at)->value);
	free(*at);
	memmove(at, at + 1, (--t->count - i) * sizeof(struct row *));
}

/* Returns the JSON of a row; version 0 and no value if it doesn't exist. */
static json_t *row_json(bstr key, const struct row *row)
{
	json_t *j = json_pack("{s:o,s:I}", "key", bstr_to_json(key), "version",
			      (json_int_t)(row ? row->version : 0));
	bstr text;

	if (!row)
		return j;
	text = base64_encode(row->value);
	json_object_set_new(j, "value", bstr_to_json(text));
	bstr_free(&text);
	return j;
}

/* Returns true if a commit is well formed; it may not write a key twice. */
static bool commit_valid(const json_t *checks, const json_t *list)
{
	const json_t *item, *other;
	size_t i, k;
	bstr bytes;

	if ((checks && !json_is_array(checks)) || !json_is_array(list))
		return false;
	json_array_foreach(checks, i, item)
		if (!json_ref(item, "key").bstr_len ||
		    !json_is_integer(json_object_get(item, "version")))
			return false;
	json_array_foreach(list, i, item) {
		if (!json_ref(item, "key").bstr_len)
			return false;
		if (!json_is_true(json_object_get(item, "remove")) &&
		    !json_is_string(json_object_get(item, "value")))
			return false;
		if (!json_bytes(item, "value", &bytes))
			return false;
		bstr_free(&bytes);
		json_array_foreach(list, k, other)
			if (k < i && bstr_eq(json_ref(item, "key"),
					     json_ref(other, "key")))
				return false;
	}
	return true;
}

/* Returns the current state of the rows whose version check fails. */
static json_t *commit_conflicts(const json_t *checks)
{
	json_t *failed = json_array(), *item;
	const struct row *row;
	size_t i;
	bstr key;

	json_array_foreach(checks, i, item) {
		key = json_ref(item, "key");
		row = row_find(&table, key);
		if (json_int(item, "version") != (row ? row->version : 0))
			json_array_append_new(failed, row_json(key, row));
	}
	return failed;
}

/* Applies the writes; returns their keys and new versions. */
static json_t *commit_apply(const json_t *list)
{
	json_t *written = json_array(), *item;
	int64_t version;
	bstr key, value;
	size_t i;

	json_array_foreach(list, i, item) {
		key = json_ref(item, "key");
		version = 0;
		if (json_is_true(json_object_get(item, "remove"))) {
			row_remove(&table, key);
		} else {
			json_bytes(item, "value", &value);
			version = row_write(&table, key, value);
			bstr_free(&value);
		}
		json_array_append_new(written, json_pack("{s:o,s:I}", "key",
							 bstr_to_json(key),
							 "version", version));
	}
	return written;
}

/* Timer callback: removes a transaction ID. */
static void txid_free(void *arg)
{
	struct txid *tx = arg;

	HASH_DEL(txids, tx);
	json_decref(tx->answer);
	free(tx->id);
	free(tx);
}

/* Keeps the answer of a transaction, to repeat it when the ID is sent again. */
static void txid_keep(const char *id, json_t *answer)
{
	struct txid *tx = xcalloc(1, sizeof(*tx));

	tx->id = xstrdup(id);
	tx->answer = json_incref(answer);
	tx->timer.fire = txid_free;
	tx->timer.arg = tx;
	timer_set(&tx->timer, clock_now() + TXID_KEPT_MS);
	HASH_ADD_KEYPTR(hh, txids, tx->id, strlen(tx->id), tx);
}

/* POST /v1/table/commit */
static void table_commit(struct request *rq)
{
	const json_t *checks = json_object_get(rq->json, "checks");
	const json_t *list = json_object_get(rq->json, "writes");
	const char *id = json_string_value(json_object_get(rq->json, "txid"));
	json_t *failed, *answer;
	struct txid *tx;

	if (!id || !*id || !commit_valid(checks, list)) {
		request_reject(rq, "txid, checks or writes");
		return;
	}
	HASH_FIND_STR(txids, id, tx);
	if (tx) {
		if (!charge_request(rq, &reads, 1))
			return;
		stat_add("replays", 1);
		request_answer(rq, 200, json_incref(tx->answer));
		return;
	}
	failed = commit_conflicts(checks);
	if (json_array_size(failed)) {
		if (charge_request(rq, &reads, json_array_size(failed))) {
			stat_add("conflicts", 1);
			stat_add("rows_read", json_array_size(failed));
			request_answer(rq, 409,
				       json_pack("{s:O}", "rows", failed));
		}
		json_decref(failed);
		return;
	}
	json_decref(failed);
	if (!charge_request(rq, &writes, json_array_size(list)))
		return;
	answer = json_pack("{s:o}", "rows", commit_apply(list));
	stat_add("commits", 1);
	stat_add("rows_written", json_array_size(list));
	txid_keep(id, answer);
	request_answer(rq, 200, answer);
}

/* POST /v1/table/read */
static void table_read(struct request *rq)
{
	const json_t *keys = json_object_get(rq->json, "keys"), *key;
	json_t *list;
	size_t i, n = json_array_size(keys);
	bstr b;

	json_array_foreach(keys, i, key)
		if (!json_is_string(key))
			n = 0;
	if (!n) {
		request_reject(rq, "keys");
		return;
	}
	if (!charge_request(rq, &reads, n))
		return;
	stat_add("reads", 1);
	stat_add("rows_read", n);
	list = json_array();
	json_array_foreach(keys, i, key) {
		b = bstr_ref(json_string_value(key), json_string_length(key));
		json_array_append_new(list, row_json(b, row_find(&table, b)));
	}
	request_answer(rq, 200, json_pack("{s:o}", "rows", list));
}

/*
 * Returns at most limit rows with a prefix whose keys follow a key; sets *more
 * if there are more.
 */
static json_t *rows_scan(bstr prefix, bstr after, size_t limit, bool *more)
{
	json_t *list = json_array();
	const struct row *row;
	bool found;
	bstr head;
	size_t i;

	*more = false;
	i = row_index(&table, bstr_cmp(after, prefix) > 0 ? after : prefix,
		      &found);
	if (found && after.bstr_len && bstr_eq(table.rows[i]->key, after))
		i++;
	for (; i < table.count && !*more; i++) {
		row = table.rows[i];
		head = row->key;
		if (head.bstr_len > prefix.bstr_len)
			head.bstr_len = prefix.bstr_len;
		if (!bstr_eq(head, prefix))
			break;
		*more = json_array_size(list) == limit;
		if (!*more)
			json_array_append_new(list, row_json(row->key, row));
	}
	return list;
}

/* POST /v1/table/scan */
static void table_scan(struct request *rq)
{
	int64_t limit = json_int(rq->json, "limit");
	json_t *list;
	size_t n;
	bool more;

	if (limit < 1 || !json_is_string(json_object_get(rq->json, "prefix"))) {
		request_reject(rq, "prefix or limit");
		return;
	}
	list = rows_scan(json_ref(rq->json, "prefix"),
			 json_ref(rq->json, "after"),
			 limit < SCAN_MAX ? (size_t)limit : SCAN_MAX, &more);
	n = json_array_size(list) ? json_array_size(list) : 1;
	if (!charge_request(rq, &reads, n)) {
		json_decref(list);
		return;
	}
	stat_add("scans", 1);
	stat_add("rows_read", n);
	request_answer(rq, 200,
		       json_pack("{s:o,s:b}", "rows", list, "more", more));
}

/* Returns the object name in a request's path. */
static bstr object_name(const struct request *rq)
{
	return bstr_lit(rq->path + strlen("/v1/objects/"));
}

/* PUT /v1/objects/NAME */
static void object_put(struct request *rq)
{
	bstr bytes = bstr_ref(rq->body, rq->body_len), name = object_name(rq);
	const struct row *old = row_find(&objects, name);

	if (!name.bstr_len) {
		request_reject(rq, "name");
		return;
	}
	if (!charge_request(rq, &writes, 1))
		return;
	stat_add("objects_put", 1);
	if (!old)
		row_write(&objects, name, bytes);
	request_answer(rq,
		       !old			    ? 201
		       : bstr_eq(old->value, bytes) ? 200
						    : 409,
		       json_object());
}

/* GET /v1/objects/NAME */
static void object_get(struct request *rq)
{
	const struct row *o = row_find(&objects, object_name(rq));

	if (!charge_request(rq, &reads, 1))
		return;
	stat_add("objects_got", 1);
	if (o)
		request_answer_bytes(rq, 200, o->value.bstr_val,
				     o->value.bstr_len);
	else
		request_answer(rq, 404, json_object());
}

/* GET /v1/vms */
static void vms_get(struct request *rq)
{
	request_answer(rq, 200, json_pack("{s:O}", "vms", vms_shown));
}

/*
 * Returns the port of a VM's worker in the newest VM list, or 0 if the VM isn't
 * listed or has no worker.
 */
static uint16_t vm_port(bstr name)
{
	const json_t *vm;
	const char *colon;
	size_t i;

	json_array_foreach(vms_newest, i, vm) {
		if (!bstr_eq(json_ref(vm, "vm"), name))
			continue;
		colon = json_string_value(json_object_get(vm, "address"));
		colon = colon ? strrchr(colon, ':') : NULL;
		return colon ? (uint16_t)strtoul(colon + 1, NULL, 10) : 0;
	}
	return 0;
}

/* POST /v1/vms/NAME/reboot: restarts the worker's stand-in immediately. */
static void vm_reboot(struct request *rq)
{
	bstr name = bstr_lit(rq->path + strlen("/v1/vms/"));
	size_t tail = strlen("/reboot");
	uint16_t vm;
	char *body;
	int status;

	if (name.bstr_len <= tail ||
	    memcmp(name.bstr_val + name.bstr_len - tail, "/reboot", tail) !=
		    0) {
		request_answer(rq, 404, json_object());
		return;
	}
	name.bstr_len -= (u_int)tail;
	vm = vm_port(name);
	if (!vm || !json_is_string(json_object_get(rq->json, "boot"))) {
		request_answer(rq, vm ? 400 : 404, json_object());
		return;
	}
	json_object_set_new(rq->json, "mode", json_string("restart"));
	body = json_dumps(rq->json, JSON_COMPACT);
	status = http_call(vm, "POST", "/control", body, NULL);
	free(body);
	stat_add("reboots", status == 200);
	request_answer(rq,
		       status == 200   ? 202
		       : status == 409 ? 409
				       : 404,
		       json_object());
}

/* Timer callback: the VM list shows the newest state after list_lag_ms. */
static void vms_show(void *arg)
{
	(void)arg;
	json_decref(vms_shown);
	vms_shown = json_incref(vms_newest);
}

/* POST /control/vms */
static void control_vms(struct request *rq)
{
	if (!json_is_array(rq->json)) {
		request_reject(rq, "not a list");
		return;
	}
	json_decref(vms_newest);
	vms_newest = json_incref(rq->json);
	vms_timer.fire = vms_show;
	/*
	 * A timer that is already set keeps its deadline, so a burst of changes
	 * can't delay the list indefinitely.
	 */
	if (!vms_timer.due.index)
		timer_set(&vms_timer, clock_now() + list_lag_ms);
	request_answer(rq, 200, json_object());
}

/* GET /control/stats: returns the counters and the number of rows. */
static void control_stats(struct request *rq)
{
	json_object_set_new(stats, "rows",
			    json_integer((json_int_t)table.count));
	request_answer(rq, 200, json_incref(stats));
}

/* GET /control/table?prefix=: returns all rows with a prefix. */
static void control_table(struct request *rq)
{
	const char *prefix = request_query_arg(rq, "prefix");
	bool more;

	request_answer(rq, 200,
		       json_pack("{s:o}", "rows",
				 rows_scan(bstr_lit(prefix ? prefix : ""),
					   BSTR_NONE, SIZE_MAX, &more)));
}

/* Answers 401 to requests without the token, if one is set. */
static bool check_token(struct request *rq)
{
	const char *got = MHD_lookup_connection_value(rq->conn, MHD_HEADER_KIND,
						      "Authorization");

	if (!token || !rq->route->op ||
	    (got && !strncmp(got, "Bearer ", 7) && !strcmp(got + 7, token)))
		return true;
	request_answer(rq, 401, json_pack("{s:s}", "error", "token"));
	return false;
}

static const struct route routes[] = {
	{"POST", "/v1/table/commit", "commit", table_commit},
	{"POST", "/v1/table/read", "read", table_read},
	{"POST", "/v1/table/scan", "scan", table_scan},
	{"PUT", "/v1/objects/", "put", object_put},
	{"GET", "/v1/objects/", "get", object_get},
	{"GET", "/v1/vms", "vms", vms_get},
	{"POST", "/v1/vms/", "reboot", vm_reboot},
	{"POST", "/control/fault", NULL, control_fault},
	{"POST", "/control/vms", NULL, control_vms},
	{"GET", "/control/stats", NULL, control_stats},
	{"GET", "/control/table", NULL, control_table},
	{NULL, NULL, NULL, NULL},
};

int main(int argc, const char **argv)
{
	struct poptOption options[] = {
		{"port", 0, POPT_ARG_INT, &port, 0, "0: any", "N"},
		{"writes-per-s", 0, POPT_ARG_DOUBLE, &writes.rate, 0, "", "N"},
		{"reads-per-s", 0, POPT_ARG_DOUBLE, &reads.rate, 0, "", "N"},
		{"list-lag-ms", 0, POPT_ARG_INT, &list_lag_ms, 0, "", "N"},
		{"token", 0, POPT_ARG_STRING, &token, 0, "", "T"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext pc = poptGetContext(NULL, argc, argv, options, 0);
	struct server *sv;

	if (poptGetNextOpt(pc) != -1 || poptPeekArg(pc)) {
		poptPrintUsage(pc, stderr, 0);
		return 2;
	}
	poptFreeContext(pc);
	stats = json_pack("{s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i}",
			  "reboots", 0, "commits", 0, "rows_written", 0,
			  "rows_read", 0, "conflicts", 0, "refusals", 0,
			  "replays", 0, "reads", 0, "scans", 0, "objects_put",
			  0, "objects_got", 0);
	vms_shown = json_array();
	vms_newest = json_array();
	sv = server_start(routes, (uint16_t)port, CONNECTIONS_MAX, check_token,
			  NULL);
	printf("port %u\n", sv->port);
	fflush(stdout);
	server_loop();
	return 0;
}
