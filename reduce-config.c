/*
 * The configuration in force and operators' changes to it.  A configuration is
 * stored as an object of its own.  The head row names the object of the newest
 * revision; a change stores a new object and then replaces the head.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

#define HEAD_KEY "config/head"
#define HISTORY_MAX 32
#define CHANGE_TRIES_MAX 8
#define CHANGE_TIMEOUT_MS 8000

/*
 * Puts a configuration in force if it is newer than the current one, else
 * frees it.
 */
static void config_adopt(struct state *st, struct config *c)
{
	if (st->config && c->revision <= st->config->revision) {
		config_free(c);
		return;
	}
	config_free(st->config);
	st->config = c;
	effect_log(st, LOG_CONFIG_ADOPTED, "revision %llu",
		   (unsigned long long)c->revision);
	effect_count(st, COUNT_CONFIG_REVISION, c->revision);
}

/*
 * Parses the revision and the object's name, which the caller frees, from the
 * head row.  Returns false if one is missing.
 */
static bool head_parse(bstr value, uint64_t *revision, bstr *object)
{
	json_t *head = json_loadb(value.bstr_val ? value.bstr_val : "",
				  value.bstr_len, 0, NULL);
	const json_t *r = json_object_get(head, "revision");

	*revision = (uint64_t)json_integer_value(r);
	*object = bstr_from_json(json_object_get(head, "object"));
	json_decref(head);
	return *revision && object->bstr_len;
}

/* Handles the configuration's head row. */
static void head_read(struct state *st, const struct request *rq,
		      const table_row *r)
{
	uint64_t revision;
	struct error e;
	bstr object;

	if (r->revision < st->head_revision)
		return; /* an old answer: a newer head is known */
	st->head_revision = r->revision;
	bstr_set(&st->head_value, r->value);
	if (!r->revision) {
		st->config_known = true;
		error_init(&e);
		if (!st->config)
			st->config = config_parse(bstr_lit("{}"), 0, &e);
		st->head_confirmed_at = rq->sent_at;
		proof_confirm_head(st, rq->sent_at);
		return;
	}
	if (!head_parse(r->value, &revision, &object)) {
		effect_log(st, LOG_CONFIG_BAD, "the head can't be read");
	} else if (st->config && revision <= st->config->revision) {
		st->config_known = true;
		st->head_confirmed_at = rq->sent_at;
		proof_confirm_head(st, rq->sent_at);
	} else if (!st->config_get_request) {
		st->config_get_request = object_get(st, REQ_CONFIG_GET, object,
						    object);
	}
	bstr_free(&object);
}

/* Handles the head rows of the configuration and of the VMs. */
void heads_read(struct state *st, struct request *rq, const ev_platform *ev)
{
	const table_row *r;

	st->heads_request = 0;
	if (ev->outcome != PLATFORM_OK)
		return;
	r = row_find(ev, bstr_lit(HEAD_KEY));
	if (r)
		head_read(st, rq, r);
	/* Changes wait until the head has been read. */
	if (!TAILQ_EMPTY(&st->changes))
		effect_wake(st, st->now);
	vms_head_read(st, rq, ev);
}

/* Handles the body of a configuration that was read. */
void config_got(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct config *c;
	uint64_t revision;
	struct error e;
	bstr object;
	char *text;

	st->config_get_request = 0;
	if (ev->outcome != PLATFORM_OK ||
	    !head_parse(st->head_value, &revision, &object))
		return;
	error_init(&e);
	/* If the head has changed, the next poll reads the new body. */
	if (bstr_eq(object, rq->name)) {
		c = config_parse(ev->body, revision, &e);
		if (c) {
			config_adopt(st, c);
		} else {
			text = error_text(&e);
			effect_log(st, LOG_CONFIG_BAD, "%.*s: %s",
				   BSTR_ARG(object), text);
			free(text);
		}
	}
	st->heads_poll_at = st->now;
	error_free(&e);
	bstr_free(&object);
}

