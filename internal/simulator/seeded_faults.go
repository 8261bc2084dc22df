package simulator

// SeededFault is a fault put into the mesh's own logic, to show that a checker sees it.
type SeededFault string

// The plants.
const (
	SeededNone                  SeededFault = ""
	SeededEarlyAcknowledgement  SeededFault = "early yes: acknowledged as soon as it is stable"
	SeededEternalLease          SeededFault = "eternal lease: a proxy decides though its lease has run out"
	SeededLyingDisk             SeededFault = "lying disk: says synced what power loss takes away"
	SeededWipedMemberCounts     SeededFault = "amnesia: a wiped seat counts at once"
	SeededPartialChange         SeededFault = "partial: the good half of an invalid change is taken"
	SeededYoungRegistryGrants   SeededFault = "young registry: grants and fences count from its first moment"
	SeededDecidesBeforeLease    SeededFault = "hasty proxy: decides before it holds a lease"
	SeededNoRecovery            SeededFault = "no recovery: a seat stays down after the last fault"
	SeededNoKeyReservation      SeededFault = "no claims: a key is run by whoever is asked"
	SeededReservationsForgotten SeededFault = "forgets: a registry's word on keys counts from its first moment"
	SeededLostLinkAsUnopened    SeededFault = "false no: a lost link is taken for one that never opened"
	SeededNoDuplicateDetection  SeededFault = "no memory: the worker's side forgets which requests it has seen"
	SeededDeltaAfterPurge       SeededFault = "revives: who is behind what was let go gets the difference only"
	SeededStaleFeedReply        SeededFault = "haunts: an answer that a proxy asked for before it was killed is taken by its next life"
	SeededTokenIgnored          SeededFault = "lax workers: they run what does not bear their token"
	SeededDrainIgnored          SeededFault = "unheard: a worker's word that it leaves is not taken"
	SeededAnyCallerAccepted     SeededFault = "false claims: a peer may speak for any caller"
	SeededCancelNotPropagated   SeededFault = "ignores: a proxy whose caller has left does not tell the worker's"
	SeededForgedChecksum        SeededFault = "forged: an altered answer carries a checksum that fits it"
	SeededNoRetryBudget         SeededFault = "no budget: extra tries are without bound"
	SeededNoAuthorization       SeededFault = "open: versions and callers are not held against the setup"
	SeededFailuresIgnored       SeededFault = "deaf brake: neither the proxies nor the duty look at failures"
	SeededAlwaysHealthy         SeededFault = "easy brake: the duty finds any version fine, and each part of a split core has one"
	SeededHairTrigger           SeededFault = "hair trigger: a few failures turn a version back"
	SeededNoRegistryFailover    SeededFault = "stays: a proxy keeps to a registry however old its setup is"
	SeededSpuriousUnopened      SeededFault = "away: now and then a whole link is taken for one that never opened"
)

// Plants for it.
const (
	SeededUncommittedAcknowledgement SeededFault = "unstable: acknowledged once the holder has taken it"
	SeededOperatorVersionsIgnored    SeededFault = "unordered: given versions are not compared"
	SeededNoTombstones               SeededFault = "no tombstones: what was dropped is forgotten at once"
	SeededNoReplacement              SeededFault = "alone: no successor takes the place of a machine that is gone"
	SeededStaleRead                  SeededFault = "stale read: a seat shows what it has without asking a majority"
	SeededConflictAccepted           SeededFault = "twice: a second content under one version is confirmed"
)
