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
    this->boundCustomer(customer);
    Ticket ticket{this->self, this->selfIncarnation, this->nextSerial++, std::string(customer),
                  std::string(scope)};
    Entry entry;
    entry.customer = ticket.customer;
    entry.scope = ticket.scope;
    entry.since = now;
    this->keptBytes += costOf(entry);
    std::list<std::int64_t> &own = this->byCustomer[ticket.customer];
    entry.inOrder = this->oldestFirst.insert(this->oldestFirst.end(), ticket.serial);
    entry.inCustomer = own.insert(own.end(), ticket.serial);
    this->entries.emplace(ticket.serial, std::move(entry));
    this->makeRoom();
    return ticket;
}

// One customer who asks for tickets without end pushes out only its own, oldest first.
void TicketLedger::boundCustomer(std::string_view customer)
{
    const auto own = this->byCustomer.find(std::string(customer));
    if (own == this->byCustomer.end() || own->second.size() < this->limits.ticketsPerCustomer)
        return;
    for (const std::int64_t serial : own->second) {
        if (this->entries.at(serial).state == State::Running)
            continue;
        this->forget(serial);
        return;
    }
}

Claim TicketLedger::claim(const Ticket &ticket, std::string_view bodyDigest, TimePoint now)
{
    assert(this->isIssuerOf(ticket) && "only the issuer decides about a ticket");
    this->expire(now);
    const auto found = this->entries.find(ticket.serial);
    // A forgotten ticket may have run, so it must neither run again nor be called not run.
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
        this->keptBytes -= costOf(entry);
        entry.bodyDigest = bodyDigest;
        this->keptBytes += costOf(entry);
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
           "a running ticket is never forgotten");
    Entry &entry = found->second;
    entry.state = State::Done;
    entry.since = now;
    if (answer.body.size() > this->limits.answerBytes) {
        this->forget(serial);
        return;
    }
    this->keptBytes -= costOf(entry);
    entry.answer = std::move(answer);
    this->keptBytes += costOf(entry);
    this->makeRoom();
}

void TicketLedger::release(std::int64_t serial)
{
    const auto found = this->entries.find(serial);
    assert(found != this->entries.end() && found->second.state == State::Running &&
           "only a running ticket is released");
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
        if (entry.since + this->limits.retention > now)
            return;
        this->forget(serial);
    }
}

// Running tickets stay whatever the bounds say: forgetting one would answer its repeat wrongly
// while the first is still on its way. The limit on concurrent requests bounds their number.
void TicketLedger::makeRoom()
{
    for (auto it = this->oldestFirst.begin();
         it != this->oldestFirst.end() && this->keptBytes > this->limits.bytes;) {
        const std::int64_t serial = *it;
        ++it;
        if (this->entries.at(serial).state != State::Running)
            this->forget(serial);
    }
}

void TicketLedger::forget(std::int64_t serial)
{
    const auto found = this->entries.find(serial);
    assert(found != this->entries.end() && "only a known ticket is forgotten");
    this->keptBytes -= costOf(found->second);
    const auto own = this->byCustomer.find(found->second.customer);
    own->second.erase(found->second.inCustomer);
    if (own->second.empty())
        this->byCustomer.erase(own);
    this->oldestFirst.erase(found->second.inOrder);
    this->entries.erase(found);
}

std::size_t TicketLedger::costOf(const Entry &entry)
{
    return entryOverhead + entry.customer.size() + entry.scope.size() + entry.bodyDigest.size() +
           entry.answer.body.size() + entry.answer.contentType.size();
}

} // namespace jaytrack
