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

// An error keeps the kind it was first given, however often it is wrapped.
func TestWrapKeepsTheFirstCode(t *testing.T) {
	if Wrap(nil, Internal, "x") != nil {
		t.Error("no error became one")
	}
	inner := Wrap(io.ErrUnexpectedEOF, InvalidResponse, "body")
	outer := Wrap(inner, PeerConnectionLost, "hop")
	if CodeOf(outer) != InvalidResponse || !errors.Is(outer, io.ErrUnexpectedEOF) {
		t.Errorf("%v is %s", outer, CodeOf(outer))
	}
	if CodeOf(io.EOF) != Internal || HTTPStatus(CodeOf(io.EOF)) != http.StatusInternalServerError {
		t.Error("a strange error is not internal")
	}
	if HTTPStatus(CallerNotAllowed) != http.StatusForbidden || HTTPStatus(BodyTooLarge) != http.StatusRequestEntityTooLarge {
		t.Error("a kind has the wrong status")
	}
}

// Every kind that is declared has its status, so that none is left out where kinds are gone through.
func TestEveryCodeHasAStatus(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "defect.go", nil, 0)
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
		t.Errorf("%d kinds are declared, %d have a status", declared, listed)
	}
}
