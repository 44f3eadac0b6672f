/*
 * The jobs of a shard when its owner changes: replay of the journal at the new
 * owner, and redirection of waiting callers at the old one.
 */
#include "reduce.h"

/*
 * Replays a claim, the first of the job or one that was appended again later.
 * Returns NULL if the job is final.
 */
static struct job *replay_claim(struct state *st, struct shard *s,
				const journal_claim *c)
{
	struct job *j = job_find(st, c->job);

	if (j && job_is_final(j))
		return NULL;
	if (!j)
		j = job_new(st, c->job, &c->spec, s);
	bstr_set(&j->digest, c->digest);
	job_set_cell(j, &c->cell);
	j->attempt = c->attempt;
	/* The journal does not tell whether earlier attempts were started. */
	j->may_have_run = j->attempt > 1;
	return j;
}

/* Replays the choice of another cell. */
static void replay_move(struct state *st, const journal_move *m)
{
	struct job *j = job_find(st, m->job);

	if (!j || job_is_final(j))
		return;
	job_set_cell(j, &m->cell);
	j->attempt = m->attempt;
	j->may_have_run = j->attempt > 1;
}

/* Replays a final record.  Returns NULL if the job is final already. */
static struct job *replay_final(struct state *st, struct shard *s,
				const job_view *v)
{
	const job_spec bare = {
		.team = v->team, .pool = v->pool, .label = v->label};
	struct job *j = job_find(st, v->job);

	if (!j)
		j = job_new(st, v->job, &bare, s);
	if (job_is_final(j))
		return NULL;
	xdr_free(XDR_PROC(xdr_job_view), (char *)&j->view);
	xdr_copy(XDR_PROC(xdr_job_view), &j->view, v, sizeof(*v));
	j->phase = PHASE_ENDING;
	job_final_durable(st, j);
	return j;
}

/* Replays a record of the journal, from the segment added last. */
void job_replay(struct state *st, struct shard *s, const journal_record *rec)
{
	struct job *j = NULL;

	switch (rec->kind) {
	case JOURNAL_CLAIM:
		j = replay_claim(st, s, &rec->journal_record_u.claim);
		break;
	case JOURNAL_MOVE:
		replay_move(st, &rec->journal_record_u.move);
		break;
	case JOURNAL_FINAL:
		j = replay_final(st, s, &rec->journal_record_u.final);
		break;
	}
	if (j)
		j->record_segment = s->next_segment - 1;
}

/*
 * Resumes the active jobs of a shard that was taken over.  A job that has a
 * cell counts as dispatched, so that the cell is queried first: the previous
 * owner of the shard may have dispatched the job.
 */
void jobs_resume(struct state *st, struct shard *s)
{
	struct job *j;

	TAILQ_FOREACH(j, &st->active, entry) {
		if (j->shard != s)
			continue;
		j->sent_at = st->now;
		j->check_at = st->now;
		j->phase = j->cell.pool.bstr_len ? PHASE_DISPATCHED
						 : PHASE_UNDISPATCHED;
	}
}

/*
 * Drops the jobs of a shard that this VM no longer owns; they go on under the
 * new owner.  Callers that wait for a job are redirected to it.  Those of a job
 * whose claim may not be durable are told to retry.
 */
void jobs_drop(struct state *st, struct shard *s)
{
	struct job *j, *next;
	struct waiter *w;

	HASH_ITER(hh, st->jobs, j, next) {
		if (j->shard != s)
			continue;
		while (st->out && (w = TAILQ_FIRST(&j->waiters))) {
			if (j->phase != PHASE_CLAIMING)
				call_redirect(st, j, w);
			else
				answer_refuse(
					st, w->vm, w->call, 503,
					COUNT_REFUSED_NO_OWNER,
					"the deciding VM changed: the work "
					"may have been accepted; ask again "
					"with the same key",
					RETRY_AFTER_MS);
			waiter_free(j, w);
		}
		job_free(st, j);
	}
}
