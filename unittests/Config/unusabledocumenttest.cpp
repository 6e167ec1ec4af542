// Documents with values that no configuration can mean.
#include "jaytrack/Config/documentstore.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <nlohmann/json.hpp>

#include <array>

using namespace jaytrack;
using nlohmann::json;

namespace {

constexpr std::size_t nestingDepth = 300'000; // more than the stack holds, one call a level

const std::string quotedMark = "\"@\"";

// A document with one entry of each kind.
json soundDocument()
{
    Document document;
    document.models.emplace_back().name = "pattern";
    document.engines.emplace_back();
    document.engines.back().name = "engine";
    document.engines.back().dataCentre = "falun";
    document.engines.back().address = "127.0.0.1:80";
    document.engines.back().model = "pattern";
    Service &service = document.services.emplace_back();
    service.name = "account";
    service.targets = {{"target", "falun", "127.0.0.1:81", false}};
    service.routes = {{"GET", "/", true}};
    document.customers.push_back({"weavers", {std::string(64, 'a')}, 1, 100});
    return json::parse(document.serialise());
}

// The text of the sound document with the text of a value at one place.
std::string documentWith(const std::string &pointer, const std::string &value)
{
    json root = soundDocument();
    root[json::json_pointer(pointer)] = "@";
    std::string text = root.dump();
    return text.replace(text.find(quotedMark), quotedMark.size(), value);
}

std::string nestedArrays()
{
    return std::string(nestingDepth, '[') + std::string(nestingDepth, ']');
}

struct ValueCase
{
    std::array<char, 40> pointer;
    std::array<char, 40> value;
};

} // namespace

ParameterizedTestParameters(document, refusesUnusableValues)
{
    static std::array<ValueCase, 48> cases = {{
            {{"/engines/0/slots"}, {"-1"}},
            {{"/engines/0/slots"}, {"0"}},
            {{"/engines/0/slots"}, {"1.5"}},
            {{"/engines/0/slots"}, {"1e300"}},
            {{"/engines/0/slots"}, {"1e999"}},
            {{"/engines/0/slots"}, {"4294967296"}},
            {{"/engines/0/slots"}, {"99999999999999999999999"}},
            {{"/engines/0/memory"}, {"-5"}},
            {{"/engines/0/memory"}, {"18446744073709551615"}},
            {{"/engines/0/memory"}, {"1e300"}},
            {{"/services/0/timeout_ms"}, {"-1"}},
            {{"/services/0/timeout_ms"}, {"9223372036854775807"}},
            {{"/services/0/timeout_ms"}, {"18446744073709551615"}},
            {{"/services/0/timeout_ms"}, {"1e300"}},
            {{"/services/0/objective"}, {"1e300"}},
            {{"/services/0/objective"}, {"-1"}},
            {{"/models/0/max_wait_ms"}, {"9223372036854775807"}},
            {{"/models/0/max_wait_ms"}, {"-1"}},
            {{"/models/0/silence_ms"}, {"0.5"}},
            {{"/models/0/silence_ms"}, {"1e18"}},
            {{"/models/0/first_token_ms"}, {"-7"}},
            {{"/models/0/stall_ms"}, {"1e300"}},
            {{"/models/0/priority"}, {"4294967296"}},
            {{"/models/0/priority"}, {"0.5"}},
            {{"/models/0/overflow_bound"}, {"-1"}},
            {{"/models/0/overflow_bound"}, {"1e300"}},
            {{"/customers/0/weight"}, {"0"}},
            {{"/customers/0/weight"}, {"-1"}},
            {{"/customers/0/weight"}, {"1e300"}},
            {{"/customers/0/max_concurrent"}, {"-1"}},
            {{"/customers/0/max_concurrent"}, {"4294967296"}},
            {{"/customers"}, {"null"}},
            {{"/engines"}, {"{}"}},
            {{"/services/0/targets"}, {"null"}},
            {{"/services/0/routes"}, {"{}"}},
            {{"/customers/0/name"}, {R"("a\r\nX-Injected: 1")"}},
            {{"/customers/0/name"}, {R"("a\u0000b")"}},
            {{"/customers/0/name"}, {R"("\ud800")"}},
            {{"/customers/0/name"}, {"\"\xff\""}},
            {{"/engines/0/name"}, {R"("a\nb")"}},
            {{"/engines/0/dc"}, {R"("a\u007fb")"}},
            {{"/engines/0/address"}, {R"("127.0.0.1:80\r\nX: 1")"}},
            {{"/engines/0/address"}, {R"("127.0.0.1:80 /x")"}},
            {{"/services/0/name"}, {R"("a\tb")"}},
            {{"/services/0/targets/0/name"}, {R"("\r")"}},
            {{"/services/0/targets/0/dc"}, {R"("\u0001")"}},
            {{"/services/0/targets/0/address"}, {R"("127.0.0.1:80\n")"}},
            {{"/models/0/name"}, {R"("a\u001bb")"}},
    }};
    return cr_make_param_array(ValueCase, cases.data(), cases.size());
}

