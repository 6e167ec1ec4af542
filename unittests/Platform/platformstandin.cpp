#include "platformstandin.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>

namespace jaytrack::testing {

using nlohmann::json;

namespace {

std::string encodeBase64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    HttpRequest request;
    const std::size_t mark = target.find('?');
    request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
    return request.queryValue(name);
}

bool isOddKey(const std::string &key)
{
    return std::any_of(key.begin(), key.end(), [](unsigned char c) {
        const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return !isLetter && !(c >= '-' && c <= '9');
    });
}

// Joins texts of JSON values as they are, so that an unreadable one stands beside readable ones.
std::string arrayText(const std::vector<std::string> &values)
{
    std::string text = "[";
    for (const std::string &value : values)
        text += (text.size() > 1 ? "," : "") + value;
    return text + "]";
}

} // namespace

Answer wholeAnswer(int status, const std::string &headers, const std::string &body)
{
    return {{AnswerStep::Kind::Send,
             "HTTP/1.1 " + std::to_string(status) + " S\r\n" + headers +
                     "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
             {}}};
}

AnswerStep chunkStep(const std::string &data, std::chrono::milliseconds after)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    return {AnswerStep::Kind::Send, size + data + "\r\n", after};
}

std::string streamHead(const std::string &headers)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + headers +
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string eventText(int id, const std::string &data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

class ScriptedServer::Connection : public std::enable_shared_from_this<Connection>,
                                   private MessageReceiver
{
public:
    Connection(asio::ip::tcp::socket accepted, ScriptedServer &of)
        : socket(std::move(accepted))
        , timer(this->socket.get_executor())
        , owner(of)
        , parser(HttpMessageParser::MessageKind::Requests, *this, 65536)
    {
    }

    void read()
    {
        this->socket.async_read_some(
                asio::buffer(this->buffer),
                [self = this->shared_from_this()](const asio::error_code &failure, std::size_t n) {
                    if (failure) {
                        if (self->answering) {
                            const std::lock_guard lock(self->owner.mutex);
                            ++self->owner.closed;
                        }
                        self->answering = false;
                        self->timer.cancel();
                        return;
                    }
                    self->parser.feed({self->buffer.data(), n});
                    self->read();
                });
    }

    void end()
    {
        asio::error_code ignored;
        this->answering = false;
        this->timer.cancel();
        this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        this->socket.close(ignored);
    }

private:
    void onHead(MessageHead head) override { this->request.head = std::move(head); }
    void onBody(std::string_view bytes) override { this->request.body += bytes; }

    void onMessageEnd() override
    {
        {
            const std::lock_guard lock(this->owner.mutex);
            this->owner.requests.push_back(this->request);
        }
        this->steps = this->owner.script(this->request);
        this->request = {};
        this->answering = true;
        this->next(0);
    }

    void next(std::size_t index)
    {
        if (index == this->steps.size()) {
            this->answering = false;
            return;
        }
        this->timer.expires_after(this->steps[index].after);
        this->timer.async_wait(
                [self = this->shared_from_this(), index](const asio::error_code &stop) {
                    if (!stop)
                        self->perform(index);
                });
    }

    void perform(std::size_t index)
    {
        const AnswerStep &step = this->steps[index];
        asio::error_code ignored;
        switch (step.kind) {
        case AnswerStep::Kind::Hang:
            return;
        case AnswerStep::Kind::LookAgain: {
            Answer more = step.again();
            this->steps = std::move(more);
            return this->next(0);
        }
        case AnswerStep::Kind::Reset:
            this->answering = false;
            this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            this->socket.close(ignored);
            return;
        case AnswerStep::Kind::Close:
            return this->end();
        case AnswerStep::Kind::Die:
            return this->owner.die();
        case AnswerStep::Kind::Send:
            asio::async_write(this->socket, asio::buffer(step.bytes),
                              [self = this->shared_from_this(),
                               index](const asio::error_code &failure, std::size_t) {
                                  if (!failure)
                                      self->next(index + 1);
                              });
        }
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    ScriptedServer &owner;
    HttpMessageParser parser;
    SeenRequest request;
    Answer steps;
    std::array<char, 8192> buffer{};
    bool answering = false;
};

ScriptedServer::ScriptedServer(Script answers)
    : work(asio::make_work_guard(this->context))
    , acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0})
    , script(std::move(answers))
    , port(this->acceptor.local_endpoint().port())
{
    this->accept();
    this->thread = std::thread([this] { this->context.run(); });
}

ScriptedServer::~ScriptedServer()
{
    this->context.stop();
    this->thread.join();
}

