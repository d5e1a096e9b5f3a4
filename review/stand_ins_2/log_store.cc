#include "log_store.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

namespace plantainhead::review {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr std::size_t kLengthBytes = 4;
constexpr std::uint32_t kParts = 32;
constexpr milliseconds kAppendTime(2);
// 20 MB a second.
constexpr nanoseconds kTimePerByte(50);
constexpr seconds kMaxQueue(2);
constexpr seconds kHistory(20);
constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kDefaultReadKb = 1024;
constexpr std::size_t kMaxPageItems = 500;
constexpr std::size_t kMaxPageBytes = 1000000;
constexpr std::size_t kKeptAnswers = 5;
constexpr milliseconds kTick(100);

net::http_server_options Options() {
  net::http_server_options options;
  // This store rejects an append that is too large, and not its HTTP server.
  options.body_limit = 4 * log_store::kCallBytes;
  return options;
}

net::server_response Answer(unsigned status, const json& body) {
  return {status, {}, body.dump()};
}

std::string Decode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded.push_back(
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(const std::string& text) {
  std::map<std::string, std::string> query;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t end = std::min(text.find('&', at), text.size());
    const std::string pair = text.substr(at, end - at);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      query[pair.substr(0, equals)] = Decode(pair.substr(equals + 1));
    }
    at = end + 1;
  }
  return query;
}

std::uint64_t NumberOf(const std::map<std::string, std::string>& query,
                       const std::string& key,
                       std::uint64_t missing = 0) {
  const auto found = query.find(key);
  return found == query.end() ? missing : std::stoull(found->second);
}

std::string BigEndian(std::uint64_t value, std::size_t bytes) {
  std::string text;
  for (std::size_t i = bytes; i-- > 0;) {
    text.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
  }
  return text;
}

std::string ToBase64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  std::string encoded(base64::encoded_size(text.size()), '\0');
  encoded.resize(base64::encode(encoded.data(), text.data(), text.size()));
  return encoded;
}

struct parsed_record {
  std::string key;
  std::optional<std::string> value;
  std::string raw;
};

// Returns no records if the framing is invalid.
std::vector<parsed_record> ParseRecords(const std::string& body) {
  std::vector<parsed_record> records;
  std::size_t at = 0;
  while (at < body.size()) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes && at + i < body.size(); ++i) {
      length = (length << 8U) | static_cast<unsigned char>(body[at + i]);
    }
    if (length == 0 || at + kLengthBytes + length > body.size()) {
      return {};
    }
    const std::string content = body.substr(at + kLengthBytes, length);
    const auto key_length = static_cast<unsigned char>(content[0]);
    parsed_record record;
    record.key = content.substr(1, key_length);
    if (content.size() > key_length + 1U) {
      record.value = content.substr(key_length + 1U);
    }
    record.raw = body.substr(at, kLengthBytes + length);
    records.push_back(std::move(record));
    at += kLengthBytes + length;
  }
  return records;
}

}  // namespace

log_store::log_store(boost::asio::io_context* context,
                     const std::string& address)
    : context_(context),
      server_(
          context,
          address,
          Options(),
          [this](const net::server_request& request,
                 const net::responder& respond) { Handle(request, respond); }) {
  Tick();
}

void log_store::After(nanoseconds time, std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
  timer->expires_after(time);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code& error) {
    if (!error) {
      action();
    }
  });
}

void log_store::Tick() {
  ExpireMembers();
  for (auto& [key, one] : partitions_) {
    Expire(&one);
  }
  After(kTick, [this] { Tick(); });
}

