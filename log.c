#include "bamboofront.h"

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

const struct log_event_def log_event_defs[] = {
#define LOG_EVENT(name, number, level, description) \
	{number, level, #name, description},
#include "log.def"
#undef LOG_EVENT
};
const size_t log_event_def_count = NELEMS(log_event_defs);

/*
 * Size of the buffer that holds lines for a slow reader.  When it is full,
 * lines are dropped and counted; debug lines are dropped when it is half full.
 */
#define LOG_BUFFER_SIZE (128 * 1024)
/*
 * PIPE_BUF: a pipe accepts a write of up to this size whole or not at all, and
 * does not block while poll reports it as writable.
 */
#define LOG_WRITE_MAX 4096
/* Buffer size of a line; a longer text is truncated. */
#define LOG_LINE_MAX 1024

static const char *log_program = "bamboofront";
static enum log_level log_max_level = LEVEL_INFO;

/* State of the structured log, after log_open_structured. */
static struct {
	pthread_mutex_t lock;
	int fd;
	bool enabled;
	char vm[64];
	char *buffer;
	size_t start;
	size_t end;
	uint64_t dropped;
} log_stream = {.lock = PTHREAD_MUTEX_INITIALIZER, .fd = -1};

/* Returns the event with a number, or NULL if there is none. */
static const struct log_event_def *log_find(uint32_t number)
{
	size_t i;

	for (i = 0; i < log_event_def_count; i++)
		if (log_event_defs[i].number == number)
			return &log_event_defs[i];
	return NULL;
}

/* Sets the program's name and the least severe level that is written. */
void log_open(const char *program, enum log_level max_level)
{
	log_program = program;
	log_max_level = max_level;
}

/* Returns the name of a level. */
static const char *level_word(enum log_level level)
{
	static const char *const words[] = {
		[LEVEL_ERR] = "error",	   [LEVEL_WARNING] = "warning",
		[LEVEL_NOTICE] = "notice", [LEVEL_INFO] = "info",
		[LEVEL_DEBUG] = "debug",
	};

	return words[level];
}

/*
 * Replaces control characters with '?', so that input from outside cannot forge
 * a line or the end of a field.
 */
static void line_sanitize(char *p, const char *end)
{
	for (; p < end; p++)
		if ((unsigned char)*p < 0x20 || *p == 0x7f)
			*p = '?';
}

/*
 * Appends the text to the n bytes of a line's prefix, truncated to what fits,
 * and a newline.  Returns the length of the line.
 */
static size_t line_finish(char line[LOG_LINE_MAX], int n, const char *fmt,
			  va_list ap)
{
	int m = vsnprintf(line + n, LOG_LINE_MAX - (size_t)n - 1, fmt, ap);

	if (m < 0)
		m = 0;
	if (m > LOG_LINE_MAX - 2 - n)
		m = LOG_LINE_MAX - 2 - n;
	line_sanitize(line, line + n + m);
	line[n + m] = '\n';
	return (size_t)(n + m + 1);
}

/*
 * Switches to structured lines: key=value pairs in a fixed order, buffered in
 * memory until log_flush writes them to fd without blocking.
 */
void log_open_structured(int fd, int vm_len, const char *vm)
{
	pthread_mutex_lock(&log_stream.lock);
	log_stream.fd = fd;
	log_stream.enabled = true;
	snprintf(log_stream.vm, sizeof(log_stream.vm), "%.*s", vm_len, vm);
	if (!log_stream.buffer)
		log_stream.buffer = xmalloc(LOG_BUFFER_SIZE);
	pthread_mutex_unlock(&log_stream.lock);
}

/*
 * Appends a line to the buffer, or drops and counts it.  The caller holds the
 * lock.
 */
static void stream_append(const char *line, size_t n, enum log_level level)
{
	size_t used = log_stream.end - log_stream.start;
	size_t limit = level == LEVEL_DEBUG ? LOG_BUFFER_SIZE / 2
					    : LOG_BUFFER_SIZE;

	if (used + n > limit) {
		log_stream.dropped++;
		return;
	}
	if (log_stream.end + n > LOG_BUFFER_SIZE) {
		memmove(log_stream.buffer, log_stream.buffer + log_stream.start,
			used);
		log_stream.start = 0;
		log_stream.end = used;
	}
	memcpy(log_stream.buffer + log_stream.end, line, n);
	log_stream.end += n;
}

/* Formats a structured line and appends it to the buffer. */
static void stream_write(const struct log_event_def *def, const char *fmt,
			 va_list ap)
{
	char line[LOG_LINE_MAX];
	int64_t wall = clock_wall();
	size_t len;
	int n;

	n = snprintf(line, sizeof(line),
		     "ev=%u name=%s level=%s wall_ms=%lld mono_ms=%lld vm=%s ",
		     def->number, def->name, level_word(def->level),
		     (long long)wall, (long long)clock_now(), log_stream.vm);
	len = line_finish(line, n, fmt, ap);
	pthread_mutex_lock(&log_stream.lock);
	stream_append(line, len, def->level);
	pthread_mutex_unlock(&log_stream.lock);
}

/* Returns the number of buffered bytes to write at once, always whole lines. */
static size_t stream_chunk(void)
{
	size_t n = log_stream.end - log_stream.start;
	const char *p = log_stream.buffer + log_stream.start;

	if (n <= LOG_WRITE_MAX)
		return n;
	for (n = LOG_WRITE_MAX; n && p[n - 1] != '\n'; n--)
		;
	return n;
}

/* Logs how many lines were dropped, once the buffer has room again. */
static void stream_report_dropped(void)
{
	char line[128];
	int n;

	if (!log_stream.dropped ||
	    log_stream.end - log_stream.start > LOG_BUFFER_SIZE / 2)
		return;
	n = snprintf(line, sizeof(line),
		     "ev=%d name=OVERRUN level=warning vm=%s dropped=%llu\n",
		     LOG_OVERRUN, log_stream.vm,
		     (unsigned long long)log_stream.dropped);
	log_stream.dropped = 0;
	stream_append(line, (size_t)n, LEVEL_WARNING);
}

/*
 * Writes buffered lines as long as the reader accepts them.  A plain write
 * would block forever if the reader has stopped.  A pipe that poll reports as
 * writable accepts 4 KB, so at most that much is written after each poll.
 */
void log_flush(void)
{
	struct pollfd p = {.events = POLLOUT};
	ssize_t n;

	pthread_mutex_lock(&log_stream.lock);
	p.fd = log_stream.fd;
	while (log_stream.enabled && log_stream.end > log_stream.start &&
	       poll(&p, 1, 0) > 0 && (p.revents & POLLOUT)) {
		n = write(log_stream.fd, log_stream.buffer + log_stream.start,
			  stream_chunk());
		if (n <= 0)
			break; /* the reader has gone; keep the lines for now */
		log_stream.start += (size_t)n;
		if (log_stream.start == log_stream.end)
			log_stream.start = log_stream.end = 0;
	}
	stream_report_dropped();
	pthread_mutex_unlock(&log_stream.lock);
}

/*
 * Writes a line with one write(2), so that lines of threads and processes that
 * share stderr are not interleaved.
 */
static void log_write(const struct log_event_def *def, const char *fmt,
		      va_list ap)
{
	char line[LOG_LINE_MAX], stamp[32];
	struct timespec ts;
	struct tm tm;
	size_t len;
	int n;

	if (log_stream.enabled) {
		stream_write(def, fmt, ap);
		return;
	}
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(line, sizeof(line),
		     "<%d>%s.%03ldZ %s[%d]: %u %s: ", 24 + (int)def->level,
		     stamp, ts.tv_nsec / 1000000, log_program, (int)getpid(),
		     def->number, def->name);
	len = line_finish(line, n, fmt, ap);
	if (write(STDERR_FILENO, line, len) < 0)
		return; /* nobody reads stderr; the error cannot be reported */
}

/* Logs an event by its number; an unknown number is ignored. */
void log_event(uint32_t number, const char *fmt, ...)
{
	const struct log_event_def *def = log_find(number);
	va_list ap;

	if (!def || def->level > log_max_level)
		return;
	va_start(ap, fmt);
	log_write(def, fmt, ap);
	va_end(ap);
}

/* Logs a debug line, as event 1000. */
void log_debug(const char *fmt, ...)
{
	va_list ap;

	if (log_max_level < LEVEL_DEBUG)
		return;
	va_start(ap, fmt);
	log_write(&log_event_defs[0], fmt, ap);
	va_end(ap);
}
