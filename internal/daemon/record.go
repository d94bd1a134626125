package daemon

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/recorder"
	"github.com/sapphiresail/sapphiresail/internal/sharer"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

const recordInterval = time.Second

// startRecorder opens the trace that the settings ask for.
func (d *Daemon) startRecorder() error {
	if d.settings.Record == "" {
		return nil
	}
	r, err := recorder.New(d.settings.Record, d.settings.Entry)
	if err != nil {
		return err
	}
	d.recorder = r
	d.closing = append(d.closing, r)
	return nil
}

func (d *Daemon) recordRequest(j carrier.Request, arrived time.Time, ran time.Duration) {
	if d.recorder != nil {
		d.recorder.Request(arrived, j.ID, j.Queue.Name, j.Customer, ran, j.Queue.Timeout)
	}
}

// recordFleet notes changes of the configuration and new instances.
func (d *Daemon) recordFleet() {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		d.replicator.View(func(s *state.State) { d.recorder.Configure(now, s.ConfigVersion, s.ConfigText) })
		d.sights.Read(func(known *sharer.Sharer) {
			for _, seen := range known.All() {
				d.recorder.Instance(now, seen.Instance)
			}
		})
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
