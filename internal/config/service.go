package config

// Service lists which versions of a service may be called, and by whom. Operators write it. Versions and
// Fallback may be left out: they are then those of the service's DiscoveredVersions.
type Service struct {
	Versions []string `json:"versions,omitempty"`
	Fallback string   `json:"fallback,omitempty"` // the version called when no flag picks another; must be one of Versions
	Callers  []string `json:"callers,omitempty"`  // left out: anyone may call

	allowedVersions map[string]bool
	allowedCallers  map[string]bool
}

// AllowsVersion tells whether a version may be called at all.
func (s *Service) AllowsVersion(version string) bool { return s.allowedVersions[version] }

// AllowsCaller tells whether a caller may call the service.
func (s *Service) AllowsCaller(caller string) bool {
	return s.Callers == nil || s.allowedCallers[caller]
}

// DiscoveredVersions is the versions of a service for which operators listed none: those that its workers
// report, as release plans have moved them since. The rollout controller writes it, under the service's name.
type DiscoveredVersions struct {
	Versions []string `json:"versions"`
	Fallback string   `json:"fallback"` // must be one of Versions
}
