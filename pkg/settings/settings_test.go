package settings_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const good = `{
	"instance": "sala-a-1", "failure_domain": "sala-a",
	"listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4"},
	"tokens": {"operators": ["operators-token"], "peers": "peers-token"},
	"platform": {"key_value": "http://127.0.0.1:5", "instance_list": "http://127.0.0.1:6"}
}`

// with returns the good settings with one field of the top level replaced.
func with(field, value string) []byte {
	var all map[string]json.RawMessage
	Expect(json.Unmarshal([]byte(good), &all)).To(Succeed())
	all[field] = json.RawMessage(value)
	data, err := json.Marshal(all)
	Expect(err).NotTo(HaveOccurred())
	return data
}

var _ = Describe("settings", func() {
	It("take the defaults where the file is silent", func() {
		s, err := settings.Parse([]byte(good))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Timings).To(Equal(settings.Defaults().Timings))
		Expect(s.Policy).To(Equal(settings.PolicyCobaltcroft))
	})

	DescribeTable("name field, value and remedy of a fault",
		func(field, value, named, remedy string) {
			_, err := settings.Parse(with(field, value))
			Expect(problem.KindOf(err)).To(Equal(problem.Invalid))
			Expect(err).To(MatchError(SatisfyAll(ContainSubstring(named), ContainSubstring(remedy))))
		},
		Entry("unknown field", "instanse", `"x"`, `unknown field "instanse"`, "docs/SETTINGS.md"),
		Entry("bad name", "instance", `"Sala A"`, `instance is "Sala A"`, "use 1 to 64"),
		Entry("bad address", "peers", `["sala-a:80"]`, `peers[0] is "sala-a:80"`, "use IP:port"),
		Entry("bad URL", "platform", `{"key_value": "ftp://x", "instance_list": "http://127.0.0.1:6"}`, `platform.key_value is "ftp://x"`, "use http://"),
		Entry("bad duration", "timings", `{"heartbeat": 5}`, "duration 5", "250ms"),
		Entry("duration out of range", "timings", `{"heartbeat": "1h"}`, `timings.heartbeat is "1h0m0s"`, "use 20ms to 10s"),
		Entry("suspicion before three heartbeats", "timings", `{"heartbeat": "2s", "suspect_after": "4s"}`, "timings.suspect_after", "use 6s to"),
		Entry("short token", "tokens", `{"operators": ["short"], "peers": "peers-token"}`, "tokens.operators[0] has 5 characters", "use at least 8"),
		Entry("no token", "tokens", `{"operators": [], "peers": "peers-token"}`, "tokens.operators", "at least one"),
		Entry("count out of range", "limits", `{"in_flight": 0}`, `limits.in_flight is "0"`, "use 1 to"),
		Entry("unknown policy", "policy", `"best"`, `policy is "best"`, "use one of"),
		Entry("unknown level", "log", `{"peers": "loud"}`, `log.peers is "loud"`, "use error, warn"),
	)

	It("refuse what goes on after the object", func() {
		_, err := settings.Parse([]byte(good + "{}"))
		Expect(err).To(MatchError(ContainSubstring("go on after")))
	})
})
