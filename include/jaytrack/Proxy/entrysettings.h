// The settings of one entry instance on a platform, read from its TOML file.
#ifndef JAYTRACK_PROXY_ENTRYSETTINGS_H
#define JAYTRACK_PROXY_ENTRYSETTINGS_H

#include "jaytrack/Proxy/entrytuning.h"
#include "jaytrack/Routing/coldtargets.h"
#include "jaytrack/Support/tomlreader.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace jaytrack {

struct EntrySettings
{
    std::string name;
    std::string dataCentre;
    bool firstStart = false; // of the whole system, so that nothing has been served before

    std::map<std::string, std::string, std::less<>> regions; // by data centre

    std::string callers;   // IP:PORT
    std::string readiness; // IP:PORT
    std::string metrics;   // IP:PORT; empty for none

    std::string store; // IP:PORT

    std::string peers; // IP:PORT for datagrams between instances; empty for none
    std::vector<std::string>
            peerSeeds; // IP:PORT of the instances to contact first, with the peers' port
    std::vector<std::string>
            peerKeys; // the first key signs, all verify, so that keys can be rotated

    // A revoked key must stop working at all instances within this time.
    std::chrono::milliseconds keyFreshness{5000};
    // A configuration change takes effect within this time at instances that can reach the store.
    std::chrono::milliseconds configurationDelay{2000};
    // A target that leaves gets no new work later than this after the store has recorded it.
    std::chrono::milliseconds leavingDelay{2000};
    // Time between SIGTERM and the forced exit.
    std::chrono::seconds drainGrace{8};
    // Maximum retries to a service, over all instances, as a fraction of its requests in a window.
    double retryRatio = 0.1;
    std::chrono::seconds retryWindow{10};
    // Retries allowed in a window beyond that fraction.
    double retrySlack = 20;
    // Limits requests to a cold target, over all instances.
    ColdBound coldBound;

    std::size_t memoryBytes = 110U << 20U;
    std::size_t descriptors = 4096;

    EntryTuning tuning;
};

// Reads and validates a settings file; adds each error to problems.
EntrySettings readEntrySettings(const std::string &file, Problems &problems);

} // namespace jaytrack

#endif
