/**
 * The registry of back ends: every life of a searcher (an instance), grouped by service, with what
 * this node believes of its load and health. A life is an id and when it was born: a searcher may
 * start again under its id, and then holds and knows nothing of before; addresses are used again
 * too. Each life has an instance of its own, so that nothing learned of one, no connection and no
 * request under way is taken for another's. The registry owns instances; one that has left the list
 * or was followed by the next life stays until nothing refers to it.
 */
#ifndef TEALSPAR_REGISTRY_H
#define TEALSPAR_REGISTRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "tealspar/clock.h"
#include "tealspar/cold_share.h"
#include "tealspar/error.h"
#include "tealspar/evidence.h"
#include "tealspar/reported_load.h"
#include "tealspar/retry_budget.h"
#include "tealspar/rtt.h"

/** Names one life of a searcher, between nodes too. */
typedef struct ts_life {
    const char *id;
    uint64_t born_ms; /**< Unix time at which it started, by its own clock; 0: not told */
} ts_life_t;

/** What discovery says of an instance. */
typedef struct ts_instance_record {
    char *id;
    uint64_t born_ms; /**< as in ts_life_t */
    char *service;
    char *address; /**< "IP:port" */
    char *zone;
    uint32_t slots; /**< requests it works on at once; 0: not told */
    bool is_draining;
    uint32_t warmup_left_ms; /**< how much longer it is slow from its start */
} ts_instance_record_t;

void ts_instance_record_clear(ts_instance_record_t *record);

typedef struct ts_service ts_service_t;
typedef struct ts_registry ts_registry_t;

typedef struct ts_instance {
    char *id; /**< of its searcher; not of this life alone */
    uint64_t born_ms;
    ts_service_t *service; /**< owned by the registry, lives as long */
    struct sockaddr_storage address;
    char *zone;
    const char *region; /**< of its zone, interned; NULL: the settings do not name it */
    ts_distance_t distance;
    ts_rtt_t *travel; /**< to its zone; owned by the registry */
    uint32_t slots;
    bool is_evacuated; /**< back ends of its zone are to get nothing */
    bool is_draining;
    bool is_listed;          /**< discovery names it now */
    ts_time_us_t left_us;    /**< when it began to drain or left the list */
    ts_time_us_t warm_at_us; /**< until then it is slow from its start */
    ts_cold_window_t cold;   /**< what this node sent it, if its service limits cold ones */
    ts_time_us_t cold_at_us; /**< when its share was worked out */
    /* What this node measured. */
    uint32_t references;          /**< requests that remember it, answered or not */
    uint32_t in_flight;           /**< requests of this node that it has */
    double limit;                 /**< how many it may have, as learned; 0: nothing learned */
    ts_time_us_t limited_us;      /**< when `limit` was last lowered */
    ts_time_us_t usual_us;        /**< when it last answered in usual time; 0: never */
    ts_reported_load_t told;      /**< what it told of its load with its last answer */
    double sent_rate;             /**< requests a second this node sends it, fading */
    ts_time_us_t sent_rate_at_us; /**< when `sent_rate` was last moved */
    ts_time_us_t answered_us;     /**< when its last answer came; 0: never */
    ts_time_us_t suspected_us;    /**< since when something is overdue; 0: not suspected */
    bool is_suspicion_told;       /**< other nodes were told of the suspicion */
    bool is_suspected_by_peer;    /**< the suspicion was heard, not found here */
    ts_time_us_t tried_us;        /**< last request sent to it while suspected */
    ts_time_us_t avoid_until_us;  /**< after a failed connection or a refusal */
    uint32_t failures;            /**< in a row */
    ts_time_us_t reached_us; /**< when the last connection that came up was begun; 0: none did */
    bool has_ended;          /**< nobody listens any more where it did */
    /* What its answers say, see tealspar/evidence.h. */
    ts_evidence_t own;            /**< to this node's requests */
    ts_evidence_t heard;          /**< to the whole fleet's, as told by the node that collects */
    ts_evidence_t *collected;     /**< owned; only where this node collects, else NULL */
    ts_evidence_count_t outbox;   /**< not told yet; also what other nodes told this one */
    ts_time_us_t outbox_since_us; /**< when the first of it came */
    ts_time_us_t own_us;          /**< when an answer last came to this node */
    ts_time_us_t own_sign_us;     /**< when one last was unusual */
    /* Its connections; see tealspar/upstream.h. */
    GQueue idle;              /**< of ts_connection_t, the last used first */
    uint32_t connections;     /**< open ones, idle and busy */
    uint32_t kept_max;        /**< connections this node may keep while they rest */
    ts_time_us_t kept_at_us;  /**< when `kept_max` was worked out */
    uint64_t kept_basis;      /**< of what fleet */
    ts_time_us_t rest_max_us; /**< it forgot connections that rested this long; 0: not known to */
    ts_time_us_t rest_max_until_us; /**< until when that is believed */
} ts_instance_t;

