// The heads of requests to targets.
#include "jaytrack/Net/targetcall.h"

#include <criterion/criterion.h>

#include <string_view>

using namespace jaytrack;
using namespace std::string_view_literals;

// Guards against heads with lines of another's choice, through the name or the value of a header
// that was not checked where it was read.
Test(requestHead, invalidHeadersAreNotWritten)
{
    TargetRequest request;
    request.method = "GET";
    request.target = "/";
    request.headers = {{"X-Good", "1\t2 \xc3\xa9"},
                       {"X-Expect-Instance", "i\r\nX-Injected: 1"},
                       {"X-Feed", "i\nX-Injected: 1"},
                       {"X-Return", "i\rX-Injected: 1"},
                       {"X-Nul", std::string("i\0X-Injected: 1"sv)},
                       {"X-Delete", "\x7f"},
                       {"X-Injected: 1\r\nX-Name", "1"},
                       {"X Injected", "1"},
                       {"", "X-Injected"},
                       {"X-Last", ""}};
    cr_assert_eq(formatRequest(request), std::string("GET / HTTP/1.1\r\n"
                                                     "X-Good: 1\t2 \xc3\xa9\r\n"
                                                     "X-Last: \r\n"
                                                     "Connection: close\r\n\r\n"));
}
