#include "jaytrack/Net/connectcheck.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace jaytrack {

namespace {

struct Check : public std::enable_shared_from_this<Check>
{
    Check(asio::io_context &context, std::function<void(Listening)> callback)
        : socket(context)
        , timer(context)
        , done(std::move(callback))
    {
    }

    void end(Listening found)
    {
        if (!this->done)
            return;
        asio::error_code ignored; // nothing was sent, so no data can be lost
        this->timer.cancel();
        this->socket.close(ignored);
        std::exchange(this->done, nullptr)(found);
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::function<void(Listening)> done;
};

Listening concludeFrom(const asio::error_code &failure)
{
    if (!failure)
        return Listening::Yes;
    return failure == asio::error::connection_refused ? Listening::Refused : Listening::Unknown;
}

} // namespace

void checkListening(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint,
                    std::chrono::milliseconds bound, std::function<void(Listening)> done)
{
    const auto check = std::make_shared<Check>(context, std::move(done));
    check->timer.expires_after(bound);
    check->timer.async_wait([check](const asio::error_code &failure) {
        if (!failure)
            check->end(Listening::Unknown);
    });
    check->socket.async_connect(endpoint, [check](const asio::error_code &failure) {
        check->end(concludeFrom(failure));
    });
}

} // namespace jaytrack
