#include "requestdefaults.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

// Guards against exceptions that are ignored, applied to the wrong subject, or applied after their expiry.
TEST_CASE("the most specific exception in force applies")
{
    FleetConfig config;
    config.exceptions = {{ExceptionScope::Workspace, "w", "first_token_target", "2s", "r", "a", {}},
                         {ExceptionScope::Model, "m", "first_token_target", "500ms", "r", "a", {}},
                         {ExceptionScope::Model, "m", "wasted_prefill_weight", "0.9", "r", "a", {}},
                         {ExceptionScope::Zone, "z", "max_tokens", "7", "r", "a", {}},
                         {ExceptionScope::Workspace, "w", "request_deadline", "1min", "r", "a", 100}};
    FleetView view;
    view.self.zone = "z";
    CHECK(requestDefaults(view, "w", "m", 1) == FleetDefaults());
    view.config = std::make_shared<FleetConfig>(config);
    const FleetDefaults both = requestDefaults(view, "w", "m", 99);
    CHECK(both.firstTokenTarget == Millis(2000));
    CHECK(both.wastedPrefillWeight == 0.9);
    CHECK(both.maxTokens == 7);
    CHECK(both.requestDeadline == Millis(60000));
    CHECK(requestDefaults(view, "w", "m", 100).requestDeadline == FleetDefaults().requestDeadline);
    CHECK(requestDefaults(view, "x", "m", 1).firstTokenTarget == Millis(500));
    CHECK(requestDefaults(view, "x", "y", 1).firstTokenTarget == FleetDefaults().firstTokenTarget);
}
