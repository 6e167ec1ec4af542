// Fleets whose callers take streams up at instances that never saw the first attempt. The network
// is simulated: messages take their time, and some are lost.
#include "jaytrack/Versions/streamversions.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <deque>
#include <memory>
#include <random>
#include <set>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

const std::string service = "svc";
const std::vector<std::string> versions = {"v1", "v1.1"};

constexpr std::chrono::milliseconds latency{3};
constexpr std::chrono::milliseconds stepTime{10};
constexpr int stepsPerTick = 10;
constexpr std::size_t streamCount = 400;

std::string nameOf(std::size_t instance)
{
    return "edge-" + std::to_string(instance);
}

class Fleet
{
public:
    explicit Fleet(std::size_t count)
        : instances(count)
    {
        for (std::size_t i = 0; i < count; ++i)
            this->start(i, true);
        this->shareMembers();
        this->run(1s);
    }

    // Starts an instance, or starts it anew without anything that it knew.
    void start(std::size_t index, bool firstStart = false)
    {
        Instance &instance = this->instances[index];
        instance.alive = true;
        instance.port = std::make_unique<Port>(*this, nameOf(index));
        instance.streams = std::make_unique<StreamVersions>(
                this->clock, nameOf(index), this->instances.size() > 1, firstStart, *instance.port);
        for (const std::string &version : this->listed)
            instance.streams->recordListed(service, version);
    }

    void kill(std::size_t index) { this->instances[index].alive = false; }

    bool isAlive(std::size_t index) const { return this->instances[index].alive; }

    // All living instances learn who lives.
    void shareMembers()
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            if (this->isAlive(i))
                names.push_back(nameOf(i));
        }
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            if (!this->isAlive(i) || this->cutOff.count(i) > 0)
                continue;
            std::vector<std::string> others = names;
            std::erase(others, nameOf(i));
            this->instances[i].streams->setInstances(others);
        }
    }

    // Lists the version for all living instances but those that are cut off.
    void list(const std::string &version)
    {
        this->listed.push_back(version);
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            for (const std::string &each : this->listed) {
                if (this->isAlive(i) && !this->cutOff.count(i))
                    this->instances[i].streams->recordListed(service, each);
            }
        }
    }

    // Instances that start from now on do not see the version.
    void unlist(const std::string &version) { std::erase(this->listed, version); }

    StreamVersions &at(std::size_t index) { return *this->instances[index].streams; }

    void run(Duration time)
    {
        for (Duration passed{0}; passed < time; passed += stepTime) {
            this->clock.advance(stepTime);
            this->deliver();
            if (++this->steps % stepsPerTick != 0)
                continue;
            for (std::size_t i = 0; i < this->instances.size(); ++i) {
                if (this->isAlive(i))
                    this->at(i).tick();
            }
        }
    }

    // What an instance finds out; nothing if it stays unknown.
    std::optional<std::string> find(std::size_t index, const std::string &stream)
    {
        bool done = false;
        std::optional<std::string> result;
        this->at(index).find(stream, service, [&](const std::optional<std::string> &version) {
            done = true;
            result = version;
        });
        this->run(1200ms);
        cr_assert(done, "a search has to end");
        return result;
    }

    std::set<std::size_t> cutOff; // instances that see no listing, no member and no message
    double loss = 0;
    std::size_t messages = 0;
    ManualClock clock;

