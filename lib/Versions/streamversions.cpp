#include "jaytrack/Versions/streamversions.h"

#include <algorithm>
#include <utility>

namespace jaytrack {

namespace {

// Records in one message: each takes about 60 bytes, and a datagram holds some kilobytes.
constexpr std::size_t maxRecordsPerMessage = 40;

// Instances that one which has started asks for the services with several versions, and the time
// after which it asks again.
constexpr std::size_t startQuestions = 3;
constexpr std::chrono::milliseconds startQuestionInterval{300};

// Rounds of questions after which a stream that no instance knows is taken for unknown. A single
// one may be lost, or be earlier than the record.
constexpr std::size_t minRounds = 2;

// Chooses, with the instance's name, whom an instance that has started asks.
constexpr std::string_view startKey = "stream-versions";

} // namespace

StreamVersions::StreamVersions(const Clock &time, std::string ownName, bool expectsOthers,
                               bool firstStart, StreamVersionTransport &peerTransport)
    : clock(time)
    , transport(peerTransport)
    , ranking(std::move(ownName))
    , services(time)
    , othersExpected(expectsOthers)
    , knowsPast(firstStart)
    , startedAt(time.now())
{
}

void StreamVersions::setInstances(std::span<const std::string> others)
{
    this->ranking.setOthers(others);
    this->instancesChanged = true;
}

bool StreamVersions::recordListed(std::string_view service, std::string_view version)
{
    const bool wasMixed = this->isMixed(service);
    const bool othersOutdated = this->services.recordListed(service, version);
    if (!wasMixed && this->isMixed(service))
        this->tellServiceRecords(service);
    return othersOutdated;
}

bool StreamVersions::mustKnow(std::string_view service) const
{
    return this->isMixed(service) || !this->knowsVersions() || this->lacksWitness;
}

bool StreamVersions::knowsVersions() const
{
    return this->knowsPast || this->clock.now() - this->startedAt >= ServiceVersions::maxStreamLife;
}

// Whether others have to know the record. Those of other instances' streams are kept for them.
bool StreamVersions::isShared(const Record &record) const
{
    return record.service.empty() || this->mustKnow(record.service);
}

std::vector<std::string> StreamVersions::others(std::string_view stream, std::size_t count) const
{
    std::vector<std::string> names = this->ranking.first(stream, count + 1);
    std::erase(names, this->ranking.ownName());
    names.resize(std::min(names.size(), count));
    return names;
}

void StreamVersions::store(const std::string &stream, Record record)
{
    const auto [found, isNew] = this->records.insert_or_assign(stream, std::move(record));
    this->recordOrder.emplace_back(found->second.at, stream);
    while (this->records.size() > maxRecords)
        this->dropOldRecords();
}

void StreamVersions::recordBegun(const std::string &stream, std::string_view service,
                                 std::string_view version)
{
    const auto known = this->records.find(stream);
    if (known != this->records.end() && known->second.version == version &&
        !known->second.told.empty())
        return;
    this->store(stream, {std::string(version), std::string(service), this->clock.now(), {}});
    if (!this->mustKnow(service))
        return;
    Outgoing outgoing;
    this->tellKeepers(stream, this->records[stream], outgoing);
    this->send(outgoing);
}

void StreamVersions::recordCompleted(const std::string &stream)
{
    this->records.erase(stream);
}

void StreamVersions::tellKeepers(const std::string &stream, Record &record,
                                 Outgoing &outgoing) const
{
    const std::vector<std::string> current = this->others(stream, keepers);
    for (const std::string &keeper : current) {
        if (std::find(record.told.begin(), record.told.end(), keeper) == record.told.end())
            outgoing[keeper].records.push_back({stream, record.version});
    }
    record.told = current;
}

void StreamVersions::send(Outgoing &outgoing)
{
    for (auto &[instance, message] : outgoing) {
        auto &all = message.records;
        for (std::size_t at = 0; at < all.size(); at += maxRecordsPerMessage) {
            const std::size_t end = std::min(all.size(), at + maxRecordsPerMessage);
            StreamVersionMessage part;
            part.records.assign(all.begin() + static_cast<std::ptrdiff_t>(at),
                                all.begin() + static_cast<std::ptrdiff_t>(end));
            this->transport.sendStreamVersions(instance, part);
        }
    }
}

// Streams that began while the service had one version go on beside those that begin now.
void StreamVersions::tellServiceRecords(std::string_view service)
{
    Outgoing outgoing;
    for (auto &[stream, record] : this->records) {
        if (record.service == service)
            this->tellKeepers(stream, record, outgoing);
    }
    this->send(outgoing);
}

void StreamVersions::find(const std::string &stream, std::string_view service, const Found &found)
{
    const auto known = this->records.find(stream);
    if (known != this->records.end())
        return found(known->second.version);
    if (!this->othersExpected)
        return found(std::nullopt);
    const std::int64_t serial = this->nextSerial++;
    Search &search = this->searches[serial];
    search.stream = stream;
    search.service = service;
    search.found = found;
    search.since = this->clock.now();
    this->ask(serial, search);
}

void StreamVersions::ask(std::int64_t serial, Search &search)
{
    search.askAgainAt = this->clock.now() + askInterval;
    ++search.rounds;
    StreamVersionMessage message;
    message.queries.push_back({serial, search.stream});
    message.asksForServices = true;
    for (const std::string &instance : this->others(search.stream, asked))
        this->transport.sendStreamVersions(instance, message);
}

// Whether asking on is of no use: all instances asked have answered that they have no record, or
// the time for the search is over.
bool StreamVersions::isExhausted(const Search &search) const
{
    const bool alone = this->ranking.count() == 1;
    if (alone && this->knowsVersions())
        return true;
    const Duration limit = alone ? maxSearchWithoutOthers : maxSearch;
    if (this->clock.now() - search.since >= limit)
        return true;
    if (alone || search.rounds < minRounds || this->clock.now() < search.askAgainAt)
        return false;
    const std::vector<std::string> now = this->others(search.stream, asked);
    return std::all_of(now.begin(), now.end(), [&search](const std::string &instance) {
        return search.unaware.count(instance) > 0;
    });
}

// Whether the service has had one version, so that the stream needs no record.
bool StreamVersions::isSettled(const Search &search) const
{
    const bool mayHaveSeveral = this->isMixed(search.service) || !this->knowsVersions();
    const std::size_t needed = std::min(witnesses, this->ranking.count() - 1);
    return !mayHaveSeveral && needed > 0 && search.witnesses.size() >= needed;
}

void StreamVersions::concludeSettled()
{
    std::vector<std::int64_t> settled;
    for (const auto &[serial, search] : this->searches) {
        if (this->isSettled(search))
            settled.push_back(serial);
    }
    for (const std::int64_t serial : settled)
        this->giveUp(serial);
}

// Ends a search that has found no record.
void StreamVersions::giveUp(std::int64_t serial)
{
    const auto search = this->searches.find(serial);
    if (search != this->searches.end())
        this->lacksWitness = search->second.witnesses.empty();
    this->conclude(serial, std::nullopt);
}

void StreamVersions::conclude(std::int64_t serial, const std::optional<std::string> &version)
{
    auto node = this->searches.extract(serial);
    if (!node.empty())
        node.mapped().found(version);
}

void StreamVersions::concludeAll(const std::string &stream, const std::string &version)
{
    std::vector<std::int64_t> serials;
    for (const auto &[serial, search] : this->searches) {
        if (search.stream == stream)
            serials.push_back(serial);
    }
    for (const std::int64_t serial : serials)
        this->conclude(serial, version);
}

void StreamVersions::onMessage(std::string_view from, const StreamVersionMessage &message)
{
    for (const StreamVersionRecord &record : message.records) {
        this->store(record.stream, {record.version, {}, this->clock.now(), {}});
        this->concludeAll(record.stream, record.version);
    }
    for (const StreamVersionAnswer &reply : message.answers) {
        const auto search = this->searches.find(reply.serial);
        if (search == this->searches.end())
            continue;
        if (reply.version) {
            this->conclude(reply.serial, reply.version);
            continue;
        }
        search->second.unaware.emplace(from);
        if (message.tellsServices)
            search->second.witnesses.emplace(from);
    }
    this->learnServices(message);
    this->concludeSettled();
    this->answer(from, message);
}

void StreamVersions::answer(std::string_view from, const StreamVersionMessage &message)
{
    StreamVersionMessage reply;
    for (const StreamVersionQuery &query : message.queries) {
        const auto known = this->records.find(query.stream);
        const bool isKnown = known != this->records.end();
        reply.answers.push_back(
                {query.serial, isKnown ? std::optional(known->second.version) : std::nullopt});
    }
    if (message.asksForServices) {
        // An instance that started with the one that asks knows no more than it does. Versions that
        // it has seen exist all the same.
        reply.tellsServices = this->knowsVersions();
        reply.services = this->services.mixedVersions();
    }
    if (!reply.isEmpty())
        this->transport.sendStreamVersions(from, reply);
}

void StreamVersions::learnServices(const StreamVersionMessage &message)
{
    for (const ServedVersion &served : message.services)
        this->services.recordListed(served.service, served.version, served.ago);
    this->knowsPast = this->knowsPast || message.tellsServices;
    this->lacksWitness = this->lacksWitness && !message.tellsServices;
}

// An instance that has just started sees only the versions that are listed now, while streams may
// have begun at one that is gone. One that could ask nobody may have missed a version.
void StreamVersions::askForServices()
{
    const TimePoint now = this->clock.now();
    const bool knows = this->knowsVersions() && !this->lacksWitness;
    if (knows || this->ranking.count() == 1 ||
        now - this->askedForServicesAt < startQuestionInterval)
        return;
    this->askedForServicesAt = now;
    StreamVersionMessage message;
    message.asksForServices = true;
    for (const std::string &instance :
         this->others(std::string(startKey) + this->ranking.ownName(), startQuestions))
        this->transport.sendStreamVersions(instance, message);
}

void StreamVersions::dropOldRecords()
{
    const TimePoint limit = this->clock.now() - ServiceVersions::maxStreamLife;
    while (!this->recordOrder.empty()) {
        const auto &[at, stream] = this->recordOrder.front();
        const bool tooMany = this->records.size() > maxRecords;
        if (at > limit && !tooMany)
            return;
        const auto found = this->records.find(stream);
        if (found != this->records.end() && found->second.at == at)
            this->records.erase(found);
        this->recordOrder.pop_front();
    }
}

void StreamVersions::tick()
{
    this->askForServices();
    this->dropOldRecords();
    std::vector<std::int64_t> exhausted;
    for (auto &[serial, search] : this->searches) {
        if (this->isExhausted(search))
            exhausted.push_back(serial);
        else if (this->clock.now() >= search.askAgainAt)
            this->ask(serial, search);
    }
    for (const std::int64_t serial : exhausted)
        this->giveUp(serial);
    if (!std::exchange(this->instancesChanged, false))
        return;
    Outgoing outgoing;
    for (auto &[stream, record] : this->records) {
        if (this->isShared(record))
            this->tellKeepers(stream, record, outgoing);
    }
    this->send(outgoing);
}

} // namespace jaytrack
