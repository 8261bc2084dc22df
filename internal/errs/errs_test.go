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

// An error keeps the code that it was given first, however often it is wrapped.
func TestWrapKeepsTheFirstCode(t *testing.T) {
	if Wrap(nil, Internal, "x") != nil {
		t.Error("wrapping nil gave an error")
	}
	inner := Wrap(io.ErrUnexpectedEOF, InvalidResponse, "body")
	outer := Wrap(inner, PeerConnectionLost, "peer RPC")
	if CodeOf(outer) != InvalidResponse || !errors.Is(outer, io.ErrUnexpectedEOF) {
		t.Errorf("%v is %s", outer, CodeOf(outer))
	}
	if CodeOf(io.EOF) != Internal || HTTPStatus(CodeOf(io.EOF)) != http.StatusInternalServerError {
		t.Error("an error without a code is not internal")
	}
	if HTTPStatus(CallerNotAllowed) != http.StatusForbidden || HTTPStatus(BodyTooLarge) != http.StatusRequestEntityTooLarge {
		t.Error("a code has the wrong status")
	}
}

// Every code that is declared has a status, so that Codes lists them all.
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
		t.Errorf("%d codes are declared, %d have a status", declared, listed)
	}
}
