package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/configsource"
)

// initialConfig is the configuration that every mesh starts with, in the source format of operators.
const initialConfig = `
service: shop: {versions: ["1", "2"], fallback: "1", callers: ["client", "saves"]}
service: saves: {versions: ["1", "2"], fallback: "1", callers: ["client"]}
route: buy: {service: "shop", prefix: "/shop/buy", methods: ["POST"], class: "once", key: "X-User"}
route: look: {service: "shop", prefix: "/shop/look", class: "repeatable", key: "X-User"}
route: commit: {service: "saves", prefix: "/saves/commit", methods: ["POST"], class: "once", key: "X-User"}
route: load: {service: "saves", prefix: "/saves/load", class: "repeatable", key: "X-User"}
flag: "release.shop": {
	on: true, salt: "s", variations: ["1", "2"], offVariation: 0
	fallthrough: rollout: variations: [{variation: 0, weight: 100000}, {variation: 1, weight: 0}]
}
flag: "release.saves": {
	on: true, salt: "s", variations: ["1", "2"], offVariation: 0
	fallthrough: rollout: variations: [{variation: 0, weight: 70000}, {variation: 1, weight: 30000}]
}
`

// bootFleet submits the initial configuration, runs the world until settlingTime, and starts the callers.
func (w *World) bootFleet() {
	w.Run(leaseDuration + 2*time.Second)
	items, err := configsource.Parse([]byte(initialConfig))
	if err != nil {
		panic(fmt.Sprintf("simulator: parsing the initial configuration: %v", err))
	}
	w.submitUntilAccepted(func() {}, items...)
	w.Run(settlingTime)
	w.startCallers()
}
