// jaytrack-bench-policy: compares the production placement policy with the baselines.
#include "stage.h"

#include "jaytrack/Support/commandline.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace {

using namespace jaytrack;
using namespace jaytrack::bench;

struct NamedPolicy
{
    std::string name;
    std::function<PolicyMaker()> make; // once for each run
};

NamedPolicy baseline(Baseline kind)
{
    return {std::string(baselineName(kind)), [kind] {
                const auto board = makeOracleBoard();
                return PolicyMaker([kind, board](const std::string &, const Clock &clock,
                                                 std::uint64_t seed, PolicyTransport &,
                                                 PlacementListener &listener) {
                    return makeBaseline(kind, clock, seed, listener, board);
                });
            }};
}

NamedPolicy fleet(const std::string &name, const FleetPolicyOptions &options)
{
    return {name, [options] {
                return PolicyMaker([options](const std::string &self, const Clock &clock,
                                             std::uint64_t seed, PolicyTransport &transport,
                                             PlacementListener &listener) {
                    return std::make_unique<FleetPolicy>(self, clock, seed, transport, listener,
                                                         options);
                });
            }};
}

// Ablations: the production policy with one mechanism disabled or reduced in each variant, to show
// what that mechanism contributes.
std::vector<NamedPolicy> variants()
{
    FleetPolicyOptions alone;
    alone.useHomes = false;
    FleetPolicyOptions noForecast;
    noForecast.home.forecast = false;
    FleetPolicyOptions noShares;
    noShares.home.fairShares = false;
    FleetPolicyOptions noAffinity;
    noAffinity.affinity = false;
    FleetPolicyOptions half;
    half.subset = 10;
    return {fleet("without_homes", alone), fleet("without_forecast", noForecast),
            fleet("without_shares", noShares), fleet("without_affinity", noAffinity),
            fleet("subset_of_half", half)};
}

std::vector<Workload> allCases()
{
    std::vector<Workload> cases;
    for (const double load : {0.6, 0.9, 1.1}) {
        cases.push_back(weavers(load));
        cases.push_back(mould(load));
    }
    for (const FaultKind fault : {FaultKind::EngineDies, FaultKind::EngineSlow,
                                  FaultKind::ReportsFreeze, FaultKind::InstanceLost}) {
        Workload workload = weavers(0.8);
        workload.fault = fault;
        cases.push_back(workload);
    }
    Workload burst = weavers(0.8);
    burst.burst = true;
    cases.push_back(burst);
    Workload surge = weavers(0.7);
    surge.surgeLoad = 1.5;
    cases.push_back(surge);
    return cases;
}

struct Job
{
    Workload workload;
    NamedPolicy policy;
    std::vector<Figures> outcomes; // one for each seed
};

double mean(const Job &job, const std::function<double(const Figures &)> &pick)
{
    double sum = 0;
    for (const Figures &outcome : job.outcomes)
        sum += pick(outcome);
    return sum / static_cast<double>(job.outcomes.size());
}

double spread(const Job &job, const std::function<double(const Figures &)> &pick)
{
    double least = 1e300;
    double most = -1e300;
    for (const Figures &outcome : job.outcomes) {
        least = std::min(least, pick(outcome));
        most = std::max(most, pick(outcome));
    }
    return most - least;
}

void print(const Job &job)
{
    const auto of = [&job](double Figures::*field) {
        return mean(job, [field](const Figures &o) { return o.*field; });
    };
    const auto preemptions = [](const Figures &o) { return static_cast<double>(o.preemptions); };
    std::printf("case=%s policy=%s goodput=%.0f stall_p99=%.3f preemptions=%.0f itl_p99=%.4f "
                "ttft_p95=%.3f not_run=%.4f fair_min=%.3f lost=%.4f urgent_ttft_p99=%.3f "
                "backlog_s=%.2f decision_us=%.2f bytes_s=%.0f spread_stall=%.3f "
                "spread_preemptions=%.0f\n",
                job.workload.caseName().c_str(), job.policy.name.c_str(), of(&Figures::goodput),
                of(&Figures::stallP99), mean(job, preemptions), of(&Figures::itlP99),
                of(&Figures::ttftP95), of(&Figures::notRun), of(&Figures::fairMin),
                of(&Figures::lost), of(&Figures::urgentTtftP99), of(&Figures::backlogAtEnd),
                of(&Figures::microsPerDecision), of(&Figures::policyBytesPerSecond),
                spread(job, [](const Figures &o) { return o.stallP99; }), spread(job, preemptions));
}

