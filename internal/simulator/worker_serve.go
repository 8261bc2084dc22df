package simulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/fakebackend"
)

// dial opens a connection from a proxy to whoever stands at an address now.
func (w *World) dial(address string, conns *connections) (net.Conn, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	worker := w.workersByAddress[address]
	if worker == nil || !worker.up || w.closed {
		return nil, errs.New(errs.WorkerConnectFailed, address)
	}
	near, far := net.Pipe()
	conns.add(near)
	worker.conns.add(far)
	go w.serveConn(address, far)
	return near, nil
}

// workerAt is the worker that stands at an address now.
func (w *World) workerAt(address string) *workerNode {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.workersByAddress[address]
}

// serveConn answers the requests that come over one connection to an address.
func (w *World) serveConn(address string, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		worker := w.workerAt(address)
		if worker == nil {
			return
		}
		if request.Header.Get(dispatch.HeaderToken) != worker.token && w.seededFault != SeededTokenIgnored {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected\r\n%s: token\r\nContent-Length: 0\r\n\r\n",
				dispatch.HeaderRefused); err != nil {
				return
			}
			continue
		}
		attemptNumber, _ := strconv.Atoi(request.Header.Get("X-Ask"))
		operationID := request.Header.Get("X-Op")
		fails, serviceTime := w.sampleWorkerCall(worker, request.URL.Path, w.derivedRandom(request.Header.Get(dispatch.HeaderRequest)))
		w.History.recordRun(w.time(), worker, operationID, attemptNumber, request.Header.Get(dispatch.HeaderCaller),
			request.Header.Get(dispatch.HeaderRequest), fails || serviceTime > 200*time.Millisecond)
		if w.onWorkerCall != nil {
			w.lock.Lock()
			w.onWorkerCall(worker, fails)
			w.lock.Unlock()
		}
		connReadable := make(chan struct{})
		if w.Options.CallerCancelRate > 0 {
			done := false
			done, connReadable = simulateWork(reader, serviceTime)
			w.History.recordRunEnd(w.time(), operationID, request.Header.Get(dispatch.HeaderRequest))
			if !done {
				w.endWorkerCall(worker)
				return
			}
		} else {
			close(connReadable)
			time.Sleep(serviceTime)
		}
		w.endWorkerCall(worker)
		body, _ := json.Marshal(fakebackend.NewReply(operationID, worker.name, "xxxxxxxxxxxxxxxxxxxx"))
		status := "200 OK"
		if fails {
			status = "500 Ill"
		}
		switch {
		case worker.dropsResponses:
			return
		case worker.truncatesResponses:
			body = body[:len(body)/2]
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			status, len(body), body); err != nil {
			return
		}
		<-connReadable
	}
}

// simulateWork works for a time, or until the connection ends; it tells whether the work was done. A proxy sends nothing
// more before it has its answer.
func simulateWork(reader *bufio.Reader, serviceTime time.Duration) (done bool, connReadable chan struct{}) {
	closed := make(chan struct{})
	connReadable = make(chan struct{})
	go func() {
		defer close(connReadable)
		if _, err := reader.Peek(1); err != nil {
			close(closed)
		}
	}()
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true, connReadable
	case <-closed:
		return false, connReadable
	}
}

// serviceTimeSigma is the spread of the logarithm of how long calls take.
const serviceTimeSigma = 0.7

// sampleWorkerCall draws how a call goes at a worker.
func (w *World) sampleWorkerCall(worker *workerNode, path string, random *rand.Rand) (fails bool, serviceTime time.Duration) {
	now := w.time()
	w.lock.Lock()
	defer w.lock.Unlock()
	serviceTime = time.Millisecond + time.Duration(random.Int64N(int64(4*time.Millisecond)))
	if w.Options.MeanServiceTime > 0 {
		serviceTime = time.Duration(float64(w.Options.MeanServiceTime) * math.Exp(serviceTimeSigma*random.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2))
	}
	fails = random.Float64() < w.Options.ErrorRate
	if now-worker.startedAt < worker.warmup {
		serviceTime += 200 * time.Millisecond
	}
	inFlight := w.History.beginWorkerCall(worker)
	degradation := w.degradations[[2]string{worker.service, worker.version}]
	if w.halfDegradation != nil && worker.service == "shop" && worker.version == "2" && len(worker.name)%2 == int(worker.name[1])%2 {
		degradation = w.halfDegradation
	}
	if degradation != nil && degradation.LoadThreshold > 0 && w.Options.MeanServiceTime == 0 {
		serviceTime *= 10
	}
	if degradation == nil || now < degradation.From || (degradation.Until > 0 && now >= degradation.Until) || (degradation.Route != "" && !strings.HasPrefix(path, degradation.Route)) || inFlight <= degradation.LoadThreshold {
		return fails, serviceTime
	}
	serviceTime += degradation.ExtraLatency
	if random.Float64() >= degradation.FailureRate {
		return fails, serviceTime
	}
	if degradation.SlowdownFactor > 0 {
		return fails, time.Duration(float64(serviceTime) * degradation.SlowdownFactor)
	}
	return true, serviceTime
}

func (w *World) endWorkerCall(worker *workerNode) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.History.inFlight[worker.service+worker.version]--
}
