/**
 * Planted bugs: each breaks one rule of the product, by taking the place of a function at link time
 * (ld's --wrap), so that the fuzzer can show that it finds it. Linked into `fuzz_planted` only; the
 * environment variable TEALSPAR_PLANT names the bug.
 */
#include <stdlib.h>
#include <string.h>

#include "tealspar/declarations.h"
#include "tealspar/directory.h"
#include "tealspar/idempotency.h"
#include "tealspar/membership.h"

#include "../../src/broker/broker_internal.h"

#define VERSION_LIFT 1000U

static bool is_planted(const char *name)
{
    const char *planted = getenv("TEALSPAR_PLANT");
    return planted != NULL && strcmp(planted, name) == 0;
}

/* "idempotency": an id that was dispatched is dispatched again. */
ts_idempotency_verdict_t __real_ts_idempotency_admit(ts_idempotency_t *table,
                                                     const ts_query_params_t *work,
                                                     ts_time_us_t now_us);
ts_idempotency_verdict_t __wrap_ts_idempotency_admit(ts_idempotency_t *table,
                                                     const ts_query_params_t *work,
                                                     ts_time_us_t now_us)
{
    ts_idempotency_verdict_t verdict = __real_ts_idempotency_admit(table, work, now_us);
    return is_planted("idempotency") ? TS_IDEMPOTENCY_RUN : verdict;
}

/* "fence": a new owner vouches for ids that an earlier owner may have dispatched. */
/* "foreign": a node of another zone vouches while the zone's own nodes are only cut off. */
ts_owned_t *__real_ts_owned_create(ts_broker_t *broker, const ts_backend_t *backend);
ts_owned_t *__wrap_ts_owned_create(ts_broker_t *broker, const ts_backend_t *backend)
{
    ts_owned_t *owned = __real_ts_owned_create(broker, backend);
    if (is_planted("fence")) {
        owned->owned_since_ms = 0;
    }
    if (is_planted("foreign")) {
        owned->is_foreign = false;
    }
    return owned;
}

/* "quorum": a node that hears no majority of its zone believes that it does. */
ts_view_t *__real_ts_membership_view(const ts_membership_t *membership);
ts_view_t *__wrap_ts_membership_view(const ts_membership_t *membership)
{
    ts_view_t *view = __real_ts_membership_view(membership);
    view->has_quorum |= is_planted("quorum");
    return view;
}

/* "drained": work goes to a back end that has said that it drains. */
void __real_ts_owned_submit(ts_owned_t *owned, ts_job_t *job);
void __wrap_ts_owned_submit(ts_owned_t *owned, ts_job_t *job)
{
    if (is_planted("drained")) {
        owned->state = TS_OWNED_SERVING;
        owned->allowed = owned->slots;
    }
    __real_ts_owned_submit(owned, job);
}

/* "stall": a process that stood still goes on with what it believed before. */
void __real_ts_owned_recheck(ts_owned_t *owned);
void __wrap_ts_owned_recheck(ts_owned_t *owned)
{
    if (!is_planted("stall")) {
        __real_ts_owned_recheck(owned);
    }
}

/* "refusal": an outcome that may have run is called 'not run'. */
void __real_ts_directory_learn(ts_directory_t *directory, ts_replica_t *replica,
                               const ts_subreply_t *subreply, ts_time_us_t latency_us,
                               ts_time_us_t now_us);
void __wrap_ts_directory_learn(ts_directory_t *directory, ts_replica_t *replica,
                               const ts_subreply_t *subreply, ts_time_us_t latency_us,
                               ts_time_us_t now_us)
{
    if (is_planted("refusal") && subreply->error != TS_OK) {
        ((ts_subreply_t *)subreply)->run = TS_EXECUTION_NONE;
    }
    __real_ts_directory_learn(directory, replica, subreply, latency_us, now_us);
}

/* "version": whatever is loaded last counts as the newest. */
ts_declarations_t *__real_ts_declarations_load(const char *text, size_t length,
                                               ts_problems_t *problems);
ts_declarations_t *__wrap_ts_declarations_load(const char *text, size_t length,
                                               ts_problems_t *problems)
{
    ts_declarations_t *declarations = __real_ts_declarations_load(text, length, problems);
    static uint64_t loads = VERSION_LIFT;
    if (is_planted("version") && declarations != NULL) {
        declarations->version = ++loads;
    }
    return declarations;
}
