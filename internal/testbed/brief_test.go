package testbed

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestNamesInBriefExist checks that every test, scenario and seeded fault that docs/brief.md names exists. It guards
// against references that a rename leaves behind.
func TestNamesInBriefExist(t *testing.T) {
	text, err := os.ReadFile("../../docs/brief.md")
	if err != nil {
		t.Fatalf("reading the brief failed: %v", err)
	}
	named := 0
	for _, match := range regexp.MustCompile("`(Test[A-Za-z]+)`").FindAllStringSubmatch(string(text), -1) {
		named++
		if out, err := exec.Command("grep", "-rl", "--include=*_test.go", "func "+match[1]+"(", "..", "../../cmd").Output(); err != nil || len(out) == 0 {
			t.Errorf("docs/brief.md names test %s, which no test file declares", match[1])
		}
	}
	simulator := simulatorSource(t)
	for _, match := range regexp.MustCompile("`(Seeded[A-Za-z]+)`").FindAllStringSubmatch(string(text), -1) {
		named++
		if !strings.Contains(simulator, "\t"+match[1]+" ") {
			t.Errorf("docs/brief.md names seeded fault %s, which the simulator does not declare", match[1])
		}
	}
	for _, match := range regexp.MustCompile(`\bplay ([a-z]+)`).FindAllStringSubmatch(string(text), -1) {
		named++
		if Scenarios[match[1]] == nil {
			t.Errorf("docs/brief.md names play %s, which is not a key of Scenarios", match[1])
		}
	}
	if named < 80 {
		t.Errorf("found %d names in docs/brief.md, want at least 80", named)
	}
}

// simulatorSource returns the text of all Go files of the simulator except tests.
func simulatorSource(t *testing.T) string {
	t.Helper()
	files, err := filepath.Glob("../simulator/*.go")
	if err != nil {
		t.Fatalf("listing the files of the simulator failed: %v", err)
	}
	var source strings.Builder
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatalf("reading the simulator failed: %v", err)
		}
		source.Write(text)
	}
	return source.String()
}
