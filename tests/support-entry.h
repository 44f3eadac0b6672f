/*
 * Runs bamboofront-entryd as a child process next to a fake platform.
 */
#ifndef SUPPORT_ENTRY_H
#define SUPPORT_ENTRY_H

#include "../bamboofront.h"

struct entry_process {
	const char *name;
	const char *ip;		 /* address to listen on; NULL: 127.0.0.1 */
	uint16_t callers_port;	 /* 0: chosen at the start */
	uint16_t readiness_port; /* 0: chosen at the start */
	uint16_t store_port;	 /* of the fake store, on 127.0.0.1 */
	uint16_t machines_port;	 /* of the fake machine list, on 127.0.0.1 */
	unsigned keep_s;	 /* retention of final jobs; 0: 120 s */
	unsigned start_number;	 /* the log is DIR/NAME-START_NUMBER.log */
	pid_t pid;
};

/*
 * Writes the settings to DIR/NAME.json and starts the process, which is
 * killed when its parent ends.
 */
void entry_process_start(struct entry_process *p, const char *dir);

#endif
