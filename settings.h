/*
 * The table of all settings that a settings file may contain.  It drives
 * reading the file (settings.c) and writing the settings to a recording
 * (record.c), and a test checks docs/SETTINGS.md against it.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

enum setting_type {
	SETTING_NAME,	 /* bstr, see bstr_is_name */
	SETTING_TEXT,	 /* char *, not empty */
	SETTING_URL,	 /* char *, http or https */
	SETTING_FILE,	 /* char *, path of a readable file */
	SETTING_ADDRESS, /* struct address, "ip:port" */
	SETTING_KEY,	 /* uint8_t[32], 64 hexadecimal digits */
	SETTING_KEYS,	 /* struct operator_key *, by operator's name */
	SETTING_U32,
	SETTING_LEVEL /* enum log_level, by name */
};

struct setting {
	const char *path; /* "member" or "section.member" */
	enum setting_type type;
	bool required;
	bool secret; /* never written to a recording */
	const char *unit;
	/* These three apply to SETTING_U32 and SETTING_LEVEL only. */
	uint64_t default_value;
	uint64_t min;
	uint64_t max;
	size_t offset; /* of the member in struct settings */
};
extern const struct setting settings_table[];
extern const size_t settings_count;

/* Convert settings to and from JSON for recordings, without the secrets. */
json_t *settings_to_json(const struct settings *s);
bool settings_from_json(const json_t *j, struct settings *s, struct error *e);

const char *settings_level_name(uint64_t level);

#ifdef __cplusplus
}
#endif
#endif
