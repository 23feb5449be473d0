/**
 * Parses and validates configuration documents on a worker thread: validating 3,800 backends takes
 * tens of milliseconds, which would block queries on the node's thread. Documents are loaded one at
 * a time; the callback runs on the node's thread.
 */
#ifndef TEALSPAR_DOCUMENT_LOADER_H
#define TEALSPAR_DOCUMENT_LOADER_H

#include "tealspar/declarations.h"
#include "tealspar/runtime.h"

typedef struct ts_document_loader ts_document_loader_t;

/** Result of loading one document. */
typedef struct ts_loaded_document {
    uint64_t digest;                 /**< digest of the text */
    uint64_t version;                /**< version announced by the peer; 0: from the platform */
    ts_declarations_t *declarations; /**< the callback takes ownership; NULL if invalid */
    const ts_problems_t *problems;   /**< validation errors; valid during the callback */
} ts_loaded_document_t;

typedef void (*ts_document_loaded_t)(void *context, const ts_loaded_document_t *document);

ts_document_loader_t *ts_document_loader_create(ts_runtime_t *runtime,
                                                ts_document_loaded_t on_loaded, void *context);
/** Call only after the runtime has stopped. */
void ts_document_loader_destroy(ts_document_loader_t *loader);
/** Queues a copy of the text, unless the same text is already queued or being loaded. */
void ts_document_loader_submit(ts_document_loader_t *loader, const char *text, size_t length,
                               uint64_t version);

#endif
