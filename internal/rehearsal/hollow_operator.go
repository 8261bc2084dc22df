package rehearsal

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/configsource"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/registry"
	"meadowhinge/schema"
)

// hollowOperator states changes without reading the setup back before each, as a machine does
// that knows what it wrote.
type hollowOperator struct {
	given *schema.HollowOptions
	core  *Fleet
	now   func() time.Duration
	http  *http.Client
	dice  *rand.Rand

	lock    sync.Mutex
	serial  int
	held    map[string]uint64 // versions of items, as answers told them
	stated  []statedChange
	rulings map[string]int
	newest  uint64
}

// statedChange is an accepted change, and when it was what.
type statedChange struct {
	setup        uint64
	stated       time.Duration
	acknowledged time.Duration // 0 for never
}

func newHollowOperator(given *schema.HollowOptions, core *Fleet, now func() time.Duration) *hollowOperator {
	return &hollowOperator{given: given, core: core, now: now, http: &http.Client{Timeout: 25 * time.Second},
		dice: rand.New(rand.NewPCG(uint64(given.Seed), 1)), held: map[string]uint64{}, rulings: map[string]int{}}
}

// change states one change at a core machine.
func (o *hollowOperator) change(core int, text string) (*registry.ChangeResponse, error) {
	items, faults := configsource.Parse([]byte(text))
	if len(faults) > 0 {
		return nil, errs.New(errs.InvalidConfig, fmt.Sprint(faults[0]))
	}
	o.lock.Lock()
	o.serial++
	submission := registry.ChangeRequest{ID: fmt.Sprintf("hollow-%d", o.serial), Config: text, ExpectedVersions: map[string]uint64{}}
	for _, item := range items {
		if version := o.held[config.Key(item.Kind, item.Name)]; version > 0 {
			submission.ExpectedVersions[config.Key(item.Kind, item.Name)] = version
		}
	}
	o.lock.Unlock()
	body, err := json.Marshal(submission)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "change")
	}
	entry := statedChange{stated: o.now()}
	response, err := o.http.Post("http://"+o.core.Operator(core)+"/v1/changes", "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err, errs.PeerConnectionLost, "registry")
	}
	defer response.Body.Close()
	answered, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errs.Wrap(err, errs.PeerConnectionLost, "registry")
	}
	answer := &registry.ChangeResponse{}
	if err := json.Unmarshal(answered, answer); err != nil {
		return nil, errs.Wrap(err, errs.MalformedRequest, string(answered))
	}
	if answer.Acknowledged {
		entry.acknowledged = o.now()
	}
	entry.setup = answer.Sequence
	o.lock.Lock()
	defer o.lock.Unlock()
	o.rulings[answer.Ruling]++
	for key, version := range answer.CurrentVersions {
		o.held[key] = version
	}
	if answer.Ruling == "accepted" {
		for _, item := range items {
			o.held[config.Key(item.Kind, item.Name)] = answer.Sequence
		}
		o.stated = append(o.stated, entry)
		o.newest = max(o.newest, answer.Sequence)
	}
	return answer, nil
}

// newestSetup is the highest sequence of an accepted change.
func (o *hollowOperator) newestSetup() uint64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.newest
}

// routesAtOnce is how many routes one change of the first setup brings.
const routesAtOnce = 250

// found states the first setup, in pieces, until each is acknowledged.
func (o *hollowOperator) found(ctx context.Context) error {
	var pieces []string
	var text strings.Builder
	for i := range int(o.given.Services) {
		callers := []string{clientKind}
		// Each service is called by a few others, as in a tree of calls.
		for j := 1; j <= min(callersEach, int(o.given.Services)-1); j++ {
			callers = append(callers, serviceName((i-j+int(o.given.Services))%int(o.given.Services)))
		}
		fmt.Fprintf(&text, "service: %q: {versions: [%q, %q], fallback: %q, callers: %s}\n", serviceName(i), versionOld, versionNew, versionOld, quoted(callers))
		if i < int(o.given.Releases) {
			text.WriteString(o.core.Deployment.FlagText(serviceName(i), 0, 0))
		}
	}
	pieces = append(pieces, text.String())
	for from := 0; from < int(o.given.Routes); from += routesAtOnce {
		text.Reset()
		for i := from; i < min(from+routesAtOnce, int(o.given.Routes)); i++ {
			text.WriteString(o.routeText(i, "2s"))
		}
		pieces = append(pieces, text.String())
	}
	for i := range int(o.given.Releases) {
		// So long that it is still under way at the end.
		pieces = append(pieces, fmt.Sprintf("release: %q: {service: %q, version: %q, target: 50, over: %q}\n", "to-"+serviceName(i), serviceName(i), versionNew,
			(releaseLengths*time.Duration(o.given.Length+o.given.Settle)).String()))
	}
	for _, piece := range pieces {
		for tries := 0; ; tries++ {
			answer, err := o.change(tries%int(o.given.Seats), piece)
			if err == nil && (answer.Ruling == "accepted" || answer.Ruling == "conflict") {
				break
			}
			if err == nil && answer.Ruling == "invalid" {
				return errs.New(errs.InvalidConfig, fmt.Sprint(answer.Faults))
			}
			if tries == foundTries {
				return errs.New(errs.NoQuorum, fmt.Sprintf("the first setup was not taken: %+v, %v", answer, err))
			}
			if !pause(ctx, foundPause) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// How a hollow setup looks, and how patiently it is founded.
const (
	callersEach    = 3
	releaseLengths = 10
	foundTries     = 100
	foundPause     = 200 * time.Millisecond
)

func (o *hollowOperator) routeText(i int, horizon string) string {
	class := "repeatable"
	if i%3 == 0 {
		class = "once"
	}
	return fmt.Sprintf("route: %q: {service: %q, prefix: \"/%s/%s\", methods: [\"GET\"], class: %q, horizon: %q, key: \"X-User\"}\n",
		routeName(i), serviceName(i%int(o.given.Services)), serviceName(i%int(o.given.Services)), routeName(i), class, horizon)
}

// keepChanging states changes at their pace until stop closes, each of one route.
func (o *hollowOperator) keepChanging(stop <-chan struct{}) {
	if o.given.Changes == 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Minute) / o.given.Changes))
	defer ticker.Stop()
	var stating sync.WaitGroup
	defer stating.Wait()
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		text := o.routeText(o.dice.IntN(int(o.given.Routes)), fmt.Sprintf("%dms", horizonLeast+turn))
		// In a storm the next is stated before the one before it is acknowledged.
		stating.Go(func() { _, _ = o.change(turn%int(o.given.Seats), text) })
	}
}

const horizonLeast = 2000
