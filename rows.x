/*
 * Rows of the platform's table, other than the configuration's head, which
 * is JSON.  A row's version in the table is the only thing that orders its
 * changes; nothing in a row depends on a clock.
 */
%#include "types.h"

/* member/<vm>: an entry VM renews its own row; nobody else writes it. */
struct member_row {
	bstr vm;
	bstr dc;
	bstr address;		/* of its peers' listener */
	uint64_t incarnation;
	uint64_t seq;
	bool leaving;
};

/* cell/<pool>/<dc> and shard/<number>. */
struct unit_row {
	bstr owner;		/* empty: released */
	uint64_t epoch;		/* grows with each change of owner */
};

/* journal/<shard>/<segment>: what was claimed and how it ended. */
enum record_kind {
	RECORD_CLAIM = 1,
	RECORD_MOVE = 2,
	RECORD_FINAL = 3
};

struct record_claim {
	bstr job;
	job_spec spec;
	bstr digest;		/* of the request, to tell a reused key */
	cell_id cell;
	uint32_t attempt;
};

struct record_move {
	bstr job;
	cell_id cell;
	uint32_t attempt;
};

union record switch (record_kind kind) {
case RECORD_CLAIM:
	record_claim claim;
case RECORD_MOVE:
	record_move move;
case RECORD_FINAL:
	job_view final;
};

struct journal_row {
	record records<LIST_MAX>;
};

/* allow/<team>: the sum of holds never exceeds limit in any version. */
struct allowance_hold {
	cell_id cell;
	uint32_t amount;
};

struct allowance_row {
	uint32_t limit;
	allowance_hold holds<LIST_MAX>;
};

/*
 * boots/<pool>/<dc>: the boot of each worker that may have been given work
 * that must not run twice.  forgotten: some worker of the cell has lost what
 * it remembered, so that "no trace" proves nothing for a while.
 */
struct worker_boot {
	bstr vm;
	bstr boot;
};

struct boots_row {
	bool history_lost;
	worker_boot boots<LIST_MAX>;
};

/* vm/<name>: the one place that says which pool a VM is in. */
enum vm_state {
	VM_ACTIVE = 0,
	VM_DRAINING = 1,	/* no new work; leaves when empty */
	VM_OUT = 2		/* drained: may be rebooted */
};

struct vm_row {
	bstr vm;
	bstr pool;
	bstr dc;
	bstr rack;
	bstr address;
	uint32_t slots;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	vm_state state;
	bstr target_pool;		/* pool it moves to once empty */
	bstr wave;		/* the wave that drains it */
	bstr boot;		/* of its worker when it was last drained */
	uint32_t deadline_ms;	/* tasks may finish for so long */
};

/* vms/head: grows with each change of a vm/ row; names the last ones. */
struct vm_change {
	uint64_t generation;
	bstr vm;
};

struct vms_head {
	uint64_t generation;
	vm_change recent<256>;
};

/* pool/<name>: who is out, and why; the availability budget is kept here. */
enum out_reason {
	OUT_DRAIN = 0,
	OUT_FAILED = 1
};

struct pool_out_vm {
	bstr vm;
	out_reason reason;
};

struct pool_row {
	pool_out_vm out_vms<LIST_MAX>;
};

/* wave/<name>. */
enum wave_state {
	WAVE_PLANNED = 0,
	WAVE_RUNNING = 1,
	WAVE_PAUSED = 2,
	WAVE_CANCELLED = 3,
	WAVE_FINISHED = 4
};

enum wave_step {
	STEP_WAITING = 0,
	STEP_DRAINING = 1,
	STEP_REBOOTING = 2,
	STEP_DONE = 3,
	STEP_SKIPPED = 4
};

struct wave_vm {
	bstr vm;
	wave_step step;
	bstr boot;		/* of its worker before the reboot */
};

struct wave_row {
	bstr wave;
	bstr pool;
	wave_state state;
	uint32_t deadline_ms;
	wave_vm vms<LIST_MAX>;
	bstr blocked_reason;		/* why the next VM is not drained; empty: not */
};