void change_free(struct state *st, struct change *c)
{
	TAILQ_REMOVE(&st->changes, c, entry);
	xdr_free(XDR_PROC(xdr_op_request), (char *)&c->request);
	json_decref(c->doc);
	bstr_free(&c->object);
	bstr_free(&c->vm);
	free(c);
}

/* Answers a change and frees it. */
static void change_answer(struct state *st, struct change *c, op_status status,
			  const char *reason, const char *detail,
			  uint32_t retry, json_t *body)
{
	if (status == OP_CONFLICT)
		effect_count(st, COUNT_REFUSED_CONFLICT, 1);
	op_answer(st, c->call, status, reason, detail, retry, body);
	change_free(st, c);
}

/* Returns the history with one more entry, without the oldest if it is full. */
static json_t *history_add(const struct state *st, uint64_t revision,
			   bstr object, op_kind kind)
{
	json_t *list = config_history(st), *o = json_object();

	json_object_set_new(o, "revision", json_integer((json_int_t)revision));
	json_object_set_new(o, "object", bstr_to_json(object));
	json_object_set_new(o, "operation", json_integer(kind));
	json_object_set_new(o, "by", bstr_to_json(st->vm));
	json_array_insert_new(list, 0, o);
	if (json_array_size(list) > HISTORY_MAX)
		json_array_remove(list, HISTORY_MAX);
	return list;
}

/* Returns a new array of the latest revisions, newest first. */
json_t *config_history(const struct state *st)
{
	json_t *head = json_loadb(
		st->head_value.bstr_val ? st->head_value.bstr_val : "",
		st->head_value.bstr_len, 0, NULL);
	json_t *list = json_deep_copy(json_object_get(head, "history"));

	json_decref(head);
	return list ? list : json_array();
}

/* Commits a head row that names the stored body of a change. */
static void change_commit(struct state *st, struct change *c)
{
	json_t *head = json_object();
	fx_commit commit = {0};
	bstr text;

	json_object_set_new(head, "revision",
			    json_integer((json_int_t)c->base_revision + 1));
	json_object_set_new(head, "object", bstr_to_json(c->object));
	json_object_set_new(head, "history",
			    history_add(st, c->base_revision + 1, c->object,
					c->request.kind));
	text = config_canonical_text(head);
	commit_check(&commit, bstr_lit(HEAD_KEY), c->head_revision);
	commit_put_bytes(&commit, bstr_lit(HEAD_KEY), text);
	table_commit(st, REQ_CHANGE_COMMIT, c->object, &commit, c->deadline);
	bstr_free(&text);
	json_decref(head);
}

/*
 * Applies a change to the configuration in force and stores the new body, or
 * answers the change if it can't be applied.
 */
static void change_start(struct state *st, struct change *c)
{
	const op_config *oc = &c->request.op_request_u.config;
	const char *reason;
	op_status status;
	bstr detail, text;
	char *s;

	json_decref(c->doc);
	c->doc = NULL;
	c->base_revision = st->config->revision;
	c->head_revision = st->head_revision;
	if (c->request.kind == OP_CONFIG_APPLY &&
	    oc->revision != st->config->revision) {
		s = xasprintf("expected revision %llu, in force is %llu",
			      (unsigned long long)oc->revision,
			      (unsigned long long)st->config->revision);
		change_answer(st, c, OP_CONFLICT, "revision-conflict", s, 0,
			      NULL);
		free(s);
		return;
	}
	c->doc = json_deep_copy(st->config->doc);
	status = config_edit(c->doc, &c->request, &reason, &detail);
	if (status != OP_OK) {
		s = bstr_cstr(detail);
		change_answer(st, c, status, reason, s, 0, NULL);
		free(s);
		bstr_free(&detail);
		return;
	}
	bstr_free(&c->object);
	c->object = bstr_printf("config-%llu-%.*s-%016llx-%llu",
				(unsigned long long)c->base_revision + 1,
				BSTR_ARG(st->vm),
				(unsigned long long)st->incarnation,
				(unsigned long long)++st->next_serial);
	text = config_canonical_text(c->doc);
	object_put(st, REQ_CHANGE_PUT, c->object, c->object, text);
	bstr_free(&text);
	c->in_flight = true;
}

