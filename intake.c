#include "intake.h"

#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>

#define CAPACITY_MIN 1024 /* bytes */
/*
 * Data of at least this many bytes is mapped. The allocator keeps freed memory
 * for seconds, so that a crowd would take its bytes twice.
 */
#define MAPPED_MIN 65536
/* This part of the budget is left to small requests. */
#define SMALL_DIVISOR 8
#define REPORT_MS 1000
#define UNREAD_MAX 16384 /* bytes; the kernel doubles it */
/* Surplus connections that may be open, so that they get their refusal. */
#define SURPLUS_MAX 32

enum conn_state {
	CONN_IDLE,
	CONN_RECEIVING,
	CONN_PENDING, /* whole; may have taken effect */
	CONN_REPLYING
};

struct intake_conn {
	TAILQ_ENTRY(intake_conn) entry;
	struct intake_gate *gate;
	int fd;
	enum conn_state state;
	int64_t since;	  /* when the state began */
	int64_t deadline; /* of the state */
	char *data;	  /* received; capacity bytes, len of them used */
	size_t len;
	size_t capacity;
	size_t charge; /* beside the data */
	bool cut;      /* is being closed, holds nothing, isn't counted */
	bool surplus;  /* see intake_is_surplus */
};
TAILQ_HEAD(conn_list, intake_conn);

struct intake_gate {
	TAILQ_ENTRY(intake_gate) entry;
	struct intake *intake;
	uint32_t max_connections;
	uint32_t receive_ms;
	size_t count;	/* of connections that are open and not cut */
	size_t surplus; /* of surplus ones, which are not part of count */
};

TAILQ_HEAD(gate_list, intake_gate);

/* How many connections were closed, or requests refused, by reason. */
struct cuts {
	uint64_t held_most;
	uint64_t held_longest;
	uint64_t slow;
	uint64_t refused;
};

/* lock guards all that belongs to the intake, connections included. */
struct intake {
	pthread_mutex_t lock;
	size_t bytes_max;
	size_t used;
	struct gate_list gates;
	struct conn_list conns;
	struct cuts cuts; /* since the last report */
	int64_t report_at;
};

/*
 * Limits what the kernel holds unread of each connection of a listener: that
 * takes the machine's memory too, and nothing is read while a request is
 * pending. Accepted sockets inherit the option.
 */
void intake_limit_unread(int listen_fd)
{
	int bytes = UNREAD_MAX;

	if (setsockopt(listen_fd, SOL_SOCKET, SO_RCVBUF, &bytes,
		       sizeof(bytes)) < 0)
		log_debug("the kernel's receive buffers keep their size");
}

/* Creates the intake of a process; bytes is its budget. */
struct intake *intake_new(size_t bytes)
{
	struct intake *in = xcalloc(1, sizeof(*in));

	pthread_mutex_init(&in->lock, NULL);
	in->bytes_max = bytes;
	TAILQ_INIT(&in->gates);
	TAILQ_INIT(&in->conns);
	counter_set(COUNT_INTAKE_LIMIT, bytes);
	return in;
}

/* Frees an intake and its gates. */
void intake_free(struct intake *in)
{
	struct intake_gate *gate;

	while ((gate = TAILQ_FIRST(&in->gates))) {
		TAILQ_REMOVE(&in->gates, gate, entry);
		free(gate);
	}
	pthread_mutex_destroy(&in->lock);
	free(in);
}

/* Creates the gate of a listener. */
struct intake_gate *intake_gate_new(struct intake *in, uint32_t max_connections,
				    uint32_t receive_ms)
{
	struct intake_gate *gate = xcalloc(1, sizeof(*gate));

	gate->intake = in;
	gate->max_connections = max_connections;
	gate->receive_ms = receive_ms;
	pthread_mutex_lock(&in->lock);
	TAILQ_INSERT_TAIL(&in->gates, gate, entry);
	pthread_mutex_unlock(&in->lock);
	return gate;
}

/* Releases a buffer of received data. */
static void data_free(char *data, size_t capacity)
{
	if (capacity >= MAPPED_MIN)
		munmap(data, capacity);
	else
		free(data);
}

