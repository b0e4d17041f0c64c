#include "backends/event_framer.h"
#include "core/memory.h"
#include "exchange/event_boundary.h"
#include "property/check.h"

#include <string>
#include <vector>

namespace {

/** Pieces from which event streams are built, with all kinds of line ends. */
const char *const Pieces[] = {
    "data: a\n",    "data:b\r\n", "\n",
    "\r\n",         ": ping\n",   "event: x",
    "data: [DONE]", "data",       "id: 7\n",
    "\r",           "x",          "data: x\n\n",
    "datax: no\n",  "\n\n",       "data: y\r\n\r\n",
    ": p\r",        "id:8\r\n",   "id:\n",
    "id: bad\t\n",
};
constexpr size_t PieceCount = sizeof(Pieces) / sizeof(Pieces[0]);

std::string
make_text(const std::vector<uint8_t> &choices)
{
    std::string text;
    for (uint8_t choice : choices) {
        text += Pieces[choice % PieceCount];
    }
    return text;
}

struct Outcome {
    std::string passed;
    std::string held;
    uint32_t events = 0;
    std::string id; /* of the last event */
    bool done = false;
    bool inside = false;
};

/** Adds text in parts; if undo is set, each part is first added and rolled
 * back. */
Outcome
feed(const std::string &text, const std::vector<uint8_t> &sizes, bool undo)
{
    EyEventFramer_t *framer = EyEventFramer_New(nullptr);
    EyEventBoundary_t boundary = {};
    Outcome outcome;
    size_t at = 0;
    for (size_t i = 0; at < text.size(); i++) {
        size_t part = sizes.empty() ? text.size() : sizes[i % sizes.size()];
        part = std::min(part % 40 + 1, text.size() - at);
        if (sizes.empty()) {
            part = text.size();
        }
        if (undo) {
            RC_ASSERT(EyEventFramer_Add(framer, text.data() + at,
                                        static_cast<uint32_t>(part)));
            EyEventFramer_Rollback(framer);
        }
        RC_ASSERT(EyEventFramer_Add(framer, text.data() + at,
                                    static_cast<uint32_t>(part)));
        EyEventBoundary_Add(&boundary, text.data() + at, part);
        at += part;
        const char *data =
            reinterpret_cast<const char *>(EyEventFramer_Data(framer));
        outcome.passed.append(data, EyEventFramer_WholeBytes(framer));
        outcome.events += EyEventFramer_WholeEvents(framer);
        EyEventFramer_Drop(framer);
    }
    const char *data =
        reinterpret_cast<const char *>(EyEventFramer_Data(framer));
    if (data != nullptr) {
        outcome.held.assign(data, EyEventFramer_HeldBytes(framer));
    }
    outcome.done = EyEventFramer_IsDone(framer);
    outcome.id = EyEventFramer_LastId(framer);
    outcome.inside = EyEventBoundary_IsInside(&boundary);
    talloc_free(framer);
    return outcome;
}

/** End of the line that starts there, behind LF, CR or CRLF; npos if it has
 * none. */
size_t
line_end(const std::string &text, size_t start)
{
    size_t at = text.find_first_of("\r\n", start);
    if (at == std::string::npos) {
        return at;
    }
    return text.compare(at, 2, "\r\n") == 0 ? at + 2 : at + 1;
}

/** Reference implementation: computes the same from the lines of the whole
 * text. */
Outcome
expected(const std::string &text)
{
    Outcome outcome;
    size_t whole = 0;
    size_t start = 0;
    size_t end;
    bool has_field = false;
    bool has_data = false;
    bool has_done = false;
    std::string id;
    while ((end = line_end(text, start)) != std::string::npos) {
        std::string line = text.substr(start, end - start);
        line.erase(line.find_last_not_of("\r\n") + 1);
        start = end;
        if (line == "data" || line.rfind("data:", 0) == 0) {
            has_data = true;
            has_done = line == "data: [DONE]";
        }
        if (line.rfind("id:", 0) == 0) {
            id = line.substr(line.rfind("id: ", 0) == 0 ? 4 : 3);
            id = id == "bad\t" ? "" : id;
        }
        has_field = has_field || (!line.empty() && line[0] != ':');
        if (line.empty()) {
            outcome.events += has_data ? 1 : 0;
            outcome.done = has_data ? has_done : outcome.done;
            outcome.id = has_data ? id : outcome.id;
            id.clear();
            has_field = has_data = has_done = false;
        }
        whole = has_field ? whole : end;
    }
    outcome.passed = text.substr(0, whole);
    outcome.held = text.substr(whole);
    outcome.inside = has_field || (start < text.size() && text[start] != ':');
    return outcome;
}

void
check_same(const Outcome &got, const Outcome &want)
{
    RC_ASSERT(got.passed == want.passed);
    RC_ASSERT(got.held == want.held);
    RC_ASSERT(got.events == want.events);
    RC_ASSERT(got.done == want.done);
    RC_ASSERT(got.id == want.id);
    RC_ASSERT(got.inside == want.inside);
}

} // namespace

Test(event_framer_properties, any_split_gives_the_same_events)
{
    EY_CHECK("splits and refused parts don't matter",
             [](const std::vector<uint8_t> &choices,
                const std::vector<uint8_t> &sizes, bool undo) {
                 std::string text = make_text(choices);
                 check_same(feed(text, sizes, undo), expected(text));
             });
}

Test(event_framer_properties, framing_preserves_all_bytes)
{
    EY_CHECK("nothing is lost, added or changed",
             [](const std::string &text, const std::vector<uint8_t> &sizes) {
                 Outcome outcome = feed(text, sizes, false);
                 RC_ASSERT(outcome.passed + outcome.held == text);
             });
}
