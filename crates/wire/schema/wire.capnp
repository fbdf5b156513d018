@0xd3c1a5f0b7e24c19;
# RPC between currantbank's processes.  See docs/design/wire.md.

struct Hello {
  # State that a process reports; both sides of a heartbeat send one.
  instance @0 :Text;       # instance id, regenerated at each start
  room @1 :Text;           # failure domain
  configOffset @2 :UInt64; # next offset read from the configuration stream
  logAgeMs @3 :UInt64;     # time since the last successful read of the log, ms
  leaving @4 :Bool;        # shutting down, takes no new work
  endpoint @5 :Text;       # empty for an entry
  service @6 :Text;        # plain service behind the endpoint, or empty
  versions @7 :List(Text); # loaded versions, "model@version"
  running @8 :UInt32;      # attempts that are running
  queued @9 :UInt32;       # attempts in the engine's queue
  slots @10 :UInt32;       # attempts that the engine runs concurrently
  tokenUs @11 :UInt32;     # measured time per token, microseconds
  region @12 :Text;
  address @13 :Text;       # address that peers connect to
}

struct Dispatch {
  requestId @0 :Text;
  attempt @1 :UInt32;
  team @2 :Text;
  model @3 :Text;
  version @4 :Text;
  service @5 :Text;        # plain service name, or empty
  body @6 :Data;           # complete request body for the endpoint
  path @7 :Text;           # request path at a plain service
  idempotent @8 :Bool;
  key @9 :Text;            # idempotency key, empty if none
  deadlineMs @10 :UInt32;  # time until the deadline, ms
  configOffset @11 :UInt64;
  priorSteps @12 :Text;    # bill lines of earlier cascade steps, as JSON
  resumeText @13 :Text;    # text already delivered to the caller
  resumeTokens @14 :UInt32;
  priority @15 :UInt8;
  continues @16 :Bool;     # continues a session that started on this version
  owner @17 :Text;         # instance responsible for the bill
  costMicros @18 :UInt64;  # micro-euros per 1,000 tokens, or per call of a service
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
  tokens @5 :UInt32;       # output tokens in a chunk; their total in an end frame
  count @6 :UInt32;        # end only: number of chunks before it
  checksum @7 :UInt64;     # end only: over all chunk payloads in order
  status @8 :UInt16;       # HTTP status of a plain service
  promptTokens @9 :UInt32;
  replayed @10 :Bool;      # end only: stored answer of the idempotency key, no new run

  enum Kind { chunk @0; end @1; failed @2; }
}

struct AttemptState {
  state @0 :State;
  detail @1 :Text;
  enum State { unseen @0; running @1; done @2; failed @3; tombstoned @4; }
}

interface Sink {
  # Receives the frames of one attempt from an agent.
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
  # Returns an attempt's state; with `tombstone`, an unseen attempt is first
  # refused permanently.
  query @2 (requestId :Text, attempt :UInt32, tombstone :Bool) -> (state :AttemptState);
  settle @3 (requestIds :List(Text)) -> ();
}
