#include "jaytrack/Support/log.h"

#include "jaytrack/Support/linewriter.h"

#include <glog/logging.h>

#include <unistd.h>

#include <chrono>
#include <memory>

namespace jaytrack {

namespace {

// Maximum size of a value in a line. Names come from other writers of the store, and reasons quote
// what could not be read.
constexpr std::size_t maxValueBytes = 512;
constexpr std::string_view cutMark = "...";

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
void appendValue(std::string &line, std::string_view whole)
{
    const bool isCut = whole.size() > maxValueBytes;
    const std::string_view value = isCut ? whole.substr(0, maxValueBytes - cutMark.size()) : whole;
    const std::string_view end = isCut ? cutMark : std::string_view();
    if (!needsQuotes(value)) {
        line += value;
        line += end;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += static_cast<unsigned char>(c) < ' ' || c == 127 ? '?' : c;
    }
    line += end;
    line += '"';
}

// Hands the lines of glog to a writer.
class WriterSink final : public google::LogSink
{
public:
    void send(google::LogSeverity, const char *, const char *, int, const google::LogMessageTime &,
              const char *message, std::size_t length) override
    {
        this->writer.write({message, length});
    }

private:
    LineWriter writer{STDOUT_FILENO};
};

std::unique_ptr<WriterSink> &writerSink()
{
    static std::unique_ptr<WriterSink> sink;
    return sink;
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
    writerSink() = std::make_unique<WriterSink>();
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
    if (WriterSink *sink = writerSink().get()) {
        google::LogMessage("", 0, toGlog(severity), sink, false).stream() << line;
        return;
    }
    google::LogMessage("", 0, toGlog(severity)).stream() << line;
}

} // namespace jaytrack
