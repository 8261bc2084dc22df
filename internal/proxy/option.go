package proxy

import (
	"net"
	"time"

	"meadowhinge/internal/dispatch"
)

// running is what a proxy is given beside its settings: how it is spoken to.
type running struct {
	callers CallerSpeech
	worker  dispatch.WorkerSpeech
	beats   BeatSpeech
	readyAt []string
	dial    func(address string) (net.Conn, error) // a worker
	fold    func(Picture, Event) Picture
	ids     time.Duration // workers have ids of their own and describe themselves this often, 0 for none
}

// Option changes how a proxy is spoken to; without any it is our own interface.
type Option func(*running)

// WithCallerSpeech lets callers be understood and answered in another way.
func WithCallerSpeech(speech CallerSpeech) Option {
	return func(given *running) { given.callers = speech }
}

// WithWorkerSpeech lets workers be called in another way.
func WithWorkerSpeech(speech dispatch.WorkerSpeech) Option {
	return func(given *running) { given.worker = speech }
}

// WithBeatSpeech lets workers describe themselves in another way.
func WithBeatSpeech(speech BeatSpeech) Option { return func(given *running) { given.beats = speech } }

// WithWorkerIDs is for workers that have ids of their own and describe themselves so often. They
// are known by them before and after a restart of this proxy, and no connection is kept to
// each only to learn of its end.
func WithWorkerIDs(beat time.Duration) Option { return func(given *running) { given.ids = beat } }

// youngTimes is for how many beats a proxy that has just started may lack workers.
const youngTimes = 3

// WithReady lets readiness be asked for at another path of the probe listener too.
func WithReady(path string) Option {
	return func(given *running) { given.readyAt = append(given.readyAt, path) }
}

func speechesOf(changes []Option) running {
	given := running{callers: ownCallers{}, worker: dispatch.OwnSpeech{}, beats: ownBeats{}, fold: Fold,
		dial: func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }}
	for _, change := range changes {
		change(&given)
	}
	return given
}
