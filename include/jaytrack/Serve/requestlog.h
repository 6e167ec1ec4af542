// Keeps the records of recently finished requests, so that operators can look up how a request was
// routed and why it ended as it did.
#ifndef JAYTRACK_SERVE_REQUESTLOG_H
#define JAYTRACK_SERVE_REQUESTLOG_H

#include "jaytrack/Policy/burnmeter.h"
#include "jaytrack/Support/clock.h"
#include "jaytrack/Support/result.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jaytrack {

class Metrics;

// Record of a finished request.
struct RequestRecord
{
    std::string id;
    std::string customer;
    std::string subject; // model, or service with method
    std::string target;
    std::string reason; // why this target was chosen, and details of the result
    ResultCode code = ResultCode::Ok;
    std::uint64_t revision = 0;
    std::uint64_t tokens = 0;
    int recoveries = 0;
    Duration firstByte{0};
    Duration total{0};
    Duration longestStall{0};
    std::string levelSubject; // name of the model or service for the service level
    ServiceLevel level;
};

// Writes the log line and the metrics of each finished request and keeps the records of the last
// 4096.
class RequestLog
{
public:
    RequestLog(Metrics &target, const Clock &clock)
        : metrics(target)
        , meter(clock)
    {
    }

    void add(RequestRecord record);
    std::optional<RequestRecord> find(std::string_view id) const;
    std::vector<BurnRow> burn() const;

private:
    static constexpr std::size_t maxRecords = 4096;

    Metrics &metrics;
    mutable std::mutex mutex;
    BurnMeter meter;
    std::deque<std::string> order;
    std::unordered_map<std::string, RequestRecord> records;
};

} // namespace jaytrack

#endif
