/*
 * The list of machines, which the owner reads from the platform at intervals.
 */
#include "sched-state.h"

#include <stdlib.h>

/* Interval of reading the list of machines. */
#define MACHINE_LIST_INTERVAL_MS 900
/*
 * A machine that this many complete lists in a row don't have is gone.  Pages
 * of a list are read one after another, so a single list may lack a machine
 * that changes its place meanwhile.  Machines that are down stay in the lists.
 */
#define MISSING_LISTS 3

/* Frees a machine. */
static void machine_free(struct sched *s, struct machine *m)
{
	HASH_DEL(s->machines, m);
	bstr_free(&m->id);
	bstr_free(&m->dc);
	bstr_free(&m->pool);
	bstr_free(&m->worker);
	bstr_free(&m->moving_to);
	bstr_free(&m->moving_worker);
	free(m);
}

/* Frees the list of machines. */
void machines_free(struct sched *s)
{
	struct machine *m, *next;

	HASH_ITER(hh, s->machines, m, next)
		machine_free(s, m);
	s->machine_list_complete = false;
	s->machine_lists = 0;
}

/*
 * Returns true if a worker that answers may run on a machine that is not in the
 * lists: it was there when an earlier list had it, or no list has shown its
 * machine although it is older than the latest one.
 */
static bool machine_may_have_worker(const struct sched *s, bstr id)
{
	const struct worker *w;

	for (w = s->workers; w; w = w->hh.next) {
		if (w->gone || worker_is_overdue(s, w))
			continue;
		if (w->machine.bstr_len ? bstr_eq(w->machine, id)
					: w->serial <= s->machine_list_worker)
			return true;
	}
	return false;
}

/*
 * Returns true if the platform has no such machine any more: enough lists were
 * read in this epoch, the latest ones don't have it, and no worker on it
 * answers.
 */
bool machine_is_gone(struct sched *s, bstr id)
{
	struct machine *m;

	HASH_FIND_BSTR(s->machines, id, m);
	return !m && s->machine_lists >= MISSING_LISTS &&
	       !machine_may_have_worker(s, id);
}

/*
 * Removes the machines that are not in the lists any more.  One whose move is
 * under way stays until that is over.
 */
static void machines_remove_gone(struct sched *s)
{
	struct machine *m, *next;

	HASH_ITER(hh, s->machines, m, next) {
		if (m->last_list + MISSING_LISTS > s->machine_lists ||
		    m->move_unanswered || s->now < m->moving_until)
			continue;
		sched_log(s, LOG_MACHINE_GONE, "machine=%.*s pool=%.*s",
			  BSTR_ARG(m->id), BSTR_ARG(m->pool));
		machine_free(s, m);
	}
}

/* Requests the list of machines from a page on. */
void machines_request(struct sched *s, bstr page)
{
	struct request *rq;
	struct ask *ask;

	rq = sched_ask(s, FOR_MACHINES, ASK_MACHINES,
		       s->now + PLATFORM_TIMEOUT_MS, &ask);
	rq->number = s->own.epoch;
	ask->order.page = bstr_copy(page);
	s->machine_list_in_flight = true;
	if (!page.bstr_len)
		s->machine_list_worker = s->last_worker;
	s->machine_list_at = s->now + MACHINE_LIST_INTERVAL_MS;
}

/* Applies a row of the list of machines. */
static void machine_row_apply(struct sched *s, struct machine_row *r)
{
	struct machine *m;
	struct worker *w;

	HASH_FIND_BSTR(s->machines, r->machine, m);
	if (!m) {
		m = xcalloc(1, sizeof(*m));
		m->id = bstr_copy(r->machine);
		HASH_ADD_BSTR(s->machines, id, m);
	}
	m->last_list = s->machine_lists + 1;
	bstr_set(&m->dc, r->zone);
	bstr_set(&m->pool, r->pool);
	bstr_set(&m->worker, r->worker);
	w = worker_find(s, r->worker);
	if (w)
		bstr_set(&w->machine, m->id);
	/* A list requested before a move doesn't show it yet. */
	if (s->now >= m->moving_until || r->state != MACHINE_UP)
		m->state = r->state;
	if (r->state == MACHINE_UP && bstr_eq(r->pool, m->moving_to))
		m->moving_until = 0;
	move_check_listed(s, m);
}

/*
 * Handles the end of a complete list of machines.  The first owner records the
 * sizes that the pools have before any machine moves, which are the sizes that
 * the operator chose.
 */
static void machines_list_complete(struct sched *s)
{
	struct machine *m, *next;
	char *pool;

	s->machine_list_complete = true;
	s->machine_lists++;
	machines_remove_gone(s);
	waves_check_listed(s);
	if (s->home_sizes)
		return;
	s->home_sizes = json_object();
	s->home_sizes_dirty = true;
	HASH_ITER(hh, s->machines, m, next) {
		pool = bstr_cstr(m->pool);
		json_object_set_new(
			s->home_sizes, pool,
			json_integer(json_integer_value(json_object_get(
					     s->home_sizes, pool)) +
				     1));
		free(pool);
	}
}

/*
 * Handles a page of the list of machines.  A page requested in an earlier epoch
 * is out of date.
 */
void machines_answer(struct sched *s, struct request *rq, struct answer *a)
{
	size_t i;

	if (rq->number != s->own.epoch || s->own.state != OWN_OWNER)
		return;
	s->machine_list_in_flight = false;
	if (a->outcome != OUT_DONE) {
		s->machine_list_at = s->now + PLATFORM_RETRY_MS;
		return;
	}
	for (i = 0; i < a->machine_count; i++)
		machine_row_apply(s, &a->machines[i]);
	if (a->next_page.bstr_len)
		machines_request(s, a->next_page);
	else
		machines_list_complete(s);
}
