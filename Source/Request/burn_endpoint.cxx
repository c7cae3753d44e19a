#include "burn_endpoint.h"

#include "burn_html.h"
#include "burn_json.h"
#include "burn_text.h"

namespace daisystile {

static constexpr const char *problemType = "application/problem+json";

using render_function = std::string (*)(const burn_report &);

namespace {

struct burn_format
{
    const char *name;
    const char *contentType;
    render_function render;
};

constexpr burn_format formats[] {
    {"json", "application/json", toJson},
    {"text", "text/plain; charset=utf-8", toText},
    {"html", "text/html; charset=utf-8", toHtml},
};

} // namespace

static const burn_format *findFormat(const http_request &request)
{
    const auto asked = request.query.find("format");
    if (asked == request.query.end()) {
        return &formats[0];
    }
    for (const auto &format : formats) {
        if (asked->second == format.name) {
            return &format;
        }
    }
    return nullptr;
}

http_handler burnReportHandler(reactor &loop, burn_report_source fetchReport)
{
    return [&loop, fetchReport = std::move(fetchReport)](const http_request &request, const http_responder &respond) {
        if (request.method != "GET" || !request.path.ends_with("/report/burn")) {
            respond({.status = 404, .body = R"({"title":"no such report"})", .contentType = problemType});
            return;
        }
        const auto *format = findFormat(request);
        if (format == nullptr) {
            respond({.status = 400, .body = R"({"title":"format: expected json, text or html"})", .contentType = problemType});
            return;
        }
        fetchReport([&loop, format, respond](const burn_report &report) {
            http_response response {.body = format->render(report), .contentType = format->contentType};
            loop.post([respond, response = std::move(response)] { respond(response); });
        });
    };
}

} // namespace daisystile
