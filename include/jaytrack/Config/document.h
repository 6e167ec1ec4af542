// The configuration document: what the platform publishes to every instance, in force as a whole
// under one revision.
#ifndef JAYTRACK_CONFIG_DOCUMENT_H
#define JAYTRACK_CONFIG_DOCUMENT_H

#include "jaytrack/Support/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// The platform holds values up to this size.
inline constexpr std::size_t maxDocumentBytes = 1'000'000;

// What an engine's operators say that it honours. Nothing is assumed that is not said.
struct EngineAbilities
{
    bool resume = false;
    bool cancel = false;
    bool priority = false;
    bool fencing = false;
};

// One model engine.
struct Engine
{
    std::string name;
    std::string dataCentre;
    std::string address; // IP number and port
    std::string model;
    std::uint32_t slots = 64;             // sequences decoded at once
    std::uint64_t memoryTokens = 100'000; // key-value memory, in tokens
    bool leaving = false;
    EngineAbilities can;
};

// One process of a plain service.
struct ServiceTarget
{
    std::string name;
    std::string dataCentre;
    std::string address;
    bool leaving = false;
};

// Which requests of a service may be repeated. A request that no route matches is not idempotent.
struct Route
{
    std::string method;
    std::string pathPrefix;
    bool idempotent = false;
};

// A plain service.
struct Service
{
    std::string name;
    std::vector<ServiceTarget> targets;
    std::vector<Route> routes;
    double objectiveShare = 0.99; // of requests that must be answered
    bool deduplicates = false;    // honours Idempotency-Key over all its targets
    std::chrono::milliseconds timeout{10'000};

    bool isIdempotent(std::string_view method, std::string_view path) const;
};

// Which of a model's requests may wait, and for how long.
struct Model
{
    std::string name;
    bool mayWait = true;
    std::chrono::milliseconds maxWait{30'000};
    int priority = 0;            // larger goes first
    bool repeatable = true;      // a generation of which nothing was seen may start again elsewhere
    double overflowBound = 0.02; // accepted chance that an engine's memory overflows
    std::chrono::milliseconds silenceTimeout{20'000}; // longest gap between two tokens
    std::chrono::milliseconds firstTokenObjective{390};
    std::chrono::milliseconds stallObjective{2'000};
    double objectiveShare = 0.95; // of requests that must keep each objective
};

// One customer.
struct Customer
{
    std::string name;
    std::vector<std::string> keyDigests; // SHA-256 of each API key, in hexadecimal
    std::uint32_t weight = 1;
    std::uint32_t maxConcurrent = 100; // on one instance
};

// A checked document. Immutable once parsed; requests hold on to the one they were decided under.
class Document
{
public:
    // Parses and checks the compiled JSON form. On failure the first problem is named.
    static Result<std::shared_ptr<const Document>> parse(std::string_view json,
                                                         std::uint64_t revision);

    // The compiled JSON form; equal documents give equal bytes.
    std::string serialise() const;

    // Every fault in the document: duplicate names, dangling references.
    std::vector<Error> check() const;

    const Model *findModel(std::string_view name) const;
    const Service *findService(std::string_view name) const;
    const Engine *findEngine(std::string_view name) const;

    // The customer whose key has this digest; null if none. Takes the same time for every digest.
    const Customer *findCustomerByDigest(std::string_view digestHex) const;

    std::uint64_t revision = 0;
    std::vector<Model> models;
    std::vector<Engine> engines;
    std::vector<Service> services;
    std::vector<Customer> customers;

    // Builds the look-up tables; call after filling the lists by hand.
    void index();

private:
    std::map<std::string, std::size_t, std::less<>> enginesByName;
    std::map<std::string, std::size_t, std::less<>> customersByDigestPrefix;
};

// A new document and an old one in operators' words, one line for each change.
std::vector<std::string> describeChanges(const Document &from, const Document &to);

} // namespace jaytrack

#endif
