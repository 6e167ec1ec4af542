// Answers that end in the middle, for tests of clients.
#ifndef JAYTRACK_TESTS_CUTANSWERS_H
#define JAYTRACK_TESTS_CUTANSWERS_H

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>

#include <asio.hpp>

namespace jaytrack::testing {

// A whole answer, which is sent up to each of its bytes.
struct CutAnswer
{
    char name[32];
    char method[8];
    char text[176];
    int status;
    bool endsWithConnection; // so that only cuts inside its head can be told
};

inline constexpr CutAnswer cutAnswers[] = {
        {"length", "GET",
         "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello", 200,
         false},
        {"chunks", "GET",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 200,
         false},
        {"trailer", "GET",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-T: y\r\n\r\n",
         200, false},
        {"behind an interim answer", "GET",
         "HTTP/1.1 100 Continue\r\nX-I: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
         200, false},
        {"no length", "GET", "HTTP/1.1 200 OK\r\nX-Server: a\r\n\r\nhello", 200, true},
        {"no body", "GET", "HTTP/1.1 204 No Content\r\nX-Server: a\r\n\r\n", 204, false},
        {"empty body", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, false},
        {"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 200, false},
        {"failure", "GET", "HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", 503,
         false},
};

// Whether the part of the answer can be told from the whole one.
inline bool isToldFromWhole(const CutAnswer &answer, std::size_t sent)
{
    const std::string_view text(answer.text);
    if (sent >= text.size())
        return false;
    return !answer.endsWithConnection || sent < text.find("\r\n\r\n") + 4;
}

// A status line whose number is no status of HTTP.
struct ForeignStatus
{
    char number[4];
    char rest[80]; // of the answer, which ends with its connection
};

inline constexpr ForeignStatus foreignStatuses[] = {
        {"000", "\r\n\r\nhello"},
        {"000", "\r\nContent-Length: 5\r\n\r\nhello"},
        {"000", "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
        {"000", "\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhello"},
        {"099", "\r\n\r\nhello"},
        {"099", "\r\nContent-Length: 5\r\n\r\nhello"},
        {"600", "\r\nContent-Length: 5\r\n\r\nhello"},
        {"700", "\r\n\r\nhello"},
        {"700", "\r\nContent-Length: 5\r\n\r\nhello"},
        {"999", "\r\nContent-Length: 5\r\n\r\nhello"},
};

inline std::string textOf(const ForeignStatus &answer)
{
    return std::string("HTTP/1.1 ") + answer.number + " S" + answer.rest;
}

// A line in the head of an answer that is no header of HTTP.
struct ForeignLine
{
    char name[32];
    char line[48];
    std::size_t size; // of the line, which may hold a NUL
};

template <std::size_t Size>
constexpr ForeignLine foreignLine(const char *name, const char (&line)[Size])
{
    ForeignLine made{};
    for (std::size_t i = 0; name[i] != 0; ++i)
        made.name[i] = name[i];
    for (std::size_t i = 0; i < Size; ++i)
        made.line[i] = line[i];
    made.size = Size - 1;
    return made;
}

inline constexpr ForeignLine foreignLines[] = {
        foreignLine("blank in a name", "X A: a"),
        foreignLine("blank before the colon", "X-A : a"),
        foreignLine("blank before the name", " X-A: a"),
        foreignLine("tab in a name", "X\tA: a"),
        foreignLine("control byte in a name", "X\x01"
                                              "A: a"),
        foreignLine("NUL in a name", "X\0A: a"),
        foreignLine("delete in a name", "X\x7f"
                                        "A: a"),
        foreignLine("high byte in a name", "X\xe9"
                                           "A: a"),
        foreignLine("empty name", ": a"),
        foreignLine("no colon", "X-A"),
        foreignLine("length with a blank", "Content-Length : 2"),
        foreignLine("encoding with a blank", "Transfer-Encoding : chunked"),
        foreignLine("control byte in a value", "X-A: a\x01"
                                               "b"),
        foreignLine("return in a value", "X-A: a\rb"),
        foreignLine("NUL in a value", "X-A: a\0b"),
};

// An answer of which the line is the first or the last one of the head, or a trailer.
enum class LinePlace { First, Last, Trailer };

inline std::string textWith(const ForeignLine &foreign, LinePlace place)
{
    const std::string line = std::string(foreign.line, foreign.size) + "\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\n";
    if (place == LinePlace::Trailer)
        return head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + line + "\r\n";
    const std::string length = "Content-Length: 5\r\n";
    const bool isFirst = place == LinePlace::First;
    return head + (isFirst ? line + length : length + line) + "\r\nhello";
}

// A caller uploads more than the buffers of a connection hold.
inline constexpr std::size_t longUploadBytes = 8U << 20U;

// An answer without a length that is sent before its request has been read, and reset.
struct UploadReset
{
    char name[24];
    int delayMillis; // from the answer to the reset
};

inline constexpr UploadReset uploadResets[] = {
        {"at once", 0}, {"soon", 3}, {"later", 60}, {"after a while", 300}};

inline constexpr std::string_view unframedPart =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n\r\npart";

// Accepts one connection, sends the bytes after the head of a request, and closes the connection.
class CuttingServer
{
public:
    // The end comes so long after the bytes; if it is a reset, they arrive before it does.
    CuttingServer(std::string bytes, bool resets,
                  std::chrono::milliseconds delay = std::chrono::milliseconds(2))
        : acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0})
        , thread([this, text = std::move(bytes), resets, delay] {
            this->serve(text, resets, delay);
        })
    {
    }

    ~CuttingServer() { this->thread.join(); }
    CuttingServer(const CuttingServer &) = delete;
    CuttingServer &operator=(const CuttingServer &) = delete;

    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    void serve(const std::string &bytes, bool resets, std::chrono::milliseconds delay)
    {
        asio::error_code failure;
        asio::ip::tcp::socket socket = this->acceptor.accept(failure);
        asio::streambuf request;
        asio::read_until(socket, request, "\r\n\r\n", failure);
        asio::write(socket, asio::buffer(bytes), failure);
        if (resets) {
            std::this_thread::sleep_for(delay);
            socket.set_option(asio::socket_base::linger(true, 0), failure);
        }
        socket.close(failure);
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

} // namespace jaytrack::testing

#endif
