// The options of open connections, and their addresses.
#include "jaytrack/Net/socket.h"

#include <criterion/criterion.h>

#include <netinet/tcp.h>

#include <string_view>

using namespace jaytrack;

namespace {

int optionOf(asio::ip::tcp::socket &socket, int name)
{
    int value = 0;
    socklen_t size = sizeof(value);
    cr_assert_eq(::getsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, &size), 0);
    return value;
}

} // namespace

// Guards against a user timeout that ends a silent connection earlier or later than its keep-alive
// probes are meant to, since it decides when they give up, whatever their count.
Test(socket, userTimeoutAgreesWithKeepAlive)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
    prepareSocket(socket);
    const int probing = optionOf(socket, TCP_KEEPIDLE) +
                        optionOf(socket, TCP_KEEPINTVL) * optionOf(socket, TCP_KEEPCNT);
    cr_expect(optionOf(socket, TCP_USER_TIMEOUT) == probing * 1000);
}

// Guards against a target that is silent for a second being taken for lost.
Test(socket, outlastsASecondOfSilence)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
    prepareSocket(socket);
    cr_expect(optionOf(socket, TCP_USER_TIMEOUT) >= 2000);
}

// Guards against addresses that go on after a NUL, which reach a log or a head as a whole though
// only their beginning was read.
Test(socket, addressWithNulIsNoAddress)
{
    using namespace std::string_view_literals;
    cr_assert(parseEndpoint("10.0.0.1:80").has_value());
    cr_assert_not(parseEndpoint("10.0.0.1\0\r\nX-Injected: 1:80"sv).has_value());
    cr_assert_not(parseEndpoint("10.0.0.1\0:80"sv).has_value());
}
