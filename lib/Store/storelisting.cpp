#include "jaytrack/Store/storelisting.h"

#include "jaytrack/Routing/targetentrycheck.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace jaytrack {

namespace {

// Whether each byte of the key stands for itself in the query of a request.
bool isPlainKey(std::string_view key)
{
    static constexpr std::string_view plain = "-._~/"
                                              "0123456789"
                                              "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                              "abcdefghijklmnopqrstuvwxyz";
    return !key.empty() && key.size() <= maxKeyBytes &&
           key.find_first_not_of(plain) == std::string_view::npos;
}

} // namespace

void StoreListing::clear()
{
    this->items = {};
    this->keys = {};
    this->pageAfter.clear();
    this->lastKey.clear();
}

void StoreListing::add(StoreItem item)
{
    if (this->keys.insert(item.key).second)
        this->items.push_back(std::move(item));
}

void StoreListing::advance()
{
    assert(!this->items.empty() && "an empty listing has no key to go on after");
    this->lastKey = this->items.back().key;
    this->pageAfter = this->lastKey;
}

void StoreListing::stepBack()
{
    if (this->pageAfter != this->lastKey) {
        this->pageAfter = this->lastKey;
        return;
    }
    const auto plain =
            std::find_if(this->items.rbegin(), this->items.rend(), [this](const StoreItem &item) {
                return item.key != this->lastKey && isPlainKey(item.key);
            });
    if (plain != this->items.rend())
        this->pageAfter = plain->key;
}

std::vector<StoreItem> StoreListing::take()
{
    std::vector<StoreItem> whole = std::move(this->items);
    this->clear();
    return whole;
}

} // namespace jaytrack
