// Headers of callers and backend servers, and bodies of engines' answers (platform/backendcodec.cpp).

#include "check.h"
#include "codecs.h"

using namespace Cyclamen;

namespace
{

// Decodes one header a line.
HeaderList decodeHeaders(std::string_view text)
{
    HeaderList headers;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        const auto colon = line.find(": ");
        if (colon != std::string_view::npos) {
            headers.add(std::string(line.substr(0, colon)), std::string(line.substr(colon + 2)));
        }
    }
    return headers;
}

}

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    static const BackendCodec codec = makeBackendCodec();
    if (size < 1) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const HeaderList headers = decodeHeaders(bytes);
    RouterRequest request;
    request.headers = headers;
    codec.decodeRequest(request);
    check(!request.headers.contains("Kv-Hold") && !request.headers.contains("Stage"),
          "headers that only the router may set are removed");
    BackendCall call;
    call.backendId = "b";
    call.resumeAfter = request.lastEventId;
    codec.encodeCall(request, call);
    const BackendResponseHead head = codec.decodeResponseHead(data[0] % 2 == 0 ? 200 : 421, headers);
    check(!head.requestsPerSecond || *head.requestsPerSecond >= 0, "a limit is not negative");
    codec.decodePrefill(bytes);
    codec.decodeReservation(bytes);
    return 0;
}
