// What becomes of entries that another instance passes on though they name no target.
#include "jaytrack/Store/storesnapshot.h"

#include <criterion/criterion.h>

#include <functional>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

TargetEntry soundEntry(std::string name)
{
    TargetEntry entry;
    entry.name = std::move(name);
    entry.startedAt = 1780004180435ms;
    entry.id = incarnationId(entry.name, entry.startedAt);
    entry.service = "svc";
    entry.address = "10.0.0.1:8147";
    entry.dataCentre = "dc";
    entry.softwareVersion = "v1.2";
    entry.slots = 24;
    return entry;
}

struct OddEntry
{
    const char *name;
    std::function<void(TargetEntry &)> spoil;
};

const std::vector<OddEntry> oddEntries = {
        {"no name", [](TargetEntry &entry) { entry.name.clear(); }},
        {"line break in the name", [](TargetEntry &entry) { entry.name += "\r\nX-Injected: 1"; }},
        {"long name", [](TargetEntry &entry) { entry.name.resize(201, 'a'); }},
        {"port 0", [](TargetEntry &entry) { entry.address = "10.0.0.1:0"; }},
        {"unspecified address", [](TargetEntry &entry) { entry.address = "0.0.0.0:80"; }},
        {"no address", [](TargetEntry &entry) { entry.address = "somewhere"; }},
        {"no service", [](TargetEntry &entry) { entry.service.clear(); }},
        {"long service", [](TargetEntry &entry) { entry.service.assign(100'000, 's'); }},
        {"NUL in the data centre", [](TargetEntry &entry) { entry.dataCentre += '\0'; }},
        {"line break in the version", [](TargetEntry &entry) { entry.softwareVersion += '\n'; }},
        {"no slots", [](TargetEntry &entry) { entry.slots = 0; }},
        {"negative slots", [](TargetEntry &entry) { entry.slots = -1; }},
        {"too many slots", [](TargetEntry &entry) { entry.slots = 1'000'001; }},
        {"negative time until warm", [](TargetEntry &entry) { entry.coldFor = -1ms; }},
        {"endless time until warm",
         [](TargetEntry &entry) { entry.coldFor = std::chrono::milliseconds::max(); }},
        {"negative start", [](TargetEntry &entry) { entry.startedAt = -1ms; }},
};

} // namespace

// Guards against entries that an instance of an older version takes for targets and passes on.
Test(snapshot, unusableEntriesCostOnlyThemselves)
{
    for (const OddEntry &odd : oddEntries) {
        StoreSnapshot sent;
        sent.revision = 6214;
        sent.configuration = {"op/config", "{}", 6000, false, false};
        sent.targets.entries = {soundEntry("t1"), soundEntry("t2"), soundEntry("t3")};
        odd.spoil(sent.targets.entries[1]);
        sent.targets.withheld = {sent.targets.entries[1].name};
        const auto read = unpackSnapshot(packSnapshot(sent));
        cr_assert(read.has_value(), "%s", odd.name);
        cr_expect_eq(read->targets.entries.size(), 2, "%s", odd.name);
        cr_expect(read->targets.withheld.empty(), "%s", odd.name);
        const std::vector<std::string> unusable = {sent.targets.entries[1].name};
        cr_expect(read->targets.unusable == unusable, "%s", odd.name);
        cr_expect_eq(read->targets.entries.back().name, std::string("t3"), "%s", odd.name);
    }
}

// Guards against revisions that no change of the store ever follows, which negative numbers become
// as unsigned ones.
Test(snapshot, negativeRevisionsAreNotUsed)
{
    static constexpr auto negative = static_cast<std::uint64_t>(-5);
    StoreSnapshot sound;
    sound.era = 3;
    sound.revision = 6214;
    sound.configuration = {"op/config", "{}", 6000, false, false};
    StoreSnapshot sent = sound;
    sent.era = negative;
    cr_expect_not(unpackSnapshot(packSnapshot(sent)).has_value());
    sent = sound;
    sent.configuration.revision = negative;
    cr_expect_not(unpackSnapshot(packSnapshot(sent)).has_value());
    sent = sound;
    sent.outOfUse = {{"dc1", negative, true}, {"dc2", 17, true}};
    const auto read = unpackSnapshot(packSnapshot(sent));
    cr_assert(read.has_value());
    cr_expect_eq(read->outOfUse.size(), 1);
    cr_expect_eq(read->outOfUse.back().dataCentre, std::string("dc2"));
}
