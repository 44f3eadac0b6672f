/* Freeing the contents of events and effects, and computing with resources. */
#include "scheduler.h"

#include <stdlib.h>

/* Frees an array of strings. */
static void bstrs_free(bstr *list, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		bstr_free(&list[i]);
	free(list);
}

/* Frees a job body; NULL is allowed. */
void job_body_free(struct job_body *b)
{
	size_t i;

	if (!b)
		return;
	for (i = 0; i < b->step_count; i++) {
		free(b->steps[i].prerequisites);
		bstr_free(&b->steps[i].required_label);
		bstr_free(&b->steps[i].preferred_rack);
		bstr_free(&b->steps[i].image);
	}
	free(b->steps);
	bstr_free(&b->payload);
	free(b);
}

/* Frees the contents of a route. */
void route_free(struct route *r)
{
	bstr_free(&r->name);
	bstr_free(&r->host);
	bstr_free(&r->prefix);
	bstr_free(&r->service);
}

/* Frees the contents of an organisation. */
void tenant_free(struct tenant *t)
{
	bstr_free(&t->name);
	bstrs_free(t->keys, t->key_count);
}

/* Frees a configuration; NULL is allowed. */
void fleet_config_free(struct fleet_config *c)
{
	size_t i;

	if (!c)
		return;
	for (i = 0; i < c->route_count; i++)
		route_free(&c->routes[i]);
	for (i = 0; i < c->tenant_count; i++)
		tenant_free(&c->tenants[i]);
	for (i = 0; i < c->service_count; i++)
		bstr_free(&c->services[i].name);
	free(c->routes);
	free(c->tenants);
	free(c->services);
	free(c);
}

/* Frees the contents of an operator's row of a wave. */
void wave_row_free(struct wave_row *w)
{
	bstrs_free(w->machines, w->machine_count);
	w->machines = NULL;
	w->machine_count = 0;
}

/* Frees the contents of a worker's row. */
void worker_row_free(struct worker_row *w)
{
	bstr_free(&w->service);
	bstr_free(&w->address);
	bstr_free(&w->zone);
	bstrs_free(w->labels, w->label_count);
	w->labels = NULL;
	w->label_count = 0;
}

/* Frees the contents of a row. */
static void row_free(struct row *r)
{
	bstr_free(&r->key);
	bstr_free(&r->value);
	switch (r->kind) {
	case ROW_CONFIG:
		fleet_config_free(r->config);
		break;
	case ROW_WAVE:
		wave_row_free(&r->wave);
		break;
	case ROW_EVACUATION:
		bstr_free(&r->evacuated_dc);
		break;
	case ROW_WORKER:
		worker_row_free(&r->worker);
		break;
	case ROW_RAW:
	case ROW_BAD:
		break;
	}
}

/* Frees the contents of an answer. */
static void answer_free(struct answer *a)
{
	size_t i;

	for (i = 0; i < a->row_count; i++)
		row_free(&a->rows[i]);
	for (i = 0; i < a->running_count; i++) {
		bstr_free(&a->running[i].task);
		bstr_free(&a->running[i].checkpoint);
	}
	for (i = 0; i < a->ended_count; i++) {
		bstr_free(&a->ended[i].task);
		bstr_free(&a->ended[i].checkpoint);
	}
	for (i = 0; i < a->machine_count; i++) {
		bstr_free(&a->machines[i].machine);
		bstr_free(&a->machines[i].pool);
		bstr_free(&a->machines[i].worker);
		bstr_free(&a->machines[i].zone);
	}
	for (i = 0; i < a->ticket_count; i++) {
		bstr_free(&a->tickets[i].worker);
		bstr_free(&a->tickets[i].text);
	}
	free(a->rows);
	free(a->running);
	free(a->ended);
	free(a->machines);
	free(a->tickets);
	bstr_free(&a->next_page);
}

/* Frees an event and its contents. */
void sched_event_free(struct sched_event *ev)
{
	switch (ev->kind) {
	case EVENT_CALL:
		bstr_free(&ev->call.host);
		bstr_free(&ev->call.path);
		bstr_free(&ev->call.key);
		job_body_free(ev->call.body);
		free(ev->call.body_error);
		break;
	case EVENT_ANSWER:
		answer_free(&ev->answer);
		break;
	case EVENT_TICK:
	case EVENT_STOP:
		break;
	}
	free(ev);
}

/* Frees the contents of a transaction. */
static void tx_free(struct tx *t)
{
	size_t i;

	for (i = 0; i < t->condition_count; i++)
		bstr_free(&t->conditions[i].row.key);
	for (i = 0; i < t->write_count; i++) {
		bstr_free(&t->writes[i].row.key);
		bstr_free(&t->writes[i].value);
	}
	for (i = 0; i < t->remove_count; i++)
		bstr_free(&t->removes[i].key);
	free(t->conditions);
	free(t->writes);
	free(t->removes);
}

/* Frees the contents of an order. */
static void order_free(struct order *o)
{
	bstr_free(&o->worker);
	bstr_free(&o->address);
	bstr_free(&o->task);
	bstr_free(&o->payload);
	bstr_free(&o->checkpoint);
	bstr_free(&o->ticket);
	bstr_free(&o->machine);
	bstr_free(&o->pool);
	bstr_free(&o->holder);
	bstr_free(&o->page);
	bstr_free(&o->step);
	bstrs_free(o->workers, o->worker_count);
}

/* Frees an effect and its contents. */
void sched_effect_free(struct sched_effect *fx)
{
	if (fx->kind == EFFECT_LOG)
		free(fx->log.text);
	if (fx->kind == EFFECT_ASK) {
		switch (fx->ask.kind) {
		case ASK_TX:
			tx_free(&fx->ask.tx);
			break;
		case ASK_GET:
		case ASK_FEED:
			bstr_free(&fx->ask.range.from);
			break;
		default:
			order_free(&fx->ask.order);
			break;
		}
	}
	free(fx);
}

/* Returns true if need fits into room in every resource. */
bool resources_fit(struct resources need, struct resources room)
{
	return need.cpu <= room.cpu && need.memory <= room.memory &&
	       need.gpus <= room.gpus;
}

/* Returns the sum, by resource. */
struct resources resources_add(struct resources a, struct resources b)
{
	return (struct resources){a.cpu + b.cpu, a.memory + b.memory,
				  a.gpus + b.gpus};
}

/* Returns the maximum, by resource. */
struct resources resources_max(struct resources a, struct resources b)
{
	return (struct resources){a.cpu > b.cpu ? a.cpu : b.cpu,
				  a.memory > b.memory ? a.memory : b.memory,
				  a.gpus > b.gpus ? a.gpus : b.gpus};
}

/* Returns the difference a - b, by resource. */
struct resources resources_sub(struct resources a, struct resources b)
{
	return (struct resources){a.cpu - b.cpu, a.memory - b.memory,
				  a.gpus - b.gpus};
}
