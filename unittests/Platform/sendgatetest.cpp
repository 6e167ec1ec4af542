// The gate that every call to a target passes when it is sent.
#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace {

std::string textOf(const std::filesystem::path &file)
{
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    return text.str();
}

} // namespace

// Guards against a new way to targets that does not ask the gate. The calls of snapshotfetch.cpp go
// to other instances, those of storefollower.cpp
// to the platform's store.
Test(sendGate, isPassedByAllCallsToTargets)
{
    const std::set<std::string> known = {"relayserver.cpp", "snapshotfetch.cpp",
                                         "storefollower.cpp", "targetcalls.cpp"};
    std::set<std::string> found;
    for (const char *folder : {"lib/Proxy", "lib/Calls", "lib/Store", "lib/Peers", "lib/Routing",
                               "lib/Limits", "lib/Quarantine", "lib/Versions"}) {
        const std::filesystem::path path = std::filesystem::path(JAYTRACK_SOURCES) / folder;
        for (const auto &file : std::filesystem::directory_iterator(path)) {
            const std::string text = textOf(file.path());
            const bool sends = text.find("TargetCall::start(") != std::string::npos ||
                               text.find("make_shared<TargetCall>") != std::string::npos ||
                               text.find("async_write(") != std::string::npos;
            if (sends)
                found.insert(file.path().filename().string());
        }
    }
    for (const std::string &name : found)
        cr_expect(known.count(name) > 0, "%s sends past the gate", name.c_str());
    cr_expect(found.size() == known.size());
    for (const char *name : {"Proxy/relayserver.cpp", "Calls/targetcalls.cpp"}) {
        const auto path = std::filesystem::path(JAYTRACK_SOURCES) / "lib" / name;
        cr_expect(textOf(path).find("refusalToSend(") != std::string::npos, "%s", name);
    }
}
