/*
 * Latency histograms of the process, in the text exposition format.
 */
#include "bamboofront.h"

#include <ck_pr.h>
#include <inttypes.h>

/* Upper bounds in ms: 5 ms is one exchange with the store, 3 s a caller's
 * usual patience, 10 s what a takeover in a cut data centre takes. */
static const uint32_t bounds[] = {5,   10,   20,   50,	 100,  200,
				  500, 1000, 2000, 3000, 5000, 10000};

#define BUCKETS (NELEMS(bounds) + 1)

static const struct {
	const char *family;
	const char *help;
} entries[HISTOGRAM_MAX] = {
#define HISTOGRAM(name, family, help) {family, help},
#include "histogram.def"
#undef HISTOGRAM
};

static uint64_t buckets[HISTOGRAM_MAX][BUCKETS];
static uint64_t sums[HISTOGRAM_MAX];

/* Count a value, from any thread. */
void histogram_observe(enum histogram_id id, int64_t ms)
{
	size_t i = 0;

	if (ms < 0)
		ms = 0;
	while (i < NELEMS(bounds) && ms > (int64_t)bounds[i])
		i++;
	ck_pr_inc_64(&buckets[id][i]);
	ck_pr_add_64(&sums[id], (uint64_t)ms);
}

/* Write one histogram; buckets are cumulative in this format. */
static void histogram_print(FILE *f, int id)
{
	const char *family = entries[id].family;
	uint64_t total = 0;
	size_t i;

	fprintf(f, "# HELP %s %s\n# TYPE %s histogram\n", family,
		entries[id].help, family);
	for (i = 0; i < BUCKETS; i++) {
		total += ck_pr_load_64(&buckets[id][i]);
		if (i < NELEMS(bounds))
			fprintf(f, "%s_bucket{le=\"%u\"} %" PRIu64 "\n", family,
				bounds[i], total);
		else
			fprintf(f, "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n",
				family, total);
	}
	fprintf(f, "%s_sum %" PRIu64 "\n%s_count %" PRIu64 "\n", family,
		ck_pr_load_64(&sums[id]), family, total);
}

/* Write all histograms. */
void histograms_print(FILE *f)
{
	int i;

	for (i = 0; i < HISTOGRAM_MAX; i++)
		histogram_print(f, i);
}