private:
    struct Message
    {
        TimePoint at;
        std::string from;
        std::string to;
        StreamVersionMessage content;
    };

    class Port final : public StreamVersionTransport
    {
    public:
        Port(Fleet &of, std::string name)
            : fleet(of)
            , own(std::move(name))
        {
        }

        void sendStreamVersions(std::string_view instance,
                                const StreamVersionMessage &message) override
        {
            ++this->fleet.messages;
            std::bernoulli_distribution lost(this->fleet.loss);
            if (!lost(this->fleet.random))
                this->fleet.queue.push_back({this->fleet.clock.now() + latency, this->own,
                                             std::string(instance), message});
        }

    private:
        Fleet &fleet;
        std::string own;
    };

    struct Instance
    {
        bool alive = false;
        std::unique_ptr<Port> port;
        std::unique_ptr<StreamVersions> streams;
    };

    void deliver()
    {
        while (!this->queue.empty() && this->queue.front().at <= this->clock.now()) {
            const Message message = std::move(this->queue.front());
            this->queue.pop_front();
            const std::size_t to = std::stoul(message.to.substr(message.to.find('-') + 1));
            const std::size_t from = std::stoul(message.from.substr(message.from.find('-') + 1));
            const bool isCut = this->cutOff.count(from) + this->cutOff.count(to) > 0;
            if (this->isAlive(to) && !isCut)
                this->at(to).onMessage(message.from, message.content);
        }
    }

    std::mt19937_64 random{7};
    std::vector<Instance> instances;
    std::vector<std::string> listed = {versions[0]};
    std::deque<Message> queue;
    int steps = 0;
};

struct Stream
{
    std::string name;
    std::size_t owner;
    std::string version;
};

std::vector<Stream> beginStreams(Fleet &fleet, std::size_t instances, std::size_t versionCount)
{
    std::vector<Stream> streams;
    for (std::size_t i = 0; i < streamCount; ++i) {
        Stream stream{streamName("cust", service, "a" + std::to_string(i)), i % instances,
                      versions[i % versionCount]};
        if (fleet.isAlive(stream.owner)) {
            fleet.at(stream.owner).recordBegun(stream.name, service, stream.version);
            streams.push_back(std::move(stream));
        }
    }
    fleet.run(50ms);
    return streams;
}

enum class Trouble { OwnersKilled, HalfKilled, DataCentreKilled, AllRestartedInTurn, Lossy };

struct TroubleCase
{
    char name[28];
    Trouble trouble;
    std::size_t instances;
    bool membersKnown; // whether the living know who died before callers come back
};

void strike(Fleet &fleet, const TroubleCase &plan)
{
    for (std::size_t i = 0; i < plan.instances; ++i) {
        const bool half = plan.trouble == Trouble::HalfKilled && i % 2 == 0;
        const bool part = plan.trouble == Trouble::DataCentreKilled && i % 4 == 1;
        const bool owner = plan.trouble == Trouble::OwnersKilled && i == 0;
        if (half || part || owner)
            fleet.kill(i);
        if (plan.trouble != Trouble::AllRestartedInTurn)
            continue;
        fleet.kill(i);
        fleet.shareMembers();
        fleet.run(200ms);
        fleet.start(i);
        fleet.shareMembers();
        fleet.run(200ms);
    }
    if (plan.membersKnown)
        fleet.shareMembers();
}

} // namespace

// Guards against a stream that goes on at another version, or nowhere, because the instance that
// began it, and some of those that it told, are gone.
ParameterizedTestParameters(streamVersions, areKnownToThoseThatCallersComeBackTo)
{
    static TroubleCase cases[] = {{"owners killed", Trouble::OwnersKilled, 7, false},
                                  {"owners killed", Trouble::OwnersKilled, 195, false},
                                  {"owners killed", Trouble::OwnersKilled, 584, true},
                                  {"half killed", Trouble::HalfKilled, 7, false},
                                  {"half killed", Trouble::HalfKilled, 7, true},
                                  {"half killed", Trouble::HalfKilled, 195, false},
                                  {"half killed", Trouble::HalfKilled, 584, true},
                                  {"data centre killed", Trouble::DataCentreKilled, 73, false},
                                  {"data centre killed", Trouble::DataCentreKilled, 584, true},
                                  {"all restarted in turn", Trouble::AllRestartedInTurn, 7, true},
                                  {"all restarted in turn", Trouble::AllRestartedInTurn, 73, true},
                                  {"messages lost", Trouble::Lossy, 7, true},
                                  {"messages lost", Trouble::Lossy, 195, true}};
    return cr_make_param_array(TroubleCase, cases, std::size(cases));
}

