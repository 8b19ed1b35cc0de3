package test

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

var _ = Describe("bad input", func() {
	var s *system
	var a1 *instance

	BeforeEach(func() {
		s = newSystem(0, "a")
		a1 = s.start("a-1", "a")
		s.configure()
	})

	post := func(path, body string) (int, api.Result) {
		resp, err := http.Post("http://"+a1.faces["callers"]+path, "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		var result api.Result
		_ = json.NewDecoder(resp.Body).Decode(&result)
		return resp.StatusCode, result
	}

	DescribeTable("from callers is refused as not run, with the remedy, and runs nothing",
		func(path, body string, status int) {
			before := calls(s, "")
			got, result := post(path, body)
			Expect(got).To(Equal(status))
			Expect(result.Outcome).To(Equal("not_run"))
			Expect(result.Problem.Remedy).NotTo(BeEmpty())
			Expect(calls(s, "")).To(Equal(before))
		},
		Entry("garbage", "/v1/pipelines/bulletin", "<html>", 400),
		Entry("nothing", "/v1/pipelines/bulletin", "", 400),
		Entry("a mistyped field", "/v1/pipelines/bulletin", `{"organisation":"huila","repeatble":false,"input":{}}`, 400),
		Entry("two objects", "/v1/pipelines/bulletin", `{"organisation":"huila","input":{}} {}`, 400),
		Entry("too much", "/v1/pipelines/bulletin", `{"organisation":"huila","input":"`+strings.Repeat("x", 2<<20)+`"}`, 400),
		Entry("no input", "/v1/pipelines/bulletin", `{"organisation":"huila"}`, 400),
		Entry("a negative deadline", "/v1/pipelines/bulletin", `{"organisation":"huila","input":{},"deadline_ms":-1}`, 400),
		Entry("no id where it must run once", "/v1/pipelines/alert", `{"organisation":"huila","input":{},"repeatable":false}`, 400),
		Entry("an unknown pipeline", "/v1/pipelines/nothing", `{"organisation":"huila","input":{}}`, 404),
		Entry("an unknown organisation", "/v1/pipelines/bulletin", `{"organisation":"nobody","input":{}}`, 404),
		Entry("an unknown priority", "/v1/pipelines/bulletin", `{"organisation":"huila","input":{},"priority":"x"}`, 404),
		Entry("a ticket for nothing", "/v1/tickets", `{}`, 400),
	)

	It("that comes slowly is cut off, and others are served meanwhile", func() {
		conn, err := net.Dial("tcp", a1.faces["callers"])
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte("POST /v1/pipelines/bulletin HTTP/1.1\r\nHost: x\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(a1.outcome("bulletin", api.Call{})).To(Equal("answered"))
		Expect(conn.SetReadDeadline(time.Now().Add(soon))).To(Succeed())
		_, err = io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred(), "the server ends the connection")
	})

	It("from operators is refused: wrong tokens, too much, invalid changes with every fault", func() {
		_, err := a1.operatorsWith("wrong-token").Status(short(), connect.NewRequest(&pb.StatusRequest{}))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnauthenticated))
		_, err = a1.apply("huge", organisation(strings.Repeat("x", 17<<20), 1))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeResourceExhausted))
		before := a1.revision()
		_, err = a1.apply("bad", organisation("x", 0), organisation("y!", 1))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))
		Expect(err).To(MatchError(SatisfyAll(ContainSubstring("organisation/x: weight 0"), ContainSubstring(`organisation/y!: name`))))
		Expect(a1.revision()).To(Equal(before))
	})

	DescribeTable("on the peers' face ends the connection and harms nothing",
		func(data []byte) {
			conn, err := net.Dial("tcp", a1.faces["peers"])
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = conn.Write(data)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.SetReadDeadline(time.Now().Add(soon))).To(Succeed())
			_, err = io.ReadAll(conn)
			Expect(os.IsTimeout(err)).To(BeFalse(), "the connection must be ended")
			datagram, err := net.Dial("udp", a1.faces["peers"])
			Expect(err).NotTo(HaveOccurred())
			defer datagram.Close()
			_, err = datagram.Write(data)
			Expect(err).NotTo(HaveOccurred())
			Expect(a1.outcome("bulletin", api.Call{})).To(Equal("answered"))
			Expect(a1.status().Instances).To(HaveLen(1))
		},
		Entry("garbage", []byte("GET / HTTP/1.1\r\n\r\n")),
		Entry("a message of four gigabytes", []byte{0xff, 0xff, 0xff, 0xff, '{'}),
		Entry("a call before the token", frame(`{"jsonrpc":"2.0","id":1,"method":"config.pull","params":{"from":0}}`)),
		Entry("a wrong token", frame(`{"jsonrpc":"2.0","id":1,"method":"peer.hello","params":{"token":"wrong"}}`)),
	)
})

