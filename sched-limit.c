/*
 * Upper limits of organisations: the resources that each organisation uses on
 * the whole fleet.  A run counts from the moment its start is ordered until its
 * end is known.
 *
 * A successor that can't reach some workers does not know what runs there.
 * Therefore the owner starts nothing beyond a ceiling that its last heartbeat
 * has recorded in the store.  Until all leases of earlier owners have expired,
 * a successor adds to the usage the recorded ceiling, less the runs that it has
 * found, but at most what the workers can run that it doesn't know.
 */
#include "sched-state.h"

#include <stdlib.h>

/*
 * A ceiling exceeds the usage by a quarter of the usage and an eighth of the
 * upper limit, so that not every start has to wait for a raise.
 */
#define CEILING_USED_DIVISOR 4
#define CEILING_LIMIT_DIVISOR 8
/*
 * The ceiling also leaves room for at least this many of the tasks that wait
 * for a raise.
 */
#define CEILING_WANTED_TASKS 8
/* Sums of it don't overflow. */
#define USAGE_UNBOUNDED \
	((struct resources){INT64_MAX / 4, INT64_MAX / 4, INT64_MAX / 4})

/* Returns the usage of an organisation; creates it if needed. */
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

/* Returns the usage of a job's organisation. */
struct usage *job_usage(struct sched *s, struct job *j)
{
	if (!j->estimate.usage)
		j->estimate.usage = usage_of(s, j->tenant);
	return j->estimate.usage;
}

/* Adds a run to the usage of its organisation (sign 1) or removes it (-1). */
void usage_add(struct sched *s, const struct task *t, int sign)
{
	struct usage *u = job_usage(s, t->occ->job);
	struct resources need = task_step(t)->need;

	u->used = sign > 0 ? resources_add(u->used, need)
			   : resources_sub(u->used, need);
	if (!task_step(t)->long_running && !task_step(t)->best_effort)
		u->ending_cpu += sign * need.cpu;
}

/*
 * Counts a run of an earlier owner that was found: it is part of the usage that
 * the inherited ceiling allowed.
 */
void usage_add_found(struct sched *s, const struct task *t)
{
	struct usage *u = job_usage(s, t->occ->job);

	u->inherited_found = resources_add(u->inherited_found,
					   task_step(t)->need);
}

/*
 * Computes the ceiling for one resource.  There is a ceiling even without an
 * upper limit, as one may be set just before the owner changes.
 */
static int64_t ceiling_compute(int64_t used, int64_t wanted, int64_t maximum)
{
	int64_t c = used + used / CEILING_USED_DIVISOR +
		    maximum / CEILING_LIMIT_DIVISOR;

	if (c < used + CEILING_WANTED_TASKS * wanted)
		c = used + CEILING_WANTED_TASKS * wanted;
	return !maximum || c < maximum ? c : maximum;
}

/* Returns the minimum, by resource. */
static struct resources resources_min(struct resources a, struct resources b)
{
	return (struct resources){a.cpu < b.cpu ? a.cpu : b.cpu,
				  a.memory < b.memory ? a.memory : b.memory,
				  a.gpus < b.gpus ? a.gpus : b.gpus};
}

/* Returns the resources in a heartbeat, which are zero if there are none. */
static struct resources resources_read(const json_t *row)
{
	return (struct resources){json_integer_value(json_array_get(row, 0)),
				  json_integer_value(json_array_get(row, 1)),
				  json_integer_value(json_array_get(row, 2))};
}

/* Returns resources for a heartbeat. */
static json_t *resources_write(struct resources r)
{
	return json_pack("[I, I, I]", (json_int_t)r.cpu, (json_int_t)r.memory,
			 (json_int_t)r.gpus);
}

/*
 * Looks up the ceiling that earlier owners recorded; it does not change any
 * more.
 */
static void usage_inherit(const struct sched *s, struct usage *u)
{
	char *name = bstr_cstr(u->tenant);
	const json_t *row = json_object_get(s->own.ceilings, name);

	free(name);
	u->inherited_ceiling = resources_read(row);
	u->inherited_known = true;
}

/*
 * Returns an upper bound of what runs on one worker can use.  A worker whose
 * capacity has shrunk goes on with what it runs, so the largest capacity of any
 * worker counts.  There is no bound if the worker doesn't check its capacity.
 */
static struct resources worker_usage_max(const struct sched *s,
					 const struct worker *w)
{
	const struct service *service = service_named(s, w->row.service);

	if (!s->largest_capacity_known || !service || !service->checks_capacity)
		return USAGE_UNBOUNDED;
	return s->largest_capacity;
}

/*
 * Updates the upper bound of what runs of earlier owners use beyond those that
 * were found: they are on workers whose runs are not known.  If an owner was
 * too slow to process the ends of runs, its ceilings are far above what still
 * runs.  Without this bound its successor would take organisations to be at
 * their upper limits, and start next to nothing on the whole fleet until the
 * leases of a few unknown workers have expired.  Best-effort tasks use only
 * idle cores, so the cores of a worker don't bound what they count.
 */
void usage_unknown_update(struct sched *s)
{
	struct resources sum = {0, 0, 0};
	const struct worker *w;

	for (w = s->unknown_count ? s->workers : NULL; w; w = w->hh.next)
		if (w->unknown)
			sum = resources_min(
				resources_add(sum, worker_usage_max(s, w)),
				USAGE_UNBOUNDED);
	if (s->unknown_count && s->has_best_effort)
		sum.cpu = USAGE_UNBOUNDED.cpu;
	s->unknown_usage_max = sum;
}

