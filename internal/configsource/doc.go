// Package configsource parses the configuration that operators write in CUE into the items of a change. It is
// separate from package config so that programs that never parse CUE do not link the CUE library.
//
// The registry calls Parse for changes that arrive at the mesh's own operator API; the operator program and the
// simulator call it too. Its only state is the compiled CUE schema, which a lock guards. Any goroutine may call Parse,
// but parses run one at a time.
package configsource
