package configsource

import (
	"strconv"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/errors"

	"meadowhinge/schema"
)

// cueFaults returns the errors that CUE found as faults, without duplicates. The path of a fault is that in the
// operator's text, or "." for the text as a whole.
func cueFaults(err error) []*schema.FieldError {
	var faults []*schema.FieldError
	seen := map[string]bool{}
	for _, cueError := range errors.Errors(err) {
		path := strings.TrimPrefix(strings.Join(cueError.Path(), "."), rootDefinition+".")
		if path == "" {
			path = "."
		}
		reason := reasonOf(cueError)
		if !seen[path+reason] {
			seen[path+reason] = true
			faults = append(faults, &schema.FieldError{Path: path, Reason: reason})
		}
	}
	return faults
}

// reasonOf returns the first line of the details of a CUE error. The lines after it are positions in files.
func reasonOf(cueError errors.Error) string {
	format, values := cueError.Msg()
	details := strings.TrimSpace(errors.Details(errors.Newf(cueError.Position(), format, values...), nil))
	firstLine, _, _ := strings.Cut(details, "\n")
	return strings.TrimSuffix(firstLine, ":")
}

// withUnknownFields returns faults with a fault for each unknown field of the input that faults does not contain yet.
// CUE does not report the unknown fields of a struct that has an invalid value.
func withUnknownFields(faults []*schema.FieldError, allowed, input cue.Value) []*schema.FieldError {
	reported := map[string]bool{}
	for _, fault := range faults {
		reported[fault.Path] = true
	}
	reportUnknownFields(allowed, input, nil, func(path string) {
		if !reported[path] {
			faults = append(faults, &schema.FieldError{Path: path, Reason: "field not allowed"})
		}
	})
	return faults
}

// reportUnknownFields walks through the input along with its schema, allowed, and reports the path of each field that
// the schema does not have. path is the path of the input.
func reportUnknownFields(allowed, input cue.Value, path []string, report func(path string)) {
	if list, err := input.List(); err == nil {
		elementSchema := allowed.LookupPath(cue.MakePath(cue.AnyIndex))
		for i := 0; list.Next(); i++ {
			reportUnknownFields(elementSchema, list.Value(), append(path, strconv.Itoa(i)), report)
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
