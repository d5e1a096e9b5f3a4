#include "site_store.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <memory>
#include <nlohmann/json.hpp>

namespace plantainhead::fakes {
namespace {

using json = nlohmann::json;
using query_map = std::map<std::string, std::string>;

constexpr std::uint32_t kPartitions = 32;

net::server_response Answer(unsigned status, const json& body) {
  return {status, {}, body.dump()};
}

query_map ParseQuery(const std::string& target) {
  query_map query;
  std::size_t at = target.find('?');
  while (at != std::string::npos && at < target.size()) {
    const std::size_t equals = target.find('=', at);
    const std::size_t end = target.find('&', at + 1);
    if (equals == std::string::npos) {
      break;
    }
    query[target.substr(at + 1, equals - at - 1)] =
        target.substr(equals + 1, end == std::string::npos ? std::string::npos
                                                           : end - equals - 1);
    at = end;
  }
  return query;
}

std::uint64_t NumberOf(const query_map& query, const std::string& key) {
  const auto found = query.find(key);
  return found == query.end() ? 0 : std::stoull(found->second);
}

std::string BigEndian(std::uint64_t value, std::size_t bytes) {
  std::string text;
  for (std::size_t i = bytes; i-- > 0;) {
    text.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
  }
  return text;
}

// Returns whether the store takes records of these sizes in one call.
bool IsWithinLimits(const std::string& body) {
  constexpr std::size_t kLengthBytes = 4;
  constexpr std::size_t kRecordBytes = 262144;
  constexpr std::size_t kCallBytes = 2097152;
  std::size_t total = 0;
  for (std::size_t at = 0; at < body.size();) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      length = (length << 8U) | static_cast<unsigned char>(body[at + i]);
    }
    total += length;
    if (length > kRecordBytes || total > kCallBytes) {
      return false;
    }
    at += length + kLengthBytes;
  }
  return true;
}

std::string ToBase64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  std::string encoded(base64::encoded_size(text.size()), '\0');
  encoded.resize(base64::encode(encoded.data(), text.data(), text.size()));
  return encoded;
}

}  // namespace

void site_store::Handle(const net::server_request& request,
                        const net::responder& respond) {
  const bool is_topic_silent =
      !faults.silent_topic.empty() &&
      request.target.find(faults.silent_topic) != std::string::npos;
  if (faults.is_silent || is_topic_silent) {
    return;
  }
  if (faults.is_refusing) {
    respond(Answer(503, json::object()));
    return;
  }
  const query_map query = ParseQuery(request.target);
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/plantainhead/log-append") {
    Append(query, request.body, respond);
  } else if (path == "/plantainhead/log-read") {
    Read(query, respond);
  } else if (path == "/plantainhead/log-newest") {
    ReadNewest(query, respond);
  } else if (path == "/plantainhead/log-join") {
    Join(request.body, respond);
  } else if (path == "/plantainhead/log-leave") {
    Expire(json::parse(request.body)["member"].get<std::string>());
    respond(Answer(200, json::object()));
  } else if (path == "/plantainhead/log-owners") {
    respond({200, {}, Rows()});
  } else {
    respond(Answer(404, json::object()));
  }
}

