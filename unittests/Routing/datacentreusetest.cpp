// Which data centres are out of use, as the operators' records come in any order and the store
// loses some.
#include "jaytrack/Routing/datacentreuse.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>

using namespace jaytrack;

namespace {

enum class Act { Nothing, Out, Back, List, ListNone, ListNoneKeep, Drop, StoreReturns };

struct Step
{
    Act act = Act::Nothing;
    unsigned revision = 0;
};

struct UseCase
{
    char name[80];
    std::array<Step, 6> steps;
    bool outOfUse;
};

UseCase useCases[] = {
        {"put out of use", {{{Act::Out, 5}}}, true},
        {"put back", {{{Act::Out, 5}, {Act::Back, 7}}}, false},
        {"an older order comes late", {{{Act::Out, 5}, {Act::Back, 7}, {Act::Out, 5}}}, false},
        {"an older removal comes late", {{{Act::Back, 5}, {Act::Out, 7}, {Act::Back, 5}}}, true},
        {"the same order twice", {{{Act::Out, 5}, {Act::Out, 5}}}, true},
        {"the listing has it", {{{Act::List, 9}}}, true},
        {"the listing lacks it", {{{Act::Out, 5}, {Act::ListNone}}}, false},
        {"a copy lacks it", {{{Act::Out, 5}, {Act::StoreReturns}, {Act::ListNoneKeep}}}, true},
        {"a copy lacks it and it is never written again",
         {{{Act::Out, 5}, {Act::StoreReturns}, {Act::ListNoneKeep}, {Act::Drop}}},
         false},
        {"a copy lacks it and it is written again under a smaller number",
         {{{Act::Out, 5}, {Act::StoreReturns}, {Act::ListNoneKeep}, {Act::Out, 3}, {Act::Drop}}},
         true},
        {"a copy still has it and the removal is written again",
         {{{Act::Out, 5}, {Act::Back, 7}, {Act::StoreReturns}, {Act::List, 5}, {Act::Back, 6}}},
         false},
        {"nothing is dropped without a return", {{{Act::Out, 5}, {Act::Drop}}}, true},
};

void play(DataCentreUse &use, const Step &step)
{
    const DataCentreRecord record{"north", step.revision, step.act != Act::Back};
    switch (step.act) {
    case Act::Nothing:
        return;
    case Act::Out:
    case Act::Back:
        use.take(record);
        return;
    case Act::List:
        use.takeAll(std::span(&record, 1), false);
        return;
    case Act::ListNone:
    case Act::ListNoneKeep:
        use.takeAll({}, step.act == Act::ListNoneKeep);
        return;
    case Act::Drop:
        use.dropMissing();
        return;
    case Act::StoreReturns:
        use.forgetRevisions();
        return;
    }
}

} // namespace

ParameterizedTestParameters(dataCentreUse, orders)
{
    return cr_make_param_array(UseCase, useCases, std::size(useCases));
}

ParameterizedTest(UseCase *given, dataCentreUse, orders)
{
    DataCentreUse use;
    for (const Step &step : given->steps)
        play(use, step);
    cr_assert_eq(use.isOutOfUse("north"), given->outOfUse, "%s", given->name);
    cr_assert_not(use.isOutOfUse("south"));
}
