package config

import (
	"time"

	"meadowhinge/schema"
)

// Limits bound what a client may send, and how long it may take or stay idle. Operators write one item of
// them for the whole mesh; a limit that is left out, or 0, is that of DefaultLimits.
type Limits struct {
	MaxHeaderBytes    int    `json:"headerMost,omitempty"` // bytes of a request's header
	MaxBodyBytes      int64  `json:"bodyMost,omitempty"`   // bytes of a request's body
	HeaderTimeoutText string `json:"headerWait,omitempty"`
	IdleTimeoutText   string `json:"quiet,omitempty"`

	HeaderTimeout time.Duration `json:"-"` // for a complete header, from its first byte
	IdleTimeout   time.Duration `json:"-"` // of a connection without a request
}

// DefaultLimits apply where operators set no limits.
var DefaultLimits = Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   1 << 20,
	HeaderTimeout:  10 * time.Second,
	IdleTimeout:    time.Minute,
}

// applyDefaults checks the limits by themselves and fills in the defaults.
func (l *Limits) applyDefaults(item *schema.Item, add faultReporter) {
	const path = kindLimits
	if item.Name != schema.LimitsName {
		add(itemPath(kindLimits, item.Name), "must be named %q", schema.LimitsName)
	}
	if l.MaxHeaderBytes < 0 {
		add(path+".headerMost", "must not be below zero")
	}
	if l.MaxBodyBytes < 0 {
		add(path+".bodyMost", "must not be below zero")
	}
	l.HeaderTimeout = DefaultLimits.HeaderTimeout
	l.IdleTimeout = DefaultLimits.IdleTimeout
	if l.HeaderTimeoutText != "" {
		l.HeaderTimeout = parsePositiveDuration(l.HeaderTimeoutText, path+".headerWait", add)
	}
	if l.IdleTimeoutText != "" {
		l.IdleTimeout = parsePositiveDuration(l.IdleTimeoutText, path+".quiet", add)
	}
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = DefaultLimits.MaxHeaderBytes
	}
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = DefaultLimits.MaxBodyBytes
	}
}
