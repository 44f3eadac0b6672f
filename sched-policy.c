/*
 * Leaving out a mechanism, to measure what it is worth.
 */
#include "sched-state.h"

#include <string.h>

/* Is a mechanism in use? */
bool policy_is_enabled(const struct sched *s, enum policy p)
{
	return !(s->options.disabled & (1U << p));
}

/* The mechanism of a word in the settings; POLICY_MAX: there is none. */
enum policy policy_find(const char *word)
{
	static const char *const words[] = {
#define POLICY(name, word, text) word,
#include "policy.def"
#undef POLICY
	};
	unsigned i;

	for (i = 0; i < POLICY_MAX; i++)
		if (!strcmp(words[i], word))
			break;
	return (enum policy)i;
}
