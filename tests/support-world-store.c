/* The simulated store: its rows, transactions and feeds. */
#include "support-world-state.h"

/*
 * Returns the part that a row belongs to: jobs and their cancellations are in
 * parts 1 to 16, by the first digit of the id, all other rows in part 0.
 */
static unsigned part_of(enum table table, const char *key)
{
	if (table != TABLE_JOBS)
		return 0;
	return 1 + (unsigned)(key[0] <= '9' ? key[0] - '0'
					    : 10 + (key[0] - 'a') % 6);
}

/*
 * Returns the row of a part of a table, which is made as a removed one if need
 * be.  Rows with one key in two parts are two rows.
 */
static struct world_row *row_in_part(struct world *w, enum table table,
				     unsigned part, const char *key)
{
	struct world_row *r;
	unsigned i;

	for (i = 0; i < w->row_count; i++)
		if (w->rows[i].table == table && w->rows[i].part == part &&
		    !strcmp(w->rows[i].key, key))
			return &w->rows[i];
	if (w->row_count == ROWS_MAX)
		abort();
	r = &w->rows[w->row_count++];
	memset(r, 0, sizeof(*r));
	r->table = table;
	r->part = part;
	r->key = xstrdup(key);
	r->removed = true;
	r->worker = -1;
	return r;
}

/* Returns the row that a transaction names. */
static struct world_row *row_of(struct world *w, const struct row_ref *ref)
{
	char *key = bstr_cstr(ref->key);
	struct world_row *r = row_in_part(w, ref->table, ref->part, key);

	free(key);
	return r;
}

/* Returns a row of the part that it belongs to. */
struct world_row *world_row_get(struct world *w, enum table table,
				const char *key)
{
	return row_in_part(w, table, part_of(table, key), key);
}

/* Writes a row as another writer of the platform does. */
void world_row_write(struct world *w, enum table table, const char *key,
		     int worker)
{
	struct world_row *r = world_row_get(w, table, key);

	r->revision = ++w->revision;
	r->removed = false;
	r->worker = worker;
}

/* Writes a row with the given text. */
void world_put_row(struct world *w, enum table table, const char *key,
		   const char *text)
{
	struct world_row *r = world_row_get(w, table, key);

	bstr_set(&r->value, bstr_lit(text));
	r->revision = ++w->revision;
	r->removed = false;
}

/* Removes a row. */
void world_remove_row(struct world *w, enum table table, const char *key)
{
	struct world_row *r = world_row_get(w, table, key);

	r->revision = ++w->revision;
	r->removed = true;
}

/* Makes the current configuration. */
static struct fleet_config *config_make(const struct world *w)
{
	struct fleet_config *c = xcalloc(1, sizeof(*c));

	c->version = w->config_version;
	c->routes = xcalloc(2, sizeof(*c->routes));
	c->route_count = 1;
	c->routes[0] = (struct route){
		.name = bstr_new(QUEUE),
		.host = bstr_new("h"),
		.prefix = bstr_new("/q/"),
		.service = bstr_new(w->route_is_moved ? SECOND : SERVICE),
		.attempts = ATTEMPTS,
		.needs_ticket = w->needs_advice,
		.stretch = 2,
		.objective_ms = 600};
	if (w->route_is_removed)
		route_free(&c->routes[--c->route_count]);
	if (w->has_second_pool)
		c->routes[c->route_count++] = (struct route){
			.name = bstr_new("q2"),
			.host = bstr_new("h"),
			.prefix = bstr_new("/q2/"),
			.service = bstr_new(SECOND),
			.attempts = ATTEMPTS,
			.stretch = 2,
			.objective_ms = 600};
	c->services = xcalloc(3, sizeof(*c->services));
	c->service_count = 1;
	c->services[0] = (struct service){.name = bstr_new(SERVICE),
					  .checks_capacity = !w->unguarded};
	if (w->has_standby_pool)
		c->services[c->service_count++] = (struct service){
			.name = bstr_new(STANDBY), .standby = true};
	if (w->has_second_pool)
		c->services[c->service_count++] = (struct service){
			.name = bstr_new(SECOND), .checks_capacity = true};
	c->tenants = xcalloc(2, sizeof(*c->tenants));
	c->tenant_count = 1;
	c->tenants[0] = (struct tenant){.name = bstr_new(TENANT),
					.weight = 1,
					.maximum = {.cpu = w->limit}};
	if (w->has_key) {
		c->tenants[0].keys = xcalloc(1, sizeof(bstr));
		c->tenants[0].keys[0] = bstr_new(KEY);
		c->tenants[0].key_count = 1;
	}
	if (w->has_other_organisation) {
		c->tenants[c->tenant_count++] = (struct tenant){
			.name = bstr_new(OTHER_TENANT),
			.keys = xcalloc(1, sizeof(bstr)),
			.key_count = 1,
			.weight = 1};
		c->tenants[1].keys[0] = bstr_new(OTHER_KEY);
	}
	if (w->organisation_is_removed) {
		tenant_free(&c->tenants[0]);
		c->tenants[0] = c->tenants[--c->tenant_count];
	}
	return c;
}

