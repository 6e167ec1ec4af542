#include "tally.h"

#include "jaytrack/Load/answermessages.h"
#include "jaytrack/Stream/handle.h"
#include "jaytrack/Stream/sse.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace jaytrack {

namespace {

using Time = std::chrono::steady_clock;

constexpr int maxResumes = 40;
constexpr std::chrono::milliseconds resumePause{250};

double secondsBetween(Time::time_point from, Time::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

// One caller of a generation. It checks that each token arrives once, in order and from the same
// generation. When its stream breaks, it reconnects and resumes from its cursor.
class GenerationCaller final : public std::enable_shared_from_this<GenerationCaller>
{
public:
    GenerationCaller(Tally &shared, const GenerationLoad &kind, std::uint64_t callNumber,
                     std::uint64_t seed)
        : tally(shared)
        , load(kind)
        , number(callNumber)
        , id("g" + std::to_string(callNumber))
        , random(seed)
    {
        std::normal_distribution<double> normal(std::log(kind.medianTokens), kind.spread);
        const double drawnLength = std::exp(normal(this->random));
        this->length = static_cast<std::uint32_t>(
                std::min<double>(kind.maxTokens, std::max(1.0, drawnLength)));
        std::bernoulli_distribution drops(shared.plan.reconnectShare);
        if (kind.stream && drops(this->random))
            this->dropAfter = 1 + this->random() % this->length;
    }

    void start()
    {
        this->startedAt = Time::now();
        this->lastAt = this->startedAt;
        HttpCall call;
        call.method = "POST";
        call.url = this->tally.entryFor(this->number) + "/v1/chat/completions";
        call.headers = {{"Content-Type", "application/json"}};
        call.body = this->body();
        this->send(std::move(call));
    }

private:
    // Receives the answer on one connection. Only the newest connection of a caller is considered.
    class Connection final : public HttpCallListener
    {
    public:
        Connection(std::shared_ptr<GenerationCaller> owner, int connectionId)
            : caller(std::move(owner))
            , connection(connectionId)
        {
        }

        void onHeaders(int got, std::span<const HttpHeader> headers) override
        {
            this->caller->onHeaders(this->connection, got, headers);
        }

        bool onData(std::string_view data) override
        {
            this->caller->onData(this->connection, this->splitter, data);
            return true;
        }

        void onEnd(const HttpCallEnd &end) override { this->caller->onEnd(this->connection, end); }

    private:
        std::shared_ptr<GenerationCaller> caller;
        int connection;
        SseSplitter splitter;
    };

    std::string body() const
    {
        const std::string style =
                "[[style " + std::to_string(this->number % this->load.prefixes) + "]]";
        std::string prefix = style;
        prefix.resize(std::max<std::size_t>(this->load.prefixBytes, style.size()), 's');
        std::string prompt = "[[length=" + std::to_string(this->length) + "]]";
        prompt.resize(std::max<std::size_t>(this->load.promptBytes, prompt.size()), 'p');
        const nlohmann::json body = {{"model", this->load.model},
                                     {"stream", this->load.stream},
                                     {"user", this->id},
                                     {"messages",
                                      {{{"role", "system"}, {"content", prefix}},
                                       {{"role", "user"}, {"content", prompt}}}}};
        return body.dump();
    }

    void send(HttpCall call)
    {
        const std::string &key = this->tally.plan.keys[this->number % this->tally.plan.keys.size()];
        call.headers.push_back({"Authorization", "Bearer " + key});
        call.totalTimeout = this->tally.plan.answerTimeout;
        this->status = 0;
        this->errorBody.clear();
        const auto listener =
                std::make_shared<Connection>(this->shared_from_this(), ++this->connectionNumber);
        this->current = this->tally.client.start(std::move(call), listener);
    }

    void onHeaders(int connection, int got, std::span<const HttpHeader> headers)
    {
        const std::lock_guard lock(this->mutex);
        if (connection != this->connectionNumber)
            return;
        this->status = got;
        this->outcome = findHeader(headers, "Jaytrack-Outcome");
        const auto parsedCode = parseIndex(findHeader(headers, "Jaytrack-Code"));
        this->code = parsedCode ? static_cast<int>(*parsedCode) : 0;
        const std::string_view url = findHeader(headers, "Jaytrack-Stream");
        if (!url.empty())
            this->resumeUrl = url;
    }

    void onData(int connection, SseSplitter &splitter, std::string_view data)
    {
        const std::lock_guard lock(this->mutex);
        if (connection != this->connectionNumber || this->finished)
            return;
        if (this->status != 200 || !this->load.stream) {
            this->errorBody += data;
            return;
        }
        splitter.feed(data, [&](const SseEvent &event) { return this->onEvent(event); });
        if (this->dropAfter != 0 && this->next >= this->dropAfter) {
            this->dropAfter = 0;
            this->tally.client.cancel(this->current);
            this->scheduleResume();
        }
    }

    bool onEvent(const SseEvent &event)
    {
        if (event.data == "[DONE]") {
            this->done = true;
            return false;
        }
        if (event.name == "error") {
            const StreamError error = decodeStreamError(event.data);
            this->outcome = error.outcome;
            this->code = error.code;
            this->failed = true;
            return false;
        }
        const std::optional<std::string> content = decodeContent(event.data, "delta");
        if (!content) {
            this->tally.recordGarbled(this->id + " received an event that is no chunk");
            return true;
        }
        this->cursor = event.id;
        this->checkText(*content);
        return true;
    }

    // Tokens have the form "generation:index ".
    void checkText(const std::string &text)
    {
        std::size_t at = 0;
        while (at < text.size()) {
            const std::size_t end = text.find(' ', at);
            this->checkToken(text.substr(at, end - at));
            at = end == std::string::npos ? text.size() : end + 1;
        }
    }

    void checkToken(const std::string &token)
    {
        const auto now = Time::now();
        const std::size_t colon = token.rfind(':');
        const std::string name = token.substr(0, colon);
        const auto index = parseIndex(std::string_view(token).substr(colon + 1));
        if (this->generation.empty())
            this->generation = name;
        if (name != this->generation)
            this->tally.recordGarbled(this->id + " received tokens of " + name + " after " +
                                      this->generation);
        if (!index || *index != this->next)
            this->tally.recordGarbled(this->id + " received " + token + " where index " +
                                      std::to_string(this->next) + " was due");
        ++this->next;
        if (!this->load.stream)
            return;
        const double gap = secondsBetween(this->lastAt, now);
        this->longestGap = std::max(this->longestGap, gap);
        this->lastAt = now;
        this->tally.updateReport([&](LoadReport &report) {
            ++report.tokens;
            if (this->next == 1)
                report.firstToken.add(secondsBetween(this->startedAt, now));
            else
                report.betweenTokens.add(gap);
        });
    }

    void onEnd(int connection, const HttpCallEnd &end)
    {
        const std::lock_guard lock(this->mutex);
        if (connection != this->connectionNumber || this->finished)
            return;
        if (end.whole && this->status == 200 && !this->load.stream) {
            const std::optional<std::string> content = decodeContent(this->errorBody, "message");
            if (!content)
                this->tally.recordGarbled(this->id + " received an answer that is no completion");
            this->checkText(content.value_or(""));
            this->done = true;
        }
        if (this->done) {
            this->conclude("complete", 0);
            return;
        }
        if (end.whole && (this->failed || this->status != 200)) {
            const bool mayResume = !this->resumeUrl.empty() && this->status == 503;
            if (mayResume)
                this->scheduleResume();
            else
                this->conclude(this->outcome.empty() ? "unknown" : this->outcome, this->code);
            return;
        }
        if (this->resumeUrl.empty()) {
            // The connection broke without an answer, so the caller cannot know whether it ran.
            this->conclude(end.maySentBytes ? "unknown" : "not-run", -1);
            return;
        }
        this->scheduleResume();
    }

    void scheduleResume()
    {
        ++this->connectionNumber; // ignore what the old connection still receives
        const bool late = Time::now() - this->startedAt > this->tally.plan.answerTimeout;
        if (++this->resumes > maxResumes || late) {
            this->conclude("unknown", -2);
            return;
        }
        this->tally.updateReport([](LoadReport &report) { ++report.resumes; });
        this->tally.runAfter(resumePause, [self = this->shared_from_this()] { self->resume(); });
    }

    void resume()
    {
        const std::lock_guard lock(this->mutex);
        HttpCall call;
        call.url = this->tally.entryFor(this->number + static_cast<std::size_t>(this->resumes)) +
                   this->resumeUrl;
        if (!this->cursor.empty())
            call.headers.push_back({"Last-Event-ID", this->cursor});
        call.mayRepeat = true;
        this->send(std::move(call));
    }

    void conclude(const std::string &last, int lastCode)
    {
        this->finished = true;
        if (last == "complete" && this->next != this->length)
            this->tally.recordGarbled(this->id + " was complete with " +
                                      std::to_string(this->next) + " of " +
                                      std::to_string(this->length) + " tokens");
        if (last == "complete" && this->load.stream)
            this->tally.updateReport(
                    [&](LoadReport &report) { report.longestStall.add(this->longestGap); });
        this->tally.recordResult(this->id, {last, lastCode, false, true});
    }

    Tally &tally;
    const GenerationLoad &load;
    std::uint64_t number;
    std::string id;
    std::mt19937_64 random;
    std::mutex mutex;
    std::uint32_t length = 1;
    std::uint64_t dropAfter = 0;
    std::uint64_t next = 0;
    int connectionNumber = 0;
    int resumes = 0;
    HttpCallId current = 0;
    int status = 0;
    int code = 0;
    bool done = false;
    bool failed = false;
    bool finished = false;
    std::string outcome;
    std::string generation;
    std::string cursor;
    std::string resumeUrl;
    std::string errorBody;
    double longestGap = 0;
    Time::time_point startedAt;
    Time::time_point lastAt;
};

} // namespace

void startGenerationCaller(Tally &tally, const GenerationLoad &load, std::uint64_t number,
                           std::uint64_t seed)
{
    tally.open.fetch_add(1);
    tally.updateReport([](LoadReport &report) { ++report.requests; });
    std::make_shared<GenerationCaller>(tally, load, number, seed)->start();
}

} // namespace jaytrack
