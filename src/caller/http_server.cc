#include "plantainhead/caller/http_server.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <future>
#include <stdexcept>
#include <utility>
#include <variant>

#include "caller/answer_writer.h"
#include "caller/body_reader.h"
#include "caller/connection_server.h"
#include "caller/count_guard.h"
#include "caller/request_parser.h"
#include "caller/route_table.h"
#include "endpoint/http_headers.h"

namespace plantainhead::caller {
namespace {

using clock = std::chrono::steady_clock;

// The decisions answer each request by its deadline. If one is missed for this
// long, the caller is told that nobody knows, instead of waiting for ever.
constexpr std::chrono::seconds kAnswerGrace{5};

// How often a waiting thread looks whether the server's stop has run out.
constexpr std::chrono::milliseconds kWaitSlice{200};

// Share of the threads that callers' requests may not take: one in so many.
constexpr std::size_t kReserveDivisor = 8;

// When a caller that found all other threads waiting may ask again.
constexpr std::chrono::milliseconds kBusyRetryAfter{500};

std::size_t MostWaiting(std::size_t threads) {
  const std::size_t reserve =
      std::max<std::size_t>(1, threads / kReserveDivisor);
  return threads > reserve ? threads - reserve : 1;
}

constexpr const char* kRequestIdHeader = "Plantain-Request-Id";

bool HasNoContent(int status) {
  return status == 204 || status == 304;
}

// Moves an answer into the library's. `echo` is the caller's request id.
void Fill(const written_answer& answer,
          const std::string& method,
          const std::string& echo,
          httplib::Response* response) {
  response->status = answer.status;
  for (const auto& [name, value] : answer.headers) {
    response->headers.emplace(name, value);
  }
  if (!echo.empty()) {
    response->headers.emplace(kRequestIdHeader, echo);
  }
  if (answer.body != nullptr && method != "HEAD" &&
      !HasNoContent(answer.status)) {
    response->body = *answer.body;
  }
}

void RequirePositive(bool holds, const char* what) {
  if (!holds) {
    throw std::invalid_argument(std::string("http_server: ") + what);
  }
}

void Check(const http_server_options& options,
           const core::core_gateway& gateway) {
  const auto zero = std::chrono::milliseconds::zero();
  RequirePositive(options.now != nullptr, "'now' is not set");
  RequirePositive(gateway.submit != nullptr, "'submit' is not set");
  RequirePositive(options.threads > 0, "'threads' is 0");
  RequirePositive(options.most_idle_connections > 0,
                  "'most_idle_connections' is 0");
  RequirePositive(options.idle_timeout > zero, "'idle_timeout' is 0");
  RequirePositive(options.most_requests_per_connection > 0,
                  "'most_requests_per_connection' is 0");
  RequirePositive(options.head_limit > 0, "'head_limit' is 0");
  RequirePositive(options.bodies_limit >= options.body_limit,
                  "'bodies_limit' is less than 'body_limit'");
  RequirePositive(options.trailer_limit > 0, "'trailer_limit' is 0");
  RequirePositive(options.read_limit > zero, "'read_limit' is 0");
  RequirePositive(options.write_limit > zero, "'write_limit' is 0");
  RequirePositive(options.default_patience > zero, "'default_patience' is 0");
}

}  // namespace

class http_server::impl {
 public:
  impl(http_server_options options,
       core::core_gateway gateway,
       const route_list& routes)
      : options_(std::move(options)),
        gateway_(std::move(gateway)),
        routes_(routes),
        server_({options_.threads, options_.most_idle_connections,
                 options_.idle_timeout, options_.most_requests_per_connection,
                 options_.read_limit, options_.write_limit, options_.head_limit,
                 options_.bodies_limit}) {
    Register();
  }

  connection_server& server() { return server_; }
  const http_server_options& options() const { return options_; }

  void Stop() {
    if (!stopping_.exchange(true)) {
      stop_by_ = clock::now() + options_.stop_limit;
      stop_by_set_ = true;
      server_.Stop();
    }
  }

 private:
  void Register();
  void Handle(const httplib::Request& request,
              httplib::Response& response,
              bool may_have_body);
  std::variant<core::shared_body, refusal> ReadBody(
      const httplib::Request& request,
      bool may_have_body) const;
  refusal RefusalOf(body_fault fault) const;
  written_answer Answer(const httplib::Request& request,
                        core::shared_body body);
  written_answer AnswerCaller(const httplib::Request& request,
                              core::shared_body body);
  written_answer AnswerRoute(const httplib::Request& request,
                             const core::shared_body& body) const;
  core::response Wait(std::future<core::response> future,
                      core::time_point deadline) const;
  bool HasWaitedEnough(core::time_point deadline) const;

