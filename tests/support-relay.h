/*
 * A net of small TCP relays: each entry VM reaches the platform by one of
 * its own, which also writes other relays' addresses into the members' rows
 * it reads there, so that each pair of entry VMs has a relay as well.
 */
#ifndef SUPPORT_RELAY_H
#define SUPPORT_RELAY_H

#include "../bamboofront.h"

enum relay_mode {
	RELAY_PASS,
	RELAY_RESET, /* open connections are reset, new ones closed at once */
	RELAY_LOSE_ANSWERS, /* requests pass, answers are thrown away */
	RELAY_STALL /* nothing passes on open ones for good; new ones work */
};
struct relay_net;
struct relay_net *relay_net_new(uint16_t platform);
void relay_net_free(struct relay_net *net);
/* The port by which a VM reaches the platform. */
uint16_t relay_net_add(struct relay_net *net, const char *vm);
/*
 * Set the relays from a VM to "platform" or another VM; NULL is any, and
 * a pair of VMs is set both ways.
 */
void relay_net_set(struct relay_net *net, const char *from, const char *to,
		   enum relay_mode mode);

#endif
