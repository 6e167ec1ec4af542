// The parts of an instance that its requests share.
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
class SharedPlacementPolicy;
class PauseDetector;
struct Settings;

// Address at which another instance accepts callers' requests.
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

    // Returns the instance with that name if its known incarnation equals the requested one.
    virtual std::optional<PeerAddress> find(std::string_view name, std::int64_t incarnation) = 0;
};

// Every referenced object outlives all requests.
struct ServeContext
{
    const Settings &settings;
    const Clock &clock;
    Metrics &metrics;
    const KeyRing &keys;
    HttpClient &targets;
    SharedPlacementPolicy &placement;
    PauseDetector &pauseDetector;
    PeerDirectory &peers;
    CrashWatch &crashes;
    LimitGate &limits;
    const DocumentStore &documents;
    std::function<bool()> configMayBeStale; // whether the active configuration may be out of date
    std::string instanceName;
    std::int64_t incarnation = 0;
    std::atomic<std::uint64_t> nextRequest{1};

    std::string newRequestId()
    {
        return this->instanceName + "-" + std::to_string(this->incarnation) + "-" +
               std::to_string(this->nextRequest.fetch_add(1));
    }
};

// The authenticated customer of a request, and the document revision that applies to the request
// from start to end.
struct Caller
{
    std::shared_ptr<const Document> document;
    const Customer *customer = nullptr; // within the document
    std::string requestId;
    std::shared_ptr<void> admission; // releases the admission slot when the request ends
};

} // namespace jaytrack

#endif
