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

// The kinds of items besides KindTombstonePurge, by their names in stored items. The rollout controller writes items of
// kindDiscoveredVersions and kindProgress. Operators write the others, in CUE text under the same names.
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

// itemPath returns the path of an item in the faults that operators see.
func itemPath(kind, name string) string { return kind + "." + name }

// faultReporter records a fault at a path. Its reason is made of format and values, as for fmt.Sprintf.
type faultReporter func(path, format string, values ...any)

// faultList collects faults. Its method add is a faultReporter.
type faultList []*schema.FieldError

// add appends a fault at a path.
func (l *faultList) add(path, format string, values ...any) {
	*l = append(*l, &schema.FieldError{Path: path, Reason: fmt.Sprintf(format, values...)})
}

// decodedItem is an item with its decoded body. It never changes once it is made, so snapshots share it.
type decodedItem struct {
	item   *schema.Item
	value  any       // pointer to the body type of the item's kind; nil if the body could not be decoded
	faults faultList // faults that the item has by itself, without regard to other items
}

// matches reports whether decoding an item would give this result again: it is the item that was decoded, or one
// with the same versions and body.
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

// itemKind has the functions that handle items of one kind.
type itemKind struct {
	decode func(item *schema.Item, add faultReporter) any // returns decodedItem.value, and reports the item's faults
	addTo  func(snapshot *Snapshot, decoded *decodedItem) // adds a decoded item to a snapshot
}

// newItemKind returns the functions for items with a body of type V. The function prepare sets the derived fields of a
// decoded body and reports its faults. The function addTo adds the body to a snapshot.
func newItemKind[V any](
	prepare func(item *schema.Item, body *V, add faultReporter),
	addTo func(snapshot *Snapshot, name string, body *V, item *schema.Item),
) itemKind {
	return itemKind{
		decode: func(item *schema.Item, add faultReporter) any {
			body := new(V)
			if err := decodeStrict(item.Body, body); err != nil {
				add(itemPath(item.Kind, item.Name), "%v", err)
				return nil
			}
			prepare(item, body, add)
			return body
		},
		addTo: func(snapshot *Snapshot, decoded *decodedItem) {
			addTo(snapshot, decoded.item.Name, decoded.value.(*V), decoded.item)
		},
	}
}

// noPreparation is the prepare function of kinds without derived fields whose bodies need no check by themselves.
func noPreparation[V any](*schema.Item, *V, faultReporter) {}

// notAdded is the addTo function of kinds that are not added to a snapshot one by one. CompileIncremental merges
// routes into the ordered list of the previous snapshot, and a purge has an effect on a State only.
func notAdded[V any](*Snapshot, string, *V, *schema.Item) {}

// itemKinds has the functions of every kind, by kind.
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
		func(item *schema.Item, route *Route, add faultReporter) { route.prepare(item, add) },
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
		noPreparation[Progress],
		func(snapshot *Snapshot, name string, progress *Progress, _ *schema.Item) {
			snapshot.Progress[name] = progress
		}),
	kindStop: newItemKind(
		noPreparation[VersionStop],
		func(snapshot *Snapshot, name string, stop *VersionStop, item *schema.Item) {
			snapshot.Stops[name] = stop
			snapshot.recordRevision(stop.Service, stop.Version, item)
		}),
	kindPolicy: newItemKind(
		noPreparation[Policy],
		func(snapshot *Snapshot, name string, policy *Policy, _ *schema.Item) {
			snapshot.policies[name] = policy
		}),
	KindTombstonePurge: newItemKind(noPreparation[tombstonePurge], notAdded[tombstonePurge]),
}

// recordRevision raises the VersionRevision of a version to the sequence of item, a release plan or stop of the version.
func (s *Snapshot) recordRevision(service, version string, item *schema.Item) {
	key := versionKey{service, version}
	s.versionRevisions[key] = max(s.versionRevisions[key], item.Version.GetSequence())
}

// addFlagFaults reports faults that package flag found. Their paths already begin with the kind and key of the item.
func addFlagFaults(faults []flag.Fault, add faultReporter) {
	for _, fault := range faults {
		add(fault.Path, "%s", fault.Reason)
	}
}

// parsePositiveDuration parses a duration. It reports a fault at the path if the text is not a duration above zero.
func parsePositiveDuration(text, path string, add faultReporter) time.Duration {
	duration, err := time.ParseDuration(text)
	switch {
	case err != nil:
		add(path, "%v", err)
	case duration <= 0:
		add(path, "must be above zero, got %v", duration)
	}
	return duration
}

// decodeStrict decodes JSON into target. It fails if the JSON has a field that target does not have.
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

// decodeItem decodes an item and collects the faults that it has by itself.
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

// Check returns the faults that items have by themselves, whatever else the configuration holds. Tombstones have
// none. With it, the leader of the stores refuses an item that can never be valid even if the item is not written and so
// not compiled, because a newer version of it exists.
func Check(items []*schema.Item) []*schema.FieldError {
	var faults []*schema.FieldError
	for _, item := range items {
		if !item.Deleted {
			faults = append(faults, decodeItem(item).faults...)
		}
	}
	return faults
}