void site_store::Append(const query_map& query,
                        const std::string& body,
                        const net::responder& respond) {
  if (!IsWithinLimits(body)) {
    ++oversized_appends;
    respond(Answer(400, {{"reason", "too large"}}));
    return;
  }
  partition& target = partitions_[{
      query.at("topic"), static_cast<std::uint32_t>(NumberOf(query, "part"))}];
  const std::uint64_t end = target.records.size();
  producer_state* producer = nullptr;
  if (query.count("producer") != 0) {
    producer = &target.producers[query.at("producer")];
    const std::uint64_t epoch = NumberOf(query, "epoch");
    const std::uint64_t sequence = NumberOf(query, "seq");
    if (epoch < producer->epoch) {
      respond(Answer(409, {{"reason", "fenced"}}));
      return;
    }
    if (epoch == producer->epoch && sequence == producer->sequence) {
      respond({200, {}, producer->last_answer});
      return;
    }
    if (epoch == producer->epoch && sequence != producer->sequence + 1) {
      respond(Answer(409, {{"reason", "seq"}}));
      return;
    }
  }
  if (query.count("as_of") != 0 && NumberOf(query, "as_of") != end) {
    respond(Answer(412, {{"end", end}}));
    return;
  }
  for (std::size_t at = 0; at < body.size();) {
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i) {
      length = (length << 8U) | static_cast<unsigned char>(body[at + i]);
    }
    const std::string content = body.substr(at + 4, length);
    const std::size_t key_length = static_cast<unsigned char>(content[0]);
    stored_record record;
    record.key = content.substr(1, key_length);
    if (content.size() > key_length + 1) {
      record.value = content.substr(key_length + 1);
    }
    record.raw = body.substr(at, length + 4);
    target.records.push_back(std::move(record));
    at += length + 4;
  }
  const std::string answer =
      json{{"offset", end}, {"end", target.records.size()}}.dump();
  if (producer != nullptr) {
    *producer = {NumberOf(query, "epoch"), NumberOf(query, "seq"), answer};
  }
  WakeReaders();
  if (!faults.loses_answers) {
    respond({200, {}, answer});
  }
}

std::string site_store::RawFrom(const partition_key& key,
                                std::uint64_t from) const {
  const auto found = partitions_.find(key);
  if (found == partitions_.end()) {
    return BigEndian(0, 8) + BigEndian(0, 8);
  }
  const std::vector<stored_record>& records = found->second.records;
  std::string raw = BigEndian(records.size(), 8) + BigEndian(0, 8);
  for (std::size_t i = from; i < records.size(); ++i) {
    raw += records[i].raw;
  }
  return raw;
}

void site_store::Read(const query_map& query, const net::responder& respond) {
  const partition_key key = {
      query.at("topic"), static_cast<std::uint32_t>(NumberOf(query, "part"))};
  const std::uint64_t from = NumberOf(query, "from");
  const std::uint64_t wait_ms = NumberOf(query, "wait_ms");
  if (wait_ms == 0 || from < partitions_[key].records.size()) {
    respond({200, {}, RawFrom(key, from), "application/octet-stream"});
    return;
  }
  waiting_.push_back({key, from, respond});
  const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
  timer->expires_after(std::chrono::milliseconds(wait_ms));
  timer->async_wait(
      [this, key, from, timer](const boost::system::error_code& /*error*/) {
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
          if (it->key == key && it->from == from) {
            const net::responder late = it->respond;
            waiting_.erase(it);
            late({200, {}, RawFrom(key, from), "application/octet-stream"});
            return;
          }
        }
      });
}

void site_store::WakeReaders() {
  std::vector<waiting_read> still;
  std::vector<waiting_read> ready;
  for (waiting_read& read : waiting_) {
    const bool is_ready = read.from < partitions_[read.key].records.size();
    (is_ready ? ready : still).push_back(std::move(read));
  }
  waiting_ = std::move(still);
  for (const waiting_read& read : ready) {
    read.respond(
        {200, {}, RawFrom(read.key, read.from), "application/octet-stream"});
  }
}

void site_store::ReadNewest(const query_map& query,
                            const net::responder& respond) const {
  const auto found = partitions_.find(
      {query.at("topic"), static_cast<std::uint32_t>(NumberOf(query, "part"))});
  json items = json::array();
  std::uint64_t end = 0;
  if (found != partitions_.end()) {
    const std::vector<stored_record>& records = found->second.records;
    end = records.size();
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < records.size(); ++i) {
      newest[records[i].key] = i;
    }
    for (const auto& [key, i] : newest) {
      if (records[i].value) {
        items.push_back({{"key", key},
                         {"value", ToBase64(*records[i].value)},
                         {"offset", i}});
      }
    }
  }
  respond(Answer(200, {{"items", items}, {"has_more", false}, {"end", end}}));
}

// Deals the partitions evenly, as if each change reached all members at once.
void site_store::Deal() {
  ++generation_;
  for (auto& [member, partitions] : members_) {
    partitions.clear();
  }
  if (members_.empty()) {
    return;
  }
  auto next =
      std::next(members_.begin(),
                static_cast<std::ptrdiff_t>(first_member_ % members_.size()));
  const std::size_t block =
      deals_in_blocks ? (kPartitions + members_.size() - 1) / members_.size()
                      : 1;
  for (std::uint32_t i = 0; i < kPartitions; ++i) {
    if (next == members_.end()) {
      next = members_.begin();
    }
    next->second.insert(i);
    if ((i + 1) % block == 0) {
      ++next;
    }
  }
}

