package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1/cobaltcroftv1connect"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

const (
	operatorsToken = "operators-token"
	peersToken     = "peers-token"
	// soon bounds waits for what should happen within seconds.
	soon = 10 * time.Second
)

// system is a site of stand-ins with the instances of the system before it.
type system struct {
	site      *standin.Site
	instances map[string]*instance
	order     []*instance
}

// instance is one daemon process with its own links.
type instance struct {
	system   *system
	name     string
	domain   string
	session  *gexec.Session
	platform *tcpLink
	list     *tcpLink
	peers    *peerLink
	faces    map[string]string
	// peersAt is where the peers' link leads: the face's address in the newest run.
	peersAt atomic.Value
}

// newSystem starts stand-ins with two endpoints of each service in each domain. The
// instance list lags by lag.
func newSystem(lag time.Duration, domains ...string) *system {
	settings := standin.SiteSettings{ListLagMs: int(lag.Milliseconds())}
	for _, domain := range domains {
		for _, service := range []string{"encoder", "archive", "reranker", "engine", "alert"} {
			for i := 1; i <= 2; i++ {
				settings.Endpoints = append(settings.Endpoints, standin.EndpointSettings{
					Name: fmt.Sprintf("%s-%s-%d", service, domain, i), Service: service, FailureDomain: domain,
					Listen: "127.0.0.1:0", Concurrency: 4, ServiceMs: 3,
				})
			}
		}
	}
	site, err := standin.StartSite(settings)
	Expect(err).NotTo(HaveOccurred())
	s := &system{site: site, instances: map[string]*instance{}}
	DeferCleanup(func() {
		for _, i := range s.order {
			i.session.Kill().Wait(soon)
		}
		site.Close()
	})
	return s
}

// start starts an instance process, which knows the peers started before it.
func (s *system) start(name, domain string) *instance {
	i := &instance{system: s, name: name, domain: domain}
	i.peersAt.Store("127.0.0.1:1")
	i.platform = newTCPLink("127.0.0.1:0", func() string { return s.site.KeyValueAddress })
	i.list = newTCPLink("127.0.0.1:0", func() string { return s.site.ListAddress })
	i.peers = newPeerLink(func() string { return i.peersAt.Load().(string) })
	s.instances[name] = i
	s.order = append(s.order, i)
	i.run()
	return i
}

// run starts the process, anew if it ran before.
func (i *instance) run() {
	var contacts []string
	for _, other := range i.system.order {
		if other != i {
			contacts = append(contacts, other.peers.address())
		}
	}
	any0 := "127.0.0.1:0"
	settings := map[string]any{
		"instance": i.name, "failure_domain": i.domain,
		"listen":    map[string]string{"callers": any0, "operators": any0, "peers": any0, "metrics": any0},
		"log":       map[string]string{"default": "warn", "callers": "info", "operators": "info", "peers": "info", "metrics": "info"},
		"advertise": map[string]string{"peers": i.peers.address()},
		"peers":     contacts,
		"tokens":    map[string]any{"operators": []string{operatorsToken}, "peers": peersToken},
		"platform":  map[string]string{"key_value": "http://" + i.platform.address(), "instance_list": "http://" + i.list.address(), "timeout": "300ms"},
		"placement": map[string]any{"lease": "1s", "period": "100ms", "order_timeout": "500ms", "loads_per_minute": 6000},
		"timings": map[string]string{
			"heartbeat": "50ms", "suspect_after": "400ms", "instance_list_poll": "100ms", "anti_entropy": "2s", "stop_grace": "10s",
		},
	}
	data, err := json.Marshal(settings)
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(GinkgoT().TempDir(), i.name+".json")
	Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	i.session, err = gexec.Start(exec.Command(daemonPath, path), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	i.faces = map[string]string{}
	for _, face := range []string{"callers", "operators", "peers", "metrics"} {
		pattern := regexp.MustCompile(`address="(\S+)" event=listening face=` + face)
		Eventually(func() string {
			match := pattern.FindSubmatch(i.session.Err.Contents())
			if match == nil {
				return ""
			}
			i.faces[face] = string(match[1])
			return i.faces[face]
		}, soon).ShouldNot(BeEmpty())
	}
	i.peersAt.Store(i.faces["peers"])
}

func (i *instance) signal(s syscall.Signal) { i.session.Command.Process.Signal(s) }

// kill ends the process without any chance to clean up.
func (i *instance) kill() { i.session.Kill().Wait(soon) }

func (i *instance) ready() bool {
	resp, err := http.Get("http://" + i.faces["callers"] + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (i *instance) operators() cobaltcroftv1connect.OperatorsClient {
	return i.operatorsWith(operatorsToken)
}

func (i *instance) operatorsWith(token string) cobaltcroftv1connect.OperatorsClient {
	return cobaltcroftv1connect.NewOperatorsClient(http.DefaultClient, "http://"+i.faces["operators"], connect.WithInterceptors(connect.UnaryInterceptorFunc(
		func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
				req.Header().Set("Authorization", "Bearer "+token)
				return next(ctx, req)
			}
		})))
}

func short() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	DeferCleanup(cancel)
	return ctx
}

