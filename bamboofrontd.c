/*
 * bamboofrontd: the daemon.  The main thread is the reducer's; the edges
 * have threads of their own and meet it in the inbox.
 */
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
#define EVENTS_PER_ROUND 1024
/* How much longer than timing.stop_ms a planned stop may take. */
#define STOP_MARGIN_MS 2000
/* The edges have this long to end before the process is ended for them. */
#define EDGES_END_SECONDS 15

/* An event or effect that waits for another round. */
struct waiting {
	TAILQ_ENTRY(waiting) entry;
	event *ev;
	effect *fx;
};
TAILQ_HEAD(waiting_list, waiting);

struct daemon {
	struct settings settings;
	struct mailbox *inbox;
	struct edge_platform *platform;
	struct edge_worker *worker;
	struct edge_peer *peer;
	struct edge_operator *operator;
	struct edge_caller *caller;
	struct state *state;
	struct recorder *recorder;
	struct effects effects;
	struct waiting_list own;     /* events of the daemon's making */
	struct waiting_list answers; /* an edge's queue was full */
	int signal_fd;
	int64_t tick_at;
	int64_t stop_by; /* 0: not stopping */
	bool exit;	 /* the reducer is done */
	bool forced;	 /* ended without it */
};

struct options {
	char *settings;
	char *check;
	char *record;
	char *announce;
	int version;
};

/* Keep an event for the next round. */
static void own_add(struct daemon *d, event *ev)
{
	struct waiting *w = xcalloc(1, sizeof(*w));

	w->ev = ev;
	TAILQ_INSERT_TAIL(&d->own, w, entry);
}

/* Tell the reducer that a request to the platform was not sent. */
static void platform_refused(struct daemon *d, uint64_t req)
{
	event *ev = event_new(EV_PLATFORM);

	ev->body.event_body_u.platform.req = req;
	ev->body.event_body_u.platform.outcome = PLATFORM_REFUSED;
	own_add(d, ev);
}

/* Tell the reducer that a worker was not reached. */
static void worker_not_sent(struct daemon *d, const fx_worker *fx)
{
	event *ev = event_new(EV_WORKER);

	ev->body.event_body_u.worker.req = fx->req;
	ev->body.event_body_u.worker.vm = bstr_copy(fx->vm);
	ev->body.event_body_u.worker.outcome = WORKER_NOT_SENT;
	own_add(d, ev);
}

/* Tell the reducer that a message to a peer was not sent. */
static void peer_lost(struct daemon *d, bstr peer)
{
	event *ev = event_new(EV_PEER_LOST);

	ev->body.event_body_u.lost = bstr_copy(peer);
	own_add(d, ev);
}

/*
 * What becomes of an effect that its edge has no room for.  The reducer
 * waits for an outcome of each request; without one a job would hang for
 * good, so the daemon reports the failure itself.  An answer to a caller
 * has no outcome, but the caller waits for it: it is kept and tried again.
 * There are no more of those than open connections.
 */
static void effect_unsent(struct daemon *d, effect *fx)
{
	struct waiting *w;

	log_event(LOG_OVERRUN, "no room for %s", effect_name(fx->kind));
	switch (fx->kind) {
	case FX_COMMIT:
	case FX_READ:
	case FX_SCAN:
	case FX_OBJECT_PUT:
	case FX_OBJECT_GET:
	case FX_VM_LIST:
	case FX_REBOOT:
		platform_refused(d, effect_request_id(fx));
		break;
	case FX_WORKER:
		worker_not_sent(d, &fx->effect_u.worker);
		break;
	case FX_PEER:
		peer_lost(d, fx->effect_u.peer.to);
		break;
	case FX_ANSWER:
	case FX_OP_REPLY:
		w = xcalloc(1, sizeof(*w));
		w->fx = fx;
		TAILQ_INSERT_TAIL(&d->answers, w, entry);
		return;
	default:
		break;
	}
	effect_free(fx);
}

