// Package logging provides a logger for each layer of the program. Loggers write
// logfmt lines.
package logging

import (
	"io"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// DefaultLevel is the log level of layers without a configured level.
const DefaultLevel = "info"

// Logs creates the loggers of a process. The zero value is not usable; call New.
type Logs struct {
	mu     sync.Mutex
	out    io.Writer
	levels map[string]string
	layers map[string]*logrus.Entry
}

// New returns Logs that write to out. levels maps layers to log levels; the entry
// "default" applies to all other layers.
func New(out io.Writer, levels map[string]string) (*Logs, error) {
	for layer, level := range levels {
		if _, err := logrus.ParseLevel(level); err != nil {
			return nil, problem.Wrap(err, problem.Invalid, "use error, warn, info, debug or trace", "log level of layer %q is invalid: %q", layer, level)
		}
	}
	return &Logs{out: out, levels: levels, layers: map[string]*logrus.Entry{}}, nil
}

// Discard returns Logs that discard their output, for tests and embedding.
func Discard() *Logs {
	l, _ := New(io.Discard, nil)
	return l
}

// For returns the logger of a layer. Repeated calls return the same logger.
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
