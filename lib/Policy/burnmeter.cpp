#include "jaytrack/Policy/burnmeter.h"

#include <algorithm>

namespace jaytrack {

double BurnRow::burn(std::size_t window) const
{
    if (this->total[window] == 0)
        return 0;
    const double allowed = std::max(1e-6, 1 - this->share);
    return static_cast<double>(this->bad[window]) / static_cast<double>(this->total[window]) /
           allowed;
}

std::int64_t BurnMeter::currentBucket() const
{
    return this->clock.now().time_since_epoch() / bucketLength;
}

void BurnMeter::count(const LevelSample &sample, const char *objective, bool good)
{
    const Key key{sample.customer, sample.subject, objective};
    auto found = this->series.find(key);
    if (found == this->series.end()) {
        if (this->series.size() >= maxSeries)
            return;
        found = this->series.emplace(key, Series{}).first;
    }
    Series &line = found->second;
    line.share = sample.level.share;
    const std::int64_t now = this->currentBucket();
    const auto slot = static_cast<std::size_t>(now) % buckets;
    if (line.ring.size() <= slot)
        line.ring.resize(slot + 1);
    Bucket &bucket = line.ring[slot];
    if (bucket.number != now)
        bucket = {now, 0, 0};
    ++bucket.total;
    bucket.bad += good ? 0 : 1;
}

void BurnMeter::add(const LevelSample &sample)
{
    this->count(sample, "answered", sample.answered);
    if (!sample.answered)
        return;
    if (sample.level.firstToken.count() > 0)
        this->count(sample, "first_token", sample.firstToken <= sample.level.firstToken);
    if (sample.level.stall.count() > 0)
        this->count(sample, "stall", sample.longestStall <= sample.level.stall);
}

std::vector<BurnRow> BurnMeter::rows() const
{
    std::vector<BurnRow> rows;
    const std::int64_t now = this->currentBucket();
    for (const auto &[key, line] : this->series) {
        BurnRow row;
        std::tie(row.customer, row.subject, row.objective) = key;
        row.share = line.share;
        for (const Bucket &bucket : line.ring) {
            for (std::size_t i = 0; i < burnWindows.size(); ++i) {
                const std::int64_t length = burnWindows[i] / bucketLength;
                if (bucket.number < 0 || bucket.number <= now - length)
                    continue;
                row.total[i] += bucket.total;
                row.bad[i] += bucket.bad;
            }
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

void mergeBurn(std::vector<BurnRow> &into, const std::vector<BurnRow> &from)
{
    for (const BurnRow &row : from) {
        const auto found = std::find_if(into.begin(), into.end(), [&row](const BurnRow &other) {
            return other.customer == row.customer && other.subject == row.subject &&
                   other.objective == row.objective;
        });
        if (found == into.end()) {
            into.push_back(row);
            continue;
        }
        for (std::size_t i = 0; i < burnWindows.size(); ++i) {
            found->total[i] += row.total[i];
            found->bad[i] += row.bad[i];
        }
    }
}

} // namespace jaytrack
