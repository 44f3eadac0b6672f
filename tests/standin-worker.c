/*
 * Stand-in for the workers of docs/WORKER.md: any number of them in one process
 * and one thread, each with its own port, slots, leases and state.  A control
 * port, and /control on each worker's port, inject failures and return the log
 * of task starts, by which tests check "at most once" and upper limits
 * independently of the daemons.
 */
#include "standin.h"

#include <popt.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uthash.h>

#define ID_MAX 256
#define LIST_LIMIT 4096
#define WAIT_MAX_MS 60000
#define REFUSE_MS 100

enum run_state {
	RUNNING,
	DONE,
	FAILED,
	REFUSED,
	STOPPED,
	LAPSED,
	CHECKPOINTED,
	LOST /* by a restart; only in the start log */
};
static const char *const state_names[] = {
	"running", "done",   "failed",	     "refused",
	"stopped", "lapsed", "checkpointed", "lost",
};
struct worker;
struct cell {
	TAILQ_ENTRY(cell) entry;
	struct worker *worker;
	bstr pool;
	bstr dc;
	int64_t epoch;	    /* highest seen for the pool, in all its cells */
	struct timer lease; /* running tasks end when it expires */
};
struct usage {
	int64_t cpu_milli, memory_mb;
};
struct task {
	TAILQ_ENTRY(task) entry; /* ordered by seq */
	UT_hash_handle hh;
	char *id;
	struct worker *worker;
	struct cell *cell;
	enum run_state state;
	const char *reason;
	bstr result;
	bool fail;
	int64_t started_at, ended_at;
	int64_t sleep_ms; /* total work */
	int64_t done_ms;  /* work done by counted_at */
	int64_t counted_at;
	int64_t percent;
	struct usage usage, shown;
	uint64_t seq;
	struct start_record *log;
	struct timer timer; /* running: its end; ended: when it is freed */
	struct timer lag;   /* delay until shown follows usage */
};
TAILQ_HEAD(task_list, task);
struct worker {
	char *name, *boot;
	unsigned boots;
	struct server *server;
	TAILQ_HEAD(, cell) cells;
	struct task *tasks; /* by id */
	struct task_list order;
	uint64_t seq;
	int used, peak_used; /* slots */
	bool leaving, fail_all, refuse;
};
/* A task start; the list is in the order of the starts. */
struct start_record {
	TAILQ_ENTRY(start_record) entry;
	int64_t seq;
	struct worker *worker;
	char *team; /* or NULL */
	char *task;
	unsigned boot;
	int64_t started_at, ended_at;
	enum run_state state;
};

static struct worker *workers;
static TAILQ_HEAD(, start_record) start_log = TAILQ_HEAD_INITIALIZER(start_log);
static int64_t last_start_seq;
static json_t *teams; /* by name: tasks running now, and their maximum so far */
static int worker_count = 1, slots = 8, connections = 64;
static int usage_lag_ms = 1000, keep_ms = 600000;
static char *prefix;
static json_t *verbs;

/* Increments the worker's sequence number and wakes all pending watches. */
static void worker_wake_watches(struct worker *w)
{
	struct request *rq;

	w->seq++;
	/*
	 * Answering from their timers puts tasks that end together into one
	 * report.
	 */
	TAILQ_FOREACH(rq, &w->server->held, entry)
		if (rq->arg)
			timer_set(&rq->timer, 0);
}

/* Marks a task as changed and moves it to the end of the worker's list. */
static void task_touch(struct task *t)
{
	worker_wake_watches(t->worker);
	t->seq = t->worker->seq;
	TAILQ_REMOVE(&t->worker->order, t, entry);
	TAILQ_INSERT_TAIL(&t->worker->order, t, entry);
}

/* Removes a task from its worker and frees it; also a timer callback. */
static void task_free(void *arg)
{
	struct task *t = arg;

	timer_clear(&t->timer);
	timer_clear(&t->lag);
	TAILQ_REMOVE(&t->worker->order, t, entry);
	HASH_DEL(t->worker->tasks, t);
	bstr_free(&t->result);
	free(t->id);
	free(t);
}

