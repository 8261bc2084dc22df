package daemon

import (
	"io"
	"os"
	"slices"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/options"
)

// SettingsSource is where a program gets its settings from. They are read at start and again at each reload.
type SettingsSource struct {
	// Read returns the current settings. An error is reported as an invalid setting.
	Read func() (SettingsReading, error)
	// File is a file from which Read gets settings, and which is watched for changes; empty means none. The settings
	// file that the command line names is watched too.
	File string
}

// SettingsReading has the settings that a SettingsSource read.
type SettingsReading struct {
	Args        []string          // settings as a command line, without the program's name
	RestartOnly map[string]string // inputs that are not settings and that have an effect only at program start, by name
	OnAccepted  func()            // called each time the settings were found to be valid; may be nil
}

// FromArgs returns the source of the settings on a command line and in the settings file that it names.
func FromArgs(args []string) SettingsSource {
	return SettingsSource{Read: func() (SettingsReading, error) { return SettingsReading{Args: args}, nil }}
}

// loadedSettings is the result of one load of a SettingsSource.
type loadedSettings struct {
	SettingsReading
	files     []string      // names of the files that were read
	fileInfos []os.FileInfo // info of each of files, taken before it was read; nil for a file that was not found
}

// addFile records a file that is about to be read.
func (l *loadedSettings) addFile(file string) {
	l.files = append(l.files, file)
	l.fileInfos = append(l.fileInfos, statFile(file))
}

// load reads the settings into target. If they are invalid, target is not changed, and the result still has the files
// that were read. Help and version, if the command line asks for them, are written to help.
func (s SettingsSource) load(program string, target proto.Message, help io.Writer) (*loadedSettings, error) {
	loaded := &loadedSettings{}
	if s.File != "" {
		loaded.addFile(s.File)
	}
	var err error
	if loaded.SettingsReading, err = s.Read(); err != nil {
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

// maxParses is the maximum number of times that one load parses the command line: once to find out which settings file
// it names, and once after the info of that file was taken.
const maxParses = 2

// parse parses the command line, and the settings file that it names, into target. The name of the file is known only
// after the first parse, which has read the file already. The file's info is taken at that point, and everything is
// parsed again. The info is thus older than the settings, so that a later change of the file is not missed.
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

// statFile returns the info of a file, which differs if the file is changed or replaced. It is nil if the file cannot
// be found.
func statFile(file string) os.FileInfo {
	info, err := os.Stat(file)
	if err != nil {
		return nil
	}
	return info
}

// statFiles returns the info of each file, as statFile does.
func statFiles(files []string) []os.FileInfo {
	infos := make([]os.FileInfo, len(files))
	for i, file := range files {
		infos[i] = statFile(file)
	}
	return infos
}

// sameFileInfos reports whether two lists are infos of the same files with the same sizes and modification times.
func sameFileInfos(a, b []os.FileInfo) bool {
	return slices.EqualFunc(a, b, func(a, b os.FileInfo) bool {
		if a == nil || b == nil {
			return a == nil && b == nil
		}
		return os.SameFile(a, b) && a.Size() == b.Size() && a.ModTime().Equal(b.ModTime())
	})
}
