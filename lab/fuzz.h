/**
 * Stateful fuzzing of whole nodes in the simulator against a simple oracle. A run executes a list
 * of actions generated from a seed and is reproducible from both. A list that violates a guarantee
 * is shrunk to a short one.
 */
#ifndef TEALSPAR_LAB_FUZZ_H
#define TEALSPAR_LAB_FUZZ_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Actions on the simulated fleet. */
typedef enum lab_action_type {
    LAB_ACTION_QUERY,    /**< query at node `a`; `b` selects the kind */
    LAB_ACTION_DISPATCH, /**< unrepeatable request at node `a` with a new id */
    LAB_ACTION_REPEAT, /**< repeats an earlier unrepeatable request, selected by `b`, at node `a` */
    LAB_ACTION_KILL,   /**< kills node `a` */
    LAB_ACTION_START,  /**< starts node `a` */
    LAB_ACTION_STOP,   /**< planned stop of node `a` */
    LAB_ACTION_PAUSE,  /**< pauses node `a` for `b` ms, modulo 12 s */
    LAB_ACTION_CUT,    /**< cuts zone `a` off from the other zones */
    LAB_ACTION_ISOLATE,  /**< cuts node `a` off from all others, including its zone */
    LAB_ACTION_HEAL,     /**< ends all cuts and isolations */
    LAB_ACTION_SEARCHER, /**< sets searcher `a` to state `b` */
    LAB_ACTION_SLOW,     /**< slows searcher `a` down; `b` determines the factor */
    LAB_ACTION_ROLL,     /**< sets searcher `a` to the newest snapshot; if `b` is even, it keeps the
                            previous one */
    LAB_ACTION_CONFIG,   /**< the platform publishes a new configuration version */
    LAB_ACTION_CONFIG_OLD,  /**< the platform returns the first version again */
    LAB_ACTION_CONFIG_DOWN, /**< the platform does not respond */
    LAB_ACTION_CONFIG_BAD,  /**< the platform returns an invalid configuration */
    LAB_ACTION_COUNT
} lab_action_type_t;

typedef struct lab_action {
    lab_action_type_t type;
    uint32_t after_ms; /**< delay after the previous action */
    uint32_t a;
    uint32_t b;
} lab_action_t;

/** Result of a run: the first violation, if any, and statistics. */
typedef struct lab_finding {
    bool is_broken;
    char text[200];
    uint64_t steps;   /**< simulator steps until the violation, or in total */
    unsigned actions; /**< actions executed until the violation, or in total */
    uint64_t answered;
    uint64_t refused;
    uint64_t unknown;
} lab_finding_t;

/** Generates `count` actions from a seed. */
GArray *lab_fuzz_generate(uint64_t seed, unsigned count);
/** Executes a list of actions; deterministic for a given seed and list. */
lab_finding_t lab_fuzz_run(uint64_t seed, const GArray *actions);
/** Returns the shortest list found that still violates a guarantee. */
GArray *lab_fuzz_shrink(uint64_t seed, const GArray *actions);
/** Appends a one-line description of an action. */
void lab_fuzz_describe(const lab_action_t *action, GString *out);

#endif
