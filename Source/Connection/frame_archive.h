#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace daisystile {

static_assert(std::endian::native == std::endian::little, "frames encode numbers in little-endian order");

/// Serializes cereal types directly to a string, without a stream.
class frame_output_archive : public cereal::OutputArchive<frame_output_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit frame_output_archive(std::string &target)
        : cereal::OutputArchive<frame_output_archive, cereal::AllowEmptyClassElision>(this),
          m_target(target)
    {
    }

    void write(const void *data, std::size_t size)
    {
        m_target.append(static_cast<const char *>(data), size);
    }

private:
    std::string &m_target;
};

/// Deserializes cereal types from a byte view. A length that exceeds the remaining bytes is rejected before any
/// allocation. Throws cereal::Exception.
class frame_input_archive : public cereal::InputArchive<frame_input_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit frame_input_archive(std::string_view bytes)
        : cereal::InputArchive<frame_input_archive, cereal::AllowEmptyClassElision>(this),
          m_bytes(bytes)
    {
    }

    void read(void *data, std::size_t size)
    {
        require(size);
        if (size > 0) {
            std::memcpy(data, m_bytes.data(), size);
        }
        m_bytes.remove_prefix(size);
    }

    void require(std::uint64_t size) const
    {
        if (size > m_bytes.size()) {
            throw cereal::Exception("frame ends early");
        }
    }

    bool atEnd() const
    {
        return m_bytes.empty();
    }

private:
    std::string_view m_bytes;
};

template<class T> inline std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(frame_output_archive &archive, const T &value)
{
    archive.write(&value, sizeof value);
}

template<class T> inline std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(frame_input_archive &archive, T &value)
{
    archive.read(&value, sizeof value);
}

template<class Archive, class T>
inline CEREAL_ARCHIVE_RESTRICT(frame_input_archive, frame_output_archive) CEREAL_SERIALIZE_FUNCTION_NAME(Archive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T> inline void CEREAL_SAVE_FUNCTION_NAME(frame_output_archive &archive, const cereal::SizeTag<T> &tag)
{
    const auto size = static_cast<std::uint32_t>(tag.size);
    archive.write(&size, sizeof size);
}

template<class T> inline void CEREAL_LOAD_FUNCTION_NAME(frame_input_archive &archive, cereal::SizeTag<T> &tag)
{
    std::uint32_t size = 0;
    archive.read(&size, sizeof size);
    archive.require(size);
    tag.size = size;
}

// A frame may state more elements than it has, so each takes memory only once it is read.
template<class T> inline std::enable_if_t<!std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(frame_input_archive &archive, std::vector<T> &elements)
{
    cereal::size_type count = 0;
    archive(cereal::make_size_tag(count));
    elements.clear();
    for (; count > 0; --count) {
        archive(elements.emplace_back());
    }
}

template<class T> inline void CEREAL_SAVE_FUNCTION_NAME(frame_output_archive &archive, const cereal::BinaryData<T> &data)
{
    archive.write(data.data, static_cast<std::size_t>(data.size));
}

template<class T> inline void CEREAL_LOAD_FUNCTION_NAME(frame_input_archive &archive, cereal::BinaryData<T> &data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

/// Serializes the fields in order.
template<class... Fields> std::string encodeFields(const Fields &...fields)
{
    std::string bytes;
    frame_output_archive archive(bytes);
    archive(fields...);
    return bytes;
}

/// Returns false when the bytes do not match the fields exactly; some fields may have been assigned then.
template<class... Fields> bool decodeFields(std::string_view bytes, Fields &...fields)
{
    try {
        frame_input_archive archive(bytes);
        archive(fields...);
        return archive.atEnd();
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace daisystile

CEREAL_REGISTER_ARCHIVE(daisystile::frame_output_archive)
CEREAL_REGISTER_ARCHIVE(daisystile::frame_input_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(daisystile::frame_input_archive, daisystile::frame_output_archive)
