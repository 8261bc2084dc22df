package release

import (
	"maps"
	"slices"

	"meadowhinge/internal/config"
)

// initialVersionSteps returns the steps that set the first version of each service whose configuration lists
// none. The version of most registered workers becomes the fallback, until a plan replaces it.
func initialVersionSteps(compiled *config.Snapshot, workers map[[2]string]WorkerPool) []Step {
	var steps []Step
	for _, name := range slices.Sorted(maps.Keys(compiled.Services)) {
		service := compiled.Services[name]
		if service.Versions != nil || service.Fallback != "" || compiled.DiscoveredVersions[name] != nil {
			continue
		}
		if version := mostCommonVersion(name, workers); version != "" {
			steps = append(steps, initialVersionStep(compiled, name, version))
		}
	}
	return steps
}

// mostCommonVersion returns the version with the most workers of a service, and the first by name if several have
// equally many. It is empty if the service has no workers.
func mostCommonVersion(service string, workers map[[2]string]WorkerPool) string {
	version, mostWorkers := "", 0
	for key, pool := range workers {
		if key[0] == service && (pool.Workers > mostWorkers || pool.Workers == mostWorkers && key[1] < version) {
			version, mostWorkers = key[1], pool.Workers
		}
	}
	return version
}

// initialVersionStep returns the step that makes a version the only one of a service, and its fallback.
func initialVersionStep(compiled *config.Snapshot, service, version string) Step {
	step := Step{
		Name:      "standing-" + service,
		Message:   "fallback version taken from worker registrations",
		LogFields: []any{"service", service, "version", version},
	}
	flagKey := config.VersionFlagKey(service)
	// Encoding the bodies cannot fail, because they hold only strings, integers and booleans.
	_ = step.appendItem(kindDiscoveredVersions, service, newDiscoveredVersions(version, version))
	// A flag that an operator wrote earlier is kept.
	if compiled.Flags.Flags[flagKey] == nil {
		_ = step.appendItem(kindFlag, flagKey, newRolloutFlag(compiled, service, version, version, 0))
	}
	return step
}

// usesDiscoveredVersions reports whether a service gets its versions from a discovered-versions item rather
// than from its own configuration.
func usesDiscoveredVersions(compiled *config.Snapshot, service string) bool {
	definition, discovered := compiled.Services[service], compiled.DiscoveredVersions[service]
	return definition != nil && discovered != nil && definition.Fallback == discovered.Fallback &&
		slices.Equal(definition.Versions, discovered.Versions)
}

// newDiscoveredVersions returns an item body that lists the fallback version, and the other version if it
// differs.
func newDiscoveredVersions(fallback, version string) config.DiscoveredVersions {
	versions := []string{fallback}
	if version != fallback {
		versions = append(versions, version)
	}
	return config.DiscoveredVersions{Versions: versions, Fallback: fallback}
}
