// Package options parses the settings of a program into a message of the schema. A setting is taken from the command
// line, else from the settings file, else from its default. It is checked by the Rule of its field in the schema.
//
// Programs call it when they start, and package daemon calls it again when a settings file changes. The package owns
// no state; all functions may be called from any goroutine.
package options
