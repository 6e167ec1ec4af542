#include "jaytrack/Quarantine/requestdigest.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;

namespace {

struct DigestCase
{
    char name[32];
    char method[8];
    char host[16];
    char target[16];
    char customer[16];
    char body[16];
    bool same;
};

} // namespace

// Tests that a repeated request has the same digest, and a request that differs in any part has
// another one.
ParameterizedTestParameters(requestDigest, distinguishesRequests)
{
    static DigestCase cases[] = {
            {"the same", "POST", "h", "/a?b=1", "c", "body", true},
            {"other method", "PUT", "h", "/a?b=1", "c", "body", false},
            {"other host", "POST", "i", "/a?b=1", "c", "body", false},
            {"other query", "POST", "h", "/a?b=2", "c", "body", false},
            {"other customer", "POST", "h", "/a?b=1", "d", "body", false},
            {"other body", "POST", "h", "/a?b=1", "c", "Body", false},
            {"shifted fields", "POST", "h", "/a?b=1", "", "c\nbody", false},
    };
    return cr_make_param_array(DigestCase, cases, std::size(cases));
}

ParameterizedTest(DigestCase *param, requestDigest, distinguishesRequests)
{
    const std::string first = requestDigest({"POST", "h", "/a?b=1", "c", "body"});
    const std::string other = requestDigest(
            {param->method, param->host, param->target, param->customer, param->body});
    cr_assert_eq(first.size(), 32);
    cr_assert_eq(first == other, param->same, "%s", param->name);
}
