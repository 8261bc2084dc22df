// Package schema is the messages and settings of meadowhinge, generated from mesh.proto and testbed.proto. It
// owns no state. Field names, numbers and comments are changed in the .proto files, never in the generated code.
package schema

//go:generate sh -c "cd .. && go tool -modfile=schema/tools.mod buf generate"
