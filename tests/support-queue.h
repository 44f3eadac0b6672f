/*
 * The queue of a simulation: what happens at which simulated time.  Items of
 * the same time come in the order in which they were added.
 */
#ifndef SUPPORT_QUEUE_H
#define SUPPORT_QUEUE_H

#include "../bamboofront.h"

struct exchange;

struct queue_item {
	int64_t at;
	uint64_t seq;	     /* set by event_queue_put() */
	unsigned kind;	     /* a value of an enum of the simulation */
	unsigned index;	     /* of an entry VM or a worker */
	unsigned generation; /* of the entry VM's process */
	uint64_t n;	     /* depends on the kind */
	event *ev;
	effect *fx;
	struct exchange *x; /* of support-fleet */
};

/* A binary heap; its first item is the next one. */
struct event_queue {
	struct queue_item *items;
	size_t count, room;
	uint64_t seq;
};

void event_queue_put(struct event_queue *q, struct queue_item item);

/* Removes the first item and returns it; there must be one. */
struct queue_item event_queue_take(struct event_queue *q);

/* Frees the items with their events and effects. */
void event_queue_free(struct event_queue *q);

#endif
