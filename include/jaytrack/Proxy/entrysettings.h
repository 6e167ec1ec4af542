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

    std::map<std::string, std::string, std::less<>> regions; // by data centre

    std::string callers;   // IP:PORT
    std::string readiness; // IP:PORT
    std::string metrics;   // IP:PORT; empty for none

    std::string store; // IP:PORT

    std::string peers;                  // IP:PORT for datagrams between instances; empty for none
    std::vector<std::string> peerSeeds; // IP:PORT of instances to ask first, with the peers' port
    std::vector<std::string> peerKeys;  // the first signs, all verify, so that keys can rotate

    // A key that was taken away must stop working within this time, everywhere.
    std::chrono::milliseconds keyFreshness{5000};
    // A change of configuration is in force within this time where the store is reached.
    std::chrono::milliseconds configurationDelay{2000};
    // Between SIGTERM and the forced end.
    std::chrono::seconds drainGrace{8};
    // Repeats to a service, over all instances, as a share of its requests in a window.
    double retryRatio = 0.1;
    std::chrono::seconds retryWindow{10};
    // Repeats allowed in a window beyond that share.
    double retrySlack = 20;
    // Requests to a target that is cold, over all instances.
    ColdBound coldBound;

    std::size_t memoryBytes = 110U << 20U;
    std::size_t descriptors = 4096;

    EntryTuning tuning;
};

// Reads and checks a settings file, adding every fault to problems.
EntrySettings readEntrySettings(const std::string &file, Problems &problems);

} // namespace jaytrack

#endif