void log_store::Handle(const net::server_request& request,
                       const net::responder& respond) {
  const std::size_t mark = request.target.find('?');
  const std::string path = request.target.substr(0, mark);
  const std::string query_text =
      mark == std::string::npos ? "" : request.target.substr(mark + 1);
  const query_map query = ParseQuery(query_text);
  if (path == "/plantainhead/log-append") {
    Append(query_text, query, request.body, respond);
  } else if (path == "/plantainhead/log-read") {
    Read(query, respond);
  } else if (path == "/plantainhead/log-newest") {
    ReadNewest(query, respond);
  } else if (path == "/plantainhead/log-join") {
    Join(request.body, respond);
  } else if (path == "/plantainhead/log-leave") {
    Leave(request.body, respond);
  } else if (path == "/plantainhead/log-owners") {
    ListOwners(query, respond);
  } else {
    respond(Answer(404, json::object()));
  }
}

// Appends.

void log_store::Append(const std::string& query_text,
                       const query_map& query,
                       const std::string& body,
                       const net::responder& respond) {
  const std::vector<parsed_record> records = ParseRecords(body);
  std::string largest_key;
  std::size_t largest = 0;
  for (const parsed_record& record : records) {
    if (record.raw.size() - kLengthBytes > largest) {
      largest = record.raw.size() - kLengthBytes;
      largest_key = record.key;
    }
  }
  if (largest > kRecordBytes || body.size() > kCallBytes) {
    if (on_rejected) {
      on_rejected(query_text, largest_key, largest);
    }
    respond(Answer(400, {{"reason", "size"}}));
    return;
  }
  const partition_key key(query.at("topic"),
                          static_cast<std::uint32_t>(NumberOf(query, "part")));
  partition& to = partitions_[key];
  const auto now = steady_clock::now();
  const auto begin = std::max(now, to.busy_until);
  if (begin - now > kMaxQueue) {
    respond(Answer(503, json::object()));
    return;
  }
  to.busy_until =
      begin + kAppendTime + kTimePerByte * static_cast<int>(body.size());
  After(to.busy_until - now, [this, key, query, body, respond] {
    respond(CarryOut(key, query, body));
  });
}

net::server_response log_store::CarryOut(const partition_key& key,
                                         const query_map& query,
                                         const std::string& body) {
  partition& to = partitions_[key];
  producer_state* producer = nullptr;
  const std::uint64_t epoch = NumberOf(query, "epoch");
  const std::uint64_t sequence = NumberOf(query, "seq");
  if (query.count("producer") != 0) {
    producer = &to.producers[query.at("producer")];
    if (epoch < producer->epoch) {
      return Answer(409, {{"reason", "fenced"}});
    }
    if (epoch == producer->epoch) {
      const auto repeated = producer->answers.find(sequence);
      if (repeated != producer->answers.end()) {
        return {200, {}, repeated->second};
      }
      if (sequence != producer->sequence + 1) {
        return Answer(
            409, {{"reason", "seq"}, {"expected", producer->sequence + 1}});
      }
    }
  }
  if (query.count("as_of") != 0 && NumberOf(query, "as_of") != to.end()) {
    return Answer(412, {{"end", to.end()}});
  }
  const std::uint64_t offset = to.end();
  for (parsed_record& record : ParseRecords(body)) {
    Store(&to, record.key, record.value, std::move(record.raw));
  }
  const std::string answer = json{{"offset", offset}, {"end", to.end()}}.dump();
  if (producer != nullptr) {
    if (epoch > producer->epoch) {
      producer->answers.clear();
    }
    producer->epoch = epoch;
    producer->sequence = sequence;
    producer->answers[sequence] = answer;
    while (producer->answers.size() > kKeptAnswers) {
      producer->answers.erase(producer->answers.begin());
    }
  }
  WakeReaders(&to);
  return {200, {}, answer};
}

void log_store::Store(partition* to,
                      const std::string& key,
                      const std::optional<std::string>& value,
                      std::string raw) {
  if (value) {
    to->newest[key] = {to->end(), *value};
  } else {
    to->newest.erase(key);
  }
  to->bytes += raw.size();
  to->records.push_back({key, value, std::move(raw), steady_clock::now()});
}

void log_store::Expire(partition* from) {
  const auto limit = steady_clock::now() - kHistory;
  while (!from->records.empty() && from->records.front().at < limit) {
    from->bytes -= from->records.front().raw.size();
    from->records.pop_front();
    ++from->first;
  }
}

