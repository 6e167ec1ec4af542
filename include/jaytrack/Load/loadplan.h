// The plan of a load test, read from a TOML file.
#ifndef JAYTRACK_LOAD_LOADPLAN_H
#define JAYTRACK_LOAD_LOADPLAN_H

#include "jaytrack/Support/tomlreader.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jaytrack {

// One kind of generation that customers request.
struct GenerationLoad
{
    std::string model;
    double perSecond = 1.0;
    double medianTokens = 100; // lengths are log-normal
    double spread = 1.0;       // sigma of the logarithm
    std::uint32_t maxTokens = 30'000;
    std::uint32_t promptBytes = 400;
    std::uint32_t prefixes = 4; // distinct shared prefixes
    std::uint32_t prefixBytes = 2000;
    bool stream = true;
};

// One kind of plain request.
struct ServiceLoad
{
    std::string service;
    std::string method = "GET";
    std::string path = "/";
    double perSecond = 1.0;
    bool once = false; // must run at most once; sent with a ticket
};

struct LoadPlan
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration{10'000};
    std::chrono::milliseconds answerTimeout{60'000}; // time limit for one answer
    std::uint64_t maxRequests = 100'000;
    double reconnectShare = 0;          // share of streams that the caller drops and resumes
    std::vector<std::string> entries;   // base URLs of instances
    std::vector<std::string> keys;      // API keys of customers
    std::vector<std::string> countUrls; // counters of the stand-ins, for comparison
    std::vector<GenerationLoad> generations;
    std::vector<ServiceLoad> services;
};

LoadPlan readLoadPlan(const std::string &file, Problems &problems);

} // namespace jaytrack

#endif
