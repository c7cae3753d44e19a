#pragma once

#include <platform/platform.h>
#include <Process/process.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisystile {

/// Identifies a delegated query on the connection between two daemons; assigned by the daemon that delegates.
using delegation_id = std::uint64_t;

/// Asks the other daemon whether it takes a query. Nothing runs before the query itself is sent.
struct query_offer
{
    delegation_id delegation = 0;
    /// Version of the configuration by which the query was routed.
    std::uint64_t configurationVersion = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(delegation, configurationVersion);
    }
};

struct offer_reply
{
    delegation_id delegation = 0;
    bool accepted = false;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(delegation, accepted);
    }
};

struct delegated_header
{
    std::string name;
    std::string value;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(name, value);
    }
};

/// A client's request as received, sent after its offer was accepted.
struct delegated_query
{
    delegation_id delegation = 0;
    std::uint64_t configurationVersion = 0;
    std::string method;
    std::string target;
    std::vector<delegated_header> headers;
    std::string body;
    /// Positions of the shards to query, in the route's list; empty for the whole query.
    std::vector<std::uint32_t> shards;
    /// Time that the client still waits.
    std::int64_t timeLeftMs = 0;
    /// Time until an incomplete answer is better than a late one.
    std::int64_t answerWithinMs = 0;
    /// The client account, which the daemon that delegates has found by its key; empty if there is none.
    std::string account;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(delegation, configurationVersion, method, target, headers, body, shards, timeLeftMs, answerWithinMs, account);
    }
};

/// The offer or the query is withdrawn.
struct delegation_cancelled
{
    delegation_id delegation = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(delegation);
    }
};

/// The merged answer.
struct delegated_answer
{
    delegation_id delegation = 0;
    /// Positions of the shards that have answered, in the route's list, and their signatures.
    std::vector<std::uint32_t> shards;
    std::vector<std::string> signatures;
    std::uint64_t missingParts = 0;
    std::string records;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(delegation, shards, signatures, missingParts, records);
    }
};

/// The query was refused or has failed, as the status tells.
struct delegated_failure
{
    delegation_id delegation = 0;
    std::int32_t status = 0;
    /// Time after which the client may retry; negative if there is none.
    std::int64_t retryAfterMs = -1;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(delegation, status, retryAfterMs);
    }
};

/// A daemon's tokens of one client account.
struct account_tokens
{
    std::string account;
    std::uint32_t arrived = 0;
    std::uint32_t held = 0;
    std::uint32_t wanted = 0;
    std::uint32_t waiting = 0;
    std::uint32_t givenBack = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(account, arrived, held, wanted, waiting, givenBack);
    }
};

/// Asks a keeper for tokens of accounts' quotas.
struct tokens_question
{
    /// The asking daemon's clock.
    std::int64_t askedAtUs = 0;
    std::vector<account_tokens> accounts;
    /// It holds no token of this keeper any more and asks for none.
    bool dropped = false;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(askedAtUs, accounts, dropped);
    }
};

struct granted_tokens
{
    std::string account;
    std::uint32_t tokens = 0;
    /// Time until there are more, if there were fewer than were asked for.
    std::int64_t retryAfterMs = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(account, tokens, retryAfterMs);
    }
};

struct tokens_answer
{
    std::int64_t askedAtUs = 0;
    /// How long the tokens may be used after the question was asked; 0 if the keeper has no claim on any quota now, below 0 if it is
    /// leaving and wants its tokens dropped.
    std::int64_t validForUs = 0;
    std::vector<granted_tokens> accounts;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(askedAtUs, validForUs, accounts);
    }
};

using delegation_message =
    std::variant<query_offer, offer_reply, delegated_query, delegation_cancelled, delegated_answer, delegated_failure, tokens_question, tokens_answer>;

std::string encodeDelegation(const delegation_message &message);
/// Errors: connection_error{frame_malformed}.
leaf::result<delegation_message> decodeDelegation(std::string_view bytes);

delegated_query makeDelegatedQuery(delegation_id delegation, routing_version version, const request_message &message);
request_message toRequestMessage(delegated_query query);

} // namespace daisystile
