// Which targets may be given work, as the platform's list changes, lapses and comes back.
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
    void onTargetCold(const TargetEntry &entry) override { this->cold.push_back(entry.id); }
    void onDataCentreUse(std::string_view dataCentre, bool outOfUse) override
    {
        this->uses.push_back(std::string(dataCentre) + (outOfUse ? " out" : " back"));
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
    std::vector<std::string> uses;
    std::vector<std::string> cold;
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

// Guards against targets of a data centre that is out of use among those that get work, whichever
// is known first.
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
    cr_assert_neq(directory.find("a"), nullptr, "what runs there is still known");
    cr_assert(directory.hasTargetsOutOfUse("svc"));
    directory.updateDataCentre({"north", 6, false});
    cr_assert_eq(directory.usable("svc").size(), 3);
    cr_assert_not(directory.hasTargetsOutOfUse("svc"));
    const std::vector<std::string> expected = {"north out", "north back"};
    cr_assert(recorder.uses == expected);
}

Test(targetDirectory, leavingTargetGetsNoWorkAndIsToldOnce)
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

// Symptom: a target that announced its leaving gets work again.
// Events: the announcement is read from a newer answer; an older listing arrives after it.
Test(targetDirectory, leavingIsNeverTakenBack)
{
    Recorder recorder;
    TargetDirectory directory(recorder);
    directory.put(entryOf("a", true));
    directory.put(entryOf("a"));
    cr_assert(directory.usable("svc").empty());
}

namespace {

enum Fact { Ready, Leaving, Told, Reported, Removed, Unusable };

// One thing that an instance hears of the target "a", in the order of the table.
struct Heard
{
    Fact fact;
    int startedAt; // 0 for untold
};

struct LifeCase
{
    char name[48];
    Heard heard[4];
    int count;
    char events[96]; // what the rest of the instance is told
    bool usable;     // in the end
};

TargetEntry lifeOf(int startedAt, bool leaving)
{
    TargetEntry entry = entryOf("a", leaving);
    entry.startedAt = StartTime(startedAt);
    entry.id = incarnationId(entry.name, entry.startedAt);
    return entry;
}

void hear(TargetDirectory &directory, const Heard &heard, int listedBefore)
{
    switch (heard.fact) {
    case Ready:
    case Leaving:
        return directory.put(lifeOf(heard.startedAt, heard.fact == Leaving));
    case Told:
        directory.markLeaving(incarnationId("a", StartTime(heard.startedAt)), "told");
        return;
    case Reported:
        return directory.updateStartTime(incarnationId("a", StartTime(listedBefore)),
                                         StartTime(heard.startedAt));
    case Removed:
        return directory.remove("a", false);
    case Unusable:
        return directory.suspend("a");
    }
}

} // namespace

