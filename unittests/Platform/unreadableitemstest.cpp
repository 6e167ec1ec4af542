// Pages and changes of the store that hold an item which is not readable, or not in part.
#include "platformdialect.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;

namespace {

// What becomes of the item that is not readable.
enum class Unreadable { Nothing, Value, Key };

struct ItemCase
{
    char name[40];
    char text[160];
    Unreadable what;
};

ItemCase itemCases[] = {
        {"revision beyond any number", R"({"Key":"bad","Value":"YQ==","Revision":1e999})",
         Unreadable::Nothing},
        {"revision beyond 64 bits",
         R"({"Key":"bad","Value":"YQ==","Revision":99999999999999999999999})", Unreadable::Nothing},
        {"negative revision", R"({"Key":"bad","Value":"YQ==","Revision":-5})", Unreadable::Nothing},
        {"revision with a fraction", R"({"Key":"bad","Value":"YQ==","Revision":4.5})",
         Unreadable::Nothing},
        {"lease beyond any number", R"({"Lease":-1e999,"Key":"bad","Value":"YQ=="})",
         Unreadable::Nothing},
        {"no literal", R"({"Lease":nope,"Key":"bad","Value":"YQ=="})", Unreadable::Nothing},
        {"lone surrogate in the key", R"({"Key":"bad\ud800","Value":"YQ=="})", Unreadable::Key},
        {"second surrogate alone in the key", R"({"Key":"\udc00bad","Value":"YQ=="})",
         Unreadable::Key},
        {"lone surrogate in the value", R"({"Key":"bad","Value":"\ud800"})", Unreadable::Value},
        {"lone surrogate in another field", R"({"Key":"bad","Value":"YQ==","Note":"\ud800"})",
         Unreadable::Nothing},
        {"lone surrogate in a field's name", R"({"\ud800":1,"Key":"bad","Value":"YQ=="})",
         Unreadable::Nothing},
        {"no UTF-8 in the key", "{\"Key\":\"bad\xff\",\"Value\":\"YQ==\"}", Unreadable::Key},
        {"half a letter in the key", "{\"Key\":\"bad\xc3\",\"Value\":\"YQ==\"}", Unreadable::Key},
        {"no UTF-8 in the value", "{\"Key\":\"bad\",\"Value\":\"\xfe\xff\"}", Unreadable::Value},
        {"no UTF-8 in another field", "{\"Key\":\"bad\",\"Value\":\"YQ==\",\"Note\":\"\xc3\"}",
         Unreadable::Nothing},
        {"key is a list", R"({"Key":["bad"],"Value":"YQ=="})", Unreadable::Key},
        {"value is an object", R"({"Key":"bad","Value":{"a":"YQ=="}})", Unreadable::Value},
};

std::string answerWith(std::string_view listName, std::string_view item)
{
    return "{\"" + std::string(listName) + R"(":[{"Key":"good","Value":"bm9kZS0x","Revision":4},)" +
           std::string(item) +
           R"(,{"Key":"last","Revision":6,"Deleted":true}],"At":6,"HasMore":true})";
}

void checkOthers(const Result<StorePage> &decoded, const char *name)
{
    cr_assert(decoded.has_value(), "%s", name);
    const StorePage &page = decoded.value();
    cr_assert_eq(page.items.size() + page.nameless, 3, "%s", name);
    cr_assert_eq(page.items.front().key, std::string("good"), "%s", name);
    cr_assert_eq(page.items.front().value, std::string("node-1"), "%s", name);
    cr_assert_eq(page.items.front().revision, 4U, "%s", name);
    cr_assert_eq(page.items.back().key, std::string("last"), "%s", name);
    cr_assert(page.items.back().deleted, "%s", name);
    cr_assert_eq(page.revision, 6U, "%s", name);
    cr_assert(page.more, "%s", name);
}

struct RefusedCase
{
    char name[40];
    char text[96];
};

RefusedCase refusedCases[] = {
        {"nothing", ""},
        {"blanks", "   "},
        {"cut in a text", R"({"At":5,"HasMore":false,"Entries":[],"events":[],"X":"a)"},
        {"cut behind a text", R"({"At":5,"Entries":[{"Key":"a")"},
        {"raw control byte", "{\"At\":5,\"X\":\"\x01\",\"Entries\":[],\"events\":[]}"},
        {"cut in a letter", "{\"At\":5,\"Entries\":[],\"events\":[],\"X\":\"\xc3"},
        {"text behind the end", R"({"At":5,"Entries":[],"events":[]} {})"},
        {"more is a text", R"({"At":5,"HasMore":"true","Entries":[],"events":[]})"},
        {"more is null", R"({"At":5,"HasMore":null,"Entries":[],"events":[]})"},
        {"revision beyond the signed", R"({"At":9223372036854775808,"Entries":[],"events":[]})"},
        {"no list", R"({"At":5})"},
};

// Levels beyond what a recursive function could handle.
constexpr std::size_t manyLevels = 300'000;

std::string nestedLists()
{
    return std::string(manyLevels, '[') + std::string(manyLevels, ']');
}

} // namespace

