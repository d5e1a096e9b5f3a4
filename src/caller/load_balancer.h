#ifndef PLANTAINHEAD_CALLER_LOAD_BALANCER_H_
#define PLANTAINHEAD_CALLER_LOAD_BALANCER_H_

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace plantainhead::caller {

using entry_address = std::pair<std::string, std::uint16_t>;

/// Reads "HOST:PORT". Throws `core::findings_error`.
/// Thread safety: safe from any thread.
entry_address ParseAddress(const std::string& text);

/// Stands for the platform's balancer: hands out entries in turn, but for those
/// that aren't ready.
class load_balancer {
 public:
  /// Asks each entry for `GET /readyz` before it returns, and from then on at a
  /// fixed interval in a thread of its own.
  explicit load_balancer(std::vector<entry_address> entries);
  ~load_balancer();

  load_balancer(const load_balancer&) = delete;
  load_balancer& operator=(const load_balancer&) = delete;

  /// Returns the next entry that is ready, or nothing.
  /// Thread safety: safe from any thread.
  std::optional<entry_address> Next();

  /// Leaves an entry out until it is seen ready again.
  /// Thread safety: safe from any thread.
  void MarkDown(const entry_address& entry);

  std::size_t size() const { return entries_.size(); }

 private:
  void ProbeAll();

  const std::vector<entry_address> entries_;
  std::mutex mutex_;
  std::condition_variable stopping_changed_;
  bool stopping_ = false;
  std::vector<bool> ready_;
  std::size_t next_ = 0;
  std::thread prober_;
};

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_LOAD_BALANCER_H_
