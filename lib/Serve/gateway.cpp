#include "jaytrack/Serve/gateway.h"

#include "jaytrack/Cluster/pausedetector.h"
#include "jaytrack/Config/settings.h"
#include "jaytrack/Quarantine/requestdigest.h"
#include "jaytrack/Support/digest.h"
#include "jaytrack/Support/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jaytrack {

namespace {

using nlohmann::json;

constexpr std::string_view streamsPath = "/v1/streams/";
constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view textPath = "/v1/completions";
constexpr std::chrono::milliseconds retryDelay{1000};
constexpr std::uint32_t bytesPerToken = 4;
constexpr std::uint32_t minPrefixTokens = 16;

std::uint32_t estimateTokens(std::string_view text)
{
    return static_cast<std::uint32_t>(text.size() / bytesPerToken) + 1;
}

// Returns the text of a chat message. Its content is a string or a list of parts.
std::string messageText(const json &message)
{
    if (!message.is_object() || !message.contains("content"))
        return {};
    const json &content = message["content"];
    if (content.is_string())
        return content.get<std::string>();
    std::string text;
    if (!content.is_array())
        return text;
    for (const json &part : content) {
        if (part.is_object() && part.contains("text") && part["text"].is_string())
            text += part["text"].get<std::string>();
    }
    return text;
}

void setPrefix(GenerationRequest &placementRequest, std::string_view prefix)
{
    const std::uint32_t tokens = estimateTokens(prefix);
    if (tokens < minPrefixTokens)
        return;
    placementRequest.prefixTokens = tokens;
    placementRequest.prefixHash = placementHash(prefix);
}

// Sets the prompt size and the prefix that the request may share with others. Placement needs both.
bool setChatSize(const json &body, GenerationRequest &placementRequest)
{
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty())
        return false;
    std::uint32_t tokens = 0;
    for (const json &message : body["messages"])
        tokens += estimateTokens(messageText(message));
    placementRequest.promptTokens = tokens;
    if (body["messages"].size() > 1)
        setPrefix(placementRequest, messageText(body["messages"][0]));
    return true;
}

// Returns digests of the messages that other requests may share, which are all but the last.
std::vector<std::string> sharedParts(const json &messages)
{
    std::vector<std::string> ids;
    for (std::size_t i = 0; i + 1 < messages.size(); ++i)
        ids.push_back(messages[i].dump(-1, ' ', false, json::error_handler_t::replace));
    return partDigests(ids);
}

bool setTextSize(const json &body, GenerationRequest &placementRequest)
{
    static constexpr std::size_t prefixBytes = 1024;
    if (!body.contains("prompt") || !body["prompt"].is_string())
        return false;
    const auto prompt = body["prompt"].get<std::string>();
    placementRequest.promptTokens = estimateTokens(prompt);
    if (prompt.size() > prefixBytes)
        setPrefix(placementRequest, std::string_view(prompt).substr(0, prefixBytes));
    return true;
}

// Writing a document calls itself for each level of nesting, so a body has a bounded number.
constexpr int maxNesting = 100;

// Parses a body; the result is discarded if it is malformed or nested too deeply.
json parseBody(std::string_view text)
{
    bool isTooDeep = false;
    json body = json::parse(
            text,
            [&isTooDeep](int depth, json::parse_event_t, json &) {
                isTooDeep = isTooDeep || depth > maxNesting;
                return !isTooDeep;
            },
            false);
    return isTooDeep ? json(json::value_t::discarded) : body;
}

// Parses the body of a completion request. The error detail is meant for the caller.
Result<GenerationSpec> parseSpec(const HttpRequest &request)
{
    json body = parseBody(request.body);
    if (!body.is_object())
        return Error{ResultCode::BadRequest,
                     "the request body is not a JSON object of at most 100 levels"};
    if (!body.contains("model") || !body["model"].is_string())
        return Error{ResultCode::BadRequest, "model must be a string"};
    GenerationSpec spec;
    spec.path = request.path;
    spec.chat = request.path == chatPath;
    spec.placementRequest.model = body["model"].get<std::string>();
    if (spec.chat && !setChatSize(body, spec.placementRequest))
        return Error{ResultCode::BadRequest, "messages must be a non-empty array"};
    if (spec.chat)
        spec.parts = sharedParts(body["messages"]);
    if (!spec.chat && !setTextSize(body, spec.placementRequest))
        return Error{ResultCode::BadRequest, "prompt must be a string"};
    if (body.contains("stream") && !body["stream"].is_boolean())
        return Error{ResultCode::BadRequest, "stream must be true or false"};
    spec.wantsStream = body.value("stream", false);
    if (body.contains("max_tokens") && body["max_tokens"].is_number_unsigned())
        spec.placementRequest.maxTokens = body["max_tokens"].get<std::uint32_t>();
    body["stream"] = true;
    spec.body = body.dump();
    return spec;
}

