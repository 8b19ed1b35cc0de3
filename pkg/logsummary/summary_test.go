package logsummary_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logsummary"
)

func TestLogSummary(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logsummary")
}

// lines is a sample log, partly with the prefix of a log collector.
const lines = `12.031 sala-a-1 time="2026-01-01T00:00:00.000Z" level=info event=request id=1 route=alert outcome=answered status=200 ms=40
time="2026-01-01T00:00:00.000Z" level=info event=request id=2 route=alert outcome=busy status=503 ms=3
12.032 sala-a-2 time="2026-01-01T00:00:00.000Z" level=info event=request id=3 route=alert outcome=pieces_not_made status=503 ms=5993
event=stages id=1 ms=30 reason=
event=stages id=3 ms=5990 reason=late
event=stage_call service=mallas pieces=10 ms=300 expected_ms=200 not_made=0 why_not=
event=stage_call service=mallas pieces=4 ms=100 expected_ms=200 not_made=4 why_not="no room"
event=source_call of=endpoints call=watch ms=400
event=source_call_failed of=document call=read ms=1000 bytes=0 msg="context canceled"
event=owner part=0 parts=4 cause=asked_by_peer
event=division parts=4 term=1 cause=endpoints
msg="a line of something else"
event="not ended
`

var _ = Describe("a log summary", func() {
	report := func(text string) []string {
		GinkgoHelper()
		a := logsummary.New()
		Expect(a.Read(strings.NewReader(text))).To(Succeed())
		var out strings.Builder
		Expect(a.Write(&out)).To(Succeed())
		var rows []string
		for _, row := range strings.Split(out.String(), "\n") {
			rows = append(rows, strings.Join(strings.Fields(row), " "))
		}
		return rows
	}

	It("summarises requests, stages and source calls", func() {
		Expect(report(lines)).To(ContainElements(
			"alert answered 1 0.333 40 40",
			"alert busy 1 0.333 3 3 not served",
			"alert pieces_not_made 1 0.333 5993 5993 not served",
			"made 1 30 30",
			"late 1 5990 5990",
			"mallas 2 7.0 300 300 0.250 4 no room 4",
			"endpoints watch 1 400 400",
			"document read failed 1 1000 1000",
			"owner asked_by_peer 1",
			"division endpoints 1",
			"lines that do not parse: 1",
		))
	})

	It("has only headings for empty logs", func() {
		Expect(report("")).To(HaveLen(12))
	})

	It("returns a remedy for an unreadable log", func() {
		err := logsummary.New().Read(strings.NewReader(strings.Repeat("x", 2<<20)))
		Expect(err).To(MatchError(ContainSubstring("lines of up to a megabyte")))
	})
})