/* Returns the JSON for a number of running tasks and its maximum so far. */
static json_t *running_count_json(int64_t running, int64_t peak)
{
	return json_pack("{s:I,s:I}", "running", running, "most",
			 running > peak ? running : peak);
}

/* Changes the number of running tasks of a team, if the task has one. */
static void team_count(const char *team, int change)
{
	const json_t *old = team ? json_object_get(teams, team) : NULL;

	if (team)
		json_object_set_new(
			teams, team,
			running_count_json(json_int(old, "running") + change,
					   json_int(old, "most")));
}

/* Adds a task that starts to the start log and counts its slot. */
static void log_begin(struct task *t, const char *team)
{
	struct start_record *rec = xcalloc(1, sizeof(*rec));

	TAILQ_INSERT_TAIL(&start_log, rec, entry);
	t->log = rec;
	rec->seq = ++last_start_seq;
	rec->worker = t->worker;
	rec->task = xstrdup(t->id);
	rec->boot = t->worker->boots;
	rec->started_at = t->started_at;
	rec->state = RUNNING;
	if (++t->worker->used > t->worker->peak_used)
		t->worker->peak_used = t->worker->used;
	rec->team = team ? xstrdup(team) : NULL;
	team_count(team, 1);
}

/* Records the end of a task in the start log and frees its slot. */
static void log_end(const struct task *t, enum run_state state)
{
	struct start_record *rec = t->log;

	rec->ended_at = clock_now();
	rec->state = state;
	t->worker->used--;
	team_count(rec->team, -1);
}

/* Ends a running task; it stays in reports for keep_ms. */
static void task_end(struct task *t, enum run_state state, const char *reason)
{
	t->state = state;
	t->reason = reason;
	t->ended_at = clock_now();
	t->shown = t->usage;
	log_end(t, state);
	timer_clear(&t->lag);
	t->timer.fire = task_free;
	timer_set(&t->timer, t->ended_at + keep_ms);
	task_touch(t);
}

/* Timer callback: the task's work is complete. */
static void task_finish(void *arg)
{
	struct task *t = arg;

	task_end(t, t->fail ? FAILED : DONE, t->fail ? "task-failed" : "");
}

/* Updates the amount of work that a task has done. */
static void task_count_work(struct task *t)
{
	int64_t now = clock_now();

	t->done_ms += (now - t->counted_at) * t->percent / 100;
	t->counted_at = now;
}

/*
 * Sets the timer of a task's end from its remaining work and its speed; a task
 * throttled to 0 % has none.
 */
static void task_schedule(struct task *t)
{
	int64_t left = t->sleep_ms - t->done_ms;

	timer_clear(&t->timer);
	if (left < 0)
		left = 0;
	if (t->percent)
		timer_set(&t->timer, t->counted_at + left * 100 / t->percent);
}

/* Timer callback: reports show the task's current usage after usage_lag_ms. */
static void task_show_usage(void *arg)
{
	struct task *t = arg;

	t->shown = t->usage;
	task_touch(t);
}

/* Creates a task with an unknown ID. */
static struct task *task_new(struct cell *cell, const char *id)
{
	struct task *t = xcalloc(1, sizeof(*t));

	t->worker = cell->worker;
	t->cell = cell;
	t->id = xstrdup(id);
	t->seq = t->worker->seq;
	t->timer.arg = t->lag.arg = t;
	t->lag.fire = task_show_usage;
	HASH_ADD_KEYPTR(hh, t->worker->tasks, t->id, strlen(t->id), t);
	TAILQ_INSERT_TAIL(&t->worker->order, t, entry);
	return t;
}

/*
 * Records that a task ID was refused; it can't start here while the record is
 * kept.
 */
static void task_refuse(struct task *t, const char *reason)
{
	t->state = REFUSED;
	t->reason = reason;
	t->timer.fire = task_free;
	timer_set(&t->timer, clock_now() + keep_ms);
}

/*
 * Draws the actual usage of a task, 0.5 to 2 times its declared size, because
 * declared sizes are inaccurate in practice.
 */
static int64_t usage_draw(const json_t *start, const char *name)
{
	return json_int(start, name) * (50 + standin_random(150)) / 100;
}

