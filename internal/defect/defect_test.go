package defect

import (
	"errors"
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
