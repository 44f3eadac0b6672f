/*
 * The list of machines, which the owner reads from the platform at intervals.
 */
#include "sched-state.h"

#include <stdlib.h>

/* Interval of reading the list of machines. */
#define MACHINE_LIST_INTERVAL_MS 900

/* Frees the list of machines. */
void machines_free(struct sched *s)
{
	struct machine *m, *next;

	HASH_ITER(hh, s->machines, m, next) {
		HASH_DEL(s->machines, m);
		bstr_free(&m->id);
		bstr_free(&m->dc);
		bstr_free(&m->pool);
		bstr_free(&m->worker);
		bstr_free(&m->moving_to);
		bstr_free(&m->moving_worker);
		free(m);
	}
	s->machine_list_complete = false;
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
