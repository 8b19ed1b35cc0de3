package settings_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
)

const goodGateway = `{
	"instance": "sala-a-1", "failure_domain": "sala-a",
	"listen": {"requests": "127.0.0.1:1", "readiness": "127.0.0.1:2", "peers": "127.0.0.1:3", "metrics": ""},
	"peers": ["127.0.0.1:4"], "peer_token": "peers-token", "store": "127.0.0.1:5",
	"machine": {"processor_share": 0.4, "processor_speed": 2, "link_mbps": 1000},
	"memory_mb": 284, "stop_grace_seconds": 8, "start_wait_ms": 600, "retries": {"ratio": 0.2, "slack": 54, "window_seconds": 10}
}`

var _ = Describe("settings of a gateway", func() {
	It("are read, and unknown fields are ignored", func() {
		g, err := settings.ParseGateway([]byte(strings.Replace(goodGateway, "{", `{"later": 1, `, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(g.StopGrace().Seconds()).To(Equal(8.0))
		Expect(g.StartWait().Seconds()).To(Equal(0.6))
		Expect(g.Retries.Window().Seconds()).To(Equal(10.0))
	})

	It("tell what the instance has of its machine, or that it is not known", func() {
		g, err := settings.ParseGateway([]byte(goodGateway))
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Machine.Cores()).To(Equal(0.8))
		g, err = settings.ParseGateway([]byte(strings.Replace(goodGateway, `"machine":`, `"later":`, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Machine.Cores()).To(BeZero())
		Expect(g.Machine.LinkMbps).To(BeZero())
	})

	It("take the defaults where the file is silent", func() {
		silent := strings.NewReplacer(`"memory_mb": 284, `, "", `"start_wait_ms": 600, `, "").Replace(goodGateway)
		g, err := settings.ParseGateway([]byte(silent))
		Expect(err).NotTo(HaveOccurred())
		Expect(g.MemoryMB).To(Equal(settings.GatewayDefaults().MemoryMB))
		Expect(g.StartWait()).To(BeZero())
	})

	DescribeTable("name field, value and remedy of a fault",
		func(old, changed, named, remedy string) {
			Expect(goodGateway).To(ContainSubstring(old))
			_, err := settings.ParseGateway([]byte(strings.Replace(goodGateway, old, changed, 1)))
			Expect(problem.KindOf(err)).To(Equal(problem.Invalid))
			Expect(err).To(MatchError(SatisfyAll(ContainSubstring(named), ContainSubstring(remedy))))
		},
		Entry("instance", `"sala-a-1"`, `"Sala A"`, `instance is "Sala A"`, "use 1 to 64"),
		Entry("listen", `"127.0.0.1:1"`, `"here"`, `listen.requests is "here"`, "use IP:port"),
		Entry("peers", `"127.0.0.1:4"`, `"x"`, `peers[0] is "x"`, "use IP:port"),
		Entry("store", `"127.0.0.1:5"`, `""`, `store is ""`, "use IP:port"),
		Entry("token", `"peers-token"`, `"short"`, "peer_token has 5 characters", "use at least 8"),
		Entry("processor", `"processor_share": 0.4`, `"processor_share": -0.4`, `machine.processor_share is "-0.4"`, "use 0 to"),
		Entry("speed", `"processor_speed": 2`, `"processor_speed": 2e9`, `machine.processor_speed is "2e+09"`, "use 0 to"),
		Entry("link", `"link_mbps": 1000`, `"link_mbps": 1e9`, `machine.link_mbps is "1e+09"`, "use 0 to"),
		Entry("memory", `284`, `3`, `memory_mb is "3"`, "use 32 to"),
		Entry("grace", `"stop_grace_seconds": 8`, `"stop_grace_seconds": 0`, `stop_grace_seconds is "0s"`, "use 1s to"),
		Entry("start wait below 0", `"start_wait_ms": 600`, `"start_wait_ms": -1`, `start_wait_ms is "-1"`, "use 0 to 5000"),
		Entry("start wait in another unit", `"start_wait_ms": 600`, `"start_wait_ms": 600000`, `start_wait_ms is "600000"`, "use 0 to 5000"),
		Entry("no pieces", `"start_wait_ms": 600`, `"max_pieces": 0`, `max_pieces is "0"`, "use 1 to 20000"),
		Entry("too many pieces", `"start_wait_ms": 600`, `"max_pieces": 20001`, `max_pieces is "20001"`, "use 1 to 20000"),
		Entry("retries", `"ratio": 0.2`, `"ratio": -1`, "retries is", "0 or more"),
		Entry("not JSON", `"instance"`, `instance`, "do not parse", "docs/SETTINGS.md"),
	)

	It("cannot be read from a file that is not there", func() {
		_, err := settings.ReadGateway(os.DevNull + "/nothing")
		Expect(err).To(MatchError(ContainSubstring("name a readable file")))
	})
})
