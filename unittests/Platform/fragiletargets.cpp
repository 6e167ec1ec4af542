#include "fragiletargets.h"

#include <algorithm>
#include <utility>

namespace jaytrack::testing {

FragileTargets::FragileTargets(std::size_t count, IsDeadly isDeadly)
    : deadly(std::move(isDeadly))
{
    for (std::size_t i = 0; i < count; ++i)
        this->targets.push_back(std::make_unique<ScriptedServer>(
                [this](const SeenRequest &request) { return this->answer(request); }));
}

// Sound requests are answered at the end of the time in whose middle a deadly one ends the target.
Answer FragileTargets::answer(const SeenRequest &request) const
{
    static constexpr std::chrono::milliseconds workTime{60};
    if (isReport(request))
        return wholeAnswer(200, "", "{}");
    if (this->deadly(request))
        return {{AnswerStep::Kind::Die, "", workTime / 2}};
    const std::string head = streamHead("X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n");
    Answer answer = {{AnswerStep::Kind::Send, head, workTime}};
    answer.push_back(chunkStep(eventText(1, "token1")));
    answer.push_back({AnswerStep::Kind::Send, "0\r\n\r\n", {}});
    return answer;
}

void FragileTargets::listAt(EntryFixture &entry) const
{
    for (std::size_t i = 0; i < this->targets.size(); ++i)
        entry.store.put("servers/t" + std::to_string(i), targetJson(this->targets[i]->address()));
}

std::size_t FragileTargets::dead() const
{
    return static_cast<std::size_t>(
            std::count_if(this->targets.begin(), this->targets.end(),
                          [](const auto &target) { return target->isDead(); }));
}

std::size_t FragileTargets::deadlySends() const
{
    std::size_t count = 0;
    for (const auto &target : this->targets) {
        const std::vector<SeenRequest> seen = target->seen();
        count += static_cast<std::size_t>(std::count_if(seen.begin(), seen.end(), this->deadly));
    }
    return count;
}

} // namespace jaytrack::testing
