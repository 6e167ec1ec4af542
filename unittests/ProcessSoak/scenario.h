// One seeded run: real processes under load, with faults in series that overlap.
#ifndef JAYTRACK_TESTS_PROCESSSOAK_SCENARIO_H
#define JAYTRACK_TESTS_PROCESSSOAK_SCENARIO_H

#include "instanceprocess.h"
#include "record.h"
#include "site.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace jaytrack::soak {

struct ScenarioOptions
{
    std::uint64_t seed = 1;
    std::chrono::seconds length{12}; // of the part with faults
    int instances = 4;
    int engines = 4;
    int desks = 2;
    int callers = 8;
    int lastingCallers = 4; // of streams that are made to last
    std::string program;
    std::string directory; // for settings and logs, existing
};

struct ScenarioResult
{
    std::vector<std::string> violations;
    std::size_t requests = 0;
    std::map<std::string, std::size_t> outcomes;
    std::map<std::string, std::size_t> faults;
};

class Scenario
{
public:
    explicit Scenario(ScenarioOptions given);
    ~Scenario();

    ScenarioResult run();

private:
    struct Member
    {
        std::unique_ptr<FaultProxy> storeProxy;
        std::unique_ptr<InstanceProcess> process;
        std::unique_ptr<FaultProxy> callerProxy;
        bool restartDue = false;
        bool stopping = false; // by a planned stop, in this life
        SteadyTime startedAt;
    };

    void startInstances();
    bool awaitService(const std::string &promise);
    bool serves(const Member &member, const std::string &id);
    void start(Member &member);
    void callFrom(int caller);
    Work drawWork(std::mt19937_64 &draws, bool lasting) const;
    void injectFault();
    void advance(SteadyTime until);
    void restartEnded();
    void heal();
    void disturbAndHeal();
    void restartAll();
    void checkService();
    void stopInstances();

    // Faults. Each notes what it disturbs and plans its own end.
    void killInstance();
    void pauseInstance();
    void stopInstance();
    void stopInstanceHeld();
    void reloadInstance();
    void cutStoreOfInstance();
    void cutCallersOfInstance();
    void cutTarget();
    void refuseAtStore();
    void forgetAtStore();
    void returnStoreFromCopy();
    void changeConfiguration();
    void changeKey();
    void leaveTarget();
    void putDataCentreOutOfUse();
    void makeTargetCold();
    void limitTarget();
    void sendDeadlyPart();
    void bringBackEnded();

    // Faults of a series of its own, beside the others.
    void planSeries();
    void changeForeignEntry();
    void writeManyForeignEntries();
    void killAll();
    void killInTurn();
    void killFor(Member &member, std::chrono::milliseconds down);

    Member &someMember();
    bool orderStop(Member &member);
    bool stopsOnly() const;
    void disturb(const std::string &who, std::chrono::milliseconds time);
    std::chrono::milliseconds drawTime(int fromMs, int toMs);
    std::chrono::milliseconds drawSeriesTime(int fromMs, int toMs);
    LinkFault drawLinkFault();
    void later(std::chrono::milliseconds after, std::function<void()> action);

    ScenarioOptions options;
    std::mt19937_64 random;
    std::mt19937_64 seriesRandom; // of the second series, so that the first draws the same without
    Record record;
    Site site;
    std::vector<Member> members;
    std::multimap<SteadyTime, std::function<void()>> planned;
    std::map<std::string, std::size_t> faults;
    std::vector<std::string> ownViolations;
    std::atomic<bool> calling{false};
    std::vector<std::thread> callers;
    std::vector<bool> targetLeaving;
    std::atomic<int> deadlyPart{0}; // number of the part that some requests have now; 0 for none
    int deadlyParts = 0;
    bool dataCentreIsOut = false;
};

} // namespace jaytrack::soak

#endif
