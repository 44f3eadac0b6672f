#include "support-cloud.h"
#include "../heap.h"
#include "../json-read.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

#define API "/bamboofront/"
#define SERVICE "rounds"
#define PAGE_ROWS 500
#define NEED 1000      /* cores of a task, in thousandths */
#define SUBMITS_MAX 64 /* open connections for submissions */
#define TABLES_MAX 8

/* A connection of a daemon; a request is answered once it is complete. */
struct conn {
	int fd;
	struct worker *worker; /* NULL: to the store */
	char *in;
	size_t len, capacity;
	struct heap_node due; /* when a long poll ends */
	char *table;	      /* whose feed is polled, or NULL */
	uint64_t after;
	TAILQ_ENTRY(conn) entry; /* in the list of feed readers */
};

TAILQ_HEAD(conn_list, conn);

/* A run on a worker. */
struct run {
	TAILQ_ENTRY(run) entry;
	struct worker *worker;
	struct heap_node due;
	char task[64];
	uint64_t number;
	uint64_t end_seq; /* 0: it runs */
};

TAILQ_HEAD(run_list, run);

struct worker {
	char id[16];
	int listener;
	uint16_t port;
	int64_t born;
	uint64_t last_end_seq;
	unsigned ended; /* ended runs in the list, not acknowledged */
	struct conn *holder;
	struct run_list runs;
};

/* A row of the store. */
struct row {
	TAILQ_ENTRY(row) entry; /* in its table, by version */
	char *name;		/* TABLE/PART/KEY */
	char *part, *key, *value;
	uint64_t version;
	bool removed;
	UT_hash_handle hh;
};
TAILQ_HEAD(row_list, row);
struct table {
	char *name;
	struct row_list rows;
};

/* A file descriptor of the event loop. */
struct source {
	enum { SOURCE_STORE, SOURCE_WORKER, SOURCE_CONN, SOURCE_SUBMIT } kind;
	struct worker *worker;
	struct conn *conn;
	int fd;
};

struct cloud_counts cloud_counts;
struct cloud_load cloud_load = {1000, 64, 600};

static struct worker *workers;
static unsigned worker_count;
static struct row *rows;
static struct table tables[TABLES_MAX];
static size_t table_count;
static uint64_t version;
static struct conn_list readers = TAILQ_HEAD_INITIALIZER(readers);
static struct heap run_ends, hold_ends, feed_ends;
static int loop;
static struct source store;
static struct source submits[SUBMITS_MAX];
static size_t submit_next;

/* Adds a file descriptor to the event loop. */
static void loop_add(int fd, struct source *s)
{
	struct epoll_event e = {.events = EPOLLIN, .data.ptr = s};

	s->fd = fd;
	if (epoll_ctl(loop, EPOLL_CTL_ADD, fd, &e) != 0)
		abort();
}

/* Listens on a loopback port that the kernel chooses. */
static int listen_any(uint16_t *port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) ||
	    listen(fd, 1024) || getsockname(fd, (struct sockaddr *)&a, &len))
		abort();
	*port = ntohs(a.sin_port);
	return fd;
}

/* Answers a request with a JSON text; a full socket is retried at once. */
static void answer(struct conn *c, int status, const char *json, size_t len)
{
	char *text = xasprintf("HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n",
			       status, len);
	size_t head = strlen(text), sent = 0, n = head + len;
	ssize_t rc;

	text = xrealloc(text, n + 1, 1);
	memcpy(text + head, json, len);
	while (sent < n) {
		rc = send(c->fd, text + sent, n - sent, MSG_NOSIGNAL);
		if (rc < 0 && errno != EAGAIN)
			break;
		sent += rc > 0 ? (size_t)rc : 0;
	}
	free(text);
}

/* Answers with a JSON value, whose reference it takes over. */
static void answer_json(struct conn *c, int status, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	answer(c, status, text, strlen(text));
	free(text);
	json_decref(j);
}

/*
 * Returns the number that follows a name in a JSON text or an HTTP head, or 0
 * if the name is missing.
 */
static uint64_t number_after(const char *json, const char *member)
{
	const char *p = strstr(json, member);

	return p ? strtoull(p + strlen(member), NULL, 10) : 0;
}

