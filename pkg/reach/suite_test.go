package reach_test

import (
	"io"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/reach"
)

func TestReach(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reach")
}

// newTracker returns a tracker without observations that logs to out.
func newTracker(clock clockwork.Clock, out io.Writer) *reach.Tracker {
	log := logrus.New()
	log.SetOutput(out)
	return reach.NewTracker(clock, metrics.NewSet(), logrus.NewEntry(log))
}
