// A TCP proxy on loopback that injects faults into the connections that pass through it.
#ifndef JAYTRACK_TESTS_PROCESSSOAK_FAULTPROXY_H
#define JAYTRACK_TESTS_PROCESSSOAK_FAULTPROXY_H

#include <asio.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace jaytrack::soak {

enum class LinkFault {
    None,
    Delay,       // each read is passed on later
    Silence,     // nothing passes, nothing is closed
    SilenceBack, // only what comes back is held
    Reset,       // open connections and new ones are reset
    Down         // open connections are closed in order, new ones are refused
};

class FaultProxy
{
public:
    // Passes on to the port of this machine. Runs on the context's thread.
    FaultProxy(asio::io_context &context, std::uint16_t toPort);

    std::uint16_t port() const { return this->own.port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->port()); }

    // May be called from any thread.
    void setFault(LinkFault fault);

private:
    class Link;

    void accept();
    void listenAgain();

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint own;
    asio::ip::tcp::endpoint target;
    LinkFault fault = LinkFault::None;
    std::set<std::shared_ptr<Link>> links;
};

} // namespace jaytrack::soak

#endif
