package simulator

import (
	"fmt"
	"strings"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// startOperators submits random changes at random intervals below Options.ChangeInterval.
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

// submitRandomChange submits a random change at a random registry: a valid one, one that may race with another for an
// item, or an invalid one. A quarter of the changes are submitted again at a random registry, as by an operator who
// got no response.
func (w *World) submitRandomChange() {
	id := w.nextID()
	node := w.registries[w.randomInt(len(w.registries))]
	if node.state["service/shop"] == nil {
		return
	}
	items := w.randomItems(node, id)
	if len(items) == 0 {
		return
	}
	change := w.submitItems(node, items...)
	if w.randomInt(4) == 0 {
		other := w.registries[w.randomInt(len(w.registries))]
		w.schedule(w.randomDuration(3*time.Second), func() {
			w.submitChange(other, change, func(schema.Ruling, uint64) {})
		})
	}
}

// randomItems draws the items of a change to the configuration of a registry. It returns none if the kind of change
// that was drawn does not apply.
func (w *World) randomItems(node *registryNode, id int) []*schema.Item {
	listsBoth := func(service string) bool {
		listed := node.snapshot.Services[service]
		return listed != nil && listed.AllowsVersion("2")
	}
	switch kind := w.randomInt(12); {
	case kind < 4:
		return []*schema.Item{routeItem(fmt.Sprint("r", w.randomInt(3)), id)}
	case kind < 6:
		return w.newRouteItems("many", 3)
	case kind < 7 && w.randomInt(2) == 0:
		return deletedRouteItems(node.state)
	case kind < 7 && node.state["route/r0"] != nil:
		return []*schema.Item{{Kind: "route", Name: "r0", Deleted: true}}
	case kind < 8 && listsBoth("saves"):
		return []*schema.Item{weightedFlagItem("saves", 1000*w.randomInt(60))}
	case kind < 9 && len(w.degradations) == 0 && node.snapshot.Releases["to-shop"] == nil:
		// A version is removed from the list of its service, or added again. Its workers keep sending heartbeats.
		if listsBoth("saves") {
			return []*schema.Item{serviceItem("saves", `"1"`, `"client"`), singleVersionFlagItem("saves")}
		}
		return []*schema.Item{serviceItem("saves", `"1","2"`, `"client"`), weightedFlagItem("saves", 30000)}
	case kind < 10:
		// A caller loses its permission, or gets it back.
		if node.snapshot.Services["shop"].AllowsCaller("saves") {
			return []*schema.Item{serviceItem("shop", `"1","2"`, `"client"`)}
		}
		return []*schema.Item{serviceItem("shop", `"1","2"`, `"client","saves"`)}
	default:
		return w.invalidItems(id)
	}
}

// invalidItems returns a valid route together with a flag that is its own prerequisite, which makes the whole change
// invalid.
func (w *World) invalidItems(id int) []*schema.Item {
	name := fmt.Sprint("bad", id)
	w.History.addInvalidItem("route/" + name)
	const format = `{"on":true,"salt":"","variations":["x"],"offVariation":0,"fallthrough":{"variation":0},` +
		`"prerequisites":[{"key":"%s","variation":0}]}`
	cyclicFlag := &schema.Item{Kind: "flag", Name: name, Body: []byte(fmt.Sprintf(format, name))}
	items := []*schema.Item{routeItem(name, id), cyclicFlag}
	if w.seededFault == SeededPartialChange {
		items = items[:1]
	}
	return items
}

// newRouteItems returns a number of new routes whose names begin with a prefix.
func (w *World) newRouteItems(prefix string, count int) []*schema.Item {
	var items []*schema.Item
	for range count {
		id := w.nextID()
		items = append(items, routeItem(fmt.Sprint(prefix, id), id))
	}
	return items
}

// deletedRouteItems returns the deletion of up to four routes that newRouteItems added. Without deletions no
// tombstones would accumulate and be purged.
func deletedRouteItems(state config.State) []*schema.Item {
	var items []*schema.Item
	for _, item := range state.Items() {
		wasAdded := strings.HasPrefix(item.Name, "many") || strings.HasPrefix(item.Name, "grown")
		if item.Kind == "route" && !item.Deleted && len(items) < 4 && wasAdded {
			items = append(items, &schema.Item{Kind: "route", Name: item.Name, Deleted: true})
		}
	}
	return items
}

// submitItems submits a change at a registry like an operator who has read the configuration there, and returns it.
func (w *World) submitItems(node *registryNode, items ...*schema.Item) *schema.Change {
	change := &schema.Change{
		Id:       fmt.Sprint("change-", w.nextID()),
		Items:    items,
		Expected: expectedVersions(node.state, items),
	}
	w.submitChange(node, change, func(schema.Ruling, uint64) {})
	return change
}

// submitUntilAccepted submits items at random registries until they are accepted, and then calls onAccepted. It passes
// over a registry that does not know the service "shop" yet, unless the change begins with a service or a flag.
func (w *World) submitUntilAccepted(onAccepted func(), items ...*schema.Item) {
	accepted := false
	w.retryEvery(500*time.Millisecond, func() bool {
		if accepted {
			return true
		}
		node := w.registries[w.randomInt(len(w.registries))]
		if node.state["service/shop"] == nil && items[0].Kind != "service" && items[0].Kind != "flag" {
			return false
		}
		change := &schema.Change{
			Id:       fmt.Sprint("insist-", w.nextID()),
			Items:    items,
			Expected: expectedVersions(node.state, items),
		}
		w.submitChange(node, change, func(ruling schema.Ruling, _ uint64) {
			if ruling == schema.Ruling_RULING_ACCEPTED && !accepted {
				accepted = true
				onAccepted()
			}
		})
		return false
	})
}

// expectedVersions returns the versions that a configuration has of the items of a change. Missing and deleted items
// have none.
func expectedVersions(state config.State, items []*schema.Item) []*schema.ExpectedVersion {
	var list []*schema.ExpectedVersion
	for _, item := range items {
		if existing := state[config.Key(item.Kind, item.Name)]; existing != nil && !existing.Deleted {
			list = append(list, &schema.ExpectedVersion{
				Kind:     item.Kind,
				Name:     item.Name,
				Sequence: existing.Version.Sequence,
			})
		}
	}
	return list
}

// routeItem returns a route of the service "shop". The variant is part of its path.
func routeItem(name string, variant int) *schema.Item {
	const format = `{"service":"shop","prefix":"/%s/%d","methods":[],"horizon":"2s","key":"X","attributes":{}}`
	return &schema.Item{Kind: "route", Name: name, Body: []byte(fmt.Sprintf(format, name, variant))}
}

// versionFlagItem returns the version flag of a service, which chooses the version of each call.
func versionFlagItem(service, body string) *schema.Item {
	return &schema.Item{Kind: "flag", Name: config.VersionFlagKey(service), Body: []byte(body)}
}

// weightedFlagItem returns a version flag that gives version 2 a weight, in thousandths of a percent of the calls.
func weightedFlagItem(service string, weight int) *schema.Item {
	const format = `{"on":true,"salt":"s","variations":["1","2"],"offVariation":0,"fallthrough":{"rollout":` +
		`{"variations":[{"variation":0,"weight":%d},{"variation":1,"weight":%d}]}}}`
	return versionFlagItem(service, fmt.Sprintf(format, 100000-weight, weight))
}

// targetedFlagItem returns a version flag that gives version 2 to the first users by number, of the thousand that make
// calls, and version 1 to the others.
func targetedFlagItem(service string, users int) *schema.Item {
	var names []string
	for i := range users {
		names = append(names, fmt.Sprintf("%q", fmt.Sprint("user-", i)))
	}
	const format = `{"on":true,"salt":"s","variations":["1","2"],"offVariation":0,"fallthrough":{"variation":0},` +
		`"targets":[{"variation":1,"values":[%s]}]}`
	return versionFlagItem(service, fmt.Sprintf(format, strings.Join(names, ",")))
}

// serviceItem returns a service with version 1 as its fallback. versions and callers are JSON lists without the
// brackets.
func serviceItem(service, versions, callers string) *schema.Item {
	const format = `{"versions":[%s],"fallback":"1","callers":[%s]}`
	return &schema.Item{Kind: "service", Name: service, Body: []byte(fmt.Sprintf(format, versions, callers))}
}

// unlistedServiceItem returns the service "shop" without a list of versions, which allows the versions of its workers.
func unlistedServiceItem() *schema.Item {
	return &schema.Item{Kind: "service", Name: "shop", Body: []byte(`{"callers":["client","saves"]}`)}
}

// singleVersionFlagItem returns a version flag whose only variation is version 1.
func singleVersionFlagItem(service string) *schema.Item {
	const body = `{"on":true,"salt":"s","variations":["1"],"offVariation":0,"fallthrough":{"variation":0}}`
	return versionFlagItem(service, body)
}

// releasePlanItem returns a release plan that takes version 2 of a service to a target percentage of the calls within
// a duration.
func releasePlanItem(service string, target float64, over time.Duration) *schema.Item {
	const format = `{"service":%q,"version":"2","target":%v,"over":%q,"pace":"go"}`
	body := fmt.Sprintf(format, service, target, over.String())
	return &schema.Item{Kind: "release", Name: "to-" + service, Body: []byte(body)}
}
