package configsource

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A text becomes items ordered by key, with defaults filled in and a tombstone for each removed item; a text
// that cannot be a change is refused with each fault at its path.
func TestParse(t *testing.T) {
	for name, test := range map[string]struct {
		text  string
		items []string // as kind/name body, or kind/name deleted
		paths []string
	}{
		"ordered, with defaults": {
			text: `stop: "shop.2": {service: "shop", version: "2"}
service: shop: {}`,
			items: []string{`service/shop {}`, `stop/shop.2 {"service":"shop","version":"2","reason":"an operator stopped it","lifted":false}`},
		},
		"limits have one name":         {text: `limits: {bodyMost: 1}`, items: []string{`limits/limits {"bodyMost":1}`}},
		"removed items":                {text: `remove: {route: ["b", "a"], service: ["s"]}`, items: []string{"route/a deleted", "route/b deleted", "service/s deleted"}},
		"written and removed":          {text: "service: a: {}\nremove: service: [\"a\"]", paths: []string{"service.a"}},
		"no item":                      {text: ``, paths: []string{"."}},
		"no CUE":                       {text: `service: {`, paths: []string{"."}},
		"an unknown field":             {text: `service: a: {colour: 1}`, paths: []string{"service.a.colour"}},
		"an unknown field and a fault": {text: `service: a: {fallback: 1, colour: 1}`, paths: []string{"service.a.fallback", "service.a.colour"}},
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
				t.Error(diff)
			}
			if diff := cmp.Diff(test.paths, gotPaths); diff != "" {
				t.Errorf("%s\n%v", diff, faults)
			}
		})
	}
}

// The CUE context is replaced after a number of parses, and texts parse the same before and after.
func TestContextIsReplaced(t *testing.T) {
	for parse := range 2*parsesPerContext + 1 {
		if items, faults := Parse([]byte(`service: shop: {}`)); len(items) != 1 || len(faults) > 0 {
			t.Fatalf("parse %d: %v, %v", parse, items, faults)
		}
	}
}
