// Messages between the instances of one fleet, and the sealed texts that callers carry for them.
// Regenerate with `make generate`; the result is committed under lib/Wire/gen.
namespace cpp jaytrack.wire

enum MemberState { Joining = 0, Live = 1, Suspect = 2, Leaving = 3, Gone = 4 }

// What is known of one instance. The pair (incarnation, version) orders what is said about it.
struct MemberRecord {
  1: string name
  2: string dataCentre
  3: string peerAddress
  4: string callerAddress
  5: i64 incarnation
  6: i32 version
  7: MemberState state
}

// TableAsk asks for every member that the receiver knows, and Table brings a part of them.
enum PeerKind { Ping = 0, Ack = 1, PingRequest = 2, Rumour = 3, Policy = 4, TableAsk = 5, Table = 6 }

// A step in the handing out of one engine's room; see GrantKind in Policy.
struct GrantBody {
  1: i64 serial
  2: string engine
  3: i32 kind
  4: i64 promptTokens
  5: i64 producedTokens
  6: i32 priority
  7: string customer
  8: i32 weight
  9: i32 waitMs
  10: i64 maxTokens
  11: i32 boundPerMillion
  12: i32 waitedMs
}

// How loaded an engine is, as its home instance sees it.
struct EngineSummary {
  1: string engine
  2: i32 roomPerMille
  3: i32 queued
  4: bool leaving
  5: bool alive
}

// A part of prompts that is not known to have run well since the request was sent.
struct SuspectPartNotice {
  1: string digest
  2: bool ranWellBefore
}

// A request that stood unanswered at a target for so long until that ended. Its parts are given by
// their places in the list of the end.
struct SuspectNotice {
  1: string digest
  2: i64 heldMicros
  3: list<i16> parts
}

// A target ended so long ago, while it had not answered these requests at all.
struct TargetEndNotice {
  1: string target
  2: list<SuspectNotice> suspects
  3: i64 agoMicros
  4: string software
  5: list<SuspectPartNotice> parts
}

// No target may be given the request, or requests with the part, any more for so long. For a part,
// the software of the targets that ended and how long ago the last one did.
struct BarredNotice {
  1: string digest
  2: i64 leftMicros
  3: i32 ends
  4: string software
  5: i64 lastEndMicros
}

// A target with this software began so long ago to answer a request with the part, and lived on.
struct SoundPartNotice {
  1: string digest
  2: string software
  3: i64 beganMicros
}

// What instances tell each other of requests that end targets.
struct QuarantineNotices {
  1: list<TargetEndNotice> ends
  2: list<BarredNotice> barred
  // Digests of suspected requests that a target ran without harm.
  3: list<string> ranWell
  4: list<SoundPartNotice> soundParts
}

// What is known of the limit that a target names: requests a second over all instances, when it was named
// last, and when the last request was sent whose answer named none (-1: no such answer is known).
struct LimitWordNotice {
  1: string target
  2: double perSecond
  3: i64 namedAgoMicros
  4: i64 endedAgoMicros
}

// Asks whoever keeps the account of a limited target whether one request may go there now.
struct PermitAskNotice {
  1: i64 serial
  2: LimitWordNotice word
  // The request goes there in any case and is only to be counted; nothing is answered.
  3: bool counted
}

struct PermitAnswerNotice {
  1: i64 serial
  2: bool granted
  // After which the asker had better ask again.
  3: i64 waitMicros
  // Whether the sender keeps accounts; one that has just started does not yet.
  4: bool keeps
  // Of the target that was asked for, as the sender knows it.
  5: LimitWordNotice word
}

// What instances tell each other of targets that name limits.
struct LimitNotices {
  1: list<LimitWordNotice> words
  2: list<PermitAskNotice> asks
  3: list<PermitAnswerNotice> answers
}

// What two instances tell each other beside who they are.
struct PolicyMessage {
  1: list<GrantBody> grants
  2: list<EngineSummary> summaries
  3: QuarantineNotices quarantine
  4: LimitNotices limits
}

// A generation that an entry instance has just given to an engine.
struct PlacementNotice {
  1: string engine
  2: i64 promptTokens
  3: i64 expectedTokens
  // Its memory comes as a copy from another engine, so its prompt need not be read.
  4: bool copied
}

// A generation gave back the memory that it held at an engine.
struct ReleaseNotice {
  1: string engine
  2: i64 tokens
}

// An engine's own report of its load, as one entry instance read it for all.
struct LoadNotice {
  1: string engine
  2: i32 waiting
  3: i32 running
  4: i64 memoryInUse
  5: i64 memoryTokens
  6: bool leaving
  7: i64 firstWaitingTokens
  // Mean time between two events of a run there; 0 if it is not known.
  8: i64 eventIntervalMicros
}

// One item of the platform's store as it was read, or its removal.
struct StoreItemNotice {
  1: string key
  2: binary value
  3: i64 revision
  4: bool deleted
  // Bytes of the value before it was compressed; 0 for one that is as it was.
  5: i64 plainSize
}

// What an instance has just read of the store: everything that changed after one revision up to another.
struct StoreNotice {
  1: i64 fromRevision
  2: i64 toRevision
  3: list<StoreItemNotice> items
  // Some item was too large to be passed on; whoever hears of it reads for itself.
  4: bool incomplete
  // The store has just come back, and what lapsed meanwhile may do so too.
  5: bool afterOutage
  // The history that the revisions belong to; 0 if the sender knows none.
  6: i64 era
}

