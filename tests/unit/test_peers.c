#include "core/clock.h"
#include "core/counters.h"
#include "core/memory.h"
#include "core/random.h"
#include "instances/peer_message.h"
#include "raw_socket.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#define WAIT_MS 5000
#define QUIET_MS 300

/** One instance's side of a test. */
typedef struct Side {
    EyMailbox_t *inbox;
    EyPeers_t *peers;
} Side_t;

static Side_t
start(void *ctx, const char *id, const char *secret_file)
{
    EyPeersOptions_t options = {.incarnation = 7, .secret_file = secret_file};
    (void)EY_COPY(options.id, id);
    (void)EY_COPY(options.listen, "127.0.0.1:0");
    Side_t side = {.inbox = EyMailbox_New(ctx, 64)};
    GError *error = NULL;
    side.peers = EyPeers_Start(ctx, &options, side.inbox, &error);
    cr_assert_not_null(side.peers, "%s", error == NULL ? "" : error->message);
    return side;
}

static EyPeerMessage_t *
wait_message(const Side_t *side, int64_t wait_ms)
{
    int64_t end_ms = EyClock_NowMs() + wait_ms;
    for (;;) {
        EyMailbox_Acknowledge(side->inbox);
        EyPeerMessage_t *message = EyMailbox_Take(side->inbox);
        int64_t left_ms = end_ms - EyClock_NowMs();
        if (message != NULL || left_ms <= 0) {
            return message;
        }
        struct pollfd item = {.fd = EyMailbox_Descriptor(side->inbox),
                              .events = POLLIN};
        (void)poll(&item, 1, (int)left_ms);
    }
}

static void
send_text(const Side_t *from, const char *to, const char *address,
          const char *text)
{
    EyPeerMessage_t *message = EY_NEW(NULL, EyPeerMessage_t);
    message->kind = EY_PEER_GROUP;
    (void)EY_COPY(message->to, to);
    (void)EY_COPY(message->to_address, address);
    message->payload.size_bytes = (uint32_t)strlen(text);
    message->payload.data =
        EyMemory_Copy(message, text, message->payload.size_bytes);
    cr_assert(EyPeers_Send(from->peers, message));
}

static void
expect_text(const Side_t *side, const char *from, const char *text)
{
    EyPeerMessage_t *message = wait_message(side, WAIT_MS);
    cr_assert_not_null(message, "no message; expected %s", text);
    cr_assert_str_eq(message->from, from);
    cr_assert_eq(message->from_incarnation, 7);
    cr_assert_str_eq((const char *)message->payload.data, text);
    talloc_free(message);
}

static void
expect_nothing(const Side_t *side)
{
    cr_assert_null(wait_message(side, QUIET_MS));
}

/** The value of ebonyyard_peer_dropped_total for a reason. */
static uint64_t
dropped(const char *reason)
{
    GString *text = g_string_new(NULL);
    EyMetrics_Text(text);
    char *name = g_strdup_printf(
        "ebonyyard_peer_dropped_total{reason=\"%s\"} ", reason);
    const char *at = strstr(text->str, name);
    uint64_t value = 0;
    if (at != NULL) {
        value = g_ascii_strtoull(at + strlen(name), NULL, 10);
    }
    g_free(name);
    (void)g_string_free(text, TRUE);
    return value;
}

static void
wait_dropped(const char *reason, uint64_t count)
{
    int64_t end_ms = EyClock_NowMs() + WAIT_MS;
    while (dropped(reason) < count && EyClock_NowMs() < end_ms) {
        (void)poll(NULL, 0, 10);
    }
    cr_assert_eq(dropped(reason), count, "%s: %lu", reason,
                 (unsigned long)dropped(reason));
}

