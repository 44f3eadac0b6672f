/*
 * A process of bamboofront-entryd beside a played platform.
 */
#ifndef SUPPORT_ENTRY_H
#define SUPPORT_ENTRY_H

#include "../bamboofront.h"

struct entry_process {
	const char *name;
	const char *ip;		 /* where it listens; NULL: 127.0.0.1 */
	uint16_t callers_port;	 /* 0: chosen at its start */
	uint16_t readiness_port; /* likewise */
	uint16_t store_port;	 /* on 127.0.0.1, as the list of machines */
	uint16_t machines_port;
	unsigned start_number; /* numbers its log, DIR/NAME-LIFE.log */
	pid_t pid;
};

/* Writes its settings to DIR/NAME.json and starts it; it dies with its parent.
 */
void entry_process_start(struct entry_process *p, const char *dir);

#endif