std::string bearerKey(const HttpRequest &request)
{
    static constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = request.header("Authorization");
    if (value.size() <= scheme.size() || !sameHeaderName(value.substr(0, scheme.size()), scheme))
        return {};
    return std::string(value.substr(scheme.size()));
}

} // namespace

std::shared_ptr<void> AdmissionMeter::admit(const Customer &customer, ResultCode &code)
{
    const std::lock_guard lock(this->mutex);
    if (this->used >= this->total) {
        code = ResultCode::Overloaded;
        return nullptr;
    }
    std::size_t &own = this->perCustomer[customer.name];
    if (own >= customer.maxConcurrent) {
        code = ResultCode::CustomerLimit;
        return nullptr;
    }
    ++own;
    ++this->used;
    const auto self = this->shared_from_this();
    return {this, [self, name = customer.name](void *) { self->release(name); }};
}

void AdmissionMeter::release(const std::string &customer)
{
    const std::lock_guard lock(this->mutex);
    --this->used;
    const auto own = this->perCustomer.find(customer);
    if (--own->second == 0)
        this->perCustomer.erase(own);
}

std::size_t AdmissionMeter::inService() const
{
    const std::lock_guard lock(this->mutex);
    return this->used;
}

Gateway::Gateway(ServeContext &ctx, DocumentStore &store)
    : context(ctx)
    , documents(store)
    , meter(std::make_shared<AdmissionMeter>(ctx.settings.maxRequests))
    , log(ctx.metrics, ctx.clock)
    , serviceHandler(ctx, this->log)
{
}

void Gateway::handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer)
{
    if (request.path == "/healthz" || request.path == "/readyz") {
        this->handleHealth(request, *writer);
        return;
    }
    Caller caller;
    caller.requestId = this->context.newRequestId();
    FinalStatus refusal;
    if (!this->identify(request, caller, refusal)) {
        this->context.metrics.count("jaytrack_refused_total{code=\"" +
                                    std::to_string(static_cast<int>(refusal.code)) + "\"}");
        answerError(*writer, refusal, caller.requestId);
        return;
    }
    const std::string_view path = request.path;
    if (path == "/v1/models" && request.method == "GET")
        this->handleModels(caller, *writer);
    else if ((path == chatPath || path == textPath) && request.method == "POST")
        this->handleCompletion(std::move(caller), request, std::move(writer));
    else if (path.substr(0, streamsPath.size()) == streamsPath && request.method == "GET")
        this->handleResume(std::move(caller), path.substr(streamsPath.size()), request,
                           std::move(writer));
    else
        this->handleService(std::move(caller), std::move(request), std::move(writer));
}

void Gateway::handleHealth(const HttpRequest &request, ResponseWriter &writer) const
{
    static constexpr int unavailable = 503;
    const bool good = request.path == "/healthz" || this->isReady();
    const std::vector<HttpHeader> headers = {{"Content-Type", "text/plain"}};
    writer.respond(good ? 200 : unavailable, headers, good ? "ok\n" : "not ready\n");
}

bool Gateway::identify(const HttpRequest &request, Caller &caller, FinalStatus &refusal)
{
    // A ticket of this incarnation cannot run on another instance, so requests with a ticket are
    // accepted while the instance drains.
    const bool ticketed = !request.header(ticketHeader).empty() ||
                          request.query.find("jaytrack_ticket=") != std::string::npos;
    if (this->draining.load() && !ticketed) {
        refusal = {ResultCode::Draining, "", retryDelay};
        return false;
    }
    caller.document = this->documents.current();
    if (!caller.document || !this->ready.load()) {
        refusal = {ResultCode::NotReady, "", retryDelay};
        return false;
    }
    // After a long pause of the process even a refusal could be based on outdated data, so the
    // caller is told to retry.
    if (!this->context.pauseDetector.mayAct()) {
        refusal = {ResultCode::AsleepTooLong, "", retryDelay};
        return false;
    }
    caller.customer = caller.document->findCustomerByDigest(sha256Hex(bearerKey(request)));
    if (caller.customer == nullptr) {
        refusal = {ResultCode::UnknownKey, "", {}};
        return false;
    }
    ResultCode code = ResultCode::Ok;
    caller.admission = this->meter->admit(*caller.customer, code);
    if (!caller.admission) {
        refusal = {code, "", retryDelay};
        return false;
    }
    return true;
}

void Gateway::handleModels(const Caller &caller, ResponseWriter &writer) const
{
    json data = json::array();
    for (const Model &model : caller.document->models)
        data.push_back({{"id", model.name}, {"object", "model"}, {"owned_by", "jaytrack"}});
    std::vector<HttpHeader> headers = outcomeHeaders(ResultCode::Ok, caller.requestId);
    headers.push_back({"Content-Type", "application/json"});
    writer.respond(200, headers, json{{"object", "list"}, {"data", data}}.dump());
}

