#include "cyclamencross/decide/backoff.h"

#include <algorithm>

namespace Cyclamen
{

Millis backoffDelay(int attempt, std::mt19937_64 &random)
{
    Millis bound = BackoffBase;
    for (int i = 1; i < attempt && bound < BackoffCap; ++i) {
        bound *= 2;
    }
    bound = std::min(bound, BackoffCap);
    return Millis(std::uniform_int_distribution<Millis::rep>(0, bound.count())(random));
}

}