void ScriptedServer::accept()
{
    this->acceptor.async_accept(
            [this](const asio::error_code &failure, asio::ip::tcp::socket accepted) {
                if (failure)
                    return;
                const auto taken = std::make_shared<Connection>(std::move(accepted), *this);
                this->connections.push_back(taken);
                taken->read();
                this->accept();
            });
}

void ScriptedServer::die()
{
    {
        const std::lock_guard lock(this->mutex);
        this->dead = true;
    }
    asio::error_code ignored;
    this->acceptor.close(ignored);
    // Keeps the port, so that later calls to this address reach no server of another test.
    this->acceptor.open(asio::ip::tcp::v4(), ignored);
    this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), ignored);
    this->acceptor.bind({asio::ip::make_address("127.0.0.1"), this->port}, ignored);
    for (const std::weak_ptr<Connection> &weak : this->connections) {
        if (const auto open = weak.lock())
            open->end();
    }
}

bool ScriptedServer::isDead() const
{
    const std::lock_guard lock(this->mutex);
    return this->dead;
}

std::string ScriptedServer::address() const
{
    return "127.0.0.1:" + std::to_string(this->port);
}

std::vector<SeenRequest> ScriptedServer::seen() const
{
    const std::lock_guard lock(this->mutex);
    return this->requests;
}

std::size_t ScriptedServer::closedByPeer() const
{
    const std::lock_guard lock(this->mutex);
    return this->closed;
}

StoreStandin::StoreStandin()
    : server(std::make_unique<ScriptedServer>(
              [this](const SeenRequest &request) { return this->answer(request); }))
{
}

void StoreStandin::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->items[key] = {value, this->revision};
    this->history.push_back({this->revision, key, value, false});
}

void StoreStandin::remove(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->items.erase(key);
    this->history.push_back({this->revision, key, "", true});
}

void StoreStandin::putRaw(const std::string &key, const std::string &itemText)
{
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->items[key] = {"", this->revision, itemText};
    this->history.push_back({this->revision, key, "", false, itemText});
}

std::vector<std::string> StoreStandin::keys() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> stored;
    for (const auto &[key, item] : this->items)
        stored.push_back(key);
    return stored;
}

void StoreStandin::failWith(int status)
{
    const std::lock_guard lock(this->mutex);
    this->failure = status;
}

void StoreStandin::misreadOddKeys(int status)
{
    const std::lock_guard lock(this->mutex);
    this->oddKeyStatus = status;
}

void StoreStandin::alwaysTellMore()
{
    const std::lock_guard lock(this->mutex);
    this->tellsMore = true;
}

void StoreStandin::answerInstead(OtherAnswer other)
{
    const std::lock_guard lock(this->mutex);
    this->otherAnswer = std::move(other);
}

void StoreStandin::compact()
{
    const std::lock_guard lock(this->mutex);
    this->history.clear();
    this->oldest = this->revision;
}

void StoreStandin::limitPages(std::size_t count)
{
    const std::lock_guard lock(this->mutex);
    this->pageItems = count;
}

void StoreStandin::limitCapacity(std::chrono::microseconds perCall)
{
    const std::lock_guard lock(this->mutex);
    this->timePerCall = perCall;
}

void StoreStandin::freezeReplica()
{
    const std::lock_guard lock(this->mutex);
    this->replica = Replica{this->items, this->revision, this->era};
}

std::size_t StoreStandin::staleCalls() const
{
    const std::lock_guard lock(this->mutex);
    return this->staleCallCount;
}

void StoreStandin::takeCopy()
{
    const std::lock_guard lock(this->mutex);
    this->copiedItems = this->items;
    this->copiedRevision = this->revision;
}

void StoreStandin::comeBackFromCopy()
{
    const std::lock_guard lock(this->mutex);
    this->items = this->copiedItems;
    this->revision = this->copiedRevision;
    this->history.clear();
    this->oldest = this->revision;
    ++this->era;
}

std::uint64_t StoreStandin::currentEra() const
{
    const std::lock_guard lock(this->mutex);
    return this->era;
}

std::string StoreStandin::eraHeader() const
{
    return "Store-Era: " + std::to_string(this->era) + "\r\n";
}

std::size_t StoreStandin::calls() const
{
    const std::lock_guard lock(this->mutex);
    return this->callCount;
}

Answer StoreStandin::answer(const SeenRequest &request)
{
    // An instance of another test may ask a target that had this port before.
    if (!request.head.path().starts_with("/jaytrack/kv-"))
        return wholeAnswer(404, "", "");
    const std::lock_guard lock(this->mutex);
    ++this->callCount;
    Answer answered = this->answerNow(request);
    answered.front().after += this->reserveTime();
    return answered;
}

