// Entries of another writer in the list of targets, with names and values that no target writes.
#ifndef JAYTRACK_TESTS_PROCESSSOAK_FOREIGNENTRIES_H
#define JAYTRACK_TESTS_PROCESSSOAK_FOREIGNENTRIES_H

#include "platformstandin.h"

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack::soak {

// Draws foreign entries by a seed and writes them to the store, whose pages it makes short.
class ForeignEntries
{
public:
    // The addresses are IP:PORT of a server that is no target and of a port on which nobody
    // listens.
    ForeignEntries(testing::StoreStandin &store, std::string otherServer, std::string closedPort,
                   std::uint64_t seed);

    // Writes entries of which some stand first, last and alone on a page, and more in a row than a
    // page holds.
    void writeAtEdges();

    // Writes one at an edge of a page and returns its key.
    std::string writeOne();

    // Writes this many anywhere in the list and returns their keys.
    std::vector<std::string> writeMany(std::size_t count);

    // Gives the entry another value.
    void rewrite(const std::string &key);

    void remove(const std::string &key);

private:
    enum class PageEdge { First, Last };

    void writeRow();
    void writeAloneOnLastPage();
    std::string drawName();
    std::string drawKey(const std::string &base);
    std::string drawKeyAt(PageEdge edge);
    std::string drawValue(const std::string &key);
    std::string drawUsable();
    std::string drawUnusable();
    std::string drawLarge();
    std::string drawService();
    std::string entryOfTarget(const std::string &service, const std::string &address) const;
    const std::string &drawBase(const std::vector<std::string> &keys);

    testing::StoreStandin &store;
    std::string otherServer;
    std::string closedPort;
    std::mt19937_64 random;
    std::size_t pageItems;
    int serial = 0;
    std::set<std::string> usable; // keys of entries that look like those of targets
};

} // namespace jaytrack::soak

#endif
