#include "property/group_world.h"

#include "core/memory.h"
#include "idempotency/group_internal.h"
#include "idempotency/key.h"

#include <algorithm>
#include <cstring>

namespace group_world {

namespace {

const char *const REGION = "istra";

EyRecord_t *
copy_record(void *ctx, const EyRecord_t *from)
{
    EyRecord_t *record = EY_NEW(ctx, EyRecord_t);
    EyRecord_CopyInto(record, record, from);
    return record;
}

} // namespace

World::World(const Shape &shape, uint64_t seed)
    : ctx_(talloc_new(nullptr)), random_(EyRandom_Make(seed)),
      count_max_(shape.count_max)
{
    nodes.resize(shape.replicas + shape.witnesses);
    for (uint32_t i = 0; i < nodes.size(); i++) {
        Node &node = nodes[i];
        node.is_witness = i >= shape.replicas;
        node.has_disk = node.is_witness || (shape.disks & (1U << i)) != 0;
        node.name =
            (node.is_witness ? "control-" : "gateway-") + std::to_string(i);
        node.offset_ms = static_cast<int64_t>(EyRandom_Below(&random_, 99999));
    }
    for (uint32_t i = 0; i < nodes.size(); i++) {
        start(i);
    }
    raise_epoch();
}

World::~World()
{
    talloc_free(ctx_);
}

void
World::fail(const std::string &what)
{
    if (violation.empty()) {
        violation = what + " at " + std::to_string(now_ms - 1000000) + " ms";
    }
}

bool
World::is_active(uint32_t node) const
{
    return nodes[node].is_up && !nodes[node].is_frozen;
}

/* Starting and stopping nodes */

void
World::start(uint32_t index)
{
    Node &node = nodes[index];
    if (node.is_up) {
        return;
    }
    node.is_up = true;
    node.is_frozen = false;
    node.process = ++incarnation_;
    EyGroupState_t *restored = nullptr;
    void *scratch = talloc_new(ctx_);
    if (node.disk.state != nullptr) {
        restored = EY_NEW(scratch, EyGroupState_t);
        *restored = *node.disk.state;
        restored->record_count =
            static_cast<uint32_t>(node.disk.records.size());
        restored->records =
            EY_NEW_ARRAY(scratch, EyRecord_t, restored->record_count);
        uint32_t count = 0;
        for (const auto &[key, record] : node.disk.records) {
            restored->records[count++] = *record;
        }
    }
    EyGroupOptions_t options = {};
    EY_COPY(options.name, node.name.c_str());
    EY_COPY(options.region, REGION);
    options.incarnation = ++incarnation_;
    options.is_witness = node.is_witness;
    options.has_disk = node.has_disk;
    options.seed = EyRandom_Next(&random_);
    options.limits.count_max = count_max_;
    options.limits.retention_ms = RETENTION_MS;
    int64_t local_ms = now_ms + node.offset_ms;
    node.group = EyGroup_New(ctx_, &options, restored, local_ms);
    node.incarnation = EyGroup_Self(node.group).incarnation;
    set_contacts(node);
    if (!node.is_witness) {
        EyClaimsOptions_t claims_options = {};
        EY_COPY(claims_options.name, node.name.c_str());
        EY_COPY(claims_options.region, REGION);
        claims_options.incarnation = node.process;
        node.claims = EyClaims_New(ctx_, &claims_options);
    }
    talloc_free(scratch);
    node.tick_ms =
        now_ms + static_cast<int64_t>(EyRandom_Below(&random_, TICK_MS));
    if (epoch_ > 0) {
        configure(index);
    }
}

/** Tells a replica the names of all of them. */
void
World::set_contacts(const Node &node)
{
    EyName_t contacts[EY_VIEW_MEMBERS_MAX] = {};
    uint32_t count = 0;
    for (const Node &other : nodes) {
        if (!other.is_witness) {
            EY_COPY(contacts[count], other.name.c_str());
            count++;
        }
    }
    EyGroup_SetContacts(node.group, contacts, count);
}

void
World::crash(uint32_t index)
{
    Node &node = nodes[index];
    if (!node.is_up) {
        return;
    }
    node.is_up = false;
    talloc_free(node.group);
    talloc_free(node.claims);
    node.group = nullptr;
    node.claims = nullptr;
    for (Disk::Write &write : node.disk.writes) {
        talloc_free(write.state);
    }
    node.disk.writes.clear();
    node.disk.is_failure_told = false;
}

bool
World::stop_gracefully(uint32_t index)
{
    constexpr int64_t WAIT_MAX_MS = 3000;
    EyGroupEvent_t event = {};
    event.kind = EY_GROUP_EVENT_LEAVE;
    step(index, event);
    const Node &node = nodes[index];
    for (int64_t spent = 0; spent < WAIT_MAX_MS && !EyGroup_MayEnd(node.group);
         spent += TICK_MS)
    {
        run(TICK_MS);
    }
    bool may_end = EyGroup_MayEnd(node.group);
    crash(index);
    return may_end;
}

void
World::lose_disk(uint32_t index)
{
    crash(index);
    nodes[index].disk = Disk();
}

void
World::configure(uint32_t node)
{
    EyGroupEvent_t event = {};
    event.kind = EY_GROUP_EVENT_EPOCH;
    event.epoch = epoch_;
    event.members = members_.data();
    event.member_count = static_cast<uint32_t>(members_.size());
    if (nodes[node].claims != nullptr) {
        EyClaims_SetMembers(nodes[node].claims, members_.data(),
                            event.member_count);
    }
    step(node, event);
}

void
World::add_member(const Node &node)
{
    EyGroupMember_t member = {};
    EY_COPY(member.name, node.name.c_str());
    member.incarnation = node.incarnation;
    member.is_witness = node.is_witness;
    members_.push_back(member);
}

void
World::raise_epoch()
{
    members_.clear();
    for (const Node &node : nodes) {
        add_member(node);
    }
    announce_epoch();
}

void
World::found_epoch(uint32_t node)
{
    members_.clear();
    add_member(nodes[node]);
    announce_epoch();
}

void
World::announce_epoch()
{
    epoch_++;
    for (uint32_t i = 0; i < nodes.size(); i++) {
        if (is_active(i)) {
            configure(i);
        }
    }
}

void
World::raise_epoch_if_quorum_lost()
{
    for (const Node &node : nodes) {
        EyGroupMember_t members[EY_VIEW_MEMBERS_MAX];
        uint32_t count = 0;
        if (node.is_up && EyGroup_View(node.group)->epoch == epoch_ &&
            EyGroup_HasLostQuorum(node.group, members, &count))
        {
            raise_epoch();
            return;
        }
    }
}

void
World::heal()
{
    cuts.clear();
    drop_percent = 0;
    duplicate_percent = 0;
    delay_max_ms = 5;
    write_max_ms = 20;
    traffic_ms = 0;
    forced_behaviour = BEHAVIOUR_COMPLETES;
    for (uint32_t i = 0; i < nodes.size(); i++) {
        nodes[i].is_frozen = false;
        nodes[i].disk.is_full = false;
        start(i);
        configure(i);
    }
}

/* Steps */

void
World::step(uint32_t node, const EyGroupEvent_t &event)
{
    EyGroupActions_t *actions = EyGroupActions_New(ctx_);
    int64_t local_ms = now_ms + nodes[node].offset_ms;
    EyGroup_Step(nodes[node].group, local_ms, &event, actions);
    check_views(node);
    carry_out(node, actions);
    talloc_free(actions);
}

/** Each view number of an epoch belongs to one view only. */
void
World::check_view_is_unique(const EyView_t *view)
{
    std::string text = view->leader;
    for (uint32_t i = 0; i < view->member_count; i++) {
        text += std::string(" ") + view->members[i].name + "#" +
                std::to_string(view->members[i].incarnation);
    }
    auto [known, is_new] = views_.insert({{view->epoch, view->number}, text});
    if (!is_new && known->second != text) {
        fail("two views " + std::to_string(view->number) + ": " +
             known->second + "; " + text);
    }
}

/**
 * No member of a view has a higher version than its leader, so a replica that
 * follows the leader has no records that the leader lacks.
 */
void
World::check_views(uint32_t index)
{
    const EyGroup_t *group = nodes[index].group;
    const EyView_t *view = EyGroup_View(group);
    Node &own = nodes[index];
    if (view->epoch != own.checked_epoch || view->number != own.checked_number)
    {
        own.checked_epoch = view->epoch;
        own.checked_number = view->number;
        check_view_is_unique(view);
    }
    if (EyGroup_Rank(group) < 0) {
        return;
    }
    for (const Node &node : nodes) {
        if (node.is_up && EyGroup_IsLeader(node.group) &&
            EyGroup_View(node.group)->epoch == view->epoch &&
            EyGroup_View(node.group)->number == view->number &&
            group->version > node.group->version)
        {
            fail("replica " + nodes[index].name + " ahead of its leader");
        }
    }
}

void
World::make_traffic()
{
    if (traffic_ms == 0 || now_ms < traffic_due_ms_) {
        return;
    }
    traffic_due_ms_ = now_ms + traffic_ms;
    uint64_t dice = EyRandom_Below(&random_, 1000);
    uint32_t node =
        static_cast<uint32_t>(EyRandom_Below(&random_, nodes.size()));
    if (nodes[node].is_witness || !is_active(node)) {
        return;
    }
    if (keys_.empty() || dice % 2 == 0) {
        keys_.push_back(dice % 3 != 0 ? issue_key()
                                      : "busy-" + std::to_string(dice) + "-" +
                                            std::to_string(keys_.size()));
    }
    size_t back = EyRandom_Below(&random_, std::min<size_t>(keys_.size(), 6));
    (void)claim(node, keys_[keys_.size() - 1 - back], dice % 50 == 0 ? 2 : 1,
                50 + static_cast<int64_t>(dice * 3));
}

void
World::tick(uint32_t node)
{
    EyGroupEvent_t event = {};
    event.kind = EY_GROUP_EVENT_TICK;
    step(node, event);
    if (nodes[node].claims != nullptr) {
        EyGroupActions_t *actions = EyGroupActions_New(ctx_);
        EyClaims_Tick(nodes[node].claims, now_ms + nodes[node].offset_ms,
                      actions);
        carry_out(node, actions);
        talloc_free(actions);
    }
}

void
World::carry_out(uint32_t node, EyGroupActions_t *actions)
{
    for (uint32_t i = 0; i < actions->count; i++) {
        const EyGroupAction_t *action = actions->items[i];
        switch (action->kind) {
        case EY_GROUP_ACTION_SEND:
            send(node, action);
            break;
        case EY_GROUP_ACTION_PERSIST:
            persist(node, action);
            break;
        default:
            decided(action);
        }
    }
}

void
World::send(uint32_t from, const EyGroupAction_t *action)
{
    uint32_t to = 0;
    while (to < nodes.size() && nodes[to].name != action->to) {
        to++;
    }
    if (to == nodes.size()) {
        fail("message to an unknown node");
        return;
    }
    if (action->message->kind == EY_GROUP_DECISION &&
        action->message->decision == EY_GROUP_DECISION_GRANTED)
    {
        check_grant(from, action->message);
    }
    bool is_remote = from != to;
    if (is_remote && (cuts.count({from, to}) > 0 ||
                      EyRandom_Below(&random_, 100) < drop_percent))
    {
        return;
    }
    uint32_t copies =
        is_remote && EyRandom_Below(&random_, 100) < duplicate_percent ? 2 : 1;
    for (uint32_t i = 0; i < copies; i++) {
        EyBytes_t packed =
            EySchema_Pack(&EyGroupMessage_schema, ctx_, action->message);
        EyGroupMessage_t *message = EyGroupMessage_New(ctx_, EY_GROUP_APPEND);
        if (!EySchema_Unpack(&EyGroupMessage_schema, message, packed.data,
                             packed.size_bytes, message, nullptr))
        {
            fail("message can't be unpacked");
        }
        talloc_free(packed.data);
        int64_t delay_ms =
            is_remote ? static_cast<int64_t>(EyRandom_Below(
                            &random_, static_cast<uint64_t>(delay_max_ms) + 1))
                      : 0;
        packets_.insert({now_ms + delay_ms, {from, to, message}});
    }
}

void
World::persist(uint32_t node, const EyGroupAction_t *action)
{
    EyGroupState_t *state = talloc_steal(ctx_, action->state);
    int64_t delay_ms = static_cast<int64_t>(
        EyRandom_Below(&random_, static_cast<uint64_t>(write_max_ms)));
    nodes[node].disk.writes.push_back({now_ms + delay_ms, state});
}

/** Syncs the writes that are due and reports them to the member. */
void
World::sync_disk(uint32_t index)
{
    Disk &disk = nodes[index].disk;
    while (!disk.writes.empty() && disk.writes.front().due_ms <= now_ms) {
        EyGroupEvent_t event = {};
        event.serial = disk.writes.front().state->serial;
        if (disk.is_full) {
            event.kind = EY_GROUP_EVENT_PERSIST_FAILED;
            if (!disk.is_failure_told) {
                disk.is_failure_told = true;
                step(index, event);
            }
            return;
        }
        EyGroupState_t *state = disk.writes.front().state;
        disk.writes.pop_front();
        if (state->clear) {
            disk.records.clear();
        }
        for (uint32_t i = 0; i < state->record_count; i++) {
            disk.records[state->records[i].key] =
                copy_record(ctx_, &state->records[i]);
        }
        disk.state = state;
        event.kind = EY_GROUP_EVENT_PERSISTED;
        step(index, event);
        if (disk.is_failure_told) {
            disk.is_failure_told = false;
            configure(index);
        }
    }
}

void
World::deliver(const Packet &packet)
{
    Node &node = nodes[packet.to];
    if (!node.is_up) {
        return;
    }
    const char *from = nodes[packet.from].name.c_str();
    if (EyClaims_Handles(packet.message)) {
        if (node.claims != nullptr) {
            EyGroupActions_t *actions = EyGroupActions_New(ctx_);
            EyClaims_Message(node.claims, now_ms + node.offset_ms, from,
                             packet.message, actions);
            carry_out(packet.to, actions);
            talloc_free(actions);
        }
        return;
    }
    EyGroupEvent_t event = {};
    event.kind = EY_GROUP_EVENT_MESSAGE;
    EY_COPY(event.from, from);
    event.message = packet.message;
    step(packet.to, event);
}

void
World::deliver_due()
{
    for (Node &node : nodes) {
        if (!node.is_frozen && !node.held.empty()) {
            std::vector<Packet> held;
            held.swap(node.held);
            for (const Packet &packet : held) {
                deliver(packet);
                talloc_free(packet.message);
            }
        }
    }
    while (!packets_.empty() && packets_.begin()->first <= now_ms) {
        Packet packet = packets_.begin()->second;
        packets_.erase(packets_.begin());
        if (nodes[packet.to].is_frozen) {
            nodes[packet.to].held.push_back(packet);
            continue;
        }
        deliver(packet);
        talloc_free(packet.message);
    }
}

void
World::run(int64_t duration_ms, int64_t step_ms)
{
    int64_t end_ms = now_ms + duration_ms;
    while (now_ms < end_ms && violation.empty()) {
        now_ms += step_ms;
        deliver_due();
        for (uint32_t i = 0; i < nodes.size(); i++) {
            if (!is_active(i)) {
                continue;
            }
            sync_disk(i);
            if (nodes[i].tick_ms <= now_ms) {
                nodes[i].tick_ms = now_ms + TICK_MS;
                tick(i);
            }
        }
        end_attempts();
        make_traffic();
    }
}

void
World::clear_runs()
{
    runs_.clear();
}

/* Requests */

std::string
World::issue_key()
{
    EyKey_t key;
    EyKey_Issue(REGION, epoch_, 7, ++issued_, key);
    return key;
}

uint64_t
World::claim(uint32_t node, const std::string &key, uint64_t fingerprint,
             int64_t timeout_ms)
{
    uint64_t number = ++number_;
    Attempt attempt = {};
    attempt.node = node;
    attempt.process = nodes[node].process;
    attempt.key = key;
    attempt.fingerprint = fingerprint;
    attempt.behaviour = static_cast<uint32_t>(EyRandom_Below(&random_, 10));
    attempt.start_ms = now_ms;
    attempt.deadline_ms = now_ms + timeout_ms;
    attempts_[number] = attempt;
    (void)open_.insert(number);
    EyGroupActions_t *actions = EyGroupActions_New(ctx_);
    int64_t local_ms = now_ms + nodes[node].offset_ms;
    EyClaims_Claim(nodes[node].claims, local_ms, number, key.c_str(),
                   fingerprint, local_ms + timeout_ms, actions);
    carry_out(node, actions);
    talloc_free(actions);
    return number;
}

const Attempt &
World::attempt(uint64_t number) const
{
    return attempts_.at(number);
}

std::string
World::dump() const
{
    std::string text;
    for (const Node &node : nodes) {
        text += "\n" + node.name;
        if (!node.is_up) {
            text += " down";
            continue;
        }
        json_t *json = EyGroup_Dump(node.group);
        char *dumped = json_dumps(json, JSON_COMPACT);
        text += dumped;
        free(dumped);
        json_decref(json);
        if (node.claims != nullptr) {
            json = EyClaims_Dump(node.claims);
            dumped = json_dumps(json, JSON_COMPACT);
            text += dumped;
            free(dumped);
            json_decref(json);
        }
    }
    return text;
}

void
World::not_sent(uint64_t number)
{
    const Node &node = nodes[attempts_[number].node];
    EyGroupActions_t *actions = EyGroupActions_New(ctx_);
    EyClaims_ReportNotSent(node.claims, now_ms + node.offset_ms, number,
                           actions);
    carry_out(attempts_[number].node, actions);
    talloc_free(actions);
}

/** A claim was granted: the request is sent now, or reported as not sent. */
void
World::granted(uint64_t number)
{
    Attempt &attempt = attempts_[number];
    attempt.was_granted = true;
    if (forced_behaviour != BEHAVIOUR_ANY) {
        attempt.behaviour = static_cast<uint32_t>(forced_behaviour);
    }
    if (attempt.behaviour == BEHAVIOUR_HELD) {
        return;
    }
    if (attempt.behaviour == BEHAVIOUR_NOT_SENT) {
        not_sent(number);
        return;
    }
    attempt.is_sent = true;
    Run &run = runs_[attempt.key];
    run.count++;
    run.sent_ms = now_ms;
    run.fingerprint = attempt.fingerprint;
    if (run.count > 1) {
        fail("key " + attempt.key + " ran twice");
    }
    if (attempt.behaviour != BEHAVIOUR_NEVER_ENDS) {
        attempt.end_ms =
            now_ms + static_cast<int64_t>(EyRandom_Below(&random_, 300));
    }
}

void
World::end_attempt(uint64_t number, Attempt &attempt)
{
    Node &node = nodes[attempt.node];
    EyGroupActions_t *actions = EyGroupActions_New(ctx_);
    int64_t local_ms = now_ms + node.offset_ms;
    if (attempt.behaviour == BEHAVIOUR_UNKNOWN) {
        EyClaims_ReportUnknown(node.claims, local_ms, number, actions);
    }
    else {
        std::string text = "answer-" + std::to_string(number);
        runs_[attempt.key].answer = text;
        EyBytes_t answer = {};
        answer.data = reinterpret_cast<uint8_t *>(text.data());
        answer.size_bytes = static_cast<uint32_t>(text.size());
        EyClaims_Complete(node.claims, local_ms, number, &answer, actions);
    }
    carry_out(attempt.node, actions);
    talloc_free(actions);
}

void
World::end_attempts()
{
    for (auto at = open_.begin(); at != open_.end();) {
        uint64_t number = *at;
        Attempt &attempt = attempts_[number];
        const Node &node = nodes[attempt.node];
        if (node.process != attempt.process) {
            at = open_.erase(at);
            continue;
        }
        if (!is_active(attempt.node)) {
            ++at;
            continue;
        }
        bool is_waiting = !attempt.is_final && !attempt.was_granted;
        if (is_waiting && now_ms > attempt.deadline_ms + 2 * TICK_MS &&
            node.tick_ms - TICK_MS >= attempt.deadline_ms)
        {
            fail("attempt without an answer at its deadline");
        }
        if (attempt.end_ms >= 0 && attempt.end_ms <= now_ms) {
            attempt.end_ms = -1;
            end_attempt(number, attempt);
        }
        bool is_open = is_waiting || attempt.end_ms >= 0;
        at = is_open ? std::next(at) : open_.erase(at);
    }
}

void
World::decided(const EyGroupAction_t *action)
{
    Attempt &attempt = attempts_[action->number];
    if (attempt.is_final || attempt.was_granted) {
        fail("second answer to one attempt");
        return;
    }
    if (action->decision == EY_GROUP_DECISION_GRANTED) {
        granted(action->number);
        return;
    }
    attempt.is_final = true;
    attempt.decision = action->decision;
    auto found = runs_.find(attempt.key);
    bool has_run = found != runs_.end() && found->second.count > 0;
    /* Another attempt may run the key while the answer is in flight, but only
     * if the answer comes before its deadline. */
    bool is_wrong = has_run &&
                    found->second.fingerprint == attempt.fingerprint &&
                    (found->second.sent_ms <= attempt.start_ms ||
                     now_ms > attempt.deadline_ms);
    if (action->outcome == EY_OUTCOME_NOT_RUN && is_wrong) {
        fail("not-run reported for key " + attempt.key + ", which ran");
    }
    if (action->decision == EY_GROUP_DECISION_REPLAY) {
        std::string answer(reinterpret_cast<const char *>(action->answer.data),
                           action->answer.size_bytes);
        if (!has_run || answer != found->second.answer ||
            found->second.fingerprint != attempt.fingerprint)
        {
            fail("replayed answer of another request");
        }
    }
}

/**
 * A leader sends a grant. Each replica of its view must have the claim, and so
 * must each replica of any later view in the same epoch, which may have been
 * decided while the grant was in flight.
 */
void
World::check_grant(uint32_t index, const EyGroupMessage_t *message)
{
    const EyView_t *granting_view = EyGroup_View(nodes[index].group);
    const std::string &key = attempts_[message->claim.number].key;
    for (const Node &node : nodes) {
        const EyView_t *view = nullptr;
        bool is_known = false;
        if (node.is_witness) {
            continue;
        }
        if (node.is_up) {
            view = EyGroup_View(node.group);
            is_known = EyRecords_Find(EyGroup_Records(node.group),
                                      key.c_str()) != nullptr;
        }
        else if (node.disk.state != nullptr) {
            view = &node.disk.state->view;
            is_known = node.disk.records.count(key) > 0;
        }
        if (view == nullptr || view->epoch != granting_view->epoch) {
            continue;
        }
        const char *name = node.name.c_str();
        bool is_member = EyView_Find(view, name, node.incarnation) >= 0;
        bool is_behind = EyView_IsNewer(granting_view, view);
        if (is_behind &&
            EyView_Find(granting_view, name, node.incarnation) >= 0) {
            fail("grant in a view that replica " + node.name + " isn't in");
        }
        if (is_member && !is_behind && !is_known) {
            fail("granted claim unknown to replica " + node.name);
        }
    }
}

uint32_t
World::serving_count() const
{
    uint32_t count = 0;
    for (const Node &node : nodes) {
        if (node.is_up && !node.is_witness && EyGroup_IsServing(node.group)) {
            count++;
        }
    }
    return count;
}

} // namespace group_world
