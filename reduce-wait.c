/* Callers that wait for a job, and the answers to them. */
#include "reduce.h"

#include <stdlib.h>

/*
 * A final answer may be this late after the caller's deadline, while the end
 * of the job is made durable.
 */
#define FINAL_GRACE_MS 1000

/* Removes a waiter from a job and frees it. */
void waiter_free(struct job *j, struct waiter *w)
{
	TAILQ_REMOVE(&j->waiters, w, entry);
	bstr_free(&w->vm);
	free(w);
}

/* Removes all waiters of a job. */
void waiters_free(struct job *j)
{
	struct waiter *w;

	while ((w = TAILQ_FIRST(&j->waiters)))
		waiter_free(j, w);
}

/* Returns the HTTP status for a job's state; submit: of a submission. */
static uint32_t job_http_status(const job_view *v, bool submit)
{
	if (v->state == JOB_QUEUED || v->state == JOB_RUNNING)
		return submit ? 202 : 200;
	if (v->state != JOB_NOT_RUN || !submit)
		return 200;
	if (bstr_eq_str(v->reason, "deadline"))
		return 504;
	return bstr_eq_str(v->reason, "cancelled") ? 200 : 503;
}

/* Answers a waiter with 503, because the platform has not confirmed a write. */
void waiter_refuse(struct state *st, struct job *j, struct waiter *w,
		   const char *detail, uint32_t retry)
{
	answer_refuse(st, w->vm, w->call, 503, COUNT_REFUSED_PLATFORM, detail,
		      retry);
	waiter_free(j, w);
}

/* Refuses a waiter whose job's claim may or may not have been written. */
void waiter_refuse_claim(struct state *st, struct job *j, struct waiter *w)
{
	waiter_refuse(st, j, w,
		      "the platform has not confirmed the claim: the work "
		      "may run; ask again with the same key",
		      RETRY_AFTER_MS * 3);
}

/* Answers a waiter with the current state of its job, and removes it. */
static void job_answer(struct state *st, struct job *j, struct waiter *w)
{
	caller_answer a = {.http = job_http_status(&j->view, w->submit)};

	if (job_is_final(j) && !job_final_ready(j)) {
		waiter_refuse(st, j, w,
			      "the platform has not confirmed the job's end; "
			      "ask again",
			      RETRY_AFTER_MS);
		return;
	}
	/* Until its claim is durable, a job can be lost: it is not accepted. */
	if (j->shard && !j->record_segment && !job_is_final(j)) {
		waiter_refuse_claim(st, j, w);
		return;
	}
	a.jobs.jobs_len = 1;
	a.jobs.jobs_val = &j->view;
	if (a.http >= 400) {
		a.reason = j->view.reason;
		a.detail = j->view.detail;
	}
	a.retry_after_ms = j->view.retry_after_ms;
	answer_send(st, w->vm, w->call, &a);
	waiter_free(j, w);
}

/* Returns true if the job has reached what a waiter waits for. */
static bool waiter_due(const struct job *j, const struct waiter *w)
{
	return job_final_ready(j) || (!w->until_final && !job_is_final(j) &&
				      j->phase != PHASE_CLAIMING);
}

/*
 * Adds a waiter to a job.  It is answered at once if the answer is available,
 * otherwise when it becomes available or at the deadline.
 */
void job_wait(struct state *st, struct job *j, bstr vm, uint64_t call,
	      int64_t deadline, bool until_final, bool submit)
{
	struct waiter *w = xcalloc(1, sizeof(*w));

	w->vm = bstr_copy(vm);
	w->call = call;
	w->deadline = deadline;
	w->until_final = until_final;
	w->submit = submit;
	TAILQ_INSERT_TAIL(&j->waiters, w, entry);
	if (waiter_due(j, w))
		job_answer(st, j, w);
}

/*
 * Answers the waiters whose answer is available or whose deadline has passed.
 */
void job_answer_waiters(struct state *st, struct job *j)
{
	struct waiter *w, *next;
	int64_t grace_ms = job_is_final(j) ? FINAL_GRACE_MS : 0;

	for (w = TAILQ_FIRST(&j->waiters); w; w = next) {
		next = TAILQ_NEXT(w, entry);
		if (waiter_due(j, w) || st->now >= w->deadline + grace_ms)
			job_answer(st, j, w);
	}
}
