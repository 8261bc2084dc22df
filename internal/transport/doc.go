// Package transport carries RPCs (drpc) between the processes of the mesh: over mutual TLS, or over plaintext
// connections that begin with a greeting, for networks that only these processes can reach.
//
// A Transport owns a process's credentials, which it reloads when their files change, its idle connections to
// other processes, and the counts of its traffic. The proxy, the registry and the store each make one at start.
// All methods are safe for concurrent use, except OnSent, which must be called before the first connection.
package transport
