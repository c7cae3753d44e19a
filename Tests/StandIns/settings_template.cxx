#include "settings_template.h"

#include <algorithm>

namespace daisystile {

namespace {

using nlohmann::json;

/// An entry of a section, or all fields.
struct scope
{
    const json &entry;
    const scope *outer = nullptr;
    std::string key;
    bool last = true;
};

const json *child(const json &value, const std::string &key)
{
    if (value.is_object() && value.contains(key)) {
        return &value.at(key);
    }
    const bool isIndex = !key.empty() && std::all_of(key.begin(), key.end(), [](char c) { return c >= '0' && c <= '9'; });
    return value.is_array() && isIndex && std::stoul(key) < value.size() ? &value.at(std::stoul(key)) : nullptr;
}

const json *find(const json &value, const std::string &name)
{
    const auto dot = name.find('.');
    const auto *found = child(value, name.substr(0, dot));
    return found == nullptr || dot == std::string::npos ? found : find(*found, name.substr(dot + 1));
}

// Null if there is no value.
json lookUp(const scope &names, const std::string &name)
{
    if (name == ".") {
        return names.entry;
    }
    const auto *found = find(names.entry, name);
    if (found != nullptr) {
        return *found;
    }
    return names.outer == nullptr ? json() : lookUp(*names.outer, name);
}

std::string plainText(const json &value)
{
    if (value.is_null()) {
        return "";
    }
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (!value.is_array()) {
        return value.dump();
    }
    std::string all;
    for (const auto &entry : value) {
        all += (&entry == &value.front() ? "" : ",") + plainText(entry);
    }
    return all;
}

std::string placeholderText(const std::string &tag, const scope &names)
{
    constexpr std::string_view asJson = "|json";
    if (tag == "@") {
        return names.key;
    }
    if (tag == ",") {
        return names.last ? "" : ",";
    }
    return tag.ends_with(asJson) ? lookUp(names, tag.substr(0, tag.size() - asJson.size())).dump() : plainText(lookUp(names, tag));
}

std::string render(std::string_view text, const scope &names);

std::string sectionText(bool inverted, const json &value, std::string_view body, const scope &names)
{
    const bool given = !value.is_null() && value != json(false);
    if (inverted) {
        return given ? "" : render(body, names);
    }
    if (!given) {
        return "";
    }
    if (!value.is_structured()) {
        return render(body, {value, &names, names.key, names.last});
    }
    std::string all;
    for (auto entry = value.begin(); entry != value.end(); ++entry) {
        const auto key = value.is_object() ? entry.key() : std::to_string(entry - value.begin());
        all += render(body, {*entry, &names, key, std::next(entry) == value.end()});
    }
    return all;
}

std::string render(std::string_view text, const scope &names)
{
    std::string filled;
    for (;;) {
        const auto start = text.find("{{");
        const auto end = text.find("}}", start);
        if (start == std::string_view::npos || end == std::string_view::npos) {
            return filled + std::string(text);
        }
        filled += text.substr(0, start);
        const std::string tag(text.substr(start + 2, end - start - 2));
        text.remove_prefix(end + 2);
        if (tag.front() != '#' && tag.front() != '^') {
            filled += placeholderText(tag, names);
            continue;
        }
        const auto close = "{{/" + tag.substr(1) + "}}";
        const auto closeAt = text.find(close);
        filled += sectionText(tag.front() == '^', lookUp(names, tag.substr(1)), text.substr(0, closeAt), names);
        text.remove_prefix(closeAt + close.size());
    }
}

} // namespace

std::string fillTemplate(std::string_view text, const json &fields)
{
    return render(text, {.entry = fields});
}

} // namespace daisystile
