// Checks which targets may receive work as the platform's list changes, loses entries and is
// restored.
#include "jaytrack/Routing/retrybudget.h"
#include "jaytrack/Routing/targetdirectory.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace jaytrack;

namespace {

class Recorder final : public TargetDirectoryListener
{
public:
    void onTargetCold(const TargetEntry &entry) override { this->coldTargets.push_back(entry.id); }
    void onDataCentreUse(std::string_view dataCentre, bool outOfUse) override
    {
        this->useChanges.push_back(std::string(dataCentre) + (outOfUse ? " out" : " back"));
    }
    void onTargetLeaving(const TargetEntry &entry, std::string_view reason) override
    {
        this->events.push_back(entry.id + " " + std::string(reason));
    }
    void onTargetListed(const TargetEntry &entry) override
    {
        this->events.push_back(entry.id + " listed");
    }

    void onTargetRestarted(const TargetEntry &ended) override
    {
        this->events.push_back(ended.id + " restarted");
    }

    std::vector<std::string> events;
    std::vector<std::string> useChanges;
    std::vector<std::string> coldTargets;
};

TargetEntry entryOf(const std::string &id, bool leaving = false)
{
    TargetEntry entry;
    entry.id = id;
    entry.name = id;
    entry.service = "svc";
    entry.leaving = leaving;
    return entry;
}

TargetEntry entryIn(const std::string &id, const std::string &dataCentre)
{
    TargetEntry entry = entryOf(id);
    entry.dataCentre = dataCentre;
    return entry;
}

} // namespace

// Guards against giving work to targets of a data centre that is out of use, whether the target or
// the setting becomes known first.
Test(targetDirectory, dataCentreOutOfUseGetsNoWork)
{
    Recorder recorder;
    TargetDirectory directory(recorder);
    directory.put(entryIn("a", "north"));
    directory.updateDataCentre({"north", 5, true});
    directory.put(entryIn("b", "north"));
    directory.put(entryIn("c", "south"));
    cr_assert_eq(directory.usable("svc").size(), 1);
    cr_assert_eq(directory.nonLeavingTargets("north").size(), 2);
    cr_assert_neq(directory.find("a"), nullptr,
                  "the target stays known because its work continues");
    cr_assert(directory.hasTargetsOutOfUse("svc"));
    directory.updateDataCentre({"north", 6, false});
    cr_assert_eq(directory.usable("svc").size(), 3);
    cr_assert_not(directory.hasTargetsOutOfUse("svc"));
    const std::vector<std::string> expected = {"north out", "north back"};
    cr_assert(recorder.useChanges == expected);
}

Test(targetDirectory, leavingTargetGetsNoWorkAndIsReportedOnce)
{
    Recorder recorder;
    TargetDirectory directory(recorder);
    directory.put(entryOf("a"));
    directory.put(entryOf("b"));
    directory.put(entryOf("a", true));
    directory.put(entryOf("a", true));
    directory.remove("a", false);
    cr_assert_eq(directory.usable("svc").size(), 1);
    const std::vector<std::string> expected = {"a listed", "b listed", "a announced"};
    cr_assert(recorder.events == expected);
}

// Guards against giving work to a target that has announced that it is leaving, when an older
// listing arrives after the announcement.
Test(targetDirectory, leavingIsNeverTakenBack)
{
    Recorder recorder;
    TargetDirectory directory(recorder);
    directory.put(entryOf("a", true));
    directory.put(entryOf("a"));
    cr_assert(directory.usable("svc").empty());
}

namespace {

enum EventKind { Ready, Leaving, Announced, Reported, Removed, Unusable };

// An event about the target "a", in the order of the case.
struct Event
{
    EventKind kind;
    int startedAt; // 0 if not reported
};

struct IncarnationCase
{
    char name[48];
    Event steps[4];
    int count;
    char events[96]; // expected listener events
    bool usable;     // after the last event
};

TargetEntry incarnationEntry(int startedAt, bool leaving)
{
    TargetEntry entry = entryOf("a", leaving);
    entry.startedAt = StartTime(startedAt);
    entry.id = incarnationId(entry.name, entry.startedAt);
    return entry;
}

void applyEvent(TargetDirectory &directory, const Event &event, int listedBefore)
{
    switch (event.kind) {
    case Ready:
    case Leaving:
        return directory.put(incarnationEntry(event.startedAt, event.kind == Leaving));
    case Announced:
        directory.markLeaving(incarnationId("a", StartTime(event.startedAt)), "told");
        return;
    case Reported:
        return directory.updateStartTime(incarnationId("a", StartTime(listedBefore)),
                                         StartTime(event.startedAt));
    case Removed:
        return directory.remove("a", false);
    case Unusable:
        return directory.suspend("a");
    }
}

} // namespace

