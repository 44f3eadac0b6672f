/*
 * Open-loop load generator for the callers' interface.  The schedule of
 * arrivals doesn't depend on the answers, and latency is measured from the
 * scheduled time of a request, so that a stall counts for every request that it
 * delays.  In the same run, each round is repeated against the workers
 * themselves as a baseline; the difference is the latency that the system adds.
 */
#include "../bamboofront.h"

#include <curl/curl.h>
#include <math.h>
#include <popt.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* 64 histogram buckets per power of two: a relative error below 1.6%. */
#define SUB_BUCKET_BITS 6
#define BUCKETS (40 << SUB_BUCKET_BITS)
#define OUTCOMES_MAX 64
#define POLL_WAIT_MS 5000
#define DRAIN_US 70000000
/*
 * Rates of a queue relative to its mean, with --turn-s: in its own turn, and in
 * the turns of others.  In a cycle of CYCLE_TURNS turns the mean is 1.
 */
#define BURST_RATE 5.0
#define BASE_RATE 0.05
#define CYCLE_TURNS ((BURST_RATE - BASE_RATE) / (1 - BASE_RATE))

/* A log-linear histogram of durations in us. */
struct histogram {
	uint64_t count[BUCKETS];
	uint64_t total;
	int64_t max;
};
struct outcome {
	char *name; /* state or error, with the reason if there is one */
	uint64_t count;
};
/* The results of a source's requests to one target. */
struct tally {
	struct histogram latency;
	struct histogram lag; /* of sending, behind the schedule */
	struct outcome outcomes[OUTCOMES_MAX];
	size_t outcome_count;
	uint64_t sent, done;
	uint64_t wrong; /* done, but the result isn't the job's */
};
/* Where requests go: the callers' interface, or the workers themselves. */
enum target { TARGET_SYSTEM, TARGET_DIRECT, TARGET_MAX };
static const char *const target_names[] = {"system", "direct"};
/* A stream of requests of one team for one pool. */
struct source {
	char *name, *pool, *bearer;
	unsigned queue; /* number of the pool, shared by its sources */
	double rate;	/* mean, in requests per second */
	int64_t sleep_ms;
	bool repeat; /* jobs may be repeated */
	bool poll;   /* poll for the result instead of waiting for it */
	bool urgent;
	double next_us; /* next arrival, since the start of the round */
	struct tally tally[TARGET_MAX];
};
/* A request, including the polls for its result. */
struct call {
	CURL *easy;
	struct curl_slist *headers;
	struct source *source;
	enum target target;
	int64_t scheduled; /* us */
	uint64_t seq;
	const char *base;
	char *body;
	char *answer;
	size_t answer_len;
	char error[CURL_ERROR_SIZE];
};
/* URLs that are used in turn. */
struct url_list {
	char **urls;
	size_t count, next;
};

static CURLM *multi;
static struct url_list bases[TARGET_MAX];
static struct source *sources;
static size_t source_count;
static unsigned queue_count, in_flight, most_in_flight;
static uint64_t last_seq, sent;
static uint64_t seed = 1, random_state;
static double seconds = 10, turn_s;
static int rounds = 3, max_requests = 200000, max_open = 4000;
static char *json_file;
static int fixed_gaps;

/* Returns the monotonic clock in us. */
static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Returns a random number above 0 and up to 1 (splitmix64). */
static double random_unit(void)
{
	uint64_t z = random_next(&random_state);

	return ((double)(z >> 11) + 1) / 9007199254740993.0;
}

/* Returns the bucket of a value: linear steps within each power of two. */
static size_t bucket_index(uint64_t v)
{
	unsigned shift = 0;

	while (v >> shift >= 2U << SUB_BUCKET_BITS)
		shift++;
	v = ((uint64_t)shift << SUB_BUCKET_BITS) + (v >> shift);
	return v < BUCKETS ? v : BUCKETS - 1;
}

/* Returns the highest value that belongs to a bucket. */
static int64_t bucket_max(size_t b)
{
	size_t shift = b >> SUB_BUCKET_BITS;

	if (shift < 2)
		return (int64_t)b;
	shift--;
	return (int64_t)(((b - (shift << SUB_BUCKET_BITS) + 1) << shift) - 1);
}

