#include "jaytrack/Config/inventory.h"

#include "jaytrack/Net/hostaddress.h"

#include <algorithm>

namespace jaytrack {

namespace {

constexpr IntegerRange slotRange{1, 4096};
constexpr IntegerRange memoryRange{1000, 100'000'000};
constexpr IntegerRange waitRange{0, 3'600'000};
constexpr IntegerRange weightRange{1, 1'000'000};
constexpr IntegerRange timeoutRange{1, 3'600'000};

class InventoryReader
{
public:
    explicit InventoryReader(Document &target)
        : document(target)
    {
    }

    void readInventory(TomlTable &root)
    {
        this->dataCentres = root.texts("data_centres");
        for (TomlTable &entry : root.tables("engines"))
            this->readEngine(entry);
        for (TomlTable &entry : root.tables("services"))
            this->readService(entry);
        for (TomlTable &entry : root.tables("customers"))
            this->readCustomer(entry);
        root.finish();
    }

    void readRules(TomlTable &root)
    {
        for (TomlTable &entry : root.tables("models"))
            this->readModel(entry);
        for (TomlTable &entry : root.tables("services"))
            this->readServiceRules(entry);
        for (TomlTable &entry : root.tables("customers"))
            this->readCustomerRules(entry);
        root.finish();
    }

    // An engine's model must have rules. A missing model is reported at the engine, where the name
    // is misspelt.
    void checkModels()
    {
        for (auto &[entry, model] : this->modelUses) {
            if (this->document.findModel(model) == nullptr)
                entry.report(ResultCode::DocumentDanglingName, "model",
                             "no rules for model " + model);
        }
    }

private:
    std::string dataCentreOf(TomlTable &entry)
    {
        std::string name = entry.text("data_centre");
        const auto &known = this->dataCentres;
        if (!name.empty() && std::find(known.begin(), known.end(), name) == known.end())
            entry.report(ResultCode::DocumentDanglingName, "data_centre", "no data centre " + name);
        return name;
    }

    std::string targetAddress(TomlTable &entry)
    {
        std::string address = entry.text("address");
        if (entry.has("address") && !isHostAddress(address))
            entry.report(ResultCode::SettingsOutOfRange, "address",
                         "must be IP:PORT of a single host");
        return address;
    }

    // Reads a name and reports it if another entry of the same kind has the same name.
    template <typename Item>
    std::string uniqueName(TomlTable &entry, const std::vector<Item> &others)
    {
        std::string name = entry.text("name");
        const bool taken = std::any_of(others.begin(), others.end(),
                                       [&name](const Item &other) { return other.name == name; });
        if (taken)
            entry.report(ResultCode::DocumentDuplicateName, "name", name + " comes twice");
        return name;
    }

    template <typename Item>
    Item *ruled(TomlTable &entry, std::vector<Item> &items)
    {
        const std::string name = entry.text("name");
        const auto found = std::find_if(items.begin(), items.end(),
                                        [&name](const Item &item) { return item.name == name; });
        if (found != items.end())
            return &*found;
        entry.report(ResultCode::DocumentDanglingName, "name", "not in the inventory: " + name);
        return nullptr;
    }

    void readEngine(TomlTable &entry)
    {
        Engine engine;
        engine.name = this->uniqueName(entry, this->document.engines);
        engine.dataCentre = this->dataCentreOf(entry);
        engine.address = this->targetAddress(entry);
        engine.model = entry.text("model");
        engine.slots = static_cast<std::uint32_t>(entry.integer("slots", slotRange, 64));
        engine.memoryTokens =
                static_cast<std::uint64_t>(entry.integer("memory_tokens", memoryRange));
        engine.leaving = entry.flag("leaving", false);
        for (const std::string &ability : entry.texts("supports"))
            this->setAbility(entry, engine.can, ability);
        entry.finish();
        this->modelUses.emplace_back(entry, engine.model);
        this->document.engines.push_back(std::move(engine));
    }

    void setAbility(TomlTable &entry, EngineAbilities &can, const std::string &ability)
    {
        if (ability == "resume")
            can.resume = true;
        else if (ability == "cancel")
            can.cancel = true;
        else if (ability == "priority")
            can.priority = true;
        else if (ability == "fencing")
            can.fencing = true;
        else
            entry.report(ResultCode::SettingsOutOfRange, "supports", "no ability " + ability);
    }

    void readService(TomlTable &entry)
    {
        Service service;
        service.name = this->uniqueName(entry, this->document.services);
        service.deduplicates = entry.flag("deduplicates", false);
        for (TomlTable &targetEntry : entry.tables("targets")) {
            ServiceTarget target;
            target.name = this->uniqueName(targetEntry, service.targets);
            target.dataCentre = this->dataCentreOf(targetEntry);
            target.address = this->targetAddress(targetEntry);
            target.leaving = targetEntry.flag("leaving", false);
            targetEntry.finish();
            service.targets.push_back(std::move(target));
        }
        entry.finish();
        this->document.services.push_back(std::move(service));
    }