/* Starts a task; its payload sets its duration, result and failure. */
static void task_run(struct task *t, const json_t *start)
{
	bstr payload, progress;
	json_t *j, *done, *result;

	json_bytes(start, "payload", &payload);
	json_bytes(start, "checkpoint", &progress);
	j = json_loadb(payload.bstr_val, payload.bstr_len, 0, NULL);
	done = json_loadb(progress.bstr_val, progress.bstr_len, 0, NULL);
	result = json_object_get(j, "result");
	t->state = RUNNING;
	t->reason = "";
	t->started_at = t->counted_at = clock_now();
	t->percent = 100;
	t->sleep_ms = json_int(j, "sleep_ms");
	t->done_ms = json_int(done, "done_ms");
	t->fail = json_is_true(json_object_get(j, "fail")) ||
		  t->worker->fail_all;
	if (t->worker->fail_all)
		t->sleep_ms = 0;
	t->result = result ? bstr_from_json(result) : bstr_copy(payload);
	t->usage.cpu_milli = usage_draw(start, "cpu_milli");
	t->usage.memory_mb = usage_draw(start, "memory_mb");
	log_begin(t, json_string_value(json_object_get(j, "team")));
	t->timer.fire = task_finish;
	task_schedule(t);
	timer_set(&t->lag, t->started_at + usage_lag_ms);
	json_decref(j);
	json_decref(done);
	bstr_free(&payload);
	bstr_free(&progress);
}

/*
 * Handles a start.  Starts are idempotent: an ID that is known already is
 * returned as it is.
 */
static struct task *task_handle_start(struct request *rq, struct cell *cell,
				      const json_t *start)
{
	const char *id = json_string_value(json_object_get(start, "task"));
	struct worker *w = cell->worker;
	struct task *t;

	HASH_FIND_STR(w->tasks, id, t);
	if (t)
		return t;
	t = task_new(cell, id);
	if (rq->received_at + json_int(start, "start_by_ms") < clock_now())
		task_refuse(t, "late");
	else if (w->used >= slots)
		task_refuse(t, "no-slot");
	else
		task_run(t, start);
	return t;
}

/* Limits a task's speed to a percentage of its full speed. */
static void task_throttle(struct task *t, int64_t percent)
{
	task_count_work(t);
	if (t->percent)
		t->usage.cpu_milli = t->usage.cpu_milli * percent / t->percent;
	t->percent = percent;
	task_schedule(t);
	timer_set(&t->lag, clock_now() + usage_lag_ms);
}

/*
 * Carries out an order.  Returns the task to report, or NULL if there is none.
 */
static struct task *task_handle_order(struct cell *cell, const json_t *order)
{
	const char *id = json_string_value(json_object_get(order, "task"));
	const char *verb = json_string_value(json_object_get(order, "verb"));
	struct task *t;

	HASH_FIND_STR(cell->worker->tasks, id, t);
	if (!t && !strcmp(verb, "stop")) {
		t = task_new(cell, id);
		task_refuse(t, "tombstone");
	} else if (!t) {
		return NULL;
	} else if (!strcmp(verb, "forget") && t->state != RUNNING) {
		task_free(t);
		return NULL;
	} else if (t->state != RUNNING) {
		return t;
	} else if (!strcmp(verb, "stop")) {
		task_end(t, STOPPED, "");
	} else if (!strcmp(verb, "checkpoint")) {
		task_count_work(t);
		bstr_free(&t->result);
		t->result = bstr_printf("{\"done_ms\": %jd}",
					(intmax_t)t->done_ms);
		task_end(t, CHECKPOINTED, "");
	} else if (!strcmp(verb, "throttle")) {
		task_throttle(t, json_int(order, "percent"));
	}
	return t;
}

/* Returns the JSON of a task in a report. */
static json_t *task_json(const struct task *t)
{
	bool has = t->state == DONE || t->state == FAILED ||
		   t->state == CHECKPOINTED;
	bstr result = has ? base64_encode(t->result) : BSTR_NONE;
	int64_t ran = t->started_at
			      ? (t->ended_at ? t->ended_at : clock_now()) -
					t->started_at
			      : 0;
	json_t *j = json_pack("{s:s,s:s,s:s,s:o,s:I,s:I,s:I}", "task", t->id,
			      "state", state_names[t->state], "reason",
			      t->reason, "result", bstr_to_json(result),
			      "ran_ms", (json_int_t)ran, "cpu_milli",
			      (json_int_t)t->shown.cpu_milli, "memory_mb",
			      (json_int_t)t->shown.memory_mb);

	bstr_free(&result);
	return j;
}

