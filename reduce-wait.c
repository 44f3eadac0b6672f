#include "reduce.h"

#include <stdlib.h>

/* A last answer may be so late at its deadline, while it is written. */
#define SETTLE_MS 1000

/* Nothing more is owed to a waiter. */
void waiter_free(struct job *j, struct waiter *w)
{
	TAILQ_REMOVE(&j->waiters, w, entry);
	bstr_free(&w->vm);
	free(w);
}

/* Let go of all who wait. */
void waiters_free(struct job *j)
{
	struct waiter *w;

	while ((w = TAILQ_FIRST(&j->waiters)))
		waiter_free(j, w);
}

/* The HTTP status that goes with a job's state. */
static uint32_t job_http(const job_view *v, bool submit)
{
	if (v->state == JOB_QUEUED || v->state == JOB_RUNNING)
		return submit ? 202 : 200;
	if (v->state != JOB_NOT_RUN || !submit)
		return 200;
	if (bstr_eq_str(v->reason, "deadline"))
		return 504;
	return bstr_eq_str(v->reason, "cancelled") ? 200 : 503;
}

/* Refuse a waiter, for want of the platform's word. */
void waiter_refuse(struct state *st, struct job *j, struct waiter *w,
		   const char *detail, uint32_t retry)
{
	answer_refuse(st, w->vm, w->call, 503, COUNT_REFUSED_PLATFORM, detail,
		      retry);
	waiter_free(j, w);
}

/* Refuse a waiter whose job's claim may be written or not. */
void waiter_refuse_claim(struct state *st, struct job *j, struct waiter *w)
{
	waiter_refuse(st, j, w,
		      "the platform has not confirmed the claim: the work "
		      "may run; ask again with the same key",
		      RETRY_AFTER_MS * 3);
}

/* Answer one waiter with the job as it is. */
static void job_answer(struct state *st, struct job *j, struct waiter *w)
{
	caller_answer a = {.http = job_http(&j->view, w->submit)};

	if (job_is_final(j) && !job_final_ready(j)) {
		waiter_refuse(st, j, w,
			      "the platform has not confirmed the job's end; "
			      "ask again",
			      RETRY_AFTER_MS);
		return;
	}
	/* Accepted is what is durable: a claim that is not may be lost. */
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

/* Is there what a waiter asked for? */
static bool waiter_due(const struct job *j, const struct waiter *w)
{
	return job_final_ready(j) || (!w->until_final && !job_is_final(j) &&
				      j->phase != PHASE_CLAIMING);
}

/* Answer now if the answer is there, else when it is, or at a deadline. */
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

/* Answer those whose moment has come. */
void job_answer_due(struct state *st, struct job *j)
{
	struct waiter *w, *next;
	int64_t late = job_is_final(j) ? SETTLE_MS : 0;

	for (w = TAILQ_FIRST(&j->waiters); w; w = next) {
		next = TAILQ_NEXT(w, entry);
		if (waiter_due(j, w) || st->now >= w->deadline + late)
			job_answer(st, j, w);
	}
}
