#include "nutmegd/settings.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <fstream>

namespace nutmeghollow {
namespace {

/// A temporary key file; its destructor removes it.
class KeyFile {
 public:
  explicit KeyFile(const std::string& content) {
    const int descriptor = mkstemp(m_path.data());
    EXPECT_GE(descriptor, 0);
    close(descriptor);
    std::ofstream(m_path) << content;
  }
  ~KeyFile() { unlink(m_path.c_str()); }
  KeyFile(const KeyFile&) = delete;
  KeyFile& operator=(const KeyFile&) = delete;

  std::string m_path = "/tmp/nutmeg-key-XXXXXX";
};

std::string ValidSettings(const std::string& key_file) {
  return "[instance]\nid = \"i1\"\ndata_centre = \"utrecht-a\"\n"
         "region = \"nl-midden\"\ncaller_address = \"127.0.0.1:1\"\n"
         "operator_address = \"127.0.0.1:2\"\n"
         "peer_address = \"127.0.0.1:3\"\n"
         "[platform]\naddress = \"127.0.0.1:4\"\n"
         "[fleet]\nkey_file = \"" +
         key_file + "\"\n";
}

std::vector<std::string> FindingsOf(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::vector<std::string>> {
        BOOST_LEAF_CHECK(ParseSettings(text, "f"));
        return std::vector<std::string>();
      },
      [](const SettingsFindings& error) {
        std::vector<std::string> lines;
        for (const SettingsFinding& finding : error.m_findings) {
          lines.push_back(FormatFinding(finding));
        }
        return lines;
      },
      [] { return std::vector<std::string>{"another error"}; });
}

TEST(Settings, AcceptsAValidFileAndKeepsDefaults) {
  const KeyFile key(std::string(64, 'a'));
  const auto settings = ParseSettings(ValidSettings(key.m_path), "f");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->m_instance.m_id, InstanceId("i1"));
  EXPECT_EQ(settings->m_instance.m_advertised_peer_address,
            Endpoint("127.0.0.1:3"));
  EXPECT_EQ(settings->m_drain.m_keep, std::chrono::seconds(10));
  EXPECT_EQ(settings->m_fleet.m_keys.m_keys.size(), 1U);
}

TEST(Settings, NeedsNoFleetKeyForAGateway) {
  std::string text = ValidSettings("");
  text.resize(text.find("[fleet]"));
  text +=
      "[gateway]\nentry_address = \"127.0.0.1:5\"\nstop_grace_seconds = 8\n"
      "retry_ratio = 0.25\nconfiguration_limit_ms = 2000\n"
      "registration_limit_ms = 4000\n[callers]\nbody_memory_share = 0.5\n";
  text.insert(text.find("[platform]"), "memory_mb = 160\n");
  const auto settings = ParseSettings(text, "f");
  ASSERT_TRUE(settings);
  EXPECT_TRUE(settings->m_gateway.m_enabled);
  EXPECT_EQ(settings->m_gateway.m_stop_grace, std::chrono::seconds(8));
  EXPECT_DOUBLE_EQ(settings->m_gateway.m_retry_ratio, 0.25);
  EXPECT_EQ(settings->m_gateway.m_configuration_limit, std::chrono::seconds(2));
  EXPECT_EQ(settings->m_gateway.m_registration_limit, std::chrono::seconds(4));
  EXPECT_EQ(settings->m_instance.m_memory_mb, 160);
  EXPECT_DOUBLE_EQ(settings->m_callers.m_body_memory_share, 0.5);
}

TEST(Settings, ReportsInvalidGatewaySettings) {
  std::string text = ValidSettings("");
  text.resize(text.find("[fleet]"));
  text += "[gateway]\nretry_ratio = \"much\"\nkeep_seconds = 0\n";
  const std::vector<std::string> expected{
      "f:0: gateway.entry_address: is required",
      "f:11: gateway.retry_ratio: must be a number from 0 to 1000000",
      "f:12: gateway.keep_seconds: must be a whole number from 1 to 3600"};
  EXPECT_EQ(FindingsOf(text), expected);
}

constexpr const char* kIsolationFinding =
    "f:12: fleet.isolation_limit_ms: must be a whole number from 1 to "
    "86400000";
constexpr const char* kPolicyFinding =
    "f:17: placement.policy: must be one of bounded, least_loaded, "
    "local_only, random, two_choices";

struct FindingCase {
  const char* m_name;
  std::string m_appended;
  std::vector<std::string> m_findings;
};

class SettingsFindingCases : public testing::TestWithParam<FindingCase> {};

TEST_P(SettingsFindingCases, Reported) {
  const KeyFile key(std::string(64, 'a'));
  EXPECT_EQ(FindingsOf(ValidSettings(key.m_path) + GetParam().m_appended),
            GetParam().m_findings);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    SettingsFindingCases,
    testing::Values(
        FindingCase{"None", "", {}},
        FindingCase{
            "FiveMistakes",
            "isolation_limit_ms = 0\n[drain]\nkeep_ms = \"ten\"\n"
            "keep = 1\n[placement]\npolicy = \"best\"\n[ops]\n",
            {kIsolationFinding,
             "f:14: drain.keep_ms: must be a whole number from 1 to 86400000",
             "f:15: drain.keep: unknown key", kPolicyFinding,
             "f:18: ops: unknown section"}},
        FindingCase{"BadOperatorDigest",
                    "[operators]\nanna = \"secret\"\n",
                    {"f:13: operators.anna: must be a SHA-256 in hex"}},
        FindingCase{"BadShareOfMemory",
                    "[callers]\nbody_memory_share = 1.0\n",
                    {"f:13: callers.body_memory_share: must be a number from "
                     "0.01 to 0.9"}},
        FindingCase{"BadLevel",
                    "[log]\nlevel = \"loud\"\n",
                    {"f:13: log.level: must be debug, info, warning or "
                     "error"}}),
    [](const auto& test) { return test.param.m_name; });

TEST(Settings, ReportsABadAddressOnce) {
  const KeyFile key(std::string(64, 'a'));
  std::string text = ValidSettings(key.m_path);
  text.replace(text.find("127.0.0.1:1"), 11, "localhost:1");
  EXPECT_EQ(FindingsOf(text),
            std::vector<std::string>{
                "f:5: instance.caller_address: must be \"IP:PORT\""});
}

TEST(Settings, ReportsEveryMissingKey) {
  EXPECT_EQ(FindingsOf("").size(), 8U);
}

TEST(Settings, ReportsAKeyFileThatIsTooShort) {
  const KeyFile key("abc");
  EXPECT_EQ(FindingsOf(ValidSettings(key.m_path)),
            std::vector<std::string>{
                "f:11: fleet.key_file: line 1 of the file: odd number of hex "
                "digits"});
}

}  // namespace
}  // namespace nutmeghollow
