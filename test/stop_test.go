package test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

var _ = Describe("a planned stop", func() {
	var s *system
	var a1, a2 *instance

	BeforeEach(func() {
		s = newSystem(100*time.Millisecond, "a")
		a1, a2 = s.start("a-1", "a"), s.start("a-2", "a")
		s.configure()
	})

	// stream sends a streamed call and returns the number of tokens and the result.
	stream := func(i *instance, begun chan<- struct{}) (tokens int, result api.Result) {
		body, _ := json.Marshal(api.Call{Organisation: "huila", Stream: true, Input: json.RawMessage(`{"tokens":40,"work_ms":{"generate":1200}}`)})
		resp, err := http.Post("http://"+i.faces["callers"]+"/v1/pipelines/bulletin", "application/json", bytes.NewReader(body))
		if err != nil {
			return 0, api.Result{Outcome: err.Error()}
		}
		defer resp.Body.Close()
		lines := bufio.NewScanner(resp.Body)
		event, text := "", ""
		for lines.Scan() {
			text = lines.Text()
			if name, ok := strings.CutPrefix(text, "event: "); ok {
				event = name
			}
			data, ok := strings.CutPrefix(lines.Text(), "data: ")
			if !ok {
				continue
			}
			if event == "result" {
				_ = json.Unmarshal([]byte(data), &result)
				return tokens, result
			}
			if tokens == 0 {
				close(begun)
			}
			tokens++
		}
		return tokens, api.Result{Outcome: "the stream broke off at " + text}
	}

	It("cuts no request in flight, whole or streamed, and ends with exit code 0", func() {
		var wg sync.WaitGroup
		outcomes := make([]string, 6)
		for n := range outcomes {
			wg.Go(func() {
				outcomes[n] = a1.outcome("bulletin", api.Call{Input: json.RawMessage(`{"work_ms":{"retrieve":1000}}`)})
			})
		}
		begun := make(chan struct{})
		var tokens int
		var streamed api.Result
		wg.Go(func() { tokens, streamed = stream(a1, begun) })
		Eventually(begun, soon).Should(BeClosed(), func() string { return streamed.Outcome })
		bound := make(chan string, 1)
		go func() {
			call := onceCall("in-flight")
			call.Input = json.RawMessage(`{"work_ms":{"dispatch":1000}}`)
			bound <- a1.outcome("alert", call)
		}()
		Eventually(func() int { return calls(s, "alert") }, soon).Should(Equal(1))
		a1.signal(syscall.SIGTERM)
		Eventually(a1.ready, soon).Should(BeFalse())
		wg.Wait()
		Expect(outcomes).To(HaveEach("answered"))
		Expect(streamed.Outcome).To(Equal("answered"), "%+v %+v", streamed.Problem, streamed.Stages)
		Expect(tokens).To(Equal(40))
		Expect(<-bound).To(Equal("answered"))
		Eventually(a1.session, soon).Should(gexec.Exit(0))
		Eventually(a2.peerStates, soon).Should(HaveKeyWithValue("a-1", "leaving"))
		Expect(a2.outcome("bulletin", api.Call{})).To(Equal("answered"))
	})

	It("loses no request of a caller who goes to another instance when refused", func() {
		done := make(chan struct{})
		var failures []string
		go func() {
			defer close(done)
			for range 150 {
				outcome := a1.outcome("bulletin", api.Call{})
				if outcome != "answered" {
					outcome = a2.outcome("bulletin", api.Call{})
				}
				if outcome != "answered" {
					failures = append(failures, outcome)
				}
			}
		}()
		time.Sleep(200 * time.Millisecond)
		a1.signal(syscall.SIGTERM)
		Eventually(a1.session, soon).Should(gexec.Exit(0))
		Eventually(done, soon).Should(BeClosed())
		Expect(failures).To(BeEmpty())
	})

	It("ends at once at a second signal", func() {
		go a1.outcome("bulletin", api.Call{Input: json.RawMessage(`{"work_ms":{"retrieve":4000}}`)})
		Eventually(func() int { return calls(s, "archive") }, soon).Should(BeNumerically(">=", 1))
		a1.signal(syscall.SIGTERM)
		Eventually(a1.ready, soon).Should(BeFalse())
		a1.signal(syscall.SIGTERM)
		Eventually(a1.session, 2*time.Second).Should(gexec.Exit(1))
	})
})

