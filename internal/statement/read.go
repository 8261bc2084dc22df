// Package statement reads what operators state, in CUE, into the items of a change. It stands apart
// from the setup so that programs which never read it do not carry its library.
package statement

import (
	_ "embed"
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"sync"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"

	"meadowhinge/schema"
)

//go:embed schema.cue
var schemaText string

// reader keeps the compiled schema; a CUE context is not safe for several threads and
// grows with use, so it is guarded and made anew after a number of readings.
var reader struct {
	lock   sync.Mutex
	left   int
	schema cue.Value
	ctx    *cue.Context
}

// readingsPerContext bounds what a CUE context may pile up.
const readingsPerContext = 64

// Read turns an operator's CUE text into the items of a change, or lists every fault.
func Read(text []byte) ([]*schema.Item, []*schema.Fault) {
	reader.lock.Lock()
	defer reader.lock.Unlock()
	if reader.left == 0 {
		reader.ctx = cuecontext.New()
		reader.schema = reader.ctx.CompileString(schemaText, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Setup"))
		reader.left = readingsPerContext
	}
	reader.left--
	given := reader.ctx.CompileBytes(text, cue.Filename("setup.cue"))
	if err := given.Err(); err != nil {
		return nil, faultsOf(err)
	}
	whole := reader.schema.Unify(given)
	if err := whole.Validate(cue.Concrete(true), cue.Final(), cue.All()); err != nil {
		// A bad value in a struct hides its misspelt fields from CUE, so those are looked for apart.
		faults := faultsOf(err)
		seen := map[string]bool{}
		for _, fault := range faults {
			seen[fault.Path] = true
		}
		strangers(reader.schema, given, nil, func(path string) {
			if !seen[path] {
				faults = append(faults, &schema.Fault{Path: path, Reason: "field not allowed"})
			}
		})
		return nil, faults
	}
	body, err := whole.MarshalJSON()
	if err != nil {
		return nil, faultsOf(err)
	}
	var parts map[string]map[string]json.RawMessage
	if err := json.Unmarshal(body, &parts); err != nil {
		return nil, []*schema.Fault{{Path: ".", Reason: err.Error()}}
	}
	var items []*schema.Item
	for kind, named := range parts {
		// There is one item of limits, so nobody need name it.
		if kind == schema.LimitsKind {
			limits, err := json.Marshal(named)
			if err != nil {
				return nil, []*schema.Fault{{Path: kind, Reason: err.Error()}}
			}
			named = map[string]json.RawMessage{schema.LimitsName: limits}
		}
		for name, part := range named {
			if kind != "remove" {
				items = append(items, &schema.Item{Kind: kind, Name: name, Body: part})
				continue
			}
			var names []string
			if err := json.Unmarshal(part, &names); err != nil {
				return nil, []*schema.Fault{{Path: "remove." + name, Reason: err.Error()}}
			}
			for _, removed := range names {
				items = append(items, &schema.Item{Kind: name, Name: removed, Deleted: true})
			}
		}
	}
	sort.Slice(items, func(i, j int) bool {
		return schema.Key(items[i].Kind, items[i].Name) < schema.Key(items[j].Kind, items[j].Name)
	})
	for i := 1; i < len(items); i++ {
		if schema.Key(items[i].Kind, items[i].Name) == schema.Key(items[i-1].Kind, items[i-1].Name) {
			return nil, []*schema.Fault{{Path: items[i].Kind + "." + items[i].Name, Reason: "is both written and removed"}}
		}
	}
	if len(items) == 0 {
		return nil, []*schema.Fault{{Path: ".", Reason: "states no item"}}
	}
	return items, nil
}

// strangers walks what was given beside the schema and names each field that is not in it.
func strangers(allowed, given cue.Value, path []string, found func(path string)) {
	if list, err := given.List(); err == nil {
		for i := 0; list.Next(); i++ {
			strangers(allowed.LookupPath(cue.MakePath(cue.AnyIndex)), list.Value(), append(path, strconv.Itoa(i)), found)
		}
		return
	}
	fields, err := given.Fields()
	if err != nil || !allowed.Exists() || allowed.IncompleteKind() != cue.StructKind {
		return
	}
	for fields.Next() {
		selector := fields.Selector()
		at := append(path[:len(path):len(path)], selector.String())
		if !allowed.Allows(selector) {
			found(strings.Join(at, "."))
			continue
		}
		next := allowed.LookupPath(cue.MakePath(selector.Optional()))
		if !next.Exists() {
			next = allowed.LookupPath(cue.MakePath(cue.AnyString))
		}
		strangers(next, fields.Value(), at, found)
	}
}

// faultsOf lists every error CUE found, once each.
func faultsOf(err error) []*schema.Fault {
	var faults []*schema.Fault
	seen := map[string]bool{}
	for _, found := range errors.Errors(err) {
		path := strings.TrimPrefix(strings.Join(found.Path(), "."), "#Setup.")
		format, values := found.Msg()
		reason := strings.TrimSpace(errors.Details(errors.Newf(found.Position(), format, values...), nil))
		reason, _, _ = strings.Cut(reason, "\n")
		reason = strings.TrimSuffix(reason, ":")
		if path == "" {
			path = "."
		}
		if !seen[path+reason] {
			seen[path+reason] = true
			faults = append(faults, &schema.Fault{Path: path, Reason: reason})
		}
	}
	return faults
}
