package supervisor

import (
	"errors"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

const (
	// waveRetention is how long operators may inspect a wave after it was accepted, if it is finished.
	waveRetention = time.Hour
	// waveRoomRetryAfter is when the operator may return for whose wave there was no room. Room comes with waves that are deleted.
	waveRoomRetryAfter = time.Minute
)

// What a wave takes: its record and each machine of it, in the record and in the scheduler.
const (
	waveBytes    = budgeter.KiB
	machineBytes = 256
)

func bytesOfWave(w *workload.Wave) budgeter.Bytes {
	names := 0
	for _, m := range w.Machines {
		names += len(m)
	}
	return waveBytes + machineBytes*budgeter.Bytes(len(w.Machines)) + textCopies*budgeter.Bytes(names)
}

// reserveWave charges a wave that is to be accepted, unless it is charged already. It returns the refusal of a wave for which there is no room.
func reserveWave(r *reservations[uint64], w *workload.Wave) (refusal forwarder.Response, ok bool) {
	switch err := r.reserve(w.Number, bytesOfWave(w)); {
	case err == nil:
		return refusal, true
	case errors.Is(err, errTermEnded):
		return forwarder.Response{Outcome: forwarder.NotLeading}, false
	case errors.Is(err, budgeter.KindTooLarge):
		return forwarder.Response{Outcome: forwarder.Invalid, Detail: "the wave has more machines than a leader has memory for: " + err.Error()}, false
	default:
		return forwarder.Response{Outcome: forwarder.Refused, Detail: "not accepted: the waves leave no room for the machines of this one", RetryAfter: waveRoomRetryAfter}, false
	}
}

// settleWaves charges the committed waves and gives back what no wave takes any more. One that is still being committed is charged again by the next call.
func settleWaves(r *reservations[uint64], waves map[uint64]*state.WaveRecord) {
	for number, record := range waves {
		r.hold(number, bytesOfWave(&record.Wave))
	}
	r.retain(func(number uint64) bool { return waves[number] != nil })
}

// oldWaves returns the waves that operators do not inspect any more.
func oldWaves(waves map[uint64]*state.WaveRecord, now state.Timestamp) (numbers []uint64) {
	for number, r := range waves {
		if r.AcceptedAt < now-state.Timestamp(waveRetention.Milliseconds()) && r.Finished() {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// releaseWaves deletes old waves.
func (t *term) releaseWaves(numbers []uint64) {
	if len(numbers) == 0 {
		return
	}
	t.commitAsync(state.DeleteWaves{Waves: numbers}, func(_ state.Reply, err error) {
		if err != nil {
			return
		}
		for _, n := range numbers {
			t.scheduler.ForgetWave(n)
		}
	})
}
