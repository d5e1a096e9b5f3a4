#include "caller/transfer_table.h"

#include <iterator>

namespace plantainhead::caller {

transfer_table::transfer::transfer(transfer_table* table,
                                   endpoint::socket_stream* stream)
    : table_(table), stream_(stream) {
  const std::lock_guard<std::mutex> lock(table_->mutex_);
  position_ = table_->transfers_.insert(table_->transfers_.end(), this);
}

transfer_table::transfer::~transfer() {
  const std::lock_guard<std::mutex> lock(table_->mutex_);
  table_->held_ -= held_;
  table_->transfers_.erase(position_);
  table_->changed_.notify_all();
}

bool transfer_table::transfer::Reserve(std::size_t bytes) {
  std::unique_lock<std::mutex> lock(table_->mutex_);
  while (table_->held_ + bytes > table_->most_bytes_) {
    if (IsInterrupted() || !table_->MakeRoom(this, bytes)) {
      return false;
    }
    table_->changed_.wait(lock);
  }
  held_ += bytes;
  table_->held_ += bytes;
  return true;
}

void transfer_table::transfer::StartDeciding() {
  const std::lock_guard<std::mutex> lock(table_->mutex_);
  state_ = state::kDeciding;
  // Those that wait for the bytes of this one must look for others.
  table_->changed_.notify_all();
}

void transfer_table::transfer::StartWriting(std::size_t bytes) {
  const std::lock_guard<std::mutex> lock(table_->mutex_);
  state_ = state::kWriting;
  since_ = clock::now();
  std::list<transfer*>& all = table_->transfers_;
  all.splice(all.end(), all, position_);
  table_->held_ -= held_;
  held_ = 0;
  if (table_->held_ + bytes > table_->most_bytes_) {
    table_->MakeRoom(this, bytes);
  }
  held_ = bytes;
  table_->held_ += bytes;
  table_->changed_.notify_all();
}

void transfer_table::Interrupt(std::size_t count, clock::duration age) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const clock::time_point before = clock::now() - age;
  std::size_t left = count;
  for (transfer* one : transfers_) {
    if (left == 0) {
      return;
    }
    const bool ending = one->state_ != state::kDeciding && one->IsInterrupted();
    const bool victim = one->IsInterruptible() && one->since_ <= before;
    if (victim) {
      InterruptOne(one);
    }
    left -= ending || victim ? 1 : 0;
  }
}

std::size_t transfer_table::held() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return held_;
}

std::size_t transfer_table::interrupted() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return interrupted_;
}

bool transfer_table::MakeRoom(const transfer* who, std::size_t bytes) {
  std::size_t expected = ExpectedBytes();
  for (transfer* one : transfers_) {
    if (held_ + bytes <= most_bytes_ + expected || one == who) {
      break;
    }
    if (one->IsInterruptible() && one->held_ > 0) {
      InterruptOne(one);
      expected += one->held_;
    }
  }
  return held_ + bytes <= most_bytes_ + expected;
}

void transfer_table::InterruptOne(transfer* victim) {
  ++interrupted_;
  victim->stream_->Interrupt(victim->state_ == state::kWriting);
  changed_.notify_all();
}

std::size_t transfer_table::ExpectedBytes() const {
  std::size_t bytes = 0;
  for (const transfer* one : transfers_) {
    if (one->state_ != state::kDeciding && one->IsInterrupted()) {
      bytes += one->held_;
    }
  }
  return bytes;
}

}  // namespace plantainhead::caller
