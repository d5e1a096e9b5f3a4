#include "caller/connection_server.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <utility>

#include "caller/answer_writer.h"
#include "caller/count_guard.h"
#include "endpoint/http_headers.h"

namespace plantainhead::caller {
namespace {

using clock = endpoint::socket_stream::clock;

// Connections that the system accepts ahead of the server. cpp-httplib asks for
// 5, which a burst of callers overflows; each of those then waits a second for
// its SYN to be sent again.
constexpr int kBacklog = 511;

// How long a connection that was accepted during a stop may take to send its
// first byte.
constexpr std::chrono::milliseconds kLateRequestWait{100};

// How long a thread waits for the next request of a connection while more than
// half of the threads are free. It saves a caller that asks again at once the
// way through the watching thread.
constexpr std::chrono::milliseconds kLinger{2};

// How long an exchange may wait for its caller while others wait for a thread.
constexpr std::chrono::milliseconds kThreadGrace{100};

// cpp-httplib makes a queue for each run of its accept loop. Taking a
// connection in needs no thread of its own.
class inline_queue : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> task) override { task(); }
  void shutdown() override {}
};

thread_local exchange* current_exchange = nullptr;

constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

// Headers that make cpp-httplib change a body or an answer: it would unpack
// what is to be passed on packed, pack an answer a second time, cut ranges out
// of it, or take a form apart and leave the body empty.
bool IsActedUponByLibrary(const std::string& lower) {
  return lower == "accept-encoding" || lower == "content-encoding" ||
         lower == "content-type" || lower == "range";
}

// Headers that cpp-httplib adds to each request.
bool IsAddedByLibrary(const std::string& name) {
  return name == "REMOTE_ADDR" || name == "REMOTE_PORT" ||
         name == "LOCAL_ADDR" || name == "LOCAL_PORT";
}

bool MayHaveBody(const std::string& method) {
  return method == "POST" || method == "PUT" || method == "PATCH" ||
         method == "DELETE";
}

// Returns what is wrong with the announced length of the body, or "". If two
// readers of a connection disagree about where a request ends, the rest of one
// caller's body is taken for another caller's request.
std::string FindFramingFault(const httplib::Request& request,
                             const core::header_list& headers) {
  for (const auto& [name, value] : headers) {
    if (!endpoint::IsWellFormed(name, value)) {
      return "a header is malformed";
    }
  }
  const std::size_t lengths = request.get_header_value_count("Content-Length");
  const std::size_t encodings =
      request.get_header_value_count("Transfer-Encoding");
  if (lengths + encodings > 1) {
    return "the length of the body is given more than once";
  }
  const std::string length = request.get_header_value("Content-Length");
  if (lengths == 1 && !endpoint::IsNumber(length)) {
    return "Content-Length isn't a number";
  }
  const std::string encoding = request.get_header_value("Transfer-Encoding");
  if (encodings == 1 && endpoint::ToLower(encoding) != "chunked") {
    return "only the transfer encoding 'chunked' is known";
  }
  if (request.method == "PRI") {
    // The library would read a body up to the end of the connection.
    return "HTTP/2 isn't known here";
  }
  const bool has_body =
      encodings == 1 || length.find_first_not_of('0') != std::string::npos;
  if (has_body && !MayHaveBody(request.method)) {
    return "a request with this method can't have a body";
  }
  return "";
}

// Runs after the headers were parsed, before anything acts on them.
void Prepare(httplib::Request& request, exchange* current) {
  current->path = request.path;
  // Routing is ours; the library's pattern sees one short path.
  request.path = "/";
  request.ranges.clear();
  httplib::Headers left_alone;
  for (const auto& [name, value] : request.headers) {
    if (!IsAddedByLibrary(name)) {
      current->headers.emplace_back(name, value);
    }
    if (!IsActedUponByLibrary(endpoint::ToLower(name))) {
      left_alone.emplace(name, value);
    }
  }
  request.headers = std::move(left_alone);
  current->framing_fault = FindFramingFault(request, current->headers);
  const bool no_length = !request.has_header("Content-Length") &&
                         !request.has_header("Transfer-Encoding");
  if (no_length && MayHaveBody(request.method)) {
    // The library would read until the caller closes; HTTP says "no body".
    request.headers.emplace("Content-Length", "0");
  }
}

}  // namespace

exchange& CurrentExchange() {
  return *current_exchange;
}

refusal HeadTooLarge(std::size_t limit) {
  return {kBadRequest, "bad-request",
          "the head of a request may have at most " + std::to_string(limit) +
              " bytes"};
}

refusal Overloaded() {
  return {kUnavailable,
          std::string(core::NameOf(core::answer_reason::kOverload)),
          "the entry is short of memory or threads"};
}

