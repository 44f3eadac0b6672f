/*
 * bamboofront-entryd: the daemon of an entry VM on the platform. The main
 * thread runs the scheduler. The edges (platform/) have their own threads and
 * post events to the scheduler's inboxes.
 */
#include "entry-settings.h"

#include <errno.h>
#include <poll.h>
#include <popt.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/stat.h>
#include <unistd.h>

#define INBOX_SIZE 16384
/* Limits the events of an iteration, so that ticks and signals are handled. */
#define EVENTS_PER_ITERATION 256
#define TICK_MS 40 /* interval of EVENT_TICK */
/* The settings file may change without a signal, so it is polled as well. */
#define SETTINGS_POLL_MS 1000
#define REPORT_MS 1000

/* CPU time that the threads have used, in ms. */
struct cpu_times {
	int64_t scheduler;
	int64_t store;
	int64_t workers;
};

struct entry {
	char *path;
	struct entry_settings settings;
	struct timespec settings_mtime;
	int64_t settings_poll_at;
	struct mailbox *store_inbox; /* has precedence, see platform/calls.c */
	struct mailbox *inbox;
	struct platform *platform;
	struct front *front;
	struct sched *sched;
	struct sched_effects effects;
	int64_t tick_at;
	int64_t cpu_reported_at;
	struct cpu_times cpu; /* at the last report */
	bool stop_requested;  /* EVENT_STOP was sent */
	bool exit;
};

static volatile sig_atomic_t signal_stop, signal_reload;
static int signal_fd = -1;

/* The signal handler: sets a flag and wakes the main thread. */
static void signal_handler(int number)
{
	uint64_t one = 1;
	int saved = errno;
	ssize_t n;

	if (number == SIGHUP)
		signal_reload = 1;
	else
		signal_stop = 1;
	/* Fails only if the counter is full, when poll returns anyway. */
	n = write(signal_fd, &one, sizeof(one));
	(void)n;
	errno = saved;
}

