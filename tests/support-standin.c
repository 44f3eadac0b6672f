#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <libgen.h>
#include <limits.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define BODY_MAX (8u << 20)
#define SWEEP_MS 250

struct fault {
	TAILQ_ENTRY(fault) entry;
	enum fault_mode mode;
	int64_t ms;
	double share;
	json_t *ops;  /* NULL: all */
	json_t *from; /* NULL: from everywhere */
};

static int loop_epoll = -1;
static struct heap timers;
static TAILQ_HEAD(, server) servers = TAILQ_HEAD_INITIALIZER(servers);
static TAILQ_HEAD(, fault) faults = TAILQ_HEAD_INITIALIZER(faults);
static uint64_t random_state = 0x9e3779b97f4a7c15;

/* Seeds the random numbers of a stand-in. */
void standin_seed(uint64_t seed)
{
	random_state = seed * 2 + 1;
}

/* Draws a random number below a bound (splitmix64). */
uint32_t standin_random(uint32_t below)
{
	uint64_t z = random_next(&random_state);

	return below ? (uint32_t)(z % below) : 0;
}

/* Sets a timer, or changes its deadline. */
void timer_set(struct timer *t, int64_t deadline)
{
	heap_set(&timers, &t->due, deadline);
}

/* Cancels a timer. */
void timer_clear(struct timer *t)
{
	heap_remove(&timers, &t->due);
}

/*
 * Fires the timers that are due.  Returns the ms until the next one, at most
 * 1000, or -1 if there is none.
 */
static int timer_run(void)
{
	int64_t now = clock_now();
	struct heap_node *n;
	struct timer *t;

	while ((n = heap_first(&timers)) && n->due <= now) {
		t = HEAP_ENTRY(n, struct timer, due);
		timer_clear(t);
		t->fire(t->arg);
	}
	if (!n)
		return -1;
	return n->due - now > 1000 ? 1000 : (int)(n->due - now);
}

/* Resumes the connection of a held request. */
static void request_resume(struct request *rq)
{
	if (!rq->held || rq->connection->silent)
		return;
	if (rq->server->frozen && rq->route && rq->route->op && !rq->drop)
		return; /* server_thaw() resumes it */
	TAILQ_REMOVE(&rq->server->held, rq, entry);
	rq->held = false;
	rq->server->needs_run = true;
	MHD_resume_connection(rq->conn);
}

/* Closes a request's connection without an answer. */
void request_drop(struct request *rq)
{
	timer_clear(&rq->timer);
	rq->drop = rq->answered = true;
	request_resume(rq);
}

/* Answers with a copy of len bytes; only the first answer counts. */
void request_answer_bytes(struct request *rq, unsigned status, const void *p,
			  size_t len)
{
	if (rq->answered)
		return;
	timer_clear(&rq->timer);
	rq->answered = true;
	rq->status = status;
	rq->answer = xmalloc(len);
	if (len)
		memcpy(rq->answer, p, len);
	rq->answer_len = len;
	rq->drop = rq->fault == FAULT_LOSE;
	request_resume(rq);
}

/* Answers with a JSON value, whose reference it takes over. */
void request_answer(struct request *rq, unsigned status, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	request_answer_bytes(rq, status, text ? text : "{}",
			     text ? strlen(text) : 2);
	free(text);
	json_decref(j);
}

/* Answers that nothing was done, with the time after which to retry. */
void request_refuse(struct request *rq, unsigned status, int64_t retry_ms)
{
	snprintf(rq->retry_after, sizeof(rq->retry_after), "%.3f",
		 (double)retry_ms / 1000);
	request_answer(rq, status, json_pack("{s:s}", "error", "refused"));
}

/* Answers 400 for a malformed request. */
void request_reject(struct request *rq, const char *what)
{
	request_answer(rq, 400, json_pack("{s:s}", "error", what));
}

/* Returns an argument of the query, or NULL. */
const char *request_query_arg(struct request *rq, const char *name)
{
	return MHD_lookup_connection_value(rq->conn, MHD_GET_ARGUMENT_KIND,
					   name);
}

/* Returns a reference to a string member; empty if it is missing. */
bstr json_ref(const json_t *j, const char *name)
{
	const json_t *s = json_object_get(j, name);

	return json_is_string(s)
		       ? bstr_ref(json_string_value(s), json_string_length(s))
		       : BSTR_NONE;
}

