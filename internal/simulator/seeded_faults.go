package simulator

// SeededFault is a fault put into the logic of the mesh on purpose, to show that a check detects it. Its text is the
// name of a subtest.
type SeededFault string

// The seeded faults of a mesh. SeededNone leaves the logic as it is.
const (
	SeededNone SeededFault = ""

	// Registries, leases and members.
	SeededEarlyAcknowledgement  SeededFault = "early acknowledgement: a change is acknowledged once committed, without a fence"
	SeededLeaseNeverExpires     SeededFault = "lease never expires: a proxy decides calls after its lease has expired"
	SeededSyncedWritesLost      SeededFault = "synced writes lost: a power loss drops records that the disk reported as synced"
	SeededWipedMemberInQuorum   SeededFault = "wiped member in quorum: a member with a wiped disk counts in the quorum at once"
	SeededPartialChange         SeededFault = "partial change: the valid half of an invalid change is accepted"
	SeededYoungRegistryGrants   SeededFault = "young registry: a restarted registry grants leases and confirms fences at once"
	SeededAdmitsBeforeLease     SeededFault = "admits before lease: a proxy decides calls before it holds a lease"
	SeededNoRecovery            SeededFault = "no recovery: two members crash when a late fault of the core ends, and stay down"
	SeededNoKeyReservation      SeededFault = "no key reservation: a proxy runs calls under a key without reserving it"
	SeededReservationsForgotten SeededFault = "reservations forgotten: a restarted registry is authoritative on key reservations at once"
	SeededDeltaAfterPurge       SeededFault = "delta after purge: a copy that missed a purge of tombstones gets only the changes"
	SeededStaleFeedReply        SeededFault = "stale feed reply: a restarted proxy applies a reply to a request of its earlier run"
	SeededNoRegistryFailover    SeededFault = "no registry failover: a proxy stays with a registry however stale that is"

	// Calls.
	SeededConnectionLostAsConnectFailed SeededFault = "connection lost as connect failed: the loss of an open connection is reported as never opened"
	SeededSpuriousConnectFailed         SeededFault = "spurious connect failed: a working connection is sometimes reported as never opened"
	SeededNoDuplicateDetection          SeededFault = "no duplicate detection: a runner remembers only one request"
	SeededTokenIgnored                  SeededFault = "token ignored: workers run requests without their token"
	SeededDrainIgnored                  SeededFault = "drain ignored: the proxy does not learn that a worker is draining"
	SeededAnyCallerAccepted             SeededFault = "any caller accepted: a peer may send requests for a caller that it is not authorized for"
	SeededCancelNotPropagated           SeededFault = "cancel not propagated: a proxy does not forward its caller's cancellation"
	SeededForgedChecksum                SeededFault = "forged checksum: a corrupted response carries a matching checksum"
	SeededNoRetryBudget                 SeededFault = "no retry budget: retries are unbounded"
	SeededNoAuthorization               SeededFault = "no authorization: proxies miss changes of the allowed versions and callers"

	// Rollback guard and rollout control.
	SeededFailuresIgnored    SeededFault = "failures ignored: neither the proxies nor the rollout controller react to failures"
	SeededAlwaysHealthy      SeededFault = "always healthy: each part of a partitioned core has a controller, which finds every version healthy"
	SeededOversensitiveGuard SeededFault = "oversensitive guard: a few failures roll a version back"
)

// The seeded faults of a core without a mesh. RunCore also supports SeededSyncedWritesLost and
// SeededWipedMemberInQuorum.
const (
	SeededUncommittedAcknowledgement SeededFault = "uncommitted acknowledgement: a change is acknowledged once appended, before it is committed"
	SeededOperatorVersionsIgnored    SeededFault = "operator versions ignored: changes are not ordered by operator version"
	SeededNoTombstones               SeededFault = "no tombstones: a member keeps only one tombstone"
	SeededNoReplacement              SeededFault = "no replacement: no new member replaces a removed one"
	SeededStaleRead                  SeededFault = "stale read: a member serves a read without a read index"
	SeededCopiesDecidedAnew          SeededFault = "copies decided anew: each copy of a call is a change of its own"
	SeededConflictAccepted           SeededFault = "conflict accepted: a second content under one operator version is acknowledged"
)
