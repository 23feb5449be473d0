/**
 * Interface for reading the configuration and the machine list from the platform. Each protocol or
 * format is a plug-in of kind TS_PLUGIN_PLATFORM.
 */
#ifndef TEALSPAR_PLATFORM_H
#define TEALSPAR_PLATFORM_H

#include "tealspar/messages.h"
#include "tealspar/node.h"

/**
 * Receives a document or an error. `text` is valid during the call; NULL if the document is
 * unchanged or the call failed.
 */
typedef void (*ts_platform_document_t)(void *context, ts_error_t error, const char *text,
                                       size_t length);
/** Receives the machine list, or an error and NULL. The callee owns the message. */
typedef void (*ts_platform_machines_t)(void *context, ts_error_t error,
                                       ts_machines_message_t *machines);

typedef struct ts_platform {
    /** Creates a handle for the calls below. Returns TS_OK or TS_E_ADDRESS. */
    ts_error_t (*open)(void **handle, const ts_node_t *node);
    /** Reads the configuration unless its version is still `known_version`. One call at a time. */
    void (*read_document)(void *handle, uint64_t known_version, ts_platform_document_t done,
                          void *context);
    /** Reads the machine list. One call at a time. */
    void (*read_machines)(void *handle, ts_platform_machines_t done, void *context);
} ts_platform_t;

#endif
