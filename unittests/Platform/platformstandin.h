// Stand-ins of the platform for tests: a store that is scripted by the test, and targets that
// answer as the test says. They listen on loopback and run on a thread of their own.
#ifndef JAYTRACK_TESTS_PLATFORMSTANDIN_H
#define JAYTRACK_TESTS_PLATFORMSTANDIN_H

#include "jaytrack/Net/httpparser.h"

#include <asio.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace jaytrack::testing {

// A request as a stand-in received it.
struct SeenRequest
{
    MessageHead head;
    std::string body;
};

struct AnswerStep;
using Answer = std::vector<AnswerStep>;

// One step of an answer after a pause: bytes, the end of the connection, the end of the whole
// server with all its connections, or a look at what to do then.
struct AnswerStep
{
    enum class Kind { Send, Close, Reset, Hang, Die, LookAgain };

    Kind kind = Kind::Send;
    std::string bytes;
    std::chrono::microseconds after{0};
    std::function<Answer()> again = {};
};

// Builds the steps of common answers.
Answer wholeAnswer(int status, const std::string &headers, const std::string &body);
AnswerStep chunkStep(const std::string &data, std::chrono::milliseconds after = {});
std::string streamHead(const std::string &headers);
std::string eventText(int id, const std::string &data);

// A server whose answers a function decides.
class ScriptedServer
{
public:
    using Script = std::function<Answer(const SeenRequest &request)>;

    explicit ScriptedServer(Script answers);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    std::string address() const;
    std::vector<SeenRequest> seen() const;
    std::size_t closedByPeer() const; // connections that the other side ended while being answered
    bool isDead() const;

private:
    class Connection;

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    asio::ip::tcp::acceptor acceptor;
    Script script;
    mutable std::mutex mutex;
    std::vector<SeenRequest> requests;
    std::vector<std::weak_ptr<Connection>> connections;
    std::size_t closed = 0;
    std::uint16_t port;
    bool dead = false;
    std::thread thread;

    void accept();
    void die();
};

// The platform's store: items that the test sets, and its bad hours.
class StoreStandin
{
public:
    StoreStandin();

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    // Stores an item that pages and changes hold as this text, whether it is readable JSON or not.
    // The key decides only its place in the order and the prefixes that it lies under.
    void putRaw(const std::string &key, const std::string &itemText);

    // The keys that are stored, in the order of pages.
    std::vector<std::string> keys() const;

    // Refuses every call with this status until set to 0.
    void failWith(int status);

    // Reads keys in requests that hold other characters than letters, digits, "-", "." and "/" as
    // no key, or refuses such requests with this status.
    void misreadOddKeys(int status = 0);

    // Answers that there is more after each page, also after the last one.
    void alwaysTellMore();

    // Answers calls for which the function returns an answer with that one. It is called on the
    // thread of the stand-in.
    using OtherAnswer = std::function<std::optional<Answer>(const SeenRequest &request)>;
    void answerInstead(OtherAnswer other);

    // Forgets the history, so that watches from before get 410.
    void compact();

    // Answers with at most this many items a page.
    void limitPages(std::size_t items);

    // Serves one call after the other, each for this long, also those that nobody waits for any
    // more: what the rate and the bandwidth of a store allow.
    void limitCapacity(std::chrono::microseconds perCall);

    // Answers reads that may be stale with what is stored now, however it changes.
    void freezeReplica();
    std::size_t staleCalls() const;

    // Remembers what is stored now, and comes back as it was then: revisions go back and are given
    // out again, and all answers tell the next era.
    void takeCopy();
    void comeBackFromCopy();
    std::uint64_t currentEra() const;

    std::string address() const { return this->server->address(); }
    std::size_t calls() const;

private:
    struct Change
    {
        std::uint64_t revision;
        std::string key;
        std::string value;
        bool deleted;
        std::string rawText = {}; // of the whole item; empty for one that is encoded as usual
    };

    struct Stored
    {
        std::string value;
        std::uint64_t revision;
        std::string rawText = {};
    };

    using Items = std::map<std::string, Stored>;

    // What a replica that lags holds.
    struct Replica
    {
        Items items;
        std::uint64_t revision;
        std::uint64_t era;
    };

    Answer answer(const SeenRequest &request);
    Answer answerNow(const SeenRequest &request);
    std::chrono::microseconds reserveTime();
    Answer range(const std::string &target);
    static std::string entryText(const std::string &key, const Stored &stored);
    static std::string eventText(const Change &change);
    Answer page(const std::string &headers, const std::string &target, const Items &from,
                std::uint64_t at) const;
    Answer watch(const std::string &target, std::chrono::milliseconds held);

    std::string eraHeader() const;

    mutable std::mutex mutex;
    std::vector<Change> history;

    std::uint64_t revision = 1;
    std::uint64_t oldest = 0;
    std::uint64_t era = 1;
    Items copiedItems;
    std::uint64_t copiedRevision = 1;
    Items items;
    std::optional<Replica> replica; // none: stale reads are current
    std::size_t pageItems = 500;
    std::chrono::microseconds timePerCall{0};
    std::chrono::steady_clock::time_point busyUntil; // with the calls received so far
    int failure = 0;
    std::optional<int> oddKeyStatus; // none: odd keys are read as all others; 0: as no key
    bool tellsMore = false;
    OtherAnswer otherAnswer; // none: all calls are answered as usual
    std::size_t callCount = 0;
    std::size_t staleCallCount = 0;
    std::unique_ptr<ScriptedServer> server;
};

// Sends one request on a connection of its own and reads all that comes back until the end.
struct CallerView
{
    std::string bytes;
    bool reset = false;
};
CallerView callOnce(std::uint16_t port, const std::string &request,
                    std::chrono::milliseconds patience = std::chrono::milliseconds(3000));

} // namespace jaytrack::testing

#endif
