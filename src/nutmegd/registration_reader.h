/// @file
/// Reads the registrations afresh.
///
/// The pool follows the registrations with a delay, which is long while this
/// instance is suspended or its feed does not respond. Where another process
/// than the registered one would do harm, a reader shows who is registered now.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libnet/route_protocol.h"
#include "libnet/row_feed.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// Reads the table of registrations, once for all that ask meanwhile.
class RegistrationReader {
 public:
  using Parser = decltype(net::RouteProtocol::m_read_registration);
  using Rows = std::map<UpstreamId, RegisteredUpstream>;
  /// @param rows null if the table was not read in time.
  using Callback = std::function<void(const Rows* rows)>;

  RegistrationReader(net::RowFeed feed, std::string table, Parser parse);

  /// Starts a read, at the end of the one in progress if there is one.
  /// @param callback called once, after this function has returned.
  void Read(Callback callback);

 private:
  void Start();
  void HandleRows(const net::FeedResult& result);

  net::RowFeed m_feed;
  std::string m_table;
  Parser m_parse;
  std::vector<Callback> m_reading;  ///< Answered by the read in progress.
  std::vector<Callback> m_waiting;  ///< For the next read.
};

}  // namespace nutmeghollow
