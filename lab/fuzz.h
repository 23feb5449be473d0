/**
 * Stateful fuzzing of whole nodes in the simulator against a simple oracle. A run is a list of
 * actions drawn from a seed; the same list gives the same run, and a list that breaks a promise is
 * shrunk to a short one.
 */
#ifndef TEALSPAR_LAB_FUZZ_H
#define TEALSPAR_LAB_FUZZ_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What may be done to the fleet. */
typedef enum lab_action_type {
    LAB_ACTION_QUERY,       /**< a query at node `a`, kind by `b` */
    LAB_ACTION_DISPATCH,    /**< an unrepeatable request at node `a` with a new id */
    LAB_ACTION_REPEAT,      /**< an earlier unrepeatable id again, at node `a`; which by `b` */
    LAB_ACTION_KILL,        /**< node `a` */
    LAB_ACTION_START,       /**< node `a` */
    LAB_ACTION_STOP,        /**< node `a`, planned */
    LAB_ACTION_PAUSE,       /**< node `a` for `b` ms */
    LAB_ACTION_CUT,         /**< zone `a` */
    LAB_ACTION_ISOLATE,     /**< node `a`, within its zone as well */
    LAB_ACTION_HEAL,        /**< all cuts and isolations */
    LAB_ACTION_SEARCHER,    /**< searcher `a` to state `b` */
    LAB_ACTION_SLOW,        /**< searcher `a` by factor `b` */
    LAB_ACTION_ROLL,        /**< searcher `a` to the next snapshot; keeps the previous if `b` */
    LAB_ACTION_CONFIG,      /**< a new version */
    LAB_ACTION_CONFIG_OLD,  /**< the platform shows the first version again */
    LAB_ACTION_CONFIG_DOWN, /**< the platform fails */
    LAB_ACTION_CONFIG_BAD,  /**< the platform shows what must be refused */
    LAB_ACTION_COUNT
} lab_action_type_t;

typedef struct lab_action {
    lab_action_type_t type;
    uint32_t after_ms; /**< since the action before */
    uint32_t a;
    uint32_t b;
} lab_action_t;

/** The first broken promise of a run. */
typedef struct lab_finding {
    bool is_broken;
    char text[200];
    uint64_t steps;   /**< of the simulator until then, or in all */
    unsigned actions; /**< made until then, or in all */
    uint64_t answered;
    uint64_t refused;
    uint64_t unknown;
} lab_finding_t;

/** Draws a list of `count` actions from a seed. */
GArray *lab_fuzz_generate(uint64_t seed, unsigned count);
/** Runs a list; deterministic in seed and list. */
lab_finding_t lab_fuzz_run(uint64_t seed, const GArray *actions);
/** The shortest list found that still breaks a promise. */
GArray *lab_fuzz_shrink(uint64_t seed, const GArray *actions);
/** One line for an action. */
void lab_fuzz_describe(const lab_action_t *action, GString *out);

#endif
