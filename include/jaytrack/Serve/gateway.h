// The callers' interface of one instance: recognises the customer, checks the request and hands it
// to whatever serves its kind.
#ifndef JAYTRACK_SERVE_GATEWAY_H
#define JAYTRACK_SERVE_GATEWAY_H

#include "jaytrack/Config/documentstore.h"
#include "jaytrack/Http/server.h"
#include "jaytrack/Serve/context.h"
#include "jaytrack/Serve/generationcall.h"
#include "jaytrack/Serve/requestlog.h"
#include "jaytrack/Serve/servicecall.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace jaytrack {

// Counts the requests in service, per customer and in all, against their limits.
class AdmissionMeter : public std::enable_shared_from_this<AdmissionMeter>
{
public:
    explicit AdmissionMeter(std::size_t limit)
        : total(limit)
    {
    }

    // A place for one more request, which is free again when the pointer goes; null with a code if
    // a limit is reached.
    std::shared_ptr<void> admit(const Customer &customer, ResultCode &code);

    std::size_t inService() const;

private:
    void release(const std::string &customer);

    mutable std::mutex mutex;
    std::size_t total;
    std::size_t used = 0;
    std::map<std::string, std::size_t> perCustomer;
};

class Gateway final : public HttpHandler
{
public:
    Gateway(ServeContext &context, DocumentStore &documents);

    void handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

    // Does what is due for every request in service.
    void sweep();

    // Takes back a request that no target may be given any more from wherever it waits.
    void withdraw(std::string_view digest);

    // From now on new requests are refused; those in service go on.
    void drain() { this->draining.store(true); }
    bool isDraining() const { return this->draining.load(); }

    // Whether every request has ended.
    bool idle() const;

    // Ends every request at once, naming each in the log.
    void cut();

    // Set once this instance has heard enough to serve.
    void setReady(bool isReady) { this->ready.store(isReady); }
    bool isReady() const { return this->ready.load() && !this->draining.load(); }

    const RequestLog &requests() const { return this->log; }
    ServiceDesk &services() { return this->serviceDesk; }
    std::size_t inService() const { return this->meter->inService(); }
    std::size_t streams() const { return this->registry.size(); }

private:
    void handleHealth(const HttpRequest &request, ResponseWriter &writer) const;
    bool identify(const HttpRequest &request, Caller &caller, Ending &refusal);
    void handleModels(const Caller &caller, ResponseWriter &writer) const;
    void handleCompletion(Caller caller, const HttpRequest &request,
                          std::shared_ptr<ResponseWriter> writer);
    void handleResume(Caller caller, std::string_view cursorOrHandle, const HttpRequest &request,
                      std::shared_ptr<ResponseWriter> writer);
    void handleService(Caller caller, HttpRequest request, std::shared_ptr<ResponseWriter> writer);
    void startGeneration(Caller caller, GenerationOrder order,
                         std::shared_ptr<ResponseWriter> writer);

    ServeContext &context;
    DocumentStore &documents;
    std::shared_ptr<AdmissionMeter> meter;
    RequestLog log;
    CallRegistry registry;
    ServiceDesk serviceDesk;
    std::atomic<bool> draining{false};
    std::atomic<bool> ready{false};
};

} // namespace jaytrack

#endif
