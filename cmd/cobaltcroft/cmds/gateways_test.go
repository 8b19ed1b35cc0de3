package cmds

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// gatewayThat starts a stand-in of a gateway's metrics address, and returns that.
func gatewayThat(t *testing.T, lists map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(lists[r.URL.Path]))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestNoticesOfSeveralGatewaysStandSideBySide(t *testing.T) {
	g := NewWithT(t)
	first := gatewayThat(t, map[string]string{"/notices": `[{"endpoint":"a","limit":0.5},{"endpoint":"b","leaving":true},{"endpoint":"c","rest_ms":1500}]`})
	second := gatewayThat(t, map[string]string{"/notices": `[{"endpoint":"a","limit":0.5}]`})
	var out bytes.Buffer
	command := noticesCommand{asked{[]string{first, second}}}
	g.Expect(command.Run(&globals{Output: "table", Timeout: time.Minute, out: &out})).To(Succeed())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(4))
	g.Expect(strings.Fields(lines[1])).To(Equal([]string{"b", "leaves", "-", "1", "of", "2:", first}))
	g.Expect(strings.Fields(lines[2])).To(Equal([]string{"a", "takes", "0.5", "a", "second", "from", "all", "-", "all", "2"}))
	g.Expect(strings.Fields(lines[3])).To(Equal([]string{"c", "wants", "rest", "1.5s", "1", "of", "2:", first}))
}

func TestRolloutsOfSeveralGatewaysStandSideBySide(t *testing.T) {
	g := NewWithT(t)
	conducts := gatewayThat(t, map[string]string{"/rollouts": `[{"service":"s","version":"v2","order":17,"age_ms":2000,"exposure":"tried","share":0.06,"state":"running","conducted":true,"answers":21,"against":1.25,"measure":"route"}]`})
	follows := gatewayThat(t, map[string]string{"/rollouts": `[{"service":"s","version":"v2","order":17,"age_ms":100,"exposure":"withheld"}]`})
	var out bytes.Buffer
	command := rolloutsCommand{asked{[]string{conducts, follows}}}
	g.Expect(command.Run(&globals{Output: "table", Timeout: time.Minute, out: &out})).To(Succeed())
	g.Expect(out.String()).To(SatisfyAll(
		MatchRegexp(`s +v2 +17 +%s +tried +0.06 +running +2s +yes +21 +1.2 route`, conducts),
		MatchRegexp(`s +v2 +17 +%s +withheld +0.00 +- +100ms +- +- +-`, follows),
	))
}

func TestAGatewayThatDoesNotAnswerFailsTheCommand(t *testing.T) {
	g := NewWithT(t)
	silent := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(silent.URL, "http://")
	command := noticesCommand{asked{[]string{address}}}
	options := &globals{Output: "table", Timeout: time.Minute, out: &bytes.Buffer{}}
	g.Expect(command.Run(options)).To(MatchError(ContainSubstring("does not list /notices")))
	silent.Close()
	g.Expect(codeOf(command.Run(options))).To(Equal(exitUnavailable))
}
