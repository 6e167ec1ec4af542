// jaytrack-slopes: measures the costs of the control plane as the fleet grows, and fits a line to
// each cost. docs/CAPACITY.md multiplies these slopes by the planned sizes.
#include "../../unittests/Soak/fleet.h"
#include "../policy/stage.h"

#include "jaytrack/Config/documentstore.h"
#include "jaytrack/Once/ledger.h"
#include "jaytrack/Support/commandline.h"
#include "jaytrack/Support/digest.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <malloc.h>
#include <sys/resource.h>

#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace {

using namespace jaytrack;

struct Point
{
    double x;
    double y;
};

// The samples of one cost as a function of one size.
class Slope
{
public:
    Slope(std::string slopeName, std::string slopeUnit)
        : name(std::move(slopeName))
        , unit(std::move(slopeUnit))
    {
    }

    void add(double x, double y) { this->points.push_back({x, y}); }

    // Fits y = value * x + base by least squares, prints the line and appends the raw points.
    void finish(std::ostream &csv) const
    {
        const auto n = static_cast<double>(this->points.size());
        double sx = 0;
        double sy = 0;
        double sxx = 0;
        double sxy = 0;
        double syy = 0;
        for (const Point &p : this->points) {
            sx += p.x;
            sy += p.y;
            sxx += p.x * p.x;
            sxy += p.x * p.y;
            syy += p.y * p.y;
            csv << this->name << "," << p.x << "," << p.y << "\n";
        }
        const double value = (n * sxy - sx * sy) / (n * sxx - sx * sx);
        const double base = (sy - value * sx) / n;
        const double spread = (n * sxx - sx * sx) * (n * syy - sy * sy);
        const double r = spread <= 0 ? 1 : (n * sxy - sx * sy) / std::sqrt(spread);
        std::printf("slope name=%s unit=%s value=%.6g base=%.6g r2=%.4f points=%zu\n",
                    this->name.c_str(), this->unit.c_str(), value, base, r * r,
                    this->points.size());
    }

private:
    std::string name;
    std::string unit;
    std::vector<Point> points;
};

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &t) {
        return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

// Measures the cost of membership and configuration propagation for one instance, including the
// network and the clock of the benchmark itself.
void measureMembership(std::ostream &csv)
{
    Slope cpu("membership_cpu", "core_share_per_member");
    Slope bytes("membership_sent", "bytes_per_second_per_member");
    Slope messages("membership_messages", "messages_per_second_per_member");
    Slope spread("config_spread_max", "seconds_per_doubling");
    Slope memory("membership_memory", "bytes_per_member");
    for (const std::size_t members : {6U, 24U, 96U, 192U, 340U}) {
        soak::FleetOptions options;
        options.instances = members;
        options.faults = false;
        options.callers = false;
        options.length = std::chrono::seconds(120);
        options.changeGap = std::chrono::seconds(15);
        const double heapBefore = heapBytes();
        const double before = cpuSeconds();
        soak::Fleet fleet(options);
        const soak::FleetResult result = fleet.run();
        const double used = cpuSeconds() - before;
        const double heap = heapBytes() - heapBefore;
        const double virtualSeconds = 120 + 90;
        const auto count = static_cast<double>(members);
        cpu.add(count, used / virtualSeconds / count);
        bytes.add(count, result.bytesPerSecond);
        messages.add(count, result.messagesPerSecond);
        memory.add(count, heap / count);
        double worst = 0;
        for (const double seconds : result.spreadSeconds)
            worst = std::max(worst, seconds);
        spread.add(std::log2(count), worst);
    }
    cpu.finish(csv);
    bytes.finish(csv);
    messages.finish(csv);
    spread.finish(csv);
    memory.finish(csv);
}

Document documentOf(std::size_t engines, std::size_t customers)
{
    Document document;
    for (const char *name : {"model-1", "model-2", "model-3", "model-4"}) {
        Model model;
        model.name = name;
        document.models.push_back(model);
    }
    for (std::size_t i = 0; i < engines; ++i) {
        Engine engine;
        engine.name = "engine-" + std::to_string(i);
        engine.dataCentre = "centre-" + std::to_string(i % 7);
        engine.address = "10.0.0.1:" + std::to_string(1000 + i);
        engine.model = "model-" + std::to_string(1 + i % 4);
        engine.can = {true, true, true, i % 2 == 0};
        document.engines.push_back(engine);
    }
    for (std::size_t i = 0; i < customers; ++i)
        document.customers.push_back(
                {"customer-" + std::to_string(i), {sha256Hex(std::to_string(i))}, 1, 100});
    document.index();
    return document;
}

void measureDocument(std::ostream &csv)
{
    Slope engineBytes("document_engine", "bytes_per_engine");
    Slope customerBytes("document_customer", "bytes_per_customer");
    Slope parse("document_parse", "seconds_per_byte");
    Slope documentMemory("document_memory", "bytes_per_byte");
    static constexpr std::size_t usualEngines = 600;
    static constexpr std::size_t usualCustomers = 1300;
    for (const std::size_t engines : {20U, 150U, 600U}) {
        const std::string text = documentOf(engines, usualCustomers).serialise();
        engineBytes.add(static_cast<double>(engines), static_cast<double>(text.size()));
        const double heapBefore = heapBytes();
        const double before = cpuSeconds();
        std::vector<std::shared_ptr<const Document>> documents;
        static constexpr int times = 10;
        for (int i = 0; i < times; ++i)
            documents.push_back(Document::parse(text, 1).value());
        parse.add(static_cast<double>(text.size()), (cpuSeconds() - before) / times);
        documentMemory.add(static_cast<double>(text.size()), (heapBytes() - heapBefore) / times);
    }
    for (const std::size_t customers : {10U, 150U, 1300U}) {
        const std::string text = documentOf(usualEngines, customers).serialise();
        customerBytes.add(static_cast<double>(customers), static_cast<double>(text.size()));
    }
    engineBytes.finish(csv);
    customerBytes.finish(csv);
    parse.finish(csv);
    documentMemory.finish(csv);
}

// A transport that counts messages and drops them.
struct CountingTransport final : PolicyTransport
{
    void send(std::string_view, std::string message) override { this->bytes += message.size(); }
    std::uint64_t bytes = 0;
};

struct NullListener final : PlacementListener
{
    void onPlacement(std::uint64_t, const Placement &) override {}
};

// Measures the time of one decision. This instance is the home of all engines, so that requesting,
// deciding and granting all happen on it.
double decisionSeconds(std::size_t engines, std::size_t customers)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    CountingTransport transport;
    NullListener listener;
    FleetPolicy policy("self", clock, 1, transport, listener);
    std::vector<EngineSpec> specs;
    for (std::size_t i = 0; i < engines; ++i)
        specs.push_back({"engine-" + std::to_string(i), "model-" + std::to_string(i % 4), "dc", 64,
                         200'000, false});
    policy.setEngines(specs);
    static constexpr int times = 20'000;
    const double before = cpuSeconds();
    for (int i = 1; i <= times; ++i) {
        GenerationRequest ask;
        ask.id = static_cast<std::uint64_t>(i);
        ask.model = "model-" + std::to_string(i % 4);
        ask.customer = "customer-" + std::to_string(static_cast<std::size_t>(i) % customers);
        ask.promptTokens = 500;
        ask.prefixHash = static_cast<std::uint64_t>(1 + i % 50);
        policy.submit(ask);
        static constexpr int inService = 400;
        if (i > inService)
            policy.departed(static_cast<std::uint64_t>(i - inService), Departure::Finished, 200);
        clock.advance(std::chrono::milliseconds(2));
    }
    return (cpuSeconds() - before) / times;
}

void measurePlacement(std::ostream &csv)
{
    Slope byEngines("decision_by_engines", "seconds_per_engine");
    Slope byCustomers("decision_by_customers", "seconds_per_customer");
    for (const std::size_t engines : {20U, 150U, 600U})
        byEngines.add(static_cast<double>(engines), decisionSeconds(engines, 1300));
    for (const std::size_t customers : {10U, 150U, 1300U})
        byCustomers.add(static_cast<double>(customers), decisionSeconds(600, customers));
    byEngines.finish(csv);
    byCustomers.finish(csv);

    Slope tick("policy_tick", "seconds_per_home_engine");
    for (const std::size_t engines : {2U, 20U, 60U}) {
        ManualClock clock;
        clock.advance(std::chrono::hours(1));
        CountingTransport transport;
        NullListener listener;
        FleetPolicy policy("self", clock, 1, transport, listener);
        std::vector<EngineSpec> specs;
        for (std::size_t i = 0; i < engines; ++i)
            specs.push_back({"engine-" + std::to_string(i), "model", "dc", 64, 200'000, false});
        policy.setEngines(specs);
        for (std::uint64_t id = 1; id <= 32 * engines; ++id) {
            GenerationRequest ask;
            ask.id = id;
            ask.model = "model";
            ask.customer = "customer";
            ask.promptTokens = 500;
            policy.submit(ask);
        }
        static constexpr int ticks = 500;
        const double before = cpuSeconds();
        for (int i = 0; i < ticks; ++i) {
            clock.advance(std::chrono::milliseconds(20));
            policy.tick();
        }
        tick.add(static_cast<double>(engines), (cpuSeconds() - before) / ticks);
    }
    tick.finish(csv);
}

// Bytes between policies as a function of the requests that one instance places in a second.
void measureGrants(std::ostream &csv)
{
    Slope grants("grant_bytes", "bytes_per_request");
    for (const double load : {0.2, 0.4, 0.6, 0.8}) {
        bench::Workload workload = bench::weavers(load);
        workload.seconds = 60;
        workload.warmUp = 20;
        const bench::Figures figures = bench::runWorkload(
                workload, [](const std::string &self, const Clock &clock, std::uint64_t seed,
                             PolicyTransport &transport, PlacementListener &listener) {
                    FleetPolicyOptions options;
                    return std::make_unique<FleetPolicy>(self, clock, seed, transport, listener,
                                                         options);
                });
        const double perInstance = static_cast<double>(figures.requests) / workload.seconds /
                                   static_cast<double>(workload.instances);
        grants.add(perInstance, figures.policyBytesPerSecond);
    }
    grants.finish(csv);
}

void measureLedger(std::ostream &csv)
{
    Slope memory("ledger_memory", "bytes_per_ticket");
    Slope cpu("ledger_cpu", "seconds_per_ticket");
    for (const std::size_t tickets : {1000U, 5000U, 10000U}) {
        const double heapBefore = heapBytes();
        const double before = cpuSeconds();
        TicketLedger ledger("self", 1, LedgerBounds{});
        ManualClock clock;
        for (std::size_t i = 0; i < tickets; ++i) {
            const Ticket ticket = ledger.issue("customer-" + std::to_string(i % 1300),
                                               "POST /account/payments", clock.now());
            ledger.claim(ticket, sha256Hex("body"), clock.now());
            ledger.complete(ticket.serial,
                            {ResultCode::Ok, 200, "application/json", std::string(200, 'x')},
                            clock.now());
        }
        memory.add(static_cast<double>(tickets), heapBytes() - heapBefore);
        cpu.add(static_cast<double>(tickets), cpuSeconds() - before);
    }
    memory.finish(csv);
    cpu.finish(csv);
}

void measureReports(std::ostream &csv)
{
    Slope cpu("load_report_cpu", "seconds_per_report");
    const std::string text =
            R"({"memory_used":12345,"memory":60000,"running":17,"waiting":0,"leaving":false})";
    for (const int reports : {10'000, 20'000, 40'000}) {
        ManualClock clock;
        LengthEstimator lengths;
        EngineHome home({"engine", "model", "dc", 64, 200'000, false}, clock, lengths, {});
        const double before = cpuSeconds();
        for (int i = 0; i < reports; ++i) {
            const auto body = nlohmann::json::parse(text, nullptr, false);
            EngineReport report;
            report.memoryUsed = body.value("memory_used", std::uint64_t{0});
            home.report(report);
        }
        cpu.add(reports, cpuSeconds() - before);
    }
    cpu.finish(csv);
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    std::string csvFile;
    po::options_description options("options");
    options.add_options()("help,h", "print this help")(
            "csv", po::value(&csvFile)->default_value("slopes.csv"), "the file for the raw points");
    po::variables_map values;
    int exitCode = ExitGood;
    if (!parseCommandLine(argc, argv, options, "jaytrack-slopes [options]", values, exitCode))
        return exitCode;
    FLAGS_minloglevel = google::GLOG_FATAL;
    google::InitGoogleLogging(argv[0]);
    std::ofstream csv(csvFile);
    csv << "name,x,y\n";
    measureMembership(csv);
    measureDocument(csv);
    measurePlacement(csv);
    measureGrants(csv);
    measureLedger(csv);
    measureReports(csv);
    csv.close();
    return csv ? ExitGood : ExitFailed;
}