/* Copies a row into an answer. */
static void row_copy(const struct world *w, const struct world_row *from,
		     struct row *r)
{
	unsigned i;

	r->table = from->table;
	r->key = bstr_new(from->key);
	r->revision = from->revision;
	r->removed = from->removed;
	if (from->table == TABLE_OPERATOR &&
	    !strncmp(from->key, EVACUATE, strlen(EVACUATE))) {
		r->kind = ROW_EVACUATION;
		r->evacuated_dc = bstr_new(from->key + strlen(EVACUATE));
		return;
	}
	if (from->removed)
		return;
	if (from->table == TABLE_WORKERS) {
		r->kind = ROW_WORKER;
		r->worker.service = bstr_new(w->pools[from->worker]);
		r->worker.address = bstr_printf("a%u",
						w->workers_at[from->worker]);
		r->worker.zone = bstr_printf(
			"z%u", world_dc_of((unsigned)from->worker));
		r->worker.capacity = (struct resources){
			w->workers[from->worker].capacity, 64000, 0};
		r->worker.draining = w->workers[from->worker].draining;
		r->worker.labels = xcalloc(1, sizeof(bstr));
		r->worker.labels[0] = bstr_printf("r%d", from->worker / 2);
		r->worker.label_count = 1;
	} else if (!strcmp(from->key, "config")) {
		r->kind = ROW_CONFIG;
		r->config = config_make(w);
	} else if (from->table == TABLE_OPERATOR) {
		r->kind = ROW_WAVE;
		r->wave.number = 1;
		r->wave.max_unavailable = w->wave_maximum;
		r->wave.finish_by_s = 20;
		r->wave.machines = xcalloc(w->wave_machines, sizeof(bstr));
		for (i = 0; i < w->wave_machines; i++)
			r->wave.machines[r->wave.machine_count++] = bstr_printf(
				"m-%u", i);
	} else {
		r->value = bstr_copy(from->value);
	}
}

/*
 * Sends the store's answer. An answer after the deadline is lost, and the
 * request times out.
 */
static void store_answer(struct world *w, unsigned vm, struct sched_effect *fx,
			 struct sched_event *ev)
{
	int64_t slow = w->store_delay_ms + w->vms[vm].store_delay_ms;

	ev->answer.sent_at -= w->vms[vm].store_way_ms;
	if (fx->ask.kind == ASK_FEED)
		slow += w->feed_delay_ms[fx->ask.range.table];
	if (slow && w->now + ONE_WAY_MS + slow > fx->ask.deadline) {
		sched_event_free(ev);
		world_answer_timeout(w, vm, fx);
		return;
	}
	/*
	 * The delay of pages doesn't count against the deadline, so that late
	 * pages are used.
	 */
	if (fx->ask.kind == ASK_GET)
		slow += w->page_delay_ms[fx->ask.range.table];
	world_answer_send(w, vm, ev, w->now + ONE_WAY_MS + slow);
}

/* Collects the rows of a table that are newer than a revision, oldest first. */
static void rows_after(const struct world *w, enum table table, uint64_t after,
		       struct answer *a)
{
	uint64_t last = after, best;
	const struct world_row *r;
	unsigned i;

	a->rows = xcalloc(w->row_count + 1, sizeof(*a->rows));
	for (;;) {
		r = NULL;
		best = UINT64_MAX;
		for (i = 0; i < w->row_count; i++)
			if (w->rows[i].table == table &&
			    w->rows[i].revision > last &&
			    w->rows[i].revision < best) {
				r = &w->rows[i];
				best = r->revision;
			}
		if (!r)
			return;
		row_copy(w, r, &a->rows[a->row_count++]);
		/*
		 * Rows of one transaction share a revision; a feed gives all of
		 * them together.
		 */
		for (i = 0; i < w->row_count; i++)
			if (&w->rows[i] != r && w->rows[i].table == table &&
			    w->rows[i].revision == best)
				row_copy(w, &w->rows[i],
					 &a->rows[a->row_count++]);
		last = best;
	}
}

/* Reads a page of a range, starting at a key. */
static void range_read(struct world *w, const struct range *range,
		       struct answer *a)
{
	char *from = bstr_cstr(range->from);
	const struct world_row *r, *best;
	const char *last = NULL;
	unsigned i, limit = range->limit;

