/*
 * Types shared by all schema files.  Strings are length-counted.  Times on
 * the wire are durations in milliseconds, because the VMs' clocks are not
 * synchronized; a receiver converts them to deadlines on its own monotonic
 * clock.
 */
const BSTR_MAX = 1048576;
const LIST_MAX = 65536;

typedef opaque bstr<BSTR_MAX>;

/* A cell is the part of a pool in one data centre. */
struct cell_id {
	bstr pool;
	bstr dc;
};

enum job_state {
	JOB_QUEUED = 0,
	JOB_RUNNING = 1,
	JOB_DONE = 2,
	JOB_FAILED = 3,
	JOB_NOT_RUN = 4,	/* ended, and certainly never ran */
	JOB_UNKNOWN = 5		/* ended; may have run, wholly or in part */
};

struct job_spec {
	bstr team;
	bstr pool;
	bstr key;		/* idempotency key; never empty */
	bstr label;
	bstr payload;		/* passed to the worker unchanged */
	bool may_repeat;	/* idempotent: may run more than once */
	bool urgent;
	bool wait;		/* the caller waits for the result */
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t run_ms;	/* declared run time; 0: not declared */
	uint32_t timeout_ms;	/* for the result; not started after that */
};

/* The status of a job as reported to callers. */
struct job_view {
	bstr job;
	bstr team;
	bstr pool;
	bstr label;
	job_state state;
	bstr reason;		/* stable, machine-readable code */
	bstr detail;		/* human-readable explanation */
	bstr result;
	bstr worker;
	uint32_t attempts;
	uint32_t queued_ms;
	uint32_t ran_ms;
	uint32_t retry_after_ms; /* 0: do not retry */
};
