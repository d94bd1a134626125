package supervisor

import (
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// logWaves logs and counts the progress of maintenance waves since the last call.
func (t *term) logWaves() {
	for _, r := range t.scheduler.TakeWaveReports() {
		t.instruments.measureWave(r)
		if r.Completed {
			event.WaveCompleted.Info(t.options.Logger, zap.Uint64("wave", r.Wave), zap.Int("machines", r.Machines), zap.Int("late", r.Late), zap.Duration("took", r.Elapsed))
			continue
		}
		event.WaveAdvanced.Info(t.options.Logger, zap.Uint64("wave", r.Wave), zap.Int("begun", r.Begun), zap.Int("machines", r.Machines),
			zap.Int("down", r.Down), zap.Int("evacuating", r.Evacuating), zap.Duration("left", r.Left))
		t.logObstructions(r)
	}
}

// logObstructions logs why machines may not be begun in time, as a warning once the time limit has passed.
func (t *term) logObstructions(r scheduler.WaveReport) {
	log := event.WaveObstructed.Info
	if r.Left < 0 {
		log = event.WaveObstructed.Warn
	}
	for _, o := range r.Obstructions {
		log(t.options.Logger, zap.Uint64("wave", r.Wave), zap.Stringer("reason", o.Reason), zap.Int("count", o.Count),
			zap.Strings("machines", o.Machines), zap.Duration("left", r.Left))
	}
}
