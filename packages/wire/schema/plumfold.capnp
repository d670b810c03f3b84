# Calls between plumfold's own processes, and the operators' calls.
# Times are Unix milliseconds, durations milliseconds, sizes bytes, unless a name says otherwise.
@0xc5d1f2a47e90b361;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("plumfold::wire");

# ---------------------------------------------------------------- configuration

struct Customer {
  name @0 :Text;
  keyHash @1 :Text;          # SHA-256 of the API key, hexadecimal
  weight @2 :UInt32;         # share in weighted fair queueing
  maxInFlight @3 :UInt32;    # running requests on one entry
  maxQueued @4 :UInt32;      # waiting requests on one entry
  models @5 :List(Text);     # models and services that the customer may call
}
struct Model { name @0 :Text; maxPromptBytes @1 :UInt32; maxTokens @2 :UInt32; }
struct Adapter { name @0 :Text; model @1 :Text; }
struct WeightVersion { model @0 :Text; version @1 :Text; }
struct FailureDomain { name @0 :Text; inService @1 :Bool; maxConcurrentLoads @2 :UInt32; }
struct TargetSetting { name @0 :Text; inService @1 :Bool; checksFencing @2 :Bool; }
struct Service { name @0 :Text; repeatable @1 :Bool; timeoutMs @2 :UInt32; }

struct Record {
  union {
    customer @0 :Customer;
    model @1 :Model;
    adapter @2 :Adapter;
    weightVersion @3 :WeightVersion;
    failureDomain @4 :FailureDomain;
    target @5 :TargetSetting;
    service @6 :Service;
  }
}
struct RecordKey { kind @0 :UInt16; name @1 :Text; }
struct Change { union { put @0 :Record; remove @1 :RecordKey; } }
struct Delta { revision @0 :UInt64; change @1 :Change; }
struct ConfigurationUpdate {
  revision @0 :UInt64;
  digest @1 :UInt64;
  union { deltas @2 :List(Delta); full @3 :List(Record); }
}

# ---------------------------------------------------------------- replicated log

struct Member {
  node @0 :Text;
  incarnation @1 :UInt64;
  voter @2 :Bool;
  address @3 :Text;
  failureDomain @4 :Text;
  addition @5 :Bool;
}
struct LogEntry { term @0 :UInt64; index @1 :UInt64; kind @2 :UInt8; payload @3 :Data; }
struct RaftSnapshot { index @0 :UInt64; term @1 :UInt64; members @2 :List(Member); state @3 :Data; }
struct RaftMessage {
  kind @0 :UInt8;
  from @1 :Text;
  fromIncarnation @2 :UInt64;
  to @3 :Text;
  term @4 :UInt64;
  logIndex @5 :UInt64;
  logTerm @6 :UInt64;
  commitIndex @7 :UInt64;
  accepted @8 :Bool;
  entries @9 :List(LogEntry);
  snapshot @10 :RaftSnapshot;
  hasSnapshot @11 :Bool;
  failureDomain @12 :Text;
  initial @13 :Bool;
}
struct Membership { members @0 :List(Member); }

# ---------------------------------------------------------------- replicated commands

struct ClaimKey { customer @0 :Text; key @1 :Text; }
struct StoredAnswer { status @0 :UInt16; contentType @1 :Text; body @2 :Data; truncated @3 :Bool; }

struct ChangeCommand {
  operatorName @0 :Text;
  requestId @1 :Text;
  expectedRevision @2 :UInt64;
  change @3 :Change;
}
struct ClaimCommand { key @0 :ClaimKey; fingerprint @1 :UInt64; holder @2 :Text; runUntil @3 :UInt64; }
struct FinishClaimCommand { key @0 :ClaimKey; holder @1 :Text; outcome @2 :UInt8; answer @3 :StoredAnswer; }
struct UsageRow {
  customer @0 :Text;
  model @1 :Text;
  requests @2 :UInt64;
  promptTokens @3 :UInt64;
  cachedTokens @4 :UInt64;
  outputTokens @5 :UInt64;
  failed @6 :UInt64;
}
struct UsageCommand { source @0 :Text; incarnation @1 :UInt64; sequence @2 :UInt64; rows @3 :List(UsageRow); }
struct VerdictCommand { fingerprint @0 :UInt64; crashes @1 :UInt32; withdraw @2 :Bool; traits @3 :List(UInt64); }

