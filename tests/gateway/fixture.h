/**
 * A gateway with stand-ins around it, on one loop and real sockets of 127.0.0.1: a store,
 * searchers, and callers that speak raw bytes.
 */
#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H

#include "../test_support.h"

#include "standin_searcher.h"
#include "standin_store.h"
#include "tealspar/gateway.h"

typedef struct world {
    uv_loop_t loop;
    ts_gateway_t gateway;
    lab_store_t *store;
    unsigned callers_port;
    unsigned ready_port;
    unsigned store_port;
} world_t;

/** A connection of a caller. */
typedef struct visit {
    uv_tcp_t socket;
    uv_connect_t connecting;
    GString *received;
    ts_http_message_t answer; /**< parsed from what was received */
    bool is_answer_taken;     /**< visit_await has returned this answer */
    bool is_open;
    bool is_ended; /**< the other side ended it */
    bool was_reset;
} visit_t;

/** Opens store and gateway; extra settings lines may be given, or NULL. */
world_t *world_open(const char *settings);
/**
 * Adds another gateway that listens for peers; `store_port` 0: a port where nobody answers. The
 * first one has no peers, so tests of peers leave it alone.
 */
ts_gateway_t *world_add_gateway(world_t *world, const char *name, const char *zone,
                                unsigned peers_port, unsigned seed_port, unsigned store_port);
/** Opens a gateway on the world's loop with the settings given as YAML. */
ts_gateway_t *world_open_gateway(world_t *world, const char *settings);
/** A port that no other part of the test uses. */
unsigned world_next_port(void);
/** Runs the loop until the gateway has this version and this many back ends, or 5 s have passed. */
bool world_await_knowledge(world_t *world, const ts_gateway_t *gateway, uint64_t version,
                           unsigned listed);
/** Writes a configuration with the version and routes, both JSON texts. */
void world_configure(world_t *world, unsigned version, const char *routes);
/** Adds a searcher and enters it in the store. */
lab_searcher_t *world_add_searcher(world_t *world, const char *id, const char *service,
                                   const char *zone);
/** The same, without waiting until the gateway knows it. */
lab_searcher_t *world_enter_searcher(world_t *world, const char *id, const char *service,
                                     const char *zone);
/** Enters a searcher that the test opened itself, and waits until the gateway knows it. */
void world_enter_existing(world_t *world, const lab_searcher_t *searcher);
void world_set_draining(world_t *world, const lab_searcher_t *searcher);
/** Runs the loop for a span. */
void world_run_ms(world_t *world, unsigned span_ms);
/** Runs the loop until `*value` reaches `least`, or 5 s have passed; returns whether it did. */
bool world_run_until(world_t *world, const unsigned *value, unsigned least);
/** Waits until the gateway has a configuration of at least this version. */
void world_await_version(world_t *world, uint64_t version);

/** Waits until the gateway knows this number of back ends. */
void world_await_listed(world_t *world, unsigned listed);

visit_t *visit_open(world_t *world, unsigned port);
void visit_send(visit_t *visit, const char *bytes);
/** Runs the loop until one answer is whole (or 5 s passed); returns its status, 0 without one. */
unsigned visit_await(world_t *world, visit_t *visit);
void visit_close(visit_t *visit);
/** A whole request on a new connection; returns the status. The visit stays open. */
visit_t *visit_get(world_t *world, const char *target, const char *id, unsigned deadline_ms,
                   unsigned *status);

/** A route to one service, as JSON. */
#define ROUTE_ONE(name, prefix, kind, service, timeout)                                            \
    "{\"name\":\"" name "\",\"host\":\"h.example\",\"pathPrefix\":\"" prefix                       \
    "\",\"routeType\":\"" kind "\",\"timeoutMs\":" #timeout                                        \
    ",\"targetLatencyMs\":200,\"priority\":1,\"service\":\"" service "\",\"maxAttempts\":2}"
/** A route over the services a, b and c, as JSON. */
#define ROUTE_GATHER(name, prefix, least)                                                          \
    "{\"name\":\"" name "\",\"host\":\"h.example\",\"pathPrefix\":\"" prefix                       \
    "\",\"routeType\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":200,\"priority\":1,"   \
    "\"gather\":[\"a\",\"b\",\"c\"],\"maxAttempts\":2,\"topK\":3,\"minCoverage\":" #least "}"

#endif
