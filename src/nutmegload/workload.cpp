#include "nutmegload/workload.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace nutmeghollow::load {
namespace {

constexpr double kNewChatShare = 0.1;
constexpr double kLongPauseShare = 0.2;
constexpr int kLongPauseFactor = 5;
constexpr int kSystemBytes = 800;
constexpr int kServiceBodyBytes = 120;

/// Sizes of the messages and responses of one kind of chat: of the first
/// message and of each further one in bytes, of the responses in tokens.
struct ChatSizes {
  int m_min_first_bytes;
  int m_max_first_bytes;
  int m_min_turn_bytes;
  int m_max_turn_bytes;
  int m_min_response_tokens;
  int m_max_response_tokens;
};

constexpr ChatSizes kLongSizes{6000, 18000, 200, 800, 40, 80};
constexpr ChatSizes kShortSizes{200, 600, 60, 200, 8, 24};

// All chats of a customer share this system message, so that they have a common
// prompt prefix.
std::string SystemText(const std::string& customer) {
  std::string text;
  while (text.size() < kSystemBytes) {
    text += "Instructions of " + customer + ". ";
  }
  return text;
}

}  // namespace

const char* CallKindName(CallKind kind) {
  switch (kind) {
    case CallKind::kLong:
      return "long";
    case CallKind::kShort:
      return "short";
    case CallKind::kLabel:
      return "label";
    case CallKind::kService:
      return "service";
    case CallKind::kCrash:
      return "crash";
    case CallKind::kCount:
      break;
  }
  return "unknown";
}

Workload::Workload(const WorkloadOptions& options)
    : m_options(options), m_random(options.m_seed) {}

PlannedCall Workload::Next(TimePoint now, bool surge) {
  const std::string customer = DrawCustomer(surge);
  const CallKind kind = DrawKind();
  PlannedCall call;
  if (kind == CallKind::kLabel) {
    call = MakeLabelCall(customer);
  } else if (kind == CallKind::kService && !m_options.m_services.empty()) {
    call = MakeServiceCall(customer);
  } else {
    call = MakeChatCall(kind == CallKind::kLong ? kind : CallKind::kShort,
                        customer, now);
  }
  call.m_number = ++m_call_count;
  return call;
}

PlannedCall Workload::NextCrash() {
  PlannedCall call = MakeLabelCall(DrawCustomer(false));
  call.m_kind = CallKind::kCrash;
  call.m_number = ++m_call_count;
  call.m_messages.back().m_content += standins::kCrashMarker;
  return call;
}

void Workload::Finish(const PlannedCall& call,
                      const std::string& response,
                      TimePoint now) {
  if (call.m_chat == nullptr) {
    return;
  }
  if (!response.empty()) {
    call.m_chat->m_messages = call.m_messages;
    call.m_chat->m_messages.push_back({"assistant", response});
    ++call.m_chat->m_turns;
  }
  if (call.m_chat->m_turns >= m_options.m_turns) {
    return;
  }
  const bool is_long_pause = DrawFraction() < kLongPauseShare;
  call.m_chat->m_ready_at =
      now + DrawPause(m_options.m_mean_pause *
                      (is_long_pause ? kLongPauseFactor : 1));
  m_idle_chats.push_back(call.m_chat);
}

Duration Workload::DrawPause(Duration mean) {
  std::exponential_distribution<double> distribution(1.0);
  return std::chrono::duration_cast<Duration>(mean * distribution(m_random));
}

std::string Workload::DrawCustomer(bool surge) {
  if (surge && DrawFraction() < 0.5) {
    return m_options.m_surge_customer;
  }
  double total = 0.0;
  for (const auto& customer : m_options.m_customers) {
    total += customer.m_weight;
  }
  double drawn = DrawFraction() * total;
  for (const auto& customer : m_options.m_customers) {
    drawn -= customer.m_weight;
    if (drawn < 0.0) {
      return customer.m_name;
    }
  }
  return m_options.m_customers.back().m_name;
}

CallKind Workload::DrawKind() {
  double total = 0.0;
  for (const auto& [kind, share] : m_options.m_mix) {
    total += share;
  }
  double drawn = DrawFraction() * total;
  for (const auto& [kind, share] : m_options.m_mix) {
    drawn -= share;
    if (drawn < 0.0) {
      return kind;
    }
  }
  return CallKind::kShort;
}

