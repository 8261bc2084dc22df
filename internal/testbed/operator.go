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

// Operator is a stand-in operator: it states changes and writes down what it was told.
type Operator struct {
	name         string
	fleet        *Fleet
	history      *History
	now          func() time.Duration
	http         *http.Client
	changeSerial int
	textSerial   int
}

// NewOperator makes an operator.
func NewOperator(name string, fleet *Fleet, history *History, now func() time.Duration) *Operator {
	return &Operator{name: name, fleet: fleet, history: history, now: now, http: &http.Client{Timeout: 25 * time.Second}}
}

func (o *Operator) call(core int, method, path string, body, target any) (int, error) {
	text, _ := json.Marshal(body)
	request, _ := http.NewRequest(method, "http://"+o.fleet.OperatorAddress(core)+path, bytes.NewReader(text))
	response, err := o.http.Do(request)
	if err != nil {
		return 0, errs.Wrap(err, errs.PeerConnectionLost, "registry")
	}
	defer func() { _ = response.Body.Close() }() // the response is only read
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, errs.Wrap(err, errs.PeerConnectionLost, "registry")
	}
	return response.StatusCode, errs.Wrap(json.Unmarshal(answer, target), errs.MalformedRequest, string(answer))
}

// ReadConfig reads the setup at a core machine and writes down what it showed.
func (o *Operator) ReadConfig(core int) (*registry.ConfigView, error) {
	entry := ConfigViewEntry{Node: o.fleet.Registries[core].Name, Requested: o.now()}
	shown := &registry.ConfigView{}
	status, err := o.call(core, http.MethodGet, "/v1/setup", nil, shown)
	if err != nil || status != http.StatusOK {
		return nil, errs.New(errs.NoQuorum, fmt.Sprintf("status %d: %v", status, err))
	}
	entry.Received, entry.ConfigRevision = o.now(), shown.Sequence
	for _, item := range shown.Items {
		entry.Items = append(entry.Items, config.Key(item.Kind, item.Name))
	}
	appendEntry(o.history, &o.history.ConfigViews, entry)
	return shown, nil
}

// SubmitChange states a change at a core machine and writes down what it was told. A marker is
// an item that only an invalid change names.
func (o *Operator) SubmitChange(core int, text, marker string) ChangeEntry {
	o.changeSerial++
	entry := ChangeEntry{ID: fmt.Sprintf("%s-%d", o.name, o.changeSerial), Invalid: marker != "", InvalidItem: marker}
	submission := registry.ChangeRequest{ID: entry.ID, Config: text, ExpectedVersions: map[string]uint64{}}
	if shown, err := o.ReadConfig(core); err == nil {
		items, _ := configsource.Parse([]byte(text))
		for _, item := range items {
			for _, current := range shown.Items {
				if current.Kind == item.Kind && current.Name == item.Name {
					submission.ExpectedVersions[config.Key(item.Kind, item.Name)] = current.Version
				}
			}
		}
	}
	entry.Sent = o.now()
	var answer registry.ChangeResponse
	_, err := o.call(core, http.MethodPost, "/v1/changes", submission, &answer)
	entry.Answered = o.now()
	entry.Ruling, entry.Sequence, entry.Acknowledged = answer.Ruling, answer.Sequence, answer.Acknowledged
	if err != nil || entry.Ruling == "" {
		entry.Ruling = "unknown"
	}
	appendEntry(o.history, &o.history.Changes, entry)
	return entry
}

// invalidChange is a change with a good item and a bad one: nothing of it may come into force.
func (o *Operator) invalidChange() (text, marker string) {
	o.textSerial++
	name := fmt.Sprintf("bad-%s-%d", o.name, o.textSerial)
	service := o.fleet.Deployment.Services[0].Name
	return fmt.Sprintf(`route: %q: {service: %q, prefix: "/%s"}
flag: "loop-%s": {on: true, salt: "", variations: ["x"], offVariation: 0, fallthrough: {variation: 0}, prerequisites: [{key: "loop-%s", variation: 0}]}
`, name, service, name, name, name), "route/" + name
}

// ChangeLoop states change after change until stop is closed, an invalid one every so
// often. With spareFlags the flags are left to the release plans.
func (o *Operator) ChangeLoop(stop <-chan struct{}, interval time.Duration, skipFlags bool) {
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		core := round % o.fleet.Deployment.CoreMembers
		if round%5 == 4 {
			text, marker := o.invalidChange()
			o.SubmitChange(core, text, marker)
			continue
		}
		service := o.fleet.Deployment.Services[round%len(o.fleet.Deployment.Services)].Name
		o.textSerial++
		text := o.fleet.Deployment.FlagText(service, 30000+round%5*10000, o.textSerial)
		if skipFlags {
			text = fmt.Sprintf("segment: %q: {salt: \"%d\"}\n", "storm-"+service, o.textSerial)
		}
		o.SubmitChange(core, text, "")
	}
}

// ReadReleases reads the release plans at a core machine.
func (o *Operator) ReadReleases(core int) ([]registry.ReleaseView, error) {
	var shown []registry.ReleaseView
	status, err := o.call(core, http.MethodGet, "/v1/releases", nil, &shown)
	if err == nil && status != http.StatusOK {
		err = errs.New(errs.NoQuorum, fmt.Sprint(status))
	}
	return shown, err
}
