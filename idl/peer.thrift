// Control messages between balancers. Regenerate with `make idl`.
namespace py peerproto

struct TargetLoad {
  1: required i32 target,
  2: required i16 in_flight,
  3: required i16 queued,
  4: required i32 flows,
  // Bit 0 healthy, bit 1 draining, bit 2 ramping up.
  5: required i8 state,
  // Share of the slots in use over the last seconds, in thousandths.
  6: required i16 utilisation_permille,
}

// A member that certainly runs no more work; its echo is not needed for a lease.
struct EndedMember {
  1: required string host,
  2: required i64 incarnation,
}

struct Heartbeat {
  1: required string host,
  2: required i64 incarnation,
  3: required i64 epoch,
  // Sender's monotonic clock in microseconds.
  4: required i64 sent_us,
  // Newest `sent_us` received from the addressee; 0 withholds confirmation.
  5: required i64 echo_us,
  6: required i64 config_revision,
  7: required i64 config_digest,
  // Takes no new work and hands over its targets.
  8: required bool leaving,
  9: optional list<TargetLoad> loads,
  10: optional list<EndedMember> ended,
}

// Sent to one random member of each other failure domain.
struct DomainPing {
  1: required string host,
  2: required string domain,
  3: required i64 incarnation,
  4: required i64 config_revision,
  5: required i64 config_digest,
  6: required bool reply_wanted,
  7: optional list<TargetLoad> loads,
  // Unix time in milliseconds; an older ping proves nothing about the present.
  8: required i64 sent_ms,
}

struct ObjectVersion {
  1: required string name,
  // Revision of the store at which the held version was written.
  2: required i64 version,
}

struct StoredObject {
  1: required string name,
  2: required i64 version,
  3: required i64 revision,
  // JSON text; empty for a removed object.
  4: required string value,
  5: required bool removed,
}

struct SyncRequest {
  1: required string host,
  2: required list<ObjectVersion> versions,
}

struct SyncReply {
  1: required list<StoredObject> objects,
  2: required i64 revision,
}

struct RequestRecord {
  1: required i64 flow,
  2: required i32 request,
  // State of the request, see records.RecordState.
  3: required i8 state,
  4: required i8 reason,
  5: required bool idempotent,
  // Unix time in milliseconds until which the record is kept.
  6: required i64 keep_until_ms,
  // Host that runs the request or holds its answer; empty if none does.
  7: required string former,
}

struct QueuedRequest {
  1: required string caller_host,
  2: required i32 caller_port,
  3: required binary frame,
}

struct FlowEntry {
  1: required i64 flow,
  2: required i64 expires_ms,
}

struct Handover {
  1: required string host,
  2: required i64 incarnation,
  3: required i64 epoch,
  4: required i32 target,
  5: required list<RequestRecord> records,
  6: required list<QueuedRequest> queued,
  7: required list<FlowEntry> flows,
  // Unix time in milliseconds before which non-idempotent work must wait; 0: none.
  8: required i64 authority_ms,
  // Unix time in milliseconds until which a request may be known to a former home
  // only, whose records are missing; 0: none.
  9: required i64 incomplete_until_ms,
  // Tells a repeated message from a new one.
  10: required i64 serial,
  // Former home whose right may still hold; empty if none.
  11: required string former_host,
  12: required i64 former_incarnation,
}

// Tells the new home that a request still running at the former home ended.
struct Completion {
  1: required string host,
  2: required i64 incarnation,
  3: required i32 target,
  4: required i64 flow,
  5: required i32 request,
  6: required i8 state,
  7: required i8 reason,
}

// A change of the domain view that the sender wrote, pushed to the members at once.
// It carries the difference, since a view of 69 members does not fit a datagram.
struct ViewChanged {
  1: required string host,
  2: required i64 incarnation,
  3: required i64 base_version,
  4: required i64 version,
  5: required i64 revision,
  6: required i64 epoch,
  7: required string operation,
  8: required list<string> removed,
  // Added members as JSON text.
  9: required list<string> added,
}

struct Acknowledgement {
  1: required bool accepted,
  2: required i8 reason,
}

union Message {
  1: Heartbeat heartbeat,
  2: DomainPing domain_ping,
  3: SyncRequest sync_request,
  4: SyncReply sync_reply,
  5: Handover handover,
  6: Acknowledgement acknowledgement,
  7: Completion completion,
  8: ViewChanged view_changed,
}