// Guards against a number that wraps round to another one, or a name that adds a line to a head,
// and against a store that gives up its document for one of them.
ParameterizedTest(ValueCase *param, document, refusesUnusableValues)
{
    const std::string text = documentWith(param->pointer.data(), param->value.data());
    DocumentStore store;
    cr_assert(store.offer(soundDocument().dump(), 1, "test") == OfferVerdict::Accepted);
    const auto parsed = Document::parse(text, 2);
    cr_assert(!parsed, "%s %s", param->pointer.data(), param->value.data());
    cr_expect(parsed.error().code == ResultCode::DocumentMalformed, "%s: %d", param->pointer.data(),
              static_cast<int>(parsed.error().code));
    cr_expect(store.offer(text, 2, "test") == OfferVerdict::Faulty);
    cr_expect_eq(store.revision(), 1U);
}

ParameterizedTestParameters(document, boundsNames)
{
    static std::array<ValueCase, 8> cases = {{
            {{"/models/0/name"}, {}},
            {{"/engines/0/name"}, {}},
            {{"/engines/0/dc"}, {}},
            {{"/engines/0/model"}, {}},
            {{"/engines/0/address"}, {}},
            {{"/services/0/name"}, {}},
            {{"/services/0/targets/0/name"}, {}},
            {{"/customers/0/name"}, {}},
    }};
    return cr_make_param_array(ValueCase, cases.data(), cases.size());
}

// Guards against a name of 100,000 letters in each head and log line, and in the refusal itself.
ParameterizedTest(ValueCase *param, document, boundsNames)
{
    constexpr std::size_t maxDetailBytes = 1000;
    const std::string longName = '"' + std::string(100'000, 'x') + '"';
    const auto parsed = Document::parse(documentWith(param->pointer.data(), longName), 2);
    cr_assert(!parsed, "%s", param->pointer.data());
    cr_expect(parsed.error().detail.size() < maxDetailBytes, "%s: %zu bytes", param->pointer.data(),
              parsed.error().detail.size());
}

// Guards against a parse error that quotes a megabyte of the document.
Test(document, boundsParseErrors)
{
    constexpr std::size_t maxDetailBytes = 1000;
    const std::string unreadable = '"' + std::string(900'000, 'x') + '\xff';
    const auto parsed = Document::parse(unreadable, 2);
    cr_assert(!parsed);
    cr_expect(parsed.error().detail.size() < maxDetailBytes, "%zu bytes",
              parsed.error().detail.size());
}

ParameterizedTestParameters(document, survivesDeepNesting)
{
    static std::array<ValueCase, 7> cases = {{
            {{"/unknown"}, {}},
            {{"/engines"}, {}},
            {{"/engines/0/can"}, {}},
            {{"/engines/0/unknown"}, {}},
            {{"/engines/0/slots"}, {}},
            {{"/services/0/objective"}, {}},
            {{"/customers/0/name"}, {}},
    }};
    return cr_make_param_array(ValueCase, cases.data(), cases.size());
}

// Guards against a nested value that ends the process by its stack.
ParameterizedTest(ValueCase *param, document, survivesDeepNesting)
{
    const auto parsed = Document::parse(documentWith(param->pointer.data(), nestedArrays()), 2);
    const bool isUnknown = std::string_view(param->pointer.data()).ends_with("unknown");
    cr_expect_eq(parsed.has_value(), isUnknown, "%s", param->pointer.data());
    if (!parsed)
        cr_expect(parsed.error().code == ResultCode::DocumentMalformed);
}
