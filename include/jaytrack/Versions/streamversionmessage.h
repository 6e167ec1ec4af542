// What instances tell each other about the versions at which streams began.
#ifndef JAYTRACK_VERSIONS_STREAMVERSIONMESSAGE_H
#define JAYTRACK_VERSIONS_STREAMVERSIONMESSAGE_H

#include "jaytrack/Versions/serviceversions.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

namespace wire {
class StreamVersionNotices;
} // namespace wire

// A stream and the version at which it began.
struct StreamVersionRecord
{
    std::string stream; // see streamName()
    std::string version;
};

// Asks at which version a stream began.
struct StreamVersionQuery
{
    std::int64_t serial = 0;
    std::string stream;
};

struct StreamVersionAnswer
{
    std::int64_t serial = 0;
    std::optional<std::string> version; // none if the sender has no record of the stream
};

struct StreamVersionMessage
{
    std::vector<StreamVersionRecord> records;
    std::vector<StreamVersionQuery> queries;
    std::vector<StreamVersionAnswer> answers;
    bool asksForServices = false;          // the sender has just started
    bool tellsServices = false;            // services holds all that the sender asked needs
    std::vector<ServedVersion> services{}; // with several versions

    bool isEmpty() const
    {
        return this->records.empty() && this->queries.empty() && this->answers.empty() &&
               !this->asksForServices && !this->tellsServices && this->services.empty();
    }
};

wire::StreamVersionNotices toNotices(const StreamVersionMessage &message);
StreamVersionMessage fromNotices(const wire::StreamVersionNotices &notices);

// Returns the name under which instances know a stream. It is a digest that includes customer and
// service, so a request of another customer or service does not match the record.
std::string streamName(std::string_view customer, std::string_view service,
                       std::string_view firstAttempt);

} // namespace jaytrack

#endif