ParameterizedTest(TroubleCase *plan, streamVersions, areKnownToThoseThatCallersComeBackTo)
{
    Fleet fleet(plan->instances);
    fleet.list(versions[1]);
    fleet.loss = plan->trouble == Trouble::Lossy ? 0.2 : 0;
    const std::vector<Stream> streams = beginStreams(fleet, plan->instances, versions.size());
    strike(fleet, *plan);
    std::size_t asked = 0;
    std::size_t found = 0;
    for (std::size_t i = 0; i < streams.size(); i += 8) {
        std::size_t back = (streams[i].owner + 1 + i) % plan->instances;
        while (!fleet.isAlive(back) || back == streams[i].owner)
            back = (back + 1) % plan->instances;
        const auto version = fleet.find(back, streams[i].name);
        cr_assert(!version || *version == streams[i].version, "%s, %zu: wrong version", plan->name,
                  plan->instances);
        ++asked;
        found += version ? 1 : 0;
    }
    cr_expect(2 * found >= asked, "%s, %zu instances: %zu of %zu known", plan->name,
              plan->instances, found, asked);
}

namespace {

struct OutOfStepCase
{
    char name[32];
    std::size_t instances;
    bool isBack;         // the others can be reached again when callers come
    bool membersChanged; // some instances were killed, and some started, meanwhile
};

} // namespace

// Guards against streams that go on at another version at an instance which was cut off, or stood
// still, while others began them at engines of a version that it has not seen.
ParameterizedTestParameters(streamVersions, instanceOutOfStepDoesNotGuess)
{
    static OutOfStepCase cases[] = {{"back", 7, true, false},
                                    {"back", 195, true, false},
                                    {"back", 584, true, false},
                                    {"back, members changed", 7, true, true},
                                    {"back, members changed", 195, true, true},
                                    {"back, members changed", 584, true, true},
                                    {"still cut off", 7, false, false},
                                    {"still cut off", 195, false, true},
                                    {"still cut off", 584, false, false}};
    return cr_make_param_array(OutOfStepCase, cases, std::size(cases));
}

ParameterizedTest(OutOfStepCase *param, streamVersions, instanceOutOfStepDoesNotGuess)
{
    Fleet fleet(param->instances);
    fleet.run(ServiceVersions::maxStreamLife + 1s);
    fleet.cutOff.insert(0);
    fleet.list(versions[1]);
    for (std::size_t i = 1; param->membersChanged && i < param->instances; i += 4) {
        fleet.kill(i);
        if (i % 8 == 1)
            fleet.start(i);
    }
    fleet.shareMembers();
    fleet.run(1s);
    std::vector<Stream> streams;
    for (const Stream &stream : beginStreams(fleet, param->instances, versions.size())) {
        if (stream.owner != 0)
            streams.push_back(stream);
    }
    if (param->isBack)
        fleet.cutOff.clear();
    cr_assert_not(fleet.at(0).isMixed(service), "it has seen one version");
    std::size_t found = 0;
    std::size_t asked = 0;
    for (std::size_t i = 0; i < streams.size(); i += 16, ++asked) {
        const auto version = fleet.find(0, streams[i].name);
        cr_assert(version || fleet.at(0).mustKnow(service), "%s, %zu: it guesses", param->name,
                  param->instances);
        cr_assert(!version || *version == streams[i].version, "%s, %zu: wrong version", param->name,
                  param->instances);
        found += version ? 1 : 0;
    }
    cr_expect(2 * found >= asked || !param->isBack, "%s, %zu instances: %zu of %zu known",
              param->name, param->instances, found, asked);
}

