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

	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
)

// Source is where a program has its settings from.
type Source struct {
	// Read gives the command line that stands for the settings as they are now.
	Read func() (SourceSettings, error)
	// File is watched for changes, besides the one that the command line names.
	File string
}

// SourceSettings is what was read of a source.
type SourceSettings struct {
	Args        []string
	RestartOnly map[string]string // what goes past the settings; it counts from the next start on
	OnAccepted  func()            // called once all that was read is found to be good; may be nil
}

// FromArgs are settings from the command line, and from the file that it names.
func FromArgs(args []string) Source {
	return Source{Read: func() (SourceSettings, error) { return SourceSettings{Args: args}, nil }}
}

// loadedSettings is one reading of a source, checked.
type loadedSettings struct {
	SourceSettings
	files     []string
	fileInfos []os.FileInfo // of the files, from before they were read
}

// load fills target, or leaves it and says what is wrong.
func (s Source) load(program string, target proto.Message, help io.Writer) (*loadedSettings, error) {
	loaded := &loadedSettings{}
	if s.File != "" {
		loaded.files, loaded.fileInfos = []string{s.File}, statFiles([]string{s.File})
	}
	var err error
	if loaded.SourceSettings, err = s.Read(); err != nil {
		return loaded, err
	}
	// Which file the command line names is known only once it was read. Should that change
	// meanwhile, its stamp from before must not be taken for that of what was read.
	for range maxReads {
		fresh := target.ProtoReflect().New().Interface()
		file, err := options.ParseWithFile(program, loaded.Args, fresh, help)
		if file != "" && !slices.Contains(loaded.files, file) {
			loaded.files = append(loaded.files, file)
			loaded.fileInfos = append(loaded.fileInfos, statFiles([]string{file})...)
			continue
		}
		if err != nil {
			return loaded, err
		}
		proto.Reset(target)
		proto.Merge(target, fresh)
		break
	}
	if loaded.OnAccepted != nil {
		loaded.OnAccepted()
	}
	return loaded, nil
}

// maxReads is how often settings are read at most, to know what their file was before.
const maxReads = 2

// statFiles tells files' versions from each other; nil for one that is not there.
func statFiles(files []string) []os.FileInfo {
	infos := make([]os.FileInfo, len(files))
	for i, file := range files {
		if info, err := os.Stat(file); err == nil {
			infos[i] = info
		}
	}
	return infos
}

func sameFileInfos(a, b []os.FileInfo) bool {
	return slices.EqualFunc(a, b, func(a, b os.FileInfo) bool {
		if a == nil || b == nil {
			return a == nil && b == nil
		}
		return os.SameFile(a, b) && a.Size() == b.Size() && a.ModTime().Equal(b.ModTime())
	})
}

// settings are those in force while a program runs.
type settings struct {
	program            string
	source             Source
	initial            proto.Message
	current            proto.Message
	lastLoaded         *loadedSettings
	initialRestartOnly map[string]string
	lastFileInfos      []os.FileInfo // at the last look
	reloadSignals      chan os.Signal
	log                logr.Logger
}

func newSettings(program string, source Source, initial proto.Message, loaded *loadedSettings, reloadSignals chan os.Signal, log logr.Logger) *settings {
	return &settings{program: program, source: source, initial: proto.Clone(initial), current: proto.Clone(initial), lastLoaded: loaded, initialRestartOnly: loaded.RestartOnly,
		lastFileInfos: loaded.fileInfos, reloadSignals: reloadSignals, log: log}
}

// WatchSettings hands settings that have changed to a program that runs, until ctx ends: on SIGHUP, and
// within two of every once a file is another. Only what may change while a program runs is another
// than before in what it hands on.
func (e *Environment) WatchSettings(ctx context.Context, interval time.Duration, apply func(proto.Message)) {
	if e.settings == nil {
		return
	}
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-e.settings.reloadSignals:
				e.settings.reload(apply)
			case <-ticker.C:
				e.settings.poll(apply)
			}
		}
	}()
}

// poll reads the files again once they are others than those read, and the same at two looks: a
// file that is being written may be cut anywhere, and yet be right by itself.
func (s *settings) poll(apply func(proto.Message)) {
	infos := statFiles(s.lastLoaded.files)
	unchanged := sameFileInfos(infos, s.lastFileInfos)
	if s.lastFileInfos = infos; unchanged && !sameFileInfos(infos, s.lastLoaded.fileInfos) {
		s.reload(apply)
	}
}

// reload reads settings anew. They are taken as a whole or not at all.
func (s *settings) reload(apply func(proto.Message)) {
	target := s.initial.ProtoReflect().New().Interface()
	loaded, err := s.source.load(s.program, target, io.Discard)
	// A file that could not be taken is not asked again before it changes.
	files := s.lastLoaded.files
	s.lastLoaded = loaded
	if err != nil && len(loaded.files) < len(files) {
		loaded.files, loaded.fileInfos = files, statFiles(files)
	}
	s.lastFileInfos = loaded.fileInfos
	if err != nil {
		s.logRejected(err)
		return
	}
	update := options.ApplyLive(s.initial, s.current, target)
	for _, name := range slices.Sorted(maps.Keys(loaded.RestartOnly)) {
		if loaded.RestartOnly[name] != s.initialRestartOnly[name] {
			update.PendingRestart = append(update.PendingRestart, name)
		}
	}
	if len(update.PendingRestart) > 0 {
		s.log.Info("settings that count from the next start on", "settings", update.PendingRestart)
	}
	s.log.Info("settings read again", "changed", update.Changed)
	if len(update.Changed) > 0 {
		s.current = update.Current
		apply(update.Current)
	}
}

// logRejected names every bad field, each with what is wrong with it.
func (s *settings) logRejected(err error) {
	faults := options.Faults{err.Error()}
	var list options.Faults
	if errors.As(err, &list) {
		faults = list
	}
	s.log.Error(errs.New(errs.InvalidOptions, s.program), "settings refused; those from before stay in force", "faults", []string(faults))
}
