#include "stageplancodec.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

std::string stageName(EngineStage stage)
{
    return stage == EngineStage::Prefill ? "prefill" : "decode";
}

std::string encodeStagePlan(const StagePlan &plan)
{
    nlohmann::json engines = nlohmann::json::object();
    for (const auto &[id, stage] : plan.stages) {
        engines[id] = stageName(stage);
    }
    return nlohmann::json{{"engines", engines}}.dump();
}

std::optional<StagePlan> decodeStagePlan(const std::string &text)
{
    const auto record = nlohmann::json::parse(text, nullptr, false);
    const auto engines = record.is_object() ? record.find("engines") : record.end();
    if (!record.is_object() || engines == record.end() || !engines->is_object()) {
        return std::nullopt;
    }
    StagePlan plan;
    for (const auto &[id, stage] : engines->items()) {
        if (stage != "prefill" && stage != "decode") {
            return std::nullopt;
        }
        plan.stages[id] = stage == "prefill" ? EngineStage::Prefill : EngineStage::Decode;
    }
    return plan;
}

}
