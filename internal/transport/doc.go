// Package transport carries drpc RPCs between the processes of the mesh. Connections use mutual TLS. On networks that
// only these processes can reach they may be plaintext instead; each then begins with a greeting that names the peer.
//
// A Transport owns a process's credentials, its idle connections to other processes and its traffic counters. It
// reloads the credentials when their files change. The proxy, the registry and the store each create one at startup.
// All methods are safe for concurrent use, except OnSent, which must be called before the first connection.
package transport
