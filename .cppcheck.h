/* cppcheck reads no system headers: the loops that look like none. */
#define TAILQ_FOREACH(v, h, f) \
	for ((v) = (h)->tqh_first; (v); (v) = (v)->f.tqe_next)
#define TAILQ_FOREACH_SAFE(v, h, f, n) \
	for ((v) = (h)->tqh_first; (v) && ((n) = (v)->f.tqe_next, 1); (v) = (n))
#define HASH_ITER(hh, h, v, n) \
	for ((v) = (h), (n) = next_of(v); (v); (v) = (n), (n) = next_of(v))
#define json_object_foreach(o, k, v) \
	for (k = key_of(o); k && (v = value_of(o)); k = key_of(o))
#define json_array_foreach(a, i, v) \
	for (i = 0; i < size_of(a) && (v = value_of(a)); i++)