// Guards against refusing streams, or asking for long, where all have seen the same version.
Test(streamVersions, oneVersionIsSettledByWitnesses)
{
    Fleet fleet(7);
    fleet.run(ServiceVersions::maxStreamLife + 1s);
    bool done = false;
    fleet.at(0).find(streamName("cust", service, "a9"), service,
                     [&done](const std::optional<std::string> &version) {
                         done = true;
                         cr_expect_not(version.has_value());
                     });
    fleet.run(20ms);
    cr_expect(done, "a few messages suffice");
    cr_expect_not(fleet.at(0).mustKnow(service));
    fleet.cutOff.insert(0);
    fleet.find(0, streamName("cust", service, "a9"));
    cr_expect(fleet.at(0).mustKnow(service), "nobody answers");
    fleet.cutOff.clear();
    fleet.run(1s);
    cr_expect_not(fleet.at(0).mustKnow(service), "the others can be asked again");
}

// Guards against messages while every stream can only have begun at the one version that there is.
Test(streamVersions, costNothingWithOneVersion)
{
    Fleet fleet(73);
    const std::size_t before = fleet.messages;
    beginStreams(fleet, 73, 1);
    fleet.run(5s);
    cr_expect(fleet.messages == before, "%zu messages", fleet.messages - before);
    cr_expect(!fleet.at(0).mustKnow(service));
}

// Guards against cost that grows with the fleet.
Test(streamVersions, costTheSameForEachStreamAtAnySize)
{
    for (const std::size_t instances : {7U, 195U, 584U}) {
        Fleet fleet(instances);
        fleet.list(versions[1]);
        fleet.run(1s);
        const std::size_t before = fleet.messages;
        beginStreams(fleet, instances, versions.size());
        fleet.run(5s);
        cr_expect(fleet.messages - before == StreamVersions::keepers * streamCount,
                  "%zu instances: %zu messages", instances, fleet.messages - before);
    }
}

// Guards against streams that are unknown because they began before there was a second version.
Test(streamVersions, beganBeforeTheSecondVersionIsKnown)
{
    Fleet fleet(7);
    const std::vector<Stream> streams = beginStreams(fleet, 7, 1);
    fleet.run(2s);
    fleet.list(versions[1]);
    fleet.run(50ms);
    fleet.kill(streams[0].owner);
    std::size_t found = 0;
    std::size_t asked = 0;
    for (std::size_t i = 0; i < streams.size(); i += 7, ++asked)
        found += fleet.find(1 + i % 6, streams[i].name) == streams[i].version ? 1 : 0;
    cr_expect(found == asked, "%zu of %zu", found, asked);
}

// Guards against an instance that lets a stream go on at the only version that it sees, because it
// started after the version that began the stream was gone.
Test(streamVersions, instanceThatStartedLaterAsksWhatHasServed)
{
    Fleet fleet(7);
    fleet.list(versions[1]);
    beginStreams(fleet, 7, 2);
    fleet.kill(0);
    fleet.shareMembers();
    fleet.run(1s);
    fleet.unlist(versions[0]);
    fleet.start(0);
    cr_expect(!fleet.at(0).isMixed(service), "sees one version");
    cr_expect(fleet.at(0).mustKnow(service), "and knows nothing of others yet");
    fleet.shareMembers();
    fleet.run(1s);
    cr_expect(fleet.at(0).isMixed(service));
}

struct CommonStartCase
{
    std::size_t instances;
    std::size_t survivors;
    bool secondVersionIsListed; // when they start again, the first one still is
};

ParameterizedTestParameters(streamVersions, nobodyGuessesAfterACommonStart)
{
    static CommonStartCase cases[] = {{1, 0, false},   {7, 0, false},   {7, 0, true},
                                      {7, 1, false},   {195, 0, false}, {195, 0, true},
                                      {195, 1, false}, {584, 0, false}, {584, 1, false}};
    return cr_make_param_array(CommonStartCase, cases, std::size(cases));
}

