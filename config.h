/*
 * The operators' configuration: pools, teams and their keys.  It is one JSON
 * document, which is validated as a whole before it is used.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "bamboofront.h"

#include <uthash.h>

#define NAME_MAX_LEN 64

/* A key with which callers authenticate as a team. */
struct team_key {
	bstr id;
	bstr salt;
	bstr hash; /* of the secret's digest and the salt */
	bool withdrawn;
	struct team *team;
	UT_hash_handle hh;
};

struct team {
	bstr name;
	uint32_t share; /* weight in fair sharing */
	uint32_t limit; /* upper limit of tasks that run at a time */
	/*
	 * How much longer than timing.fresh_ms an entry VM that cannot prove
	 * its list of withdrawn keys up to date goes on taking the team's
	 * submissions; with 0 it refuses them as soon as the proof is too old.
	 */
	uint32_t grace_ms;
	UT_hash_handle hh;
};

struct pool {
	bstr name;
	bstr *dcs;
	size_t dc_count;
	uint32_t budget; /* VMs that may be out of service at once */
	bool spare;	 /* this is the spare pool */
	UT_hash_handle hh;
};

struct config {
	uint64_t revision;
	json_t *doc; /* the document that the rest was read from */
	struct pool *pools;
	struct team *teams;
	struct team_key *keys;
};

/*
 * Both validate the document and return NULL, with the findings in e, if it
 * is invalid.  config_new takes a reference of its own to doc.
 */
struct config *config_new(json_t *doc, uint64_t revision, struct error *e);
struct config *config_parse(bstr text, uint64_t revision, struct error *e);
void config_free(struct config *c);
bstr config_canonical_text(const json_t *doc);
struct pool *config_find_pool(const struct config *c, bstr name);
struct team *config_find_team(const struct config *c, bstr name);
struct team_key *config_find_key(const struct config *c, bstr id);
/* Returns the differences as an array of {"path", "from", "to"}. */
json_t *config_diff(const json_t *from, const json_t *to);

/*
 * config-edit.c: applies an operator's change to doc and validates the
 * result.  If the status is not OP_OK, reason and detail tell why, and doc
 * may be changed in part and must be discarded.
 */
op_status config_edit(json_t *doc, const op_request *rq, const char **reason,
		      bstr *detail);
bool config_is_edit(op_kind kind);

#endif
