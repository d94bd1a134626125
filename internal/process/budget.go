package process

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
)

// budget has a share of the memory and the connections of the process for each kind of client. A listener that the process does not have
// gets none.
type budget struct {
	callers, control, readiness, metrics *budgeter.Share
	// jobs and waves are for accepted ones, instances for those that announce themselves, and peers for the calls of other processes, while the
	// process leads.
	jobs, waves, instances, peers *budgeter.Share
}

// Shares of a budget, as parts of the memory of the process and of the connections that all clients may open.
const (
	callersMemory, callersConnections     = 0.4, 0.8
	controlMemory, controlConnections     = 0.2, 0.8
	readinessMemory, readinessConnections = 0.02, 0.1
	metricsMemory, metricsConnections     = 0.02, 0.1
	jobsMemory                            = 0.27
	wavesMemory                           = 0.03
	instancesMemory                       = 0.08
	peersMemory                           = 0.08
)

// callFactor is what a call takes in terms of its payload: the payload and its decoded form.
const callFactor = 2

// callRetryAfter is when the caller of a job may return that reached a leader without room for it.
const callRetryAfter = time.Second

// startBudget divides the limits of the process.
func (p *Process) startBudget(registry metrics.Registry) {
	limits := budgeter.NewLimits(p.settings.MemoryLimit, p.settings.DescriptorLimit)
	limits.Apply()
	b := budgeter.New(limits, p.logger, registry)
	if p.settings.Callers != "" {
		p.budget.callers = b.Share("callers", callersMemory, callersConnections)
	}
	if p.settings.DataFolder != "" {
		p.budget.jobs = b.Share("jobs", jobsMemory, 0)
		p.budget.waves = b.Share("waves", wavesMemory, 0)
		p.budget.instances = b.Share("instances", instancesMemory, 0)
		p.budget.peers = b.Share("peers", peersMemory, 0)
	}
	if p.settings.Control != "" {
		p.budget.control = b.Share("control", controlMemory, controlConnections)
	}
	if p.settings.Readiness != "" {
		p.budget.readiness = b.Share("readiness", readinessMemory, readinessConnections)
	}
	if p.settings.Metrics != "" {
		p.budget.metrics = b.Share("metrics", metricsMemory, metricsConnections)
	}
}

// admitCall charges a call of a peer. Without room it returns no lease: a job is refused as not run, and any other call fails, which its sender
// takes for a leader that did not answer.
func admitCall(share *budgeter.Share, payload []byte) (*budgeter.Lease, any, error) {
	lease, err := share.Open(callFactor * budgeter.Bytes(len(payload)))
	if err == nil {
		return lease, nil, nil
	}
	var call struct {
		Operation forwarder.Operation `cbor:"1,keyasint"`
	}
	if messenger.Codec.Decode(payload, &call) == nil && call.Operation == forwarder.SubmitJob {
		return nil, forwarder.Response{Outcome: forwarder.Refused, Detail: "not run: " + err.Error(), RetryAfter: callRetryAfter}, nil
	}
	return nil, nil, err
}
