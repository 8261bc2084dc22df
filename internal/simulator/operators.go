package simulator

import (
	"fmt"
	"strings"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// startOperators state changes at random times.
func (w *World) startOperators() {
	interval := w.Options.ChangeInterval
	if interval == 0 {
		interval = time.Second
	}
	var submitAndReschedule func()
	submitAndReschedule = func() {
		w.submitRandomChange()
		w.schedule(w.randomDuration(interval), submitAndReschedule)
	}
	submitAndReschedule()
}

// submitRandomChange states changes: good ones, ones that race for the same item, and invalid ones.
func (w *World) submitRandomChange() {
	id := w.nextID()
	node := w.registries[w.randomInt(len(w.registries))]
	if node.state["service/shop"] == nil {
		return
	}
	var items []*schema.Item
	listsBoth := func(service string) bool {
		listed := node.snapshot.Services[service]
		return listed != nil && listed.AllowsVersion("2")
	}
	switch kind := w.randomInt(12); {
	case kind < 4:
		items = []*schema.Item{routeItem(fmt.Sprint("r", w.randomInt(3)), id)}
	case kind < 6:
		for range 3 {
			id = w.nextID()
			items = append(items, routeItem(fmt.Sprint("many", id), id))
		}
	case kind < 7 && w.randomInt(2) == 0:
		// What was added goes again, so that tombstones pile up and are let go.
		for _, item := range node.state.Items() {
			if item.Kind == "route" && !item.Deleted && len(items) < 4 && (strings.HasPrefix(item.Name, "many") || strings.HasPrefix(item.Name, "grown")) {
				items = append(items, &schema.Item{Kind: "route", Name: item.Name, Deleted: true})
			}
		}
		if len(items) == 0 {
			return
		}
	case kind < 7 && node.state["route/r0"] != nil:
		items = []*schema.Item{{Kind: "route", Name: "r0", Deleted: true}}
	case kind < 8 && listsBoth("saves"):
		items = []*schema.Item{weightedFlagItem("saves", 1000*w.randomInt(60))}
	case kind < 9 && len(w.degradations) == 0 && node.snapshot.Releases["to-shop"] == nil:
		// A version is delisted, or listed again; its workers stay and go on describing themselves.
		if listed := listsBoth("saves"); listed {
			items = []*schema.Item{serviceItem("saves", false, false), singleVersionFlagItem("saves")}
		} else {
			items = []*schema.Item{serviceItem("saves", true, false), weightedFlagItem("saves", 30000)}
		}
	case kind < 10:
		// A caller is withdrawn, or let in again.
		items = []*schema.Item{serviceItem("shop", true, !node.snapshot.Services["shop"].AllowsCaller("saves"))}
	default:
		// A good route beside a flag that closes a cycle: whole, it is invalid.
		name := fmt.Sprint("bad", id)
		w.History.markInvalid("route/" + name)
		items = []*schema.Item{routeItem(name, id), {Kind: "flag", Name: name,
			Body: []byte(fmt.Sprintf(`{"on":true,"salt":"","variations":["x"],"offVariation":0,"fallthrough":{"variation":0},"prerequisites":[{"key":"%s","variation":0}]}`, name))}}
		if w.seededFault == SeededPartialChange {
			items = items[:1]
		}
	}
	change := w.submitItems(node, items...)
	// The same change is sometimes stated again elsewhere, as an operator does who got no answer.
	if w.randomInt(4) == 0 {
		other := w.registries[w.randomInt(len(w.registries))]
		w.schedule(w.randomDuration(3*time.Second), func() { w.submitChange(other, change, func(schema.Ruling, uint64) {}) })
	}
}

// submitItems states items at a registry, as an operator who read the setup there.
func (w *World) submitItems(node *registryNode, items ...*schema.Item) *schema.Change {
	change := &schema.Change{Id: fmt.Sprint("change-", w.nextID()), Items: items, Expected: expectedVersions(node.state, items)}
	w.submitChange(node, change, func(schema.Ruling, uint64) {})
	return change
}

// submitUntilAccepted states items until they are accepted, now at one registry and then at another.
func (w *World) submitUntilAccepted(onAccepted func(), items ...*schema.Item) {
	accepted := false
	var attempt func()
	attempt = func() {
		if accepted {
			return
		}
		node := w.registries[w.randomInt(len(w.registries))]
		if node.state["service/shop"] != nil || items[0].Kind == "service" || items[0].Kind == "flag" {
			w.submitChange(node, &schema.Change{
				Id:       fmt.Sprint("insist-", w.nextID()),
				Items:    items,
				Expected: expectedVersions(node.state, items),
			}, func(ruling schema.Ruling, _ uint64) {
				if ruling == schema.Ruling_RULING_ACCEPTED && !accepted {
					accepted = true
					onAccepted()
				}
			})
		}
		w.schedule(500*time.Millisecond, attempt)
	}
	attempt()
}

// expectedVersions is what the registry's setup says of the items of a change.
func expectedVersions(state config.State, items []*schema.Item) []*schema.ExpectedVersion {
	var list []*schema.ExpectedVersion
	for _, item := range items {
		if existing := state[config.Key(item.Kind, item.Name)]; existing != nil && !existing.Deleted {
			list = append(list, &schema.ExpectedVersion{Kind: item.Kind, Name: item.Name, Sequence: existing.Version.Sequence})
		}
	}
	return list
}

func routeItem(name string, variant int) *schema.Item {
	return &schema.Item{
		Kind: "route",
		Name: name,
		Body: []byte(fmt.Sprintf(`{"service":"shop","prefix":"/%s/%d","methods":[],"horizon":"2s","key":"X","attributes":{}}`,
			name, variant)),
	}
}

// weightedFlagItem is a release flag with a share of version 2, in thousandths of a percent.
func weightedFlagItem(service string, weight int) *schema.Item {
	return &schema.Item{Kind: "flag", Name: config.VersionFlagKey(service), Body: []byte(fmt.Sprintf(
		`{"on":true,"salt":"s","variations":["1","2"],"offVariation":0,"fallthrough":{"rollout":{"variations":[{"variation":0,"weight":%d},{"variation":1,"weight":%d}]}}}`, 100000-weight, weight))}
}

// targetedFlagItem is a flag that gives version 2 to so many in a thousand of the callers' users.
func targetedFlagItem(service string, users int) *schema.Item {
	names := ""
	for i := range users {
		if i > 0 {
			names += ","
		}
		names += fmt.Sprintf("%q", fmt.Sprint("user-", i))
	}
	return &schema.Item{Kind: "flag", Name: config.VersionFlagKey(service), Body: []byte(fmt.Sprintf(
		`{"on":true,"salt":"s","variations":["1","2"],"offVariation":0,"fallthrough":{"variation":0},"targets":[{"variation":1,"values":[%s]}]}`, names))}
}

// serviceItem is a service that lists version 2 or not, and lets "saves" call or not.
func serviceItem(service string, listsBoth, admitsSaves bool) *schema.Item {
	versions, callers := `"1"`, `"client"`
	if listsBoth {
		versions += `,"2"`
	}
	if admitsSaves {
		callers += `,"saves"`
	}
	return &schema.Item{
		Kind: "service",
		Name: service,
		Body: []byte(fmt.Sprintf(`{"versions":[%s],"fallback":"1","callers":[%s]}`, versions, callers)),
	}
}

func singleVersionFlagItem(service string) *schema.Item {
	return &schema.Item{
		Kind: "flag",
		Name: config.VersionFlagKey(service),
		Body: []byte(`{"on":true,"salt":"s","variations":["1"],"offVariation":0,"fallthrough":{"variation":0}}`),
	}
}

func releasePlanItem(service string, target float64, over time.Duration) *schema.Item {
	return &schema.Item{
		Kind: "release",
		Name: "to-" + service,
		Body: []byte(fmt.Sprintf(`{"service":%q,"version":"2","target":%v,"over":%q,"pace":"go"}`, service, target, over.String())),
	}
}
