//go:build review

package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is the settings' Heartbeat.
const heartbeatInterval = 1500 * time.Millisecond

// Worker is a sound application worker beside a proxy. It registers by heartbeats and runs at most Slots requests at
// once; it turns further ones away unexecuted.
type Worker struct {
	ID      string
	Machine *Machine
	Slots   int
	// Answer returns the status, body and working time of a request. It is called once for each run.
	Answer func(request *http.Request, body []byte) (status int, answer []byte, work time.Duration)

	lock    sync.Mutex
	running int
	runs    map[string]int // number of runs by try id
	server  *http.Server
	stop    context.CancelFunc
}

// Start serves requests and sends heartbeats until Stop is called.
func (w *Worker) Start() error {
	listener, err := net.Listen("tcp", w.Machine.AppAddress())
	if err != nil {
		return err
	}
	w.runs = map[string]int{}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.sendHeartbeats(ctx)
	return nil
}

// Stop ends the worker without a word, as a crash does.
func (w *Worker) Stop() {
	w.stop()
	_ = w.server.Close()
}

// Runs returns how often the request with a try id has run.
func (w *Worker) Runs(tryID string) int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.runs[tryID]
}

func (w *Worker) sendHeartbeats(ctx context.Context) {
	for count := 1; ctx.Err() == nil; count++ {
		wait := heartbeatInterval
		if err := w.heartbeat(ctx, count); err != nil {
			wait = heartbeatInterval / 5
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (w *Worker) heartbeat(ctx context.Context, count int) error {
	text, err := json.Marshal(map[string]any{
		"Service": w.Machine.Service, "Address": w.Machine.AppAddress(), "ZoneName": "zone-a", "Version": "v1",
		"FreeSlots": w.Slots, "Condition": "ready", "WarmupLeft": "0ms", "CallCount": count,
	})
	if err != nil {
		return err
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + w.Machine.OperatorAddress() + "/meadowhinge/workers/" + w.ID
	request, err := http.NewRequestWithContext(timeoutCtx, http.MethodPut, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("heartbeat got %d", response.StatusCode)
	}
	return nil
}

// ServeHTTP runs one request, unless it is meant for another worker or all slots are taken.
func (w *Worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	tryID := request.Header.Get("Meadowhinge-Try-Id")
	header := response.Header()
	header["Meadowhinge-Try-Id"] = []string{tryID}
	header["Meadowhinge-Worker-Id"] = []string{w.ID}
	if meant := request.Header.Get("Meadowhinge-Meant-Worker"); meant != "" && meant != w.ID {
		header["Meadowhinge-Not-Run"] = []string{"1"}
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	w.lock.Lock()
	if w.running >= w.Slots {
		w.lock.Unlock()
		header["Meadowhinge-Not-Run"] = []string{"1"}
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running++
	w.runs[tryID]++
	w.lock.Unlock()
	w.Machine.fleet.Record.Event("worker %s begins %s (%d bytes)", w.ID, tryID, len(body))
	status, answer, work := w.Answer(request, body)
	time.Sleep(work)
	w.lock.Lock()
	w.running--
	load := fmt.Sprintf("%d,0,%d", w.running, w.Slots)
	w.lock.Unlock()
	header["Meadowhinge-Worker-Load"] = []string{load}
	header["Meadowhinge-Worker-Seal"] = []string{"seal-" + w.ID + "-" + tryID}
	header["Content-Length"] = []string{fmt.Sprint(len(answer))}
	response.WriteHeader(status)
	_, err = response.Write(answer)
	w.Machine.fleet.Record.Event("worker %s ends %s with %d (%v)", w.ID, tryID, status, err)
}