/* Returns a report of a cell; takes ownership of the list of tasks. */
static json_t *cell_report(const struct cell *cell, json_t *tasks)
{
	const struct worker *w = cell->worker;

	return json_pack("{s:s,s:s,s:I,s:I,s:b,s:i,s:o}", "worker", w->name,
			 "boot", w->boot, "epoch", (json_int_t)cell->epoch,
			 "seq", (json_int_t)w->seq, "leaving", w->leaving,
			 "slots", slots, "tasks", tasks);
}

/* Ends a cell's running tasks when its lease expires. */
static void cell_lease_expired(void *arg)
{
	struct cell *cell = arg;
	struct task *t, *next;

	for (t = TAILQ_FIRST(&cell->worker->order); t; t = next) {
		next = TAILQ_NEXT(t, entry);
		if (t->cell == cell && t->state == RUNNING)
			task_end(t, LAPSED, "");
	}
}

/* Returns the cell of a pool and a data centre; creates it if needed. */
static struct cell *cell_find(struct worker *w, bstr pool, bstr dc)
{
	struct cell *cell;

	TAILQ_FOREACH(cell, &w->cells, entry)
		if (bstr_eq(cell->pool, pool) && bstr_eq(cell->dc, dc))
			return cell;
	cell = xcalloc(1, sizeof(*cell));
	cell->worker = w;
	cell->pool = bstr_copy(pool);
	cell->dc = bstr_copy(dc);
	cell->lease.fire = cell_lease_expired;
	cell->lease.arg = cell;
	TAILQ_INSERT_TAIL(&w->cells, cell, entry);
	return cell;
}

/*
 * Raises the epoch of a pool's cells if the new one is higher.  Returns the
 * highest epoch seen for the pool.
 */
static int64_t pool_raise_epoch(struct worker *w, bstr pool, int64_t epoch)
{
	struct cell *cell;

	TAILQ_FOREACH(cell, &w->cells, entry)
		if (bstr_eq(cell->pool, pool) && cell->epoch > epoch)
			epoch = cell->epoch;
	TAILQ_FOREACH(cell, &w->cells, entry)
		if (bstr_eq(cell->pool, pool))
			cell->epoch = epoch;
	return epoch;
}

/*
 * Checks the epoch of a request and renews the lease of its cell.  Returns NULL
 * if the request was answered with an error.
 */
static struct cell *cell_check_request(struct request *rq)
{
	struct worker *w = rq->server->arg;
	bstr pool = json_ref(rq->json, "pool"), dc = json_ref(rq->json, "dc");
	int64_t epoch = json_int(rq->json, "epoch"), highest;
	int64_t lease = json_int(rq->json, "lease_ms");
	struct cell *cell;

	if (!pool.bstr_len || !dc.bstr_len || epoch < 1 || lease < 1) {
		request_reject(rq, "pool, dc, epoch or lease_ms");
		return NULL;
	}
	highest = pool_raise_epoch(w, pool, epoch);
	if (epoch < highest) {
		request_answer(rq, 409,
			       json_pack("{s:I,s:s}", "epoch",
					 (json_int_t)highest, "boot", w->boot));
		return NULL;
	}
	cell = cell_find(w, pool, dc);
	cell->epoch = epoch;
	timer_set(&cell->lease, rq->received_at + lease);
	return cell;
}

/* Returns true if a start or an order is well formed. */
static bool item_valid(const json_t *item, bool order)
{
	size_t len = json_string_length(json_object_get(item, "task"));
	const char *verb = json_string_value(json_object_get(item, "verb"));
	int64_t percent = json_int(item, "percent");
	bstr bytes;
	bool ok;

	if (!len || len > ID_MAX)
		return false;
	if (order)
		return verb && json_list_has(verbs, verb) && percent >= 0 &&
		       percent <= 100;
	ok = json_bytes(item, "payload", &bytes);
	bstr_free(&bytes);
	return ok;
}

