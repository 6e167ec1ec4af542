// Checks which data centres are out of use when the operators' records arrive in any order and the
// store loses some of them.
#include "jaytrack/Routing/datacentreuse.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>

using namespace jaytrack;

namespace {

enum class Action { None, Out, Back, List, ListNone, ListNoneKeep, Drop, StoreReturns };

struct Step
{
    Action action = Action::None;
    unsigned revision = 0;
};

struct UseCase
{
    char name[80];
    std::array<Step, 6> steps;
    bool outOfUse;
};

UseCase useCases[] = {
        {"put out of use", {{{Action::Out, 5}}}, true},
        {"put back", {{{Action::Out, 5}, {Action::Back, 7}}}, false},
        {"an older record arrives late",
         {{{Action::Out, 5}, {Action::Back, 7}, {Action::Out, 5}}},
         false},
        {"an older removal arrives late",
         {{{Action::Back, 5}, {Action::Out, 7}, {Action::Back, 5}}},
         true},
        {"the same record twice", {{{Action::Out, 5}, {Action::Out, 5}}}, true},
        {"the listing contains it", {{{Action::List, 9}}}, true},
        {"the listing lacks it", {{{Action::Out, 5}, {Action::ListNone}}}, false},
        {"the restored store lacks it",
         {{{Action::Out, 5}, {Action::StoreReturns}, {Action::ListNoneKeep}}},
         true},
        {"the restored store lacks it and it is never written again",
         {{{Action::Out, 5}, {Action::StoreReturns}, {Action::ListNoneKeep}, {Action::Drop}}},
         false},
        {"the restored store lacks it; written again at a smaller revision",
         {{{Action::Out, 5},
           {Action::StoreReturns},
           {Action::ListNoneKeep},
           {Action::Out, 3},
           {Action::Drop}}},
         true},
        {"the restored store still has it; the removal is written again",
         {{{Action::Out, 5},
           {Action::Back, 7},
           {Action::StoreReturns},
           {Action::List, 5},
           {Action::Back, 6}}},
         false},
        {"nothing is dropped unless the store was restored",
         {{{Action::Out, 5}, {Action::Drop}}},
         true},
};

void applyStep(DataCentreUse &use, const Step &step)
{
    const DataCentreRecord record{"north", step.revision, step.action != Action::Back};
    switch (step.action) {
    case Action::None:
        return;
    case Action::Out:
    case Action::Back:
        use.apply(record);
        return;
    case Action::List:
        use.applyAll(std::span(&record, 1), false);
        return;
    case Action::ListNone:
    case Action::ListNoneKeep:
        use.applyAll({}, step.action == Action::ListNoneKeep);
        return;
    case Action::Drop:
        use.dropMissing();
        return;
    case Action::StoreReturns:
        use.forgetRevisions();
        return;
    }
}

} // namespace

ParameterizedTestParameters(dataCentreUse, recordsInAnyOrder)
{
    return cr_make_param_array(UseCase, useCases, std::size(useCases));
}

ParameterizedTest(UseCase *param, dataCentreUse, recordsInAnyOrder)
{
    DataCentreUse use;
    for (const Step &step : param->steps)
        applyStep(use, step);
    cr_assert_eq(use.isOutOfUse("north"), param->outOfUse, "%s", param->name);
    cr_assert_not(use.isOutOfUse("south"));
}
