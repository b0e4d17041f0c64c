/** The troubles of a soak: overlapping bursts, drawn from the seed, with calm
 * spans between them and at the end. */
#ifndef EY_TESTS_SOAK_TROUBLES_H
#define EY_TESTS_SOAK_TROUBLES_H

#include "core/random.h"
#include "soak/ledger.h"
#include "soak/soak_fleet.h"

typedef enum TroubleKind {
    TROUBLE_FREEZE,       /* SIGSTOP */
    TROUBLE_KILL,         /* and a restart */
    TROUBLE_TERM,         /* SIGTERM and a restart */
    TROUBLE_CUT,          /* a region from all others */
    TROUBLE_CONTROL_KILL, /* and a restart */
    TROUBLE_SERVER,       /* a backend server ends */
    TROUBLE_KINDS
} TroubleKind_t;

extern const char *const TroubleKind_names[TROUBLE_KINDS];

/** One trouble that lasts. */
typedef struct Trouble {
    TroubleKind_t kind;
    uint32_t target;  /* a gateway or region */
    int64_t until_ms; /* 0: there is none in this place */
    uint32_t entry;   /* in the ledger */
    uint32_t entry_count;
} Trouble_t;

#define TROUBLES_MAX 4

typedef struct Troubles {
    SoakFleet_t *fleet;
    Ledger_t *ledger;
    EyRandom_t random;
    bool is_allowed[TROUBLE_KINDS];
    int64_t calm_from_ms; /* none begins later */
    int64_t next_ms;
    uint32_t left_in_burst;
    Trouble_t running[TROUBLES_MAX];
    uint32_t counts[TROUBLE_KINDS];
} Troubles_t;

/** only and without: names of kinds, separated by commas, or NULL. */
Troubles_t
Troubles_Make(SoakFleet_t *fleet, Ledger_t *ledger, uint64_t seed,
              const char *only, const char *without, int64_t calm_from_ms);

/** Begins and ends what is due; called often. */
void
Troubles_Step(Troubles_t *self);

bool
Troubles_AreRunning(const Troubles_t *self);

/** Ends all. */
void
Troubles_End(Troubles_t *self);

#endif