	if (w->page_rows && w->page_rows < limit)
		limit = w->page_rows;
	a->revision = w->revision;
	a->rows = xcalloc(w->row_count + 1, sizeof(*a->rows));
	while (a->row_count < limit) {
		best = NULL;
		for (i = 0; i < w->row_count; i++) {
			r = &w->rows[i];
			if (r->table != range->table || r->removed ||
			    r->part != range->part ||
			    strcmp(r->key, from) < 0 ||
			    (last && strcmp(r->key, last) <= 0))
				continue;
			if (!best || strcmp(r->key, best->key) < 0)
				best = r;
		}
		if (!best)
			break;
		row_copy(w, best, &a->rows[a->row_count++]);
		last = best->key;
	}
	a->more = a->row_count == limit;
	free(from);
}

/* Answers the feeds that have new rows or have reached their deadline. */
void world_feeds_wake(struct world *w)
{
	struct pending *p, *next;
	struct sched_event *ev;
	const struct range *r;
	unsigned i, generation = w->sender_generation;
	bool any;

	for (p = TAILQ_FIRST(&w->waiting); p; p = next) {
		next = TAILQ_NEXT(p, entry);
		if (p->effect->ask.kind != ASK_FEED)
			continue;
		w->sender_generation = p->generation;
		r = &p->effect->ask.range;
		for (any = false, i = 0; i < w->row_count; i++)
			any = any || (w->rows[i].table == r->table &&
				      w->rows[i].revision > r->after);
		if (!any && w->now < p->deadline)
			continue;
		ev = world_answer_make(p->effect, OUT_DONE, w->now);
		rows_after(w, r->table, r->after, &ev->answer);
		ev->answer.revision = w->revision;
		if (r->after < w->history_start)
			ev->answer.outcome = OUT_COMPACTED;
		store_answer(w, p->vm, p->effect, ev);
		TAILQ_REMOVE(&w->waiting, p, entry);
		sched_effect_free(p->effect);
		free(p);
	}
	w->sender_generation = generation;
}

/*
 * Forgets what is known of a job whose rows were removed, as its id is used for
 * a new one.
 */
static void job_record_reset(struct world *w, const char *id)
{
	int n = world_job_number(w, id);
	struct task_record *t;
	unsigned i;

	if (n < 0 || !w->jobs[n].stored_at || strlen(id) != JOB_ID_BYTES)
		return;
	w->jobs[n].stored_at = 0;
	w->jobs[n].over = w->jobs[n].started = false;
	for (i = 0; i < w->task_record_count; i++) {
		t = &w->task_records[i];
		if (!strncmp(t->name, id, JOB_ID_BYTES))
			t->done_acked = t->ended_by_order = false;
	}
}

/* Updates the record of a job from a row that was written for it. */
static void job_row_record(struct world *w, const struct tx_write *row,
			   const char *key)
{
	static const char *const final[] = {"completed", "failed", "cancelled"};
	int n = world_job_number(w, key);
	char want[32];
	size_t i;

	if (n < 0)
		return;
	if (row->row.table == TABLE_JOBS && key[JOB_ID_BYTES])
		w->jobs[n].over = true;
	else if (row->row.table == TABLE_JOBS && !w->jobs[n].stored_at)
		w->jobs[n].stored_at = w->now;
	for (i = 0; row->row.table == TABLE_PROGRESS && i < NELEMS(final);
	     i++) {
		snprintf(want, sizeof(want), "\"state\":\"%s\"", final[i]);
		if (memmem(row->value.bstr_val, row->value.bstr_len, want,
			   strlen(want))) {
			w->jobs[n].over = true;
			if (!strcmp(final[i], "failed"))
				world_failed_check(w, key);
		}
	}
}

/* Checks a transaction against the store's limits on entries and bytes. */
static void tx_check(struct world *w, const struct tx *t)
{
	size_t i, bytes = 0;

	for (i = 0; i < t->write_count; i++)
		bytes += t->writes[i].value.bstr_len * 4 / 3;
	if (t->condition_count + t->write_count + t->remove_count >
		    TX_ENTRIES ||
	    bytes > TX_BYTES)
		world_report_violation(w, "a transaction is too large", "");
}

/*
 * Returns true if the store refuses a transaction each time: a value is too
 * long, or it writes the progress of a job that is refused.
 */
static bool tx_is_refused(const struct world *w, const struct tx *t)
{
	const struct tx_write *r;
	size_t i;

	for (i = 0; i < t->write_count; i++) {
		r = &t->writes[i];
		if ((r->value.bstr_len + 2) / 3 * 4 > w->row_bytes)
			return true;
		if (*w->refused_progress && r->row.table == TABLE_PROGRESS &&
		    bstr_eq_str(r->row.key, w->refused_progress))
			return true;
	}
	return false;
}

