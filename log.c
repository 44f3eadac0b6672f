#include "bamboofront.h"

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

const struct log_entry log_entries[] = {
#define LOG_EVENT(name, number, level, what) {number, level, #name, what},
#include "log.def"
#undef LOG_EVENT
};
const size_t log_entry_count = NELEMS(log_entries);

/*
 * Lines wait in memory for a reader that is slow, up to this; then they are
 * dropped and counted, debugging detail from half of it on.
 */
#define LOG_WAITING_MAX (128 * 1024)
/* A pipe takes a write of so much whole or not at all, without blocking. */
#define LOG_WRITE_MAX 4096
/* A line has fewer bytes; a longer text is cut. */
#define LOG_LINE_MAX 1024

static const char *log_program = "bamboofront";
static enum log_level log_most = LEVEL_INFO;

/* The structured log, if there is one. */
static struct {
	pthread_mutex_t lock;
	int fd;
	bool on;
	char vm[64];
	char *waiting;
	size_t start;
	size_t end;
	uint64_t dropped;
} log_stream = {.lock = PTHREAD_MUTEX_INITIALIZER, .fd = -1};

/* Find the entry of a number; NULL if the catalogue has none. */
static const struct log_entry *log_find(uint32_t number)
{
	size_t i;

	for (i = 0; i < log_entry_count; i++)
		if (log_entries[i].number == number)
			return &log_entries[i];
	return NULL;
}

/* Name the program and say up to which level lines are written. */
void log_open(const char *program, enum log_level most)
{
	log_program = program;
	log_most = most;
}

/* The word for a level. */
static const char *level_word(enum log_level level)
{
	static const char *const words[] = {
		[LEVEL_ERR] = "error",	   [LEVEL_WARNING] = "warning",
		[LEVEL_NOTICE] = "notice", [LEVEL_INFO] = "info",
		[LEVEL_DEBUG] = "debug",
	};

	return words[level];
}

/* Bytes from outside must not be able to forge a line or a field's end. */
static void line_clean(char *p, const char *end)
{
	for (; p < end; p++)
		if ((unsigned char)*p < 0x20 || *p == 0x7f)
			*p = '?';
}

/*
 * Put the text behind the n bytes of a line's head, cut to what fits, and
 * end the line; how long it is then.
 */
static size_t line_finish(char line[LOG_LINE_MAX], int n, const char *fmt,
			  va_list ap)
{
	int m = vsnprintf(line + n, LOG_LINE_MAX - (size_t)n - 1, fmt, ap);

	if (m < 0)
		m = 0;
	if (m > LOG_LINE_MAX - 2 - n)
		m = LOG_LINE_MAX - 2 - n;
	line_clean(line, line + n + m);
	line[n + m] = '\n';
	return (size_t)(n + m + 1);
}

/*
 * Write structured lines to a descriptor from now on: key=value in a fixed
 * order, collected in memory and written by log_flush, which never blocks.
 */
void log_open_structured(int fd, int vm_len, const char *vm)
{
	pthread_mutex_lock(&log_stream.lock);
	log_stream.fd = fd;
	log_stream.on = true;
	snprintf(log_stream.vm, sizeof(log_stream.vm), "%.*s", vm_len, vm);
	if (!log_stream.waiting)
		log_stream.waiting = xmalloc(LOG_WAITING_MAX);
	pthread_mutex_unlock(&log_stream.lock);
}

/* Put a whole line among those that wait; the lock is held. */
static void stream_put(const char *line, size_t n, enum log_level level)
{
	size_t used = log_stream.end - log_stream.start;
	size_t most = level == LEVEL_DEBUG ? LOG_WAITING_MAX / 2
					   : LOG_WAITING_MAX;

	if (used + n > most) {
		log_stream.dropped++;
		return;
	}
	if (log_stream.end + n > LOG_WAITING_MAX) {
		memmove(log_stream.waiting,
			log_stream.waiting + log_stream.start, used);
		log_stream.start = 0;
		log_stream.end = used;
	}
	memcpy(log_stream.waiting + log_stream.end, line, n);
	log_stream.end += n;
}

