// What a line of the log may hold.
#include "jaytrack/Support/log.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <glog/logging.h>

#include <string>

using namespace jaytrack;

namespace {

// Keeps the last line that was logged.
class LastLine final : public google::LogSink
{
public:
    LastLine() { google::AddLogSink(this); }
    ~LastLine() override { google::RemoveLogSink(this); }
    LastLine(const LastLine &) = delete;
    LastLine &operator=(const LastLine &) = delete;

    void send(google::LogSeverity, const char *, const char *, int, const google::LogMessageTime &,
              const char *message, std::size_t length) override
    {
        this->text.assign(message, length);
    }

    std::string text;
};

struct ValueCase
{
    std::size_t bytes;
    char filler;
    std::size_t writtenBytes; // quotes and escapes included
    bool isCut;
};

ValueCase valueCases[] = {
        {1, 'a', 1, false},         {512, 'a', 512, false},      {513, 'a', 512, true},
        {100'000, 'a', 512, true},  {1U << 20U, 'a', 512, true}, {512, ' ', 514, false},
        {100'000, '\n', 514, true}, {100'000, '"', 1023, true},
};

} // namespace

ParameterizedTestParameters(log, valuesAreBounded)
{
    return cr_make_param_array(ValueCase, valueCases, std::size(valueCases));
}

// Guards against lines of a megabyte, which push others out of the log's bounded queue.
ParameterizedTest(ValueCase *param, log, valuesAreBounded)
{
    LastLine line;
    logEvent(Severity::Info, "tested",
             {{"key", std::string(param->bytes, param->filler)}, {"last", 1}});
    const std::size_t start = line.text.find(" key=") + 5;
    const std::size_t end = line.text.rfind(" last=1");
    const std::string value = line.text.substr(start, end - start);
    cr_assert_eq(value.size(), param->writtenBytes, "%zu bytes", param->bytes);
    const bool isCut = value.ends_with("...") || value.ends_with("...\"");
    cr_assert_eq(isCut, param->isCut, "%zu bytes", param->bytes);
}
