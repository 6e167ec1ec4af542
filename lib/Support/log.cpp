#include "jaytrack/Support/log.h"

#include <glog/logging.h>

#include <chrono>

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

// A line break inside a value would let a caller forge a second event, so control characters
// become question marks.
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
}

void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
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
    google::LogMessage("", 0, toGlog(severity)).stream() << line;
}

} // namespace jaytrack
