#include "heap.h"
#include "bamboofront.h"

#include <stdlib.h>

/* Stores a node at a position, counted from 1. */
static void node_put(struct heap *h, size_t pos, struct heap_node *n)
{
	h->nodes[pos - 1] = n;
	n->index = pos;
}

/* Moves a node up until its parent is not due later. */
static void node_sift_up(struct heap *h, struct heap_node *n)
{
	size_t pos = n->index;
	struct heap_node *parent;

	while (pos > 1) {
		parent = h->nodes[pos / 2 - 1];
		if (parent->due <= n->due)
			break;
		node_put(h, pos, parent);
		pos /= 2;
	}
	node_put(h, pos, n);
}

/* Moves a node down until no child is due earlier. */
static void node_sift_down(struct heap *h, struct heap_node *n)
{
	size_t pos = n->index, child;

	while ((child = 2 * pos) <= h->count) {
		if (child < h->count &&
		    h->nodes[child]->due < h->nodes[child - 1]->due)
			child++;
		if (n->due <= h->nodes[child - 1]->due)
			break;
		node_put(h, pos, h->nodes[child - 1]);
		pos = child;
	}
	node_put(h, pos, n);
}

/* Inserts a node, or changes its time if it is in the heap. */
void heap_set(struct heap *h, struct heap_node *n, int64_t due)
{
	n->due = due;
	if (!n->index) {
		if (h->count == h->capacity) {
			h->capacity = h->capacity ? 2 * h->capacity : 64;
			h->nodes = xrealloc(h->nodes, h->capacity,
					    sizeof(struct heap_node *));
		}
		node_put(h, ++h->count, n);
	}
	node_sift_up(h, n);
	node_sift_down(h, n);
}

/* Removes a node, if it is in the heap. */
void heap_remove(struct heap *h, struct heap_node *n)
{
	struct heap_node *last;
	size_t pos = n->index;

	if (!pos)
		return;
	n->index = 0;
	last = h->nodes[--h->count];
	if (last == n)
		return;
	node_put(h, pos, last);
	node_sift_up(h, last);
	node_sift_down(h, last);
}

/* Returns the node that is due first, or NULL if the heap is empty. */
struct heap_node *heap_first(const struct heap *h)
{
	return h->count ? h->nodes[0] : NULL;
}

/* Frees the heap but not its nodes, which belong to the caller. */
void heap_free(struct heap *h)
{
	free(h->nodes);
	*h = (struct heap){0};
}
