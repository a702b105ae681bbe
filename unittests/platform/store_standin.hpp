/// A small stand-in for the platform's store, with fault injection.

#ifndef GUAVASTAIR_UNITTESTS_PLATFORM_STORE_STANDIN_HPP
#define GUAVASTAIR_UNITTESTS_PLATFORM_STORE_STANDIN_HPP

#include <guavastair/support.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace guavastair::platform_test {

enum class fault : std::uint8_t {
    none,
    /// Responds with status 503.
    busy,
    /// Responds with status 429.
    too_many,
    /// Responds with status 500.
    failing,
    /// Processes the call and closes the connection without a response.
    answers_lost,
    /// Reads calls and does not respond.
    silent,
};

/// Serves one connection at a time on a thread of its own.
class store_standin {
public:
    store_standin();
    ~store_standin();
    store_standin(const store_standin&) = delete;
    store_standin& operator=(const store_standin&) = delete;

    support::endpoint address() const;
    void set_fault(fault now);
    /// Writes an entry directly, without a call.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);
    /// Discards the history of changes up to now.
    void compact_history();
    std::string value_of(const std::string& key);
    /// Most items in one page.
    std::atomic<std::size_t> page_size{500};

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
    };
    struct event {
        std::string key;
        std::int64_t revision = 0;
        bool deleted = false;
    };

    void serve();
    void serve_connection(int connection);
    std::string answer(const std::string& method, const std::string& target,
                       const std::string& body, int& status);
    std::string list(const std::string& target);
    std::string watch(const std::string& target, int& status);
    std::string change(const std::string& body, int& status);
    std::string item_text(const std::string& key) const;

    int listener = -1;
    std::uint16_t port = 0;
    std::atomic<bool> stopping{false};
    std::atomic<fault> state{fault::none};
    std::mutex lock;
    std::map<std::string, item> items;
    std::vector<event> history;
    std::int64_t revision = 1;
    std::int64_t compacted_up_to = 0;
    std::thread worker;
};

} // namespace guavastair::platform_test

#endif