Test(peers, messages_go_both_ways)
{
    void *ctx = talloc_new(NULL);
    Side_t left = start(ctx, "istra-1", NULL);
    Side_t right = start(ctx, "istra-2", NULL);
    send_text(&left, "", EyPeers_ListenAddress(right.peers), "hello");
    expect_text(&right, "istra-1", "hello");
    /* The way back was learnt from the message. */
    send_text(&right, "istra-1", "", "welcome");
    expect_text(&left, "istra-2", "welcome");
    cr_assert(EyPeers_SetRoute(left.peers, "istra-2",
                               EyPeers_ListenAddress(right.peers)));
    send_text(&left, "istra-2", "", "by name");
    expect_text(&right, "istra-1", "by name");
    send_text(&left, "istra-1", "", "to itself");
    expect_text(&left, "istra-1", "to itself");
    send_text(&left, "nobody", "", "lost");
    wait_dropped("no_route", 1);
    send_text(&left, "istra-3", EyPeers_ListenAddress(right.peers),
              "not yours");
    wait_dropped("destination", 1);
    expect_nothing(&right);
    talloc_free(ctx);
}

Test(peers, a_cut_drops_both_ways)
{
    void *ctx = talloc_new(NULL);
    Side_t left = start(ctx, "istra-1", NULL);
    Side_t right = start(ctx, "istra-2", NULL);
    const char *address = EyPeers_ListenAddress(right.peers);
    cr_assert(EyPeers_SetRoute(left.peers, "istra-2", address));
    cr_assert(EyPeers_SetBlocked(left.peers, "istra-2", true));
    send_text(&left, "istra-2", "", "lost");
    send_text(&left, "", address, "lost too");
    expect_nothing(&right);
    send_text(&right, "", EyPeers_ListenAddress(left.peers), "unheard");
    expect_nothing(&left);
    cr_assert(EyPeers_SetBlocked(left.peers, "istra-2", false));
    send_text(&left, "istra-2", "", "again");
    expect_text(&right, "istra-1", "again");
    talloc_free(ctx);
}

Test(peers, a_restarted_peer_is_reached_again)
{
    void *ctx = talloc_new(NULL);
    Side_t left = start(ctx, "istra-1", NULL);
    Side_t right = start(ctx, "istra-2", NULL);
    EyAddress_t address;
    (void)EY_COPY(address, EyPeers_ListenAddress(right.peers));
    send_text(&left, "", address, "first");
    expect_text(&right, "istra-1", "first");
    talloc_free(right.peers);
    EyPeersOptions_t options = {.incarnation = 8};
    (void)EY_COPY(options.id, "istra-2");
    (void)EY_COPY(options.listen, address);
    right.peers = EyPeers_Start(ctx, &options, right.inbox, NULL);
    cr_assert_not_null(right.peers);
    EyPeerMessage_t *message = NULL;
    for (int i = 0; i < 50 && message == NULL; i++) {
        send_text(&left, "", address, "second");
        message = wait_message(&right, 100);
    }
    cr_assert_not_null(message);
    talloc_free(message);
    talloc_free(ctx);
}

/** Sends frames from a plain ZeroMQ socket. */
static void
send_raw(const char *address, const void *data, size_t size_bytes,
         int frame_count)
{
    void *zmq = zmq_ctx_new();
    void *socket = zmq_socket(zmq, ZMQ_DEALER);
    char *endpoint = g_strdup_printf("tcp://%s", address);
    cr_assert_eq(zmq_connect(socket, endpoint), 0);
    for (int i = 1; i <= frame_count; i++) {
        int flags = i < frame_count ? ZMQ_SNDMORE : 0;
        (void)zmq_send(socket, data, size_bytes, flags);
    }
    (void)poll(NULL, 0, QUIET_MS);
    (void)zmq_close(socket);
    (void)zmq_ctx_term(zmq);
    g_free(endpoint);
}

/** Writes bytes to the TCP port. */
static void
send_junk(const char *address, const void *data, size_t size_bytes)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    to.sin_port = htons((uint16_t)atoi(strrchr(address, ':') + 1));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(descriptor, (struct sockaddr *)&to, sizeof(to)), 0);
    (void)send(descriptor, data, size_bytes, MSG_NOSIGNAL);
    (void)poll(NULL, 0, 20);
    (void)close(descriptor);
}

