package proxy

import (
	"context"
	"slices"
	"time"

	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// registryClient is the RPC client of the registry at an address.
func (s *Server) registryClient(ctx context.Context, address string) schema.DRPCRegistryClient {
	return schema.NewDRPCRegistryClient(s.transport.Conn(ctx, address))
}

// registryAddresses lists where registries may be reached: the addresses that they announced, in the order of
// their member IDs, then the seeds.
func (s *Server) registryAddresses() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	// Calls that reserve a key come here, hence no iterator or closure: either would allocate.
	var memberIDs []string
	for memberID := range s.coreMembers {
		memberIDs = append(memberIDs, memberID)
	}
	slices.Sort(memberIDs)
	var addresses []string
	seen := map[string]bool{}
	for _, memberID := range memberIDs {
		if address := s.coreMembers[memberID].Address; !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range options.SplitList(s.currentOptions().Seeds) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// recordCoreMembers records the registries that an answer lists; a later incarnation replaces an earlier one. The
// caller holds s.lock.
func (s *Server) recordCoreMembers(members []*schema.CoreMember) {
	for _, member := range members {
		if existing := s.coreMembers[member.Id]; existing == nil || member.Incarnation > existing.Incarnation {
			s.coreMembers[member.Id] = member
		}
	}
}

// nameHashFactor is the factor of the hash by which a proxy's name selects its registry. Another factor would move
// proxies between registries during an update.
const nameHashFactor = 31

// currentRegistry is the address of the registry that this proxy polls and reports to, empty if there is none, and
// the rotation that selected it. Without a lease there is no rotation, and 0 is returned for it.
func (s *Server) currentRegistry() (string, int) {
	if s.servesStale() {
		s.lock.Lock()
		defer s.lock.Unlock()
		return s.registrySelector.Current(), 0
	}
	addresses := s.registryAddresses()
	s.lock.Lock()
	defer s.lock.Unlock()
	// Names spread the proxies over the registries; the rotation moves on when a registry fails.
	return addresses[(nameHash(s.initialOptions.Name)+s.registryRotation)%len(addresses)], s.registryRotation
}

// nameHash is the hash of a proxy's name, not negative.
func nameHash(name string) int {
	hash := 0
	for _, char := range name {
		hash = hash*nameHashFactor + int(char)
	}
	if hash < 0 {
		return -hash
	}
	return hash
}

// switchRegistry moves on to the next registry, unless another goroutine has left the one of rotation already.
func (s *Server) switchRegistry(rotation int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.registryRotation == rotation {
		s.registryRotation++
	}
}

// leaveLaggingRegistry leaves a registry that has not sent a configuration which another proxy already uses.
func (s *Server) leaveLaggingRegistry() {
	_, rotation := s.currentRegistry()
	s.switchRegistry(rotation)
}

// wake wakes the loop that waits on signal, without waiting for it.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// sleepLeaseFraction sleeps for the lease's duration divided by divisor, or until ctx ends.
func (s *Server) sleepLeaseFraction(ctx context.Context, divisor time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(s.leaseDuration / divisor):
	}
}
