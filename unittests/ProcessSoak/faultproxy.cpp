#include "faultproxy.h"

#include <array>

namespace jaytrack::soak {

namespace {

constexpr std::chrono::milliseconds passDelay{60};

// How often held bytes look whether the fault is over.
constexpr std::chrono::milliseconds lookGap{20};

void closeByReset(asio::ip::tcp::socket &socket)
{
    asio::error_code ignored; // the peer may have closed it already
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

// One connection with its way there and its way back.
class FaultProxy::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(FaultProxy &of, asio::ip::tcp::socket accepted)
        : proxy(of)
        , near(std::move(accepted))
        , far(of.context)
    {
    }

    void start()
    {
        this->far.async_connect(this->proxy.target,
                                [self = this->shared_from_this()](const asio::error_code &failure) {
                                    if (failure)
                                        return self->end(true);
                                    self->there.pump(self, self->near, self->far, true);
                                    self->back.pump(self, self->far, self->near, false);
                                });
    }

    void end(bool reset)
    {
        if (this->over)
            return;
        this->over = true;
        asio::error_code ignored; // closing what is closed already
        if (reset) {
            closeByReset(this->near);
            closeByReset(this->far);
        }
        this->near.close(ignored);
        this->far.close(ignored);
        this->proxy.links.erase(this->shared_from_this());
    }

private:
    // One direction: reads, holds as the fault says, writes.
    struct Way
    {
        void pump(const std::shared_ptr<Link> &link, asio::ip::tcp::socket &from,
                  asio::ip::tcp::socket &to, bool forth)
        {
            from.async_read_some(asio::buffer(this->buffer),
                                 [this, link, &from, &to, forth](const asio::error_code &failure,
                                                                 std::size_t bytes) {
                                     if (failure)
                                         return link->end(failure != asio::error::eof);
                                     this->pass(link, from, to, forth, bytes,
                                                link->proxy.fault == LinkFault::Delay
                                                        ? passDelay
                                                        : std::chrono::milliseconds(0));
                                 });
        }

        void pass(const std::shared_ptr<Link> &link, asio::ip::tcp::socket &from,
                  asio::ip::tcp::socket &to, bool forth, std::size_t bytes,
                  std::chrono::milliseconds after)
        {
            const auto timer = std::make_shared<asio::steady_timer>(link->proxy.context, after);
            timer->async_wait(
                    [this, link, &from, &to, forth, bytes, timer](const asio::error_code &) {
                        if (link->over)
                            return;
                        const LinkFault now = link->proxy.fault;
                        if (now == LinkFault::Silence || (now == LinkFault::SilenceBack && !forth))
                            return this->pass(link, from, to, forth, bytes, lookGap);
                        asio::async_write(to, asio::buffer(this->buffer, bytes),
                                          [this, link, &from, &to,
                                           forth](const asio::error_code &failure, std::size_t) {
                                              if (failure)
                                                  return link->end(true);
                                              this->pump(link, from, to, forth);
                                          });
                    });
        }

        std::array<char, 16384> buffer{};
    };

    FaultProxy &proxy;
    asio::ip::tcp::socket near;
    asio::ip::tcp::socket far;
    Way there;
    Way back;
    bool over = false;
};

FaultProxy::FaultProxy(asio::io_context &loop, std::uint16_t toPort)
    : context(loop)
    , acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0})
    , own(this->acceptor.local_endpoint())
    , target(asio::ip::make_address("127.0.0.1"), toPort)
{
    this->accept();
}

void FaultProxy::accept()
{
    this->acceptor.async_accept(
            [this](const asio::error_code &failure, asio::ip::tcp::socket accepted) {
                if (failure)
                    return;
                if (this->fault == LinkFault::Reset) {
                    closeByReset(accepted);
                } else {
                    const auto link = std::make_shared<Link>(*this, std::move(accepted));
                    this->links.insert(link);
                    link->start();
                }
                this->accept();
            });
}

void FaultProxy::setFault(LinkFault wanted)
{
    asio::post(this->context, [this, wanted] {
        this->fault = wanted;
        asio::error_code ignored; // it is down already
        if (wanted == LinkFault::Down)
            this->acceptor.close(ignored);
        else if (!this->acceptor.is_open())
            this->listenAgain();
        if (wanted != LinkFault::Reset && wanted != LinkFault::Down)
            return;
        const auto open = this->links;
        for (const auto &link : open)
            link->end(wanted == LinkFault::Reset);
    });
}

void FaultProxy::listenAgain()
{
    this->acceptor.open(this->own.protocol());
    this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    this->acceptor.bind(this->own);
    this->acceptor.listen();
    this->accept();
}

} // namespace jaytrack::soak
