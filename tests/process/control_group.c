#include "process/control_group.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define START_TIMEOUT_MS 20000
#define CALL_TIMEOUT_MS 2000
#define POLL_INTERVAL_MS 50
#define REGIONS 3
/** The gateway shares its region with the third control process. */
#define GATEWAY_NUMBER 3
/** Number of the arguments that stay the same over restarts. */
#define FIXED_ARGS 8

static const char *const Regions[REGIONS] = {"dalmacija", "istra", "zagreb"};

static bool
is_running(const ControlGroupMember_t *member)
{
    return member->process.pid != 0;
}

/** Region of the process with an index. */
static uint32_t
region_of(uint32_t index)
{
    return (index + 1) % REGIONS;
}

static Process_t
make_process(const char *program, const char *label, const char *role,
             uint32_t number)
{
    char name[64];
    (void)snprintf(name, sizeof(name), "%s-%s-%u", label, role, number);
    Process_t process = Process_Make(program, name);
    process.port = Harness_FreePort();
    process.peer_port = Harness_FreePort();
    const char *region = Regions[region_of(number - 1)];
    Process_Arg(&process, "--id=%s", name);
    Process_Arg(&process, "--region=%s", region);
    Process_Arg(&process, "--zone=%s-a", region);
    Process_Arg(&process, "--listen=127.0.0.1:%u", process.port);
    Process_Arg(&process, "--peer-listen=127.0.0.1:%u", process.peer_port);
    Process_Arg(&process, "--takes-joiners=1");
    Process_Arg(&process, "--log-format=json");
    Process_Arg(&process, "--zones=dalmacija-a=dalmacija,istra-a=istra,"
                          "zagreb-a=zagreb");
    cr_assert_eq(process.arg_count, FIXED_ARGS);
    return process;
}

static void
start_process(const ControlGroup_t *self, Process_t *process)
{
    Process_Arg(process, "--control=127.0.0.1:%u,127.0.0.1:%u,127.0.0.1:%u",
                self->contacts[0], self->contacts[1], self->contacts[2]);
    Process_Start(process);
}

static void
start_member(const ControlGroup_t *self, ControlGroupMember_t *member,
             bool may_found)
{
    Process_t *process = &member->process;
    process->arg_count = FIXED_ARGS;
    Process_Arg(process, "--data-dir=%s", member->folder);
    Process_Arg(process, "--control-losses=%d", CONTROL_GROUP_LOSSES);
    Process_Arg(process, "--may-found=%d", may_found ? 1 : 0);
    start_process(self, process);
}

static void
start_gateway(ControlGroup_t *self)
{
    self->gateway.arg_count = FIXED_ARGS;
    start_process(self, &self->gateway);
}

static uint32_t
make_member(ControlGroup_t *self)
{
    cr_assert_lt(self->count, CONTROL_GROUP_PROCESSES_MAX);
    ControlGroupMember_t *member = &self->members[self->count];
    member->process = make_process("ebonyyard-control", self->label, "control",
                                   self->count + 1);
    Harness_MakeMemoryFolder(member->folder, sizeof(member->folder),
                             member->process.name);
    return self->count++;
}

void
ControlGroup_Start(ControlGroup_t *self, const char *label)
{
    memset(self, 0, sizeof(*self));
    self->label = label;
    for (uint32_t i = 0; i < CONTROL_GROUP_SIZE; i++) {
        (void)make_member(self);
    }
    ControlGroup_RenewContacts(self);
    for (uint32_t i = 0; i < CONTROL_GROUP_SIZE; i++) {
        start_member(self, &self->members[i], true);
    }
    self->gateway =
        make_process("ebonyyard-gateway", label, "gateway", GATEWAY_NUMBER);
    start_gateway(self);
    cr_assert(ControlGroup_AwaitVoters(self, START_TIMEOUT_MS),
              "the group has not formed");
}

