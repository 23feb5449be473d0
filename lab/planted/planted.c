/**
 * Planted bugs: each wraps a function at link time (ld --wrap) to violate one guarantee, to test
 * that the fuzzer detects it. Linked into `fuzz_planted` only; the environment variable
 * TEALSPAR_PLANT selects the bug.
 */
#include <stdlib.h>
#include <string.h>

#include "tealspar/declarations.h"
#include "tealspar/directory.h"
#include "tealspar/idempotency.h"
#include "tealspar/membership.h"

#include "../../src/broker/broker_internal.h"

#define VERSION_OFFSET 1000U

static bool is_planted(const char *name)
{
    const char *planted = getenv("TEALSPAR_PLANT");
    return planted != NULL && strcmp(planted, name) == 0;
}

/* "idempotency": an id that was already dispatched is dispatched again. */
ts_idempotency_decision_t __real_ts_idempotency_admit(ts_idempotency_t *table,
                                                      const ts_query_params_t *work,
                                                      ts_time_us_t now_us);
ts_idempotency_decision_t __wrap_ts_idempotency_admit(ts_idempotency_t *table,
                                                      const ts_query_params_t *work,
                                                      ts_time_us_t now_us)
{
    ts_idempotency_decision_t verdict = __real_ts_idempotency_admit(table, work, now_us);
    return is_planted("idempotency") ? TS_IDEMPOTENCY_RUN : verdict;
}

/* "fence": a new owner treats ids as not dispatched that a previous owner may have dispatched. */
/* "foreign": a node of another zone does so while the zone's own nodes are merely partitioned. */
ts_owned_backend_t *__real_ts_owned_create(ts_broker_t *broker, const ts_backend_t *backend);
ts_owned_backend_t *__wrap_ts_owned_create(ts_broker_t *broker, const ts_backend_t *backend)
{
    ts_owned_backend_t *owned = __real_ts_owned_create(broker, backend);
    if (is_planted("fence")) {
        owned->owned_since_ms = 0;
    }
    if (is_planted("foreign")) {
        owned->is_foreign = false;
    }
    return owned;
}

/* "quorum": a node without contact to a majority of its zone assumes that it has a quorum. */
ts_view_t *__real_ts_membership_view(const ts_membership_t *membership);
ts_view_t *__wrap_ts_membership_view(const ts_membership_t *membership)
{
    ts_view_t *view = __real_ts_membership_view(membership);
    view->has_quorum |= is_planted("quorum");
    return view;
}

/* "drained": requests are sent to a backend that has reported that it is draining. */
void __real_ts_owned_submit(ts_owned_backend_t *owned, ts_job_t *job);
void __wrap_ts_owned_submit(ts_owned_backend_t *owned, ts_job_t *job)
{
    if (is_planted("drained")) {
        owned->state = TS_OWNED_SERVING;
        owned->slots_allowed = owned->slots;
    }
    __real_ts_owned_submit(owned, job);
}

/* "stall": after a process stall, a node continues with its outdated state. */
void __real_ts_owned_recheck(ts_owned_backend_t *owned);
void __wrap_ts_owned_recheck(ts_owned_backend_t *owned)
{
    if (!is_planted("stall")) {
        __real_ts_owned_recheck(owned);
    }
}

/* "refusal": a failed request that may have run is reported as not run. */
void __real_ts_directory_record_reply(ts_directory_t *directory, ts_replica_t *replica,
                                      const ts_subreply_t *subreply, ts_time_us_t latency_us,
                                      ts_time_us_t now_us);
void __wrap_ts_directory_record_reply(ts_directory_t *directory, ts_replica_t *replica,
                                      const ts_subreply_t *subreply, ts_time_us_t latency_us,
                                      ts_time_us_t now_us)
{
    if (is_planted("refusal") && subreply->error != TS_OK) {
        ((ts_subreply_t *)subreply)->run = TS_EXECUTION_NONE;
    }
    __real_ts_directory_record_reply(directory, replica, subreply, latency_us, now_us);
}

/* "version": the configuration loaded last always counts as the newest. */
ts_declarations_t *__real_ts_declarations_load(const char *text, size_t length,
                                               ts_problems_t *problems);
ts_declarations_t *__wrap_ts_declarations_load(const char *text, size_t length,
                                               ts_problems_t *problems)
{
    ts_declarations_t *declarations = __real_ts_declarations_load(text, length, problems);
    static uint64_t loads = VERSION_OFFSET;
    if (is_planted("version") && declarations != NULL) {
        declarations->version = ++loads;
    }
    return declarations;
}
