// Callers that take their answers slowly, so that these wait in the instance.
#ifndef JAYTRACK_TESTS_SLOWCALLER_H
#define JAYTRACK_TESTS_SLOWCALLER_H

#include <asio.hpp>

#include <cstdint>
#include <string>

namespace jaytrack::testing {

// A connection whose receiving end takes little into its own system.
asio::ip::tcp::socket connectNarrow(asio::io_context &context, std::uint16_t port);

// The bytes that the system takes from a sender whose peer, connected like that, reads nothing.
std::size_t unreadBytesTaken();

// All that comes until the connection ends.
std::string readToEnd(asio::ip::tcp::socket &socket);

} // namespace jaytrack::testing

#endif
