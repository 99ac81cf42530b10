#pragma once

#include "engineoptions.h"

#include <cstdint>
#include <mutex>
#include <string>

#include <httplib.h>

namespace Cyclamen
{

/// The orders that a stand-in engine accepts: load a model, adapter or version, or change role. Thread-safe.
/// It reports the new model and role but keeps working as it was started.
class EngineOrders
{
public:
    explicit EngineOrders(const EngineOptions &options);

    /// Answers POST /v1/orders.
    void accept(const httplib::Request &request, httplib::Response &response);
    std::string role();
    std::string model();

private:
    void settle();

    EngineOptions options;
    std::mutex mutex;
    std::int64_t greatestFencing = 0;
    std::string shownRole;
    std::string shownModel;
    std::string orderedRole;
    std::string orderedModel;
    TimePoint due;
};

}
