#include "tally.h"

#include "jaytrack/Load/answermessages.h"

#include <algorithm>
#include <cmath>

namespace jaytrack {

namespace {

constexpr std::size_t maxFaults = 20;

void addCounts(const std::map<std::string, std::uint64_t> &counts,
               std::map<std::string, std::uint64_t> &sum)
{
    for (const auto &[name, count] : counts)
        sum[name] += count;
}

} // namespace

double Samples::quantile(double q) const
{
    if (this->values.empty())
        return 0;
    std::vector<double> sorted = this->values;
    const auto rank =
            static_cast<std::size_t>(std::lround(q * static_cast<double>(sorted.size() - 1)));
    const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(sorted.begin(), at, sorted.end());
    return *at;
}

void Tally::runAfter(std::chrono::milliseconds pause, std::function<void()> step)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->timers, pause);
    timer->async_wait([timer, step = std::move(step)](const asio::error_code &) { step(); });
}

void Tally::recordResult(const std::string &id, const CallerResult &last)
{
    const std::lock_guard lock(this->mutex);
    this->results[id] = last;
    ++this->report.byCode[last.code];
    if (last.outcome == "complete")
        ++this->report.complete;
    else if (last.outcome == "not-run")
        ++this->report.notRun;
    else
        ++this->report.unknown;
    this->open.fetch_sub(1);
}

void Tally::recordGarbled(const std::string &what)
{
    const std::lock_guard lock(this->mutex);
    ++this->report.garbled;
    if (this->report.faults.size() < maxFaults)
        this->report.faults.push_back(what);
}

void Tally::updateReport(const std::function<void(LoadReport &)> &change)
{
    const std::lock_guard lock(this->mutex);
    change(this->report);
}

void Tally::mismatch(const std::string &what)
{
    ++this->report.mismatches;
    if (this->report.faults.size() < maxFaults)
        this->report.faults.push_back(what);
}

void Tally::compare(const std::map<std::string, std::uint64_t> &runs,
                    const std::map<std::string, std::uint64_t> &starts)
{
    for (const auto &[id, last] : this->results) {
        const auto &counted = last.generation ? starts : runs;
        const auto found = counted.find(id);
        const std::uint64_t count = found == counted.end() ? 0 : found->second;
        const std::string words =
                id + " was told " + last.outcome + " and ran " + std::to_string(count) + " times";
        if (last.outcome == "not-run" && count != 0)
            this->mismatch(words);
        if (last.once && count > 1)
            this->mismatch(words);
        if (last.once && last.outcome == "complete" && count != 1)
            this->mismatch(words);
    }
}

LoadReport Tally::conclude()
{
    std::map<std::string, std::uint64_t> runs;
    std::map<std::string, std::uint64_t> starts;
    std::uint64_t preemptions = 0;
    for (const std::string &url : this->plan.countUrls) {
        HttpCall call;
        call.url = url;
        call.totalTimeout = std::chrono::seconds(5);
        call.mayRepeat = true;
        const FetchedAnswer answer = fetch(this->client, call);
        if (!answer.end.whole)
            continue; // the stand-in was killed, and its counts are lost
        const std::optional<StandinCounts> counts = decodeCounts(answer.body);
        if (!counts) {
            this->recordGarbled("the counts at " + url + " are malformed");
            continue;
        }
        addCounts(counts->runs, runs);
        addCounts(counts->starts, starts);
        preemptions += counts->preemptions;
    }
    const std::lock_guard lock(this->mutex);
    this->report.preemptions = preemptions;
    if (!this->plan.countUrls.empty())
        this->compare(runs, starts);
    return this->report;
}

} // namespace jaytrack
