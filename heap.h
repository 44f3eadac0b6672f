/*
 * A binary heap of what is due, its nodes embedded in what they belong to.
 */
#ifndef HEAP_H
#define HEAP_H

#include <stddef.h>
#include <stdint.h>

struct heap_node {
	int64_t due;
	size_t index; /* in the heap, from 1; 0: in none */
};

struct heap {
	struct heap_node **nodes;
	size_t count;
	size_t capacity;
};

/* What a node is embedded in. */
#define HEAP_ENTRY(node, type, field) \
	((type *)(void *)((char *)(node)-offsetof(type, field)))

/* Puts a node in, or moves it, to be due at a time. */
void heap_set(struct heap *h, struct heap_node *n, int64_t at);
void heap_remove(struct heap *h, struct heap_node *n); /* if it is in */
struct heap_node *heap_first(const struct heap *h);    /* NULL: it is empty */
void heap_free(struct heap *h); /* the nodes are their owners' */

#endif
