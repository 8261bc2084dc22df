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

// dial opens a connection from a proxy to the worker that listens at an address now, and adds it to conns. It fails
// with errs.WorkerConnectFailed if there is no worker or the world is closed.
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

// workerAt returns the worker that listens at an address now, or nil.
func (w *World) workerAt(address string) *workerNode {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.workersByAddress[address]
}

// serveConn serves the requests on one connection to an address until the connection ends. Each request goes to the
// worker that listens at the address when it arrives.
func (w *World) serveConn(address string, conn net.Conn) {
	defer func() { _ = conn.Close() }() // closing a pipe never fails
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // a broken connection shows at the next read or write
		worker := w.workerAt(address)
		if worker == nil || !w.serveRequest(worker, request, reader, conn) {
			return
		}
	}
}

// slowServiceTime is the service time above which a call counts as bad although it does not fail.
const slowServiceTime = 200 * time.Millisecond

// serveRequest runs one request at a worker and writes the response. It returns false if the connection must be
// closed. A request with a token other than the worker's is refused with status 421.
func (w *World) serveRequest(worker *workerNode, request *http.Request, reader *bufio.Reader, conn net.Conn) bool {
	if request.Header.Get(dispatch.HeaderToken) != worker.token && w.seededFault != SeededTokenIgnored {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected\r\n%s: token\r\nContent-Length: 0\r\n\r\n", dispatch.HeaderRefused)
		return err == nil
	}
	requestID := request.Header.Get(dispatch.HeaderRequest)
	operationID := request.Header.Get("X-Op")
	attemptNumber, _ := strconv.Atoi(request.Header.Get("X-Ask")) // newCall writes a number
	fails, serviceTime := w.sampleWorkerCall(worker, request.URL.Path, w.derivedRandom(requestID))
	isBad := fails || serviceTime > slowServiceTime
	w.History.recordRun(w.time(), worker, operationID, attemptNumber, request.Header.Get(dispatch.HeaderCaller), requestID, isBad)
	if w.onWorkerCall != nil {
		w.withLock(func() { w.onWorkerCall(worker, fails) })
	}
	connReadable, done := w.runWorkerCall(reader, operationID, requestID, serviceTime)
	w.endWorkerCall(worker)
	if !done || worker.dropsResponses {
		return false
	}
	if err := writeReply(conn, worker, operationID, fails); err != nil {
		return false
	}
	<-connReadable
	return true
}

// runWorkerCall waits for the service time of a call. In a world whose callers cancel, the end of the connection cuts
// the wait short, and done is false. connReadable is closed when reader may be used again.
func (w *World) runWorkerCall(
	reader *bufio.Reader, operationID, requestID string, serviceTime time.Duration,
) (connReadable chan struct{}, done bool) {
	if w.Options.CallerCancelRate == 0 {
		connReadable = make(chan struct{})
		close(connReadable)
		time.Sleep(serviceTime)
		return connReadable, true
	}
	done, connReadable = simulateWork(reader, serviceTime)
	w.History.recordRunEnd(w.time(), operationID, requestID)
	return connReadable, done
}

// writeReply writes the response of a worker to a call: status 500 if the call fails, otherwise 200.
func writeReply(conn net.Conn, worker *workerNode, operationID string, fails bool) error {
	body, err := json.Marshal(fakebackend.NewReply(operationID, worker.name, "xxxxxxxxxxxxxxxxxxxx"))
	if err != nil {
		return err
	}
	status := "200 OK"
	if fails {
		status = "500 Ill"
	}
	if worker.truncatesResponses {
		body = body[:len(body)/2]
	}
	const format = "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
	_, err = fmt.Fprintf(conn, format, status, len(body), body)
	return err
}

// simulateWork waits for the service time, or less if the connection ends before, and reports whether the work was
// done. It detects the end of the connection by reading ahead. This is safe because a proxy sends nothing before it
// has the response. connReadable is closed when the read has returned.
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

// serviceTimeSigma is the standard deviation of the logarithm of service times, which are log-normal.
const serviceTimeSigma = 0.7

// sampleWorkerCall draws whether a call fails at a worker, and its service time. It counts the call as in flight until
// endWorkerCall.
func (w *World) sampleWorkerCall(worker *workerNode, path string, random *rand.Rand) (fails bool, serviceTime time.Duration) {
	now := w.time()
	w.lock.Lock()
	defer w.lock.Unlock()
	serviceTime = time.Millisecond + time.Duration(random.Int64N(int64(4*time.Millisecond)))
	if w.Options.MeanServiceTime > 0 {
		exponent := serviceTimeSigma*random.NormFloat64() - serviceTimeSigma*serviceTimeSigma/2
		serviceTime = time.Duration(float64(w.Options.MeanServiceTime) * math.Exp(exponent))
	}
	fails = random.Float64() < w.Options.ErrorRate
	if now-worker.startedAt < worker.warmup {
		serviceTime += 200 * time.Millisecond
	}
	inFlight := w.History.beginWorkerCall(worker)
	degradation := w.degradationOf(worker)
	if degradation == nil {
		return fails, serviceTime
	}
	if degradation.LoadThreshold > 0 && w.Options.MeanServiceTime == 0 {
		serviceTime *= 10
	}
	onRoute := degradation.Route == "" || strings.HasPrefix(path, degradation.Route)
	if !degradation.activeAt(now) || !onRoute || inFlight <= degradation.LoadThreshold {
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

// degradationOf returns the degradation of a worker, or nil. The caller holds World.lock.
func (w *World) degradationOf(worker *workerNode) *Degradation {
	if w.halfDegradation != nil && worker.service == "shop" && worker.version == "2" && worker.isInDegradedHalf() {
		return w.halfDegradation
	}
	return w.degradations[[2]string{worker.service, worker.version}]
}

// isInDegradedHalf reports whether World.halfDegradation affects the worker. The half is arbitrary but fixed by the
// name.
func (worker *workerNode) isInDegradedHalf() bool { return len(worker.name)%2 == int(worker.name[1])%2 }

// endWorkerCall stops counting a call as in flight.
func (w *World) endWorkerCall(worker *workerNode) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.History.inFlight[versionKey{worker.service, worker.version}]--
}
