#pragma once

#include <Version/version.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

/// One daemon's report of a member's state. Reports are ordered by incarnation, then by refutation, then by severity of the
/// state; the greatest one wins.
struct member_update
{
    member subject;
    /// Incremented by the member itself to refute a false suspicion within one incarnation.
    std::uint32_t refutation = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(subject, refutation);
    }
};

/// Digest of the known state of one failure domain's members; equal digests need no synchronization.
struct domain_digest
{
    failure_domain_name domain;
    std::uint64_t digest = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(domain, digest);
    }
};

/// Probes one daemon; a different daemon that listens at the address does not answer.
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

/// Asks the receiver to probe a daemon on the sender's behalf and to forward the answer.
struct indirect_probe
{
    std::uint64_t number = 0;
    daemon_id target;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number, target);
    }
};

/// Requests the known members of one failure domain; an empty name requests those of the whole fleet.
struct table_request
{
    failure_domain_name domain;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(domain);
    }
};

/// Answers a table_request; the datagram's updates carry the members.
struct table_part
{
    template<class Archive> void serialize(Archive &)
    {
    }
};

/// An owner's request for leases, sent to the runner-up of each server.
struct lease_request
{
    std::uint64_t number = 0;
    /// Leases that the sender holds and wants to keep.
    std::vector<backend_server_id> renewed;
    /// Leases that the sender does not hold yet.
    std::vector<backend_server_id> wanted;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number, renewed, wanted);
    }
};

/// State of a server that its previous owner hands over to the new one.
struct server_handover
{
    backend_server_id server;
    /// Concurrency limit that the previous owner had established for the server; 0 when unknown.
    std::uint16_t allowed = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(server, allowed);
    }
};

/// Grants leases whose duration counts from the sending of the request; servers that are not listed are refused.
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

/// The sender releases its leases and sends no further requests to these servers.
struct lease_release
{
    /// From the same sequence as the sender's lease requests; the release does not apply to grants of later requests.
    std::uint64_t number = 0;
    std::vector<server_handover> servers;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number, servers);
    }
};

/// Asks for the version of the receiver's configuration; answered by a config_digest.
struct config_question
{
    template<class Archive> void serialize(Archive &)
    {
    }
};

/// All messages that daemons exchange over UDP. New alternatives are appended, because the index is part of the encoding.
using control_message =
    std::variant<probe, probe_answer, indirect_probe, table_request, table_part, lease_request, lease_answer, lease_release, config_digest, config_question>;

/// One datagram between daemons.
struct control_datagram
{
    daemon_id sender;
    incarnation incarnationNumber;
    std::vector<member_update> updates;
    std::vector<domain_digest> digests;
    control_message message;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(sender, incarnationNumber, updates, digests, message);
    }
};

} // namespace daisystile
