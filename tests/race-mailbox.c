#include "../bamboofront.h"

#include <pthread.h>
#include <stdlib.h>

#define WRITERS 4
#define ITEMS_EACH 20000

/* An item of a writer; the reader checks that its numbers arrive in order. */
struct item {
	int writer;
	int number;
};

struct writer {
	struct mailbox *mailbox;
	int index;
};

/* The thread of a writer. */
static void *writer_run(void *arg)
{
	struct writer *w = arg;
	struct item *it;
	int i;

	for (i = 0; i < ITEMS_EACH; i++) {
		it = xmalloc(sizeof(*it));
		it->writer = w->index;
		it->number = i;
		while (!mailbox_put(w->mailbox, it))
			sched_yield();
	}
	return NULL;
}

/*
 * Several writers fill a small mailbox while the reader sleeps on its
 * descriptor.  A lost wake-up shows as a wait that times out with items
 * missing; a lost or duplicated pointer as a gap in a writer's numbers.
 */
int main(void)
{
	struct mailbox *m = mailbox_new(64);
	struct writer w[WRITERS];
	pthread_t t[WRITERS];
	int next[WRITERS] = {0}, received = 0, bad = 0, i;
	struct item *it;

	for (i = 0; i < WRITERS; i++) {
		w[i] = (struct writer){m, i};
		pthread_create(&t[i], NULL, writer_run, &w[i]);
	}
	while (received < WRITERS * ITEMS_EACH) {
		it = mailbox_take(m);
		if (!it) {
			if (!mailbox_wait(m, 10000))
				break;
			continue;
		}
		bad += it->number != next[it->writer]++;
		free(it);
		received++;
	}
	for (i = 0; i < WRITERS; i++)
		pthread_join(t[i], NULL);
	mailbox_free(m);
	bad += received != WRITERS * ITEMS_EACH;
	printf("%d passed, %d failed\n", bad ? 0 : 1, bad ? 1 : 0);
	return bad != 0;
}
