#include "support-crowd.h"

#include "standin.h"
#include "support-caller.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <libgen.h>
#include <limits.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define KEY32 "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define START_MS 30000	  /* until the daemon listens */
#define SEND_MS 120000	  /* until a crowd has sent all */
#define STALL_MS 3000	  /* without progress, the crowd has sent all it can */
#define ORDINARY_MS 30000 /* until an ordinary caller has its answer */
#define DRIP_MS 500
#define DESCRIPTORS 16384 /* for the crowds of this process */
#define FILLER 4096	  /* bytes */

/* Aborts the test if a step of its set-up failed. */
static void require(bool ok, const char *what)
{
	if (ok)
		return;
	fprintf(stderr, "set-up failed: %s: %s\n", what, strerror(errno));
	abort();
}

/* Starts to connect to a port; returns the socket. */
static int connect_start(uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	require(fd >= 0, "a socket");
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)!connect(fd, (struct sockaddr *)&a, sizeof(a));
	return fd;
}

/* Returns true if a port accepts connections. */
static bool port_listens(uint16_t port)
{
	struct pollfd p = {.fd = connect_start(port), .events = POLLOUT};
	int wrong = 0;
	socklen_t len = sizeof(wrong);

	poll(&p, 1, 1000);
	getsockopt(p.fd, SOL_SOCKET, SO_ERROR, &wrong, &len);
	close(p.fd);
	return p.revents && !wrong;
}

/* Writes the settings of bamboofront-entryd; chooses its ports. */
static void entryd_settings(struct crowd_target *t, FILE *f, const char *more)
{
	uint16_t nowhere = port_choose();

	t->ports[PORT_CALLERS] = port_choose();
	t->ports[PORT_READINESS] = port_choose();
	t->ports[PORT_METRICS] = port_choose();
	fprintf(f,
		"{\"vm\": \"m1\", \"dc\": \"z1\", "
		"\"callers\": \"127.0.0.1:%u\", "
		"\"readiness\": \"127.0.0.1:%u\", \"metrics_port\": %u, "
		"\"store\": \"127.0.0.1:%u\", \"machines\": \"127.0.0.1:%u\", "
		"\"advice\": \"\", \"bounds\": {\"lease_max_ms\": 6000, "
		"\"stop_ms\": 400, \"keep_s\": 120, \"grace_s\": 6}%s}",
		t->ports[PORT_CALLERS], t->ports[PORT_READINESS],
		t->ports[PORT_METRICS], nowhere, nowhere, more);
}

/* Writes the settings of bamboofrontd; chooses its ports. */
static void daemon_settings(struct crowd_target *t, FILE *f, const char *more)
{
	t->ports[PORT_CALLERS] = port_choose();
	t->ports[PORT_OPERATORS] = port_choose();
	t->ports[PORT_PEERS] = port_choose();
	fprintf(f,
		"{\"vm\": \"e1\", \"dc\": \"east\", "
		"\"operators\": {\"listen\": \"127.0.0.1:%u\", "
		"\"keys\": {\"ann\": \"" KEY32 "\"}}, "
		"\"peers\": {\"listen\": \"127.0.0.1:%u\", "
		"\"key\": \"" KEY32 "\"}, "
		"\"platform\": {\"url\": \"http://127.0.0.1:%u\"}, "
		"\"callers\": {\"listen\": \"127.0.0.1:%u\"%s}}",
		t->ports[PORT_OPERATORS], t->ports[PORT_PEERS], port_choose(),
		t->ports[PORT_CALLERS], more);
}

/* Executes the release build of the daemon, in the child process. */
static void target_exec(const struct crowd_target *t, const char *settings,
			const char *log)
{
	const char *name = t->daemon == CROWD_ENTRYD ? "bamboofront-entryd"
						     : "bamboofrontd";
	char self[PATH_MAX] = "", *path;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (readlink("/proc/self/exe", self, sizeof(self) - 1) < 0)
		_exit(127);
	path = xasprintf("%s/../release/%s", dirname(self), name);
	if (freopen(log, "a", stdout) && freopen(log, "a", stderr))
		execl(path, path, "--settings", settings, (char *)NULL);
	_exit(127);
}

