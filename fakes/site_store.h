#ifndef PLANTAINHEAD_FAKES_SITE_STORE_H_
#define PLANTAINHEAD_FAKES_SITE_STORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/http_message.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::fakes {

/// What the stand-in's store does to the next calls.
struct store_faults {
  /// Answer nothing: the call's connection stays silent.
  bool is_silent = false;
  /// Refuse with 503.
  bool is_refusing = false;
  /// The same for calls about this topic only; empty for none.
  std::string silent_topic;
  /// Execute appends and answer nothing.
  bool loses_answers = false;
};

/// Stands in for the users' metadata store: a log of partitions with producers'
/// epochs, the newest record of each key, and groups. Only what the project
/// uses. Not thread-safe.
class site_store {
 public:
  explicit site_store(boost::asio::io_context* context) : context_(context) {}

  /// Handles one call.
  void Handle(const net::server_request& request,
              const net::responder& respond);
  /// Puts a record, as the operators and VMs do. No value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::optional<std::string>& value,
           std::uint32_t part = 0);
  /// Puts bytes where a record should be, with its length and all.
  void PutRaw(const std::string& topic,
              std::uint32_t part,
              const std::string& bytes);
  /// Returns the newest value of the key in any partition of the topic.
  std::optional<std::string> Newest(const std::string& topic,
                                    const std::string& key) const;
  /// The same in one partition.
  std::optional<std::string> NewestIn(const std::string& topic,
                                      std::uint32_t part,
                                      const std::string& key) const;
  /// Returns how many records of the key were ever appended.
  std::size_t CountRecords(const std::string& topic,
                           const std::string& key) const;
  /// Ends members that have been silent for their time to live. Without a call
  /// of it members live for ever.
  void ExpireSilent();
  /// Ends a member at once, as its time to live does.
  void Expire(const std::string& member);
  /// Deals all partitions to other members, for no reason that they see.
  void DealAnew();
  std::set<std::string> Members() const;
  /// Returns how many reads of the topic wait for a record.
  std::size_t WaitingReads(const std::string& topic) const;
  /// Never answers the reads that wait for a record, as when their connections
  /// have fallen silent. Later calls are answered.
  void SilenceWaitingReads();
  /// Refuses the reads that wait for a record.
  void RefuseWaitingReads();

  store_faults faults;
  /// How many appends were larger than the store takes.
  int oversized_appends = 0;
  /// Deals each member partitions that follow one another, and not in turn.
  bool deals_in_blocks = false;

 private:
  using partition_key = std::pair<std::string, std::uint32_t>;

  struct stored_record {
    std::string key;
    std::optional<std::string> value;
    std::string raw;
  };

  struct producer_state {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::string last_answer;
  };

  struct partition {
    std::vector<stored_record> records;
    std::map<std::string, producer_state> producers;
  };

  struct waiting_read {
    partition_key key;
    std::uint64_t from = 0;
    net::responder respond;
  };

  void Append(const std::map<std::string, std::string>& query,
              const std::string& body,
              const net::responder& respond);
  void Read(const std::map<std::string, std::string>& query,
            const net::responder& respond);
  void ReadNewest(const std::map<std::string, std::string>& query,
                  const net::responder& respond) const;
  void Join(const std::string& body, const net::responder& respond);
  void Deal();
  void WakeReaders();
  std::string RawFrom(const partition_key& key, std::uint64_t from) const;
  std::string Rows() const;

  boost::asio::io_context* context_;
  std::map<partition_key, partition> partitions_;
  std::vector<waiting_read> waiting_;
  std::map<std::string, std::set<std::uint32_t>> members_;
  std::map<std::string, std::chrono::steady_clock::time_point> live_until_;
  std::uint64_t generation_ = 0;
  /// The first partition goes to the member at this place.
  std::size_t first_member_ = 0;
};

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_SITE_STORE_H_
