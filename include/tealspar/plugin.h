/**
 * The plug-in registry. A plug-in is a static record registered before main() by
 * `TS_REGISTER_PLUGIN`. The kernel looks plug-ins up by kind and name and does not depend on any.
 */
#ifndef TEALSPAR_PLUGIN_H
#define TEALSPAR_PLUGIN_H

#include <stddef.h>

typedef enum ts_plugin_kind {
    TS_PLUGIN_COMMAND,         /**< a subcommand of a program; `ops` is a ts_command_t */
    TS_PLUGIN_TASK,            /**< a task of a node; `ops` is a ts_task_ops_t */
    TS_PLUGIN_POLICY,          /**< a routing policy; `ops` is a ts_policy_t */
    TS_PLUGIN_CALLER_API,      /**< an API for callers; `ops` is a ts_caller_api_t */
    TS_PLUGIN_SEARCHER_CLIENT, /**< a client for searchers; `ops` is a ts_searcher_client_t */
    TS_PLUGIN_PLATFORM,        /**< a client for the platform; `ops` is a ts_platform_t */
    TS_PLUGIN_DIALECT          /**< the protocol dialect of a deployment; `ops` is a ts_dialect_t */
} ts_plugin_kind_t;

typedef struct ts_plugin {
    ts_plugin_kind_t kind;
    const char *name;
    const char *description;
    int order; /**< plug-ins of a kind are visited in ascending order */
    const void *ops;
    struct ts_plugin *next; /**< owned by the registry */
} ts_plugin_t;

/** Registers a plug-in, before main(). The record must have static storage duration. */
void ts_plugin_register(ts_plugin_t *plugin);
/** Returns the `ops` of a plug-in, or NULL. */
const void *ts_plugin_find(ts_plugin_kind_t kind, const char *name);
/**
 * Returns the plug-in of a kind that follows `previous`, or the first if `previous` is NULL.
 * Returns NULL at the end.
 */
const ts_plugin_t *ts_plugin_next(ts_plugin_kind_t kind, const ts_plugin_t *previous);

#define TS_REGISTER_PLUGIN(symbol, plugin_kind, plugin_name, plugin_order, plugin_ops, text)       \
    static ts_plugin_t symbol = {(plugin_kind),  (plugin_name), (text),                            \
                                 (plugin_order), (plugin_ops),  NULL};                             \
    __attribute__((constructor)) static void symbol##_register(void)                               \
    {                                                                                              \
        ts_plugin_register(&symbol);                                                               \
    }

#endif