/* Counts a value; a negative one counts as 0. */
static void histogram_add(struct histogram *h, int64_t v)
{
	if (v < 0)
		v = 0;
	h->count[bucket_index((uint64_t)v)]++;
	h->total++;
	if (v > h->max)
		h->max = v;
}

/* Returns the value at a quantile, given as a fraction of 1. */
static int64_t histogram_quantile(const struct histogram *h, double q)
{
	uint64_t want = (uint64_t)ceil(q * (double)h->total), seen = 0;
	size_t b;

	for (b = 0; b < BUCKETS; b++) {
		seen += h->count[b];
		if (want && seen >= want)
			return bucket_max(b) < h->max ? bucket_max(b) : h->max;
	}
	return h->max;
}

/* Adds one histogram to another. */
static void histogram_merge(struct histogram *to, const struct histogram *from)
{
	size_t b;

	for (b = 0; b < BUCKETS; b++)
		to->count[b] += from->count[b];
	to->total += from->total;
	if (from->max > to->max)
		to->max = from->max;
}

/* Adds to the count of an outcome; names beyond the table are dropped. */
static void outcome_add(struct tally *t, const char *name, uint64_t n)
{
	size_t i;

	for (i = 0; i < t->outcome_count; i++)
		if (!strcmp(t->outcomes[i].name, name))
			break;
	if (i == t->outcome_count && i < OUTCOMES_MAX)
		t->outcomes[t->outcome_count++].name = xstrdup(name);
	if (i < OUTCOMES_MAX)
		t->outcomes[i].count += n;
}

/* Adds one tally to another. */
static void tally_merge(struct tally *to, const struct tally *from)
{
	size_t i;

	histogram_merge(&to->latency, &from->latency);
	histogram_merge(&to->lag, &from->lag);
	for (i = 0; i < from->outcome_count; i++)
		outcome_add(to, from->outcomes[i].name,
			    from->outcomes[i].count);
	to->sent += from->sent;
	to->done += from->done;
	to->wrong += from->wrong;
}

/* Appends received data to the answer; called by libcurl. */
static size_t call_receive(char *p, size_t size, size_t n, void *arg)
{
	struct call *c = arg;

	n *= size;
	c->answer = xrealloc(c->answer, c->answer_len + n + 1, 1);
	memcpy(c->answer + c->answer_len, p, n);
	c->answer_len += n;
	c->answer[c->answer_len] = '\0';
	return n;
}

/* Frees a call, which is then no longer in flight. */
static void call_free(struct call *c)
{
	curl_multi_remove_handle(multi, c->easy);
	curl_easy_cleanup(c->easy);
	curl_slist_free_all(c->headers);
	free(c->body);
	free(c->answer);
	free(c);
	in_flight--;
}

/* Sets the options that all requests of a call have in common. */
static void call_set_options(struct call *c, const char *url)
{
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, call_receive);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_ERRORBUFFER, c->error);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, 70000L);
	curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
}

/* Adds a header field to the requests of a call. */
static void call_add_header(struct call *c, const char *name, const char *value)
{
	char *line = xasprintf("%s: %s", name, value);

	c->headers = curl_slist_append(c->headers, line);
	free(line);
}

/* Prepares the request that submits a job. */
static void call_prepare_job(struct call *c)
{
	const struct source *s = c->source;
	char *url = xasprintf("%s/v1/jobs", c->base);

	c->body = xasprintf(
		"{\"pool\":\"%s\",\"label\":\"%s\",\"payload\":{"
		"\"sleep_ms\":%jd,\"result\":\"r%ju\",\"team\":"
		"\"%s\"},\"run_ms\":%jd,\"may_be_repeated\":%s,"
		"\"wait\":%s,\"urgent\":%s}",
		s->pool, s->name, (intmax_t)s->sleep_ms, (uintmax_t)c->seq,
		s->name, (intmax_t)s->sleep_ms, s->repeat ? "true" : "false",
		s->poll ? "false" : "true", s->urgent ? "true" : "false");
	call_add_header(c, "Authorization", s->bearer);
	call_add_header(c, "Expect", "");
	call_set_options(c, url);
	curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, c->body);
	free(url);
}

