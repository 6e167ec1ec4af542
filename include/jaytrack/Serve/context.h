// What every request in service needs from the instance that serves it.
#ifndef JAYTRACK_SERVE_CONTEXT_H
#define JAYTRACK_SERVE_CONTEXT_H

#include "jaytrack/Config/document.h"
#include "jaytrack/Support/clock.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jaytrack {

class CrashWatch;
class DocumentStore;
class HttpClient;
class KeyRing;
class LimitGate;
class Metrics;
class PlacementDesk;
class PauseDetector;
struct Settings;

// Where another instance answers callers.
struct PeerAddress
{
    std::string callerAddress;
    bool alive = false;
};

// Finds other instances of the fleet.
class PeerDirectory
{
public:
    virtual ~PeerDirectory() = default;

    // The instance with that name, if the incarnation known of it is the one asked for.
    virtual std::optional<PeerAddress> find(std::string_view name, std::int64_t incarnation) = 0;
};

// The parts of an instance that its requests use. All outlive every request.
struct ServeContext
{
    const Settings &settings;
    const Clock &clock;
    Metrics &metrics;
    const KeyRing &keys;
    HttpClient &targets;
    PlacementDesk &placement;
    PauseDetector &wakefulness;
    PeerDirectory &peers;
    CrashWatch &crashes;
    LimitGate &limits;
    std::function<bool()> cautious; // the rules in force may have been replaced unnoticed
    std::string instanceName;
    std::int64_t incarnation = 0;
    std::atomic<std::uint64_t> nextRequest{1};

    std::string newRequestId()
    {
        return this->instanceName + "-" + std::to_string(this->incarnation) + "-" +
               std::to_string(this->nextRequest.fetch_add(1));
    }
};

// Who asks, and under which revision the whole of the request is decided.
struct Caller
{
    std::shared_ptr<const Document> document;
    const Customer *customer = nullptr; // within the document
    std::string requestId;
    std::shared_ptr<void> admission; // frees the customer's place when the request ends
};

} // namespace jaytrack

#endif
