// Whether anybody listens at an address, asked without sending a byte.
#ifndef JAYTRACK_NET_CONNECTCHECK_H
#define JAYTRACK_NET_CONNECTCHECK_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <functional>

namespace jaytrack {

enum class Listening {
    Yes,
    Refused, // the machine answers, and no process listens there
    Unknown  // no answer in time, or no way there
};

// Calls the function once, from the context's loop.
void checkListening(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint,
                    std::chrono::milliseconds bound, std::function<void(Listening)> done);

} // namespace jaytrack

#endif
