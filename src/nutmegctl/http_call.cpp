#include "nutmegctl/http_call.h"

#include <curl/curl.h>

#include <memory>
#include <string_view>

namespace nutmeghollow::ctl {
namespace {

using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using CurlHeaderList =
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

constexpr long kConnectTimeoutMs = 2000;

std::string PercentEncode(CURL* handle, const std::string& text) {
  char* encoded =
      curl_easy_escape(handle, text.c_str(), static_cast<int>(text.size()));
  std::string result = encoded == nullptr ? "" : encoded;
  curl_free(encoded);
  return result;
}

/// Percent-encodes each segment of a path and keeps the slashes.
std::string EncodePath(CURL* handle, const std::string& path) {
  std::string result;
  std::size_t start = 0;
  while (start <= path.size()) {
    const std::size_t slash = std::min(path.find('/', start), path.size());
    result += PercentEncode(handle, path.substr(start, slash - start));
    if (slash < path.size()) {
      result += '/';
    }
    start = slash + 1;
  }
  return result;
}

std::string MakeUrl(CURL* handle, const Target& target, const Call& call) {
  std::string url =
      "http://" + target.m_address + EncodePath(handle, call.m_path);
  char separator = '?';
  for (const auto& [name, value] : call.m_query) {
    url += separator + name + "=" + PercentEncode(handle, value);
    separator = '&';
  }
  return url;
}

std::size_t AppendBody(char* data,
                       std::size_t size,
                       std::size_t count,
                       void* body) {
  static_cast<std::string*>(body)->append(data, size * count);
  return size * count;
}

/// Notes the empty line that ends a head.
std::size_t NoteHeadEnd(char* line,
                        std::size_t size,
                        std::size_t count,
                        void* head_ended) {
  const std::string_view text(line, size * count);
  *static_cast<bool*>(head_ended) = text == "\r\n" || text == "\n";
  return size * count;
}

/// @return true when part of the request may have been sent.
bool MayHaveBeenSent(CURL* handle, CURLcode code) {
  if (code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT) {
    return false;
  }
  double pretransfer_seconds = 0;
  curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME, &pretransfer_seconds);
  return pretransfer_seconds > 0;
}

}  // namespace

CallResult SendCall(const Target& target,
                    const Call& call,
                    const std::vector<std::string>& headers) {
  Handle handle(curl_easy_init(), curl_easy_cleanup);
  CallResult result;
  if (handle == nullptr) {
    result.m_error = "libcurl could not be initialised";
    return result;
  }
  curl_slist* header_list = nullptr;
  header_list = curl_slist_append(
      header_list, ("Authorization: Bearer " + target.m_token).c_str());
  header_list =
      curl_slist_append(header_list, "Content-Type: application/json");
  header_list = curl_slist_append(header_list, "Expect:");
  for (const std::string& header : headers) {
    header_list = curl_slist_append(header_list, header.c_str());
  }
  const CurlHeaderList header_list_owner(header_list, curl_slist_free_all);
  const std::string url = MakeUrl(handle.get(), target, call);
  CURL* curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, header_list);
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call.m_method.c_str());
  if (!call.m_body.empty() || call.m_method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(call.m_body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call.m_body.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(target.m_timeout.count()));
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &result.m_body);
  bool head_ended = false;
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, NoteHeadEnd);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &head_ended);
  const CURLcode code = curl_easy_perform(curl);
  // libcurl reports no error when a connection is closed inside a head.
  result.m_response_received = code == CURLE_OK && head_ended;
  if (!result.m_response_received) {
    result.m_may_have_been_sent = MayHaveBeenSent(curl, code);
    result.m_error = code == CURLE_OK ? "the response ended inside its head"
                                      : curl_easy_strerror(code);
  }
  return result;
}

}  // namespace nutmeghollow::ctl
