package store

import (
	"testing"
	"time"
)

// majorityFreshAt returns the latest time for which the reports of two of three members prove the committed state fresh.
// Replica a is this one. A report is the sequence that a replica's content had reached at a time, when the sequence
// committed was committed here.
func TestMajorityFreshAt(t *testing.T) {
	type report struct {
		replica             string
		at                  time.Duration
		sequence, committed uint64
	}
	names := []string{"a", "b", "c"}
	for name, test := range map[string]struct {
		reports   []report
		committed uint64        // the sequence that is committed here in the end
		at        time.Duration // the wanted result
		known     bool          // whether a result is wanted
	}{
		"nothing is proved without a report":            {nil, 9, 0, false},
		"this replica alone is no majority":             {[]report{{"a", 10, 5, 5}}, 5, 0, false},
		"the earlier of two committed reports counts":   {[]report{{"a", 10, 5, 5}, {"b", 8, 5, 5}}, 5, 8, true},
		"the latest majority counts":                    {[]report{{"a", 10, 5, 5}, {"b", 8, 5, 5}, {"c", 9, 4, 5}}, 5, 9, true},
		"a report that is not committed does not count": {[]report{{"a", 10, 5, 5}, {"b", 8, 5, 5}, {"b", 9, 6, 5}}, 5, 8, true},
		"an awaited report counts once it is committed": {[]report{{"a", 10, 5, 5}, {"b", 8, 5, 5}, {"b", 9, 6, 5}}, 6, 9, true},
		"the first awaited report of a stream of changes is kept": {
			[]report{{"a", 20, 9, 8}, {"b", 11, 7, 6}, {"b", 12, 8, 6}, {"b", 13, 9, 6}, {"a", 21, 9, 9}}, 7, 11, true,
		},
		"this replica's own uncommitted report does not count":  {[]report{{"a", 10, 5, 5}, {"b", 10, 5, 5}, {"a", 20, 6, 5}, {"b", 20, 5, 5}}, 5, 10, true},
		"two other members are a majority":                      {[]report{{"a", 10, 6, 5}, {"b", 11, 5, 5}, {"c", 12, 5, 5}}, 5, 11, true},
		"a lower committed report replaces an awaited one":      {[]report{{"a", 10, 5, 5}, {"b", 10, 9, 5}, {"b", 11, 4, 5}}, 5, 10, true},
		"a lower awaited report replaces a higher one":          {[]report{{"a", 30, 7, 7}, {"b", 10, 9, 5}, {"b", 11, 7, 5}}, 7, 11, true},
		"a report that is never committed proves nothing":       {[]report{{"a", 10, 5, 5}, {"b", 10, 9, 5}}, 8, 0, false},
		"replicas that are not members do not count":            {[]report{{"a", 10, 5, 5}, {"z", 10, 5, 5}}, 5, 0, false},
		"a later report by this replica commits an awaited one": {[]report{{"b", 10, 9, 5}, {"a", 11, 9, 9}}, 9, 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := &freshness{}
			for _, report := range test.reports {
				f.recordReport(report.replica, report.at, report.sequence, report.committed)
			}
			f.advance(test.committed)
			if at, known := f.majorityFreshAt(names, 2); at != test.at || known != test.known {
				t.Errorf("majorityFreshAt = %v, %t; want %v, %t", at, known, test.at, test.known)
			}
		})
	}
}
