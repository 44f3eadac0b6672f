/*
 * Mechanisms that can be disabled, to measure the benefit of each.
 */
#include "sched-state.h"

#include <string.h>

/* Returns true if a mechanism is enabled. */
bool policy_is_enabled(const struct sched *s, enum policy p)
{
	return !(s->options.disabled & (1U << p));
}

/*
 * Returns the mechanism with a word of the settings, or POLICY_MAX if there is
 * none.
 */
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