/* Returns true if this owner has read a row of each worker that was noted. */
static bool noted_workers_have_rows(const struct sched *s)
{
	const struct worker *w;

	for (w = s->workers; w; w = w->hh.next)
		if (w->inherited && !w->row.address.bstr_len)
			return false;
	return true;
}

/*
 * Takes over the largest capacity that the heartbeat of an earlier owner has.
 * Workers that it had noted may have no row any more.
 */
void largest_capacity_inherit(struct sched *s)
{
	s->largest_capacity = resources_max(s->largest_capacity,
					    s->own.largest_capacity);
	s->largest_capacity_known = s->own.largest_capacity_known ||
				    noted_workers_have_rows(s);
}

/*
 * Returns the largest capacity for a heartbeat; null if it is not known.  An
 * owner that is still loading records what it has read.
 */
json_t *largest_capacity_write(const struct sched *s)
{
	if (s->own.state == OWN_LOADING)
		return s->own.largest_capacity_known
			       ? resources_write(s->own.largest_capacity)
			       : json_null();
	return s->largest_capacity_known ? resources_write(s->largest_capacity)
					 : json_null();
}

/* Reads the largest capacity from a heartbeat; older versions have none. */
void largest_capacity_read(struct sched *s, const json_t *row)
{
	s->own.largest_capacity_known = json_is_array(row);
	s->own.largest_capacity = resources_read(row);
}

/*
 * Returns the resources that runs of earlier owners may use beyond those that
 * were found.
 */
static struct resources usage_unaccounted(const struct sched *s,
					  struct usage *u)
{
	struct resources unaccounted = {0, 0, 0}, zero = {0, 0, 0};

	if (s->settled)
		return unaccounted;
	if (!u->inherited_known)
		usage_inherit(s, u);
	unaccounted = resources_sub(u->inherited_ceiling, u->inherited_found);
	return resources_min(resources_max(unaccounted, zero),
			     s->unknown_usage_max);
}

/* Creates the usage of all organisations that have an inherited ceiling. */
static void ceilings_inherit(struct sched *s)
{
	const char *name;
	json_t *v;

	if (!s->settled)
		json_object_foreach(s->own.ceilings, name, v)
			usage_of(s, bstr_lit(name));
}

/*
 * Returns the ceilings for a heartbeat.  Until it is written, the lower of the
 * old and the new ceilings applies.  The recorded values include what runs of
 * earlier owners may use on unreachable workers, until all of these are known:
 * if this owner is lost before that, its successor reads only this owner's
 * heartbeat.  An owner that is still loading has started nothing, so it records
 * the ceilings that it has read.
 */
json_t *ceilings_write(struct sched *s)
{
	const struct tenant *t;
	json_t *row;
	struct usage *u;
	struct resources published;
	char *name;

	if (s->own.state == OWN_LOADING)
		return s->own.ceilings ? json_incref(s->own.ceilings)
				       : json_object();
	row = json_object();
	ceilings_inherit(s);
	usage_unknown_update(s);
	for (u = s->usage; u; u = u->hh.next) {
		t = tenant_known(s, u->tenant);
		if (!t)
			continue;
		u->next_ceiling = (struct resources){
			ceiling_compute(u->used.cpu, u->wanted.cpu,
					t->maximum.cpu),
			ceiling_compute(u->used.memory, u->wanted.memory,
					t->maximum.memory),
			ceiling_compute(u->used.gpus, u->wanted.gpus,
					t->maximum.gpus)};
		u->ceiling = resources_min(u->ceiling, u->next_ceiling);
		u->ceiling_in_flight = true;
		published = resources_add(u->next_ceiling,
					  usage_unaccounted(s, u));
		name = bstr_cstr(u->tenant);
		json_object_set_new(row, name, resources_write(published));
		free(name);
	}
	return row;
}

/* Called when the heartbeat with the ceilings has been written. */
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

/* Returns true if used plus need stays within a limit; 0 means no limit. */
static bool limit_fits_one(int64_t used, int64_t need, int64_t maximum)
{
	return !maximum || used + need <= maximum;
}

/* Returns true if limit_fits_one is true of every resource. */
static bool limit_fits(struct resources used, struct resources need,
		       struct resources maximum)
{
	return limit_fits_one(used.cpu, need.cpu, maximum.cpu) &&
	       limit_fits_one(used.memory, need.memory, maximum.memory) &&
	       limit_fits_one(used.gpus, need.gpus, maximum.gpus);
}

/*
 * Returns the reason why the upper limit or the ceiling of a job's organisation
 * prevents the start of a task of a step, or PENDING_NONE.
 */
enum pending_reason limit_pending_reason(struct sched *s, struct job *j,
					 const struct job_step *st)
{
	const struct tenant *t = job_tenant(s, j);
	struct usage *u;

	if (!t)
		return PENDING_NONE;
	u = job_usage(s, j);
	if (!limit_fits(resources_add(u->used, usage_unaccounted(s, u)),
			st->need, t->maximum))
		return PENDING_LIMIT;
	if (resources_fit(resources_add(u->used, st->need), u->ceiling))
		return PENDING_NONE;
	/* Raise the ceiling with an immediate heartbeat. */
	u->wanted = st->need;
	s->own.heartbeat_at = s->now;
	return PENDING_CEILING;
}

/*
 * Returns true if its organisation's limits allow the start of a task of a
 * step.
 */
bool limit_allows(struct sched *s, struct job *j, const struct job_step *st)
{
	return limit_pending_reason(s, j, st) == PENDING_NONE;
}

/* Frees the usage of all organisations. */
void usage_free(struct sched *s)
{
	struct usage *u, *next;

	s->shares_exceeded = 0;
	HASH_ITER(hh, s->usage, u, next) {
		HASH_DEL(s->usage, u);
		bstr_free(&u->tenant);
		free(u);
	}
}
