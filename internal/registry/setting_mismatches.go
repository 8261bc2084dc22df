package registry

import (
	"fmt"
	"maps"
	"slices"
)

// maxSettingMismatches bounds the number of stored setting mismatches; further ones are not recorded.
const maxSettingMismatches = 64

// CompareSetting compares a setting that must be the same on every node: theirs is another node's value, ours that of
// this registry. It records a mismatch if they differ, and otherwise removes the recorded one. reported is false if the
// node did not send the setting, which counts as no mismatch.
func (f *FleetState) CompareSetting(node, setting, theirs, ours string, reported bool) {
	key := node + ": " + setting
	if !reported || theirs == ours {
		delete(f.settingMismatches, key)
	} else if len(f.settingMismatches) < maxSettingMismatches {
		f.settingMismatches[key] = fmt.Sprintf("%s is %s there, %s here", key, theirs, ours)
	}
}

// SettingMismatches returns, sorted, one description for each setting of another node that differs from this
// registry's.
func (f *FleetState) SettingMismatches() []string {
	return slices.Sorted(maps.Values(f.settingMismatches))
}