/* Returns true if a list of starts or of orders is well formed. */
static bool list_valid(const json_t *list, bool orders)
{
	const json_t *item;
	size_t i;

	if (list && !json_is_array(list))
		return false;
	if (json_array_size(list) > LIST_LIMIT)
		return false;
	json_array_foreach(list, i, item)
		if (!item_valid(item, orders))
			return false;
	return true;
}

/* POST /v1/command */
static void worker_command(struct request *rq)
{
	const json_t *starts = json_object_get(rq->json, "starts");
	const json_t *orders = json_object_get(rq->json, "orders"), *item;
	json_t *named;
	struct cell *cell;
	struct task *t;
	size_t i;

	if (!list_valid(starts, false) || !list_valid(orders, true)) {
		request_reject(rq, "starts or orders");
		return;
	}
	if (!(cell = cell_check_request(rq)))
		return;
	named = json_array();
	json_array_foreach(starts, i, item)
		json_array_append_new(
			named, task_json(task_handle_start(rq, cell, item)));
	json_array_foreach(orders, i, item)
		if ((t = task_handle_order(cell, item)))
			json_array_append_new(named, task_json(t));
	request_answer(rq, 200, cell_report(cell, named));
}

/* Answers a watch with the tasks that changed since its sequence number. */
static void watch_answer(void *arg)
{
	struct request *rq = arg;
	const struct cell *cell = rq->arg;
	uint64_t since = (uint64_t)json_int(rq->json, "since");
	json_t *changed = json_array();
	const struct task *t;

	TAILQ_FOREACH_REVERSE(t, &cell->worker->order, task_list, entry)
	{
		if (since && t->seq <= since)
			break;
		if (bstr_eq(t->cell->pool, cell->pool))
			json_array_append_new(changed, task_json(t));
	}
	rq->arg = NULL;
	request_answer(rq, 200, cell_report(cell, changed));
}

/* POST /v1/watch */
static void worker_watch(struct request *rq)
{
	int64_t wait = json_int(rq->json, "wait_ms");
	struct cell *cell = cell_check_request(rq);

	if (!cell)
		return;
	rq->arg = cell;
	rq->timer.fire = watch_answer;
	rq->timer.arg = rq;
	if (wait > WAIT_MAX_MS)
		wait = WAIT_MAX_MS;
	if (cell->worker->seq > (uint64_t)json_int(rq->json, "since"))
		watch_answer(rq);
	else
		timer_set(&rq->timer, rq->received_at + wait);
}

/* Frees the slot of a direct run when its request ends. */
static void run_free_slot(struct request *rq)
{
	struct worker *w = rq->server->arg;

	w->used--;
}

/* Timer callback: a direct run is complete. */
static void run_done(void *arg)
{
	request_answer(arg, 200, json_pack("{s:s}", "state", "done"));
}

/*
 * GET /v1/run?sleep_ms=N: runs a task without leases or reports, as a baseline
 * to compare with.
 */
static void worker_run(struct request *rq)
{
	const char *ms = request_query_arg(rq, "sleep_ms");
	struct worker *w = rq->server->arg;

	if (w->used >= slots) {
		request_refuse(rq, 503, REFUSE_MS);
		return;
	}
	w->used++;
	rq->on_free = run_free_slot;
	rq->timer.fire = run_done;
	rq->timer.arg = rq;
	timer_set(&rq->timer,
		  rq->received_at + (ms ? strtoll(ms, NULL, 10) : 0));
}

/*
 * Refuses a worker's requests in mode "refuse".  The control port has no worker
 * and answers 404 to requests for one.
 */
static bool worker_filter(struct request *rq)
{
	const struct worker *w = rq->server->arg;

	if (!rq->route->op || (w && !w->refuse))
		return true;
	if (w)
		request_refuse(rq, 503, REFUSE_MS);
	else
		request_answer(rq, 404, json_object());
	return false;
}

/* Begins a new boot of a worker. */
static void worker_new_boot(struct worker *w)
{
	free(w->boot);
	w->seq = 1; /* a watch since 0 is answered at once */
	w->boot = xasprintf("%s-%d-%u", w->name, (int)getpid(), ++w->boots);
}

