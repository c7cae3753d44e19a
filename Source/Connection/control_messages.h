#pragma once

#include <Version/version.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

/// What one daemon tells of another. A larger life beats a smaller, then a larger refutation, then the graver state.
struct member_update
{
    member about;
    /// Counted up by the member itself to contradict a false suspicion within one life.
    std::uint32_t refutation = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(about, refutation);
    }
};

/// Sum over all that is known of one failure domain's members; equal sums need no exchange.
struct domain_digest
{
    failure_domain_name domain;
    std::uint64_t digest = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(domain, digest);
    }
};

/// Asks one daemon for a sign of life; another daemon's life at the address does not answer.
struct probe
{
    std::uint64_t number = 0;
    daemon_id target;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number, target);
    }
};

struct probe_answer
{
    std::uint64_t number = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number);
    }
};

/// Asks the receiver to probe a daemon on the sender's behalf and to pass the answer on.
struct indirect_probe
{
    std::uint64_t number = 0;
    daemon_id target;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number, target);
    }
};

/// Asks for all that is known of one failure domain; an empty name asks for the whole fleet.
struct table_request
{
    failure_domain_name domain;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(domain);
    }
};

/// Answers a table_request; the members travel in the datagram's updates.
struct table_part
{
    template<class Archive> void serialize(Archive &)
    {
    }
};

/// An owner's request for leases on servers to the runner-up of each.
struct lease_request
{
    std::uint64_t number = 0;
    /// Leases that the sender holds and wants to keep.
    std::vector<backend_server_id> renewed;
    /// Leases that it does not hold yet.
    std::vector<backend_server_id> wanted;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number, renewed, wanted);
    }
};

/// What a new owner is told of a server by the daemon that served it until now.
struct server_handover
{
    backend_server_id server;
    /// Requests at a time that the server was known to bear; 0 when unknown.
    std::uint16_t allowed = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(server, allowed);
    }
};

/// Grants leases for a time that counts from the sending of the request; servers not named are refused.
struct lease_answer
{
    std::uint64_t number = 0;
    std::uint32_t leaseMs = 0;
    std::vector<server_handover> granted;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number, leaseMs, granted);
    }
};

/// The sender gives its leases up and sends nothing more to these servers.
struct lease_release
{
    /// From the same sequence as the sender's requests: later ones are not meant.
    std::uint64_t number = 0;
    std::vector<server_handover> servers;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number, servers);
    }
};

/// Asks how new the receiver's configuration is; a config_digest answers.
struct config_question
{
    template<class Archive> void serialize(Archive &)
    {
    }
};

/// Everything that daemons say over UDP; new kinds go to the end.
using control_message =
    std::variant<probe, probe_answer, indirect_probe, table_request, table_part, lease_request, lease_answer, lease_release, config_digest, config_question>;

/// One datagram between daemons.
struct control_datagram
{
    daemon_id sender;
    incarnation life;
    std::vector<member_update> updates;
    std::vector<domain_digest> digests;
    control_message message;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(sender, life, updates, digests, message);
    }
};

} // namespace daisystile