// Guards against an engine that drained and restarted under its name but never receives work, and
// against giving work to one that has left. Entries, reports by the engine itself and removals may
// arrive late and in any order.
ParameterizedTestParameters(targetDirectory, incarnationsUnderOneName)
{
    static IncarnationCase cases[] = {
            {"drained, then restarted",
             {{Leaving, 5}, {Ready, 9}},
             2,
             "a@5 listed_leaving|a@5 restarted|a@9 listed",
             true},
            {"restart without announcement",
             {{Ready, 5}, {Ready, 9}},
             2,
             "a@5 listed|a@5 restarted|a@9 listed",
             true},
            {"older entry late", {{Ready, 9}, {Ready, 5}}, 2, "a@9 listed", true},
            {"older leaving late", {{Ready, 9}, {Leaving, 5}}, 2, "a@9 listed", true},
            {"older entry after the removal",
             {{Ready, 9}, {Removed, 0}, {Ready, 5}},
             3,
             "a@9 listed|a@9 unlisted",
             false},
            {"same incarnation back after expiry",
             {{Ready, 9}, {Removed, 0}, {Ready, 9}},
             3,
             "a@9 listed|a@9 unlisted|a@9 listed",
             true},
            {"report first, then the entry",
             {{Ready, 5}, {Reported, 9}, {Ready, 9}},
             3,
             "a@5 listed|a@5 restarted|a@9 listed",
             true},
            {"report first, then an older entry",
             {{Ready, 5}, {Reported, 9}, {Ready, 5}},
             3,
             "a@5 listed|a@5 restarted",
             false},
            {"report of the same incarnation", {{Ready, 5}, {Reported, 5}}, 2, "a@5 listed", true},
            {"late report of an older incarnation",
             {{Ready, 9}, {Reported, 5}},
             2,
             "a@9 listed",
             true},
            {"leaving in the same incarnation",
             {{Leaving, 5}, {Ready, 5}},
             2,
             "a@5 listed_leaving",
             false},
            {"two restarts",
             {{Ready, 5}, {Ready, 9}, {Leaving, 9}, {Ready, 12}},
             4,
             "a@5 listed|a@5 restarted|a@9 listed|a@9 announced|a@9 restarted|a@12 listed",
             true},
            {"left, expired, listed as before",
             {{Leaving, 5}, {Removed, 0}, {Ready, 5}},
             3,
             "a@5 listed_leaving|a@5 listed_leaving",
             false},
            {"announced, expired, listed as before",
             {{Ready, 5}, {Announced, 5}, {Removed, 0}, {Ready, 5}},
             4,
             "a@5 listed|a@5 told|a@5 listed_leaving",
             false},
            {"announced before it is listed",
             {{Announced, 5}, {Ready, 5}},
             2,
             "a@5 listed_leaving",
             false},
            {"announced, then the next incarnation",
             {{Ready, 5}, {Announced, 5}, {Ready, 9}},
             3,
             "a@5 listed|a@5 told|a@5 restarted|a@9 listed",
             true},
            {"start not reported", {{Ready, 0}, {Reported, 9}}, 2, "a listed", true},
            {"start reported only later",
             {{Leaving, 0}, {Ready, 9}},
             2,
             "a listed_leaving|a restarted|a@9 listed",
             true},
            {"overwritten, then repaired",
             {{Ready, 5}, {Unusable, 0}, {Ready, 5}},
             3,
             "a@5 listed",
             true},
            {"overwritten", {{Ready, 5}, {Unusable, 0}}, 2, "a@5 listed", false},
            {"overwritten without its start", {{Ready, 5}, {Ready, 0}}, 2, "a@5 listed", false},
            {"overwritten, then a new incarnation",
             {{Ready, 5}, {Unusable, 0}, {Ready, 9}},
             3,
             "a@5 listed|a@5 restarted|a@9 listed",
             true}};
    return cr_make_param_array(IncarnationCase, cases, std::size(cases));
}

ParameterizedTest(IncarnationCase *param, targetDirectory, incarnationsUnderOneName)
{
    Recorder recorder;
    TargetDirectory directory(recorder);
    int listed = 0;
    for (int i = 0; i < param->count; ++i) {
        applyEvent(directory, param->steps[i], listed);
        if (param->steps[i].kind == Ready || param->steps[i].kind == Leaving)
            listed = std::max(listed, param->steps[i].startedAt);
    }
    std::string received;
    for (const std::string &event : recorder.events)
        received += (received.empty() ? "" : "|") + event;
    cr_assert_eq(received, std::string(param->events), "%s: %s", param->name, received.c_str());
    cr_assert_eq(!directory.usable("svc").empty(), param->usable, "%s", param->name);
}

// Guards against moving the runs of a healthy engine because of one bad entry in a listing. This
// happens when another writer overwrites the engine's entry and a listing is read before it is
// repaired.
Test(targetDirectory, unusableEntryInListingOnlySuspends)
{
    Recorder recorder;
    TargetDirectory directory(recorder);
    directory.put(entryOf("a"));
    directory.put(entryOf("b"));
    directory.replaceAll({{entryOf("b")}, {"a"}}, false);
    cr_assert_eq(directory.usable("svc").size(), 1);
    cr_assert_not_null(directory.find("a"), "its runs continue");
    directory.put(entryOf("a"));
    cr_assert_eq(directory.usable("svc").size(), 2);
    const std::vector<std::string> expected = {"a listed", "b listed"};
    cr_assert(recorder.events == expected);
}

// Guards against refusing all requests for seconds after an outage of the store. Entries expire
// during the outage, and the store returns with an empty list; live targets are listed again within
// two seconds, but missing entries were treated as removed at once.
Test(targetDirectory, expiredEntriesAreKeptDuringGracePeriod)
{
    Recorder recorder;
    TargetDirectory directory(recorder);
    directory.put(entryOf("lives"));
    directory.put(entryOf("dead"));
    directory.replaceAll({}, true);
    cr_assert_eq(directory.usable("svc").size(), 2);
    directory.put(entryOf("lives"));
    directory.dropMissing();
    cr_assert_eq(directory.usable("svc").size(), 1);
    cr_assert_eq(recorder.events.back(), std::string("dead missing_after_outage"));
}

Test(targetDirectory, listingOutsideGraceRemovesMissingTargets)
{
    Recorder recorder;
    TargetDirectory directory(recorder);
    directory.put(entryOf("a"));
    directory.put(entryOf("b"));
    directory.replaceAll({{entryOf("b")}, {}}, false);
    cr_assert_eq(directory.size(), 1);
    cr_assert_eq(recorder.events.back(), std::string("a unlisted"));
}
