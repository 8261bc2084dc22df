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

// settingsWatcher reloads the settings of a running program. Only the goroutine of WatchSettings uses it.
type settingsWatcher struct {
	program            string
	source             Source
	initial            proto.Message     // settings at start
	current            proto.Message     // settings in effect
	lastLoaded         *loadedSettings   // by the last load, valid or not
	initialRestartOnly map[string]string // SourceSettings.RestartOnly at start
	lastFileInfos      []os.FileInfo     // at the last poll or load
	reloadSignals      chan os.Signal
	log                logr.Logger
}

func newSettingsWatcher(
	program string,
	source Source,
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

// WatchSettings calls apply with the settings each time a live setting changed, until ctx ends. It reloads on
// SIGHUP, and within two intervals of a change of a file. What apply gets differs from the settings at start in
// live settings only; it must not be written to.
func (e *Environment) WatchSettings(ctx context.Context, interval time.Duration, apply func(proto.Message)) {
	if e.settings == nil {
		return
	}
	go e.settings.watch(ctx, interval, apply)
}

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

// poll reloads the settings if their files differ from those loaded last, and are the same as at the last poll: a
// file that is still being written may be cut off anywhere, and be valid all the same.
func (w *settingsWatcher) poll(apply func(proto.Message)) {
	infos := statFiles(w.lastLoaded.files)
	unchanged := sameFileInfos(infos, w.lastFileInfos)
	w.lastFileInfos = infos
	if unchanged && !sameFileInfos(infos, w.lastLoaded.fileInfos) {
		w.reload(apply)
	}
}

// reload loads the settings and applies the live ones. If any setting is bad, none is applied.
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

// recordLoaded remembers which files were loaded, valid or not, so that files that were rejected are not loaded
// again before they change.
func (w *settingsWatcher) recordLoaded(loaded *loadedSettings, err error) {
	previousFiles := w.lastLoaded.files
	w.lastLoaded = loaded
	// A load that failed early may not have found out which files there are: those of before are then watched.
	if err != nil && len(loaded.files) < len(previousFiles) {
		loaded.files = previousFiles
		loaded.fileInfos = statFiles(previousFiles)
	}
	w.lastFileInfos = loaded.fileInfos
}

// changedRestartOnly names what differs from the start besides the settings, in order.
func (w *settingsWatcher) changedRestartOnly(loaded *loadedSettings) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(loaded.RestartOnly)) {
		if loaded.RestartOnly[name] != w.initialRestartOnly[name] {
			names = append(names, name)
		}
	}
	return names
}

// logRejected logs every bad setting, each with what is wrong with it.
func (w *settingsWatcher) logRejected(err error) {
	faults := options.Faults{err.Error()}
	var list options.Faults
	if errors.As(err, &list) {
		faults = list
	}
	rejected := errs.New(errs.InvalidOptions, w.program)
	w.log.Error(rejected, "settings rejected, previous settings stay in effect", "faults", []string(faults))
}
