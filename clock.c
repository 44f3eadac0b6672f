#include "bamboofront.h"

#include <time.h>

/* Read a clock in milliseconds. */
static int64_t clock_read(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/*
 * Monotonic time.  CLOCK_BOOTTIME goes on while a VM is suspended, so a
 * holder that was frozen with its VM sees on waking that its deadlines have
 * passed; CLOCK_MONOTONIC would tell it that no time went by.
 */
int64_t clock_now(void)
{
	return clock_read(CLOCK_BOOTTIME);
}

/* Processor time that a thread of this process has used. */
int64_t clock_thread_cpu(pthread_t thread)
{
	clockid_t id;

	return pthread_getcpuclockid(thread, &id) ? 0 : clock_read(id);
}

/* Wall clock; only for what people read and for envelopes' deadlines. */
int64_t clock_wall(void)
{
	return clock_read(CLOCK_REALTIME);
}