/* Send an effect to its edge, which owns it then; false: no room. */
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
 * Count.  A family that does not end in _total is a gauge: the amount is
 * its new value.
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

/* Carry out one effect; what it holds is moved or freed. */
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
			effect_unsent(d, owned);
		return;
	}
	xdr_free(XDR_PROC(xdr_effect), (char *)fx);
}

/* One step: stamp the event, reduce it, carry out the effects. */
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
	d->effects.count = 0; /* each was moved or freed; the room stays */
	/* A wake in the past would spin; the next millisecond is soon enough.
	 */
	if (d->tick_at <= ev->now)
		d->tick_at = ev->now + 1;
	event_free(ev);
}

/* Reduce the daemon's own events. */
static void own_drain(struct daemon *d)
{
	struct waiting_list now;
	struct waiting *w;

	/* What these events add is for the next round: no endless loop. */
	TAILQ_INIT(&now);
	TAILQ_CONCAT(&now, &d->own, entry);
	while ((w = TAILQ_FIRST(&now))) {
		TAILQ_REMOVE(&now, w, entry);
		daemon_step(d, w->ev);
		free(w);
	}
}

/* Try again to send answers that found no room. */
static void answers_drain(struct daemon *d)
{
	struct waiting *w;

	while ((w = TAILQ_FIRST(&d->answers)) && effect_send(d, w->fx)) {
		TAILQ_REMOVE(&d->answers, w, entry);
		free(w);
	}
}

/* Reduce a tick if it is due. */
static void tick_drain(struct daemon *d)
{
	if (!d->exit && clock_now() >= d->tick_at)
		daemon_step(d, event_new(EV_TICK));
}

/* Reduce what the edges sent, ticks in between; false: there may be more. */
static bool inbox_drain(struct daemon *d)
{
	event *ev;
	int n;

	mailbox_clear_wakeup(d->inbox);
	for (n = 0; n < EVENTS_PER_ROUND && !d->exit; n++) {
		ev = mailbox_take(d->inbox);
		if (!ev)
			return true;
		daemon_step(d, ev);
		tick_drain(d);
	}
	return false;
}

/* A signal: the first asks for a planned stop, the second ends at once. */
static void signal_drain(struct daemon *d)
{
	struct signalfd_siginfo info;

	while (read(d->signal_fd, &info, sizeof(info)) == sizeof(info)) {
		if (d->stop_by) {
			d->forced = !d->exit;
			continue;
		}
		d->stop_by = clock_now() + d->settings.timing.stop_ms +
			     STOP_MARGIN_MS;
		log_debug("signal %u", info.ssi_signo);
		daemon_step(d, event_new(EV_STOP));
	}
}

/* How long the main thread may sleep. */
static int daemon_sleep(const struct daemon *d, bool drained)
{
	int64_t left = d->tick_at - clock_now();

	if (!drained || !TAILQ_EMPTY(&d->own) || left <= 0)
		return 0;
	if (!TAILQ_EMPTY(&d->answers))
		return 1;
	return left < INT32_MAX ? (int)left : INT32_MAX;
}

/* Reduce events until the reducer is done or the stop takes too long. */
static void daemon_loop(struct daemon *d)
{
	struct pollfd p[] = {
		{.fd = mailbox_fd(d->inbox), .events = POLLIN},
		{.fd = d->signal_fd, .events = POLLIN},
	};
	bool drained = true;

	d->tick_at = clock_now();
	while (!d->exit && !d->forced) {
		if (poll(p, NELEMS(p), daemon_sleep(d, drained)) < 0 &&
		    errno != EINTR)
			abort();
		signal_drain(d);
		answers_drain(d);
		own_drain(d);
		drained = inbox_drain(d);
		tick_drain(d);
		if (!d->exit && d->stop_by && clock_now() > d->stop_by)
			d->forced = true;
	}
	answers_drain(d);
}

