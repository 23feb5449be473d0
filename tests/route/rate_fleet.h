/**
 * A small world of real limiters and messages between them, for tests: nodes in zones, callers, and
 * what each node believes of the others. Time goes in steps; nothing of it is real.
 */
#ifndef TEST_RATE_FLEET_H
#define TEST_RATE_FLEET_H

#include "../test_support.h"

#include "tealspar/rate_limiter.h"

#define STEP_US (2 * TS_US_PER_MS)
#define FAR_US (12 * TS_US_PER_MS) /* one way, between zones */
#define NEAR_US (1 * TS_US_PER_MS) /* and within one */
#define ZONES 6
#define TURN_US (250 * TS_US_PER_MS)     /* between turns of a limiter */
#define NOTICED_US (1200 * TS_US_PER_MS) /* until a lost or returned node is noticed */
#define DEAD_US (4 * TS_US_PER_S)        /* from a suspicion to death */
#define WINDOW_US (5 * TS_US_PER_S)
#define WAIT_US (100 * TS_US_PER_MS) /* a request waits at most so long for a token */
#define SLOTS 20                     /* of the window */
#define ACCOUNT "t"

/* A node misses another one in a span: no home to it, and out of its view DEAD_US later. */
typedef struct belief {
    ts_time_us_t gone_us;
    ts_time_us_t back_us;
} belief_t;

/* A node's view changes. */
typedef struct view_change {
    ts_time_us_t at_us;
    unsigned node;
    bool has_lost;
} view_change_t;

typedef struct node {
    struct fleet *fleet;
    ts_rate_limiter_t *limiter;
    char address[16];
    uint64_t id;
    unsigned side;         /* nodes of different sides don't hear each other */
    unsigned noticed_side; /* as the others believe */
    bool is_down;
    bool is_frozen;
    bool is_noticed_down;
    bool is_known; /* a restarted process: it has found the others */
    ts_time_us_t turned_us;
    belief_t out;    /* it knows that it is out of contact, or that others took it for dead */
    double load;     /* requests a second from its callers */
    double due;      /* of the next request */
    GArray *waiting; /* times since which requests wait */
    unsigned taken;
    unsigned refused;
    unsigned unknown;
} node_t;

typedef struct message {
    ts_time_us_t at_us;
    unsigned from;
    unsigned to;
    bool is_deal;
    ts_rate_message_t row;
} message_t;

typedef struct fleet {
    ts_time_us_t now_us;
    unsigned n;
    node_t *nodes;
    GQueue messages[2]; /* of message_t, near ones and far ones, in the order of arrival */
    ts_rate_params_t terms;
    unsigned live;     /* at the last change */
    unsigned homes[2]; /* for each side; n: none */
    unsigned deputies[2][ZONES];
    unsigned spent[100000]; /* tokens in each slot since the start */
    unsigned loss_percent;
    bool loses_deals;
    bool holds_messages; /* what goes between sides lies on the way; else it is lost */
    GQueue held;         /* of message_t, that do */
    bool is_doubling;    /* each message comes twice */
    bool is_random;      /* requests come as they do from many callers, not evenly */
    GRand *random;
    belief_t *beliefs; /* of n x n nodes, observer first; NULL: all believe what was noticed */
    GArray *changes;   /* of view_change_t, sorted; with beliefs */
    guint changes_done;
} fleet_t;

typedef struct totals {
    unsigned taken;
    unsigned refused;
    unsigned unknown;
} totals_t;

/** Nodes in zones, all live, that have rested for 10 s; a window of 5 s. */
fleet_t *open_fleet(unsigned n, double rate, double burst);
void close_fleet(fleet_t *fleet);
/** A process begins (again), with nothing. */
void start_node(node_t *node);
/** What was noticed is believed by all from now on: homes move. */
void settle(fleet_t *fleet);
/** Who is down, frozen or on another side is noticed by all. */
void notice(fleet_t *fleet);
void run(fleet_t *fleet, double span_s);
/** Something has just happened; it is noticed a little later. */
void run_until_noticed(fleet_t *fleet);
/** The load of an account, spread evenly over the first `nodes` that are not home. */
void load_nodes(fleet_t *fleet, unsigned nodes, unsigned each);
/** From now on each node has its own beliefs; none of them misses another yet. */
void begin_beliefs(fleet_t *fleet);
/** A node misses another one in a span. */
void believe_gone(fleet_t *fleet, unsigned node, unsigned other, ts_time_us_t gone_us,
                  ts_time_us_t back_us);
/** A node isn't home of anything in a span, by its own knowledge. */
void believe_out(fleet_t *fleet, unsigned node, ts_time_us_t from_us, ts_time_us_t until_us);
/** To be called when all beliefs are given, and before the fleet runs on. */
void sort_changes(fleet_t *fleet);
/** What lies on the way arrives, in its order. */
void release_messages(fleet_t *fleet);
/** Most tokens spent in any window. */
unsigned most_in_a_window(const fleet_t *fleet);
void assert_within_bound(const fleet_t *fleet);
/** What became of requests since the last call. */
totals_t take_totals(fleet_t *fleet);

#endif
