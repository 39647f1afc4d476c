/*
 * words - functions of the scenario language that need C.
 */
#ifndef KCF_WORDS_H
#define KCF_WORDS_H

#include <lauxlib.h>
#include <lua.h>

/* Adds spawn, kill_process, exited, now_ms and sleep_ms. */
void process_words(lua_State *L);
/* Adds http, json_encode, json_decode and sha256. */
void http_words(lua_State *L);
/* Adds raw_open, raw_read, raw_half_close and raw_close. */
void raw_words(lua_State *L);
/* Ends every process that a scenario left running. */
void process_cleanup(void);

#endif
