#include "heap.h"
#include "bamboofront.h"

#include <stdlib.h>

/* Put a node at a place. */
static void node_put(struct heap *h, size_t place, struct heap_node *n)
{
	h->nodes[place - 1] = n;
	n->index = place;
}

/* Move a node up to where it belongs. */
static void node_rise(struct heap *h, struct heap_node *n)
{
	size_t place = n->index;
	struct heap_node *parent;

	while (place > 1) {
		parent = h->nodes[place / 2 - 1];
		if (parent->due <= n->due)
			break;
		node_put(h, place, parent);
		place /= 2;
	}
	node_put(h, place, n);
}

/* Move a node down to where it belongs. */
static void node_sink(struct heap *h, struct heap_node *n)
{
	size_t place = n->index, child;

	while ((child = 2 * place) <= h->count) {
		if (child < h->count &&
		    h->nodes[child]->due < h->nodes[child - 1]->due)
			child++;
		if (n->due <= h->nodes[child - 1]->due)
			break;
		node_put(h, place, h->nodes[child - 1]);
		place = child;
	}
	node_put(h, place, n);
}

/* Put a node in, or move it, to be due at a time. */
void heap_set(struct heap *h, struct heap_node *n, int64_t at)
{
	n->due = at;
	if (!n->index) {
		if (h->count == h->capacity) {
			h->capacity = h->capacity ? 2 * h->capacity : 64;
			h->nodes = xrealloc(h->nodes, h->capacity,
					    sizeof(struct heap_node *));
		}
		node_put(h, ++h->count, n);
	}
	node_rise(h, n);
	node_sink(h, n);
}

/* Take a node out, if it is in. */
void heap_remove(struct heap *h, struct heap_node *n)
{
	struct heap_node *last;
	size_t place = n->index;

	if (!place)
		return;
	n->index = 0;
	last = h->nodes[--h->count];
	if (last == n)
		return;
	node_put(h, place, last);
	node_rise(h, last);
	node_sink(h, last);
}

/* The node that is due first. */
struct heap_node *heap_first(const struct heap *h)
{
	return h->count ? h->nodes[0] : NULL;
}

/* Free the heap. */
void heap_free(struct heap *h)
{
	free(h->nodes);
	*h = (struct heap){0};
}
