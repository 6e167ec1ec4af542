// One listing of the store, page by page: what was read so far, and after which key it goes on.
#ifndef JAYTRACK_STORE_STORELISTING_H
#define JAYTRACK_STORE_STORELISTING_H

#include "jaytrack/Routing/targetdirectory.h"

#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace jaytrack {

class StoreListing
{
public:
    // Begins anew.
    void clear();

    // Adds an item; does nothing if its key is listed already.
    void add(StoreItem item);

    std::size_t size() const { return this->items.size(); }

    // The key after which the next page begins; empty for the first page.
    const std::string &after() const { return this->pageAfter; }

    // Goes on after the last item. Must have one.
    void advance();

    // Goes on after an earlier key that every reader of a request takes for the same, for a store
    // that does not go on after the last one. The page then repeats what is listed after that key.
    // Goes on after the last one again if it has stepped back already, since the store may only
    // have failed to understand it once.
    void stepBack();

    // Returns all items, and begins anew.
    std::vector<StoreItem> take();

private:
    std::vector<StoreItem> items;
    std::unordered_set<std::string> keys;
    std::string pageAfter;
    std::string lastKey; // of the last page
};

} // namespace jaytrack

#endif