/** Priorities whose refusals are told apart; less urgent ones count as the last. */
#define TS_PRIORITIES 4U
/* Ranks of requests: a tenant's priority, then its route's. */
#define TS_RANKS (TS_PRIORITIES * TS_PRIORITIES)

struct ts_service {
    char *name;
    GPtrArray *instances; /**< of ts_instance_t */
    ts_retry_budget_t budget;
    uint32_t connections_max; /**< that one instance takes from all callers; 0: not told */
    ts_time_us_t warmup_us;   /**< how long an instance is slow from its start */
    double warmup_rate;       /**< requests a second that it bears then; 0: no limit */
    ts_time_us_t wanted_us;   /**< when a request last could not begin for want of it */
    /* Shares of late requests that were refused, by rank. */
    double refused[TS_RANKS];        /**< of those forwarded to it */
    double gather_refused[TS_RANKS]; /**< of gathers over it and others, if it comes first */
    ts_registry_t *registry;
};

/** `zones`: zone -> region, may be NULL; not owned. */
ts_registry_t *ts_registry_create(const char *zone, GHashTable *zones);
void ts_registry_destroy(ts_registry_t *registry);
/** The service of a name; made when it is new. */
ts_service_t *ts_registry_service(ts_registry_t *registry, const char *name);
/** The service of a name, or NULL. */
ts_service_t *ts_registry_find_service(const ts_registry_t *registry, const char *name);
/**
 * Whether a record names a back end that can be used: TS_OK, TS_E_ADDRESS, or TS_E_INVALID for an
 * id that can't stand in a header field, or a service or zone without a name.
 */
ts_error_t ts_registry_check(const ts_instance_record_t *record);
/**
 * Enters or changes an instance. The caller gives records in the order in which they were written
 * (revisions of the configuration service), so a life that differs from the present one follows it,
 * also when it was born sooner by a clock that was set back. Returns whether it is new.
 */
bool ts_registry_update(ts_registry_t *registry, const ts_instance_record_t *record,
                        ts_time_us_t now_us);
/** Discovery no longer names the instance. */
void ts_registry_remove(ts_registry_t *registry, const char *id, ts_time_us_t now_us);
/**
 * Back ends of a zone are to get nothing from now on, or again as before. Those that come back may
 * have turned cold meanwhile: they count as such for their service's warm-up.
 */
void ts_registry_set_evacuated(ts_registry_t *registry, const char *zone, bool is_evacuated,
                               ts_time_us_t now_us);
/** Whether a zone is being evacuated. */
bool ts_registry_is_evacuated(const ts_registry_t *registry, const char *zone);
/** The settings name other zones or regions: every instance is placed anew. */
void ts_registry_relocate(ts_registry_t *registry);
/** Discovery was read whole: what is not in `ids` (a set of ids) is removed. */
void ts_registry_keep_only(ts_registry_t *registry, GHashTable *ids, ts_time_us_t now_us);
/** Frees instances that have left and that nothing refers to; call it now and then. */
void ts_registry_sweep(ts_registry_t *registry, ts_time_us_t now_us);
/** A connection to the instance was made in this time. */
void ts_registry_note_travel(ts_registry_t *registry, const ts_instance_t *instance,
                             ts_time_us_t span_us);
/** The shortest and the longest travel to a zone that back ends stand in, in microseconds. */
double ts_registry_travel_least_us(const ts_registry_t *registry);
double ts_registry_travel_most_us(const ts_registry_t *registry);
/** The instance that is this life, if it is its searcher's present one; else NULL. */
ts_instance_t *ts_registry_find(const ts_registry_t *registry, ts_life_t life);
/** The present life under an id, or NULL. */
ts_instance_t *ts_registry_present(const ts_registry_t *registry, const char *id);
/** The life that an instance is; the id is the instance's. */
ts_life_t ts_instance_life(const ts_instance_t *instance);
/** What a node has just seen of an instance. */
typedef enum ts_sighting {
    TS_SIGHTING_SUSPECTED, /**< something is overdue there */
    TS_SIGHTING_ANSWERS    /**< it was suspected and has answered */
} ts_sighting_t;

/** Called with what this node sees that others should know. */
typedef void (*ts_registry_seen_t)(void *ctx, const ts_instance_t *instance,
                                   ts_sighting_t sighting);
