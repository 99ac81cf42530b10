#pragma once

#include "cyclamencross/route/storerevision.h"

#include <cstdint>

namespace Cyclamen
{

/// Archives the number of a revision only: a report names the generations once for all of its revisions.
template<typename Archive>
void serialize(Archive &archive, StoreRevision &revision)
{
    std::uint64_t number = revision.number();
    archive(number);
    if constexpr (Archive::is_loading::value) {
        revision = StoreRevision(number);
    }
}

}
