#include <kcf/datagram.h>

#include <assert.h>
#include <rpc/rpc.h>
#include <sodium.h>
#include <string.h>

#define MAC_BYTES 16
/* Authentication flavor in the range for private use. */
#define AUTH_PEER_MAC 0x4b43
/*
 * Bytes before the MAC: xid, type, RPC version, program, version, procedure,
 * credential, and the flavor and length of the verifier.
 */
#define MAC_OFFSET 40

const char *const datagram_err_string[] = {
	"ok",
	"size out of range",
	"MAC does not match",
	"not a call of the peer program",
	"malformed message",
	"time of sending out of range",
};

static void compute_mac_(const unsigned char *key, const unsigned char *data,
			 size_t len, unsigned char *mac);

int datagram_encode(const unsigned char *key, unsigned int proc,
		    const peer_message_t *m, unsigned char *out, size_t *len)
{
	unsigned char mac[MAC_BYTES] = { 0 };
	struct rpc_msg call = { 0 };
	XDR xdrs;
	bool ok;

	assert(key && m && out && len);
	call.rm_xid = m->seq;
	call.rm_direction = CALL;
	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = PEER_PROGRAM;
	call.rm_call.cb_vers = PEER_VERSION;
	call.rm_call.cb_proc = proc;
	call.rm_call.cb_cred.oa_flavor = AUTH_NONE;
	call.rm_call.cb_verf.oa_flavor = AUTH_PEER_MAC;
	call.rm_call.cb_verf.oa_base = (caddr_t)mac;
	call.rm_call.cb_verf.oa_length = MAC_BYTES;
	xdrmem_create(&xdrs, (char *)out, DATAGRAM_MAX, XDR_ENCODE);
	ok = xdr_callmsg(&xdrs, &call) &&
	     xdr_peer_message_t(&xdrs, (peer_message_t *)m);
	*len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	if (!ok)
		return DATAGRAM_ESIZE;
	compute_mac_(key, out, *len, mac);
	memcpy(out + MAC_OFFSET, mac, MAC_BYTES);
	return DATAGRAM_OK;
}

static bool decode_header_(XDR *xdrs, unsigned int *proc)
{
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg call = { 0 };

	call.rm_call.cb_cred.oa_base = cred;
	call.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(xdrs, &call))
		return false;
	*proc = (unsigned int)call.rm_call.cb_proc;
	return call.rm_call.cb_prog == PEER_PROGRAM &&
	       call.rm_call.cb_vers == PEER_VERSION &&
	       call.rm_call.cb_verf.oa_flavor == AUTH_PEER_MAC &&
	       call.rm_call.cb_cred.oa_length == 0;
}

int datagram_decode(const unsigned char *key, str_t data, mstime_t wall,
		    unsigned int *proc, peer_message_t *m)
{
	unsigned char copy[DATAGRAM_MAX];
	unsigned char mac[MAC_BYTES];
	peer_message_t message = { 0 };
	int err = DATAGRAM_OK;
	XDR xdrs;

	assert(key && proc && m);
	if (data.len < MAC_OFFSET + MAC_BYTES || data.len > DATAGRAM_MAX)
		return DATAGRAM_ESIZE;
	memcpy(copy, data.data, data.len);
	memset(copy + MAC_OFFSET, 0, MAC_BYTES);
	compute_mac_(key, copy, data.len, mac);
	if (sodium_memcmp(mac, data.data + MAC_OFFSET, MAC_BYTES) != 0)
		return DATAGRAM_EMAC;
	xdrmem_create(&xdrs, (char *)copy, (u_int)data.len, XDR_DECODE);
	if (!decode_header_(&xdrs, proc))
		err = DATAGRAM_EHEADER;
	else if (!xdr_peer_message_t(&xdrs, &message) ||
		 xdr_getpos(&xdrs) != data.len)
		err = DATAGRAM_EBODY;
	else if (llabs(wall - (mstime_t)message.sent) > DATAGRAM_AGE_MAX_MS)
		err = DATAGRAM_EAGE;
	xdr_destroy(&xdrs);
	if (err) {
		datagram_free(&message);
		return err;
	}
	*m = message;
	return DATAGRAM_OK;
}

void datagram_free(peer_message_t *m)
{
	xdr_free((xdrproc_t)xdr_peer_message_t, m);
	memset(m, 0, sizeof(*m));
}

static void compute_mac_(const unsigned char *key, const unsigned char *data,
			 size_t len, unsigned char *mac)
{
	crypto_generichash(mac, MAC_BYTES, data, len, key, DATAGRAM_KEY_BYTES);
}
