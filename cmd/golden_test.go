// Package cmd_test compares the interfaces that scripts and supervisors rely on with golden files: the exit
// codes, command lines and served pages of all programs. It contains only tests.
package cmd_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"meadowhinge/internal/goldenfile"
)

// binaries is the directory into which TestMain builds the programs.
var binaries string

// TestMain builds all programs once, so that the tests run the real executables.
func TestMain(m *testing.M) { os.Exit(buildAndTest(m)) }

func buildAndTest(m *testing.M) int {
	folder, err := os.MkdirTemp("", "golden-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }() // an error leaves only a temporary folder behind
	binaries = folder
	if out, err := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "./...").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// exitResult is the exit code and output of a program that ended.
type exitResult struct {
	code        int
	out, errors string // standard output and standard error
}

// runProgram runs a program until it ends by itself, with in as its standard input. It fails the test if the
// program does not end within 20 s.
func runProgram(t *testing.T, environment []string, program string, in string, args ...string) exitResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(binaries, program), args...)
	var out, errOut strings.Builder
	command.Stdin, command.Stdout, command.Stderr = strings.NewReader(in), &out, &errOut
	command.Env = append(environment, "PATH="+os.Getenv("PATH"), "TMPDIR="+t.TempDir())
	// The program gets a process group of its own, so that killing it also kills its children if a command line
	// that is rejected now is ever accepted.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	command.Cancel = func() error { return syscall.Kill(-command.Process.Pid, syscall.SIGKILL) }
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) || ctx.Err() != nil {
		t.Fatalf("%s %q: error %v, context %v; want an exit code", program, args, err, ctx.Err())
	}
	return exitResult{command.ProcessState.ExitCode(), out.String(), errOut.String()}
}

// unreachableAddress is an address without a listener.
const unreachableAddress = "127.0.0.1:1"

