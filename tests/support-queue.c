#include "support-queue.h"

#include <stdlib.h>

/* Returns true if item a comes before item b. */
static bool queue_item_before(const struct queue_item *a,
			      const struct queue_item *b)
{
	return a->at < b->at || (a->at == b->at && a->seq < b->seq);
}

/* Adds an item. */
void event_queue_put(struct event_queue *q, struct queue_item item)
{
	size_t i = q->count++, up;

	if (q->count > q->room) {
		q->room = q->room ? q->room * 2 : 256;
		q->items = xrealloc(q->items, q->room, sizeof(*q->items));
	}
	item.seq = ++q->seq;
	for (; i && queue_item_before(&item, &q->items[up = (i - 1) / 2]);
	     i = up)
		q->items[i] = q->items[up];
	q->items[i] = item;
}

/* Removes the first item and returns it; there must be one. */
struct queue_item event_queue_take(struct event_queue *q)
{
	struct queue_item top = q->items[0], last = q->items[--q->count];
	size_t i = 0, k;

	while ((k = 2 * i + 1) < q->count) {
		if (k + 1 < q->count &&
		    queue_item_before(&q->items[k + 1], &q->items[k]))
			k++;
		if (!queue_item_before(&q->items[k], &last))
			break;
		q->items[i] = q->items[k];
		i = k;
	}
	q->items[i] = last;
	return top;
}

/* Frees the items with their events and effects. */
void event_queue_free(struct event_queue *q)
{
	while (q->count) {
		q->count--;
		event_free(q->items[q->count].ev);
		effect_free(q->items[q->count].fx);
	}
	free(q->items);
}
