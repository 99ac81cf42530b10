#pragma once

#include "engineoptions.h"

#include <cstdint>
#include <mutex>
#include <string>

#include <httplib.h>

namespace Cyclamen
{

/// The orders that an emulated engine accepts: load a model, adapter or version, or change role. Thread-safe.
/// The new model and role only show in the load report; the engine keeps working as it was started.
class EngineOrders
{
public:
    explicit EngineOrders(const EngineOptions &options);

    /// Answers POST /v1/orders. An order with an outdated fencing token is answered with 409.
    void handleOrder(const httplib::Request &request, httplib::Response &response);
    /// Returns the role to report.
    std::string role();
    /// Returns the model to report.
    std::string model();

private:
    void applyDueOrder();

    EngineOptions options;
    std::mutex mutex;
    std::int64_t greatestFencingToken = 0;
    std::string reportedRole;
    std::string reportedModel;
    std::string orderedRole;
    std::string orderedModel;
    TimePoint orderDue; ///< When the latest order takes effect.
};

}