/* Sends the next request of a source to a target. */
static void call_start(struct source *s, enum target target, int64_t scheduled)
{
	struct url_list *l = &bases[target];
	struct call *c = xcalloc(1, sizeof(*c));
	char *url;

	c->easy = curl_easy_init();
	c->source = s;
	c->target = target;
	c->scheduled = scheduled;
	c->seq = ++last_seq;
	c->base = l->urls[l->next++ % l->count];
	if (target == TARGET_SYSTEM) {
		call_prepare_job(c);
	} else {
		url = xasprintf("%s/v1/run?sleep_ms=%jd", c->base,
				(intmax_t)s->sleep_ms);
		call_set_options(c, url);
		free(url);
	}
	histogram_add(&s->tally[target].lag, now_us() - scheduled);
	s->tally[target].sent++;
	sent++;
	if (++in_flight > most_in_flight)
		most_in_flight = in_flight;
	curl_multi_add_handle(multi, c->easy);
}

/* Polls the state of a job that is not final yet. */
static void call_poll(struct call *c, const char *job)
{
	char *url = xasprintf("%s/v1/jobs/%s?wait_ms=%d", c->base, job,
			      POLL_WAIT_MS);

	curl_multi_remove_handle(multi, c->easy);
	curl_easy_setopt(c->easy, CURLOPT_HTTPGET, 1L);
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	c->answer_len = 0;
	curl_multi_add_handle(multi, c->easy);
	free(url);
}

/* Returns true if the result in an answer is that of the call's own job. */
static bool result_is_own(const struct call *c, const json_t *j)
{
	const char *result = json_string_value(json_object_get(j, "result"));
	char *want = xasprintf("r%ju", (uintmax_t)c->seq);
	bool own = result && !strcmp(result, want);

	free(want);
	return own;
}

/* Records the outcome of a call that was answered. */
static void call_record(struct call *c, const json_t *j, long status)
{
	struct tally *t = &c->source->tally[c->target];
	const char *state = json_string_value(json_object_get(j, "state"));
	const char *reason = json_string_value(json_object_get(j, "reason"));
	bool done = c->target == TARGET_DIRECT
			    ? status == 200
			    : state && !strcmp(state, "done");
	char *name;

	if (done)
		name = xstrdup("done");
	else
		name = xasprintf("%s%s%s (%ld)",
				 state		 ? state
				 : status >= 400 ? "refused"
						 : "answer",
				 reason && *reason ? " " : "",
				 reason ? reason : "", status);
	outcome_add(t, name, 1);
	free(name);
	if (!done)
		return;
	t->done++;
	if (c->target == TARGET_SYSTEM && !result_is_own(c, j))
		t->wrong++;
	histogram_add(&t->latency, now_us() - c->scheduled);
}

/*
 * Handles the end of a request: polls on if the job is not final, and otherwise
 * records the outcome and frees the call.
 */
static void call_complete(struct call *c, CURLcode code)
{
	json_t *j = c->answer_len ? json_loadb(c->answer, c->answer_len,
					       JSON_DECODE_ANY, NULL)
				  : NULL;
	const char *state = json_string_value(json_object_get(j, "state"));
	const char *job = json_string_value(json_object_get(j, "job"));
	char *name;
	long status = 0;

	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	if (!code && c->source->poll && job && state && status < 400 &&
	    (!strcmp(state, "queued") || !strcmp(state, "running"))) {
		call_poll(c, job);
		json_decref(j);
		return;
	}
	if (code) {
		name = xasprintf("no answer: %s", curl_easy_strerror(code));
		outcome_add(&c->source->tally[c->target], name, 1);
		free(name);
	} else {
		call_record(c, j, status);
	}
	json_decref(j);
	call_free(c);
}

