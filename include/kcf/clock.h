/*
 * clock - the time base of all deadlines in a process.
 *
 * Deadlines are absolute milliseconds of CLOCK_BOOTTIME, which advances while
 * the host is suspended, so that a process that was paused sees that its leases
 * have expired. Wall time is for records that other hosts read.
 */
#ifndef KCF_CLOCK_H
#define KCF_CLOCK_H

#include <stdint.h>

/* Absolute time in milliseconds. */
typedef int64_t mstime_t;

#define MSEC_PER_SEC 1000LL
/* A deadline that is never reached. */
#define MSTIME_NEVER INT64_MAX

/*
 * clock_now - current time of CLOCK_BOOTTIME.
 *
 * Return: milliseconds since boot.
 */
mstime_t clock_now(void);

/*
 * clock_now_us - current time of CLOCK_BOOTTIME in microseconds.
 *
 * Return: microseconds since boot.
 */
int64_t clock_now_us(void);

/*
 * clock_wall - current wall time.
 *
 * Return: milliseconds since the epoch, UTC.
 */
mstime_t clock_wall(void);

#endif
