/**
 * Simulated fleet of rate limiters for tests: real limiters in nodes of several zones, requests of
 * callers, messages with delays and losses, and each node's view of the others. Simulated time
 * advances in steps of STEP_US; the fleet uses no sockets, threads or system clock.
 */
#ifndef TEST_RATE_FLEET_H
#define TEST_RATE_FLEET_H

#include "../test_support.h"

#include "tealspar/rate_limiter.h"

/* Simulated time at the start of the fleet. */
#define START_US (100 * TS_US_PER_S)
#define STEP_US (2 * TS_US_PER_MS)
/* One-way message delays. */
#define CROSS_ZONE_DELAY_US (12 * TS_US_PER_MS)
#define SAME_ZONE_DELAY_US (1 * TS_US_PER_MS)
/* Zones of the fleet. As an argument in place of a zone: all zones. */
#define ZONES 6
/* Interval of ts_rate_limiter_tick(). */
#define TICK_INTERVAL_US (250 * TS_US_PER_MS)
/* Time until all nodes have detected a lost or returned node, see run_until_detected(). */
#define DETECTION_TIME_US (1200 * TS_US_PER_MS)
/* Time after which a suspected node is declared dead; until then it counts towards the majority. */
#define SUSPICION_TIMEOUT_US (4 * TS_US_PER_S)
/* Window of the rate limit. */
#define WINDOW_US (5 * TS_US_PER_S)
/* Longest time that a request waits for a token. */
#define TOKEN_TIMEOUT_US (100 * TS_US_PER_MS)
/* Resolution of the recorded spending. */
#define SLOTS_PER_WINDOW 20
#define ACCOUNT "t"

/* From `start_us` until before `end_us`. */
typedef struct period {
    ts_time_us_t start_us;
    ts_time_us_t end_us;
} period_t;

/* A change of one node's view that its limiter is notified of. */
typedef struct view_change {
    ts_time_us_t at_us;
    unsigned node;
    bool is_loss; /* the view loses a node */
} view_change_t;

typedef struct node {
    struct fleet *fleet;
    ts_rate_limiter_t *limiter;
    char address[16]; /* index of the node, in decimal */
    uint64_t id;
    unsigned side;          /* of a partition; messages between different sides don't arrive */
    unsigned detected_side; /* `side` as known to the nodes */
    bool is_down;
    bool is_frozen;
    bool is_mute;          /* receives messages, but those that it sends are lost */
    bool is_detected_down; /* the others know that it is down or frozen */
    bool has_discovered;   /* knows the other nodes; false after a restart until detection */
    ts_time_us_t ticked_us;
    period_t out_of_contact; /* it knows that it lost the majority, or was declared dead */
    double load;             /* requests per second from its callers */
    double requests_due;     /* requests that have accrued from `load`; may be fractional */
    GArray *waiting_since;   /* arrival times of the requests that wait for a token */
    /* Outcomes of requests, see outcomes_t. */
    unsigned taken;
    unsigned refused;
    unsigned timed_out;
} node_t;

typedef struct message {
    ts_time_us_t at_us; /* arrival */
    unsigned from;
    unsigned to;
    bool is_reply; /* else a claim or a leave notice */
    ts_rate_message_t body;
} message_t;

typedef struct fleet {
    ts_time_us_t now_us;
    unsigned n; /* nodes */
    node_t *nodes;
    unsigned zone_count; /* zones that the nodes are in, in turn; 0: as set by ZONES */
    GQueue messages[2];  /* of message_t, within zones and across, each in order of arrival */
    ts_rate_params_t params;
    unsigned live_count; /* live nodes on side 0, as of the last apply_detected_state() */
    unsigned homes[2];   /* home on each side; n: none */
    unsigned deputies[2][ZONES];
    unsigned spent[100000]; /* tokens spent in each slot since START_US */
    unsigned loss_percent;  /* probability that a message is lost */
    bool is_dropping_replies;
    bool is_buffering;        /* messages between sides are buffered; otherwise they are lost */
    GQueue buffered;          /* of message_t */
    bool is_duplicating;      /* each message is delivered twice */
    bool has_random_arrivals; /* requests arrive at random times, as from many callers, rather than
                                 at even intervals */
    GRand *random;
    period_t *suspicions; /* n x n by observer, then subject: when the observer takes the subject
                             for lost. NULL: all nodes have the same view, the detected state */
    GArray *changes;      /* of view_change_t, sorted by time; NULL without `suspicions` */
    guint changes_applied;
} fleet_t;

/* Numbers of requests by outcome. */
typedef struct outcomes {
    unsigned taken;     /* got a token */
    unsigned refused;   /* the rate limit is reached */
    unsigned timed_out; /* got no decision within TOKEN_TIMEOUT_US */
} outcomes_t;

/** Opens a fleet of live nodes that has been idle for 10 s, so that the buckets are full. */
fleet_t *open_fleet(unsigned n, double rate, double burst);
void close_fleet(fleet_t *fleet);
/** Starts or restarts a node's process, without any state. */
void start_node(node_t *node);
/** Chooses homes and deputies from the detected state and notifies all limiters. */
void apply_detected_state(fleet_t *fleet);
/** Makes the actual state (down, frozen, side) known to all nodes and applies it. */
void detect_changes(fleet_t *fleet);
void run_fleet(fleet_t *fleet, double span_s);
/** Runs for the detection time, then makes the actual state known to all nodes. */
void run_until_detected(fleet_t *fleet);
/**
 * Sets a load of `each` requests per second on the first `nodes` nodes, except the home unless all
 * nodes are loaded, and no load on the others.
 */
void spread_load(fleet_t *fleet, unsigned nodes, unsigned each);
/** Gives each node a view of its own from now on, at first without suspicions. */
void enable_local_views(fleet_t *fleet);
/** `node` takes `other` for lost from `start_us` until `end_us`; replaces an earlier period. */
void add_suspicion(fleet_t *fleet, unsigned node, unsigned other, ts_time_us_t start_us,
                   ts_time_us_t end_us);
/** `node` knows from `from_us` until `until_us` that it must not act as home. */
void set_out_of_contact(fleet_t *fleet, unsigned node, ts_time_us_t from_us, ts_time_us_t until_us);
/** Call after the last change of the views, before the fleet runs on. */
void sort_view_changes(fleet_t *fleet);
/** Delivers the buffered messages in their original order. */
void deliver_buffered(fleet_t *fleet);
/** Largest number of tokens spent in any window. */
unsigned max_spent_in_window(const fleet_t *fleet);
/** Asserts that no window exceeds the limit plus the tolerance. */
void assert_within_bound(const fleet_t *fleet);
/** Returns and resets the outcomes of requests since the last call. */
outcomes_t take_outcomes(fleet_t *fleet);

#endif
