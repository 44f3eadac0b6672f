/*
 * bamboofrontd: the daemon. The main thread runs the reducer. The edges run
 * their own threads and pass events to the main thread through the inbox.
 */
#include "intake.h"
#include "record.h"

#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <popt.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#define INBOX_SIZE 65536
#define EVENTS_PER_ITERATION 1024
/* A planned stop is forced this long after timing.stop_ms has passed. */
#define STOP_MARGIN_MS 2000
/* Time limit to stop the edges; after it SIGALRM ends the process. */
#define EDGES_STOP_SECONDS 15

/* This part of the memory is the budget of requests. */
#define INTAKE_DIVISOR 4
#define INTAKE_SWEEP_MS 1000

/* An event or effect that is kept for a later iteration of the main loop. */
struct deferred {
	TAILQ_ENTRY(deferred) entry;
	event *ev;
	effect *fx;
};
TAILQ_HEAD(deferred_list, deferred);

struct daemon {
	struct settings settings;
	struct mailbox *inbox;
	struct intake *intake; /* shared by the edges that listen */
	int64_t intake_sweep_at;
	struct edge_platform *platform;
	struct edge_worker *worker;
	struct edge_peer *peer;
	struct edge_operator *operator;
	struct edge_caller *caller;
	struct state *state;
	struct recorder *recorder;
	struct effects effects;
	struct deferred_list self_events; /* events made by the daemon itself */
	/* answers that an edge with a full queue did not accept */
	struct deferred_list unsent_answers;
	int signal_fd;
	int64_t tick_at;
	int64_t stop_by; /* 0: not stopping */
	bool exit;	 /* the reducer has emitted FX_EXIT */
	bool forced;	 /* stop without waiting for FX_EXIT */
};

struct options {
	char *settings;
	char *check;
	char *record;
	char *announce;
	int version;
};

/* Queues an event for the next iteration of the main loop. */
static void self_event_add(struct daemon *d, event *ev)
{
	struct deferred *df = xcalloc(1, sizeof(*df));

	df->ev = ev;
	TAILQ_INSERT_TAIL(&d->self_events, df, entry);
}

/* Reports to the reducer that a request to the platform was not sent. */
static void report_platform_refused(struct daemon *d, uint64_t req)
{
	event *ev = event_new(EV_PLATFORM);

	ev->body.event_body_u.platform.req = req;
	ev->body.event_body_u.platform.outcome = PLATFORM_REFUSED;
	self_event_add(d, ev);
}

/* Reports to the reducer that a request to a worker was not sent. */
static void report_worker_not_sent(struct daemon *d, const fx_worker *fx)
{
	event *ev = event_new(EV_WORKER);

	ev->body.event_body_u.worker.req = fx->req;
	ev->body.event_body_u.worker.vm = bstr_copy(fx->vm);
	ev->body.event_body_u.worker.outcome = WORKER_NOT_SENT;
	self_event_add(d, ev);
}

/* Reports to the reducer that a message to a peer was not sent. */
static void report_peer_lost(struct daemon *d, bstr peer)
{
	event *ev = event_new(EV_PEER_LOST);

	ev->body.event_body_u.lost = bstr_copy(peer);
	self_event_add(d, ev);
}

/*
 * Handles an effect that its edge did not accept because its queue is full.
 * The reducer waits for an outcome of each request and a job would hang
 * forever without one, so the daemon reports the failure itself. An answer to
 * a caller or operator has no outcome, but its receiver waits for it, so it is
 * kept and sent again later. The number of kept answers is limited by the
 * number of open connections.
 */
