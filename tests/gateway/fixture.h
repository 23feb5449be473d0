/**
 * Test fixture: a gateway, a fake configuration store, fake searchers (the gateway's backends) and
 * raw-socket clients, all on one event loop and connected over 127.0.0.1. Tests with several
 * gateways call them nodes.
 */
#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H

#include "../test_support.h"

#include "standin_searcher.h"
#include "standin_store.h"
#include "tealspar/gateway.h"

typedef struct fixture {
    uv_loop_t loop;
    ts_gateway_t gateway;
    lab_store_t *store;
    unsigned callers_port; /**< accepts requests */
    unsigned ready_port;   /**< serves the readiness endpoint */
    unsigned store_port;
} fixture_t;

/** A client connection to a gateway. */
typedef struct client {
    uv_tcp_t socket;
    uv_connect_t connect_request;
    GString *received;
    ts_http_message_t response; /**< parsed from `received` */
    bool is_response_returned;  /**< client_await_response has returned `response` */
    bool is_connected;
    bool is_closed_by_peer;
    bool was_reset; /**< closed with an error, not with an end of stream */
} client_t;

/** Opens the store and the gateway; `settings`: additional YAML lines, or NULL. */
fixture_t *fixture_open(const char *settings);
/**
 * Opens another gateway, which listens for peers; `store_port` 0: it cannot reach the store. The
 * gateway in fixture_t has no peers, so tests of peers use only gateways added here.
 */
ts_gateway_t *fixture_add_gateway(fixture_t *fixture, const char *name, const char *zone,
                                  unsigned peers_port, unsigned seed_port, unsigned store_port);
/** Opens a gateway on the fixture's loop with complete settings, as YAML. */
ts_gateway_t *fixture_open_gateway(fixture_t *fixture, const char *settings);
/** Allocates a port that is not used by any other part of the test. */
unsigned fixture_next_port(void);
/**
 * Runs the loop until the gateway has at least this configuration version and exactly this number
 * of listed backends; returns false after 5 s.
 */
bool fixture_await_synced(fixture_t *fixture, const ts_gateway_t *gateway, uint64_t version,
                          unsigned backend_count);
/** Writes a configuration to the store and waits until the gateway has it; `routes`: JSON. */
void fixture_put_config(fixture_t *fixture, unsigned version, const char *routes);
/** Opens a searcher, registers it in the store and waits until the gateway lists it. */
lab_searcher_t *fixture_add_searcher(fixture_t *fixture, const char *id, const char *service,
                                     const char *zone);
/** Same as fixture_add_searcher, but does not wait for the gateway. */
lab_searcher_t *fixture_register_searcher(fixture_t *fixture, const char *id, const char *service,
                                          const char *zone);
/** Registers a searcher that is already open and waits until the gateway lists it. */
void fixture_add_existing_searcher(fixture_t *fixture, const lab_searcher_t *searcher);
void fixture_set_draining(fixture_t *fixture, const lab_searcher_t *searcher);
/** Runs the loop for the given time. */
void fixture_run_ms(fixture_t *fixture, unsigned duration_ms);
/** Runs the loop until `*value` is at least `minimum`; returns false after 5 s. */
bool fixture_run_until(fixture_t *fixture, const unsigned *value, unsigned minimum);
/** Runs the loop until the gateway has at least this configuration version, for at most 5 s. */
void fixture_await_version(fixture_t *fixture, uint64_t version);

/** Runs the loop until the gateway lists this number of backends, for at most 5 s. */
void fixture_await_backend_count(fixture_t *fixture, unsigned backend_count);

client_t *client_connect(fixture_t *fixture, unsigned port);
void client_send(client_t *client, const char *bytes);
/**
 * Runs the loop until the next response is complete and returns its status; 0 if the connection is
 * closed first or after 5 s.
 */
unsigned client_await_response(fixture_t *fixture, client_t *client);
void client_close(client_t *client);
void client_stop_reading(client_t *client);
void client_resume_reading(client_t *client);
/** Sends a GET request on a new connection, which stays open, and waits for the response. */
client_t *client_get(fixture_t *fixture, const char *target, const char *id, unsigned deadline_ms,
                     unsigned *status);

/** JSON of a route that forwards to one service. */
#define SERVICE_ROUTE_JSON(name, prefix, route_type, service, timeout_ms)                          \
    "{\"name\":\"" name "\",\"host\":\"h.example\",\"pathPrefix\":\"" prefix                       \
    "\",\"routeType\":\"" route_type "\",\"timeoutMs\":" #timeout_ms                               \
    ",\"targetLatencyMs\":200,\"priority\":1,\"service\":\"" service "\",\"maxAttempts\":2}"
/** JSON of a route that gathers from the services a, b and c. */
#define GATHER_ROUTE_JSON(name, prefix, min_coverage)                                              \
    "{\"name\":\"" name "\",\"host\":\"h.example\",\"pathPrefix\":\"" prefix                       \
    "\",\"routeType\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":200,\"priority\":1,"   \
    "\"gather\":[\"a\",\"b\",\"c\"],\"maxAttempts\":2,\"topK\":3,\"minCoverage\":" #min_coverage   \
    "}"

#endif