/* Returns a buffer of received data with a larger capacity. */
static char *data_grow(char *data, size_t old, size_t capacity)
{
	char *grown;

	if (capacity < MAPPED_MIN)
		return xrealloc(data, capacity, 1);
	if (old >= MAPPED_MIN)
		grown = mremap(data, old, capacity, MREMAP_MAYMOVE);
	else
		grown = mmap(NULL, capacity, PROT_READ | PROT_WRITE,
			     MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
	if (grown == MAP_FAILED)
		abort(); /* out of memory */
	if (old && old < MAPPED_MIN) {
		memcpy(grown, data, old);
		free(data);
	}
	return grown;
}

/* Returns the bytes that a connection holds. */
static size_t conn_held(const struct intake_conn *conn)
{
	return conn->capacity + conn->charge;
}

/* Changes the state of a connection and sets the deadline of the state. */
static void conn_set_state(struct intake_conn *conn, enum conn_state state,
			   int64_t now)
{
	uint32_t ms = conn->gate->receive_ms;

	conn->state = state;
	conn->since = now;
	conn->deadline = ms && state != CONN_PENDING ? now + ms : INT64_MAX;
}

/* Releases all that a connection holds. */
static void conn_release(struct intake_conn *conn)
{
	conn->gate->intake->used -= conn_held(conn);
	data_free(conn->data, conn->capacity);
	conn->data = NULL;
	conn->len = conn->capacity = conn->charge = 0;
}

/* Counts a connection at its gate, or no more. */
static void conn_count(struct intake_conn *conn, int change)
{
	if (conn->surplus)
		conn->gate->surplus += (size_t)change;
	else
		conn->gate->count += (size_t)change;
}

/*
 * Releases all that a connection holds and begins to close it. Its listener
 * notices the shutdown of the socket and closes it.
 */
static void conn_cut(struct intake_conn *conn, enum counter_id reason,
		     uint64_t *cuts)
{
	conn_release(conn);
	conn_count(conn, -1);
	conn->cut = true;
	counter_add(reason, 1);
	++*cuts;
	shutdown(conn->fd, SHUT_RDWR);
}

/*
 * Returns the connection that has been without a whole request for longest, of
 * the surplus ones of a gate or of the others, or NULL.
 */
static struct intake_conn *conn_longest(const struct intake_gate *gate,
					bool surplus)
{
	struct intake_conn *conn, *longest = NULL;

	TAILQ_FOREACH(conn, &gate->intake->conns, entry) {
		if (conn->gate != gate || conn->surplus != surplus ||
		    conn->cut ||
		    (conn->state != CONN_IDLE && conn->state != CONN_RECEIVING))
			continue;
		if (!longest || conn->since < longest->since)
			longest = conn;
	}
	return longest;
}

/*
 * Makes room for a connection: the one that has been without a whole request
 * for longest is closed. Clients that connect and send nothing would otherwise
 * keep all others out. The new one is a surplus if there is none.
 */
static void gate_make_room(struct intake_gate *gate, struct intake_conn *conn)
{
	struct intake_conn *longest = conn_longest(gate, false);

	if (!longest) {
		conn->surplus = true;
		if (gate->surplus >= SURPLUS_MAX)
			longest = conn_longest(gate, true);
	}
	if (longest)
		conn_cut(longest, COUNT_DROPPED_HELD_LONGEST,
			 &gate->intake->cuts.held_longest);
}

/* Adds a connection. */
struct intake_conn *intake_open(struct intake_gate *gate, int fd, int64_t now)
{
	struct intake_conn *conn = xcalloc(1, sizeof(*conn));
	struct intake *in = gate->intake;

	conn->gate = gate;
	conn->fd = fd;
	conn_set_state(conn, CONN_IDLE, now);
	pthread_mutex_lock(&in->lock);
	if (gate->count >= gate->max_connections)
		gate_make_room(gate, conn);
	conn_count(conn, 1);
	TAILQ_INSERT_TAIL(&in->conns, conn, entry);
	pthread_mutex_unlock(&in->lock);
	return conn;
}

/* Removes a connection. */
void intake_close(struct intake_conn *conn)
{
	struct intake *in = conn->gate->intake;

	pthread_mutex_lock(&in->lock);
	if (!conn->cut)
		conn_count(conn, -1);
	conn_release(conn);
	TAILQ_REMOVE(&in->conns, conn, entry);
	free(conn);
	pthread_mutex_unlock(&in->lock);
}

bool intake_is_surplus(const struct intake_conn *conn)
{
	return conn->surplus;
}

/* Begins a request: its first bytes have been received. */
void intake_begin(struct intake_conn *conn, int64_t now)
{
	struct intake *in = conn->gate->intake;

	pthread_mutex_lock(&in->lock);
	conn_set_state(conn, CONN_RECEIVING, now);
	pthread_mutex_unlock(&in->lock);
}

/*
 * Returns true if a connection may be closed to make room for bytes. All that a
 * reply holds is what its client has not read.
 */
static bool conn_may_yield(const struct intake_conn *conn)
{
	return !conn->cut && conn_held(conn) > 0 &&
	       (conn->state == CONN_RECEIVING || conn->state == CONN_REPLYING);
}

/*
 * Returns how much a connection takes from the others: the bytes that it holds
 * and how long it has held them. Small ones come after all others.
 */
static double conn_weight(const struct intake_conn *conn, size_t more,
			  int64_t now)
{
	size_t held = conn_held(conn) + more;

	if (held <= INTAKE_SMALL_BYTES)
		return 0;
	return (double)held * (double)(now - conn->since + 1);
}

/* Returns the connection that is to make room for one that needs more. */
static struct intake_conn *conn_heaviest(struct intake *in,
					 struct intake_conn *asking,
					 size_t more, int64_t now)
{
	struct intake_conn *conn, *heaviest = NULL;
	double weight, most = -1;

	if (asking->state == CONN_RECEIVING) {
		most = conn_weight(asking, more, now);
		heaviest = asking;
	}
	TAILQ_FOREACH(conn, &in->conns, entry) {
		if (conn == asking || !conn_may_yield(conn))
			continue;
		weight = conn_weight(conn, 0, now);
		if (weight >= most) {
			most = weight;
			heaviest = conn;
		}
	}
	return heaviest;
}

/* Returns the bytes that all others would make room for. */
static size_t bytes_yielding(const struct intake *in,
			     const struct intake_conn *asking)
{
	const struct intake_conn *conn;
	size_t bytes = 0;

	TAILQ_FOREACH(conn, &in->conns, entry)
		if (conn != asking && conn_may_yield(conn))
			bytes += conn_held(conn);
	return bytes;
}

/*
 * Makes room for more bytes of a connection, by closing those that take most
 * from the others. A part of the budget is left to small requests. Nobody is
 * closed if that would not make enough room.
 */
static enum intake_result room_make(struct intake *in, struct intake_conn *conn,
				    size_t more, int64_t now)
{
	size_t needed = conn_held(conn) + more, limit = in->bytes_max;
	struct intake_conn *heaviest;

	if (needed > INTAKE_SMALL_BYTES)
		limit -= in->bytes_max / SMALL_DIVISOR;
	if (needed > limit)
		return INTAKE_TOO_LARGE;
	if (in->used + more > limit &&
	    in->used + more - bytes_yielding(in, conn) > limit)
		return INTAKE_FULL;
	while (in->used + more > limit) {
		heaviest = conn_heaviest(in, conn, more, now);
		if (!heaviest || heaviest == conn)
			return INTAKE_FULL;
		conn_cut(heaviest, COUNT_DROPPED_HELD_MOST,
			 &in->cuts.held_most);
	}
	return INTAKE_OK;
}

/*
 * Returns the capacity for len bytes: a power of two, or a multiple of
 * MAPPED_MIN, as mapped data grows without a copy.
 */
static size_t capacity_for(const struct intake_conn *conn, size_t len)
{
	size_t capacity = conn->capacity ? conn->capacity : CAPACITY_MIN;

	if (len > MAPPED_MIN)
		return (len + MAPPED_MIN - 1) / MAPPED_MIN * MAPPED_MIN;
	while (capacity < len)
		capacity *= 2;
	return capacity;
}

/* Grows the buffer of a connection to len bytes. */
static enum intake_result conn_grow(struct intake *in, struct intake_conn *conn,
				    size_t len, int64_t now)
{
	size_t capacity = capacity_for(conn, len);
	enum intake_result result;

	if (capacity <= conn->capacity)
		return INTAKE_OK;
	result = room_make(in, conn, capacity - conn->capacity, now);
	if (result != INTAKE_OK) {
		conn_release(conn);
		in->cuts.refused++;
		return result;
	}
	in->used += capacity - conn->capacity;
	conn->data = data_grow(conn->data, conn->capacity, capacity);
	conn->capacity = capacity;
	return INTAKE_OK;
}

/* Appends to the received data of a connection. */
enum intake_result intake_append(struct intake_conn *conn, const void *data,
				 size_t len, int64_t now)
{
	struct intake *in = conn->gate->intake;
	enum intake_result result = INTAKE_CUT;

	pthread_mutex_lock(&in->lock);
	if (!conn->cut)
		result = conn_grow(in, conn, conn->len + len, now);
	if (result == INTAKE_OK) {
		memcpy(conn->data + conn->len, data, len);
		conn->len += len;
	}
	pthread_mutex_unlock(&in->lock);
	return result;
}

/* Ends the reception of a request. */
bool intake_complete(struct intake_conn *conn, bstr *data)
{
	struct intake *in = conn->gate->intake;
	bool open;

	pthread_mutex_lock(&in->lock);
	open = !conn->cut;
	if (open)
		conn_set_state(conn, CONN_PENDING, conn->since);
	*data = bstr_ref(conn->data, conn->len);
	pthread_mutex_unlock(&in->lock);
	return open;
}

/* Goes on with the reception of a request that is not complete yet. */
void intake_resume(struct intake_conn *conn)
{
	struct intake *in = conn->gate->intake;

	pthread_mutex_lock(&in->lock);
	conn_set_state(conn, CONN_RECEIVING, conn->since);
	pthread_mutex_unlock(&in->lock);
}

/* Releases the first len bytes of the received data. */
void intake_release(struct intake_conn *conn, size_t len)
{
	struct intake *in = conn->gate->intake;

	pthread_mutex_lock(&in->lock);
	conn->len -= len;
	if (conn->len) {
		memmove(conn->data, conn->data + len, conn->len);
	} else {
		in->used -= conn->capacity;
		data_free(conn->data, conn->capacity);
		conn->data = NULL;
		conn->capacity = 0;
	}
	pthread_mutex_unlock(&in->lock);
}

/* Sets what a pending request takes beside its received data. */
enum intake_result intake_charge(struct intake_conn *conn, size_t bytes,
				 int64_t now)
{
	struct intake *in = conn->gate->intake;
	enum intake_result result = INTAKE_OK;

	pthread_mutex_lock(&in->lock);
	if (bytes > conn->charge)
		result = room_make(in, conn, bytes - conn->charge, now);
	if (result == INTAKE_OK) {
		in->used = in->used - conn->charge + bytes;
		conn->charge = bytes;
	} else {
		in->cuts.refused++;
	}
	pthread_mutex_unlock(&in->lock);
	return result;
}

/*
 * The reply to a request is being sent. It counts even beyond the budget, as
 * the request may have taken effect and its client has to learn that; other
 * connections make room for it.
 */
void intake_reply(struct intake_conn *conn, size_t bytes, int64_t now)
{
	struct intake *in = conn->gate->intake;

	pthread_mutex_lock(&in->lock);
	conn_release(conn);
	if (!conn->cut) {
		conn_set_state(conn, CONN_PENDING, now);
		room_make(in, conn, bytes, now);
		conn_set_state(conn, CONN_REPLYING, now);
		conn->charge = bytes;
		in->used += bytes;
	}
	pthread_mutex_unlock(&in->lock);
}

/*
 * Leaves what a pending request takes to the caller: nobody waits for its reply
 * any more, but it is still processed.
 */
size_t intake_detach(struct intake_conn *conn)
{
	struct intake *in = conn->gate->intake;
	size_t bytes;

	pthread_mutex_lock(&in->lock);
	bytes = conn->charge;
	conn->charge = 0;
	pthread_mutex_unlock(&in->lock);
	return bytes;
}

/* Releases bytes that were detached from a connection. */
void intake_settle(struct intake *in, size_t bytes)
{
	pthread_mutex_lock(&in->lock);
	in->used -= bytes;
	pthread_mutex_unlock(&in->lock);
}

/* Ends a request. */
void intake_finish(struct intake_conn *conn, int64_t now)
{
	struct intake *in = conn->gate->intake;

	pthread_mutex_lock(&in->lock);
	conn_release(conn);
	conn_set_state(conn, CONN_IDLE, now);
	pthread_mutex_unlock(&in->lock);
}

/* Logs and resets what was done under pressure since the last report. */
static void cuts_report(struct intake *in, int64_t now, size_t open)
{
	const struct cuts *c = &in->cuts;

	if (now < in->report_at ||
	    !(c->held_most || c->held_longest || c->slow || c->refused))
		return;
	log_event(LOG_INTAKE_PRESSURE,
		  "held_most=%llu held_longest=%llu slow=%llu refused=%llu "
		  "used=%zu limit=%zu connections=%zu",
		  (unsigned long long)c->held_most,
		  (unsigned long long)c->held_longest,
		  (unsigned long long)c->slow, (unsigned long long)c->refused,
		  in->used, in->bytes_max, open);
	in->cuts = (struct cuts){0};
	in->report_at = now + REPORT_MS;
}

/*
 * Closes the connections whose time is over. A client that sends a byte now and
 * then never becomes idle for its listener: without a deadline it would keep
 * its connection and its data for ever.
 */
void intake_sweep(struct intake *in, int64_t now)
{
	struct intake_conn *conn;
	size_t open = 0;

	pthread_mutex_lock(&in->lock);
	TAILQ_FOREACH(conn, &in->conns, entry) {
		if (!conn->cut && now >= conn->deadline)
			conn_cut(conn, COUNT_DROPPED_SLOW, &in->cuts.slow);
		open += !conn->cut;
	}
	counter_set(COUNT_INTAKE_USED, in->used);
	counter_set(COUNT_INTAKE_CONNECTIONS, open);
	cuts_report(in, now, open);
	pthread_mutex_unlock(&in->lock);
}

/* Returns the bytes that are held now. */
size_t intake_used(struct intake *in)
{
	size_t used;

	pthread_mutex_lock(&in->lock);
	used = in->used;
	pthread_mutex_unlock(&in->lock);
	return used;
}
