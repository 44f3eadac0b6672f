#include "bamboofront.h"

#include <ck_ring.h>
#include <errno.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

/*
 * The ring's fences are inline assembly, which the thread sanitizer does not
 * see; these tell it that what was written before a put is seen after the
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
	atomic_bool asked; /* the reader wants to be woken by the next put */
	int fd;
};

/* Make a mailbox for up to size - 1 pointers; size is a power of two. */
struct mailbox *mailbox_new(unsigned size)
{
	struct mailbox *m = xcalloc(1, sizeof(*m));

	m->buffer = xcalloc(size, sizeof(*m->buffer));
	ck_ring_init(&m->ring, size);
	atomic_init(&m->asked, true);
	m->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (m->fd < 0)
		abort();
	return m;
}

/* Make the descriptor readable. */
void mailbox_wake(struct mailbox *m)
{
	uint64_t one = 1;
	ssize_t n = write(m->fd, &one, sizeof(one));

	/*
	 * A failed write means that the eventfd's count is at its top: it
	 * is readable then, so the reader wakes all the same.
	 */
	(void)n;
}

/*
 * Put a pointer, from any thread.  The first put since the reader has cleared
 * the descriptor wakes it; what follows is drained with that one, and a write
 * for each would be a system call for each.
 */
bool mailbox_put(struct mailbox *m, void *p)
{
	RING_RELEASE(m);
	if (!ck_ring_enqueue_mpsc(&m->ring, m->buffer, p))
		return false;
	atomic_thread_fence(memory_order_seq_cst);
	if (atomic_load(&m->asked) && atomic_exchange(&m->asked, false))
		mailbox_wake(m);
	return true;
}

/* Take the oldest pointer; only the one reader may call this. */
void *mailbox_take(struct mailbox *m)
{
	void *p;

	if (!ck_ring_dequeue_mpsc(&m->ring, m->buffer, &p))
		return NULL;
	RING_ACQUIRE(m);
	return p;
}

/* The descriptor to poll for reading. */
int mailbox_fd(struct mailbox *m)
{
	return m->fd;
}

/*
 * Reset the descriptor and ask to be woken.  The reader does this before it
 * drains the ring: a pointer put in between is either drained or makes the
 * descriptor readable, so no wake-up is lost.
 */
void mailbox_clear_wakeup(struct mailbox *m)
{
	uint64_t count;
	ssize_t n = read(m->fd, &count, sizeof(count)); /* sets it to 0 */

	(void)n;
	atomic_store(&m->asked, true);
	atomic_thread_fence(memory_order_seq_cst);
}

/* Sleep until something may be there, at most timeout_ms. */
bool mailbox_wait(struct mailbox *m, int timeout_ms)
{
	struct pollfd p = {.fd = m->fd, .events = POLLIN};

	if (poll(&p, 1, timeout_ms) <= 0)
		return false;
	mailbox_clear_wakeup(m);
	return true;
}

/* Free the mailbox; what is still in it is the caller's to drain before. */
void mailbox_free(struct mailbox *m)
{
	close(m->fd);
	free(m->buffer);
	free(m);
}
