/** Pages of entries from the configuration service. */
#include "tealspar/dialect.h"

void ts_store_entry_free(void *data)
{
    ts_store_entry_t *entry = data;
    g_free(entry->key);
    g_free(entry->id);
    g_free(entry->value);
    g_free(entry);
}

ts_store_page_t *ts_store_page_create(void)
{
    ts_store_page_t *page = g_new0(ts_store_page_t, 1);
    page->entries = g_ptr_array_new_with_free_func(ts_store_entry_free);
    return page;
}

void ts_store_page_free(ts_store_page_t *page)
{
    g_ptr_array_unref(page->entries);
    g_free(page);
}

void ts_store_page_set_epoch(ts_store_page_t *page, uint64_t epoch)
{
    page->position.epoch = epoch;
    for (guint i = 0; i < page->entries->len; i++) {
        ts_store_entry_t *entry = g_ptr_array_index(page->entries, i);
        entry->changed.epoch = epoch;
    }
}

ts_store_entry_t *ts_store_page_add(ts_store_page_t *page)
{
    ts_store_entry_t *entry = g_new0(ts_store_entry_t, 1);
    g_ptr_array_add(page->entries, entry);
    return entry;
}
