@0xd4a9f0c3b7e15268;
# Messages between the daemons of one deployment, over TCP.

struct Hello {
  node @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  startedWallMs @3 :UInt64;
  protocolVersion @4 :UInt16;
  zones @5 :List(Text);
  tokens @6 :List(UInt64);
}

struct Step {
  count @0 :UInt32;
  cpuMillicores @1 :UInt32;
  memoryMb @2 :UInt32;
  gpus @3 :UInt32;
  estimateMs @4 :Float32;
  after @5 :List(UInt16);
  requiredLabel @6 :Text;
  perWorkerMax @7 :UInt32;
  affinity @8 :Text;
}

struct Submit {
  jobId @0 :Text;
  spec @1 :Data;
  steps @2 :List(Step);
  service @3 :Text;
  priority @4 :UInt16;
  maxAttempts @5 :UInt16;
  slackFactor @6 :Float32;
  latencyTargetMs @7 :Float32;
  remainingMs @8 :Float32;
  waitedMs @9 :Float32;
  formerPlacers @10 :List(Text);
  completedBy @11 :Text;
  submission @12 :UInt64;
  queue @13 :Text;
  guardsCapacity @14 :Bool = true;
}

struct Outcome {
  jobId @0 :Text;
  kind @1 :Text;
  reason @2 :Text;
  retryAfterMs @3 :UInt32;
  submission @4 :UInt64;
}

struct OwnerAnswer {
  owner @0 :Text;
  hears @1 :Bool;
  zones @2 :List(Text);
}

struct TakeZones {
  zones @0 :List(Text);
  workers @1 :List(Text);
}

struct ZoneClaims {
  owner @0 :Text;
  claim @1 :UInt64;
  zones @2 :List(Text);
  epochs @3 :List(UInt64);
}

struct OwnedZones {
  zones @0 :List(Text);
  tokens @1 :List(UInt64);
}

struct Withdraw {
  jobId @0 :Text;
  submission @1 :UInt64;
  moved @2 :Bool;
}

struct RunLoss {
  task @0 :Text;
  worker @1 :Text;
  incarnationMs @2 :Int64;
  alone @3 :Bool;
  state @4 :Text;
}

struct ReturnedJob {
  jobId @0 :Text;
  submits @1 :UInt32;
  retryAfterMs @2 :UInt32;
  submission @3 :UInt64;
}

struct RejectedSubmission {
  jobId @0 :Text;
  submission @1 :UInt64;
}

struct PriorityLoad {
  priority @0 :UInt16;
  waitingMillicoreMs @1 :Float64;
  arrivingMillicores @2 :Float64;
}

struct ZoneLoad {
  freeMillicores @0 :Int64;
  capacityMillicores @1 :UInt64;
  ownArrivingMillicores @2 :Float64;
  priorities @3 :List(PriorityLoad);
}

struct JobsHeld {
  jobIds @0 :List(Text);
  endedIds @1 :List(Text);
  isComplete @2 :Bool;
}

struct ReleaseJob {
  jobId @0 :Text;
  ageMs @1 :Float64;
  submission @2 :UInt64;
  moves @3 :UInt16;
  isWithdrawn @4 :Bool;
}

struct JobReleased {
  jobId @0 :Text;
  released @1 :Bool;
}

struct Message {
  union {
    hello @0 :Hello;
    ping @1 :Void;
    submit @2 :Submit;
    cancel @3 :Text;
    outcome @4 :Outcome;
    askOwner @5 :Text;
    ownerAnswer @6 :OwnerAnswer;
    takeZones @7 :TakeZones;
    zoneClaims @8 :ZoneClaims;
    room @9 :Int64;
    runLosses @10 :List(RunLoss);
    ownedZones @11 :OwnedZones;
    submitRejected @12 :Text;
    jobsReturned @13 :List(ReturnedJob);
    zoneLoad @14 :ZoneLoad;
    jobCancelled @15 :Text;
    probe @16 :Float64;
    probeReply @17 :Float64;
    withdraw @18 :Withdraw;
    submissionRejected @19 :RejectedSubmission;
    workersInUse @20 :List(Text);
    jobsHeld @21 :JobsHeld;
    releaseJob @22 :ReleaseJob;
    jobReleased @23 :JobReleased;
  }
}
