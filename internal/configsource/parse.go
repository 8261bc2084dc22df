package configsource

import (
	_ "embed"
	"sync"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"

	"meadowhinge/schema"
)

//go:embed schema.cue
var schemaText string

// rootDefinition is the definition in the CUE schema that a configuration must match.
const rootDefinition = "#Setup"

// parsesPerContext is how many texts are parsed before the CUE context is replaced, as it grows with use.
const parsesPerContext = 64

// schemaCache holds the compiled CUE schema. A CUE context is not safe for concurrent use, so lock guards all
// fields, and every use of the values.
var schemaCache struct {
	lock       sync.Mutex
	parsesLeft int // before the context is replaced
	schema     cue.Value
	ctx        *cue.Context
}

// Parse turns an operator's CUE text into the items of a change, ordered by schema.Key, or lists every fault.
func Parse(text []byte) ([]*schema.Item, []*schema.FieldError) {
	schemaCache.lock.Lock()
	defer schemaCache.lock.Unlock()
	renewContext()
	body, faults := unify(text)
	if len(faults) > 0 {
		return nil, faults
	}
	items, fault := itemsOf(body)
	if fault != nil {
		return nil, []*schema.FieldError{fault}
	}
	if fault := checkItems(items); fault != nil {
		return nil, []*schema.FieldError{fault}
	}
	return items, nil
}

// renewContext compiles the schema for another number of parses if none is left; schemaCache.lock is held.
func renewContext() {
	if schemaCache.parsesLeft == 0 {
		schemaCache.ctx = cuecontext.New()
		compiled := schemaCache.ctx.CompileString(schemaText, cue.Filename("schema.cue"))
		schemaCache.schema = compiled.LookupPath(cue.ParsePath(rootDefinition))
		schemaCache.parsesLeft = parsesPerContext
	}
	schemaCache.parsesLeft--
}

// unify checks a text against the schema and gives it as JSON, defaults filled in; schemaCache.lock is held.
func unify(text []byte) ([]byte, []*schema.FieldError) {
	input := schemaCache.ctx.CompileBytes(text, cue.Filename("setup.cue"))
	if err := input.Err(); err != nil {
		return nil, cueFaults(err)
	}
	unified := schemaCache.schema.Unify(input)
	if err := unified.Validate(cue.Concrete(true), cue.Final(), cue.All()); err != nil {
		return nil, withUnknownFields(cueFaults(err), schemaCache.schema, input)
	}
	body, err := unified.MarshalJSON()
	if err != nil {
		return nil, cueFaults(err)
	}
	return body, nil
}