void log_store::Put(const std::string& topic,
                    const std::string& key,
                    const std::optional<std::string>& value) {
  const std::string content =
      std::string(1, static_cast<char>(key.size())) + key + value.value_or("");
  partition& to = partitions_[{topic, 0}];
  Store(&to, key, value, BigEndian(content.size(), kLengthBytes) + content);
  WakeReaders(&to);
}

// Reads.

void log_store::Read(const query_map& query, const net::responder& respond) {
  partition& from = partitions_[{
      query.at("topic"), static_cast<std::uint32_t>(NumberOf(query, "part"))}];
  const std::uint64_t offset = NumberOf(query, "from");
  const std::size_t max_bytes =
      NumberOf(query, "max_kb", kDefaultReadKb) * kKilobyte;
  const std::uint64_t wait_ms = NumberOf(query, "wait_ms");
  if (wait_ms == 0 || offset < from.end()) {
    respond(ReadAnswer(&from, offset, max_bytes));
    return;
  }
  const auto waiting = std::make_shared<waiting_read>();
  waiting->from = offset;
  waiting->max_bytes = max_bytes;
  waiting->respond = respond;
  from.waiting.push_back(waiting);
  After(milliseconds(wait_ms), [this, waiting, from = &from] {
    if (!waiting->is_answered) {
      waiting->is_answered = true;
      std::erase(from->waiting, waiting);
      waiting->respond(ReadAnswer(from, waiting->from, waiting->max_bytes));
    }
  });
}

net::server_response log_store::ReadAnswer(partition* from,
                                           std::uint64_t offset,
                                           std::size_t max_bytes) {
  if (offset < from->first) {
    return Answer(410, {{"first", from->first}});
  }
  std::string raw = BigEndian(from->end(), 8) + BigEndian(from->first, 8);
  std::size_t bytes = 0;
  for (std::uint64_t at = offset; at < from->end(); ++at) {
    const std::string& record = from->records[at - from->first].raw;
    if (bytes > 0 && bytes + record.size() > max_bytes) {
      break;
    }
    raw += record;
    bytes += record.size();
  }
  return {200, {}, raw, "application/octet-stream"};
}

void log_store::WakeReaders(partition* of) {
  const auto waiting = std::move(of->waiting);
  of->waiting.clear();
  for (const auto& one : waiting) {
    if (one->from < of->end()) {
      one->is_answered = true;
      one->respond(ReadAnswer(of, one->from, one->max_bytes));
    } else {
      of->waiting.push_back(one);
    }
  }
}

void log_store::ReadNewest(const query_map& query,
                           const net::responder& respond) {
  const partition& from = partitions_[{
      query.at("topic"), static_cast<std::uint32_t>(NumberOf(query, "part"))}];
  const auto after = query.find("depends_on");
  auto next = after == query.end() ? from.newest.begin()
                                   : from.newest.upper_bound(after->second);
  json items = json::array();
  std::size_t bytes = 0;
  for (; next != from.newest.end(); ++next) {
    const std::size_t size = next->first.size() + next->second.value.size();
    const bool is_full = items.size() >= kMaxPageItems ||
                         (!items.empty() && bytes + size > kMaxPageBytes);
    if (is_full) {
      break;
    }
    bytes += size;
    items.push_back({{"key", next->first},
                     {"value", ToBase64(next->second.value)},
                     {"offset", next->second.offset}});
  }
  respond(Answer(200, {{"items", items},
                       {"has_more", next != from.newest.end()},
                       {"end", from.end()}}));
}

std::optional<std::string> log_store::Newest(const std::string& topic,
                                             const std::string& key) const {
  const auto found = partitions_.find({topic, 0});
  if (found == partitions_.end()) {
    return std::nullopt;
  }
  const auto record = found->second.newest.find(key);
  return record == found->second.newest.end()
             ? std::nullopt
             : std::optional(record->second.value);
}

