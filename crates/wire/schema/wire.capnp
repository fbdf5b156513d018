@0xd3c1a5f0b7e24c19;
# Calls between currantbank's own processes.  See docs/design/wire.md.

struct Hello {
  # What a process says of itself; both sides of a heartbeat send one.
  instance @0 :Text;       # instance id, new at each start
  room @1 :Text;           # failure domain
  configOffset @2 :UInt64; # next offset of the configuration fold
  logAgeMs @3 :UInt64;     # time since the log was last read, ms
  leaving @4 :Bool;
  endpoint @5 :Text;       # empty for an entry
  service @6 :Text;        # plain service behind the endpoint, or empty
  versions @7 :List(Text); # loaded "model@version" names
  running @8 :UInt32;      # attempts under way
  queued @9 :UInt32;
  slots @10 :UInt32;
  tokenUs @11 :UInt32;     # observed time per token, microseconds
  region @12 :Text;
  address @13 :Text;       # where peers reach the sender
}

struct Dispatch {
  requestId @0 :Text;
  attempt @1 :UInt32;
  team @2 :Text;
  model @3 :Text;
  version @4 :Text;
  service @5 :Text;        # plain service name, or empty
  body @6 :Data;           # what the endpoint gets, whole
  path @7 :Text;           # request path on a plain service
  idempotent @8 :Bool;
  key @9 :Text;            # idempotency key, empty if none
  deadlineMs @10 :UInt32;  # time left, ms
  configOffset @11 :UInt64;
  priorSteps @12 :Text;    # bill lines of earlier cascade steps, JSON
  resumeText @13 :Text;    # text already delivered to the caller
  resumeTokens @14 :UInt32;
  priority @15 :UInt8;
  continues @16 :Bool;     # the session started on this version before
  owner @17 :Text;         # instance that answers for the bill
  costMicros @18 :UInt64;  # price: of 1,000 tokens, or of a service's call
}

struct Verdict {
  accepted @0 :Bool;
  reason @1 :Text;         # stable refusal code
  remedy @2 :Text;
  configOffset @3 :UInt64;
  retryAfterMs @4 :UInt32;
}

struct Frame {
  requestId @0 :Text;
  attempt @1 :UInt32;
  seq @2 :UInt32;
  kind @3 :Kind;
  payload @4 :Data;
  tokens @5 :UInt32;       # output tokens in this frame; total in the end
  count @6 :UInt32;        # end only: frames before it
  checksum @7 :UInt64;     # end only: over all payloads in order
  status @8 :UInt16;       # HTTP status of a plain service
  promptTokens @9 :UInt32;
  replayed @10 :Bool;      # end only: the key's earlier answer, not a new run

  enum Kind { chunk @0; end @1; failed @2; }
}

struct AttemptState {
  state @0 :State;
  detail @1 :Text;
  enum State { unseen @0; running @1; done @2; failed @3; tombstoned @4; }
}

interface Sink {
  # Where an agent pushes the frames of one attempt.
  push @0 (frame :Frame) -> ();
}

interface Peer {
  hello @0 (from :Hello) -> (reply :Hello);
  fetchConfig @1 (have :UInt64) -> (offset :UInt64, body :Text);
  holdBills @2 (owner :Text, bills :Text) -> ();
  releaseBills @3 (owner :Text, ids :List(Text)) -> ();
}

interface Agent extends(Peer) {
  dispatch @0 (request :Dispatch, sink :Sink) -> (verdict :Verdict);
  cancel @1 (requestId :Text, attempt :UInt32) -> (state :AttemptState);
  # Asks for an attempt's state; with `tombstone`, an unseen one is refused
  # for good before the answer.
  query @2 (requestId :Text, attempt :UInt32, tombstone :Bool) -> (state :AttemptState);
  settle @3 (requestIds :List(Text)) -> ();
}
