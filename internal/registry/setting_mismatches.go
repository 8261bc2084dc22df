package registry

import (
	"fmt"
	"maps"
	"slices"
)

// maxSettingMismatches bounds how many settings of other nodes are remembered as different.
const maxSettingMismatches = 64

// CompareSetting records, or forgets, that a setting which must be the same on every node differs on another node. reported is
// false where the node did not send the setting.
func (f *FleetState) CompareSetting(node, setting, theirs, ours string, reported bool) {
	key := node + ": " + setting
	if !reported || theirs == ours {
		delete(f.settingMismatches, key)
	} else if len(f.settingMismatches) < maxSettingMismatches {
		f.settingMismatches[key] = fmt.Sprintf("%s is %s there, %s here", key, theirs, ours)
	}
}

// SettingMismatches lists, sorted, the settings of other nodes that differ from this registry's, a sentence each.
func (f *FleetState) SettingMismatches() []string {
	return slices.Sorted(maps.Values(f.settingMismatches))
}
