/*
 * rpc-client.c: ONC RPC calls with deadlines, without a port mapper, and the
 * record marking of ONC RPC over TCP.
 */
#ifndef RPC_CLIENT_H
#define RPC_CLIENT_H

#include <sys/socket.h>

#include "bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

bool socket_address(const char *host, uint16_t port,
		    struct sockaddr_storage *sa, socklen_t *len);

/*
 * A record is one RPC message, sent as one or more fragments. A mark before
 * each fragment holds its length and whether it is the last.
 */
#define RPC_RECORD_MAX (BSTR_MAX + 4096) /* an envelope and RPC headers */
enum rpc_record_result {
	RPC_RECORD_PARTIAL,
	RPC_RECORD_COMPLETE,
	RPC_RECORD_TOO_LONG,
	RPC_RECORD_INVALID
};
enum rpc_record_result rpc_record_find(const uint8_t *p, size_t len,
				       size_t *payload, size_t *raw);
void rpc_record_join(uint8_t *p, size_t payload);
bstr rpc_record_new(bstr head, bstr body);

/*
 * A connection for calls to one RPC program, one call at a time. address is
 * "ip:port" or "[ip]:port".
 *
 * If a call returns anything but RPC_SUCCESS, the state of the connection is
 * unknown: close it and open a new one.
 */
struct rpc_client;
struct rpc_client *rpc_client_open(bstr address, uint32_t program,
				   uint32_t version, int64_t deadline);
bool rpc_client_alive(const struct rpc_client *c);
enum clnt_stat rpc_client_call(struct rpc_client *c, uint32_t procedure,
			       const sealed *args, xdrproc_t proc, void *result,
			       int64_t deadline);
void rpc_client_close(struct rpc_client *c);

#ifdef __cplusplus
}
#endif
#endif
