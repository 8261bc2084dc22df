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

// connPair returns both ends of a TCP connection, one of them wrapped.
func connPair(t *testing.T) (wrapped net.Conn, other *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	wrapped = Wrap(accepted)
	if _, isConn := wrapped.(*Conn); !isConn {
		t.Fatalf("Wrap of a TCP connection returned a %T, want a *Conn", wrapped)
	}
	return wrapped, dialed.(*net.TCPConn)
}

// TestFullDuplexTransfer checks that data larger than the socket buffers arrives intact in both directions at once.
func TestFullDuplexTransfer(t *testing.T) {
	wrapped, other := connPair(t)
	sent := bytes.Repeat([]byte("meadow hinge "), 1<<20)
	results := make(chan error, 2)
	go func() {
		_, err := other.Write(sent)
		results <- errors.Join(err, other.CloseWrite())
	}()
	go func() {
		count, err := wrapped.Write(sent)
		if err == nil && count != len(sent) {
			err = io.ErrShortWrite
		}
		results <- errors.Join(err, wrapped.(*Conn).CloseWrite())
	}()
	received := make(chan []byte, 1)
	go func() {
		got, _ := io.ReadAll(other)
		received <- got
	}()
	// The buffer is small, so that a read leaves bytes in the socket.
	var got bytes.Buffer
	if _, err := io.CopyBuffer(&got, struct{ io.Reader }{wrapped}, make([]byte, 777)); err != nil {
		t.Fatalf("read of the wrapped end: error %v, want none until the end of the stream", err)
	}
	for range cap(results) {
		if err := <-results; err != nil {
			t.Fatalf("write of one end: error %v, want none", err)
		}
	}
	if !bytes.Equal(got.Bytes(), sent) {
		t.Fatalf("the wrapped end received %d bytes that differ from the %d bytes sent", got.Len(), len(sent))
	}
	if plain := <-received; !bytes.Equal(plain, sent) {
		t.Fatalf("the other end received %d bytes that differ from the %d bytes sent", len(plain), len(sent))
	}
}

// TestErrorsMatchTheStandardLibrary checks that reads and writes fail with the same errors as those of the standard
// library's connections.
func TestErrorsMatchTheStandardLibrary(t *testing.T) {
	octet := make([]byte, 1)
	for name, test := range map[string]struct {
		do   func(wrapped net.Conn, other *net.TCPConn) error
		want error
	}{
		"peer closed": {func(wrapped net.Conn, other *net.TCPConn) error {
			_ = other.Close()
			_, err := wrapped.Read(octet)
			return err
		}, io.EOF},
		"reset by peer": {func(wrapped net.Conn, other *net.TCPConn) error {
			_ = other.SetLinger(0)
			_ = other.Close()
			_, err := wrapped.Read(octet)
			return err
		}, syscall.ECONNRESET},
		"closed locally": {func(wrapped net.Conn, _ *net.TCPConn) error {
			_ = wrapped.Close()
			_, err := wrapped.Read(octet)
			return err
		}, net.ErrClosed},
		"closed locally during a read": {func(wrapped net.Conn, _ *net.TCPConn) error {
			ended := make(chan error)
			go func() {
				_, err := wrapped.Read(octet)
				ended <- err
			}()
			_ = wrapped.Close()
			return <-ended
		}, net.ErrClosed},
		"read after the deadline": {func(wrapped net.Conn, _ *net.TCPConn) error {
			_ = wrapped.SetReadDeadline(time.Unix(1, 0))
			_, err := wrapped.Read(octet)
			return err
		}, os.ErrDeadlineExceeded},
		"deadline set during a read": {func(wrapped net.Conn, _ *net.TCPConn) error {
			ended := make(chan error)
			go func() {
				_, err := wrapped.Read(octet)
				ended <- err
			}()
			_ = wrapped.SetReadDeadline(time.Unix(1, 0))
			return <-ended
		}, os.ErrDeadlineExceeded},
		"write deadline while the peer does not read": {func(wrapped net.Conn, _ *net.TCPConn) error {
			_ = wrapped.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			for {
				if _, err := wrapped.Write(make([]byte, 1<<20)); err != nil {
					return err
				}
			}
		}, os.ErrDeadlineExceeded},
		"write after a reset": {func(wrapped net.Conn, other *net.TCPConn) error {
			_ = other.SetLinger(0)
			_ = other.Close()
			for {
				if _, err := wrapped.Write(octet); err != nil && !errors.Is(err, syscall.ECONNRESET) {
					return err
				}
			}
		}, syscall.EPIPE},
	} {
		t.Run(name, func(t *testing.T) {
			if err := test.do(connPair(t)); !errors.Is(err, test.want) {
				t.Fatalf("read or write returned the error %v, want %v", err, test.want)
			}
		})
	}
}

// TestReadsAndWritesDoNotAllocate checks that reads and writes allocate nothing.
func TestReadsAndWritesDoNotAllocate(t *testing.T) {
	wrapped, other := connPair(t)
	octet := make([]byte, 1)
	if count := testing.AllocsPerRun(100, func() {
		_, _ = wrapped.Write(octet)
		_, _ = other.Read(octet)
		_, _ = other.Write(octet)
		_, _ = wrapped.Read(octet)
	}); count > 0 {
		t.Fatalf("a write and a read at both ends made %v allocations, want 0", count)
	}
}

// TestOtherConnsAreNotWrapped checks that Wrap returns a connection that is not TCP unchanged.
func TestOtherConnsAreNotWrapped(t *testing.T) {
	pipe, other := net.Pipe()
	defer func() { _ = pipe.Close() }()
	defer func() { _ = other.Close() }()
	if Wrap(pipe) != pipe {
		t.Fatal("Wrap of a net.Pipe returned another connection, want it unchanged")
	}
}