/* Copies the JSON string that follows a name, truncated to fit. */
static void text_after(const char *json, const char *member, char *out,
		       size_t capacity)
{
	const char *p = strstr(json, member);
	size_t n = 0;

	if (p)
		for (p += strlen(member); *p && *p != '"' && n + 1 < capacity;
		     p++)
			out[n++] = *p;
	out[n] = '\0';
}

/* Returns a table; creates it if needed. */
static struct table *table_get(const char *name)
{
	size_t i;

	for (i = 0; i < table_count; i++)
		if (!strcmp(tables[i].name, name))
			return &tables[i];
	if (table_count == TABLES_MAX)
		abort();
	tables[table_count].name = xstrdup(name);
	TAILQ_INIT(&tables[table_count].rows);
	return &tables[table_count++];
}

/* Returns the row that a JSON object names; creates it if needed. */
static struct row *row_get(const json_t *j)
{
	const char *table = json_string_value(json_object_get(j, "table"));
	const char *part = json_string_value(json_object_get(j, "part"));
	const char *key = json_string_value(json_object_get(j, "key"));
	char *name = xasprintf("%s/%s/%s", table, part, key);
	struct row *r;

	HASH_FIND_STR(rows, name, r);
	if (r) {
		free(name);
		return r;
	}
	r = xcalloc(1, sizeof(*r));
	r->name = name;
	r->part = xstrdup(part);
	r->key = xstrdup(key);
	r->removed = true;
	HASH_ADD_KEYPTR(hh, rows, r->name, strlen(r->name), r);
	TAILQ_INSERT_TAIL(&table_get(table)->rows, r, entry);
	return r;
}

/* Writes a row at the current version; NULL removes it. */
static void row_put(const json_t *name, const char *value)
{
	struct row *r = row_get(name);
	const char *table = json_string_value(json_object_get(name, "table"));
	struct row_list *list = &table_get(table)->rows;

	free(r->value);
	r->value = value ? xstrdup(value) : NULL;
	r->removed = !value;
	r->version = version;
	TAILQ_REMOVE(list, r, entry);
	TAILQ_INSERT_TAIL(list, r, entry);
}

/*
 * Writes a row on behalf of the operator or of a worker; takes ownership of
 * value.
 */
static void row_publish(const char *table, const char *key, json_t *value)
{
	json_t *name = json_pack("{s:s, s:s, s:s}", "table", table, "part", "",
				 "key", key);
	char *text = json_dumps(value, JSON_COMPACT);
	bstr encoded = base64_encode(bstr_lit(text));
	char *s = bstr_cstr(encoded);

	version++;
	row_put(name, s);
	free(s);
	bstr_free(&encoded);
	free(text);
	json_decref(name);
	json_decref(value);
}

/* Returns the JSON of a row. */
static json_t *row_json(const char *table, const struct row *r)
{
	json_t *j = json_pack("{s:s, s:s, s:s, s:I}", "table", table, "part",
			      r->part, "key", r->key, "record_version",
			      (json_int_t)r->version);

	if (r->removed)
		json_object_set_new(j, "removed", json_true());
	else
		json_object_set_new(j, "value", json_string(r->value));
	return j;
}

/* Answers with rows; takes ownership of the list. */
static void rows_answer(struct conn *c, int status, json_t *list, bool more)
{
	answer_json(c, status,
		    json_pack("{s:o, s:b, s:I, s:I}", "rows", list, "has_more",
			      more, "record_version", (json_int_t)version,
			      "now_ms", (json_int_t)clock_now()));
}

/* Returns the rows of a table that are newer than a version. */
static json_t *rows_newer(const char *table, uint64_t after)
{
	struct row_list *all = &table_get(table)->rows;
	json_t *list = json_array();
	struct row *r;

	for (r = TAILQ_LAST(all, row_list); r && r->version > after;
	     r = TAILQ_PREV(r, row_list, entry))
		json_array_insert_new(list, 0, row_json(table, r));
	return list;
}

/* Ends the long poll of a feed on a connection, if there is one. */
static void reader_remove(struct conn *c)
{
	if (!c->table)
		return;
	TAILQ_REMOVE(&readers, c, entry);
	heap_remove(&feed_ends, &c->due);
	free(c->table);
	c->table = NULL;
}

