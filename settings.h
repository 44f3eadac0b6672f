/*
 * The table of settings: what a settings file may hold.  settings.c reads by
 * it, record.c writes by it, and docs/SETTINGS.md is checked against it.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

enum setting_type {
	SETTING_NAME,	 /* bstr, a name */
	SETTING_TEXT,	 /* char *, not empty */
	SETTING_URL,	 /* char *, http or https */
	SETTING_FILE,	 /* char *, a readable file */
	SETTING_ADDRESS, /* struct address, "ip:port" */
	SETTING_KEY,	 /* 32 bytes, as 64 hexadecimal digits */
	SETTING_KEYS,	 /* operators' names and keys */
	SETTING_U32,
	SETTING_LEVEL /* enum log_level, by name */
};

struct setting {
	const char *path; /* below "$.", at most two steps */
	enum setting_type type;
	bool required;
	bool secret; /* never written to a recording */
	const char *unit;
	uint64_t default_value; /* of numbers and the level */
	uint64_t min;
	uint64_t max;
	size_t offset;
};
extern const struct setting settings_table[];
extern const size_t settings_count;

/* Everything but secrets, and back from that: for recordings. */
json_t *settings_to_json(const struct settings *s);
bool settings_from_json(const json_t *j, struct settings *s, struct error *e);

/* The name of a log level, NULL if there is none. */
const char *settings_level_name(uint64_t level);

#ifdef __cplusplus
}
#endif
#endif
