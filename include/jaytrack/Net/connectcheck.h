// Checks whether a process listens at an address by opening a connection, without sending any
// bytes.
#ifndef JAYTRACK_NET_CONNECTCHECK_H
#define JAYTRACK_NET_CONNECTCHECK_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <functional>

namespace jaytrack {

enum class Listening {
    Yes,
    Refused, // the machine is reachable, but no process listens at the port
    Unknown  // no reply within the time limit, or the address is unreachable
};

// Calls done once, from the context's event loop.
void checkListening(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint,
                    std::chrono::milliseconds bound, std::function<void(Listening)> done);

} // namespace jaytrack

#endif