void crowd_target_start(struct crowd_target *t, enum crowd_daemon daemon,
			const char *more)
{
	int64_t deadline = clock_now() + START_MS;
	struct rlimit files;
	char *settings, *log;
	FILE *f;

	*t = (struct crowd_target){.daemon = daemon,
				   .dir = "/tmp/test-crowd-XXXXXX"};
	require(mkdtemp(t->dir), "a directory");
	settings = xasprintf("%s/settings.json", t->dir);
	log = xasprintf("%s/log", t->dir);
	f = fopen(settings, "we");
	require(f, settings);
	if (daemon == CROWD_ENTRYD)
		entryd_settings(t, f, more);
	else
		daemon_settings(t, f, more);
	fclose(f);
	t->pid = fork();
	if (!t->pid)
		target_exec(t, settings, log);
	getrlimit(RLIMIT_NOFILE, &files);
	if (files.rlim_cur < DESCRIPTORS) {
		files.rlim_cur = files.rlim_max < DESCRIPTORS ? files.rlim_max
							      : DESCRIPTORS;
		setrlimit(RLIMIT_NOFILE, &files);
	}
	while (!port_listens(t->ports[PORT_CALLERS])) {
		require(clock_now() < deadline && crowd_target_lives(t),
			"start of the daemon; is build/release up to date?");
		usleep(20000);
	}
	free(settings);
	free(log);
}

bool crowd_target_lives(const struct crowd_target *t)
{
	return waitpid(t->pid, NULL, WNOHANG) == 0;
}