/*
 * Tell starters the ports.  The file appears whole or not at all, so that
 * whoever waits for it never reads a half.
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

/* Make the reducer's state, and the recording of it if one is wanted. */
static bool daemon_state(struct daemon *d, const char *record, struct error *e)
{
	const struct address *a = &d->settings.peers.listen;
	char *peer_address;
	uint64_t seed;

	/*
	 * Never a fixed one: the incarnation and with it the ids of
	 * transactions follow from the seed.  A VM that starts again with
	 * the same would send ids that the table has seen, be told that they
	 * are committed, and nothing would be written.
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
 * Start the edges: those towards the platform and workers first, callers
 * last, so that nothing comes in before it can be dealt with.
 */
static bool daemon_start(struct daemon *d, const struct options *o,
			 struct error *e)
{
	const struct settings *s = &d->settings;

	d->inbox = mailbox_new(INBOX_SIZE);
	effects_init(&d->effects);
	TAILQ_INIT(&d->own);
	TAILQ_INIT(&d->answers);
	d->platform = edge_platform_start(s, d->inbox, e);
	if (!d->platform)
		return false;
	d->worker = edge_worker_start(s, d->inbox, e);
	if (!d->worker)
		return false;
	d->peer = edge_peer_start(s, d->inbox, e);
	if (!d->peer || !daemon_state(d, o->record, e))
		return false;
	d->operator= edge_operator_start(s, d->inbox, e);
	if (!d->operator)
		return false;
	d->caller = edge_caller_start(s, d->inbox, e);
	if (!d->caller)
		return false;
	return !o->announce || daemon_announce(d, o->announce, e);
}

/* Free a list of what still waits. */
static void waiting_free(struct waiting_list *list)
{
	struct waiting *w;

	while ((w = TAILQ_FIRST(list))) {
		TAILQ_REMOVE(list, w, entry);
		event_free(w->ev);
		effect_free(w->fx);
		free(w);
	}
}

/* End the edges, callers first, and free everything. */
static bool daemon_end(struct daemon *d)
{
	bool whole;
	event *ev;

	/*
	 * An edge thread that hangs would keep a stopped VM from being
	 * replaced; the alarm ends the process with a bad status.
	 */
	alarm(EDGES_END_SECONDS);
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
	waiting_free(&d->own);
	waiting_free(&d->answers);
	effects_free(&d->effects);
	whole = recorder_close(d->recorder);
	if (d->state)
		state_free(d->state);
	close(d->signal_fd);
	settings_free(&d->settings);
	return whole;
}

/*
 * Take SIGTERM and SIGINT from a descriptor.  Called before any thread is
 * made, so that all of them block these signals.
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

/* Run until a signal asks for a stop. */
static int daemon_run(struct daemon *d, const struct options *o,
		      struct error *e)
{
	bool started, good;
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
	/* Without a signal, the reducer ended because it must not go on. */
	good = started && d->exit && d->stop_by;
	if (d->forced)
		log_event(LOG_STOP_FORCED, "a second signal, or no end within "
					   "timing.stop_ms");
	return daemon_end(d) && good ? 0 : 1;
}

/* Read the command line; false: usage, said on standard error. */
static bool options_read(int argc, const char **argv, struct options *o)
{
	const struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, &o->settings, 0,
		 "read the settings from FILE", "FILE"},
		{"check", 'c', POPT_ARG_STRING, &o->check, 0,
		 "check the settings in FILE and end", "FILE"},
		{"record", 'r', POPT_ARG_STRING, &o->record, 0,
		 "record what the reducer does to FILE, a new file", "FILE"},
		{"announce", 'a', POPT_ARG_STRING, &o->announce, 0,
		 "write the ports to FILE once it listens", "FILE"},
		{"version", 'V', POPT_ARG_NONE, &o->version, 0,
		 "print the version and end", NULL},
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

/* Load the settings and run, or only check them. */
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
	if (options_read(argc, (const char **)argv, &o)) {
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
