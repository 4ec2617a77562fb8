#include "libnet/platform_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace nutmeghollow::net {
namespace {

using Json = nlohmann::json;
namespace leaf = boost::leaf;

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

HttpCall MakeCall(const PlatformOptions& options,
                  std::string method,
                  std::string path) {
  HttpCall call;
  call.m_method = std::move(method);
  call.m_endpoint = options.m_endpoint;
  call.m_path = std::move(path);
  call.m_connect_timeout = options.m_connect_timeout;
  call.m_head_timeout = options.m_timeout;
  call.m_idle_timeout = options.m_timeout;
  call.m_total_timeout = options.m_timeout;
  return call;
}

/// Posts a JSON body and counts what is sent and received.
void Post(HttpClient& client,
          const PlatformOptions& options,
          PlatformCounters& counters,
          std::string path,
          const Json& body,
          std::function<void(const HttpResponse&)> done) {
  HttpCall call = MakeCall(options, "POST", std::move(path));
  call.m_headers = {{"Content-Type", "application/json"}};
  call.m_body = std::make_shared<const std::string>(body.dump());
  counters.m_bytes_sent += call.m_path.size() + call.m_body->size();
  Fetch(client, std::move(call), options.m_answer_limit,
        [&counters, done = std::move(done)](const HttpResponse& answer) {
          counters.m_bytes_received += answer.m_body.size();
          if (answer.m_end.m_kind != HttpCallOutcome::kComplete ||
              answer.m_status >= kStatusUnavailable) {
            ++counters.m_failures;
          }
          done(answer);
        });
}

Json EncodePreconditions(const std::vector<StorePrecondition>& preconditions) {
  Json list = Json::array();
  for (const StorePrecondition& precondition : preconditions) {
    list.push_back({{"key", precondition.m_key},
                    {"version", precondition.m_version.value()}});
  }
  return list;
}

Json EncodeWrites(const std::vector<StoreWrite>& writes) {
  Json list = Json::array();
  for (const StoreWrite& write : writes) {
    Json item{{"key", write.m_key}, {"value", nullptr}};
    if (write.m_value) {
      item["value"] = *write.m_value;
    }
    list.push_back(std::move(item));
  }
  return list;
}

StoreRow DecodeRow(const Json& json) {
  StoreRow row;
  row.m_key = json.at("key").get<std::string>();
  row.m_version = RowVersion(json.at("version").get<std::uint64_t>());
  auto value = json.find("value");
  if (value != json.end() && value->is_string()) {
    row.m_value = value->get<std::string>();
  }
  return row;
}

ListedInstance DecodeInstance(const Json& json) {
  return {
      .m_id = InstanceId(json.at("id").get<std::string>()),
      .m_caller_endpoint = Endpoint(json.at("caller").get<std::string>()),
      .m_peer_endpoint = Endpoint(json.at("peer").get<std::string>()),
      .m_data_centre = DataCentreId(json.at("data_centre").get<std::string>()),
      .m_region = RegionId(json.at("region").get<std::string>()),
      .m_leaving = json.value("leaving", false)};
}

/// Decodes a list of items under a field of a JSON object.
template <typename Item, typename Decoder>
leaf::result<std::vector<Item>> DecodeList(std::string_view body,
                                           const char* field,
                                           Decoder decode) {
  try {
    const Json json = Json::parse(body);
    std::vector<Item> items;
    for (const Json& item : json.at(field)) {
      items.push_back(decode(item));
    }
    return items;
  } catch (const Json::exception& error) {
    return leaf::new_error(DecodeError{error.what()});
  }
}

/// Fills in the rows of an answer. @return false when it cannot be decoded.
bool TakeRows(const HttpResponse& answer, StoreResult& result) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_ASSIGN(result.m_rows, detail::DecodeRows(answer.m_body));
        return true;
      },
      [](const DecodeError&) { return false; }, [] { return false; });
}

}  // namespace

