/* Pauses that backend servers ask for, with several gateways, clocks of their
 * own, late and lost answers. */
#include "core/memory.h"
#include "core/random.h"
#include "property/check.h"
#include "routing/router.h"

#include <map>
#include <string>
#include <vector>

namespace {

constexpr int64_t STEP_MS = 10;
/** An answer takes up to this long to be noticed. */
constexpr int64_t GRACE_MS = 500;
constexpr int64_t DELAY_MAX_MS = 200;
constexpr uint32_t REQUESTS_IN_PAUSE_MAX = 2;

enum Answer { ANSWER_OK, ANSWER_REFUSED, ANSWER_LOST };

/** A request on its way to a server, or its answer on the way back. */
struct Call {
    uint64_t number;
    std::string server;
    Answer answer;
    int64_t pause_ms;
};

struct Gateway {
    EyRouter_t *router = nullptr;
    int64_t clock_ms = 0; /* its clock minus the true time */
    std::multimap<int64_t, Call> arrivals;
    std::multimap<int64_t, Call> answers;
};

/** What one server has told one gateway. */
struct Told {
    int64_t at_ms = -1;
    int64_t end_ms = -1;
    uint32_t received = 0; /* from GRACE_MS after at_ms until end_ms */
};

class Pauses {
  public:
    Pauses(size_t gateway_count, size_t server_count, uint64_t seed)
        : ctx_(talloc_new(nullptr)), random_(EyRandom_Make(seed)),
          server_count_(server_count), gateways_(gateway_count)
    {
        for (Gateway &gateway : gateways_) {
            EyRouterOptions_t options = {};
            options.region = "istra";
            options.seed = EyRandom_Next(&random_);
            options.config = EyRoutingConfig_Make();
            gateway.router = EyRouter_New(ctx_, &options);
            gateway.clock_ms = static_cast<int64_t>(below(1000000)) + 1;
            for (size_t i = 0; i < server_count; i++) {
                upsert(gateway, i);
            }
        }
    }

    ~Pauses()
    {
        talloc_free(ctx_);
    }

    void
    run(int64_t duration_ms)
    {
        int64_t end_ms = now_ms_ + duration_ms;
        for (; now_ms_ < end_ms && fault.empty(); now_ms_ += STEP_MS) {
            for (size_t i = 0; i < gateways_.size(); i++) {
                step(i);
            }
        }
    }

    std::string fault;
    uint32_t pauses = 0;

  private:
    uint64_t
    below(uint64_t limit)
    {
        return EyRandom_Below(&random_, limit);
    }

    int64_t
    delay_ms()
    {
        return static_cast<int64_t>(below(DELAY_MAX_MS));
    }

    int64_t
    local_ms(const Gateway &gateway) const
    {
        return now_ms_ + gateway.clock_ms;
    }

    void
    upsert(const Gateway &gateway, size_t server)
    {
        EyName_t service = "booking";
        EyBackend_t backend = {};
        backend.kind = EY_BACKEND_SERVICE;
        backend.services = &service;
        backend.service_count = 1;
        backend.slots = 4;
        backend.speed = 1.0;
        backend.incarnation = 1;
        EY_COPY(backend.id, std::to_string(server).c_str());
        EyRouter_UpsertBackend(gateway.router, local_ms(gateway), &backend);
    }

    void
    step(size_t index)
    {
        Gateway &gateway = gateways_[index];
        receive(index);
        read_answers(gateway);
        /* A server may be unlisted and listed again. */
        if (below(100) == 0) {
            size_t server = below(server_count_);
            EyRouter_RemoveBackend(gateway.router, local_ms(gateway),
                                   std::to_string(server).c_str());
            upsert(gateway, server);
        }
        if (below(3) == 0) {
            EyRoutingRequest_t request = {};
            request.number = ++number_;
            request.kind = EY_BACKEND_SERVICE;
            EY_COPY(request.target, "booking");
            request.deadline_ms = local_ms(gateway) + 3000;
            request.is_idempotent = true;
            send(gateway,
                 EyRouter_Submit(gateway.router, local_ms(gateway), &request));
        }
        GArray *decisions =
            g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
        EyRouter_Tick(gateway.router, local_ms(gateway), decisions);
        send_all(gateway, decisions);
    }