void ts_registry_on_sighting(ts_registry_t *registry, ts_registry_seen_t seen, void *ctx);
/** Called when something in an outbox (ts_instance_t) is worth telling; often more than once. */
typedef void (*ts_registry_evidence_t)(void *ctx);
void ts_registry_on_evidence(ts_registry_t *registry, ts_registry_evidence_t wake, void *ctx);
/** Calls `visit(instance, context)` for every instance, former lives included. */
typedef void (*ts_registry_visit_t)(ts_instance_t *instance, void *context);
void ts_registry_each_instance(ts_registry_t *registry, ts_registry_visit_t visit, void *context);
/** Calls `visit(name, service, context)` for every service. */
void ts_registry_each_service(ts_registry_t *registry, GHFunc visit, void *context);
/** Number of instances that discovery names. */
unsigned ts_registry_listed(const ts_registry_t *registry);

/** An answer came after `span_us`; `typical_us` is what its service takes for such a request. */
void ts_instance_note_answer(ts_instance_t *instance, ts_time_us_t now_us, double span_us,
                             double typical_us);
/**
 * Nobody waits any more for an answer that has not come after `span_us`. Returns whether that is
 * late; the answer is not to be timed again then.
 */
bool ts_instance_note_unanswered(ts_instance_t *instance, ts_time_us_t now_us, double span_us,
                                 double typical_us);
/** A request sent at `sent_us` is overdue: the instance is suspected if it said nothing since. */
void ts_instance_note_overdue(ts_instance_t *instance, ts_time_us_t sent_us, ts_time_us_t now_us);
/** If the instance is still suspected by this node, the others are told. */
void ts_instance_tell_overdue(ts_instance_t *instance);
/** Another node of the region has seen something of the instance. */
void ts_instance_hear(ts_instance_t *instance, ts_sighting_t sighting, ts_time_us_t now_us);
/** Whether it is cold, and all nodes together must stay within what it bears. */
bool ts_instance_is_cold_bound(const ts_instance_t *instance, ts_time_us_t now_us);
/** A request is sent to it. */
void ts_instance_note_sent(ts_instance_t *instance, ts_time_us_t now_us);
/** Its answer times against its service's, as believed now: 1 the same, more is slower. */
double ts_instance_latency_ratio(const ts_instance_t *instance, ts_time_us_t now_us);
/** It answered with a failure of its own or refused, or with success. */
void ts_instance_note_verdict(ts_instance_t *instance, bool is_failure, ts_time_us_t now_us);
/** All that is known of its answers, own and heard, as of now. */
ts_evidence_sums_t ts_instance_evidence(const ts_instance_t *instance, ts_time_us_t now_us);
/** Puts counts into the outbox, of this node or told by another. */
void ts_instance_add_to_outbox(ts_instance_t *instance, const ts_evidence_count_t *count,
                               ts_time_us_t now_us);
/** Share of its answers that are failures, as believed now. */
double ts_instance_failure_rate(const ts_instance_t *instance, ts_time_us_t now_us);
/** What became of an instance after a send to it was broken off. */
typedef enum ts_instance_fate {
    TS_FATE_UNKNOWN, /**< not known yet */
    TS_FATE_LIVES,   /**< it takes connections: only that one was lost */
    TS_FATE_ENDED    /**< it is gone, or silent */
} ts_instance_fate_t;

/** A connection to it that was begun at `begun_us` came up. */
void ts_instance_note_reached(ts_instance_t *instance, ts_time_us_t begun_us);
/** Its address refuses connections, or its searcher has begun its next life. */
void ts_instance_note_ended(ts_instance_t *instance);
/** What became of it since. */
ts_instance_fate_t ts_instance_fate(const ts_instance_t *instance, ts_time_us_t since_us,
                                    ts_time_us_t now_us);
/** A connection or a request failed. */
void ts_instance_note_failure(ts_instance_t *instance, ts_time_us_t now_us);
/**
 * A connection that had rested for `rest_us` was reset at the next request: the instance forgets
 * connections sooner than it says.
 */
void ts_instance_note_forgotten(ts_instance_t *instance, ts_time_us_t rest_us, ts_time_us_t now_us);
/** How long a connection to it may rest at most. */
ts_time_us_t ts_instance_rest_max_us(const ts_instance_t *instance, ts_time_us_t now_us);
/** It reset a connection before its first answer, as it does over its limit of connections. */
void ts_instance_note_turned_away(ts_instance_t *instance, ts_time_us_t now_us);
/** It refused a request without running it. */
void ts_instance_note_refusal(ts_instance_t *instance, ts_time_us_t now_us);

/** Tells the listeners of the registry; for the modules of the registry. */
void ts_registry_wake(const ts_instance_t *instance);
void ts_registry_tell(const ts_instance_t *instance, ts_sighting_t sighting);

#endif