/* Decodes a base64 member; returns false if it is invalid. */
bool json_bytes(const json_t *j, const char *name, bstr *bytes)
{
	return base64_decode(json_ref(j, name), bytes);
}

/* Returns an integer member, or 0 if it is missing. */
int64_t json_int(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

/* Returns true if a string is in a list, or if the list is NULL. */
bool json_list_has(const json_t *list, const char *s)
{
	const json_t *item;
	size_t i;

	if (!list)
		return true;
	json_array_foreach(list, i, item)
		if (json_is_string(item) && !strcmp(json_string_value(item), s))
			return true;
	return false;
}

/* Returns the fault that applies to a request, or NULL. */
static const struct fault *fault_find(struct request *rq)
{
	const union MHD_ConnectionInfo *info;
	char from[INET_ADDRSTRLEN] = "";
	const struct fault *f;

	if (!rq->route->op || TAILQ_EMPTY(&faults))
		return NULL;
	info = MHD_get_connection_info(rq->conn,
				       MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	if (info && info->client_addr->sa_family == AF_INET)
		inet_ntop(AF_INET,
			  &((struct sockaddr_in *)(void *)info->client_addr)
				   ->sin_addr,
			  from, sizeof(from));
	TAILQ_FOREACH(f, &faults, entry)
		if (json_list_has(f->ops, rq->route->op) &&
		    json_list_has(f->from, from) &&
		    standin_random(1u << 20) < f->share * (1u << 20))
			return f;
	return NULL;
}

/* Adds a fault; returns false if it is malformed. */
static bool fault_add(const json_t *j)
{
	static const char *const modes[] = {"none",   "down", "refuse",
					    "slow",   "lose", "truncate",
					    "garbage"};
	const char *mode = json_string_value(json_object_get(j, "mode"));
	json_t *share = json_object_get(j, "share");
	struct fault *f;
	size_t i;

	for (i = 0; mode && i < NELEMS(modes); i++) {
		if (strcmp(mode, modes[i]) != 0)
			continue;
		if (!i)
			return true;
		f = xcalloc(1, sizeof(*f));
		f->mode = (enum fault_mode)i;
		f->ms = json_integer_value(json_object_get(j, "ms"));
		f->share = share ? json_number_value(share) : 1;
		f->ops = json_incref(json_object_get(j, "ops"));
		f->from = json_incref(json_object_get(j, "from"));
		TAILQ_INSERT_TAIL(&faults, f, entry);
		return true;
	}
	return false;
}

/*
 * POST /control/fault: replaces the injected faults; requests that a fault left
 * without an answer are dropped.
 */
void control_fault(struct request *caller)
{
	const json_t *j = caller->json;
	struct request *rq, *next;
	struct server *sv;
	struct fault *f;
	json_t *item;
	bool ok = true;
	size_t i;

	while ((f = TAILQ_FIRST(&faults))) {
		TAILQ_REMOVE(&faults, f, entry);
		json_decref(f->ops);
		json_decref(f->from);
		free(f);
	}
	TAILQ_FOREACH(sv, &servers, entry)
		for (rq = TAILQ_FIRST(&sv->held); rq; rq = next) {
			next = TAILQ_NEXT(rq, entry);
			if (rq->fault == FAULT_DOWN)
				request_drop(rq);
		}
	if (json_is_object(j))
		ok = fault_add(j);
	json_array_foreach(j, i, item)
		ok = fault_add(item) && ok;
	if (ok)
		request_answer(caller, 200, json_object());
	else
		request_reject(caller, "mode");
}

/* Calls the handler of a request's route, unless the filter answers it. */
static void request_handle(void *arg)
{
	struct request *rq = arg;

	if (!rq->server->filter || rq->server->filter(rq))
		rq->route->handle(rq);
}

/*
 * Returns the route of a request; without one, returns NULL and sets *status to
 * 404 or 405.
 */
static const struct route *request_route(const struct request *rq, int *status)
{
	const struct route *r;
	size_t len;

	*status = 404;
	for (r = rq->server->routes; r->method; r++) {
		len = strlen(r->path);
		if (r->path[len - 1] != '/')
			len++; /* include the NUL: an exact match */
		if (strncmp(rq->path, r->path, len) != 0)
			continue;
		if (!strcmp(rq->method, r->method))
			return r;
		*status = 405;
	}
	return NULL;
}

/* Routes a complete request, or applies a fault to it. */
static void request_dispatch(struct request *rq)
{
	const struct fault *f;
	int status;

	rq->dispatched = true;
	if (rq->connection->silent)
		return;
	if (!(rq->route = request_route(rq, &status))) {
		request_answer(rq, (unsigned)status,
			       json_pack("{s:s}", "error", "no such path"));
		return;
	}
	if (rq->server->frozen && rq->route->op) {
		rq->dispatched = false;
		return;
	}
	if (!strcmp(rq->method, "POST") &&
	    !(rq->json = json_loadb(rq->body, rq->body_len, 0, NULL))) {
		request_reject(rq, "not JSON");
		return;
	}
	f = fault_find(rq);
	rq->fault = f ? f->mode : FAULT_NONE;
	rq->timer.fire = request_handle;
	rq->timer.arg = rq;
	if (rq->fault == FAULT_REFUSE)
		request_refuse(rq, 503, f->ms ? f->ms : 100);
	else if (rq->fault == FAULT_SLOW)
		timer_set(&rq->timer, clock_now() + f->ms);
	else if (rq->fault != FAULT_DOWN)
		request_handle(rq);
}

/* Sends half of an answer, then fails, which closes the connection. */
static ssize_t answer_half(void *arg, uint64_t pos, char *buf, size_t max)
{
	const struct request *rq = arg;
	size_t half = rq->answer_len / 2;

	if (pos >= half)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (max > half - pos)
		max = half - pos;
	memcpy(buf, rq->answer + pos, max);
	return (ssize_t)max;
}

/* Queues the answer of a request. */
static enum MHD_Result request_reply(struct request *rq)
{
	struct MHD_Response *rs;
	enum MHD_Result ok;

	if (rq->drop)
		return MHD_NO;
	if (rq->fault == FAULT_GARBAGE && rq->answer_len)
		memset(rq->answer, '{', rq->answer_len);
	if (rq->fault == FAULT_TRUNCATE)
		rs = MHD_create_response_from_callback(rq->answer_len, 65536,
						       answer_half, rq, NULL);
	else
		rs = MHD_create_response_from_buffer(rq->answer_len, rq->answer,
						     MHD_RESPMEM_PERSISTENT);
	MHD_add_response_header(rs, "Content-Type", "application/json");
	if (*rq->retry_after)
		MHD_add_response_header(rs, "Retry-After", rq->retry_after);
	ok = MHD_queue_response(rq->conn, rq->status, rs);
	MHD_destroy_response(rs);
	return ok;
}

/*
 * libmicrohttpd calls this for the head of a request, each part of the body,
 * its end, and after a resumption.
 */
static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **ctx)
{
	struct request *rq = *ctx;

	(void)version;
	if (!rq) {
		*ctx = rq = xcalloc(1, sizeof(*rq));
		rq->server = cls;
		rq->conn = conn;
		rq->connection = MHD_get_connection_info(
					 conn,
					 MHD_CONNECTION_INFO_SOCKET_CONTEXT)
					 ->socket_context;
		rq->method = xstrdup(method);
		rq->path = xstrdup(url);
		return MHD_YES;
	}
	if (*size) {
		if (rq->body_len + *size > BODY_MAX)
			return MHD_NO;
		rq->body = xrealloc(rq->body, rq->body_len + *size, 1);
		memcpy(rq->body + rq->body_len, data, *size);
		rq->body_len += *size;
		*size = 0;
		return MHD_YES;
	}
	if (!rq->received_at) {
		rq->received_at = clock_now();
		request_dispatch(rq);
	}
	if (rq->answered)
		return request_reply(rq);
	rq->held = true;
	TAILQ_INSERT_TAIL(&rq->server->held, rq, entry);
	MHD_suspend_connection(conn);
	return MHD_YES;
}

/* libmicrohttpd calls this when a request ends, answered or not. */
static void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct request *rq = *ctx;

	(void)cls, (void)conn, (void)code;
	if (!rq)
		return;
	*ctx = NULL;
	if (rq->on_free)
		rq->on_free(rq);
	timer_clear(&rq->timer);
	if (rq->held)
		TAILQ_REMOVE(&rq->server->held, rq, entry);
	json_decref(rq->json);
	free(rq->method);
	free(rq->path);
	free(rq->body);
	free(rq->answer);
	free(rq);
}