std::chrono::microseconds StoreStandin::reserveTime()
{
    const auto now = std::chrono::steady_clock::now();
    this->busyUntil = std::max(this->busyUntil, now) + this->timePerCall;
    return std::chrono::duration_cast<std::chrono::microseconds>(this->busyUntil - now);
}

Answer StoreStandin::answerNow(const SeenRequest &request)
{
    if (this->failure != 0)
        return wholeAnswer(this->failure, this->eraHeader(), "");
    if (std::optional<Answer> other = this->otherAnswer ? this->otherAnswer(request) : std::nullopt)
        return std::move(*other);
    if (request.head.path() == "/jaytrack/kv-range")
        return this->range(request.head.target);
    return this->watch(request.head.target, {});
}

Answer StoreStandin::range(const std::string &target)
{
    const bool stale = !queryValue(target, "StaleOk").empty();
    this->staleCallCount += stale ? 1 : 0;
    if (!stale || !this->replica)
        return page(this->eraHeader(), target, this->items, this->revision);
    const std::string header = "Store-Era: " + std::to_string(this->replica->era) + "\r\n";
    return page(header, target, this->replica->items, this->replica->revision);
}

Answer StoreStandin::page(const std::string &headers, const std::string &target, const Items &from,
                          std::uint64_t at) const
{
    const std::string prefix = queryValue(target, "Prefix");
    std::string after = queryValue(target, "After");
    if (this->oddKeyStatus && isOddKey(after)) {
        if (*this->oddKeyStatus != 0)
            return wholeAnswer(*this->oddKeyStatus, headers, "");
        after.clear();
    }
    std::vector<std::string> entries;
    bool more = this->tellsMore;
    for (auto item = from.upper_bound(after); item != from.end(); ++item) {
        const auto &[key, stored] = *item;
        if (!key.starts_with(prefix))
            continue;
        if (entries.size() == this->pageItems) {
            more = true;
            break;
        }
        entries.push_back(entryText(key, stored));
    }
    return wholeAnswer(200, headers + "Content-Type: application/json\r\n",
                       "{\"At\":" + std::to_string(at) + ",\"Entries\":" + arrayText(entries) +
                               ",\"HasMore\":" + (more ? "true}" : "false}"));
}

std::string StoreStandin::entryText(const std::string &key, const Stored &stored)
{
    if (!stored.rawText.empty())
        return stored.rawText;
    return json{{"Key", key},
                {"Value", encodeBase64(stored.value)},
                {"Revision", stored.revision},
                {"Created", stored.revision},
                {"Lease", 0}}
            .dump();
}

std::string StoreStandin::eventText(const Change &change)
{
    if (!change.rawText.empty())
        return change.rawText;
    json event = {{"Key", change.key}, {"Revision", change.revision}};
    if (change.deleted)
        event["Deleted"] = true;
    else
        event["Value"] = encodeBase64(change.value);
    return event.dump();
}

// Changes are answered at once; without any the question is held as long as it asks for.
Answer StoreStandin::watch(const std::string &target, std::chrono::milliseconds held)
{
    static constexpr std::chrono::milliseconds lookGap{10};
    const std::string prefix = queryValue(target, "Prefix");
    const std::uint64_t after = std::stoull(queryValue(target, "After"));
    const std::chrono::milliseconds wait(std::stoll(queryValue(target, "WaitMs")));
    if (after < this->oldest || after > this->revision)
        return wholeAnswer(410, this->eraHeader(), "");
    std::vector<std::string> events;
    for (const Change &change : this->history) {
        if (change.revision > after && change.key.starts_with(prefix))
            events.push_back(eventText(change));
    }
    if (events.empty() && held < wait) {
        AnswerStep later{AnswerStep::Kind::LookAgain, "", lookGap};
        later.again = [this, target, held] {
            const std::lock_guard lock(this->mutex);
            return this->failure != 0 ? wholeAnswer(this->failure, this->eraHeader(), "")
                                      : this->watch(target, held + lookGap);
        };
        return {later};
    }
    return wholeAnswer(200, this->eraHeader() + "Content-Type: application/json\r\n",
                       "{\"At\":" + std::to_string(this->revision) +
                               ",\"events\":" + arrayText(events) + "}");
}

CallerView callOnce(std::uint16_t port, const std::string &request,
                    std::chrono::milliseconds patience)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    CallerView view;
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(request));
    std::array<char, 8192> buffer{};
    std::function<void()> readOn = [&] {
        socket.async_read_some(asio::buffer(buffer),
                               [&](const asio::error_code &failure, std::size_t bytes) {
                                   view.bytes.append(buffer.data(), bytes);
                                   view.reset = failure && failure != asio::error::eof;
                                   if (!failure)
                                       readOn();
                               });
    };
    readOn();
    context.run_for(patience);
    return view;
}

} // namespace jaytrack::testing