static void effect_not_sent(struct daemon *d, effect *fx)
{
	struct deferred *df;

	log_event(LOG_OVERRUN, "edge queue is full, %s not sent",
		  effect_name(fx->kind));
	switch (fx->kind) {
	case FX_COMMIT:
	case FX_READ:
	case FX_SCAN:
	case FX_OBJECT_PUT:
	case FX_OBJECT_GET:
	case FX_VM_LIST:
	case FX_REBOOT:
		report_platform_refused(d, effect_request_id(fx));
		break;
	case FX_WORKER:
		report_worker_not_sent(d, &fx->effect_u.worker);
		break;
	case FX_PEER:
		report_peer_lost(d, fx->effect_u.peer.to);
		break;
	case FX_ANSWER:
	case FX_OP_REPLY:
		df = xcalloc(1, sizeof(*df));
		df->fx = fx;
		TAILQ_INSERT_TAIL(&d->unsent_answers, df, entry);
		return;
	default:
		break;
	}
	effect_free(fx);
}

/*
 * Passes an effect to its edge, which then owns it. Returns false if the edge's
 * queue is full; the caller still owns the effect then.
 */
static bool effect_send(struct daemon *d, effect *fx)
{
	switch (fx->kind) {
	case FX_ANSWER:
		return edge_caller_send(d->caller, fx);
	case FX_OP_REPLY:
		return edge_operator_send(d->operator, fx);
	case FX_PEER:
		return edge_peer_send(d->peer, fx);
	case FX_WORKER:
		return edge_worker_send(d->worker, fx);
	default:
		return edge_platform_send(d->platform, fx);
	}
}

/*
 * Updates a counter or gauge. A family without _total in its name is a gauge,
 * whose new value is the amount.
 */
static void effect_count(const fx_count *fx)
{
	if (fx->counter >= COUNTER_MAX)
		return;
	if (strstr(counter_entries[fx->counter].family, "_total"))
		counter_add(fx->counter, fx->amount);
	else
		counter_set(fx->counter, fx->amount);
}

/*
 * Executes an effect. Its contents are moved to an edge or freed; the effect
 * itself is an element of the caller's array.
 */
static void effect_execute(struct daemon *d, effect *fx)
{
	effect *owned;

	switch (fx->kind) {
	case FX_LOG:
		log_event(fx->effect_u.log.number, "%.*s",
			  BSTR_ARG(fx->effect_u.log.text));
		break;
	case FX_COUNT:
		effect_count(&fx->effect_u.count);
		break;
	case FX_WAKE:
		if (fx->effect_u.wake < d->tick_at)
			d->tick_at = fx->effect_u.wake;
		break;
	case FX_READY:
		edge_caller_ready(d->caller, fx->effect_u.ready);
		break;
	case FX_EXIT:
		d->exit = true;
		break;
	default:
		owned = xmalloc(sizeof(*owned));
		*owned = *fx;
		if (!effect_send(d, owned))
			effect_not_sent(d, owned);
		return;
	}
	xdr_free(XDR_PROC(xdr_effect), (char *)fx);
}

/*
 * Sets the time of an event, passes it to the reducer and executes the effects.
 * Frees the event.
 */
static void daemon_step(struct daemon *d, event *ev)
{
	size_t i;

	ev->now = clock_now();
	if (ev->body.kind == EV_TICK)
		d->tick_at = ev->now + d->settings.timing.tick_ms;
	reduce(d->state, ev, &d->effects);
	if (d->recorder)
		recorder_step(d->recorder, ev, &d->effects);
	counter_add(COUNT_EVENTS, 1);
	counter_add(COUNT_EFFECTS, d->effects.count);
	for (i = 0; i < d->effects.count; i++)
		effect_execute(d, &d->effects.list[i]);
	d->effects.count = 0; /* contents moved or freed; the array is reused */
	/*
	 * A tick time in the past would make the main loop spin; one
	 * millisecond later is soon enough.
	 */
	if (d->tick_at <= ev->now)
		d->tick_at = ev->now + 1;
	if (ev->body.kind == EV_CALL_GONE)
		edge_caller_gone(d->caller, ev->body.event_body_u.gone);
	event_free(ev);
}

