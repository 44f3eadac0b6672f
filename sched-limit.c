/*
 * What each organisation has running over the whole fleet, against its upper
 * limit.  A run counts from the moment it is ordered until its end is known.
 *
 * A successor that can't reach some workers does not know what runs there.
 * So the owner starts nothing above a ceiling that its last beat has told the
 * store, and a successor counts what that ceiling allowed, less what it has
 * found, until all leases of before have ended.
 */
#include "sched-state.h"

#include <stdlib.h>

/* The ceiling leaves this much above what runs, so that it need not be
 * raised for each start: a quarter of it, and an eighth of the limit. */
#define CEILING_SHARE 4
#define CEILING_OF_LIMIT 8
/* And at least so many of the tasks that wait for it to be raised. */
#define CEILING_TASKS 8

/* The account of an organisation. */
static struct usage *usage_of(struct sched *s, bstr tenant)
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

/* The account of a job's organisation. */
struct usage *job_usage(struct sched *s, struct job *j)
{
	if (!j->estimate.usage)
		j->estimate.usage = usage_of(s, j->tenant);
	return j->estimate.usage;
}

/* Count a run, or count it no more. */
void usage_add(struct sched *s, const struct task *t, int sign)
{
	struct usage *u = job_usage(s, t->occ->job);
	struct resources need = task_step(t)->need;

	u->used = sign > 0 ? resources_add(u->used, need)
			   : resources_sub(u->used, need);
}

/* A run of before was found: it is part of what the old ceiling allowed. */
void usage_add_found(struct sched *s, const struct task *t)
{
	struct usage *u = job_usage(s, t->occ->job);

	u->inherited_found = resources_add(u->inherited_found,
					   task_step(t)->need);
}

/*
 * One resource of a ceiling.  Without a limit there is a ceiling too: one may
 * be set just before the owner changes.
 */
static int64_t ceiling_one(int64_t used, int64_t wanted, int64_t maximum)
{
	int64_t c = used + used / CEILING_SHARE + maximum / CEILING_OF_LIMIT;

	if (c < used + CEILING_TASKS * wanted)
		c = used + CEILING_TASKS * wanted;
	return !maximum || c < maximum ? c : maximum;
}

/* The lesser, resource by resource. */
static struct resources resources_min(struct resources a, struct resources b)
{
	return (struct resources){a.cpu < b.cpu ? a.cpu : b.cpu,
				  a.memory < b.memory ? a.memory : b.memory,
				  a.gpus < b.gpus ? a.gpus : b.gpus};
}

/* Read the ceiling that earlier owners had told; it changes no more. */
static void usage_inherit(const struct sched *s, struct usage *u)
{
	char *name = bstr_cstr(u->tenant);
	const json_t *row = json_object_get(s->own.ceilings, name);

	free(name);
	u->inherited_ceiling = (struct resources){
		json_integer_value(json_array_get(row, 0)),
		json_integer_value(json_array_get(row, 1)),
		json_integer_value(json_array_get(row, 2))};
	u->inherited_known = true;
}

/* What an earlier owner may have running that was not found yet. */
static struct resources usage_hidden(const struct sched *s, struct usage *u)
{
	struct resources hidden = {0, 0, 0}, zero = {0, 0, 0};

	if (s->settled)
		return hidden;
	if (!u->inherited_known)
		usage_inherit(s, u);
	hidden = resources_sub(u->inherited_ceiling, u->inherited_found);
	return resources_sub(hidden, resources_min(hidden, zero));
}

/* Have accounts of all organisations whose ceilings were taken over. */
static void ceilings_inherit(struct sched *s)
{
	const char *name;
	json_t *v;

	if (!s->settled)
		json_object_foreach(s->own.ceilings, name, v)
			usage_of(s, bstr_lit(name));
}

/*
 * The ceilings for a beat to tell.  Until it has, the lower ones hold.  What
 * earlier owners may have running out of reach is added until all is known:
 * this owner may be lost by then, and the next one reads its beat only.  An
 * owner that still loads has started nothing, and tells what it has read.
 */
json_t *ceilings_write(struct sched *s)
{
	const struct tenant *t;
	json_t *row;
	struct usage *u;
	struct resources told;
	char *name;

	if (s->own.state == OWN_LOADING)
		return s->own.ceilings ? json_incref(s->own.ceilings)
				       : json_object();
	row = json_object();
	ceilings_inherit(s);
	for (u = s->usage; u; u = u->hh.next) {
		t = tenant_named(s, u->tenant);
		if (!t)
			continue;
		u->next_ceiling = (struct resources){
			ceiling_one(u->used.cpu, u->wanted.cpu, t->maximum.cpu),
			ceiling_one(u->used.memory, u->wanted.memory,
				    t->maximum.memory),
			ceiling_one(u->used.gpus, u->wanted.gpus,
				    t->maximum.gpus)};
		u->ceiling = resources_min(u->ceiling, u->next_ceiling);
		u->ceiling_in_flight = true;
		told = resources_add(u->next_ceiling, usage_hidden(s, u));
		name = bstr_cstr(u->tenant);
		json_object_set_new(row, name,
				    json_pack("[I, I, I]", (json_int_t)told.cpu,
					      (json_int_t)told.memory,
					      (json_int_t)told.gpus));
		free(name);
	}
	return row;
}

/* The store knows the ceilings of the last beat. */
void ceilings_published(struct sched *s)
{
	struct usage *u;

	for (u = s->usage; u; u = u->hh.next) {
		if (!u->ceiling_in_flight)
			continue;
		u->ceiling_in_flight = false;
		u->ceiling = u->next_ceiling;
		s->place_due = true;
	}
}

/* Does a need stay within one limit?  0 is none. */
static bool below(int64_t used, int64_t need, int64_t maximum)
{
	return !maximum || used + need <= maximum;
}

/* Does it within all three? */
static bool all_below(struct resources used, struct resources need,
		      struct resources maximum)
{
	return below(used.cpu, need.cpu, maximum.cpu) &&
	       below(used.memory, need.memory, maximum.memory) &&
	       below(used.gpus, need.gpus, maximum.gpus);
}

/* What its organisation's limit has against a task of a step beginning. */
enum pending_reason limit_pending_reason(struct sched *s, struct job *j,
					 const struct job_step *st)
{
	const struct tenant *t = job_tenant(s, j);
	struct usage *u;

	if (!t)
		return PENDING_NONE;
	u = job_usage(s, j);
	if (!all_below(resources_add(u->used, usage_hidden(s, u)), st->need,
		       t->maximum))
		return PENDING_LIMIT;
	if (resources_fit(resources_add(u->used, st->need), u->ceiling))
		return PENDING_NONE;
	/* Have the next beat raise it. */
	u->wanted = st->need;
	s->own.heartbeat_at = s->now;
	return PENDING_CEILING;
}

/* May a task of a step begin, by its organisation's limit? */
bool limit_allows(struct sched *s, struct job *j, const struct job_step *st)
{
	return limit_pending_reason(s, j, st) == PENDING_NONE;
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
