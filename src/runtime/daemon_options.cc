#include "runtime/daemon_options.h"

#include <algorithm>
#include <chrono>

namespace plantainhead::runtime {
namespace {

// Parts of the planner lease: how much earlier its holder stops acting, and
// over how much of it the others spread their tries to take it.
constexpr int kLeaseMarginParts = 4;
constexpr int kLeaseSpreadParts = 9;

// Rates of burn, measured over a minute, at which waves pause and resume.
// Budgets run over weeks: nine failures while an entry was lost burnt one
// at 4.5 times for a minute, a ten-thousandth of it, and held a wave up for two
// minutes. These are the customary rates for alerts that want action within the
// hour.
constexpr double kPauseBurnRate = 14.4;
constexpr double kResumeBurnRate = 6;

// What a frame needs beside the body that it carries: headers, path, names.
constexpr std::size_t kFrameMargin = std::size_t{1} << 20U;
// Frames with the largest body that may wait for one peer.
constexpr std::size_t kQueuedFrames = 4;

std::size_t FrameLimit(const settings::entry_settings& settings) {
  return settings.body_limit + kFrameMargin;
}

}  // namespace

entry::peer_link_options PeerOptions(const settings::entry_settings& settings,
                                     core::incarnation self) {
  entry::peer_link_options options;
  options.self = self;
  options.host = settings.host;
  options.port = settings.peer_port;
  options.frame_limit = FrameLimit(settings);
  options.partial_limit = settings.frames_limit;
  options.queue_limit =
      std::max(options.queue_limit, kQueuedFrames * FrameLimit(settings));
  return options;
}

caller::http_server_options HttpOptions(
    const settings::entry_settings& settings) {
  caller::http_server_options options;
  options.host = settings.host;
  options.port = settings.http_port;
  options.threads = settings.http_threads;
  options.body_limit = settings.body_limit;
  options.bodies_limit = settings.bodies_limit;
  options.head_limit = settings.head_limit;
  options.trailer_limit = settings.trailer_limit;
  options.greatest_patience =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          settings.max_request_timeout);
  options.default_patience =
      std::min(options.default_patience, options.greatest_patience);
  return options;
}

endpoint::endpoint_options EndpointOptions(
    const settings::entry_settings& settings) {
  endpoint::endpoint_options options;
  options.max_threads = settings.endpoint_threads;
  // An answer that no frame can carry would break the connection to the entry
  // that asked, and with it the answers of others. It counts as failed here.
  options.max_response_bytes = settings.body_limit;
  return options;
}

platform::platform_options PlatformOptions(
    const settings::entry_settings& settings) {
  platform::platform_options options;
  options.host = settings.platform_host;
  options.port = settings.platform_port;
  return options;
}

core::entry_core_options CoreOptions(const settings::entry_settings& settings,
                                     const core::entry_member& self) {
  core::entry_core_options options;
  options.self = self;
  options.membership.heartbeat_interval = settings.heartbeat_interval;
  options.membership.suspicion_timeout = settings.suspicion_timeout;
  options.lease.lease = settings.planner_lease;
  options.lease.margin = settings.planner_lease / kLeaseMarginParts;
  options.lease.take_jitter = settings.planner_lease / kLeaseSpreadParts;
  options.planner.max_deadline = settings.max_request_timeout;
  options.planner.pause_burn_rate = kPauseBurnRate;
  options.planner.resume_burn_rate = kResumeBurnRate;
  options.count_interval = settings.count_interval;
  options.seed = static_cast<std::uint64_t>(self.who);
  return options;
}

}  // namespace plantainhead::runtime