/* Reduces the events made by the daemon itself. */
static void self_events_drain(struct daemon *d)
{
	struct deferred_list batch;
	struct deferred *df;

	/*
	 * Events added meanwhile are left for the next iteration; otherwise
	 * this loop might never end.
	 */
	TAILQ_INIT(&batch);
	TAILQ_CONCAT(&batch, &d->self_events, entry);
	while ((df = TAILQ_FIRST(&batch))) {
		TAILQ_REMOVE(&batch, df, entry);
		daemon_step(d, df->ev);
		free(df);
	}
}

/* Sends answers again that an edge did not accept before. */
static void answers_resend(struct daemon *d)
{
	struct deferred *df;

	while ((df = TAILQ_FIRST(&d->unsent_answers)) &&
	       effect_send(d, df->fx)) {
		TAILQ_REMOVE(&d->unsent_answers, df, entry);
		free(df);
	}
}

/* Runs a tick, and a sweep of the intake, if one is due. */
static void tick_run_if_due(struct daemon *d)
{
	int64_t now = clock_now();

	if (!d->exit && now >= d->tick_at)
		daemon_step(d, event_new(EV_TICK));
	if (now >= d->intake_sweep_at) {
		intake_sweep(d->intake, now);
		d->intake_sweep_at = now + INTAKE_SWEEP_MS;
	}
}

/*
 * Reduces events from the edges, and ticks that become due meanwhile. Returns
 * true if the inbox was emptied, false if it may hold more events.
 */
static bool inbox_drain(struct daemon *d)
{
	event *ev;
	int n;

	mailbox_clear_wakeup(d->inbox);
	for (n = 0; n < EVENTS_PER_ITERATION && !d->exit; n++) {
		ev = mailbox_take(d->inbox);
		if (!ev)
			return true;
		daemon_step(d, ev);
		tick_run_if_due(d);
	}
	return false;
}

/* Handles signals: the first starts a planned stop, the second forces it. */
static void signals_handle(struct daemon *d)
{
	struct signalfd_siginfo info;

	while (read(d->signal_fd, &info, sizeof(info)) == sizeof(info)) {
		if (d->stop_by) {
			d->forced = !d->exit;
			continue;
		}
		d->stop_by = clock_now() + d->settings.timing.stop_ms +
			     STOP_MARGIN_MS;
		log_debug("received signal %u", info.ssi_signo);
		daemon_step(d, event_new(EV_STOP));
	}
}

/* Returns the time in milliseconds for which the main thread may sleep. */
static int daemon_poll_timeout(const struct daemon *d, bool drained)
{
	int64_t left = d->tick_at - clock_now();

	if (!drained || !TAILQ_EMPTY(&d->self_events) || left <= 0)
		return 0;
	if (!TAILQ_EMPTY(&d->unsent_answers))
		return 1;
	return left < INT32_MAX ? (int)left : INT32_MAX;
}

/* Runs the main loop until the reducer exits or the stop is forced. */
static void daemon_loop(struct daemon *d)
{
	struct pollfd p[] = {
		{.fd = mailbox_fd(d->inbox), .events = POLLIN},
		{.fd = d->signal_fd, .events = POLLIN},
	};
	bool drained = true;

	d->tick_at = clock_now();
	while (!d->exit && !d->forced) {
		if (poll(p, NELEMS(p), daemon_poll_timeout(d, drained)) < 0 &&
		    errno != EINTR)
			abort();
		signals_handle(d);
		answers_resend(d);
		self_events_drain(d);
		drained = inbox_drain(d);
		tick_run_if_due(d);
		if (!d->exit && d->stop_by && clock_now() > d->stop_by)
			d->forced = true;
	}
	answers_resend(d);
}

/*
 * Writes the ports to a file for the program that started the daemon. The file
 * is renamed into place, so that a program that polls for it never reads a
 * partial one.
 */
static bool daemon_announce(const struct daemon *d, const char *path,
			    struct error *e)
{
	char *temporary = xasprintf("%s.%d", path, (int)getpid());
	FILE *f = fopen(temporary, "we");
	bool ok = f;

