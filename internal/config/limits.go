package config

import (
	"time"

	"meadowhinge/schema"
)

// Limits bound the size of client requests, the time to receive a request header, and how long a client connection
// may stay idle. One item of limits, written by operators, applies to the whole mesh. A limit that is omitted, or a
// size of 0, has the value of DefaultLimits.
type Limits struct {
	MaxHeaderBytes    int    `json:"headerMost,omitempty"` // largest request header, in bytes
	MaxBodyBytes      int64  `json:"bodyMost,omitempty"`   // largest request body, in bytes
	HeaderTimeoutText string `json:"headerWait,omitempty"` // HeaderTimeout as the operator wrote it, such as 10s
	IdleTimeoutText   string `json:"quiet,omitempty"`      // IdleTimeout as the operator wrote it, such as 1m

	HeaderTimeout time.Duration `json:"-"` // longest time from the first byte of a request header to its last
	IdleTimeout   time.Duration `json:"-"` // time for which a connection without a request is kept open
}

// DefaultLimits are the limits where operators set none.
var DefaultLimits = Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   1 << 20,
	HeaderTimeout:  10 * time.Second,
	IdleTimeout:    time.Minute,
}

// applyDefaults parses the durations, sets the limits that are left out to their defaults, and reports the faults of
// the item.
func (l *Limits) applyDefaults(item *schema.Item, add faultReporter) {
	const path = kindLimits
	if item.Name != schema.LimitsName {
		add(itemPath(kindLimits, item.Name), "must be named %q", schema.LimitsName)
	}
	if l.MaxHeaderBytes < 0 {
		add(path+".headerMost", "must not be negative, got %d", l.MaxHeaderBytes)
	}
	if l.MaxBodyBytes < 0 {
		add(path+".bodyMost", "must not be negative, got %d", l.MaxBodyBytes)
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
