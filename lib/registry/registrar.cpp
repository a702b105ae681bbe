#include <guavastair/registry.hpp>

namespace guavastair::registry {

registrar::registrar(registrar_settings new_options, std::uint64_t seed)
    : options(std::move(new_options)),
      retry_backoff(this->options.shortest_pause, this->options.longest_pause,
                    seed) {}

void registrar::set_wanted(std::optional<std::string> value) {
    this->wanted = std::move(value);
}

std::optional<registrar_call> registrar::next_call(support::instant now) {
    if (this->call_in_flight || now < this->next_call_at ||
        this->is_settled()) {
        return std::nullopt;
    }
    this->call_in_flight = true;
    this->pending_value = this->wanted;
    this->stored_value.reset();
    if (!this->wanted.has_value()) {
        return remove_call{};
    }
    this->may_exist = true;
    return put_call{*this->wanted};
}

support::instant registrar::wake_at() const {
    return this->next_call_at;
}

void registrar::on_done() {
    this->call_in_flight = false;
    this->retry_backoff.on_success();
    this->stored_value = std::move(this->pending_value);
    this->may_exist = this->stored_value.has_value();
    this->pending_value.reset();
}

void registrar::on_failure(support::instant now) {
    this->call_in_flight = false;
    this->next_call_at = now + this->retry_backoff.next();
}

void registrar::on_missing() {
    this->stored_value.reset();
}

bool registrar::is_settled() const {
    return this->wanted.has_value() ? this->stored_value == this->wanted
                                    : !this->may_exist;
}

const registrar_settings& registrar::settings() const {
    return this->options;
}

} // namespace guavastair::registry
