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

// parsesPerContext is the number of texts after which the CUE context is replaced, because a context grows with each
// text that is compiled in it.
const parsesPerContext = 64

// schemaCache holds the compiled CUE schema.
var schemaCache struct {
	// lock guards all fields and every use of their values, since a CUE context is not safe for concurrent use.
	lock       sync.Mutex
	parsesLeft int          // number of parses before the context is replaced
	schema     cue.Value    // rootDefinition, compiled in ctx
	ctx        *cue.Context // nil before the first parse
}

// Parse returns the items of a change that an operator wrote in CUE, ordered by schema.Key. Items have no version. A
// removed item is returned as a tombstone. If the text is invalid, Parse returns its faults instead: all that CUE finds,
// or if CUE finds none, the first that Parse finds in the items.
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

// renewContext makes a new CUE context and compiles the schema in it if the current one has no parses left. The caller
// holds schemaCache.lock.
func renewContext() {
	if schemaCache.parsesLeft == 0 {
		schemaCache.ctx = cuecontext.New()
		compiled := schemaCache.ctx.CompileString(schemaText, cue.Filename("schema.cue"))
		schemaCache.schema = compiled.LookupPath(cue.ParsePath(rootDefinition))
		schemaCache.parsesLeft = parsesPerContext
	}
	schemaCache.parsesLeft--
}

// unify checks a text against the schema, and returns it as JSON with the schema's defaults filled in, or its faults.
// The caller holds schemaCache.lock.
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
