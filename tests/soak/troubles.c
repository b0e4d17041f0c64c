#include "soak/troubles.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define BURST_MAX 4
#define BURST_GAP_MAX_MS 1500
#define CALM_MIN_MS 300
#define CALM_SPAN_MS 8500
#define LAST_MIN_MS 200
#define LAST_SPAN_MS 4800
/** Longest time from SIGTERM to the end of a process. */
#define TERM_MAX_MS 12000
#define STILL_RUNNING (-1000)

const char *const TroubleKind_names[TROUBLE_KINDS] = {
    "freeze", "kill", "term", "cut", "control-kill", "server"};

static bool
has_name(const char *list, const char *name)
{
    gchar **names = g_strsplit(list != NULL ? list : "", ",", -1);
    bool has = g_strv_contains((const gchar *const *)names, name);
    g_strfreev(names);
    return has;
}

Troubles_t
Troubles_Make(SoakFleet_t *fleet, Ledger_t *ledger, uint64_t seed,
              const char *only, const char *without, int64_t calm_from_ms)
{
    Troubles_t self = {.fleet = fleet,
                       .ledger = ledger,
                       .random = EyRandom_Make(seed),
                       .calm_from_ms = calm_from_ms};
    for (uint32_t i = 0; i < TROUBLE_KINDS; i++) {
        const char *name = TroubleKind_names[i];
        self.is_allowed[i] =
            (only == NULL || has_name(only, name)) && !has_name(without, name);
    }
    self.next_ms = Harness_NowMs() + CALM_MIN_MS;
    self.left_in_burst = 1 + (uint32_t)EyRandom_Below(&self.random, BURST_MAX);
    return self;
}

static Process_t *
gateway_of(const Troubles_t *self, const Trouble_t *trouble)
{
    return &self->fleet->gateways.gateways[trouble->target];
}

/** The process that a trouble concerns; NULL: a region or server. */
static Process_t *
process_of(const Troubles_t *self, const Trouble_t *trouble)
{
    switch (trouble->kind) {
    case TROUBLE_FREEZE:
    case TROUBLE_KILL:
    case TROUBLE_TERM:
        return gateway_of(self, trouble);
    case TROUBLE_CONTROL_KILL:
        return &self->fleet->gateways.control;
    default:
        return NULL;
    }
}

static bool
is_troubled(const Troubles_t *self, const Process_t *process)
{
    for (uint32_t i = 0; i < TROUBLES_MAX; i++) {
        const Trouble_t *trouble = &self->running[i];
        if (trouble->until_ms != 0 && process_of(self, trouble) == process) {
            return true;
        }
    }
    return false;
}

static bool
is_cutting(const Troubles_t *self)
{
    for (uint32_t i = 0; i < TROUBLES_MAX; i++) {
        if (self->running[i].until_ms != 0 &&
            self->running[i].kind == TROUBLE_CUT) {
            return true;
        }
    }
    return false;
}

/** Notes in the ledger which gateways a trouble takes out of touch: a region
 * that is cut off, its own ones, and all if it has the control process. */
static void
note_begin(Troubles_t *self, Trouble_t *trouble)
{
    bool is_all = trouble->kind == TROUBLE_CONTROL_KILL ||
                  (trouble->kind == TROUBLE_CUT && trouble->target == 0);
    trouble->entry_count = 0;
    if (is_all || trouble->kind != TROUBLE_CUT) {
        trouble->entry = Ledger_BeginTrouble(
            self->ledger, is_all ? LEDGER_ALL_GATEWAYS : trouble->target);
        trouble->entry_count = 1;
        return;
    }
    for (uint32_t g = 0; g < SOAK_GATEWAYS; g++) {
        if (SoakFleet_regions[g] == trouble->target) {
            uint32_t entry = Ledger_BeginTrouble(self->ledger, g);
            trouble->entry =
                trouble->entry_count == 0 ? entry : trouble->entry;
            trouble->entry_count++;
        }
    }
}

static void
begin(Troubles_t *self, Trouble_t *trouble)
{
    note_begin(self, trouble);
    switch (trouble->kind) {
    case TROUBLE_FREEZE:
        Process_Signal(gateway_of(self, trouble), SIGSTOP);
        break;
    case TROUBLE_KILL:
    case TROUBLE_CONTROL_KILL:
        Process_Kill(process_of(self, trouble));
        break;
    case TROUBLE_TERM:
        Process_Signal(gateway_of(self, trouble), SIGTERM);
        trouble->until_ms = Harness_NowMs() + TERM_MAX_MS;
        break;
    case TROUBLE_CUT:
        SoakFleet_CutRegion(self->fleet, trouble->target, true);
        break;
    default:
        break;
    }
}

static void
restart(Troubles_t *self, const Trouble_t *trouble)
{
    uint32_t region = trouble->kind == TROUBLE_CONTROL_KILL
                          ? 0
                          : SoakFleet_regions[trouble->target];
    RoutedGateways_SetCutFile(&self->fleet->gateways, region);
    Process_Start(process_of(self, trouble));
    if (trouble->kind != TROUBLE_CONTROL_KILL) {
        g_atomic_int_inc(&self->fleet->lives[trouble->target]);
    }
}

