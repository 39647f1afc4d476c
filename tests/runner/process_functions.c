#include "functions.h"

#include <fcntl.h>
#include <kcf/clock.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROCESSES_MAX 512
#define ARGUMENTS_MAX 64

static pid_t processes[PROCESSES_MAX];
static int process_count;

static void remove_process_(pid_t pid)
{
	for (int i = 0; i < process_count; i++) {
		if (processes[i] == pid)
			processes[i--] = processes[--process_count];
	}
}

/* spawn({program, argument...}, log_file [, output_file]) -> pid */
static int spawn_(lua_State *L)
{
	char *argv[ARGUMENTS_MAX + 1] = { NULL };
	const char *log = luaL_checkstring(L, 2);
	const char *out = luaL_optstring(L, 3, log);
	lua_Integer n = luaL_len(L, 1);
	pid_t pid;

	luaL_argcheck(L, n > 0 && n <= ARGUMENTS_MAX, 1, "arguments");
	luaL_argcheck(L, process_count < PROCESSES_MAX, 1, "too many");
	for (lua_Integer i = 1; i <= n; i++) {
		lua_geti(L, 1, i);
		/* The string lives as long as the table that holds it. */
		argv[i - 1] = (char *)luaL_checkstring(L, -1);
		lua_pop(L, 1);
	}
	pid = fork();
	if (pid == 0 && argv[0]) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		int fd_out = open(out, O_WRONLY | O_CREAT | O_APPEND, 0644);

		/* No process outlives a runner that died. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd_out, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execv(argv[0], argv);
		_exit(127);
	}
	if (pid < 0)
		return luaL_error(L, "cannot fork");
	processes[process_count++] = pid;
	lua_pushinteger(L, pid);
	return 1;
}

/* kill_process(pid, signal) */
static int kill_(lua_State *L)
{
	kill((pid_t)luaL_checkinteger(L, 1), (int)luaL_checkinteger(L, 2));
	return 0;
}

/* exited(pid) -> exit status, negated signal, or nil while it runs */
static int exited_(lua_State *L)
{
	pid_t pid = (pid_t)luaL_checkinteger(L, 1);
	int status;

	if (waitpid(pid, &status, WNOHANG) != pid)
		return 0;
	remove_process_(pid);
	lua_pushinteger(L, WIFEXITED(status) ? WEXITSTATUS(status)
					     : -WTERMSIG(status));
	return 1;
}

static int now_(lua_State *L)
{
	lua_pushinteger(L, clock_now());
	return 1;
}

static int wall_(lua_State *L)
{
	lua_pushinteger(L, clock_wall());
	return 1;
}

static int sleep_(lua_State *L)
{
	lua_Integer ms = luaL_checkinteger(L, 1);
	struct timespec ts = { ms / MSEC_PER_SEC,
			       (ms % MSEC_PER_SEC) * 1000000 };

	nanosleep(&ts, NULL);
	return 0;
}

void register_process_functions(lua_State *L)
{
	lua_register(L, "spawn", spawn_);
	lua_register(L, "kill_process", kill_);
	lua_register(L, "exited", exited_);
	lua_register(L, "now_ms", now_);
	lua_register(L, "wall_ms", wall_);
	lua_register(L, "sleep_ms", sleep_);
}

void kill_remaining_processes(void)
{
	for (int i = 0; i < process_count; i++) {
		kill(processes[i], SIGCONT);
		kill(processes[i], SIGKILL);
	}
	for (int i = 0; i < process_count; i++)
		waitpid(processes[i], NULL, 0);
	process_count = 0;
}
