#include <guavastair/registry.hpp>

namespace guavastair::registry {

registrar::registrar(registrar_settings wanted_settings, std::uint64_t seed)
    : chosen(std::move(wanted_settings)),
      pause(this->chosen.shortest_pause, this->chosen.longest_pause, seed) {}

void registrar::set_wanted(std::optional<std::string> value) {
    this->wanted = std::move(value);
}

std::optional<registrar_call> registrar::next_call(support::instant now) {
    if (this->under_way || now < this->not_before || this->is_settled()) {
        return std::nullopt;
    }
    this->under_way = true;
    this->writing = this->wanted;
    this->written.reset();
    if (!this->wanted.has_value()) {
        return remove_call{};
    }
    this->may_exist = true;
    return put_call{*this->wanted};
}

support::instant registrar::wake_at() const {
    return this->not_before;
}

void registrar::on_done() {
    this->under_way = false;
    this->pause.succeed();
    this->written = std::move(this->writing);
    this->may_exist = this->written.has_value();
    this->writing.reset();
}

void registrar::on_failure(support::instant now) {
    this->under_way = false;
    this->not_before = now + this->pause.next();
}

void registrar::on_missing() {
    this->written.reset();
}

bool registrar::is_settled() const {
    return this->wanted.has_value() ? this->written == this->wanted
                                    : !this->may_exist;
}

const registrar_settings& registrar::settings() const {
    return this->chosen;
}

} // namespace guavastair::registry
