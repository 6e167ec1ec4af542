// Socket options and address parsing shared by all TCP connections of an instance.
#ifndef JAYTRACK_NET_SOCKET_H
#define JAYTRACK_NET_SOCKET_H

#include "jaytrack/Support/result.h"

#include <asio/ip/tcp.hpp>

#include <string_view>

namespace jaytrack {

// Sets the options of an open connection: TCP_NODELAY, and limits after which an unresponsive peer
// counts as lost. A connection may become unresponsive without a reset; without these limits, code
// that waits on it would wait until its own deadline.
void prepareSocket(asio::ip::tcp::socket &socket);

// The same for the descriptor of a socket that another library owns.
void prepareDescriptor(int descriptor);

// Parses IP:PORT.
Result<asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

} // namespace jaytrack

#endif