uint32_t
ControlGroup_Add(ControlGroup_t *self)
{
    uint32_t index = make_member(self);
    start_member(self, &self->members[index], false);
    return index;
}

void
ControlGroup_Remove(ControlGroup_t *self, uint32_t index)
{
    ControlGroupMember_t *member = &self->members[index];
    Process_Kill(&member->process);
    member->is_gone = true;
}

void
ControlGroup_RenewContacts(ControlGroup_t *self)
{
    uint32_t named = 0;
    for (uint32_t i = 0; i < self->count && named < CONTROL_GROUP_CONTACTS;
         i++) {
        if (!self->members[i].is_gone) {
            self->contacts[named] = self->members[i].process.peer_port;
            named++;
        }
    }
}

void
ControlGroup_KillAll(ControlGroup_t *self)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (is_running(&self->members[i])) {
            Process_Signal(&self->members[i].process, SIGSTOP);
        }
    }
    for (uint32_t i = 0; i < self->count; i++) {
        Process_Kill(&self->members[i].process);
    }
    Process_Kill(&self->gateway);
}

void
ControlGroup_LoseDisk(ControlGroup_t *self, uint32_t index)
{
    ControlGroupMember_t *member = &self->members[index];
    Harness_RemoveFolder(member->folder);
    Harness_MakeMemoryFolder(member->folder, sizeof(member->folder),
                             member->process.name);
}

void
ControlGroup_StartAll(ControlGroup_t *self)
{
    for (uint32_t i = 0; i < self->count; i++) {
        ControlGroupMember_t *member = &self->members[i];
        if (!member->is_gone && !is_running(member)) {
            start_member(self, member, false);
        }
    }
    if (self->gateway.pid == 0) {
        start_gateway(self);
    }
}

/* What the processes say */

/** The part of a control process's dump with its log; NULL if there is none.
 * The caller owns it. */
static json_t *
control_dump(const Process_t *process)
{
    Reply_t reply = Http_Call(process->port, "GET", "/v1/dump", NULL, NULL,
                              CALL_TIMEOUT_MS);
    json_t *dump = Reply_Json(&reply);
    json_t *control = json_incref(json_object_get(dump, "control"));
    json_decref(dump);
    Reply_Clear(&reply);
    return control;
}

uint32_t
ControlGroup_Leader(const ControlGroup_t *self)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (!is_running(&self->members[i])) {
            continue;
        }
        json_t *control = control_dump(&self->members[i].process);
        const char *role = json_string_value(
            json_object_get(json_object_get(control, "log"), "role"));
        bool is_leader = role != NULL && strcmp(role, "leader") == 0;
        json_decref(control);
        if (is_leader) {
            return i;
        }
    }
    return self->count;
}

static bool
is_running_address(const ControlGroup_t *self, const char *address)
{
    for (uint32_t i = 0; i < self->count; i++) {
        char own[32];
        (void)snprintf(own, sizeof(own), "127.0.0.1:%u",
                       self->members[i].process.peer_port);
        if (address != NULL && strcmp(own, address) == 0) {
            return is_running(&self->members[i]);
        }
    }
    return false;
}

/** True if all members that a process names are voters and run, and it names
 * as many as run. */
static bool
has_right_voters(const ControlGroup_t *self, const Process_t *process)
{
    uint32_t running = 0;
    for (uint32_t i = 0; i < self->count; i++) {
        running += is_running(&self->members[i]);
    }
    json_t *control = control_dump(process);
    const json_t *rows = json_object_get(control, "members");
    bool is_right = json_array_size(rows) == running;
    for (size_t i = 0; i < json_array_size(rows); i++) {
        const json_t *row = json_array_get(rows, i);
        const char *role = json_string_value(json_object_get(row, "role"));
        is_right =
            is_right && role != NULL && strcmp(role, "voter") == 0 &&
            is_running_address(
                self, json_string_value(json_object_get(row, "address")));
    }
    if (is_right && !json_is_true(json_object_get(
                        json_object_get(control, "log"), "is_voter")))
    {
        is_right = false;
    }
    json_decref(control);
    return is_right;
}

