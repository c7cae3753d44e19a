#include <Connection/frame_archive.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace daisystile;

namespace {

/// An element that takes much more memory than bytes in a frame, and counts how many of it exist.
struct counted_element
{
    counted_element()
    {
        alive += 1;
        mostAlive = std::max(mostAlive, alive);
    }
    counted_element(counted_element &&) noexcept
        : counted_element()
    {
    }
    counted_element &operator=(counted_element &&) noexcept = default;
    counted_element(const counted_element &) = delete;
    counted_element &operator=(const counted_element &) = delete;
    ~counted_element()
    {
        alive -= 1;
    }

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number);
    }

    static std::size_t alive;
    static std::size_t mostAlive;
    std::uint32_t number = 0;
};

std::size_t counted_element::alive = 0;
std::size_t counted_element::mostAlive = 0;

} // namespace

// A frame of a few megabytes that stated as many elements as it had bytes made the reader allocate some hundred megabytes.
TEST(frame_archive, elementsTakeMemoryOnlyOnceTheyAreRead)
{
    constexpr std::uint32_t stated = 100'000;
    auto frame = encodeFields(stated);
    frame.append(stated, '\0');
    std::vector<counted_element> elements;
    EXPECT_FALSE(decodeFields(frame, elements));
    EXPECT_LT(counted_element::mostAlive, stated);
}

TEST(frame_archive, elementsAreReadBack)
{
    const std::vector<std::string> texts {"", "a", std::string(1000, 'b')};
    std::vector<std::string> read {"before"};
    EXPECT_TRUE(decodeFields(encodeFields(texts), read));
    EXPECT_EQ(read, texts);
    EXPECT_FALSE(decodeFields(encodeFields(texts) + "x", read));
}
