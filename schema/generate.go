// Package schema has the messages of meadowhinge, the settings of its programs and the clients and servers of its RPCs,
// generated from mesh.proto and testbed.proto. Changes are made in the .proto files, never in the generated code. The
// package owns no state.
package schema

//go:generate sh -c "cd .. && go tool -modfile=schema/tools.mod buf generate"
