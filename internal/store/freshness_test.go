package store

import (
	"testing"
	"time"
)

// The time up to which the reports of a majority of three prove the committed state fresh. Replica a is this one; a report
// is the sequence that a replica reached, at a time when committed was committed here.
func TestFreshness(t *testing.T) {
	type report struct {
		replica             string
		at                  time.Duration
		sequence, committed uint64
	}
	names := []string{"a", "b", "c"}
	for name, test := range map[string]struct {
		reports   []report
		committed uint64
		at        time.Duration
		known     bool
	}{
		"nobody yet":                 {nil, 9, 0, false},
		"this replica alone":         {[]report{{"a", 10, 5, 5}}, 5, 0, false},
		"two level":                  {[]report{{"a", 10, 5, 5}, {"b", 8, 5, 5}}, 5, 8, true},
		"the latest majority":        {[]report{{"a", 10, 5, 5}, {"b", 8, 5, 5}, {"c", 9, 4, 5}}, 5, 9, true},
		"one has more":               {[]report{{"a", 10, 5, 5}, {"b", 8, 5, 5}, {"b", 9, 6, 5}}, 5, 8, true},
		"more became committed here": {[]report{{"a", 10, 5, 5}, {"b", 8, 5, 5}, {"b", 9, 6, 5}}, 6, 9, true},
		"a stream of changes": {
			[]report{{"a", 20, 9, 8}, {"b", 11, 7, 6}, {"b", 12, 8, 6}, {"b", 13, 9, 6}, {"a", 21, 9, 9}}, 7, 11, true,
		},
		"this replica has more":        {[]report{{"a", 10, 5, 5}, {"b", 10, 5, 5}, {"a", 20, 6, 5}, {"b", 20, 5, 5}}, 5, 10, true},
		"two others make it up":        {[]report{{"a", 10, 6, 5}, {"b", 11, 5, 5}, {"c", 12, 5, 5}}, 5, 11, true},
		"reported entries are dropped": {[]report{{"a", 10, 5, 5}, {"b", 10, 9, 5}, {"b", 11, 4, 5}}, 5, 10, true},
		"a lower report that waits":    {[]report{{"a", 30, 7, 7}, {"b", 10, 9, 5}, {"b", 11, 7, 5}}, 7, 11, true},
		"it never became committed":    {[]report{{"a", 10, 5, 5}, {"b", 10, 9, 5}}, 8, 0, false},
		"non-members do not count":     {[]report{{"a", 10, 5, 5}, {"z", 10, 5, 5}}, 5, 0, false},
		"committed before the report":  {[]report{{"b", 10, 9, 5}, {"a", 11, 9, 9}}, 9, 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := &freshness{}
			for _, report := range test.reports {
				f.observe(report.replica, report.at, report.sequence, report.committed)
			}
			f.advance(test.committed)
			if at, known := f.majorityTime(names, 2); at != test.at || known != test.known {
				t.Errorf("%v %t, want %v %t", at, known, test.at, test.known)
			}
		})
	}
}
