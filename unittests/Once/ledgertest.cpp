#include "jaytrack/Once/ledger.h"
#include "jaytrack/Support/keyring.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;

namespace {

LedgerBounds smallBounds()
{
    LedgerBounds bounds;
    bounds.bytes = 4096;
    bounds.answerBytes = 1024;
    bounds.ticketsPerCustomer = 3;
    bounds.retention = std::chrono::seconds(60);
    return bounds;
}

TimePoint at(int seconds)
{
    return TimePoint(std::chrono::seconds(seconds));
}

StoredAnswer paid()
{
    return {ResultCode::Ok, 200, "application/json", "paid"};
}

} // namespace

// Symptom: a member is charged twice. Events: the caller's connection breaks, it repeats its
// request under the same ticket. Cause: a ledger that says Run twice.
Test(ledger, saysRunOnce)
{
    TicketLedger ledger("a", 1, smallBounds());
    const Ticket ticket = ledger.issue("weavers", "POST /pay", at(0));
    cr_assert(ledger.claim(ticket, "x", at(1)).kind == ClaimKind::Run);
    cr_assert(ledger.claim(ticket, "x", at(2)).kind == ClaimKind::Wait);
    ledger.complete(ticket.serial, paid(), at(3));
    const Claim repeat = ledger.claim(ticket, "x", at(4));
    cr_assert(repeat.kind == ClaimKind::Answered);
    cr_assert(repeat.answer.body == "paid");
}

// Symptom: "not run" for a payment that ran. Events: the answer outgrows what the ledger keeps, or
// grows too old, and the caller asks once more. Cause: taking a forgotten ticket for a new one.
Test(ledger, callsForgottenTicketsUnknown)
{
    TicketLedger ledger("a", 1, smallBounds());
    const Ticket old = ledger.issue("weavers", "POST /pay", at(0));
    cr_assert(ledger.claim(old, "x", at(0)).kind == ClaimKind::Run);
    ledger.complete(old.serial, paid(), at(0));
    const Claim late = ledger.claim(old, "x", at(61));
    cr_assert(late.kind == ClaimKind::Refused);
    cr_assert(late.code == ResultCode::TicketForgotten);
    cr_assert(describe(late.code).outcome == Outcome::Unknown);

    const Ticket large = ledger.issue("weavers", "POST /pay", at(70));
    cr_assert(ledger.claim(large, "x", at(70)).kind == ClaimKind::Run);
    ledger.complete(large.serial, {ResultCode::Ok, 200, "", std::string(2000, 'x')}, at(70));
    cr_assert(ledger.claim(large, "x", at(70)).code == ResultCode::TicketForgotten);
}

Test(ledger, refusesAnotherBody)
{
    TicketLedger ledger("a", 1, smallBounds());
    const Ticket ticket = ledger.issue("weavers", "POST /pay", at(0));
    cr_assert(ledger.claim(ticket, "x", at(1)).kind == ClaimKind::Run);
    const Claim other = ledger.claim(ticket, "y", at(1));
    cr_assert(other.code == ResultCode::TicketBodyDiffers);
    cr_assert(describe(other.code).outcome == Outcome::NotRun);
}

Test(ledger, runsAgainAfterRelease)
{
    TicketLedger ledger("a", 1, smallBounds());
    const Ticket ticket = ledger.issue("weavers", "POST /pay", at(0));
    cr_assert(ledger.claim(ticket, "x", at(1)).kind == ClaimKind::Run);
    ledger.release(ticket.serial);
    cr_assert(ledger.claim(ticket, "x", at(2)).kind == ClaimKind::Run);
}

// Symptom: one customer's tickets vanish. Events: another customer asks for tickets without end.
// Cause: one bound for all customers together.
Test(ledger, boundsEachCustomerAlone)
{
    TicketLedger ledger("a", 1, smallBounds());
    const Ticket mine = ledger.issue("dyers", "POST /pay", at(0));
    for (int i = 0; i < 100; ++i)
        ledger.issue("weavers", "POST /pay", at(1));
    cr_assert(ledger.claim(mine, "x", at(2)).kind == ClaimKind::Run);
    cr_assert(ledger.size() == 4);
}

// Symptom: a repeat is answered while the first still runs. Events: the ledger is full.
// Cause: forgetting a running ticket to make room.
Test(ledger, neverForgetsRunningTickets)
{
    TicketLedger ledger("a", 1, smallBounds());
    const Ticket running = ledger.issue("weavers", "POST /pay", at(0));
    cr_assert(ledger.claim(running, "x", at(0)).kind == ClaimKind::Run);
    for (int i = 0; i < 100; ++i)
        ledger.issue("customer" + std::to_string(i), "POST /pay", at(1));
    cr_assert(ledger.storedBytes() <= smallBounds().bytes);
    cr_assert(ledger.claim(running, "x", at(1000)).kind == ClaimKind::Wait);
}

struct SealCase
{
    char text[32];
};

ParameterizedTestParameters(ticket, rejectsForeignText)
{
    static SealCase cases[] = {{""}, {"x"}, {"AAAAAAAAAAAAAAAAAAAAAAAA"}, {"!!!!"}, {"AAAA="}};
    return cr_make_param_array(SealCase, cases, std::size(cases));
}

ParameterizedTest(SealCase *param, ticket, rejectsForeignText)
{
    const KeyRing keys({"0123456789abcdef"});
    cr_assert(!Ticket::unseal(keys, param->text));
}

Test(ticket, opensWithAnyKeyOfTheRing)
{
    const KeyRing old({"0123456789abcdef"});
    const KeyRing rotated({"fedcba9876543210", "0123456789abcdef"});
    const KeyRing after({"fedcba9876543210"});
    const Ticket ticket{"a", 7, 9, "weavers", "POST /pay"};
    const auto opened = Ticket::unseal(rotated, ticket.seal(old));
    cr_assert(opened);
    cr_assert(opened->serial == 9 && opened->customer == "weavers");
    cr_assert(!Ticket::unseal(after, ticket.seal(old)));
}

// Symptom: a payment runs again after its instance was restarted. Events: the replacement keeps the
// name, and its ledger has a ticket of the same serial number. Cause: knowing tickets by name
// alone.
Test(ledger, ownsOnlyItsIncarnation)
{
    TicketLedger former("a", 1, smallBounds());
    TicketLedger replacement("a", 2, smallBounds());
    const Ticket old = former.issue("weavers", "POST /pay", at(0));
    const Ticket fresh = replacement.issue("weavers", "POST /pay", at(1));
    cr_assert(old.serial == fresh.serial);
    cr_assert(!replacement.isIssuerOf(old));
    cr_assert(replacement.isIssuerOf(fresh));
    cr_assert(!TicketLedger("b", 2, smallBounds()).isIssuerOf(fresh));
}