void site_store::DealAnew() {
  ++first_member_;
  Deal();
}

void site_store::Join(const std::string& body, const net::responder& respond) {
  const json call = json::parse(body);
  const std::string member = call["member"].get<std::string>();
  live_until_[member] =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(call.value("ttl_ms", std::int64_t{1000}));
  if (members_.try_emplace(member).second) {
    Deal();
  }
  json rows = json::array();
  for (const std::uint32_t partition : members_[member]) {
    rows.push_back(json::array({call["topics"][0], partition, 0}));
  }
  respond(Answer(200, {{"generation", generation_}, {"parts", rows}}));
}

void site_store::ExpireSilent() {
  const auto now = std::chrono::steady_clock::now();
  for (const std::string& member : Members()) {
    if (now > live_until_[member]) {
      Expire(member);
    }
  }
}

void site_store::Expire(const std::string& member) {
  if (members_.erase(member) != 0) {
    Deal();
  }
}

std::set<std::string> site_store::Members() const {
  std::set<std::string> names;
  for (const auto& [member, partitions] : members_) {
    names.insert(member);
  }
  return names;
}

std::size_t site_store::WaitingReads(const std::string& topic) const {
  return static_cast<std::size_t>(std::count_if(
      waiting_.begin(), waiting_.end(),
      [&](const waiting_read& read) { return read.key.first == topic; }));
}

void site_store::SilenceWaitingReads() {
  waiting_.clear();
}

void site_store::RefuseWaitingReads() {
  std::vector<waiting_read> refused;
  refused.swap(waiting_);
  for (const waiting_read& read : refused) {
    read.respond(Answer(503, json::object()));
  }
}

std::string site_store::Rows() const {
  json rows = json::array();
  for (const auto& [member, partitions] : members_) {
    for (const std::uint32_t partition : partitions) {
      rows.push_back(json::array({"topic", partition, member, 0}));
    }
  }
  // Of a group that has lost all its members.
  const bool is_unowned = generation_ != 0 && members_.empty();
  for (std::uint32_t i = 0; is_unowned && i < kPartitions; ++i) {
    rows.push_back(json::array({"topic", i, "", 0}));
  }
  return json{{"parts", rows}}.dump();
}

void site_store::Put(const std::string& topic,
                     const std::string& key,
                     const std::optional<std::string>& value,
                     std::uint32_t part) {
  const std::string content =
      std::string(1, static_cast<char>(key.size())) + key + value.value_or("");
  partitions_[{topic, part}].records.push_back(
      {key, value, BigEndian(content.size(), 4) + content});
  WakeReaders();
}

void site_store::PutRaw(const std::string& topic,
                        std::uint32_t part,
                        const std::string& bytes) {
  partitions_[{topic, part}].records.push_back({"", std::nullopt, bytes});
  WakeReaders();
}

std::optional<std::string> site_store::Newest(const std::string& topic,
                                              const std::string& key) const {
  std::optional<std::string> value;
  for (const auto& [where, partition] : partitions_) {
    for (const stored_record& record : partition.records) {
      if (where.first == topic && record.key == key) {
        value = record.value;
      }
    }
  }
  return value;
}

std::optional<std::string> site_store::NewestIn(const std::string& topic,
                                                std::uint32_t part,
                                                const std::string& key) const {
  std::optional<std::string> value;
  const auto found = partitions_.find({topic, part});
  if (found != partitions_.end()) {
    for (const stored_record& record : found->second.records) {
      if (record.key == key) {
        value = record.value;
      }
    }
  }
  return value;
}

std::size_t site_store::CountRecords(const std::string& topic,
                                     const std::string& key) const {
  std::size_t count = 0;
  for (const auto& [where, partition] : partitions_) {
    for (const stored_record& record : partition.records) {
      count += where.first == topic && record.key == key ? 1 : 0;
    }
  }
  return count;
}

}  // namespace plantainhead::fakes
