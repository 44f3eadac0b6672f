/*
 * The operator's configuration that this VM uses, and look-ups in it.  Routes
 * and organisations that were removed are remembered, as jobs of them go on.
 */
#include "sched-state.h"

#include <stdlib.h>
#include <string.h>

/* Removed entries that are remembered, of each kind; the oldest go first. */
#define REMOVED_MAX 512

/* Compares routes by name, for qsort and bsearch. */
static int route_cmp(const void *a, const void *b)
{
	const struct route *x = a, *y = b;

	return bstr_cmp(x->name, y->name);
}

/* Returns a route of a configuration by name, or NULL. */
static struct route *route_in(const struct fleet_config *c, bstr name)
{
	size_t i;

	for (i = 0; c && i < c->route_count; i++)
		if (bstr_eq(c->routes[i].name, name))
			return &c->routes[i];
	return NULL;
}

/* Returns an organisation of a configuration by name, or NULL. */
static struct tenant *tenant_in(const struct fleet_config *c, bstr name)
{
	size_t i;

	for (i = 0; c && i < c->tenant_count; i++)
		if (bstr_eq(c->tenants[i].name, name))
			return &c->tenants[i];
	return NULL;
}

/* Forgets the first of the removed routes. */
static void removed_route_drop(struct fleet_config *c, size_t i)
{
	route_free(&c->routes[i]);
	memmove(&c->routes[i], &c->routes[i + 1],
		(--c->route_count - i) * sizeof(*c->routes));
}

/* Forgets the first of the removed organisations. */
static void removed_tenant_drop(struct fleet_config *c, size_t i)
{
	tenant_free(&c->tenants[i]);
	memmove(&c->tenants[i], &c->tenants[i + 1],
		(--c->tenant_count - i) * sizeof(*c->tenants));
}

/*
 * Moves the routes and organisations that a newer configuration lacks from the
 * older one to the removed ones.  A queue may be missing for a moment only; a
 * job of it that then went by defaults would be failed after its first failed
 * run, or started where its queue's policy forbids it.
 */
static void config_remember(struct fleet_config *removed,
			    struct fleet_config *old,
			    const struct fleet_config *next)
{
	struct route *r;
	struct tenant *t;
	size_t i;

	removed->routes = xrealloc(removed->routes,
				   removed->route_count + old->route_count + 1,
				   sizeof(*removed->routes));
	removed->tenants = xrealloc(
		removed->tenants, removed->tenant_count + old->tenant_count + 1,
		sizeof(*removed->tenants));
	for (i = 0; i < old->route_count; i++) {
		r = route_in(removed, old->routes[i].name);
		if (r)
			removed_route_drop(removed,
					   (size_t)(r - removed->routes));
		if (route_in(next, old->routes[i].name))
			continue;
		removed->routes[removed->route_count++] = old->routes[i];
		old->routes[i] = (struct route){0};
	}
	for (i = 0; i < old->tenant_count; i++) {
		t = tenant_in(removed, old->tenants[i].name);
		if (t)
			removed_tenant_drop(removed,
					    (size_t)(t - removed->tenants));
		if (tenant_in(next, old->tenants[i].name))
			continue;
		removed->tenants[removed->tenant_count++] = old->tenants[i];
		old->tenants[i] = (struct tenant){0};
	}
	while (removed->route_count > REMOVED_MAX)
		removed_route_drop(removed, 0);
	while (removed->tenant_count > REMOVED_MAX)
		removed_tenant_drop(removed, 0);
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
	else
		config_remember(s->removed_config, s->config, r->config);
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
	return tenant_in(s->config, name);
}

/* Returns a route by name, also if it was removed, or NULL. */
const struct route *route_known(const struct sched *s, bstr name)
{
	const struct route *r = route_named(s, name);

	return r ? r : route_in(s->removed_config, name);
}

/* Returns an organisation by name, also if it was removed, or NULL. */
const struct tenant *tenant_known(const struct sched *s, bstr name)
{
	const struct tenant *t = tenant_named(s, name);

	return t ? t : tenant_in(s->removed_config, name);
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