/* Answers the long polls of feeds that have new rows. */
static void readers_wake(void)
{
	struct conn *c, *next;
	const struct row *last;

	for (c = TAILQ_FIRST(&readers); c; c = next) {
		next = TAILQ_NEXT(c, entry);
		last = TAILQ_LAST(&table_get(c->table)->rows, row_list);
		if (!last || last->version <= c->after)
			continue;
		rows_answer(c, 200, rows_newer(c->table, c->after), false);
		reader_remove(c);
	}
}

/* Copies the decoded value of a query argument, truncated to fit. */
static void query_arg(const char *path, const char *name, char *out,
		      size_t capacity)
{
	const char *p = strstr(path, name);
	size_t n = 0;
	unsigned code;

	for (p = p ? p + strlen(name) : ""; *p && *p != '&' && *p != ' '; p++) {
		if (n + 1 == capacity)
			break;
		if (*p == '%' && sscanf(p + 1, "%2x", &code) == 1) {
			out[n++] = (char)code;
			p += 2;
		} else {
			out[n++] = *p;
		}
	}
	out[n] = '\0';
}

/* Compares rows by key, for qsort(). */
static int row_cmp(const void *a, const void *b)
{
	return strcmp((*(struct row *const *)a)->key,
		      (*(struct row *const *)b)->key);
}

/* GET rows-get: answers with a page of a part of a table, by key. */
static void get_answer(struct conn *c, const char *path)
{
	char table[32], part[32], from[256];
	json_t *list = json_array();
	struct row **found, *r;
	size_t i, n = 0;

	query_arg(path, "table=", table, sizeof(table));
	query_arg(path, "part=", part, sizeof(part));
	query_arg(path, "from=", from, sizeof(from));
	found = xcalloc(HASH_COUNT(rows) + 1, sizeof(struct row *));
	TAILQ_FOREACH(r, &table_get(table)->rows, entry)
		if (!r->removed && !strcmp(r->part, part) &&
		    strcmp(r->key, from) >= 0)
			found[n++] = r;
	qsort(found, n, sizeof(struct row *), row_cmp);
	for (i = 0; i < n && i < PAGE_ROWS; i++)
		json_array_append_new(list, row_json(table, found[i]));
	rows_answer(c, 200, list, n > PAGE_ROWS);
	free(found);
}

/* GET rows-feed: answers with newer rows, at once or in a long poll. */
static void feed_answer(struct conn *c, const char *path)
{
	char table[32], number[32];
	json_t *list;

	query_arg(path, "table=", table, sizeof(table));
	query_arg(path, "after=", number, sizeof(number));
	c->after = strtoull(number, NULL, 10);
	query_arg(path, "wait_ms=", number, sizeof(number));
	list = rows_newer(table, c->after);
	if (json_array_size(list) || !atoi(number)) {
		rows_answer(c, 200, list, false);
		return;
	}
	json_decref(list);
	c->table = xstrdup(table);
	TAILQ_INSERT_TAIL(&readers, c, entry);
	heap_set(&feed_ends, &c->due, clock_now() + atoi(number));
}

/*
 * Returns true if the conditions of a transaction hold; adds the rows that they
 * name to list.
 */
static bool tx_conditions_hold(const json_t *expect, json_t *list)
{
	json_t *name;
	struct row *r;
	bool ok = true;
	size_t i;

	json_array_foreach(expect, i, name) {
		uint64_t want = (uint64_t)json_integer_value(
			json_object_get(name, "record_version"));

		r = row_get(name);
		ok = ok && want == (r->removed ? 0 : r->version);
		json_array_append_new(
			list, row_json(json_string_value(
					       json_object_get(name, "table")),
				       r));
	}
	return ok;
}

/*
 * POST rows-tx: applies all writes of a transaction, or none if a condition
 * fails.
 */
static void tx_answer(struct conn *c, const char *body)
{
	json_t *j = json_loads(body, 0, NULL), *list = json_array(), *name;
	size_t i;

	if (!tx_conditions_hold(json_object_get(j, "expected_revision"),
				list)) {
		rows_answer(c, 412, list, false);
		json_decref(j);
		return;
	}
	version++;
	json_array_foreach(json_object_get(j, "writes"), i, name)
		row_put(name,
			json_string_value(json_object_get(name, "value")));
	json_array_foreach(json_object_get(j, "remove"), i, name)
		row_put(name, NULL);
	json_array_clear(list);
	rows_answer(c, 200, list, false);
	json_decref(j);
	readers_wake();
}

