package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

var _ = Describe("requests and answers", func() {
	var (
		d *platformtest.Deployment
		i *instance
	)

	BeforeEach(func() {
		d = deploy(2)
		i = start(d.Address())
	})

	whole := func(id string) OmegaMatcher {
		return SatisfyAll(HaveField("Status", http.StatusOK), HaveField("Body", platformtest.ResponseBody(id)), HaveField("Whole", true))
	}

	It("pass unchanged, with what the endpoint must know", func() {
		id := newID()
		r := i.request(http.MethodPost, "once", id, "a body with \x00 bytes")
		r.URL.Opaque = "/once/a%2Fb/../c?q=%20&q=2"
		r.Header.Set("X-Own", "kept")
		r.Header.Set("Cobaltcroft-Tenant", "forged")
		r.Header.Set("Connection", "x-hop")
		r.Header.Set("X-Hop", "dropped")
		got := send(r)
		Expect(got).To(whole(id))
		Expect(got.Header.Get("Cobaltcroft-Seal")).NotTo(BeEmpty())
		Expect(got.Header.Get("Cobaltcroft-Request-Id")).To(Equal(id))
		runs := d.Runs("simple", id)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0]).To(SatisfyAll(
			HaveField("Method", http.MethodPost),
			HaveField("URI", "/once/a%2Fb/../c?q=%20&q=2"),
			HaveField("Body", "a body with \x00 bytes"),
		))
		h := runs[0].Header
		Expect(h.Get("X-Own")).To(Equal("kept"))
		Expect(h).NotTo(HaveKey("Authorization"))
		Expect(h).NotTo(HaveKey("X-Hop"))
		Expect(h["Cobaltcroft-Tenant"]).To(Equal([]string{platformtest.Tenant}))
		left, err := strconv.Atoi(h.Get("Cobaltcroft-Deadline-Ms"))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 1000), BeNumerically("<=", 5000)))
	})

	DescribeTable("are refused with a clear answer",
		func(status int, reason string, change func(r *http.Request)) {
			r := i.request(http.MethodPost, "once", newID(), "")
			change(r)
			Expect(send(r)).To(SatisfyAll(HaveField("Status", status), HaveField("Body", ContainSubstring(reason)), HaveField("Whole", true)))
			for _, e := range d.Engines {
				Expect(e.Runs()).To(BeEmpty())
			}
		},
		Entry("unknown host", http.StatusNotFound, "no_route", func(r *http.Request) { r.Host = "nobody.example" }),
		Entry("unknown path", http.StatusNotFound, "no_route", func(r *http.Request) { r.URL.Path = "/nowhere/x" }),
		Entry("no key", http.StatusUnauthorized, "no_key", func(r *http.Request) { r.Header.Del("Authorization") }),
		Entry("unknown key", http.StatusUnauthorized, "no_key", func(r *http.Request) { r.Header.Set("Authorization", "Bearer other") }),
		Entry("no id", http.StatusBadRequest, "Cobaltcroft-Request-Id", func(r *http.Request) { r.Header.Del("Cobaltcroft-Request-Id") }),
		Entry("a deadline that is no number", http.StatusBadRequest, "Cobaltcroft-Deadline-Ms", func(r *http.Request) { r.Header.Set("Cobaltcroft-Deadline-Ms", "soon") }),
		Entry("pieces that are no numbers", http.StatusBadRequest, "Cobaltcroft-Pieces", func(r *http.Request) { r.Header.Set("Cobaltcroft-Pieces", "1,x") }),
	)

	It("with a body that is too long are refused, with a length and without", func() {
		long := strings.Repeat("x", 1<<20+1)
		Expect(send(i.request(http.MethodPost, "once", newID(), long)).Status).To(Equal(http.StatusRequestEntityTooLarge))
		chunked := i.request(http.MethodPost, "once", newID(), long)
		chunked.ContentLength = -1
		Expect(send(chunked).Status).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("in chunks arrive whole", func() {
		id := newID()
		r := i.request(http.MethodPost, "once", id, "in chunks")
		r.ContentLength = -1
		Expect(send(r)).To(whole(id))
		Expect(d.Runs("simple", id)[0].Body).To(Equal("in chunks"))
	})

	It("that come together on one connection are answered in turn", func() {
		ids := []string{newID(), newID(), newID()}
		var all strings.Builder
		for _, id := range ids {
			all.WriteString("GET /repeat/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nAuthorization: Bearer " + platformtest.APIKey + "\r\nCobaltcroft-Request-Id: " + id + "\r\n\r\n")
		}
		_, reader := i.raw(all.String())
		for _, id := range ids {
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Header.Get("Cobaltcroft-Request-Id")).To(Equal(id))
			Expect(response.Body.Close()).To(Succeed())
		}
	})

	DescribeTable("that must not be repeated run once at most",
		func(fault platformtest.Fault, status int) {
			for _, e := range d.EnginesOf("simple") {
				e.QueueFaults(fault)
			}
			id, got := i.ask("once")
			Expect(got.Status).To(Equal(status))
			Expect(len(d.Runs("simple", id))).To(BeNumerically("<=", 1))
		},
		Entry("the answer is lost", platformtest.DropResponse, http.StatusBadGateway),
		Entry("the answer breaks off", platformtest.TruncateResponse, http.StatusBadGateway),
		Entry("bytes that are no answer", platformtest.MalformedResponse, http.StatusBadGateway),
		Entry("an answer without a seal", platformtest.MissingSeal, http.StatusBadGateway),
		Entry("a failure is passed on", platformtest.InternalError, http.StatusInternalServerError),
		Entry("all endpoints are full: not run, come back", platformtest.RejectNotRun, http.StatusServiceUnavailable),
	)

	It("that were not run say when to come back", func() {
		for _, e := range d.EnginesOf("simple") {
			e.SetDefaultFault(platformtest.RejectNotRun)
		}
		id, got := i.ask("once")
		Expect(got.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(d.Runs("simple", id)).To(BeEmpty())
	})

	It("that may have run are never told that they have not", func() {
		for _, e := range d.EnginesOf("simple") {
			e.SetDefaultFault(platformtest.DropResponse)
		}
		for range 4 {
			id, got := i.ask("repeat")
			Expect(d.Runs("simple", id)).NotTo(BeEmpty())
			Expect(got.Status).To(Equal(http.StatusBadGateway))
		}
	})

	DescribeTable("get their own whole answer",
		func(route string, fault platformtest.Fault) {
			d.EnginesOf("simple")[0].QueueFaults(fault)
			d.EnginesOf("simple")[1].QueueFaults(fault)
			for range 4 {
				id, got := i.ask(route)
				Expect(got).To(whole(id))
			}
		},
		Entry("after an answer to another request", "once", platformtest.MismatchedResponse),
		Entry("before a surplus answer", "once", platformtest.ExtraResponse),
		Entry("without a length", "once", platformtest.MissingLength),
	)

	DescribeTable("that may be repeated go to another endpoint",
		func(fault platformtest.Fault) {
			d.EnginesOf("simple")[0].SetDefaultFault(fault)
			for range 4 {
				id, got := i.ask("repeat")
				Expect(got).To(whole(id))
			}
		},
		Entry("the answer is lost", platformtest.DropResponse),
		Entry("the answer breaks off", platformtest.TruncateResponse),
		Entry("a failure", platformtest.InternalError),
		Entry("bytes that are no answer", platformtest.MalformedResponse),
		Entry("no seal", platformtest.MissingSeal),
	)

	It("whose endpoint answers before it has read them leave nothing behind", func() {
		body := strings.Repeat("long ", 100_000)
		for _, e := range d.EnginesOf("simple") {
			e.QueueFaults(platformtest.EarlyResponse, platformtest.EarlyResponse)
		}
		for range 6 {
			send(i.request(http.MethodPost, "once", newID(), body))
		}
		for _, e := range d.EnginesOf("simple") {
			Expect(e.Violations()).To(BeEmpty())
		}
	})

	It("whose client leaves are ended at the endpoint", func() {
		for _, e := range d.EnginesOf("simple") {
			e.SetDefaultFault(platformtest.Hang)
		}
		working := func() int {
			return d.EnginesOf("simple")[0].ActiveRequests() + d.EnginesOf("simple")[1].ActiveRequests()
		}
		r, cancel := withCancel(i.request(http.MethodPost, "once", newID(), ""))
		go send(r)
		Eventually(working).Should(Equal(1))
		cancel()
		Eventually(working).WithTimeout(2 * time.Second).Should(BeZero())
	})

	It("are answered when their time is over", func() {
		for _, e := range d.EnginesOf("simple") {
			e.SetDefaultFault(platformtest.Hang)
		}
		r := i.request(http.MethodPost, "once", newID(), "")
		r.Header.Set("Cobaltcroft-Deadline-Ms", "300")
		Expect(send(r).Status).To(Equal(http.StatusGatewayTimeout))
	})

	It("do not run at another engine that has got the address", func() {
		old := d.EnginesOf("simple")[0]
		d.Store.Remove("servers/" + d.EnginesOf("simple")[1].ID)
		old.ReplaceIncarnation()
		// The store still lists the old incarnation.
		Eventually(func() int {
			_, got := i.ask("once")
			return got.Status
		}).Should(Equal(http.StatusServiceUnavailable))
		Expect(old.Runs()).To(BeEmpty())
	})

	Describe("as streams", func() {
		It("carry all events, in order", func() {
			id, got := i.ask("stream")
			Expect(got).To(SatisfyAll(HaveField("Status", http.StatusOK), HaveField("Body", events(id, 8)), HaveField("Whole", true)))
		})

		It("go on at another engine after the last event", func() {
			d.EnginesOf("model")[0].SetDefaultFault(platformtest.TruncateResponse)
			for range 3 {
				id, got := i.ask("stream")
				Expect(got).To(SatisfyAll(HaveField("Body", events(id, 8)), HaveField("Whole", true)))
			}
		})

		It("that must not be resumed end so that they do not look complete", func() {
			for _, e := range d.EnginesOf("model") {
				e.SetDefaultFault(platformtest.TruncateResponse)
			}
			id, got := i.ask("fixed")
			Expect(got.Whole).To(BeFalse())
			Expect(events(id, 8)).To(HavePrefix(got.Body))
			Expect(d.Runs("model", id)).To(HaveLen(1))
		})
	})
})