/* libmicrohttpd calls this when a connection opens or closes. */
static void on_connection(void *cls, struct MHD_Connection *conn, void **ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct server *sv = cls;
	struct connection *link = *ctx;

	(void)conn;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		*ctx = link = xcalloc(1, sizeof(*link));
		link->server = sv;
		TAILQ_INSERT_TAIL(&sv->connections, link, entry);
		sv->connection_count++;
		return;
	}
	TAILQ_REMOVE(&sv->connections, link, entry);
	sv->connection_count--;
	free(link);
}

/* libmicrohttpd asks whether to accept a connection. */
static enum MHD_Result on_accept(void *cls, const struct sockaddr *addr,
				 socklen_t len)
{
	const struct server *sv = cls;

	(void)addr, (void)len;
	return sv->connection_count < sv->max_connections ? MHD_YES : MHD_NO;
}

/*
 * Drops held requests whose client has closed the connection. libmicrohttpd
 * doesn't read a suspended connection and so doesn't notice; without this a
 * worker would count such connections against its limit for ever and refuse the
 * client's new ones.
 */
static void server_sweep(void *arg)
{
	struct request *rq, *next;
	struct server *sv = arg;
	static struct timer sweep;
	char c;

	TAILQ_FOREACH(sv, &servers, entry)
		for (rq = TAILQ_FIRST(&sv->held); rq; rq = next) {
			int fd = MHD_get_connection_info(
					 rq->conn,
					 MHD_CONNECTION_INFO_CONNECTION_FD)
					 ->connect_fd;
			ssize_t n = recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);

			next = TAILQ_NEXT(rq, entry);
			if (n > 0 || (n < 0 && errno == EAGAIN))
				continue;
			rq->connection->silent = false;
			request_drop(rq);
		}
	sweep.fire = server_sweep;
	timer_set(&sweep, clock_now() + SWEEP_MS);
}

