package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
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

// hollowOperator submits changes without reading the configuration back before each, as a machine does that knows
// what it wrote. Its methods may be called at the same time.
type hollowOperator struct {
	opts *schema.HollowOptions
	core *Fleet
	now  func() time.Duration
	http *http.Client
	rng  *rand.Rand

	lock            sync.Mutex // guards the fields below
	serial          int
	currentVersions map[string]uint64 // by item key, from the responses so far
	submitted       []submittedChange
	rulings         map[string]int
	newestRevision  uint64
}

// submittedChange is an accepted change and its times.
type submittedChange struct {
	revision       uint64
	submittedAt    time.Duration
	acknowledgedAt time.Duration // 0 for never
}

func newHollowOperator(opts *schema.HollowOptions, core *Fleet, now func() time.Duration) *hollowOperator {
	return &hollowOperator{
		opts:            opts,
		core:            core,
		now:             now,
		http:            &http.Client{Timeout: operatorTimeout},
		rng:             rand.New(rand.NewPCG(uint64(opts.Seed), 1)),
		currentVersions: map[string]uint64{},
		rulings:         map[string]int{},
	}
}

// submitChange submits one change at a core member, and remembers versions and times of an accepted one.
func (o *hollowOperator) submitChange(core int, text string) (*registry.ChangeResponse, error) {
	items, faults := configsource.Parse([]byte(text))
	if len(faults) > 0 {
		return nil, errs.New(errs.InvalidConfig, fmt.Sprint(faults[0]))
	}
	body, err := json.Marshal(o.newSubmission(text, items))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "change")
	}
	entry := submittedChange{submittedAt: o.now()}
	answer, err := o.post(core, body)
	if err != nil {
		return nil, err
	}
	if answer.Acknowledged {
		entry.acknowledgedAt = o.now()
	}
	entry.revision = answer.Sequence
	o.record(answer, items, entry)
	return answer, nil
}

// newSubmission makes a change on top of the versions that are known of its items.
func (o *hollowOperator) newSubmission(text string, items []*schema.Item) registry.ChangeRequest {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.serial++
	submission := registry.ChangeRequest{
		ID:               fmt.Sprintf("hollow-%d", o.serial),
		Config:           text,
		ExpectedVersions: map[string]uint64{},
	}
	for _, item := range items {
		key := config.Key(item.Kind, item.Name)
		if version := o.currentVersions[key]; version > 0 {
			submission.ExpectedVersions[key] = version
		}
	}
	return submission
}

// post sends a change to a core member and reads the response.
func (o *hollowOperator) post(core int, body []byte) (*registry.ChangeResponse, error) {
	response, err := o.http.Post("http://"+o.core.OperatorAddress(core)+"/v1/changes", "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err, errs.PeerConnectionLost, "registry")
	}
	defer func() { _ = response.Body.Close() }() // the response is only read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errs.Wrap(err, errs.PeerConnectionLost, "registry")
	}
	answer := &registry.ChangeResponse{}
	if err := json.Unmarshal(text, answer); err != nil {
		return nil, errs.Wrap(err, errs.MalformedRequest, string(text))
	}
	return answer, nil
}

// record remembers the result of a change.
func (o *hollowOperator) record(answer *registry.ChangeResponse, items []*schema.Item, entry submittedChange) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.rulings[answer.Ruling]++
	maps.Copy(o.currentVersions, answer.CurrentVersions)
	if answer.Ruling != "accepted" {
		return
	}
	for _, item := range items {
		o.currentVersions[config.Key(item.Kind, item.Name)] = answer.Sequence
	}
	o.submitted = append(o.submitted, entry)
	o.newestRevision = max(o.newestRevision, answer.Sequence)
}

// forgetSubmitted forgets the changes so far, so that they do not count as measured.
func (o *hollowOperator) forgetSubmitted() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.submitted = nil
}

// newestAccepted is the newest revision of an accepted change.
func (o *hollowOperator) newestAccepted() uint64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.newestRevision
}

// routesPerChange is how many routes each change of the first configuration adds.
const routesPerChange = 250

// submitInitialConfig submits the first configuration, in pieces, until each is accepted.
func (o *hollowOperator) submitInitialConfig(ctx context.Context) error {
	for _, piece := range o.initialConfig() {
		if err := o.submitUntilAccepted(ctx, piece); err != nil {
			return err
		}
	}
	return nil
}