/* Returns the change that is being stored or committed, NULL if none is. */
static struct change *change_in_flight(struct state *st)
{
	struct change *c;

	TAILQ_FOREACH(c, &st->changes, entry)
		if (c->in_flight)
			return c;
	return NULL;
}

/*
 * Returns true if the configuration in force is the one that the head names.
 * It is not between reading a head and reading its body.  A change made then
 * would be based on the old body but replace the new head, and so undo changes
 * that were accepted.
 */
static bool config_is_head(const struct state *st)
{
	uint64_t revision;
	bstr object;

	if (!st->head_revision)
		return st->config_known;
	if (!head_parse(st->head_value, &revision, &object))
		return false;
	bstr_free(&object);
	return st->config && st->config->revision == revision;
}

/* Starts the next change if that is possible now. */
static void change_next(struct state *st)
{
	struct change *c, *next;

	for (c = TAILQ_FIRST(&st->changes); c; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (c->in_flight)
			return;
		if (c->accepted_revision)
			continue;
		/*
		 * The head must have been read since the request arrived.  A
		 * VM whose configuration lags would answer "no such key" to
		 * the withdrawal of a key that was just created through
		 * another VM, and the key would stay in force.
		 */
		if (st->head_confirmed_at < c->created_at) {
			st->heads_poll_at = st->now;
			return;
		}
		/* After a conflict, wait until the other change is in force. */
		if (!config_is_head(st) ||
		    (c->tries && st->config->revision <= c->base_revision))
			return;
		change_start(st, c);
		/*
		 * Only one at a time: answers about the body and the head are
		 * taken to be about the change in flight.  With two in flight,
		 * a head was written that named a body not stored yet.
		 */
		if (change_in_flight(st))
			return;
	}
}

/* Handles an operator's request to change the configuration. */
void change_add(struct state *st, uint64_t call, const op_request *rq)
{
	struct change *c;

	if (!lease_valid(st) || !st->config_known) {
		op_answer(st, call, OP_UNAVAILABLE, "platform-unavailable",
			  "changes need the platform; nothing was changed",
			  RETRY_AFTER_MS * 2, NULL);
		return;
	}
	c = xcalloc(1, sizeof(*c));
	c->call = call;
	c->created_at = st->now;
	c->deadline = st->now + CHANGE_TIMEOUT_MS;
	xdr_copy(XDR_PROC(xdr_op_request), &c->request, rq, sizeof(*rq));
	TAILQ_INSERT_TAIL(&st->changes, c, entry);
	change_next(st);
	effect_wake(st, st->now);
}

/* Handles the outcome of storing the body of a change. */
void change_put(struct state *st, const ev_platform *ev)
{
	struct change *c = change_in_flight(st);

	if (!c)
		return;
	if (ev->outcome == PLATFORM_OK) {
		change_commit(st, c);
		return;
	}
	c->in_flight = false;
	if (++c->tries < CHANGE_TRIES_MAX) {
		c->base_revision = 0; /* try again at the next tick */
		return;
	}
	change_answer(st, c, OP_UNAVAILABLE, "platform-unavailable",
		      "the body could not be stored; nothing was changed",
		      RETRY_AFTER_MS * 2, NULL);
}

/*
 * Reports where an accepted change is in force, by data centre: true once all
 * live VMs there have it.  A VM without it refuses new jobs after
 * everywhere_by_ms at the latest.
 */
static json_t *change_in_force_json(struct state *st, const struct change *c,
				    bool *everywhere)
{
	json_t *body = json_object(), *dcs = json_object();
	struct member *m, *next;
	char *dc;
	bool has;

	*everywhere = true;
	dc = bstr_cstr(st->dc);
	json_object_set_new(dcs, dc, json_true());
	free(dc);
	HASH_ITER(hh, st->members, m, next) {
		if (!member_alive(m))
			continue;
		has = m->config_revision >= c->accepted_revision;
		*everywhere = *everywhere && has;
		dc = bstr_cstr(m->dc);
		if (!has || !json_object_get(dcs, dc))
			json_object_set_new(dcs, dc, json_boolean(has));
		free(dc);
	}
	json_object_set_new(body, "revision",
			    json_integer((json_int_t)c->accepted_revision));
	json_object_set_new(body, "in_force", dcs);
	json_object_set_new(body, "everywhere_by_ms",
			    json_integer(*everywhere ? 0 : st->fresh_ms));
	return body;
}

