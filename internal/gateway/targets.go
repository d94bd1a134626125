package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/receiver"
)

// decodedFactor is what a byte of a body may take once it is decoded.
const decodedFactor = 8

// putInstance stores the announcement of a target.
func (g *Gateway) putInstance(w http.ResponseWriter, r *http.Request) {
	body, refusal := g.bodies.Receive(w, r, maxAnnouncementBytes)
	if refusal == nil {
		refusal = receiver.Charge(w, r, decodedFactor*int64(len(body)))
	}
	if refusal != nil {
		bodyProblem(refusal).write(w)
		return
	}
	var i fleet.Instance
	if err := json.Unmarshal(body, &i); err != nil {
		notRunProblem(http.StatusBadRequest, "announcement: "+err.Error()).write(w)
		return
	}
	if i.ID == "" {
		i.ID = fleet.InstanceID(r.PathValue("instance"))
	}
	if err := validateInstance(i, r.PathValue("instance")); err != nil {
		notRunProblem(http.StatusBadRequest, err.Error()).write(w)
		return
	}
	g.options.Announcements.Announce(i)
	w.WriteHeader(http.StatusNoContent)
}

func validateInstance(i fleet.Instance, name string) error {
	switch {
	case string(i.ID) != name:
		return fmt.Errorf("instance: %q stands in the body, %q in the path", i.ID, name)
	case i.BootID == "":
		return fmt.Errorf("boot-id: is missing")
	case i.DataCentre == "" || i.Rack == "":
		return fmt.Errorf("data-centre and rack: are needed")
	case i.Capacity.Slots < 1:
		return fmt.Errorf("offers.slots: want 1 or more")
	case i.Condition != fleet.Ready && i.Condition != fleet.Leaving:
		return fmt.Errorf("condition: %q, want ready or leaving", i.Condition)
	}
	if _, err := netip.ParseAddrPort(i.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	return nil
}

func (g *Gateway) getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "alive"})
}

// getReadiness tells the load balancer whether this entry accepts new requests.
func (g *Gateway) getReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.draining.Load() || g.options.Replica.LeaseLeft() <= 0 {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"status": "not ready"})
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}
