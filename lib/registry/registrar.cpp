#include <guavastair/registry.hpp>

namespace guavastair::registry {

registrar::registrar(registrar_settings wanted_settings, std::uint64_t seed)
    : chosen(std::move(wanted_settings)),
      pause(this->chosen.shortest_pause, this->chosen.longest_pause, seed) {}

void registrar::set_wanted(std::optional<std::string> value) {
    this->wanted = std::move(value);
}

std::optional<registrar_call> registrar::next_call(support::instant now) {
    if (this->under_way || now < this->not_before) {
        return std::nullopt;
    }
    if (!this->wanted.has_value()) {
        if (this->lease.value == 0) {
            return std::nullopt;
        }
        this->under_way = true;
        return end_call{this->lease};
    }
    if (this->lease.value == 0) {
        this->under_way = true;
        return grant_call{};
    }
    if (this->written != this->wanted) {
        this->under_way = true;
        this->writing = this->wanted;
        return put_call{*this->wanted, this->lease};
    }
    if (now - this->renewed >= this->chosen.renew_interval) {
        this->under_way = true;
        return renew_call{this->lease};
    }
    return std::nullopt;
}

support::instant registrar::wake_at() const {
    const support::instant renew_at =
        this->renewed + this->chosen.renew_interval;
    return this->is_settled() ? std::max(renew_at, this->not_before)
                              : this->not_before;
}

void registrar::on_granted(support::instant now, lease_id granted) {
    this->under_way = false;
    this->pause.succeed();
    this->lease = granted;
    this->renewed = now;
}

void registrar::on_renewed(support::instant now) {
    this->under_way = false;
    this->pause.succeed();
    this->renewed = now;
}

void registrar::on_put(support::instant /*now*/) {
    this->under_way = false;
    this->pause.succeed();
    this->written = std::move(this->writing);
    this->writing.reset();
}

void registrar::on_lease_ended(support::instant /*now*/) {
    this->under_way = false;
    this->pause.succeed();
    this->lease = {};
    this->written.reset();
}

void registrar::on_failure(support::instant now) {
    this->under_way = false;
    this->not_before = now + this->pause.next();
}

bool registrar::is_settled() const {
    return this->wanted.has_value()
               ? this->lease.value != 0 && this->written == this->wanted
               : this->lease.value == 0;
}

const registrar_settings& registrar::settings() const {
    return this->chosen;
}

} // namespace guavastair::registry
