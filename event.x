/*
 * Events that the reducer consumes and effects that it emits.  A recording is
 * a stream of both, so a replay needs nothing but the file.
 */
%#include "types.h"
%#include "operator.h"
%#include "peer.h"

/* The platform: its table, objects and list of VMs. */
struct table_row {
	bstr key;
	uint64_t revision;	/* 0: no such row */
	bstr value;
};

/* Commit condition: the row is at this revision (0: does not exist). */
struct table_check {
	bstr key;
	uint64_t revision;
};

struct table_write {
	bstr key;
	bool remove;
	bstr value;
};

struct fx_commit {
	uint64_t req;
	bstr txid;		/* makes a repeated commit idempotent */
	table_check checks<LIST_MAX>;
	table_write writes<LIST_MAX>;
};

struct fx_read {
	uint64_t req;
	bstr keys<LIST_MAX>;
};

struct fx_scan {
	uint64_t req;
	bstr prefix;
};

struct fx_object {
	uint64_t req;
	bstr name;
	bstr body;		/* FX_OBJECT_PUT only */
};

enum platform_outcome {
	PLATFORM_OK = 0,
	PLATFORM_CONFLICT = 1,	/* a check failed; nothing was written */
	PLATFORM_REFUSED = 2,	/* rate limited or down; not executed */
	PLATFORM_UNKNOWN = 3,	/* no answer; may have been executed */
	PLATFORM_NOT_FOUND = 4,
	PLATFORM_INVALID = 5	/* the answer could not be parsed */
};

struct listed_vm {
	bstr vm;
	bstr dc;
	bstr rack;
	bstr address;
	bool leaving;
};

/* Reboots a VM, provided that its worker still has this boot id. */
struct fx_reboot {
	uint64_t req;
	bstr vm;
	bstr boot_id;
};

/* The platform's answer to a request, or that there was none. */
struct ev_platform {
	uint64_t req;
	platform_outcome outcome;
	table_row rows<LIST_MAX>;
	bstr body;
	listed_vm vms<LIST_MAX>;
	uint32_t retry_after_ms;
};

/* Workers. */
enum task_state {
	TASK_RUNNING = 0,
	TASK_DONE = 1,
	TASK_FAILED = 2,	/* ran and failed */
	TASK_REFUSED = 3,	/* not started, and never will be here */
	TASK_STOPPED = 4,	/* stopped after it had started */
	TASK_LAPSED = 5,	/* stopped because its lease expired */
	TASK_CHECKPOINTED = 6	/* stopped, with its progress saved */
};

struct task_start {
	bstr task;
	bstr payload;
	bstr checkpoint;	/* state to resume from; empty: none */
	uint32_t start_by_ms;	/* refused by the worker after this */
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
};

enum task_verb {
	TASK_STOP = 1,		/* stop it, and refuse any later start */
	TASK_CHECKPOINT = 2,
	TASK_THROTTLE = 3,
	TASK_FORGET = 4		/* its result was stored; drop its report */
};

struct task_order {
	bstr task;
	task_verb verb;
	uint32_t percent;	/* TASK_THROTTLE only */
};

/*
 * A request to a worker.  A watch is a long poll: it is answered when a task
 * changes after since (a seq of ev_worker), or after wait_ms.  A command
 * carries starts and orders.  Both renew the leases of all tasks of the cell.
 */
struct fx_worker {
	uint64_t req;
	bstr vm;
	bstr address;
	cell_id cell;
	uint64_t epoch;
	uint32_t lease_ms;
	bool watch;
	uint32_t wait_ms;
	uint64_t since;
	task_start starts<4096>;
	task_order orders<4096>;
};

struct task_report {
	bstr task;
	task_state state;
	bstr reason;
	bstr result;
	uint32_t ran_ms;
	uint32_t cpu_milli;
	uint32_t memory_mb;
};