Test(peers, garbage_on_the_port_is_survived)
{
    void *ctx = talloc_new(NULL);
    Side_t left = start(ctx, "istra-1", NULL);
    Side_t right = start(ctx, "istra-2", NULL);
    const char *address = EyPeers_ListenAddress(right.peers);
    const char http[] = "GET / HTTP/1.1\r\n\r\n";
    /* A ZMTP greeting that is cut, and one with junk behind it. */
    const uint8_t greeting[64] = {0xff, 0, 0, 0, 0, 0, 0, 0, 0, 0x7f, 3, 1};
    uint8_t junk[4096];
    EyRandom_t random = EyRandom_Make(1);
    send_junk(address, "", 0);
    send_junk(address, http, sizeof(http));
    send_junk(address, greeting, 11);
    for (int round = 0; round < 20; round++) {
        for (size_t i = 0; i < sizeof(junk); i++) {
            junk[i] = (uint8_t)EyRandom_Next(&random);
        }
        if (round % 2 == 0) {
            memcpy(junk, greeting, sizeof(greeting));
        }
        send_junk(address, junk, sizeof(junk));
    }
    send_text(&left, "", address, "still there");
    expect_text(&right, "istra-1", "still there");
    talloc_free(ctx);
}

Test(peers, bad_messages_are_counted_and_dropped)
{
    void *ctx = talloc_new(NULL);
    Side_t left = start(ctx, "istra-1", NULL);
    Side_t right = start(ctx, "istra-2", NULL);
    const char *address = EyPeers_ListenAddress(right.peers);
    const uint8_t other_version[] = {0x92, 0x02, 0xc0};
    send_raw(address, other_version, sizeof(other_version), 1);
    wait_dropped("version", 1);
    send_raw(address, "junk", 4, 1);
    wait_dropped("malformed", 1);
    send_raw(address, "junk", 4, 5);
    wait_dropped("malformed", 2);
    EyPeerMessage_t message = {.kind = EY_PEER_KIND_COUNT};
    (void)EY_COPY(message.from, "istra-9");
    EyBytes_t frame = EyPeerMessage_Encode(&message, ctx);
    send_raw(address, frame.data, frame.size_bytes, 1);
    wait_dropped("kind", 1);
    send_raw(address, frame.data, frame.size_bytes - 1, 1);
    wait_dropped("malformed", 3);
    /* Announces more items than memory can hold. */
    const uint8_t endless[] = {0xdd, 0xff, 0xff, 0xff, 0xff, 0x01};
    send_raw(address, endless, sizeof(endless), 1);
    wait_dropped("malformed", 4);
    message.kind = EY_PEER_GROUP;
    message.payload.data = EyMemory_Copy(ctx, endless, sizeof(endless));
    message.payload.size_bytes = sizeof(endless);
    frame = EyPeerMessage_Encode(&message, ctx);
    send_raw(address, frame.data, frame.size_bytes, 1);
    wait_dropped("malformed", 5);
    /* Refused by ZeroMQ itself before it is read. */
    uint8_t *large = EY_NEW_ARRAY(ctx, uint8_t, EY_PEER_FRAME_MAX_BYTES + 1);
    send_raw(address, large, EY_PEER_FRAME_MAX_BYTES + 1, 1);
    expect_nothing(&right);
    send_text(&left, "", address, "still there");
    expect_text(&right, "istra-1", "still there");
    talloc_free(ctx);
}

Test(peers, a_full_inbox_drops_and_counts)
{
    void *ctx = talloc_new(NULL);
    Side_t left = start(ctx, "istra-1", NULL);
    Side_t right = start(ctx, "istra-2", NULL);
    for (int i = 0; i < 80; i++) {
        send_text(&left, "", EyPeers_ListenAddress(right.peers), "more");
    }
    wait_dropped("inbox_full", 16);
    for (int i = 0; i < 64; i++) {
        expect_text(&right, "istra-1", "more");
    }
    talloc_free(ctx);
}

static char *
write_secret(const char *text)
{
    char *path = NULL;
    int descriptor = g_file_open_tmp("ey-secret-XXXXXX", &path, NULL);
    cr_assert(descriptor >= 0);
    cr_assert_eq(write(descriptor, text, strlen(text)), (ssize_t)strlen(text));
    (void)close(descriptor);
    return path;
}

