// What all TCP sockets of an instance have in common.
#ifndef JAYTRACK_NET_SOCKET_H
#define JAYTRACK_NET_SOCKET_H

#include "jaytrack/Support/result.h"

#include <asio/ip/tcp.hpp>

#include <string_view>

namespace jaytrack {

// Sets the options of an open connection: no delay, and limits after which a silent peer counts as
// lost. A connection may fall silent without a reset; without these limits whoever waits on it
// waits until its own deadline.
void prepareSocket(asio::ip::tcp::socket &socket);

// Reads IP:PORT.
Result<asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

} // namespace jaytrack

#endif
