// Package statement reads what operators state, in CUE, into the items of a change. It stands apart
// from the setup so that programs which never read it do not carry its library.
package configsource

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

// schemaCache keeps the compiled schema; a CUE context is not safe for several threads and
// grows with use, so it is guarded and made anew after a number of readings.
var schemaCache struct {
	lock   sync.Mutex
	left   int
	schema cue.Value
	ctx    *cue.Context
}

// parsesPerContext bounds what a CUE context may pile up.
const parsesPerContext = 64

// Parse turns an operator's CUE text into the items of a change, or lists every fault.
func Parse(text []byte) ([]*schema.Item, []*schema.FieldError) {
	schemaCache.lock.Lock()
	defer schemaCache.lock.Unlock()
	if schemaCache.left == 0 {
		schemaCache.ctx = cuecontext.New()
		schemaCache.schema = schemaCache.ctx.CompileString(schemaText, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Setup"))
		schemaCache.left = parsesPerContext
	}
	schemaCache.left--
	input := schemaCache.ctx.CompileBytes(text, cue.Filename("setup.cue"))
	if err := input.Err(); err != nil {
		return nil, cueFaults(err)
	}
	unified := schemaCache.schema.Unify(input)
	if err := unified.Validate(cue.Concrete(true), cue.Final(), cue.All()); err != nil {
		// A bad value in a struct hides its misspelt fields from CUE, so those are looked for apart.
		faults := cueFaults(err)
		reported := map[string]bool{}
		for _, fault := range faults {
			reported[fault.Path] = true
		}
		reportUnknownFields(schemaCache.schema, input, nil, func(path string) {
			if !reported[path] {
				faults = append(faults, &schema.FieldError{Path: path, Reason: "field not allowed"})
			}
		})
		return nil, faults
	}
	body, err := unified.MarshalJSON()
	if err != nil {
		return nil, cueFaults(err)
	}
	var bodiesByKind map[string]map[string]json.RawMessage
	if err := json.Unmarshal(body, &bodiesByKind); err != nil {
		return nil, []*schema.FieldError{{Path: ".", Reason: err.Error()}}
	}
	var items []*schema.Item
	for kind, bodyByName := range bodiesByKind {
		// There is one item of limits, so nobody need name it.
		if kind == schema.LimitsKind {
			limits, err := json.Marshal(bodyByName)
			if err != nil {
				return nil, []*schema.FieldError{{Path: kind, Reason: err.Error()}}
			}
			bodyByName = map[string]json.RawMessage{schema.LimitsName: limits}
		}
		for name, itemBody := range bodyByName {
			if kind != "remove" {
				items = append(items, &schema.Item{Kind: kind, Name: name, Body: itemBody})
				continue
			}
			var names []string
			if err := json.Unmarshal(itemBody, &names); err != nil {
				return nil, []*schema.FieldError{{Path: "remove." + name, Reason: err.Error()}}
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
			return nil, []*schema.FieldError{{Path: items[i].Kind + "." + items[i].Name, Reason: "is both written and removed"}}
		}
	}
	if len(items) == 0 {
		return nil, []*schema.FieldError{{Path: ".", Reason: "states no item"}}
	}
	return items, nil
}

// reportUnknownFields walks what was given beside the schema and names each field that is not in it.
func reportUnknownFields(allowed, input cue.Value, path []string, report func(path string)) {
	if list, err := input.List(); err == nil {
		for i := 0; list.Next(); i++ {
			reportUnknownFields(allowed.LookupPath(cue.MakePath(cue.AnyIndex)), list.Value(), append(path, strconv.Itoa(i)), report)
		}
		return
	}
	fields, err := input.Fields()
	if err != nil || !allowed.Exists() || allowed.IncompleteKind() != cue.StructKind {
		return
	}
	for fields.Next() {
		selector := fields.Selector()
		fieldPath := append(path[:len(path):len(path)], selector.String())
		if !allowed.Allows(selector) {
			report(strings.Join(fieldPath, "."))
			continue
		}
		fieldSchema := allowed.LookupPath(cue.MakePath(selector.Optional()))
		if !fieldSchema.Exists() {
			fieldSchema = allowed.LookupPath(cue.MakePath(cue.AnyString))
		}
		reportUnknownFields(fieldSchema, fields.Value(), fieldPath, report)
	}
}

// cueFaults lists every error CUE found, once each.
func cueFaults(err error) []*schema.FieldError {
	var faults []*schema.FieldError
	seen := map[string]bool{}
	for _, cueError := range errors.Errors(err) {
		path := strings.TrimPrefix(strings.Join(cueError.Path(), "."), "#Setup.")
		format, values := cueError.Msg()
		reason := strings.TrimSpace(errors.Details(errors.Newf(cueError.Position(), format, values...), nil))
		reason, _, _ = strings.Cut(reason, "\n")
		reason = strings.TrimSuffix(reason, ":")
		if path == "" {
			path = "."
		}
		if !seen[path+reason] {
			seen[path+reason] = true
			faults = append(faults, &schema.FieldError{Path: path, Reason: reason})
		}
	}
	return faults
}