/* Starts a server on 127.0.0.1; with port 0 the kernel chooses one. */
struct server *server_start(const struct route *routes, uint16_t port,
			    unsigned max_connections,
			    bool (*filter)(struct request *rq), void *arg)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(port)};
	struct server *sv = xcalloc(1, sizeof(*sv));
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = sv};

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sv->routes = routes;
	sv->filter = filter;
	sv->arg = arg;
	sv->max_connections = max_connections;
	TAILQ_INIT(&sv->connections);
	TAILQ_INIT(&sv->held);
	sv->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, on_accept, sv,
		on_request, sv, MHD_OPTION_SOCK_ADDR, &addr,
		MHD_OPTION_CONNECTION_LIMIT, max_connections + 16,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, sv,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024u, MHD_OPTION_END);
	if (!sv->daemon) {
		perror("stand-in: listen");
		exit(1);
	}
	sv->port = MHD_get_daemon_info(sv->daemon, MHD_DAEMON_INFO_BIND_PORT)
			   ->port;
	if (loop_epoll < 0) {
		loop_epoll = epoll_create1(EPOLL_CLOEXEC);
		server_sweep(NULL);
	}
	epoll_ctl(loop_epoll, EPOLL_CTL_ADD,
		  MHD_get_daemon_info(sv->daemon, MHD_DAEMON_INFO_EPOLL_FD)
			  ->epoll_fd,
		  &ev);
	TAILQ_INSERT_TAIL(&servers, sv, entry);
	return sv;
}

/* Stops answering on the open connections; new ones are answered. */
void server_silence(struct server *sv)
{
	struct connection *link;

	TAILQ_FOREACH(link, &sv->connections, entry)
		link->silent = true;
}

/* Stops answering, except on /control, until server_thaw(). */
void server_freeze(struct server *sv)
{
	sv->frozen = true;
}

/*
 * Handles the requests that arrived while frozen and sends the answers that
 * were held back.
 */
void server_thaw(struct server *sv)
{
	struct request *rq, *next;

	sv->frozen = false;
	for (rq = TAILQ_FIRST(&sv->held); rq; rq = next) {
		next = TAILQ_NEXT(rq, entry);
		if (!rq->dispatched)
			request_dispatch(rq);
		else if (rq->answered)
			request_resume(rq);
	}
}

