/*
 * clock - the time base of every deadline in a process.
 *
 * Deadlines are absolute milliseconds of CLOCK_BOOTTIME, which goes on while
 * the host is suspended; a paused process therefore sees that its leases have
 * lapsed. Wall time is for records that other hosts read.
 */
#ifndef KCF_CLOCK_H
#define KCF_CLOCK_H

#include <stdint.h>

/* Absolute time in milliseconds. */
typedef int64_t mstime_t;

#define MSEC_PER_SEC 1000LL
/* A deadline that never comes. */
#define MSTIME_NEVER INT64_MAX

/*
 * clock_now - present time of CLOCK_BOOTTIME.
 *
 * Return: milliseconds since boot.
 */
mstime_t clock_now(void);

/*
 * clock_now_us - present time of CLOCK_BOOTTIME at a finer grain.
 *
 * Return: microseconds since boot.
 */
int64_t clock_now_us(void);

/*
 * clock_wall - present wall time.
 *
 * Return: milliseconds since the epoch, UTC.
 */
mstime_t clock_wall(void);

#endif