enum worker_outcome {
	WORKER_OK = 0,
	WORKER_STALE = 1,	/* refused: it has seen a higher epoch */
	WORKER_NOT_SENT = 2,	/* no connection; it received nothing */
	WORKER_NO_ANSWER = 3,	/* it may have received the request */
	WORKER_INVALID = 4,	/* the answer could not be parsed */
	WORKER_BUSY = 5		/* refused; no part of it was executed */
};

/* A worker's answer to an exchange, or that there was none. */
struct ev_worker {
	uint64_t req;
	bstr vm;
	worker_outcome outcome;
	bstr boot_id;		/* changes when the worker restarts */
	uint64_t epoch;		/* highest that it has seen for the cell */
	uint64_t seq;		/* position in the worker's task changes */
	bool leaving;
	uint32_t slots;
	task_report tasks<LIST_MAX>;
};

/* Callers and operators. */
struct ev_call {
	uint64_t call;
	caller_request request;
};

struct ev_operate {
	uint64_t call;
	op_request request;
};

struct ev_peer {
	bstr from;
	peer_message message;
};

enum event_kind {
	EV_TICK = 0,
	EV_CALL = 1,
	EV_CALL_GONE = 2,
	EV_OPERATE = 3,
	EV_PEER = 4,
	EV_PEER_LOST = 5,	/* messages to a peer may be lost */
	EV_PLATFORM = 6,
	EV_WORKER = 7,
	EV_STOP = 8
};

union event_body switch (event_kind kind) {
case EV_CALL:
	ev_call call;
case EV_CALL_GONE:
	uint64_t gone;		/* call whose caller disconnected */
case EV_OPERATE:
	ev_operate operate;
case EV_PEER:
	ev_peer peer;
case EV_PEER_LOST:
	bstr lost;		/* the peer */
case EV_PLATFORM:
	ev_platform platform;
case EV_WORKER:
	ev_worker worker;
case EV_TICK:
case EV_STOP:
	void;
};

struct event {
	int64_t now;		/* monotonic milliseconds */
	event_body body;
};

/* Effects. */
struct fx_answer {
	uint64_t call;
	caller_answer answer;
};

struct fx_op_reply {
	uint64_t call;
	op_reply reply;
};

/*
 * The message must not be sent after the deadline (monotonic): a process that
 * resumes after a pause must not deliver what it decided before.
 */
struct fx_peer {
	bstr to;
	bstr address;
	int64_t deadline;
	peer_message message;
};

struct fx_log {
	uint32_t number;	/* of the event in log.def */
	bstr text;
};

struct fx_count {
	uint32_t counter;
	uint64_t amount;
};

enum effect_kind {
	FX_ANSWER = 1,
	FX_OP_REPLY = 2,
	FX_PEER = 3,
	FX_COMMIT = 4,
	FX_READ = 5,
	FX_SCAN = 6,
	FX_OBJECT_PUT = 7,
	FX_OBJECT_GET = 8,
	FX_VM_LIST = 9,
	FX_WORKER = 10,
	FX_LOG = 11,
	FX_COUNT = 12,
	FX_WAKE = 13,		/* requests a tick at this time */
	FX_READY = 14,		/* readiness, as the load balancer sees it */
	FX_EXIT = 15,
	FX_REBOOT = 16
};

union effect switch (effect_kind kind) {
case FX_ANSWER:
	fx_answer answer;
case FX_OP_REPLY:
	fx_op_reply op_reply;
case FX_PEER:
	fx_peer peer;
case FX_COMMIT:
	fx_commit commit;
case FX_READ:
	fx_read read;
case FX_SCAN:
	fx_scan scan;
case FX_OBJECT_PUT:
case FX_OBJECT_GET:
	fx_object object;
case FX_VM_LIST:
	uint64_t vm_list;	/* request id */
case FX_REBOOT:
	fx_reboot reboot;
case FX_WORKER:
	fx_worker worker;
case FX_LOG:
	fx_log log;
case FX_COUNT:
	fx_count count;
case FX_WAKE:
	int64_t wake;
case FX_READY:
	bool ready;
case FX_EXIT:
	void;
};

/* A recording is a header, followed by steps. */
struct step {
	event event;
	effect effects<LIST_MAX>;
};
