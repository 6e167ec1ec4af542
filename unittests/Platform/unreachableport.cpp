#include "unreachableport.h"

namespace jaytrack::testing {

namespace {

// More than a listener without a queue holds; further connections get no answer.
constexpr int connectionsToFillQueue = 4;

} // namespace

UnreachablePort::UnreachablePort(LinkLoss loss)
    : acceptor(this->context)
{
    const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    this->acceptor.open(any.protocol());
    this->acceptor.bind(any);
    if (loss == LinkLoss::Refused)
        return;
    this->acceptor.listen(0);
    for (int i = 0; i < connectionsToFillQueue; ++i) {
        asio::ip::tcp::socket &socket = this->waiting.emplace_back(this->context);
        // A connection in progress is enough, so nothing waits for it.
        socket.async_connect(this->acceptor.local_endpoint(), [](const asio::error_code &) {});
    }
}

std::string UnreachablePort::address() const
{
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

} // namespace jaytrack::testing