Test(peers, only_holders_of_the_secret_talk)
{
    void *ctx = talloc_new(NULL);
    char *secret = write_secret("a secret of the fleet\n");
    char *other_secret = write_secret("some other fleet's secret");
    Side_t left = start(ctx, "istra-1", secret);
    Side_t right = start(ctx, "istra-2", secret);
    Side_t stranger = start(ctx, "istra-3", other_secret);
    Side_t plain = start(ctx, "istra-4", NULL);
    const char *address = EyPeers_ListenAddress(right.peers);
    send_text(&left, "", address, "hello");
    expect_text(&right, "istra-1", "hello");
    send_text(&right, "istra-1", "", "welcome");
    expect_text(&left, "istra-2", "welcome");
    send_text(&stranger, "", address, "let me in");
    send_text(&plain, "", address, "let me in");
    expect_nothing(&right);
    send_text(&left, "", EyPeers_ListenAddress(stranger.peers), "hello");
    send_text(&left, "", EyPeers_ListenAddress(plain.peers), "hello");
    expect_nothing(&stranger);
    expect_nothing(&plain);
    (void)unlink(secret);
    (void)unlink(other_secret);
    g_free(secret);
    g_free(other_secret);
    talloc_free(ctx);
}

typedef struct StartCase {
    const char *listen;
    const char *secret; /* content of the file, or NULL */
    EyPeersError_t error;
} StartCase_t;

static const StartCase_t StartCases[] = {
    {"0.0.0.0:0", NULL, EY_PEERS_ERROR_SECRET},
    {"127.0.0.1:0", "too short", EY_PEERS_ERROR_SECRET},
    {"127.0.0.1:0", "", EY_PEERS_ERROR_SECRET},
    {"192.0.2.1:1", "a secret of the fleet", EY_PEERS_ERROR_LISTEN},
};

Test(peers, bad_starts_are_refused)
{
    for (size_t i = 0; i < G_N_ELEMENTS(StartCases); i++) {
        void *ctx = talloc_new(NULL);
        const StartCase_t *item = &StartCases[i];
        char *secret =
            item->secret == NULL ? NULL : write_secret(item->secret);
        EyPeersOptions_t options = {.secret_file = secret};
        (void)EY_COPY(options.listen, item->listen);
        GError *error = NULL;
        cr_expect_null(
            EyPeers_Start(ctx, &options, EyMailbox_New(ctx, 2), &error));
        cr_expect(g_error_matches(error, EY_PEERS_ERROR, (gint)item->error),
                  "%s", item->listen);
        g_clear_error(&error);
        if (secret != NULL) {
            (void)unlink(secret);
        }
        g_free(secret);
        talloc_free(ctx);
    }
}

/** Accepts until a connection says something; the time that took, or -1. */
static int64_t
wait_greeting(int listener, int64_t wait_ms)
{
    int64_t begin_ms = EyClock_NowMs();
    while (EyClock_NowMs() - begin_ms < wait_ms) {
        struct pollfd item = {.fd = listener, .events = POLLIN};
        if (poll(&item, 1, 50) != 1) {
            continue;
        }
        int accepted = accept(listener, NULL, NULL);
        char byte = 0;
        struct pollfd greeting = {.fd = accepted, .events = POLLIN};
        bool spoke =
            poll(&greeting, 1, 50) == 1 && recv(accepted, &byte, 1, 0) == 1;
        (void)close(accepted);
        if (spoke) {
            return EyClock_NowMs() - begin_ms;
        }
    }
    return -1;
}

/* A machine without power swallows the first packet, which the kernel sends
 * again after a second; a process that has just come back is to be met
 * sooner. */
Test(peers, a_connection_that_hangs_is_tried_anew_within_a_second)
{
    enum { DARK_MS = 150, MET_WITHIN_MS = 800 };
    void *ctx = talloc_new(NULL);
    Side_t left = start(ctx, "istra-1", NULL);
    RawFullListener_t dark = raw_listen_full();
    char *address = talloc_asprintf(ctx, "127.0.0.1:%u", dark.port);
    send_text(&left, "", address, "hello");
    (void)poll(NULL, 0, DARK_MS);
    raw_full_drain(&dark);
    int64_t took_ms = wait_greeting(dark.listener, 3000);
    cr_expect(took_ms >= 0 && took_ms < MET_WITHIN_MS, "%ld ms",
              (long)took_ms);
    raw_full_close(&dark);
    EyPeers_Stop(left.peers);
    talloc_free(ctx);
}
