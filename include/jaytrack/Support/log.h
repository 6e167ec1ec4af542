// Structured logs: one line of key=value pairs for each event, written through glog.
#ifndef JAYTRACK_SUPPORT_LOG_H
#define JAYTRACK_SUPPORT_LOG_H

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace jaytrack {

enum class Severity { Info, Warning, Error };

// A key and its value, already formatted as text.
struct LogField
{
    LogField(std::string_view fieldKey, std::string_view text)
        : key(fieldKey)
        , value(text)
    {
    }
    LogField(std::string_view fieldKey, const char *text)
        : key(fieldKey)
        , value(text)
    {
    }
    LogField(std::string_view fieldKey, std::int64_t number)
        : key(fieldKey)
        , value(std::to_string(number))
    {
    }

    std::string_view key;
    std::string value;
};

// Sends log lines to standard output, from a separate thread and without glog's prefix. Call it
// once, from main; until then, lines go to glog's default destination. When half a megabyte of
// lines waits to be written, further lines are dropped and counted, so that no request ever waits
// for the log.
void initialiseLog(const char *program);

// Writes one event. Values with blanks, quotes or control characters are quoted, so that an event
// stays on one line whatever a caller sent. Values of more than 512 bytes are cut and end with
// three dots. Never pass secrets.
void logEvent(Severity severity, std::string_view event, std::span<const LogField> fields);
void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields);

} // namespace jaytrack

#endif