static void
end(Troubles_t *self, Trouble_t *trouble)
{
    switch (trouble->kind) {
    case TROUBLE_FREEZE:
        Process_Signal(gateway_of(self, trouble), SIGCONT);
        break;
    case TROUBLE_TERM:
        if (gateway_of(self, trouble)->pid != 0) {
            Ledger_Break(self->ledger, RULE_ENDED,
                         "gateway %u still runs after SIGTERM",
                         trouble->target);
            Process_Kill(gateway_of(self, trouble));
        }
        restart(self, trouble);
        break;
    case TROUBLE_KILL:
    case TROUBLE_CONTROL_KILL:
        restart(self, trouble);
        break;
    case TROUBLE_CUT:
        SoakFleet_CutRegion(self->fleet, trouble->target, false);
        break;
    default:
        break;
    }
    for (uint32_t i = 0; i < trouble->entry_count; i++) {
        Ledger_EndTrouble(self->ledger, trouble->entry + i);
    }
    trouble->until_ms = 0;
}

/** True if a trouble that ends with its process has ended. */
static bool
is_over(const Troubles_t *self, const Trouble_t *trouble)
{
    if (trouble->kind == TROUBLE_TERM &&
        Process_Wait(gateway_of(self, trouble), 0) != STILL_RUNNING)
    {
        return true;
    }
    return Harness_NowMs() >= trouble->until_ms;
}

static void
try_to_begin(Troubles_t *self)
{
    Trouble_t drawn = {
        .kind = (TroubleKind_t)EyRandom_Below(&self->random, TROUBLE_KINDS)};
    drawn.target = (uint32_t)EyRandom_Below(
        &self->random,
        drawn.kind == TROUBLE_CUT ? ROUTED_REGIONS : SOAK_GATEWAYS);
    int64_t lasts_ms =
        LAST_MIN_MS + (int64_t)EyRandom_Below(&self->random, LAST_SPAN_MS);
    const Process_t *process = process_of(self, &drawn);
    if (!self->is_allowed[drawn.kind] ||
        (process != NULL && is_troubled(self, process)) ||
        (drawn.kind == TROUBLE_CUT && is_cutting(self)))
    {
        return;
    }
    self->counts[drawn.kind]++;
    if (drawn.kind == TROUBLE_SERVER) {
        (void)Backends_CrashBusiest(SoakServers_Backends(
            self->fleet->groups[drawn.target % SOAK_SERVER_GROUPS]));
        return;
    }
    for (uint32_t i = 0; i < TROUBLES_MAX; i++) {
        if (self->running[i].until_ms == 0) {
            (void)printf("trouble at %" G_GINT64_FORMAT
                         " ms: %s %u, %" G_GINT64_FORMAT " ms\n",
                         Harness_NowMs(), TroubleKind_names[drawn.kind],
                         drawn.target, lasts_ms);
            drawn.until_ms = Harness_NowMs() + lasts_ms;
            self->running[i] = drawn;
            begin(self, &self->running[i]);
            return;
        }
    }
}

static void
begin_if_due(Troubles_t *self)
{
    int64_t now_ms = Harness_NowMs();
    if (now_ms < self->next_ms || now_ms >= self->calm_from_ms) {
        return;
    }
    try_to_begin(self);
    self->left_in_burst--;
    if (self->left_in_burst > 0) {
        self->next_ms =
            now_ms + (int64_t)EyRandom_Below(&self->random, BURST_GAP_MAX_MS);
        return;
    }
    self->left_in_burst =
        1 + (uint32_t)EyRandom_Below(&self->random, BURST_MAX);
    self->next_ms = now_ms + CALM_MIN_MS +
                    (int64_t)EyRandom_Below(&self->random, CALM_SPAN_MS);
}

/** A process that ends without a trouble of its own broke a rule. */
static void
check_processes(Troubles_t *self)
{
    for (uint32_t i = 0; i <= SOAK_GATEWAYS; i++) {
        Process_t *process = i < SOAK_GATEWAYS
                                 ? &self->fleet->gateways.gateways[i]
                                 : &self->fleet->gateways.control;
        if (process->pid == 0 || is_troubled(self, process)) {
            continue;
        }
        int code = Process_Wait(process, 0);
        if (code != STILL_RUNNING) {
            Ledger_Break(self->ledger, RULE_ENDED, "%s ended by itself: %d",
                         process->name, code);
        }
    }
}

void
Troubles_Step(Troubles_t *self)
{
    for (uint32_t i = 0; i < TROUBLES_MAX; i++) {
        Trouble_t *trouble = &self->running[i];
        if (trouble->until_ms != 0 && is_over(self, trouble)) {
            end(self, trouble);
        }
    }
    begin_if_due(self);
    check_processes(self);
}

bool
Troubles_AreRunning(const Troubles_t *self)
{
    for (uint32_t i = 0; i < TROUBLES_MAX; i++) {
        if (self->running[i].until_ms != 0) {
            return true;
        }
    }
    return false;
}

void
Troubles_End(Troubles_t *self)
{
    for (uint32_t i = 0; i < TROUBLES_MAX; i++) {
        if (self->running[i].until_ms != 0) {
            end(self, &self->running[i]);
        }
    }
}