// Compares the production policy with the best baseline among those whose goodput is within 2% of
// the best baseline's.
void printRatios(const std::vector<Job> &jobs)
{
    std::map<std::string, std::vector<const Job *>> byCase;
    for (const Job &job : jobs)
        byCase[job.workload.caseName()].push_back(&job);
    for (const auto &[name, list] : byCase) {
        const Job *ours = nullptr;
        const Job *oracle = nullptr;
        double bestGoodput = 0;
        const auto goodput = [](const Figures &o) { return o.goodput; };
        const auto stall = [](const Figures &o) { return o.stallP99; };
        const auto preemptions = [](const Figures &o) {
            return static_cast<double>(o.preemptions);
        };
        std::vector<const Job *> baselines;
        for (const Job *job : list) {
            if (job->policy.name == "jaytrack")
                ours = job;
            else if (job->policy.name == "oracle")
                oracle = job;
            else if (job->policy.name.rfind("without", 0) != 0 &&
                     job->policy.name.rfind("subset", 0) != 0)
                baselines.push_back(job);
        }
        if (ours == nullptr || baselines.empty())
            continue;
        for (const Job *job : baselines)
            bestGoodput = std::max(bestGoodput, mean(*job, goodput));
        double bestStall = 1e300;
        double bestPreemptions = 1e300;
        for (const Job *job : baselines) {
            if (mean(*job, goodput) < 0.98 * bestGoodput)
                continue;
            bestStall = std::min(bestStall, mean(*job, stall));
            bestPreemptions = std::min(bestPreemptions, mean(*job, preemptions));
        }
        std::printf("ratio case=%s goodput=%.3f stall_p99=%.3f preemptions=%.3f", name.c_str(),
                    mean(*ours, goodput) / bestGoodput, mean(*ours, stall) / bestStall,
                    mean(*ours, preemptions) / std::max(1.0, bestPreemptions));
        if (oracle != nullptr)
            std::printf(" stall_to_oracle=%.3f",
                        mean(*ours, stall) / std::max(1e-9, mean(*oracle, stall)));
        std::printf("\n");
    }
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    std::uint64_t first = 0;
    std::uint64_t seeds = 0;
    unsigned threads = 0;
    double seconds = 0;
    double bound = 0;
    std::string only;
    bool withVariants = false;
    po::options_description options("options");
    options.add_options()("help,h", "print this help")("first", po::value(&first)->default_value(1),
                                                       "the first seed")(
            "seeds", po::value(&seeds)->default_value(3), "how many seeds")(
            "threads", po::value(&threads)->default_value(8), "runs at the same time")(
            "seconds", po::value(&seconds)->default_value(240), "virtual seconds measured")(
            "bound", po::value(&bound)->default_value(Workload().overflowBound),
            "overflow bound")("case", po::value(&only), "only cases whose name contains this")(
            "variants", po::bool_switch(&withVariants), "also run the ablations");
    po::variables_map values;
    int exitCode = ExitGood;
    if (!parseCommandLine(argc, argv, options, "jaytrack-bench-policy [options]", values, exitCode))
        return exitCode;

    std::vector<NamedPolicy> policies = {fleet("jaytrack", {})};
    for (const Baseline kind : {Baseline::RoundRobin, Baseline::LeastOutstanding,
                                Baseline::PowerOfTwo, Baseline::StaticThreshold, Baseline::Oracle})
        policies.push_back(baseline(kind));
    if (withVariants) {
        for (const NamedPolicy &variant : variants())
            policies.push_back(variant);
    }
    std::vector<Job> jobs;
    for (Workload workload : allCases()) {
        workload.seconds = seconds;
        workload.overflowBound = bound;
        if (workload.caseName().find(only) == std::string::npos)
            continue;
        for (const NamedPolicy &policy : policies)
            jobs.push_back({workload, policy, std::vector<Figures>(seeds)});
    }
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (std::size_t task = next.fetch_add(1); task < jobs.size() * seeds;
                 task = next.fetch_add(1)) {
                Job &job = jobs[task / seeds];
                Workload workload = job.workload;
                workload.seed = first + task % seeds;
                job.outcomes[task % seeds] = runWorkload(workload, job.policy.make());
            }
        });
    }
    for (std::thread &worker : workers)
        worker.join();
    for (const Job &job : jobs)
        print(job);
    printRatios(jobs);
    return ExitGood;
}
