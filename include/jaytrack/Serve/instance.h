// One entry instance: owns every part and its threads.
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

// A running instance. Functions may be called from any thread.
class Instance
{
public:
    // Starts listening. It is not ready before it holds a document.
    static Result<std::unique_ptr<Instance>> start(const Settings &settings, const Clock &clock);

    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    // Begins a graceful shutdown: refuses new requests, lets those in service finish.
    void drain();

    // Whether a graceful shutdown has come to its end: every request that has arrived is answered,
    // and the answers have left or their callers have not taken them within the delivery grace.
    // After cut() that takes two seconds at most.
    bool drained() const;

    // Requests whose answers have not left whole.
    std::size_t unsentAnswers() const;

    // Ends every request at once, naming each in the log. What callers are told still has to leave.
    void cut();

    bool isReady() const;
    std::uint16_t callerPort() const;
    std::uint16_t peerPort() const;
    std::uint16_t operatorPort() const; // 0 if there is no operators' listener

private:
    struct Parts;
    explicit Instance(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> parts;
};

} // namespace jaytrack

#endif
