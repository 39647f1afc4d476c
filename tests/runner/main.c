/*
 * kcf-scenario - runs a scenario written in Lua.
 *
 * usage: kcf-scenario --bin DIR --words FILE --net N SCENARIO
 * Exit status 0 if the scenario passed.
 */
#include "functions.h"

#include <curl/curl.h>
#include <lualib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

static int traceback_(lua_State *L)
{
	luaL_traceback(L, L, lua_tostring(L, 1), 1);
	return 1;
}

static int run_file_(lua_State *L, const char *file)
{
	int base;

	lua_pushcfunction(L, traceback_);
	base = lua_gettop(L);
	if (luaL_loadfile(L, file) || lua_pcall(L, 0, 0, base)) {
		fprintf(stderr, "%s\n", lua_tostring(L, -1));
		return 1;
	}
	return 0;
}

int main(int argc, char **argv)
{
	lua_State *L = luaL_newstate();
	const char *words = NULL;
	const char *scenario = NULL;
	int status;

	luaL_openlibs(L);
	for (int i = 1; i < argc; i++) {
		if (!strcmp(argv[i], "--words") && i + 1 < argc) {
			words = argv[++i];
		} else if (!strncmp(argv[i], "--", 2) && i + 1 < argc) {
			lua_pushstring(L, argv[i + 1]);
			lua_setglobal(L, argv[i++] + 2);
		} else {
			scenario = argv[i];
		}
	}
	if (!words || !scenario) {
		fprintf(stderr, "usage: kcf-scenario --bin DIR --words FILE "
				"--net N SCENARIO\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0)
		return 2;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	register_process_functions(L);
	register_http_functions(L);
	register_raw_socket_functions(L);
	status = run_file_(L, words);
	if (!status)
		status = run_file_(L, scenario);
	kill_remaining_processes();
	lua_close(L);
	curl_global_cleanup();
	printf("%s %s\n", status ? "FAILED" : "ok", scenario);
	return status;
}
