#include "core/stream.h"
#include "property/check.h"

#include <condition_variable>
#include <cstring>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

/** A flag that a callback sets and a thread waits for. */
struct Signal {
    std::mutex lock;
    std::condition_variable changed;
    bool set = false;

    void
    raise()
    {
        std::lock_guard<std::mutex> guard(lock);
        set = true;
        changed.notify_all();
    }

    /** Waits until the flag is set and clears it; false after five seconds. */
    bool
    wait()
    {
        std::unique_lock<std::mutex> guard(lock);
        bool was_set = changed.wait_for(guard, std::chrono::seconds(5),
                                        [this] { return set; });
        set = false;
        return was_set;
    }
};

void
raise_signal(void *data)
{
    static_cast<Signal *>(data)->raise();
}

/** Writes all parts, waiting until they fit; false if a wake-up was lost. */
bool
write_all(EyStream_t *stream, Signal *writable,
          const std::vector<std::string> &parts)
{
    for (const std::string &part : parts) {
        while (!EyStream_Write(stream, part.data(),
                               static_cast<uint32_t>(part.size())))
        {
            if (EyStream_State(stream) != EY_STREAM_OPEN) {
                return true;
            }
            if (!writable->wait()) {
                return false;
            }
        }
    }
    return true;
}

/** Reads to the end, or closes the reader after limit_bytes; false if a
 * wake-up was lost. */
bool
read_all(EyStream_t *stream, Signal *readable, uint32_t step_bytes,
         size_t limit_bytes, std::string *text, EyStreamState_t *state)
{
    std::vector<char> buffer(step_bytes);
    while (text->size() < limit_bytes) {
        uint32_t read_bytes =
            EyStream_Read(stream, buffer.data(), step_bytes, state);
        text->append(buffer.data(), read_bytes);
        if (read_bytes == 0 && *state != EY_STREAM_OPEN) {
            return true;
        }
        if (read_bytes == 0 && !readable->wait()) {
            return false;
        }
    }
    EyStream_CloseReader(stream);
    return true;
}

std::string
joined(const std::vector<std::string> &parts)
{
    std::string all;
    for (const std::string &part : parts) {
        all += part;
    }
    return all;
}

struct Run {
    std::string text;
    EyStreamState_t state = EY_STREAM_OPEN;
    bool writer_done = false;
    bool reader_done = false;
};

Run
run(const std::vector<std::string> &parts, uint32_t capacity_bytes,
    uint32_t step_bytes, size_t limit_bytes, EyStreamState_t end)
{
    Run result;
    EyStream_t *stream = EyStream_New(capacity_bytes);
    Signal readable;
    Signal writable;
    EyStream_SetReader(stream, raise_signal, &readable);
    EyStream_SetWriter(stream, raise_signal, &writable);
    EyStream_t *writers = EyStream_Ref(stream);
    std::thread writer([&] {
        result.writer_done = write_all(writers, &writable, parts);
        EyStream_Finish(writers, end);
        EyStream_SetWriter(writers, nullptr, nullptr);
        EyStream_Unref(writers);
    });
    result.reader_done = read_all(stream, &readable, step_bytes, limit_bytes,
                                  &result.text, &result.state);
    EyStream_SetReader(stream, nullptr, nullptr);
    writer.join();
    EyStream_Unref(stream);
    return result;
}

} // namespace

Test(stream_properties, two_threads_transfer_all_bytes_in_order)
{
    EY_CHECK("what is written is read, and no wake-up is lost",
             [](const std::vector<std::string> &parts, uint8_t capacity,
                uint8_t step, bool whole) {
                 EyStreamState_t end =
                     whole ? EY_STREAM_COMPLETE : EY_STREAM_BROKEN;
                 Run result =
                     run(parts, capacity + 1U, step + 1U, SIZE_MAX, end);
                 RC_ASSERT(result.writer_done);
                 RC_ASSERT(result.reader_done);
                 RC_ASSERT(result.text == joined(parts));
                 RC_ASSERT(result.state == end);
             });
}

Test(stream_properties, closing_the_reader_releases_the_writer)
{
    EY_CHECK("the writer is told and the bytes read are the first ones",
             [](const std::vector<std::string> &parts, uint8_t capacity,
                uint8_t step, uint8_t limit) {
                 Run result = run(parts, capacity + 1U, step + 1U, limit,
                                  EY_STREAM_COMPLETE);
                 RC_ASSERT(result.writer_done);
                 RC_ASSERT(result.reader_done);
                 std::string all = joined(parts);
                 RC_ASSERT(all.compare(0, result.text.size(), result.text) ==
                           0);
             });
}
