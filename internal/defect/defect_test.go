package defect

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
func TestWrapKeepsTheFirstKind(t *testing.T) {
	if Wrap(nil, Internal, "x") != nil {
		t.Error("no error became one")
	}
	inner := Wrap(io.ErrUnexpectedEOF, BadAnswer, "body")
	outer := Wrap(inner, LinkLost, "hop")
	if KindOf(outer) != BadAnswer || !errors.Is(outer, io.ErrUnexpectedEOF) {
		t.Errorf("%v is %s", outer, KindOf(outer))
	}
	if KindOf(io.EOF) != Internal || Status(KindOf(io.EOF)) != http.StatusInternalServerError {
		t.Error("a strange error is not internal")
	}
	if Status(NotAllowed) != http.StatusForbidden || Status(TooLarge) != http.StatusRequestEntityTooLarge {
		t.Error("a kind has the wrong status")
	}
}

// Every kind that is declared has its status, so that none is left out where kinds are gone through.
func TestKindsAreWhole(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "defect.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	declared := 0
	ast.Inspect(file, func(node ast.Node) bool {
		if value, is := node.(*ast.ValueSpec); is && value.Type != nil {
			if kind, is := value.Type.(*ast.Ident); is && kind.Name == "Kind" {
				declared++
			}
		}
		return true
	})
	if listed := len(Kinds()); declared != listed || declared == 0 {
		t.Errorf("%d kinds are declared, %d have a status", declared, listed)
	}
}
