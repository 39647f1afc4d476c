/*
 * socket_bounds - how much the kernel buffers for a TCP connection.
 */
#ifndef KCF_SOCKET_BOUNDS_H
#define KCF_SOCKET_BOUNDS_H

/*
 * socket_bounds_set - sets them before a connection is opened; accepted ones
 * inherit the listener's. A bound of 0 is left to the kernel, which takes up to
 * some megabytes.
 * @unsent_max: bytes that are taken and cannot be sent yet. What is on its way
 *              does not count, so that a fast peer is not slowed.
 * @unread_max: bytes of the receive buffer; also bounds what is on its way
 */
void socket_bounds_set(int fd, int unsent_max, int unread_max);

#endif
