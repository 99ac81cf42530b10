#include "sseparser.h"

namespace Cyclamen
{

bool SseParser::add(std::string_view part, const Receiver &receiver)
{
    while (!part.empty()) {
        const std::size_t end = part.find('\n');
        this->line.append(part.substr(0, end));
        if (this->line.size() + this->data.size() > MaxEventBytes) {
            return false;
        }
        if (end == std::string_view::npos) {
            return true;
        }
        part.remove_prefix(end + 1);
        if (!this->endLine(receiver)) {
            return false;
        }
    }
    return true;
}

bool SseParser::endLine(const Receiver &receiver)
{
    if (!this->line.empty() && this->line.back() == '\r') {
        this->line.pop_back();
    }
    if (this->line.empty()) {
        const bool event = this->hasData;
        const std::string complete = std::move(this->data);
        this->data.clear();
        this->hasData = false;
        return !event || receiver(complete);
    }
    if (this->line.starts_with("data:")) {
        const std::size_t start = this->line.starts_with("data: ") ? 6 : 5;
        if (this->hasData) {
            this->data += '\n';
        }
        this->data += this->line.substr(start);
        this->hasData = true;
    }
    this->line.clear();
    return true;
}

}
