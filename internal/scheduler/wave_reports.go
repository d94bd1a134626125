package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/maintainer"
)

// waveReportInterval is the interval between reports on an unfinished wave.
const waveReportInterval = 2 * time.Second

// WaveReport is the progress of a maintenance wave.
type WaveReport struct {
	Wave uint64
	// Machines is the number of machines of the wave, Begun that of machines whose maintenance has begun or that are gone, Down that of
	// machines that are down or may be, and Evacuating that of machines that are being emptied.
	Machines, Begun, Down, Evacuating int
	// Late is the number of machines that this leader has begun after the time limit.
	Late int
	// Elapsed is the time since the wave began, and Left the time until its limit.
	Elapsed, Left time.Duration
	// Completed is set in the report that follows the begin of the last machine.
	Completed bool
	// Obstructions are why machines may not be begun in time.
	Obstructions []maintainer.Obstruction
}

// TakeWaveReports returns the reports on waves since the last call.
func (s *Scheduler) TakeWaveReports() []WaveReport {
	list := s.waveReports
	s.waveReports = nil
	return list
}

// reportWave reports the progress of a wave at waveReportInterval, and once when its last machine has begun.
func (s *Scheduler) reportWave(w *wave, view maintainer.View) {
	complete := view.Begun >= view.Total
	if w.reportedComplete || !complete && s.now-w.reportedAt < waveReportInterval {
		return
	}
	w.reportedAt, w.reportedComplete = s.now, complete
	report := WaveReport{
		Wave: w.Number, Machines: view.Total, Begun: view.Begun, Down: view.Down, Late: w.late, Elapsed: s.now - w.startedAt,
		Left: w.maintainer.Deadline() - s.now, Completed: complete, Obstructions: w.maintainer.Obstructions(view),
	}
	for _, m := range w.inProgress {
		if !m.holdsPlace() {
			report.Evacuating++
		}
	}
	s.waveReports = append(s.waveReports, report)
}

// recordBegun records that the maintenance of a machine has begun, or that the machine is gone.
func (s *Scheduler) recordBegun(w *wave, machine string) {
	w.started[machine] = true
	if s.now > w.maintainer.Deadline() {
		w.late++
	}
}
