// Which targets may be given work, as the platform's list changes, lapses and comes back.
#include "jaytrack/Routing/retrybudget.h"
#include "jaytrack/Routing/targetdirectory.h"

#include <criterion/criterion.h>

using namespace jaytrack;

namespace {

class Recorder final : public TargetDirectoryListener
{
public:
    void onTargetLeaving(const TargetEntry &entry, std::string_view reason) override
    {
        this->events.push_back(entry.id + " " + std::string(reason));
    }
    void onTargetListed(const TargetEntry &entry) override
    {
        this->events.push_back(entry.id + " listed");
    }

    std::vector<std::string> events;
};

TargetEntry entryOf(const std::string &id, bool leaving = false)
{
    TargetEntry entry;
    entry.id = id;
    entry.service = "svc";
    entry.leaving = leaving;
    return entry;
}

} // namespace

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
    directory.replaceAll({entryOf("b")}, false);
    cr_assert_eq(directory.size(), 1);
    cr_assert_eq(recorder.events.back(), std::string("a unlisted"));
}

// Symptom: repeats of all instances together exceed the operators' bound.
// Events: a calm minute, then a storm in which every request wants a repeat.
// Cause: repeats that were saved up over several windows were spent within one.
Test(retryBudget, savingsNeverExceedOneWindow)
{
    ManualClock clock;
    RetryBudget budget(clock, {0.2, std::chrono::seconds(10)});
    for (int second = 0; second < 60; ++second) {
        for (int i = 0; i < 10; ++i)
            budget.earn("svc");
        clock.advance(std::chrono::seconds(1));
    }
    int taken = 0;
    while (budget.take("svc"))
        ++taken;
    cr_assert(taken <= 20, "%d repeats for the 100 requests of a window", taken);
    cr_assert(taken >= 10, "%d", taken);
}

Test(retryBudget, idleInstanceHasAFew)
{
    ManualClock clock;
    RetryBudget budget(clock, {0.2, std::chrono::seconds(10)});
    cr_assert(budget.take("svc"));
    cr_assert(budget.take("svc"));
    cr_assert_not(budget.take("svc"));
}
