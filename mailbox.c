#include "bamboofront.h"

#include <ck_ring.h>
#include <errno.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

/*
 * The ring's fences are inline assembly, which ThreadSanitizer does not see.
 * These annotations tell it that writes before a put are visible after the
 * take.
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *);
void __tsan_release(void *);
#define RING_RELEASE(m) __tsan_release(m)
#define RING_ACQUIRE(m) __tsan_acquire(m)
#else
#define RING_RELEASE(m) ((void)(m))
#define RING_ACQUIRE(m) ((void)(m))
#endif

struct mailbox {
	ck_ring_t ring;
	ck_ring_buffer_t *buffer;
	atomic_bool wakeup_wanted; /* the next put writes to the eventfd */
	int fd;
};

/* Creates a mailbox for up to size - 1 pointers; size is a power of two. */
struct mailbox *mailbox_new(unsigned size)
{
	struct mailbox *m = xcalloc(1, sizeof(*m));

	m->buffer = xcalloc(size, sizeof(*m->buffer));
	ck_ring_init(&m->ring, size);
	atomic_init(&m->wakeup_wanted, true);
	m->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (m->fd < 0)
		abort();
	return m;
}

/* Makes the eventfd readable. */
void mailbox_wake(struct mailbox *m)
{
	uint64_t one = 1;
	ssize_t n = write(m->fd, &one, sizeof(one));

	/*
	 * A write fails only if the eventfd's counter is at its maximum.  It is
	 * readable then, so the consumer wakes up anyway.
	 */
	(void)n;
}

/*
 * Adds a pointer; any thread may call this.  Returns false if the mailbox is
 * full.  Only the first put after mailbox_clear_wakeup writes to the eventfd.
 * The consumer drains later entries with the first, and a write for each would
 * cost a system call.
 */
bool mailbox_put(struct mailbox *m, void *p)
{
	RING_RELEASE(m);
	if (!ck_ring_enqueue_mpsc(&m->ring, m->buffer, p))
		return false;
	atomic_thread_fence(memory_order_seq_cst);
	if (atomic_load(&m->wakeup_wanted) &&
	    atomic_exchange(&m->wakeup_wanted, false))
		mailbox_wake(m);
	return true;
}

/*
 * Removes and returns the oldest pointer, or NULL.  Only the consumer may call
 * this.
 */
void *mailbox_take(struct mailbox *m)
{
	void *p;

	if (!ck_ring_dequeue_mpsc(&m->ring, m->buffer, &p))
		return NULL;
	RING_ACQUIRE(m);
	return p;
}

/* Returns the eventfd, to be polled for reading. */
int mailbox_fd(struct mailbox *m)
{
	return m->fd;
}

/*
 * Resets the eventfd and makes the next put write to it.  The consumer calls
 * this before it drains the ring: a pointer added in between is either drained
 * or makes the eventfd readable, so no wake-up is lost.  In the other order the
 * consumer would not be woken for it.
 */
void mailbox_clear_wakeup(struct mailbox *m)
{
	uint64_t count;
	ssize_t n = read(m->fd, &count, sizeof(count)); /* resets it */

	(void)n;
	atomic_store(&m->wakeup_wanted, true);
	atomic_thread_fence(memory_order_seq_cst);
}

/*
 * Waits for a wake-up and resets the eventfd.  Returns false after timeout_ms;
 * -1 waits without limit.
 */
bool mailbox_wait(struct mailbox *m, int timeout_ms)
{
	struct pollfd p = {.fd = m->fd, .events = POLLIN};

	if (poll(&p, 1, timeout_ms) <= 0)
		return false;
	mailbox_clear_wakeup(m);
	return true;
}

/* Frees the mailbox; the caller has drained it before. */
void mailbox_free(struct mailbox *m)
{
	close(m->fd);
	free(m->buffer);
	free(m);
}
