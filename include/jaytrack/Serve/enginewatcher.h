// Polls the load of the engines whose home is this instance and reports it to the placement policy.
#ifndef JAYTRACK_SERVE_ENGINEWATCHER_H
#define JAYTRACK_SERVE_ENGINEWATCHER_H

#include "jaytrack/Config/document.h"
#include "jaytrack/Serve/context.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace jaytrack {

// Each engine is polled only by its home instance, so the number of polls does not grow with the
// number of instances. Runs on the control thread.
class EngineWatcher
{
public:
    EngineWatcher(ServeContext &context, std::function<bool(std::string_view)> homePredicate);
    ~EngineWatcher();
    EngineWatcher(const EngineWatcher &) = delete;
    EngineWatcher &operator=(const EngineWatcher &) = delete;

    void tick(const Document &document);

private:
    struct PollState
    {
        TimePoint nextAt;
        bool pollInFlight = false;
        int failures = 0;
    };

    struct State;

    void pollIfPermitted(const std::string &name, const std::string &address);
    void poll(const std::string &engine, const std::string &address);

    ServeContext &context;
    std::function<bool(std::string_view)> isHome;
    std::shared_ptr<State> state;
};

} // namespace jaytrack

#endif
