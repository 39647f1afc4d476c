/*
 * functions - Lua functions for scenarios that are implemented in C.
 */
#ifndef KCF_SCENARIO_FUNCTIONS_H
#define KCF_SCENARIO_FUNCTIONS_H

#include <lauxlib.h>
#include <lua.h>

/* Registers spawn, kill_process, exited, now_ms, wall_ms and sleep_ms. */
void register_process_functions(lua_State *L);
/*
 * Registers http_all, http_start, http_finish, json_decode, json_encode,
 * toml_decode and sha256.
 */
void register_http_functions(lua_State *L);
/* Registers raw_open, raw_send, raw_read, raw_half_close and raw_close. */
void register_raw_socket_functions(lua_State *L);
/* Kills and reaps every process that the scenario left running. */
void kill_remaining_processes(void);

#endif
