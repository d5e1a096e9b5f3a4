#include "plantainhead/runtime/entry_daemon.h"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <random>
#include <string>
#include <utility>

#include <caf/all.hpp>
#include <caf/io/all.hpp>

#include "plantainhead/caller/http_server.h"
#include "plantainhead/endpoint/endpoint_client.h"
#include "plantainhead/entry/peer_link.h"
#include "plantainhead/observe/logging.h"
#include "plantainhead/operators/routes.h"
#include "plantainhead/platform/platform_link.h"
#include "plantainhead/runtime/wall_clock.h"
#include "runtime/core_loop.h"
#include "runtime/daemon_options.h"
#include "runtime/entry_observer.h"

namespace plantainhead::runtime {
namespace {

// The links and the decisions have their own threads; what is left for the
// scheduler is small. Idle threads that look for work to steal would alone
// nearly use up what a node may spend (docs/design/platform.md).
constexpr std::size_t kSchedulerThreads = 1;

class daemon_config : public caf::actor_system_config {
 public:
  daemon_config() {
    load<caf::io::middleman>();
    set("scheduler.max-threads", kSchedulerThreads);
    set("scheduler.policy", caf::atom("sharing"));
    set("logger.file-verbosity", caf::atom("quiet"));
  }
};

core::incarnation DrawIncarnation() {
  std::random_device device;
  std::uint64_t value = 0;
  while (value == 0) {
    value = (std::uint64_t{device()} << 32U) | device();
  }
  return core::incarnation(value);
}

}  // namespace

class entry_daemon::impl {
 public:
  explicit impl(settings::entry_settings settings)
      : settings_(std::move(settings)), system_(config_) {}

  void Start();
  void RequestStop();
  bool Wait();

  std::uint16_t http_port() const { return http_port_; }
  std::uint16_t peer_port() const { return peer_port_; }

 private:
  action_handlers Handlers();
  core::core_gateway Gateway();
  operators::entry_view View();
  std::shared_ptr<const core::fleet_state> SharedFleet(
      const core::fleet_state& fleet);
  caller::route_list Routes(const core::core_gateway& gateway);
  void RefreshGauges();
  void StartLinks();
  void WritePortFile() const;
  void Post(core::event item);
  void NoteExit(bool restart);
  // Runs `read` beside the decisions; returns false once they have ended.
  bool Query(std::function<void(const core::entry_core&)> read);

  settings::entry_settings settings_;
  wall_clock clock_;
  entry_observer observer_;
  daemon_config config_;
  caf::actor_system system_;
  std::unique_ptr<entry::peer_link> peers_;
  std::unique_ptr<endpoint::endpoint_client> endpoints_;
  std::unique_ptr<platform::platform_link> platform_;
  std::unique_ptr<caller::http_server> http_;
  caf::actor core_;
  core::entry_member self_;
  std::uint16_t http_port_ = 0;
  std::uint16_t peer_port_ = 0;
  std::shared_ptr<const core::fleet_state> shared_fleet_;
  std::atomic<bool> ready_ = false;
  // Posts wait for `core_` to be there.
  std::atomic<bool> core_running_ = false;

