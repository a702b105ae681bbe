#include "store_standin.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <netinet/in.h>
#include <poll.h>
#include <rapidjson/document.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>

namespace guavastair::platform_test {

static std::string query_value(const std::string& target,
                               const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + name.size() + 1;
    std::string text = target.substr(begin, target.find('&', begin) - begin);
    for (std::size_t i = 0; (i = text.find('%', i)) != std::string::npos; ++i) {
        const std::string raw = absl::HexStringToBytes(text.substr(i + 1, 2));
        text.replace(i, 3, raw);
    }
    return text;
}

static bool has_prefix(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

store_standin::store_standin() {
    this->listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    auto* raw = reinterpret_cast<sockaddr*>(&at);
    [[maybe_unused]] const int bound = ::bind(this->listener, raw, size);
    assert(bound == 0 && "the loopback address has a free port");
    listen(this->listener, 16);
    getsockname(this->listener, raw, &size);
    this->port = ntohs(at.sin_port);
    this->worker = std::thread([this] { this->serve(); });
}

store_standin::~store_standin() {
    this->stopping = true;
    this->worker.join();
    close(this->listener);
}

support::endpoint store_standin::address() const {
    return {{INADDR_LOOPBACK}, this->port};
}

void store_standin::set_fault(fault now) {
    this->state = now;
}

void store_standin::put(const std::string& key, const std::string& value) {
    const std::lock_guard guard(this->lock);
    this->items[key] = {value, ++this->revision};
    this->history.push_back({key, this->revision, false});
}

void store_standin::erase(const std::string& key) {
    const std::lock_guard guard(this->lock);
    if (this->items.erase(key) != 0) {
        this->history.push_back({key, ++this->revision, true});
    }
}

void store_standin::compact_history() {
    const std::lock_guard guard(this->lock);
    this->history.clear();
    this->compacted_up_to = this->revision;
}

std::string store_standin::value_of(const std::string& key) {
    const std::lock_guard guard(this->lock);
    const auto found = this->items.find(key);
    return found == this->items.end() ? "" : found->second.value;
}

std::string store_standin::item_text(const std::string& key) const {
    const item& each = this->items.at(key);
    return absl::StrCat(
        "{\"key\":\"", key, "\",\"value\":\"", absl::Base64Escape(each.value),
        "\",\"rev\":", each.revision, ",\"createRev\":1,\"lease\":0}");
}

std::string store_standin::list(const std::string& target) {
    const std::string prefix = query_value(target, "prefix");
    const std::string after = query_value(target, "after");
    std::string entries;
    std::size_t count = 0;
    bool more = false;
    for (const auto& [key, each] : this->items) {
        if (!has_prefix(key, prefix) || (!after.empty() && key <= after)) {
            continue;
        }
        if (count == this->page_size) {
            more = true;
            break;
        }
        ++count;
        absl::StrAppend(&entries, entries.empty() ? "" : ",",
                        this->item_text(key));
    }
    return absl::StrCat("{\"items\":[", entries,
                        "],\"hasMore\":", more ? "true" : "false",
                        ",\"currentRev\":", this->revision, "}");
}

std::string store_standin::watch(const std::string& target, int& status) {
    std::int64_t after = 0;
    (void)absl::SimpleAtoi(query_value(target, "after"), &after);
    if (after < this->compacted_up_to) {
        status = 410;
        return "{}";
    }
    const std::string prefix = query_value(target, "prefix");
    std::string events;
    for (const event& each : this->history) {
        if (each.revision <= after || !has_prefix(each.key, prefix)) {
            continue;
        }
        absl::StrAppend(&events, events.empty() ? "" : ",");
        if (each.deleted || this->items.count(each.key) == 0) {
            absl::StrAppend(&events, "{\"key\":\"", each.key,
                            "\",\"rev\":", each.revision, ",\"deleted\":true}");
        } else {
            absl::StrAppend(&events, this->item_text(each.key));
        }
    }
    return absl::StrCat("{\"events\":[", events,
                        "],\"currentRev\":", this->revision, "}");
}

std::string store_standin::change(const std::string& body, int& status) {
    rapidjson::Document parsed;
    parsed.Parse(body.data(), body.size());
    for (const auto& row : parsed["precondition"].GetArray()) {
        const auto found = this->items.find(row["key"].GetString());
        const std::int64_t present =
            found == this->items.end() ? 0 : found->second.revision;
        if (present != row["rev"].GetInt64()) {
            status = 412;
            return "{\"items\":[]}";
        }
    }
    for (const auto& put : parsed["puts"].GetArray()) {
        std::string value;
        absl::Base64Unescape(put["value"].GetString(), &value);
        const std::string key = put["key"].GetString();
        this->items[key] = {value, ++this->revision};
        this->history.push_back({key, this->revision, false});
    }
    for (const auto& key : parsed["delete"].GetArray()) {
        if (this->items.erase(key.GetString()) != 0) {
            this->history.push_back({key.GetString(), ++this->revision, true});
        }
    }
    return absl::StrCat("{\"rev\":", this->revision, "}");
}

std::string store_standin::answer(const std::string& method,
                                  const std::string& target,
                                  const std::string& body, int& status) {
    const std::lock_guard guard(this->lock);
    status = 200;
    if (method == "GET" && has_prefix(target, "/api/kv-range?")) {
        return this->list(target);
    }
    if (method == "GET" && has_prefix(target, "/api/kv-watch?")) {
        return this->watch(target, status);
    }
    if (method == "POST" && target == "/api/kv-txn") {
        return this->change(body, status);
    }
    status = 404;
    return "{}";
}

void store_standin::serve() {
    while (!this->stopping) {
        pollfd wait{this->listener, POLLIN, 0};
        if (poll(&wait, 1, 10) > 0) {
            const int connection = accept(this->listener, nullptr, nullptr);
            this->serve_connection(connection);
            close(connection);
        }
    }
}

void store_standin::serve_connection(int connection) {
    std::string text;
    while (!this->stopping) {
        pollfd wait{connection, POLLIN, 0};
        if (poll(&wait, 1, 10) <= 0) {
            // Leave an idle connection if another client waits, because there
            // is only one thread.
            pollfd other{this->listener, POLLIN, 0};
            if (poll(&other, 1, 0) > 0) {
                return;
            }
            continue;
        }
        std::array<char, 4096> buffer;
        const ssize_t size = recv(connection, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return;
        }
        text.append(buffer.data(), static_cast<std::size_t>(size));
        const std::size_t end = text.find("\r\n\r\n");
        if (end == std::string::npos) {
            continue;
        }
        std::size_t length = 0;
        const std::size_t field = text.find("Content-Length: ");
        if (field != std::string::npos && field < end) {
            (void)absl::SimpleAtoi(
                text.substr(field + 16, text.find('\r', field) - field - 16),
                &length);
        }
        if (text.size() < end + 4 + length) {
            continue;
        }
        const std::vector<std::string> words =
            absl::StrSplit(text.substr(0, text.find('\r')), ' ');
        const std::string body = text.substr(end + 4, length);
        text.erase(0, end + 4 + length);
        int status = 200;
        std::string reply = "{}";
        switch (this->state.load()) {
        case fault::busy:
            status = 503;
            break;
        case fault::too_many:
            status = 429;
            break;
        case fault::failing:
            status = 500;
            break;
        case fault::silent:
            continue;
        case fault::answers_lost:
            this->answer(words[0], words[1], body, status);
            return;
        case fault::none:
            reply = this->answer(words[0], words[1], body, status);
            break;
        }
        const std::string whole = absl::StrCat(
            "HTTP/1.1 ", status, " X\r\nContent-Length: ", reply.size(),
            "\r\n\r\n", reply);
        send(connection, whole.data(), whole.size(), MSG_NOSIGNAL);
    }
}

} // namespace guavastair::platform_test