/* Processes network events; waits for at most wait_us if there are none. */
static void calls_process(int64_t wait_us)
{
	int running, left;
	CURLMsg *msg;
	char *c;

	curl_multi_poll(multi, NULL, 0, (int)(wait_us / 1000), NULL);
	curl_multi_perform(multi, &running);
	while ((msg = curl_multi_info_read(multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &c);
		call_complete((struct call *)(void *)c, msg->data.result);
	}
}

/*
 * Returns the rate of a source per second, us after the start of the round.
 * With turns, it depends on whether its queue has its burst.
 */
static double source_rate(const struct source *s, double us)
{
	double turns = queue_count > CYCLE_TURNS ? queue_count : CYCLE_TURNS,
	       at;

	if (turn_s <= 0)
		return s->rate;
	at = fmod(us / 1e6 / turn_s, turns);
	return s->rate * ((unsigned)at == s->queue ? BURST_RATE : BASE_RATE);
}

/*
 * Advances a source to its next arrival.  The arrivals are an inhomogeneous
 * Poisson process: an exponential random number (1 with --fixed-gaps) is used
 * up at the current rate, in steps that end where a turn begins, since the rate
 * changes only there.
 */
static void source_advance(struct source *s)
{
	double work = fixed_gaps ? 1 : -log(random_unit()), part, rate;

	for (;;) {
		rate = source_rate(s, s->next_us) / 1e6;
		part = turn_s > 0
			       ? turn_s * 1e6 - fmod(s->next_us, turn_s * 1e6)
			       : 1e12;
		if (part < 1)
			part = 1;
		if (rate * part >= work)
			break;
		work -= rate * part;
		s->next_us += part;
	}
	s->next_us += work / rate;
}

/* Returns the source with the earliest next arrival. */
static struct source *source_next(void)
{
	struct source *best = &sources[0];
	size_t i;

	for (i = 1; i < source_count; i++)
		if (sources[i].next_us < best->next_us)
			best = &sources[i];
	return best;
}

/*
 * Sends the load of one round to a target and waits for the answers.  The
 * arrivals depend on the seed and the round alone, so they are the same for
 * both targets.
 */
static void round_run(enum target target, uint64_t round)
{
	int64_t start = now_us() + 10000, wait;
	struct source *s;
	size_t i;

	random_state = seed * 1000003 + round;
	for (i = 0; i < source_count; i++) {
		sources[i].next_us = 0;
		source_advance(&sources[i]);
	}
	while ((s = source_next())->next_us < seconds * 1e6 &&
	       sent < (uint64_t)max_requests) {
		wait = start + (int64_t)s->next_us - now_us();
		if (wait > 0) {
			calls_process(wait);
			continue;
		}
		if (in_flight < (unsigned)max_open)
			call_start(s, target, start + (int64_t)s->next_us);
		else
			outcome_add(&s->tally[target],
				    "not sent: too many open", 1);
		source_advance(s);
	}
	while (in_flight && now_us() < start + seconds * 1e6 + DRAIN_US)
		calls_process(20000);
}

/* Returns the quantiles of a histogram in ms. */
static json_t *histogram_json(const struct histogram *h)
{
	static const struct {
		const char *name;
		double q;
	} quantiles[] = {
		{"p50", .5}, {"p90", .9}, {"p99", .99}, {"p99.9", .999}};
	json_t *j = json_object();
	size_t i;

	for (i = 0; i < NELEMS(quantiles); i++)
		json_object_set_new(j, quantiles[i].name,
				    json_real((double)histogram_quantile(
						      h, quantiles[i].q) /
					      1000));
	json_object_set_new(j, "max", json_real((double)h->max / 1000));
	return j;
}

/* Returns a tally as JSON. */
static json_t *tally_json(const struct tally *t, double period_s)
{
	json_t *o = json_object();
	size_t i;

	for (i = 0; i < t->outcome_count; i++)
		json_object_set_new(
			o, t->outcomes[i].name,
			json_integer((json_int_t)t->outcomes[i].count));
	return json_pack("{s:I,s:I,s:I,s:f,s:o,s:o,s:o}", "sent",
			 (json_int_t)t->sent, "done", (json_int_t)t->done,
			 "wrong", (json_int_t)t->wrong, "done_per_s",
			 (double)t->done / period_s, "latency_ms",
			 histogram_json(&t->latency), "send_lag_ms",
			 histogram_json(&t->lag), "outcomes", o);
}

/* Prints a row of the table, with a line for each outcome but success. */
static void tally_print(const char *name, const char *target,
			const struct tally *t, double period_s)
{
	const struct histogram *h = &t->latency;
	size_t i;

	printf("%-12s %-7s %7ju %7ju %8.1f %8.2f %8.2f %8.2f %8.2f %9.2f\n",
	       name, target, (uintmax_t)t->sent, (uintmax_t)t->done,
	       (double)t->done / period_s,
	       (double)histogram_quantile(h, .5) / 1000,
	       (double)histogram_quantile(h, .9) / 1000,
	       (double)histogram_quantile(h, .99) / 1000,
	       (double)histogram_quantile(h, .999) / 1000,
	       (double)h->max / 1000);
	for (i = 0; i < t->outcome_count; i++)
		if (strcmp(t->outcomes[i].name, "done") != 0)
			printf("             %ju: %s\n",
			       (uintmax_t)t->outcomes[i].count,
			       t->outcomes[i].name);
	if (t->wrong)
		printf("             %ju WRONG ANSWERS\n", (uintmax_t)t->wrong);
}

/* Returns the latency that the system adds at a quantile, in ms. */
static double added_ms(const struct tally *sys, const struct tally *dir,
		       double q)
{
	return (double)(histogram_quantile(&sys->latency, q) -
			histogram_quantile(&dir->latency, q)) /
	       1000;
}

/* Prints the table of all sources and returns it as JSON. */
static json_t *sources_report(double period_s)
{
	json_t *out = json_object(), *j;
	struct tally *sum;
	size_t i;
	int w;

	printf("%-12s %-7s %7s %7s %8s %8s %8s %8s %8s %9s\n", "source",
	       "target", "sent", "done", "done/s", "p50 ms", "p90", "p99",
	       "p99.9", "max");
	for (i = 0; i < source_count; i++) {
		j = json_object();
		sum = sources[i].tally;
		for (w = 0; w < TARGET_MAX; w++) {
			if (!bases[w].count)
				continue;
			json_object_set_new(j, target_names[w],
					    tally_json(&sum[w], period_s));
			tally_print(sources[i].name, target_names[w], &sum[w],
				    period_s);
		}
		if (bases[TARGET_DIRECT].count && bases[TARGET_SYSTEM].count)
			json_object_set_new(
				j, "added_ms",
				json_pack("{s:f,s:f,s:f}", "p50",
					  added_ms(&sum[0], &sum[1], .5), "p99",
					  added_ms(&sum[0], &sum[1], .99),
					  "p99.9",
					  added_ms(&sum[0], &sum[1], .999)));
		json_object_set_new(out, sources[i].name, j);
	}
	return out;
}

/* Merges the tallies of sources that share a name into the first of them. */
static void sources_merge(void)
{
	size_t i, k, n = 0;
	int w;

	for (i = 0; i < source_count; i++) {
		for (k = 0; k < n; k++)
			if (!strcmp(sources[k].name, sources[i].name))
				break;
		if (k == n) {
			sources[n++] = sources[i];
			continue;
		}
		for (w = 0; w < TARGET_MAX; w++)
			tally_merge(&sources[k].tally[w], &sources[i].tally[w]);
	}
	source_count = n;
}

/*
 * Adds a URL to a list.  Returns false if it is not on the loopback interface,
 * so that no other machine is loaded by mistake.
 */
static bool url_list_add(struct url_list *l, const char *url)
{
	if (strncmp(url, "http://127.0.0.1:", 17) != 0)
		return false;
	l->urls = xrealloc(l->urls, l->count + 1, sizeof(*l->urls));
	l->urls[l->count++] = xstrdup(url);
	return true;
}

/* Returns the Authorization header of a key file, or NULL on failure. */
static char *bearer_read(const char *path)
{
	char line[256];
	FILE *f = fopen(path, "r");
	bool ok = f && fgets(line, sizeof(line), f);

	if (f)
		fclose(f);
	if (!ok)
		return NULL;
	line[strcspn(line, "\r\n")] = '\0';
	return xasprintf("Bearer %s", line);
}

/*
 * Adds a source given as NAME,POOL,KEYFILE,RATE,SLEEP_MS[,repeat][,poll]
 * [,urgent]; returns false if it is invalid.
 */
static bool source_add(const char *text)
{
	char *copy = xstrdup(text), *field[8] = {NULL}, *p = copy;
	struct source *s;
	size_t n = 0, i;

	while (p && n < NELEMS(field))
		field[n++] = strsep(&p, ",");
	if (n < 5) {
		free(copy);
		return false;
	}
	sources = xrealloc(sources, source_count + 1, sizeof(*sources));
	s = &sources[source_count];
	memset(s, 0, sizeof(*s));
	s->name = field[0];
	s->pool = field[1];
	s->bearer = bearer_read(field[2]);
	s->rate = strtod(field[3], NULL);
	s->sleep_ms = strtol(field[4], NULL, 10);
	for (i = 5; i < n; i++) {
		s->repeat = s->repeat || !strcmp(field[i], "repeat");
		s->poll = s->poll || !strcmp(field[i], "poll");
		s->urgent = s->urgent || !strcmp(field[i], "urgent");
	}
	s->queue = queue_count;
	for (i = 0; i < source_count; i++)
		if (!strcmp(sources[i].pool, s->pool))
			s->queue = sources[i].queue;
	if (s->queue == queue_count)
		queue_count++;
	source_count++;
	return s->bearer && s->rate > 0;
}

/* Parses the options; returns false if they are invalid. */
static bool options_parse(int argc, const char **argv)
{
	char *arg = NULL;
	struct poptOption options[] = {
		{"url", 'u', POPT_ARG_STRING, &arg, 'u',
		 "callers' interface; several are used in turn", "URL"},
		{"direct", 'd', POPT_ARG_STRING, &arg, 'd',
		 "worker for the baseline; several are used in turn", "URL"},
		{"source", 's', POPT_ARG_STRING, &arg, 's',
		 "stream of jobs of a team in a pool",
		 "NAME,POOL,KEYFILE,RATE,SLEEP_MS[,repeat][,poll][,urgent]"},
		{"seconds", 0, POPT_ARG_DOUBLE, &seconds, 0,
		 "length of a round, default 10", "S"},
		{"rounds", 0, POPT_ARG_INT, &rounds, 0,
		 "number of rounds, default 3", "N"},
		{"turn-s", 0, POPT_ARG_DOUBLE, &turn_s, 0,
		 "length of the turn in which a pool gets five times its mean "
		 "rate, and a twentieth in the turns of others",
		 "S"},
		{"fixed-gaps", 0, POPT_ARG_NONE, &fixed_gaps, 0,
		 "constant intervals instead of Poisson arrivals", NULL},
		{"seed", 0, POPT_ARG_LONGLONG, &seed, 0,
		 "random seed, default 1", "N"},
		{"max-requests", 0, POPT_ARG_INT, &max_requests, 0,
		 "limit of requests, default 200000", "N"},
		{"max-open", 0, POPT_ARG_INT, &max_open, 0,
		 "limit of concurrent requests, default 4000", "N"},
		{"json", 0, POPT_ARG_STRING, &json_file, 0,
		 "also write the results as JSON", "FILE"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext pc = poptGetContext(NULL, argc, argv, options, 0);
	bool ok = true;
	int opt;

	while (ok && (opt = poptGetNextOpt(pc)) > 0) {
		ok = opt == 's' ? source_add(arg)
				: url_list_add(&bases[opt == 'd'], arg);
		if (!ok)
			fprintf(stderr, "invalid argument: %s\n", arg);
		free(arg);
	}
	ok = ok && opt == -1 && !poptPeekArg(pc) && source_count &&
	     bases[TARGET_SYSTEM].count + bases[TARGET_DIRECT].count &&
	     rounds > 0 && seconds > 0 && seconds <= 600;
	poptFreeContext(pc);
	return ok;
}

int main(int argc, const char **argv)
{
	json_t *result;
	int r, w;

	if (!options_parse(argc, argv)) {
		fprintf(stderr, "see bench-load --help\n");
		return 2;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	multi = curl_multi_init();
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 4096L);
	for (r = 0; r < rounds; r++)
		for (w = 0; w < TARGET_MAX; w++)
			if (bases[w].count)
				round_run((enum target)w, (uint64_t)r);
	sources_merge();
	result = json_pack("{s:f,s:i,s:I,s:I,s:o}", "seconds", seconds,
			   "rounds", rounds, "seed", (json_int_t)seed,
			   "most_in_flight", (json_int_t)most_in_flight,
			   "sources", sources_report(seconds * rounds));
	if (json_file &&
	    json_dump_file(result, json_file,
			   JSON_INDENT(1) | JSON_REAL_PRECISION(6)))
		fprintf(stderr, "%s: could not be written\n", json_file);
	json_decref(result);
	curl_multi_cleanup(multi);
	return 0;
}
