#include "jaytrack/Store/listingturn.h"

namespace jaytrack {

std::string_view toString(ListingCause cause)
{
    switch (cause) {
    case ListingCause::None:
        return "none";
    case ListingCause::Alone:
        return "alone";
    case ListingCause::Unanswered:
        return "unanswered";
    case ListingCause::Reader:
        return "reader";
    case ListingCause::Drawn:
        return "drawn";
    }
    return "none";
}

ListingTurn::ListingTurn(const Clock &time, ListingTurnOptions turnOptions, std::mt19937_64 &source)
    : clock(time)
    , options(turnOptions)
    , random(source)
    , drawn(turnOptions.firstDrawn)
    , decidesFrom(time.now() + turnOptions.peerDiscoveryTime)
    , answeredAt(time.now())
{
}

void ListingTurn::restart()
{
    this->current = ListingCause::None;
    this->drawn = this->options.firstDrawn;
    this->decidesFrom = this->clock.now();
    this->answered();
    this->nextDraw = this->clock.now();
}

void ListingTurn::answered()
{
    this->answeredAt = this->clock.now();
    this->unansweredQueries = 0;
}

void ListingTurn::setPeers(std::size_t others, bool isReader)
{
    this->peers = others;
    this->reader = isReader;
}

ListingCause ListingTurn::cause()
{
    if (this->current == ListingCause::None)
        this->current = this->decide(this->clock.now());
    return this->current;
}

ListingCause ListingTurn::decide(TimePoint now)
{
    if (now < this->decidesFrom)
        return ListingCause::None;
    if (this->peers == 0)
        return ListingCause::Alone;
    if (this->reader)
        return ListingCause::Reader;
    if (this->isUnanswered(now))
        return ListingCause::Unanswered;
    return this->isDrawn(now) ? ListingCause::Drawn : ListingCause::None;
}

bool ListingTurn::isUnanswered(TimePoint now) const
{
    return now - this->answeredAt > this->options.peerAnswerTimeout &&
           this->unansweredQueries >= this->options.minUnansweredQueries;
}

bool ListingTurn::isDrawn(TimePoint now)
{
    if (now < this->nextDraw)
        return false;
    this->nextDraw = now + this->options.drawInterval;
    const std::size_t expected = this->drawn;
    this->drawn *= 2;
    const std::size_t fleet = this->peers + 1;
    return std::uniform_int_distribution<std::size_t>(1, fleet)(this->random) <= expected;
}

} // namespace jaytrack
