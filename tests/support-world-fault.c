/*
 * Faults and changes of the configuration that a test causes in the simulated
 * world.
 */
#include "support-world-state.h"

/* Delays the processing of answers that aren't the store's. */
void world_set_inbox_delay(struct world *w, unsigned vm, int64_t ms)
{
	w->vms[vm].inbox_delay_ms = ms;
}

/* Lets starts be carried out without an answer. */
void world_lose_start_answers(struct world *w, bool lost)
{
	w->start_answers_lost = lost;
}

/* Lets requests be lost, and the VM's client report no outcome of them. */
void world_lose_outcomes(struct world *w, enum ask_kind kind, bool lost)
{
	w->outcomes_lost[kind] = lost;
}

/* Sets the number of cores of a VM's next process. */
void world_set_cores(struct world *w, unsigned vm, double n)
{
	w->vms[vm].cores = n;
}

/* Suspends a VM's process for a while. */
void world_freeze_vm(struct world *w, unsigned vm, int64_t ms)
{
	w->vms[vm].frozen_until = w->now + ms;
}

/* Cuts a VM off from the store, or reconnects it. */
void world_cut_store(struct world *w, unsigned vm, bool cut)
{
	w->vms[vm].cut_store = cut;
}

/* Cuts a VM off from a worker, or reconnects it. */
void world_cut_worker(struct world *w, unsigned vm, unsigned worker, bool cut)
{
	w->vms[vm].cut_worker[worker] = cut;
}

/* Cuts a VM off from the first workers, or reconnects it. */
void world_cut_workers(struct world *w, unsigned vm, unsigned workers, bool cut)
{
	unsigned i;

	for (i = 0; i < workers; i++)
		world_cut_worker(w, vm, i, cut);
}

/* Cuts all VMs off from one worker, or reconnects them. */
void world_cut_worker_of_all(struct world *w, unsigned worker, bool cut)
{
	unsigned k;

	for (k = 0; k < w->vm_count; k++)
		world_cut_worker(w, k, worker, cut);
}

/* Cuts all VMs off from the first workers, or reconnects them. */
void world_cut_workers_of_all(struct world *w, unsigned workers, bool cut)
{
	unsigned k;

	for (k = 0; k < w->vm_count; k++)
		world_cut_workers(w, k, workers, cut);
}

/* Sets how the store treats all VMs. */
void world_set_store_mode(struct world *w, enum world_store_mode mode)
{
	w->store_mode = mode;
}

/* Sets how the store treats one VM. */
void world_set_vm_store_mode(struct world *w, unsigned vm,
			     enum world_store_mode mode)
{
	w->vms[vm].store_mode = mode;
}

/* Delays each answer of the store to all VMs. */
void world_set_store_delay(struct world *w, int64_t ms)
{
	w->store_delay_ms = ms;
}

/* Delays each answer of the store to one VM. */
void world_set_vm_store_delay(struct world *w, unsigned vm, int64_t ms)
{
	w->vms[vm].store_delay_ms = ms;
}

/* Delays each request of a VM on its way to the store. */
void world_set_vm_store_way(struct world *w, unsigned vm, int64_t ms)
{
	w->vms[vm].store_way_ms = ms;
}

/* Withholds the answers to a VM's pages and feeds of a table, or ends that. */
void world_stall_reads(struct world *w, unsigned vm, enum table table,
		       bool stalled)
{
	w->vms[vm].reads_stalled[table] = stalled;
}

/* Sets the most rows in a page; 0: as many as the request asks for. */
void world_set_page_rows(struct world *w, unsigned rows)
{
	w->page_rows = rows;
}

/*
 * Lets the clock of a worker's process tell nothing of its age, and each later
 * one's begin behind that of the one before.
 */
void world_set_clocks_behind(struct world *w)
{
	unsigned i;

	w->clocks_behind = true;
	for (i = 0; i < w->worker_count; i++)
		world_clock_begin(w, &w->workers[i], 0);
}

/* Sets the longest lease that workers hold, which the settings of VMs tell. */
void world_set_lease_max(struct world *w, int64_t ms)
{
	unsigned i;

	w->lease_max_ms = ms;
	for (i = 0; i < w->vm_count; i++)
		if (w->vms[i].sched)
			w->vms[i].sched->options.lease_max_ms = ms;
}

/* Sets the longest value of a row, as base64. */
void world_set_row_bytes(struct world *w, size_t bytes)
{
	w->row_bytes = bytes;
}

/* Lets the store refuse each transaction that writes a job's progress. */
void world_refuse_progress(struct world *w, const char *id, bool refuse)
{
	snprintf(w->refused_progress, sizeof(w->refused_progress), "%s",
		 refuse ? id : "");
}

/*
 * Delays the pages of a table, as they are at the time of the read. Feeds
 * aren't delayed.
 */
void world_set_page_delay(struct world *w, enum table table, int64_t ms)
{
	w->page_delay_ms[table] = ms;
}

