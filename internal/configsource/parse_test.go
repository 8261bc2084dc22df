package configsource

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Parse returns the items of a text ordered by key, with defaults filled in and a tombstone for each removed item. It
// refuses an invalid text with each fault at its path.
func TestParseReturnsItemsOrFaults(t *testing.T) {
	for name, test := range map[string]struct {
		text  string
		items []string // the form is "kind/name body", or "kind/name deleted" for a tombstone
		paths []string // paths of the faults
	}{
		"items are ordered and have defaults": {
			text: `stop: "shop.2": {service: "shop", version: "2"}
service: shop: {}`,
			items: []string{`service/shop {}`, `stop/shop.2 {"service":"shop","version":"2","reason":"an operator stopped it","lifted":false}`},
		},
		"the item of limits has a fixed name":                 {text: `limits: {bodyMost: 1}`, items: []string{`limits/limits {"bodyMost":1}`}},
		"removed items become tombstones":                     {text: `remove: {route: ["b", "a"], service: ["s"]}`, items: []string{"route/a deleted", "route/b deleted", "service/s deleted"}},
		"an item both written and removed is refused":         {text: "service: a: {}\nremove: service: [\"a\"]", paths: []string{"service.a"}},
		"a text without items is refused":                     {text: ``, paths: []string{"."}},
		"a text that is not CUE is refused":                   {text: `service: {`, paths: []string{"."}},
		"an unknown field is refused":                         {text: `service: a: {colour: 1}`, paths: []string{"service.a.colour"}},
		"an unknown field beside an invalid value is refused": {text: `service: a: {fallback: 1, colour: 1}`, paths: []string{"service.a.fallback", "service.a.colour"}},
	} {
		t.Run(name, func(t *testing.T) {
			items, faults := Parse([]byte(test.text))
			var gotItems, gotPaths []string
			for _, item := range items {
				content := string(item.Body)
				if item.Deleted {
					content = "deleted"
				}
				gotItems = append(gotItems, fmt.Sprintf("%s/%s %s", item.Kind, item.Name, content))
			}
			for _, fault := range faults {
				gotPaths = append(gotPaths, fault.Path)
			}
			if diff := cmp.Diff(test.items, gotItems); diff != "" {
				t.Errorf("Parse: items (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.paths, gotPaths); diff != "" {
				t.Errorf("Parse: paths of faults (-want +got):\n%s\nfaults: %v", diff, faults)
			}
		})
	}
}

// Parse returns the same items before and after the CUE context is replaced.
func TestParseIsUnchangedByContextReplacement(t *testing.T) {
	for parse := range 2*parsesPerContext + 1 {
		if items, faults := Parse([]byte(`service: shop: {}`)); len(items) != 1 || len(faults) > 0 {
			t.Fatalf("Parse, call %d: got items %v and faults %v, want one item and no fault", parse, items, faults)
		}
	}
}
