package supervisor

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// instanceRoomRetryAfter is when an instance may announce itself again for which there was no room.
const instanceRoomRetryAfter = 2 * time.Second

const (
	// instanceBytes is what an instance takes: its record, its tables, and the goroutine and connection of its polls.
	instanceBytes = 5 * budgeter.KiB
	// freeTextBytes are those of the texts of an announcement that instanceBytes include.
	freeTextBytes = 256
)

func bytesOfInstance(in *workload.Instance) budgeter.Bytes {
	texts := len(in.ID) + len(in.Pool) + len(in.Address) + len(in.DataCentre) + len(in.Machine) + len(in.Rack)
	for _, l := range in.Labels {
		texts += len(l) + 16 // and its string header
	}
	return instanceBytes + textCopies*budgeter.Bytes(max(0, texts-freeTextBytes))
}

// settleInstances charges the enrolled instances and gives back what no instance takes any more. known reports whether the scheduler has an instance.
func settleInstances(r *reservations[fleet.InstanceID], enrolled map[fleet.InstanceID]workload.Instance, known func(id fleet.InstanceID) bool) {
	for id, in := range enrolled {
		r.hold(id, bytesOfInstance(&in))
	}
	r.retain(func(id fleet.InstanceID) bool {
		_, isEnrolled := enrolled[id]
		return isEnrolled || known(id)
	})
}
