// An address on loopback that no connection can be made to.
#ifndef JAYTRACK_TESTS_UNREACHABLEPORT_H
#define JAYTRACK_TESTS_UNREACHABLEPORT_H

#include <asio.hpp>

#include <list>
#include <string>

namespace jaytrack::testing {

enum class LinkLoss {
    Refused, // connections are reset at once
    Silent   // connections are neither accepted nor refused
};

// Keeps its port, so that nothing else comes to listen there.
class UnreachablePort
{
public:
    explicit UnreachablePort(LinkLoss loss);

    std::string address() const;

private:
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::list<asio::ip::tcp::socket> waiting; // fill the queue of the listener
};

} // namespace jaytrack::testing

#endif