/* Delays the answers of a table's feed. */
void world_set_feed_delay(struct world *w, enum table table, int64_t ms)
{
	w->feed_delay_ms[table] = ms;
}

/* Sets the time that a VM spends on each row that it reads. */
void world_set_row_delay(struct world *w, int64_t ms)
{
	w->row_delay_ms = ms;
}

/* Withholds the pages of a table from a VM, but not the feed. */
void world_stall_pages(struct world *w, unsigned vm, enum table table,
		       bool stalled)
{
	w->vms[vm].pages_stalled[table] = stalled;
}

/* Steps a VM's wall clock. */
void world_step_wall(struct world *w, unsigned vm, int64_t ms)
{
	w->vms[vm].wall_step_ms += ms;
}

/* Sets how long the VMs keep final jobs, also those that run already. */
void world_set_retention(struct world *w, int64_t ms)
{
	unsigned i;

	w->keep_ms = ms;
	for (i = 0; i < w->vm_count; i++)
		if (w->vms[i].sched)
			w->vms[i].sched->options.keep_ms = ms;
}

/* Drops the history of changes; feeds from an older revision fail. */
void world_compact_history(struct world *w)
{
	w->history_start = w->revision;
}

/* Removes a worker's row, or writes it again. */
void world_unlist_worker(struct world *w, unsigned worker, bool removed)
{
	bstr id = world_worker_id(w, worker);
	char *key = bstr_cstr(id);
	struct world_row *r = world_row_get(w, TABLE_WORKERS, key);

	r->removed = removed;
	r->revision = ++w->revision;
	r->worker = (int)worker;
	free(key);
	bstr_free(&id);
}

/*
 * Restarts a machine as if another party had moved it away and back; its worker
 * gets a new id.
 */
void world_replace_worker(struct world *w, unsigned worker)
{
	world_machine_restart(w, worker, 300);
}

/* Restarts two workers under their ids, each at the other's address. */
void world_exchange_workers(struct world *w, unsigned a, unsigned b)
{
	w->workers_at[a] = b;
	w->workers_at[b] = a;
	world_worker_crash(w, a, 300);
	world_worker_crash(w, b, 300);
}

/* Sets how the platform treats orders about machines. */
void world_set_machine_mode(struct world *w, enum world_machine_mode mode)
{
	w->machine_mode = mode;
}

/* Restarts a worker under the same id; it loses its runs. */
void world_crash_worker(struct world *w, unsigned worker)
{
	world_worker_crash(w, worker, 300);
}

/*
 * Restarts a worker under the same id unless something runs there.  Returns
 * false if it doesn't.
 */
bool world_restart_idle_worker(struct world *w, unsigned worker)
{
	if (w->workers[worker].run_count)
		return false;
	world_crash_worker(w, worker);
	return true;
}

/* Sets how workers are back after a task has crashed them, and when. */
void world_set_crash_mode(struct world *w, enum world_crash_mode mode,
			  int64_t down_ms)
{
	w->crash_mode = mode;
	w->crash_down_ms = down_ms;
}

/*
 * Makes the workers' clocks slow, each by another amount and at least one by
 * the most that is allowed.
 */
void world_slow_clocks(struct world *w)
{
	unsigned i;

	for (i = 0; i < w->worker_count; i++)
		w->workers[i].slow = (unsigned)(random_next(&w->random) %
						(CLOCK_SLOW_MAX + 1));
	i = (unsigned)(random_next(&w->random) % w->worker_count);
	w->workers[i].slow = CLOCK_SLOW_MAX;
}

/* Sets the cores of a worker; its row shows them. */
void world_set_capacity(struct world *w, unsigned worker, int64_t cpu)
{
	struct world_worker *k = &w->workers[worker];

	if (cpu < k->capacity)
		k->shrunk_at = w->now;
	k->capacity = cpu;
	world_unlist_worker(w, worker, false);
}

/* Lets workers start tasks also above their capacity. */
void world_set_unguarded(struct world *w)
{
	w->unguarded = true;
	w->config_version++;
	world_row_write(w, TABLE_OPERATOR, "config", -1);
}

/* Marks a worker as draining: it is about to leave. */
void world_drain_worker(struct world *w, unsigned worker)
{
	w->workers[worker].draining = true;
	world_unlist_worker(w, worker, false);
}

/* Sets the share of orders that get no answer and are carried out late. */
void world_set_late_orders(struct world *w, unsigned percent)
{
	w->late_percent = percent;
}

/*
 * Lets the long polls at a worker fail at once when it restarts, as the
 * platform's connections do.  Otherwise the next process answers them.
 */
void world_reset_polls(struct world *w)
{
	w->polls_reset = true;
}

/*
 * Lets late orders to a worker that restarts under its id be carried out by its
 * next process.  The platform's contract doesn't exclude that.
 */
