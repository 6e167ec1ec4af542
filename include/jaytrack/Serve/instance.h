// An instance of the serving system. Owns all of its parts and their threads.
#ifndef JAYTRACK_SERVE_INSTANCE_H
#define JAYTRACK_SERVE_INSTANCE_H

#include "jaytrack/Config/settings.h"
#include "jaytrack/Support/clock.h"
#include "jaytrack/Support/result.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace jaytrack {

// Functions may be called from any thread.
class Instance
{
public:
    // Starts listening. The instance is not ready until it holds a configuration document.
    static Result<std::unique_ptr<Instance>> start(const Settings &settings, const Clock &clock);

    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    // Begins a graceful shutdown: refuses new requests and lets requests in service finish.
    void drain();

    // Returns true when a graceful shutdown is complete: all received requests are answered, and
    // each response has been sent or its caller has not read it within the delivery grace period.
    // Returns true at the latest two seconds after abortRequests().
    bool drained() const;

    // Returns the number of requests whose responses have not been sent completely.
    std::size_t unsentAnswers() const;

    // Ends all generations immediately and logs the ID of every request in service. The final
    // responses still have to be sent; see drained().
    void abortRequests();

    bool isReady() const;
    std::uint16_t callerPort() const;
    std::uint16_t peerPort() const;
    std::uint16_t operatorPort() const; // 0 if the operators' listener is disabled

private:
    struct Parts;
    explicit Instance(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> parts;
};

} // namespace jaytrack

#endif