struct Command {
  at @0 :UInt64;
  union {
    change @1 :ChangeCommand;
    claim @2 :ClaimCommand;
    finishClaim @3 :FinishClaimCommand;
    usage @4 :UsageCommand;
    verdict @5 :VerdictCommand;
    barrier @6 :Void;
    lease @7 :LeaseCommand;
    adoptDocument @8 :DeploymentDocument;
    setInService @9 :InServiceCommand;
    nameWeights @10 :NamedWeights;
    beginRollout @11 :BeginRollout;
    decideRollout @12 :DecideRollout;
  }
}
struct DeploymentDocument { version @0 :UInt64; text @1 :Text; }
struct InServiceCommand {
  failureDomain @0 :Text;
  inService @1 :Bool;
  conditional @2 :Bool;      # only if lastKnownOrder is still the last order
  lastKnownOrder @3 :UInt64;
}
struct InServiceOrder { failureDomain @0 :Text; logIndex @1 :UInt64; }
struct NamedWeights { model @0 :Text; version @1 :UInt64; }
struct ReturnToService { failureDomain @0 :Text; revision @1 :UInt64; }
# See core::event_age.
struct EventAge { subject @0 :Text; number @1 :UInt64; ageMs @2 :UInt64; }
struct DeploymentState {
  revision @0 :UInt64;
  document @1 :DeploymentDocument;
  outOfService @2 :List(Text);    # failure domains
  weights @3 :List(NamedWeights);
  returns @4 :List(ReturnToService);
  rollouts @5 :List(ServiceRollout);
}
# See core::rollout_record and its commands.
struct RolloutTotals { formerRequests @0 :UInt64; nextRequests @1 :UInt64; nextBad @2 :UInt64; }
struct RolloutDecision {
  state @0 :UInt8;
  stage @1 :UInt8;
  share @2 :UInt32;
  elapsedMs @3 :UInt64;
  totals @4 :RolloutTotals;
  reason @5 :Text;
}
struct ServiceRollout {
  service @0 :Text;
  id @1 :UInt64;
  version @2 :Text;
  formerVersions @3 :List(Text);
  durationMs @4 :UInt64;
  orderedAt @5 :UInt64;
  sequence @6 :UInt64;
  decision @7 :RolloutDecision;
  endedVersions @8 :List(Text);
}
struct BeginRollout {
  service @0 :Text;
  version @1 :Text;
  formerVersions @2 :List(Text);
  durationMs @3 :UInt64;
  lastKnownRollout @4 :UInt64;
}
struct DecideRollout { service @0 :Text; id @1 :UInt64; sequence @2 :UInt64; decision @3 :RolloutDecision; }
struct RolloutResult { outcome @0 :UInt8; id @1 :UInt64; }
# See core::rollout_report. Latencies are left out from the last one that is not 0.
struct RolloutCounts { failures @0 :UInt64; latencies @1 :List(UInt32); }
struct RolloutRow { route @0 :Text; sizeClass @1 :UInt8; former @2 :RolloutCounts; next @3 :RolloutCounts; }
struct RolloutReport {
  entry @0 :Text;
  incarnation @1 :UInt64;
  service @2 :Text;
  rollout @3 :UInt64;
  number @4 :UInt64;
  decision @5 :UInt64;
  formerRequests @6 :UInt64;
  nextRequests @7 :UInt64;
  formerInFlight @8 :UInt32;
  rows @9 :Data; # a packed message with RolloutRows, a quarter of its size
}
struct RolloutRows { rows @0 :List(RolloutRow); }
# A DeploymentState whose document has no text. The text is put together from pieces, see core::document_outline.
struct DeploymentOutline { state @0 :DeploymentState; digest @1 :UInt64; pieces @2 :List(UInt64); }
struct LeaseCommand { name @0 :Text; holder @1 :Text; durationMs @2 :UInt32; }
struct LeaseResult { granted @0 :Bool; fence @1 :UInt64; takeovers @2 :UInt64; first @3 :Bool; }
struct LeaseState { name @0 :Text; holder @1 :Text; until @2 :UInt64; fence @3 :UInt64; takeovers @4 :UInt64; }