// calls counts the calls that endpoints of a service have got.
func calls(s *system, service string) int {
	n := 0
	for name, e := range s.site.Endpoints {
		if strings.HasPrefix(name, service) {
			n += e.Calls()
		}
	}
	return n
}

var _ = Describe("an endpoint that is leaving", func() {
	It("gets no new work from any instance, though the list does not tell yet", func() {
		s := newSystem(time.Hour, "a")
		a1, a2 := s.start("a-1", "a"), s.start("a-2", "a")
		// The list lags by an hour: it is as it was before the endpoints came, and
		// so the entries are made anew without a lag first.
		s.site.List.SetLag(0)
		s.configure()
		s.site.List.SetLag(time.Hour)
		leaving := s.endpoint("encoder", "a", 1)
		leaving.SetLeaving(true, true)
		before := leaving.Calls()
		By("one instance hears it from the endpoint itself")
		Eventually(func() int {
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() { a1.outcome("bulletin", api.Call{}) })
			}
			wg.Wait()
			return leaving.Calls() - before
		}, soon, time.Millisecond).Should(BeNumerically(">=", 1))
		By("the others hear it from that instance")
		Eventually(func() string {
			for _, e := range a2.status().Endpoints {
				if e.Name == "encoder-a-1" {
					return e.State
				}
			}
			return ""
		}, 2*time.Second).Should(Equal("leaving"))
		before = leaving.Calls()
		for range 20 {
			Expect(a2.outcome("bulletin", api.Call{})).To(Equal("answered"))
			Expect(a1.outcome("bulletin", api.Call{})).To(Equal("answered"))
		}
		Expect(leaving.Calls()).To(Equal(before))
	})

	It("is known from the list as well, and work on it runs to its end", func() {
		s := newSystem(0, "a")
		a1 := s.start("a-1", "a")
		s.configure()
		s.endpoint("alert", "a", 2).Kill()
		result := make(chan string, 1)
		go func() {
			result <- a1.outcome("alert", api.Call{Input: json.RawMessage(`{"work_ms":{"dispatch":1500}}`)})
		}()
		busy := s.endpoint("alert", "a", 1)
		Eventually(busy.Calls, soon).Should(Equal(1))
		busy.SetLeaving(true, false)
		Eventually(func() string {
			for _, e := range a1.status().Endpoints {
				if e.Name == "alert-a-1" {
					return e.State
				}
			}
			return ""
		}, soon).Should(Equal("leaving"))
		Expect(a1.outcome("alert", api.Call{})).To(Equal("not_run"))
		Expect(busy.Calls()).To(Equal(1))
		Eventually(result, soon).Should(Receive(Equal("answered")))
	})
})

