#include "site.h"

#include "instanceprocess.h"

#include "jaytrack/Net/socket.h"

namespace jaytrack::soak {

using nlohmann::json;
using testing::Answer;
using testing::AnswerStep;
using testing::SeenRequest;
using testing::wholeAnswer;

namespace {

constexpr std::chrono::milliseconds eventGap{25};

// Gaps of streams that are made to last: 3.2 to 5.2 s in all, so that many end between the 3 s for
// which a stopping instance takes connections and the end of its grace.
constexpr int shortestLastingGapMs = 140;
constexpr int longestLastingGapMs = 225;

// Of a hundred requests that reach a target: refused as full, run with the answer lost, run with
// half of the answer.
constexpr int percentRefused = 4;
constexpr int percentLost = 2;
constexpr int percentHalved = 2;
constexpr int percentPages = 2; // run, with a page of a web server in place of the answer
constexpr int percentMovesRefused = 30;

constexpr std::array<int, 6> pageStatuses = {200, 404, 421, 429, 503, 700};

Answer pageAnswer(std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::size_t> draw(0, pageStatuses.size() - 1);
    return wholeAnswer(pageStatuses[draw(random)], "Content-Type: text/html\r\nRetry-After: 30\r\n",
                       "<html>a page</html>\n");
}

std::string stampHeaders(const std::string &attempt, const std::string &ownWords)
{
    return "X-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: s\r\n" + ownWords;
}

testing::RouteSpec routeOf(const std::string &prefix, const std::string &type, int timeoutMs)
{
    testing::RouteSpec route;
    route.prefix = prefix;
    route.type = type;
    route.service = type == "stream" ? "svc" : "desk";
    route.timeoutMs = timeoutMs;
    return route;
}

} // namespace

SoakTarget::SoakTarget(asio::io_context &context, Record &seen, std::string serviceName,
                       std::string firstId, std::string standsIn, std::uint64_t seed)
    : record(seen)
    , serviceOf(std::move(serviceName))
    , home(std::move(standsIn))
    , ownId(std::move(firstId))
    , random(seed)
    , server([this](const SeenRequest &request) { return this->answer(request); })
    , proxy(std::make_unique<FaultProxy>(context,
                                         parseEndpoint(this->server.address()).value().port()))
{
}

std::string SoakTarget::id() const
{
    const std::lock_guard lock(this->mutex);
    return this->ownId;
}

// Two versions serve side by side in each data centre, and a target that takes the place of another
// may have either.
std::string SoakTarget::version() const
{
    return std::stoi(this->id().substr(1)) / 2 % 2 == 0 ? "v1" : "v2";
}

void SoakTarget::becomes(const std::string &newId)
{
    const std::lock_guard lock(this->mutex);
    this->ownId = newId;
    this->leaving = false;
    this->perSecond = 0;
}

void SoakTarget::namesLimit(double requestsPerSecond)
{
    const std::lock_guard lock(this->mutex);
    this->perSecond = requestsPerSecond;
}

double SoakTarget::limit() const
{
    const std::lock_guard lock(this->mutex);
    return this->perSecond;
}

// What it says of itself in its answers.
std::string SoakTarget::ownWords() const
{
    const std::string leaves = this->leaves() ? "Server-Leaving: 1\r\n" : "";
    const double named = this->limit();
    return named > 0 ? leaves + "Server-Limit: " + std::to_string(named) + "\r\n" : leaves;
}

void SoakTarget::noteWords(const std::string &attempt) const
{
    if (this->leaves())
        this->record.toldOfLeaving(attempt, this->id());
    if (this->limit() > 0)
        this->record.toldOfLimit(attempt, this->id());
}

void SoakTarget::saysItLeaves()
{
    const std::lock_guard lock(this->mutex);
    this->leaving = true;
}

bool SoakTarget::leaves() const
{
    const std::lock_guard lock(this->mutex);
    return this->leaving;
}

Answer SoakTarget::answer(const SeenRequest &request)
{
    if (request.head.path() == "/jaytrack/report")
        return wholeAnswer(200, this->ownWords() + "Content-Type: application/json\r\n", "{}");
    std::uniform_int_distribution<int> percent(0, 99);
    if (request.head.path() == "/jaytrack/kv-move") {
        const bool refused = percent(this->random) < percentMovesRefused;
        return wholeAnswer(refused ? 503 : 200, "Content-Type: application/json\r\n",
                           R"({"KvHandle":"h","Created":1})");
    }
    if (request.head.header("X-Expect-Instance") != this->id())
        return wholeAnswer(421, "X-Instance: " + this->id() + "\r\n", "");
    const std::string attempt(request.head.header("X-Attempt-Id"));
    if (percent(this->random) < percentRefused)
        return wholeAnswer(503, stampHeaders(attempt, this->ownWords()) + "X-Not-Executed: 1\r\n",
                           "");
    return this->run(request, attempt);
}

Answer SoakTarget::run(const SeenRequest &request, const std::string &attempt)
{
    if (this->serviceOf == "svc")
        return this->stream(request, attempt);
    this->record.ran(attempt, this->id());
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<int> work(5, 60);
    this->noteWords(attempt);
    Answer answer = wholeAnswer(200, stampHeaders(attempt, this->ownWords()), plainBody(attempt));
    answer.front().after = std::chrono::milliseconds(work(this->random));
    const int luck = percent(this->random);
    if (luck < percentLost + percentHalved) {
        this->record.spoiled(attempt);
        std::string &bytes = answer.front().bytes;
        bytes.resize(luck < percentLost ? 0 : bytes.size() - 4);
        answer.push_back({AnswerStep::Kind::Close, "", {}});
    } else if (luck < percentLost + percentHalved + percentPages) {
        this->record.spoiled(attempt);
        return pageAnswer(this->random);
    }
    return answer;
}

// Ends as a process does: its connections are closed in order, new ones are refused.
Answer SoakTarget::endUnder(const std::string &part, const std::string &attempt)
{
    this->record.ran(attempt, this->id());
    this->record.endedUnderPart(attempt, part);
    this->proxy->setFault(LinkFault::Down);
    this->ended = true;
    return {{AnswerStep::Kind::Hang, "", {}}};
}

Answer SoakTarget::stream(const SeenRequest &request, const std::string &attempt)
{
    const std::string part(request.head.header(deadlyPartName));
    if (!part.empty())
        return this->endUnder(part, attempt);
    const bool resumed = !request.head.header("Kv-From").empty();
    if (resumed)
        this->record.wentOn(attempt, this->id());
    const int generation =
            resumed ? this->record.generationOf(attempt) : this->record.ran(attempt, this->id());
    const std::string_view after = request.head.header("Last-Event-Id");
    const int first = after.empty() ? 1 : std::stoi(std::string(after)) + 1;
    if (first == 1)
        this->record.streamBegan(attempt, this->version());
    else
        this->record.streamWentOn(attempt, this->version());
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<int> lastingGap(shortestLastingGapMs, longestLastingGapMs);
    const bool lasting = request.head.path().starts_with(lastingPrefix);
    const auto gap = lasting ? std::chrono::milliseconds(lastingGap(this->random)) : eventGap;
    const int luck = percent(this->random);
    const bool lost = luck < percentLost;
    const bool isPage = !lost && luck < percentLost + percentPages;
    if (lost || isPage)
        this->record.spoiled(attempt);
    if (isPage)
        return pageAnswer(this->random);
    const int last = lost ? (first + eventsOfStream) / 2 : eventsOfStream;
    this->noteWords(attempt);
    Answer answer = {{AnswerStep::Kind::Send,
                      testing::streamHead(stampHeaders(attempt, this->ownWords())),
                      {}}};
    for (int number = first; number <= last; ++number) {
        const std::string text = testing::eventText(number, eventData(attempt, generation, number));
        answer.push_back(testing::chunkStep(text, gap));
    }
    if (lost)
        answer.push_back({AnswerStep::Kind::Reset, "", {}});
    else
        answer.push_back({AnswerStep::Kind::Send, "0\r\n\r\n", {}});
    return answer;
}

Site::Site(Record &seen, std::uint64_t seed, int engines, int desks)
    : record(seen)
    , otherRandom(seed)
    , otherServer([this](const SeenRequest &request) { return this->answerOfOther(request); })
    , foreign(this->store, this->otherServer.address(), "127.0.0.1:" + std::to_string(freePort()),
              seed)
    , work(asio::make_work_guard(this->context))
    , random(seed)
    , keys({"key-0"})
{
    for (int i = 0; i < engines + desks; ++i) {
        this->targets.push_back(std::make_unique<SoakTarget>(
                this->context, seen, i < engines ? "svc" : "desk", "t" + std::to_string(i),
                dataCentres[i % 2], this->random()));
        this->list(*this->targets.back(), "ready");
    }
    this->serial = engines + desks;
    this->changeConfiguration();
    this->foreign.writeAtEdges();
    this->thread = std::thread([this] { this->context.run(); });
}

// A web server that knows nothing of the platform: pages, and requests sent back as they came.
Answer Site::answerOfOther(const SeenRequest &request)
{
    const std::string attempt(request.head.header("X-Attempt-Id"));
    if (!request.head.header("X-Injected").empty())
        this->record.headWasInjected(attempt);
    if (!attempt.empty())
        this->record.reachedOther(attempt);
    if (this->otherRandom() % 2 == 0)
        return pageAnswer(this->otherRandom);
    return wholeAnswer(200, "X-Attempt-Id: " + attempt + "\r\n", request.body);
}

Site::~Site()
{
    this->stopProxies();
}

void Site::stopProxies()
{
    this->context.stop();
    if (this->thread.joinable())
        this->thread.join();
}

std::unique_ptr<FaultProxy> Site::makeProxy(std::uint16_t toPort)
{
    return std::make_unique<FaultProxy>(this->context, toPort);
}

std::uint16_t Site::storePort() const
{
    return parseEndpoint(this->store.address()).value().port();
}

void Site::list(const SoakTarget &target, const std::string &state, int coldMillis)
{
    this->record.targetStands(target.id(), target.dataCentre());
    this->store.put("servers/" + target.id(),
                    testing::targetJson(target.address(), state, target.service(),
                                        target.dataCentre(), coldMillis, target.version()));
}

void Site::writeOutOfUse(const std::string &dataCentre)
{
    const std::string key = "op/evacuate/" + dataCentre;
    if (this->outOfUse.count(dataCentre) > 0)
        this->store.put(key, "{}");
    else
        this->store.remove(key);
}

void Site::setOutOfUse(const std::string &dataCentre, bool out)
{
    const std::lock_guard lock(this->mutex);
    if (out)
        this->outOfUse.insert(dataCentre);
    else
        this->outOfUse.erase(dataCentre);
    this->writeOutOfUse(dataCentre);
    this->record.dataCentreOutOfUse(dataCentre, out);
}

void Site::makeCold(std::size_t target, std::chrono::milliseconds time)
{
    const SoakTarget &cold = *this->targets[target];
    this->list(cold, cold.leaves() ? "draining" : "ready", static_cast<int>(time.count()));
    this->record.targetCold(cold.id(), time);
}

void Site::setLimit(std::size_t target, double perSecond)
{
    SoakTarget &limited = *this->targets[target];
    if (perSecond > 0)
        this->record.targetLimited(limited.id(), perSecond);
    else
        this->record.targetFree(limited.id());
    limited.namesLimit(perSecond);
}

void Site::publish()
{
    std::uniform_int_distribution<int> timeout(2500, 3500);
    const int limit = timeout(this->random);
    std::vector<testing::RouteSpec> routes = {
            routeOf("/once/", "unsafe", limit), routeOf("/read/", "safe", limit),
            routeOf("/draft/", "stream", limit), routeOf("/check/", "stream", limit)};
    for (const int stream : {2, 3}) {
        routes.push_back(routes[stream]);
        routes.back().prefix.insert(0, lastingPrefix);
        routes.back().timeoutMs = static_cast<int>(lastingLimit.count());
    }
    for (testing::RouteSpec &route : routes)
        route.attempts = 2;
    routes[3].resumable = true;
    routes[5].resumable = true;
    json document = testing::configurationJson(++this->version, routes);
    document["Services"][0]["ColdPerS"] = Record::coldRate;
    document["Services"].push_back({{"Name", "desk"}, {"HealthPath", "/healthz"}});
    document["Tenants"][0]["ApiKeys"] = json::array({this->keys.back()});
    this->published = document.dump();
    this->store.put("op/config", this->published);
}

void Site::changeConfiguration()
{
    const std::lock_guard lock(this->mutex);
    this->publish();
}

void Site::changeKey()
{
    const std::lock_guard lock(this->mutex);
    const std::string old = this->keys.back();
    this->keys.push_back("key-" + std::to_string(this->keys.size()));
    this->publish();
    this->record.keyTaken(old);
}

std::string Site::newestKey() const
{
    const std::lock_guard lock(this->mutex);
    return this->keys.back();
}

std::string Site::someKey(std::mt19937_64 &draws) const
{
    const std::lock_guard lock(this->mutex);
    std::uniform_int_distribution<std::size_t> any(0, this->keys.size() - 1);
    const bool old = draws() % 4 == 0;
    return old ? this->keys[any(draws)] : this->keys.back();
}

void Site::announceLeaving(std::size_t target)
{
    this->targets[target]->saysItLeaves();
    this->list(*this->targets[target], "draining");
    this->record.targetLeaves(this->targets[target]->id());
}

void Site::replaceTarget(std::size_t target)
{
    SoakTarget &leaving = *this->targets[target];
    this->store.remove("servers/" + leaving.id());
    this->goneTargets.push_back(leaving.id());
    this->record.targetFree(leaving.id());
    leaving.becomes("t" + std::to_string(this->serial++));
    this->list(leaving, "ready");
}

void Site::writeAgain()
{
    const std::lock_guard lock(this->mutex);
    this->store.put("op/config", this->published);
    for (const std::string &id : this->goneTargets)
        this->store.remove("servers/" + id);
    for (const auto &target : this->targets)
        this->list(*target, target->leaves() ? "draining" : "ready");
    for (const char *dataCentre : dataCentres)
        this->writeOutOfUse(dataCentre);
}

} // namespace jaytrack::soak
