#include "lab/stands/answer.h"

#include <nlohmann/json.hpp>

#include "http/writer.h"
#include "json/json_text.h"

namespace bitternmux::lab {
namespace {

constexpr int kEndlessLines = 4096;          // each of some 30 bytes: far beyond what any head may hold
constexpr std::size_t kHugeBytes = 1 << 20;  // sent of the 3 GB: far beyond what any body may hold

const char kNoise[] = "\x16\x03\x01\x02\x00\x01\x00 this is no HTTP\r\n\r\n";

std::string ReportOf(const model::Report& report) {
  return "{\"active\":" + std::to_string(report.inflight) + ",\"waiting\":" + std::to_string(report.queue) +
         "}";
}

}  // namespace

std::string BodyOf(const Made& made, const std::string& server) {
  return JsonText({{"server", server}, {"claim", made.claim}, {"request", made.request}}) + "\n";
}

Made ReadMade(std::string_view body) {
  const auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("claim") || !json["claim"].is_number_unsigned()) return {};
  if (!json.contains("request") || !json["request"].is_string()) return {};
  return {json["claim"].get<model::ClaimId>(), json["request"].get<std::string>()};
}

std::string WriteAnswer(const model::NodeAction& answer, const std::string& body) {
  using model::Spoil;
  http::Headers headers;
  if (answer.spoil == Spoil::kBadReport) {
    headers.emplace_back("Srv-Load", "{\"active\":");
  } else if (answer.has_report) {
    headers.emplace_back("Srv-Load", ReportOf(answer.report));
  }
  if (answer.end == model::ClaimEnd::kDeclined) {
    headers.emplace_back("Srv-Declined", "1");
    return http::WriteResponse(503, headers, "declined\n", true);
  }
  if (answer.end == model::ClaimEnd::kError) return http::WriteResponse(500, headers, "error\n", true);
  const std::string good = http::WriteResponse(200, headers, body, true);
  std::string out = "HTTP/1.1 200 OK\r\n";
  switch (answer.spoil) {
    case Spoil::kNoise:
      return std::string(kNoise, sizeof kNoise - 1);
    case Spoil::kBadHead:
      return out + "this line is no header\r\nContent-Length: 0\r\n\r\n";
    case Spoil::kEndlessHead:
      for (int i = 0; i < kEndlessLines; ++i) out.append("More-Of-It: and so it goes on\r\n");
      return out;
    case Spoil::kBadLength:
      return out + "Content-Length: " + std::to_string(body.size()) +
             "\r\nContent-Length: " + std::to_string(body.size() + 7) + "\r\n\r\n" + body;
    case Spoil::kTooShort:
      return out + "Content-Length: " + std::to_string(body.size() + 100) + "\r\n\r\n" + body;
    case Spoil::kHuge:
      return out + "Content-Length: 3221225472\r\n\r\n" + std::string(kHugeBytes, 'x');
    case Spoil::kTwice:
      return good + good;
    case Spoil::kNoiseBehind:
      return good + std::string(kNoise, sizeof kNoise - 1);
    case Spoil::kInterim:
      return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + good;
    case Spoil::kNone:
    case Spoil::kBadReport:
      break;
  }
  return good;
}

std::string WriteProbeAnswer(const model::NodeAction& answer) {
  if (answer.end != model::ClaimEnd::kServed) return http::WriteResponse(503, {}, {}, true);
  if (!answer.has_report) return http::WriteResponse(200, {}, {}, true);
  const std::string report = ReportOf(answer.report);
  return http::WriteResponse(200, {{"Srv-Load", report}}, report + "\n", true);
}

}  // namespace bitternmux::lab
