/*
 * What tests of the small world begin with.
 */
#ifndef WORLD_CALM_H
#define WORLD_CALM_H

#include "support-world.h"

#include <criterion/criterion.h>

/* A world in which somebody owns the scheduling and workers are known. */
static struct world *calm(uint64_t seed)
{
	struct world *w = world_new(seed, 4, 6);

	world_run(w, 2000);
	cr_assert_neq(world_owner(w), -1);
	return w;
}

/* The VM that owns the scheduling, or another one. */
static unsigned owner(struct world *w)
{
	int n = world_owner(w);

	cr_assert_neq(n, -1, "nobody owns the scheduling");
	return (unsigned)n;
}
static unsigned other(struct world *w)
{
	return (owner(w) + 1) % 4;
}

#endif
