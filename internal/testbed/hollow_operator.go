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

// hollowOperator is a fake operator that tracks the versions of the items that it has written. Unlike Operator, it does
// not read the configuration before each change. Its methods may be called concurrently, except changeLoop.
type hollowOperator struct {
	opts *schema.HollowOptions
	core *Fleet
	now  func() time.Duration // time since the run began
	http *http.Client
	rng  *rand.Rand // source of changeLoop's choices

	lock            sync.Mutex        // guards the fields below
	serial          int               // number of changes so far; part of their ids
	currentVersions map[string]uint64 // versions of items by key, as far as the responses so far showed them
	submitted       []submittedChange // accepted changes since the last forgetSubmitted
	rulings         map[string]int    // number of changes by ruling
	newestRevision  uint64            // newest revision of an accepted change
}

// submittedChange is an accepted change. Its times are measured from the beginning of the run.
type submittedChange struct {
	revision       uint64        // configuration revision that the change made
	submittedAt    time.Duration // time at which the change was sent
	acknowledgedAt time.Duration // time at which the acknowledgement was received; 0 if there was none
}

// newHollowOperator returns an operator of the core. It sends nothing before one of its methods is called.
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

// submitChange submits one change, in CUE, at a core member and records the result. A rejection is not an error: it is
// in the response. submitChange fails with errs.InvalidConfig if the text can't be parsed, with
// errs.PeerConnectionLost if there was no response, and with errs.MalformedRequest if that is not valid JSON.
func (o *hollowOperator) submitChange(core int, text string) (*registry.ChangeResponse, error) {
	items, faults := configsource.Parse([]byte(text))
	if len(faults) > 0 {
		return nil, errs.New(errs.InvalidConfig, fmt.Sprintf("cannot parse the change: %v", faults[0]))
	}
	body, err := json.Marshal(o.newSubmission(text, items))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "cannot encode the change")
	}
	entry := submittedChange{submittedAt: o.now()}
	answer, err := o.post(core, body)
	if err != nil {
		return nil, err
	}
	if answer.Acknowledged {
		entry.acknowledgedAt = o.now()
	}
	entry.revision = answer.Revision
	o.record(answer, items, entry)
	return answer, nil
}

// newSubmission makes the request for a change. The change expects the item versions that the operator knows.
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

// post sends an encoded change to a core member and decodes the response.
func (o *hollowOperator) post(core int, body []byte) (*registry.ChangeResponse, error) {
	address := o.core.OperatorAddress(core)
	response, err := o.http.Post("http://"+address+"/v1/changes", "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err, errs.PeerConnectionLost, "no response from the registry at "+address)
	}
	defer func() { _ = response.Body.Close() }() // the response is only read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errs.Wrap(err, errs.PeerConnectionLost, "incomplete response from the registry at "+address)
	}
	answer := &registry.ChangeResponse{}
	if err := json.Unmarshal(text, answer); err != nil {
		return nil, errs.Wrap(err, errs.MalformedRequest, fmt.Sprintf("cannot decode the response of the registry at %s: %s", address, text))
	}
	return answer, nil
}

// record counts the ruling on a change and updates the known versions. If the change was accepted, it adds the entry to
// submitted.
func (o *hollowOperator) record(answer *registry.ChangeResponse, items []*schema.Item, entry submittedChange) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.rulings[answer.Ruling]++
	maps.Copy(o.currentVersions, answer.CurrentVersions)
	if answer.Ruling != "accepted" {
		return
	}
	for _, item := range items {
		o.currentVersions[config.Key(item.Kind, item.Name)] = answer.Revision
	}
	o.submitted = append(o.submitted, entry)
	o.newestRevision = max(o.newestRevision, answer.Revision)
}

// forgetSubmitted clears the accepted changes, so that only those after it are measured.
func (o *hollowOperator) forgetSubmitted() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.submitted = nil
}

// newestAccepted returns the newest configuration revision of an accepted change.
func (o *hollowOperator) newestAccepted() uint64 {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.newestRevision
}

