#include "jaytrack/Support/linewriter.h"

#include <criterion/criterion.h>

#include <unistd.h>

#include <array>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

class Pipe
{
public:
    Pipe() { cr_assert_eq(::pipe(this->ends.data()), 0); }

    ~Pipe()
    {
        this->closeWriter();
        ::close(this->ends[0]);
    }

    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    int writer() const { return this->ends[1]; }

    void closeWriter()
    {
        if (this->ends[1] >= 0)
            ::close(this->ends[1]);
        this->ends[1] = -1;
    }

    std::string readToEnd() const
    {
        std::string text;
        std::array<char, 4096> part{};
        while (true) {
            const ssize_t count = ::read(this->ends[0], part.data(), part.size());
            if (count <= 0)
                return text;
            text.append(part.data(), static_cast<std::size_t>(count));
        }
    }

private:
    std::array<int, 2> ends{};
};

const std::string line(200, 'x');

} // namespace

// Guards against a program that does not end because nobody reads its log.
Test(lineWriter, endsWithoutAReader, .timeout = 10)
{
    const Pipe pipe;
    const auto since = std::chrono::steady_clock::now();
    {
        LineWriter writer(pipe.writer());
        for (int i = 0; i < 2000; ++i)
            writer.write(line);
    }
    cr_expect(std::chrono::steady_clock::now() - since < 2s);
}

// Guards against lines that are lost at the end though somebody reads them.
Test(lineWriter, writesAllLinesThatAreReadAtTheEnd, .timeout = 10)
{
    constexpr std::size_t lines = 2000;
    Pipe pipe;
    std::thread end([&pipe] {
        {
            LineWriter writer(pipe.writer());
            for (std::size_t i = 0; i < lines; ++i)
                writer.write(line);
        }
        pipe.closeWriter();
    });
    const std::string text = pipe.readToEnd();
    end.join();
    cr_expect_eq(text.size(), lines * (line.size() + 1));
}
