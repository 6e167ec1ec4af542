// Writes log lines from a separate thread. Otherwise a pipe without a reader would block the
// request whose line is being written; with the thread, lines are dropped and counted instead.
#ifndef JAYTRACK_SUPPORT_LINEWRITER_H
#define JAYTRACK_SUPPORT_LINEWRITER_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace jaytrack {

class LineWriter
{
public:
    // Holds a few thousand lines, which is some seconds of output of a busy instance.
    static constexpr std::size_t maxPendingBytes = 512U << 10U;

    // Writes to the file descriptor, which has to stay open.
    explicit LineWriter(int file);

    // Writes what is pending. Gives up after endTimeout without a reader.
    ~LineWriter();
    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    // Adds a line, given without its line break. Never blocks; drops the line if maxPendingBytes
    // are pending.
    void write(std::string_view line);

private:
    static constexpr std::chrono::milliseconds endTimeout{500};

    void run();
    void writeAll(std::string_view text);
    bool awaitRoom();

    int descriptor;
    std::mutex mutex;
    std::condition_variable changed;
    std::string pending;
    std::uint64_t dropped = 0;
    std::optional<std::chrono::steady_clock::time_point> writesUntil; // set at the end
    std::thread writer;
};

} // namespace jaytrack

#endif
