#include "jaytrack/Once/ledger.h"
#include "jaytrack/Support/keyring.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;

namespace {

LedgerBounds smallLimits()
{
    LedgerBounds bounds;
    bounds.bytes = 4096;
    bounds.answerBytes = 1024;
    bounds.ticketsPerCustomer = 3;
    bounds.retention = std::chrono::seconds(60);
    return bounds;
}

TimePoint atSecond(int seconds)
{
    return TimePoint(std::chrono::seconds(seconds));
}

StoredAnswer paid()
{
    return {ResultCode::Ok, 200, "application/json", "paid"};
}

} // namespace

// Guards against charging a customer twice: the caller's connection breaks, it repeats its request
// with the same ticket, and the ledger returns Run a second time.
Test(ledger, returnsRunOnce)
{
    TicketLedger ledger("a", 1, smallLimits());
    const Ticket ticket = ledger.issue("weavers", "POST /pay", atSecond(0));
    cr_assert(ledger.claim(ticket, "x", atSecond(1)).kind == ClaimKind::Run);
    cr_assert(ledger.claim(ticket, "x", atSecond(2)).kind == ClaimKind::Wait);
    ledger.complete(ticket.serial, paid(), atSecond(3));
    const Claim repeat = ledger.claim(ticket, "x", atSecond(4));
    cr_assert(repeat.kind == ClaimKind::Answered);
    cr_assert(repeat.answer.body == "paid");
}

// Guards against reporting "not run" for a payment that ran. The answer exceeds the size limit or
// the retention time, the caller repeats its request, and the ledger treats the forgotten ticket as
// new.
Test(ledger, reportsForgottenTicketsAsUnknown)
{
    TicketLedger ledger("a", 1, smallLimits());
    const Ticket old = ledger.issue("weavers", "POST /pay", atSecond(0));
    cr_assert(ledger.claim(old, "x", atSecond(0)).kind == ClaimKind::Run);
    ledger.complete(old.serial, paid(), atSecond(0));
    const Claim late = ledger.claim(old, "x", atSecond(61));
    cr_assert(late.kind == ClaimKind::Refused);
    cr_assert(late.code == ResultCode::TicketForgotten);
    cr_assert(describe(late.code).outcome == Outcome::Unknown);

    const Ticket large = ledger.issue("weavers", "POST /pay", atSecond(70));
    cr_assert(ledger.claim(large, "x", atSecond(70)).kind == ClaimKind::Run);
    ledger.complete(large.serial, {ResultCode::Ok, 200, "", std::string(2000, 'x')}, atSecond(70));
    cr_assert(ledger.claim(large, "x", atSecond(70)).code == ResultCode::TicketForgotten);
}

Test(ledger, refusesDifferentBody)
{
    TicketLedger ledger("a", 1, smallLimits());
    const Ticket ticket = ledger.issue("weavers", "POST /pay", atSecond(0));
    cr_assert(ledger.claim(ticket, "x", atSecond(1)).kind == ClaimKind::Run);
    const Claim other = ledger.claim(ticket, "y", atSecond(1));
    cr_assert(other.code == ResultCode::TicketBodyDiffers);
    cr_assert(describe(other.code).outcome == Outcome::NotRun);
}

Test(ledger, runsAgainAfterRelease)
{
    TicketLedger ledger("a", 1, smallLimits());
    const Ticket ticket = ledger.issue("weavers", "POST /pay", atSecond(0));
    cr_assert(ledger.claim(ticket, "x", atSecond(1)).kind == ClaimKind::Run);
    ledger.release(ticket.serial);
    cr_assert(ledger.claim(ticket, "x", atSecond(2)).kind == ClaimKind::Run);
}

// Guards against one customer's tickets being evicted because another customer requests too many,
// which happens if one limit applies to all customers together.
Test(ledger, limitsEachCustomerSeparately)
{
    TicketLedger ledger("a", 1, smallLimits());
    const Ticket mine = ledger.issue("dyers", "POST /pay", atSecond(0));
    for (int i = 0; i < 100; ++i)
        ledger.issue("weavers", "POST /pay", atSecond(1));
    cr_assert(ledger.claim(mine, "x", atSecond(2)).kind == ClaimKind::Run);
    cr_assert(ledger.size() == 4);
}

// Guards against answering a repetition while the first request is still running, which happens if
// a full ledger evicts a running ticket.
Test(ledger, neverEvictsRunningTickets)
{
    TicketLedger ledger("a", 1, smallLimits());
    const Ticket running = ledger.issue("weavers", "POST /pay", atSecond(0));
    cr_assert(ledger.claim(running, "x", atSecond(0)).kind == ClaimKind::Run);
    for (int i = 0; i < 100; ++i)
        ledger.issue("customer" + std::to_string(i), "POST /pay", atSecond(1));
    cr_assert(ledger.storedBytes() <= smallLimits().bytes);
    cr_assert(ledger.claim(running, "x", atSecond(1000)).kind == ClaimKind::Wait);
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

Test(ticket, unsealsWithAnyKeyOfTheRing)
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

// Guards against running a payment again after its instance was restarted. The replacement has the
// same name, and its ledger contains a ticket with the same serial number, so tickets must be
// identified by incarnation too.
Test(ledger, isIssuerOfOnlyItsIncarnation)
{
    TicketLedger former("a", 1, smallLimits());
    TicketLedger replacement("a", 2, smallLimits());
    const Ticket old = former.issue("weavers", "POST /pay", atSecond(0));
    const Ticket fresh = replacement.issue("weavers", "POST /pay", atSecond(1));
    cr_assert(old.serial == fresh.serial);
    cr_assert(!replacement.isIssuerOf(old));
    cr_assert(replacement.isIssuerOf(fresh));
    cr_assert(!TicketLedger("b", 2, smallLimits()).isIssuerOf(fresh));
}
