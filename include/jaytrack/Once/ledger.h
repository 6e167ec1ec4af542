// Tickets: how a non-idempotent request runs at most once although its caller may repeat it at any
// instance. The instance that issued a ticket is the only one that ever runs it, and it remembers
// that in plain memory; when it is gone, nobody may run the ticket any more.
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

// What a ticket says, unsealed.
struct Ticket
{
    std::string issuer;
    std::int64_t incarnation = 0;
    std::int64_t serial = 0;
    std::string customer;
    std::string scope; // method and path that it is good for

    std::string seal(const KeyRing &keys) const;

    // Nothing if the text was not made by this fleet.
    static std::optional<Ticket> unseal(const KeyRing &keys, std::string_view text);
};

// An answer that repeats of a ticketed request receive.
struct StoredAnswer
{
    ResultCode code = ResultCode::Ok;
    int status = 200;
    std::string contentType;
    std::string body;
};

// What to do with a request that carries a ticket.
enum class ClaimKind {
    Run,      // run it now; the ledger will not say so again for this ticket
    Wait,     // it is running; its answer will come
    Answered, // here is its answer
    Refused   // see the code
};

struct Claim
{
    ClaimKind kind = ClaimKind::Refused;
    ResultCode code = ResultCode::Ok;
    StoredAnswer answer;
};

// How much a ledger remembers.
struct LedgerBounds
{
    std::size_t bytes = 64U << 20U;        // answers, all together
    std::size_t answerBytes = 256U << 10U; // one answer; a larger one is forgotten at once
    std::size_t ticketsPerCustomer = 10'000;
    Duration retention = std::chrono::minutes(15);
};

// The tickets of one incarnation of one instance. Not safe for several threads at once.
class TicketLedger
{
public:
    TicketLedger(std::string instance, std::int64_t incarnation, LedgerBounds bounds);

    Ticket issue(std::string_view customer, std::string_view scope, TimePoint now);

    // Decides about a request under a ticket of this ledger's own incarnation.
    Claim claim(const Ticket &ticket, std::string_view bodyDigest, TimePoint now);

    // Records the answer of a ticket that was running.
    void complete(std::int64_t serial, StoredAnswer answer, TimePoint now);

    // Takes back a Run when nothing of it can have reached a target; the ticket may run again.
    void release(std::int64_t serial);

    bool isIssuerOf(const Ticket &ticket) const;
    std::size_t size() const { return this->entries.size(); }
    std::size_t storedBytes() const { return this->keptBytes; }

private:
    enum class State { Issued, Running, Done };

    struct Entry
    {
        State state = State::Issued;
        std::string customer;
        std::string scope;
        std::string bodyDigest;
        StoredAnswer answer;
        TimePoint since;
        std::list<std::int64_t>::iterator inOrder;    // own place in oldestFirst
        std::list<std::int64_t>::iterator inCustomer; // own place in the customer's list
    };

    using Entries = std::unordered_map<std::int64_t, Entry>;

    void expire(TimePoint now);
    void makeRoom();
    void boundCustomer(std::string_view customer);
    void forget(std::int64_t serial);
    static std::size_t costOf(const Entry &entry);

    std::string self;
    std::int64_t selfIncarnation;
    LedgerBounds limits;
    std::int64_t nextSerial = 1;
    std::size_t keptBytes = 0;
    Entries entries;
    std::list<std::int64_t> oldestFirst;
    std::unordered_map<std::string, std::list<std::int64_t>> byCustomer;
};

} // namespace jaytrack

#endif
