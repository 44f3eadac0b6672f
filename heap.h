/*
 * An intrusive binary min-heap, ordered by the time at which nodes are due.
 * A node is embedded in the structure that it schedules.
 */
#ifndef HEAP_H
#define HEAP_H

#include <stddef.h>
#include <stdint.h>

struct heap_node {
	int64_t due;
	size_t index; /* position in the heap from 1; 0 if not in a heap */
};

struct heap {
	struct heap_node **nodes;
	size_t count;
	size_t capacity;
};

/* Returns the structure of the given type that embeds node as its field. */
#define HEAP_ENTRY(node, type, field) \
	((type *)(void *)((char *)(node)-offsetof(type, field)))

void heap_set(struct heap *h, struct heap_node *n, int64_t due);
void heap_remove(struct heap *h, struct heap_node *n);
struct heap_node *heap_first(const struct heap *h);
void heap_free(struct heap *h);

#endif