/* Make a structured line and let it wait. */
static void stream_write(const struct log_entry *entry, const char *fmt,
			 va_list ap)
{
	char line[LOG_LINE_MAX];
	int64_t wall = clock_wall();
	size_t len;
	int n;

	n = snprintf(line, sizeof(line),
		     "ev=%u name=%s level=%s wall_ms=%lld mono_ms=%lld vm=%s ",
		     entry->number, entry->name, level_word(entry->level),
		     (long long)wall, (long long)clock_now(), log_stream.vm);
	len = line_finish(line, n, fmt, ap);
	pthread_mutex_lock(&log_stream.lock);
	stream_put(line, len, entry->level);
	pthread_mutex_unlock(&log_stream.lock);
}

/* How much of what waits to write at once: whole lines. */
static size_t stream_chunk(void)
{
	size_t n = log_stream.end - log_stream.start;
	const char *p = log_stream.waiting + log_stream.start;

	if (n <= LOG_WRITE_MAX)
		return n;
	for (n = LOG_WRITE_MAX; n && p[n - 1] != '\n'; n--)
		;
	return n;
}

/* Say how many lines were lost, once there is room again. */
static void stream_tell_dropped(void)
{
	char line[128];
	int n;

	if (!log_stream.dropped ||
	    log_stream.end - log_stream.start > LOG_WAITING_MAX / 2)
		return;
	n = snprintf(line, sizeof(line),
		     "ev=%d name=OVERRUN level=warning vm=%s dropped=%llu\n",
		     LOG_OVERRUN, log_stream.vm,
		     (unsigned long long)log_stream.dropped);
	log_stream.dropped = 0;
	stream_put(line, (size_t)n, LEVEL_WARNING);
}

/*
 * Write what waits, as far as the reader takes it at once.  A reader that
 * has stopped would block a plain write for good; what a pipe reports as
 * writable takes 4 KB, so no more than that is written for each report.
 */
void log_flush(void)
{
	struct pollfd p = {.events = POLLOUT};
	ssize_t n;

	pthread_mutex_lock(&log_stream.lock);
	p.fd = log_stream.fd;
	while (log_stream.on && log_stream.end > log_stream.start &&
	       poll(&p, 1, 0) > 0 && (p.revents & POLLOUT)) {
		n = write(log_stream.fd, log_stream.waiting + log_stream.start,
			  stream_chunk());
		if (n <= 0)
			break; /* the reader is gone: lines wait and are lost */
		log_stream.start += (size_t)n;
		if (log_stream.start == log_stream.end)
			log_stream.start = log_stream.end = 0;
	}
	stream_tell_dropped();
	pthread_mutex_unlock(&log_stream.lock);
}

/*
 * Write one line in one write(2), so that lines of threads and processes
 * that share a standard error don't mix.  Control characters from outside
 * become '?': a caller must not be able to forge a line.
 */
static void log_write(const struct log_entry *entry, const char *fmt,
		      va_list ap)
{
	char line[LOG_LINE_MAX], stamp[32];
	struct timespec ts;
	struct tm tm;
	size_t len;
	int n;

	if (log_stream.on) {
		stream_write(entry, fmt, ap);
		return;
	}
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(line, sizeof(line),
		     "<%d>%s.%03ldZ %s[%d]: %u %s: ", 24 + (int)entry->level,
		     stamp, ts.tv_nsec / 1000000, log_program, (int)getpid(),
		     entry->number, entry->name);
	len = line_finish(line, n, fmt, ap);
	if (write(STDERR_FILENO, line, len) < 0)
		return; /* nobody reads standard error: nothing to be done */
}

/* Write a numbered event. */
void log_event(uint32_t number, const char *fmt, ...)
{
	const struct log_entry *entry = log_find(number);
	va_list ap;

	if (!entry || entry->level > log_most)
		return;
	va_start(ap, fmt);
	log_write(entry, fmt, ap);
	va_end(ap);
}

/* Write a debugging line, event 1000. */
void log_debug(const char *fmt, ...)
{
	va_list ap;

	if (log_most < LEVEL_DEBUG)
		return;
	va_start(ap, fmt);
	log_write(&log_entries[0], fmt, ap);
	va_end(ap);
}
