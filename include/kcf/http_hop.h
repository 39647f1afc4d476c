/*
 * http_hop - headers that concern one connection only (RFC 9110, 7.6.1).
 */
#ifndef KCF_HTTP_HOP_H
#define KCF_HTTP_HOP_H

#include <kcf/str.h>

/*
 * http_hop_header - whether a header must not be passed on.
 * @connection: value of the message's Connection header, which names further
 *              ones, or an empty view
 */
bool http_hop_header(const char *name, str_t connection);

#endif
