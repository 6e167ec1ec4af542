// The requests that ended lately on this instance, so that an operator can ask why each went as it
// did.
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

// What is kept of one request.
struct RequestRecord
{
    std::string id;
    std::string customer;
    std::string subject; // model, or service with method
    std::string target;
    std::string reason; // why it went where it went
    ResultCode code = ResultCode::Ok;
    std::uint64_t revision = 0;
    std::uint64_t tokens = 0;
    int recoveries = 0;
    Duration firstByte{0};
    Duration total{0};
    Duration longestStall{0};
    std::string levelSubject; // the model's or service's name
    ServiceLevel level;
};

// Writes the log line and metrics of each request that ends, and remembers the last of them.
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
    static constexpr std::size_t kept = 4096;

    Metrics &metrics;
    mutable std::mutex mutex;
    BurnMeter meter;
    std::deque<std::string> order;
    std::unordered_map<std::string, RequestRecord> records;
};

} // namespace jaytrack

#endif