    void readCustomer(TomlTable &entry)
    {
        Customer customer;
        customer.name = this->uniqueName(entry, this->document.customers);
        customer.keyDigests = entry.texts("key_digests");
        for (const std::string &digest : customer.keyDigests) {
            static constexpr std::size_t digestLength = 64;
            if (digest.size() != digestLength ||
                digest.find_first_not_of("0123456789abcdef") != std::string::npos)
                entry.report(ResultCode::SettingsOutOfRange, "key_digests",
                             "a digest is 64 lower-case hexadecimal digits of SHA-256");
        }
        entry.finish();
        this->document.customers.push_back(std::move(customer));
    }

    void readModel(TomlTable &entry)
    {
        Model model;
        model.name = this->uniqueName(entry, this->document.models);
        model.mayWait = entry.flag("may_wait", true);
        model.maxWait = std::chrono::milliseconds(entry.integer("max_wait_ms", waitRange, 30'000));
        model.priority = static_cast<int>(entry.integer("priority", {0, 9}, 0));
        model.repeatable = entry.flag("repeatable", true);
        model.overflowBound = entry.number("overflow_bound", 0.0001, 0.5, 0.02);
        model.silenceTimeout =
                std::chrono::milliseconds(entry.integer("silence_ms", timeoutRange, 20'000));
        model.firstTokenObjective =
                std::chrono::milliseconds(entry.integer("first_token_ms", waitRange, 390));
        model.stallObjective =
                std::chrono::milliseconds(entry.integer("stall_ms", waitRange, 2'000));
        model.objectiveShare = entry.number("objective", 0.5, 0.9999, 0.95);
        if (!model.mayWait && entry.has("max_wait_ms"))
            entry.report(ResultCode::SettingsContradiction, "max_wait_ms",
                         "given for a model that may not wait");
        entry.finish();
        this->document.models.push_back(std::move(model));
    }

    void readServiceRules(TomlTable &entry)
    {
        Service *service = this->ruled(entry, this->document.services);
        Service unused;
        Service &target = service == nullptr ? unused : *service;
        target.timeout =
                std::chrono::milliseconds(entry.integer("timeout_ms", timeoutRange, 10'000));
        target.objectiveShare = entry.number("objective", 0.5, 0.9999, 0.99);
        for (TomlTable &routeEntry : entry.tables("routes")) {
            Route route;
            route.method = routeEntry.text("method");
            route.pathPrefix = routeEntry.text("path");
            route.idempotent = routeEntry.flag("idempotent", false);
            routeEntry.finish();
            target.routes.push_back(std::move(route));
        }
        entry.finish();
    }

    void readCustomerRules(TomlTable &entry)
    {
        Customer *customer = this->ruled(entry, this->document.customers);
        Customer unused;
        Customer &target = customer == nullptr ? unused : *customer;
        target.weight = static_cast<std::uint32_t>(entry.integer("weight", weightRange, 1));
        target.maxConcurrent =
                static_cast<std::uint32_t>(entry.integer("max_concurrent", weightRange, 100));
        entry.finish();
    }

    Document &document;
    std::vector<std::string> dataCentres;
    std::vector<std::pair<TomlTable, std::string>> modelUses;
};

} // namespace

Document compileInventory(const std::string &inventoryFile, const std::string &rulesFile,
                          Problems &problems)
{
    Document document;
    InventoryReader reader(document);
    std::optional<TomlTable> inventory = TomlTable::open(inventoryFile, problems);
    if (inventory)
        reader.readInventory(*inventory);
    std::optional<TomlTable> rules = TomlTable::open(rulesFile, problems);
    if (rules)
        reader.readRules(*rules);
    reader.checkModels();
    document.index();
    if (problems.empty()) {
        for (const Error &error : document.check())
            problems.push_back({error.code, inventoryFile, 0, "", error.detail});
    }
    const std::string compiled = document.serialise();
    if (compiled.size() > maxDocumentBytes) {
        problems.push_back({ResultCode::DocumentTooLarge, inventoryFile, 0, "",
                            "the compiled document exceeds one megabyte"});
    } else if (problems.empty()) {
        // Names with control characters and the like, which instances would refuse.
        const auto parsed = Document::parse(compiled, 0);
        if (!parsed)
            problems.push_back({parsed.error().code, inventoryFile, 0, "", parsed.error().detail});
    }
    return document;
}

} // namespace jaytrack
