#include "support-caller.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Fills in settings for an edge on 127.0.0.1 with small limits. */
void caller_settings(struct settings *s)
{
	memset(s, 0, sizeof(*s));
	s->callers.listen.host = (char *)"127.0.0.1";
	s->callers.threads = 2;
	s->callers.max_connections = 64;
	s->callers.max_body = 65536;
	s->callers.max_wait_ms = 30000;
}

/* Returns an answer with a job ID, which identifies it in a test. */
static effect *answer_new(uint64_t call, uint32_t http, const char *job,
			  job_state state)
{
	effect *fx = effect_new(FX_ANSWER);
	caller_answer *a = &fx->effect_u.answer.answer;

	fx->effect_u.answer.call = call;
	a->http = http;
	a->jobs.jobs_len = 1;
	a->jobs.jobs_val = xcalloc(1, sizeof(*a->jobs.jobs_val));
	a->jobs.jobs_val->job = bstr_new(job);
	a->jobs.jobs_val->state = state;
	return fx;
}

/* Sends an answer and counts it. */
static void reducer_send(struct reducer *r, effect *fx)
{
	pthread_mutex_lock(&r->lock);
	r->answers++;
	pthread_mutex_unlock(&r->lock);
	edge_caller_send(r->edge, fx);
}

/* Answers a call with status 200 and a job that is done. */
void reducer_answer(struct reducer *r, uint64_t call, const char *job)
{
	reducer_send(r, answer_new(call, 200, job, JOB_DONE));
}

/* Answers a call with status 503 and a problem document. */
static void reducer_refuse(struct reducer *r, uint64_t call, const char *job,
			   job_state state)
{
	effect *fx = answer_new(call, 503, job, state);
	caller_answer *a = &fx->effect_u.answer.answer;

	a->reason = bstr_new("platform-unavailable");
	a->detail = bstr_new("the table does not answer");
	a->retry_after_ms = 1500;
	reducer_send(r, fx);
}

/* Adds a call to the held ones, which get no answer yet. */
static void reducer_hold(struct reducer *r, uint64_t call)
{
	pthread_mutex_lock(&r->lock);
	if (r->held_count < NELEMS(r->held))
		r->held[r->held_count++] = call;
	r->held_last = call;
	r->held_total++;
	pthread_cond_broadcast(&r->changed);
	pthread_mutex_unlock(&r->lock);
}

/* Handles EV_CALL_GONE: removes a call from the held ones. */
static void reducer_gone(struct reducer *r, uint64_t call)
{
	unsigned i;

	edge_caller_gone(r->edge, call);
	pthread_mutex_lock(&r->lock);
	for (i = 0; i < r->held_count && r->held[i] != call; i++)
		;
	if (i < r->held_count) {
		memmove(&r->held[i], &r->held[i + 1],
			(--r->held_count - i) * sizeof(*r->held));
		r->gone_held++;
	} else {
		r->gone_unexpected++;
	}
	pthread_cond_broadcast(&r->changed);
	pthread_mutex_unlock(&r->lock);
}

/* Handles EV_CALL as described at struct reducer. */
static void reducer_call(struct reducer *r, const ev_call *c)
{
	const caller_body *body = &c->request.body;
	effect *fx;
	job_view *v;
	char *job;

	pthread_mutex_lock(&r->lock);
	r->calls++;
	pthread_mutex_unlock(&r->lock);
	switch (body->kind) {
	case CALL_SUBMIT:
		if (bstr_eq_str(body->caller_body_u.spec.label, "held")) {
			reducer_hold(r, c->call);
			return;
		}
		job = bstr_cstr(body->caller_body_u.spec.key);
		fx = answer_new(c->call, 200, job, JOB_DONE);
		v = fx->effect_u.answer.answer.jobs.jobs_val;
		v->team = bstr_copy(c->request.key_id);
		v->result = bstr_copy(body->caller_body_u.spec.payload);
		reducer_send(r, fx);
		free(job);
		return;
	case CALL_GET:
	case CALL_CANCEL:
		job = bstr_cstr(body->caller_body_u.job.job);
		if (!strcmp(job, "held"))
			reducer_hold(r, c->call);
		else if (!strcmp(job, "not-run"))
			reducer_refuse(r, c->call, job, JOB_NOT_RUN);
		else if (!strcmp(job, "lost"))
			reducer_refuse(r, c->call, job, JOB_UNKNOWN);
		else
			reducer_answer(r, c->call, job);
		free(job);
		return;
	case CALL_CANCEL_LABEL:
		job = bstr_cstr(body->caller_body_u.label);
		reducer_answer(r, c->call, job);
		free(job);
	}
}

/* The reducer's thread. */
static void *reducer_run(void *arg)
{
	struct reducer *r = arg;
	bool stop = false;
	event *ev;

	while (!stop) {
		pthread_mutex_lock(&r->lock);
		while (r->paused && !r->stop) {
			r->idle = true;
			pthread_cond_broadcast(&r->changed);
			pthread_cond_wait(&r->changed, &r->lock);
		}
		r->idle = false;
		stop = r->stop;
		pthread_mutex_unlock(&r->lock);
		ev = mailbox_take(r->inbox);
		if (!ev) {
			mailbox_wait(r->inbox, 20);
			continue;
		}
		if (ev->body.kind == EV_CALL)
			reducer_call(r, &ev->body.event_body_u.call);
		else if (ev->body.kind == EV_CALL_GONE)
			reducer_gone(r, ev->body.event_body_u.gone);
		event_free(ev);
	}
	return NULL;
}

