#include "tally.h"

#include "jaytrack/Load/answermessages.h"
#include "jaytrack/Stream/handle.h"

#include <nlohmann/json.hpp>

namespace jaytrack {

namespace {

constexpr int maxTries = 8;
constexpr int redirect = 307;
constexpr int stillRunning = 409;
constexpr int serviceUnavailable = 503;
constexpr std::chrono::milliseconds tryPause{300};
constexpr std::size_t answerBound = 1U << 20U;

// One caller of a plain service. For a request that must run at most once, it obtains a ticket and
// retries with that ticket, at any instance, until it has an answer.
class ServiceCaller final : public std::enable_shared_from_this<ServiceCaller>
{
public:
    ServiceCaller(Tally &shared, const ServiceLoad &kind, std::uint64_t callNumber)
        : tally(shared)
        , load(kind)
        , number(callNumber)
        , id("s" + std::to_string(callNumber))
        , url("/" + kind.service + kind.path)
    {
    }

    void send()
    {
        ++this->tries;
        if (this->tries == 1)
            this->startedAt = std::chrono::steady_clock::now();
        const std::string &key = this->tally.plan.keys[this->number % this->tally.plan.keys.size()];
        HttpCall call;
        call.method = this->load.method;
        call.url = this->tally.entryFor(this->number + static_cast<std::size_t>(this->tries)) +
                   this->url;
        call.headers = {{"Authorization", "Bearer " + key}, {"Content-Type", "application/json"}};
        if (this->load.method != "GET")
            call.body = nlohmann::json{{"order", this->id}}.dump();
        call.totalTimeout = this->tally.plan.answerTimeout;
        fetchLater(this->tally.client, std::move(call), answerBound,
                   [self = this->shared_from_this()](const FetchedAnswer &answer) {
                       self->onAnswer(answer);
                   });
    }

private:
    void onAnswer(const FetchedAnswer &answer)
    {
        const std::string outcome(findHeader(answer.headers, "Jaytrack-Outcome"));
        if (answer.end.whole && answer.end.status == redirect && this->tries < maxTries) {
            this->url = findHeader(answer.headers, "Location");
            this->ticketed = true;
            this->send();
            return;
        }
        const bool answered = answer.end.whole && !outcome.empty();
        // Without a ticket nothing has run yet, so a retry is safe for this caller too.
        const bool repeatable = this->ticketed || !this->load.once || !answer.end.maySentBytes;
        const bool shouldWait =
                answer.end.status == serviceUnavailable || answer.end.status == stillRunning;
        if ((!answered || shouldWait) && repeatable && this->tries < maxTries) {
            this->tally.runAfter(tryPause, [self = this->shared_from_this()] { self->send(); });
            return;
        }
        const auto code = parseIndex(findHeader(answer.headers, "Jaytrack-Code"));
        this->conclude(answered ? outcome : "unknown", code ? static_cast<int>(*code) : -1, answer);
    }

    void conclude(const std::string &outcome, int code, const FetchedAnswer &answer)
    {
        const auto took = std::chrono::steady_clock::now() - this->startedAt;
        if (outcome == "complete" && this->load.method != "GET") {
            if (decodeOrder(answer.body) != this->id)
                this->tally.recordGarbled(this->id + " received another caller's answer");
        }
        if (outcome == "complete")
            this->tally.updateReport([&](LoadReport &report) {
                report.serviceTime.add(std::chrono::duration<double>(took).count());
            });
        this->tally.recordResult(this->id, {outcome, code, this->load.once, false});
    }

    Tally &tally;
    const ServiceLoad &load;
    std::uint64_t number;
    std::string id;
    std::string url;
    bool ticketed = false;
    int tries = 0;
    std::chrono::steady_clock::time_point startedAt;
};

} // namespace

void startServiceCaller(Tally &tally, const ServiceLoad &load, std::uint64_t number)
{
    tally.open.fetch_add(1);
    tally.updateReport([](LoadReport &report) { ++report.requests; });
    std::make_shared<ServiceCaller>(tally, load, number)->send();
}

} // namespace jaytrack
