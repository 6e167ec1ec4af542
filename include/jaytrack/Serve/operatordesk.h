// The operators' interface of one instance: metrics, status, explanations, draining. It listens
// apart from the callers and is meant for the operators' network only.
#ifndef JAYTRACK_SERVE_OPERATORDESK_H
#define JAYTRACK_SERVE_OPERATORDESK_H

#include "jaytrack/Http/server.h"

#include <functional>
#include <string>

namespace jaytrack {

class DocumentStore;
class Gateway;
class Metrics;
class PeerNode;
class PauseDetector;

// The parts that it looks at.
struct OperatorView
{
    std::string name;
    Gateway &gateway;
    PeerNode &peers;
    DocumentStore &documents;
    Metrics &metrics;
    PauseDetector &wakefulness;
    std::function<void()> drain;
};

class OperatorDesk final : public HttpHandler
{
public:
    explicit OperatorDesk(OperatorView parts)
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