ParameterizedTestParameters(platformDialect, unreadableItemCostsOnlyItself)
{
    return cr_make_param_array(ItemCase, itemCases, std::size(itemCases));
}

// Guards against an instance that lists or follows nothing, since one item that it cannot read
// stands beside others.
ParameterizedTest(ItemCase *item, platformDialect, unreadableItemCostsOnlyItself)
{
    const auto dialect = makePlatformDialect();
    for (const bool isPage : {true, false}) {
        const Result<StorePage> decoded =
                isPage ? dialect->decodePage(answerWith("Entries", item->text))
                       : dialect->decodeChanges(answerWith("events", item->text));
        checkOthers(decoded, item->name);
        const std::vector<StoreItem> &items = decoded.value().items;
        cr_assert_eq(items.size(), item->what == Unreadable::Key ? 2U : 3U, "%s", item->name);
        if (item->what == Unreadable::Key)
            continue;
        cr_assert_eq(items[1].key, std::string("bad"), "%s", item->name);
        cr_assert_eq(items[1].unreadable, item->what == Unreadable::Value, "%s", item->name);
        cr_assert_eq(items[1].revision, 6U, "%s: that of the answer", item->name);
    }
}

ParameterizedTestParameters(platformDialect, answersOfNoUseAreRefused)
{
    return cr_make_param_array(RefusedCase, refusedCases, std::size(refusedCases));
}

// Guards against a process that ends for an answer that is no JSON, and against an answer taken
// for the whole list though it does not say so.
ParameterizedTest(RefusedCase *answer, platformDialect, answersOfNoUseAreRefused)
{
    const auto dialect = makePlatformDialect();
    cr_assert_not(dialect->decodePage(answer->text).has_value(), "%s", answer->name);
    cr_assert_not(dialect->decodeChanges(answer->text).has_value(), "%s", answer->name);
}

// Guards against a later change that is dropped as old, since the one before it in the same answer
// has no readable revision.
Test(platformDialect, changeWithoutRevisionIsNoLaterThanTheNext)
{
    const std::string events = R"([{"Key":"a","Revision":1e999,"Value":"YQ=="},)"
                               R"({"Key":"a","Revision":5,"Deleted":true},)"
                               R"({"Key":"b","Revision":-1,"Value":"YQ=="}])";
    const auto changes =
            makePlatformDialect()->decodeChanges(R"({"At":6,"events":)" + events + "}");
    cr_assert(changes.has_value());
    const std::vector<StoreItem> &items = changes.value().items;
    cr_assert_eq(items[0].revision, 5U);
    cr_assert_eq(items[1].revision, 5U);
    cr_assert_eq(items[2].revision, 6U);
    const auto page = makePlatformDialect()->decodePage(R"({"At":6,"Entries":)" + events + "}");
    cr_assert_eq(page.value().items[0].revision, 6U, "pages are in the order of their keys");
}

// Guards against a process that ends, or reads nothing, for an item nested deeper than its stack.
Test(platformDialect, deeplyNestedItemCostsOnlyItself)
{
    const std::string texts[] = {R"({"Lease":)" + nestedLists() + R"(,"Key":"bad","Value":"YQ=="})",
                                 R"({"Key":)" + nestedLists() + R"(,"Value":"YQ=="})",
                                 R"({"Key":"bad","Value":)" + nestedLists() + "}", nestedLists()};
    for (const std::string &text : texts)
        checkOthers(makePlatformDialect()->decodePage(answerWith("Entries", text)), "nested");
}
