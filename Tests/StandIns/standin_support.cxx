#include "standin_support.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sys/signalfd.h>
#include <unistd.h>

namespace daisystile {

static sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void blockStopSignals()
{
    const auto signals = stopSignals();
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
}

void runUntilStopSignal(reactor &loop)
{
    const auto signals = stopSignals();
    const int handle = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    loop.watch(handle, {.read = true}, [&loop] { loop.stop(); });
    loop.run();
    loop.unwatch(handle);
    close(handle);
}

std::optional<nlohmann::json> parseJson(const std::string &text)
{
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_discarded()) {
        return std::nullopt;
    }
    return parsed;
}

http_response jsonResponse(const nlohmann::json &body, int status)
{
    return {.status = status, .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

http_response problemResponse(int status, const std::string &title, const std::string &outcome)
{
    nlohmann::json body {{"title", title}, {"status", status}};
    if (!outcome.empty()) {
        body["outcome"] = outcome;
    }
    auto response = jsonResponse(body, status);
    response.contentType = "application/problem+json";
    return response;
}

http_response dropConnectionResponse()
{
    return {.dropConnection = true};
}

http_handler handleJsonErrors(std::function<http_response(const http_request &)> handle)
{
    return [handle = std::move(handle)](const http_request &request, const http_responder &respond) {
        try {
            respond(handle(request));
        } catch (const nlohmann::json::exception &error) {
            respond(problemResponse(400, error.what()));
        }
    };
}

std::unique_ptr<http_server> listenOrExit(reactor &loop, const std::string &address, http_handler handler, http_server_limits limits)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::unique_ptr<http_server>> {
            BOOST_LEAF_AUTO(parsed, parseIpAddress(address));
            return http_server::listen(loop, parsed, std::move(handler), limits);
        },
        [&](const process_error &) -> std::unique_ptr<http_server> {
            std::fprintf(stderr, "cannot listen on %s\n", address.c_str());
            std::exit(2);
        },
        [&]() -> std::unique_ptr<http_server> { std::exit(2); });
}

} // namespace daisystile
