/*
 * Rows of the platform's table, except the configuration's head, which is
 * JSON.  Changes of a row are ordered only by its revision in the table;
 * nothing in a row depends on a clock.  Each comment names the row's key.
 */
%#include "types.h"

/*
 * member/<vm>: the membership of an entry VM, which renews its own row;
 * no other VM writes it.
 */
struct member_row {
	bstr vm;
	bstr dc;
	bstr address;		/* of its listener for peers */
	uint64_t incarnation;	/* differs between processes of a VM */
	uint64_t seq;		/* grows with each renewal */
	bool leaving;		/* a planned stop has begun */
};

/*
 * cell/<pool>/<dc> and shard/<number>: the ownership of a unit, which is
 * either a cell or a shard of the jobs.
 */
struct unit_row {
	bstr owner;		/* entry VM; empty: released */
	uint64_t epoch;		/* grows with each change of owner */
};

/*
 * journal/<shard>/<segment>: the journal of a shard's jobs.  It records that
 * the shard claimed a job, that the job moved to another cell, and its final
 * state.
 */
enum journal_kind {
	JOURNAL_CLAIM = 1,
	JOURNAL_MOVE = 2,
	JOURNAL_FINAL = 3
};

struct journal_claim {
	bstr job;
	job_spec spec;
	bstr digest;		/* of the request, to detect a reused key */
	cell_id cell;
	uint32_t attempt;
};

struct journal_move {
	bstr job;
	cell_id cell;
	uint32_t attempt;
};

union journal_record switch (journal_kind kind) {
case JOURNAL_CLAIM:
	journal_claim claim;
case JOURNAL_MOVE:
	journal_move move;
case JOURNAL_FINAL:
	job_view final;
};

struct journal_row {
	journal_record records<LIST_MAX>;
};

/*
 * allow/<team>: how a team's upper limit is divided among cells.  The sum of
 * amounts never exceeds limit in any revision of the row.
 */
struct cell_allowance {
	cell_id cell;
	uint32_t amount;
};

struct allowance_row {
	uint32_t limit;
	cell_allowance allowances<LIST_MAX>;
};

/*
 * boots/<pool>/<dc>: the boot id of each worker that may have received work
 * that must not run twice.  A worker that restarts loses its record of what
 * it ran.  While history_lost is set, because that happened in the cell, the
 * absence of a job from its workers does not prove that the job did not run.
 */
struct worker_boot {
	bstr vm;
	bstr boot;		/* boot id */
};

struct boots_row {
	bool history_lost;
	worker_boot boots<LIST_MAX>;
};

/* vm/<name>: a VM of a pool; the only record of which pool it is in. */
enum vm_state {
	VM_ACTIVE = 0,
	VM_DRAINING = 1,	/* gets no new work; out or moved once empty */
	VM_OUT = 2		/* drained; may be rebooted */
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
	bstr target_pool;	/* pool that it moves to once empty */
	bstr wave;		/* wave that drains it */
	bstr boot;		/* boot id of its worker when last drained */
	uint32_t deadline_ms;	/* time for tasks to end during a drain */
};

/*
 * vms/head: a generation that grows with each change of a vm/ row, and the
 * latest changes, newest first.  Readers poll this row only and then read
 * the rows that changed.
 */
struct vm_change {
	uint64_t generation;
	bstr vm;
};

struct vms_head {
	uint64_t generation;
	vm_change recent<256>;
};

/*
 * pool/<name>: the VMs of a pool that are out, and why.  The availability
 * budget is enforced on this row.
 */
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

/* wave/<name>: a maintenance wave, which drains and reboots VMs of a pool. */
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
	bstr boot;		/* boot id of its worker before the reboot */
};

struct wave_row {
	bstr wave;
	bstr pool;
	wave_state state;
	uint32_t deadline_ms;	/* per VM drain */
	wave_vm vms<LIST_MAX>;
	bstr blocked_reason;	/* why the next VM is not drained, or empty */
};
