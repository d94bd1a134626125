package daemon

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/recorder"
	"github.com/sapphiresail/sapphiresail/internal/sharer"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

const recordInterval = time.Second

// startRecorder creates the trace file that the settings name, if any.
func (d *Daemon) startRecorder() error {
	if d.settings.Record == "" {
		return nil
	}
	r, err := recorder.New(d.settings.Record, d.settings.Entry)
	if err != nil {
		return err
	}
	d.recorder = r
	d.closers = append(d.closers, r)
	return nil
}

func (d *Daemon) recordRequest(j carrier.Request, arrived time.Time, runTime time.Duration) {
	if d.recorder != nil {
		d.recorder.RecordRequest(arrived, j.ID, j.Queue.Name, j.Customer, runTime, j.Queue.Timeout)
	}
}

// recordLoop records configuration changes and new instances once per recordInterval.
func (d *Daemon) recordLoop() {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		d.replicator.View(func(s *state.State) { d.recorder.RecordConfiguration(now, s.ConfigVersion, s.ConfigText) })
		d.announcements.Read(func(observations *sharer.Sharer) {
			for _, observation := range observations.All() {
				d.recorder.RecordInstance(now, observation.Instance)
			}
		})
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
