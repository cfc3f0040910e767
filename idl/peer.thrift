// Control messages between balancers. Regenerate with `make idl`.
namespace py peerproto

// Load of a target. In a DomainPing it is that of all targets of a service in the
// sender's domain: `target` is the id of the service, `flows` the number of slots,
// `in_flight` is 0, and `state` is 1.
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

// A member that has announced its end and runs no more requests. Its echo is not needed
// for a lease.
struct EndedMember {
  1: required string host,
  2: required i64 incarnation,
}

// Sent to each other member of the view at intervals, and as an answer to a heartbeat
// from a host outside the view.
struct Heartbeat {
  1: required string host,
  2: required i64 incarnation,
  3: required i64 epoch,
  // Sender's monotonic clock in microseconds.
  4: required i64 sent_us,
  // Newest `sent_us` received from the receiver of this heartbeat, to which it grants a
  // lease; 0 grants none.
  5: required i64 echo_us,
  6: required i64 config_revision,
  7: required i64 config_digest,
  // The sender is stopping: it takes no new work and hands over its targets.
  8: required bool leaving,
  // Loads of the targets that the sender owns; absent in heartbeats between reports.
  9: optional list<TargetLoad> loads,
  // Members of the view that have ended, as far as the sender knows.
  10: optional list<EndedMember> ended,
}

// Sent every second to one random member of each other failure domain, and as a reply.
struct DomainPing {
  1: required string host,
  2: required string domain,
  3: required i64 incarnation,
  4: required i64 config_revision,
  5: required i64 config_digest,
  6: required bool reply_wanted,
  7: optional list<TargetLoad> loads,
  // Unix time in milliseconds. An old ping is ignored: it does not show that the
  // sender's domain is reachable now.
  8: required i64 sent_ms,
}

// An object that the sender of a SyncRequest has.
struct ObjectVersion {
  1: required string name,
  // Revision of the store at which the sender's version of the object was written.
  2: required i64 version,
}

// An object of the platform's store.
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

// What a target's owner records of a request, for the next owner.
struct RequestRecord {
  1: required i64 flow,
  2: required i32 request,
  // State of the request, see requestrecords.RecordState.
  3: required i8 state,
  4: required i8 reason,
  5: required bool idempotent,
  // Unix time in milliseconds until which the record is kept.
  6: required i64 keep_until_ms,
  // Host that still runs the request or has its answer; empty if none does.
  7: required string former,
}

// A request that has not started, with the address of its caller.
struct QueuedRequest {
  1: required string caller_host,
  2: required i32 caller_port,
  3: required binary frame,
}

// An open flow; `expires_ms` is Unix time in milliseconds.
struct FlowEntry {
  1: required i64 flow,
  2: required i64 expires_ms,
}

// Gives the state of a target to its new owner.
struct Handover {
  1: required string host,
  2: required i64 incarnation,
  3: required i64 epoch,
  4: required i32 target,
  5: required list<RequestRecord> records,
  6: required list<QueuedRequest> queued,
  7: required list<FlowEntry> flows,
  // Unix time in milliseconds before which non-idempotent requests must wait, 0 if
  // they need not wait.
  8: required i64 authority_ms,
  // Unix time in milliseconds until which a request may be known only to a previous
  // owner whose records are missing, 0 if no records are missing.
  9: required i64 incomplete_until_ms,
  // Distinguishes a new handover from a repeated message.
  10: required i64 serial,
  // Previous owner that may still have the right to run requests; empty if none.
  11: required string former_host,
  12: required i64 former_incarnation,
}

// Reports to the new owner that a request has ended that still ran at the previous one.
struct Completion {
  1: required string host,
  2: required i64 incarnation,
  3: required i32 target,
  4: required i64 flow,
  5: required i32 request,
  6: required i8 state,
  7: required i8 reason,
}

// A change of the domain view, sent by its writer to all members at once. It has only
// the difference, since a view of 69 members does not fit into a datagram.
struct ViewChanged {
  1: required string host,
  2: required i64 incarnation,
  // Version of the stored view that the difference applies to.
  3: required i64 base_version,
  // Version, revision, and epoch of the new view.
  4: required i64 version,
  5: required i64 revision,
  6: required i64 epoch,
  7: required string operation,
  // Hosts that are no longer members.
  8: required list<string> removed,
  // Added members as JSON text.
  9: required list<string> added,
}

// Answers a handover or a completion.
struct Acknowledgement {
  1: required bool accepted,
  // Value of reasons.Reason.
  2: required i8 reason,
}

// What a control message carries.
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
