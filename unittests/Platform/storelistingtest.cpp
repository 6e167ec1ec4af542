// After which keys a listing of the store goes on.
#include "jaytrack/Store/storelisting.h"

#include <criterion/criterion.h>

using namespace jaytrack;

namespace {

StoreListing listingOf(std::initializer_list<const char *> keys)
{
    StoreListing listing;
    for (const char *key : keys)
        listing.add({key, {}, 1, false});
    listing.advance();
    return listing;
}

} // namespace

// Guards against a listing that is stuck for ever, since the store failed once to understand the
// last key and the page after the earlier one holds nothing new.
Test(storeListing, triesTheLastKeyAgain)
{
    StoreListing listing = listingOf({"a1", "a2", "a3&0", "a3&1"});
    cr_assert_eq(listing.after(), std::string("a3&1"));
    listing.stepBack();
    cr_assert_eq(listing.after(), std::string("a2"));
    listing.stepBack();
    cr_assert_eq(listing.after(), std::string("a3&1"));
    listing.stepBack();
    cr_assert_eq(listing.after(), std::string("a2"));
    listing.add({"a4", {}, 1, false});
    listing.advance();
    cr_assert_eq(listing.after(), std::string("a4"));
}

// Guards against a listing that begins anew because an item has an empty key.
Test(storeListing, emptyKeyIsNoneToGoOnAfter)
{
    StoreListing listing = listingOf({"", "&0", "&1"});
    listing.stepBack();
    cr_assert_eq(listing.after(), std::string("&1"));
}

// Guards against items that count twice, where a page repeats what is listed.
Test(storeListing, repeatedItemsAreListedOnce)
{
    StoreListing listing = listingOf({"a1", "a2"});
    listing.add({"a2", {}, 2, false});
    cr_assert_eq(listing.size(), 2U);
    cr_assert_eq(listing.take().size(), 2U);
    cr_assert_eq(listing.size(), 0U);
    cr_assert(listing.after().empty());
}
