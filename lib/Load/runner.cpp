#include "jaytrack/Load/runner.h"

#include "tally.h"

#include <algorithm>
#include <sstream>
#include <thread>

namespace jaytrack {

namespace {

using Time = std::chrono::steady_clock;

// The next arrival of a caller of one kind.
struct Arrival
{
    double at = 0; // seconds from the start
    const GenerationLoad *generation = nullptr;
    const ServiceLoad *service = nullptr;

    double rate() const
    {
        return this->generation != nullptr ? this->generation->perSecond : this->service->perSecond;
    }
};

class ArrivalSource
{
public:
    explicit ArrivalSource(const LoadPlan &plan)
        : random(plan.seed)
    {
        for (const GenerationLoad &load : plan.generations)
            this->add({0, &load, nullptr});
        for (const ServiceLoad &load : plan.services)
            this->add({0, nullptr, &load});
    }

    bool empty() const { return this->kinds.empty(); }

    // Returns the earliest arrival and draws the next one of the same kind.
    Arrival next()
    {
        auto earliest =
                std::min_element(this->kinds.begin(), this->kinds.end(),
                                 [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
        const Arrival due = *earliest;
        this->advance(*earliest);
        return due;
    }

    std::uint64_t seed() { return this->random(); }

private:
    void add(Arrival arrival)
    {
        if (arrival.rate() <= 0)
            return;
        this->advance(arrival);
        this->kinds.push_back(arrival);
    }

    void advance(Arrival &arrival)
    {
        arrival.at += std::exponential_distribution<double>(arrival.rate())(this->random);
    }

    std::mt19937_64 random;
    std::vector<Arrival> kinds;
};

void runArrivals(Tally &tally, const LoadPlan &plan)
{
    ArrivalSource source(plan);
    const auto start = Time::now();
    const double length = std::chrono::duration<double>(plan.duration).count();
    for (std::uint64_t number = 1; number <= plan.maxRequests && !source.empty(); ++number) {
        const Arrival due = source.next();
        if (due.at > length)
            return;
        std::this_thread::sleep_until(start + std::chrono::duration_cast<Time::duration>(
                                                      std::chrono::duration<double>(due.at)));
        if (due.generation != nullptr)
            startGenerationCaller(tally, *due.generation, number, source.seed());
        else
            startServiceCaller(tally, *due.service, number);
    }
}

// Waits until every caller has ended. Each caller gives up when its time limit expires.
void waitForCallers(Tally &tally, const LoadPlan &plan)
{
    const auto limit = Time::now() + plan.answerTimeout + std::chrono::seconds(10);
    while (tally.open.load() > 0 && Time::now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

void putQuantiles(std::ostream &out, const std::string &name, const Samples &samples)
{
    out << name << "_p50_ms=" << samples.quantile(0.5) * 1000 << "\n";
    out << name << "_p95_ms=" << samples.quantile(0.95) * 1000 << "\n";
    out << name << "_p99_ms=" << samples.quantile(0.99) * 1000 << "\n";
}

} // namespace

LoadReport runLoad(const LoadPlan &plan)
{
    HttpClient client(2);
    Tally tally(plan, client);
    const auto work = asio::make_work_guard(tally.timers);
    std::thread timerThread([&tally] { tally.timers.run(); });
    const auto start = Time::now();
    runArrivals(tally, plan);
    waitForCallers(tally, plan);
    LoadReport report = tally.conclude();
    report.seconds = std::chrono::duration<double>(Time::now() - start).count();
    tally.timers.stop();
    timerThread.join();
    return report;
}

std::string formatReport(const LoadReport &report)
{
    std::ostringstream out;
    out << "requests=" << report.requests << "\ncomplete=" << report.complete
        << "\nnot_run=" << report.notRun << "\nunknown=" << report.unknown << "\n";
    for (const auto &[code, count] : report.byCode)
        out << "code_" << code << "=" << count << "\n";
    out << "tokens=" << report.tokens << "\nresumes=" << report.resumes
        << "\npreemptions=" << report.preemptions << "\nseconds=" << report.seconds << "\n";
    putQuantiles(out, "first_token", report.firstToken);
    putQuantiles(out, "between_tokens", report.betweenTokens);
    putQuantiles(out, "longest_stall", report.longestStall);
    putQuantiles(out, "service", report.serviceTime);
    out << "garbled=" << report.garbled << "\nmismatches=" << report.mismatches << "\n";
    for (const std::string &fault : report.faults)
        out << "fault=" << fault << "\n";
    return out.str();
}

} // namespace jaytrack
