package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/configsource"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/registry"
)

// Operator is a fake operator that submits changes and records the responses in a history. It must be used from one
// goroutine at a time.
type Operator struct {
	name         string
	fleet        *Fleet
	history      *History
	now          func() time.Duration // time since the run began
	http         *http.Client
	changeSerial int // number of changes submitted so far; part of their ids
	textSerial   int // number of change texts made so far; each text contains its number, so that all differ
}

// operatorTimeout bounds each request of an operator. It is longer than a registry takes to answer a change that not
// every proxy acknowledges.
const operatorTimeout = 25 * time.Second

// NewOperator returns an operator of the fleet. Its name is part of the ids of its changes and must be unique in the
// run. Recorded times come from now.
func NewOperator(name string, fleet *Fleet, history *History, now func() time.Duration) *Operator {
	return &Operator{name: name, fleet: fleet, history: history, now: now, http: &http.Client{Timeout: operatorTimeout}}
}

// call sends a request to the registry of a core member, decodes the JSON response into target, whatever its status,
// and returns the status. A nil body is sent as JSON null. It fails with errs.PeerConnectionLost if there was no
// response, and with errs.MalformedRequest if the response is not valid JSON.
func (o *Operator) call(core int, method, path string, body, target any) (int, error) {
	requestBody, err := json.Marshal(body)
	if err != nil {
		return 0, errs.Wrap(err, errs.Internal, "cannot encode the body of "+method+" "+path)
	}
	address := o.fleet.OperatorAddress(core)
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(requestBody))
	if err != nil {
		return 0, errs.Wrap(err, errs.Internal, "cannot make the request "+method+" "+path)
	}
	response, err := o.http.Do(request)
	if err != nil {
		return 0, errs.Wrap(err, errs.PeerConnectionLost, "no response from the registry at "+address)
	}
	defer func() { _ = response.Body.Close() }() // the response is only read
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, errs.Wrap(err, errs.PeerConnectionLost, "incomplete response from the registry at "+address)
	}
	return response.StatusCode, errs.Wrap(json.Unmarshal(responseBody, target), errs.MalformedRequest,
		"cannot decode the response of the registry at "+address+": "+string(responseBody))
}

// ReadConfig reads the configuration at a core member and records it. It fails with errs.NoQuorum if the member does
// not return it.
func (o *Operator) ReadConfig(core int) (*registry.ConfigView, error) {
	entry := ConfigViewEntry{Node: o.fleet.Registries[core].Name, Requested: o.now()}
	view := &registry.ConfigView{}
	status, err := o.call(core, http.MethodGet, "/v1/setup", nil, view)
	if err != nil || status != http.StatusOK {
		return nil, errs.New(errs.NoQuorum, fmt.Sprintf("%s did not return its configuration: status %d, error %v", entry.Node, status, err))
	}
	entry.Received = o.now()
	entry.ConfigRevision = view.Revision
	for _, item := range view.Items {
		entry.Items = append(entry.Items, config.Key(item.Kind, item.Name))
	}
	appendEntry(o.history, &o.history.ConfigViews, entry)
	return view, nil
}

// SubmitChange submits a change, in CUE, at a core member. The change expects the item versions that this member shows.
// It records the result and returns it; the ruling is "unknown" if there was no valid response. For a change that must
// be rejected, invalidItem is the key of an item that only this change names; otherwise it is empty.
func (o *Operator) SubmitChange(core int, text, invalidItem string) ChangeEntry {
	o.changeSerial++
	entry := ChangeEntry{ID: fmt.Sprintf("%s-%d", o.name, o.changeSerial), Invalid: invalidItem != "", InvalidItem: invalidItem}
	submission := registry.ChangeRequest{ID: entry.ID, Config: text, ExpectedVersions: map[string]uint64{}}
	// If the configuration can't be read, the change expects no versions and may be rejected as a conflict.
	if view, err := o.ReadConfig(core); err == nil {
		items, _ := configsource.Parse([]byte(text)) // finding the faults of an invalid change is the registry's task
		for _, item := range items {
			for _, current := range view.Items {
				if current.Kind == item.Kind && current.Name == item.Name {
					submission.ExpectedVersions[config.Key(item.Kind, item.Name)] = current.Version
				}
			}
		}
	}
	entry.Sent = o.now()
	var response registry.ChangeResponse
	_, err := o.call(core, http.MethodPost, "/v1/changes", submission, &response)
	entry.Answered = o.now()
	entry.Ruling = response.Ruling
	entry.Sequence = response.Revision
	entry.Acknowledged = response.Acknowledged
	if err != nil || entry.Ruling == "" {
		entry.Ruling = "unknown"
	}
	appendEntry(o.history, &o.history.Changes, entry)
	return entry
}

// invalidChange returns a change that must be rejected as a whole, because one of its items is a flag that requires
// itself. Its other item, a route, is valid; the second result is the key of this route.
func (o *Operator) invalidChange() (text, invalidItem string) {
	o.textSerial++
	name := fmt.Sprintf("bad-%s-%d", o.name, o.textSerial)
	service := o.fleet.Deployment.Services[0].Name
	return fmt.Sprintf(`route: %q: {service: %q, prefix: "/%s"}
flag: "loop-%s": {on: true, salt: "", variations: ["x"], offVariation: 0, fallthrough: {variation: 0}, prerequisites: [{key: "loop-%s", variation: 0}]}
`, name, service, name, name, name), "route/" + name
}

// ChangeLoop submits a change each interval until stop closes. Every fifth change is invalid. The others change release
// flags or, with skipFlags, segments, so that they don't interfere with release plans.
func (o *Operator) ChangeLoop(stop <-chan struct{}, interval time.Duration, skipFlags bool) {
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		core := turn % o.fleet.Deployment.CoreMembers
		if turn%5 == 4 {
			text, invalidItem := o.invalidChange()
			o.SubmitChange(core, text, invalidItem)
			continue
		}
		service := o.fleet.Deployment.Services[turn%len(o.fleet.Deployment.Services)].Name
		o.textSerial++
		text := o.fleet.Deployment.FlagText(service, 30000+turn%5*10000, o.textSerial)
		if skipFlags {
			text = fmt.Sprintf("segment: %q: {salt: \"%d\"}\n", "storm-"+service, o.textSerial)
		}
		o.SubmitChange(core, text, "")
	}
}

// ReadReleases reads the release plans at a core member. It fails like call, or with errs.NoQuorum if the status of the
// response is not 200.
func (o *Operator) ReadReleases(core int) ([]registry.ReleaseView, error) {
	var releases []registry.ReleaseView
	status, err := o.call(core, http.MethodGet, "/v1/releases", nil, &releases)
	if err == nil && status != http.StatusOK {
		err = errs.New(errs.NoQuorum, fmt.Sprintf("%s did not return its release plans: status %d", o.fleet.Registries[core].Name, status))
	}
	return releases, err
}
