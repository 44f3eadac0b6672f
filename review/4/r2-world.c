/*
 * A small platform for the cases of review/4 to review/8, in one process: the
 * store of rows, the list of machines, the advice service, and the workers.
 * It follows PROTOCOL.md.  It records what workers were told and what ran, and
 * keeps a summary of each task, which GET /control/tasks returns.
 *
 * The specification of a job tells the workers what its tasks do, as
 * "ms=N spread=N save=1 lasts=1 gang=N": the time of a run, a part that differs
 * by task, whether it saves checkpoints, whether it runs until it is stopped,
 * and the number of tasks of a gang.
 */
#include "../../json-read.h"
#include "../../tests/standin.h"

#include <popt.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define API "/bamboofront/"
#define PAGE_ROWS 500
#define PAGE_BYTES (1 << 20)
#define ROW_BYTES 65536	  /* row_bytes of the settings */
#define TX_ENTRIES 100	  /* of a transaction */
#define ENDED_MAX 500	  /* ends in a list */
#define HOLD_MAX_MS 6000  /* max_hold_ms */
#define STOP_MS 50	  /* a stop takes this long; at most stop_ms, 400 */
#define SAVE_MS 1000	  /* checkpoint_s */
#define RESTORE_MS 250	  /* restore_ms */
#define GANG_MS 3000	  /* gang_timeout_ms */
#define STARTUP_MS 200	  /* until a task that lasts is at work */
#define HEARTBEAT_MS 1500 /* heartbeat_ms */
#define REGISTER_MS 1000  /* from a restart until its first row */
#define STEP_MS 10
#define WORKERS_MAX 64
#define WORKER_CPU 32000
#define WORKER_MEMORY 65536
#define WORKERS_PER_RACK 4
#define DECISION_MS 20 /* decision_ms of advice; and 1 ms for each worker */
#define VALIDITY_MS 3000

struct run {
	char task[64];
	int64_t number;
	int64_t begun, work_ms; /* work_ms 0: it lasts */
	int64_t saved_ms;	/* work that its checkpoint had at its start */
	int64_t stop_at;	/* 0: it is not being stopped */
	int64_t end_seq;	/* 0: it runs */
	int gang;		/* tasks of its gang; 0: it is in none */
	int64_t together_at; /* when all of its gang were there; 0: not yet */
	bool saves;
	const char *how;
	char saved[24];
};
struct worker {
	char id[16];
	unsigned index;
	struct server *server;
	int64_t born, lease_end, fence, last_end, down_until, heartbeat_at;
	int64_t born_unix, sequence;
	int64_t unlist_at;  /* when its row expires; 0: it does not */
	int64_t cut_until;  /* it reaches no node; 0: it does */
	int64_t restart_at; /* its process ends and starts again; 0: not */
	bool gone;
	struct run *runs;
	size_t count;
	json_t *past; /* the highest run that was stopped or has ended, by task
		       */
};

/* A start that gets no answer and is carried out seconds later. */
static struct {
	char job[20];	  /* of its task; empty: none is to be late */
	json_t *order;	  /* NULL: it has not been sent yet */
	int64_t delay_ms; /* from its sending until it is carried out */
	int64_t at;
	struct worker *worker;
} late;

static json_t *rows, *tasks, *good, *gangs_done;
static int64_t version, began;
static struct worker workers[WORKERS_MAX];
static int worker_count = 9;
static int failing; /* further runs that end as failed in place of done */
static bool tickets;
static FILE *record;
static struct timer step_timer;

