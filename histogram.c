/*
 * Latency histograms of the process, in the Prometheus text exposition format.
 */
#include "bamboofront.h"

#include <ck_pr.h>
#include <inttypes.h>

/*
 * Upper bounds of the buckets in ms. 5 ms is one request to the store, 3 s a
 * usual timeout of callers, and 10 s the duration of a takeover when a data
 * centre is cut off.
 */
static const uint32_t bucket_bounds[] = {5,   10,   20,	  50,	100,  200,
					 500, 1000, 2000, 3000, 5000, 10000};

#define BUCKETS (NELEMS(bucket_bounds) + 1)

static const struct {
	const char *family;
	const char *help;
} histograms[HISTOGRAM_MAX] = {
#define HISTOGRAM(name, family, help) {family, help},
#include "histogram.def"
#undef HISTOGRAM
};

static uint64_t bucket_counts[HISTOGRAM_MAX][BUCKETS];
static uint64_t sums[HISTOGRAM_MAX];

/* Adds a value; any thread may call this. */
void histogram_observe(enum histogram_id id, int64_t ms)
{
	size_t i = 0;

	if (ms < 0)
		ms = 0;
	while (i < NELEMS(bucket_bounds) && ms > (int64_t)bucket_bounds[i])
		i++;
	ck_pr_inc_64(&bucket_counts[id][i]);
	ck_pr_add_64(&sums[id], (uint64_t)ms);
}

/* Prints a histogram; the format has cumulative buckets. */
static void histogram_print(FILE *f, int id)
{
	const char *family = histograms[id].family;
	uint64_t total = 0;
	size_t i;

	fprintf(f, "# HELP %s %s\n# TYPE %s histogram\n", family,
		histograms[id].help, family);
	for (i = 0; i < BUCKETS; i++) {
		total += ck_pr_load_64(&bucket_counts[id][i]);
		if (i < NELEMS(bucket_bounds))
			fprintf(f, "%s_bucket{le=\"%u\"} %" PRIu64 "\n", family,
				bucket_bounds[i], total);
		else
			fprintf(f, "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n",
				family, total);
	}
	fprintf(f, "%s_sum %" PRIu64 "\n%s_count %" PRIu64 "\n", family,
		ck_pr_load_64(&sums[id]), family, total);
}

/* Prints all histograms. */
void histograms_print(FILE *f)
{
	int i;

	for (i = 0; i < HISTOGRAM_MAX; i++)
		histogram_print(f, i);
}
