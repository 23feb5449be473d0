/** Loans of retry budget: a node that has exhausted its own borrows from other nodes. */
#include "peers_internal.h"
#include "tealspar/counters.h"
#include "tealspar/mechanism.h"

/* Number of nodes that a loan is requested from at once. */
#define LOAN_FANOUT 2U
/* Minimum interval between this node's loan requests for a service. */
#define LOAN_INTERVAL_US (20 * TS_US_PER_MS)
/* Maximum number of sends (retries or hedges) lent per request. */
#define LOAN_GRANT_MAX 2U

/* `granted`: number of sends lent; 0: requests a loan. */
static void send_loan(ts_peers_t *peers, const char *address, const char *service, uint32_t granted)
{
    TsPeer__Loan loan = TS_PEER__LOAN__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    loan.service = (char *)service;
    loan.granted = granted;
    frame.loan = &loan;
    ts_peers_send(peers, address, &frame);
}

void ts_peers_handle_loan(ts_peers_t *peers, const char *address, const TsPeer__Loan *loan)
{
    ts_gateway_t *gateway = peers->gateway;
    ts_service_t *service = ts_registry_find_service(gateway->registry, loan->service);
    ts_time_us_t now_us = ts_clock_now_us();
    if (service == NULL)
        return;
    if (loan->granted > 0) {
        ts_count(TS_COUNTER_EXTRAS_BORROWED, loan->granted);
        ts_retry_budget_borrow(&service->budget, loan->granted, now_us);
        return;
    }
    uint32_t granted =
        ts_retry_budget_lend(&service->budget, &gateway->retry_rule, LOAN_GRANT_MAX, now_us);
    if (granted > 0) {
        ts_count(TS_COUNTER_EXTRAS_LENT, granted);
        send_loan(peers, address, loan->service, granted);
    }
}

void ts_peers_request_loan(ts_peers_t *peers, ts_service_t *service, ts_time_us_t now_us)
{
    size_t count = peers->view->count;
    size_t begin = ts_gateway_random(peers->gateway) % count;
    bool is_off = !ts_mechanism_is_on(TS_MECHANISM_LOANS);
    if (is_off || now_us - service->budget.asked_us < LOAN_INTERVAL_US)
        return;
    service->budget.asked_us = now_us;
    for (size_t i = 0, asked = 0; i < count && asked < LOAN_FANOUT; i++) {
        const ts_view_member_t *member = &peers->view->members[(begin + i) % count];
        if (member->is_self || member->state != TS_MEMBER_LIVE)
            continue;
        send_loan(peers, member->address, service->name, 0);
        asked++;
    }
}