struct ChangeResult { outcome @0 :UInt8; revision @1 :UInt64; message @2 :Text; }
struct ClaimResult { state @0 :UInt8; answer @1 :StoredAnswer; retryAfterMs @2 :UInt32; }
struct CommandResult {
  union {
    none @0 :Void;
    change @1 :ChangeResult;
    claim @2 :ClaimResult;
    lease @3 :LeaseResult;
    rollout @4 :RolloutResult;
  }
}

struct ClaimState {
  key @0 :ClaimKey;
  fingerprint @1 :UInt64;
  holder @2 :Text;
  state @3 :UInt8;
  runUntil @4 :UInt64;
  keepUntil @5 :UInt64;
  answer @6 :StoredAnswer;
}
struct RememberedResult { operatorName @0 :Text; requestId @1 :Text; result @2 :ChangeResult; }
struct AuditRecord { at @0 :UInt64; operatorName @1 :Text; requestId @2 :Text; delta @3 :Delta; }
struct UsageSource { source @0 :Text; incarnation @1 :UInt64; sequence @2 :UInt64; }
struct Verdict { fingerprint @0 :UInt64; crashes @1 :UInt32; until @2 :UInt64; withdrawn @3 :Bool; traits @4 :List(UInt64); }
struct ControlSnapshot {
  revision @0 :UInt64;
  records @1 :List(Record);
  deltas @2 :List(Delta);
  results @3 :List(RememberedResult);
  claims @4 :List(ClaimState);
  usage @5 :List(UsageRow);
  usageSources @6 :List(UsageSource);
  verdicts @7 :List(Verdict);
  audit @8 :List(AuditRecord);
  leases @9 :List(LeaseState);
  lastFence @10 :UInt64;
  deployment @11 :DeploymentState;
  inServiceOrders @12 :List(InServiceOrder);
}

# ---------------------------------------------------------------- control's interfaces

# Every answer of a control VM starts with this, so that a caller can find the leader.
struct Reply {
  accepted @0 :Bool;         # false: this control VM did not take the call, nothing was done
  leaderAddress @1 :Text;
  message @2 :Text;
  logIndex @3 :UInt64;       # accepted: where the command stands in the log
}

struct EntryStatus { name @0 :Text; failureDomain @1 :Text; revision @2 :UInt64; ageMs @3 :UInt64; }
struct ControlStatus {
  node @0 :Text;
  role @1 :Text;
  term @2 :UInt64;
  commitIndex @3 :UInt64;
  appliedIndex @4 :UInt64;
  revision @5 :UInt64;
  members @6 :List(Member);
  entries @7 :List(EntryStatus);
  claims @8 :UInt64;
  formed @9 :Bool;
}