/* Drops all requests that wait for their answers. */
void server_drop_held(struct server *sv)
{
	struct request *rq, *next;

	for (rq = TAILQ_FIRST(&sv->held); rq; rq = next) {
		next = TAILQ_NEXT(rq, entry);
		request_drop(rq);
	}
}

/* Runs a server until it has nothing more to do. */
static void server_run(struct server *sv)
{
	MHD_UNSIGNED_LONG_LONG wait;

	do {
		sv->needs_run = false;
		MHD_run(sv->daemon);
	} while (sv->needs_run ||
		 (MHD_get_timeout(sv->daemon, &wait) == MHD_YES && !wait));
}

/* Runs the event loop; never returns. */
void server_loop(void)
{
	struct epoll_event evs[64];
	struct server *sv;
	int i, n;

	signal(SIGPIPE, SIG_IGN);
	for (;;) {
		n = epoll_wait(loop_epoll, evs, NELEMS(evs), timer_run());
		for (i = 0; i < n; i++)
			server_run(evs[i].data.ptr);
		timer_run();
		TAILQ_FOREACH(sv, &servers, entry)
			if (sv->needs_run)
				server_run(sv);
	}
}

/* Reads the ports that a stand-in prints when it listens. */
static void standin_read(struct standin *si, FILE *out)
{
	char line[256], name[200];
	unsigned port;

	while (fgets(line, sizeof(line), out) && strcmp(line, "ready\n") != 0) {
		if (sscanf(line, "worker %199s port %u", name, &port) == 2) {
			si->workers = xrealloc(si->workers,
					       si->worker_count + 1,
					       sizeof(*si->workers));
			si->workers[si->worker_count].name = xstrdup(name);
			si->workers[si->worker_count++].port = (uint16_t)port;
		} else if (sscanf(line, "control port %u", &port) == 1) {
			si->port = (uint16_t)port;
		} else if (sscanf(line, "port %u", &port) == 1) {
			si->port = (uint16_t)port;
			return;
		}
	}
}

/* Starts a stand-in from the directory of the running program. */
void standin_start(struct standin *si, const char *program,
		   const char *const *args)
{
	char self[PATH_MAX] = "", *path;
	const char *argv[32] = {program};
	int fds[2];
	size_t i;
	FILE *out;

	memset(si, 0, sizeof(*si));
	if (readlink("/proc/self/exe", self, sizeof(self) - 1) < 0 || pipe(fds))
		abort();
	path = xasprintf("%s/%s", dirname(self), program);
	for (i = 0; args && args[i] && i + 2 < NELEMS(argv); i++)
		argv[i + 1] = args[i];
	si->pid = fork();
	if (!si->pid) {
		/* The kernel kills the stand-in if the test crashes. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fds[1], STDOUT_FILENO);
		close(fds[0]);
		close(fds[1]);
		execv(path, (char *const *)(void *)argv);
		_exit(127);
	}
	close(fds[1]);
	free(path);
	out = fdopen(fds[0], "r");
	if (!out)
		abort();
	standin_read(si, out);
	fclose(out);
	if (!si->port) {
		fprintf(stderr, "%s did not start\n", program);
		abort();
	}
}

/* Kills a stand-in and frees its data. */
void standin_stop(struct standin *si)
{
	kill(si->pid, SIGKILL);
	waitpid(si->pid, NULL, 0);
	while (si->worker_count)
		free(si->workers[--si->worker_count].name);
	free(si->workers);
	memset(si, 0, sizeof(*si));
}

/* Returns a port of 127.0.0.1 that was free a moment ago. */
uint16_t port_choose(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) ||
	    getsockname(fd, (struct sockaddr *)&a, &len))
		abort();
	close(fd);
	return ntohs(a.sin_port);
}

/*
 * Connects to a port of this host, from a given local address if from is not
 * NULL.
 */
