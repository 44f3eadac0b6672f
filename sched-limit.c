/*
 * What each organisation has running over the whole fleet, against its upper
 * limit.  A run counts from the moment it is ordered until its end is known.
 */
#include "sched-state.h"

#include <stdlib.h>

/* The account of an organisation. */
struct usage *usage_of(struct sched *s, bstr tenant)
{
	struct usage *u;

	HASH_FIND_BSTR(s->usage, tenant, u);
	if (u)
		return u;
	u = xcalloc(1, sizeof(*u));
	u->tenant = bstr_copy(tenant);
	HASH_ADD_BSTR(s->usage, tenant, u);
	return u;
}

/* Count a run, or count it no more. */
void usage_add(struct sched *s, const struct task *t, int sign)
{
	struct usage *u = usage_of(s, t->occ->job->tenant);
	struct size need = task_step(t)->need;

	u->used = sign > 0 ? size_add(u->used, need) : size_sub(u->used, need);
}

/* Does a need stay within one limit?  0 is none. */
static bool below(int64_t used, int64_t need, int64_t maximum)
{
	return !maximum || used + need <= maximum;
}

/* May a task of a step begin, by its organisation's limit? */
bool limit_allows(struct sched *s, const struct job *j,
		  const struct job_step *st)
{
	const struct tenant *t = tenant_named(s, j->tenant);
	const struct usage *u;

	if (!t)
		return true;
	u = usage_of(s, j->tenant);
	return below(u->used.cpu, st->need.cpu, t->maximum.cpu) &&
	       below(u->used.memory, st->need.memory, t->maximum.memory) &&
	       below(u->used.gpus, st->need.gpus, t->maximum.gpus);
}

/* Free the accounts. */
void usage_free(struct sched *s)
{
	struct usage *u, *next;

	HASH_ITER(hh, s->usage, u, next) {
		HASH_DEL(s->usage, u);
		bstr_free(&u->tenant);
		free(u);
	}
}
