//go:build review

package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is one try of a client.
type Request struct {
	Method   string
	Host     string
	Path     string
	TryID    string
	TimeLeft time.Duration
	Body     []byte
}

// Answer is what a client got for a request.
type Answer struct {
	Status int // 0 if the connection ended without a complete answer
	Header http.Header
	Body   []byte
	Err    error // why there is no complete answer
}

// readChunk is the number of bytes of an answer after which a slow client pauses.
const readChunk = 64 << 10

// Client keeps one connection to the Outgoing address of its machine.
type Client struct {
	Machine   *Machine
	ReadPause time.Duration // pause after each readChunk bytes of an answer; 0 for a client that reads at full speed

	conn   net.Conn
	reader *bufio.Reader
}

// Connected reports whether the client has a connection from an earlier request.
func (c *Client) Connected() bool { return c.conn != nil }

// Send sends one request on the client's connection, which is opened if there is none, and waits for the answer.
func (c *Client) Send(request *Request) *Answer {
	record := c.Machine.fleet.Record
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Machine.OutgoingAddress(), time.Second)
		if err != nil {
			return &Answer{Err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(request.TimeLeft + time.Second))
	record.Event("client on %s sends %s: %s %s (%d bytes)", c.Machine.Name, request.TryID, request.Method, request.Path, len(request.Body))
	answer := c.exchange(request)
	if answer.Err != nil {
		record.Event("client on %s got no complete answer to %s: %v", c.Machine.Name, request.TryID, answer.Err)
		c.Close()
		return answer
	}
	record.Event("client on %s got %d for %s (%d bytes) %s", c.Machine.Name, answer.Status, request.TryID, len(answer.Body), note(answer))
	return answer
}

// note returns the body of a refusal for the record.
func note(answer *Answer) string {
	if answer.Status/100 == 2 || len(answer.Body) > 100 {
		return ""
	}
	return string(answer.Body)
}

func (c *Client) exchange(request *Request) *Answer {
	header := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nMeadowhinge-Try-Id: %s\r\nMeadowhinge-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		request.Method, request.Path, request.Host, request.TryID, request.TimeLeft.Milliseconds(), len(request.Body))
	buffers := net.Buffers{[]byte(header), request.Body}
	if _, err := buffers.WriteTo(c.conn); err != nil {
		return &Answer{Err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
	if err != nil {
		return &Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.readBody(response.Body)
	if err != nil {
		return &Answer{Err: fmt.Errorf("%d bytes of a body of %d: %w", len(body), response.ContentLength, err)}
	}
	if response.Close {
		c.Close()
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}
}

// readBody reads a body to its end, with the client's pauses.
func (c *Client) readBody(from io.Reader) (body []byte, err error) {
	if c.ReadPause == 0 {
		return io.ReadAll(from)
	}
	buffer := bytes.Buffer{}
	for {
		_, err := io.CopyN(&buffer, from, readChunk)
		if errors.Is(err, io.EOF) {
			return buffer.Bytes(), nil
		}
		if err != nil {
			return buffer.Bytes(), err
		}
		time.Sleep(c.ReadPause)
	}
}

// Close closes the client's connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