  const http_server_options options_;
  const core::core_gateway gateway_;
  const route_table routes_;
  std::atomic<std::size_t> waiting_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> stop_by_set_ = false;
  clock::time_point stop_by_;
  connection_server server_;
};

void http_server::impl::Register() {
  const auto plain = [this](const httplib::Request& request,
                            httplib::Response& response) {
    Handle(request, response, false);
  };
  // The library hands over its reader of bodies with these; ours is used.
  const auto with_body = [this](const httplib::Request& request,
                                httplib::Response& response,
                                const httplib::ContentReader&) {
    Handle(request, response, true);
  };
  // A request whose length is in doubt is answered before the library reads
  // its body.
  server_.set_pre_routing_handler(
      [this](const httplib::Request& request, httplib::Response& response) {
        if (CurrentExchange().framing_fault.empty()) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        Handle(request, response, false);
        return httplib::Server::HandlerResponse::Handled;
      });
  server_.Get("/", plain);
  server_.Options("/", plain);
  server_.Post("/", with_body);
  server_.Put("/", with_body);
  server_.Patch("/", with_body);
  server_.Delete("/", with_body);
  // Without this the library answers 500 by itself, which would be taken for
  // one of its refusals below, and so for "not run".
  server_.set_exception_handler([](const httplib::Request& request,
                                   httplib::Response& response,
                                   const std::exception_ptr&) {
    const refusal why = {500, "internal", "the entry failed",
                         core::outcome::kUnknown};
    Fill(WriteRefusal(why), request.method, "", &response);
  });
  // The library's own refusals: malformed requests and unknown methods. What
  // follows on the connection can't be told from the rest of such a request.
  server_.set_error_handler(
      [this](const httplib::Request& request, httplib::Response& response) {
        if (response.has_header("Plantain-Outcome") ||
            response.has_header("Content-Type")) {
          return;
        }
        CurrentExchange().close = true;
        response.headers.emplace("Connection", "close");
        const refusal why =
            CurrentExchange().stream->interrupted() ? Overloaded()
            : CurrentExchange().stream->head_too_large()
                ? HeadTooLarge(options_.head_limit)
                : refusal{response.status, "bad-request",
                          "the request isn't one that HTTP allows here"};
        Fill(WriteRefusal(why), request.method, "", &response);
      });
}

void http_server::impl::Handle(const httplib::Request& request,
                               httplib::Response& response,
                               bool may_have_body) {
  exchange& current = CurrentExchange();
  const std::string* id =
      endpoint::FindHeader(current.headers, "plantain-request-id");
  const std::string echo = id != nullptr ? *id : "";
  std::variant<core::shared_body, refusal> body =
      ReadBody(request, may_have_body);
  if (const refusal* why = std::get_if<refusal>(&body)) {
    current.transfer->StartWriting(0);
    // What is left of the body would be read as the next request.
    current.close = true;
    response.headers.emplace("Connection", "close");
    Fill(WriteRefusal(*why), request.method, echo, &response);
    return;
  }
  current.transfer->StartDeciding();
  const written_answer answer =
      Answer(request, std::get<core::shared_body>(std::move(body)));
  // The library writes from a copy of its own.
  current.transfer->StartWriting(answer.body ? 2 * answer.body->size() : 0);
  if (server_.ending() || current.stream->interrupted()) {
    // The stop may have begun while the answer was waited for. A caller that
    // isn't told would send its next request into a connection that closes.
    current.close = true;
    response.headers.emplace("Connection", "close");
  }
  Fill(answer, request.method, echo, &response);
}

refusal http_server::impl::RefusalOf(body_fault fault) const {
  constexpr int kBadRequest = 400;
  constexpr int kTooLarge = 413;
  switch (fault) {
    case body_fault::kTooLarge:
      return {kTooLarge,
              std::string(core::NameOf(core::answer_reason::kBodyTooLarge)),
              "a body may have at most " + std::to_string(options_.body_limit) +
                  " bytes"};
    case body_fault::kFramingTooLarge:
      return {kBadRequest, "bad-request",
              "chunk extensions and trailers may have at most " +
                  std::to_string(options_.trailer_limit) + " bytes"};
    case body_fault::kNoMemory:
      return Overloaded();
    case body_fault::kMalformed:
      return {kBadRequest, "bad-request",
              "the chunks of the body are malformed"};
    default:
      return {kBadRequest, "bad-request", "the body ended early"};
  }
}

std::variant<core::shared_body, refusal> http_server::impl::ReadBody(
    const httplib::Request& request,
    bool may_have_body) const {
  const exchange& current = CurrentExchange();
  if (!current.framing_fault.empty()) {
    return refusal{400, "bad-request", current.framing_fault};
  }
  auto bytes = std::make_shared<std::string>();
  body_fault fault = body_fault::kNone;
  if (may_have_body) {
    body_reader reader(
        current.stream, {options_.body_limit, options_.trailer_limit},
        [&](std::size_t bytes) { return current.transfer->Reserve(bytes); });
    fault = request.has_header("Transfer-Encoding")
                ? reader.ReadChunked(bytes.get())
                : reader.ReadLength(
                      request.get_header_value<std::uint64_t>("Content-Length"),
                      bytes.get());
  }
  if (fault != body_fault::kNone) {
    return current.stream->interrupted() ? Overloaded() : RefusalOf(fault);
  }
  return core::shared_body(std::move(bytes));
}

written_answer http_server::impl::Answer(const httplib::Request& request,
                                         core::shared_body body) {
  const bool for_service = request.target.rfind(kServicePrefix, 0) == 0;
  return for_service ? AnswerCaller(request, std::move(body))
                     : AnswerRoute(request, body);
}

written_answer http_server::impl::AnswerCaller(const httplib::Request& request,
                                               core::shared_body body) {
  raw_request raw;
  raw.method = request.method;
  raw.target = request.target;
  raw.headers = CurrentExchange().headers;
  raw.body = std::move(body);
  raw.remote_ip = request.remote_addr;
  const patience_limits limits = {options_.default_patience,
                                  options_.greatest_patience};
  auto parsed = ParseRequest(raw, options_.now(), limits);
  if (const refusal* why = std::get_if<refusal>(&parsed)) {
    return WriteRefusal(*why);
  }
  const count_guard waiting(&waiting_);
  if (waiting_ > MostWaiting(options_.threads)) {
    // Without this the balancer's probes and the operators would wait behind
    // the callers, and a busy entry would be taken for a dead one.
    core::response busy;
    busy.result = core::outcome::kNotRun;
    busy.reason = core::answer_reason::kOverload;
    busy.detail = "too many requests wait for an answer here";
    busy.retry_after = kBusyRetryAfter;
    return WriteAnswer(busy);
  }
  core::request_envelope& envelope = std::get<core::request_envelope>(parsed);
  const core::time_point deadline = envelope.deadline;
  return WriteAnswer(Wait(gateway_.submit(std::move(envelope)), deadline));
}

bool http_server::impl::HasWaitedEnough(core::time_point deadline) const {
  const bool stop_ran_out = stop_by_set_ && clock::now() >= stop_by_;
  return stop_ran_out || options_.now() >= deadline + kAnswerGrace;
}

core::response http_server::impl::Wait(std::future<core::response> future,
                                       core::time_point deadline) const {
  core::response unknown;
  unknown.result = core::outcome::kUnknown;
  while (future.wait_for(kWaitSlice) != std::future_status::ready) {
    if (HasWaitedEnough(deadline)) {
      unknown.reason = stopping_ ? core::answer_reason::kStopping
                                 : core::answer_reason::kDeadline;
      unknown.detail = "no answer was known in time";
      return unknown;
    }
  }
  try {
    return future.get();
  } catch (const std::exception& error) {
    // A promise that was dropped: the runtime ended before it could answer.
    unknown.reason = core::answer_reason::kStopping;
    unknown.detail = error.what();
    return unknown;
  }
}

written_answer http_server::impl::AnswerRoute(
    const httplib::Request& request,
    const core::shared_body& body) const {
  const exchange& current = CurrentExchange();
  http_request plain;
  plain.method = request.method;
  plain.path = current.path;
  for (const auto& [name, value] : request.params) {
    plain.query[name] = value;
  }
  for (const auto& [name, value] : current.headers) {
    plain.headers[endpoint::ToLower(name)] = value;
  }
  plain.body = *body;
  return routes_.Answer(plain);
}

http_server::http_server(http_server_options options,
                         core::core_gateway gateway,
                         const route_list& routes) {
  Check(options, gateway);
  impl_ =
      std::make_unique<impl>(std::move(options), std::move(gateway), routes);
}

http_server::~http_server() {
  Stop();
}

std::uint16_t http_server::Start() {
  return impl_->server().Start(impl_->options().host, impl_->options().port);
}

void http_server::BeginStop() {
  impl_->server().EndConnections();
}

void http_server::Stop() {
  impl_->Stop();
}

http_server_counters http_server::counters() const {
  const transfer_table& transfers = impl_->server().transfers();
  return {transfers.held(), transfers.interrupted(),
          impl_->server().TurnedAway()};
}

std::size_t http_server::IdleConnections() const {
  return impl_->server().IdleConnections();
}

}  // namespace plantainhead::caller
