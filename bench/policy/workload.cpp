#include "workload.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace jaytrack::bench {

namespace {

std::vector<BenchCustomer> tenCustomers()
{
    std::vector<BenchCustomer> list = {
            {"large-1", 8, 0.25, 4}, {"large-2", 8, 0.25, 1}, {"large-3", 6, 0.15, 1}};
    static constexpr int small = 7;
    for (int i = 0; i < small; ++i)
        list.push_back({"small-" + std::to_string(i + 1), 1, 0.05, 1});
    return list;
}

constexpr double missedPrefixShare = 0.5; // share of prefixes not found in the cache

BatchEngineSpec crowdedEngine()
{
    BatchEngineSpec spec;
    spec.slots = 48;
    spec.memoryTokens = 36'000;
    spec.stepBaseMs = 14;
    spec.stepPerSequenceMs = 0.3;
    spec.prefillTokensPerMs = 8;
    spec.prefillPerStep = 256;
    spec.cacheTokens = 12'000;
    return spec;
}

const char *faultName(FaultKind fault)
{
    switch (fault) {
    case FaultKind::None:
        return "";
    case FaultKind::EngineDies:
        return "-engine-dies";
    case FaultKind::EngineSlow:
        return "-engine-slow";
    case FaultKind::ReportsFreeze:
        return "-reports-freeze";
    case FaultKind::InstanceLost:
        return "-instance-lost";
    }
    return "";
}

} // namespace

std::uint32_t drawLength(const Kind &kind, std::mt19937_64 &random)
{
    std::normal_distribution<double> normal(std::log(kind.medianTokens), kind.sigma);
    const double length = std::exp(normal(random));
    return static_cast<std::uint32_t>(std::clamp(length, 1.0, static_cast<double>(kind.maxTokens)));
}

std::string Workload::caseName() const
{
    char text[64];
    std::snprintf(text, sizeof(text), "%s-%.1f%s%s%s", this->name.c_str(), this->load,
                  this->burst ? "-burst" : "", faultName(this->fault),
                  this->surgeLoad > 0 ? "-surge" : "");
    return text;
}

double Workload::capacityPerSecond() const
{
    static constexpr int samples = 200'000;
    std::mt19937_64 random(12345);
    double steps = 0;       // decode steps of a request
    double memorySteps = 0; // tokens of memory times steps
    double prefillTokens = 0;
    for (int i = 0; i < samples; ++i) {
        double pick = std::uniform_real_distribution<double>(0, 1)(random);
        const Kind *kind = &this->kinds.back();
        for (const Kind &other : this->kinds) {
            if (pick < other.share) {
                kind = &other;
                break;
            }
            pick -= other.share;
        }
        const double length = drawLength(*kind, random);
        steps += length;
        prefillTokens += kind->promptTokens + missedPrefixShare * kind->prefixTokens;
        memorySteps += length * (kind->promptTokens + kind->prefixTokens + length / 2);
    }
    steps /= samples;
    memorySteps /= samples;
    const double prefillSeconds = prefillTokens / samples / this->engine.prefillTokensPerMs / 1000;
    const double byMemory = static_cast<double>(this->engine.memoryTokens) * steps / memorySteps;
    const double batch = std::min(byMemory, static_cast<double>(this->engine.slots));
    const double stepSeconds =
            (this->engine.stepBaseMs + this->engine.stepPerSequenceMs * batch) / 1000;
    // The whole batch pauses while a prompt is processed.
    return static_cast<double>(this->engines) / (prefillSeconds + steps * stepSeconds / batch);
}

Workload weavers(double load)
{
    Workload workload;
    workload.name = "weavers";
    workload.load = load;
    workload.engine = crowdedEngine();
    workload.customers = tenCustomers();
    Kind draft{"draft", 0.7, 500, 1.0, 12'000, 200, 600, 12, 0, true};
    Kind check{"check", 0.3, 40, 0.5, 500, 120, 0, 1, 1, true};
    workload.kinds = {draft, check};
    return workload;
}

Workload mould(double load)
{
    Workload workload;
    workload.name = "mould";
    workload.load = load;
    workload.instances = 6;
    workload.engine = crowdedEngine();
    workload.customers = tenCustomers();
    Kind report{"report", 0.5, 700, 0.9, 10'000, 500, 300, 6, 0, true};
    Kind verdict{"verdict", 0.5, 12, 0.4, 100, 250, 300, 6, 5, true};
    workload.kinds = {report, verdict};
    return workload;
}

} // namespace jaytrack::bench
