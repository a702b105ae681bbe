#include <guavastair/admin.hpp>

#include <absl/strings/str_cat.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace guavastair::admin {

absl::StatusOr<response> fetch(support::endpoint server,
                               const std::string& path,
                               support::duration timeout) {
    using Poco::Net::HTTPRequest;
    constexpr int microseconds_per_ms = 1000;
    try {
        Poco::Net::HTTPClientSession session(support::to_string(server.address),
                                             server.port);
        session.setTimeout(Poco::Timespan(timeout.ms * microseconds_per_ms));
        HTTPRequest request(HTTPRequest::HTTP_GET, path, HTTPRequest::HTTP_1_1);
        session.sendRequest(request);
        Poco::Net::HTTPResponse head;
        std::istream& stream = session.receiveResponse(head);
        response result;
        result.status = static_cast<int>(head.getStatus());
        result.content_type = head.getContentType();
        Poco::StreamCopier::copyToString(stream, result.body);
        return result;
    } catch (const Poco::Exception& error) {
        return support::make_error(support::error_kind::peer_unreachable,
                                   absl::StrCat("no response from ",
                                                support::to_string(server),
                                                ": ", error.displayText()));
    }
}

} // namespace guavastair::admin
