#include "nutmegctl/http_call.h"

#include <curl/curl.h>

#include <memory>

namespace nutmeghollow::ctl {
namespace {

using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderLines = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

constexpr long kConnectTimeoutMs = 2000;

std::string Encode(CURL* handle, const std::string& text) {
  char* encoded =
      curl_easy_escape(handle, text.c_str(), static_cast<int>(text.size()));
  std::string result = encoded == nullptr ? "" : encoded;
  curl_free(encoded);
  return result;
}

/// Encodes each segment of a path and keeps the slashes.
std::string EncodePath(CURL* handle, const std::string& path) {
  std::string result;
  std::size_t start = 0;
  while (start <= path.size()) {
    const std::size_t slash = std::min(path.find('/', start), path.size());
    result += Encode(handle, path.substr(start, slash - start));
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
    url += separator + name + "=" + Encode(handle, value);
    separator = '&';
  }
  return url;
}

std::size_t Append(char* data, std::size_t size, std::size_t count, void* to) {
  static_cast<std::string*>(to)->append(data, size * count);
  return size * count;
}

/// @return true when the request may have left this process.
bool MayHaveBeenSent(CURL* handle, CURLcode code) {
  if (code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT) {
    return false;
  }
  double connect_seconds = 0;
  curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME, &connect_seconds);
  return connect_seconds > 0;
}

}  // namespace

CallEnd SendCall(const Target& target,
                 const Call& call,
                 const std::vector<std::string>& headers) {
  Handle handle(curl_easy_init(), curl_easy_cleanup);
  CallEnd end;
  if (handle == nullptr) {
    end.m_error = "libcurl could not be initialised";
    return end;
  }
  curl_slist* lines = nullptr;
  lines = curl_slist_append(
      lines, ("Authorization: Bearer " + target.m_token).c_str());
  lines = curl_slist_append(lines, "Content-Type: application/json");
  lines = curl_slist_append(lines, "Expect:");
  for (const std::string& header : headers) {
    lines = curl_slist_append(lines, header.c_str());
  }
  const HeaderLines owner(lines, curl_slist_free_all);
  const std::string url = MakeUrl(handle.get(), target, call);
  CURL* curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, lines);
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call.m_method.c_str());
  if (!call.m_body.empty() || call.m_method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(call.m_body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call.m_body.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(target.m_timeout.count()));
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, Append);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &end.m_body);
  const CURLcode code = curl_easy_perform(curl);
  end.m_answered = code == CURLE_OK;
  if (!end.m_answered) {
    end.m_may_have_been_sent = MayHaveBeenSent(curl, code);
    end.m_error = curl_easy_strerror(code);
  }
  return end;
}

}  // namespace nutmeghollow::ctl
