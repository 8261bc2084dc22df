package simulator

// SeededFault is a fault put into the logic of the mesh on purpose, to show that a check detects it. The strings are
// names of subtests, which -run patterns use.
type SeededFault string

// The seeded faults of a mesh.
const (
	SeededNone SeededFault = ""

	// Registries, leases and members.
	SeededEarlyAcknowledgement  SeededFault = "early yes: acknowledged as soon as it is stable"
	SeededLeaseNeverExpires     SeededFault = "eternal lease: a proxy decides though its lease has run out"
	SeededSyncedWritesLost      SeededFault = "lying disk: says synced what power loss takes away"
	SeededWipedMemberInQuorum   SeededFault = "amnesia: a wiped seat counts at once"
	SeededPartialChange         SeededFault = "partial: the good half of an invalid change is taken"
	SeededYoungRegistryGrants   SeededFault = "young registry: grants and fences count from its first moment"
	SeededAdmitsBeforeLease     SeededFault = "hasty proxy: decides before it holds a lease"
	SeededNoRecovery            SeededFault = "no recovery: a seat stays down after the last fault"
	SeededNoKeyReservation      SeededFault = "no claims: a key is run by whoever is asked"
	SeededReservationsForgotten SeededFault = "forgets: a registry's word on keys counts from its first moment"
	SeededDeltaAfterPurge       SeededFault = "revives: who is behind what was let go gets the difference only"
	SeededStaleFeedReply        SeededFault = "haunts: an answer that a proxy asked for before it was killed is taken by its next life"
	SeededNoRegistryFailover    SeededFault = "stays: a proxy keeps to a registry however old its setup is"

	// Calls.
	SeededConnectionLostAsConnectFailed SeededFault = "false no: a lost link is taken for one that never opened"
	SeededSpuriousConnectFailed         SeededFault = "away: now and then a whole link is taken for one that never opened"
	SeededNoDuplicateDetection          SeededFault = "no memory: the worker's side forgets which requests it has seen"
	SeededTokenIgnored                  SeededFault = "lax workers: they run what does not bear their token"
	SeededDrainIgnored                  SeededFault = "unheard: a worker's word that it leaves is not taken"
	SeededAnyCallerAccepted             SeededFault = "false claims: a peer may speak for any caller"
	SeededCancelNotPropagated           SeededFault = "ignores: a proxy whose caller has left does not tell the worker's"
	SeededForgedChecksum                SeededFault = "forged: an altered answer carries a checksum that fits it"
	SeededNoRetryBudget                 SeededFault = "no budget: extra tries are without bound"
	SeededNoAuthorization               SeededFault = "open: versions and callers are not held against the setup"

	// Rollback guard and rollout control.
	SeededFailuresIgnored    SeededFault = "deaf brake: neither the proxies nor the duty look at failures"
	SeededAlwaysHealthy      SeededFault = "easy brake: the duty finds any version fine, and each part of a split core has one"
	SeededOversensitiveGuard SeededFault = "hair trigger: a few failures turn a version back"
)

// The seeded faults of a core without a mesh; RunCore also knows SeededSyncedWritesLost and SeededWipedMemberInQuorum.
const (
	SeededUncommittedAcknowledgement SeededFault = "unstable: acknowledged once the holder has taken it"
	SeededOperatorVersionsIgnored    SeededFault = "unordered: given versions are not compared"
	SeededNoTombstones               SeededFault = "no tombstones: what was dropped is forgotten at once"
	SeededNoReplacement              SeededFault = "alone: no successor takes the place of a machine that is gone"
	SeededStaleRead                  SeededFault = "stale read: a seat shows what it has without asking a majority"
	SeededConflictAccepted           SeededFault = "twice: a second content under one version is confirmed"
)