/** Version of the route table that a process reads back; 0 if it refuses. */
static uint32_t
read_version(const Process_t *process)
{
    Reply_t reply = Http_Call(process->port, "GET", "/v1/config/routes", NULL,
                              NULL, CALL_TIMEOUT_MS);
    json_t *json = reply.status == 200 ? Reply_Json(&reply) : NULL;
    uint32_t version =
        (uint32_t)json_integer_value(json_object_get(json, "version"));
    json_decref(json);
    Reply_Clear(&reply);
    return version;
}

bool
ControlGroup_Change(const ControlGroup_t *self, uint32_t version,
                    int64_t timeout_ms)
{
    char table[64];
    (void)snprintf(table, sizeof(table),
                   "{\"version\":%u,\"routes\":[],\"services\":[]}", version);
    int64_t until_ms = Harness_NowMs() + timeout_ms;
    for (uint32_t i = 0; Harness_NowMs() < until_ms; i++) {
        const ControlGroupMember_t *member = &self->members[i % self->count];
        if (!is_running(member)) {
            continue;
        }
        Reply_t reply =
            Http_Call(member->process.port, "PUT", "/v1/config/routes", NULL,
                      table, CALL_TIMEOUT_MS);
        bool is_done = reply.status == 200;
        Reply_Clear(&reply);
        if (is_done) {
            return true;
        }
        Harness_SleepMs(POLL_INTERVAL_MS);
    }
    return false;
}

/** Waits until check holds for the process or the time is over. */
static bool
await_read(const Process_t *process, uint32_t version, int64_t until_ms)
{
    while (process->pid != 0 && read_version(process) != version) {
        if (Harness_NowMs() >= until_ms) {
            (void)fprintf(stderr, "%s does not read back version %u\n",
                          process->name, version);
            return false;
        }
        Harness_SleepMs(POLL_INTERVAL_MS);
    }
    return true;
}

bool
ControlGroup_AwaitVersion(const ControlGroup_t *self, uint32_t version,
                          int64_t timeout_ms)
{
    int64_t until_ms = Harness_NowMs() + timeout_ms;
    bool is_read = await_read(&self->gateway, version, until_ms);
    for (uint32_t i = 0; i < self->count; i++) {
        const Process_t *process = &self->members[i].process;
        is_read = await_read(process, version, until_ms) && is_read;
    }
    return is_read;
}

/** True if one process's dump names another one's peer address among the
 * instances of its region, or the contacts in others. */
static bool
knows(const Process_t *process, const Process_t *other)
{
    char address[40];
    (void)snprintf(address, sizeof(address), "\"127.0.0.1:%u\"",
                   other->peer_port);
    Reply_t reply = Http_Call(process->port, "GET", "/v1/dump", NULL, NULL,
                              CALL_TIMEOUT_MS);
    json_t *dump = Reply_Json(&reply);
    const json_t *membership =
        json_object_get(json_object_get(dump, "cluster"), "membership");
    char *text = json_dumps(membership, JSON_COMPACT | JSON_ENCODE_ANY);
    bool is_known = text != NULL && strstr(text, address) != NULL;
    g_free(text);
    json_decref(dump);
    Reply_Clear(&reply);
    return is_known;
}

static bool
await_contact(const Process_t *process, const Process_t *other,
              int64_t until_ms)
{
    bool are_running = process->pid != 0 && other->pid != 0;
    while (are_running && !knows(process, other)) {
        if (Harness_NowMs() >= until_ms) {
            (void)fprintf(stderr, "%s does not know %s\n", process->name,
                          other->name);
            return false;
        }
        Harness_SleepMs(POLL_INTERVAL_MS);
    }
    return true;
}

