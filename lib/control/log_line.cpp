#include <guavastair/control.hpp>

#include <absl/strings/str_cat.h>

namespace guavastair::control {

namespace {

std::string describe(const membership::node_record& record) {
    return absl::StrCat("name=", record.name.value,
                        " id=", support::to_string(record.id),
                        " data_centre=", record.data_centre.value,
                        " control=", support::to_string(record.control));
}

/// Formats each kind of action as one log line.
struct describer {
    std::string operator()(const membership::send_message& item) const {
        return absl::StrCat(
            "event=send kind=", membership::to_string(item.body.kind),
            " to=", support::to_string(item.to));
    }

    std::string operator()(const membership::member_changed& item) const {
        const membership::member_view& view = item.member;
        return absl::StrCat(
            "event=", item.forgotten ? "member_forgotten" : "member_changed",
            " ", describe(view.record),
            " state=", membership::to_string(view.record.state),
            " liveness=", membership::to_string(view.liveness),
            " reachable=", view.reachable ? "yes" : "no",
            " incarnation=", view.record.incarnation,
            " applied=", view.record.applied.value);
    }

    std::string operator()(const membership::data_centre_changed& item) const {
        return absl::StrCat(
            "event=data_centre_changed data_centre=", item.data_centre.value,
            " reachable=", item.reachable ? "yes" : "no");
    }

    std::string operator()(const membership::name_conflict& item) const {
        return absl::StrCat("event=name_conflict ", describe(item.other));
    }
};

} // namespace

std::string to_log_line(const membership::action& decided) {
    return std::visit(describer{}, decided);
}

} // namespace guavastair::control
