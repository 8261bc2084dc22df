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

// settingsWatcher reloads the settings of a running program. Only the goroutine that WatchSettings starts uses it.
type settingsWatcher struct {
	program            string // name of the program, for errors
	source             SettingsSource
	initial            proto.Message     // settings at program start
	current            proto.Message     // settings in effect
	lastLoaded         *loadedSettings   // result of the last load, valid or not
	initialRestartOnly map[string]string // SettingsReading.RestartOnly at program start
	lastFileInfos      []os.FileInfo     // infos of the files in lastLoaded at the last poll or load
	reloadSignals      chan os.Signal    // receives each SIGHUP
	log                logr.Logger
}

// newSettingsWatcher returns a watcher for a program that started with the settings initial, which were read as loaded.
func newSettingsWatcher(
	program string,
	source SettingsSource,
	initial proto.Message,
	loaded *loadedSettings,
	reloadSignals chan os.Signal,
	log logr.Logger,
) *settingsWatcher {
	return &settingsWatcher{
		program:            program,
		source:             source,
		initial:            proto.Clone(initial),
		current:            proto.Clone(initial),
		lastLoaded:         loaded,
		initialRestartOnly: loaded.RestartOnly,
		lastFileInfos:      loaded.fileInfos,
		reloadSignals:      reloadSignals,
		log:                log,
	}
}

// WatchSettings starts to watch the settings until ctx ends, and returns. Their files are polled once in each interval.
// The settings are reloaded on SIGHUP, and after a change of a file at the first poll that finds the file as it was at
// the poll before.
//
// Each time a live setting changed, apply is called, from one goroutine, with the settings that are then in effect. They
// differ from those at program start in live settings only, and apply must not write to them. WatchSettings must be
// called at most once. It does nothing in a program that was not started by Run.
func (e *Environment) WatchSettings(ctx context.Context, interval time.Duration, apply func(proto.Message)) {
	if e.settings == nil {
		return
	}
	go e.settings.watch(ctx, interval, apply)
}

// watch polls the files and waits for SIGHUP until ctx ends.
func (w *settingsWatcher) watch(ctx context.Context, interval time.Duration, apply func(proto.Message)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.reloadSignals:
			w.reload(apply)
		case <-ticker.C:
			w.poll(apply)
		}
	}
}

// poll reloads the settings if their files changed since they were loaded last, and did not change since the last poll.
// A file that is still being written may be cut off anywhere and yet be valid, so it must not be loaded.
func (w *settingsWatcher) poll(apply func(proto.Message)) {
	infos := statFiles(w.lastLoaded.files)
	unchanged := sameFileInfos(infos, w.lastFileInfos)
	w.lastFileInfos = infos
	if unchanged && !sameFileInfos(infos, w.lastLoaded.fileInfos) {
		w.reload(apply)
	}
}

// reload loads the settings and applies the live ones. If any setting is invalid, none is applied.
func (w *settingsWatcher) reload(apply func(proto.Message)) {
	target := w.initial.ProtoReflect().New().Interface()
	loaded, err := w.source.load(w.program, target, io.Discard)
	w.recordLoaded(loaded, err)
	if err != nil {
		w.logRejected(err)
		return
	}
	update := options.ApplyLive(w.initial, w.current, target)
	update.PendingRestart = append(update.PendingRestart, w.changedRestartOnly(loaded)...)
	if len(update.PendingRestart) > 0 {
		w.log.Info("changed settings take effect after restart", "settings", update.PendingRestart)
	}
	w.log.Info("settings reloaded", "changed", update.Changed)
	if len(update.Changed) > 0 {
		w.current = update.Current
		apply(update.Current)
	}
}

// recordLoaded records the files of a load, whether its settings were valid or not. Rejected files are thus not loaded
// again before they change.
func (w *settingsWatcher) recordLoaded(loaded *loadedSettings, err error) {
	previousFiles := w.lastLoaded.files
	w.lastLoaded = loaded
	// A load that failed early may not have found all files. Those of the load before then stay watched.
	if err != nil && len(loaded.files) < len(previousFiles) {
		loaded.files = previousFiles
		loaded.fileInfos = statFiles(previousFiles)
	}
	w.lastFileInfos = loaded.fileInfos
}

// changedRestartOnly returns the names in SettingsReading.RestartOnly whose values differ from those at program start,
// in order.
func (w *settingsWatcher) changedRestartOnly(loaded *loadedSettings) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(loaded.RestartOnly)) {
		if loaded.RestartOnly[name] != w.initialRestartOnly[name] {
			names = append(names, name)
		}
	}
	return names
}

// logRejected logs every invalid setting with the reason.
func (w *settingsWatcher) logRejected(err error) {
	faults := options.Faults{err.Error()}
	var list options.Faults
	if errors.As(err, &list) {
		faults = list
	}
	rejected := errs.New(errs.InvalidOptions, w.program)
	w.log.Error(rejected, "settings rejected, previous settings stay in effect", "faults", []string(faults))
}
