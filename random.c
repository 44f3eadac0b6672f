#include "bamboofront.h"

/*
 * Returns the next number of a seeded generator (splitmix64).  The caller keeps
 * the state, so that a replay draws the same numbers.
 */
uint64_t random_next(uint64_t *state)
{
	uint64_t z = (*state += 0x9e3779b97f4a7c15U);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
	return z ^ (z >> 31);
}
