/*
 * Tests of texts in the store that are longer than one of its rows: the owner's
 * heartbeat and its notes, in a world whose rows are short.
 */
#include "../sched-state.h"
#include "world-calm.h"

#define WORKERS 60
#define CUT 50 /* a worker that is cut off */
#define JOB_LASTING "a000000000000001"
/* The owner's own row has room, but neither its heartbeat nor a job. */
#define ROW_BYTES_SHORT 220

/* Fill nearly all workers, two on each. */
static const struct world_job lasting = {
	.tasks = 110, .long_running = true, .max_per_worker = 2, .cpu = 8000};

#define LASTING_ROW                                                 \
	"{\"tenant\":\"org\",\"route\":\"q\",\"service\":\"pool\"," \
	"\"steps\":[{\"count\":110,\"cpu\":8000,\"lasts\":true,\"apart\":2}]}"

static const struct {
	const char *name;
	size_t row_bytes;
	bool stops;	   /* as planned, in place of being killed */
	bool several_rows; /* the texts take */
} rows[] = {
	{"texts of one row", 65536, false, false},
	{"texts of several rows", ROW_BYTES_SHORT, false, true},
	{"texts of several rows, a planned stop", ROW_BYTES_SHORT, true, true},
};

/* Returns a world with such rows, in which a VM owns the scheduling. */
static struct world *world_new_rows(uint64_t seed, size_t row_bytes)
{
	struct world *w = world_new(seed, 4, WORKERS);
	unsigned i;

	world_set_row_bytes(w, row_bytes);
	for (i = 0; i < 4; i++) {
		world_kill_vm(w, i);
		world_start_vm(w, i);
	}
	world_run(w, 3000);
	return w;
}

/* Returns true if a text is in several rows of the store. */
static bool has_pieces(struct world *w, enum table table, const char *key)
{
	return world_row_bytes(w, table, key) > 0;
}

/* The scheduling has no owner, or a successor misses workers with leases. */
Test(large, a_successor_reads_all_of_it)
{
	unsigned row, starts;
	struct world *w;

	for (row = 0; row < NELEMS(rows); row++) {
		w = world_new_rows(5200 + row, rows[row].row_bytes);
		cr_assert_neq(world_owner(w), -1, "%s", rows[row].name);
		world_expect_job(w, JOB_LASTING, &lasting);
		world_put_row(w, TABLE_JOBS, JOB_LASTING, LASTING_ROW);
		world_run(w, 3000);
		starts = world_starts(w);
		cr_assert_eq(starts, lasting.tasks, "%s: %u", rows[row].name,
			     starts);
		cr_expect_eq(has_pieces(w, TABLE_NOTES, "workers#01"),
			     rows[row].several_rows, "%s", rows[row].name);
		cr_expect_eq(has_pieces(w, TABLE_OWNER, "beat#01"),
			     rows[row].several_rows, "%s", rows[row].name);
		world_cut_worker_of_all(w, CUT, true);
		world_unlist_worker(w, CUT, true);
		if (rows[row].stops)
			world_stop_vm(w, owner(w));
		else
			world_kill_vm(w, owner(w));
		world_run(w, 14000);
		cr_expect_neq(world_owner(w), -1, "%s", rows[row].name);
		/* Those of the worker that is cut off go on elsewhere. */
		cr_expect_eq(world_starts(w), starts + world_starts_of(w, CUT),
			     "%s: %u", rows[row].name, world_starts(w));
		cr_expect_null(world_violation(w), "%s: %s", rows[row].name,
			       world_violation(w));
		world_free(w);
	}
}

/* A wave whose note has no room in a row isn't completed. */
Test(large, a_wave_of_many_machines_is_completed)
{
	struct world *w = world_new_rows(5210, ROW_BYTES_SHORT);

	world_start_wave(w, 40, 20);
	world_run(w, 6000);
	world_kill_vm(w, owner(w));
	world_run(w, 20000);
	cr_expect(world_wave_is_completed(w));
	cr_expect_eq(world_maintained_count(w), 40);
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/* Texts that shrink leave pieces that a successor takes for current ones. */
Test(large, pieces_of_before_are_removed)
{
	struct world *w = world_new_rows(5220, ROW_BYTES_SHORT);
	unsigned i;

	cr_assert(has_pieces(w, TABLE_NOTES, "workers#01"));
	for (i = 5; i < WORKERS; i++)
		world_set_machine_presence(w, i, WORLD_MACHINE_GONE);
	world_run(w, 15000);
	cr_expect_not(has_pieces(w, TABLE_NOTES, "workers#01"));
	world_kill_vm(w, owner(w));
	world_run(w, 5000);
	cr_expect_neq(world_owner(w), -1);
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/* A job whose row the store refuses waits for its deadline, in vain. */
Test(large, a_job_that_no_row_holds_is_refused_at_once)
{
	static const struct world_job quick = {.tasks = 1, .task_ms = 100};
	struct world *w = world_new_rows(5230, ROW_BYTES_SHORT);
	uint64_t call;

	call = world_submit(w, 0, JOB_LASTING, &quick);
	world_run(w, 20);
	cr_expect_eq(world_call_status(w, call), 400, "%d",
		     world_call_status(w, call));
	world_free(w);
}

/* Rows as they are read, and whether the text is whole then. */
static const struct {
	const char *key;
	uint64_t revision;
	const char *value;
	const char *text; /* NULL: it isn't */
} read_rows[] = {
	{"beat", 1, "{whole}", "{whole}"},
	{"beat", 3, "{\"pieces\":2}", NULL},
	{"beat#00", 3, "{a", NULL},
	{"beat#01", 2, "old}", NULL},
	{"beat#01", 3, "b}", "{ab}"},
	{"beat#01", 4, "d}", NULL},
	{"beat#00", 4, "{c", NULL},
	{"beat", 4, "{\"pieces\":2}", "{cd}"},
	{"beat", 5, "{whole again}", "{whole again}"},
	{"beat#00", 4, "{c", NULL},
	{"beat", 6, "{\"pieces\":65}", "{\"pieces\":65}"},
	{"beat#0x", 6, "x", "x"},
};

/* A successor reads half of one heartbeat and half of the next one. */
Test(large, pieces_of_two_writes_are_not_joined)
{
	struct sched_options o = {.vm = bstr_lit("vm"), .seed = 1};
	struct sched *s = sched_new(&o);
	struct row r;
	unsigned i;
	bool whole;

	for (i = 0; i < NELEMS(read_rows); i++) {
		r = (struct row){.table = TABLE_OWNER,
				 .key = bstr_new(read_rows[i].key),
				 .revision = read_rows[i].revision,
				 .value = bstr_new(read_rows[i].value)};
		whole = large_read(s, &r);
		cr_expect_eq(whole, read_rows[i].text != NULL, "row %u", i);
		cr_expect(!whole || bstr_eq_str(r.value, read_rows[i].text),
			  "row %u: %.*s", i, BSTR_ARG(r.value));
		bstr_free(&r.key);
		bstr_free(&r.value);
	}
	sched_free(s);
}
