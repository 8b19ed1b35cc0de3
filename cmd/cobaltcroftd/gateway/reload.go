package gateway

import (
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
)

// handleSignals processes signals and changes of the settings file until the instance has shut
// down.
func (g *Gateway) handleSignals(signals <-chan os.Signal) error {
	ticker := g.clock.NewTicker(settingsPeriod)
	defer ticker.Stop()
	modified := modifiedAt(g.path)
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				g.reload("signal")
				modified = modifiedAt(g.path)
				continue
			}
			g.stop(s, signals)
			return nil
		case <-ticker.Chan():
			if now := modifiedAt(g.path); !now.Equal(modified) {
				modified = now
				g.reload("file")
			}
		case <-g.tomb.Dying():
			return g.tomb.Err()
		}
	}
}

func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies changed settings for retries, memory and shutdown. Other settings need a restart.
func (g *Gateway) reload(cause string) {
	s, err := settings.ReadGateway(g.path)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "settings_refused", "cause": cause}).Error(err)
		return
	}
	g.budget.SetBounds(budgetBounds(s))
	g.pieceBudget.SetBounds(budgetBounds(s))
	debug.SetMemoryLimit(int64(heapLimitRatio * megabyte * float64(s.MemoryMB)))
	g.held.SetLimit(heldLimit(s))
	g.settings.Retries, g.settings.MemoryMB, g.settings.StopGraceSeconds = s.Retries, s.MemoryMB, s.StopGraceSeconds
	g.log.WithFields(logrus.Fields{"event": "settings_reloaded", "cause": cause}).Info()
}
