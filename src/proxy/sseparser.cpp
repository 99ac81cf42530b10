#include "sseparser.h"

namespace Cyclamen
{

bool SseParser::feed(std::string_view chunk, const Receiver &receiver)
{
    while (!chunk.empty()) {
        const std::size_t end = chunk.find('\n');
        this->line.append(chunk.substr(0, end));
        if (this->line.size() + this->data.size() > MaxEventBytes) {
            return false;
        }
        if (end == std::string_view::npos) {
            return true;
        }
        chunk.remove_prefix(end + 1);
        if (!this->processLine(receiver)) {
            return false;
        }
    }
    return true;
}

bool SseParser::processLine(const Receiver &receiver)
{
    if (!this->line.empty() && this->line.back() == '\r') {
        this->line.pop_back();
    }
    if (this->line.empty()) {
        const bool hadData = this->hasData;
        const std::string eventData = std::move(this->data);
        this->data.clear();
        this->hasData = false;
        return !hadData || receiver(eventData);
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
