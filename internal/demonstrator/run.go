package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/standin"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/pkg/client"
)

// Pace of the callers.
const (
	callersPerQueue = 4
	workMillis      = 30
	resendEvery     = 3
	callTimeout     = 15 * time.Second
)

// Report is what a demonstration asked and saw.
type Report struct {
	Site       string            `json:"site"`
	Asked      int               `json:"asked"`
	Answered   int               `json:"answered"`
	Refused    int               `json:"refused"`
	Unknown    int               `json:"unknown"`
	Resent     int               `json:"resent"`
	Moves      int               `json:"moves"`
	Maintained int               `json:"maintained"`
	Promises   []Promise         `json:"promises"`
	Limits     map[string]string `json:"running-at-most"`
}

// Promise is one promise of the brief and whether it held.
type Promise struct {
	Name   string `json:"name"`
	Kept   bool   `json:"kept"`
	Detail string `json:"detail"`
}

// Kept reports whether every promise held.
func (r Report) Kept() bool {
	for _, p := range r.Promises {
		if !p.Kept {
			return false
		}
	}
	return true
}

// tally counts what the callers saw.
type tally struct {
	mutex    sync.Mutex
	report   Report
	wrong    int
	untrue   int
	doubled  int
	silenced int
}

func (t *tally) add(change func(t *tally)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	change(t)
}

// Run lets callers ask for a time while instances are maintained and moved, and returns the report.
func (d *Demonstrator) Run(ctx context.Context, length time.Duration) Report {
	t := &tally{report: Report{Site: d.site}}
	calling, stop := context.WithTimeout(ctx, length)
	defer stop()
	if err := d.operator.Send(ctx, "POST", "/v1/maintenance/start", []byte{}, nil); err != nil {
		t.add(func(t *tally) {
			t.report.Promises = append(t.report.Promises, Promise{Name: "maintenance starts", Detail: err.Error()})
		})
	}
	var callers sync.WaitGroup
	for i, q := range d.config.Queues {
		for n := range callersPerQueue {
			callers.Go(func() { d.call(calling, t, q, uint64(i*callersPerQueue+n)) })
		}
	}
	callers.Wait()
	return d.judge(t)
}

// call posts one request after another to a queue, through a different entry each time.
func (d *Demonstrator) call(ctx context.Context, t *tally, q configuration.Queue, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	customers := d.config.Customers
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		customer := q.Customer
		if q.Open {
			customer = customers[rng.IntN(len(customers))].Name
		}
		entry := d.daemons[rng.IntN(len(d.daemons))]
		c := client.New("http://"+entry.Address(), d.keys[customer], client.WithHTTPClient(&http.Client{Transport: transport}))
		d.ask(t, c, q, fmt.Sprintf("%s-%d-%d", q.Name, seed, n), workMillis+rng.IntN(workMillis), n%resendEvery == 0)
	}
}

// ask posts one request, checks its answer, and resends it where it must not run twice.
func (d *Demonstrator) ask(t *tally, c *client.Client, q configuration.Queue, nonce string, millis int, resend bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body, _ := json.Marshal(standin.Work{Nonce: nonce, Millis: millis})
	var options []client.RequestOption
	if !q.Repeatable {
		options = append(options, client.WithIdempotencyKey(nonce))
	}
	answer, err := c.Request(ctx, string(q.Name), body, options...)
	d.check(t, q, nonce, body, answer, err)
	if q.Repeatable || !resend || err != nil || answer.Status != http.StatusOK {
		return
	}
	again, err := c.Request(ctx, string(q.Name), body, options...)
	t.add(func(t *tally) {
		t.report.Resent++
		if err != nil || !bytes.Equal(again.Body, answer.Body) {
			t.wrong++
		}
		if d.ledger.Runs(nonce) > 1 {
			t.doubled++
		}
	})
}

func (d *Demonstrator) check(t *tally, q configuration.Queue, nonce string, body []byte, a *client.Answer, err error) {
	runs := d.ledger.Runs(nonce)
	t.add(func(t *tally) {
		t.report.Asked++
		switch {
		case err != nil:
			t.silenced++
		case a.Status == http.StatusOK:
			t.report.Answered++
			if !bytes.Equal(a.Body, body) {
				t.wrong++
			}
		case a.Outcome == string(fleet.NotRun):
			t.report.Refused++
			if runs > 0 {
				t.untrue++
			}
		default:
			t.report.Unknown++
		}
		if !q.Repeatable && runs > 1 {
			t.doubled++
		}
	})
}

// judge holds what was seen against the promises.
func (d *Demonstrator) judge(t *tally) Report {
	r := t.report
	_, cut, late := d.ledger.Totals()
	d.daemons[0].Replicator().View(func(s *state.State) {
		for _, a := range s.Instances {
			if a.MaintainedAt >= s.RolloutAt && s.RolloutAt > 0 {
				r.Maintained++
			}
		}
	})
	d.watch.mutex.Lock()
	broken := len(d.watch.broken)
	r.Moves = d.watch.moves
	d.watch.mutex.Unlock()
	over := 0
	r.Limits = map[string]string{}
	for _, customer := range d.config.Customers {
		most := d.ledger.Most(customer.Name)
		r.Limits[string(customer.Name)] = fmt.Sprintf("%d of %d", most, customer.Limit)
		if most > customer.Limit {
			over++
		}
	}
	add := func(name string, bad int) {
		r.Promises = append(r.Promises, Promise{Name: name, Kept: bad == 0, Detail: fmt.Sprintf("%d broken", bad)})
	}
	add("every caller gets the whole answer to its own request", t.wrong+t.silenced)
	add("a refusal that says not-run is true", t.untrue)
	add("what may not be repeated runs at most once", t.doubled)
	add("no customer has more running than its limit", over)
	add("availability budgets hold", broken)
	add("planned stops cut no request", cut)
	add("a leaving target gets no new work after 3 s", late)
	r.Promises = append(r.Promises, Promise{Name: "requests were answered", Kept: r.Answered > 0, Detail: fmt.Sprintf("%d answered", r.Answered)})
	return r
}