/* Restarts a worker: it loses its tasks, tombstones and epochs. */
static void worker_restart(struct worker *w)
{
	struct task *t, *next;
	struct cell *cell;

	server_drop_held(w->server);
	HASH_ITER(hh, w->tasks, t, next) {
		if (t->state == RUNNING)
			log_end(t, LOST);
		task_free(t);
	}
	TAILQ_FOREACH(cell, &w->cells, entry) {
		timer_clear(&cell->lease);
		cell->epoch = 0;
	}
	worker_new_boot(w);
}

/* Suspends a worker: its tasks, lease timers and answers stop. */
static void worker_freeze(struct worker *w)
{
	struct cell *cell;
	struct task *t;

	if (w->server->frozen)
		return;
	server_freeze(w->server);
	TAILQ_FOREACH(cell, &w->cells, entry)
		timer_clear(&cell->lease);
	TAILQ_FOREACH(t, &w->order, entry) {
		timer_clear(&t->timer);
		timer_clear(&t->lag);
		if (t->state == RUNNING)
			task_count_work(t);
	}
}

/*
 * Resumes a frozen worker.  Deadlines that passed meanwhile have expired, as
 * the clock includes the time in which a VM is suspended; so expired leases end
 * their tasks before any request is handled.
 */
static void worker_thaw(struct worker *w)
{
	int64_t now = clock_now();
	struct cell *cell;
	struct task *t, *next;

	if (!w->server->frozen)
		return;
	TAILQ_FOREACH(cell, &w->cells, entry) {
		if (cell->lease.due.due <= now)
			cell_lease_expired(cell);
		else
			timer_set(&cell->lease, cell->lease.due.due);
	}
	for (t = TAILQ_FIRST(&w->order); t; t = next) {
		next = TAILQ_NEXT(t, entry);
		if (t->state != RUNNING) {
			timer_set(&t->timer, t->timer.due.due);
			continue;
		}
		t->counted_at = now;
		task_schedule(t);
		timer_set(&t->lag, now + usage_lag_ms);
	}
	server_thaw(w->server);
}

/* Sets a worker's mode; returns false if the mode is unknown. */
static bool worker_control(struct worker *w, const char *mode)
{
	bool none = !strcmp(mode, "none"), leave = !strcmp(mode, "leave");

	if (!strcmp(mode, "freeze"))
		worker_freeze(w);
	else if (!strcmp(mode, "silent"))
		server_silence(w->server);
	else if (!strcmp(mode, "restart"))
		worker_restart(w);
	else if (!strcmp(mode, "fail-all"))
		w->fail_all = true;
	else if (!strcmp(mode, "refuse"))
		w->refuse = true;
	else if (none)
		w->fail_all = w->refuse = false;
	else if (!leave)
		return false;
	if (none)
		worker_thaw(w);
	if (none || leave) {
		w->leaving = leave;
		worker_wake_watches(w);
	}
	return true;
}

/*
 * Returns true if a request is for a worker: on the worker's own port, or on
 * the control port with its name, or with no names for all workers.
 */
static bool worker_selected(const struct request *rq, const struct worker *w)
{
	if (rq->server->arg)
		return rq->server->arg == w;
	return json_list_has(json_object_get(rq->json, "workers"), w->name);
}

/*
 * Returns true if the request names a boot that isn't the worker's current one.
 */
static bool boot_is_stale(const struct request *rq, const struct worker *w)
{
	const json_t *boot = json_object_get(rq->json, "boot");

	return boot && !bstr_eq_str(json_ref(rq->json, "boot"), w->boot);
}

/*
 * POST /control {"mode", "workers": [names], optional "boot": applies only to
 * this boot}
 */
static void control_mode(struct request *rq)
{
	const char *mode = json_string_value(json_object_get(rq->json, "mode"));
	int i, done = 0, over = 0;

	for (i = 0; mode && i < worker_count; i++) {
		if (!worker_selected(rq, &workers[i]))
			continue;
		if (boot_is_stale(rq, &workers[i]))
			over++;
		else
			done += worker_control(&workers[i], mode);
	}
	if (over)
		request_answer(rq, 409, json_object());
	else if (done)
		request_answer(rq, 200, json_pack("{s:i}", "workers", done));
	else
		request_reject(rq, "mode or workers");
}

