/**
 * Error codes. All errors are negative numbers from this table; each has a stable name (used in
 * logs, counters and responses) and a human-readable text. Zero is success.
 */
#ifndef TEALSPAR_ERROR_H
#define TEALSPAR_ERROR_H

/* X(symbol, number, name, text) */
#define TS_ERROR_TABLE(X)                                                                          \
    X(TS_E_ARGUMENT, -1, "bad_argument", "invalid command-line argument")                          \
    X(TS_E_FILE, -2, "file", "cannot read a file")                                                 \
    X(TS_E_SYNTAX, -3, "syntax", "the document does not match its schema")                         \
    X(TS_E_INVALID, -4, "invalid", "the document is inconsistent or a value is out of range")      \
    X(TS_E_ADDRESS, -5, "address", "the address is not an IP address with a port")                 \
    X(TS_E_LISTEN, -6, "listen", "cannot listen on the address")                                   \
    X(TS_E_LIMIT, -7, "limit", "an operating system limit is too low")                             \
    X(TS_E_STALE_VERSION, -8, "stale_version", "the document is older than the accepted version")  \
    X(TS_E_VERSION_CLASH, -9, "version_clash", "two different documents have the same version")    \
    X(TS_E_BAD_REQUEST, -20, "bad_request", "malformed request")                                   \
    X(TS_E_TOO_LARGE, -21, "too_large", "the request exceeds a size limit")                        \
    X(TS_E_HEAD_TOO_LARGE, -30, "head_too_large", "the message head exceeds its size limit")       \
    X(TS_E_HEAD_TIMEOUT, -31, "head_timeout", "the request head was not received in time")         \
    X(TS_E_UNKNOWN_KIND, -22, "unknown_kind", "no selector is declared for this query kind")       \
    X(TS_E_NOT_FOUND, -23, "not_found", "resource not found")                                      \
    X(TS_E_METHOD, -24, "method", "method not allowed for this resource")                          \
    X(TS_E_PAST_DEADLINE, -25, "past_deadline", "the deadline expired before processing started")  \
    X(TS_E_OVERLOAD, -26, "overload", "the admission limit has been reached")                      \
    X(TS_E_NOT_READY, -27, "not_ready", "no configuration has been applied yet")                   \
    X(TS_E_STOPPING, -28, "stopping", "this node is shutting down")                                \
    X(TS_E_ID_REUSED, -29, "id_reused", "the request id was already used for another request")     \
    X(TS_E_NO_REPLICA, -40, "no_replica", "no live replica has the shard")                         \
    X(TS_E_NOT_OWNER, -41, "not_owner", "the node does not own the backend")                       \
    X(TS_E_QUEUE_FULL, -42, "queue_full", "the queue of the backend is full")                      \
    X(TS_E_CANNOT_FINISH, -43, "cannot_finish", "the queue is too long to meet the deadline")      \
    X(TS_E_DRAINING, -44, "draining", "the backend is draining")                                   \
    X(TS_E_SHEDDING, -45, "shedding", "the backend rejected the request")                          \
    X(TS_E_CONNECT, -46, "connect", "cannot connect to the backend")                               \
    X(TS_E_IO, -47, "io", "the connection failed, possibly after the request was sent")            \
    X(TS_E_BAD_ANSWER, -48, "bad_answer", "cannot parse the response of the backend")              \
    X(TS_E_WRONG_SHARD, -49, "wrong_shard", "the backend does not have the shard")                 \
    X(TS_E_DEADLINE, -50, "deadline", "the deadline expired during processing")                    \
    X(TS_E_CANCELLED, -51, "cancelled", "the request was cancelled")                               \
    X(TS_E_PEER_LOST, -52, "peer_lost", "the connection to another node was lost")                 \
    X(TS_E_SNAPSHOT, -53, "snapshot", "the backend does not serve the requested snapshot")         \
    X(TS_E_COVERAGE, -54, "coverage_below_least", "too few shards answered in time")               \
    X(TS_E_OWNER_CHANGED, -55, "owner_changed", "a previous owner may have executed the request")  \
    X(TS_E_NO_QUORUM, -56, "no_quorum", "the node cannot reach a majority of its zone")            \
    X(TS_E_PLACEMENT, -57, "not_permitted", "no backend in the regions allowed for the request")   \
    X(TS_E_UNAUTHENTICATED, -70, "unauthenticated", "missing or unknown API key")                  \
    X(TS_E_QUOTA, -71, "over_quota", "the tenant exceeded its fleet-wide rate limit")              \
    X(TS_E_UNCONFIRMED, -72, "unconfirmed",                                                        \
      "the API keys were not confirmed within the allowed time")                                   \
    X(TS_E_QUARANTINED, -73, "quarantined", "backends terminated while executing such requests")   \
    X(TS_E_ON_TRIAL, -74, "on_trial", "a trial of a request with this digest is in progress")      \
    X(TS_E_BACK_ENDS_ENDED, -75, "back_ends_ended",                                                \
      "backends that executed the request terminated")                                             \
    X(TS_E_PROTOCOL, -60, "protocol", "cannot parse a message from another node")

#define TS_ERROR_ENUM(symbol, number, name, text) symbol = (number),
/** `TS_OK` or one of the negative numbers of `TS_ERROR_TABLE`. */
typedef enum ts_error { TS_OK = 0, TS_ERROR_TABLE(TS_ERROR_ENUM) } ts_error_t;
#undef TS_ERROR_ENUM

/** Stable name of an error for programs; "ok" for zero, "unknown" for a number not in the table. */
const char *ts_error_name(ts_error_t error);
/** Human-readable description of an error. */
const char *ts_error_text(ts_error_t error);

#endif