bool
ControlGroup_AwaitContacts(const ControlGroup_t *self, int64_t timeout_ms)
{
    int64_t until_ms = Harness_NowMs() + timeout_ms;
    bool are_known = true;
    for (uint32_t i = 0; i < self->count; i++) {
        const Process_t *one = &self->members[i].process;
        are_known = await_contact(&self->gateway, one, until_ms) && are_known;
        if (region_of(i) == region_of(GATEWAY_NUMBER - 1)) {
            are_known =
                await_contact(one, &self->gateway, until_ms) && are_known;
        }
        for (uint32_t j = 0; j < self->count; j++) {
            are_known =
                await_contact(one, &self->members[j].process, until_ms) &&
                are_known;
        }
    }
    return are_known;
}

static bool
is_running_name(const ControlGroup_t *self, const char *name)
{
    for (uint32_t i = 0; i < self->count; i++) {
        const Process_t *process = &self->members[i].process;
        if (name != NULL && strcmp(process->name, name) == 0) {
            return process->pid != 0;
        }
    }
    return false;
}

/** The view of the gateway's record group; the caller owns it. */
static json_t *
records_view(const Process_t *gateway)
{
    Reply_t reply = Http_Call(gateway->port, "GET", "/v1/dump", NULL, NULL,
                              CALL_TIMEOUT_MS);
    json_t *dump = Reply_Json(&reply);
    json_t *view = NULL;
    (void)json_unpack(dump, "{s:{s:{s:{s:O}}}}", "gateway", "records", "group",
                      "view", &view);
    json_decref(dump);
    Reply_Clear(&reply);
    return view;
}

static uint32_t
count_witnesses(const ControlGroup_t *self, const json_t *view)
{
    const json_t *members = json_object_get(view, "members");
    uint32_t count = 0;
    for (size_t i = 0; i < json_array_size(members); i++) {
        const json_t *member = json_array_get(members, i);
        count += json_is_true(json_object_get(member, "is_witness")) &&
                 is_running_name(
                     self, json_string_value(json_object_get(member, "name")));
    }
    return count;
}

bool
ControlGroup_AwaitWitnesses(const ControlGroup_t *self, uint32_t count,
                            int64_t timeout_ms)
{
    int64_t until_ms = Harness_NowMs() + timeout_ms;
    for (;;) {
        json_t *view = records_view(&self->gateway);
        bool is_enough = count_witnesses(self, view) == count;
        bool is_over = Harness_NowMs() >= until_ms;
        if (is_over && !is_enough) {
            (void)json_dumpf(view, stderr, JSON_COMPACT);
        }
        json_decref(view);
        if (is_enough || is_over) {
            return is_enough;
        }
        Harness_SleepMs(POLL_INTERVAL_MS);
    }
}

static bool
await_voters(const ControlGroup_t *self, const Process_t *process,
             int64_t until_ms)
{
    while (process->pid != 0 && !has_right_voters(self, process)) {
        if (Harness_NowMs() >= until_ms) {
            json_t *control = control_dump(process);
            char *text = json_dumps(control, JSON_COMPACT);
            (void)fprintf(stderr, "%s: %s\n", process->name, text);
            g_free(text);
            json_decref(control);
            return false;
        }
        Harness_SleepMs(POLL_INTERVAL_MS);
    }
    return true;
}

bool
ControlGroup_AwaitVoters(const ControlGroup_t *self, int64_t timeout_ms)
{
    int64_t until_ms = Harness_NowMs() + timeout_ms;
    for (uint32_t i = 0; i < self->count; i++) {
        if (!await_voters(self, &self->members[i].process, until_ms)) {
            return false;
        }
    }
    return true;
}

void
ControlGroup_End(ControlGroup_t *self)
{
    for (uint32_t i = 0; i < self->count; i++) {
        ControlGroupMember_t *member = &self->members[i];
        Process_Kill(&member->process);
        if (member->folder[0] != '\0') {
            Harness_RemoveFolder(member->folder);
        }
    }
    Process_Kill(&self->gateway);
    self->count = 0;
}
