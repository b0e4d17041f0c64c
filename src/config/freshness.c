#include "config/freshness.h"

const char *const EyFreshness_state_names[EY_FRESHNESS_STATE_COUNT] = {
    [EY_FRESHNESS_NONE] = "none",
    [EY_FRESHNESS_HELD] = "held",
    [EY_FRESHNESS_UNCONFIRMED] = "unconfirmed",
    [EY_FRESHNESS_AGED] = "aged",
    [EY_FRESHNESS_BEHIND] = "behind",
    [EY_FRESHNESS_CURRENT] = "current",
};

const EyFreshnessPermissions_t
    EyFreshness_permissions[EY_FRESHNESS_STATE_COUNT] = {
        [EY_FRESHNESS_NONE] = {.may_be_ready = true},
        [EY_FRESHNESS_HELD] = {.may_be_ready = false},
        [EY_FRESHNESS_UNCONFIRMED] = {.may_be_ready = true, .may_serve = true},
        [EY_FRESHNESS_AGED] = {.may_be_ready = true,
                               .may_serve = true,
                               .may_serve_bound = true},
        [EY_FRESHNESS_BEHIND] = {.may_be_ready = true, .may_serve = true},
        [EY_FRESHNESS_CURRENT] = {.may_be_ready = true,
                                  .may_serve = true,
                                  .may_serve_bound = true,
                                  .may_reject = true},
};

int64_t
EyFreshness_AgeMs(const EyFreshness_t *self, int64_t now_ms)
{
    return self->as_of_ms > 0 ? now_ms - self->as_of_ms : -1;
}

void
EyFreshness_Update(EyFreshness_t *self, const EyFreshness_t *other)
{
    if (other->as_of_ms > self->as_of_ms) {
        *self = *other;
    }
}

static bool
is_current(const EyFreshnessFacts_t *facts)
{
    int64_t age_max_ms = facts->is_used ? EY_FRESHNESS_CURRENT_MAX_MS
                                        : EY_FRESHNESS_START_MAX_MS;
    int64_t age_ms = EyFreshness_AgeMs(&facts->freshness, facts->now_ms);
    return age_ms >= 0 && age_ms <= age_max_ms;
}

/** True if nothing was acknowledged without this gateway: it was confirmed
 * last when most control processes answered already, as they do since. */
static bool
has_missed_nothing(const EyFreshnessFacts_t *facts)
{
    return facts->is_used && facts->freshness.as_of_ms > facts->last_alone_ms;
}

/** True if control processes may soon announce later changes. */
static bool
waits_for_group(const EyFreshnessFacts_t *facts)
{
    if (has_missed_nothing(facts) ||
        (facts->is_used &&
         facts->present_for_ms < EY_FRESHNESS_REGAIN_TIMEOUT_MS))
    {
        return false;
    }
    return facts->awaits_leader ||
           (facts->group_is_present &&
            facts->present_for_ms < EY_FRESHNESS_GROUP_TIMEOUT_MS);
}

static bool
waits_alone(const EyFreshnessFacts_t *facts)
{
    int64_t timeout_ms = facts->freshness.as_of_ms > 0
                             ? EY_FRESHNESS_ALONE_TIMEOUT_MS
                             : EY_FRESHNESS_UNCONFIRMED_TIMEOUT_MS;
    return !facts->is_used && facts->held_for_ms < timeout_ms;
}

EyFreshnessState_t
EyFreshness_Decide(const EyFreshnessFacts_t *facts)
{
    if (!facts->has_copy) {
        return EY_FRESHNESS_NONE;
    }
    bool is_behind =
        facts->is_used && facts->behind_for_ms >= EY_FRESHNESS_BEHIND_MAX_MS;
    if (is_current(facts) && !is_behind) {
        return EY_FRESHNESS_CURRENT;
    }
    if (waits_for_group(facts) || waits_alone(facts)) {
        return EY_FRESHNESS_HELD;
    }
    if (is_behind) {
        return EY_FRESHNESS_BEHIND;
    }
    return facts->freshness.as_of_ms > 0 ? EY_FRESHNESS_AGED
                                         : EY_FRESHNESS_UNCONFIRMED;
}
