// The callers of the randomised runs and the targets that they reach through the instances.
#include "fleet.h"

#include <algorithm>

namespace jaytrack::soak {

namespace {

constexpr Duration answerWait = std::chrono::seconds(3);
constexpr Duration serviceTime = std::chrono::milliseconds(20);
constexpr Duration tokenGap = std::chrono::milliseconds(50);
constexpr int mostTries = 8;
const std::string caller = "caller";
const std::string target = "target";

} // namespace

// Pays once: takes a ticket from one instance and repeats under it at any, until it is told an
// outcome.
class PaymentCaller : public std::enable_shared_from_this<PaymentCaller>
{
public:
    explicit PaymentCaller(Fleet &world)
        : fleet(world)
        , number(world.nextPayment++)
    {
    }

    void takeTicket()
    {
        Node &node = this->fleet.anyNode();
        if (!node.serves() || !node.wakefulness.mayAct())
            return; // told not-run, and nothing ran
        this->ticket = node.ledger.issue("customer", "POST /pay", this->fleet.schedule.clock.now());
        this->ask();
    }

private:
    using Self = std::shared_ptr<PaymentCaller>;

    void ask()
    {
        if (this->told)
            return;
        if (++this->tries > mostTries) {
            this->tell(Outcome::Unknown);
            return;
        }
        const Self self = this->shared_from_this();
        const std::string entry = this->fleet.anyNode().address;
        this->fleet.network.send(caller, entry, [self, entry] { self->atEntry(entry, false); });
        this->fleet.schedule.after(answerWait, [self] { self->ask(); });
    }

    // What the daemon does with a ticketed request: runs it if the ticket is its own, hands it to
    // the issuer if that is known to live, and else says that the outcome is unknown.
    void atEntry(const std::string &place, bool forwarded)
    {
        Node *node = this->fleet.nodeAt(place);
        if (node == nullptr || !node->serves())
            return;
        if (node->ledger.isIssuerOf(this->ticket)) {
            this->atIssuer(*node);
            return;
        }
        const Member *issuer = node->membership.find(this->ticket.issuer);
        const bool alive = issuer != nullptr && issuer->isUp() &&
                           issuer->incarnation == this->ticket.incarnation;
        if (!alive || forwarded) {
            this->reply(place, Outcome::Unknown);
            return;
        }
        const Self self = this->shared_from_this();
        this->fleet.network.send(place, issuer->peerAddress,
                                 [self, at = issuer->peerAddress] { self->atEntry(at, true); });
    }

    void atIssuer(Node &node)
    {
        const TimePoint now = this->fleet.schedule.clock.now();
        const Claim claim = node.ledger.claim(this->ticket, "digest", now);
        if (claim.kind == ClaimKind::Answered || claim.kind == ClaimKind::Refused) {
            this->reply(node.address, describe(claim.code).outcome);
            return;
        }
        if (claim.kind != ClaimKind::Run)
            return; // its answer will come
        if (!node.wakefulness.mayAct()) {
            node.ledger.release(this->ticket.serial);
            this->reply(node.address, Outcome::NotRun);
            return;
        }
        this->sendToTarget(node);
    }

    void sendToTarget(Node &node)
    {
        node.checkMaySend();
        const Self self = this->shared_from_this();
        Node *issuer = &node;
        const std::string place = node.address;
        this->fleet.network.send(place, target, [self, issuer, place] {
            // A connection carries a request once, so the network's doubling of it is not a run.
            if (std::exchange(self->arrived, true))
                return;
            ++self->fleet.runs[self->number];
            self->fleet.schedule.after(serviceTime, [self, issuer, place] {
                self->fleet.network.send(target, place,
                                         [self, issuer] { self->onTargetAnswer(*issuer); });
            });
        });
        this->fleet.schedule.after(answerWait, [self, issuer] { self->onTargetTimeout(*issuer); });
    }

    void onTargetAnswer(Node &node)
    {
        if (node.dead || std::exchange(this->settled, true))
            return;
        node.ledger.complete(this->ticket.serial, {ResultCode::Ok, 200, "", "paid"},
                             this->fleet.schedule.clock.now());
        this->reply(node.address, Outcome::Complete);
    }

    void onTargetTimeout(Node &node)
    {
        if (node.dead || std::exchange(this->settled, true))
            return;
        node.ledger.complete(this->ticket.serial, {ResultCode::TargetTimeout, 504, "", ""},
                             this->fleet.schedule.clock.now());
        this->reply(node.address, Outcome::Unknown);
    }

    void reply(const std::string &from, Outcome outcome)
    {
        const Self self = this->shared_from_this();
        this->fleet.network.send(from, caller, [self, outcome] { self->tell(outcome); });
    }

    void tell(Outcome outcome)
    {
        if (std::exchange(this->told, true))
            return;
        if (outcome == Outcome::Unknown)
            ++this->fleet.result.unknown;
        this->check(outcome);
        // A run that comes after the caller was told counts as well.
        const Self self = this->shared_from_this();
        this->fleet.schedule.after(std::chrono::seconds(60),
                                   [self, outcome] { self->check(outcome); });
    }

    void check(Outcome outcome)
    {
        const int runs = this->fleet.runs[this->number];
        const std::string words = "payment " + std::to_string(this->number) + " ran " +
                                  std::to_string(runs) + " times and was told " +
                                  std::string(outcomeName(outcome));
        if (runs > 1)
            this->fleet.violate(words);
        if (outcome == Outcome::Complete && runs != 1)
            this->fleet.violate(words);
        if (outcome == Outcome::NotRun && runs != 0)
            this->fleet.violate(words);
    }

