/*
 * words - functions of the scenario language that need C.
 */
#ifndef KCF_SCENARIO_FUNCTIONS_H
#define KCF_SCENARIO_FUNCTIONS_H

#include <lauxlib.h>
#include <lua.h>

/* Adds spawn, kill_process, exited, now_ms and sleep_ms. */
void register_process_functions(lua_State *L);
/* Adds http, json_encode, json_decode and sha256. */
void register_http_functions(lua_State *L);
/* Adds raw_open, raw_read, raw_half_close and raw_close. */
void register_raw_socket_functions(lua_State *L);
/* Ends every process that a scenario left running. */
void kill_remaining_processes(void);

#endif
