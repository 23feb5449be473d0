/** The plug-in registry: one list for all kinds, sorted by order and name. */
#include "tealspar/plugin.h"

#include <string.h>

static ts_plugin_t *registered;

static int compare_plugins(const ts_plugin_t *left, const ts_plugin_t *right)
{
    if (left->order != right->order) {
        return left->order - right->order;
    }
    return strcmp(left->name, right->name);
}

void ts_plugin_register(ts_plugin_t *plugin)
{
    ts_plugin_t **link = &registered;
    while (*link != NULL && compare_plugins(*link, plugin) < 0) {
        link = &(*link)->next;
    }
    plugin->next = *link;
    *link = plugin;
}

const ts_plugin_t *ts_plugin_next(ts_plugin_kind_t kind, const ts_plugin_t *previous)
{
    const ts_plugin_t *plugin = previous == NULL ? registered : previous->next;
    while (plugin != NULL && plugin->kind != kind) {
        plugin = plugin->next;
    }
    return plugin;
}

const void *ts_plugin_find(ts_plugin_kind_t kind, const char *name)
{
    const ts_plugin_t *plugin = NULL;
    while ((plugin = ts_plugin_next(kind, plugin)) != NULL) {
        if (strcmp(plugin->name, name) == 0) {
            return plugin->ops;
        }
    }
    return NULL;
}