namespace detail {

leaf::result<std::vector<StoreRow>> DecodeRows(std::string_view body) {
  return DecodeList<StoreRow>(body, "rows", DecodeRow);
}

leaf::result<std::vector<ListedInstance>> DecodeInstances(
    std::string_view body) {
  return DecodeList<ListedInstance>(body, "instances", DecodeInstance);
}

StoreResult ReadResult(StoreOperationId operation, const HttpResponse& answer) {
  StoreResult result{.m_operation = operation,
                     .m_status = StoreStatus::kUnavailable};
  if (answer.m_end.m_kind == HttpCallOutcome::kComplete &&
      answer.m_status == kStatusOk && TakeRows(answer, result)) {
    result.m_status = StoreStatus::kDone;
  }
  return result;
}

StoreResult CommitResult(StoreOperationId operation,
                         const HttpResponse& answer) {
  StoreResult result{.m_operation = operation,
                     .m_status = StoreStatus::kUnknown};
  if (answer.m_end.m_kind != HttpCallOutcome::kComplete) {
    if (!answer.m_end.m_may_have_been_sent) {
      result.m_status = StoreStatus::kUnavailable;
    }
    return result;
  }
  switch (answer.m_status) {
    case kStatusOk:
      result.m_status = StoreStatus::kDone;
      break;
    case kStatusConflict:
      result.m_status = StoreStatus::kConflict;
      TakeRows(answer, result);
      break;
    case kStatusTooManyRequests:
    case kStatusUnavailable:
      result.m_status = StoreStatus::kUnavailable;
      break;
    default:
      // Another 4xx was refused before it ran; anything else may have run.
      if (answer.m_status >= 400 && answer.m_status < 500) {
        result.m_status = StoreStatus::kUnavailable;
      }
      break;
  }
  return result;
}

}  // namespace detail

TableStore MakeTableStore(HttpClient& client,
                          const PlatformOptions& options,
                          PlatformCounters& counters,
                          const StoreCallback& callback) {
  TableStore store;
  store.m_read = [&client, options, &counters,
                  callback](const ReadStore& read) {
    ++counters.m_reads;
    Post(client, options, counters, "/v1/table/read", {{"keys", read.m_keys}},
         [callback, purpose = read.m_purpose,
          operation = read.m_operation](const HttpResponse& answer) {
           callback(purpose, detail::ReadResult(operation, answer));
         });
  };
  store.m_scan = [&client, options, &counters,
                  callback](const ScanStore& scan) {
    ++counters.m_reads;
    Post(client, options, counters, "/v1/table/scan",
         {{"prefix", scan.m_prefix},
          {"after", scan.m_after},
          {"limit", scan.m_limit}},
         [callback, purpose = scan.m_purpose,
          operation = scan.m_operation](const HttpResponse& answer) {
           callback(purpose, detail::ReadResult(operation, answer));
         });
  };
  store.m_commit = [&client, options, &counters,
                    callback](const CommitStore& commit) {
    ++counters.m_commits;
    Post(client, options, counters, "/v1/table/commit",
         {{"preconditions", EncodePreconditions(commit.m_preconditions)},
          {"writes", EncodeWrites(commit.m_writes)}},
         [callback, purpose = commit.m_purpose,
          operation = commit.m_operation](const HttpResponse& answer) {
           callback(purpose, detail::CommitResult(operation, answer));
         });
  };
  return store;
}

InstanceList MakeInstanceList(HttpClient& client,
                              const PlatformOptions& options,
                              PlatformCounters& counters) {
  auto fetch = [&client, options, &counters](
                   std::function<void(std::vector<ListedInstance>)> done) {
    ++counters.m_lists;
    HttpCall call = MakeCall(options, "GET", "/v1/instances");
    counters.m_bytes_sent += call.m_path.size();
    Fetch(client, std::move(call), options.m_answer_limit,
          [&counters, done = std::move(done)](const HttpResponse& answer) {
            counters.m_bytes_received += answer.m_body.size();
            std::vector<ListedInstance> entries;
            if (answer.m_end.m_kind == HttpCallOutcome::kComplete &&
                answer.m_status == kStatusOk) {
              entries = leaf::try_handle_all(
                  [&] { return detail::DecodeInstances(answer.m_body); },
                  [] { return std::vector<ListedInstance>(); });
            }
            done(std::move(entries));
          });
  };
  return {fetch};
}

}  // namespace nutmeghollow::net
