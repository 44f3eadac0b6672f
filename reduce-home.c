#include "reduce.h"

/* A claim, alone or after one of an earlier attempt; NULL: the job is over. */
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
	j->may_have_run = j->attempt > 1; /* as far as the journal tells */
	return j;
}

/* The choice of another cell. */
static void replay_move(struct state *st, const journal_move *m)
{
	struct job *j = job_find(st, m->job);

	if (!j || job_is_final(j))
		return;
	job_set_cell(j, &m->cell);
	j->attempt = m->attempt;
	j->may_have_run = j->attempt > 1;
}

/* A final answer; NULL: there is one already. */
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

/* Take up a record of the journal. */
void job_replay(struct state *st, struct shard *s, const record *rec)
{
	struct job *j = NULL;

	switch (rec->kind) {
	case JOURNAL_CLAIM:
		j = replay_claim(st, s, &rec->record_u.claim);
		break;
	case JOURNAL_MOVE:
		replay_move(st, &rec->record_u.move);
		break;
	case JOURNAL_FINAL:
		j = replay_final(st, s, &rec->record_u.final);
		break;
	}
	if (j)
		j->record_segment = s->next_segment - 1;
}

/*
 * The shard is ours: look after what it has open.  Its cell is asked, not
 * told: the last owner may have sent it there already.
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
 * The shard is no longer ours; its work goes on under its new owner.  Who
 * waits for a claimed job is led there; whose claim was not yet durable has
 * to ask again.
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
