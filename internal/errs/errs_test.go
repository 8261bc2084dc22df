package errs

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net/http"
	"testing"
)

// An error keeps the code that was set first, however often it is wrapped.
func TestWrapKeepsTheFirstCode(t *testing.T) {
	if got := Wrap(nil, Internal, "x"); got != nil {
		t.Errorf("Wrap(nil) = %v, want nil", got)
	}
	inner := Wrap(io.ErrUnexpectedEOF, InvalidResponse, "body")
	outer := Wrap(inner, PeerConnectionLost, "peer RPC")
	if CodeOf(outer) != InvalidResponse || !errors.Is(outer, io.ErrUnexpectedEOF) {
		t.Errorf("CodeOf(%q) = %s, want %s; errors.Is(its cause) = %v, want true",
			outer, CodeOf(outer), InvalidResponse, errors.Is(outer, io.ErrUnexpectedEOF))
	}
	if code := CodeOf(io.EOF); code != Internal || HTTPStatus(code) != http.StatusInternalServerError {
		t.Errorf("an error without a code has code %s and status %d, want %s and %d",
			code, HTTPStatus(code), Internal, http.StatusInternalServerError)
	}
	if HTTPStatus(CallerNotAllowed) != http.StatusForbidden || HTTPStatus(BodyTooLarge) != http.StatusRequestEntityTooLarge {
		t.Errorf("HTTPStatus of CallerNotAllowed = %d, want %d; of BodyTooLarge = %d, want %d", HTTPStatus(CallerNotAllowed),
			http.StatusForbidden, HTTPStatus(BodyTooLarge), http.StatusRequestEntityTooLarge)
	}
}

// Every declared code has a status, so that Codes returns all of them.
func TestEveryCodeHasAStatus(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	declared := 0
	ast.Inspect(file, func(node ast.Node) bool {
		if value, ok := node.(*ast.ValueSpec); ok && value.Type != nil {
			if typeName, ok := value.Type.(*ast.Ident); ok && typeName.Name == "Code" {
				declared++
			}
		}
		return true
	})
	if listed := len(Codes()); declared != listed || declared == 0 {
		t.Errorf("codes.go declares %d codes, Codes returns %d; want equal numbers above zero", declared, listed)
	}
}
