package registry

import (
	"sort"
	"time"

	"meadowhinge/schema"
)

// Reasons for refusing a lease, as sent in LeaseReply.Reason.
const (
	reasonLeaseDiffers  = "LEASE_DIFFERS"  // the proxy is configured with another lease duration
	reasonRegistryYoung = "REGISTRY_YOUNG" // this registry does not grant leases yet; also its reason for not being ready
	reasonLags          = "LAGS"           // the proxy has not applied the required revision
	reasonBufferFull    = "BUFFER_FULL"    // this registry already holds the maximum number of leases
)

// maxLeasesPerSource bounds the stored leases: this many for each of MaxSources sources. A restarted proxy can have a
// lease of its old and one of its new incarnation.
const maxLeasesPerSource = 2

// lease is one proxy process's permission to route by the configuration that it has applied.
type lease struct {
	appliedRevision uint64        // newest revision that the proxy reported as applied
	expiresAt       time.Duration // time of the lease's end, counted from the start of the registry
}

// revisionCommit is a committed revision and the time at which this registry received it.
type revisionCommit struct {
	revision    uint64
	committedAt time.Duration // counted from the start of the registry
}

// GrantsLeases reports whether this registry grants leases: it must have caught up, and have run for a lease. Before a
// restart it may have granted leases and set fences that it has since lost, so it waits until those leases have
// expired. It does not wait if the option WithoutLeases is set.
func (f *FleetState) GrantsLeases(now time.Duration) bool {
	return f.caughtUp && (f.options.WithoutLeases || now >= f.options.Lease)
}

// RenewLease grants or refuses a lease to a proxy, and records the revision that the proxy has applied. The reply's
// Reason is empty if the lease is granted.
func (f *FleetState) RenewLease(now time.Duration, request *schema.LeaseRequest) *schema.LeaseReply {
	f.sweep(now)
	f.newestKnownRevision = max(f.newestKnownRevision, f.committedRevision, request.Applied, request.Received)
	reply := &schema.LeaseReply{
		Committed: f.newestKnownRevision,
		FleetSize: uint32(f.LiveProxies(now)),
		Member:    f.options.MemberID,
	}
	f.CompareSetting("proxy "+request.Proxy, "lease",
		time.Duration(request.LeaseNanos).String(), f.options.Lease.String(), request.LeaseNanos != 0)
	key := proxyIncarnation{request.Proxy, request.Incarnation}
	existing := f.leases[key]
	if reply.Reason = f.leaseRefusal(now, request, existing); reply.Reason == "" {
		reply.Granted = true
		if existing == nil {
			existing = &lease{}
			f.leases[key] = existing
		}
		existing.expiresAt = now + f.options.Lease
	}
	// The applied revision counts even if the renewal is refused: an acknowledgement may be waiting for it.
	if existing != nil {
		f.traceApplied(now, request.Proxy, existing.appliedRevision, request.Applied)
		existing.appliedRevision = max(existing.appliedRevision, request.Applied)
	}
	return reply
}

// leaseRefusal returns the reason for refusing a lease, or an empty string if the lease is granted. existing is the
// unexpired lease of the same proxy process; nil for none.
func (f *FleetState) leaseRefusal(now time.Duration, request *schema.LeaseRequest, existing *lease) string {
	switch {
	// A proxy configured with a longer lease would keep using it after this registry considers it expired.
	case request.LeaseNanos != 0 && time.Duration(request.LeaseNanos) != f.options.Lease:
		return reasonLeaseDiffers
	case !f.GrantsLeases(now):
		return reasonRegistryYoung
	case request.Applied < f.requiredRevision:
		return reasonLags
	// A proxy without a lease must have applied the newest revision that any proxy may have used, so that a restart
	// never returns the fleet to an older configuration.
	case existing == nil && request.Applied < f.newestKnownRevision:
		return reasonLags
	case existing == nil && len(f.leases) >= maxLeasesPerSource*f.options.MaxSources:
		return reasonBufferFull
	}
	return ""
}

// SetFence forbids leases below a revision from now on, and returns the unexpired leases below it as laggards. If
// this registry does not grant leases yet, it sets no fence and the reply is not authoritative: the registry may have
// granted leases before a restart that it no longer knows of.
func (f *FleetState) SetFence(now time.Duration, revision uint64) *schema.FenceReply {
	f.sweep(now)
	if !f.GrantsLeases(now) {
		return &schema.FenceReply{Member: f.options.MemberID}
	}
	f.requiredRevision = max(f.requiredRevision, revision)
	reply := &schema.FenceReply{Member: f.options.MemberID, Authoritative: true}
	for key, existing := range f.leases {
		if existing.appliedRevision < revision {
			reply.Laggards = append(reply.Laggards, leaseMessage(now, key, existing))
		}
	}
	return reply
}

// Leases returns the leases that have not expired, sorted by proxy.
func (f *FleetState) Leases(now time.Duration) []*schema.Laggard {
	f.sweep(now)
	var listed []*schema.Laggard
	for key, existing := range f.leases {
		listed = append(listed, leaseMessage(now, key, existing))
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Proxy < listed[j].Proxy })
	return listed
}

// leaseMessage returns a lease as a wire message.
func leaseMessage(now time.Duration, key proxyIncarnation, existing *lease) *schema.Laggard {
	return &schema.Laggard{
		Proxy:          key.proxy,
		Incarnation:    key.incarnation,
		Applied:        existing.appliedRevision,
		LeaseLeftNanos: int64(existing.expiresAt - now),
	}
}
