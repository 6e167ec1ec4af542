#include "record.h"

#include "jaytrack/Stream/sse.h"

#include <algorithm>

namespace jaytrack::soak {

namespace {

bool isNotRunStatus(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isStreamKind(WorkKind kind)
{
    return kind == WorkKind::OnceStream || kind == WorkKind::RepeatableStream;
}

bool mayRunOnce(WorkKind kind)
{
    return kind == WorkKind::Once || kind == WorkKind::OnceStream;
}

} // namespace

std::string eventData(const std::string &id, int generation, int number)
{
    return id + "/" + std::to_string(generation) + "/" + std::to_string(number);
}

std::string plainBody(const std::string &id)
{
    return "answer to " + id;
}

void Record::broken(const std::string &promise, const std::string &id, const std::string &detail)
{
    this->found.push_back(promise + " id=" + id + " " + detail);
}

bool Record::calm(const std::string &who, SteadyTime since) const
{
    const auto known = this->disturbedUntil.find(who);
    return known == this->disturbedUntil.end() || known->second < since;
}

void Record::disturbed(const std::string &who, SteadyTime until)
{
    const std::lock_guard lock(this->mutex);
    SteadyTime &known = this->disturbedUntil[who];
    known = std::max(known, until);
}

void Record::keyTaken(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    this->keysTaken[key] = std::chrono::steady_clock::now();
}

void Record::targetLeaves(const std::string &target)
{
    const std::lock_guard lock(this->mutex);
    this->leaving[target] = std::chrono::steady_clock::now();
}

void Record::targetStands(const std::string &target, const std::string &dataCentre)
{
    const std::lock_guard lock(this->mutex);
    this->homes[target] = dataCentre;
}

void Record::dataCentreOutOfUse(const std::string &dataCentre, bool out)
{
    const std::lock_guard lock(this->mutex);
    if (out)
        this->outOfUse.emplace(dataCentre, std::chrono::steady_clock::now());
    else
        this->outOfUse.erase(dataCentre);
}

void Record::targetCold(const std::string &target, std::chrono::milliseconds time)
{
    const std::lock_guard lock(this->mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    this->coldTargets[target] = {now, now + time, {}};
}

void Record::targetLimited(const std::string &target, double perSecond)
{
    const std::lock_guard lock(this->mutex);
    this->limitedTargets[target] = {perSecond, std::chrono::steady_clock::now(), {}, {}};
}

void Record::targetFree(const std::string &target)
{
    const std::lock_guard lock(this->mutex);
    this->limitedTargets.erase(target);
}

void Record::toldOfLimit(const std::string &id, const std::string &target)
{
    const std::lock_guard lock(this->mutex);
    const auto request = this->byId.find(id);
    const auto limited = this->limitedTargets.find(target);
    if (request != this->byId.end() && limited != this->limitedTargets.end())
        limited->second.told.emplace(request->second.instance, std::chrono::steady_clock::now());
}

void Record::wentOn(const std::string &id, const std::string &target)
{
    const std::lock_guard lock(this->mutex);
    const auto request = this->byId.find(id);
    if (request != this->byId.end())
        this->checkLimit(id, request->second, target);
}

void Record::streamBegan(const std::string &id, const std::string &version)
{
    const std::lock_guard lock(this->mutex);
    const auto request = this->byId.find(id);
    if (request != this->byId.end())
        request->second.version = version;
}

void Record::streamWentOn(const std::string &id, const std::string &version)
{
    const std::lock_guard lock(this->mutex);
    const auto request = this->byId.find(id);
    if (request != this->byId.end() && request->second.version != version)
        this->broken("two_versions", id, request->second.version + " then " + version);
}

// The bound is on all instances together that had heard of the limit and that nothing disturbed
// since; what disturbs the others, the keeper of the account among them, excuses nothing.
void Record::checkLimit(const std::string &id, const Request &request, const std::string &target)
{
    const auto known = this->limitedTargets.find(target);
    if (known == this->limitedTargets.end())
        return;
    Limited &limited = known->second;
    const auto told = limited.told.find(request.instance);
    if (told == limited.told.end() || request.sentAt < told->second + limitHeard)
        return;
    if (!this->calm(request.instance, told->second - slack)) {
        ++this->counts["limit_excused"];
        return;
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    while (!limited.arrivals.empty() && limited.arrivals.front() < now - limitWindow)
        limited.arrivals.pop_front();
    limited.arrivals.push_back(now);
    if (now < limited.from + limitBinds)
        return;
    ++this->counts["limit_judged"];
    const double most =
            limited.perSecond * limitOverage * std::chrono::duration<double>(limitWindow).count() +
            limitExtra;
    if (static_cast<double>(limited.arrivals.size()) > most)
        this->broken("limited_target_overrun", id,
                     "target=" + target + " got=" + std::to_string(limited.arrivals.size()));
}

void Record::endedUnderPart(const std::string &id, const std::string &part)
{
    const std::lock_guard lock(this->mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    PartEnds &ends = this->partEnds[part];
    ++this->counts["ended_under_part"];
    this->disturbedUntil["targets"] =
            std::max(this->disturbedUntil["targets"], now + std::chrono::seconds(4));
    if (++ends.ends == endsUnderPart)
        ends.fifthAt = now;
    const Request &request = this->byId.at(id);
    if (ends.ends <= endsUnderPart || request.sentAt <= ends.fifthAt + partBound + slack)
        return;
    const bool judged = this->calm(request.instance, request.sentAt);
    ++this->counts[judged ? "part_judged" : "part_excused"];
    if (judged && ++ends.late > lateUnderPart)
        this->broken("deadly_part_sent_on", id, "ends=" + std::to_string(ends.ends));
}

void Record::stopOrdered(const std::string &instance, std::chrono::milliseconds takesFor)
{
    const std::lock_guard lock(this->mutex);
    this->stops[instance] = {std::chrono::steady_clock::now(), takesFor};
}

void Record::sent(const std::string &id, const Work &work, const std::string &key,
                  const std::string &instance)
{
    const std::lock_guard lock(this->mutex);
    Request request;
    request.kind = work.kind;
    request.lasting = work.lasting;
    request.key = key;
    request.instance = instance;
    request.sentAt = std::chrono::steady_clock::now();
    this->byId.insert_or_assign(id, std::move(request));
}

void Record::spoiled(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    const auto request = this->byId.find(id);
    if (request != this->byId.end())
        request->second.spoiled = true;
}

void Record::toldOfLeaving(const std::string &id, const std::string &target)
{
    const std::lock_guard lock(this->mutex);
    const auto request = this->byId.find(id);
    if (request != this->byId.end())
        this->toldLeaving.emplace(std::pair(request->second.instance, target),
                                  std::chrono::steady_clock::now());
}

// What a target said in an answer binds the instance that passed it on also while the store is
// away, unless it was restarted, paused or cut since.
void Record::checkToldLeaving(const std::string &id, const Request &request,
                              const std::string &target)
{
    const auto told = this->toldLeaving.find({request.instance, target});
    if (told == this->toldLeaving.end())
        return;
    const bool late = request.sentAt > told->second + leaveBound + slack;
    const bool excused = !this->calm(request.instance, told->second - slack) ||
                         !this->calm("targets-cut", told->second - slack);
    ++this->counts[late && !excused ? "after_own_word_judged" : "after_own_word_excused"];
    if (late && !excused)
        this->broken("sent_to_target_that_said_it_leaves", id, "target=" + target);
}

void Record::checkOutOfUse(const std::string &id, const Request &request, const std::string &target)
{
    const auto home = this->homes.find(target);
    const auto out =
            home == this->homes.end() ? this->outOfUse.end() : this->outOfUse.find(home->second);
    if (out == this->outOfUse.end() || request.sentAt <= out->second + leaveBound + slack)
        return;
    const bool judged = this->calm("store", out->second - slack) &&
                        this->calm(request.instance, out->second - slack);
    ++this->counts[judged ? "out_of_use_judged" : "out_of_use_excused"];
    if (judged)
        this->broken("sent_to_data_centre_out_of_use", id, "target=" + target);
}

// The bound is on all instances together; only those that had time to learn of it are counted.
void Record::checkCold(const std::string &id, const Request &request, const std::string &target)
{
    const auto known = this->coldTargets.find(target);
    const SteadyTime now = std::chrono::steady_clock::now();
    if (known == this->coldTargets.end() || now > known->second.until)
        return;
    ColdTime &cold = known->second;
    if (request.sentAt <= cold.from + leaveBound + slack ||
        !this->calm("store", cold.from - slack) || !this->calm(request.instance, cold.from - slack))
        return;
    while (!cold.arrivals.empty() && cold.arrivals.front() < now - std::chrono::seconds(1))
        cold.arrivals.pop_front();
    cold.arrivals.push_back(now);
    ++this->counts["cold_judged"];
    if (cold.arrivals.size() > coldRate)
        this->broken("cold_target_overrun", id, "target=" + target);
}

int Record::ran(const std::string &id, const std::string &target)
{
    const std::lock_guard lock(this->mutex);
    const auto request = this->byId.find(id);
    if (request == this->byId.end()) {
        this->broken("ran_unasked", id, "target=" + target);
        return 0;
    }
    const auto taken = this->keysTaken.find(request->second.key);
    if (taken != this->keysTaken.end() && request->second.sentAt > taken->second + keyBound + slack)
        this->broken("ran_with_taken_key", id, "key=" + request->second.key);
    const auto left = this->leaving.find(target);
    if (left != this->leaving.end() && request->second.sentAt > left->second + leaveBound + slack &&
        this->calm("store", left->second - slack) &&
        this->calm(request->second.instance, left->second - slack))
        this->broken("sent_to_leaving_target", id, "target=" + target);
    this->checkToldLeaving(id, request->second, target);
    this->checkOutOfUse(id, request->second, target);
    this->checkCold(id, request->second, target);
    this->checkLimit(id, request->second, target);
    return ++request->second.runs;
}

int Record::generationOf(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    const auto request = this->byId.find(id);
    return request == this->byId.end() ? 0 : request->second.runs;
}

void Record::checkEvents(const std::string &id, const Request &request, const CallerSaw &answer)
{
    SseSplitter splitter;
    int number = 0;
    std::string generation;
    const bool good = splitter.feed(answer.body, [&](const SseEvent &event) {
        ++number;
        const std::string data(event.data);
        const std::size_t first = data.find('/');
        const std::size_t second = data.rfind('/');
        const std::string from = data.substr(first + 1, second - first - 1);
        const bool joined = !generation.empty() && from != generation && mayRunOnce(request.kind);
        generation = from;
        const bool right = event.id == std::to_string(number) && data.substr(0, first) == id &&
                           data.substr(second + 1) == event.id;
        if (joined || !right)
            this->broken("event_order", id, "at=" + std::to_string(number) + " got=" + data);
        return true;
    });
    if (!good)
        this->broken("event_order", id, "garbled");
    if (answer.whole && number != eventsOfStream)
        this->broken("cut_stream_looks_whole", id, "events=" + std::to_string(number));
}

void Record::checkSuccess(const std::string &id, const Request &request, const CallerSaw &answer)
{
    if (answer.answeredId != id)
        this->broken("answer_of_another", id, "got=" + answer.answeredId);
    if (!answer.stamped)
        this->broken("success_without_target", id, "");
    if (request.runs == 0)
        this->broken("success_without_run", id, "");
    if (isStreamKind(request.kind))
        return this->checkEvents(id, request, answer);
    if (answer.whole && answer.body != plainBody(id))
        this->broken("body_not_whole", id, "got=" + answer.body);
}

// Whether a request that met a stop is answered whole. Of those sent before the order only a stream
// made to last may meet the end of the grace; those sent later are taken up while the instance
// listens.
bool Record::isOwed(const Request &request, const Stop &stop)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    if (stop.at >= now)
        return false;
    if (request.sentAt < stop.at && !request.lasting)
        return true;
    return request.sentAt < stop.at + stop.takesFor && now < stop.at + stopServesFor;
}

// A planned stop cuts nothing at an instance that nothing else disturbs; that its process is held
// up for moments excuses nothing.
void Record::checkStop(const std::string &id, const Request &request, const CallerSaw &answer)
{
    const auto stop = this->stops.find(request.instance);
    if (stop == this->stops.end() || !isOwed(request, stop->second))
        return;
    const std::chrono::seconds before(1);
    const bool judged = this->calm(request.instance, request.sentAt - before) &&
                        this->calm("targets", request.sentAt - before) && !request.spoiled;
    ++this->counts[judged ? "at_stop_judged" : "at_stop_excused"];
    if (std::chrono::steady_clock::now() > stop->second.at + stopTakesFor && judged)
        ++this->counts["at_end_of_stop_judged"];
    if (judged && !answer.whole)
        this->broken("stop_cut_request", id, "instance=" + request.instance);
}

void Record::saw(const std::string &id, const CallerSaw &answer)
{
    const std::lock_guard lock(this->mutex);
    Request &request = this->byId.at(id);
    ++this->counts[answer.whole ? std::to_string(answer.status) : "cut"];
    if (answer.extraBytes)
        this->broken("bytes_after_answer", id, "");
    if (answer.status == 200) {
        this->servedAt = std::chrono::steady_clock::now();
        this->checkSuccess(id, request, answer);
    }
    request.refused = answer.whole && isNotRunStatus(answer.status);
    this->checkStop(id, request, answer);
}

void Record::reachedOther(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts["at_other_server"];
    if (this->byId.count(id) == 0)
        this->broken("sent_unasked_to_other_server", id, "");
}

void Record::headWasInjected(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    this->broken("header_injected", id, "");
}

void Record::checkService(const std::map<std::string, SteadyTime> &running)
{
    const std::lock_guard lock(this->mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    const auto undisturbedSince = [this](const std::string &who, SteadyTime since) {
        const auto known = this->disturbedUntil.find(who);
        return known == this->disturbedUntil.end() ? since : std::max(since, known->second);
    };
    SteadyTime runsSince = now;
    for (const auto &[instance, since] : running)
        runsSince = std::min(runsSince, undisturbedSince(instance, since));
    const SteadyTime owedSince = undisturbedSince(
            "store", undisturbedSince("targets", std::max(runsSince, this->servedAt)));
    if (now <= owedSince + recoveryBound)
        return;
    this->broken("nobody_served", "none", "");
    this->servedAt = now;
}

std::vector<std::string> Record::violations(bool atEnd)
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> all = this->found;
    for (const auto &[id, request] : this->byId) {
        if (!atEnd)
            break;
        if (mayRunOnce(request.kind) && request.runs > 1)
            all.push_back("ran_twice id=" + id);
        if (mayRunOnce(request.kind) && request.refused && request.runs > 0)
            all.push_back("not_run_was_false id=" + id);
    }
    return all;
}

std::size_t Record::requests() const
{
    const std::lock_guard lock(this->mutex);
    return this->byId.size();
}

std::map<std::string, std::size_t> Record::outcomes() const
{
    const std::lock_guard lock(this->mutex);
    return this->counts;
}

} // namespace jaytrack::soak