/* Installs the handlers of the signals that the platform sends. */
static void signals_init(void)
{
	static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};
	struct sigaction sa = {.sa_handler = signal_handler,
			       .sa_flags = SA_RESTART};
	size_t i;

	signal_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	for (i = 0; i < NELEMS(numbers); i++)
		sigaction(numbers[i], &sa, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/* Executes an effect and frees it. */
static void effect_execute(struct entry *d, struct sched_effect *fx)
{
	switch (fx->kind) {
	case EFFECT_ASK:
		platform_send(d->platform, fx); /* takes ownership */
		return;
	case EFFECT_REPLY:
		front_reply(d->front, &fx->reply);
		break;
	case EFFECT_READY:
		front_set_ready(d->front, fx->ready);
		break;
	case EFFECT_LOG:
		log_event(fx->log.number, "%s", fx->log.text);
		break;
	case EFFECT_COUNT:
		counter_add(fx->count.id, fx->count.n);
		break;
	case EFFECT_GAUGE:
		counter_set(fx->count.id, fx->count.n);
		break;
	case EFFECT_OBSERVE:
		histogram_observe(fx->observe.id, fx->observe.ms);
		break;
	case EFFECT_END:
		d->exit = true;
		break;
	}
	sched_effect_free(fx);
}

/* Passes an event to the scheduler, executes the effects, frees the event. */
static void entry_handle(struct entry *d, struct sched_event *ev)
{
	struct sched_effect *fx;

	ev->now = clock_now();
	ev->wall = clock_wall();
	sched_reduce(d->sched, ev, &d->effects);
	while ((fx = TAILQ_FIRST(&d->effects))) {
		TAILQ_REMOVE(&d->effects, fx, entry);
		effect_execute(d, fx);
	}
	sched_event_free(ev);
}

/* Handles an event that the daemon itself creates. */
static void entry_raise(struct entry *d, enum sched_event_kind kind)
{
	struct sched_event *ev = xcalloc(1, sizeof(*ev));

	ev->kind = kind;
	entry_handle(d, ev);
}

/*
 * Reloads the settings file if it has changed or if SIGHUP was received.
 * Only the log level takes effect; changed addresses need a restart. An invalid
 * file is logged and changes nothing.
 */
static void settings_poll(struct entry *d, bool signalled)
{
	struct entry_settings next;
	struct error e;
	struct stat st;
	char *text;

	d->settings_poll_at = clock_now() + SETTINGS_POLL_MS;
	if (stat(d->path, &st) != 0 ||
	    (!signalled && st.st_mtim.tv_sec == d->settings_mtime.tv_sec &&
	     st.st_mtim.tv_nsec == d->settings_mtime.tv_nsec))
		return;
	d->settings_mtime = st.st_mtim;
	error_init(&e);
	if (entry_settings_load(d->path, &next, &e)) {
		log_open("bamboofront-entryd", next.log_level);
		log_event(LOG_RELOADED, "ok=1 signal=%d", signalled);
	} else {
		text = error_text(&e);
		log_event(LOG_RELOADED, "ok=0 signal=%d error=\"%s\"",
			  signalled, text);
		free(text);
	}
	entry_settings_free(&next);
	error_free(&e);
}

/* Handles the signals that were received since the last call. */
static void signals_handle(struct entry *d)
{
	uint64_t count;

	while (read(signal_fd, &count, sizeof(count)) == sizeof(count))
		;
	if (signal_reload) {
		signal_reload = 0;
		settings_poll(d, true);
	}
	if (signal_stop && !d->stop_requested) {
		d->stop_requested = true;
		entry_raise(d, EVENT_STOP);
	}
}

/*
 * Logs the CPU time that the threads have used since the last report, if this
 * VM is the owner. An owner that falls behind may lack CPU time, which no other
 * log line shows.
 */
static void cpu_report(struct entry *d)
{
	struct cpu_times now = {.scheduler = clock_thread_cpu(pthread_self())};
	const struct cpu_times *before = &d->cpu;

	platform_cpu_ms(d->platform, &now.store, &now.workers);
	if (counter_get(COUNT_OWNER))
		log_event(LOG_PROCESSOR,
			  "ms=%lld scheduler_ms=%lld store_ms=%lld "
			  "workers_ms=%lld",
			  (long long)(clock_now() - d->cpu_reported_at),
			  (long long)(now.scheduler - before->scheduler),
			  (long long)(now.store - before->store),
			  (long long)(now.workers - before->workers));
	d->cpu = now;
	d->cpu_reported_at = clock_now();
}

/* Returns the next event, or NULL. Answers of the store come first. */
static struct sched_event *inbox_take(struct entry *d)
{
	struct sched_event *ev = mailbox_take(d->store_inbox);

	return ev ? ev : mailbox_take(d->inbox);
}

/*
 * Handles the events in the inboxes. Returns false if the limit for an
 * iteration was reached, when more events may be waiting.
 */
static bool inbox_drain(struct entry *d)
{
	struct sched_event *ev, *next;
	int n;

	mailbox_clear_wakeup(d->store_inbox);
	mailbox_clear_wakeup(d->inbox);
	ev = inbox_take(d);
	for (n = 1; ev; n++) {
		next = n < EVENTS_PER_ITERATION ? inbox_take(d) : NULL;
		ev->more_follow = next != NULL;
		entry_handle(d, ev);
		ev = next;
	}
	return n <= EVENTS_PER_ITERATION;
}

/* The event loop; returns when the scheduler has emitted EFFECT_END. */
static void entry_loop(struct entry *d)
{
	struct pollfd p[] = {
		{.fd = mailbox_fd(d->store_inbox), .events = POLLIN},
		{.fd = mailbox_fd(d->inbox), .events = POLLIN},
		{.fd = signal_fd, .events = POLLIN},
	};
	bool drained = true;
	int64_t left;

	while (!d->exit) {
		left = d->tick_at - clock_now();
		if (!drained || left < 0)
			left = 0;
		if (poll(p, NELEMS(p), (int)left) < 0 && errno != EINTR)
			abort();
		signals_handle(d);
		drained = inbox_drain(d);
		if (clock_now() >= d->tick_at) {
			d->tick_at = clock_now() + TICK_MS;
			entry_raise(d, EVENT_TICK);
		}
		if (clock_now() >= d->settings_poll_at)
			settings_poll(d, false);
		if (clock_now() >= d->cpu_reported_at + REPORT_MS) {
			cpu_report(d);
			front_sweep(d->front, clock_now());
		}
		log_flush();
	}
}

/*
 * Starts the scheduler and the edges. The front comes last, because its callers
 * need the others. Returns false with an error on failure.
 */
static bool entry_start(struct entry *d, struct error *e)
{
	TAILQ_INIT(&d->effects);
	d->store_inbox = mailbox_new(INBOX_SIZE);
	d->inbox = mailbox_new(INBOX_SIZE);
	randombytes_buf(&d->settings.sched.seed,
			sizeof(d->settings.sched.seed));
	d->settings.sched.seed >>= 1; /* fits a signed JSON integer */
	d->sched = sched_new(&d->settings.sched);
	d->platform = platform_start(&d->settings.platform, d->store_inbox,
				     d->inbox, e);
	if (!d->platform)
		return false;
	d->front = front_start(&d->settings.front, d->inbox, e);
	return d->front != NULL;
}

/* Stops the edges and frees everything. */
static void entry_stop(struct entry *d)
{
	struct sched_event *ev;

	if (d->front)
		front_stop(d->front);
	if (d->platform)
		platform_stop(d->platform);
	while ((ev = inbox_take(d)))
		sched_event_free(ev);
	sched_free(d->sched);
	mailbox_free(d->store_inbox);
	mailbox_free(d->inbox);
	entry_settings_free(&d->settings);
}

/*
 * Parses the command line. Returns -1 if the daemon should run or check its
 * settings, else the exit status.
 */
static int options_parse(int argc, char **argv, struct entry *d, bool *check)
{
	char *path = NULL;
	int version = 0, check_only = 0, rc;
	struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, &path, 0,
		 "settings file; default: $" PLATFORM_SETTINGS_VARIABLE,
		 "FILE"},
		{"check", 'c', POPT_ARG_NONE, &check_only, 0,
		 "check the settings file and exit", NULL},
		{"version", 'v', POPT_ARG_NONE, &version, 0,
		 "print the version and exit", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext c = poptGetContext(NULL, argc, (const char **)argv, table,
				       0);

	rc = poptGetNextOpt(c);
	if (rc < -1) {
		fprintf(stderr, "%s: %s\n",
			poptBadOption(c, POPT_BADOPTION_NOALIAS),
			poptStrerror(rc));
		poptFreeContext(c);
		return 2;
	}
	poptFreeContext(c);
	if (version) {
		printf("bamboofront-entryd %s\n", BAMBOOFRONT_VERSION);
		return 0;
	}
	d->path = path;
	if (!path && getenv(PLATFORM_SETTINGS_VARIABLE))
		d->path = xstrdup(getenv(PLATFORM_SETTINGS_VARIABLE));
	*check = check_only;
	if (d->path)
		return -1;
	fprintf(stderr,
		"no settings; pass --settings or set " PLATFORM_SETTINGS_VARIABLE
		"\n");
	return 2;
}

int main(int argc, char **argv)
{
	struct entry d = {0};
	struct error e;
	bool check = false;
	struct stat st;
	int rc = options_parse(argc, argv, &d, &check);

	if (rc >= 0)
		return rc;
	/* Comes first: without a handler, an early SIGHUP ends the process. */
	signals_init();
	error_init(&e);
	if (!entry_settings_load(d.path, &d.settings, &e) ||
	    sodium_init() < 0) {
		error_print(&e, stderr);
		return 2;
	}
	if (check)
		return 0;
	log_open("bamboofront-entryd", d.settings.log_level);
	log_open_structured(STDOUT_FILENO, BSTR_ARG(d.settings.sched.vm));
	if (stat(d.path, &st) == 0)
		d.settings_mtime = st.st_mtim;
	if (!entry_start(&d, &e)) {
		error_print(&e, stderr);
		return 1;
	}
	log_event(LOG_STARTED, "version=%s life=%llx", BAMBOOFRONT_VERSION,
		  (unsigned long long)d.settings.sched.seed);
	entry_loop(&d);
	log_event(LOG_STOPPED, "signal=%d", signal_stop);
	entry_stop(&d);
	log_flush();
	error_free(&e);
	free(d.path);
	return 0;
}
