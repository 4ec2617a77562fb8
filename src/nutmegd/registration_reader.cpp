#include "nutmegd/registration_reader.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "libnet/log.h"

namespace nutmeghollow {
namespace {

/// After this, being late weighs more for a stream than the risk.
constexpr Duration kReadTimeout = std::chrono::milliseconds(250);

}  // namespace

RegistrationReader::RegistrationReader(net::RowFeed feed,
                                       std::string table,
                                       Parser parse)
    : m_feed(std::move(feed)),
      m_table(std::move(table)),
      m_parse(std::move(parse)) {}

void RegistrationReader::Read(Callback callback) {
  m_waiting.push_back(std::move(callback));
  if (m_reading.empty()) {
    Start();
  }
}

void RegistrationReader::Start() {
  m_reading = std::exchange(m_waiting, {});
  m_feed.m_read_all(
      m_table, kReadTimeout,
      [this](const net::FeedResult& result) { HandleRows(result); });
}

void RegistrationReader::HandleRows(const net::FeedResult& result) {
  const bool done = result.m_status == net::FeedStatus::kDone;
  if (!done) {
    net::Log(net::LogLevel::kWarning, "registrations_not_confirmed",
             {{"reason", result.m_detail}});
  }
  Rows rows;
  for (const net::FeedRow& row : result.m_rows) {
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(upstream, m_parse(row.m_key, row.m_value));
          rows.emplace(UpstreamId(row.m_key), std::move(upstream));
          return {};
        },
        [] {});
  }
  const std::vector<Callback> answered = std::exchange(m_reading, {});
  if (!m_waiting.empty()) {
    Start();
  }
  for (const Callback& callback : answered) {
    callback(done ? &rows : nullptr);
  }
}

}  // namespace nutmeghollow
