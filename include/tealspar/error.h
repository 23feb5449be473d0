/**
 * Error codes. All errors are negative numbers from this table; each has a stable name (used in
 * logs, counters and responses) and a human-readable text. Zero is success.
 */
#ifndef TEALSPAR_ERROR_H
#define TEALSPAR_ERROR_H

/* X(symbol, number, name, text) */
#define TS_ERROR_TABLE(X)                                                                          \
    X(TS_E_ARGUMENT, -1, "bad_argument", "a command-line argument is wrong")                       \
    X(TS_E_FILE, -2, "file", "a file cannot be read")                                              \
    X(TS_E_SYNTAX, -3, "syntax", "a document does not follow its schema")                          \
    X(TS_E_INVALID, -4, "invalid", "a document contradicts itself or is out of range")             \
    X(TS_E_ADDRESS, -5, "address", "an address is not an IP number with a port")                   \
    X(TS_E_LISTEN, -6, "listen", "an address cannot be listened on")                               \
    X(TS_E_LIMIT, -7, "limit", "a limit of the operating system is too low")                       \
    X(TS_E_STALE_VERSION, -8, "stale_version", "a document has a lower version than the accepted") \
    X(TS_E_VERSION_CLASH, -9, "version_clash", "two documents carry one version")                  \
    X(TS_E_BAD_REQUEST, -20, "bad_request", "the request is malformed")                            \
    X(TS_E_TOO_LARGE, -21, "too_large", "the request is over a size limit")                        \
    X(TS_E_HEAD_TOO_LARGE, -30, "head_too_large", "the head of the message is over its limit")     \
    X(TS_E_HEAD_TIMEOUT, -31, "head_timeout", "the head of the request came too slowly")           \
    X(TS_E_UNKNOWN_KIND, -22, "unknown_kind", "no selector declares this kind of query")           \
    X(TS_E_NOT_FOUND, -23, "not_found", "no such resource")                                        \
    X(TS_E_METHOD, -24, "method", "the method is not allowed here")                                \
    X(TS_E_PAST_DEADLINE, -25, "past_deadline", "the deadline passed before any work began")       \
    X(TS_E_OVERLOAD, -26, "overload", "the admission limit is reached")                            \
    X(TS_E_NOT_READY, -27, "not_ready", "no configuration is in force yet")                        \
    X(TS_E_STOPPING, -28, "stopping", "this node is leaving")                                      \
    X(TS_E_ID_REUSED, -29, "id_reused", "the request id was used for another request")             \
    X(TS_E_NO_REPLICA, -40, "no_replica", "no live replica holds the shard")                       \
    X(TS_E_NOT_OWNER, -41, "not_owner", "the node asked does not own the back end")                \
    X(TS_E_QUEUE_FULL, -42, "queue_full", "the back end's queue is full")                          \
    X(TS_E_CANNOT_FINISH, -43, "cannot_finish", "the queue is too long for the deadline")          \
    X(TS_E_DRAINING, -44, "draining", "the back end is leaving")                                   \
    X(TS_E_SHEDDING, -45, "shedding", "the back end refused the work")                             \
    X(TS_E_CONNECT, -46, "connect", "no connection to the back end")                               \
    X(TS_E_IO, -47, "io", "the connection failed after the request may have left")                 \
    X(TS_E_BAD_ANSWER, -48, "bad_answer", "the back end's answer cannot be understood")            \
    X(TS_E_WRONG_SHARD, -49, "wrong_shard", "the back end does not hold the shard")                \
    X(TS_E_DEADLINE, -50, "deadline", "the deadline passed while the work was under way")          \
    X(TS_E_CANCELLED, -51, "cancelled", "the work was cancelled")                                  \
    X(TS_E_PEER_LOST, -52, "peer_lost", "the connection to another node was lost")                 \
    X(TS_E_SNAPSHOT, -53, "snapshot", "the back end does not serve the wanted snapshot")           \
    X(TS_E_COVERAGE, -54, "coverage_below_least", "too few shards answered in time")               \
    X(TS_E_OWNER_CHANGED, -55, "owner_changed", "an earlier owner may have run the request")       \
    X(TS_E_NO_QUORUM, -56, "no_quorum", "the node cannot hear a majority of its zone")             \
    X(TS_E_PLACEMENT, -57, "not_permitted", "no back end stands where the request may be served")  \
    X(TS_E_NO_ROOM, -58, "no_room", "this node holds as much of its clients' requests as it may")  \
    X(TS_E_UNAUTHENTICATED, -70, "unauthenticated", "the request shows no key that is held")       \
    X(TS_E_QUOTA, -71, "over_quota", "the tenant has sent what it may over the whole fleet")       \
    X(TS_E_UNCONFIRMED, -72, "unconfirmed", "keys were not confirmed for longer than is allowed")  \
    X(TS_E_QUARANTINED, -73, "quarantined", "requests like it ended the back ends that ran them")  \
    X(TS_E_ON_TRIAL, -74, "on_trial", "a request like it is tried alone, the outcome is awaited")  \
    X(TS_E_BACK_ENDS_ENDED, -75, "back_ends_ended", "back ends that ran the request ended")        \
    X(TS_E_PROTOCOL, -60, "protocol", "a message from another node cannot be understood")

#define TS_ERROR_ENUM(symbol, number, name, text) symbol = (number),
/** `TS_OK` or one of the negative numbers of `TS_ERROR_TABLE`. */
typedef enum ts_error { TS_OK = 0, TS_ERROR_TABLE(TS_ERROR_ENUM) } ts_error_t;
#undef TS_ERROR_ENUM

/** Stable name of an error for programs; "ok" for zero, "unknown" for a number not in the table. */
const char *ts_error_name(ts_error_t error);
/** Human-readable description of an error. */
const char *ts_error_text(ts_error_t error);

#endif