void Gateway::handleCompletion(Caller caller, const HttpRequest &request,
                               std::shared_ptr<ResponseWriter> writer)
{
    // A client that reconnects by repeating its POST sends the ID of the last event it received.
    // Starting a second generation would give it the tokens of two generations.
    const std::string_view cursor = request.header("Last-Event-ID");
    if (!cursor.empty()) {
        this->handleResume(std::move(caller), "", request, std::move(writer));
        return;
    }
    Result<GenerationSpec> spec = parseSpec(request);
    if (!spec) {
        answerError(*writer, {spec.error().code, spec.error().detail, {}}, caller.requestId);
        return;
    }
    const Model *model = caller.document->findModel(spec.value().placementRequest.model);
    if (model == nullptr) {
        answerError(*writer, {ResultCode::UnknownModel, spec.value().placementRequest.model, {}},
                    caller.requestId);
        return;
    }
    GenerationRequest &placementRequest = spec.value().placementRequest;
    placementRequest.id = this->context.nextRequest.fetch_add(1);
    placementRequest.customer = caller.customer->name;
    placementRequest.weight = caller.customer->weight;
    placementRequest.priority = model->priority;
    placementRequest.mayWait = model->mayWait;
    placementRequest.maxWait = model->maxWait;
    placementRequest.overflowBound = model->overflowBound;
    this->startGeneration(std::move(caller), std::move(spec.value()), std::move(writer));
}

void Gateway::handleResume(Caller caller, std::string_view handleText, const HttpRequest &request,
                           std::shared_ptr<ResponseWriter> writer)
{
    const std::string_view lastId = request.header("Last-Event-ID");
    const std::optional<Cursor> cursor = Cursor::parse(lastId);
    if ((!lastId.empty() && !cursor) ||
        (cursor && !handleText.empty() && cursor->handle != handleText)) {
        answerError(*writer, {ResultCode::MalformedCursor, "", {}}, caller.requestId);
        return;
    }
    const std::string_view sealed =
            handleText.empty() ? std::string_view(cursor->handle) : handleText;
    const std::optional<StreamHandle> handle = StreamHandle::unseal(this->context.keys, sealed);
    const bool own = handle && handle->customer == caller.customer->name &&
                     caller.document->findModel(handle->model) != nullptr;
    if (!own) {
        answerError(*writer, {ResultCode::ForeignHandle, "", {}}, caller.requestId);
        return;
    }
    GenerationSpec spec;
    spec.placementRequest.model = handle->model;
    spec.placementRequest.id = this->context.nextRequest.fetch_add(1);
    spec.placementRequest.customer = caller.customer->name;
    spec.resumed = handle;
    spec.firstIndex = cursor ? cursor->index + 1 : 0;
    this->context.metrics.count("jaytrack_resumes_total");
    this->startGeneration(std::move(caller), std::move(spec), std::move(writer));
}

void Gateway::startGeneration(Caller caller, GenerationSpec spec,
                              std::shared_ptr<ResponseWriter> writer)
{
    const auto call =
            std::make_shared<GenerationCall>(this->context, this->registry, this->log,
                                             std::move(caller), std::move(spec), std::move(writer));
    call->start();
}

void Gateway::handleService(Caller caller, HttpRequest request,
                            std::shared_ptr<ResponseWriter> writer)
{
    const std::string_view path = request.path;
    const std::size_t slash = path.find('/', 1);
    const std::string name(path.substr(1, slash == std::string_view::npos ? slash : slash - 1));
    const Service *service = caller.document->findService(name);
    if (service == nullptr) {
        const bool api = path.substr(0, 4) == "/v1/";
        answerError(*writer, {api ? ResultCode::NotFound : ResultCode::UnknownService, name, {}},
                    caller.requestId);
        return;
    }
    std::string rest(slash == std::string_view::npos ? std::string_view("/") : path.substr(slash));
    this->serviceHandler.handle(std::move(caller), *service, std::move(rest), std::move(request),
                                std::move(writer));
}

void Gateway::sweep()
{
    for (const auto &call : this->registry.all())
        call->sweep();
    this->serviceHandler.sweep();
}

void Gateway::withdraw(std::string_view digest)
{
    for (const auto &call : this->registry.all())
        call->withdraw(digest);
}

bool Gateway::idle() const
{
    return this->meter->inService() == 0;
}

void Gateway::abortRequests()
{
    for (const auto &call : this->registry.all())
        call->abort();
    this->serviceHandler.logInService();
}

} // namespace jaytrack
