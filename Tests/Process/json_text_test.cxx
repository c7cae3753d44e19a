#include <Process/process.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace daisystile;

namespace {

std::string nestedArrays(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::size_t elementsOf(std::string_view text)
{
    const auto elements = splitJsonArray(text);
    return elements ? elements->size() : 0;
}

} // namespace

TEST(json_text, splitsWithoutParsingTheValues)
{
    const auto members = splitJsonObject(R"( {"a" : {"b":"}]\"", "c":[1,{}]} , "d":1e999,"e":"\ud800","a2":nul} )");
    ASSERT_TRUE(members);
    EXPECT_EQ(members->size(), 4U);
    EXPECT_EQ(members->at("a"), R"({"b":"}]\"", "c":[1,{}]})");
    EXPECT_EQ(members->at("d"), "1e999");
    EXPECT_EQ(members->at("e"), R"("\ud800")");
    EXPECT_EQ(members->at("a2"), "nul");
    EXPECT_EQ(splitJsonArray(R"([[1,2],"x,y", {"z":0}])"), (std::vector<std::string_view> {"[1,2]", R"("x,y")", R"({"z":0})"}));
    EXPECT_TRUE(splitJsonObject("{}")->empty());
    EXPECT_TRUE(splitJsonArray(" [ ] ")->empty());
}

TEST(json_text, splitsNothingThatEndsEarlyOrIsOfAnotherType)
{
    for (const auto *text : {"",
             " ",
             "{",
             R"({"a")",
             R"({"a":)",
             R"({"a":1)",
             R"({"a":1,)",
             R"({"a":1,})",
             R"({"a":"x)",
             R"({"a":"\)",
             R"({"a":{"b":1})",
             R"({a:1})",
             R"({"a" 1})",
             "[]",
             "{}{}",
             "null",
             "}",
             R"({"a":"\"})"}) {
        EXPECT_FALSE(splitJsonObject(text)) << text;
    }
    for (const auto *text : {"", "[", "[1", "[1,", "[1,]", "[,1]", "[[1]", R"(["x)", R"(["\)", "{}", "[1 2]", "[]]", "]"}) {
        EXPECT_FALSE(splitJsonArray(text)) << text;
    }
}

TEST(json_text, deepNestingCostsNoStack)
{
    constexpr std::size_t levels = 1'000'000;
    EXPECT_EQ(elementsOf("[1," + nestedArrays(levels) + "]"), 2U);
    EXPECT_TRUE(parseForeignJson(nestedArrays(levels)).is_discarded());
    EXPECT_TRUE(parseForeignJson(nestedArrays(maxJsonNesting + 1)).is_discarded());
    EXPECT_TRUE(parseForeignJson(nestedArrays(maxJsonNesting)).is_array());
    EXPECT_TRUE(parseForeignJson(R"(["]]]]\"[[[[", ")" + std::string(levels, '[') + R"("])").is_array()) << "brackets within strings don't nest";
}

TEST(json_text, malformedTextIsDiscarded)
{
    for (const auto *text : {"", "{", R"("\ud800")", "1e999", "\"\xff\"", "]]]]", "{}x"}) {
        EXPECT_TRUE(parseForeignJson(text).is_discarded()) << text;
    }
}
