/*
 * bamboofront-entryd: the daemon of an entry VM on the platform.  The main
 * thread is the scheduler's; the edges have threads of their own and meet it
 * in the inbox.
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
#define EVENTS_PER_ROUND 256
/* The scheduler looks at the clock so often. */
#define TICK_MS 40
/* The settings file is looked at so often: it may change without a signal. */
#define SETTINGS_LOOK_MS 1000
#define PROCESSOR_TOLD_MS 1000

/* Processor time that the threads had used, in ms. */
struct processor {
	int64_t scheduler;
	int64_t store;
	int64_t workers;
};

struct entry {
	char *path;
	struct entry_settings settings;
	struct timespec changed; /* of the settings file */
	int64_t look_at;
	struct mailbox *store_inbox; /* taken first, see platform/calls.c */
	struct mailbox *inbox;
	struct platform *platform;
	struct front *front;
	struct sched *sched;
	struct sched_effects effects;
	int64_t tick_at;
	int64_t told_at; /* the latest line about processor time */
	struct processor processor;
	bool stopped; /* the scheduler knows of the planned stop */
	bool exit;
};

static volatile sig_atomic_t signal_stop, signal_reload;
static int signal_fd = -1;

/* Note a signal and wake the main thread. */
static void signal_note(int number)
{
	uint64_t one = 1;
	int saved = errno;
	ssize_t n;

	if (number == SIGHUP)
		signal_reload = 1;
	else
		signal_stop = 1;
	/* A failed write means that the count is at its top: it is awake. */
	n = write(signal_fd, &one, sizeof(one));
	(void)n;
	errno = saved;
}