/* Handles a request to the store. */
static void store_answer(struct conn *c, const char *path, const char *body)
{
	cloud_counts.calls++;
	if (strstr(path, API "rows-tx"))
		tx_answer(c, body);
	else if (strstr(path, API "rows-get"))
		get_answer(c, path);
	else if (strstr(path, API "rows-feed"))
		feed_answer(c, path);
	else
		answer_json(c, 200, json_pack("{s:[]}", "machines"));
}

/* Returns a worker's clock, which starts at 1. */
static int64_t worker_clock(const struct worker *w)
{
	return clock_now() - w->born + 1;
}

/*
 * Answers with a worker's lists of running and ended runs, and ends its hold.
 */
static void lists_answer(struct conn *c, struct worker *w)
{
	char *text = xasprintf("{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64
			       ",\"running\":[",
			       worker_clock(w), w->born);
	size_t len = strlen(text), capacity = len + 128;
	const char *comma = "";
	struct run *r;
	int pass;

	for (pass = 0; pass < 2; pass++) {
		TAILQ_FOREACH(r, &w->runs, entry) {
			if (!r->end_seq != !pass)
				continue;
			cloud_counts.listed_runs += !pass;
			if (capacity - len < 256) {
				capacity = 2 * capacity + 256;
			}
			text = xrealloc(text, capacity, 1);
			if (r->end_seq)
				len += (size_t)sprintf(
					text + len,
					"%s[%" PRIu64 ",\"%s\",%" PRIu64
					",\"done\",\"\"]",
					comma, r->end_seq, r->task, r->number);
			else
				len += (size_t)sprintf(
					text + len,
					"%s[\"%s\",%" PRIu64 ",\"\",100,0]",
					comma, r->task, r->number);
			comma = ",";
		}
		text = xrealloc(text, capacity, 1);
		if (capacity - len < 64) {
			capacity += 64;
			text = xrealloc(text, capacity, 1);
		}
		len += (size_t)sprintf(text + len, "%s",
				       pass ? "]}" : "],\"ended\":[");
		comma = "";
	}
	cloud_counts.listed += w->ended;
	answer(c, 200, text, len);
	free(text);
	heap_remove(&hold_ends, &c->due);
	if (w->holder == c)
		w->holder = NULL;
}

/* Frees the ended runs that were acknowledged. */
static void ends_acknowledge(struct worker *w, uint64_t seen)
{
	struct run *r, *next;

	for (r = TAILQ_FIRST(&w->runs); r; r = next) {
		next = TAILQ_NEXT(r, entry);
		if (!r->end_seq || r->end_seq > seen)
			continue;
		TAILQ_REMOVE(&w->runs, r, entry);
		w->ended--;
		free(r);
	}
}

/*
 * Handles a request to a worker: a hold, or a start or stop, which are answered
 * with the worker's clock.
 */
static void worker_answer(struct conn *c, const char *path, const char *body)
{
	struct worker *w = c->worker;
	char number[32];
	struct run *r;

	if (strstr(path, API "hold")) {
		cloud_counts.holds++;
		ends_acknowledge(w, number_after(body, "\"last_seen\":"));
		if (w->ended || !number_after(body, "\"wait_ms\":")) {
			lists_answer(c, w);
			return;
		}
		w->holder = c;
		heap_set(&hold_ends, &c->due,
			 clock_now() +
				 (int64_t)number_after(body, "\"wait_ms\":"));
		return;
	}
	if (strstr(path, API "run-start")) {
		cloud_counts.starts++;
		r = xcalloc(1, sizeof(*r));
		r->worker = w;
		text_after(body, "\"task\":\"", r->task, sizeof(r->task));
		r->number = number_after(body, "\"run\":");
		text_after(body, "\"specification\":\"", number,
			   sizeof(number));
		TAILQ_INSERT_TAIL(&w->runs, r, entry);
		heap_set(&run_ends, &r->due,
			 clock_now() + strtol(number, NULL, 10));
	}
	answer_json(
		c, 200,
		json_pack("{s:I}", "clock_ms", (json_int_t)worker_clock(w)));
}

