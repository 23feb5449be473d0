/**
 * An immutable, reference-counted snapshot of the cluster members, created by membership. Fronts
 * and brokers use it to agree on which node owns each backend.
 */
#ifndef TEALSPAR_VIEW_H
#define TEALSPAR_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tealspar/declarations-t.h"

typedef enum ts_member_state {
    TS_MEMBER_LIVE,
    TS_MEMBER_SUSPECT, /**< missed probes; counts as live until declared dead */
    TS_MEMBER_LEAVING, /**< shutting down: owns no backends but still answers */
    TS_MEMBER_DEAD     /**< declared dead, or left */
} ts_member_state_t;

const char *ts_member_state_name(ts_member_state_t state);

typedef struct ts_view_member {
    char *name;
    char *address; /**< "IP:port" for nodes */
    char *zone;
    uint64_t id; /**< hash of the name */
    uint64_t incarnation;
    ts_member_state_t state;
    bool is_self;
} ts_view_member_t;

typedef struct ts_view {
    int references;
    ts_view_member_t *members; /**< sorted by name, without dead members */
    size_t count;
    bool has_quorum; /**< this node can reach a majority of its zone */
    /**
     * Incremented whenever other nodes may have considered this one dead and taken over the
     * backends it owns.
     */
    uint64_t ownership_epoch;
} ts_view_t;

/** Creates an empty view with room for `capacity` members. */
ts_view_t *ts_view_create(size_t capacity);
/** Adds a member and copies its strings. Call in order of name, at most `capacity` times. */
void ts_view_add(ts_view_t *view, const char *name, const char *address, const char *zone,
                 uint64_t incarnation, ts_member_state_t state, bool is_self);
ts_view_t *ts_view_ref(ts_view_t *view);
void ts_view_unref(ts_view_t *view);

/**
 * Returns the owner of a backend: the eligible (live or suspect) member of the backend's zone
 * with the highest rendezvous weight or, if the zone has none, of all zones. NULL if no member is
 * eligible. Nodes with the same view compute the same owner.
 */
const ts_view_member_t *ts_view_owner(const ts_view_t *view, const ts_backend_t *backend);

#endif