interface Control {
  peer @0 (secret :Text) -> (peer :ControlPeer);
  operator @1 (token :Text) -> (operator :Operator);
  entry @2 (secret :Text, name :Text, failureDomain :Text) -> (session :EntrySession);
}
interface ControlPeer {
  deliver @0 (message :RaftMessage) -> ();
  # What targets announced to this control VM itself, how many entries follow it, and what any control VM told it about
  # targets that ended: crashes and successes belong together, see core::crash_evidence. The receiver returns the
  # addresses of the holders whose parts it could not apply, so that the sender sends their whole content next.
  share @1 (address :Text, failureDomain :Text, entries :UInt32, targets :List(AnnouncedTarget),
      parts :List(PartNews), clock :UInt64, loads :List(TargetLoad), namings :List(EventAge),
      returns :List(EventAge), crashes :List(CrashReport), successes :List(RecordedSuccess),
      followers :List(EntryAddress), hasFollowers :Bool, demands :List(TargetDemand),
      rollouts :List(RolloutReport)) -> (unknownParts :List(Text));
}
interface Operator {
  form @0 () -> (reply :Reply);
  change @1 (requestId :Text, expectedRevision :UInt64, change :Change) -> (reply :Reply, result :ChangeResult);
  read @2 (linearizable :Bool) -> (reply :Reply, update :ConfigurationUpdate);
  status @3 () -> (status :ControlStatus);
  usage @4 () -> (reply :Reply, rows :List(UsageRow));
  withdrawVerdict @5 (fingerprint :UInt64) -> (reply :Reply);
  audit @6 () -> (records :List(AuditRecord));
}
interface EntrySession {
  # Answers as soon as the revision differs from the known one, or after waitMs.
  watch @0 (knownRevision :UInt64, knownDigest :UInt64, waitMs :UInt32, linearizable :Bool)
      -> (update :ConfigurationUpdate, fresh :Bool, verdicts :List(Verdict));
  submit @1 (command :Command) -> (reply :Reply, result :CommandResult);
  # Answers as soon as the deployment or a target differs from what is known, or after waitMs. With confirmed,
  # a quorum has first confirmed that no newer revision is deployed. sharedLimits is the address of the control VM
  # that serves startCold and retry for this entry. The verdicts are all that are in force or were withdrawn
  # recently; they are left out if their digest is the known one. So are the suspects. The ages of the namings are
  # those at the time at which the call arrived, so that they can be bounded from above; those of the returns to
  # service are those at the time of the response. The helpers are other entries to which this one
  # may relay requests; they are left out if their digest is the known one. Demands are sent in both directions:
  # those that the entry has learned from responses, and those that changed after the known number. limitIssuers are
  # the control VMs that serve startLimited, by failure domain of the target, and acquirePlace; they are left out if no
  # target limits its requests and the entry does not use places. An entry that accepts outlines gets an outline
  # instead of the deployment, and then calls readPieces. domainEntryIndex is the position of this entry among the
  # domainEntries entries of its failure domain, in order of their names; 0 entries if they are not known.
  follow @2 (knownDeployment :UInt64, feed :UInt64, knownChange :UInt64, waitMs :UInt32, confirmed :Bool,
      parts :List(PartCursor), knownVerdicts :UInt64, knownSuspects :UInt64, relayAddress :Text, knownHelpers :UInt64,
      demands :List(TargetDemand), knownDemands :UInt64, acceptsOutline :Bool, rollouts :List(RolloutReport),
      usesPlaces :Bool)
      -> (fresh :Bool, deployment :DeploymentState, feed :UInt64, change :UInt64, everything :Bool,
          targets :List(AnnouncedTarget), control :List(ControlAddress), entries :UInt32, parts :List(PartNews), clock :UInt64,
          loads :List(TargetLoad), sharedLimits :Text, verdictsDigest :UInt64, verdicts :List(CrashVerdict),
          suspects :List(CrashSuspect), suspectsDigest :UInt64, namings :List(EventAge),
          returns :List(EventAge), helpers :List(EntryAddress), helpersDigest :UInt64,
          demands :List(TargetDemand), latestDemand :UInt64, limitIssuers :List(ControlAddress),
          outline :DeploymentOutline, domainEntryIndex :UInt32, domainEntries :UInt32);
  # Asks the holder of the lease shared-limits/ and the entry's failure domain for one start on a cold target.
  startCold @3 (service :Text, target :Text) -> (granted :Bool, retryAfterMs :UInt32);
  # Asks the same control VM for one retry beyond the share of the entry's own requests.
  retry @4 (service :Text) -> (granted :Bool);
  # Records where streams began, so that they can go on at another entry.
  recordStreams @5 (streams :List(StreamRecord)) -> ();
  # Returns where a stream began, if this control VM knows it. In any case, it returns the software versions of all
  # targets of the service that it has heard of recently, and the addresses of all control VMs of the group.
  findStream @6 (stream :UInt64, service :Text)
      -> (found :Bool, record :StreamRecord, softwareVersions :List(Text), members :List(Text));
  # Reports targets that ended while they ran requests of this entry, successes of suspects, and verdicts
  # by which requests were rejected.
  reportCrashes @7 (crashes :List(CrashReport), successes :List(SuspectSuccess), rejected :List(UInt64)) -> ();
  # Asks the holder of the lease shared-limits/ and the target's failure domain for one start on a target that limits
  # its requests per second. It has not decided if it does not hold the lease.
  startLimited @8 (failureDomain :Text, demand :TargetDemand)
      -> (decided :Bool, granted :Bool, retryAfterMs :UInt32);
  # Returns pieces of the current document by their digests, each compressed with zlib. Those that it does not have are
  # left out.
  readPieces @9 (digests :List(UInt64)) -> (pieces :List(Data));
  # Asks the holder of the lease shared-limits/ of a failure domain for a place on a target of a service. The call stays
  # open while the request waits; dropping it withdraws the request. It has not decided if it does not hold the lease.
  acquirePlace @10 (failureDomain :Text, request :PlaceRequest) -> (decided :Bool, decision :PlaceDecision);
  # Renews the places on targets of a service that this entry uses, and ends those that it does not use any more.
  updatePlaces @11 (failureDomain :Text, service :Text, held :List(HeldPlace), ended :List(PlaceEnd))
      -> (decided :Bool);
}

