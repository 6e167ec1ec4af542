#include "jaytrack/Config/document.h"

#include "jaytrack/Support/digest.h"
#include "jaytrack/Support/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <set>
#include <stdexcept>

namespace jaytrack {

namespace {

using nlohmann::json;

// Names and addresses become parts of heads, URLs and log lines.
constexpr std::size_t maxNameBytes = 256;
// A parse error quotes what was read last, which may be the whole document.
constexpr std::size_t maxDetailBytes = 300;
constexpr std::int64_t maxCount = std::numeric_limits<std::uint32_t>::max();
// Sums of the memory of all engines must not overflow.
constexpr std::int64_t maxMemoryTokens = 1'000'000'000'000;
// Converting a duration to nanoseconds must not overflow.
constexpr std::int64_t maxMilliseconds = std::chrono::milliseconds(std::chrono::days(1)).count();

// A field of the document holds a value that it cannot have.
class FieldError final : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

std::int64_t readWhole(const json &from, const char *key, std::int64_t least, std::int64_t most)
{
    const std::optional<std::int64_t> number = wholeNumber(from.at(key), least, most);
    if (!number) {
        throw FieldError(std::string(key) + " is not a whole number within " +
                         std::to_string(least) + " to " + std::to_string(most));
    }
    return *number;
}

std::uint32_t readCount(const json &from, const char *key, std::int64_t least)
{
    return static_cast<std::uint32_t>(readWhole(from, key, least, maxCount));
}

std::chrono::milliseconds readMillis(const json &from, const char *key)
{
    return std::chrono::milliseconds(readWhole(from, key, 0, maxMilliseconds));
}

std::chrono::milliseconds readMillis(const json &from, const char *key,
                                     std::chrono::milliseconds fallback)
{
    return from.contains(key) ? readMillis(from, key) : fallback;
}

double readShare(const json &from, const char *key)
{
    const auto share = from.at(key).get<double>();
    if (!(share >= 0 && share <= 1))
        throw FieldError(std::string(key) + " is not within 0 to 1");
    return share;
}

double readShare(const json &from, const char *key, double fallback)
{
    return from.contains(key) ? readShare(from, key) : fallback;
}

const json &readList(const json &from, const char *key)
{
    const json &list = from.at(key);
    if (!list.is_array())
        throw FieldError(std::string(key) + " is not a list");
    return list;
}

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < ' ' || c == 127;
}

std::string readName(const json &from, const char *key)
{
    const auto &name = from.at(key).get_ref<const std::string &>();
    if (name.size() > maxNameBytes)
        throw FieldError(std::string(key) + " is longer than " + std::to_string(maxNameBytes) +
                         " bytes");
    if (std::any_of(name.begin(), name.end(), isControl))
        throw FieldError(std::string(key) + " contains a control character");
    return name;
}

std::string readAddress(const json &from, const char *key)
{
    std::string address = readName(from, key);
    if (address.find(' ') != std::string::npos)
        throw FieldError(std::string(key) + " contains a blank");
    return address;
}

json toJson(const Engine &engine)
{
    json abilities = json::array();
    if (engine.can.resume)
        abilities.push_back("resume");
    if (engine.can.cancel)
        abilities.push_back("cancel");
    if (engine.can.priority)
        abilities.push_back("priority");
    if (engine.can.fencing)
        abilities.push_back("fencing");
    return {{"name", engine.name},       {"dc", engine.dataCentre}, {"address", engine.address},
            {"model", engine.model},     {"slots", engine.slots},   {"memory", engine.memoryTokens},
            {"leaving", engine.leaving}, {"can", abilities}};
}

void fromJson(const json &from, Engine &engine)
{
    engine.name = readName(from, "name");
    engine.dataCentre = readName(from, "dc");
    engine.address = readAddress(from, "address");
    engine.model = readName(from, "model");
    engine.slots = readCount(from, "slots", 1);
    engine.memoryTokens = static_cast<std::uint64_t>(readWhole(from, "memory", 1, maxMemoryTokens));
    from.at("leaving").get_to(engine.leaving);
    for (const std::string &ability : from.at("can").get<std::vector<std::string>>()) {
        engine.can.resume |= ability == "resume";
        engine.can.cancel |= ability == "cancel";
        engine.can.priority |= ability == "priority";
        engine.can.fencing |= ability == "fencing";
    }
}

json toJson(const Service &service)
{
    json targets = json::array();
    for (const ServiceTarget &target : service.targets) {
        targets.push_back({{"name", target.name},
                           {"dc", target.dataCentre},
                           {"address", target.address},
                           {"leaving", target.leaving}});
    }
    json routes = json::array();
    for (const Route &route : service.routes) {
        routes.push_back({{"method", route.method},
                          {"path", route.pathPrefix},
                          {"idempotent", route.idempotent}});
    }
    return {{"name", service.name},
            {"targets", targets},
            {"routes", routes},
            {"deduplicates", service.deduplicates},
            {"objective", service.objectiveShare},
            {"timeout_ms", service.timeout.count()}};
}

void fromJson(const json &from, Service &service)
{
    service.name = readName(from, "name");
    from.at("deduplicates").get_to(service.deduplicates);
    service.objectiveShare = readShare(from, "objective", service.objectiveShare);
    service.timeout = readMillis(from, "timeout_ms");
    for (const json &entry : readList(from, "targets")) {
        ServiceTarget &target = service.targets.emplace_back();
        target.name = readName(entry, "name");
        target.dataCentre = readName(entry, "dc");
        target.address = readAddress(entry, "address");
        entry.at("leaving").get_to(target.leaving);
    }
    for (const json &entry : readList(from, "routes")) {
        Route &route = service.routes.emplace_back();
        entry.at("method").get_to(route.method);
        entry.at("path").get_to(route.pathPrefix);
        entry.at("idempotent").get_to(route.idempotent);
    }
}

json toJson(const Model &model)
{
    return {{"name", model.name},
            {"may_wait", model.mayWait},
            {"max_wait_ms", model.maxWait.count()},
            {"priority", model.priority},
            {"repeatable", model.repeatable},
            {"overflow_bound", model.overflowBound},
            {"silence_ms", model.silenceTimeout.count()},
            {"first_token_ms", model.firstTokenObjective.count()},
            {"stall_ms", model.stallObjective.count()},
            {"objective", model.objectiveShare}};
}

void fromJson(const json &from, Model &model)
{
    model.name = readName(from, "name");
    from.at("may_wait").get_to(model.mayWait);
    model.maxWait = readMillis(from, "max_wait_ms");
    model.priority =
            static_cast<int>(readWhole(from, "priority", std::numeric_limits<std::int32_t>::min(),
                                       std::numeric_limits<std::int32_t>::max()));
    from.at("repeatable").get_to(model.repeatable);
    model.overflowBound = readShare(from, "overflow_bound");
    model.silenceTimeout = readMillis(from, "silence_ms");
    model.firstTokenObjective = readMillis(from, "first_token_ms", model.firstTokenObjective);
    model.stallObjective = readMillis(from, "stall_ms", model.stallObjective);
    model.objectiveShare = readShare(from, "objective", model.objectiveShare);
}

json toJson(const Customer &customer)
{
    return {{"name", customer.name},
            {"keys", customer.keyDigests},
            {"weight", customer.weight},
            {"max_concurrent", customer.maxConcurrent}};
}

void fromJson(const json &from, Customer &customer)
{
    customer.name = readName(from, "name");
    from.at("keys").get_to(customer.keyDigests);
    customer.weight = readCount(from, "weight", 1);
    customer.maxConcurrent = readCount(from, "max_concurrent", 0);
}

template <typename Item>
json listToJson(const std::vector<Item> &items)
{
    json list = json::array();
    for (const Item &item : items)
        list.push_back(toJson(item));
    return list;
}

template <typename Item>
void listFromJson(const json &from, const char *key, std::vector<Item> &items)
{
    for (const json &entry : readList(from, key))
        fromJson(entry, items.emplace_back());
}

// Collects the names of one kind of entry and reports duplicates.
class NameCheck
{
public:
    NameCheck(std::string_view kindOfEntry, std::vector<Error> &found)
        : kind(kindOfEntry)
        , errors(found)
    {
    }

