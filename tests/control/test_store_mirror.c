/**
 * The mirrors of three gateways beside a model of the configuration service. Lists in pages, watch
 * responses and answers of peers are taken at one time and applied at a later one, in random order;
 * calls are cut, gateways start again, tombstones expire.
 */
#include "../test_support.h"

#include <string.h>

#include "tealspar/plugin.h"
#include "tealspar/store_mirror.h"

#define MEMBERS 3
/* Entries of searchers, then of evacuated zones. */
#define SEARCHERS 8
#define ZONES 3
#define KEYS (SEARCHERS + ZONES)
#define PAGE_SIZE 3
#define STEPS 400
#define SEEDS 300
#define MESSAGES_MAX 4

/** A write or deletion of a key. */
typedef struct change {
    unsigned key;
    bool is_deleted;
} change_t;

/** An answer on its way to a member. */
typedef struct message {
    bool is_list;
    ts_store_position_t position;
    uint64_t base_revision;
    GPtrArray *entries;
} message_t;

typedef struct member {
    ts_gateway_t gateway;
    ts_store_mirror_t *mirror;
    GPtrArray *list; /* pages of the list in progress; NULL: none */
    ts_store_position_t list_position;
    unsigned list_next_key;
    message_t messages[MESSAGES_MAX];
    unsigned message_count;
} member_t;

typedef struct world {
    uv_loop_t loop;
    ts_gateway_settings_t settings;
    GRand *random;
    GArray *history; /* of change_t; index 0 is revision 1 */
    member_t members[MEMBERS];
} world_t;

static const ts_dialect_t *platform(void)
{
    return ts_plugin_find(TS_PLUGIN_DIALECT, "platform");
}

static unsigned draw(world_t *world, unsigned count)
{
    return (unsigned)g_rand_int_range(world->random, 0, (gint32)count);
}

/* -- The service ------------------------------------------------------------------------------- */

static ts_store_position_t position_at(uint64_t revision)
{
    return (ts_store_position_t){ts_store_epoch_from_reported(1), revision};
}

static uint64_t latest_revision(const world_t *world)
{
    return world->history->len;
}

/* Returns the revision at which a key that exists at `at` was last written; 0: it does not exist.
 */
static uint64_t written_at(const world_t *world, unsigned key, uint64_t at)
{
    for (uint64_t revision = at; revision > 0; revision--) {
        const change_t *change = &g_array_index(world->history, change_t, revision - 1);
        if (change->key == key)
            return change->is_deleted ? 0 : revision;
    }
    return 0;
}

static bool has_change_after(const world_t *world, unsigned key, uint64_t position, bool is_deleted)
{
    for (uint64_t revision = position + 1; revision <= latest_revision(world); revision++) {
        const change_t *change = &g_array_index(world->history, change_t, revision - 1);
        if (change->key == key && change->is_deleted == is_deleted)
            return true;
    }
    return false;
}

static void write_key(world_t *world, unsigned key)
{
    bool exists = written_at(world, key, latest_revision(world)) != 0;
    change_t change = {key, exists && draw(world, 3) > 0};
    g_array_append_val(world->history, change);
}

static bool is_searcher(unsigned key)
{
    return key < SEARCHERS;
}

static char *key_name(unsigned key)
{
    return g_strdup_printf(is_searcher(key) ? "servers/i-%u" : "op/evacuate/z-%u", key);
}

static unsigned key_number(const char *name)
{
    return (unsigned)strtoul(strrchr(name, '-') + 1, NULL, 10);
}

static ts_store_entry_t *make_entry(unsigned key, uint64_t revision, bool is_deleted)
{
    ts_store_entry_t *entry = g_new0(ts_store_entry_t, 1);
    entry->key = key_name(key);
    entry->changed = position_at(revision);
    entry->is_deleted = is_deleted;
    platform()->classify_entry(entry);
    if (is_deleted)
        return entry;
    entry->value =
        !is_searcher(key)
            ? g_strdup("{}")
            : g_strdup_printf("{\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\","
                              "\"slots\":%lu,\"state\":\"ready\",\"warmupLeftMs\":0}",
                              (unsigned long)revision);
    entry->length = strlen(entry->value);
    return entry;
}

static GPtrArray *new_entries(void)
{
    return g_ptr_array_new_with_free_func(ts_store_entry_free);
}