// frame puts the length before a message, as the peers' face does.
func frame(message string) []byte {
	return append([]byte{0, 0, byte(len(message) >> 8), byte(len(message))}, message...)
}

var _ = Describe("the tool", func() {
	var a1 *instance
	var file string

	BeforeEach(func() {
		s := newSystem(0, "a")
		a1 = s.start("a-1", "a")
		Eventually(a1.ready, soon).Should(BeTrue())
		data, err := protojson.Marshal(&pb.GetConfigurationResponse{Objects: configuration()})
		Expect(err).NotTo(HaveOccurred())
		file = filepath.Join(GinkgoT().TempDir(), "configuration.json")
		Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	})

	tool := func(args ...string) *gexec.Session { return a1.tool(args...) }

	It("drives the system, with the documented exit codes", func() {
		Expect(tool("diff", "-f", file)).To(gexec.Exit(4))
		Expect(tool("apply", "-f", file, "--change-id", "c1", "--wait")).To(SatisfyAll(gexec.Exit(0), gbytes.Say("in force on all 1 live instances")))
		Expect(tool("apply", "-f", file, "--change-id", "c1")).To(SatisfyAll(gexec.Exit(0), gbytes.Say("revision 1")))
		Expect(tool("diff", "-f", file)).To(gexec.Exit(0))
		Expect(tool("history")).To(SatisfyAll(gexec.Exit(0), gbytes.Say("c1")))
		Expect(tool("get", "organisation", "huila")).To(SatisfyAll(gexec.Exit(0), gbytes.Say(`"weight":4`)))
		Eventually(func() int {
			return tool("send", "bulletin", "--organisation", "huila", "--request-id", "r1", "--stream").ExitCode()
		}, soon).Should(Equal(0))
		Expect(tool("timeline", "--request", "r1")).To(SatisfyAll(gexec.Exit(0), gbytes.Say("request_accepted"), gbytes.Say("stage_finished"), gbytes.Say("request_finished")))
		Expect(tool("status", "--output", "json")).To(SatisfyAll(gexec.Exit(0), gbytes.Say(`"state"`)))
		Expect(tool("send", "nothing", "--organisation", "huila")).To(gexec.Exit(5))
		Expect(tool("delete", "service", "engine")).To(gexec.Exit(3))
		Expect(tool("delete", "organisation", "huila")).To(gexec.Exit(0))
		Expect(tool("nonsense")).To(gexec.Exit(2))
		Expect(tool("status", "--operators", "127.0.0.1:1")).To(gexec.Exit(5))
		Expect(tool("status", "--token", "wrong-token")).To(gexec.Exit(3))
	})

	It("gives what another change put there, and applies it back only if nothing came between", func() {
		Expect(tool("apply", "-f", file)).To(gexec.Exit(0))
		mine := tool("get", "organisation", "--output", "json")
		path := filepath.Join(GinkgoT().TempDir(), "mine.json")
		Expect(os.WriteFile(path, bytes.ReplaceAll(mine.Out.Contents(), []byte(`"weight":`), []byte(`"maxConcurrent": 7, "weight":`)), 0o600)).To(Succeed())
		_, err := a1.apply("theirs", organisation("huila", 9))
		Expect(err).NotTo(HaveOccurred())
		Expect(tool("apply", "-f", path)).To(gexec.Exit(4))
	})

	It("checks settings and lists every fault", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(path, []byte(`{"instance":"A b","listen":{"callers":"nowhere"},"timings":{"heartbeat":"1h"}}`), 0o600)).To(Succeed())
		session := tool("settings", "check", path)
		Expect(session).To(gexec.Exit(3))
		Expect(string(session.Err.Contents())).To(SatisfyAll(ContainSubstring(`instance is "A b"`), ContainSubstring(`listen.callers is "nowhere"`), ContainSubstring("timings.heartbeat"), ContainSubstring("tokens.operators")))
	})
})