	if (ok) {
		fprintf(f,
			"{\"callers\": %u, \"operators\": %u, \"peers\": %u, "
			"\"pid\": %d}\n",
			edge_caller_port(d->caller),
			edge_operator_port(d->operator),
			edge_peer_port(d->peer), (int)getpid());
		ok = !fclose(f) && !rename(temporary, path);
	}
	if (!ok) {
		error_add(e, path, "can't be written: %s", strerror(errno));
		unlink(temporary);
	}
	free(temporary);
	return ok;
}

/* Creates the reducer's state and opens the recording, if requested. */
static bool daemon_create_state(struct daemon *d, const char *record,
				struct error *e)
{
	const struct address *a = &d->settings.peers.listen;
	char *peer_address;
	uint64_t seed;

	/*
	 * The seed must differ at each start, because the incarnation and the
	 * transaction ids are derived from it. If a VM restarted with the same
	 * seed, it would reuse transaction ids; the table would report these
	 * as committed already and write nothing.
	 */
	randombytes_buf(&seed, sizeof(seed));
	peer_address = xasprintf(strchr(a->host, ':') ? "[%s]:%u" : "%s:%u",
				 a->host, edge_peer_port(d->peer));
	d->state = state_new(&d->settings, seed, peer_address);
	if (record)
		d->recorder = recorder_open(record, &d->settings, seed,
					    peer_address, e);
	free(peer_address);
	return !record || d->recorder;
}

/*
 * Starts the edges: platform and workers first, callers last, so that no
 * request arrives before it can be processed.
 */
static bool daemon_start(struct daemon *d, const struct options *o,
			 struct error *e)
{
	const struct settings *s = &d->settings;

	d->inbox = mailbox_new(INBOX_SIZE);
	d->intake = intake_new(((size_t)s->limits.memory_mb << 20) /
			       INTAKE_DIVISOR);
	effects_init(&d->effects);
	TAILQ_INIT(&d->self_events);
	TAILQ_INIT(&d->unsent_answers);
	d->platform = edge_platform_start(s, d->inbox, e);
	if (!d->platform)
		return false;
	d->worker = edge_worker_start(s, d->inbox, e);
	if (!d->worker)
		return false;
	d->peer = edge_peer_start(s, d->intake, d->inbox, e);
	if (!d->peer || !daemon_create_state(d, o->record, e))
		return false;
	d->operator= edge_operator_start(s, d->intake, d->inbox, e);
	if (!d->operator)
		return false;
	d->caller = edge_caller_start(s, d->intake, d->inbox, e);
	if (!d->caller)
		return false;
	return !o->announce || daemon_announce(d, o->announce, e);
}

/* Frees a list with the events and effects in it. */
static void deferred_free(struct deferred_list *list)
{
	struct deferred *df;

	while ((df = TAILQ_FIRST(list))) {
		TAILQ_REMOVE(list, df, entry);
		event_free(df->ev);
		effect_free(df->fx);
		free(df);
	}
}

/*
 * Stops the edges, callers first, and frees everything. Returns false if the
 * recording is incomplete.
 */
static bool daemon_stop(struct daemon *d)
{
	bool recorded;
	event *ev;

	/*
	 * If an edge's thread hung, the process would not exit and its VM
	 * could not be replaced. The alarm ends the process with a failure
	 * status.
	 */
	alarm(EDGES_STOP_SECONDS);
	if (d->caller)
		edge_caller_stop(d->caller);
	if (d->operator)
		edge_operator_stop(d->operator);
	if (d->peer)
		edge_peer_stop(d->peer);
	if (d->worker)
		edge_worker_stop(d->worker);
	if (d->platform)
		edge_platform_stop(d->platform);
	while ((ev = mailbox_take(d->inbox)))
		event_free(ev);
	mailbox_free(d->inbox);
	if (d->intake)
		intake_free(d->intake);
	deferred_free(&d->self_events);
	deferred_free(&d->unsent_answers);
	effects_free(&d->effects);
	recorded = recorder_close(d->recorder);
	if (d->state)
		state_free(d->state);
	close(d->signal_fd);
	settings_free(&d->settings);
	return recorded;
}

