#include "jaytrack/Net/socket.h"

#include <asio/ip/address.hpp>

#include <netinet/tcp.h>

#include <charconv>

namespace jaytrack {

namespace {

// A peer counts as lost when it leaves three probes, sent one second apart, unanswered or leaves
// sent bytes unacknowledged for as long. This is shorter than the time that callers wait for the
// next event of a stream (7 s by specification) and longer than any stall of a lossy link between
// data centres.
constexpr int probeIdleSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int maxUnansweredProbes = 3;
constexpr int maxUnacknowledgedMilliseconds = 4000;

void setOption(int descriptor, int level, int name, int value)
{
    // A socket without the option still works; it only takes longer to detect a lost peer.
    (void)::setsockopt(descriptor, level, name, &value, sizeof(value));
}

} // namespace

void prepareSocket(asio::ip::tcp::socket &socket)
{
    prepareDescriptor(socket.native_handle());
}

void prepareDescriptor(int descriptor)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probeIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, maxUnansweredProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, maxUnacknowledgedMilliseconds);
}

Result<asio::ip::tcp::endpoint> parseEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    const Error bad{ResultCode::SettingsOutOfRange, std::string(address) + " is not IP:PORT"};
    if (colon == std::string_view::npos)
        return bad;
    std::uint16_t port = 0;
    const std::string_view digits = address.substr(colon + 1);
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failure != std::errc() || end != digits.data() + digits.size())
        return bad;
    // The parser of the system ends at a NUL and ignores what follows.
    const std::string host(address.substr(0, colon));
    if (host.find('\0') != std::string::npos)
        return bad;
    asio::error_code code;
    const auto ip = asio::ip::make_address(host, code);
    if (code)
        return bad;
    return asio::ip::tcp::endpoint(ip, port);
}

} // namespace jaytrack