    Fleet &fleet;
    std::int64_t number;
    Ticket ticket;
    int tries = 0;
    bool arrived = false;
    bool settled = false;
    bool told = false;
};

// Reads a stream: one relay per connection, frames late, doubled and out of order, engines that
// restart; goes on at another instance with its cursor when nothing comes.
class StreamCaller : public std::enable_shared_from_this<StreamCaller>
{
public:
    explicit StreamCaller(Fleet &world)
        : fleet(world)
        , length(1 + world.random() % 60)
    {
    }

    void connect()
    {
        if (this->finished || ++this->connections > mostTries)
            return;
        if (this->connections > 1)
            ++this->fleet.result.resumes;
        else
            ++this->fleet.result.streams;
        Node &node = this->fleet.anyNode();
        this->lastHeard = this->fleet.schedule.clock.now();
        auto connection = std::make_shared<Connection>();
        connection->number = this->connections;
        connection->node = &node;
        connection->relay = StreamRelay(this->next);
        this->watch(connection->number);
        if (!node.serves() || !node.wakefulness.mayAct())
            return;
        this->attempt(connection);
    }

private:
    using Self = std::shared_ptr<StreamCaller>;

    struct Connection
    {
        int number = 0;
        Node *node = nullptr;
        StreamRelay relay;
        int recoveries = 0;
        bool closed = false;
    };

    using ConnectionPointer = std::shared_ptr<Connection>;

    void watch(int number)
    {
        const Self self = this->shared_from_this();
        this->fleet.schedule.after(answerWait, [self, number] {
            if (self->connections != number || self->finished)
                return;
            if (self->fleet.schedule.clock.now() - self->lastHeard >= answerWait)
                self->connect();
            else
                self->watch(number);
        });
    }

    // One attempt of the instance at the engine. The engine may have lost the generation, in which
    // case the relay decides whether another one may start.
    void attempt(const ConnectionPointer &connection)
    {
        const bool resume = !this->generation.empty();
        if (!resume)
            this->generation = "g" + std::to_string(this->fleet.nextGeneration++);
        const AttemptId id = connection->relay.beginAttempt();
        if (connection->relay.onGeneration(id, this->generation) != FrameVerdict::Pass)
            return;
        const std::uint64_t breakAt = connection->relay.nextIndex() + this->fleet.random() % 80;
        for (std::uint64_t i = connection->relay.nextIndex(); i < this->length; ++i) {
            const Duration due = tokenGap * static_cast<int>(i - connection->relay.nextIndex() + 1);
            if (i >= breakAt) {
                this->breakLater(connection, id, due);
                return;
            }
            this->frameLater(connection, id, i, due);
        }
    }

    void frameLater(const ConnectionPointer &connection, AttemptId id, std::uint64_t index,
                    Duration due)
    {
        const Self self = this->shared_from_this();
        const std::string name = this->generation;
        const auto deliver = [self, connection, id, index, name] {
            self->onFrame(connection, id, index, name);
        };
        this->fleet.schedule.after(due, deliver);
        // A duplicate from this attempt may come at any time, also after the next one has begun.
        if (this->fleet.network.chance(0.1))
            this->fleet.schedule.after(due + tokenGap * 3, deliver);
    }

    void breakLater(const ConnectionPointer &connection, AttemptId id, Duration due)
    {
        const Self self = this->shared_from_this();
        this->fleet.schedule.after(due, [self, connection, id] { self->onLost(connection, id); });
    }

    void onFrame(const ConnectionPointer &connection, AttemptId id, std::uint64_t index,
                 const std::string &name)
    {
        if (connection->closed || !connection->node->running())
            return;
        switch (connection->relay.onToken(id, index)) {
        case FrameVerdict::Drop:
            return;
        case FrameVerdict::Broken:
            connection->closed = true;
            return;
        case FrameVerdict::Pass:
            break;
        }
        this->atCaller(connection->number, index, name);
    }

    // An engine that died has lost the generation; one whose link broke still has it.
    void onLost(const ConnectionPointer &connection, AttemptId id)
    {
        if (connection->closed || !connection->node->running() || !connection->relay.isCurrent(id))
            return;
        LostAttempt lost;
        lost.engineResumes = true;
        lost.generationKnown = !this->fleet.network.chance(0.3);
        lost.repeatable = this->connections == 1;
        lost.recoveries = connection->recoveries++;
        switch (connection->relay.recover(lost)) {
        case RecoveryStep::Resume:
            this->attempt(connection);
            return;
        case RecoveryStep::OtherEngine:
        case RecoveryStep::Restart:
            this->generation.clear();
            connection->relay = StreamRelay(0);
            this->attempt(connection);
            return;
        case RecoveryStep::GiveUp:
            connection->closed = true;
            return;
        }
    }

    void atCaller(int number, std::uint64_t index, const std::string &name)
    {
        if (number != this->connections || this->finished)
            return; // a connection that the caller has left
        this->lastHeard = this->fleet.schedule.clock.now();
        if (this->seen.empty())
            this->seen = name;
        if (this->seen != name)
            this->fleet.violate("a caller saw tokens of " + this->seen + " and " + name);
        if (index != this->next)
            this->fleet.violate("a caller saw token " + std::to_string(index) + " instead of " +
                                std::to_string(this->next));
        ++this->next;
        this->finished = this->next == this->length;
    }

    Fleet &fleet;
    std::uint64_t length;
    std::uint64_t next = 0;
    std::string generation; // the engine's
    std::string seen;       // whose tokens the caller has
    int connections = 0;
    bool finished = false;
    TimePoint lastHeard;
};

void startPayment(Fleet &fleet)
{
    std::make_shared<PaymentCaller>(fleet)->takeTicket();
}

void startStream(Fleet &fleet)
{
    std::make_shared<StreamCaller>(fleet)->connect();
}

} // namespace jaytrack::soak
