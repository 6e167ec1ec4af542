#include "jaytrack/Serve/requestlog.h"

#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

namespace jaytrack {

namespace {

constexpr int firstServerErrorStatus = 500; // lower statuses are the caller's errors

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::int64_t inMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

void RequestLog::add(RequestRecord record)
{
    const ResultCodeInfo &info = describe(record.code);
    const int number = static_cast<int>(record.code);
    this->metrics.count("jaytrack_requests_total{outcome=\"" +
                        std::string(outcomeName(info.outcome)) + "\",code=\"" +
                        std::to_string(number) + "\"}");
    this->metrics.count("jaytrack_tokens_total", record.tokens);
    if (record.code == ResultCode::Ok) {
        this->metrics.observe("jaytrack_first_byte_seconds", inSeconds(record.firstByte));
        this->metrics.observe("jaytrack_longest_stall_seconds", inSeconds(record.longestStall));
    }
    logEvent(info.outcome == Outcome::Complete ? Severity::Info : Severity::Warning, "request",
             {{"id", record.id},
              {"customer", record.customer},
              {"subject", record.subject},
              {"target", record.target},
              {"outcome", outcomeName(info.outcome)},
              {"code", number},
              {"revision", static_cast<std::int64_t>(record.revision)},
              {"tokens", static_cast<std::int64_t>(record.tokens)},
              {"recoveries", record.recoveries},
              {"first_byte_ms", inMillis(record.firstByte)},
              {"total_ms", inMillis(record.total)},
              {"stall_ms", inMillis(record.longestStall)},
              {"reason", record.reason}});
    const std::lock_guard lock(this->mutex);
    // Callers' errors and responses that issue a ticket do not count against the service level.
    const bool countsTowardsObjective =
            info.httpStatus >= firstServerErrorStatus || record.code == ResultCode::Ok;
    if (countsTowardsObjective && !record.levelSubject.empty())
        this->meter.add({record.customer, record.levelSubject, record.level,
                         record.code == ResultCode::Ok, record.firstByte, record.longestStall});
    this->order.push_back(record.id);
    this->records.insert_or_assign(record.id, std::move(record));
    if (this->order.size() > maxRecords) {
        this->records.erase(this->order.front());
        this->order.pop_front();
    }
}

std::vector<BurnRow> RequestLog::burn() const
{
    const std::lock_guard lock(this->mutex);
    return this->meter.rows();
}

std::optional<RequestRecord> RequestLog::find(std::string_view id) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->records.find(std::string(id));
    if (found == this->records.end())
        return std::nullopt;
    return found->second;
}

} // namespace jaytrack
