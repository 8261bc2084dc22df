package rehearsal

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
	name    string
	fleet   *Fleet
	ledger  *Ledger
	now     func() time.Duration
	http    *http.Client
	serial  int
	writing int
}

// NewOperator makes an operator.
func NewOperator(name string, fleet *Fleet, ledger *Ledger, now func() time.Duration) *Operator {
	return &Operator{name: name, fleet: fleet, ledger: ledger, now: now, http: &http.Client{Timeout: 25 * time.Second}}
}

func (o *Operator) ask(core int, method, path string, body, into any) (int, error) {
	text, _ := json.Marshal(body)
	request, _ := http.NewRequest(method, "http://"+o.fleet.Operator(core)+path, bytes.NewReader(text))
	response, err := o.http.Do(request)
	if err != nil {
		return 0, errs.Wrap(err, errs.PeerConnectionLost, "registry")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, errs.Wrap(err, errs.PeerConnectionLost, "registry")
	}
	return response.StatusCode, errs.Wrap(json.Unmarshal(answer, into), errs.MalformedRequest, string(answer))
}

// Shown reads the setup at a core machine and writes down what it showed.
func (o *Operator) Shown(core int) (*registry.ConfigView, error) {
	entry := ShownEntry{Node: o.fleet.Registries[core].Name, Asked: o.now()}
	shown := &registry.ConfigView{}
	status, err := o.ask(core, http.MethodGet, "/v1/setup", nil, shown)
	if err != nil || status != http.StatusOK {
		return nil, errs.New(errs.NoQuorum, fmt.Sprintf("status %d: %v", status, err))
	}
	entry.Got, entry.Setup = o.now(), shown.Sequence
	for _, item := range shown.Items {
		entry.Items = append(entry.Items, config.Key(item.Kind, item.Name))
	}
	note(o.ledger, &o.ledger.Shown, entry)
	return shown, nil
}

// Change states a change at a core machine and writes down what it was told. A marker is
// an item that only an invalid change names.
func (o *Operator) Change(core int, text, marker string) ChangeEntry {
	o.serial++
	entry := ChangeEntry{ID: fmt.Sprintf("%s-%d", o.name, o.serial), Invalid: marker != "", Marker: marker}
	submission := registry.ChangeRequest{ID: entry.ID, Config: text, ExpectedVersions: map[string]uint64{}}
	if shown, err := o.Shown(core); err == nil {
		items, _ := configsource.Parse([]byte(text))
		for _, item := range items {
			for _, held := range shown.Items {
				if held.Kind == item.Kind && held.Name == item.Name {
					submission.ExpectedVersions[config.Key(item.Kind, item.Name)] = held.Version
				}
			}
		}
	}
	entry.Sent = o.now()
	var answer registry.ChangeResponse
	_, err := o.ask(core, http.MethodPost, "/v1/changes", submission, &answer)
	entry.Got = o.now()
	entry.Ruling, entry.Sequence, entry.Acknowledged = answer.Ruling, answer.Sequence, answer.Acknowledged
	if err != nil || entry.Ruling == "" {
		entry.Ruling = "unknown"
	}
	note(o.ledger, &o.ledger.Changes, entry)
	return entry
}

// invalidText is a change with a good item and a bad one: nothing of it may come into force.
func (o *Operator) invalidText() (text, marker string) {
	o.writing++
	name := fmt.Sprintf("bad-%s-%d", o.name, o.writing)
	service := o.fleet.Deployment.Services[0].Name
	return fmt.Sprintf(`route: %q: {service: %q, prefix: "/%s"}
flag: "loop-%s": {on: true, salt: "", variations: ["x"], offVariation: 0, fallthrough: {variation: 0}, prerequisites: [{key: "loop-%s", variation: 0}]}
`, name, service, name, name, name), "route/" + name
}

// Storm states change after change until stop is closed, an invalid one every so
// often. With spareFlags the flags are left to the release plans.
func (o *Operator) Storm(stop <-chan struct{}, pause time.Duration, spareFlags bool) {
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		core := turn % o.fleet.Deployment.Cores
		if turn%5 == 4 {
			text, marker := o.invalidText()
			o.Change(core, text, marker)
			continue
		}
		service := o.fleet.Deployment.Services[turn%len(o.fleet.Deployment.Services)].Name
		o.writing++
		text := o.fleet.Deployment.FlagText(service, 30000+turn%5*10000, o.writing)
		if spareFlags {
			text = fmt.Sprintf("segment: %q: {salt: \"%d\"}\n", "storm-"+service, o.writing)
		}
		o.Change(core, text, "")
	}
}

// Releases reads the release plans at a core machine.
func (o *Operator) Releases(core int) ([]registry.ReleaseView, error) {
	var shown []registry.ReleaseView
	status, err := o.ask(core, http.MethodGet, "/v1/releases", nil, &shown)
	if err == nil && status != http.StatusOK {
		err = errs.New(errs.NoQuorum, fmt.Sprint(status))
	}
	return shown, err
}
