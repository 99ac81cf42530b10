#include "enginehold.h"

#include "cyclamencross/base/logline.h"

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace leaf = boost::leaf;

EngineHold::EngineHold(ProxyCore &core, std::string requestId, bool suspect)
    : core(core)
    , requestId(std::move(requestId))
    , suspect(suspect)
{
}

EngineHold::~EngineHold()
{
    if (this->atEngine) {
        CancelSignal never;
        const BackendRequest cancel{this->engineAddress,
                                    "POST",
                                    "/v1/cancel",
                                    {{"Content-Type", "application/json"}},
                                    nlohmann::json{{"request_id", this->requestId}}.dump()};
        const ExchangeEnd end = this->core.cancelClient.send(cancel, never);
        const auto *reply = std::get_if<BackendReply>(&end);
        if (reply == nullptr || reply->status != 200) {
            // The engine's owner finds the request in its orphan sweep.
            LogLine("cancel-failed").add("request", this->requestId).add("engine", this->engineAddress).warn();
        }
    }
    this->releaseRoom();
    if (this->reserved) {
        this->core.crashGuard.unreserve(this->engineAddress);
    }
}

bool EngineHold::acquire(const SlotAsk &ask, CancelSignal &cancel)
{
    this->engineAddress = ask.engine;
    if (this->suspect) {
        this->reserved = this->core.crashGuard.reserve(ask.engine);
        if (!this->reserved) {
            return false;
        }
    }
    // A cancellation withdraws the ask, which lets the owner answer at once.
    const CancelSignal::Interruption withdraw(cancel, [this, &ask] {
        this->core.hooks.releaseSlot(SlotGrant{ask.requestId, ask.engine, "", ask.slots, ask.tokens, Millis(0)});
    });
    this->granted = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<SlotGrant>> {
            BOOST_LEAF_AUTO(grant, this->core.hooks.acquireSlot(ask));
            return std::optional(grant);
        },
        [this](const NoCapacity &refusal) -> std::optional<SlotGrant> {
            this->expectedWait = Millis(refusal.expectedWaitMs);
            return std::nullopt;
        },
        []() -> std::optional<SlotGrant> { return std::nullopt; });
    return this->granted.has_value();
}

const std::string &EngineHold::engine() const
{
    return this->engineAddress;
}

const SlotGrant &EngineHold::grant() const
{
    return *this->granted;
}

Millis EngineHold::refusedWait() const
{
    return this->expectedWait;
}

void EngineHold::sent()
{
    this->atEngine = true;
}

void EngineHold::finished()
{
    this->atEngine = false;
}

void EngineHold::releaseRoom()
{
    if (this->granted) {
        this->core.hooks.releaseSlot(*this->granted);
        this->granted.reset();
    }
}

}
