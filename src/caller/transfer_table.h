#ifndef PLANTAINHEAD_CALLER_TRANSFER_TABLE_H_
#define PLANTAINHEAD_CALLER_TRANSFER_TABLE_H_

#include <condition_variable>
#include <cstddef>
#include <list>
#include <mutex>

#include "endpoint/socket_stream.h"

namespace plantainhead::caller {

/// The exchanges of a server with their bodies' bytes. When threads or bytes
/// run out, those that have waited longest for the other side are interrupted.
/// Thread safety: safe from any thread.
class transfer_table {
 public:
  using clock = endpoint::socket_stream::clock;

  /// Who has to act next in an exchange.
  enum class state { kReading, kDeciding, kWriting };

  /// One exchange; it is in the table for its own lifetime.
  /// Thread safety: only for the thread that serves the exchange.
  class transfer {
   public:
    /// `table` and `stream` must outlive the transfer.
    transfer(transfer_table* table, endpoint::socket_stream* stream);
    ~transfer();

    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;

    /// Takes `bytes` out of the budget. When it is used up, interrupts those
    /// that have waited longest for the other side and waits for their bytes.
    /// Returns false if this one has waited longest, has been interrupted or
    /// if not enough can be had.
    bool Reserve(std::size_t bytes);

    /// From now on the transfer can't be interrupted.
    void StartDeciding();

    /// Gives back what the request held and takes `bytes` for the answer, even
    /// beyond the budget once nothing is left to interrupt.
    void StartWriting(std::size_t bytes);

   private:
    friend class transfer_table;

    bool IsInterrupted() const { return stream_->interrupted(); }
    bool IsInterruptible() const {
      return state_ != state::kDeciding && !IsInterrupted();
    }

    transfer_table* const table_;
    endpoint::socket_stream* const stream_;
    state state_ = state::kReading;
    clock::time_point since_ = clock::now();
    std::size_t held_ = 0;
    std::list<transfer*>::iterator position_;
  };

  /// `most_bytes` is the budget of all bodies.
  explicit transfer_table(std::size_t most_bytes) : most_bytes_(most_bytes) {}

  /// Makes sure that `count` transfers have been interrupted and not ended
  /// yet, as far as there are so many that have waited for `age` or longer.
  void Interrupt(std::size_t count, clock::duration age);

  /// Returns the bytes in use.
  std::size_t held() const;
  /// Returns how many transfers have been interrupted since the start.
  std::size_t interrupted() const;

 private:
  // All need the lock.
  bool MakeRoom(const transfer* who, std::size_t bytes);
  void InterruptOne(transfer* victim);
  std::size_t ExpectedBytes() const;

  const std::size_t most_bytes_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  // The front has been in its state for longest.
  std::list<transfer*> transfers_;
  std::size_t held_ = 0;
  std::size_t interrupted_ = 0;
};

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_TRANSFER_TABLE_H_
