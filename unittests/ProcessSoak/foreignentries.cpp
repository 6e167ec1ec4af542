#include "foreignentries.h"

#include "platformdocuments.h"

#include <algorithm>
#include <array>

namespace jaytrack::soak {

namespace {

using namespace std::string_view_literals;

constexpr std::size_t fewestPageItems = 2;
constexpr std::size_t mostPageItems = 6;

constexpr std::string_view targetPrefix = "servers/";

// Sorts after the keys of all targets.
constexpr std::string_view lastPrefix = "servers/u";

// One name in this many fills its key up to the most bytes that the store takes.
constexpr std::size_t longNameEvery = 8;
constexpr std::size_t maxKeyBytes = 200;

// Keys that are drawn in search of one at an edge of a page.
constexpr int edgeTries = 60;

constexpr std::array<std::string_view, 5> namesBeyondAscii = {"\xc3\xa9"sv, "\xc3\xbf"sv,
                                                              "\xe4\xb8\x96\xe7\x95\x8c"sv,
                                                              "\xf0\x9f\x98\x80"sv, "\xc2\x80"sv};

// A target could have the names with "=", "/" and "~".
constexpr std::array<std::string_view, 14> asciiNames = {
        "&After="sv, "="sv, "+"sv, "#"sv,  "%"sv, "%#"sv,
        "%C3%A9"sv,  " "sv, "/"sv, "\""sv, "~"sv, "\r\nX-Injected: 1"sv,
        "\x01"sv,    "\0"sv};

// Entries that look usable at a time. Only its answers tell that such a server is no target, and
// retries are limited, so that targets have to be the majority.
constexpr std::size_t mostUsable = 3;

constexpr std::size_t deepNesting = 200'000;
constexpr std::size_t longServiceBytes = 100'000;

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

std::string portOf(const std::string &address)
{
    return address.substr(address.rfind(':') + 1);
}

} // namespace

ForeignEntries::ForeignEntries(testing::StoreStandin &writtenTo, std::string server,
                               std::string closed, std::uint64_t seed)
    : store(writtenTo)
    , otherServer(std::move(server))
    , closedPort(std::move(closed))
    , random(seed)
    , pageItems(std::uniform_int_distribution<std::size_t>(fewestPageItems,
                                                           mostPageItems)(this->random))
{
    this->store.limitPages(this->pageItems);
}

void ForeignEntries::writeAtEdges()
{
    this->writeRow();
    for (const PageEdge edge : {PageEdge::First, PageEdge::Last})
        this->rewrite(this->drawKeyAt(edge));
    this->writeAloneOnLastPage();
}

void ForeignEntries::writeRow()
{
    const std::string base = this->drawBase(this->store.keys());
    const std::size_t count = this->pageItems + this->random() % this->pageItems;
    for (std::size_t i = 0; i < count; ++i)
        this->rewrite(this->drawKey(base));
}

// Those that fill the page before it stand at its end, so that the page to come is asked for by the
// key of a foreign entry as well.
void ForeignEntries::writeAloneOnLastPage()
{
    do {
        this->rewrite(this->drawKey(std::string(lastPrefix)));
    } while (this->store.keys().size() % this->pageItems != 1);
}

std::string ForeignEntries::writeOne()
{
    std::string key = this->drawKeyAt(this->random() % 2 == 0 ? PageEdge::First : PageEdge::Last);
    this->rewrite(key);
    return key;
}

// None of them is large: two hundred are sent at once to each instance, and by it to the others.
std::vector<std::string> ForeignEntries::writeMany(std::size_t count)
{
    const std::vector<std::string> present = this->store.keys();
    std::vector<std::string> written;
    for (std::size_t i = 0; i < count; ++i) {
        written.push_back(this->drawKey(this->drawBase(present)));
        this->store.put(written.back(), this->drawUnusable());
    }
    return written;
}

void ForeignEntries::rewrite(const std::string &key)
{
    this->store.put(key, this->drawValue(key));
}

void ForeignEntries::remove(const std::string &key)
{
    this->usable.erase(key);
    this->store.remove(key);
}

const std::string &ForeignEntries::drawBase(const std::vector<std::string> &keys)
{
    const auto first = std::lower_bound(keys.begin(), keys.end(), targetPrefix);
    const auto end = std::lower_bound(first, keys.end(), lastPrefix);
    return *(first +
             static_cast<std::ptrdiff_t>(this->random() % static_cast<std::size_t>(end - first)));
}

std::string ForeignEntries::drawName()
{
    const std::string_view text =
            this->random() % 2 == 0 ? namesBeyondAscii[this->random() % namesBeyondAscii.size()]
                                    : asciiNames[this->random() % asciiNames.size()];
    return std::string(text) + std::to_string(this->serial++);
}

std::string ForeignEntries::drawKey(const std::string &base)
{
    // A base that is a long key of an earlier entry leaves no room for another name.
    const std::string name = this->drawName();
    std::string key = base.substr(0, targetPrefix.size() + 2) + name;
    if (this->random() % longNameEvery == 0)
        key.resize(maxKeyBytes, 'n');
    return key;
}

std::string ForeignEntries::drawKeyAt(PageEdge edge)
{
    const std::vector<std::string> keys = this->store.keys();
    const std::size_t wanted = edge == PageEdge::Last ? this->pageItems - 1 : 0;
    std::string key;
    for (int i = 0; i < edgeTries; ++i) {
        key = this->drawKey(this->drawBase(keys));
        const auto rank = static_cast<std::size_t>(std::lower_bound(keys.begin(), keys.end(), key) -
                                                   keys.begin());
        if (rank % this->pageItems == wanted)
            break;
    }
    return key;
}

std::string ForeignEntries::entryOfTarget(const std::string &service,
                                          const std::string &address) const
{
    return testing::targetJson(address, "ready", service);
}

std::string ForeignEntries::drawService()
{
    return this->random() % 2 == 0 ? "svc" : "desk";
}

// Addresses at which no target is, in entries that look like those of targets.
std::string ForeignEntries::drawUsable()
{
    const std::array<std::string, 4> addresses = {this->otherServer,
                                                  "0.0.0.0:" + portOf(this->otherServer),
                                                  this->closedPort, "127.0.0.1:0"};
    return this->entryOfTarget(this->drawService(), addresses[this->random() % addresses.size()]);
}

std::string ForeignEntries::drawUnusable()
{
    static constexpr std::array<const char *, 3> badPorts = {"65536", "99999", "-1"};
    std::string entry = this->entryOfTarget(this->drawService(), this->otherServer);
    switch (this->random() % 7) {
    case 0:
        return "not JSON";
    case 1:
        return "";
    case 2:
        return replaced(entry, R"("Slots":8)", R"("Slots":1e999)");
    case 3:
        return replaced(entry, R"("Seq":1)", R"("Seq":18446744073709551616)");
    case 4:
        return replaced(entry, R"("Zone":"dc")", "\"Zone\":\"\xff\xc3\"");
    case 5:
        return this->entryOfTarget("nobody", this->otherServer);
    default:
        return replaced(entry, portOf(this->otherServer),
                        badPorts[this->random() % badPorts.size()]);
    }
}

std::string ForeignEntries::drawLarge()
{
    if (this->random() % 2 == 0)
        return std::string(deepNesting, '[') + std::string(deepNesting, ']');
    return this->entryOfTarget(std::string(longServiceBytes, 's'), this->otherServer);
}

std::string ForeignEntries::drawValue(const std::string &key)
{
    this->usable.erase(key);
    const std::uint64_t kind = this->random() % 8;
    if (kind == 0)
        return this->drawLarge();
    if (kind > 3 || this->usable.size() >= mostUsable)
        return this->drawUnusable();
    this->usable.insert(key);
    return this->drawUsable();
}

} // namespace jaytrack::soak
