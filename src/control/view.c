/** Membership views, and rendezvous hashing of backends to owners. */
#include "tealspar/view.h"

#include <glib.h>
#include <string.h>

#include "tealspar/hash.h"

const char *ts_member_state_name(ts_member_state_t state)
{
    static const char *const names[] = {"live", "suspect", "leaving", "dead"};
    return names[state];
}

ts_view_t *ts_view_create(size_t capacity)
{
    ts_view_t *view = g_new0(ts_view_t, 1);
    view->references = 1;
    view->members = g_new0(ts_view_member_t, capacity);
    return view;
}

void ts_view_add(ts_view_t *view, const char *name, const char *address, const char *zone,
                 uint64_t incarnation, ts_member_state_t state, bool is_self)
{
    ts_view_member_t *member = &view->members[view->count++];
    member->name = g_strdup(name);
    member->address = g_strdup(address);
    member->zone = g_strdup(zone);
    member->id = ts_hash_text(name);
    member->incarnation = incarnation;
    member->state = state;
    member->is_self = is_self;
}

ts_view_t *ts_view_ref(ts_view_t *view)
{
    view->references++;
    return view;
}

void ts_view_unref(ts_view_t *view)
{
    if (view == NULL || --view->references > 0) {
        return;
    }
    for (size_t i = 0; i < view->count; i++) {
        g_free(view->members[i].name);
        g_free(view->members[i].address);
        g_free(view->members[i].zone);
    }
    g_free(view->members);
    g_free(view);
}

static bool is_eligible(const ts_view_member_t *member)
{
    return member->state == TS_MEMBER_LIVE || member->state == TS_MEMBER_SUSPECT;
}

/* The eligible member with the highest rendezvous weight; `zone` NULL means any zone. */
static const ts_view_member_t *find_highest_weight(const ts_view_t *view, uint64_t key,
                                                   const char *zone)
{
    const ts_view_member_t *best = NULL;
    uint64_t best_weight = 0;
    for (size_t i = 0; i < view->count; i++) {
        const ts_view_member_t *member = &view->members[i];
        if (!is_eligible(member) || (zone != NULL && strcmp(member->zone, zone) != 0)) {
            continue;
        }
        uint64_t weight = ts_hash_mix(member->id, key);
        if (best == NULL || weight > best_weight) {
            best = member;
            best_weight = weight;
        }
    }
    return best;
}

const ts_view_member_t *ts_view_owner(const ts_view_t *view, const ts_backend_t *backend)
{
    const ts_view_member_t *owner = find_highest_weight(view, backend->id, backend->zone);
    return owner != NULL ? owner : find_highest_weight(view, backend->id, NULL);
}