/* -- Gateways ---------------------------------------------------------------------------------- */

static void drop_list(member_t *member)
{
    g_clear_pointer(&member->list, g_ptr_array_unref);
    member->list_next_key = 0;
}

static void start_member(world_t *world, member_t *member)
{
    drop_list(member);
    for (unsigned i = 0; i < member->message_count; i++)
        g_ptr_array_unref(member->messages[i].entries);
    member->message_count = 0;
    member->gateway.loop = &world->loop;
    member->gateway.settings = &world->settings;
    member->gateway.dialect = platform();
    member->gateway.registry = ts_registry_create("z1", NULL);
    member->mirror = ts_store_mirror_create(&member->gateway);
}

static void apply_list(member_t *member, const message_t *message)
{
    const ts_store_list_t list = {.entries = message->entries,
                                  .position = message->position,
                                  .base_revision = message->base_revision,
                                  .confirmed_us = ts_clock_now_us(),
                                  .source = "model"};
    (void)ts_store_mirror_apply_list(member->mirror, &list);
}

static void list_page(world_t *world, member_t *member)
{
    unsigned key = member->list_next_key;
    if (member->list == NULL) {
        member->list = new_entries();
        member->list_position = position_at(latest_revision(world));
    }
    for (unsigned n = 0; key < KEYS && n < PAGE_SIZE; key++) {
        uint64_t revision = written_at(world, key, latest_revision(world));
        if (revision == 0)
            continue;
        g_ptr_array_add(member->list, make_entry(key, revision, false));
        n++;
    }
    member->list_next_key = key;
    if (key < KEYS)
        return;
    const message_t message = {true, member->list_position, 0, member->list};
    apply_list(member, &message);
    drop_list(member);
}

static message_t *add_message(member_t *member)
{
    if (member->message_count == MESSAGES_MAX)
        return NULL;
    message_t *message = &member->messages[member->message_count++];
    *message = (message_t){.entries = new_entries()};
    return message;
}

static void answer_watch(world_t *world, member_t *member)
{
    if (!ts_store_mirror_is_loaded(member->mirror))
        return;
    message_t *message = add_message(member);
    if (message == NULL)
        return;
    uint64_t after = ts_store_mirror_position(member->mirror).revision;
    for (uint64_t revision = after + 1; revision <= latest_revision(world); revision++) {
        const change_t *change = &g_array_index(world->history, change_t, revision - 1);
        g_ptr_array_add(message->entries, make_entry(change->key, revision, change->is_deleted));
    }
    message->position = position_at(latest_revision(world));
}

static void answer_pull(member_t *peer, member_t *member)
{
    if (!ts_store_mirror_is_loaded(peer->mirror))
        return;
    message_t *message = add_message(member);
    if (message == NULL)
        return;
    ts_store_position_t after = {0, 0};
    if (ts_store_mirror_is_loaded(member->mirror))
        after = ts_store_mirror_position(member->mirror);
    GPtrArray *changes = ts_store_mirror_changes(peer->mirror, after, &message->is_list);
    for (guint i = 0; i < changes->len; i++) {
        const ts_store_entry_t *entry = g_ptr_array_index(changes, i);
        g_ptr_array_add(message->entries, make_entry(key_number(entry->key),
                                                     entry->changed.revision, entry->is_deleted));
    }
    message->position = ts_store_mirror_position(peer->mirror);
    message->base_revision = ts_store_mirror_base_revision(peer->mirror);
    g_ptr_array_unref(changes);
}

static void apply_message(member_t *member, const message_t *message)
{
    if (message->is_list) {
        apply_list(member, message);
    } else if (ts_store_mirror_is_loaded(member->mirror)) {
        (void)ts_store_mirror_apply(member->mirror, message->entries, message->position);
        ts_store_mirror_advance(member->mirror, message->position, ts_clock_now_us());
    }
}

/* Delivers or loses one of the answers. */
static void deliver(world_t *world, member_t *member)
{
    if (member->message_count == 0)
        return;
    unsigned i = draw(world, member->message_count);
    message_t message = member->messages[i];
    member->messages[i] = member->messages[--member->message_count];
    bool is_lost = draw(world, 6) == 0;
    if (!is_lost)
        apply_message(member, &message);
    g_ptr_array_unref(message.entries);
}

/* -- Runs -------------------------------------------------------------------------------------- */

