// A file with a given text for the tests of the library's readers.
#ifndef JAYTRACK_UNITTESTS_CONFIG_TEMPORARYFILE_H
#define JAYTRACK_UNITTESTS_CONFIG_TEMPORARYFILE_H

#include <unistd.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>

namespace jaytrack::test {

// Removed when the test ends. Tests run side by side in processes of their own, in which objects
// may have the same address.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
        : path(std::filesystem::temp_directory_path() /
               ("jaytrack-test-" + std::to_string(::getpid()) + "-" +
                std::to_string(reinterpret_cast<std::uintptr_t>(this))))
    {
        std::ofstream(this->path) << text;
    }
    ~TemporaryFile() { std::filesystem::remove(this->path); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    std::string name() const { return this->path.string(); }

private:
    std::filesystem::path path;
};

} // namespace jaytrack::test

#endif
