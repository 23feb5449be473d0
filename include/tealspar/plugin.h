/**
 * The plug-in registry. A plug-in is a constant record that registers itself before `main` by
 * `TS_REGISTER_PLUGIN`; the kernel finds plug-ins by kind and name and knows none of them.
 */
#ifndef TEALSPAR_PLUGIN_H
#define TEALSPAR_PLUGIN_H

#include <stddef.h>

typedef enum ts_plugin_kind {
    TS_PLUGIN_COMMAND,         /**< a subcommand of a program; `ops` is a ts_command_t */
    TS_PLUGIN_TASK,            /**< a task of a node; `ops` is a ts_task_ops_t */
    TS_PLUGIN_POLICY,          /**< a routing policy; `ops` is a ts_policy_t */
    TS_PLUGIN_CALLER_API,      /**< how callers are spoken to; `ops` is a ts_caller_api_t */
    TS_PLUGIN_SEARCHER_CLIENT, /**< how searchers are spoken to; `ops` is ts_searcher_client_t */
    TS_PLUGIN_PLATFORM,        /**< how the platform is read; `ops` is a ts_platform_t */
    TS_PLUGIN_DIALECT          /**< what a deployment speaks; `ops` is a ts_dialect_t */
} ts_plugin_kind_t;

typedef struct ts_plugin {
    ts_plugin_kind_t kind;
    const char *name;
    const char *description;
    int order; /**< plug-ins of one kind are visited from low to high */
    const void *ops;
    struct ts_plugin *next; /**< owned by the registry */
} ts_plugin_t;

/** Adds a plug-in; called before `main`. The record must live for ever. */
void ts_plugin_register(ts_plugin_t *plugin);
/** The plug-in's `ops` by kind and name, or NULL. */
const void *ts_plugin_find(ts_plugin_kind_t kind, const char *name);
/** The next plug-in of a kind after `previous`, in order; NULL begins and ends. */
const ts_plugin_t *ts_plugin_next(ts_plugin_kind_t kind, const ts_plugin_t *previous);

#define TS_REGISTER_PLUGIN(symbol, plugin_kind, plugin_name, plugin_order, plugin_ops, text)       \
    static ts_plugin_t symbol = {(plugin_kind),  (plugin_name), (text),                            \
                                 (plugin_order), (plugin_ops),  NULL};                             \
    __attribute__((constructor)) static void symbol##_register(void)                               \
    {                                                                                              \
        ts_plugin_register(&symbol);                                                               \
    }

#endif
