/** Simulated planned stop of an owner of backends while another member is suspended. */
#ifndef TEALSPAR_TESTS_FRONT_SUSPENSION_H
#define TEALSPAR_TESTS_FRONT_SUSPENSION_H

#define ZONES 3U
#define NODES_PER_ZONE 2U
#define NODES (ZONES * NODES_PER_ZONE)
#define BACKENDS_PER_ZONE 8U
#define SETTLE_US (20ULL * TS_US_PER_S)

/** Number of requests that the suspended member submits, to all backends. */
#define SUSPENSION_REQUESTS 48U

/** When the requests of the suspended member are submitted. */
typedef enum submission {
    SUBMITTED_AND_SENT, /**< before the suspension; the owners have received them */
    SUBMITTED_ONLY,     /**< before the suspension; they have not left the node */
    SUBMITTED_AFTER,    /**< after the suspension, before the member reads what has arrived */
    SUBMITTED_AND_SENT_LOSS_FIRST /**< SUBMITTED_AND_SENT; the loss of the owner is read first */
} submission_t;

/** One kind of unrepeatable requests, "send", with a deadline of 2 s. Freed by the caller. */
char *suspension_declarations(void);
/**
 * Suspends a member for `span_ms` from 0.1 s before the planned stop of an owner, and asserts that
 * no outcome is "unknown" or untrue. Returns the number of answered requests.
 */
unsigned suspension_check(submission_t submission, unsigned span_ms);
/** As suspension_check() with a deadline that is longer than all suspensions; some are answered. */
void suspension_check_within_deadline(submission_t submission, unsigned span_ms);

#endif
