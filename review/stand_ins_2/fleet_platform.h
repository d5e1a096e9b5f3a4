#ifndef PLANTAINHEAD_REVIEW_STAND_INS_2_FLEET_PLATFORM_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_2_FLEET_PLATFORM_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/http_server.h"

namespace plantainhead::review {

/// An order for a machine that arrived at the platform.
struct machine_order {
  std::string machine;
  std::string holder;
  std::uint64_t token = 0;
  unsigned status = 0;
};

/// Stands in for the platform's interface to machines: a list, moves and
/// upkeep. All machines are those of a spare pool, so that they are off. Fences
/// are not checked. Not thread-safe.
class fleet_platform {
 public:
  fleet_platform(boost::asio::io_context* context,
                 const std::string& address,
                 const std::set<std::string>& machines,
                 std::string pool);
  fleet_platform(const fleet_platform&) = delete;
  fleet_platform& operator=(const fleet_platform&) = delete;

  /// Is told of each order that arrives.
  std::function<void(const machine_order&)> on_order;

 private:
  struct machine {
    bool is_up = true;
    bool has_had_upkeep = false;
  };

  void Handle(const net::server_request& request,
              const net::responder& respond);
  std::string List() const;
  unsigned BeginUpkeep(const std::string& name);

  boost::asio::io_context* context_;
  std::string pool_;
  std::map<std::string, machine> machines_;
  net::http_server server_;
};

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_2_FLEET_PLATFORM_H_
