// Answers of the store (platform/storecodec.cpp).

#include "check.h"
#include "storecodec.h"

using namespace Cyclamen;

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    bool more = false;
    const auto page = StoreCodec::decodeList(bytes, more);
    check(page || !more, "a malformed page has no further ones");
    StoreCodec::decodeChanges(bytes);
    StoreCodec::decodeLease(bytes);
    StoreCodec::decodeWriteRevision(bytes);
    if (page && !page->items.empty()) {
        StoreCodec::listTarget(page->items.front().key, page->items.back().key);
    }
    return 0;
}
