/*
 * Faults and changes that a test makes in the small world.
 */
#include "support-world-state.h"

/* Give a VM's next process so many cores. */
void world_set_cores(struct world *w, unsigned vm, double n)
{
	w->vms[vm].cores = n;
}

/* Let a VM stand still for a while. */
void world_freeze_vm(struct world *w, unsigned vm, int64_t ms)
{
	w->vms[vm].frozen_until = w->now + ms;
}

/* Cut a VM off from the store, or heal that. */
void world_cut_store(struct world *w, unsigned vm, bool cut)
{
	w->vms[vm].cut_store = cut;
}

/* Cut a VM off from a worker, or heal that. */
void world_cut_worker(struct world *w, unsigned vm, unsigned worker, bool cut)
{
	w->vms[vm].cut_worker[worker] = cut;
}

/* How the store treats everybody. */
void world_set_store_mode(struct world *w, enum world_store_mode mode)
{
	w->store_mode = mode;
}

/* How the store treats one VM. */
void world_set_vm_store_mode(struct world *w, unsigned vm,
			     enum world_store_mode mode)
{
	w->vms[vm].store_mode = mode;
}

/* Each answer of the store to anybody takes so much longer. */
void world_set_store_delay(struct world *w, int64_t ms)
{
	w->store_delay_ms = ms;
}

/* Each answer of the store to one VM takes so much longer. */
void world_set_vm_store_delay(struct world *w, unsigned vm, int64_t ms)
{
	w->vms[vm].store_delay_ms = ms;
}

/* Leave a VM's reads of a table without answers, or answer them again. */
void world_stall_reads(struct world *w, unsigned vm, enum table table,
		       bool stalled)
{
	w->vms[vm].reads_stalled[table] = stalled;
}

/* Give no more rows at a time than so many; 0: as many as are asked for. */
void world_set_page_rows(struct world *w, unsigned rows)
{
	w->page_rows = rows;
}

/* Let the pages of a table come later than they were read; feeds don't. */
void world_set_page_delay(struct world *w, enum table table, int64_t ms)
{
	w->page_delay_ms[table] = ms;
}

/* Let the answers of a table's feed take so much longer. */
void world_set_feed_delay(struct world *w, enum table table, int64_t ms)
{
	w->feed_delay_ms[table] = ms;
}

/* Let each row that comes to a VM take it so long. */
void world_set_row_delay(struct world *w, int64_t ms)
{
	w->row_delay_ms = ms;
}

/* Let the pages of a table not come to a VM; its feed does. */
void world_stall_pages(struct world *w, unsigned vm, enum table table,
		       bool blind)
{
	w->vms[vm].pages_stalled[table] = blind;
}

/* Forget the history of changes. */
void world_compact_history(struct world *w)
{
	w->history_start = w->revision;
}

/* Remove a worker's row, or write it again. */
void world_unlist_worker(struct world *w, unsigned worker, bool gone)
{
	bstr id = world_worker_id(w, worker);
	char *key = bstr_cstr(id);
	struct world_row *r = world_row_get(w, TABLE_WORKERS, key);

	r->removed = gone;
	r->revision = ++w->revision;
	r->worker = (int)worker;
	free(key);
	bstr_free(&id);
}

/* A machine is moved away and back by another's hand: a new worker. */
void world_replace_worker(struct world *w, unsigned worker)
{
	world_machine_restart(w, worker, 300);
}

/* Let orders about machines have no effect and no answer. */
void world_silence_machines(struct world *w, bool silent)
{
	w->machines_silent = silent;
}

/* Let machines be too busy for maintenance, or not. */
void world_set_maintenance_busy(struct world *w, bool busy)
{
	w->maintenance_busy = busy;
}

/* A worker ends and starts again under its id, knowing nothing. */
void world_crash_worker(struct world *w, unsigned worker)
{
	world_worker_restart(w, worker, 300);
}

/* A worker is about to leave. */
void world_drain_worker(struct world *w, unsigned worker)
{
	w->workers[worker].draining = true;
	world_unlist_worker(w, worker, false);
}

/* A share of the orders gets no answer and is carried out later. */
void world_set_late_orders(struct world *w, unsigned percent)
{
	w->late_percent = percent;
}

/* A share of the starts gets no answer and is never carried out. */
void world_set_lost_starts(struct world *w, unsigned percent)
{
	w->lost_starts_percent = percent;
}

/* Let starts and stops arrive late, as those do that wait in the client. */
void world_set_order_delay(struct world *w, int64_t ms)
{
	w->order_delay_ms = ms;
}

/* Workers list no more ends at a time than so many, the oldest first. */
void world_set_ends_listed(struct world *w, unsigned most)
{
	w->ends_listed = most;
}

/* Unanswered requests are told to have gone by connections that old. */
void world_old_connections(struct world *w)
{
	w->old_connections = true;
}

/* All workers turn every start away, or take them again. */
void world_refuse_starts(struct world *w, enum refusal why)
{
	w->refusal = why;
}

/* A worker fails all that it runs. */
void world_fail_tasks(struct world *w, unsigned worker, bool fail)
{
	w->workers[worker].fails = fail;
}

/* The higher of two limits; 0 is none, above all. */
static int64_t limit_higher(int64_t a, int64_t b)
{
	if (!a || !b)
		return 0;
	return a > b ? a : b;
}

/* Write the configuration with another limit. */
void world_set_limit(struct world *w, int64_t cpu)
{
	w->limit_before = w->now >= w->limit_until
				  ? w->limit
				  : limit_higher(w->limit_before, w->limit);
	w->limit_until = w->now + CONFIG_APPLY_MS;
	w->limit = cpu;
	w->config_version++;
	world_row_write(w, TABLE_OPERATOR, "config", -1);
}

/* Write the configuration with a queue that needs advice. */
void world_require_advice(struct world *w)
{
	w->needs_advice = true;
	w->config_version++;
	world_row_write(w, TABLE_OPERATOR, "config", -1);
}

/* Let the last machines stand by in a pool of their own. */
void world_add_standby_pool(struct world *w, unsigned machines)
{
	unsigned i;

	w->has_standby_pool = true;
	w->config_version++;
	world_row_write(w, TABLE_OPERATOR, "config", -1);
	for (i = w->worker_count - machines; i < w->worker_count; i++) {
		w->pools[i] = STANDBY;
		world_unlist_worker(w, i, true);
	}
}

/* Let the last machines be another pool, with a queue of its own. */
void world_add_second_pool(struct world *w, unsigned machines)
{
	unsigned i;

	w->has_second_pool = true;
	w->config_version++;
	world_row_write(w, TABLE_OPERATOR, "config", -1);
	for (i = w->worker_count - machines; i < w->worker_count; i++) {
		w->pools[i] = SECOND;
		world_unlist_worker(w, i, false);
	}
}

/* Write the configuration with the key, or without. */
void world_set_key(struct world *w, bool given)
{
	w->has_key = given;
	w->config_version++;
	world_row_write(w, TABLE_OPERATOR, "config", -1);
}

/* Ask for the maintenance of the first machines. */
void world_start_wave(struct world *w, unsigned machines, unsigned maximum)
{
	w->wave_machines = machines;
	w->wave_maximum = maximum;
	world_row_write(w, TABLE_OPERATOR, "wave/1", -1);
}
