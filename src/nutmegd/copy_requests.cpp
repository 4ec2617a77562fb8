#include "nutmegd/copy_requests.h"

#include <algorithm>
#include <utility>

namespace nutmeghollow {
namespace {

constexpr Duration kMinDelay = std::chrono::milliseconds(250);
/// While no instance gives its rows, each further one may be the first.
constexpr Duration kMaxDelayAfterFailure = std::chrono::milliseconds(1000);
/// Rows that were read and are not used, such as one that this build cannot
/// read, are not read often.
constexpr Duration kMaxDelay = std::chrono::seconds(8);

}  // namespace

CopyRequests::CopyRequests(struct ev_loop* loop,
                           TableFollower* follower,
                           Duration tolerance,
                           CopyRequestHooks hooks)
    : m_follower(follower),
      m_tolerance(tolerance),
      m_hooks(std::move(hooks)),
      m_timer(loop, [this] { Send(); }) {}

void CopyRequests::NoteNewer() {
  if (m_in_progress || m_timer.Active() || !m_hooks.m_is_outdated()) {
    return;
  }
  m_delay = kMinDelay;
  m_timer.Start(m_tolerance);
}

void CopyRequests::Send() {
  if (!m_hooks.m_is_outdated()) {
    return;
  }
  m_hooks.m_log();
  m_in_progress = true;
  m_follower->RequestCopy(m_hooks.m_after(),
                          [this](bool is_read) { HandleEnd(is_read); });
}

void CopyRequests::HandleEnd(bool is_read) {
  m_in_progress = false;
  if (!m_hooks.m_is_outdated()) {
    return;
  }
  const Duration max_delay = is_read ? kMaxDelay : kMaxDelayAfterFailure;
  m_timer.Start(std::min(m_delay, max_delay));
  m_delay = std::min(2 * m_delay, max_delay);
}

}  // namespace nutmeghollow