connection_server::connection_server(limits bounds)
    : limits_(bounds),
      transfers_(bounds.bodies),
      pool_(bounds.threads),
      idle_(
          {bounds.most_idle, bounds.idle_timeout},
          [this](connection_ptr item) { Enqueue(std::move(item)); },
          [this] { return Relieve(); }) {
  new_task_queue = [] { return new inline_queue; };
  set_tcp_nodelay(true);
  // The library's default is SO_REUSEPORT, by which a second process could
  // take half of the callers of a port unnoticed.
  set_socket_options([](socket_t socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
  set_keep_alive_max_count(bounds.most_requests);
  const auto idle_seconds =
      std::chrono::floor<std::chrono::seconds>(bounds.idle_timeout);
  set_keep_alive_timeout(std::max<time_t>(1, idle_seconds.count()));
}

connection_server::~connection_server() {
  Stop();
}

bool connection_server::Bind(const std::string& host, int port) {
  if (port != 0) {
    port_ = bind_to_port(host, port) ? port : -1;
  } else {
    port_ = bind_to_any_port(host);
  }
  if (port_ <= 0) {
    return false;
  }
  ::listen(svr_sock_, kBacklog);
  return true;
}

std::uint16_t connection_server::Start(const std::string& host,
                                       std::uint16_t port) {
  if (!Bind(host, port)) {
    throw std::runtime_error("can't listen on " + host + ":" +
                             std::to_string(port));
  }
  listener_ = std::thread([this, host] { Listen(host); });
  return static_cast<std::uint16_t>(port_);
}

void connection_server::Listen(const std::string& host) {
  listen_after_bind();
  // The library's loop ends at any error of accept(), such as a caller that
  // gave up in the queue: without a new start the entry would answer nobody.
  while (!stopping_) {
    if (Bind(host, port_)) {
      listen_after_bind();
    } else {
      std::this_thread::sleep_for(kLateRequestWait);
    }
  }
}

void connection_server::Stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  ending_ = true;
  // stop() does nothing until the loop runs.
  while (listener_.joinable() && !is_running() && svr_sock_ != INVALID_SOCKET) {
    std::this_thread::yield();
  }
  stop();
  if (listener_.joinable()) {
    listener_.join();
  }
  idle_.Stop();
  pool_.shutdown();
}

bool connection_server::process_and_close_socket(socket_t socket) {
  auto item = std::make_unique<connection>(socket, limits_.write_limit);
  if (!endpoint::WaitFor(socket, POLLIN, clock::now())) {
    item = idle_.Add(std::move(item));
  }
  if (item != nullptr) {
    Enqueue(std::move(item));
  }
  return true;
}

void connection_server::Enqueue(connection_ptr item) {
  if (queued_ >= limits_.most_idle) {
    ++turned_away_;
    // Nobody may wait here for a caller that takes no answers.
    item->stream.Interrupt(false);
    Refuse(&item->stream, Overloaded());
    return;
  }
  ++queued_;
  // std::function wants a copyable closure.
  auto shared = std::make_shared<connection_ptr>(std::move(item));
  pool_.enqueue([this, shared] {
    --queued_;
    Serve(std::move(*shared));
  });
  Relieve();
}

bool connection_server::Relieve() {
  const std::size_t wanted = queued_ + busy_threads_;
  if (wanted <= limits_.threads) {
    return false;
  }
  transfers_.Interrupt(wanted - limits_.threads, kThreadGrace);
  return true;
}

bool connection_server::AwaitNextRequest(connection* item) const {
  if (item->stream.HasBuffered()) {
    return true;
  }
  const bool may_linger =
      item->requests > 0 && !ending_ && busy_threads_ <= limits_.threads / 2;
  const auto until = may_linger ? clock::now() + kLinger : clock::now();
  return endpoint::WaitFor(item->socket, POLLIN, until);
}

void connection_server::Serve(connection_ptr item) {
  const count_guard busy(&busy_threads_);
  while (true) {
    if (!AwaitNextRequest(item.get())) {
      item = idle_.Add(std::move(item));
      if (item == nullptr) {
        return;
      }
      // Stopping: nobody watches the connection any more.
      const auto until = clock::now() + kLateRequestWait;
      if (!endpoint::WaitFor(item->socket, POLLIN, until)) {
        return;
      }
    }
    if (!ServeOne(item.get())) {
      return;
    }
  }
}

void connection_server::Refuse(endpoint::socket_stream* stream,
                               const refusal& why) {
  const written_answer answer = WriteRefusal(why);
  std::string bytes = "HTTP/1.1 " + std::to_string(answer.status) + " \r\n";
  for (const auto& [name, value] : answer.headers) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  bytes += "Connection: close\r\nContent-Length: " +
           std::to_string(answer.body->size()) + "\r\n\r\n" + *answer.body;
  stream->write(bytes.data(), bytes.size());
}

bool connection_server::ServeOne(connection* item) {
  item->stream.set_read_deadline(clock::now() + limits_.read_limit);
  item->stream.StartMessage(limits_.head);
  const std::size_t written = item->stream.written();
  ++item->requests;
  const bool last = ending_ || item->requests >= limits_.most_requests;
  exchange current;
  transfer_table::transfer transfer(&transfers_, &item->stream);
  current.stream = &item->stream;
  current.transfer = &transfer;
  current_exchange = &current;
  bool closed_by_caller = false;
  const bool whole = process_request(
      item->stream, last, closed_by_caller,
      [&](httplib::Request& request) { Prepare(request, &current); });
  current_exchange = nullptr;
  const bool unanswered = !whole && item->stream.written() == written;
  if (unanswered && item->stream.head_too_large()) {
    Refuse(&item->stream, HeadTooLarge(limits_.head));
  } else if (unanswered && item->stream.interrupted()) {
    Refuse(&item->stream, Overloaded());
  }
  return whole && !last && !closed_by_caller && !current.close &&
         !item->stream.interrupted();
}

}  // namespace plantainhead::caller
