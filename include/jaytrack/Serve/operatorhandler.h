// HTTP interface of an instance for operators: metrics, status, the record of a finished request,
// and draining. It has its own listener, which must be reachable from the operators' network only.
#ifndef JAYTRACK_SERVE_OPERATORHANDLER_H
#define JAYTRACK_SERVE_OPERATORHANDLER_H

#include "jaytrack/Http/server.h"

#include <functional>
#include <string>

namespace jaytrack {

class DocumentStore;
class Gateway;
class Metrics;
class PeerNode;
class PauseDetector;

// The parts of the instance that the operators' interface reads and controls.
struct OperatorView
{
    std::string name;
    Gateway &gateway;
    PeerNode &peers;
    DocumentStore &documents;
    Metrics &metrics;
    PauseDetector &pauseDetector;
    std::function<void()> drain;
};

class OperatorHandler final : public HttpHandler
{
public:
    explicit OperatorHandler(OperatorView parts)
        : view(std::move(parts))
    {
    }

    void handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

private:
    std::string status() const;
    std::string metrics() const;
    std::string burn() const;
    void explain(const HttpRequest &request, ResponseWriter &writer) const;

    OperatorView view;
};

} // namespace jaytrack

#endif