static void take_step(world_t *world)
{
    member_t *member = &world->members[draw(world, MEMBERS)];
    unsigned kind = draw(world, 100);
    if (kind < 25)
        write_key(world, draw(world, KEYS));
    else if (kind < 45)
        list_page(world, member);
    else if (kind < 55)
        answer_watch(world, member);
    else if (kind < 70)
        answer_pull(&world->members[draw(world, MEMBERS)], member);
    else if (kind < 92)
        deliver(world, member);
    else if (kind < 95)
        drop_list(member);
    else if (kind < 97)
        start_member(world, member);
    else
        ts_store_mirror_sweep(member->mirror, ts_clock_now_us() + 120 * TS_US_PER_S);
}

/*
 * Whether the registry has an entry as it was at the mirror's position. Later changes may be there:
 * the pages of a list are no snapshot.
 */
static bool is_right(const world_t *world, const member_t *member, unsigned key)
{
    const ts_registry_t *registry = member->gateway.registry;
    uint64_t position = ts_store_mirror_position(member->mirror).revision;
    uint64_t expected = written_at(world, key, position);
    char name[16];
    if (is_searcher(key)) {
        g_snprintf(name, sizeof(name), "i-%u", key);
        const ts_instance_t *instance = ts_registry_find_current(registry, name);
        uint64_t known = instance != NULL && instance->is_listed ? instance->slots : 0;
        bool is_newer = known > position && written_at(world, key, known) == known;
        bool is_gone_later = known == 0 && has_change_after(world, key, position, true);
        return known == expected || is_newer || is_gone_later;
    }
    g_snprintf(name, sizeof(name), "z-%u", key);
    bool is_known = ts_registry_is_evacuated(registry, name);
    return is_known == (expected != 0) || has_change_after(world, key, position, !is_known);
}

/* Returns the key of an entry that a mirror should not have, or lacks, -1 if there is none. */
static int find_wrong_key(const world_t *world, const member_t *member)
{
    for (unsigned key = 0; ts_store_mirror_is_loaded(member->mirror) && key < KEYS; key++) {
        if (!is_right(world, member, key))
            return (int)key;
    }
    return -1;
}

static world_t *open_world(unsigned seed)
{
    world_t *world = g_new0(world_t, 1);
    uv_loop_init(&world->loop);
    world->settings.heartbeat_ms = 1200;
    world->random = g_rand_new_with_seed(seed);
    world->history = g_array_new(FALSE, FALSE, sizeof(change_t));
    for (unsigned i = 0; i < MEMBERS; i++)
        start_member(world, &world->members[i]);
    return world;
}

static void run_seed(unsigned seed)
{
    world_t *world = open_world(seed);
    for (unsigned step = 0; step < STEPS; step++) {
        take_step(world);
        for (unsigned i = 0; i < MEMBERS; i++) {
            int key = find_wrong_key(world, &world->members[i]);
            if (key >= 0)
                fail_msg("seed %u step %u: gateway %u has a wrong entry %d", seed, step, i, key);
        }
    }
}

/*
 * Guards against a deleted entry that is listed again: by a list that was begun before the mirror
 * moved on, by a late answer, or by a peer that passes on changes without the deletions among them.
 */
static void test_deleted_entries_stay_deleted(void **state)
{
    for (unsigned seed = 1; seed <= SEEDS; seed++)
        run_seed(seed);
}

/*
 * Guards against a deletion that a peer never hears of: a gateway that has only listed the entries
 * doesn't know which ones were deleted before, so it must not send single changes since then.
 */
static void test_deletion_before_a_list_reaches_peers(void **state)
{
    world_t *world = open_world(1);
    member_t *informed = &world->members[0];
    member_t *lagging = &world->members[1];
    const change_t changes[] = {{0, false}, {1, false}, {0, true}};
    g_array_append_vals(world->history, changes, 2);
    list_page(world, lagging);
    g_array_append_vals(world->history, changes + 2, 1);
    list_page(world, informed);
    answer_pull(informed, lagging);
    assert_int_equal(lagging->message_count, 1);
    apply_message(lagging, &lagging->messages[0]);
    assert_int_equal(ts_store_mirror_position(lagging->mirror).revision, 3);
    assert_int_equal(find_wrong_key(world, lagging), -1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_deletion_before_a_list_reaches_peers),
        cmocka_unit_test(test_deleted_entries_stay_deleted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
