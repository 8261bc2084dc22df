package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"meadowhinge/internal/flag"
	"meadowhinge/schema"
)

// The kinds of item besides KindPurged.
const (
	kindService            = "service"
	kindDiscoveredVersions = "standing"
	kindRoute              = "route"
	kindLimits             = schema.LimitsKind
	kindFlag               = "flag"
	kindSegment            = "segment"
	kindRelease            = "release"
	kindProgress           = "progress"
	kindStop               = "stop"
	kindPolicy             = "policy"
)

// itemPath is the path of an item in the faults that operators see.
func itemPath(kind, name string) string { return kind + "." + name }

// faultReporter records a fault at its path.
type faultReporter func(path, format string, values ...any)

// faultList gathers faults.
type faultList []*schema.FieldError

// add records a fault at its path.
func (l *faultList) add(path, format string, values ...any) {
	*l = append(*l, &schema.FieldError{Path: path, Reason: fmt.Sprintf(format, values...)})
}

// decodedItem is an item as decoded, with what is wrong with it by itself. It never changes once made, so
// snapshots share it.
type decodedItem struct {
	item   *schema.Item
	value  any // a pointer to the kind's type; nil if the body could not be decoded
	faults faultList
}

// matches tells whether the item was decoded from this very item, or from one with the same version and content.
func (d *decodedItem) matches(item *schema.Item) bool {
	source := d.item
	if source == item {
		return true
	}
	return source.Version.GetSequence() == item.Version.GetSequence() &&
		source.Version.GetTerm() == item.Version.GetTerm() &&
		source.OperatorVersion == item.OperatorVersion &&
		bytes.Equal(source.Body, item.Body)
}

// itemKind is how items of a kind are decoded, and how they are added to a snapshot.
type itemKind struct {
	decode func(item *schema.Item, add faultReporter) any
	addTo  func(snapshot *Snapshot, decoded *decodedItem)
}

// newItemKind makes a kind of items with a body of type V. finish fills in and checks a value by itself;
// addTo adds it to a snapshot.
func newItemKind[V any](
	finish func(item *schema.Item, value *V, add faultReporter),
	addTo func(snapshot *Snapshot, name string, value *V, item *schema.Item),
) itemKind {
	return itemKind{
		decode: func(item *schema.Item, add faultReporter) any {
			value := new(V)
			if err := decodeStrict(item.Body, value); err != nil {
				add(itemPath(item.Kind, item.Name), "%v", err)
				return nil
			}
			finish(item, value, add)
			return value
		},
		addTo: func(snapshot *Snapshot, decoded *decodedItem) {
			addTo(snapshot, decoded.item.Name, decoded.value.(*V), decoded.item)
		},
	}
}

// noFinish is for kinds whose values need no check by themselves.
func noFinish[V any](*schema.Item, *V, faultReporter) {}

// notAdded is for kinds that addTo does not add: routes, which are kept in order from snapshot to snapshot,
// and purges, which count in a State only.
func notAdded[V any](*Snapshot, string, *V, *schema.Item) {}

