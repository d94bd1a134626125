package demonstrator

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/gateway"
	"github.com/sapphiresail/sapphiresail/pkg/client"
)

// TestDrainedDataCentresTakeNothing drains all data centres, each through another entry. Then no entry may have a task started anywhere, and
// the refusal must say why; after the resumption of one, requests must be answered again.
func TestDrainedDataCentresTakeNothing(t *testing.T) {
	d, ctx := startDemo(t)
	operator := func(entry int) *client.Client {
		return client.New("http://"+d.daemons[entry%Entries].Address(), operatorKey)
	}
	for i, dataCentre := range d.config.DataCentres {
		assert.NilError(t, operator(i).DrainDataCentre(ctx, string(dataCentre.Name)))
		assert.NilError(t, operator(i+1).DrainDataCentre(ctx, string(dataCentre.Name)), "repeated at another entry")
	}
	started, _, _ := d.executions.Totals()
	key := d.keys["quality-lab"]
	for entry := range Entries {
		a := d.sendTo(t, entry, key, "cure-study", []byte(`{"nonce":"drained"}`), client.WithTimeout(300*time.Millisecond))
		assert.Equal(t, a.Outcome, "not-run", "%s", a.Body)
	}
	after, _, _ := d.executions.Totals()
	assert.Equal(t, after, started, "started in a drained data centre")
	list, err := operator(3).DataCentres(ctx)
	assert.NilError(t, err)
	for _, dataCentre := range list {
		assert.Assert(t, dataCentre.Drained && dataCentre.Instances > 0, "%+v", dataCentre)
	}
	var decisions []gateway.Decision
	name := string(d.config.DataCentres[0].Name)
	assert.NilError(t, operator(5).Send(ctx, "GET", "/v1/decisions?subject=cure", nil, &decisions))
	assert.Assert(t, slices.ContainsFunc(decisions, func(x gateway.Decision) bool {
		return x.Event == "data centre drained" && strings.Contains(x.Reason, name)
	}), "the pool of the queue does not name the drain: %+v", decisions)
	assert.NilError(t, operator(2).ResumeDataCentre(ctx, name))
	a := d.sendTo(t, 4, key, "cure-study", []byte(`{"nonce":"resumed"}`))
	assert.Equal(t, a.Status, 200, "%s", a.Body)
	assert.NilError(t, operator(6).Send(ctx, "GET", "/v1/decisions?subject="+name, nil, &decisions))
	events := []string{}
	for _, decision := range decisions {
		events = append(events, decision.Event)
	}
	assert.DeepEqual(t, events, []string{"data centre drained", "data centre resumed"})
}
