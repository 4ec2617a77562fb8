#include "libnet/stream_end.h"

#include <gtest/gtest.h>

namespace nutmeghollow::net {
namespace {

struct EndCase {
  const char* m_name;
  std::string m_stream;
  bool m_complete;
};

class StreamEnds : public ::testing::TestWithParam<EndCase> {};

/// The result does not depend on how the stream is split into parts.
TEST_P(StreamEnds, AreDetectedForAnyPartSize) {
  const std::string& stream = GetParam().m_stream;
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    StreamEnd end;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      end.Append(std::string_view(stream).substr(at, size));
    }
    EXPECT_EQ(end.Reached(), GetParam().m_complete) << "parts of " << size;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Streams,
    StreamEnds,
    ::testing::Values(
        EndCase{"Whole", "data: {\"a\":1}\n\ndata: [DONE]\n\n", true},
        EndCase{"OnlyMarker", "data: [DONE]\n\n", true},
        EndCase{"CarriageReturns", "data: 1\r\n\r\ndata: [DONE]\r\n\r\n", true},
        EndCase{"NoSpace", "data: 1\n\ndata:[DONE]\n\n", true},
        EndCase{"LineOpen", "data: 1\n\ndata: [DONE]", false},
        EndCase{"Missing", "data: 1\n\ndata: 2\n\n", false},
        EndCase{"InsideText", "data: {\"t\":\"data: [DONE]\"}\n\n", false},
        EndCase{"EndOfText", "data: say data: [DONE]\n\n", false},
        EndCase{"MoreAfter", "data: [DONE]\n\ndata: 1\n\n", false},
        EndCase{"Cut", "data: 1\n\ndata: [DON", false}),
    [](const auto& info) { return info.param.m_name; });

}  // namespace
}  // namespace nutmeghollow::net
