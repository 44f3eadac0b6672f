/*
 * Common setup of the tests that use the simulated world.
 */
#ifndef WORLD_CALM_H
#define WORLD_CALM_H

#include "support-world.h"

#include <criterion/criterion.h>

/* Returns a world in which a VM owns the scheduling and knows the workers. */
static struct world *world_new_settled(uint64_t seed)
{
	struct world *w = world_new(seed, 4, 6);

	world_run(w, 2000);
	cr_assert_neq(world_owner(w), -1);
	return w;
}

/* Returns the VM that owns the scheduling. */
static unsigned owner(struct world *w)
{
	int n = world_owner(w);

	cr_assert_neq(n, -1, "nobody owns the scheduling");
	return (unsigned)n;
}

/* Returns a VM that doesn't own the scheduling. */
static unsigned other(struct world *w)
{
	return (owner(w) + 1) % 4;
}

#endif
