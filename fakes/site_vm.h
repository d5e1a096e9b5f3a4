#ifndef PLANTAINHEAD_FAKES_SITE_VM_H_
#define PLANTAINHEAD_FAKES_SITE_VM_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/http_message.h"
#include "net/http_server.h"

namespace plantainhead::fakes {

/// What happens to a run on a VM.
enum class vm_event { kStarted, kDone, kStopped, kLapsed, kAcknowledged };

/// The payload of jobs whose tasks run until they are stopped.
inline constexpr const char* kLastingPayload = "lasts";
/// The payload of jobs whose tasks take `long_task_time`.
inline constexpr const char* kLongPayload = "long";

/// Stands in for a VM that runs tasks under a lease: start, stop,
/// hold and pace. Each task takes the same time, but those that last. Counts
/// what must not happen.
/// Not thread-safe.
class site_vm {
 public:
  /// Listens on "IP:PORT".
  site_vm(boost::asio::io_context* context,
          std::string id,
          const std::string& address,
          std::chrono::milliseconds task_time);

  /// Returns what the VM's registry entry says. `address`: where it is reached,
  /// if that is through a proxy.
  std::string RegistryValue(const std::string& pool,
                            const std::string& address = "") const;
  const std::string& id() const { return id_; }
  /// Ends this life and all that runs. Calls have no answer until the next one.
  void Crash();
  /// Begins another life, which knows nothing of the one before: its clock and
  /// its counts start anew, and the connections of the one before are closed.
  /// The id may be the same.
  void BeginLife(const std::string& id);
  /// Returns how often each task was started.
  const std::map<std::string, int>& starts() const { return starts_; }
  /// Returns the longest time for which a call has extended the lease.
  std::chrono::milliseconds longest_lease() const { return longest_lease_; }
  /// Returns how many calls the current life has received.
  int calls() const { return calls_; }
  /// Returns how many calls were rejected for their tokens.
  int fenced_calls() const { return fenced_calls_; }
  /// Carries out the calls that were held back, without an answer.
  void CarryOutHeldBack();
  /// Returns how many calls to this path are held back.
  std::size_t HeldBack(const std::string& path) const;
  /// Returns how many tasks run now.
  std::size_t Running() const { return running_.size(); }

  /// No call is carried out or answered; what runs goes on under its lease.
  bool is_silent = false;
  /// Calls are not carried out until `CarryOutHeldBack`, also if that is in
  /// another life.
  bool holds_back_calls = false;
  /// Orders to start are carried out and not answered.
  bool loses_start_answers = false;
  /// This many of the next tasks that end do so as failed.
  int failing_ends = 0;
  /// Orders to start are refused for want of room.
  bool refuses_starts = false;
  /// Orders to start are carried out this much later, and then not answered.
  std::chrono::milliseconds start_delay{0};
  /// A call extends the lease by at most this time, as on the platform.
  std::optional<std::chrono::milliseconds> lease_limit;
  std::chrono::milliseconds long_task_time{0};
  /// Holds are answered this much later, as over a link that is full.
  std::chrono::milliseconds listing_delay{0};
  /// Is told what happens. Only ends as done are told to be acknowledged.
  std::function<void(vm_event, const std::string& task, std::uint32_t run)>
      on_event;

 private:
  struct run {
    std::uint32_t number = 0;
    std::chrono::steady_clock::time_point ends_at;
    bool is_lasting = false;
    bool is_long = false;
  };

  void Listen();
  void Handle(const net::server_request& request,
              const net::responder& respond);
  net::server_response Answer(unsigned status, nlohmann::json body) const;
  void Start(const net::server_request& request, const net::responder& respond);
  void Tell(vm_event event, const std::string& task, std::uint32_t run) const;
  /// Lets tasks run until then, on the VM's clock; never shortens.
  void ExtendLease(std::int64_t deadline_ms);
  void AwaitLapse();
  void Hold(const std::string& body, const net::responder& respond);
  /// Returns what answers `listing_delay` later.
  net::responder Delayed(const net::responder& respond) const;
  void EndLater(const std::string& task,
                std::uint32_t number,
                std::chrono::milliseconds time);
  void EndTask(const std::string& task, std::uint32_t number, const char* how);
  /// Returns how much of its work a long task has done.
  int LongPercent(const run& held) const;
  std::string Listing() const;
  void WakeHolds();
  bool IsFenced(std::uint64_t token);

  boost::asio::io_context* context_;
  std::string id_;
  std::string address_;
  std::chrono::milliseconds task_time_;
  std::unique_ptr<net::http_server> server_;
  std::chrono::milliseconds longest_lease_{0};
  int calls_ = 0;
  int fenced_calls_ = 0;
  std::map<std::string, run> running_;
  std::map<std::string, std::uint32_t> highest_;
  std::map<std::string, int> starts_;
  struct ended {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
  };
  std::vector<ended> ended_;
  std::uint64_t last_end_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t life_ = 0;
  std::chrono::steady_clock::time_point clock_zero_;
  std::chrono::steady_clock::time_point lease_until_;
  std::shared_ptr<boost::asio::steady_timer> lapse_timer_;
  std::vector<net::responder> holds_;
  std::vector<net::server_request> held_back_;
};

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_SITE_VM_H_
