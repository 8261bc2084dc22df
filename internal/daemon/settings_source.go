package daemon

import (
	"io"
	"os"
	"slices"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/options"
)

// Source is where a program gets its settings from.
type Source struct {
	// Read gives the settings in their current form. Its error is reported as a bad setting.
	Read func() (SourceSettings, error)
	// File is watched for changes, besides the settings file that the command line names; empty for none.
	File string
}

// SourceSettings is what a Source read.
type SourceSettings struct {
	Args        []string          // command line that has the settings
	RestartOnly map[string]string // what has an effect besides the settings, and only after a restart; by name
	OnAccepted  func()            // called once the settings are found to be valid; may be nil
}

// FromArgs gives the settings of a command line, and of the settings file that it names.
func FromArgs(args []string) Source {
	return Source{Read: func() (SourceSettings, error) { return SourceSettings{Args: args}, nil }}
}

// loadedSettings is what one load of a source read, and from which files.
type loadedSettings struct {
	SourceSettings
	files     []string
	fileInfos []os.FileInfo // of files, from before they were read
}

// addFile adds a file that is about to be read.
func (l *loadedSettings) addFile(file string) {
	l.files = append(l.files, file)
	l.fileInfos = append(l.fileInfos, statFile(file))
}

// load fills target with valid settings. On an error it leaves target as it is, and still gives the files.
func (s Source) load(program string, target proto.Message, help io.Writer) (*loadedSettings, error) {
	loaded := &loadedSettings{}
	if s.File != "" {
		loaded.addFile(s.File)
	}
	var err error
	if loaded.SourceSettings, err = s.Read(); err != nil {
		return loaded, err
	}
	if err := loaded.parse(program, target, help); err != nil {
		return loaded, err
	}
	if loaded.OnAccepted != nil {
		loaded.OnAccepted()
	}
	return loaded, nil
}

// maxParses is how often settings are parsed at most: once to learn which file the command line names, and once with
// that file's info taken before.
const maxParses = 2

// parse parses the command line into target. Which settings file it names is known only once it was parsed. So
// that a change of the file in the meantime is not missed, the file's info is taken then, and all is parsed again.
func (l *loadedSettings) parse(program string, target proto.Message, help io.Writer) error {
	for range maxParses {
		fresh := target.ProtoReflect().New().Interface()
		file, err := options.ParseWithFile(program, l.Args, fresh, help)
		if file != "" && !slices.Contains(l.files, file) {
			l.addFile(file)
			continue
		}
		if err != nil {
			return err
		}
		proto.Reset(target)
		proto.Merge(target, fresh)
		break
	}
	return nil
}

// statFile gives a file's info, by which its versions can be told apart; nil for a file that cannot be found.
func statFile(file string) os.FileInfo {
	info, err := os.Stat(file)
	if err != nil {
		return nil
	}
	return info
}

func statFiles(files []string) []os.FileInfo {
	infos := make([]os.FileInfo, len(files))
	for i, file := range files {
		infos[i] = statFile(file)
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