/*
 * Answers an accepted change.  The withdrawal of a key is answered once all
 * live VMs have it, or when those without it must have lost their freshness
 * and refuse new jobs.  Other changes are answered at once.
 */
static void change_report_accepted(struct state *st, struct change *c)
{
	bool everywhere;
	json_t *body = change_in_force_json(st, c, &everywhere);

	if (c->request.kind == OP_KEY_WITHDRAW && !everywhere &&
	    st->now < c->deadline) {
		json_decref(body);
		return;
	}
	change_answer(st, c, OP_OK, "accepted", "", 0, body);
}

/* Handles the outcome of committing the head of a change. */
void change_committed(struct state *st, struct request *rq,
		      const ev_platform *ev)
{
	struct change *c = change_in_flight(st);
	struct error e;

	if (!c)
		return;
	c->in_flight = false;
	switch (ev->outcome) {
	case PLATFORM_OK:
		c->accepted_revision = c->base_revision + 1;
		c->deadline = st->now + st->fresh_ms;
		st->head_revision = row_revision(ev, bstr_lit(HEAD_KEY));
		bstr_set(&st->head_value,
			 rq->commit.writes.writes_val[0].value);
		error_init(&e);
		config_adopt(st, config_new(c->doc, c->accepted_revision, &e));
		st->heads_poll_at = st->now;
		effect_log(st, LOG_OPERATOR_DID,
			   "operation %d made revision %llu",
			   (int)c->request.kind,
			   (unsigned long long)c->accepted_revision);
		member_ping_all(st);
		change_report_accepted(st, c);
		break;
	case PLATFORM_CONFLICT:
		st->heads_poll_at = st->now;
		if (++c->tries < CHANGE_TRIES_MAX)
			break;
		change_answer(st, c, OP_CONFLICT, "too-many-races",
			      "other operators were faster each time",
			      RETRY_AFTER_MS, NULL);
		break;
	case PLATFORM_REFUSED:
		change_answer(st, c, OP_UNAVAILABLE, "platform-unavailable",
			      "nothing was changed", RETRY_AFTER_MS * 2, NULL);
		break;
	default:
		change_answer(st, c, OP_UNKNOWN, "outcome-unknown",
			      "the change may have been made: look at the "
			      "history before you repeat it",
			      RETRY_AFTER_MS * 2, NULL);
		break;
	}
	change_next(st);
}

/* Answers changes that are in force or whose deadline has passed. */
static void changes_tick(struct state *st)
{
	struct change *c, *next;

	for (c = TAILQ_FIRST(&st->changes); c; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (c->accepted_revision)
			change_report_accepted(st, c);
		else if (!c->in_flight && st->now >= c->deadline)
			change_answer(st, c, OP_UNAVAILABLE,
				      "platform-unavailable",
				      "nothing was changed", RETRY_AFTER_MS * 2,
				      NULL);
	}
	change_next(st);
}

/*
 * Polls the head rows, in case a peer's announcement of a change was missed,
 * and updates the readiness.
 */
void config_tick(struct state *st)
{
	bstr keys[] = {bstr_lit(HEAD_KEY), bstr_lit(VMS_HEAD_KEY)};
	bool ready;
	effect *fx;

	if (!st->heads_request && st->now >= st->heads_poll_at) {
		st->heads_request = table_read(st, REQ_HEADS_READ, st->vm, keys,
					       2);
		st->heads_poll_at = st->now + st->config_poll_ms;
	}
	changes_tick(st);
	ready = st->config_known && st->vms_known && !st->stopping;
	if (ready != st->ready) {
		st->ready = ready;
		fx = effect_add(st, FX_READY);
		fx->effect_u.ready = ready;
	}
}
