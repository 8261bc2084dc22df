package proxy

import (
	"context"
	"slices"
	"time"

	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// registryClient returns an RPC client for the registry at address.
func (s *Server) registryClient(ctx context.Context, address string) schema.DRPCRegistryClient {
	return schema.NewDRPCRegistryClient(s.transport.Conn(ctx, address))
}

// registryAddresses returns the distinct addresses of registries: first the announced ones in the order of their member
// IDs, then the seeds.
func (s *Server) registryAddresses() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	// This runs for each call that reserves an idempotency key. Iterators and closures are avoided because they
	// allocate.
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

// recordCoreMembers records the registries that a reply lists. A higher incarnation of a member replaces a lower one.
// The caller holds s.lock.
func (s *Server) recordCoreMembers(members []*schema.CoreMember) {
	for _, member := range members {
		if existing := s.coreMembers[member.Id]; existing == nil || member.Incarnation > existing.Incarnation {
			s.coreMembers[member.Id] = member
		}
	}
}

// nameHashFactor is the multiplier of nameHash. Another value would assign proxies to different registries in the middle
// of a rolling update.
const nameHashFactor = 31

// currentRegistry returns the address of the registry that this proxy polls and reports to, empty if there is none, and
// the rotation that selected it. Without a lease there is no rotation, and the second result is 0.
func (s *Server) currentRegistry() (string, int) {
	if s.servesStale() {
		s.lock.Lock()
		defer s.lock.Unlock()
		return s.registrySelector.Current(), 0
	}
	addresses := s.registryAddresses()
	s.lock.Lock()
	defer s.lock.Unlock()
	// The hash of the name spreads the proxies over the registries. The rotation skips registries that failed.
	return addresses[(nameHash(s.initialOptions.Name)+s.registryRotation)%len(addresses)], s.registryRotation
}

// nameHash returns the polynomial hash of a proxy name. The result is not negative.
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

// switchRegistry moves on to the next registry, unless another goroutine has already left the registry of rotation.
func (s *Server) switchRegistry(rotation int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.registryRotation == rotation {
		s.registryRotation++
	}
}

// leaveLaggingRegistry leaves the current registry after another proxy was found to use a configuration that this
// registry has not sent yet.
func (s *Server) leaveLaggingRegistry() {
	_, rotation := s.currentRegistry()
	s.switchRegistry(rotation)
}

// wake signals the loop that waits on signal. It does not block; a pending signal absorbs further ones.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// sleepLeaseFraction sleeps for the lease duration divided by divisor, or until ctx ends.
func (s *Server) sleepLeaseFraction(ctx context.Context, divisor time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(s.leaseDuration / divisor):
	}
}
