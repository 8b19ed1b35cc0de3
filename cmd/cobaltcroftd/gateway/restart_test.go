package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

var _ = Describe("an endpoint that starts again under its name and address", func() {
	It("is a new one: nothing that was known of its former life holds for it", func() {
		const fatal = "what it does not bear"
		d := deploy(1)
		i := start(d.Address())
		old := d.EnginesOf("simple")[0]
		old.CrashOn(fatal, nil)
		ask := func() int { _, got := i.ask("once"); return got.Status }
		for range 3 {
			Expect(ask()).To(Equal(http.StatusOK))
		}
		Expect(send(i.request(http.MethodPost, "once", newID(), fatal)).Status).To(Equal(http.StatusBadGateway))
		for range 5 {
			// The endpoint is excluded for increasing periods of up to five seconds.
			ask()
			time.Sleep(10 * time.Millisecond)
		}
		reborn, err := old.Restart()
		Expect(err).NotTo(HaveOccurred())
		d.Engines = append(d.Engines, reborn)
		d.Store.Put("servers/"+reborn.ID, reborn.Entry("ready"))
		Eventually(ask).WithTimeout(2 * time.Second).Should(Equal(http.StatusOK))
		for range 10 {
			Expect(ask()).To(Equal(http.StatusOK))
		}
		Expect(reborn.ID).To(Equal(old.ID))
		Expect(reborn.Violations()).To(BeEmpty())
	})
})

var _ = Describe("an entry of another writer", func() {
	var (
		d *platformtest.Deployment
		i *instance
	)

	BeforeEach(func() {
		d = deploy(2)
		i = start(d.Address())
	})

	arrived := func() int { return d.EnginesOf("simple")[0].RequestCount() }

	ask := func() int { _, got := i.ask("once"); return got.Status }

	DescribeTable("names no endpoint to use, and the others hold",
		func(entry string) {
			e := d.EnginesOf("simple")[0]
			Eventually(func() int { ask(); return arrived() }).Should(BeNumerically(">", 0))
			d.Store.PutRaw("servers/"+e.ID, []byte(entry))
			d.Store.PutRaw("servers/unheard-of", []byte(entry))
			Eventually(func() string { return metric(i, "cobaltcroft_entries_refused_total") }).Should(Equal("2"))
			before := arrived()
			for range 10 {
				Expect(ask()).To(Equal(http.StatusOK))
			}
			Expect(arrived()).To(Equal(before))
			Expect(i.ready()).To(BeTrue())
			// The endpoint is used again once its entry is valid. The other one leaves, so that
			// load balancing cannot avoid this one.
			d.Store.Put("servers/"+e.ID, e.Entry("ready"))
			other := d.EnginesOf("simple")[1]
			d.Store.Put("servers/"+other.ID, other.Entry("draining"))
			Eventually(func() int { ask(); return arrived() }).Should(BeNumerically(">", before))
		},
		Entry("that can't be read", "\x00 no entry \xff"),
		Entry("with fields missing", `{"Service":"simple"}`),
		Entry("with fields of another type", `{"Service":"simple","Address":17,"Zone":"zone-a","Slots":"8","State":"ready"}`),
		Entry("with a state that is not named", `{"Service":"simple","Address":"127.0.0.1:1","Zone":"zone-a","Slots":8,"State":"asleep"}`),
	)

	It("is passed over by an instance that starts after it, too", func() {
		d.Store.PutRaw("servers/"+d.EnginesOf("simple")[0].ID, []byte("no entry"))
		later := start(d.Address())
		for range 6 {
			_, got := later.ask("once")
			Expect(got.Status).To(Equal(http.StatusOK))
		}
		Expect(metric(later, "cobaltcroft_entries_refused_total")).To(Equal("1"))
	})
})
