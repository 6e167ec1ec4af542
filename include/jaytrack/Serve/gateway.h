// HTTP interface of an instance for callers. Authenticates the customer, validates the request and
// dispatches it to the generation or service handler.
#ifndef JAYTRACK_SERVE_GATEWAY_H
#define JAYTRACK_SERVE_GATEWAY_H

#include "jaytrack/Config/documentstore.h"
#include "jaytrack/Http/server.h"
#include "jaytrack/Serve/context.h"
#include "jaytrack/Serve/generationcall.h"
#include "jaytrack/Serve/requestlog.h"
#include "jaytrack/Serve/servicehandler.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace jaytrack {

// Limits the number of requests in service, per customer and in total.
class AdmissionMeter : public std::enable_shared_from_this<AdmissionMeter>
{
public:
    explicit AdmissionMeter(std::size_t limit)
        : total(limit)
    {
    }

    // Reserves a slot for one request. The slot is released when the last copy of the returned
    // pointer is destroyed. Returns null and sets the code if a limit is reached.
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

    // Runs the periodic work of every request in service, such as time-outs and delayed retries.
    void sweep();

    // Ends generations whose request digest has been barred and that have not received a token yet.
    void withdraw(std::string_view digest);

    // Starts refusing new requests; requests in service continue. Requests that carry a ticket are
    // still accepted.
    void drain() { this->draining.store(true); }
    bool isDraining() const { return this->draining.load(); }

    // Returns true if no request is in service.
    bool idle() const;

    // Ends all generations immediately and logs the ID of every request in service.
    void abortRequests();

    // Set once this instance has received the configuration that it needs to serve.
    void setReady(bool isReady) { this->ready.store(isReady); }
    bool isReady() const { return this->ready.load() && !this->draining.load(); }

    const RequestLog &requests() const { return this->log; }
    ServiceHandler &services() { return this->serviceHandler; }
    std::size_t inService() const { return this->meter->inService(); }
    std::size_t streams() const { return this->registry.size(); }

private:
    void handleHealth(const HttpRequest &request, ResponseWriter &writer) const;
    bool identify(const HttpRequest &request, Caller &caller, FinalStatus &refusal);
    void handleModels(const Caller &caller, ResponseWriter &writer) const;
    void handleCompletion(Caller caller, const HttpRequest &request,
                          std::shared_ptr<ResponseWriter> writer);
    void handleResume(Caller caller, std::string_view cursorOrHandle, const HttpRequest &request,
                      std::shared_ptr<ResponseWriter> writer);
    void handleService(Caller caller, HttpRequest request, std::shared_ptr<ResponseWriter> writer);
    void startGeneration(Caller caller, GenerationSpec spec,
                         std::shared_ptr<ResponseWriter> writer);

    ServeContext &context;
    DocumentStore &documents;
    std::shared_ptr<AdmissionMeter> meter;
    RequestLog log;
    CallRegistry registry;
    ServiceHandler serviceHandler;
    std::atomic<bool> draining{false};
    std::atomic<bool> ready{false};
};

} // namespace jaytrack

#endif
