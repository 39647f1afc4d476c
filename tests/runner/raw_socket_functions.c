#include "functions.h"

#include <kcf/address.h>
#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#define RECEIVE_BUFFER 4096

/* raw_open(address, bytes) -> descriptor; a small receive buffer */
static int raw_open_(lua_State *L)
{
	size_t len;
	const char *bytes = luaL_checklstring(L, 2, &len);
	struct sockaddr_in sa;
	int size = RECEIVE_BUFFER;
	int fd;

	luaL_argcheck(L, address_parse(luaL_checkstring(L, 1), &sa), 1,
		      "address");
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		close(fd);
		return luaL_error(L, "cannot connect");
	}
	/* The peer may refuse and close before it has read everything. */
	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			break;
		bytes += n;
		len -= (size_t)n;
	}
	lua_pushinteger(L, fd);
	return 1;
}

/* raw_send(descriptor, bytes) -> whether all were sent */
static int raw_send_(lua_State *L)
{
	size_t len;
	const char *bytes = luaL_checklstring(L, 2, &len);

	lua_pushboolean(L, send((int)luaL_checkinteger(L, 1), bytes, len,
				MSG_NOSIGNAL) == (ssize_t)len);
	return 1;
}

/* raw_read(descriptor, ms) -> bytes, closed, reset; until ms pass without data
 */
static int raw_read_(lua_State *L)
{
	int fd = (int)luaL_checkinteger(L, 1);
	int ms = (int)luaL_checkinteger(L, 2);
	struct pollfd p = { .fd = fd, .events = POLLIN };
	luaL_Buffer out;
	bool closed = false;
	bool reset = false;

	luaL_buffinit(L, &out);
	while (!closed && poll(&p, 1, ms) == 1) {
		char data[4096];
		ssize_t n = recv(fd, data, sizeof(data), 0);

		if (n > 0)
			luaL_addlstring(&out, data, (size_t)n);
		else
			closed = true;
		reset = n < 0;
	}
	luaL_pushresult(&out);
	lua_pushboolean(L, closed);
	lua_pushboolean(L, reset);
	return 3;
}

/* raw_drop(descriptor, whether): all that comes is lost */
static int raw_drop_(lua_State *L)
{
	int fd = (int)luaL_checkinteger(L, 1);
	struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog program = { 1, &drop };
	int none = 0;

	if (lua_toboolean(L, 2))
		setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
			   sizeof(program));
	else
		setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &none,
			   sizeof(none));
	return 0;
}

static int raw_half_close_(lua_State *L)
{
	shutdown((int)luaL_checkinteger(L, 1), SHUT_WR);
	return 0;
}

static int raw_close_(lua_State *L)
{
	close((int)luaL_checkinteger(L, 1));
	return 0;
}

void register_raw_socket_functions(lua_State *L)
{
	lua_register(L, "raw_open", raw_open_);
	lua_register(L, "raw_send", raw_send_);
	lua_register(L, "raw_read", raw_read_);
	lua_register(L, "raw_drop", raw_drop_);
	lua_register(L, "raw_half_close", raw_half_close_);
	lua_register(L, "raw_close", raw_close_);
}
