/// @file
/// Client of the platform: the table service and the instance list.
///
/// The wire format is known to this file's source only; see
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

/// Receives the end of each operation on the table service.
using StoreCallback = std::function<void(StorePurpose, StoreResult)>;

/// The table service, as the daemon uses it. Each hook starts an operation;
/// its result arrives later, exactly once.
struct TableStore {
  std::function<void(const ReadStore&)> m_read;
  std::function<void(const ScanStore&)> m_scan;
  std::function<void(const CommitStore&)> m_commit;
};

/// Why an answer could not be used.
struct DecodeError {
  std::string m_detail;
};

/// The platform's instance list. The callback gets an empty list when the
/// platform was not reached or answered with something else.
struct InstanceList {
  std::function<void(std::function<void(std::vector<ListedInstance>)>)> m_fetch;
};

/// Settings of the platform client.
struct PlatformOptions {
  Endpoint m_endpoint;
  Duration m_connect_timeout = std::chrono::milliseconds(500);
  Duration m_timeout = std::chrono::seconds(2);  ///< Of a whole operation.
  Bytes m_answer_limit{64 << 20};
};

/// What the client did, for metrics and the control budget.
struct PlatformCounters {
  std::uint64_t m_reads = 0;
  std::uint64_t m_commits = 0;
  std::uint64_t m_lists = 0;
  std::uint64_t m_failures = 0;
  std::uint64_t m_bytes_sent = 0;  ///< Bodies and paths, without headers.
  std::uint64_t m_bytes_received = 0;
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

/// Decodes the rows of an answer of the table service.
boost::leaf::result<std::vector<StoreRow>> DecodeRows(std::string_view body);
/// Decodes the instance list.
boost::leaf::result<std::vector<ListedInstance>> DecodeInstances(
    std::string_view body);
/// @return how a read or a scan ended.
StoreResult ReadResult(StoreOperationId operation, const HttpResponse& answer);
/// @return how a commit ended; kUnknown unless the answer or its absence tells
/// for certain.
StoreResult CommitResult(StoreOperationId operation,
                         const HttpResponse& answer);

}  // namespace detail
}  // namespace nutmeghollow::net
