#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace daisystile {

/// Strongly typed wrapper of a T; wrappers with different tags don't convert into each other.
template<class Tag, class T> struct strong_value
{
    using value_type = T;
    T value {};

    auto operator<=>(const strong_value &) const = default;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(value);
    }
};

template<class Tag, class T> std::ostream &operator<<(std::ostream &stream, const strong_value<Tag, T> &id)
{
    return stream << id.value;
}

/// Name of a customer, as in its contract.
using customer_id = strong_value<struct customer_id_tag, std::string>;
/// Name of a service in the catalog.
using service_name = strong_value<struct service_name_tag, std::string>;
/// Name of a failure domain.
using failure_domain_name = strong_value<struct failure_domain_name_tag, std::string>;
/// Name of a region, a group of failure domains.
using region_name = strong_value<struct region_name_tag, std::string>;
/// Name of a backend server, unique over all services.
using backend_server_id = strong_value<struct backend_server_id_tag, std::string>;
/// Name of a daemon, from its settings.
using daemon_id = strong_value<struct daemon_id_tag, std::string>;
/// Number of a daemon's incarnation. Incarnations are successive runs of one daemon; a later one has a larger number.
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;
/// Position of a shard in its service's shard map, from 0.
using shard_index = strong_value<struct shard_index_tag, std::uint32_t>;
/// Name of an index snapshot, as backend servers know it.
using snapshot_id = strong_value<struct snapshot_id_tag, std::string>;
/// Version of a service's shard map; increases with every change.
using shard_map_version = strong_value<struct shard_map_version_tag, std::uint64_t>;
/// Number of a query within one daemon incarnation.
using query_number = strong_value<struct query_number_tag, std::uint64_t>;
/// Number of an attempt at one shard of one query, from 0.
using attempt_number = strong_value<struct attempt_number_tag, std::uint32_t>;
/// Chosen by an operator for one change and repeated when the change is sent again.
using change_id = strong_value<struct change_id_tag, std::string>;
/// Chosen by a caller for one execute request and repeated when the request is sent again.
using idempotency_key = strong_value<struct idempotency_key_tag, std::string>;
/// Version of a contract, a service or the failure-domain states; increases with every change.
using config_version = strong_value<struct config_version_tag, std::uint64_t>;
/// Hash of a request's content, equal for every resend of the request.
using fingerprint = strong_value<struct fingerprint_tag, std::uint64_t>;

} // namespace daisystile

template<class Tag, class T> struct std::hash<daisystile::strong_value<Tag, T>>
{
    std::size_t operator()(const daisystile::strong_value<Tag, T> &id) const noexcept
    {
        return std::hash<T> {}(id.value);
    }
};