// A target as an instance that holds the store's entries knows it.
struct TargetNotice {
  1: string name
  2: i64 startedAtMillis
  3: string serviceName
  4: string address
  5: string dataCentre
  6: string softwareVersion
  7: i32 slots
  8: bool leaving
  9: i64 coldMillis
  // Listed only by an older copy from which the store was restored.
  10: bool withheld
}

// A data centre that is out of use, and the revision of that order.
struct DataCentreNotice {
  1: string dataCentre
  2: i64 revision
}

// All that an instance holds of the store.
struct StoreSnapshotNotice {
  1: i64 era
  2: i64 revision
  3: StoreItemNotice configuration
  4: list<TargetNotice> targets
  5: list<string> unusableTargets
  6: list<DataCentreNotice> outOfUse
}

// A compressed message.
struct PackedNotice {
  // Bytes of the message before it was compressed.
  1: i64 plainSize
  2: binary bytes
}

// Asks how old an instance's knowledge of the store is. The moment is the asker's and comes back with
// the answer, so that an answer that was held up on its way never counts as fresh.
struct FreshnessAsk {
  1: i64 askedAt
}

struct FreshnessAnswer {
  1: i64 askedAt
  2: i64 ageMicros
  3: i64 revision
  4: i64 era
  // How long ago the store was restored from an older copy; 0 if that was not lately.
  5: i64 restoredAgoMicros
}

// A target has said in an answer that it is cold for so long.
struct ColdNotice {
  1: string target
  2: i64 leftMicros
}

// A part of notices that are too large for one datagram: encoded, compressed and cut.
struct FragmentNotice {
  // Distinguishes what one instance sends.
  1: i64 batch
  2: i32 index
  3: i32 count
  // Bytes of the whole, before they were compressed.
  4: i64 plainSize
  5: binary bytes
}

// To which members of its data centre the receiver passes the message on: those whose name's hash, less the
// offset, lies in the range, bounds included.
struct SpreadNotice {
  1: bool passOn
  2: i64 offset
  3: i64 first
  4: i64 last
}

// A stream and the version of the software of the engine that began it.
struct StreamVersionNotice {
  1: string stream
  2: string version
}

// Asks at which version a stream began.
struct StreamVersionAsk {
  1: i64 serial
  2: string stream
}

struct StreamVersionReply {
  1: i64 serial
  2: bool known
  3: string version
}

// How long ago a target of a service with this version was listed last.
struct ServedVersionNotice {
  1: string serviceName
  2: string version
  3: i64 agoMicros
}

// What instances tell each other about the versions at which streams began.
struct StreamVersionNotices {
  1: list<StreamVersionNotice> records
  2: list<StreamVersionAsk> asks
  3: list<StreamVersionReply> replies
  // The sender has just started and asks which services have several versions.
  4: bool asksForServices
  5: bool tellsServices
  6: list<ServedVersionNotice> services
}

// The end of a run of at least 16 events at one engine, with or without a long pause.
struct PauseNotice {
  1: string engine
  // Whether it paused there for longer than its route allows.
  2: bool pausedTooLong
}

// What entry instances tell each other, beside who they are.
struct EntryNotices {
  1: list<PlacementNotice> placements
  2: list<LoadNotice> loads
  3: list<StoreNotice> stores
  4: list<FreshnessAsk> asks
  5: list<FreshnessAnswer> answers
  6: list<ReleaseNotice> releases
  // Engines that failed a generation or a question of the sender.
  7: list<string> failedEngines
  // The receiver passes the message on to the others of its data centre.
  8: bool relay
  // Whose notices these are, if another instance passes them on.
  9: string origin
  10: QuarantineNotices quarantine
  // Targets that told the sender in an answer that they leave.
  11: list<string> leavingTargets
  12: list<ColdNotice> coldTargets
  13: LimitNotices limits
  // Permits for retries; the names are those of services.
  14: LimitNotices retryPermits
  15: list<FragmentNotice> fragments
  16: SpreadNotice spread
  // Limits that instances impose on brittle targets.
  17: LimitNotices imposedLimits
  18: optional StreamVersionNotices streamVersions
  19: list<PauseNotice> pauses
}

// One datagram between two instances.
struct PeerMessage {
  1: PeerKind kind
  2: i64 sequence
  3: MemberRecord sender
  4: i64 revision
  5: i32 configAgeMs
  6: list<MemberRecord> records
  7: string probeTarget
  8: binary policy
  // Of a TableAsk: the members that the sender knows, as one number. Who knows the same answers nothing.
  9: i64 tableDigest
}

// A datagram on the wire: a serialised PeerMessage and its authentication.
struct SealedMessage {
  1: binary body
  2: binary mac
}

// What a resume handle names. Callers hold it sealed.
struct StreamHandleBody {
  1: string engine
  2: string generation
  3: string customer
  4: string model
}

// What a ticket names. Callers hold it sealed.
struct TicketBody {
  1: string issuer
  2: i64 incarnation
  3: i64 serial
  4: string customer
  5: string scope
}
