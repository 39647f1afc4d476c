#include <kcf/datagram.h>

#include <arpa/inet.h>
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
/* After xid, type, RPC version, program and version. */
#define PROC_OFFSET 20

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

/* Encodes one call with its arguments and signs it. */
static int encode_(const unsigned char *key, unsigned int proc, uint32_t xid,
		   xdrproc_t encode_args, const void *args, unsigned char *out,
		   size_t *len)
{
	unsigned char mac[MAC_BYTES] = { 0 };
	struct rpc_msg call = { 0 };
	XDR xdrs;
	bool ok;

	call.rm_xid = xid;
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
	ok = xdr_callmsg(&xdrs, &call) && encode_args(&xdrs, (void *)args);
	*len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	if (!ok)
		return DATAGRAM_ESIZE;
	compute_mac_(key, out, *len, mac);
	memcpy(out + MAC_OFFSET, mac, MAC_BYTES);
	return DATAGRAM_OK;
}

int datagram_encode(const unsigned char *key, unsigned int proc,
		    const peer_message_t *m, unsigned char *out, size_t *len)
{
	assert(key && m && out && len);
	return encode_(key, proc, m->seq, (xdrproc_t)xdr_peer_message_t, m, out,
		       len);
}

int datagram_encode_crashes(const unsigned char *key,
			    const peer_crash_report_t *r, unsigned char *out,
			    size_t *len)
{
	assert(key && r && out && len);
	return encode_(key, PEER_CRASHES, 0, (xdrproc_t)xdr_peer_crash_report_t,
		       r, out, len);
}

int datagram_encode_origins(const unsigned char *key, const peer_origins_t *m,
			    unsigned char *out, size_t *len)
{
	assert(key && m && out && len);
	return encode_(key, PEER_ORIGINS, 0, (xdrproc_t)xdr_peer_origins_t, m,
		       out, len);
}

int datagram_encode_doubts(const unsigned char *key, const peer_doubts_t *m,
			   unsigned char *out, size_t *len)
{
	assert(key && m && out && len);
	return encode_(key, PEER_DOUBTS, 0, (xdrproc_t)xdr_peer_doubts_t, m,
		       out, len);
}

int datagram_encode_versions(const unsigned char *key, const peer_versions_t *m,
			     unsigned char *out, size_t *len)
{
	assert(key && m && out && len);
	return encode_(key, PEER_VERSIONS, 0, (xdrproc_t)xdr_peer_versions_t, m,
		       out, len);
}

int datagram_encode_warmth(const unsigned char *key, const peer_warmth_t *m,
			   unsigned char *out, size_t *len)
{
	assert(key && m && out && len);
	return encode_(key, PEER_WARMTH, 0, (xdrproc_t)xdr_peer_warmth_t, m,
		       out, len);
}

int datagram_encode_evidence(const unsigned char *key,
			     const peer_rollout_evidence_t *m,
			     unsigned char *out, size_t *len)
{
	assert(key && m && out && len);
	return encode_(key, PEER_ROLLOUT_EVIDENCE, 0,
		       (xdrproc_t)xdr_peer_rollout_evidence_t, m, out, len);
}

