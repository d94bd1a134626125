package scorer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scorer"
)

// TestOrderOfPlaces guards against a criterion that outweighs one that matters more. Each place is better than the next one.
func TestOrderOfPlaces(t *testing.T) {
	for name, places := range map[string][]scorer.Place{
		"tight work":                        {{Load: 1}, {}, {Slow: true, Haste: scorer.Tight, Load: 1}, {Failures: 1}, {Failures: 3}, {Cold: true}},
		"work with slack":                   {{}, {Slow: true, Haste: scorer.Slack, Load: 1}, {Slow: true, Haste: scorer.Slack}},
		"late work prefers slow instances":  {{Slow: true}, {Load: 1}},
		"a speed that has to be measured":   {{Slow: true, Haste: scorer.Slack, CheckDue: true}, {Load: 1}, {Slow: true, Haste: scorer.Tight, CheckDue: true}},
		"near the data, also when slow":     {{InDataRack: true, Slow: true, Haste: scorer.Tight}, {Load: 1}},
		"spread opens no further instance":  {{Load: 0.5}, {Load: 0.5, CustomerShare: 1}, {}},
		"maintenance, then the same place":  {{}, {AwaitsMaintenance: true}, {Previous: true}},
		"service tasks gather, then spread": {{Service: &scorer.Service{Gathers: true}}, {Service: &scorer.Service{}}, {Service: &scorer.Service{InRack: 1}}},
		"service tasks away from rivals":    {{Service: &scorer.Service{}}, {Service: &scorer.Service{Interfering: 1, Gathers: true}}},
	} {
		for i := range places[1:] {
			assert.Check(t, places[i].Score() > places[i+1].Score(), "%s: places %d and %d", name, i, i+1)
		}
	}
}
