// Package logging gives each layer of the program its own logger. A logger
// writes one line of key=value pairs for each event.
package logging

import (
	"io"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// DefaultLevel applies to each layer that the settings do not name.
const DefaultLevel = "info"

// Logs makes the loggers of one process. Its zero value is not usable; call New.
type Logs struct {
	mu     sync.Mutex
	out    io.Writer
	levels map[string]string
	layers map[string]*logrus.Entry
}

// New returns Logs that write to out. The map levels gives a level by layer; the
// layer "default" applies to all others.
func New(out io.Writer, levels map[string]string) (*Logs, error) {
	for layer, level := range levels {
		if _, err := logrus.ParseLevel(level); err != nil {
			return nil, problem.Wrap(err, problem.Invalid, "use error, warn, info, debug or trace", "log level of layer %q is %q", layer, level)
		}
	}
	return &Logs{out: out, levels: levels, layers: map[string]*logrus.Entry{}}, nil
}

// Discard returns Logs that write nothing. Meant for tests and embedding.
func Discard() *Logs {
	l, _ := New(io.Discard, nil)
	return l
}

// For returns the logger of a layer; the same one at each call.
func (l *Logs) For(layer string) *logrus.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.layers[layer]; ok {
		return e
	}
	logger := logrus.New()
	logger.SetOutput(l.out)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	logger.SetLevel(l.level(layer))
	entry := logger.WithField("layer", layer)
	l.layers[layer] = entry
	return entry
}

func (l *Logs) level(layer string) logrus.Level {
	for _, name := range []string{l.levels[layer], l.levels["default"], DefaultLevel} {
		if name == "" {
			continue
		}
		level, err := logrus.ParseLevel(name)
		if err == nil {
			return level
		}
	}
	return logrus.InfoLevel
}
