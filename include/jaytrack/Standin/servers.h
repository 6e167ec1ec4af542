// Test servers that replace the systems around jaytrack: engines, plain services, the configuration
// service and the list of instances. They implement the published protocols of those systems and
// count the requests that they actually ran.
#ifndef JAYTRACK_STANDIN_SERVERS_H
#define JAYTRACK_STANDIN_SERVERS_H

#include "jaytrack/Standin/batchengine.h"
#include "jaytrack/Support/result.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace jaytrack {

// A running stand-in. Destroying it simulates a crash.
class Standin
{
public:
    virtual ~Standin() = default;
    virtual std::uint16_t port() const = 0;
};

// The faults that an engine injects, set by its options or by POST /control while it runs.
struct EngineFaults
{
    double slowFactor = 1.0;            // multiplies the duration of each step
    bool stalled = false;               // accepts requests and decodes, but sends nothing
    bool comments = false;              // sends comments instead of tokens
    bool duplicates = false;            // sends each frame twice
    std::uint32_t closeAfterTokens = 0; // closes each stream once after this many tokens; 0: never
    std::chrono::milliseconds answerLate{0};
    std::chrono::milliseconds reportLag{300};
};

struct EngineStandinOptions
{
    std::string name = "engine";
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t threads = 1;
    BatchEngineSpec size;
    bool honoursFencing = true;
    bool leaving = false;
    std::uint64_t seed = 1;
    EngineFaults faults;
};

Result<std::unique_ptr<Standin>> startEngineStandin(const EngineStandinOptions &options);

struct ServiceStandinOptions
{
    std::string name = "service";
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::chrono::milliseconds takes{2};
    bool deduplicates = false;  // honours Idempotency-Key
    std::uint32_t dieAfter = 0; // answers only this many requests, runs all; 0: no limit
};

Result<std::unique_ptr<Standin>> startServiceStandin(const ServiceStandinOptions &options);

struct ConfigStandinOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string documentFile; // published at start; if empty, none is
    std::chrono::milliseconds instancesLag{2000};
};

// Serves GET and PUT of /v1/document, with long-polling watches, and of /v1/instances.
Result<std::unique_ptr<Standin>> startConfigStandin(const ConfigStandinOptions &options);

} // namespace jaytrack

#endif
