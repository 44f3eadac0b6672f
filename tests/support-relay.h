/*
 * A network of TCP relays for fault injection.  Each entry VM reaches the
 * platform through a relay of its own.  That relay replaces the peer addresses
 * in the member rows that the VM reads with the addresses of further relays,
 * so that the traffic between each pair of entry VMs is relayed too.
 */
#ifndef SUPPORT_RELAY_H
#define SUPPORT_RELAY_H

#include "../bamboofront.h"

enum relay_mode {
	RELAY_PASS,	    /* pass everything */
	RELAY_RESET,	    /* reset open connections, close new ones */
	RELAY_LOSE_ANSWERS, /* pass requests, drop answers */
	RELAY_STALL	    /* stall open connections for good, pass new ones */
};

struct relay_net;
struct relay_net *relay_net_new(uint16_t platform);
void relay_net_free(struct relay_net *net);

/* Adds a VM; returns the port through which it reaches the platform. */
uint16_t relay_net_add(struct relay_net *net, const char *vm);

/*
 * Sets the mode of the relays from a VM to "platform" or to another VM.  NULL
 * stands for all; a pair of VMs is set in both directions.
 */
void relay_net_set(struct relay_net *net, const char *from, const char *to,
		   enum relay_mode mode);

#endif
