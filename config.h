/*
 * The configuration: pools, teams and keys as one JSON document, checked
 * whole before it is used.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "bamboofront.h"

#include <uthash.h>

#define NAME_MAX_LEN 64

struct team_key {
	bstr id;
	bstr salt;
	bstr hash;
	bool withdrawn;
	struct team *team;
	UT_hash_handle hh;
};

struct team {
	bstr name;
	uint32_t share;
	uint32_t limit;
	uint32_t grace_ms;
	UT_hash_handle hh;
};

struct pool {
	bstr name;
	bstr *dcs;
	size_t dc_count;
	uint32_t budget; /* VMs that may be out at once */
	bool spare;
	UT_hash_handle hh;
};

struct config {
	uint64_t revision;
	json_t *doc;
	struct pool *pools;
	struct team *teams;
	struct team_key *keys;
};

/* Takes a reference to doc.  NULL with findings if it is not valid. */
struct config *config_new(json_t *doc, uint64_t revision, struct error *e);
struct config *config_parse(bstr text, uint64_t revision, struct error *e);
void config_free(struct config *c);
bstr config_canonical_text(const json_t *doc); /* canonical: sorted, compact */
struct pool *config_find_pool(const struct config *c, bstr name);
struct team *config_find_team(const struct config *c, bstr name);
struct team_key *config_find_key(const struct config *c, bstr id);
/* Paths that differ, as an array of {"path", "from", "to"}. */
json_t *config_diff(const json_t *from, const json_t *to);

/*
 * config-edit.c: apply an operator's change to doc.  OP_OK, or what is
 * wrong with a reason and a detail; doc is not to be used then.
 */
op_status config_edit(json_t *doc, const op_request *rq, const char **reason,
		      bstr *detail);
bool config_is_edit(op_kind kind); /* is it a change of the configuration? */

#endif
