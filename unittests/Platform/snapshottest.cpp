// What an instance that has just started gets from another one instead of listing the store.
#include "entryfixture.h"

#include "jaytrack/Store/snapshotmessage.h"
#include "jaytrack/Store/storesnapshot.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

StoreSnapshot wholeSnapshot()
{
    StoreSnapshot snapshot;
    snapshot.era = 3;
    snapshot.revision = 6214;
    snapshot.configuration = {"op/config", "{}", 6000, false, false};
    TargetEntry entry;
    entry.name = "t1";
    entry.startedAt = 1780004180435ms;
    entry.id = incarnationId(entry.name, entry.startedAt);
    entry.service = "svc";
    entry.address = "10.0.0.1:8147";
    entry.dataCentre = "dc";
    entry.softwareVersion = "v1.2";
    entry.slots = 24;
    entry.leaving = true;
    entry.coldFor = 300ms;
    snapshot.targets.entries.push_back(entry);
    snapshot.targets.unusable.push_back("t2");
    snapshot.targets.withheld.insert("t1");
    snapshot.outOfUse.push_back({"dc2", 17, true});
    return snapshot;
}

KeyRing fleetKeys()
{
    return KeyRing({fleetKeyOfTest()});
}

KeyRing otherKeys()
{
    return KeyRing({"another-fleet"});
}

MessageHead headOf(std::vector<HttpHeader> headers)
{
    MessageHead head;
    head.headers = std::move(headers);
    return head;
}

struct ForgedCase
{
    char name[40];
    bool isOfTheFleet;
    char nonce[8];
    char body[16];
    bool accepted;
};

ForgedCase forgedCases[] = {
        {"the answer", true, "7", "snapshot", true},
        {"of another fleet", false, "7", "snapshot", false},
        {"to another request", true, "8", "snapshot", false},
        {"changed on its way", true, "7", "snapshoT", false},
};

} // namespace

Test(snapshot, holdsAllThatAListingTells)
{
    const StoreSnapshot sent = wholeSnapshot();
    const auto read = unpackSnapshot(packSnapshot(sent));
    cr_assert(read.has_value());
    cr_assert(read->era == sent.era && read->revision == sent.revision);
    cr_assert(read->configuration.key == sent.configuration.key);
    cr_assert(read->configuration.value == sent.configuration.value);
    cr_assert(read->configuration.revision == sent.configuration.revision);
    cr_assert(read->targets.unusable == sent.targets.unusable);
    cr_assert(read->targets.withheld == sent.targets.withheld);
    cr_assert(read->outOfUse.size() == 1 && read->outOfUse[0].dataCentre == "dc2" &&
              read->outOfUse[0].revision == 17 && read->outOfUse[0].outOfUse);
    cr_assert(read->targets.entries.size() == 1);
    const TargetEntry &before = sent.targets.entries[0];
    const TargetEntry &after = read->targets.entries[0];
    cr_assert(after.id == before.id && after.name == before.name);
    cr_assert(after.startedAt == before.startedAt && after.service == before.service);
    cr_assert(after.address == before.address && after.dataCentre == before.dataCentre);
    cr_assert(after.softwareVersion == before.softwareVersion && after.slots == before.slots);
    cr_assert(after.leaving == before.leaving && after.coldFor == before.coldFor);
}

// Guards against a fleet whose targets are more than a decoder accepts by default.
Test(snapshot, holdsTheTargetsOfALargeFleet)
{
    StoreSnapshot sent = wholeSnapshot();
    const TargetEntry entry = sent.targets.entries[0];
    sent.targets.entries.assign(10'000, entry);
    const auto read = unpackSnapshot(packSnapshot(sent));
    cr_assert(read && read->targets.entries.size() == 10'000);
}

// Guards against damaged bytes that end the process or are half believed.
Test(snapshot, damagedBytesAreRefusedWhole)
{
    const std::string packed = packSnapshot(wholeSnapshot());
    for (std::size_t length = 0; length < packed.size(); ++length)
        cr_assert_not(unpackSnapshot(packed.substr(0, length)), "%zu bytes", length);
    cr_assert_not(unpackSnapshot(std::string(1000, '\xff')));
    StoreSnapshot unread = wholeSnapshot();
    unread.revision = 0;
    cr_assert_not(unpackSnapshot(packSnapshot(unread)), "of an instance that holds nothing");
}

ParameterizedTestParameters(snapshot, answerBelongsToItsRequest)
{
    return cr_make_param_array(ForgedCase, forgedCases, std::size(forgedCases));
}

// Guards against a stranger's or an older answer that makes an instance believe what is not so.
ParameterizedTest(ForgedCase *forged, snapshot, answerBelongsToItsRequest)
{
    const KeyRing signer = forged->isOfTheFleet ? fleetKeys() : otherKeys();
    const MessageHead answer = headOf(encodeSnapshotAnswer("7", 1500ms, "snapshot", signer));
    const auto age = decodeSnapshotAnswer(answer, forged->nonce, forged->body, fleetKeys());
    cr_assert(age.has_value() == forged->accepted, "%s", forged->name);
    cr_assert(!age || *age == Duration(1500ms));
}

Test(snapshot, onlyMembersOfTheFleetGetOne)
{
    const KeyRing keys = fleetKeys();
    const MessageHead own = headOf(encodeSnapshotRequest("7", keys));
    const MessageHead stranger = headOf(encodeSnapshotRequest("7", otherKeys()));
    cr_assert(decodeSnapshotRequest(own, keys) == std::optional<std::string>("7"));
    cr_assert_not(decodeSnapshotRequest(stranger, keys));
    cr_assert_not(decodeSnapshotRequest(headOf({}), keys));
}

// Guards against an instance that starts while the store refuses it and that knows nothing until
// the store serves it, though the instances around it know everything.
Test(snapshot, instanceThatTheStoreRefusesGetsItFromAnother)
{
    const std::string first = freeDatagramAddress();
    const std::string second = freeDatagramAddress();
    const ScriptedServer target(goodAnswer);
    RouteSpec route;
    route.type = "safe";
    EntryFixture holder({route}, memberOf("holder", first, second));
    holder.list("t1", target);
    FixtureOptions refused = memberOf("refused", second, first);
    refused.storeStatus = 503;
    EntryFixture starting({route}, refused);
    cr_assert(starting.becomesReady(5000ms));
    const CallerView view = callOnce(starting.port(), requestText(RequestSpec()));
    cr_assert(view.bytes.starts_with("HTTP/1.1 200"), "%s", view.bytes.c_str());
}
