package socket

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// connPair gives both ends of a connection, the first of them with plain calls.
func connPair(t *testing.T) (plain net.Conn, other *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	taken, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialled.Close(); taken.Close() })
	plain = Wrap(taken)
	if _, is := plain.(*Conn); !is {
		t.Fatalf("a TCP connection became %T", plain)
	}
	return plain, dialled.(*net.TCPConn)
}

// TestFullDuplexTransfer sends more than a socket holds both ways at once.
func TestFullDuplexTransfer(t *testing.T) {
	plain, other := connPair(t)
	sent := bytes.Repeat([]byte("meadow hinge "), 1<<20)
	ends := make(chan error, 2)
	go func() {
		_, err := other.Write(sent)
		ends <- errors.Join(err, other.CloseWrite())
	}()
	go func() {
		count, err := plain.Write(sent)
		if err == nil && count != len(sent) {
			err = io.ErrShortWrite
		}
		ends <- errors.Join(err, plain.(*Conn).CloseWrite())
	}()
	back := make(chan []byte, 1)
	go func() {
		got, _ := io.ReadAll(other)
		back <- got
	}()
	// A small buffer, so that a read finds more than it takes.
	var got bytes.Buffer
	if _, err := io.CopyBuffer(&got, struct{ io.Reader }{plain}, make([]byte, 777)); err != nil {
		t.Fatal(err)
	}
	for range cap(ends) {
		if err := <-ends; err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(got.Bytes(), sent) || !bytes.Equal(<-back, sent) {
		t.Fatal("what came is not what was sent")
	}
}

// TestErrorsMatchTheStandardLibrary has each way in which a read or a write ends come out as the library's own would.
func TestErrorsMatchTheStandardLibrary(t *testing.T) {
	one := make([]byte, 1)
	for name, test := range map[string]struct {
		do   func(plain net.Conn, other *net.TCPConn) error
		want error
	}{
		"the other side closed": {func(plain net.Conn, other *net.TCPConn) error {
			other.Close()
			_, err := plain.Read(one)
			return err
		}, io.EOF},
		"reset": {func(plain net.Conn, other *net.TCPConn) error {
			_ = other.SetLinger(0)
			other.Close()
			_, err := plain.Read(one)
			return err
		}, syscall.ECONNRESET},
		"closed here": {func(plain net.Conn, _ *net.TCPConn) error {
			plain.Close()
			_, err := plain.Read(one)
			return err
		}, net.ErrClosed},
		"closed here while it is read": {func(plain net.Conn, _ *net.TCPConn) error {
			ended := make(chan error)
			go func() {
				_, err := plain.Read(one)
				ended <- err
			}()
			plain.Close()
			return <-ended
		}, net.ErrClosed},
		"past its time for reading": {func(plain net.Conn, _ *net.TCPConn) error {
			_ = plain.SetReadDeadline(time.Unix(1, 0))
			_, err := plain.Read(one)
			return err
		}, os.ErrDeadlineExceeded},
		"given its time while it is read": {func(plain net.Conn, _ *net.TCPConn) error {
			ended := make(chan error)
			go func() {
				_, err := plain.Read(one)
				ended <- err
			}()
			_ = plain.SetReadDeadline(time.Unix(1, 0))
			return <-ended
		}, os.ErrDeadlineExceeded},
		"nobody reads": {func(plain net.Conn, _ *net.TCPConn) error {
			_ = plain.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			for {
				if _, err := plain.Write(make([]byte, 1<<20)); err != nil {
					return err
				}
			}
		}, os.ErrDeadlineExceeded},
		"written after a reset": {func(plain net.Conn, other *net.TCPConn) error {
			_ = other.SetLinger(0)
			other.Close()
			for {
				if _, err := plain.Write(one); err != nil && !errors.Is(err, syscall.ECONNRESET) {
					return err
				}
			}
		}, syscall.EPIPE},
	} {
		t.Run(name, func(t *testing.T) {
			if err := test.do(connPair(t)); !errors.Is(err, test.want) {
				t.Fatalf("ended with %v, want %v", err, test.want)
			}
		})
	}
}

// TestNoAllocations holds the calls to what they are for.
func TestNoAllocations(t *testing.T) {
	plain, other := connPair(t)
	one := make([]byte, 1)
	if count := testing.AllocsPerRun(100, func() {
		_, _ = plain.Write(one)
		_, _ = other.Read(one)
		_, _ = other.Write(one)
		_, _ = plain.Read(one)
	}); count > 0 {
		t.Fatalf("a write and a read took %v allocations", count)
	}
}

// TestOtherConnsAreNotWrapped: what is no TCP connection is given back.
func TestOtherConnsAreNotWrapped(t *testing.T) {
	one, other := net.Pipe()
	defer one.Close()
	defer other.Close()
	if Wrap(one) != one {
		t.Fatal("a pipe was changed")
	}
}
