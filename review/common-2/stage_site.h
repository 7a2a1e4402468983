// What several scripts share: the manifest, and the exit codes.
#pragma once

#include "stage.h"

namespace stage {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

struct route_spec {
  std::string name;
  std::string prefix;
  std::string kind;
  double timeout_s = 1.2;
  std::string service;
};

// Returns a whole manifest, version r1, of routes at host h.example.
inline std::string Manifest(const std::vector<route_spec>& routes,
                            const std::vector<std::string>& services) {
  std::string text = "{\"version\":\"r1\",\"routes\":{";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const route_spec& each = routes[i];
    if (i > 0) text += ",";
    text += "\"" + each.name + "\":{\"host\":\"h.example\",\"pathPrefix\":\"" +
            each.prefix + "\",\"kind\":\"" + each.kind +
            "\",\"timeoutS\":" + std::to_string(each.timeout_s) +
            ",\"aimS\":" + std::to_string(each.timeout_s / 2) +
            ",\"priority\":1,\"service\":\"" + each.service +
            "\",\"maxAttempts\":2}";
  }
  text += "},\"services\":{";
  for (std::size_t i = 0; i < services.size(); ++i) {
    if (i > 0) text += ",";
    text += "\"" + services[i] +
            "\":{\"healthPath\":\"/health\",\"maxConnections\":260,"
            "\"protocol\":\"h1\",\"tls\":false}";
  }
  return text +
         "},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
         "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"baseVersion\":\"r0\"}";
}

// Returns the bytes of one request of a consumer.
inline std::string Request(const std::string& method, const std::string& path,
                           const std::string& id, int deadline_ms,
                           const std::string& body) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Returns whether the consumer's side of a connection shows that the node has
// closed it, or has sent something unasked.
inline bool HasEnded(int fd) {
  pollfd wait{.fd = fd, .events = POLLIN, .revents = 0};
  return ::poll(&wait, 1, 0) > 0;
}

}  // namespace stage
