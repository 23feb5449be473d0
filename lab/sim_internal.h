/** Internal interface between the modules of the simulator. */
#ifndef TEALSPAR_LAB_SIM_INTERNAL_H
#define TEALSPAR_LAB_SIM_INTERNAL_H

#include "sim.h"
#include "tealspar/declarations.h"
#include "tealspar/searcher_client.h"

/** Node index of events that belong to no node and run even if nodes are killed or suspended. */
#define LAB_SIM_NO_NODE (-1)

/** A callback scheduled at a virtual time. */
typedef struct lab_sim_event {
    ts_time_us_t due_us;
    uint64_t sequence;   /**< orders events with the same time */
    int node;            /**< index of the node that it belongs to, or LAB_SIM_NO_NODE */
    uint64_t generation; /**< generation of the node when scheduled; dropped if it has changed */
    void (*fire)(void *context);
    /** Frees the context of an event that is not fired; may be NULL. */
    void (*drop)(void *context);
    void *context;
    bool is_cancelled; /**< neither `fire` nor `drop` is called */
} lab_sim_event_t;

typedef struct lab_sim_node {
    ts_runtime_t runtime; /* must be the first member: callbacks cast it back to lab_sim_node_t */
    lab_sim_t *sim;
    unsigned index;
    unsigned zone;
    ts_settings_t settings;
    ts_node_t node;
    ts_task_t *mesh;
    GHashTable *pending; /**< peer id -> GPtrArray of outgoing messages; used by the mesh */
    GHashTable *timers;  /**< ts_timer_t -> lab_sim_event_t of each active timer */
    uint64_t generation; /**< incremented when the node's process ends */
    uint64_t version;    /**< not used */
    bool is_running;
    bool is_isolated;
    bool is_drain_scheduled; /**< an event that runs the node's tasks is scheduled */
    ts_time_us_t paused_until_us;
} lab_sim_node_t;

typedef struct lab_sim_searcher {
    lab_sim_t *sim;
    const ts_backend_t *backend;
    lab_sim_searcher_state_t state;
    ts_time_us_t state_since_us;
    double slow_factor;
    uint64_t snapshot;
    uint64_t previous_snapshot;
    GQueue *waiting; /**< of ts_searcher_call_t */
    unsigned running;
} lab_sim_searcher_t;

struct lab_sim {
    lab_sim_config_t config;
    lab_sim_observer_t observer;
    ts_declarations_t *declarations; /**< initial version; defines zones and searchers */
    lab_sim_node_t *nodes;
    unsigned node_count;
    lab_sim_searcher_t *searchers;
    bool *is_zone_partitioned;
    char *platform_text;
    GPtrArray *heap; /**< of lab_sim_event_t, a binary min-heap by time and sequence */
    ts_time_us_t now_us;
    uint64_t sequence;
    uint64_t steps;
    uint64_t random;
    double work_us;
    uint64_t requests;
};

/** Schedules an event `after_us` from now. */
lab_sim_event_t *lab_sim_schedule(lab_sim_t *sim, int node, ts_time_us_t after_us,
                                  void (*fire)(void *context), void (*drop)(void *context),
                                  void *context);
/** Random number from 0 to 1 from the simulation's generator. */
double lab_sim_uniform(lab_sim_t *sim);
lab_sim_node_t *lab_sim_node_of(const ts_node_t *node);
/** Returns the node whose name has this hash, or NULL. */
lab_sim_node_t *lab_sim_find_node(lab_sim_t *sim, uint64_t id);
/** Whether no partition separates two nodes. */
bool lab_sim_is_connected(const lab_sim_t *sim, const lab_sim_node_t *from,
                          const lab_sim_node_t *to);
/** Reports a lost connection to all running nodes that can reach the node `lost`. */
void lab_sim_notify_disconnect(lab_sim_t *sim, const lab_sim_node_t *lost);
/** Reads the version field of declarations in YAML; 0 if absent. */
uint64_t lab_sim_parse_version(const char *text);
/** Frees the pending outgoing messages of a node. */
void lab_sim_mesh_clear(lab_sim_node_t *node);

#endif
