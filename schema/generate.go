// Package schema holds the messages and settings of meadowhinge, generated from mesh.proto.
package schema

//go:generate sh -c "cd .. && go tool -modfile=schema/tools.mod buf generate"