func (i *instance) apply(id string, objects ...*pb.Object) (*pb.ApplyResponse, error) {
	req := &pb.ApplyRequest{ChangeId: id, Author: "test"}
	for _, o := range objects {
		req.Operations = append(req.Operations, &pb.Operation{Action: &pb.Operation_Put{Put: o}})
	}
	resp, err := i.operators().Apply(short(), connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// revision in force at the instance; 0 if it does not answer.
func (i *instance) revision() uint64 {
	resp, err := i.operators().GetConfiguration(short(), connect.NewRequest(&pb.GetConfigurationRequest{Kind: "priority"}))
	if err != nil {
		return 0
	}
	return resp.Msg.Revision
}

func (i *instance) status() *pb.StatusResponse {
	resp, err := i.operators().Status(short(), connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return &pb.StatusResponse{}
	}
	return resp.Msg
}

// peerStates gives the state of each instance as this one sees it.
func (i *instance) peerStates() map[string]string {
	states := map[string]string{}
	for _, peer := range i.status().Instances {
		states[peer.Name] = peer.State
	}
	return states
}

// send sends a call and returns the status and the result.
func (i *instance) send(pipeline string, call api.Call) (int, api.Result) {
	if call.Organisation == "" {
		call.Organisation = "huila"
	}
	if call.Input == nil {
		call.Input = json.RawMessage(`{}`)
	}
	data, err := json.Marshal(call)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post("http://"+i.faces["callers"]+"/v1/pipelines/"+pipeline, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, api.Result{Outcome: "no answer: " + err.Error()}
	}
	defer resp.Body.Close()
	var result api.Result
	if err := json.NewDecoder(resp.Body).Decode(&result); err != nil {
		return resp.StatusCode, api.Result{Outcome: "broken answer: " + err.Error()}
	}
	return resp.StatusCode, result
}

func (i *instance) outcome(pipeline string, call api.Call) string {
	_, result := i.send(pipeline, call)
	return result.Outcome
}

// post sends a body as it is.
func (i *instance) post(path, body string) api.Result {
	resp, err := http.Post("http://"+i.faces["callers"]+path, "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var result api.Result
	Expect(json.NewDecoder(resp.Body).Decode(&result)).To(Succeed())
	return result
}

// tool runs the operators' tool against the instance until it ends.
func (i *instance) tool(args ...string) *gexec.Session {
	GinkgoHelper()
	command := exec.Command(toolPath, args...)
	command.Env = append(os.Environ(), "COBALTCROFT_OPERATORS="+i.faces["operators"], "COBALTCROFT_CALLERS="+i.faces["callers"], "COBALTCROFT_TOKEN="+operatorsToken)
	session, err := gexec.Start(command, GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	return session.Wait(2 * soon)
}

// once is a call that must run at most once.
func onceCall(id string) api.Call {
	repeatable := false
	return api.Call{RequestID: id, Repeatable: &repeatable}
}

// runs counts what endpoints ran of a request.
func (s *system) runs(request string) int {
	n := 0
	for _, run := range s.site.Runs() {
		if run.Request == request {
			n++
		}
	}
	return n
}

func (s *system) endpoint(service, domain string, n int) *standin.Endpoint {
	return s.site.Endpoints[fmt.Sprintf("%s-%s-%d", service, domain, n)]
}

// configure applies the configuration of the tests and waits until all serve it.
func (s *system) configure() {
	GinkgoHelper()
	Eventually(s.order[0].ready, soon).Should(BeTrue())
	_, err := s.order[0].apply("initial", configuration()...)
	Expect(err).NotTo(HaveOccurred())
	s.serving()
}

// serving waits until each instance answers a request.
func (s *system) serving() {
	GinkgoHelper()
	for _, i := range s.order {
		Eventually(func() string { return i.outcome("bulletin", api.Call{}) }, soon).Should(Equal("answered"), i.name)
	}
}

func configuration() []*pb.Object {
	var objects []*pb.Object
	kinds := map[string]pb.StageKind{
		"encoder": pb.StageKind_STAGE_KIND_ENCODING, "archive": pb.StageKind_STAGE_KIND_RETRIEVAL, "reranker": pb.StageKind_STAGE_KIND_RERANKING,
		"engine": pb.StageKind_STAGE_KIND_GENERATION, "alert": pb.StageKind_STAGE_KIND_PLAIN,
	}
	for name, kind := range kinds {
		objects = append(objects, &pb.Object{Value: &pb.Object_Service{Service: &pb.Service{Name: name, Kind: kind, Concurrency: 4}}})
	}
	stage := func(name, service string) *pb.Stage {
		return &pb.Stage{Name: name, Service: service, Kind: kinds[service]}
	}
	pipeline := func(name string, stages ...*pb.Stage) *pb.Object {
		return &pb.Object{Value: &pb.Object_Pipeline{Pipeline: &pb.Pipeline{Name: name, Objective: pb.Objective_OBJECTIVE_ATTAINMENT, DeadlineMs: 5000, Stages: stages}}}
	}
	return append(objects, organisation("huila", 4),
		pipeline("bulletin", stage("encode", "encoder"), stage("retrieve", "archive"), stage("rerank", "reranker"), stage("generate", "engine")),
		pipeline("alert", stage("dispatch", "alert")))
}

func organisation(name string, weight uint32) *pb.Object {
	return &pb.Object{Value: &pb.Object_Organisation{Organisation: &pb.Organisation{Name: name, Weight: weight}}}
}