// routesPerChange is the number of routes in each change of the initial configuration.
const routesPerChange = 250

// submitInitialConfig submits the changes of the initial configuration in order, each until it is accepted.
func (o *hollowOperator) submitInitialConfig(ctx context.Context) error {
	for _, piece := range o.initialConfig() {
		if err := o.submitUntilAccepted(ctx, piece); err != nil {
			return err
		}
	}
	return nil
}

// initialConfig returns the changes that make up the initial configuration: services, then routes, then releases.
func (o *hollowOperator) initialConfig() []string {
	pieces := []string{o.servicesText()}
	for from := 0; from < int(o.opts.Routes); from += routesPerChange {
		var text strings.Builder
		for i := from; i < min(from+routesPerChange, int(o.opts.Routes)); i++ {
			text.WriteString(o.routeText(i, "2s"))
		}
		pieces = append(pieces, text.String())
	}
	// A release takes so long that it is still in progress at the end of the run.
	over := releaseLengthFactor * time.Duration(o.opts.Length+o.opts.Settle)
	for i := range int(o.opts.Releases) {
		pieces = append(pieces, fmt.Sprintf("release: %q: {service: %q, version: %q, target: 50, over: %q}\n",
			"to-"+serviceName(i), serviceName(i), versionNew, over.String()))
	}
	return pieces
}

// servicesText returns the services in CUE, with the release flags of those that have a release. Clients and up to
// callersPerService other services may call each service, as in a tree of calls.
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

// submitUntilAccepted submits a change at the core members in turn until it is accepted. A conflict counts as accepted,
// because it shows that an earlier attempt was accepted and its response lost. It fails with errs.InvalidConfig if the
// change is invalid, with errs.NoQuorum after maxInitialRetries retries, or with ctx's error.
func (o *hollowOperator) submitUntilAccepted(ctx context.Context, text string) error {
	for attempt := 0; ; attempt++ {
		answer, err := o.submitChange(attempt%int(o.opts.Seats), text)
		if err == nil && (answer.Ruling == "accepted" || answer.Ruling == "conflict") {
			return nil
		}
		if err == nil && answer.Ruling == "invalid" {
			return errs.New(errs.InvalidConfig, fmt.Sprintf("the initial configuration is invalid: %v", answer.Faults))
		}
		if attempt == maxInitialRetries {
			return errs.New(errs.NoQuorum,
				fmt.Sprintf("the initial configuration was not accepted in %d attempts; last response: %+v, error: %v", attempt+1, answer, err))
		}
		if !sleepContext(ctx, initialRetryBackoff) {
			return ctx.Err()
		}
	}
}

// The initial configuration of a hollow fleet and its submission.
const (
	callersPerService   = 3                      // largest number of other services that may call a service
	releaseLengthFactor = 10                     // duration of a release, as a multiple of the run's
	maxInitialRetries   = 100                    // largest number of retries of each change
	initialRetryBackoff = 200 * time.Millisecond // time between two attempts
)

// routeText returns the i-th route with the given deadline, in CUE. Every third route is non-idempotent.
func (o *hollowOperator) routeText(i int, deadline string) string {
	class := "repeatable"
	if i%3 == 0 {
		class = "once"
	}
	return fmt.Sprintf("route: %q: {service: %q, prefix: \"/%s/%s\", methods: [\"GET\"], class: %q, horizon: %q, key: \"X-User\"}\n",
		routeName(i), serviceName(i%int(o.opts.Services)), serviceName(i%int(o.opts.Services)), routeName(i), class, deadline)
}

// changeLoop submits Changes changes per minute until stop closes, then waits for their responses. Each change gives a
// random route a new deadline.
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
		// At a high rate a change is submitted before the previous one is acknowledged.
		submitting.Go(func() {
			_, _ = o.submitChange(turn%int(o.opts.Seats), text) // a change that fails is not measured
		})
	}
}

// minDeadlineMS is the deadline in milliseconds that the first change of changeLoop gives its route. Each further change
// uses a deadline that is 1 ms longer, so that it differs from all changes before.
const minDeadlineMS = 2000
