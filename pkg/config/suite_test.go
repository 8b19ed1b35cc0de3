package config_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/infra/etcdkv"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

// client is an instance's access to the configuration: a replica, a store and a
// submitter over the etcd adapter and a key-value stand-in.
type client struct {
	replica   *config.Replica
	store     *config.Store
	submitter *config.Submitter
	// submitTimeout limits the time of a submission.
	submitTimeout time.Duration
}

func newClient(address string) *client { return newClientWithTimeout(address, 500*time.Millisecond) }

// minSubmitTimeout is the minimum timeout of a submission.
const minSubmitTimeout = 3 * time.Second

// newClientWithTimeout sets the timeout of each call to the service and, if it is longer than
// minSubmitTimeout, of each submission.
func newClientWithTimeout(address string, timeout time.Duration) *client {
	kv := etcdkv.New(address, timeout)
	c := &client{replica: config.NewReplica(), submitTimeout: max(minSubmitTimeout, timeout)}
	c.store = config.NewStore(kv, c.replica)
	c.submitter = config.NewSubmitter(c.store)
	ctx, cancel := context.WithCancel(context.Background())
	go c.submitter.Run(ctx)
	DeferCleanup(func() {
		cancel()
		kv.Close()
	})
	return c
}

func (c *client) submit(id string, operations ...config.Operation) (config.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.submitTimeout)
	defer cancel()
	return c.submitter.Submit(ctx, config.NewChange(id, "tester", time.UnixMilli(1), operations...))
}

func newService() (*standin.KeyValue, string) {
	service := standin.NewKeyValue()
	server := httptest.NewServer(service)
	DeferCleanup(server.CloseClientConnections)
	return service, server.URL
}

func putOrganisation(name string, weight uint32) config.Operation {
	return config.Operation{Put: &config.Object{Organisation: &config.Organisation{Name: name, Weight: weight}}}
}

func withBase(op config.Operation, revision uint64) config.Operation {
	op.Base = &revision
	return op
}
