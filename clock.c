#include "bamboofront.h"

#include <time.h>

/* Reads a clock in milliseconds. */
static int64_t clock_read(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/*
 * Returns monotonic time.  CLOCK_BOOTTIME includes the time during which the VM
 * was suspended, so a lease holder sees after a resume that its lease has
 * expired.  CLOCK_MONOTONIC stops during suspension and would make the lease
 * look valid.
 */
int64_t clock_now(void)
{
	return clock_read(CLOCK_BOOTTIME);
}

/*
 * Returns the processor time that a thread of this process has used, 0 if it
 * cannot be read.
 */
int64_t clock_thread_cpu(pthread_t thread)
{
	clockid_t id;

	return pthread_getcpuclockid(thread, &id) ? 0 : clock_read(id);
}

/*
 * Returns wall-clock time.  It is used only for output to people and for
 * deadlines of sealed envelopes, because it can be stepped.
 */
int64_t clock_wall(void)
{
	return clock_read(CLOCK_REALTIME);
}
