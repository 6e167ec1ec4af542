// The settings of one instance, read from its TOML file at start.
#ifndef JAYTRACK_CONFIG_SETTINGS_H
#define JAYTRACK_CONFIG_SETTINGS_H

#include "jaytrack/Support/tomlreader.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jaytrack {

// An IP number and a port to listen on.
struct Listener
{
    std::string address;
    std::uint16_t port = 0;

    std::string text() const { return this->address + ":" + std::to_string(this->port); }
};

struct Settings
{
    std::string name;
    std::string dataCentre;

    Listener callers;
    std::size_t callerThreads = 2;

    Listener peers;
    std::vector<std::string> peerKeys;  // the first signs, all verify, to allow key rotation
    std::vector<std::string> peerSeeds; // peer addresses known before the instance list is read

    Listener operators; // port 0 and an empty address mean that there is no listener

    std::string placement = "jaytrack"; // or the name of a baseline policy, for comparison

    std::string configUrl;
    std::string instancesUrl;

    std::size_t targetThreads = 2;
    std::size_t maxRequests = 20'000;
    std::size_t maxBodyBytes = 4U << 20U;
    std::size_t maxAnswerBytes = 16U << 20U;
    std::size_t streamBufferBytes = 16U << 10U;
    std::size_t ledgerBytes = 64U << 20U;
    std::chrono::milliseconds abandonGrace{30'000};
    std::chrono::milliseconds deliveryGrace{60'000}; // time that the server allows one write
    std::chrono::milliseconds pauseLimit{2'000};
    std::chrono::milliseconds readyDelay{1'500};
};

// Reads and checks a settings file, adding every fault to problems.
Settings readSettings(const std::string &file, Problems &problems);

} // namespace jaytrack

#endif
