#include <guavastair/flow.hpp>

namespace guavastair::flow {

static void drop(forward_action& action, drop_reason reason) noexcept {
    action.kind = forward_kind::drop;
    action.reason = reason;
}

void forward_decision(const placement::fleet_view& view,
                      std::span<const std::byte> bytes,
                      forward_action& action) noexcept {
    const parse_result<packet> result = parse_packet(bytes);
    action.headers = result.value;
    action.service = nullptr;
    if (!result.ok()) {
        return drop(action, result.reason);
    }
    action.service = view.find(result.value.key.service);
    if (action.service == nullptr) {
        return drop(action, drop_reason::unknown_service);
    }
    frame_header header;
    header.candidates = action.service->candidates(flow_hash(result.value.key));
    if (header.candidates.empty()) {
        return drop(action, drop_reason::no_candidates);
    }
    action.kind = forward_kind::send;
    action.reason = drop_reason::none;
    action.next = header.candidates[0].data;
    action.header_size = encode_frame_header(header, action.header);
}

} // namespace guavastair::flow
