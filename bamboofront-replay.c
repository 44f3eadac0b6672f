/*
 * bamboofront-replay: replays the events of a recording with a new reducer and
 * prints the first effect that differs from the recorded one.
 */
#include "record.h"

#include <inttypes.h>
#include <popt.h>
#include <sodium.h>
#include <stdlib.h>

/* Prints the effect at index i, or that the list has no such effect. */
static void effect_print(const char *what, const effect *list, size_t count,
			 size_t i)
{
	printf("%s: ", what);
	if (i < count) {
		printf("%s", effect_name(list[i].kind));
		xdr_print(stdout, XDR_PROC(xdr_effect), &list[i]);
		printf("\n");
	} else
		printf("no effect %zu\n", i + 1);
}

/*
 * Replays a step. Prints the difference and returns false if the effects differ
 * from the recorded ones.
 */
static bool step_replay(struct state *st, const step *s, uint64_t number)
{
	u_int count = s->effects.effects_len;
	struct effects fx;
	ssize_t i;

	effects_init(&fx);
	reduce(st, &s->event, &fx);
	i = effects_mismatch(s->effects.effects_val, count, fx.list, fx.count);
	if (i >= 0) {
		printf("step %" PRIu64 ": %s at %" PRId64 ": effect %zd of "
		       "%u differs\nevent:",
		       number, event_name(s->event.body.kind), s->event.now,
		       i + 1, count);
		xdr_print(stdout, XDR_PROC(xdr_event), &s->event);
		printf("\n");
		effect_print("expected", s->effects.effects_val, count,
			     (size_t)i);
		effect_print("got", fx.list, fx.count, (size_t)i);
	}
	effects_free(&fx);
	return i < 0;
}

/* Replays a recording and returns the exit status. */
static int recording_replay(struct recording *r)
{
	struct state *st = state_new(recording_settings(r), recording_seed(r),
				     recording_peer_address(r));
	enum record_result result;
	uint64_t number = 0;
	bool same = true;
	step s;

	while (same && (result = recording_next(r, &s)) == RECORD_STEP) {
		same = step_replay(st, &s, ++number);
		xdr_free(XDR_PROC(xdr_step), (char *)&s);
	}
	state_free(st);
	if (!same)
		return 1;
	if (result == RECORD_BAD) {
		printf("cannot read step %" PRIu64 "\n", number + 1);
		return 2;
	}
	if (result == RECORD_TRUNCATED)
		printf("the last record is incomplete and was ignored\n");
	if (result == RECORD_STOPPED)
		printf("the daemon stopped recording after this\n");
	printf("%" PRIu64 " steps, no difference\n", number);
	return 0;
}

int main(int argc, char **argv)
{
	const struct poptOption table[] = {POPT_AUTOHELP POPT_TABLEEND};
	poptContext c = poptGetContext("bamboofront-replay", argc,
				       (const char **)argv, table, 0);
	struct recording *r;
	const char *path;
	struct error e;
	int rc;

	poptSetOtherOptionHelp(c, "FILE");
	rc = poptGetNextOpt(c);
	path = poptGetArg(c);
	if (rc != -1 || !path || poptPeekArg(c) || sodium_init() < 0) {
		poptPrintUsage(c, stderr, 0);
		poptFreeContext(c);
		return 2;
	}
	error_init(&e);
	r = recording_open(path, &e);
	if (r) {
		rc = recording_replay(r);
		recording_close(r);
	} else {
		error_print(&e, stderr);
		rc = 2;
	}
	error_free(&e);
	poptFreeContext(c);
	return rc;
}
