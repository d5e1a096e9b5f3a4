#ifndef PLANTAINHEAD_SRC_JOBS_VM_CONNECTION_H_
#define PLANTAINHEAD_SRC_JOBS_VM_CONNECTION_H_

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <utility>

#include "plantainhead/core/time.h"
#include "platform/vm_client.h"

namespace plantainhead::jobs {

/// Connections of a pool's owner to a VM, with the state of its hold call (a
/// long poll that renews the VM's lease and returns its tasks) and what has
/// been logged about the VM.
struct vm_connection {
  vm_connection(boost::asio::io_context* context,
                const core::jobs::vm_id& id,
                const std::string& vm_address,
                adapter::introduction_listener listener)
      : address(vm_address),
        client(context, id, vm_address, std::move(listener)),
        timer(*context) {}

  std::string address;
  adapter::vm_client client;
  /// Runs until the next hold call is due.
  boost::asio::steady_timer timer;
  bool is_hold_pending = false;
  bool is_hold_scheduled = false;
  core::time_point hold_sent_at;
  /// Time at which the VM became known, and at which it first answered.
  core::time_point known_at;
  std::optional<core::time_point> heard_at;
  bool is_lost = false;
  /// The incarnation of the VM that answered last.
  core::jobs::vm_incarnation incarnation;
  /// The highest sequence number of a task end that was logged.
  std::uint64_t last_logged_end = 0;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_VM_CONNECTION_H_