  std::mutex exit_mutex_;
  std::condition_variable exit_changed_;
  bool exited_ = false;
  bool restart_ = false;
};

void entry_daemon::impl::Post(core::event item) {
  if (core_running_) {
    caf::anon_send(
        core_,
        core_event{std::make_shared<const core::event>(std::move(item))});
  }
}

void entry_daemon::impl::Start() {
  const auto now = [this] { return clock_.Now(); };
  const auto post = [this](core::event item) { Post(std::move(item)); };

  self_.who = DrawIncarnation();
  peers_ = std::make_unique<entry::peer_link>(
      system_, PeerOptions(settings_, self_.who), now, post);
  peer_port_ = peers_->Start();

  caller::http_server_options http_options = HttpOptions(settings_);
  http_options.now = now;
  const core::core_gateway gateway = Gateway();
  http_ = std::make_unique<caller::http_server>(http_options, gateway,
                                                Routes(gateway));
  http_port_ = http_->Start();

  self_.name = settings_.name;
  self_.zone = settings_.zone;
  self_.host = settings_.host;
  self_.peer_port = peer_port_;
  self_.http_port = http_port_;
  StartLinks();
  WritePortFile();
}

void entry_daemon::impl::StartLinks() {
  const auto now = [this] { return clock_.Now(); };
  const auto post = [this](core::event item) { Post(std::move(item)); };

  endpoints_ = std::make_unique<endpoint::endpoint_client>(
      system_, EndpointOptions(settings_), now, post);
  platform_ = std::make_unique<platform::platform_link>(
      system_, PlatformOptions(settings_), post);
  core_ = SpawnCoreLoop(
      system_,
      core_loop_options{CoreOptions(settings_, self_), now, Handlers()});
  core_running_ = true;
}

action_handlers entry_daemon::impl::Handlers() {
  action_handlers to;
  to.send_frame = [this](const core::send_frame& item) { peers_->Send(item); };
  to.call_endpoint = [this](core::call_endpoint item) {
    endpoints_->Call(std::move(item));
  };
  to.append = [this](core::append_records item) {
    platform_->Append(std::move(item));
  };
  to.follow = [this](const core::follow_stream& item) {
    platform_->Follow(item);
  };
  to.unfollow = [this](const core::unfollow_stream& item) {
    platform_->Unfollow(item);
  };
  to.run = [this](core::run_operation item) {
    platform_->Run(std::move(item));
  };
  to.set_ready = [this](bool ready, const std::string& reason) {
    ready_ = ready;
    observe::WriteLog(core::log_severity::kInfo, ready ? "ready" : "not ready",
                      {{"reason", reason}});
  };
  to.note = [](const core::write_log_message& item) {
    observe::WriteLog(item);
  };
  to.answered = [this](const core::request_envelope& request,
                       const core::response& answer, core::time_point arrived,
                       core::time_point now) {
    observer_.OnAnswer(request, answer, arrived, now);
  };
  to.folded = [this](const core::fleet_state& fleet) {
    observer_.OnFold(fleet);
  };
  to.exited = [this](bool restart) { NoteExit(restart); };
  return to;
}

core::core_gateway entry_daemon::impl::Gateway() {
  core::core_gateway gateway;
  gateway.submit = [this](core::request_envelope envelope) {
    auto request = std::make_shared<submitted_request>();
    request->envelope = std::move(envelope);
    std::future<core::response> answer = request->answer.get_future();
    if (core_running_) {
      caf::anon_send(core_, core_submit{std::move(request)});
    }
    return answer;
  };
  gateway.command = [this](std::string author, core::record_body body) {
    auto command = std::make_shared<submitted_command>();
    command->author = std::move(author);
    command->body = std::move(body);
    std::future<core::answer_operator> answer = command->answer.get_future();
    if (core_running_) {
      caf::anon_send(core_, core_command{std::move(command)});
    }
    return answer;
  };
  gateway.query =
      [this](const std::function<std::string(const core::entry_core&)>& read) {
        std::string text;
        Query([&](const core::entry_core& core) { text = read(core); });
        return text;
      };
  gateway.ready = [this] { return ready_.load(); };
  return gateway;
}

bool entry_daemon::impl::Query(
    std::function<void(const core::entry_core&)> read) {
  if (!core_running_) {
    return false;
  }
  auto query = std::make_shared<submitted_query>();
  query->run = std::move(read);
  std::future<void> done = query->done.get_future();
  caf::anon_send(core_, core_query{std::move(query)});
  try {
    done.get();
  } catch (const std::future_error&) {
    return false;  // The actor ended before it read the message.
  }
  return true;
}

// Called from the thread of the decisions only. The copy of a big fleet would
// hold them up if each operator's request made one.
std::shared_ptr<const core::fleet_state> entry_daemon::impl::SharedFleet(
    const core::fleet_state& fleet) {
  if (!shared_fleet_ || shared_fleet_->offset != fleet.offset) {
    shared_fleet_ = std::make_shared<const core::fleet_state>(fleet);
  }
  return shared_fleet_;
}

operators::entry_view entry_daemon::impl::View() {
  operators::entry_view view;
  view.name = settings_.name;
  view.zone = settings_.zone;
  view.who = self_.who;
  view.now = clock_.Now();
  Query([&](const core::entry_core& core) {
    view.state = SharedFleet(core.fleet());
    view.ready = core.ready();
    view.reason = core.not_ready_reason();
    view.stopping = core.stopping();
    view.log_available = core.control().log_readable();
    view.log_end = core.control().max_known_offset();
    view.load = core.Load(view.now);
  });
  return view;
}

caller::route_list entry_daemon::impl::Routes(
    const core::core_gateway& gateway) {
  caller::route_list routes =
      operators::MakeOperatorRoutes(gateway, [this] { return View(); });
  for (caller::route& route : operators::MakeMetricsRoutes(&observer_.all())) {
    route.handle = [this, show = std::move(route.handle)](
                       const caller::http_request& request) {
      RefreshGauges();
      return show(request);
    };
    routes.push_back(std::move(route));
  }
  return routes;
}

void entry_daemon::impl::RefreshGauges() {
  Query([this](const core::entry_core& core) {
    observer_.SetDecisionGauges(core, clock_.Now());
  });
  observer_.SetLinkGauges(peers_->counters());
  observer_.SetCallerGauges(http_->counters());
}

void entry_daemon::impl::WritePortFile() const {
  if (settings_.port_file.empty()) {
    return;
  }
  // Written aside and renamed, so that a reader never sees half of it.
  const std::string aside = settings_.port_file + ".new";
  {
    std::ofstream file(aside);
    file << http_port_ << '\n' << peer_port_ << '\n';
  }
  if (std::rename(aside.c_str(), settings_.port_file.c_str()) != 0) {
    throw std::system_error(errno, std::generic_category(),
                            settings_.port_file);
  }
}

void entry_daemon::impl::RequestStop() {
  http_->BeginStop();
  Post(core::stop_requested{});
}

void entry_daemon::impl::NoteExit(bool restart) {
  const std::lock_guard lock(exit_mutex_);
  exited_ = true;
  restart_ = restart;
  exit_changed_.notify_all();
}

bool entry_daemon::impl::Wait() {
  {
    std::unique_lock lock(exit_mutex_);
    exit_changed_.wait(lock, [this] { return exited_; });
  }
  http_->Stop();
  core_running_ = false;
  caf::anon_send_exit(core_, caf::exit_reason::user_shutdown);
  endpoints_->Stop();
  platform_->Stop();
  peers_->Stop();
  system_.await_all_actors_done();
  return restart_;
}

entry_daemon::entry_daemon(settings::entry_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings))) {}

entry_daemon::~entry_daemon() = default;

void entry_daemon::Start() {
  impl_->Start();
}

std::uint16_t entry_daemon::http_port() const {
  return impl_->http_port();
}

std::uint16_t entry_daemon::peer_port() const {
  return impl_->peer_port();
}

void entry_daemon::RequestStop() {
  impl_->RequestStop();
}

bool entry_daemon::Wait() {
  return impl_->Wait();
}

}  // namespace plantainhead::runtime