// Symptom: an engine that drained and started again under its name never gets work; or one that is
// gone gets it. Events: entries, the engine's own reports and removals arrive in any order and
// late.
ParameterizedTestParameters(targetDirectory, livesUnderOneName)
{
    static LifeCase cases[] = {
            {"drained, then back",
             {{Leaving, 5}, {Ready, 9}},
             2,
             "a@5 listed_leaving|a@5 restarted|a@9 listed",
             true},
            {"restart without a word",
             {{Ready, 5}, {Ready, 9}},
             2,
             "a@5 listed|a@5 restarted|a@9 listed",
             true},
            {"older entry late", {{Ready, 9}, {Ready, 5}}, 2, "a@9 listed", true},
            {"older leaving late", {{Ready, 9}, {Leaving, 5}}, 2, "a@9 listed", true},
            {"older entry after the end",
             {{Ready, 9}, {Removed, 0}, {Ready, 5}},
             3,
             "a@9 listed|a@9 unlisted",
             false},
            {"same life back after a lapse",
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
            {"report of the same life", {{Ready, 5}, {Reported, 5}}, 2, "a@5 listed", true},
            {"late report of an older life", {{Ready, 9}, {Reported, 5}}, 2, "a@9 listed", true},
            {"leaving in the same life",
             {{Leaving, 5}, {Ready, 5}},
             2,
             "a@5 listed_leaving",
             false},
            {"twice again",
             {{Ready, 5}, {Ready, 9}, {Leaving, 9}, {Ready, 12}},
             4,
             "a@5 listed|a@5 restarted|a@9 listed|a@9 announced|a@9 restarted|a@12 listed",
             true},
            {"left, lapsed, back as it was",
             {{Leaving, 5}, {Removed, 0}, {Ready, 5}},
             3,
             "a@5 listed_leaving|a@5 listed_leaving",
             false},
            {"told, lapsed, back as it was",
             {{Ready, 5}, {Told, 5}, {Removed, 0}, {Ready, 5}},
             4,
             "a@5 listed|a@5 told|a@5 listed_leaving",
             false},
            {"told before it is listed", {{Told, 5}, {Ready, 5}}, 2, "a@5 listed_leaving", false},
            {"told, then the next life",
             {{Ready, 5}, {Told, 5}, {Ready, 9}},
             3,
             "a@5 listed|a@5 told|a@5 restarted|a@9 listed",
             true},
            {"untold start", {{Ready, 0}, {Reported, 9}}, 2, "a listed", true},
            {"start told only later",
             {{Leaving, 0}, {Ready, 9}},
             2,
             "a listed_leaving|a restarted|a@9 listed",
             true},
            {"overwritten, then mended",
             {{Ready, 5}, {Unusable, 0}, {Ready, 5}},
             3,
             "a@5 listed",
             true},
            {"overwritten", {{Ready, 5}, {Unusable, 0}}, 2, "a@5 listed", false},
            {"overwritten without its start", {{Ready, 5}, {Ready, 0}}, 2, "a@5 listed", false},
            {"overwritten, then back in a new life",
             {{Ready, 5}, {Unusable, 0}, {Ready, 9}},
             3,
             "a@5 listed|a@5 restarted|a@9 listed",
             true}};
    return cr_make_param_array(LifeCase, cases, std::size(cases));
}

ParameterizedTest(LifeCase *param, targetDirectory, livesUnderOneName)
{
    Recorder recorder;
    TargetDirectory directory(recorder);
    int listed = 0;
    for (int i = 0; i < param->count; ++i) {
        hear(directory, param->heard[i], listed);
        if (param->heard[i].fact == Ready || param->heard[i].fact == Leaving)
            listed = std::max(listed, param->heard[i].startedAt);
    }
    std::string told;
    for (const std::string &event : recorder.events)
        told += (told.empty() ? "" : "|") + event;
    cr_assert_eq(told, std::string(param->events), "%s: %s", param->name, told.c_str());
    cr_assert_eq(!directory.usable("svc").empty(), param->usable, "%s", param->name);
}

// Symptom: a whole listing with one bad entry moves the runs of a healthy engine away.
// Events: another writer overwrites the engine's entry; a listing is read before it is mended.
Test(targetDirectory, unusableEntryInAListingSuspendsOnly)
{
    Recorder recorder;
    TargetDirectory directory(recorder);
    directory.put(entryOf("a"));
    directory.put(entryOf("b"));
    directory.replaceAll({{entryOf("b")}, {"a"}}, false);
    cr_assert_eq(directory.usable("svc").size(), 1);
    cr_assert_not_null(directory.find("a"), "its runs go on");
    directory.put(entryOf("a"));
    cr_assert_eq(directory.usable("svc").size(), 2);
    const std::vector<std::string> expected = {"a listed", "b listed"};
    cr_assert(recorder.events == expected);
}

// Symptom: all requests are refused for seconds after an outage of the store.
// Events: entries lapse while the store is away; it returns with an empty list; targets that live
// are back on it within two seconds. Cause: what the list lacked was taken for gone at once.
Test(targetDirectory, lapsedEntriesAreKeptUntilTheGraceEnds)
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

Test(targetDirectory, calmListingDropsWhatItLacks)
{
    Recorder recorder;
    TargetDirectory directory(recorder);
    directory.put(entryOf("a"));
    directory.put(entryOf("b"));
    directory.replaceAll({{entryOf("b")}, {}}, false);
    cr_assert_eq(directory.size(), 1);
    cr_assert_eq(recorder.events.back(), std::string("a unlisted"));
}
