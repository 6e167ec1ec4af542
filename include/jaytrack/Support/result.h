// The numbered result codes in every response, error and log line of jaytrack, and the three
// outcomes that are reported to callers.
#ifndef JAYTRACK_SUPPORT_RESULT_H
#define JAYTRACK_SUPPORT_RESULT_H

#include <boost/outcome/result.hpp>

#include <span>
#include <string>
#include <string_view>

namespace jaytrack {

// What a caller may conclude about its request. NotRun guarantees that no target ran any part of
// it; if that cannot be shown, the outcome is Unknown.
enum class Outcome { Complete, NotRun, Unknown };

// Numbers are stable and never reused; docs/RESULTS.md lists them.
enum class ResultCode {
    Ok = 0,
    BadRequest = 101,
    BodyTooLarge = 102,
    UnknownModel = 103,
    UnknownService = 104,
    UnknownKey = 105,
    MalformedTicket = 106,
    TicketBodyDiffers = 107,
    TicketRequired = 108,
    MalformedCursor = 109,
    ForeignHandle = 110,
    NotFound = 111,
    NoTarget = 201,
    Overloaded = 202,
    CustomerLimit = 203,
    Draining = 204,
    NotReady = 205,
    WaitExpired = 206,
    TargetUnreachable = 207,
    AsleepTooLong = 208,
    ConfigurationStale = 209,
    TargetFull = 210,
    HeadTooLarge = 211,
    RequestTooSlow = 212,
    RequestBarred = 213,
    VersionUnknown = 214,
    TargetLost = 301,
    TargetTimeout = 302,
    TargetRefused = 303,
    TargetGarbled = 304,
    IssuerGone = 305,
    TicketForgotten = 306,
    GenerationGone = 307,
    InvariantBroken = 308,
    StillRunning = 309,
    CallerLeft = 310,
    ResumedElsewhere = 311,
    InstanceEnded = 312,
    SettingsUnreadable = 401,
    SettingsUnknownKey = 402,
    SettingsWrongType = 403,
    SettingsOutOfRange = 404,
    SettingsContradiction = 405,
    SettingsMissing = 406,
    DocumentMalformed = 501,
    DocumentDuplicateName = 502,
    DocumentDanglingName = 503,
    DocumentTooLarge = 504,
    DocumentStale = 505,
    PlatformUnreachable = 506,
    PeerMessageRejected = 601
};

// One row of the table of result codes.
struct ResultCodeInfo
{
    ResultCode code;
    Outcome outcome;
    int httpStatus;
    std::string_view name;
    std::string_view meaning;
};

// Every result code in ascending order.
std::span<const ResultCodeInfo> allResultCodes();

// The row for a code; every code has one.
const ResultCodeInfo &describe(ResultCode code);

// The name of an outcome as written in the Jaytrack-Outcome header.
std::string_view outcomeName(Outcome outcome);

// A failure: its result code and details for diagnosis.
struct Error
{
    ResultCode code = ResultCode::Ok;
    std::string detail;
};

template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Error>;

} // namespace jaytrack

#endif
