package config

// Service lists the versions of a service that may be called, and its callers. Operators write it. If both Versions
// and Fallback are left out, a snapshot has those of the service's DiscoveredVersions.
type Service struct {
	Versions []string `json:"versions,omitempty"` // versions that may be called
	Fallback string   `json:"fallback,omitempty"` // version that is called when no flag picks another; must be one of Versions
	Callers  []string `json:"callers,omitempty"`  // names of the callers that may call the service; nil means that anyone may

	allowedVersions map[string]bool // set of Versions
	allowedCallers  map[string]bool // set of Callers
}

// AllowsVersion reports whether a version may be called at all.
func (s *Service) AllowsVersion(version string) bool { return s.allowedVersions[version] }

// AllowsCaller reports whether a caller may call the service.
func (s *Service) AllowsCaller(caller string) bool {
	return s.Callers == nil || s.allowedCallers[caller]
}

// DiscoveredVersions has the versions of a service for which operators listed none. The rollout controller writes it
// under the service's name: first with the version that the service's workers report, then with the versions that
// release plans bring in.
type DiscoveredVersions struct {
	Versions []string `json:"versions"` // versions that may be called
	Fallback string   `json:"fallback"` // version that is called when no flag picks another; must be one of Versions
}