var _ = Describe("a request that may run at most once", func() {
	var s *system
	var a1, a2 *instance

	BeforeEach(func() {
		s = newSystem(0, "a")
		a1, a2 = s.start("a-1", "a"), s.start("a-2", "a")
		s.configure()
	})

	slow := func(id string) api.Call {
		call := onceCall(id)
		call.Input = json.RawMessage(`{"work_ms":{"dispatch":700}}`)
		return call
	}

	It("runs once though copies come at once and in turn to two instances", func() {
		var wg sync.WaitGroup
		outcomes := make([]string, 8)
		for n := range outcomes {
			wg.Go(func() { outcomes[n] = []*instance{a1, a2}[n%2].outcome("alert", slow("copies")) })
		}
		wg.Wait()
		Expect(outcomes).To(HaveEach("answered"))
		Expect(a2.outcome("alert", slow("copies"))).To(Equal("answered"))
		Expect(s.runs("copies")).To(Equal(1))
	})

	It("runs once, and all copies are answered, though its input is written with blanks", func() {
		const body = `{"request_id": "blanks", "organisation": "huila", "repeatable": false, "input": {"work_ms": {"dispatch": 300}, "m" : 1 }}`
		var wg sync.WaitGroup
		outcomes := make([]string, 20)
		for n := range outcomes {
			wg.Go(func() {
				defer GinkgoRecover()
				outcomes[n] = []*instance{a1, a2}[n%2].post("/v1/pipelines/alert", body).Outcome
			})
		}
		wg.Wait()
		Expect(outcomes).To(HaveEach("answered"))
		Expect(s.runs("blanks")).To(Equal(1))
	})

	It("does not run again when its instance dies with it in flight", func() {
		go a1.outcome("alert", slow("orphan"))
		Eventually(func() int { return calls(s, "alert") }, soon).Should(Equal(1))
		a1.kill()
		Expect(a2.outcome("alert", slow("orphan"))).To(Equal("unknown"))
		a1.run()
		Eventually(a1.ready, soon).Should(BeTrue())
		Expect(a1.outcome("alert", slow("orphan"))).To(Equal("unknown"))
		Expect(calls(s, "alert")).To(Equal(1))
	})

	It("does not run again when its instance freezes with it in flight", func() {
		go a1.outcome("alert", slow("frozen"))
		Eventually(func() int { return calls(s, "alert") }, soon).Should(Equal(1))
		a1.signal(syscall.SIGSTOP)
		call := slow("frozen")
		call.DeadlineMs = 500
		Expect(a2.outcome("alert", call)).To(Equal("unknown"))
		a1.signal(syscall.SIGCONT)
		Eventually(func() string { return a2.outcome("alert", slow("frozen")) }, soon).Should(Equal("answered"))
		Expect(calls(s, "alert")).To(Equal(1))
	})

	It("is never called not run where it ran, though the service is out or the instance is stopping", func() {
		Expect(a1.outcome("alert", onceCall("ran"))).To(Equal("answered"))
		s.site.KeyValue.SetFaults(standin.KeyValueFaults{Outage: true})
		Expect(a2.outcome("alert", onceCall("ran"))).To(Equal("unknown"))
		go a2.outcome("bulletin", api.Call{Input: json.RawMessage(`{"work_ms":{"retrieve":1500}}`)})
		Eventually(func() int { return calls(s, "archive") }, soon).Should(BeNumerically(">=", 3))
		a2.signal(syscall.SIGTERM)
		Eventually(a2.ready, soon).Should(BeFalse())
		Consistently(func() string { return a2.outcome("alert", onceCall("ran")) }, 600*time.Millisecond).ShouldNot(Equal("not_run"))
		Expect(s.runs("ran")).To(Equal(1))
	})

	It("does not run while the service is out, but runs on a ticket", func() {
		s.site.KeyValue.SetFaults(standin.KeyValueFaults{Outage: true})
		Expect(a1.outcome("alert", onceCall("flood"))).To(Equal("unknown"))
		Expect(s.runs("flood")).To(BeZero())
		body, _ := json.Marshal(api.TicketRequest{Organisation: "huila", RequestID: "flood"})
		resp, err := http.Post("http://"+a1.faces["callers"]+"/v1/tickets", "application/json", bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		var ticket api.Ticket
		Expect(json.NewDecoder(resp.Body).Decode(&ticket)).To(Succeed())
		call := onceCall("flood")
		call.Ticket = ticket.Ticket
		Expect(a2.outcome("alert", call)).To(Equal("answered"))
		Expect(a1.outcome("alert", call)).To(Equal("answered"))
		Expect(s.runs("flood")).To(Equal(1))
	})
})
