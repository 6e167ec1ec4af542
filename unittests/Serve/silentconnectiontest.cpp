// Connections of the daemon's HTTP client that fall silent.
#include "jaytrack/Http/client.h"
#include "jaytrack/Net/socket.h"

#include <asio.hpp>
#include <criterion/criterion.h>

#include <netinet/tcp.h>

#include <chrono>
#include <optional>
#include <thread>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

constexpr int maxDescriptors = 1024;

// Returns the user timeout of this process's socket that is connected to the port, in milliseconds.
std::optional<int> userTimeoutTowards(std::uint16_t port)
{
    for (int descriptor = 0; descriptor < maxDescriptors; ++descriptor) {
        sockaddr_in peer{};
        socklen_t size = sizeof(peer);
        const bool connected =
                ::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0;
        if (!connected || peer.sin_family != AF_INET || ntohs(peer.sin_port) != port)
            continue;
        int value = 0;
        socklen_t valueSize = sizeof(value);
        if (::getsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, &valueSize) == 0)
            return value;
    }
    return std::nullopt;
}

class Ignorer final : public HttpCallListener
{
public:
    void onHeaders(int, std::span<const HttpHeader>) override {}
    bool onData(std::string_view) override { return true; }
    void onEnd(const HttpCallEnd &) override {}
};

} // namespace

// Guards against a stream that waits for good on a connection that fell silent without a reset.
Test(httpClient, noticesSilentConnections)
{
    asio::io_context context;
    asio::ip::tcp::acceptor server(context, {asio::ip::make_address("127.0.0.1"), 0});
    const std::uint16_t port = server.local_endpoint().port();
    HttpClient client(1);
    HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    client.start(std::move(call), std::make_shared<Ignorer>());
    const asio::ip::tcp::socket accepted = server.accept();
    std::optional<int> timeout;
    const auto end = std::chrono::steady_clock::now() + 3s;
    while (!timeout && std::chrono::steady_clock::now() < end)
        timeout = userTimeoutTowards(port);
    cr_assert(timeout.has_value());
    cr_expect(*timeout >= 2000 && *timeout <= 5000, "%d ms", *timeout);
}