    void
    send(Gateway &gateway, const EyRoutingDecision_t &decision)
    {
        if (decision.kind != EY_DECISION_DISPATCH) {
            return;
        }
        Call call = {decision.number, decision.backend, ANSWER_OK, 0};
        gateway.arrivals.insert({now_ms_ + delay_ms(), call});
    }

    void
    send_all(Gateway &gateway, GArray *decisions)
    {
        for (guint i = 0; i < decisions->len; i++) {
            send(gateway, g_array_index(decisions, EyRoutingDecision_t, i));
        }
        g_array_free(decisions, TRUE);
    }

    /** The servers receive requests and answer them. */
    void
    receive(size_t index)
    {
        Gateway &gateway = gateways_[index];
        while (!gateway.arrivals.empty() &&
               gateway.arrivals.begin()->first <= now_ms_) {
            Call call = gateway.arrivals.begin()->second;
            gateway.arrivals.erase(gateway.arrivals.begin());
            Told &told = told_[{call.server, index}];
            if (now_ms_ >= told.at_ms + GRACE_MS && now_ms_ < told.end_ms &&
                ++told.received > REQUESTS_IN_PAUSE_MAX)
            {
                fault = "server " + call.server + " received " +
                        std::to_string(told.received) + " in its pause";
            }
            answer(call, told);
            gateway.answers.insert({now_ms_ + delay_ms(), call});
        }
    }

    void
    answer(Call &call, Told &told)
    {
        uint64_t dice = below(100);
        if (dice < 5) {
            call.answer = ANSWER_LOST;
        }
        else if (dice < 15) {
            call.answer = ANSWER_REFUSED;
            call.pause_ms = static_cast<int64_t>(below(4000));
            told = {now_ms_, now_ms_ + call.pause_ms, 0};
            pauses++;
        }
    }

    void
    read_answers(Gateway &gateway)
    {
        while (!gateway.answers.empty() &&
               gateway.answers.begin()->first <= now_ms_) {
            Call call = gateway.answers.begin()->second;
            gateway.answers.erase(gateway.answers.begin());
            if (call.answer == ANSWER_REFUSED) {
                (void)EyRouter_Pause(gateway.router, local_ms(gateway),
                                     call.server.c_str(), call.pause_ms);
            }
            EyRoutingResult_t result = {};
            result.kind = call.answer == ANSWER_OK        ? EY_RESULT_OK
                          : call.answer == ANSWER_REFUSED ? EY_RESULT_REFUSED
                                                          : EY_RESULT_FAILED;
            result.duration_ms = 50;
            GArray *decisions =
                g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
            (void)EyRouter_Finished(gateway.router, local_ms(gateway),
                                    call.number, &result, decisions);
            send_all(gateway, decisions);
        }
    }

    void *ctx_;
    EyRandom_t random_;
    size_t server_count_;
    std::vector<Gateway> gateways_;
    std::map<std::pair<std::string, size_t>, Told> told_;
    int64_t now_ms_ = 0;
    uint64_t number_ = 0;
};

} // namespace

Test(pause_properties, no_gateway_sends_more_than_two_requests_in_a_pause)
{
    EY_CHECK("a server that asked for a pause gets it", [] {
        Pauses world(*rc::gen::inRange<size_t>(1, 6),
                     *rc::gen::inRange<size_t>(1, 5),
                     *rc::gen::arbitrary<uint64_t>());
        world.run(20000);
        RC_ASSERT(world.fault == "");
        RC_ASSERT(world.pauses > 0U);
    });
}
