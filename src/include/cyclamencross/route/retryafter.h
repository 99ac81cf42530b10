#pragma once

#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

/// Chooses when a caller whose request was refused should return. All delays have a random part, so that callers who
/// were refused together do not return together.
namespace RetryAfter
{

/// Returns the delay after a refusal that a short disturbance caused, such as a restarting backend server.
/// @param random number from 0 to 1.
Millis afterDisturbance(double random);
/// Returns the delay after a refusal of a stopping router while other routers can serve the request.
/// @param random uniformly distributed from 0 to 1.
Millis atAnotherRouter(double random);
/// Returns the delay after a refusal for lack of capacity. The caller is late by then and usually returns only once, so
/// it should return when the burst has passed, as long as there is time left for a second wait and the answer. This
/// matters in bursts of several seconds, in which callers that return at once are refused for good.
/// @param timeLeft time for which the caller still waits.
/// @param random number from 0 to 1.
Millis afterOverload(Millis timeLeft, double random);
/// Returns the delay after a refusal behind more urgent requests: the expected wait for room, within the bounds of
/// afterOverload().
/// @param expectedWait until there is room for the request.
/// @param timeLeft time for which the caller still waits.
/// @param random number from 0 to 1.
Millis behindUrgent(Millis expectedWait, Millis timeLeft, double random);
/// Returns the delay after a refusal because all backend servers have told this router to pause. No request is served
/// before the first pause ends; the callers of a longer pause are more, so they are spread over a longer time.
/// @param remaining time until the first pause ends.
/// @param random number from 0 to 1.
Millis afterPause(Millis remaining, double random);

}

}
