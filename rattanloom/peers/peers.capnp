@0xb3f1c7a5d2e94867;
# Messages between entry hosts: heartbeats over UDP, frames over TCP.
# Opaque text is Data, as JSON strings may hold lone surrogates.

struct MemberRecord {
  host @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  incarnation @3 :Text;
  startedWallMs @4 :UInt64;
}

struct ToldBeat {
  key @0 :UInt64;
  beat @1 :UInt32;
  leaving @2 :Bool;
}

struct LoadName {
  number @0 :UInt16;
  isTarget @1 :Bool;
  name @2 :Text;
}

struct LoadPart {
  # Absolute values; numbers refer to names of the same generation.
  generation @0 :UInt32;
  queuedSlots @1 :UInt32;
  runningSlots @2 :UInt32;
  teamNumbers @3 :List(UInt16);
  teamRunningSlots @4 :List(UInt16);
  teamQueuedSlots @5 :List(UInt16);
  targetNumbers @6 :List(UInt16);
  targetSlots @7 :List(UInt16);
  names @8 :List(LoadName);
}

struct Heartbeat {
  sender @0 :UInt64;
  beat @1 :UInt32;
  intervalMs @2 :UInt32;
  configVersion @3 :UInt64;
  leaving @4 :Bool;
  told @5 :List(ToldBeat);
  unheard @6 :List(UInt64);
  asks @7 :List(UInt64);
  introductions @8 :List(MemberRecord);
  load @9 :LoadPart;
}

struct Task {
  kind @0 :Text;
  payload @1 :Data;
  sizeSlots @2 :UInt32;
  runMs @3 :UInt32;
  accelerator @4 :Bool;
}

struct Job {
  jobId @0 :Text;
  team @1 :Text;
  tasks @2 :List(Task);
  deadlineMs @3 :Int64;
  idempotent @4 :Bool;
  key @5 :Data;
}

struct Failure {
  kind @0 :Text;
  reason @1 :Data;
  retryAfterMs @2 :Int64;
  # -1 where the table's default holds
  ran @3 :Text;
  # empty where the table's word holds
}

struct JobAnswer {
  jobId @0 :Text;
  outcome @1 :Text;
  outputs @2 :List(Data);
  failure @3 :Failure;
  failedTask @4 :Int32;
  # -1 where no task failed
  runMs @5 :Float64;
}

struct Ask {
  jobId @0 :Text;
  waitMs @1 :Float64;
}

struct Frame {
  requestId @0 :UInt64;
  union {
    hello @1 :MemberRecord;
    ping @2 :Void;
    pong @3 :Void;
    submit @4 :Job;
    ask @5 :Ask;
    cancel @6 :Text;
    fetchConfig @7 :UInt64;
    answer @8 :JobAnswer;
    document @9 :Data;
    failure @10 :Failure;
    fetchTargets @11 :Void;
    targets @12 :Data;
  }
}
