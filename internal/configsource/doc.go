// Package configsource parses the configuration that operators write in CUE into the items of a change. It is
// apart from package config so that programs which never parse CUE do not carry its library.
//
// The registry calls it for changes that arrive in the mesh's own operator API; the operator program and the
// simulator call it too. Its only state is the compiled CUE schema, behind a lock; parses run one at a time.
package configsource