int datagram_encode_rollout(const unsigned char *key,
			    const peer_rollout_state_t *m, unsigned char *out,
			    size_t *len)
{
	assert(key && m && out && len);
	return encode_(key, PEER_ROLLOUT_STATE, 0,
		       (xdrproc_t)xdr_peer_rollout_state_t, m, out, len);
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

/*
 * Verifies one call and decodes its arguments, which are released on errors.
 * @args: zeroed
 */
static int decode_(const unsigned char *key, str_t data, unsigned int *proc,
		   xdrproc_t decode_args, void *args)
{
	unsigned char copy[DATAGRAM_MAX];
	unsigned char mac[MAC_BYTES];
	int err = DATAGRAM_OK;
	XDR xdrs;

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
	else if (!decode_args(&xdrs, args) || xdr_getpos(&xdrs) != data.len)
		err = DATAGRAM_EBODY;
	xdr_destroy(&xdrs);
	if (err)
		xdr_free(decode_args, args);
	return err;
}

static bool is_recent_(mstime_t wall, u_quad_t sent)
{
	return llabs(wall - (mstime_t)sent) <= DATAGRAM_AGE_MAX_MS;
}

int datagram_decode(const unsigned char *key, str_t data, mstime_t wall,
		    unsigned int *proc, peer_message_t *m)
{
	peer_message_t message = { 0 };
	int err;

	assert(key && proc && m);
	err = decode_(key, data, proc, (xdrproc_t)xdr_peer_message_t, &message);
	if (err)
		return err;
	if (!is_recent_(wall, message.sent)) {
		datagram_free(&message);
		return DATAGRAM_EAGE;
	}
	*m = message;
	return DATAGRAM_OK;
}

void datagram_free(peer_message_t *m)
{
	xdr_free((xdrproc_t)xdr_peer_message_t, m);
	memset(m, 0, sizeof(*m));
}

unsigned int datagram_proc(str_t data)
{
	uint32_t proc;

	if (data.len < PROC_OFFSET + sizeof(proc))
		return 0;
	memcpy(&proc, data.data + PROC_OFFSET, sizeof(proc));
	return ntohl(proc);
}

/*
 * Decodes the arguments of one procedure, which are released on errors.
 * @sent: within args
 */
static int decode_call_(const unsigned char *key, str_t data, mstime_t wall,
			unsigned int proc, xdrproc_t decode_args, void *args,
			const u_quad_t *sent)
{
	unsigned int found;
	int err = decode_(key, data, &found, decode_args, args);

	if (err)
		return err;
	if (found != proc)
		err = DATAGRAM_EHEADER;
	else if (!is_recent_(wall, *sent))
		err = DATAGRAM_EAGE;
	if (err)
		xdr_free(decode_args, args);
	return err;
}

int datagram_decode_crashes(const unsigned char *key, str_t data, mstime_t wall,
			    peer_crash_report_t *r)
{
	peer_crash_report_t report = { 0 };
	int err;

	assert(key && r);
	err = decode_call_(key, data, wall, PEER_CRASHES,
			   (xdrproc_t)xdr_peer_crash_report_t, &report,
			   &report.sent);
	if (!err)
		*r = report;
	return err;
}

void datagram_free_crashes(peer_crash_report_t *r)
{
	xdr_free((xdrproc_t)xdr_peer_crash_report_t, r);
	memset(r, 0, sizeof(*r));
}

int datagram_decode_origins(const unsigned char *key, str_t data, mstime_t wall,
			    peer_origins_t *m)
{
	peer_origins_t origins = { 0 };
	int err;

	assert(key && m);
	err = decode_call_(key, data, wall, PEER_ORIGINS,
			   (xdrproc_t)xdr_peer_origins_t, &origins,
			   &origins.sent);
	if (!err)
		*m = origins;
	return err;
}

void datagram_free_origins(peer_origins_t *m)
{
	xdr_free((xdrproc_t)xdr_peer_origins_t, m);
	memset(m, 0, sizeof(*m));
}

int datagram_decode_doubts(const unsigned char *key, str_t data, mstime_t wall,
			   peer_doubts_t *m)
{
	peer_doubts_t doubts = { 0 };
	int err;

	assert(key && m);
	err = decode_call_(key, data, wall, PEER_DOUBTS,
			   (xdrproc_t)xdr_peer_doubts_t, &doubts, &doubts.sent);
	if (!err)
		*m = doubts;
	return err;
}

void datagram_free_doubts(peer_doubts_t *m)
{
	xdr_free((xdrproc_t)xdr_peer_doubts_t, m);
	memset(m, 0, sizeof(*m));
}

int datagram_decode_versions(const unsigned char *key, str_t data,
			     mstime_t wall, peer_versions_t *m)
{
	peer_versions_t versions = { 0 };
	int err;

	assert(key && m);
	err = decode_call_(key, data, wall, PEER_VERSIONS,
			   (xdrproc_t)xdr_peer_versions_t, &versions,
			   &versions.sent);
	if (!err)
		*m = versions;
	return err;
}

void datagram_free_versions(peer_versions_t *m)
{
	xdr_free((xdrproc_t)xdr_peer_versions_t, m);
	memset(m, 0, sizeof(*m));
}

int datagram_decode_warmth(const unsigned char *key, str_t data, mstime_t wall,
			   peer_warmth_t *m)
{
	peer_warmth_t warmth = { 0 };
	int err;

	assert(key && m);
	err = decode_call_(key, data, wall, PEER_WARMTH,
			   (xdrproc_t)xdr_peer_warmth_t, &warmth, &warmth.sent);
	if (!err)
		*m = warmth;
	return err;
}

void datagram_free_warmth(peer_warmth_t *m)
{
	xdr_free((xdrproc_t)xdr_peer_warmth_t, m);
}

int datagram_encode_work(const unsigned char *key, const peer_work_t *m,
			 unsigned char *out, size_t *len)
{
	assert(key && m && out && len);
	return encode_(key, PEER_WORK, 0, (xdrproc_t)xdr_peer_work_t, m, out,
		       len);
}

int datagram_decode_work(const unsigned char *key, str_t data, mstime_t wall,
			 peer_work_t *m)
{
	peer_work_t work = { 0 };
	int err;

	assert(key && m);
	err = decode_call_(key, data, wall, PEER_WORK,
			   (xdrproc_t)xdr_peer_work_t, &work, &work.sent);
	if (!err)
		*m = work;
	return err;
}

void datagram_free_work(peer_work_t *m)
{
	xdr_free((xdrproc_t)xdr_peer_work_t, m);
}

int datagram_decode_evidence(const unsigned char *key, str_t data,
			     mstime_t wall, peer_rollout_evidence_t *m)
{
	peer_rollout_evidence_t evidence = { 0 };
	int err;

	assert(key && m);
	err = decode_call_(key, data, wall, PEER_ROLLOUT_EVIDENCE,
			   (xdrproc_t)xdr_peer_rollout_evidence_t, &evidence,
			   &evidence.sent);
	if (!err)
		*m = evidence;
	return err;
}

void datagram_free_evidence(peer_rollout_evidence_t *m)
{
	xdr_free((xdrproc_t)xdr_peer_rollout_evidence_t, m);
	memset(m, 0, sizeof(*m));
}

int datagram_decode_rollout(const unsigned char *key, str_t data, mstime_t wall,
			    peer_rollout_state_t *m)
{
	peer_rollout_state_t state = { 0 };
	int err;

	assert(key && m);
	err = decode_call_(key, data, wall, PEER_ROLLOUT_STATE,
			   (xdrproc_t)xdr_peer_rollout_state_t, &state,
			   &state.sent);
	if (!err)
		*m = state;
	return err;
}

void datagram_free_rollout(peer_rollout_state_t *m)
{
	xdr_free((xdrproc_t)xdr_peer_rollout_state_t, m);
	memset(m, 0, sizeof(*m));
}

static void compute_mac_(const unsigned char *key, const unsigned char *data,
			 size_t len, unsigned char *mac)
{
	crypto_generichash(mac, MAC_BYTES, data, len, key, DATAGRAM_KEY_BYTES);
}