/* Closes a connection. */
static void conn_close(struct source *s)
{
	struct conn *c = s->conn;

	reader_remove(c);
	heap_remove(&hold_ends, &c->due);
	if (c->worker && c->worker->holder == c)
		c->worker->holder = NULL;
	close(c->fd);
	free(c->in);
	free(c);
	free(s);
}

/* Answers the complete requests that a connection has sent. */
static void conn_serve(struct conn *c)
{
	char *head_end, *body, save;
	size_t length, used;

	while ((head_end = memmem(c->in, c->len, "\r\n\r\n", 4))) {
		body = head_end + 4;
		*head_end = '\0';
		length = number_after(c->in, "Content-Length: ");
		*head_end = '\r';
		used = (size_t)(body - c->in) + length;
		if (c->len < used)
			return;
		save = c->in[used];
		c->in[used] = '\0';
		*head_end = '\0';
		if (c->worker)
			worker_answer(c, c->in, body);
		else
			store_answer(c, c->in, body);
		c->in[used] = save;
		memmove(c->in, c->in + used, c->len - used);
		c->len -= used;
	}
}

/* Reads from a connection; closes it at its end. */
static void conn_read(struct source *s)
{
	struct conn *c = s->conn;
	ssize_t n;

	if (c->capacity - c->len < 65536) {
		c->capacity = c->len + 131072;
		c->in = xrealloc(c->in, c->capacity + 1, 1);
	}
	n = recv(c->fd, c->in + c->len, c->capacity - c->len, 0);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		conn_close(s);
		return;
	}
	c->len += (size_t)n;
	conn_serve(c);
}

/* Accepts a connection to the store or to a worker. */
static void conn_accept(const struct source *s)
{
	int fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct source *cs;

	if (fd < 0)
		return;
	cs = xcalloc(1, sizeof(*cs));
	cs->kind = SOURCE_CONN;
	cs->conn = xcalloc(1, sizeof(*cs->conn));
	cs->conn->fd = fd;
	cs->conn->worker = s->worker;
	loop_add(fd, cs);
}

/* Counts the answers to submitted jobs by their status. */
static void submit_read(const struct source *s)
{
	char text[4096];
	ssize_t n = recv(s->fd, text, sizeof(text) - 1, 0);
	const char *p;

	if (n <= 0) {
		if (n == 0 || errno != EAGAIN)
			abort(); /* the daemon has ended */
		return;
	}
	text[n] = '\0';
	for (p = text; (p = strstr(p, "HTTP/1.1 ")); p += 9) {
		if (p[9] == '2')
			cloud_counts.accepted++;
		else
			cloud_counts.refused++;
	}
}

