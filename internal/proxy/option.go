package proxy

import "meadowhinge/internal/dispatch"

// running is what a proxy is given beside its settings: how it is spoken to.
type running struct {
	worker dispatch.WorkerSpeech
	beats  BeatSpeech
}

// Option changes how a proxy is spoken to; without any it is our own interface.
type Option func(*running)

// WithWorkerSpeech lets workers be called in another way.
func WithWorkerSpeech(speech dispatch.WorkerSpeech) Option {
	return func(given *running) { given.worker = speech }
}

// WithBeatSpeech lets workers describe themselves in another way.
func WithBeatSpeech(speech BeatSpeech) Option { return func(given *running) { given.beats = speech } }

func speechesOf(changes []Option) running {
	given := running{worker: dispatch.OwnSpeech{}, beats: ownBeats{}}
	for _, change := range changes {
		change(&given)
	}
	return given
}
