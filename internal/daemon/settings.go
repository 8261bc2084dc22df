package daemon

import (
	"context"
	"errors"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/options"
)

// Source is where a program has its settings from.
type Source struct {
	// Read gives the command line that stands for the settings as they are now.
	Read func() (Reading, error)
	// File is watched for changes, besides the one that the command line names.
	File string
}

// Reading is what was read of a source.
type Reading struct {
	Args []string
	Rest map[string]string // what goes past the settings; it counts from the next start on
	Take func()            // called once all that was read is found to be good; may be nil
}

// Given are settings from the command line, and from the file that it names.
func Given(args []string) Source {
	return Source{Read: func() (Reading, error) { return Reading{Args: args}, nil }}
}

// reading is one reading of a source, checked.
type reading struct {
	Reading
	files  []string
	stamps []os.FileInfo // of the files, from before they were read
}

// read fills target, or leaves it and says what is wrong.
func (s Source) read(program string, target proto.Message, help io.Writer) (*reading, error) {
	made := &reading{}
	if s.File != "" {
		made.files, made.stamps = []string{s.File}, stampsOf([]string{s.File})
	}
	var err error
	if made.Reading, err = s.Read(); err != nil {
		return made, err
	}
	// Which file the command line names is known only once it was read. Should that change
	// meanwhile, its stamp from before must not be taken for that of what was read.
	for range readsMost {
		fresh := target.ProtoReflect().New().Interface()
		file, err := options.Read(program, made.Args, fresh, help)
		if file != "" && !slices.Contains(made.files, file) {
			made.files = append(made.files, file)
			made.stamps = append(made.stamps, stampsOf([]string{file})...)
			continue
		}
		if err != nil {
			return made, err
		}
		proto.Reset(target)
		proto.Merge(target, fresh)
		break
	}
	if made.Take != nil {
		made.Take()
	}
	return made, nil
}

// readsMost is how often settings are read at most, to know what their file was before.
const readsMost = 2

// stampsOf tells files' versions from each other; nil for one that is not there.
func stampsOf(files []string) []os.FileInfo {
	stamps := make([]os.FileInfo, len(files))
	for i, file := range files {
		if info, err := os.Stat(file); err == nil {
			stamps[i] = info
		}
	}
	return stamps
}

func sameStamps(one, other []os.FileInfo) bool {
	return slices.EqualFunc(one, other, func(one, other os.FileInfo) bool {
		if one == nil || other == nil {
			return one == nil && other == nil
		}
		return os.SameFile(one, other) && one.Size() == other.Size() && one.ModTime().Equal(other.ModTime())
	})
}

// settings are those in force while a program runs.
type settings struct {
	program string
	source  Source
	started proto.Message
	held    proto.Message
	last    *reading
	first   map[string]string
	seen    []os.FileInfo // at the last look
	changed chan os.Signal
	log     logr.Logger
}

func newSettings(program string, source Source, started proto.Message, read *reading, changed chan os.Signal, log logr.Logger) *settings {
	return &settings{program: program, source: source, started: proto.Clone(started), held: proto.Clone(started), last: read, first: read.Rest,
		seen: read.stamps, changed: changed, log: log}
}

// Follow hands settings that have changed to a program that runs, until ctx ends: on SIGHUP, and
// within two of every once a file is another. Only what may change while a program runs is another
// than before in what it hands on.
func (f *Frame) Follow(ctx context.Context, every time.Duration, take func(proto.Message)) {
	if f.settings == nil {
		return
	}
	go func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-f.settings.changed:
				f.settings.load(take)
			case <-ticker.C:
				f.settings.look(take)
			}
		}
	}()
}

// look reads the files again once they are others than those read, and the same at two looks: a
// file that is being written may be cut anywhere, and yet be right by itself.
func (s *settings) look(take func(proto.Message)) {
	now := stampsOf(s.last.files)
	settled := sameStamps(now, s.seen)
	if s.seen = now; settled && !sameStamps(now, s.last.stamps) {
		s.load(take)
	}
}

// load reads settings anew. They are taken as a whole or not at all.
func (s *settings) load(take func(proto.Message)) {
	read := s.started.ProtoReflect().New().Interface()
	made, err := s.source.read(s.program, read, io.Discard)
	// A file that could not be taken is not asked again before it changes.
	files := s.last.files
	s.last = made
	if err != nil && len(made.files) < len(files) {
		made.files, made.stamps = files, stampsOf(files)
	}
	s.seen = made.stamps
	if err != nil {
		s.refuse(err)
		return
	}
	renewed := options.Renew(s.started, s.held, read)
	for _, name := range slices.Sorted(maps.Keys(made.Rest)) {
		if made.Rest[name] != s.first[name] {
			renewed.Waiting = append(renewed.Waiting, name)
		}
	}
	if len(renewed.Waiting) > 0 {
		s.log.Info("settings that count from the next start on", "settings", renewed.Waiting)
	}
	s.log.Info("settings read again", "changed", renewed.Moved)
	if len(renewed.Moved) > 0 {
		s.held = renewed.Now
		take(renewed.Now)
	}
}

// refuse names every bad field, each with what is wrong with it.
func (s *settings) refuse(err error) {
	faults := options.Faults{err.Error()}
	var list options.Faults
	if errors.As(err, &list) {
		faults = list
	}
	s.log.Error(defect.New(defect.BadOptions, s.program), "settings refused; those from before stay in force", "faults", []string(faults))
}
