// Package store replicates the configuration of the mesh by a consensus algorithm derived from Raft. Comments cite
// "the thesis": D. Ongaro, Consensus: Bridging Theory and Practice, Stanford 2014.
//
// # Terms
//
//   - core: the group of replicas that replicate one configuration (Raft: the cluster).
//   - content: the state (the configuration items), the membership and the outcomes that a replica has.
//   - beginning of a term: the content with which a leader's term starts. The leader sends it as a BeginTerm.
//   - member: a replica that the current membership lists. Only members count for votes and commits.
//   - incarnation: a random number that identifies one data folder. A folder that was lost and comes back empty gets
//     another one, and is thereby another replica.
//   - founder: a member of the first membership of the core. It is bound to its data folder once a membership lists the
//     folder's incarnation.
//   - learner: a replica that has asked to join. The leader replicates to it, but it does not count for votes or commits.
//   - change: a write of configuration items, accepted as a whole or refused as a whole, under an id of its writer.
//   - outcome: the leader's ruling on a change. It is replicated in the change's entry.
//   - operator version: a version number that the operator gives an item; see selectByOperatorVersion.
//   - tombstone: what is stored in place of a deleted item.
//
// # Layers
//
// Replica is the consensus algorithm as a deterministic state machine. Each call passes it an event (a message, a tick,
// a finished write) and the time, and returns a list of Actions (send, persist, reply). It does no I/O, reads no clock
// and starts no goroutine, so the daemon, the simulator and the tests' model run the same code.
//
// Server is the process around one Replica. It owns the write-ahead log (FileLog), the streams to the other replicas
// (peerStream) and the RPC API. The API's only client is the registry of the same machine, except for Deliver, which the
// other replicas call.
//
// # Concurrency
//
// A Replica has no lock: its owner calls one method at a time. Server does so under Server.lock, and holds
// that lock through dispatchActions, so actions reach the disk writer and the peers in the order in which
// the replica gave them. Disk and network are never waited for under the lock.
//
// # What differs from Raft
//
//   - Configurations are small, so log and state are kept together: one Version (term, sequence) identifies the
//     whole content of a replica. Two replicas with the same version have the same state, members and outcomes.
//     Of two contents of one term, one is a prefix of the other.
//   - A Raft leader appends a no-op entry under its new term. Here BeginTerm sets the term of the complete content
//     instead; the entries retain the versions under which they were admitted.
//   - A vote carries the entries or the snapshot that the candidate lacks. A candidate therefore need not have the
//     newest log to win; it adopts the newest one among its votes. In Raft, voters refuse such a candidate instead.
//   - Leadership follows the order of members instead of random election timeouts: the first member that
//     reaches a majority in both directions campaigns, and any later member steps down for it.
//   - A new leader has the intermediate role leader-elect until a commit quorum has the beginning of its term on disk.
//   - A commit needs commitQuorum durable copies: at least a majority, and at least one more than the tolerated disk
//     losses, if there are that many members.
//
// # Where to read
//
//   - A tick: Run -> Server.runTimer -> Server.step (server.go) -> Replica.Tick (tick.go) -> Server.dispatchActions.
//   - A message: Server.Deliver (peer_stream.go) -> Server.step -> Replica.Step, dispatchMessage (step.go) ->
//     Server.dispatchActions.
//   - An election: shouldCampaign (leadership.go) -> becomeCandidate (role.go) -> campaign, onVoteRequest,
//     onVote, countVotes (election.go) -> becomeLeaderElect -> onBeginTerm, onAppendReply,
//     advanceCommit (replication.go) -> becomeLeader.
//   - An append: Server.Propose (rpc.go) -> Replica.Propose, proposeAsLeader, admit (proposal.go) ->
//     Decide (decide.go) -> appendAsLeader, replicate (replication.go) -> persist (persist.go) -> Server.writeLoop
//     (disk_writer.go) -> Persisted -> advanceCommit -> commitTo (state.go) -> answerCommittedProposals.
//   - A read index: Server.ReadIndex (rpc.go) -> Replica.ReadIndex, readIndexAsLeader, sendConfirm,
//     resolveReads (read_index.go).
//   - A membership change: onJoin (join.go) -> reconcileMembership, proposeMembership
//     (membership_change.go) -> applyMembership (membership.go). First start: bootstrap.go.
//   - A snapshot: persist and completeSnapshotRecord (persist.go) write it, FileLog.Write (wal.go) begins a new
//     file with it, sendBeginTerm (replication.go) and sendVote (election.go) send it, restoreSnapshot
//     (state.go) installs it.
package store