    void add(const std::string &name)
    {
        if (name.empty())
            this->errors.push_back({ResultCode::DocumentMalformed, this->kind + " without a name"});
        if (!this->names.insert(name).second) {
            this->errors.push_back(
                    {ResultCode::DocumentDuplicateName, this->kind + " " + name + " comes twice"});
        }
    }

private:
    std::string kind;
    std::vector<Error> &errors;
    std::set<std::string> names;
};

template <typename Item>
const Item *findByName(const std::vector<Item> &items, std::string_view name)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [name](const Item &item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

bool Service::isIdempotent(std::string_view method, std::string_view path) const
{
    const Route *best = nullptr;
    for (const Route &route : this->routes) {
        if (route.method != method || path.substr(0, route.pathPrefix.size()) != route.pathPrefix)
            continue;
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best != nullptr && best->idempotent;
}

Result<std::shared_ptr<const Document>> Document::parse(std::string_view text,
                                                        std::uint64_t revision)
{
    if (text.size() > maxDocumentBytes)
        return Error{ResultCode::DocumentTooLarge, std::to_string(text.size()) + " bytes"};
    auto document = std::make_shared<Document>();
    try {
        const json root = json::parse(text);
        listFromJson(root, "models", document->models);
        listFromJson(root, "engines", document->engines);
        listFromJson(root, "services", document->services);
        listFromJson(root, "customers", document->customers);
    } catch (const json::exception &e) {
        return Error{ResultCode::DocumentMalformed,
                     std::string(e.what()).substr(0, maxDetailBytes)};
    } catch (const FieldError &e) {
        return Error{ResultCode::DocumentMalformed, e.what()};
    }
    document->revision = revision;
    document->index();
    const std::vector<Error> errors = document->check();
    if (!errors.empty())
        return Error{errors.front().code, errors.front().detail.substr(0, maxDetailBytes)};
    return std::shared_ptr<const Document>(std::move(document));
}

std::string Document::serialise() const
{
    const json root = {{"models", listToJson(this->models)},
                       {"engines", listToJson(this->engines)},
                       {"services", listToJson(this->services)},
                       {"customers", listToJson(this->customers)}};
    return root.dump();
}

std::vector<Error> Document::check() const
{
    std::vector<Error> errors;
    NameCheck modelNames("model", errors);
    for (const Model &model : this->models)
        modelNames.add(model.name);
    NameCheck targetNames("target", errors);
    for (const Engine &engine : this->engines) {
        targetNames.add(engine.name);
        if (this->findModel(engine.model) == nullptr) {
            errors.push_back({ResultCode::DocumentDanglingName,
                              "engine " + engine.name + " runs unknown model " + engine.model});
        }
    }
    NameCheck serviceNames("service", errors);
    for (const Service &service : this->services) {
        serviceNames.add(service.name);
        for (const ServiceTarget &target : service.targets)
            targetNames.add(target.name);
        if (service.name == "v1" || service.name == "healthz" || service.name == "readyz" ||
            service.name == "metrics") {
            errors.push_back({ResultCode::DocumentMalformed,
                              "service name " + service.name + " is taken by jaytrack itself"});
        }
    }
    NameCheck customerNames("customer", errors);
    NameCheck digests("key digest", errors);
    for (const Customer &customer : this->customers) {
        customerNames.add(customer.name);
        for (const std::string &digest : customer.keyDigests)
            digests.add(digest);
    }
    return errors;
}

void Document::index()
{
    this->enginesByName.clear();
    this->customersByDigestPrefix.clear();
    for (std::size_t i = 0; i < this->engines.size(); ++i)
        this->enginesByName.emplace(this->engines[i].name, i);
    for (std::size_t i = 0; i < this->customers.size(); ++i) {
        for (const std::string &digest : this->customers[i].keyDigests)
            this->customersByDigestPrefix.emplace(digest, i);
    }
}

const Model *Document::findModel(std::string_view name) const
{
    return findByName(this->models, name);
}

const Service *Document::findService(std::string_view name) const
{
    return findByName(this->services, name);
}

const Engine *Document::findEngine(std::string_view name) const
{
    const auto found = this->enginesByName.find(name);
    return found == this->enginesByName.end() ? nullptr : &this->engines[found->second];
}

// The map is searched by the digest of the key that the caller sent, so the search time reveals
// nothing about a stored key. The final comparison still takes constant time.
const Customer *Document::findCustomerByDigest(std::string_view digestHex) const
{
    const auto found = this->customersByDigestPrefix.find(digestHex);
    if (found == this->customersByDigestPrefix.end())
        return nullptr;
    if (!equalInConstantTime(found->first, digestHex))
        return nullptr;
    return &this->customers[found->second];
}

namespace {

template <typename Item>
void describeListChanges(std::string_view kind, const std::vector<Item> &from,
                         const std::vector<Item> &to, std::vector<std::string> &lines)
{
    for (const Item &item : from) {
        if (findByName(to, item.name) == nullptr)
            lines.push_back(std::string(kind) + " " + item.name + " is removed");
    }
    for (const Item &item : to) {
        const Item *old = findByName(from, item.name);
        if (old == nullptr) {
            lines.push_back(std::string(kind) + " " + item.name + " is added");
            continue;
        }
        const json before = toJson(*old);
        const json after = toJson(item);
        for (const auto &[key, value] : after.items()) {
            if (value == before.at(key))
                continue;
            lines.push_back(std::string(kind) + " " + item.name + ": " + key + " changes from " +
                            before.at(key).dump() + " to " + value.dump());
        }
    }
}

} // namespace

std::vector<std::string> describeChanges(const Document &from, const Document &to)
{
    std::vector<std::string> lines;
    describeListChanges("model", from.models, to.models, lines);
    describeListChanges("engine", from.engines, to.engines, lines);
    describeListChanges("service", from.services, to.services, lines);
    describeListChanges("customer", from.customers, to.customers, lines);
    return lines;
}

} // namespace jaytrack
