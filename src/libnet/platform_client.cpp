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

/// Posts a JSON body; counts the bytes sent and received, and failures.
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
  Fetch(client, std::move(call), options.m_response_limit,
        [&counters, done = std::move(done)](const HttpResponse& response) {
          counters.m_bytes_received += response.m_body.size();
          if (response.m_call_result.m_outcome != HttpCallOutcome::kComplete ||
              response.m_status >= kStatusUnavailable) {
            ++counters.m_failures;
          }
          done(response);
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

/// Decodes the rows of a response into a result. @return false when the body is
/// malformed; the result is unchanged then.
bool DecodeRowsInto(const HttpResponse& response, StoreResult& result) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_ASSIGN(result.m_rows, detail::DecodeRows(response.m_body));
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

StoreResult ReadResult(StoreOperationId operation,
                       const HttpResponse& response) {
  StoreResult result{.m_operation = operation,
                     .m_status = StoreStatus::kUnavailable};
  if (response.m_call_result.m_outcome == HttpCallOutcome::kComplete &&
      response.m_status == kStatusOk && DecodeRowsInto(response, result)) {
    result.m_status = StoreStatus::kDone;
  }
  return result;
}

StoreResult CommitResult(StoreOperationId operation,
                         const HttpResponse& response) {
  StoreResult result{.m_operation = operation,
                     .m_status = StoreStatus::kUnknown};
  if (response.m_call_result.m_outcome != HttpCallOutcome::kComplete) {
    if (!response.m_call_result.m_may_have_been_sent) {
      result.m_status = StoreStatus::kUnavailable;
    }
    return result;
  }
  switch (response.m_status) {
    case kStatusOk:
      result.m_status = StoreStatus::kDone;
      break;
    case kStatusConflict:
      result.m_status = StoreStatus::kConflict;
      DecodeRowsInto(response, result);
      break;
    case kStatusTooManyRequests:
    case kStatusUnavailable:
      result.m_status = StoreStatus::kUnavailable;
      break;
    default:
      // Any other 4xx status rejects the commit before it runs; after any other
      // status it may have run.
      if (response.m_status >= 400 && response.m_status < 500) {
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
          operation = read.m_operation](const HttpResponse& response) {
           callback(purpose, detail::ReadResult(operation, response));
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
          operation = scan.m_operation](const HttpResponse& response) {
           callback(purpose, detail::ReadResult(operation, response));
         });
  };
  store.m_commit = [&client, options, &counters,
                    callback](const CommitStore& commit) {
    ++counters.m_commits;
    Post(client, options, counters, "/v1/table/commit",
         {{"preconditions", EncodePreconditions(commit.m_preconditions)},
          {"writes", EncodeWrites(commit.m_writes)}},
         [callback, purpose = commit.m_purpose,
          operation = commit.m_operation](const HttpResponse& response) {
           callback(purpose, detail::CommitResult(operation, response));
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
    Fetch(
        client, std::move(call), options.m_response_limit,
        [&counters, done = std::move(done)](const HttpResponse& response) {
          counters.m_bytes_received += response.m_body.size();
          std::vector<ListedInstance> entries;
          if (response.m_call_result.m_outcome == HttpCallOutcome::kComplete &&
              response.m_status == kStatusOk) {
            entries = leaf::try_handle_all(
                [&] { return detail::DecodeInstances(response.m_body); },
                [] { return std::vector<ListedInstance>(); });
          }
          done(std::move(entries));
        });
  };
  return {fetch};
}

}  // namespace nutmeghollow::net