std::shared_ptr<Chat> Workload::SelectChat(CallKind kind,
                                           const std::string& customer,
                                           TimePoint now) {
  auto idle_chat = std::find_if(m_idle_chats.begin(), m_idle_chats.end(),
                                [&](const std::shared_ptr<Chat>& chat) {
                                  return chat->m_kind == kind &&
                                         chat->m_customer == customer &&
                                         chat->m_ready_at <= now;
                                });
  if (idle_chat != m_idle_chats.end() && DrawFraction() >= kNewChatShare) {
    auto chat = *idle_chat;
    m_idle_chats.erase(idle_chat);
    return chat;
  }
  const ChatSizes& sizes = kind == CallKind::kLong ? kLongSizes : kShortSizes;
  auto chat = std::make_shared<Chat>();
  chat->m_id = "chat-" + std::to_string(m_options.m_seed) + "-" +
               std::to_string(++m_chat_count);
  chat->m_customer = customer;
  chat->m_kind = kind;
  chat->m_model = m_options.m_models[m_chat_count % m_options.m_models.size()];
  chat->m_messages.push_back({"system", SystemText(customer)});
  chat->m_messages.push_back(
      {"user", chat->m_id + " " +
                   DrawText(sizes.m_min_first_bytes, sizes.m_max_first_bytes)});
  chat->m_messages.push_back({"assistant", "Noted."});
  return chat;
}

PlannedCall Workload::MakeChatCall(CallKind kind,
                                   const std::string& customer,
                                   TimePoint now) {
  const ChatSizes& sizes = kind == CallKind::kLong ? kLongSizes : kShortSizes;
  PlannedCall call;
  call.m_kind = kind;
  call.m_customer = customer;
  call.m_chat = SelectChat(kind, customer, now);
  call.m_model = call.m_chat->m_model;
  call.m_messages = call.m_chat->m_messages;
  call.m_messages.push_back(
      {"user", DrawText(sizes.m_min_turn_bytes, sizes.m_max_turn_bytes)});
  call.m_response_token_limit =
      DrawNumber(sizes.m_min_response_tokens, sizes.m_max_response_tokens);
  call.m_body = ChatBody(call);
  return call;
}

PlannedCall Workload::MakeLabelCall(const std::string& customer) {
  PlannedCall call;
  call.m_kind = CallKind::kLabel;
  call.m_customer = customer;
  call.m_model = m_options.m_models.front();
  call.m_streamed = false;
  call.m_messages.push_back({"user", "label " + DrawText(40, 160)});
  call.m_response_token_limit = DrawNumber(3, 8);
  return call;
}

PlannedCall Workload::MakeServiceCall(const std::string& customer) {
  PlannedCall call;
  call.m_kind = CallKind::kService;
  call.m_customer = customer;
  call.m_streamed = false;
  call.m_service =
      m_options.m_services[m_call_count % m_options.m_services.size()];
  call.m_idempotency_key = "key-" + std::to_string(m_options.m_seed) + "-" +
                           std::to_string(m_call_count);
  call.m_body =
      nlohmann::json{{"order", DrawText(kServiceBodyBytes, kServiceBodyBytes)}}
          .dump();
  return call;
}

std::string Workload::DrawText(int min_size, int max_size) {
  constexpr int kAlphabetSize = 26;
  const int size = static_cast<int>(DrawNumber(min_size, max_size) *
                                    m_options.m_size_factor);
  std::string text(std::max(size, 1), ' ');
  for (char& character : text) {
    character = static_cast<char>('a' + m_random() % kAlphabetSize);
  }
  return text;
}

int Workload::DrawNumber(int min_value, int max_value) {
  std::uniform_int_distribution<int> distribution(min_value, max_value);
  return distribution(m_random);
}

double Workload::DrawFraction() {
  std::uniform_real_distribution<double> distribution(0.0, 1.0);
  return distribution(m_random);
}

std::string ChatBody(const PlannedCall& call) {
  auto messages = nlohmann::json::array();
  for (const auto& message : call.m_messages) {
    messages.push_back(
        {{"role", message.m_role}, {"content", message.m_content}});
  }
  return nlohmann::json{{"model", call.m_model},
                        {"messages", messages},
                        {"stream", call.m_streamed},
                        {"max_tokens", call.m_response_token_limit}}
      .dump();
}

}  // namespace nutmeghollow::load