/* Submits a job on the next of the open connections. */
static void job_submit(void)
{
	struct source *s = &submits[submit_next++ % SUBMITS_MAX];
	char *body = xasprintf("{\"specification\":\"%d"
			       "\",\"steps\":[{\"count\":%d,\"cpu\":%d,"
			       "\"estimated_ms\":%d}]}",
			       cloud_load.task_ms, CLOUD_TASKS_PER_JOB, NEED,
			       cloud_load.task_ms);
	char *text = xasprintf("POST /r/%016" PRIx64
			       " HTTP/1.1\r\nHost: h\r\nContent-Type: "
			       "application/json\r\nX-Deadline-Remaining-Ms: "
			       "5000\r\nContent-Length: %zu\r\n\r\n%s",
			       ++cloud_counts.submitted * 0x9E3779B97F4A7C15u,
			       strlen(body), body);

	if (send(s->fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		abort();
	free(text);
	free(body);
}

/* Ends the runs, holds and long polls of feeds that are due. */
static void timers_run(void)
{
	struct heap_node *n;
	struct conn *c;
	struct run *r;

	while ((n = heap_first(&run_ends)) && n->due <= clock_now()) {
		heap_remove(&run_ends, n);
		r = HEAP_ENTRY(n, struct run, due);
		r->end_seq = ++r->worker->last_end_seq;
		r->worker->ended++;
		cloud_counts.ends++;
		if (r->worker->holder)
			lists_answer(r->worker->holder, r->worker);
	}
	while ((n = heap_first(&hold_ends)) && n->due <= clock_now()) {
		c = HEAP_ENTRY(n, struct conn, due);
		lists_answer(c, c->worker);
	}
	while ((n = heap_first(&feed_ends)) && n->due <= clock_now()) {
		c = HEAP_ENTRY(n, struct conn, due);
		rows_answer(c, 200, json_array(), false);
		reader_remove(c);
	}
}

/*
 * Runs the event loop for ms milliseconds and submits jobs at a rate of tasks
 * per second.
 */
void cloud_serve(int64_t ms, unsigned rate)
{
	struct epoll_event events[256];
	int64_t from = clock_now(), until = from + ms;
	int64_t sent = 0, due;
	struct source *s;
	int i, n;

	while (clock_now() < until) {
		due = (clock_now() - from) * rate / CLOUD_TASKS_PER_JOB / 1000;
		for (; sent < due; sent++)
			job_submit();
		timers_run();
		n = epoll_wait(loop, events, NELEMS(events), 2);
		for (i = 0; i < n; i++) {
			s = events[i].data.ptr;
			switch (s->kind) {
			case SOURCE_STORE:
			case SOURCE_WORKER:
				conn_accept(s);
				break;
			case SOURCE_CONN:
				conn_read(s);
				break;
			case SOURCE_SUBMIT:
				submit_read(s);
				break;
			}
		}
	}
}

/* Opens the connections for submissions to an entry VM. */
void cloud_submitters_connect(uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int i, fd;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (i = 0; i < SUBMITS_MAX; i++) {
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (connect(fd, (struct sockaddr *)&a, sizeof(a)))
			abort();
		fcntl(fd, F_SETFL, O_NONBLOCK);
		submits[i].kind = SOURCE_SUBMIT;
		loop_add(fd, &submits[i]);
	}
}

/* Starts the workers and writes their rows. */
static void workers_start(void)
{
	struct source *s;
	struct worker *w;
	char *address;
	unsigned i;

	workers = xcalloc(worker_count, sizeof(*workers));
	for (i = 0; i < worker_count; i++) {
		w = &workers[i];
		TAILQ_INIT(&w->runs);
		snprintf(w->id, sizeof(w->id), "w%05u", i);
		w->born = clock_now();
		w->listener = listen_any(&w->port);
		s = xcalloc(1, sizeof(*s));
		s->kind = SOURCE_WORKER;
		s->worker = w;
		loop_add(w->listener, s);
		address = xasprintf("127.0.0.1:%u", w->port);
		row_publish(
			"servers", w->id,
			json_pack("{s:s, s:s, s:s, s:s, s:{s:i, s:i, s:i}, "
				  "s:[s], s:I}",
				  "service", SERVICE, "address", address,
				  "zone", "east", "state", "ready", "capacity",
				  "cpu", cloud_load.slots * NEED,
				  "requested_memory_mb", 65536, "gpus", 0,
				  "labels", "r1", "born", (json_int_t)w->born));
		free(address);
	}
}

/* Writes the configuration: one public queue of one service. */
static void config_publish(void)
{
	row_publish(
		"op", "config",
		json_pack("{s:i, s:[{s:s, s:s, s:s, s:s, s:b, s:i, s:i, s:f, "
			  "s:i}], s:[{s:s, s:b}], s:[]}",
			  "version", 1, "routes", "name", "r", "host", "h",
			  "path_prefix", "/r/", "service", SERVICE, "public", 1,
			  "priority", 0, "max_attempts", 3, "stretch", 1.0,
			  "target_latency_ms", cloud_load.objective_ms,
			  "services", "name", SERVICE, "admission_check", 1,
			  "tenants"));
}

/*
 * Starts the platform with a number of workers; returns the port of its store.
 */
uint16_t cloud_start(unsigned count)
{
	uint16_t port;

	worker_count = count;
	loop = epoll_create1(EPOLL_CLOEXEC);
	if (loop < 0)
		abort();
	store.kind = SOURCE_STORE;
	loop_add(listen_any(&port), &store);
	config_publish();
	workers_start();
	return port;
}
