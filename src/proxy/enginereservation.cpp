#include "enginereservation.h"

#include "cyclamencross/base/logline.h"

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace leaf = boost::leaf;

EngineReservation::EngineReservation(ProxyCore &core, std::string requestId, bool suspect)
    : core(core)
    , requestId(std::move(requestId))
    , suspect(suspect)
{
}

EngineReservation::~EngineReservation()
{
    if (this->mayBeAtEngine) {
        CancelSignal neverCancelled;
        const BackendRequest cancel{this->engineAddress,
                                    "POST",
                                    "/v1/cancel",
                                    {{"Content-Type", "application/json"}},
                                    nlohmann::json{{"request_id", this->requestId}}.dump()};
        const ExchangeResult result = this->core.cancelClient.send(cancel, neverCancelled);
        const auto *response = std::get_if<BackendResponse>(&result);
        if (response == nullptr || response->status != 200) {
            // The orphan sweep of the engine's owner cancels the request later.
            LogLine("cancel-failed").add("request", this->requestId).add("engine", this->engineAddress).warn();
        }
    }
    this->releaseGrant();
    if (this->reserved) {
        this->core.crashGuard.release(this->engineAddress);
    }
}

bool EngineReservation::acquire(const SlotRequest &slotRequest, CancelSignal &cancel)
{
    this->engineAddress = slotRequest.engine;
    if (this->suspect) {
        this->reserved = this->core.crashGuard.reserve(slotRequest.engine);
        if (!this->reserved) {
            return false;
        }
    }
    // A cancellation withdraws the request for capacity, so that acquireSlot() returns immediately.
    const CancelSignal::InterruptHandler withdraw(cancel, [this, &slotRequest] {
        this->core.hooks.releaseSlot(
            SlotGrant{slotRequest.requestId, slotRequest.engine, "", slotRequest.slots, slotRequest.tokens, Millis(0)});
    });
    this->granted = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<SlotGrant>> {
            BOOST_LEAF_AUTO(grant, this->core.hooks.acquireSlot(slotRequest));
            return std::optional(grant);
        },
        [this](const NoCapacity &refusal) -> std::optional<SlotGrant> {
            this->expectedWait = Millis(refusal.expectedWaitMs);
            this->engineOut = refusal.isEngineOut;
            return std::nullopt;
        },
        []() -> std::optional<SlotGrant> { return std::nullopt; });
    return this->granted.has_value();
}

const std::string &EngineReservation::engine() const
{
    return this->engineAddress;
}

const SlotGrant &EngineReservation::grant() const
{
    return *this->granted;
}

Millis EngineReservation::ownerExpectedWait() const
{
    return this->expectedWait;
}

bool EngineReservation::isEngineOut() const
{
    return this->engineOut;
}

void EngineReservation::markSent()
{
    this->mayBeAtEngine = true;
}

void EngineReservation::markFinished()
{
    this->mayBeAtEngine = false;
}

void EngineReservation::releaseGrant()
{
    if (this->granted) {
        this->core.hooks.releaseSlot(*this->granted);
        this->granted.reset();
    }
}

}
