/*
 * The state of the simulated fleet, and the functions that the files of
 * support-sim share.
 */
#ifndef SUPPORT_SIM_STATE_H
#define SUPPORT_SIM_STATE_H

#include "support-queue.h"
#include "support-sim.h"
#include "support-table.h"

#include <stdlib.h>
#include <string.h>

#define LATENCY_MS 1	/* of each message */
#define TIMEOUT_MS 1000 /* of an exchange without an answer */

/* Kinds of items of the queue. */
enum sim_item_kind {
	IT_EVENT,
	IT_TICK,
	IT_PLATFORM,
	IT_WORKER,
	IT_WATCH_TIMEOUT,
	IT_TASK_END,
	IT_BOOT
};

/* A task on a worker. */
struct sim_task {
	struct sim_task *next;
	char id[96];
	unsigned pool, job;
	task_state state;
	const char *reason;
	int64_t started_at;
	int64_t elapsed;      /* run time, with earlier starts */
	uint64_t seq, end_id; /* end_id: of the queue item that ends it */
};

/* A watch of an entry VM that waits for a change of a worker. */
struct sim_watch {
	struct sim_watch *next;
	unsigned entry, generation, pool;
	uint64_t req, id, since;
};

/* The event queue and the fakes. */
struct sim_fakes {
	struct event_queue queue;
	uint64_t random, ids;
	struct fake_table table;
	bstr digests[SIM_TEAMS];
	uint64_t *calls; /* index of the job of each call */
	size_t call_count;
};

/* support-sim.c */

/* Delivers an event to an entry VM after ms milliseconds. */
void sim_entry_post(struct sim *s, unsigned entry, unsigned generation,
		    int64_t ms, event *ev);

/* Returns the number in a name like p3, or count if it isn't below count. */
unsigned sim_name_number(bstr b, unsigned count);

/* support-sim-worker.c */

/* Processes a request that has reached its worker. */
void sim_worker_receive(struct sim *s, struct queue_item *it);

/* Answers a watch whose time is over. */
void sim_watch_timeout(struct sim *s, const struct queue_item *it);

/* Completes the task whose run time is over, unless it was stopped. */
void sim_task_complete(struct sim *s, const struct queue_item *it);

#endif