/* Writes a line with the time to the record. */
static void note(const char *fmt, ...)
{
	va_list ap;

	fprintf(record, "%8.3f ", (double)(clock_now() - began) / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

static const char *text_of(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s ? s : "";
}

/* Returns the summary of a task. */
static json_t *task_of(const char *name)
{
	json_t *t = json_object_get(tasks, name);

	if (!t) {
		t = json_pack("{s:i, s:i, s:i, s:i, s:i, s:i, s:s}", "starts",
			      0, "done", 0, "failed", 0, "stops", 0, "running",
			      0, "lost", 0, "worker", "");
		json_object_set_new(tasks, name, t);
	}
	return t;
}

static void task_add(const char *name, const char *what, int n)
{
	json_t *t = task_of(name);

	json_object_set_new(t, what, json_integer(json_int(t, what) + n));
}

/* ---- the store ---- */

static bool row_is(const json_t *row, const json_t *name)
{
	return !strcmp(text_of(row, "key"), text_of(name, "key")) &&
	       !strcmp(text_of(row, "table"), text_of(name, "table")) &&
	       !strcmp(text_of(row, "part"), text_of(name, "part"));
}

static json_t *row_find(const json_t *name)
{
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
		if (row_is(row, name))
			return row;
	return NULL;
}

static int64_t row_version(const json_t *name)
{
	const json_t *row = row_find(name);

	return !row || json_is_true(json_object_get(row, "removed"))
		       ? 0
		       : json_int(row, "record_version");
}

static void row_set(const json_t *name, json_t *value)
{
	json_t *row = row_find(name);

	if (!row) {
		row = json_pack("{s:s, s:s, s:s}", "table",
				text_of(name, "table"), "part",
				text_of(name, "part"), "key",
				text_of(name, "key"));
		json_array_append_new(rows, row);
	}
	json_object_set_new(row, "record_version", json_integer(version));
	json_object_del(row, "removed");
	json_object_del(row, "value");
	if (value)
		json_object_set(row, "value", value);
	else
		json_object_set_new(row, "removed", json_true());
}

static int by_version(const void *a, const void *b)
{
	int64_t x = json_int(*(json_t *const *)a, "record_version");
	int64_t y = json_int(*(json_t *const *)b, "record_version");

	return (x > y) - (x < y);
}

static int by_key(const void *a, const void *b)
{
	return strcmp(text_of(*(json_t *const *)a, "key"),
		      text_of(*(json_t *const *)b, "key"));
}

/* Returns the rows of a table that changed after a version, in order. */
static json_t *rows_after(const char *table, int64_t after)
{
	json_t *list = json_array(), *row, **found;
	size_t i, n = 0;

	found = xcalloc(json_array_size(rows) + 1, sizeof(*found));
	json_array_foreach(rows, i, row)
		if (json_int(row, "record_version") > after && table &&
		    !strcmp(text_of(row, "table"), table))
			found[n++] = row;
	qsort(found, n, sizeof(*found), by_version);
	for (i = 0; i < n; i++)
		json_array_append(list, found[i]);
	free(found);
	return list;
}

static void rows_answer(struct request *rq, unsigned status, json_t *list,
			bool more)
{
	request_answer(rq, status,
		       json_pack("{s:o, s:b, s:I, s:I}", "rows", list,
				 "has_more", more, "record_version",
				 (json_int_t)version, "now_ms",
				 (json_int_t)(clock_now() - began + 100000)));
}

static int64_t query_int(struct request *rq, const char *name)
{
	const char *s = request_query_arg(rq, name);

	return s ? strtoll(s, NULL, 10) : 0;
}

static void feed_end(void *arg)
{
	struct request *rq = arg;

	rows_answer(rq, 200,
		    rows_after(request_query_arg(rq, "table"),
			       query_int(rq, "after")),
		    false);
}

static void feed_handle(struct request *rq)
{
	json_t *list = rows_after(request_query_arg(rq, "table"),
				  query_int(rq, "after"));

	if (json_array_size(list)) {
		rows_answer(rq, 200, list, false);
		return;
	}
	json_decref(list);
	rq->timer.fire = feed_end;
	rq->timer.arg = rq;
	timer_set(&rq->timer, clock_now() + query_int(rq, "wait_ms"));
}

static struct server *store;

static void feeds_wake(void)
{
	struct request *rq, *next;
	json_t *list;

	for (rq = TAILQ_FIRST(&store->held); rq; rq = next) {
		next = TAILQ_NEXT(rq, entry);
		if (!rq->route || rq->route->handle != feed_handle ||
		    rq->answered)
			continue;
		list = rows_after(request_query_arg(rq, "table"),
				  query_int(rq, "after"));
		if (json_array_size(list))
			rows_answer(rq, 200, list, false);
		else
			json_decref(list);
	}
}

static void get_handle(struct request *rq)
{
	const char *table = request_query_arg(rq, "table");
	const char *part = request_query_arg(rq, "part");
	const char *from = request_query_arg(rq, "from");
	size_t i, n = 0, bytes = 0, limit = (size_t)query_int(rq, "limit");
	json_t *list = json_array(), *row, **found;

	found = xcalloc(json_array_size(rows) + 1, sizeof(*found));
	json_array_foreach(rows, i, row)
		if (table && !strcmp(text_of(row, "table"), table) &&
		    !strcmp(text_of(row, "part"), part ? part : "") &&
		    !json_is_true(json_object_get(row, "removed")) &&
		    (!from || strcmp(text_of(row, "key"), from) >= 0))
			found[n++] = row;
	qsort(found, n, sizeof(*found), by_key);
	if (!limit || limit > PAGE_ROWS)
		limit = PAGE_ROWS;
	for (i = 0; i < n && i < limit && bytes < PAGE_BYTES / 2; i++) {
		bytes += strlen(text_of(found[i], "value"));
		json_array_append(list, found[i]);
	}
	rows_answer(rq, 200, list, i < n);
	free(found);
}

/* Returns why a transaction is beyond the limits of the store, or NULL. */
static const char *tx_wrong(const json_t *expect, const json_t *writes,
			    const json_t *removes)
{
	const json_t *w;
	size_t i;

	if (json_array_size(expect) + json_array_size(writes) +
		    json_array_size(removes) >
	    TX_ENTRIES)
		return "more than 100 entries";
	json_array_foreach(writes, i, w)
		if (strlen(text_of(w, "value")) > (ROW_BYTES + 2) / 3 * 4)
			return "a value is longer than row_bytes";
	return NULL;
}

static void tx_handle(struct request *rq)
{
	const json_t *expect = json_object_get(rq->json, "expected_revision");
	const json_t *writes = json_object_get(rq->json, "writes");
	const json_t *removes = json_object_get(rq->json, "remove");
	const char *wrong = tx_wrong(expect, writes, removes);
	json_t *list, *name;
	bool ok = true;
	size_t i;

	if (wrong) {
		json_array_foreach(writes, i, name)
			if (strlen(text_of(name, "value")) > ROW_BYTES)
				note("store  400 to a transaction with %zu rows: "
				     "%s, %s/%s has %zu bytes of base64",
				     json_array_size(writes), wrong,
				     text_of(name, "table"),
				     text_of(name, "key"),
				     strlen(text_of(name, "value")));
		request_reject(rq, wrong);
		return;
	}
	list = json_array();
	json_array_foreach(expect, i, name) {
		ok = ok &&
		     row_version(name) == json_int(name, "record_version");
		if (row_version(name))
			json_array_append(list, row_find(name));
	}
	if (!ok) {
		rows_answer(rq, 412, list, false);
		return;
	}
	version++;
	json_array_foreach(writes, i, name)
		row_set(name, json_object_get(name, "value"));
	json_array_foreach(removes, i, name)
		row_set(name, NULL);
	json_array_clear(list);
	rows_answer(rq, 200, list, false);
	feeds_wake();
}

/* Writes a row of the operator or of a worker; NULL removes it. */
static void row_put(const char *table, const char *key, json_t *j)
{
	json_t *name = json_pack("{s:s, s:s, s:s}", "table", table, "part", "",
				 "key", key);
	json_t *value = NULL;
	char *text;

	if (j) {
		text = json_dumps(j, JSON_COMPACT);
		value = json_write_bytes(bstr_lit(text));
		free(text);
	}
	version++;
	row_set(name, value);
	json_decref(value);
	json_decref(name);
	json_decref(j);
	feeds_wake();
}

/* ---- the workers ---- */

static int64_t worker_clock(const struct worker *w)
{
	return clock_now() - w->born + 1;
}

static void worker_publish(struct worker *w)
{
	char *address = xasprintf("127.0.0.1:%u", w->server->port);
	char rack[16];

	snprintf(rack, sizeof(rack), "r1-%u", w->index / WORKERS_PER_RACK);
	w->heartbeat_at = clock_now() + HEARTBEAT_MS;
	row_put("servers", w->id,
		json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, "
			  "s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I, s:I}",
			  "service", "rounds", "address", address, "zone",
			  "east", "version", "v1", "slots", 8, "state", "ready",
			  "cold_remaining_ms", 0, "capacity", "cpu", WORKER_CPU,
			  "requested_memory_mb", WORKER_MEMORY, "gpus", 0,
			  "labels", "a", rack, "clock_ms",
			  (json_int_t)worker_clock(w), "sequence",
			  (json_int_t)++w->sequence, "born",
			  (json_int_t)w->born_unix));
	free(address);
}

/* Starts the process of a worker, which knows nothing of before. */
static void worker_begin(struct worker *w)
{
	free(w->runs);
	w->runs = NULL;
	w->count = 0;
	json_decref(w->past);
	w->past = json_object();
	w->fence = w->last_end = w->sequence = w->down_until = 0;
	w->born = w->lease_end = clock_now();
	w->born_unix = clock_wall();
}

static void run_end(struct worker *w, struct run *r, const char *how)
{
	r->end_seq = ++w->last_end;
	r->how = how;
	json_object_set_new(w->past, r->task, json_integer(r->number));
	task_add(r->task, "running", -1);
	if (!strcmp(how, "done") || !strcmp(how, "failed"))
		task_add(r->task, how, 1);
	note("worker %s ends %s run %lld: %s", w->id, r->task,
	     (long long)r->number, how);
}

/* Work of a run in ms, with that of its checkpoint. */
static int64_t run_work(const struct run *r)
{
	return clock_now() - r->begun + r->saved_ms -
	       (r->saved_ms ? RESTORE_MS : 0);
}

static void run_save(struct run *r)
{
	int64_t ms = run_work(r) / SAVE_MS * SAVE_MS;

	if (r->saves && ms > r->saved_ms)
		snprintf(r->saved, sizeof(r->saved), "%08llx%08x",
			 (unsigned long long)ms, (unsigned)r->number);
}

static void lists_answer(struct request *rq, struct worker *w)
{
	json_t *running = json_array(), *ended = json_array();
	int percent;
	struct run *r;
	size_t i;

	for (i = 0; i < w->count; i++) {
		r = &w->runs[i];
		if (r->end_seq) {
			if (json_array_size(ended) < ENDED_MAX)
				json_array_append_new(
					ended, json_pack("[I, s, I, s, s]",
							 (json_int_t)r->end_seq,
							 r->task,
							 (json_int_t)r->number,
							 r->how, r->saved));
			continue;
		}
		percent = !r->work_ms ? (run_work(r) >= STARTUP_MS ? 100 : 0)
				      : (int)(run_work(r) * 100 / r->work_ms);
		json_array_append_new(
			running, json_pack("[s, I, s, i, i]", r->task,
					   (json_int_t)r->number, r->saved,
					   percent > 100 ? 100 : percent, 0));
	}
	request_answer(rq, 200,
		       json_pack("{s:I, s:I, s:o, s:o}", "clock_ms",
				 (json_int_t)worker_clock(w), "born",
				 (json_int_t)w->born_unix, "running", running,
				 "ended", ended));
}

static bool worker_has_end(const struct worker *w)
{
	size_t i;

	for (i = 0; i < w->count; i++)
		if (w->runs[i].end_seq)
			return true;
	return false;
}

/* Sets key to the name of a run's gang: ID.K.STEP/RUN. */
static void gang_key(const struct run *r, char key[96])
{
	snprintf(key, 96, "%.*s/%lld", (int)(strrchr(r->task, '.') - r->task),
		 r->task, (long long)r->number);
}

/* Returns how many members of a run's gang run, and sets their time if all. */
static int gang_count(const struct run *of, int64_t together_at)
{
	char key[96], other[96];
	struct run *r;
	int n, count = 0;
	size_t i;

	gang_key(of, key);
	for (n = 0; n < worker_count; n++) {
		for (i = 0; i < workers[n].count; i++) {
			r = &workers[n].runs[i];
			gang_key(r, other);
			if (r->end_seq || strcmp(key, other) != 0)
				continue;
			count++;
			if (together_at)
				r->together_at = together_at;
		}
	}
	return count;
}

/* Returns how a run of a gang ends now, or NULL if it goes on. */
static const char *gang_end(const struct run *r)
{
	char key[96];

	gang_key(r, key);
	if (json_object_get(gangs_done, key))
		return "done";
	if (!r->together_at)
		return clock_now() - r->begun >= GANG_MS ? "alone" : NULL;
	if (gang_count(r, 0) < r->gang)
		return "broken";
	if (clock_now() - r->together_at < r->work_ms)
		return NULL;
	json_object_set_new(gangs_done, key, json_true());
	return "done";
}

/* Ends what is due on a worker that is up. */
static void worker_step(struct worker *w)
{
	struct request *rq, *next;
	struct run *r;
	size_t i;

	for (i = 0; i < w->count; i++) {
		r = &w->runs[i];
		if (r->end_seq)
			continue;
		run_save(r);
		if (r->stop_at && clock_now() >= r->stop_at)
			run_end(w, r, "stopped");
		else if (clock_now() >= w->lease_end)
			run_end(w, r, "lapsed");
		else if (r->gang && gang_end(r))
			run_end(w, r, gang_end(r));
		else if (!r->gang && r->work_ms && run_work(r) >= r->work_ms)
			run_end(w, r, failing && failing-- ? "failed" : "done");
	}
	if (!worker_has_end(w) || w->cut_until)
		return;
	for (rq = TAILQ_FIRST(&w->server->held); rq; rq = next) {
		next = TAILQ_NEXT(rq, entry);
		if (rq->dispatched && !rq->answered && rq->timer.due.index)
			lists_answer(rq, w);
	}
}

/* Removes the row of a worker after three heartbeat intervals of silence. */
static void worker_expire(struct worker *w)
{
	if (!w->unlist_at || clock_now() < w->unlist_at)
		return;
	w->unlist_at = 0;
	row_put("servers", w->id, NULL);
	note("the row of worker %s expires", w->id);
}

static const char *start_apply(const json_t *order, struct worker *w);
/* Carries out the late order when its time has come, if the worker is up. */
static void late_step(void)
{
	const char *refusal;

	if (!late.order || clock_now() < late.at || late.worker->down_until)
		return;
	refusal = start_apply(late.order, late.worker);
	note("worker %s carries out the late order to start %s run %lld: %s",
	     late.worker->id, text_of(late.order, "task"),
	     (long long)json_int(late.order, "run"),
	     refusal ? refusal : "it runs");
	*late.job = '\0';
	json_decref(late.order);
	late.order = NULL;
}

/* Forgets what runs on a worker whose process ends. */
static void worker_lose_runs(struct worker *w)
{
	size_t i;

	for (i = 0; i < w->count; i++) {
		if (w->runs[i].end_seq)
			continue;
		task_add(w->runs[i].task, "running", -1);
		task_add(w->runs[i].task, "lost", 1);
	}
	w->count = 0;
}

/* Restarts a worker that is cut off, and ends the cut, when it is time. */
static void worker_behind_cut(struct worker *w)
{
	if (w->restart_at && clock_now() >= w->restart_at) {
		w->restart_at = 0;
		worker_lose_runs(w);
		worker_begin(w);
		worker_publish(w);
		note("worker %s crashes behind the cut and starts again",
		     w->id);
	}
	if (!w->cut_until || clock_now() < w->cut_until)
		return;
	w->cut_until = 0;
	server_drop_held(w->server);
	note("worker %s is reached again", w->id);
}

static void workers_step(void *arg)
{
	struct worker *w;
	int n;

	(void)arg;
	late_step();
	for (n = 0; n < worker_count; n++) {
		w = &workers[n];
		if (w->gone) {
			worker_expire(w);
			continue;
		}
		if (w->down_until) {
			worker_expire(w);
			if (clock_now() < w->down_until)
				continue;
			worker_begin(w);
			w->unlist_at = 0;
			w->heartbeat_at = clock_now() + REGISTER_MS;
			note("worker %s is up again, under its id", w->id);
		}
		worker_behind_cut(w);
		worker_step(w);
		if (clock_now() >= w->heartbeat_at)
			worker_publish(w);
	}
	timer_set(&step_timer, clock_now() + STEP_MS);
}

static void order_refuse(struct request *rq, const struct worker *w,
			 const char *reason)
{
	request_answer(rq, 409,
		       json_pack("{s:I, s:s}", "clock_ms",
				 (json_int_t)worker_clock(w), "reason",
				 reason));
}

/* Applies an order's token and lease; returns false if the token is too low. */
static bool order_apply(const json_t *order, struct worker *w)
{
	int64_t fence = json_int(order, "fencing_token");
	int64_t until = json_int(order, "deadline_ms") + w->born - 1;

	if (fence < w->fence)
		return false;
	w->fence = fence;
	if (until > clock_now() + HOLD_MAX_MS)
		until = clock_now() + HOLD_MAX_MS;
	if (until > w->lease_end)
		w->lease_end = until;
	return true;
}

static bool order_check(struct request *rq, struct worker *w)
{
	if (order_apply(rq->json, w))
		return true;
	order_refuse(rq, w, "fence");
	return false;
}

static void hold_end(void *arg)
{
	struct request *rq = arg;

	lists_answer(rq, rq->server->arg);
}

static void hold_handle(struct request *rq)
{
	int64_t wait = json_int(rq->json, "wait_ms"), seen;
	struct worker *w = rq->server->arg;
	size_t i, kept = 0;

	if (!order_check(rq, w))
		return;
	seen = json_int(rq->json, "last_seen");
	for (i = 0; i < w->count; i++)
		if (!w->runs[i].end_seq || w->runs[i].end_seq > seen)
			w->runs[kept++] = w->runs[i];
	w->count = kept;
	if (!wait || worker_has_end(w)) {
		lists_answer(rq, w);
		return;
	}
	rq->timer.fire = hold_end;
	rq->timer.arg = rq;
	timer_set(&rq->timer, clock_now() + wait);
}

/* Returns the number after NAME= in a specification, or 0. */
static int64_t spec_int(const char *spec, const char *name)
{
	const char *p = strstr(spec, name);

	return p ? strtoll(p + strlen(name), NULL, 10) : 0;
}

/* A number that differs by task, below the bound. */
static int64_t task_part(const char *task, int64_t bound)
{
	uint64_t h = 1469598103934665603ULL;

	for (; *task; task++)
		h = (h ^ (unsigned char)*task) * 1099511628211ULL;
	return bound ? (int64_t)((h >> 16) % (uint64_t)bound) : 0;
}

/* Adds a run for an order to start. */
static void run_begin(struct worker *w, const json_t *order)
{
	const char *spec = text_of(order, "specification");
	const char *saved = text_of(order, "checkpoint");
	char part[9] = "";
	struct run *r;

	w->runs = xrealloc(w->runs, w->count + 1, sizeof(*w->runs));
	r = &w->runs[w->count++];
	memset(r, 0, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", text_of(order, "task"));
	snprintf(r->saved, sizeof(r->saved), "%s", saved);
	snprintf(part, sizeof(part), "%s", saved);
	r->saved_ms = strtoll(part, NULL, 16);
	r->number = json_int(order, "run");
	r->begun = clock_now();
	r->saves = spec_int(spec, "save=");
	if (!strncmp(strrchr(r->task, '.') - 2, ".0.", 3)) /* of step 0 */
		r->gang = (int)spec_int(spec, "gang=");
	if (!spec_int(spec, "lasts="))
		r->work_ms = spec_int(spec, "ms=") +
			     task_part(r->task, spec_int(spec, "spread="));
	if (json_int(task_of(r->task), "running")) {
		task_add(r->task, "twice", 1);
		note("TWO RUNS of %s at the same time", r->task);
	}
	task_add(r->task, "starts", 1);
	task_add(r->task, "running", 1);
	json_object_set_new(task_of(r->task), "worker", json_string(w->id));
	if (r->gang && gang_count(r, 0) == r->gang)
		gang_count(r, clock_now());
	note("worker %s starts %s run %lld", w->id, r->task,
	     (long long)r->number);
}

/* Carries out an order to start; returns why it is refused, or NULL. */
static const char *start_apply(const json_t *order, struct worker *w)
{
	const char *task = text_of(order, "task");
	int64_t number = json_int(order, "run");
	char ticket[40];
	size_t i;

	if (!order_apply(order, w))
		return "fence";
	for (i = 0; i < w->count; i++)
		if (!w->runs[i].end_seq && !strcmp(w->runs[i].task, task))
			return w->runs[i].number == number ? NULL : "old";
	if (json_int(w->past, task) >= number)
		return "old";
	if (json_int(order, "deadline_ms") < worker_clock(w))
		return "late";
	snprintf(ticket, sizeof(ticket), "%s-%.16s", w->id, task);
	if (tickets && strcmp(text_of(order, "ticket"), ticket) != 0)
		return "ticket";
	run_begin(w, order);
	return NULL;
}

static void start_handle(struct request *rq)
{
	struct worker *w = rq->server->arg;
	const char *refusal;

	if (*late.job && !late.order &&
	    !strncmp(text_of(rq->json, "task"), late.job, strlen(late.job))) {
		late.order = json_incref(rq->json);
		late.worker = w;
		late.at = clock_now() + late.delay_ms;
		note("worker %s leaves the order to start %s run %lld "
		     "unanswered; it is carried out in %lld ms",
		     w->id, text_of(rq->json, "task"),
		     (long long)json_int(rq->json, "run"),
		     (long long)late.delay_ms);
		return;
	}
	refusal = start_apply(rq->json, w);
	if (refusal)
		order_refuse(rq, w, refusal);
	else
		request_answer(rq, 200,
			       json_pack("{s:I}", "clock_ms",
					 (json_int_t)worker_clock(w)));
}

static void stop_handle(struct request *rq)
{
	const char *task = text_of(rq->json, "task");
	int64_t number = json_int(rq->json, "run");
	struct worker *w = rq->server->arg;
	bool found = false;
	struct run *r;
	size_t i;

	if (!order_check(rq, w))
		return;
	for (i = 0; i < w->count; i++) {
		r = &w->runs[i];
		if (r->end_seq || strcmp(r->task, task) != 0 ||
		    r->number > number)
			continue;
		found = true;
		if (r->stop_at)
			continue;
		r->stop_at = clock_now() + STOP_MS;
		task_add(task, "stops", 1);
		note("worker %s is told to stop %s run %lld", w->id, task,
		     (long long)number);
	}
	if (!found && json_int(w->past, task) < number)
		json_object_set_new(w->past, task, json_integer(number));
	request_answer(
		rq, 200,
		json_pack("{s:I}", "clock_ms", (json_int_t)worker_clock(w)));
}

static void pace_handle(struct request *rq)
{
	struct worker *w = rq->server->arg;

	if (order_check(rq, w))
		request_answer(rq, 200,
			       json_pack("{s:I}", "clock_ms",
					 (json_int_t)worker_clock(w)));
}

/* A worker that is down drops connections; another instance answers 421. */
static bool worker_filter(struct request *rq)
{
	const struct worker *w = rq->server->arg;
	const char *id = MHD_lookup_connection_value(rq->conn, MHD_HEADER_KIND,
						     "X-Expected-Instance");

	if (w->gone || w->down_until) {
		request_drop(rq);
		return false;
	}
	if (w->cut_until)
		return false; /* no answer */
	if (!id || !strcmp(id, w->id))
		return true;
	request_answer(rq, 421, json_object());
	return false;
}

/* ---- machines and advice ---- */

static void machines_handle(struct request *rq)
{
	json_t *list = json_array();
	const struct worker *w;
	char name[16];
	int i;

	for (i = 0; i < worker_count; i++) {
		w = &workers[i];
		snprintf(name, sizeof(name), "m-%02d", i);
		json_array_append_new(
			list,
			json_pack(
				"{s:s, s:s, s:s, s:s, s:s, s:{s:i, s:i, s:i}}",
				"machine", name, "pool", "rounds", "state",
				w->gone || w->down_until ? "down" : "up",
				"zone", "east", "id", w->id, "capacity", "cpu",
				WORKER_CPU, "requested_memory_mb",
				WORKER_MEMORY, "gpus", 0));
	}
	request_answer(
		rq, 200,
		json_pack("{s:o, s:n}", "machines", list, "next_page_token"));
}

static void advise_end(void *arg)
{
	struct request *rq = arg;
	const char *step = text_of(rq->json, "step");
	json_t *list = json_array(), *v;
	char ticket[40];
	size_t i;

	json_array_foreach(json_object_get(rq->json, "workers"), i, v) {
		if (!json_list_has(good, json_string_value(v)))
			continue;
		snprintf(ticket, sizeof(ticket), "%s-%.16s",
			 json_string_value(v), step);
		json_array_append_new(
			list,
			json_pack("[s, s]", json_string_value(v), ticket));
	}
	note("advice for %s: asked for %zu workers, %s to %s; %zu are good",
	     step, json_array_size(json_object_get(rq->json, "workers")),
	     json_string_value(
		     json_array_get(json_object_get(rq->json, "workers"), 0)),
	     json_string_value(json_array_get(
		     json_object_get(rq->json, "workers"),
		     json_array_size(json_object_get(rq->json, "workers")) -
			     1)),
	     json_array_size(list));
	request_answer(rq, 200,
		       json_pack("{s:o, s:i}", "good", list, "validity_ms",
				 VALIDITY_MS));
}

static void advise_handle(struct request *rq)
{
	rq->timer.fire = advise_end;
	rq->timer.arg = rq;
	timer_set(&rq->timer, clock_now() + DECISION_MS +
				      (int64_t)json_array_size(json_object_get(
					      rq->json, "workers")));
}

/* ---- control ---- */

/* {"key": "config", "row": {...}}: the operator writes a row. */
static void control_op(struct request *rq)
{
	char *text = json_dumps(json_object_get(rq->json, "row"), JSON_COMPACT);

	note("operator writes op/%s: %s", text_of(rq->json, "key"), text);
	free(text);
	row_put("op", text_of(rq->json, "key"),
		json_incref(json_object_get(rq->json, "row")));
	request_answer(rq, 200, json_object());
}

/*
 * {"worker": "i-01", "what": "crash", "ms": 1000}: its process ends, and starts
 * again after that time; "gone": it ends for good; "cut": no node reaches it
 * for that time, and its process starts again after "restart_ms".
 */
static void control_worker(struct request *rq)
{
	const char *id = text_of(rq->json, "worker");
	struct worker *w = NULL;
	int n;

	for (n = 0; n < worker_count; n++)
		if (!strcmp(workers[n].id, id))
			w = &workers[n];
	if (!w) {
		request_reject(rq, "worker");
		return;
	}
	if (!strcmp(text_of(rq->json, "what"), "cut")) {
		w->cut_until = clock_now() + json_int(rq->json, "ms");
		w->restart_at = clock_now() + json_int(rq->json, "restart_ms");
		note("worker %s is cut off, for %lld ms", w->id,
		     (long long)json_int(rq->json, "ms"));
		request_answer(rq, 200, json_object());
		return;
	}
	worker_lose_runs(w);
	w->unlist_at = clock_now() + 3 * HEARTBEAT_MS;
	server_drop_held(w->server);
	if (!strcmp(text_of(rq->json, "what"), "gone")) {
		w->gone = true;
		note("worker %s crashes for good", w->id);
	} else {
		w->down_until = clock_now() + json_int(rq->json, "ms");
		note("worker %s crashes, for %lld ms", w->id,
		     (long long)json_int(rq->json, "ms"));
	}
	request_answer(rq, 200, json_object());
}

/* {"failing": N}: the next N ends as done are failed ones. */
static void control_failing(struct request *rq)
{
	failing = (int)json_int(rq->json, "failing");
	note("the next %d runs fail at their end", failing);
	request_answer(rq, 200, json_object());
}

/* {"good": ["i-01"]}: starts need tickets, which only these workers get. */
static void control_good(struct request *rq)
{
	json_decref(good);
	good = json_incref(json_object_get(rq->json, "good"));
	tickets = true;
	request_answer(rq, 200, json_object());
}

/* {"job": ID, "ms": N}: the next start of a task of this job is late. */
static void control_late(struct request *rq)
{
	snprintf(late.job, sizeof(late.job), "%s", text_of(rq->json, "job"));
	late.delay_ms = json_int(rq->json, "ms");
	request_answer(rq, 200, json_object());
}

/* Returns the worker of the late order, "" before it was sent. */
static void control_late_get(struct request *rq)
{
	request_answer(rq, 200,
		       json_pack("{s:s}", "worker",
				 late.order ? late.worker->id : ""));
}

static void control_tasks(struct request *rq)
{
	request_answer(rq, 200, json_incref(tasks));
}

static const struct route store_routes[] = {
	{"POST", API "rows-tx", "tx", tx_handle},
	{"GET", API "rows-get", "get", get_handle},
	{"GET", API "rows-feed", "feed", feed_handle},
	{"GET", API "machines", "machines", machines_handle},
	{"POST", API "advise", "advise", advise_handle},
	{"POST", "/control/op", NULL, control_op},
	{"POST", "/control/worker", NULL, control_worker},
	{"POST", "/control/failing", NULL, control_failing},
	{"POST", "/control/good", NULL, control_good},
	{"POST", "/control/fault", NULL, control_fault},
	{"POST", "/control/late", NULL, control_late},
	{"GET", "/control/late", NULL, control_late_get},
	{"GET", "/control/tasks", NULL, control_tasks},
	{NULL, NULL, NULL, NULL},
};
static const struct route worker_routes[] = {
	{"POST", API "hold", "hold", hold_handle},
	{"POST", API "run-start", "start", start_handle},
	{"POST", API "run-stop", "stop", stop_handle},
	{"POST", API "pace", "pace", pace_handle},
	{NULL, NULL, NULL, NULL},
};

int main(int argc, const char **argv)
{
	char *path = NULL;
	long since = 0;
	struct poptOption options[] = {
		{"began", 0, POPT_ARG_LONG, &since, 0, "", "MS"},
		{"workers", 0, POPT_ARG_INT, &worker_count, 0, "", "N"},
		{"record", 0, POPT_ARG_STRING, &path, 0, "", "FILE"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext pc = poptGetContext(NULL, argc, argv, options, 0);
	int i;

	if (poptGetNextOpt(pc) != -1 || !path || worker_count < 1 ||
	    worker_count > WORKERS_MAX || !(record = fopen(path, "ae")))
		return 2;
	poptFreeContext(pc);
	began = since ? since : clock_now();
	rows = json_array();
	tasks = json_object();
	gangs_done = json_object();
	good = json_array();
	store = server_start(store_routes, 0, 1024, NULL, NULL);
	for (i = 0; i < worker_count; i++) {
		workers[i].index = (unsigned)i;
		snprintf(workers[i].id, sizeof(workers[i].id), "i-%02d", i);
		workers[i].server = server_start(worker_routes, 0, 64,
						 worker_filter, &workers[i]);
		worker_begin(&workers[i]);
		worker_publish(&workers[i]);
	}
	step_timer.fire = workers_step;
	timer_set(&step_timer, clock_now() + STEP_MS);
	printf("port %u\n", store->port);
	fflush(stdout);
	server_loop();
	return 0;
}