/*
 * GET /control/log?after=SEQ: returns the log of task starts, numbered from 1,
 * and the running counts of teams and workers.
 */
static void control_log(struct request *rq)
{
	const char *after = request_query_arg(rq, "after");
	int64_t from = after ? strtoll(after, NULL, 10) : 0;
	json_t *list = json_array(), *by_worker = json_object();
	const struct start_record *rec;
	int k;

	TAILQ_FOREACH(rec, &start_log, entry) {
		if (rec->seq <= from || !worker_selected(rq, rec->worker))
			continue;
		json_array_append_new(
			list, json_pack("{s:I,s:s,s:s,s:i,s:s,s:I,s:I,s:s}",
					"seq", (json_int_t)rec->seq, "worker",
					rec->worker->name, "task", rec->task,
					"boot", (int)rec->boot, "team",
					rec->team ? rec->team : "", "began_ms",
					(json_int_t)rec->started_at, "ended_ms",
					(json_int_t)rec->ended_at, "state",
					state_names[rec->state]));
	}
	for (k = 0; k < worker_count; k++)
		if (worker_selected(rq, &workers[k]))
			json_object_set_new(
				by_worker, workers[k].name,
				running_count_json(workers[k].used,
						   workers[k].peak_used));
	request_answer(rq, 200,
		       json_pack("{s:I,s:o,s:o,s:o}", "seq",
				 (json_int_t)last_start_seq, "starts", list,
				 "teams", json_incref(teams), "workers",
				 by_worker));
}

static const struct route routes[] = {
	{"POST", "/v1/command", "command", worker_command},
	{"POST", "/v1/watch", "watch", worker_watch},
	{"GET", "/v1/run", "run", worker_run},
	{"POST", "/control", NULL, control_mode},
	{"POST", "/control/fault", NULL, control_fault},
	{"GET", "/control/log", NULL, control_log},
	{NULL, NULL, NULL, NULL},
};

int main(int argc, const char **argv)
{
	int seed = 1, i;
	struct poptOption options[] = {
		{"workers", 0, POPT_ARG_INT, &worker_count, 0, "", "N"},
		{"prefix", 0, POPT_ARG_STRING, &prefix, 0, "", "NAME"},
		{"slots", 0, POPT_ARG_INT, &slots, 0, "", "N"},
		{"connections", 0, POPT_ARG_INT, &connections, 0, "", "N"},
		{"usage-lag-ms", 0, POPT_ARG_INT, &usage_lag_ms, 0, "", "N"},
		{"keep-ms", 0, POPT_ARG_INT, &keep_ms, 0, "results", "N"},
		{"seed", 0, POPT_ARG_INT, &seed, 0, "", "S"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext pc = poptGetContext(NULL, argc, argv, options, 0);
	struct worker *w;

	if (poptGetNextOpt(pc) != -1 || poptPeekArg(pc) || !prefix ||
	    worker_count < 1) {
		poptPrintUsage(pc, stderr, 0);
		return 2;
	}
	poptFreeContext(pc);
	standin_seed((uint64_t)seed);
	teams = json_object();
	verbs = json_pack("[s,s,s,s]", "stop", "checkpoint", "throttle",
			  "forget");
	workers = xcalloc((size_t)worker_count, sizeof(*workers));
	for (i = 0; i < worker_count; i++) {
		w = &workers[i];
		w->name = worker_count == 1 ? xstrdup(prefix)
					    : xasprintf("%s-%d", prefix, i + 1);
		TAILQ_INIT(&w->cells);
		TAILQ_INIT(&w->order);
		worker_new_boot(w);
		w->server = server_start(routes, 0, (unsigned)connections,
					 worker_filter, w);
		printf("worker %s port %u\n", w->name, w->server->port);
	}
	printf("control port %u\n",
	       server_start(routes, 0, 64, worker_filter, NULL)->port);
	printf("ready\n");
	fflush(stdout);
	server_loop();
	return 0;
}
