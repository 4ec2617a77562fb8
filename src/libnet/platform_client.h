/// @file
/// Client of the platform: the table service and the instance list.
///
/// Only platform_client.cpp depends on the wire format; see
/// docs/design/001-stand-in-protocols.md.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "libnet/http_client.h"
#include "nutmeghollow/actions.h"
#include "nutmeghollow/membership.h"
#include "nutmeghollow/store.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// Receives the result of each operation on the table service.
using StoreCallback = std::function<void(StorePurpose, StoreResult)>;

/// Operations of the table service. Each hook starts an operation; its result
/// is delivered later, exactly once.
struct TableStore {
  std::function<void(const ReadStore&)> m_read;
  std::function<void(const ScanStore&)> m_scan;
  std::function<void(const CommitStore&)> m_commit;
};

/// Why a response could not be decoded.
struct DecodeError {
  std::string m_detail;
};

/// The platform's instance list. The callback receives an empty list when the
/// platform was not reached or its response was unusable.
struct InstanceList {
  std::function<void(std::function<void(std::vector<ListedInstance>)>)> m_fetch;
};

/// Settings of the client of the platform.
struct PlatformOptions {
  Endpoint m_endpoint;
  Duration m_connect_timeout = std::chrono::milliseconds(500);
  Duration m_timeout = std::chrono::seconds(2);  ///< Of a whole operation.
  Bytes m_response_limit{64 << 20};
};

/// Operations and traffic, for metrics and the control budget.
struct PlatformCounters {
  std::uint64_t m_reads = 0;
  std::uint64_t m_commits = 0;
  std::uint64_t m_lists = 0;
  std::uint64_t m_failures = 0;
  std::uint64_t m_bytes_sent = 0;      ///< Bodies and paths, excluding headers.
  std::uint64_t m_bytes_received = 0;  ///< Bodies only.
};

/// Makes the hooks of the table service.
/// @param client must outlive the hooks, as must `counters`.
TableStore MakeTableStore(HttpClient& client,
                          const PlatformOptions& options,
                          PlatformCounters& counters,
                          const StoreCallback& callback);

/// Makes the hook of the instance list.
InstanceList MakeInstanceList(HttpClient& client,
                              const PlatformOptions& options,
                              PlatformCounters& counters);

namespace detail {

/// Decodes the rows in a response of the table service.
boost::leaf::result<std::vector<StoreRow>> DecodeRows(std::string_view body);
/// Decodes the instance list.
boost::leaf::result<std::vector<ListedInstance>> DecodeInstances(
    std::string_view body);
/// @return the result of a read or a scan.
StoreResult ReadResult(StoreOperationId operation,
                       const HttpResponse& response);
/// @return the result of a commit; kUnknown unless the response, or a failure
/// before anything was sent, determines whether it took effect.
StoreResult CommitResult(StoreOperationId operation,
                         const HttpResponse& response);

}  // namespace detail
}  // namespace nutmeghollow::net