int crowd_target_stop(struct crowd_target *t)
{
	static const char *const files[] = {"settings.json", "log"};
	int status = -1;
	char *path;
	size_t i;

	kill(t->pid, SIGTERM);
	waitpid(t->pid, &status, 0);
	for (i = 0; i < NELEMS(files); i++) {
		path = xasprintf("%s/%s", t->dir, files[i]);
		remove(path);
		free(path);
	}
	rmdir(t->dir);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

long crowd_target_peak_kb(const struct crowd_target *t)
{
	char *path = xasprintf("/proc/%d/status", (int)t->pid);
	FILE *f = fopen(path, "re");
	char line[256];
	long kb = -1;

	while (f && fgets(line, sizeof(line), f))
		if (sscanf(line, "VmHWM: %ld kB", &kb) == 1)
			break;
	if (f)
		fclose(f);
	free(path);
	return kb;
}

long crowd_target_descriptors(const struct crowd_target *t)
{
	char *path = xasprintf("/proc/%d/fd", (int)t->pid);
	DIR *d = opendir(path);
	long n = -2; /* "." and ".." */

	while (d && readdir(d))
		n++;
	if (d)
		closedir(d);
	free(path);
	return n;
}

/* Returns the head of a submission, up to the field about its length. */
static char *submission_head(enum crowd_daemon daemon)
{
	if (daemon == CROWD_ENTRYD)
		return xstrdup("POST /x/0123456789abcdef HTTP/1.1\r\n"
			       "Host: a\r\nX-Deadline-Remaining-Ms: 3000\r\n");
	return xstrdup("POST /v1/jobs HTTP/1.1\r\nHost: a\r\n" CALLER_AUTH);
}

/* Returns a script that sends a text, and size bytes of filler after it. */
static struct crowd_script script_new(char *text, size_t len, size_t filler)
{
	struct crowd_script s = {.head = text, .head_len = len};

	s.body_len = filler < FILLER ? filler : FILLER;
	s.body = xmalloc(s.body_len + 1);
	memset(s.body, 'y', s.body_len);
	s.body_count = s.body_len ? filler / s.body_len : 0;
	return s;
}

/* A body of size bytes, of which the last is never sent unless sent == size. */
struct crowd_script crowd_body(enum crowd_daemon daemon, size_t size,
			       size_t sent)
{
	char *head = submission_head(daemon);
	char *text = xasprintf("%sContent-Length: %zu\r\n\r\n", head, size);

	free(head);
	return script_new(text, strlen(text), sent);
}

/* A chunked body of size bytes whose end is never sent. */
struct crowd_script crowd_chunks(size_t size, size_t chunk)
{
	char *head = submission_head(CROWD_ENTRYD);
	struct crowd_script s = {0};
	FILE *f = open_memstream(&s.head, &s.head_len);
	size_t i, k;

	fprintf(f, "%sTransfer-Encoding: chunked\r\n\r\n", head);
	for (i = 0; i < size; i += chunk) {
		fprintf(f, "%zx\r\n", chunk);
		for (k = 0; k < chunk; k++)
			fputc('y', f);
		fputs("\r\n", f);
	}
	fclose(f);
	free(head);
	return s;
}

/* A whole body that is a list of one element, again and again. */
struct crowd_script crowd_list(enum crowd_daemon daemon, const char *element,
			       size_t size)
{
	const char *begin = daemon == CROWD_ENTRYD
				    ? "{\"specification\":\"\",\"steps\":["
				    : "{\"pool\":\"p\",\"payload\":[";
	char *head = submission_head(daemon);
	size_t n = size / (strlen(element) + 1), i;
	struct crowd_script s = {0};
	FILE *f = open_memstream(&s.head, &s.head_len);

	fprintf(f, "%sContent-Length: %zu\r\n\r\n%s", head,
		strlen(begin) + n * (strlen(element) + 1) + 1, begin);
	for (i = 0; i < n; i++)
		fprintf(f, "%s%s", i ? "," : "", element);
	fputs("]}", f);
	fclose(f);
	free(head);
	return s;
}

struct crowd_script crowd_announced(size_t announced, size_t sent)
{
	return crowd_body(CROWD_ENTRYD, announced, sent);
}

/* A chunked body without an end. */
struct crowd_script crowd_endless(size_t sent)
{
	struct crowd_script s = crowd_chunks(0, 1);
	FILE *f = open_memstream(&s.body, &s.body_len);
	int i;

	fprintf(f, "%x\r\n", FILLER);
	for (i = 0; i < FILLER; i++)
		fputc('y', f);
	fputs("\r\n", f);
	fclose(f);
	s.body_count = sent / s.body_len;
	return s;
}

/* The head of a request without its end. */
struct crowd_script crowd_half_head(void)
{
	char *text = xstrdup("GET /x/0123456789abcdef HTTP/1.1\r\n"
			     "Host: a\r\nX-A: ");
	struct crowd_script s = script_new(text, strlen(text), 0);

	s.drip = 'a';
	return s;
}

/* A record of ONC RPC, of which only a part is sent. */
struct crowd_script crowd_record(size_t size, size_t sent)
{
	uint32_t mark = htonl(0x80000000U | (uint32_t)size);
	char *text = xmalloc(sizeof(mark));

	memcpy(text, &mark, sizeof(mark));
	return script_new(text, sizeof(mark), sent);
}

void crowd_script_free(struct crowd_script *s)
{
	free(s->head);
	free(s->body);
}

/* Returns the bytes that follow after sent ones; their number is 0 at the end.
 */
static bstr script_next(const struct crowd_script *s, size_t sent)
{
	size_t at, len;

	if (sent < s->head_len)
		return bstr_ref(s->head + sent, s->head_len - sent);
	sent -= s->head_len;
	if (sent >= s->body_len * s->body_count)
		return BSTR_NONE;
	at = sent % s->body_len;
	len = s->body_len - at;
	return bstr_ref(s->body + at, len);
}

static void client_close(struct crowd_client *c)
{
	close(c->fd);
	c->fd = -1;
}

/*
 * Sends what the socket takes, at most a piece. Returns false if nothing was
 * sent.
 */
static bool client_send_some(struct crowd_client *c,
			     const struct crowd_script *s)
{
	size_t before = c->sent;
	bstr next;
	ssize_t n;

	while ((next = script_next(s, c->sent)).bstr_len) {
		if (s->piece && c->sent - before >= s->piece)
			break;
		n = send(c->fd, next.bstr_val, next.bstr_len,
			 MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && (errno == EAGAIN || errno == ENOTCONN))
			break;
		if (n < 0) {
			client_close(c);
			break;
		}
		c->sent += (size_t)n;
	}
	return c->sent > before;
}

/* Reads what the daemon sent; closes the client if the daemon has. */
static void client_read_some(struct crowd_client *c)
{
	char text[4096];
	ssize_t n;

	while ((n = recv(c->fd, text, sizeof(text), MSG_DONTWAIT)) > 0)
		c->received += (size_t)n;
	if (n == 0 || (errno != EAGAIN && errno != ENOTCONN))
		client_close(c);
}

/* Lets all clients send; returns true if one made progress. */
static bool crowd_step(struct crowd *c, struct pollfd *p)
{
	struct crowd_client *one;
	bool moved = false;
	size_t i;

	for (i = 0; i < c->count; i++) {
		one = &c->clients[i];
		p[i] = (struct pollfd){.fd = one->fd, .events = POLLIN};
		if (script_next(c->script, one->sent).bstr_len)
			p[i].events |= POLLOUT;
	}
	poll(p, c->count, 100);
	for (i = 0; i < c->count; i++) {
		one = &c->clients[i];
		if (one->fd < 0 || !p[i].revents)
			continue;
		if ((p[i].revents & POLLOUT) &&
		    client_send_some(one, c->script))
			moved = true;
		if (one->fd >= 0 && (p[i].revents & ~POLLOUT)) {
			client_read_some(one);
			moved = true;
		}
	}
	return moved;
}

void crowd_send(struct crowd *c, const struct crowd_script *s, size_t count,
		uint16_t port)
{
	int64_t now = clock_now(), end = now + SEND_MS, moved_at = now;
	struct pollfd *p = xcalloc(count, sizeof(*p));
	size_t i;

	*c = (struct crowd){.script = s, .count = count};
	c->clients = xcalloc(count, sizeof(*c->clients));
	for (i = 0; i < count; i++)
		c->clients[i].fd = connect_start(port);
	while (now < end && now < moved_at + STALL_MS) {
		if (crowd_step(c, p))
			moved_at = clock_now();
		now = clock_now();
	}
	free(p);
}

void crowd_drip(struct crowd *c)
{
	size_t i;

	for (i = 0; c->script->drip && i < c->count; i++)
		if (c->clients[i].fd >= 0)
			send(c->clients[i].fd, &c->script->drip, 1,
			     MSG_NOSIGNAL | MSG_DONTWAIT);
}

size_t crowd_open(struct crowd *c)
{
	size_t i, n = 0;

	for (i = 0; i < c->count; i++) {
		if (c->clients[i].fd >= 0)
			client_read_some(&c->clients[i]);
		n += c->clients[i].fd >= 0;
	}
	return n;
}

size_t crowd_sent_most(const struct crowd *c)
{
	size_t i, most = 0;

	for (i = 0; i < c->count; i++)
		if (c->clients[i].sent > most)
			most = c->clients[i].sent;
	return most;
}

void crowd_close(struct crowd *c)
{
	size_t i;

	for (i = 0; i < c->count; i++)
		if (c->clients[i].fd >= 0)
			client_close(&c->clients[i]);
	free(c->clients);
}

/* Returns a small, whole request for a listener. */
static struct crowd_script ordinary_script(const struct crowd_target *t,
					   enum crowd_port port)
{
	/* a call of a program that the server doesn't have */
	static const uint32_t call[] = {0x80000028, 1, 0, 2, 99, 1,
					0,	    0, 0, 0, 0};
	const char *body = t->daemon == CROWD_ENTRYD
				   ? "{\"specification\":\"a\","
				     "\"steps\":[{\"count\":1}]}"
				   : "{\"pool\":\"p\",\"payload\":1}";
	struct crowd_script s = {0};
	char *head = submission_head(t->daemon);
	uint32_t *words;
	size_t i;

	switch (port) {
	case PORT_CALLERS:
		s.head = xasprintf("%sContent-Length: %zu\r\n\r\n%s", head,
				   strlen(body), body);
		break;
	case PORT_READINESS:
	case PORT_METRICS:
		s.head = xstrdup("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
		break;
	default:
		words = xcalloc(NELEMS(call), sizeof(*words));
		for (i = 0; i < NELEMS(call); i++)
			words[i] = htonl(call[i]);
		s.head = (char *)words;
		s.head_len = sizeof(call);
	}
	if (!s.head_len)
		s.head_len = strlen(s.head);
	free(head);
	return s;
}

/* Returns the status of an answer; one of ONC RPC counts as 200. */
static unsigned answer_status(enum crowd_port port, const char *text, ssize_t n)
{
	unsigned status = 0;

	if (n <= 0)
		return 0;
	if (port == PORT_OPERATORS || port == PORT_PEERS)
		return 200;
	sscanf(text, "HTTP/1.1 %u ", &status);
	return status;
}

unsigned crowd_ordinary(const struct crowd_target *t, enum crowd_port port,
			struct crowd *crowds, size_t crowd_count)
{
	struct crowd_script s = ordinary_script(t, port);
	struct crowd_client c = {.fd = connect_start(t->ports[port])};
	int64_t deadline = clock_now() + ORDINARY_MS;
	struct pollfd p = {.fd = c.fd};
	char text[64] = "";
	ssize_t n = -1;
	size_t i;

	while (c.fd >= 0 && clock_now() < deadline) {
		p.events = c.sent < s.head_len ? POLLOUT : POLLIN;
		if (poll(&p, 1, DRIP_MS) == 0) {
			for (i = 0; i < crowd_count; i++)
				crowd_drip(&crowds[i]);
			continue;
		}
		if (c.sent < s.head_len) {
			client_send_some(&c, &s);
			continue;
		}
		n = recv(c.fd, text, sizeof(text) - 1, MSG_DONTWAIT);
		client_close(&c);
	}
	if (c.fd >= 0)
		client_close(&c);
	crowd_script_free(&s);
	return answer_status(port, text, n);
}