// TestExitCodesGolden compares the exit code of every program in each case with the golden file.
func TestExitCodesGolden(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(folder, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	unknown, badValue := write("unknown", "colour red\n"), write("bad", "ring many\n")
	setup, badSetup := write("setup.cue", `segment: t: {salt: "b"}`), write("bad.cue", `route: r: {prefix: 4}`)
	fakeRegistry := func(status int, pages map[string]string) string {
		server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, request *http.Request) {
			page, found := pages[request.Method+" "+request.URL.Path]
			switch {
			case status != 0:
				out.WriteHeader(status)
			case !found:
				out.WriteHeader(http.StatusNotFound)
			}
			_, _ = out.Write([]byte(page))
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	const configPage = `{"sequence":7,"items":[]}`
	changesPage := func(answer string) string {
		return fakeRegistry(0, map[string]string{"GET /v1/setup": configPage, "POST /v1/changes": answer, "GET /v1/changes/x": answer})
	}
	accepted := changesPage(`{"id":"x","ruling":"accepted","sequence":8,"acknowledged":true}`)
	unacknowledged := changesPage(`{"id":"x","ruling":"accepted","acknowledged":false,"waiting":["p"]}`)
	conflict := changesPage(`{"id":"x","ruling":"conflict","defect":"CONFLICT"}`)
	broken := changesPage(`{`)
	trace := func(text string) string { return fakeRegistry(0, map[string]string{"GET /v1/trace/x": text}) }
	unavailable, empty := fakeRegistry(http.StatusServiceUnavailable, nil), fakeRegistry(0, nil)
	pages := fakeRegistry(0, map[string]string{"GET /v1/setup": configPage, "GET /v1/verdicts": "[]", "GET /v1/workers": "[]", "GET /v1/releases": "[]", "GET /v1/status": `{"registries":[]}`,
		"POST /v1/explain": `{"route":"r","verdict":{}}`, "POST /v1/changes": `{"id":"x","ruling":"accepted","acknowledged":true}`, "GET /v1/changes/x": `{"id":"x","ruling":"accepted","acknowledged":true}`})

	type testCase struct {
		name, program string   // name of the case and of the program
		environment   []string // environment variables besides those that runProgram sets
		args          []string
	}
	var cases []testCase
	add := func(name, program string, args ...string) {
		cases = append(cases, testCase{name: name, program: program, args: args})
	}
	for _, program := range []string{"proxy", "registry", "store"} {
		add("help", program, "-help")
		add("version", program, "-version")
		add("no settings", program)
		add("unknown flag", program, "-colour", "red")
		add("a word beside the flags", program, "word")
		add("settings file that is not there", program, "-settings", "/nowhere")
		add("settings file with an unknown name", program, "-settings", unknown)
		add("settings file with a bad value", program, "-settings", badValue)
	}
	add("address of another machine", "store", "-seat=a", "-links=plain", "-listen=192.0.2.1:1", "-seeds="+unreachableAddress, "-probe-listen=192.0.2.1:2", "-data="+folder, "-founding=true")
	add("probe address of another machine", "registry", "-seat=a", "-links=plain", "-listen=127.0.0.1:0", "-seeds="+unreachableAddress, "-store="+unreachableAddress, "-operator-listen=127.0.0.1:0", "-probe-listen=192.0.2.1:2")
	add("probe address of another machine", "proxy", "-name=p", "-area=a", "-links=plain", "-listen=127.0.0.1:0", "-seeds="+unreachableAddress, "-callers=c=127.0.0.1:0", "-workers-listen=127.0.0.1:0", "-probe-listen=192.0.2.1:2")
	for _, verb := range []string{"apply", "outcome", "show", "verdicts", "releases", "workers", "status", "explain", "release", "cancel", "stop", "lift"} {
		add(verb+" help", "operator", verb, "-help")
		add(verb+" unknown flag", "operator", verb, "-colour")
		add(verb+" too many words", "operator", verb, "a", "b", "c")
	}
	commandLines := map[string][]string{"apply": {"apply", setup}, "outcome": {"outcome", "x"}, "show": {"show"}, "verdicts": {"verdicts"}, "releases": {"releases"}, "workers": {"workers"},
		"status": {"status"}, "explain": {"explain", "/x"}, "release": {"release", "-service", "s", "-version", "2", "r"}, "cancel": {"cancel", "r"}, "stop": {"stop", "s", "2"}, "lift": {"lift", "s", "2"}}
	for verb, args := range commandLines {
		for name, address := range map[string]string{"answered": pages, "nobody there": unreachableAddress, "young": unavailable, "no such page": empty, "one of two dead": unreachableAddress + "," + pages, "address that is none": "here"} {
			add(verb+" "+name, "operator", append([]string{"-registries", address, "-timeout", "3s"}, args...)...)
		}
	}
	add("help", "operator", "-help")
	add("version", "operator", "-version")
	add("no command", "operator")
	add("unknown command", "operator", "dance")
	add("unknown flag", "operator", "-colour")
	add("apply file that is not there", "operator", "-registries", accepted, "apply", "/nowhere")
	add("apply bad setup", "operator", "-registries", accepted, "apply", badSetup)
	add("release without a version", "operator", "-registries", pages, "release", "-service", "s", "r")
	for name, address := range map[string]string{"accepted": accepted, "waiting": unacknowledged, "conflict": conflict, "broken answer": broken} {
		add("apply "+name, "operator", "-registries", address, "apply", setup)
		add("outcome "+name, "operator", "-registries", address, "outcome", "x")
	}
	add("help", "tracer", "-help")
	add("version", "tracer", "-version")
	add("no change", "tracer")
	add("two changes", "tracer", "x", "y")
	add("unknown flag", "tracer", "-colour", "x")
	add("address that is none", "tracer", "-registries", "here", "x")
	add("nobody there", "tracer", "-registries", unreachableAddress, "x")
	add("known", "tracer", "-registries", trace(`{"seat":"a","known":true,"ruling":"accepted","sequence":3}`), "x")
	add("unknown change", "tracer", "-registries", trace(`{"seat":"a"}`), "x")
	add("store silent", "tracer", "-registries", trace(`{"seat":"a","storeSilent":true}`), "x")
	add("broken answer", "tracer", "-registries", trace(`{`), "x")
	// In an empty directory of programs no fleet can start, even if one of these command lines is accepted.
	noBinaries := "-binaries=" + t.TempDir()
	add("version", emulator, noBinaries, "-version")
	add("unknown deployment", emulator, noBinaries, "-deployment", "no-such-deployment")
	add("unknown play", emulator, noBinaries, "-play", "no-such-play")
	add("no programs", emulator, noBinaries, "-play", "none")
	for _, subcommand := range []string{"", "hollow", "slopes", "calls", "soak"} {
		prefix := strings.Fields(subcommand)
		add(strings.TrimSpace(subcommand+" help"), emulator, append(prefix, noBinaries, "-help")...)
		add(strings.TrimSpace(subcommand+" unknown flag"), emulator, append(prefix, noBinaries, "-colour")...)
	}
	add("soak unknown deployment", emulator, "soak", noBinaries, "-deployment", "no-such-deployment")
	for _, subcommand := range []string{"hollow", "slopes", "calls"} {
		add(subcommand+" bad value", emulator, subcommand, noBinaries, "-seed", "many")
		add(subcommand+" a word beside the flags", emulator, subcommand, noBinaries, "word")
	}
	var lines []string
	for _, testCase := range cases {
		exit := runProgram(t, testCase.environment, testCase.program, "", testCase.args...)
		lines = append(lines, fmt.Sprintf("%s: %s: %d", labelOf(testCase.program), testCase.name, exit.code))
	}
	slices.Sort(lines)
	goldenfile.Compare(t, "exit-codes.txt", strings.Join(lines, "\n")+"\n")
}

// emulator is the name of the program that runs fleets, and emulatorLabel its name in the golden files, which
// stays if the program is renamed.
const (
	emulator      = "testbed"
	emulatorLabel = "emulator"
)

// labelOf returns the name of a program in the golden files.
func labelOf(program string) string {
	if program == emulator {
		return emulatorLabel
	}
	return program
}

var (
	columnGap      = regexp.MustCompile(`\s{2,}`)
	defaultPattern = regexp.MustCompile(`\(default .*\)`)
)

// outlineOf reduces a help text to the parts that scripts rely on: subcommands, usage lines, flags, and their
// types and defaults. Explanations are left out.
func outlineOf(help string) string {
	var outline strings.Builder
	section := ""
	for line := range strings.Lines(help) {
		line = strings.TrimRight(line, "\n")
		switch {
		case line == strings.ToUpper(line) && strings.TrimSpace(line) != "":
			section = line
		case strings.HasPrefix(line, "\t") || strings.HasPrefix(line, "    \t"):
			if defaultText := defaultPattern.FindString(line); defaultText != "" {
				fmt.Fprintln(&outline, "     ", defaultText)
			}
		case strings.HasPrefix(line, "  -"):
			fmt.Fprintln(&outline, " ", columnGap.Split(strings.TrimSpace(line), 2)[0])
		case section == "SUBCOMMANDS" && strings.HasPrefix(line, "  "):
			fmt.Fprintln(&outline, "  verb", strings.Fields(line)[0])
		case section == "USAGE" && strings.HasPrefix(line, "  "):
			fmt.Fprintln(&outline, line)
		}
	}
	return outline.String()
}

// TestHelpGolden compares the outlines of the help texts with the golden file, for the programs whose settings
// do not come from the schema.
func TestHelpGolden(t *testing.T) {
	var listed strings.Builder
	for _, commandLine := range [][]string{{"operator"}, {"operator", "apply"}, {"operator", "outcome"}, {"operator", "show"}, {"operator", "verdicts"}, {"operator", "releases"},
		{"operator", "workers"}, {"operator", "status"}, {"operator", "explain"}, {"operator", "release"}, {"operator", "cancel"}, {"operator", "stop"}, {"operator", "lift"},
		{"tracer"}, {emulator}, {emulator, "soak"}} {
		exit := runProgram(t, nil, commandLine[0], "", append(commandLine[1:], "-help")...)
		fmt.Fprintf(&listed, "== %s -help\n%s", strings.Join(append([]string{labelOf(commandLine[0])}, commandLine[1:]...), " "), outlineOf(exit.out+exit.errors))
	}
	goldenfile.Compare(t, "help.txt", listed.String())
}

// TestPagesServedGolden starts the proxy, the registry and the store, each by itself, and compares the paths that
// they serve with the golden file.
func TestPagesServedGolden(t *testing.T) {
	freeAddress := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }() // only its port number is needed
		return listener.Addr().String()
	}
	var listed strings.Builder
	for _, program := range []string{"proxy", "registry", "store"} {
		probe, api := freeAddress(), freeAddress()
		args := map[string][]string{
			"proxy":    {"-name=p", "-area=a", "-callers=client=" + freeAddress(), "-workers-listen=" + api},
			"registry": {"-seat=a", "-store=" + unreachableAddress, "-operator-listen=" + api, "-lease=500ms"},
			"store":    {"-seat=a", "-data=" + t.TempDir(), "-founding=true"},
		}[program]
		command := exec.Command(filepath.Join(binaries, program), append(args, "-links=plain", "-listen="+freeAddress(), "-seeds="+unreachableAddress, "-probe-listen="+probe)...)
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _, _ = command.Process.Kill(), command.Wait() })
		awaitListener(t, probe)
		for _, path := range []string{"/live", "/process", "/journal", "/status", "/certificate", "/traffic", "/events", "/nowhere"} {
			fmt.Fprintf(&listed, "%s probe GET %s: %s\n", program, path, servedOrNot(t, http.MethodGet, probe, path))
		}
		if program != "store" {
			awaitListener(t, api)
			for _, call := range []string{"POST /v1/worker", "POST /v1/changes", "GET /v1/changes", "GET /v1/changes/x", "GET /v1/trace/x", "GET /v1/setup", "GET /v1/verdicts", "GET /v1/workers",
				"GET /v1/releases", "GET /v1/status", "POST /v1/explain", "GET /v1/explain", "GET /nowhere"} {
				method, path, _ := strings.Cut(call, " ")
				fmt.Fprintf(&listed, "%s %s: %s\n", program, call, servedOrNot(t, method, api, path))
			}
		}
	}
	goldenfile.Compare(t, "pages.txt", listed.String())
}

// awaitListener waits until an address accepts connections, and fails the test after 4 s.
func awaitListener(t *testing.T, address string) {
	t.Helper()
	deadline := time.After(4 * time.Second)
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for {
		if connection, err := net.Dial("tcp", address); err == nil {
			_ = connection.Close() // nothing was sent on it
			return
		}
		select {
		case <-poll.C:
		case <-deadline:
			t.Fatalf("%s accepts no connections after 4 s", address)
		}
	}
}

// servedOrNot sends a request, and returns "no page" for a response with status 404 and "served" for any other.
func servedOrNot(t *testing.T, method, address, path string) string {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader("{"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&http.Client{Timeout: 5 * time.Second}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }() // the body is not read
	if response.StatusCode == http.StatusNotFound {
		return "no page"
	}
	return "served"
}
