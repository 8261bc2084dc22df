// Package store keeps the setup: admission under an epoch, majority sync, repair, and who the
// members are that do so.
//
// Replica is a step function: an event and the time go in, actions come out. It does no
// I/O, so the daemon, the simulator and the model all run this same code.
package store
