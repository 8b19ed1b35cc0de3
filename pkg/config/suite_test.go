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

// operator is one instance's way to the configuration: its replica and submitter,
// over the real adapter to the stand-in service.
type operator struct {
	replica   *config.Replica
	store     *config.Store
	submitter *config.Submitter
	// patience is how long a change is waited for.
	patience time.Duration
}

func newOperator(address string) *operator { return newPatientOperator(address, 500*time.Millisecond) }

// leastPatience is how long a change is waited for at least.
const leastPatience = 3 * time.Second

// newPatientOperator is one that waits for each answer of the service, and for each change, for a time.
func newPatientOperator(address string, patience time.Duration) *operator {
	client := etcdkv.New(address, patience)
	o := &operator{replica: config.NewReplica(), patience: max(leastPatience, patience)}
	o.store = config.NewStore(client, o.replica)
	o.submitter = config.NewSubmitter(o.store)
	ctx, cancel := context.WithCancel(context.Background())
	go o.submitter.Run(ctx)
	DeferCleanup(func() {
		cancel()
		client.Close()
	})
	return o
}

func (o *operator) submit(id string, operations ...config.Operation) (config.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), o.patience)
	defer cancel()
	return o.submitter.Submit(ctx, config.NewChange(id, "tester", time.UnixMilli(1), operations...))
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

func based(op config.Operation, revision uint64) config.Operation {
	op.Base = &revision
	return op
}
