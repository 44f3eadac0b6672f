/*
 * The RPC interface for operators.  A request is a union discriminated by
 * the command; a reply is a status, a stable reason and a JSON document.
 * Both travel in an authenticated envelope (sealed), whose MAC covers the
 * procedure, nonce, deadline and body.
 */
%#include "types.h"

enum op_kind {
	OP_POOL_CREATE = 1,
	OP_POOL_REMOVE = 2,
	OP_POOL_SHOW = 3,
	OP_POOL_BUDGET = 4,
	OP_VM_ADD = 10,
	OP_VM_REMOVE = 11,
	OP_VM_MOVE = 12,
	OP_VM_DRAIN = 13,
	OP_VM_RETURN = 14,
	OP_VM_SHOW = 15,
	OP_TEAM_CREATE = 20,
	OP_TEAM_REMOVE = 21,
	OP_TEAM_SHOW = 22,
	OP_TEAM_SHARE = 23,
	OP_TEAM_LIMIT = 24,
	OP_TEAM_GRACE = 25,
	OP_KEY_CREATE = 30,
	OP_KEY_WITHDRAW = 31,
	OP_KEY_SHOW = 32,
	OP_WAVE_PLAN = 40,
	OP_WAVE_START = 41,
	OP_WAVE_PAUSE = 42,
	OP_WAVE_RESUME = 43,
	OP_WAVE_CANCEL = 44,
	OP_WAVE_SHOW = 45,
	OP_CONFIG_SHOW = 50,
	OP_CONFIG_DIFF = 51,
	OP_CONFIG_APPLY = 52,
	OP_CONFIG_HISTORY = 53,
	OP_WHY_JOB = 60,
	OP_WHY_TEAM = 61,
	OP_FLEET = 62,
	OP_COUNTERS = 63
};

struct op_pool {
	bstr pool;
	bstr dcs<64>;
	uint32_t budget;	/* VMs that may be unavailable at once */
	bool spare;
};

struct op_vm {
	bstr vm;
	bstr pool;		/* for add, or the target pool for move */
	bstr dc;
	bstr rack;
	bstr address;		/* host:port of the worker */
	uint32_t slots;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t deadline_ms;	/* drain: time for tasks to end */
};

struct op_team {
	bstr team;
	uint32_t share;
	uint32_t limit;
	uint32_t grace_ms;
};

struct op_key {
	bstr team;
	bstr key_id;
	bstr salt;		/* create: set by the entry VM */
	bstr hash;		/* create: set by the entry VM */
};

struct op_wave {
	bstr wave;
	bstr pool;
	uint32_t deadline_ms;	/* per VM drain */
};

struct op_config {
	uint64_t revision;	/* show: 0 for the newest; apply: expected */
	bstr body;		/* JSON */
};

union op_request switch (op_kind kind) {
case OP_POOL_CREATE:
case OP_POOL_REMOVE:
case OP_POOL_SHOW:
case OP_POOL_BUDGET:
	op_pool pool;
case OP_VM_ADD:
case OP_VM_REMOVE:
case OP_VM_MOVE:
case OP_VM_DRAIN:
case OP_VM_RETURN:
case OP_VM_SHOW:
	op_vm vm;
case OP_TEAM_CREATE:
case OP_TEAM_REMOVE:
case OP_TEAM_SHOW:
case OP_TEAM_SHARE:
case OP_TEAM_LIMIT:
case OP_TEAM_GRACE:
	op_team team;
case OP_KEY_CREATE:
case OP_KEY_WITHDRAW:
case OP_KEY_SHOW:
	op_key key;
case OP_WAVE_PLAN:
case OP_WAVE_START:
case OP_WAVE_PAUSE:
case OP_WAVE_RESUME:
case OP_WAVE_CANCEL:
case OP_WAVE_SHOW:
	op_wave wave;
case OP_CONFIG_SHOW:
case OP_CONFIG_DIFF:
case OP_CONFIG_APPLY:
case OP_CONFIG_HISTORY:
	op_config config;
case OP_WHY_JOB:
case OP_WHY_TEAM:
	bstr name;
case OP_FLEET:
case OP_COUNTERS:
	void;
};

enum op_status {
	OP_OK = 0,
	OP_INVALID = 1,		/* the request is invalid; do not retry */
	OP_NOT_FOUND = 2,
	OP_CONFLICT = 3,	/* with the current state or another change */
	OP_REFUSED = 4,		/* a limit or budget currently forbids it */
	OP_UNAVAILABLE = 5,	/* retry after retry_after_ms */
	OP_UNKNOWN = 6,		/* may have taken effect; check the state */
	OP_DENIED = 7		/* bad MAC, nonce or deadline */
};

struct op_reply {
	op_status status;
	bstr reason;
	bstr detail;
	uint32_t retry_after_ms;
	bstr body;		/* JSON document; empty on error */
	bstr secret;		/* key create: encrypted for the operator */
};

/* An envelope, authenticated by a MAC, for an encoded request or reply. */
struct sealed {
	bstr from;		/* name of the sender */
	opaque nonce[24];
	int64_t deadline;	/* wall clock, ms; then it is rejected */
	bstr body;
	opaque mac[32];
};

program BAMBOO_OPERATOR {
	version BAMBOO_OPERATOR_V1 {
		sealed OPERATE(sealed) = 1;
	} = 1;
} = 0x20bf0001;
