// The configuration document that the platform publishes to every instance. It takes effect as a
// whole, under one revision.
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

// The largest value that the platform stores.
inline constexpr std::size_t maxDocumentBytes = 1'000'000;

// The features that an engine supports according to its operators. A feature that is not declared
// is not assumed.
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

// Which requests of a service may be repeated. A request that matches no route is not idempotent.
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
    double objectiveShare = 0.99; // share of requests that must be answered
    bool deduplicates = false;    // honours Idempotency-Key across all its targets
    std::chrono::milliseconds timeout{10'000};

    bool isIdempotent(std::string_view method, std::string_view path) const;
};

// Whether requests for a model may wait, and for how long, and the objectives for the model.
struct Model
{
    std::string name;
    bool mayWait = true;
    std::chrono::milliseconds maxWait{30'000};
    int priority = 0;            // larger values are served first
    bool repeatable = true;      // a generation without output may restart on another engine
    double overflowBound = 0.02; // accepted probability that an engine's memory overflows
    std::chrono::milliseconds silenceTimeout{20'000}; // longest gap between two tokens
    std::chrono::milliseconds firstTokenObjective{390};
    std::chrono::milliseconds stallObjective{2'000};
    double objectiveShare = 0.95; // share of requests that must meet each objective
};

// One customer.
struct Customer
{
    std::string name;
    std::vector<std::string> keyDigests; // SHA-256 of each API key, in hexadecimal
    std::uint32_t weight = 1;
    std::uint32_t maxConcurrent = 100; // on one instance
};

// A validated document, immutable once parsed. A request keeps the document under which its
// decisions were made.
class Document
{
public:
    // Parses and checks the compiled JSON form. On failure, returns the first problem.
    static Result<std::shared_ptr<const Document>> parse(std::string_view json,
                                                         std::uint64_t revision);

    // Returns the compiled JSON form; equal documents give equal bytes.
    std::string serialise() const;

    // Returns every fault in the document: duplicate names and dangling references.
    std::vector<Error> check() const;

    const Model *findModel(std::string_view name) const;
    const Service *findService(std::string_view name) const;
    const Engine *findEngine(std::string_view name) const;

    // Returns the customer whose key has this digest; null if none. Takes the same time for every
    // digest.
    const Customer *findCustomerByDigest(std::string_view digestHex) const;

    std::uint64_t revision = 0;
    std::vector<Model> models;
    std::vector<Engine> engines;
    std::vector<Service> services;
    std::vector<Customer> customers;

    // Builds the look-up tables; call it after filling the lists directly.
    void index();

private:
    std::map<std::string, std::size_t, std::less<>> enginesByName;
    std::map<std::string, std::size_t, std::less<>> customersByDigestPrefix;
};

// Describes the differences between two documents for operators, one line per change.
std::vector<std::string> describeChanges(const Document &from, const Document &to);

} // namespace jaytrack

#endif
