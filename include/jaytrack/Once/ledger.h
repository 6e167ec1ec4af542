// Tickets let a non-idempotent request run at most once although its caller may repeat it at any
// instance. Only the instance that issued a ticket ever runs it, and it keeps the state of the
// ticket in memory. When that instance has terminated, no instance may run the ticket.
#ifndef JAYTRACK_ONCE_LEDGER_H
#define JAYTRACK_ONCE_LEDGER_H

#include "jaytrack/Support/clock.h"
#include "jaytrack/Support/result.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jaytrack {

class KeyRing;

// The content of a ticket.
struct Ticket
{
    std::string issuer;
    std::int64_t incarnation = 0;
    std::int64_t serial = 0;
    std::string customer;
    std::string scope; // method and path for which it is valid

    std::string seal(const KeyRing &keys) const;

    // Returns nullopt if the text was not sealed by this fleet.
    static std::optional<Ticket> unseal(const KeyRing &keys, std::string_view text);
};

// The stored answer of a request with a ticket, which is sent to its repetitions.
struct StoredAnswer
{
    ResultCode code = ResultCode::Ok;
    int status = 200;
    std::string contentType;
    std::string body;
};

// How to handle a request that carries a ticket.
enum class ClaimKind {
    Run,      // run it now; returned only once for each ticket
    Wait,     // it is running; wait for its answer
    Answered, // it has run; the claim contains its answer
    Refused   // the claim contains the reason as a result code
};

struct Claim
{
    ClaimKind kind = ClaimKind::Refused;
    ResultCode code = ResultCode::Ok;
    StoredAnswer answer;
};

// Limits of a ledger's memory and retention time.
struct LedgerBounds
{
    // Maximum memory of all tickets and answers.
    std::size_t bytes = 64U << 20U;
    // Maximum size of one answer. The ticket of a larger one is forgotten immediately.
    std::size_t answerBytes = 256U << 10U;
    std::size_t ticketsPerCustomer = 10'000;
    Duration retention = std::chrono::minutes(15);
};

// Keeps the tickets of one incarnation of one instance. Not thread-safe.
class TicketLedger
{
public:
    TicketLedger(std::string instance, std::int64_t incarnation, LedgerBounds bounds);

    Ticket issue(std::string_view customer, std::string_view scope, TimePoint now);

    // Decides how to handle a request with a ticket that was issued by this incarnation.
    Claim claim(const Ticket &ticket, std::string_view bodyDigest, TimePoint now);

    // Stores the answer of a running ticket.
    void complete(std::int64_t serial, StoredAnswer answer, TimePoint now);

    // Reverts a claim that returned Run if no part of the request can have reached a target. The
    // ticket may run again.
    void release(std::int64_t serial);

    bool isIssuerOf(const Ticket &ticket) const;
    std::size_t size() const { return this->entries.size(); }
    std::size_t storedBytes() const { return this->usedBytes; }

private:
    enum class State { Issued, Running, Done };

    struct Entry
    {
        State state = State::Issued;
        std::string customer;
        std::string scope;
        std::string bodyDigest;
        StoredAnswer answer;
        TimePoint changedAt;
        std::list<std::int64_t>::iterator orderPosition;    // position in oldestFirst
        std::list<std::int64_t>::iterator customerPosition; // position in the customer's list
    };

    using Entries = std::unordered_map<std::int64_t, Entry>;

    void expire(TimePoint now);
    void evictToLimit();
    void enforceCustomerLimit(std::string_view customer);
    void forget(std::int64_t serial);
    static std::size_t memoryCost(const Entry &entry);

    std::string self;
    std::int64_t selfIncarnation;
    LedgerBounds limits;
    std::int64_t nextSerial = 1;
    std::size_t usedBytes = 0;
    Entries entries;
    std::list<std::int64_t> oldestFirst;
    std::unordered_map<std::string, std::list<std::int64_t>> byCustomer;
};

} // namespace jaytrack

#endif
