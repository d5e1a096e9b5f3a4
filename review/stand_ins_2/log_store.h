#ifndef PLANTAINHEAD_REVIEW_STAND_INS_2_LOG_STORE_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_2_LOG_STORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::review {

/// Stands in for the platform's store: a log with topics, conditions, producers
/// and the newest record of each key, and groups. It has the limits that the
/// settings of a small deployment name: the size of a record and of an append,
/// the time that an append takes, the history. An append beyond a size is
/// rejected with 400. Not thread-safe.
class log_store {
 public:
  static constexpr std::size_t kRecordBytes = 262144;
  static constexpr std::size_t kCallBytes = 2097152;

  log_store(boost::asio::io_context* context, const std::string& address);
  log_store(const log_store&) = delete;
  log_store& operator=(const log_store&) = delete;

  /// Puts a record as the operator and the runners do. No value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::optional<std::string>& value);
  /// A record that is the newest of its key.
  struct kept_record {
    std::string topic;
    std::uint32_t part = 0;
    std::string key;
    std::string value;
  };
  /// Returns the newest records whose keys begin with `prefix`.
  std::vector<kept_record> KeptRecords(const std::string& prefix) const;
  /// Adds a record that was appended so long ago that only the newest record of
  /// each key is kept. Precondition: no process reads the store.
  void AddHistory(const kept_record& record);
  /// Returns the newest value of the key in partition 0 of the topic.
  std::optional<std::string> Newest(const std::string& topic,
                                    const std::string& key) const;

  /// Is told of each append that is rejected for its size: the query, and the
  /// key and the size of its largest record.
  std::function<
      void(const std::string& query, const std::string& key, std::size_t bytes)>
      on_rejected;

 private:
  using steady_clock = std::chrono::steady_clock;
  using query_map = std::map<std::string, std::string>;
  using partition_key = std::pair<std::string, std::uint32_t>;

  struct stored_record {
    std::string key;
    std::optional<std::string> value;
    std::string raw;
    steady_clock::time_point at;
  };
  struct newest_record {
    std::uint64_t offset = 0;
    std::string value;
  };
  struct producer_state {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    /// The answers to the last appends of this epoch, by sequence number.
    std::map<std::uint64_t, std::string> answers;
  };
  struct waiting_read {
    std::uint64_t from = 0;
    std::size_t max_bytes = 0;
    net::responder respond;
    bool is_answered = false;
  };
  struct partition {
    std::uint64_t first = 0;
    std::deque<stored_record> records;
    std::size_t bytes = 0;
    std::map<std::string, newest_record> newest;
    std::map<std::string, producer_state> producers;
    steady_clock::time_point busy_until;
    std::vector<std::shared_ptr<waiting_read>> waiting;

    std::uint64_t end() const { return first + records.size(); }
  };
  struct group_member {
    steady_clock::time_point live_until;
  };
  struct group_part {
    std::string holder;
    /// The member that gets the partition when its holder has given it up.
    std::string next;
    /// The generation in which the holder was told to give it up.
    std::uint64_t moved_in = 0;
  };
  struct group {
    std::map<std::string, group_member> members;
    std::vector<group_part> parts;
    std::string topic;
    std::uint64_t generation = 0;
  };

  void Handle(const net::server_request& request,
              const net::responder& respond);
  void Append(const std::string& query_text,
              const query_map& query,
              const std::string& body,
              const net::responder& respond);
  net::server_response CarryOut(const partition_key& key,
                                const query_map& query,
                                const std::string& body);
  void Store(partition* to,
             const std::string& key,
             const std::optional<std::string>& value,
             std::string raw);
  void Expire(partition* from);
  void Read(const query_map& query, const net::responder& respond);
  net::server_response ReadAnswer(partition* from,
                                  std::uint64_t offset,
                                  std::size_t max_bytes);
  void WakeReaders(partition* of);
  void ReadNewest(const query_map& query, const net::responder& respond);
  void Join(const std::string& body, const net::responder& respond);
  void Leave(const std::string& body, const net::responder& respond);
  void ListOwners(const query_map& query, const net::responder& respond);
  static void Deal(group* of);
  static void HandOver(group* of);
  void ExpireMembers();
  void Tick();
  void After(std::chrono::nanoseconds time, std::function<void()> action);

  boost::asio::io_context* context_;
  std::map<partition_key, partition> partitions_;
  std::map<std::string, group> groups_;
  net::http_server server_;
};

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_2_LOG_STORE_H_
