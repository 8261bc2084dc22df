package registry

import (
	"sort"
	"time"

	"meadowhinge/schema"
)

// Why a lease is refused: LeaseReply.Reason, on the wire.
const (
	reasonLeaseDiffers  = "LEASE_DIFFERS"  // the proxy is configured with another lease duration
	reasonRegistryYoung = "REGISTRY_YOUNG" // this registry grants no leases yet; also its reason for not being ready
	reasonLags          = "LAGS"           // the proxy has not applied the revision that is required
	reasonBufferFull    = "BUFFER_FULL"    // this registry has as many leases as it keeps at most
)

// maxLeasesPerSource is how many leases, of a proxy's old and new incarnations, are kept for each source.
const maxLeasesPerSource = 2

// lease is the right of one proxy process to decide by its configuration.
type lease struct {
	appliedRevision uint64 // the newest that the proxy reported to have applied
	expiresAt       time.Duration
}

// revisionCommit is when this registry first had a committed revision.
type revisionCommit struct {
	revision    uint64
	committedAt time.Duration
}

// GrantsLeases tells whether this registry grants leases. One that has just started may have granted leases and set fences of
// which it knows nothing any more, so it waits until those leases have expired.
func (f *FleetState) GrantsLeases(now time.Duration) bool {
	return f.caughtUp && (f.options.WithoutLeases || now >= f.options.Lease)
}

// RenewLease grants or refuses a lease to a proxy, and records the revision that the proxy has applied.
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
	// The applied revision counts even where the lease is refused: an acknowledgement may be waiting for it.
	if existing != nil {
		f.traceApplied(now, request.Proxy, existing.appliedRevision, request.Applied)
		existing.appliedRevision = max(existing.appliedRevision, request.Applied)
	}
	return reply
}

// leaseRefusal is why a proxy gets no lease, or empty if it gets one. existing is the lease that it has, nil for none.
func (f *FleetState) leaseRefusal(now time.Duration, request *schema.LeaseRequest, existing *lease) string {
	switch {
	// A proxy that is configured with a longer lease than this registry would go on deciding after the lease's end here.
	case request.LeaseNanos != 0 && time.Duration(request.LeaseNanos) != f.options.Lease:
		return reasonLeaseDiffers
	case !f.GrantsLeases(now):
		return reasonRegistryYoung
	case request.Applied < f.requiredRevision:
		return reasonLags
	// A proxy without a lease starts from the newest revision that any proxy may have used, so that a restart never makes the
	// fleet fall back to an older one.
	case existing == nil && request.Applied < f.newestKnownRevision:
		return reasonLags
	case existing == nil && len(f.leases) >= maxLeasesPerSource*f.options.MaxSources:
		return reasonBufferFull
	}
	return ""
}

// SetFence forbids leases below a revision from now on, and lists the leases below it that have not expired. The reply is
// authoritative only if this registry grants leases; otherwise it may have granted some that it does not know of.
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

// Leases lists the leases that have not expired, by proxy.
func (f *FleetState) Leases(now time.Duration) []*schema.Laggard {
	f.sweep(now)
	var listed []*schema.Laggard
	for key, existing := range f.leases {
		listed = append(listed, leaseMessage(now, key, existing))
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Proxy < listed[j].Proxy })
	return listed
}

func leaseMessage(now time.Duration, key proxyIncarnation, existing *lease) *schema.Laggard {
	return &schema.Laggard{
		Proxy:          key.proxy,
		Incarnation:    key.incarnation,
		Applied:        existing.appliedRevision,
		LeaseLeftNanos: int64(existing.expiresAt - now),
	}
}