# Places on targets, see core::place_request, core::held_place, core::place_end and core::place_decision.
struct PlaceId { client @0 :UInt64; number @1 :UInt64; }
struct PlaceCandidate { target @0 :Text; startedAt @1 :UInt64; slots @2 :UInt32; withoutPlace @3 :UInt32; }
struct PlaceRequest {
  id @0 :PlaceId;
  service @1 :Text;
  customer @2 :Text;
  priority @3 :UInt32;
  maxWaitMs @4 :UInt32;
  candidates @5 :List(PlaceCandidate);
}
struct HeldPlace { id @0 :PlaceId; target @1 :PlaceCandidate; }
struct PlaceEnd { id @0 :PlaceId; outcome @1 :UInt8; }
struct PlaceDecision { target @0 :Text; startedAt @1 :UInt64; refusal @2 :UInt8; retryAfterMs @3 :UInt32; }

# Requests that crash targets, see core::request_traits, core::crash_report, core::suspect_success,
# core::recorded_success, core::crash_suspect and core::crash_verdict.
struct RequestTraits { fingerprint @0 :UInt64; customer @1 :UInt64; isolated @2 :Bool; parts @3 :List(UInt64); }
struct CrashReport { target @0 :Text; startedAt @1 :UInt64; service @2 :Text; victims @3 :List(RequestTraits); ageMs @4 :UInt32; }
struct SuspectSuccess { trait @0 :UInt64; ageMs @1 :UInt32; }
struct RecordedSuccess { trait @0 :UInt64; origin @1 :UInt64; number @2 :UInt64; ageMs @3 :UInt32; }
struct CrashSuspect { trait @0 :UInt64; crashes @1 :UInt32; }
struct CrashVerdict {
  id @0 :UInt64;
  crashes @1 :UInt32;
  keepForMs @2 :UInt32;
  withdrawn @3 :Bool;
  traits @4 :List(UInt64);
}

# What a target asks of its callers, see core::target_demand.
struct TargetDemand {
  target @0 :Text;
  startedAt @1 :UInt64;
  epoch @2 :UInt64;
  limited @3 :Bool;
  maxRequestsPerSecond @4 :Float64;
  leaving @5 :Bool;
}

# Where a stream began, see core::stream_record.
struct StreamRecord { stream @0 :UInt64; service @1 :Text; softwareVersion @2 :Text; keepForMs @3 :UInt32; }

