#include "jaytrack/Support/log.h"

#include <glog/logging.h>

#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace jaytrack {

namespace {

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char c : value) {
        if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\\' || c == 127)
            return true;
    }
    return false;
}

// A line break inside a value would let a caller forge a second event, so control characters are
// replaced by question marks.
void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += static_cast<unsigned char>(c) < ' ' || c == 127 ? '?' : c;
    }
    line += '"';
}

// Writes lines to standard output from a separate thread. Otherwise a pipe without a reader would
// block the request whose line is being written; with the thread, lines are dropped and counted
// instead.
class LineWriter final : public google::LogSink
{
public:
    // Holds a few thousand lines, which is some seconds of output of a busy instance.
    static constexpr std::size_t maxPendingBytes = 512U << 10U;

    LineWriter()
        : writer([this] { this->run(); })
    {
    }

    ~LineWriter() override
    {
        {
            const std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->changed.notify_one();
        this->writer.join();
    }

    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    void send(google::LogSeverity, const char *, const char *, int, const google::LogMessageTime &,
              const char *message, std::size_t length) override
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->pending.size() + length > maxPendingBytes) {
                ++this->dropped;
                return;
            }
            this->pending.append(message, length);
            this->pending += '\n';
        }
        this->changed.notify_one();
    }

private:
    void run()
    {
        std::unique_lock lock(this->mutex);
        while (true) {
            this->changed.wait(lock, [this] { return this->stopping || !this->pending.empty(); });
            if (this->pending.empty())
                return;
            std::string lines;
            lines.swap(this->pending);
            if (this->dropped > 0) {
                lines += "level=warning event=log_lines_dropped count=" +
                         std::to_string(this->dropped) + "\n";
                this->dropped = 0;
            }
            lock.unlock();
            writeAll(lines);
            lock.lock();
        }
    }

    static void writeAll(std::string_view text)
    {
        while (!text.empty()) {
            const ssize_t written = ::write(STDOUT_FILENO, text.data(), text.size());
            if (written < 0 && errno != EINTR)
                return; // a failure of the log itself cannot be reported
            text.remove_prefix(written < 0 ? 0 : static_cast<std::size_t>(written));
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::string pending;
    std::uint64_t dropped = 0;
    bool stopping = false;
    std::thread writer;
};

std::unique_ptr<LineWriter> &lineWriter()
{
    static std::unique_ptr<LineWriter> writer;
    return writer;
}

google::LogSeverity toGlog(Severity severity)
{
    if (severity == Severity::Error)
        return google::GLOG_ERROR;
    return severity == Severity::Warning ? google::GLOG_WARNING : google::GLOG_INFO;
}

} // namespace

void initialiseLog(const char *program)
{
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(program);
    lineWriter() = std::make_unique<LineWriter>();
}

void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    logEvent(severity, event, std::span<const LogField>(fields.begin(), fields.size()));
}

void logEvent(Severity severity, std::string_view event, std::span<const LogField> fields)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    std::string line = "ts_ms=" + std::to_string(millis);
    line += severity == Severity::Info ? " level=info event=" : " level=warning event=";
    line += event;
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    if (LineWriter *writer = lineWriter().get()) {
        google::LogMessage("", 0, toGlog(severity), writer, false).stream() << line;
        return;
    }
    google::LogMessage("", 0, toGlog(severity)).stream() << line;
}

} // namespace jaytrack
