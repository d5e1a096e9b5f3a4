#ifndef PLANTAINHEAD_SRC_JOBS_VM_LINK_H_
#define PLANTAINHEAD_SRC_JOBS_VM_LINK_H_

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>

#include "plantainhead/core/time.h"
#include "platform/vm_client.h"

namespace plantainhead::jobs {

/// An owner's connections to a VM, and the hold that is under way.
struct vm_link {
  vm_link(boost::asio::io_context* context,
          const core::jobs::vm_id& id,
          const std::string& vm_address)
      : address(vm_address), client(context, id, vm_address), timer(*context) {}

  std::string address;
  adapter::vm_client client;
  /// Until the next hold.
  boost::asio::steady_timer timer;
  bool is_holding = false;
  bool is_waiting = false;
  core::time_point held_at;
  /// When the VM was first known, and first heard.
  core::time_point known_at;
  std::optional<core::time_point> heard_at;
  bool is_lost = false;
  /// Of the life that was heard last.
  core::jobs::vm_incarnation incarnation;
  /// The greatest number of an end that was logged.
  std::uint64_t logged_end = 0;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_VM_LINK_H_
