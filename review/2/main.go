//go:build review

// Command case2 of the review: a change that was refused comes into force when a frozen core machine wakes.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"meadowhinge/review/platform"
)

const (
	freezeTime    = 3500 * time.Millisecond // the site's dose of node_freeze
	answerTimeout = time.Second             // silence after which the operator goes to another node
	calmTime      = 4 * time.Second         // longer than InTouch
	readBackTime  = 5 * time.Second         // longer than InTouch
	readBackPause = 500 * time.Millisecond
	retryPause    = 200 * time.Millisecond
	workerSlots   = 18
	probes        = 10 // requests of clients on the route that nobody removed
)

func main() { platform.Main([]string{"front", "kits"}, run) }

func run(c *platform.Case) (broken bool, err error) {
	if err := c.Bring(); err != nil {
		return false, err
	}
	frontMachine, kitsMachine := c.Fleet.Beside()[0], c.Fleet.Beside()[1]
	worker := &platform.Worker{ID: "i-kits", Machine: kitsMachine, Slots: workerSlots, Answer: answer}
	if err := worker.Start(); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	if served := probe(frontMachine, "before"); served < probes {
		return false, fmt.Errorf("only %d of %d requests were served before the disruption", served, probes)
	}
	// The first operator's change moves the menu to a route of a new service. It is invalid while nobody has sent that
	// service. The second operator's change only brings the service.
	moveChange, err := c.Text("move.json")
	if err != nil {
		return false, err
	}
	serviceChange, err := c.Text("service.json")
	if err != nil {
		return false, err
	}
	middle := c.Fleet.Middle()
	first, others := middle[2], middle[:2]
	frozenAt := time.Now()
	if c.Trouble {
		signalMachine(c, first, syscall.SIGSTOP, "freezes")
	}
	// Both operators' calls end before the machine wakes.
	if err := sendUntilEnded(c, moveChange, append([]*platform.Machine{first}, others...), http.StatusBadRequest); err != nil {
		return false, err
	}
	if err := sendUntilEnded(c, serviceChange, others, http.StatusOK); err != nil {
		return false, err
	}
	if time.Since(frozenAt) > freezeTime {
		return false, fmt.Errorf("the operators' calls took longer than %v", freezeTime)
	}
	time.Sleep(freezeTime - time.Since(frozenAt))
	if c.Trouble {
		signalMachine(c, first, syscall.SIGCONT, "wakes")
	}
	inForce, err := readBack(c)
	if err != nil {
		return false, err
	}
	served := probe(frontMachine, "after")
	c.Record.Event("JUDGE CONFIG: the refused change is in force: %t; %d of %d requests on the route that no acknowledged change removed were served",
		inForce, served, probes)
	return inForce, nil
}

// answer is the behaviour of a worker that succeeds quickly.
func answer(*http.Request, []byte) (int, []byte, time.Duration) {
	return http.StatusOK, []byte("menu"), 10 * time.Millisecond
}

// probe sends requests on the menu's route and returns how many were served.
func probe(machine *platform.Machine, name string) (served int) {
	client := &platform.Client{Machine: machine}
	defer client.Close()
	for i := range probes {
		got := client.Send(&platform.Request{
			Method: http.MethodGet, Host: "food.example", Path: "/menu/1", TryID: fmt.Sprintf("%s-%d", name, i), TimeLeft: 2 * time.Second,
		})
		if got.Status == http.StatusOK {
			served++
		}
		time.Sleep(retryPause)
	}
	return served
}

func signalMachine(c *platform.Case, machine *platform.Machine, signal syscall.Signal, word string) {
	c.Record.Event("PLATFORM %s %s", machine.Name, word)
	for _, process := range machine.Processes {
		process.Signal(signal)
	}
}

// sendUntilEnded sends a change as the operator does: to one node after the other, unchanged, until a clear answer ends
// the call. It fails if that answer is another one than want.
func sendUntilEnded(c *platform.Case, change string, nodes []*platform.Machine, want int) error {
	for attempt := range 8 {
		status, text := c.Fleet.Patch(nodes[attempt%len(nodes)], change, answerTimeout)
		if status == http.StatusOK || status/100 == 4 {
			if status != want {
				return fmt.Errorf("the operator got %d instead of %d: %s", status, want, text)
			}
			return nil
		}
		time.Sleep(retryPause)
	}
	return fmt.Errorf("no clear answer to a change")
}

// settingsAnswer is the part of the read-back that holds the routes.
type settingsAnswer struct {
	Routes struct {
		Columns []string            `json:"Columns"`
		Rows    [][]json.RawMessage `json:"Rows"`
	} `json:"Routes"`
}

// readBack reads the configuration back from all nodes in turn. It reports whether a clear answer shows an effect of the
// refused change: its route is there, or the route that it removes is gone.
func readBack(c *platform.Case) (inForce bool, err error) {
	middle := c.Fleet.Middle()
	until, answers := time.Now().Add(readBackTime), 0
	for i := 0; time.Now().Before(until); i++ {
		if status, text := c.Fleet.ReadSettings(middle[i%len(middle)], answerTimeout); status == http.StatusOK {
			names, err := routeNames(text)
			if err != nil {
				return false, err
			}
			answers++
			inForce = inForce || slices.Contains(names, "r-cards") || !slices.Contains(names, "r-menu")
		}
		time.Sleep(readBackPause)
	}
	if answers == 0 {
		return false, fmt.Errorf("no answer to a read of the configuration within %v", readBackTime)
	}
	return inForce, nil
}

func routeNames(text string) (names []string, err error) {
	read := settingsAnswer{}
	if err := json.Unmarshal([]byte(text), &read); err != nil {
		return nil, err
	}
	column := slices.Index(read.Routes.Columns, "Name")
	for _, row := range read.Routes.Rows {
		name := ""
		if err := json.Unmarshal(row[column], &name); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}
