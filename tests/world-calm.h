/*
 * What tests that use the simulated world begin and end with.
 */
#ifndef WORLD_CALM_H
#define WORLD_CALM_H

#include "support-world.h"

#include <criterion/criterion.h>

/* Returns a world in which a VM owns the scheduling and knows the workers. */
static inline struct world *world_new_settled(uint64_t seed)
{
	struct world *w = world_new(seed, 4, 6);

	world_run(w, 2000);
	cr_assert_neq(world_owner(w), -1);
	return w;
}

/* Returns the VM that owns the scheduling. */
static inline unsigned owner(struct world *w)
{
	int n = world_owner(w);

	cr_assert_neq(n, -1, "nobody owns the scheduling");
	return (unsigned)n;
}

/* Returns a VM that doesn't own the scheduling. */
static inline unsigned other(struct world *w)
{
	return (owner(w) + 1) % 4;
}

/* Checks that no invariant was violated, and frees the world. */
static inline void world_check_free(struct world *w, const char *name)
{
	cr_expect_null(world_violation(w), "%s: %s", name, world_violation(w));
	world_free(w);
}

#endif
