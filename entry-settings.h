/*
 * Settings of an entry VM on the platform. They are in one JSON file, created
 * from deploy/settings.json, which is validated completely when it is loaded.
 */
#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include "platform/platform.h"

struct entry_settings {
	struct sched_options sched;
	struct front_options front;
	struct platform_options platform;
	enum log_level log_level;
	json_t *document; /* owns the strings of the members above */
};
bool entry_settings_load(const char *path, struct entry_settings *s,
			 struct error *e);
void entry_settings_free(struct entry_settings *s);

#endif
