#include "caller.h"

#include "jaytrack/Net/httpparser.h"
#include "platformdocuments.h"

#include <array>

namespace jaytrack::soak {

namespace {

constexpr std::size_t mostHeadBytes = 32768;
constexpr std::chrono::milliseconds connectPatience{1000};

std::string pathOf(WorkKind kind)
{
    switch (kind) {
    case WorkKind::Once:
        return "/once/1";
    case WorkKind::Repeatable:
        return "/read/1";
    case WorkKind::OnceStream:
        return "/draft/1";
    case WorkKind::RepeatableStream:
        break;
    }
    return "/check/1";
}

} // namespace

std::string workRequest(const std::string &id, const Work &work, const std::string &key)
{
    testing::RequestSpec spec;
    spec.path = (work.lasting ? lastingPrefix : "") + pathOf(work.kind);
    if (work.lasting)
        spec.deadlineMs = static_cast<int>(lastingLimit.count());
    spec.id = id;
    spec.key = key;
    spec.keepOpen = true;
    spec.body = "prompt of " + id;
    spec.extraHeaders = "X-Prefix-Hash: 5a:80,";
    if (!work.deadlyPart.empty())
        spec.extraHeaders += work.deadlyPart + ":50,";
    spec.extraHeaders += "1:100\r\n";
    if (!work.deadlyPart.empty())
        spec.extraHeaders += std::string(deadlyPartName) + ": " + work.deadlyPart + "\r\n";
    return testing::requestText(spec);
}

struct CallerLine::State final : public MessageReceiver
{
    State()
        : socket(this->context)
        , parser(HttpMessageParser::MessageKind::Answers, *this, mostHeadBytes)
    {
    }

    // Runs until the step is done or the time is over.
    void runFor(std::chrono::milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        this->stepDone = false;
        this->context.restart();
        while (!this->stepDone && std::chrono::steady_clock::now() < end)
            this->context.run_one_until(end);
    }

    void onHead(MessageHead head) override
    {
        this->seen.status = head.status;
        this->seen.stamped = !head.header("X-Server-Stamp").empty();
        this->seen.answeredId = head.header("X-Attempt-Id");
        this->keepOpen = head.keepAlive;
    }
    void onBody(std::string_view bytes) override { this->seen.body += bytes; }
    void onMessageEnd() override { this->seen.whole = true; }

    void read()
    {
        this->socket.async_read_some(
                asio::buffer(this->buffer),
                [this](const asio::error_code &failure, std::size_t bytes) {
                    if (failure) {
                        if (failure == asio::error::eof && !this->seen.whole &&
                            this->parser.inMessage() && this->parser.finish())
                            this->seen.whole = true;
                        this->open = false;
                        this->stepDone = true;
                        return;
                    }
                    const std::string_view fresh(this->buffer.data(), bytes);
                    const HttpMessageParser::FeedResult fed = this->parser.feed(fresh);
                    this->seen.extraBytes = this->seen.whole && fed.consumed < bytes;
                    this->stepDone = this->seen.whole || fed.state == ParseState::Malformed;
                    if (!this->stepDone)
                        this->read();
                });
    }

    asio::io_context context;
    asio::ip::tcp::socket socket;
    HttpMessageParser parser;
    std::array<char, 16384> buffer{};
    CallerSaw seen;
    bool keepOpen = true;
    bool open = false;
    bool stepDone = false;
};

CallerLine::CallerLine(std::uint16_t port)
    : state(std::make_unique<State>())
{
    State &line = *this->state;
    line.socket.async_connect({asio::ip::make_address("127.0.0.1"), port},
                              [&line](const asio::error_code &failure) {
                                  line.open = !failure;
                                  line.stepDone = true;
                              });
    line.runFor(connectPatience);
}

CallerLine::~CallerLine() = default;

bool CallerLine::isOpen() const
{
    return this->state->open && this->state->keepOpen;
}

CallerSaw CallerLine::exchange(const std::string &request, std::chrono::milliseconds patience)
{
    State &line = *this->state;
    line.seen = {};
    asio::error_code failure;
    asio::write(line.socket, asio::buffer(request), failure);
    if (failure) {
        line.open = false;
        return line.seen;
    }
    line.read();
    line.runFor(patience);
    if (!line.seen.whole)
        line.open = false;
    return line.seen;
}

} // namespace jaytrack::soak