void world_keep_late_orders(struct world *w)
{
	w->late_orders_kept = true;
}

/* Sets the share of starts that get no answer and are never carried out. */
void world_set_lost_starts(struct world *w, unsigned percent)
{
	w->lost_starts_percent = percent;
}

/* Lets all polls of workers get no answer and be carried out seconds later. */
void world_set_late_polls(struct world *w, bool late)
{
	w->polls_are_late = late;
}

/* Delays starts and stops, as if they waited in the VM's HTTP client. */
void world_set_order_delay(struct world *w, int64_t ms)
{
	w->order_delay_ms = ms;
}

/* Sets the most ends in one answer of a worker; it lists the oldest first. */
void world_set_ends_listed(struct world *w, unsigned most)
{
	w->ends_listed = most;
}

/* Lets requests that time out report that they used an old connection. */
void world_old_connections(struct world *w)
{
	w->old_connections = true;
}

/* Lets all workers refuse all starts; REFUSAL_NONE ends that. */
void world_refuse_starts(struct world *w, enum refusal why)
{
	w->refusal = why;
}

/* Lets a worker fail all its tasks. */
void world_fail_tasks(struct world *w, unsigned worker, bool fail)
{
	w->workers[worker].fails = fail;
}

/* Returns the higher of two limits; 0 means no limit, which is the highest. */
static int64_t limit_higher(int64_t a, int64_t b)
{
	if (!a || !b)
		return 0;
	return a > b ? a : b;
}

void world_add_organisation(struct world *w)
{
	w->has_other_organisation = true;
}

/*
 * Writes the configuration with another upper limit. The earlier limit may stay
 * in force until all VMs have applied the configuration.
 */
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

/* Writes the configuration with a queue that needs advice. */
void world_require_advice(struct world *w)
{
	w->needs_advice = true;
	w->config_version++;
	world_row_write(w, TABLE_OPERATOR, "config", -1);
}

/* Lets the advice service name the workers in a range of indexes only. */
void world_set_advised(struct world *w, unsigned first, unsigned end)
{
	w->advised_is_set = true;
	w->advised_first = first;
	w->advised_end = end;
}

/* Sets how long the advice service takes for each worker in a request. */
void world_set_advice_time(struct world *w, int64_t ms)
{
	w->advice_ms = ms;
}

/* Puts the last machines into a pool of standby machines. */
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

/* Puts the last machines into a second pool with a queue of its own. */
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

/* Lets the first queue's route name the second pool, or the first one. */
void world_move_route(struct world *w, bool second)
{
	w->route_is_moved = second;
	w->config_version++;
	world_row_write(w, TABLE_OPERATOR, "config", -1);
}

/* Removes the route of the first queue, or adds it again. */
void world_remove_route(struct world *w, bool removed)
{
	w->route_is_removed = removed;
	w->config_version++;
	world_row_write(w, TABLE_OPERATOR, "config", -1);
}

/* Removes the organisation, or adds it again. */
void world_remove_organisation(struct world *w, bool removed)
{
	w->organisation_is_removed = removed;
	w->config_version++;
	world_row_write(w, TABLE_OPERATOR, "config", -1);
}

/* Writes the configuration with the key, or without it. */
void world_set_key(struct world *w, bool given)
{
	w->has_key = given;
	w->config_version++;
	world_row_write(w, TABLE_OPERATOR, "config", -1);
}

/* Asks for the maintenance of the first machines. */
void world_start_wave(struct world *w, unsigned machines, unsigned maximum)
{
	w->wave_machines = machines;
	w->wave_maximum = maximum;
	world_row_write(w, TABLE_OPERATOR, "wave/1", -1);
}

/* Returns the data centre of a worker; each rack is in one of them. */
unsigned world_dc_of(unsigned worker)
{
	return worker / 2 % WORLD_DCS;
}

/*
 * Asks for the evacuation of a data centre, or withdraws that.  Asking again
 * writes the row again; the bound counts from the first request.
 */
void world_evacuate(struct world *w, unsigned dc, bool evacuated)
{
	char key[24];
	struct world_row *r;

	snprintf(key, sizeof(key), "evacuate/z%u", dc);
	r = world_row_get(w, TABLE_OPERATOR, key);
	r->removed = !evacuated;
	r->revision = ++w->revision;
	if (!evacuated)
		w->evacuated_at[dc] = 0;
	else if (!w->evacuated_at[dc])
		w->evacuated_at[dc] = w->now;
	world_feeds_wake(w);
}

/*
 * Lets a VM handle the answers of workers later, as if it had too little
 * processor time. The workers carry out its orders in time.
 */
void world_set_worker_delay(struct world *w, unsigned vm, int64_t ms)
{
	w->vms[vm].worker_delay_ms = ms;
}

/* Delays the answers to polls; those to starts overtake them. */
void world_set_poll_answer_delay(struct world *w, int64_t ms)
{
	w->poll_answer_delay_ms = ms;
}