int http_connect(uint16_t port, const char *from)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (from && (inet_pton(AF_INET, from, &addr.sin_addr) != 1 ||
		     bind(fd, (struct sockaddr *)&addr, sizeof(addr))))
		abort();
	addr.sin_port = htons(port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Sends a request, with an organisation's key if it is not NULL. */
bool http_send_as(int fd, const char *key, const char *method, const char *path,
		  const char *body)
{
	char *text = xasprintf("%s %s HTTP/1.1\r\nHost: x\r\n%s%s%s"
			       "Content-Length: %zu\r\n\r\n%s",
			       method, path,
			       key ? "Authorization: Bearer " : "",
			       key ? key : "", key ? "\r\n" : "",
			       body ? strlen(body) : 0, body ? body : "");
	size_t len = strlen(text), done = 0;
	ssize_t n = 0;

	while (done < len &&
	       (n = send(fd, text + done, len - done, MSG_NOSIGNAL)) > 0)
		done += (size_t)n;
	free(text);
	return done == len;
}

/* Sends a request without a key. */
bool http_send(int fd, const char *method, const char *path, const char *body)
{
	return http_send_as(fd, NULL, method, path, body);
}

/*
 * Receives an answer with its head; returns its status, or 0 if the connection
 * ends first.
 */
int http_recv(int fd, char **text)
{
	size_t len = 0, capacity = 4096, want = 0;
	char *buf = xmalloc(capacity + 1), *end = NULL, *p;
	ssize_t n;

	*text = NULL;
	while (!end || len < want) {
		if (len == capacity)
			buf = xrealloc(buf, (capacity *= 2) + 1, 1);
		n = recv(fd, buf + len, capacity - len, 0);
		if (n <= 0) {
			free(buf);
			return 0;
		}
		len += (size_t)n;
		buf[len] = '\0';
		if (end || !(end = strstr(buf, "\r\n\r\n")))
			continue;
		p = strcasestr(buf, "\r\nContent-Length:");
		want = (size_t)(end + 4 - buf);
		if (p && p < end)
			want += strtoul(p + 17, NULL, 10);
	}
	*text = buf;
	return (int)strtol(buf + 9, NULL, 10);
}

/* Returns true if there is nothing to read and the connection is open. */
bool http_silent(int fd)
{
	char c;

	return recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

/* Sends a request on a new connection and receives the answer. */
int http_call(uint16_t port, const char *method, const char *path,
	      const char *body, json_t **answer)
{
	int fd = http_connect(port, NULL), status = 0;
	char *text = NULL;

	if (answer)
		*answer = NULL;
	if (fd < 0)
		return 0;
	if (http_send(fd, method, path, body))
		status = http_recv(fd, &text);
	close(fd);
	if (answer && text)
		*answer = json_loads(strstr(text, "\r\n\r\n") + 4,
				     JSON_DECODE_ANY, NULL);
	free(text);
	return status;
}

/*
 * Replaces ' by " and <x> by the base64 code of x, which keeps tables of
 * requests readable.
 */
char *http_expand(const char *s)
{
	char *text = xstrdup(s), *p, *q, *next;
	bstr code;

	for (p = text; *p; p++)
		if (*p == '\'')
			*p = '"';
	while ((p = strchr(text, '<')) && (q = strchr(p, '>'))) {
		code = base64_encode(bstr_ref(p + 1, (size_t)(q - p - 1)));
		next = xasprintf("%.*s%.*s%s", (int)(p - text), text,
				 BSTR_ARG(code), q + 1);
		bstr_free(&code);
		free(text);
		text = next;
	}
	return text;
}

/*
 * Runs a step; returns false if the answer isn't the expected one, and prints
 * it if verbose.
 */
bool http_step(uint16_t port, const struct http_step *st, bool verbose)
{
	char *body = http_expand(st->body ? st->body : "");
	char *want = http_expand(st->want ? st->want : ""), *text = NULL;
	int fd = http_connect(port, st->from), status = 0;
	bool ok;

	if (http_send(fd, st->method, st->path, body))
		status = http_recv(fd, &text);
	close(fd);
	ok = status == st->status && (!text || strstr(text, want));
	if (!ok && verbose)
		fprintf(stderr, "%s %s %s\nwanted %d %s\ngot %s\n", st->method,
			st->path, body, st->status, want, text ? text : "end");
	free(text);
	free(body);
	free(want);
	return ok;
}

/* Runs the steps of a table; returns the number of failed steps. */
int http_steps(uint16_t port, const struct http_step *steps, size_t count)
{
	int failed = 0;
	size_t i;

	for (i = 0; i < count; i++)
		failed += !http_step(port, &steps[i], true);
	return failed;
}
