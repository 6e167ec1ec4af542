// Restarts of all instances while another writer keeps entries in the list of targets.
#include "entryfleet.h"

#include "platformdocuments.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cstdio>

using namespace jaytrack::testing;

namespace {

// Time within which service is back after the loss of all instances.
constexpr std::chrono::milliseconds recoveryTime{12'000};

constexpr std::size_t pageItems = 5;

constexpr int requestsToEach = 10;

struct NameCase
{
    char name[48];
    char text[32];
};

NameCase nameCases[] = {
        {"ampersand", "&"},
        {"plus", "+"},
        {"hash", "#"},
        {"percent", "%"},
        {"blank", " "},
        {"percent and hash", "%#"},
        {"ampersand and equals sign", "&b="},
        {"parameter of the call", "&After="},
        {"escaped letter", "%C3%A9"},
        {"escaped blank", "%20"},
        {"letter beyond ASCII", "\xc3\xa9"},
        {"line break", "\r\n"},
};

// Returns a key that ends with this text, stands behind another key and has this place on its page,
// counted from 0; empty if there is none.
std::string keyAtPlace(const StoreStandin &store, const std::string &text, std::size_t place,
                       const std::string &behind)
{
    const std::vector<std::string> keys = store.keys();
    for (const std::string &before : keys) {
        const std::string key = before + text;
        const auto rank = static_cast<std::size_t>(std::lower_bound(keys.begin(), keys.end(), key) -
                                                   keys.begin());
        if (rank > pageItems && rank % pageItems == place && key > behind)
            return key;
    }
    return {};
}

// Writes entries that name no target, four with unusable values and one that a target could have
// written but for its name, and returns their keys. The last two stand at the end of a page and at
// the beginning of one.
std::vector<std::string> writeOddEntries(EntryFleet &fleet, const std::string &text)
{
    const std::string address = fleet.strangerAddress();
    std::vector<std::string> keys = {"servers/" + text, "servers/t03" + text + "x",
                                     "servers/t06" + text};
    fleet.store.put(keys[0], R"({"Service":"svc","Address":")" + address + "\"}");
    fleet.store.put(keys[1], targetJson(address, "resting"));
    fleet.store.put(keys[2], targetJson(address));
    keys.push_back(keyAtPlace(fleet.store, text + "y", pageItems - 1, "servers/t"));
    fleet.store.put(keys[3], "\xff\xfe");
    keys.push_back(keyAtPlace(fleet.store, text + "z", 0, keys[3]));
    fleet.store.put(keys[4], "not JSON");
    return keys;
}

// Waits until all instances serve, and returns what is wrong; empty if nothing is.
std::string awaitService(EntryFleet &fleet, const char *when)
{
    const auto time = fleet.timeUntilAllServe(recoveryTime);
    const std::string fault = fleet.endFault();
    if (!fault.empty())
        return std::string(when) + ": " + fault;
    if (!time)
        return std::string(when) + ": an instance does not serve, log: " + fleet.logOfFailing();
    std::printf("%s: all_ms=%lld calls=%zu\n", when, static_cast<long long>(time->count()),
                fleet.store.calls());
    const int unserved = fleet.unservedOf(requestsToEach);
    return unserved == 0 ? std::string()
                         : std::string(when) + ": requests not served: " + std::to_string(unserved);
}

// Restarts all processes while the entries stand, first with pages of several items, then with
// pages of one, which end after each key.
std::string restartBesideOddNames(EntryFleet &fleet, const std::string &text)
{
    fleet.store.limitPages(pageItems);
    fleet.startAll();
    std::string fault = awaitService(fleet, "before");
    const std::vector<std::string> odd = writeOddEntries(fleet, text);
    if (odd[3].empty() || odd[4].empty())
        return "no key stands at an edge of a page";
    for (const std::size_t items : {pageItems, std::size_t(1)}) {
        if (!fault.empty())
            return fault;
        fleet.store.limitPages(items);
        fleet.killAll();
        fleet.takePageKeys();
        fleet.startAll();
        fault = awaitService(fleet, items == 1 ? "pages of one" : "pages of several");
        const std::set<std::string> asked = fleet.takePageKeys();
        if (fault.empty() && asked.count(odd[3]) == 0)
            fault = "no page was asked for after the odd key";
    }
    if (fault.empty() && !fleet.unescapedCall().empty())
        fault = "readers may differ on " + fleet.unescapedCall();
    if (fault.empty() && fleet.strangerRequests() > 0)
        fault = "an entry that names no target got requests";
    return fault;
}

} // namespace

ParameterizedTestParameters(entryFleet, servesAfterARestartBesideOddNames)
{
    return cr_make_param_array(NameCase, nameCases, std::size(nameCases));
}

// Guards against a fleet that serves nobody after a restart of all its processes, while an entry
// under a name of another writer's choice stands in a list of targets of several pages, and against
// requests to the address in such an entry.
ParameterizedTest(NameCase *odd, entryFleet, servesAfterARestartBesideOddNames)
{
    // A failed assertion would leave the processes running, so it comes after their end.
    std::string fault;
    {
        EntryFleet fleet({JAYTRACK_ENTRY});
        fault = restartBesideOddNames(fleet, odd->text);
    }
    cr_assert(fault.empty(), "%s: %s", odd->name, fault.c_str());
}
