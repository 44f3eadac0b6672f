/*
 * Messages between entry VMs. Each message is one-way; a reply is a separate
 * message, matched by the identifiers in it. An RPC carries a batch of them.
 */
%#include "types.h"
%#include "operator.h"

enum peer_kind {
	PM_PING = 1,
	PM_PONG = 2,
	PM_FORWARD = 3,
	PM_ANSWER = 4,
	PM_DISPATCH = 5,
	PM_UPDATE = 6,
	PM_CANCEL = 7,
	PM_QUERY = 8,
	PM_LIMIT_REQUEST = 9,
	PM_OPERATE = 10,
	PM_OP_REPLY = 11,
	PM_LEAVING = 12,
	PM_ACK = 13,
	PM_UNOWNED = 14
};

enum caller_kind {
	CALL_SUBMIT = 1,
	CALL_GET = 2,
	CALL_CANCEL = 3,
	CALL_CANCEL_LABEL = 4
};

struct caller_job {
	bstr job;
	uint32_t wait_ms;	/* get: answer when final or after this time */
};

union caller_body switch (caller_kind kind) {
case CALL_SUBMIT:
	job_spec spec;
case CALL_GET:
case CALL_CANCEL:
	caller_job job;
case CALL_CANCEL_LABEL:
	bstr label;
};

/*
 * A caller's request. key_digest is a digest of the secret that the caller
 * presented, so that recordings and peers never contain the secret itself.
 */
struct caller_request {
	bstr key_id;
	bstr key_digest;
	caller_body body;
};

/* http is the HTTP status, jobs the jobs that the request selected. */
struct caller_answer {
	uint32_t http;
	bstr reason;
	bstr detail;
	uint32_t retry_after_ms;
	job_view jobs<LIST_MAX>;
};

/*
 * A ping or its reply, which repeats seq. proof is set if the platform has
 * recently answered the sender; proof_age_ms is how long ago.
 */
struct pm_ping {
	uint64_t seq;
	uint64_t incarnation;
	uint64_t config_revision;
	bool proof;
	uint32_t proof_age_ms;
};

/*
 * A caller's request, forwarded to the owner of its shard. The sender has
 * already checked the key; team is the team of that key. remaining_ms is the
 * time left to answer the request.
 */
struct pm_forward {
	uint64_t call;
	bstr team;
	uint32_t remaining_ms;
	uint32_t shard;
	caller_request request;
};

/* The reply to a forwarded request. */
struct pm_answer {
	uint64_t call;
	caller_answer answer;
};

/*
 * Hands an attempt of a job to the owner of a cell. remaining_ms is the time
 * left until the job's deadline.
 */
struct pm_dispatch {
	cell_id cell;
	bstr job;
	uint32_t attempt;
	uint32_t remaining_ms;
	job_spec spec;
};

/*
 * What the owner of a cell knows about an attempt of a job. final: the attempt
 * has ended. started: a start may have reached a worker. known is false if the
 * owner has no record of the attempt although every worker of the cell is
 * fenced. query_id is that of the query answered, or 0.
 */
struct pm_update {
	cell_id cell;
	bstr job;
	uint32_t attempt;
	uint64_t query_id;
	bool known;
	bool final;
	bool started;
	job_view view;
};

/*
 * Names an attempt, to cancel it, to query it or to acknowledge its end. A
 * query or cancellation sets query_id, which the update repeats.
 */
struct pm_attempt {
	cell_id cell;
	bstr job;
	uint32_t attempt;
	uint64_t query_id;
};

/*
 * The reply to a message for a shard or cell that the receiver does not own.
 * The message had no effect. call is set for PM_FORWARD and PM_OPERATE, the
 * members from cell to attempt for messages about an attempt. leaving: the
 * receiver is shutting down.
 */
struct pm_unowned {
	peer_kind kind;		/* of the refused message */
	uint64_t call;
	cell_id cell;
	bstr job;
	uint32_t attempt;
	bool leaving;
};

/*
 * Asks a cell that holds part of a team's upper limit to give some of it back,
 * because another cell of the team needs amount more.
 */
struct pm_limit_request {
	cell_id cell;
	bstr team;
	uint32_t amount;
};

/* An operator's request, forwarded to the owner, and its reply. */
struct pm_operate {
	uint64_t call;
	op_request request;
};

struct pm_op_reply {
	uint64_t call;
	op_reply reply;
};

union peer_message switch (peer_kind kind) {
case PM_PING:
case PM_PONG:
	pm_ping ping;
case PM_FORWARD:
	pm_forward forward;
case PM_ANSWER:
	pm_answer answer;
case PM_DISPATCH:
	pm_dispatch dispatch;
case PM_UPDATE:
	pm_update update;
case PM_CANCEL:
case PM_QUERY:
case PM_ACK:
	pm_attempt attempt;
case PM_UNOWNED:
	pm_unowned unowned;
case PM_LIMIT_REQUEST:
	pm_limit_request limit_request;
case PM_OPERATE:
	pm_operate operate;
case PM_OP_REPLY:
	pm_op_reply op_reply;
case PM_LEAVING:
	void;
};

struct peer_batch {
	bstr from;
	peer_message messages<4096>;
};

program BAMBOO_PEER {
	version BAMBOO_PEER_V1 {
		/* The envelope contains an encoded peer_batch. */
		void DELIVER(sealed) = 1;
	} = 1;
} = 0x20bf0002;
