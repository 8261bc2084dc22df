package registry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// callAPI is an additional operator API whose calls carry operator versions and no id, like those of a platform.
type callAPI struct{}

// testCall is the body of a call to callAPI: the items of a change.
type testCall []*schema.Item

func (callAPI) Handle(call *fasthttp.RequestCtx, backend OperatorBackend) bool {
	switch string(call.Path()) {
	case "/call":
		var items testCall
		if err := json.Unmarshal(call.PostBody(), &items); err != nil {
			call.SetStatusCode(http.StatusBadRequest)
			return true
		}
		outcome := backend.SubmitChange(call, &schema.Change{Items: items, ByOperatorVersion: true})
		if outcome == nil {
			call.SetStatusCode(http.StatusServiceUnavailable)
			return true
		}
		call.SetBodyString(outcome.Ruling.String())
	case "/items":
		items, known := backend.ReadItems(call)
		if !known {
			call.SetStatusCode(http.StatusServiceUnavailable)
			return true
		}
		var keys []string
		for _, item := range items {
			if !item.Deleted {
				keys = append(keys, config.Key(item.Kind, item.Name))
			}
		}
		call.SetBodyString(strings.Join(keys, " "))
	default:
		return false
	}
	return true
}

// expectRuling submits a call at a member and checks the ruling on it.
func (c *testCore) expectRuling(t *testing.T, member int, call testCall, want schema.Ruling) {
	t.Helper()
	body, err := json.Marshal(call)
	if err != nil {
		t.Fatal(err)
	}
	if _, got := c.request(t, member, "POST", "/call", string(body), isDecided); got != want.String() {
		t.Errorf("ruling of member %d on the call %s = %q, want %q", member, body, got, want)
	}
}

// expectItems reads the configuration at a member and checks that it has exactly the items with the wanted keys.
func (c *testCore) expectItems(t *testing.T, member int, want ...string) {
	t.Helper()
	_, text := c.request(t, member, "GET", "/items", "", isDecided)
	if got := strings.Fields(text); !slices.Equal(got, want) {
		t.Errorf("items at member %d = %q, want %q", member, got, want)
	}
}

// A call without an id that one registry has refused stays refused at every registry, also once another operator's
// change would make it valid. An operator sends copies of one call to several registries, and a copy may wait for long
// at a machine that is frozen or cut off.
func TestRefusedCallStaysRefused(t *testing.T) {
	const (
		accepted = schema.Ruling_RULING_ACCEPTED
		invalid  = schema.Ruling_RULING_INVALID
		conflict = schema.Ruling_RULING_CONFLICT
	)
	item := func(kind, name string, version uint64, body string) *schema.Item {
		return &schema.Item{Kind: kind, Name: name, OperatorVersion: version, Body: []byte(body), Deleted: body == ""}
	}
	const (
		service    = `{"callers":["client"]}`
		shopRoute  = `{"service":"shop","prefix":"/shop/","horizon":"1s"}`
		cardsRoute = `{"service":"cards","prefix":"/cards/","horizon":"1s"}`
	)
	for name, test := range map[string]struct {
		refused testCall
		ruling  schema.Ruling
		enabler testCall // change after which the refused call would be accepted
		want    []string // items at the end
	}{
		"invalid until another operator adds the service": {
			refused: testCall{item("route", "cards", 9, cardsRoute), item("route", "shop", 9, "")},
			ruling:  invalid,
			enabler: testCall{item("service", "cards", 9, service)},
			want:    []string{"route/shop", "service/cards", "service/shop"},
		},
		"conflicting until the item is overtaken": {
			refused: testCall{item("route", "shop", 7, strings.Replace(shopRoute, "1s", "2s", 1)), item("segment", "more", 9, `{"salt":""}`)},
			ruling:  conflict,
			enabler: testCall{item("route", "shop", 8, shopRoute)},
			want:    []string{"route/shop", "service/shop"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			core := startTestCore(t, 3, false, WithOperatorAPI(callAPI{}))
			core.expectRuling(t, 0, testCall{item("service", "shop", 7, service), item("route", "shop", 7, shopRoute)}, accepted)
			core.expectRuling(t, 0, test.refused, test.ruling)
			core.expectRuling(t, 1, test.enabler, accepted)
			for member := range core.hosts {
				core.expectRuling(t, member, test.refused, test.ruling)
				core.expectItems(t, member, test.want...)
			}
		})
	}
}

// The id of a call depends on its content alone, and on all of it. It never changes: registries of two releases in one
// core must give the copies of a call the same id.
func TestCallIDIsStable(t *testing.T) {
	call := func(edit func(item *schema.Item)) string {
		item := &schema.Item{Kind: "route", Name: "r", OperatorVersion: 9, Body: []byte("{}"), OperatorBody: []byte("{ }")}
		edit(item)
		return CallID(&schema.Change{ByOperatorVersion: true, Items: []*schema.Item{item}})
	}
	const want = "call-c9fa7c246479b0887af88abf26aae6a4"
	original := call(func(*schema.Item) {})
	if original != want {
		t.Errorf("CallID = %q, want %q as in earlier releases", original, want)
	}
	for name, edit := range map[string]func(item *schema.Item){
		"kind":          func(item *schema.Item) { item.Kind = "service" },
		"name":          func(item *schema.Item) { item.Name = "s" },
		"version":       func(item *schema.Item) { item.OperatorVersion = 10 },
		"deletion":      func(item *schema.Item) { item.Deleted = true },
		"body":          func(item *schema.Item) { item.Body = []byte("[]") },
		"operator body": func(item *schema.Item) { item.OperatorBody = []byte("{}") },
	} {
		if got := call(edit); got == original {
			t.Errorf("CallID with another %s = %q, want another id than that of the original call", name, got)
		}
	}
}
