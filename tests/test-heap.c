#include "../bamboofront.h"
#include "../heap.h"

#include <criterion/criterion.h>

#define NODES 200
#define STEPS 5000

/* The node that is due first, found by looking at all. */
static int64_t least(const struct heap_node *nodes)
{
	int64_t at = INT64_MAX;
	size_t i;

	for (i = 0; i < NODES; i++)
		if (nodes[i].index && nodes[i].due < at)
			at = nodes[i].due;
	return at;
}

/* A deadline that is never looked at would keep a request for ever. */
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
		cr_assert_eq(first ? first->due : INT64_MAX, least(nodes));
	}
	while ((first = heap_first(&h))) {
		cr_assert_eq(first->due, least(nodes));
		heap_remove(&h, first);
		heap_remove(&h, first); /* a second time changes nothing */
	}
	cr_expect_eq(least(nodes), INT64_MAX);
	heap_free(&h);
}
