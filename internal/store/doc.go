// Package store replicates the configuration of the mesh: a consensus core in the manner of Raft. Comments cite "the
// thesis": D. Ongaro, Consensus: Bridging Theory and Practice, Stanford 2014.
//
// # Layers
//
// Replica is the consensus core, a pure state machine. Events (a message, a tick, a finished write) and the
// time go in; a list of Actions (send, persist, reply) comes out. It does no I/O, reads no clock and starts
// no goroutine, so the daemon, the simulator and the tests' model run the same code.
//
// Server is the process around one Replica. It owns the write-ahead log (FileLog), the streams to the other
// members (peerStream) and the RPC API, on which the registry of the same machine is the only client.
//
// # Concurrency
//
// A Replica has no lock: its owner calls one method at a time. Server does so under Server.lock, and holds
// that lock through dispatchActions, so actions reach the disk writer and the peers in the order in which
// the replica gave them. Disk and network are never waited for under the lock.
//
// # What differs from Raft
//
//   - Configurations are small, so log and state are kept together: a replica's content is named by one Version
//     (term, sequence). Two replicas with the same version have the same state, members and outcomes, and contents
//     of one term are prefixes of one another. Where a Raft leader appends a no-op entry, BeginTerm makes its term
//     that of the complete content; the entries retain the versions under which they were admitted.
//   - A vote carries what the candidate lacks. A candidate therefore need not have the newest log to
//     win; it adopts the newest one among its votes (Raft's voters refuse instead).
//   - Leadership follows the order of members, not a race of random timeouts: the first member that
//     reaches a majority in both directions campaigns, and a later one gives way to it.
//   - A leader has the intermediate role leader-elect until enough members have its term's beginning on disk.
//   - Commit needs commitQuorum durable copies: a majority, and one more than the tolerated disk losses.
//
// # Where to read
//
//   - An event: Server.Run -> Server.step -> Replica.Step (step.go) or Replica.Tick (tick.go) -> Server.dispatchActions.
//   - An election: shouldCampaign (leadership.go) -> becomeCandidate (role.go) -> campaign, onVoteRequest,
//     onVote, countVotes (election.go) -> becomeLeaderElect -> onBeginTerm, onAppendReply,
//     advanceCommit (replication.go) -> becomeLeader.
//   - An append: Server.Propose (rpc.go) -> Replica.Propose, proposeAsLeader, admit (proposal.go) -> Decide (decide.go) ->
//     appendAsLeader, replicate (replication.go) -> persist (persist.go) -> Server.writeLoop
//     (disk_writer.go) -> Persisted -> advanceCommit -> commitTo (state.go) -> answerCommittedProposals.
//   - A read index: Server.ReadIndex (rpc.go) -> Replica.ReadIndex, readIndexAsLeader, sendConfirm, resolveReads (read_index.go).
//   - A membership change: onJoin (join.go) -> reconcileMembership, proposeMembership
//     (membership_change.go) -> applyMembership (membership.go). First start: bootstrap.go.
//   - A snapshot: persist and completeSnapshotRecord (persist.go) write it, FileLog.Write (wal.go) begins a new
//     file with it, sendBeginTerm (replication.go) and sendVote (election.go) send it, restoreSnapshot
//     (state.go) installs it.
package store
