/// @file
/// Generates the calls of the simulated callers: chats of several turns, single
/// calls, calls of plain services, and surges.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"
#include "standins/answer.h"

namespace nutmeghollow::load {

/// A customer and its relative share of the calls.
struct CustomerShare {
  std::string m_name;
  double m_weight = 1.0;
};

/// Kinds of calls.
enum class CallKind {
  kLong,     ///< Chat with a long history, streamed.
  kShort,    ///< Chat with a short history, streamed.
  kLabel,    ///< One short question, not streamed.
  kService,  ///< Call of a plain service that must not run twice; has an
             ///< idempotency key.
  kCrash,    ///< Chat that crashes the engine which runs it.
  kCount,
};

/// @return the name of a kind in the results and in the flag --mix.
const char* CallKindName(CallKind kind);

/// Settings of the generated load.
struct WorkloadOptions {
  std::uint64_t m_seed = 1;
  std::vector<std::string> m_models{"model-a"};
  std::vector<std::string> m_services;
  std::vector<CustomerShare> m_customers;
  std::map<CallKind, double> m_mix;
  /// Mean pause between turns of a chat.
  Duration m_mean_pause = std::chrono::seconds(3);
  int m_turns = 12;            ///< Per chat.
  double m_size_factor = 1.0;  ///< Multiplies the size of generated messages.
  /// Customer that sends half of all calls during a surge.
  std::string m_surge_customer;
};

/// A chat of several turns; each turn sends the history so far.
struct Chat {
  std::string m_id;
  std::string m_customer;
  std::string m_model;
  CallKind m_kind = CallKind::kShort;
  std::vector<standins::ChatMessage> m_messages;
  int m_turns = 0;
  TimePoint m_ready_at{};
};

/// One call to make.
struct PlannedCall {
  CallKind m_kind = CallKind::kShort;
  std::uint64_t m_number = 0;
  std::string m_customer;
  std::string m_model;
  std::shared_ptr<Chat> m_chat;  ///< Null for a single call.
  std::vector<standins::ChatMessage> m_messages;
  int m_response_token_limit = 0;
  bool m_streamed = true;
  std::string m_service;
  std::string m_idempotency_key;
  std::string m_body;
};

/// Generates random calls, reproducibly for a seed.
class Workload {
 public:
  explicit Workload(const WorkloadOptions& options);

  /// @param surge whether a surge is in progress.
  /// @return the next call.
  PlannedCall Next(TimePoint now, bool surge);
  /// @return a call that crashes engines.
  PlannedCall NextCrash();
  /// Adds the response to the history of the call's chat, and makes the chat
  /// idle until its next turn. A chat that has had all its turns is
  /// dropped. Does nothing for a call without a chat.
  /// @param response empty when the call failed.
  void Finish(const PlannedCall& call,
              const std::string& response,
              TimePoint now);

  /// @return a random time from an exponential distribution.
  Duration DrawPause(Duration mean);

 private:
  std::string DrawCustomer(bool surge);
  CallKind DrawKind();
  std::shared_ptr<Chat> SelectChat(CallKind kind,
                                   const std::string& customer,
                                   TimePoint now);
  PlannedCall MakeChatCall(CallKind kind,
                           const std::string& customer,
                           TimePoint now);
  PlannedCall MakeLabelCall(const std::string& customer);
  PlannedCall MakeServiceCall(const std::string& customer);
  std::string DrawText(int min_size, int max_size);
  int DrawNumber(int min_value, int max_value);
  double DrawFraction();

  WorkloadOptions m_options;
  std::mt19937_64 m_random;
  std::uint64_t m_call_count = 0;
  std::uint64_t m_chat_count = 0;
  std::list<std::shared_ptr<Chat>> m_idle_chats;
};

/// @return the JSON body of a chat call.
std::string ChatBody(const PlannedCall& call);

}  // namespace nutmeghollow::load
