/* The operator's configuration that this VM uses, and look-ups in it. */
#include "sched-state.h"

#include <stdlib.h>
#include <string.h>

/* Compares routes by name, for qsort and bsearch. */
static int route_cmp(const void *a, const void *b)
{
	const struct route *x = a, *y = b;

	return bstr_cmp(x->name, y->name);
}

/*
 * Adopts a configuration if it is newer than the current one.  A page that
 * was read before the feed delivered a newer row could otherwise reset a route,
 * and callers would get the old rules again.
 */
void config_row_apply(struct sched *s, struct row *r)
{
	if (s->config && r->config->version <= s->config->version)
		return;
	if (!s->config)
		own_enable_claim(s);
	fleet_config_free(s->config);
	s->config = r->config;
	s->config_serial++;
	r->config = NULL;
	r->kind = ROW_RAW;
	if (s->config->route_count)
		qsort(s->config->routes, s->config->route_count,
		      sizeof(*s->config->routes), route_cmp);
	s->place_due = true;
	sched_log(s, LOG_CONFIG_ADOPTED,
		  "version=%llu revision=%llu routes=%zu organisations=%zu",
		  (unsigned long long)s->config->version,
		  (unsigned long long)r->revision, s->config->route_count,
		  s->config->tenant_count);
}

/*
 * Returns the route with the longest prefix of the path among those of the
 * host, or NULL.
 */
const struct route *route_find(const struct sched *s, bstr host, bstr path)
{
	const struct route *best = NULL, *r;
	const char *colon;
	size_t i;

	if (!s->config)
		return NULL;
	colon = host.bstr_len ? memchr(host.bstr_val, ':', host.bstr_len)
			      : NULL;
	if (colon)
		host.bstr_len = (u_int)(colon - host.bstr_val);
	for (i = 0; i < s->config->route_count; i++) {
		r = &s->config->routes[i];
		if (!bstr_eq(r->host, host) ||
		    r->prefix.bstr_len > path.bstr_len ||
		    !bstr_eq(r->prefix,
			     bstr_ref(path.bstr_val, r->prefix.bstr_len)))
			continue;
		if (!best || r->prefix.bstr_len > best->prefix.bstr_len)
			best = r;
	}
	return best;
}

/*
 * Returns a route by name, or NULL.  A binary search, because this is called
 * for each waiting job, and there are hundreds of routes.
 */
const struct route *route_named(const struct sched *s, bstr name)
{
	struct route key = {.name = name};

	if (!s->config || !s->config->route_count)
		return NULL;
	return bsearch(&key, s->config->routes, s->config->route_count,
		       sizeof(*s->config->routes), route_cmp);
}

/* Returns the organisation that has this key, or NULL. */
const struct tenant *tenant_of_key(const struct sched *s, bstr key)
{
	const struct tenant *t;
	size_t i, k;

	if (!key.bstr_len || !s->config)
		return NULL;
	for (i = 0; i < s->config->tenant_count; i++) {
		t = &s->config->tenants[i];
		for (k = 0; k < t->key_count; k++)
			if (bstr_eq(t->keys[k], key))
				return t;
	}
	return NULL;
}

/* Returns an organisation by name, or NULL. */
const struct tenant *tenant_named(const struct sched *s, bstr name)
{
	size_t i;

	for (i = 0; s->config && i < s->config->tenant_count; i++)
		if (bstr_eq(s->config->tenants[i].name, name))
			return &s->config->tenants[i];
	return NULL;
}

/* Returns a service by name, or NULL. */
const struct service *service_named(const struct sched *s, bstr name)
{
	size_t i;

	for (i = 0; s->config && i < s->config->service_count; i++)
		if (bstr_eq(s->config->services[i].name, name))
			return &s->config->services[i];
	return NULL;
}