// initialConfig gives the changes that make up the first configuration: services, then routes, then releases.
func (o *hollowOperator) initialConfig() []string {
	pieces := []string{o.servicesText()}
	for from := 0; from < int(o.opts.Routes); from += routesPerChange {
		var text strings.Builder
		for i := from; i < min(from+routesPerChange, int(o.opts.Routes)); i++ {
			text.WriteString(o.routeText(i, "2s"))
		}
		pieces = append(pieces, text.String())
	}
	// So long that it is still in progress at the end.
	over := releaseLengthFactor * time.Duration(o.opts.Length+o.opts.Settle)
	for i := range int(o.opts.Releases) {
		pieces = append(pieces, fmt.Sprintf("release: %q: {service: %q, version: %q, target: 50, over: %q}\n",
			"to-"+serviceName(i), serviceName(i), versionNew, over.String()))
	}
	return pieces
}

// servicesText states the services, each called by a few others as in a tree of calls, and the flags of those
// that have a release.
func (o *hollowOperator) servicesText() string {
	var text strings.Builder
	services := int(o.opts.Services)
	for i := range services {
		callers := []string{clientCaller}
		for j := 1; j <= min(callersPerService, services-1); j++ {
			callers = append(callers, serviceName((i-j+services)%services))
		}
		fmt.Fprintf(&text, "service: %q: {versions: [%q, %q], fallback: %q, callers: %s}\n",
			serviceName(i), versionOld, versionNew, versionOld, quoteList(callers))
		if i < int(o.opts.Releases) {
			text.WriteString(o.core.Deployment.FlagText(serviceName(i), 0, 0))
		}
	}
	return text.String()
}

// submitUntilAccepted submits a change at one core member after another. A conflict counts as accepted: an
// earlier attempt, whose response was lost, was.
func (o *hollowOperator) submitUntilAccepted(ctx context.Context, text string) error {
	for attempt := 0; ; attempt++ {
		answer, err := o.submitChange(attempt%int(o.opts.Seats), text)
		if err == nil && (answer.Ruling == "accepted" || answer.Ruling == "conflict") {
			return nil
		}
		if err == nil && answer.Ruling == "invalid" {
			return errs.New(errs.InvalidConfig, fmt.Sprint(answer.Faults))
		}
		if attempt == maxInitialAttempts {
			return errs.New(errs.NoQuorum, fmt.Sprintf("the first setup was not taken: %+v, %v", answer, err))
		}
		if !sleepContext(ctx, initialRetryBackoff) {
			return ctx.Err()
		}
	}
}

// The first configuration of a hollow fleet, and how often it is submitted.
const (
	callersPerService   = 3
	releaseLengthFactor = 10
	maxInitialAttempts  = 100
	initialRetryBackoff = 200 * time.Millisecond
)

// routeText states the i-th route, in CUE. One route in three is non-idempotent.
func (o *hollowOperator) routeText(i int, deadline string) string {
	class := "repeatable"
	if i%3 == 0 {
		class = "once"
	}
	return fmt.Sprintf("route: %q: {service: %q, prefix: \"/%s/%s\", methods: [\"GET\"], class: %q, horizon: %q, key: \"X-User\"}\n",
		routeName(i), serviceName(i%int(o.opts.Services)), serviceName(i%int(o.opts.Services)), routeName(i), class, deadline)
}

// changeLoop submits changes at the settings' rate until stop closes, each of one route.
func (o *hollowOperator) changeLoop(stop <-chan struct{}) {
	if o.opts.Changes == 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Minute) / o.opts.Changes))
	defer ticker.Stop()
	var submitting sync.WaitGroup
	defer submitting.Wait()
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		text := o.routeText(o.rng.IntN(int(o.opts.Routes)), fmt.Sprintf("%dms", minDeadlineMS+turn))
		// At a high rate the next change is submitted before the one before it is acknowledged.
		submitting.Go(func() {
			_, _ = o.submitChange(turn%int(o.opts.Seats), text) // what was not accepted is not measured
		})
	}
}

// minDeadlineMS is the deadline that the first change gives its route; each further change gives one more.
const minDeadlineMS = 2000