/*
 * Starts an edge, with its default timing if t is NULL, and a reducer whose
 * mailbox has the given capacity.
 */
struct reducer *reducer_start(const struct settings *s,
			      const struct caller_timing *t, unsigned inbox)
{
	struct reducer *r = xcalloc(1, sizeof(*r));
	struct error e;

	error_init(&e);
	r->inbox = mailbox_new(inbox);
	r->intake = intake_new(INTAKE_BYTES);
	pthread_mutex_init(&r->lock, NULL);
	pthread_cond_init(&r->changed, NULL);
	r->edge = t ? edge_caller_start_timed(s, t, r->intake, r->inbox, &e)
		    : edge_caller_start(s, r->intake, r->inbox, &e);
	if (!r->edge) {
		error_print(&e, stderr);
		abort();
	}
	pthread_create(&r->thread, NULL, reducer_run, r);
	return r;
}

/*
 * Stops the edge, then the reducer.  As in the daemon, the reducer still runs
 * while the edge stops.
 */
void reducer_stop(struct reducer *r)
{
	event *ev;

	reducer_pause(r, false);
	edge_caller_stop(r->edge);
	pthread_mutex_lock(&r->lock);
	r->stop = true;
	pthread_mutex_unlock(&r->lock);
	pthread_join(r->thread, NULL);
	while ((ev = mailbox_take(r->inbox)))
		event_free(ev);
	mailbox_free(r->inbox);
	intake_free(r->intake);
	pthread_mutex_destroy(&r->lock);
	pthread_cond_destroy(&r->changed);
	free(r);
}

/*
 * Pauses or resumes the handling of events; a pause returns once no event is
 * being handled.
 */
void reducer_pause(struct reducer *r, bool paused)
{
	pthread_mutex_lock(&r->lock);
	r->paused = paused;
	pthread_cond_broadcast(&r->changed);
	while (paused && !r->idle)
		pthread_cond_wait(&r->changed, &r->lock);
	pthread_mutex_unlock(&r->lock);
}

/* Waits until a counter of the reducer reaches n; returns false after 10 s. */
bool reducer_await(struct reducer *r, const unsigned *counter, unsigned n)
{
	struct timespec deadline;
	int rc = 0;

	clock_gettime(CLOCK_REALTIME, &deadline);
	deadline.tv_sec += 10;
	pthread_mutex_lock(&r->lock);
	while (*counter < n && !rc)
		rc = pthread_cond_timedwait(&r->changed, &r->lock, &deadline);
	pthread_mutex_unlock(&r->lock);
	return !rc;
}

/*
 * Connects to a port on 127.0.0.1, with a receive timeout of 20 s; returns -1
 * on failure.
 */
int client_connect(uint16_t port)
{
	struct sockaddr_in in = {.sin_family = AF_INET,
				 .sin_port = htons(port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct timeval timeout = {20, 0};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&in, sizeof(in))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	return fd;
}

/* Sends a request, or as much of it as the server reads. */
void client_send(int fd, const char *text, size_t len)
{
	ssize_t n;

	for (; len; text += n, len -= (size_t)n) {
		n = send(fd, text, len, MSG_NOSIGNAL);
		if (n <= 0)
			return; /* the response has the reason */
	}
}

/*
 * Reads one response.  The head is peeked at before it is received, so that no
 * byte of the next response is consumed.
 */
char *client_read(int fd)
{
	size_t len = 0, capacity = 4096, total = 0;
	char *text = xmalloc(capacity), *end, *p;
	ssize_t n;

	while (!total || len < total) {
		if (len + 1 == capacity)
			text = xrealloc(text, capacity *= 2, 1);
		if (total && total >= capacity)
			text = xrealloc(text, capacity = total + 1, 1);
		n = recv(fd, text + len, (total ? total : capacity - 1) - len,
			 total ? 0 : MSG_PEEK);
		if (n <= 0)
			break;
		text[len + (size_t)n] = '\0';
		if (total) {
			len += (size_t)n;
			continue;
		}
		end = strstr(text, "\r\n\r\n");
		if (end)
			n = end + 4 - (text + len);
		n = recv(fd, text + len, (size_t)n, 0);
		len += (size_t)n;
		if (!end)
			continue;
		p = strcasestr(text, "\r\nContent-Length:");
		total = len + (p && p < end ? strtoul(p + 17, NULL, 10) : 0);
		/* 100 Continue precedes the response */
		if (response_status(text) == 100)
			len = total = 0;
	}
	text[len] = '\0';
	return text;
}

/* Sends a request on a new connection and returns its response. */
char *client_round_trip(uint16_t port, const char *text, size_t len)
{
	int fd = client_connect(port);
	char *response;

	client_send(fd, text, len);
	response = client_read(fd);
	close(fd);
	return response;
}

/* Returns the status of a response, or 0 if it has none. */
unsigned response_status(const char *response)
{
	return strncmp(response, "HTTP/1.", 7) != 0
		       ? 0
		       : (unsigned)strtoul(response + 8, NULL, 10);
}

/* Returns the body of a response. */
const char *response_body(const char *response)
{
	const char *p = strstr(response, "\r\n\r\n");

	return p ? p + 4 : "";
}
