/*
 * An installation of real processes of bamboofront-entryd on loopback for the
 * soak test, beside a stand-in of the platform, and faults drawn from a seed.
 */
#ifndef SUPPORT_SOAK_H
#define SUPPORT_SOAK_H

#include "../bamboofront.h"
#include "standin.h"
#include "support-relay.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>

#define VMS 4
#define KEY "k1" /* of the organisation at its upper limit */

/*
 * Paths of the queues: one of quick jobs, and one of an organisation at its
 * upper limit.
 */
#define QUEUES 2
#define LIMITED 1 /* index of the latter */
extern const char *const queue_paths[QUEUES];

struct vm {
	pid_t pid; /* 0: not running */
	uint16_t port, readiness;
	uint16_t store; /* port of its relay to the store */
	char name[8];
	unsigned start_count;
	bool stopping; /* a planned stop was requested */
	int64_t started_at;
	int64_t stop_by;
	int64_t down_until; /* restart time */
};
/* The remaining kills of the owner of the scheduling and its successors. */
struct owner_kills {
	unsigned kills;
	uint64_t epoch; /* epoch of the last owner killed */
	unsigned down_ms;
};
struct soak {
	char dir[64];
	uint64_t random;
	struct standin cloud;
	pthread_mutex_t control; /* serialises calls to the stand-in */
	struct relay_net *net;
	struct vm vms[VMS];
	struct owner_kills owner_kills;
	unsigned keep_s; /* retention of final jobs; 0: longer than the run */
	const char *store_fault, *start_fault; /* JSON; "" for none */
	FILE *log_file;			       /* log of the faults */
	unsigned config, limit;
	bool evacuated; /* one of the data centres */
	atomic_uint violations;
};

/* Starts the stand-in and the VMs. */
void soak_start(struct soak *s, uint64_t seed);

/* Stops everything; the logs are kept only if something was wrong. */
void soak_stop(struct soak *s);

/* Draws a random number below a bound. */
unsigned draw(uint64_t *random, unsigned below);

/* Reports a violation and counts it. */
void violation(struct soak *s, const char *what, const char *id);

/* Writes a fault to the log, which explains the logs of a failed seed. */
void fault_log(struct soak *s, const char *what, const char *where);

/* Connects to a VM; returns -1 if it doesn't listen. */
int vm_connect(const struct vm *v);

/*
 * Restarts the processes that have ended, and kills those whose planned stop
 * takes too long.
 */
void vms_supervise(struct soak *s);

/*
 * Sends a request to the stand-in and returns its answer, which the caller
 * frees.
 */
json_t *cloud_call(struct soak *s, const char *method, const char *path,
		   const char *body);

/*
 * Returns a row of the scheduler from the store, and its age; NULL if there is
 * none.
 */
json_t *scheduler_row(struct soak *s, const char *key, int64_t *age);

/* Writes a new configuration; an upper limit of 0 means none. */
void config_write(struct soak *s);

/* Draws and injects one fault. */
void fault_inject(struct soak *s);

/* Ends the faults that last. */
void faults_end(struct soak *s);

/*
 * Kills the owner of the scheduling while kills remain; each must have claimed
 * a later epoch than the last one killed.
 */
void owner_kill(struct soak *s);

#endif
