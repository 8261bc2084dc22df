// Package docs_test holds the docs to the code: files, identifiers and log lines that they name exist. There is
// nothing here but tests.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// sourceTree is what the docs may name: all files, all declared names, and all string literals outside tests.
type sourceTree struct {
	files    map[string]bool
	names    map[string]bool
	literals map[string]bool
}

// parseTree reads every Go file of the module.
func parseTree(t *testing.T) *sourceTree {
	t.Helper()
	tree := &sourceTree{files: map[string]bool{}, names: map[string]bool{}, literals: map[string]bool{}}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() && (name == ".git" || name == "journal" || name == "target" || name == "bin") {
			return filepath.SkipDir
		}
		if entry.IsDir() {
			return nil
		}
		tree.files[filepath.ToSlash(strings.TrimPrefix(path, ".."+string(filepath.Separator)))] = true
		if !strings.HasSuffix(name, ".go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		tree.add(file, strings.HasSuffix(name, "_test.go"))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// add records what a file declares and says.
func (s *sourceTree) add(file *ast.File, isTest bool) {
	s.names[file.Name.Name] = true
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			s.names[node.Name.Name] = true
		case *ast.TypeSpec:
			s.names[node.Name.Name] = true
		case *ast.ValueSpec:
			for _, name := range node.Names {
				s.names[name.Name] = true
			}
		case *ast.Field:
			for _, name := range node.Names {
				s.names[name.Name] = true
			}
		case *ast.BasicLit:
			if text, err := strconv.Unquote(node.Value); err == nil && node.Kind == token.STRING && !isTest {
				s.literals[text] = true
			}
		}
		return true
	})
}

func readPage(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// section is the part of a page from a heading to the next one of its level.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(page, "\n## "+heading+"\n")
	if !found {
		t.Fatalf("there is no section %q", heading)
	}
	body, _, _ := strings.Cut(rest, "\n## ")
	return body
}

// TestFilesNamedInPagesExist checks that pages name files of Go, protobuf, CUE and Markdown as they are called now.
func TestFilesNamedInPagesExist(t *testing.T) {
	tree := parseTree(t)
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	sourceFile := regexp.MustCompile("`((?:cmd|internal|platform|schema|docs)/[\\w./-]+\\.(?:go|proto|cue|md))`")
	link := regexp.MustCompile(`\]\(([\w./-]+\.md)(?:#[\w-]*)?\)`)
	checked := 0
	for _, page := range append(pages, "../README.md", "../CONTRIBUTING.md") {
		text := readPage(t, page)
		for _, match := range sourceFile.FindAllStringSubmatch(text, -1) {
			checked++
			if !tree.files[match[1]] {
				t.Errorf("%s names %s, which does not exist", page, match[1])
			}
		}
		for _, match := range link.FindAllStringSubmatch(text, -1) {
			checked++
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s links to %s: %v", page, match[1], err)
			}
		}
	}
	if checked < 40 {
		t.Errorf("only %d names of files were found", checked)
	}
}

// TestGlossaryNamesWhatExists checks each identifier in the column "in the code".
func TestGlossaryNamesWhatExists(t *testing.T) {
	tree := parseTree(t)
	identifier := regexp.MustCompile("`([A-Za-z][\\w.]*)`")
	checked := 0
	for line := range strings.Lines(readPage(t, "glossary.md")) {
		cells := strings.Split(line, "|")
		if len(cells) < 5 {
			continue
		}
		for _, match := range identifier.FindAllStringSubmatch(cells[3], -1) {
			for part := range strings.SplitSeq(match[1], ".") {
				checked++
				if part != "" && !tree.names[part] {
					t.Errorf("%s of %s does not exist", part, match[1])
				}
			}
		}
	}
	if checked < 100 {
		t.Errorf("only %d identifiers were found", checked)
	}
}

// TestLogLinesInOperatingExist checks that an on-call engineer who searches the code for a line of the table finds it.
func TestLogLinesInOperatingExist(t *testing.T) {
	tree := parseTree(t)
	logLine := regexp.MustCompile("`([a-z][^`]*)`")
	checked := 0
	for line := range strings.Lines(section(t, readPage(t, "operating.md"), "From a log line or an alert to the first look")) {
		table, _, _ := strings.Cut(line, "| alert |")
		cells := strings.Split(table, "|")
		if len(cells) != 6 {
			continue
		}
		for _, match := range logLine.FindAllStringSubmatch(cells[1], -1) {
			checked++
			if !tree.literals[match[1]] {
				t.Errorf("no program logs %q", match[1])
			}
		}
	}
	if checked < 15 {
		t.Errorf("only %d log lines were found", checked)
	}
}
