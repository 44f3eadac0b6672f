#include "../bamboofront.h"
#include "../heap.h"

#include <criterion/criterion.h>

#define NODES 200
#define STEPS 5000

/* Returns the earliest due time by a linear search, or INT64_MAX. */
static int64_t earliest_due(const struct heap_node *nodes)
{
	int64_t at = INT64_MAX;
	size_t i;

	for (i = 0; i < NODES; i++)
		if (nodes[i].index && nodes[i].due < at)
			at = nodes[i].due;
	return at;
}

/*
 * Guards against a heap that misses the earliest deadline, since its request
 * would then never time out.
 */
Test(heap, the_first_is_due_first_whatever_was_done)
{
	struct heap_node nodes[NODES] = {{0}}, *first;
	struct heap h = {0};
	uint64_t random = 7;
	size_t i, n;

	for (i = 0; i < STEPS; i++) {
		n = random_next(&random) % NODES;
		if (random_next(&random) % 3)
			heap_set(&h, &nodes[n],
				 (int64_t)(random_next(&random) % 1000));
		else
			heap_remove(&h, &nodes[n]);
		first = heap_first(&h);
		cr_assert_eq(first ? first->due : INT64_MAX,
			     earliest_due(nodes));
	}
	while ((first = heap_first(&h))) {
		cr_assert_eq(first->due, earliest_due(nodes));
		heap_remove(&h, first);
		heap_remove(&h, first); /* has no effect */
	}
	cr_expect_eq(earliest_due(nodes), INT64_MAX);
	heap_free(&h);
}
