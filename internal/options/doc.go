// Package options parses a program's settings into a message of the schema: from the command line, then from a
// settings file, then from defaults. Each setting is checked by the rule beside its field in the schema.
//
// Every program calls it at start, and package daemon again when a settings file changes. It owns no state; all
// functions may be called from any goroutine.
package options
