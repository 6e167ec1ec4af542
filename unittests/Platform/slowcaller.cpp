#include "slowcaller.h"

#include <netinet/tcp.h>

#include <chrono>
#include <thread>

namespace jaytrack::testing {

asio::ip::tcp::socket connectNarrow(asio::io_context &context, std::uint16_t port)
{
    constexpr int smallBuffer = 4096;
    constexpr int smallSegment = 536;
    asio::ip::tcp::socket socket(context);
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(smallBuffer));
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &smallSegment,
                 sizeof(smallSegment));
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    return socket;
}

std::size_t unreadBytesTaken()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    const auto reader = connectNarrow(context, acceptor.local_endpoint().port());
    asio::ip::tcp::socket sender = acceptor.accept();
    sender.non_blocking(true);
    const std::string block(4096, 'x');
    std::size_t taken = 0;
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
    while (std::chrono::steady_clock::now() < end) {
        asio::error_code full;
        taken += sender.write_some(asio::buffer(block), full);
        if (full)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return taken;
}

std::string readToEnd(asio::ip::tcp::socket &socket)
{
    std::string seen;
    std::array<char, 4096> buffer{};
    asio::error_code failure;
    while (!failure) {
        const std::size_t bytes = socket.read_some(asio::buffer(buffer), failure);
        seen.append(buffer.data(), bytes);
    }
    return seen;
}

} // namespace jaytrack::testing