/* Catch the signals of the platform. */
static void signals_catch(void)
{
	static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};
	struct sigaction sa = {.sa_handler = signal_note,
			       .sa_flags = SA_RESTART};
	size_t i;

	signal_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	for (i = 0; i < NELEMS(numbers); i++)
		sigaction(numbers[i], &sa, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/* Carry out one effect. */
static void effect_execute(struct entry *d, struct sched_effect *fx)
{
	switch (fx->kind) {
	case EFFECT_ASK:
		platform_send(d->platform, fx); /* owns it now */
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

/* Reduce one event and carry out its effects. */
static void entry_step(struct entry *d, struct sched_event *ev)
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

/* Reduce an event of the daemon's own. */
static void entry_own(struct entry *d, enum sched_event_kind kind)
{
	struct sched_event *ev = xcalloc(1, sizeof(*ev));

	ev->kind = kind;
	entry_step(d, ev);
}

/*
 * Read the settings again if the file has changed.  Addresses stay those of
 * the start: a process that moves is started anew; a file with a mistake is
 * reported and changes nothing.
 */
static void settings_look(struct entry *d, bool asked)
{
	struct entry_settings next;
	struct error e;
	struct stat st;
	char *text;

	d->look_at = clock_now() + SETTINGS_LOOK_MS;
	if (stat(d->path, &st) != 0 ||
	    (!asked && st.st_mtim.tv_sec == d->changed.tv_sec &&
	     st.st_mtim.tv_nsec == d->changed.tv_nsec))
		return;
	d->changed = st.st_mtim;
	error_init(&e);
	if (entry_settings_load(d->path, &next, &e)) {
		log_open("bamboofront-entryd", next.log_level);
		log_event(LOG_RELOADED, "ok=1 signal=%d", asked);
	} else {
		text = error_text(&e);
		log_event(LOG_RELOADED, "ok=0 signal=%d error=\"%s\"", asked,
			  text);
		free(text);
	}
	entry_settings_free(&next);
	error_free(&e);
}

/* Deal with signals that came. */
static void signals_drain(struct entry *d)
{
	uint64_t count;

	while (read(signal_fd, &count, sizeof(count)) == sizeof(count))
		;
	if (signal_reload) {
		signal_reload = 0;
		settings_look(d, true);
	}
	if (signal_stop && !d->stopped) {
		d->stopped = true;
		entry_own(d, EVENT_STOP);
	}
}

/*
 * Tell what the owner's threads have used in the last second: what it does not
 * get done may be for want of processor, which no other line shows.
 */
static void processor_tell(struct entry *d)
{
	struct processor now = {.scheduler = clock_thread_cpu(pthread_self())};
	const struct processor *before = &d->processor;

	platform_cpu_ms(d->platform, &now.store, &now.workers);
	if (counter_get(COUNT_OWNER))
		log_event(LOG_PROCESSOR,
			  "ms=%lld scheduler_ms=%lld store_ms=%lld "
			  "workers_ms=%lld",
			  (long long)(clock_now() - d->told_at),
			  (long long)(now.scheduler - before->scheduler),
			  (long long)(now.store - before->store),
			  (long long)(now.workers - before->workers));
	d->processor = now;
	d->told_at = clock_now();
}

/* The next event to reduce; NULL: none has come. */
static struct sched_event *inbox_take(struct entry *d)
{
	struct sched_event *ev = mailbox_take(d->store_inbox);

	return ev ? ev : mailbox_take(d->inbox);
}

/* Reduce what has come in; false: there may be more. */
static bool inbox_drain(struct entry *d)
{
	struct sched_event *ev, *next;
	int n;

	mailbox_clear_wakeup(d->store_inbox);
	mailbox_clear_wakeup(d->inbox);
	ev = inbox_take(d);
	for (n = 1; ev; n++) {
		next = n < EVENTS_PER_ROUND ? inbox_take(d) : NULL;
		ev->more_follow = next != NULL;
		entry_step(d, ev);
		ev = next;
	}
	return n <= EVENTS_PER_ROUND;
}

/* Reduce events until the scheduler says that the process may end. */
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
		signals_drain(d);
		drained = inbox_drain(d);
		if (clock_now() >= d->tick_at) {
			d->tick_at = clock_now() + TICK_MS;
			entry_own(d, EVENT_TICK);
		}
		if (clock_now() >= d->look_at)
			settings_look(d, false);
		if (clock_now() >= d->told_at + PROCESSOR_TOLD_MS)
			processor_tell(d);
		log_flush();
	}
}

/* Start the edges; callers come last, when they can be served. */
static bool entry_start(struct entry *d, struct error *e)
{
	TAILQ_INIT(&d->effects);
	d->store_inbox = mailbox_new(INBOX_SIZE);
	d->inbox = mailbox_new(INBOX_SIZE);
	randombytes_buf(&d->settings.sched.seed,
			sizeof(d->settings.sched.seed));
	d->settings.sched.seed >>= 1; /* JSON's whole numbers have a sign */
	d->sched = sched_new(&d->settings.sched);
	d->platform = platform_start(&d->settings.platform, d->store_inbox,
				     d->inbox, e);
	if (!d->platform)
		return false;
	d->front = front_start(&d->settings.front, d->inbox, e);
	return d->front != NULL;
}

/* Stop the edges and free everything. */
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

/* Read the command line; the exit status if there is nothing to run. */
static int options_read(int argc, char **argv, struct entry *d, bool *check)
{
	char *path = NULL;
	int version = 0, only_check = 0, rc;
	struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, &path, 0,
		 "settings file; default: $" PLATFORM_SETTINGS_VARIABLE,
		 "FILE"},
		{"check", 'c', POPT_ARG_NONE, &only_check, 0,
		 "check the settings file and end", NULL},
		{"version", 'v', POPT_ARG_NONE, &version, 0,
		 "print the version and end", NULL},
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
	*check = only_check;
	if (d->path)
		return -1;
	fprintf(stderr,
		"no settings: give --settings or set " PLATFORM_SETTINGS_VARIABLE
		"\n");
	return 2;
}

/* Run the daemon. */
int main(int argc, char **argv)
{
	struct entry d = {0};
	struct error e;
	bool check = false;
	struct stat st;
	int rc = options_read(argc, argv, &d, &check);

	if (rc >= 0)
		return rc;
	/* First of all: a reload that comes early must not end the process. */
	signals_catch();
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
		d.changed = st.st_mtim;
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