std::vector<log_store::kept_record> log_store::KeptRecords(
    const std::string& prefix) const {
  std::vector<kept_record> kept;
  for (const auto& [where, one] : partitions_) {
    for (auto it = one.newest.lower_bound(prefix);
         it != one.newest.end() &&
         it->first.compare(0, prefix.size(), prefix) == 0;
         ++it) {
      kept.push_back({where.first, where.second, it->first, it->second.value});
    }
  }
  return kept;
}

void log_store::AddHistory(const kept_record& record) {
  partition& to = partitions_[{record.topic, record.part}];
  to.first = to.end();
  to.records.clear();
  to.bytes = 0;
  to.newest[record.key] = {to.first, record.value};
  ++to.first;
}

// Groups.

// Deals the partitions evenly. One that moves stays with its holder until the
// holder has been told and has joined again.
void log_store::Deal(group* of) {
  ++of->generation;
  if (of->members.empty()) {
    for (group_part& part : of->parts) {
      part = {};
    }
    return;
  }
  auto member = of->members.begin();
  for (group_part& part : of->parts) {
    if (part.next != member->first) {
      part.next = member->first;
      part.moved_in = of->generation;
    }
    ++member;
    if (member == of->members.end()) {
      member = of->members.begin();
    }
  }
  HandOver(of);
}

// A holder that has left or expired gives its partitions up at once.
void log_store::HandOver(group* of) {
  for (group_part& part : of->parts) {
    const bool is_held = of->members.count(part.holder) != 0;
    if (part.holder != part.next && !is_held) {
      part.holder = part.next;
    }
  }
}

void log_store::Join(const std::string& body, const net::responder& respond) {
  const json call = json::parse(body);
  const auto name = call["member"].get<std::string>();
  group& joined = groups_[call["group"].get<std::string>()];
  if (joined.parts.empty()) {
    joined.parts.resize(kParts);
    joined.topic = call["topics"][0].get<std::string>();
  }
  const bool is_new = joined.members.count(name) == 0;
  joined.members[name].live_until =
      steady_clock::now() +
      milliseconds(call.value("ttl_ms", std::int64_t{1000}));
  if (is_new) {
    Deal(&joined);
  }
  const auto known = call.value("generation", std::uint64_t{0});
  for (group_part& part : joined.parts) {
    const bool is_given_up =
        part.holder == name && part.next != name && known >= part.moved_in;
    if (is_given_up) {
      part.holder = part.next;
    }
  }
  json rows = json::array();
  for (std::uint32_t i = 0; i < kParts; ++i) {
    const group_part& part = joined.parts[i];
    if (part.holder == name && part.next == name) {
      rows.push_back(json::array({joined.topic, i, 0}));
    }
  }
  respond(Answer(200, {{"generation", joined.generation}, {"parts", rows}}));
}

void log_store::Leave(const std::string& body, const net::responder& respond) {
  const json call = json::parse(body);
  group& left = groups_[call["group"].get<std::string>()];
  if (left.members.erase(call["member"].get<std::string>()) != 0) {
    Deal(&left);
  }
  respond(Answer(200, json::object()));
}

void log_store::ListOwners(const query_map& query,
                           const net::responder& respond) {
  json rows = json::array();
  const auto found = groups_.find(query.at("group"));
  if (found != groups_.end()) {
    for (std::uint32_t i = 0; i < found->second.parts.size(); ++i) {
      rows.push_back(json::array(
          {found->second.topic, i, found->second.parts[i].holder, 0}));
    }
  }
  respond(Answer(200, {{"parts", rows}}));
}

void log_store::ExpireMembers() {
  const auto now = steady_clock::now();
  for (auto& [name, one] : groups_) {
    const auto expired = std::erase_if(one.members, [now](const auto& member) {
      return now > member.second.live_until;
    });
    if (expired > 0) {
      Deal(&one);
    }
  }
}

}  // namespace plantainhead::review
