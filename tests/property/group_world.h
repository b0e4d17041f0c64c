/**
 * Simulates a network of group members and claimants for property tests. All
 * events pass through it, and it checks the invariants after each one.
 */
#ifndef EY_TESTS_PROPERTY_GROUP_WORLD_H
#define EY_TESTS_PROPERTY_GROUP_WORLD_H

#include "idempotency/claims.h"
#include "idempotency/group.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace group_world {

constexpr int64_t TICK_MS = 50;
/** The shortest retention time that a group accepts. */
constexpr int64_t RETENTION_MS = 2 * EY_CLAIM_DEADLINE_MAX_MS;

/** Members of a group. */
struct Shape {
    uint32_t replicas;
    uint32_t witnesses;
    uint32_t disks;         /* bits of the replicas that have a disk */
    uint32_t count_max = 0; /* most records; 0: default */
};

/** What a gateway does with a granted request; other values complete it. */
enum Behaviour : int32_t {
    BEHAVIOUR_ANY = -1,
    BEHAVIOUR_NOT_SENT = 0,
    BEHAVIOUR_NEVER_ENDS = 1, /* sent, and never answered */
    BEHAVIOUR_UNKNOWN = 2,    /* sent, and reported as unknown */
    BEHAVIOUR_COMPLETES = 9,
    BEHAVIOUR_HELD = 10 /* undecided until not_sent is called */
};

/** A message in flight; the world's context owns it. */
struct Packet {
    uint32_t from;
    uint32_t to;
    EyGroupMessage_t *message;
};

/** A disk: the synced state, and writes that aren't synced yet. */
struct Disk {
    EyGroupState_t *state = nullptr;
    std::map<std::string, EyRecord_t *> records;
    struct Write {
        int64_t due_ms;
        EyGroupState_t *state;
    };
    std::deque<Write> writes;
    bool is_full = false;
    bool is_failure_told = false; /* of the write that comes next */
};

struct Node {
    std::string name;
    bool is_witness = false;
    bool has_disk = false;
    bool is_up = false;
    bool is_frozen = false;
    int64_t offset_ms = 0; /* of its clock */
    int64_t tick_ms = 0;   /* time of the next tick */
    uint64_t incarnation = 0;
    uint64_t process = 0; /* incarnation of the claimant */
    EyGroup_t *group = nullptr;
    EyClaims_t *claims = nullptr;
    uint64_t checked_number = 0; /* of the view that was checked last */
    uint64_t checked_epoch = 0;
    std::vector<Packet> held; /* received while it is paused */
    Disk disk;
};

/** One request of a caller. */
struct Attempt {
    uint32_t node;
    uint64_t process;
    std::string key;
    uint64_t fingerprint;
    bool is_sent = false;
    bool is_final = false;
    bool was_granted = false;
    EyGroupDecision_t decision = EY_GROUP_DECISION_WAITING;
    int64_t end_ms = -1; /* when the backend server answers */
    uint32_t behaviour = 0;
    int64_t start_ms = 0; /* of the world's clock */
    int64_t deadline_ms = 0;
};

/** Runs of a key by backend servers. */
struct Run {
    uint32_t count = 0;
    int64_t sent_ms = 0;
    uint64_t fingerprint = 0;
    std::string answer;
};

class World {
  public:
    World(const Shape &shape, uint64_t seed);
    ~World();
    World(const World &) = delete;
    World &
    operator=(const World &) = delete;

    /** Advances the time in steps; long steps are for hours with few events.
     */
    void
    run(int64_t duration_ms, int64_t step_ms = 1);
    /** The keys are past their retention time and may run again. */
    void
    clear_runs();
    uint64_t
    claim(uint32_t node, const std::string &key, uint64_t fingerprint,
          int64_t timeout_ms);
    void
    crash(uint32_t node);
    /** Tells a node that its process will end, and ends it once it may or
     * after a few seconds; returns whether it might. */
    bool
    stop_gracefully(uint32_t node);
    void
    start(uint32_t node);
    void
    lose_disk(uint32_t node);
    void
    raise_epoch();
    /** Raises the epoch with one replica as its only member; the others join
     * it. */
    void
    found_epoch(uint32_t node);
    uint64_t
    epoch() const
    {
        return epoch_;
    }
    void
    heal();
    /** Raises the epoch if the quorum is lost, as operators do. */
    void
    raise_epoch_if_quorum_lost();
    /** Reports a held request as not sent. */
    void
    not_sent(uint64_t number);
    std::string
    issue_key();
    const Attempt &
    attempt(uint64_t number) const;
    uint32_t
    serving_count() const;
    /** Dumps of all nodes, to analyse a failure. */
    std::string
    dump() const;

    std::vector<Node> nodes;
    std::set<std::pair<uint32_t, uint32_t>> cuts; /* from, to: one way */
    uint32_t drop_percent = 0;
    uint32_t duplicate_percent = 0;
    int64_t delay_max_ms = 5;
    /** Behaviour for all granted requests; BEHAVIOUR_ANY: a random one. */
    int32_t forced_behaviour = -1;
    int64_t now_ms = 1000000;
    /** Interval of claims at random gateways, half of them retries; 0: none.
     */
    int64_t traffic_ms = 0;
    int64_t write_max_ms = 20;
    /** The first violated invariant; empty while all hold. */
    std::string violation;

  private:
    void
    set_contacts(const Node &node);
    void
    add_member(const Node &node);
    /** Gives the epoch to all active nodes. */
    void
    announce_epoch();
    void
    step(uint32_t node, const EyGroupEvent_t &event);
    void
    tick(uint32_t node);
    void
    carry_out(uint32_t node, EyGroupActions_t *actions);
    void
    send(uint32_t node, const EyGroupAction_t *action);
    void
    persist(uint32_t node, const EyGroupAction_t *action);
    void
    sync_disk(uint32_t node);
    void
    decided(const EyGroupAction_t *action);
    void
    granted(uint64_t number);
    void
    end_attempts();
    void
    end_attempt(uint64_t number, Attempt &attempt);
    void
    deliver(const Packet &packet);
    void
    deliver_due();
    void
    configure(uint32_t node);
    void
    check_grant(uint32_t node, const EyGroupMessage_t *message);
    void
    check_views(uint32_t node);
    void
    check_view_is_unique(const EyView_t *view);
    void
    make_traffic();
    void
    fail(const std::string &what);
    bool
    is_active(uint32_t node) const;

    void *ctx_;
    EyRandom_t random_;
    uint32_t count_max_;
    std::multimap<int64_t, Packet> packets_; /* by time of delivery */
    uint64_t incarnation_ = 0;
    uint64_t number_ = 0;
    uint64_t issued_ = 0;
    uint64_t epoch_ = 0;
    std::vector<EyGroupMember_t> members_; /* of the epoch */
    std::map<uint64_t, Attempt> attempts_;
    std::set<uint64_t> open_; /* attempts without a result */
    std::map<std::string, Run> runs_;
    std::map<std::pair<uint64_t, uint64_t>, std::string> views_;
    std::vector<std::string> keys_; /* of the traffic */
    int64_t traffic_due_ms_ = 0;
};

} // namespace group_world

#endif