// itemKinds are all kinds of item.
var itemKinds = map[string]itemKind{
	kindService: newItemKind(
		func(_ *schema.Item, service *Service, _ faultReporter) {
			service.allowedVersions = stringSet(service.Versions)
			service.allowedCallers = stringSet(service.Callers)
		},
		func(snapshot *Snapshot, name string, service *Service, _ *schema.Item) {
			snapshot.Services[name] = service
		}),
	kindDiscoveredVersions: newItemKind(
		func(item *schema.Item, discovered *DiscoveredVersions, add faultReporter) {
			if !slices.Contains(discovered.Versions, discovered.Fallback) {
				add(itemPath(kindDiscoveredVersions, item.Name)+".fallback", "version %q is not in versions", discovered.Fallback)
			}
		},
		func(snapshot *Snapshot, name string, discovered *DiscoveredVersions, _ *schema.Item) {
			snapshot.DiscoveredVersions[name] = discovered
		}),
	kindRoute: newItemKind(
		func(item *schema.Item, route *Route, add faultReporter) { route.finish(item, add) },
		notAdded[Route]),
	kindLimits: newItemKind(
		func(item *schema.Item, limits *Limits, add faultReporter) { limits.applyDefaults(item, add) },
		func(snapshot *Snapshot, _ string, limits *Limits, _ *schema.Item) { snapshot.Limits = *limits }),
	kindFlag: newItemKind(
		func(item *schema.Item, decoded *flag.Flag, add faultReporter) {
			decoded.Key = item.Name
			addFlagFaults(decoded.Prepare(), add)
		},
		func(snapshot *Snapshot, name string, decoded *flag.Flag, _ *schema.Item) {
			snapshot.Flags.Flags[name] = decoded
		}),
	kindSegment: newItemKind(
		func(item *schema.Item, decoded *flag.Segment, add faultReporter) {
			decoded.Key = item.Name
			addFlagFaults(decoded.Prepare(), add)
		},
		func(snapshot *Snapshot, name string, decoded *flag.Segment, _ *schema.Item) {
			snapshot.Flags.Segments[name] = decoded
		}),
	kindRelease: newItemKind(
		func(item *schema.Item, release *Release, add faultReporter) {
			release.Name = item.Name
			release.Revision = item.Version.GetSequence()
			release.Duration = parsePositiveDuration(release.DurationText, itemPath(kindRelease, item.Name)+".over", add)
		},
		func(snapshot *Snapshot, name string, release *Release, item *schema.Item) {
			snapshot.Releases[name] = release
			snapshot.recordRevision(release.Service, release.Version, item)
		}),
	kindProgress: newItemKind(
		noFinish[Progress],
		func(snapshot *Snapshot, name string, progress *Progress, _ *schema.Item) {
			snapshot.Progress[name] = progress
		}),
	kindStop: newItemKind(
		noFinish[VersionStop],
		func(snapshot *Snapshot, name string, stop *VersionStop, item *schema.Item) {
			snapshot.Stops[name] = stop
			snapshot.recordRevision(stop.Service, stop.Version, item)
		}),
	kindPolicy: newItemKind(
		noFinish[Policy],
		func(snapshot *Snapshot, name string, policy *Policy, _ *schema.Item) {
			snapshot.policies[name] = policy
		}),
	KindPurged: newItemKind(noFinish[tombstonePurge], notAdded[tombstonePurge]),
}

// recordRevision records that an item is about a version; the latest item counts.
func (s *Snapshot) recordRevision(service, version string, item *schema.Item) {
	key := serviceVersion{service, version}
	s.versionRevisions[key] = max(s.versionRevisions[key], item.Version.GetSequence())
}

// addFlagFaults reports the faults that package flag found; their paths are complete.
func addFlagFaults(faults []flag.Fault, add faultReporter) {
	for _, fault := range faults {
		add(fault.Path, "%s", fault.Reason)
	}
}

// parsePositiveDuration reads a duration that must be above zero.
func parsePositiveDuration(text, path string, add faultReporter) time.Duration {
	duration, err := time.ParseDuration(text)
	switch {
	case err != nil:
		add(path, "%v", err)
	case duration <= 0:
		add(path, "must be a time above zero")
	}
	return duration
}

// decodeStrict decodes JSON into target and refuses fields that target does not have.
func decodeStrict(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

func stringSet(names []string) map[string]bool {
	members := make(map[string]bool, len(names))
	for _, name := range names {
		members[name] = true
	}
	return members
}

// decodeItem decodes an item and finds what is wrong with it by itself.
func decodeItem(item *schema.Item) *decodedItem {
	decoded := &decodedItem{item: item}
	itemKind, found := itemKinds[item.Kind]
	if !found {
		decoded.faults.add(itemPath(item.Kind, item.Name), "kind %q does not exist", item.Kind)
		return decoded
	}
	decoded.value = itemKind.decode(item, decoded.faults.add)
	return decoded
}

// Check finds what is wrong with items by themselves, whatever else the configuration holds: an item that
// can never be valid is refused even where a newer version of it exists.
func Check(items []*schema.Item) []*schema.FieldError {
	var faults []*schema.FieldError
	for _, item := range items {
		if !item.Deleted {
			faults = append(faults, decodeItem(item).faults...)
		}
	}
	return faults
}
