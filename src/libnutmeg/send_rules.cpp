#include "nutmeghollow/send_rules.h"

#include <algorithm>

#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {
namespace {

SendVerdict ObstacleIf(bool applies, SendObstacle obstacle) {
  return {applies ? obstacle : SendObstacle::kNone, std::nullopt};
}

SendVerdict CheckLeaving(const SendQuestion& question) {
  return ObstacleIf(question.m_leaving, SendObstacle::kLeaving);
}

SendVerdict CheckEvacuated(const SendQuestion& question) {
  return ObstacleIf(question.m_tables.m_evacuations.Contains(
                        question.m_upstream.m_data_centre),
                    SendObstacle::kEvacuated);
}

SendVerdict CheckHomes(const SendQuestion& question) {
  const UpstreamQuery* query = question.m_query;
  return ObstacleIf(
      query != nullptr && query->m_homes &&
          !Allows(query->m_homes, RegionOf(question.m_tables.m_regions,
                                           question.m_upstream.m_data_centre)),
      SendObstacle::kOutsideHomes);
}

SendVerdict CheckOrigin(const SendQuestion& question) {
  const UpstreamQuery* query = question.m_query;
  return ObstacleIf(query != nullptr && query->m_origin &&
                        question.m_origin != *query->m_origin,
                    SendObstacle::kOtherOrigin);
}

SendVerdict CheckTried(const SendQuestion& question) {
  if (question.m_query == nullptr) {
    return {};
  }
  const auto& tried = question.m_query->m_tried;
  return ObstacleIf(std::find(tried.begin(), tried.end(),
                              question.m_upstream.m_id) != tried.end(),
                    SendObstacle::kAlreadyTried);
}

SendVerdict CheckRefusing(const SendQuestion& question) {
  if (question.m_refused_until <= question.m_now) {
    return {};
  }
  return {SendObstacle::kRefusing, question.m_refused_until};
}

SendVerdict CheckPermit(const SendQuestion& question) {
  return ObstacleIf(
      !question.m_tables.m_limits.MaySend(question.m_process, question.m_now),
      SendObstacle::kNeedsPermit);
}

SendVerdict CheckLease(const SendQuestion& question) {
  return ObstacleIf(!question.m_tables.m_refusal_limits.MaySend(
                        question.m_process, question.m_now),
                    SendObstacle::kNeedsLease);
}

}  // namespace

const char* SendObstacleName(SendObstacle obstacle) {
  switch (obstacle) {
    case SendObstacle::kNone:
      return "none";
    case SendObstacle::kLeaving:
      return "leaving";
    case SendObstacle::kEvacuated:
      return "evacuated";
    case SendObstacle::kOutsideHomes:
      return "outside the home regions";
    case SendObstacle::kOtherOrigin:
      return "other software version";
    case SendObstacle::kAlreadyTried:
      return "already tried";
    case SendObstacle::kRefusing:
      return "refusing";
    case SendObstacle::kNeedsPermit:
      return "needs a permit";
    case SendObstacle::kNeedsLease:
      return "needs a lease";
    case SendObstacle::kBackingOff:
      return "backing off";
  }
  return "unknown";
}

bool IsLasting(SendObstacle obstacle) {
  return obstacle == SendObstacle::kLeaving ||
         obstacle == SendObstacle::kEvacuated ||
         obstacle == SendObstacle::kOutsideHomes ||
         obstacle == SendObstacle::kOtherOrigin;
}

SendVerdict SendRules::Check(const SendQuestion& question) const {
  for (const SendRule& rule : m_rules) {
    const SendVerdict verdict = rule(question);
    if (verdict.m_obstacle != SendObstacle::kNone) {
      return verdict;
    }
  }
  return {};
}

const SendRules& LastingSendRules() {
  static const SendRules rules(
      {CheckLeaving, CheckEvacuated, CheckHomes, CheckOrigin});
  return rules;
}

const SendRules& AllSendRules() {
  static const SendRules rules({CheckLeaving, CheckEvacuated, CheckHomes,
                                CheckOrigin, CheckTried, CheckRefusing,
                                CheckPermit, CheckLease});
  return rules;
}

}  // namespace nutmeghollow
