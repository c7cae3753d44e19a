#include <platform/platform.h>
#include <platform/platform_replies.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

using namespace daisystile;

// Splitting finds the members of every object that the JSON library can parse. The library takes a NUL for the end of a text,
// which it isn't.
static void compareWithParser(std::string_view text)
{
    if (text.find('\0') != std::string_view::npos) {
        return;
    }
    const auto parsed = parseForeignJson(text);
    const auto members = splitJsonObject(text);
    if (!parsed.is_object()) {
        return;
    }
    if (!members) {
        std::abort();
    }
    for (const auto &[name, value] : *members) {
        const auto found = parsed.find(std::string(name));
        if (found == parsed.end() || *found != nlohmann::json::parse(value)) {
            std::abort();
        }
    }
}

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const http_reply reply {.status = 200, .body = std::string(reinterpret_cast<const char *>(data), size)};
    const auto skip = [](std::string_view) {
    };
    const object_kind kind {.name = "servers"};
    compareWithParser(reply.body);
    const auto page = parsePageReply(kind, reply, skip);
    if (const auto *read = std::get_if<list_page>(&page)) {
        for (const auto &object : read->list.objects) {
            static_cast<void>(readServerEntry({object.key}, object.value));
        }
    }
    static_cast<void>(parseWatchReply(kind, reply, skip));
    static_cast<void>(parseObjectReply(kind, reply));
    static_cast<void>(readRoutingConfiguration(reply.body));
    return 0;
}