# A target as it announced itself, see core::target_announcement.
struct AnnouncedTarget {
  name @0 :Text;
  service @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  slots @4 :UInt32;
  state @5 :UInt8;
  coldForMs @6 :UInt32;
  startedAt @7 :UInt64;
  sequence @8 :UInt64;
  models @9 :List(LoadedModel);
  softwareVersion @10 :Text;
}
# KV parts that a store or an engine holds whole, see core::part_update.
struct PartChange { part @0 :UInt64; tokens @1 :UInt32; }
struct PartNews { holder @0 :Text; generation @1 :UInt64; first @2 :UInt32; count @3 :UInt32; changes @4 :List(PartChange); confirmed @5 :Bool; }
struct PartCursor { holder @0 :Text; generation @1 :UInt64; count @2 :UInt32; }
# What a target reported of its work, see core::target_load.
struct TargetLoad {
  target @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  usedTokens @3 :UInt32;
  ageMs @4 :UInt32;
  busy @5 :Bool;
}
struct ControlAddress { address @0 :Text; failureDomain @1 :Text; }
# Where an entry accepts relayed requests, see core::entry_address.
struct EntryAddress { name @0 :Text; address @1 :Text; failureDomain @2 :Text; }

# ---------------------------------------------------------------- between entries

struct LoadedModel { model @0 :Text; version @1 :Text; adapters @2 :List(Text); }
struct TargetReport {
  name @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  failureDomain @3 :Text;
  isService @4 :Bool;
  services @5 :List(Text);
  models @6 :List(LoadedModel);
  maxBatch @7 :UInt32;
  running @8 :UInt32;
  queued @9 :UInt32;
  leaving @10 :Bool;
  sequence @11 :UInt64;
  ageMs @12 :UInt32;         # since the target itself sent the report
}
struct PermitOutcome {
  kind @0 :UInt8;
  firstTokenMs @1 :UInt32;
  expectedFirstTokenMs @2 :UInt32;
  referenceKnown @3 :Bool;
}
struct Suspect { fingerprint @0 :UInt64; crashes @1 :UInt32; }

interface EntryPeer {
  gossip @0 (from :Text, failureDomain :Text, incarnation :UInt64, leaving :Bool, reports :List(TargetReport),
      suspects :List(Suspect)) -> ();
  acquire @1 (from :Text, target :Text, incarnation :UInt64, alone :Bool) -> (granted :Bool, permit :UInt64,
      retryAfterMs :UInt32, limit :UInt32);
  release @2 (permit :UInt64, outcome :PermitOutcome) -> ();
  renew @3 (from :Text, permits :List(UInt64)) -> ();
  configuration @4 () -> (update :ConfigurationUpdate, known :Bool);
  suspect @5 (suspect :Suspect) -> ();
}

# ---------------------------------------------------------------- store

struct ChainKey { customer @0 :Text; model @1 :Text; adapter @2 :Text; version @3 :Text; }
interface Store {
  # Finds the longest sealed prefix of a chain and leases it to the reader.
  lease @0 (secret :Text, key :ChainKey, chain :List(UInt64), leaseMs :UInt32)
      -> (blocks :UInt32, bytes :UInt64, ticket :UInt64, blockAddress :Text);
  endLease @1 (ticket :UInt64) -> ();
  # Allocates the missing blocks of a chain for writing.
  allocate @2 (secret :Text, key :ChainKey, chain :List(UInt64), blockBytes :UInt32, leaseMs :UInt32)
      -> (firstBlock :UInt32, blocks :UInt32, ticket :UInt64, blockAddress :Text);
  status @3 (secret :Text) -> (blocks :UInt64, bytes :UInt64, capacityBytes :UInt64, reads :UInt64, writes :UInt64,
      bytesIn :UInt64, bytesOut :UInt64, evictions :UInt64);
  purge @4 (secret :Text, customer :Text) -> (blocks :UInt64);
}

# ---------------------------------------------------------------- files

struct WalRecord {
  union {
    entry @0 :LogEntry;
    truncateFrom @1 :UInt64;
    hardState @2 :HardState;
  }
}
struct HardState { term @0 :UInt64; votedFor @1 :Text; }