// Guards against streams that go on at another version, because all instances were killed while the
// versions changed, and each takes the word of others that know no more than itself.
ParameterizedTest(CommonStartCase *param, streamVersions, nobodyGuessesAfterACommonStart)
{
    Fleet fleet(param->instances);
    const std::vector<Stream> before = beginStreams(fleet, param->instances, 1);
    fleet.run(2s);
    if (param->survivors > 0)
        fleet.list(versions[1]);
    for (std::size_t i = param->survivors; i < param->instances; ++i)
        fleet.kill(i);
    fleet.shareMembers();
    fleet.run(1s);
    if (param->survivors == 0)
        fleet.list(versions[1]);
    if (!param->secondVersionIsListed)
        fleet.unlist(versions[0]);
    for (std::size_t i = param->survivors; i < param->instances; ++i)
        fleet.start(i);
    fleet.shareMembers();
    fleet.run(2s);
    for (std::size_t i = 0; i < param->instances; ++i)
        cr_assert(fleet.at(i).mustKnow(service), "%zu of %zu guesses", i, param->instances);
    for (std::size_t i = 0; i < before.size(); i += 40) {
        const auto version = fleet.find((i + 1) % param->instances, before[i].name);
        cr_assert(!version || *version == versions[0]);
    }
    // Streams that begin now are known to others than their owner, which dies.
    if (param->instances == 1)
        return;
    fleet.at(0).recordBegun(streamName("cust", service, "later"), service, versions[1]);
    fleet.run(50ms);
    fleet.kill(0);
    fleet.shareMembers();
    fleet.run(1s);
    cr_expect(fleet.find(1, streamName("cust", service, "later")) == versions[1]);
    fleet.run(ServiceVersions::maxStreamLife + 1s);
    const bool stillMixed = param->survivors > 0 || param->secondVersionIsListed;
    cr_expect(stillMixed || !fleet.at(1).mustKnow(service), "no stream from before is left");
}

// Guards against an instance that refuses streams after its start though others have served all the
// while.
Test(streamVersions, instanceThatStartedIsToldByThoseThatKnow)
{
    Fleet fleet(7);
    fleet.kill(3);
    fleet.start(3);
    cr_expect(fleet.at(3).mustKnow(service));
    fleet.shareMembers();
    fleet.run(1s);
    cr_expect(!fleet.at(3).mustKnow(service));
}

// Guards against a search that goes on for ever, or longer than needed, for an attempt without
// a record, and against finding the stream of another customer or service.
Test(streamVersions, unknownStreamsAreUnknownSoon)
{
    Fleet fleet(7);
    fleet.list(versions[1]);
    fleet.at(0).recordBegun(streamName("cust", service, "a1"), service, "v1");
    fleet.run(100ms);
    cr_expect(fleet.find(3, streamName("cust", service, "a1")) == "v1");
    for (const std::string &stream :
         {streamName("other", service, "a1"), streamName("cust", "other", "a1"),
          streamName("cust", service, "a2"), streamName("cus", "tsvc", "a1"), std::string()})
        cr_expect(!fleet.find(3, stream));
    const TimePoint began = fleet.clock.now();
    bool done = false;
    fleet.at(3).find("forged", service, [&done](const auto &) { done = true; });
    while (!done)
        fleet.run(stepTime);
    cr_expect(fleet.clock.now() - began <= StreamVersions::maxSearch + 100ms);
}

// Guards against records that are kept for ever, and against too many of them.
Test(streamVersions, recordsAreForgotten)
{
    Fleet fleet(1);
    StreamVersions &streams = fleet.at(0);
    for (std::size_t i = 0; i < StreamVersions::maxRecords + 100; ++i)
        streams.recordBegun("s" + std::to_string(i), service, "v1");
    cr_expect(streams.size() == StreamVersions::maxRecords);
    streams.recordCompleted("s500");
    cr_expect(streams.size() == StreamVersions::maxRecords - 1);
    fleet.run(ServiceVersions::maxStreamLife + 1s);
    cr_expect(streams.size() == 0);
}
