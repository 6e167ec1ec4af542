// An entry instance on a platform: listens for callers, follows the store, and serves requests.
#ifndef JAYTRACK_PROXY_ENTRYINSTANCE_H
#define JAYTRACK_PROXY_ENTRYINSTANCE_H

#include "jaytrack/Proxy/entrysettings.h"
#include "jaytrack/Routing/dialect.h"
#include "jaytrack/Support/clock.h"

#include <memory>
#include <string>

namespace jaytrack {

class EntryInstance
{
public:
    EntryInstance(const EntrySettings &settings, const Clock &clock, const Dialect &dialect);
    ~EntryInstance();
    EntryInstance(const EntryInstance &) = delete;
    EntryInstance &operator=(const EntryInstance &) = delete;

    // Opens the listeners. Fails if an address cannot be bound.
    Result<void> open();

    // Serves until stopped. Reloads settingsFile on SIGHUP and when it changes; SIGTERM and SIGINT
    // start a graceful shutdown.
    void run(const std::string &settingsFile);

    // For tests: the bound ports, and an immediate stop that may be called from another thread.
    std::uint16_t callerPort() const;
    std::uint16_t readinessPort() const;
    void stopNow();

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace jaytrack

#endif
