#include "jaytrack/Once/ledger.h"

#include "jaytrack/Support/keyring.h"
#include "jaytrack/Wire/codec.h"

#include "peer_types.h"

#include <cassert>

namespace jaytrack {

namespace {

constexpr std::string_view ticketPurpose = "ticket";
constexpr std::size_t entryOverhead = 256;

} // namespace

std::string Ticket::seal(const KeyRing &keys) const
{
    wire::TicketBody body;
    body.issuer = this->issuer;
    body.incarnation = this->incarnation;
    body.serial = this->serial;
    body.customer = this->customer;
    body.scope = this->scope;
    return keys.seal(ticketPurpose, encodeMessage(body));
}

std::optional<Ticket> Ticket::unseal(const KeyRing &keys, std::string_view text)
{
    const std::optional<std::string> data = keys.unseal(ticketPurpose, text);
    if (!data)
        return std::nullopt;
    const auto body = decodeMessage<wire::TicketBody>(*data);
    if (!body)
        return std::nullopt;
    return Ticket{body->issuer, body->incarnation, body->serial, body->customer, body->scope};
}

TicketLedger::TicketLedger(std::string instance, std::int64_t incarnation, LedgerBounds bounds)
    : self(std::move(instance))
    , selfIncarnation(incarnation)
    , limits(bounds)
{
}

bool TicketLedger::isIssuerOf(const Ticket &ticket) const
{
    return ticket.issuer == this->self && ticket.incarnation == this->selfIncarnation;
}

Ticket TicketLedger::issue(std::string_view customer, std::string_view scope, TimePoint now)
{
    this->expire(now);
    this->enforceCustomerLimit(customer);
    Ticket ticket{this->self, this->selfIncarnation, this->nextSerial++, std::string(customer),
                  std::string(scope)};
    Entry entry;
    entry.customer = ticket.customer;
    entry.scope = ticket.scope;
    entry.changedAt = now;
    this->usedBytes += memoryCost(entry);
    std::list<std::int64_t> &customerTickets = this->byCustomer[ticket.customer];
    entry.orderPosition = this->oldestFirst.insert(this->oldestFirst.end(), ticket.serial);
    entry.customerPosition = customerTickets.insert(customerTickets.end(), ticket.serial);
    this->entries.emplace(ticket.serial, std::move(entry));
    this->evictToLimit();
    return ticket;
}

// Limits the tickets of one customer. A customer that requests too many tickets evicts only its
// own, oldest first.
void TicketLedger::enforceCustomerLimit(std::string_view customer)
{
    const auto customerTickets = this->byCustomer.find(std::string(customer));
    if (customerTickets == this->byCustomer.end() ||
        customerTickets->second.size() < this->limits.ticketsPerCustomer)
        return;
    for (const std::int64_t serial : customerTickets->second) {
        if (this->entries.at(serial).state == State::Running)
            continue;
        this->forget(serial);
        return;
    }
}

Claim TicketLedger::claim(const Ticket &ticket, std::string_view bodyDigest, TimePoint now)
{
    assert(this->isIssuerOf(ticket) &&
           "a ticket can only be claimed at the instance that issued it");
    this->expire(now);
    const auto found = this->entries.find(ticket.serial);
    // A forgotten ticket may have run. It must not run again, and must not be reported as not run.
    if (found == this->entries.end())
        return {ClaimKind::Refused, ResultCode::TicketForgotten, {}};
    Entry &entry = found->second;
    if (entry.customer != ticket.customer || entry.scope != ticket.scope)
        return {ClaimKind::Refused, ResultCode::MalformedTicket, {}};
    if (!entry.bodyDigest.empty() && entry.bodyDigest != bodyDigest)
        return {ClaimKind::Refused, ResultCode::TicketBodyDiffers, {}};
    switch (entry.state) {
    case State::Issued:
        entry.state = State::Running;
        this->usedBytes -= memoryCost(entry);
        entry.bodyDigest = bodyDigest;
        this->usedBytes += memoryCost(entry);
        return {ClaimKind::Run, ResultCode::Ok, {}};
    case State::Running:
        return {ClaimKind::Wait, ResultCode::StillRunning, {}};
    case State::Done:
        return {ClaimKind::Answered, entry.answer.code, entry.answer};
    }
    return {ClaimKind::Refused, ResultCode::InvariantBroken, {}};
}

void TicketLedger::complete(std::int64_t serial, StoredAnswer answer, TimePoint now)
{
    const auto found = this->entries.find(serial);
    assert(found != this->entries.end() && found->second.state == State::Running &&
           "complete() requires a running ticket, and running tickets are never forgotten");
    Entry &entry = found->second;
    entry.state = State::Done;
    entry.changedAt = now;
    if (answer.body.size() > this->limits.answerBytes) {
        this->forget(serial);
        return;
    }
    this->usedBytes -= memoryCost(entry);
    entry.answer = std::move(answer);
    this->usedBytes += memoryCost(entry);
    this->evictToLimit();
}

void TicketLedger::release(std::int64_t serial)
{
    const auto found = this->entries.find(serial);
    assert(found != this->entries.end() && found->second.state == State::Running &&
           "release() requires a running ticket");
    found->second.state = State::Issued;
}

void TicketLedger::expire(TimePoint now)
{
    for (auto it = this->oldestFirst.begin(); it != this->oldestFirst.end();) {
        const std::int64_t serial = *it;
        ++it;
        const Entry &entry = this->entries.at(serial);
        if (entry.state == State::Running)
            continue;
        if (entry.changedAt + this->limits.retention > now)
            return;
        this->forget(serial);
    }
}

// Evicts tickets, oldest first, until the memory limit is met. Running tickets are never evicted: a
// repetition would get a wrong answer while the first request is still running. Their number is
// limited by the limit on concurrent requests.
void TicketLedger::evictToLimit()
{
    for (auto it = this->oldestFirst.begin();
         it != this->oldestFirst.end() && this->usedBytes > this->limits.bytes;) {
        const std::int64_t serial = *it;
        ++it;
        if (this->entries.at(serial).state != State::Running)
            this->forget(serial);
    }
}

void TicketLedger::forget(std::int64_t serial)
{
    const auto found = this->entries.find(serial);
    assert(found != this->entries.end() && "forget() requires a ticket of this ledger");
    this->usedBytes -= memoryCost(found->second);
    const auto customerTickets = this->byCustomer.find(found->second.customer);
    customerTickets->second.erase(found->second.customerPosition);
    if (customerTickets->second.empty())
        this->byCustomer.erase(customerTickets);
    this->oldestFirst.erase(found->second.orderPosition);
    this->entries.erase(found);
}

std::size_t TicketLedger::memoryCost(const Entry &entry)
{
    return entryOverhead + entry.customer.size() + entry.scope.size() + entry.bodyDigest.size() +
           entry.answer.body.size() + entry.answer.contentType.size();
}

} // namespace jaytrack