/*
 * Returns a descriptor that receives SIGTERM and SIGINT. Must be called before
 * any thread is created, so that all threads block these signals.
 */
static int signals_open(void)
{
	sigset_t set;
	int fd;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
	fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (fd < 0)
		abort();
	return fd;
}

/* Runs the daemon and returns its exit status. */
static int daemon_run(struct daemon *d, const struct options *o,
		      struct error *e)
{
	bool started, clean;
	char *text;

	d->signal_fd = signals_open();
	started = daemon_start(d, o, e);
	if (started) {
		log_event(LOG_STARTED,
			  "vm %.*s dc %.*s callers %u operators "
			  "%u peers %u",
			  BSTR_ARG(d->settings.vm), BSTR_ARG(d->settings.dc),
			  edge_caller_port(d->caller),
			  edge_operator_port(d->operator),
			  edge_peer_port(d->peer));
		daemon_loop(d);
	} else {
		text = error_text(e);
		log_event(LOG_START_FAILED, "%s", text);
		free(text);
	}
	/* Without a signal, the reducer exited because it must not continue. */
	clean = started && d->exit && d->stop_by;
	if (d->forced)
		log_event(LOG_STOP_FORCED, "second signal, or the stop took "
					   "longer than timing.stop_ms");
	return daemon_stop(d) && clean ? 0 : 1;
}

/* Parses the command line; on failure prints the usage and returns false. */
static bool options_parse(int argc, const char **argv, struct options *o)
{
	const struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, &o->settings, 0,
		 "read the settings from FILE", "FILE"},
		{"check", 'c', POPT_ARG_STRING, &o->check, 0,
		 "check the settings in FILE and exit", "FILE"},
		{"record", 'r', POPT_ARG_STRING, &o->record, 0,
		 "record events and effects to FILE, a new file", "FILE"},
		{"announce", 'a', POPT_ARG_STRING, &o->announce, 0,
		 "write the listening ports to FILE after startup", "FILE"},
		{"version", 'V', POPT_ARG_NONE, &o->version, 0,
		 "print the version and exit", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext c = poptGetContext("bamboofrontd", argc, argv, table, 0);
	const char *arg;
	bool ok;
	int rc;

	poptSetOtherOptionHelp(c, "[OPTION...] [SETTINGS]");
	rc = poptGetNextOpt(c);
	if (rc < -1)
		fprintf(stderr, "bamboofrontd: %s: %s\n", poptBadOption(c, 0),
			poptStrerror(rc));
	arg = poptGetArg(c);
	if (arg && !o->settings)
		o->settings = xstrdup(arg);
	ok = rc == -1 && !poptGetArg(c) &&
	     (o->settings || o->check || o->version);
	if (!ok && rc == -1)
		poptPrintUsage(c, stderr, 0);
	poptFreeContext(c);
	return ok;
}

/* Loads the settings and runs the daemon, or only checks the settings. */
static int daemon_main(const struct options *o)
{
	const char *path = o->check ? o->check : o->settings;
	struct daemon d = {0};
	struct error e;
	int rc = 1;

	error_init(&e);
	if (!settings_load(path, &d.settings, &e)) {
		error_print(&e, stderr);
	} else if (o->check) {
		printf("%s: good\n", path);
		settings_free(&d.settings);
		rc = 0;
	} else {
		log_open("bamboofrontd", d.settings.log_level);
		rc = daemon_run(&d, o, &e);
	}
	error_free(&e);
	return rc;
}

int main(int argc, char **argv)
{
	struct options o = {0};
	int rc = 2;

	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return 1;
	if (options_parse(argc, (const char **)argv, &o)) {
		if (o.version) {
			printf("bamboofrontd " BAMBOOFRONT_VERSION "\n");
			rc = 0;
		} else
			rc = daemon_main(&o);
	}
	free(o.settings);
	free(o.check);
	free(o.record);
	free(o.announce);
	curl_global_cleanup();
	return rc;
}
