package composer_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/pkg/composer"
)

func ExampleNew() {
	c := composer.New("lowell", 1,
		composer.DataCentre("lowell-1", "new-england"),
		composer.Customer("quality-lab", 2, 40),
		composer.Pool("cure", 6),
		composer.SparePool("office", 2),
		composer.Queue("cure-check", "cure", "quality-lab", composer.Urgent(), composer.Repeatable(), composer.Timeout(20*time.Second)),
	)
	_, _ = c.WriteTo(os.Stdout)
	// Output:
	// version: 1
	// site: lowell
	// data-centres:
	// - name: lowell-1
	//   region: new-england
	// customers:
	// - name: quality-lab
	//   share: 2.0
	//   limit: 40
	// pools:
	// - name: cure
	//   minimum-available: 6
	// - name: office
	//   minimum-available: 2
	//   spare: true
	// queues:
	// - name: cure-check
	//   pool: cure
	//   customer: quality-lab
	//   urgent: true
	//   repeatable: true
	//   timeout: 20s
}

// composeExample parses the example configuration of a site and builds the same one through the composer.
func composeExample(t *testing.T, name string) *composer.Composer {
	text, err := os.ReadFile("../../examples/" + name + "/configuration.yaml")
	assert.NilError(t, err)
	c, err := configuration.Parse(name, text)
	assert.NilError(t, err)
	composed := composer.New(c.Site, c.Version)
	for _, d := range c.DataCentres {
		composed.Add(composer.DataCentre(string(d.Name), d.Region))
	}
	for _, x := range c.Customers {
		composed.Add(composer.Customer(string(x.Name), x.Share, x.Limit))
	}
	for _, p := range c.Pools {
		if p.Spare {
			composed.Add(composer.SparePool(string(p.Name), p.MinimumAvailable))
		} else {
			composed.Add(composer.Pool(string(p.Name), p.MinimumAvailable))
		}
	}
	for _, q := range c.Queues {
		options := []composer.QueueOption{composer.Timeout(q.Timeout), composer.Needs(float64(q.Needs.Processors), int64(q.Needs.Memory))}
		if q.Urgent {
			options = append(options, composer.Urgent())
		}
		if q.Repeatable {
			options = append(options, composer.Repeatable())
		}
		if q.Open {
			composed.Add(composer.OpenQueue(string(q.Name), string(q.Pool), options...))
		} else {
			composed.Add(composer.Queue(string(q.Name), string(q.Pool), string(q.Customer), options...))
		}
	}
	for _, p := range c.Peaks {
		var pools []string
		for _, x := range p.Pools {
			pools = append(pools, string(x))
		}
		add := composer.PlainPeak
		if p.Calendar == configuration.Hijri {
			add = composer.HijriPeak
		}
		composed.Add(add(p.Name, p.Month, p.Day, p.Days, p.Factor, pools...))
	}
	composed.Add(composer.Maintenance(c.Maintenance.Period, c.Maintenance.Batch))
	return composed
}

func TestComposeExamples(t *testing.T) {
	for _, name := range []string{"merrimack", "macaulay"} {
		var text bytes.Buffer
		_, err := composeExample(t, name).WriteTo(&text)
		assert.NilError(t, err)
		golden.Assert(t, text.String(), name+".yaml")
	}
}

func TestWriteToRejectsInvalidConfiguration(t *testing.T) {
	c := composer.New("x", 1, composer.Queue("q", "nowhere", "nobody"))
	_, err := c.WriteTo(&bytes.Buffer{})
	assert.ErrorIs(t, err, composer.KindInvalid)
}
