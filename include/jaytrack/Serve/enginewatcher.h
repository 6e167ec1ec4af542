// Asks the engines at home here for their load, and tells the placement policy.
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

// Each engine is asked by its home only, so the number of questions does not grow with the
// instances. Runs on the control thread.
class EngineWatcher
{
public:
    EngineWatcher(ServeContext &context, std::function<bool(std::string_view)> homeTest);
    ~EngineWatcher();
    EngineWatcher(const EngineWatcher &) = delete;
    EngineWatcher &operator=(const EngineWatcher &) = delete;

    void tick(const Document &document);

private:
    struct Watched
    {
        TimePoint nextAt;
        bool asking = false;
        int failures = 0;
    };

    struct State;

    void askIfPermitted(const std::string &name, const std::string &address);
    void ask(const std::string &engine, const std::string &address);

    ServeContext &context;
    std::function<bool(std::string_view)> isHome;
    std::shared_ptr<State> state;
};

} // namespace jaytrack

#endif