/* Applies a transaction; returns false if a condition doesn't hold. */
bool world_tx_apply(struct world *w, const struct tx *t)
{
	struct world_row *r;
	size_t i;
	bool ok = true;

	tx_check(w, t);
	for (i = 0; i < t->condition_count && ok; i++) {
		r = row_of(w, &t->conditions[i].row);
		ok = (r->removed ? 0 : r->revision) ==
		     t->conditions[i].revision;
	}
	if (!ok)
		return false;
	w->revision++;
	for (i = 0; i < t->write_count; i++) {
		r = row_of(w, &t->writes[i].row);
		if (r->removed && r->table == TABLE_JOBS)
			job_record_reset(w, r->key);
		bstr_set(&r->value, t->writes[i].value);
		r->revision = w->revision;
		r->removed = false;
		job_row_record(w, &t->writes[i], r->key);
	}
	for (i = 0; i < t->remove_count; i++) {
		r = row_of(w, &t->removes[i]);
		r->revision = w->revision;
		r->removed = true;
	}
	return true;
}

/*
 * Collects the current rows of the keys that a refused transaction had
 * conditions on.
 */
static void rows_conflicting(struct world *w, const struct tx *t,
			     struct answer *a)
{
	const struct world_row *r;
	size_t i;

	a->rows = xcalloc(t->condition_count + 1, sizeof(*a->rows));
	for (i = 0; i < t->condition_count; i++) {
		r = row_of(w, &t->conditions[i].row);
		if (!r->removed && r->revision)
			row_copy(w, r, &a->rows[a->row_count++]);
	}
}

/* Returns how the store treats a VM now. */
static enum world_store_mode store_mode(const struct world *w, unsigned vm)
{
	if (w->vms[vm].cut_store)
		return WORLD_STORE_NO_ANSWER;
	return w->store_mode != WORLD_STORE_OK ? w->store_mode
					       : w->vms[vm].store_mode;
}

/*
 * Returns true if the store answers a VM's request for a table. Stalled reads
 * leave writes alone.
 */
static bool read_is_answered(const struct world_vm *v, const struct ask *ask)
{
	if (ask->kind == ASK_TX)
		return true;
	if (ask->kind == ASK_GET && v->pages_stalled[ask->range.table])
		return false;
	return !v->reads_stalled[ask->range.table];
}

/* Handles a request to the store. */
void world_store_receive(struct world *w, unsigned vm, struct sched_effect *fx)
{
	enum world_store_mode mode = store_mode(w, vm);
	struct sched_event *ev;
	struct pending *p;
	bool ok;

	if (mode == WORLD_STORE_NO_ANSWER ||
	    !read_is_answered(&w->vms[vm], &fx->ask)) {
		world_answer_timeout(w, vm, fx);
		sched_effect_free(fx);
		return;
	}
	if (mode == WORLD_STORE_REFUSES) {
		ev = world_answer_make(fx, OUT_REFUSED, w->now);
		store_answer(w, vm, fx, ev);
		sched_effect_free(fx);
		return;
	}
	if (fx->ask.kind == ASK_FEED) {
		p = world_pending_add(w, &w->waiting, w->now, vm);
		p->effect = fx;
		p->deadline = w->now + fx->ask.range.wait_ms;
		world_feeds_wake(w);
		return;
	}
	if (fx->ask.kind == ASK_GET) {
		ev = world_answer_make(fx, OUT_DONE, w->now);
		range_read(w, &fx->ask.range, &ev->answer);
		store_answer(w, vm, fx, ev);
		sched_effect_free(fx);
		return;
	}
	if (tx_is_refused(w, &fx->ask.tx)) {
		ev = world_answer_make(fx, OUT_REFUSED, w->now);
		ev->answer.refusal = REFUSAL_INVALID;
		store_answer(w, vm, fx, ev);
		sched_effect_free(fx);
		return;
	}
	if (mode == WORLD_STORE_LATE) {
		world_answer_timeout(w, vm, fx);
		p = world_pending_add(
			w, &w->pending,
			w->now + 500 + random_next(&w->random) % 3000, vm);
		p->effect = fx;
		p->is_late_write = true;
		return;
	}
	ok = world_tx_apply(w, &fx->ask.tx);
	if (mode == WORLD_STORE_LOSES_ANSWERS) {
		world_answer_timeout(w, vm, fx);
	} else {
		ev = world_answer_make(fx, ok ? OUT_DONE : OUT_CONFLICT,
				       w->now);
		ev->answer.revision = w->revision;
		if (!ok)
			rows_conflicting(w, &fx->ask.tx, &ev->answer);
		store_answer(w, vm, fx, ev);
	}
	sched_effect_free(fx);
	world_feeds_wake(w);
}
