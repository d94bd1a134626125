package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/sapphiresail/sapphiresail/soak/proxy"
	"github.com/sapphiresail/sapphiresail/soak/standin"
)

// grace is the time that a process has to stop, in its settings.
const grace = 6 * time.Second

// dataCentres are those of the instances and of the settings.
var dataCentres = []string{"d1", "d2", "d3"}

// member is a process of the deployment, a keeper or an entry. Each has an address and a peer port of its own. It dials every peer at that
// peer's address and its own port, where the proxy of the link between the two listens. It serves operators or callers at the address served.
type member struct {
	process
	address  netip.Addr
	peerPort uint16
	served   string
	data     string
}

// deployment is the processes, keepers first, and the links between them by the indices of the members that dial and are dialled.
type deployment struct {
	launcher         *launcher
	members          []*member
	keepers, entries []string // addresses served
	links            map[[2]int]*proxy.Datagram
}

// newDeployment starts the proxies. The process i has the address 127.0.0.(11+i).
func newDeployment(o Options) (*deployment, error) {
	d := &deployment{launcher: newLauncher(), links: map[[2]int]*proxy.Datagram{}}
	count := o.Keepers + o.Entries
	ports, err := freePorts(count + 1)
	if err != nil {
		return d, err
	}
	for i := range count {
		address := netip.AddrFrom4([4]byte{127, 0, 0, byte(11 + i)})
		m := &member{address: address, peerPort: ports[i], served: netip.AddrPortFrom(address, ports[count]).String(), data: filepath.Join(o.Folder, fmt.Sprintf("data-%d", i))}
		role := "entry"
		if i < o.Keepers {
			role = "keeper"
			d.keepers = append(d.keepers, m.served)
		} else {
			d.entries = append(d.entries, m.served)
		}
		m.name, m.launcher = fmt.Sprintf("%s-%d", role, i), d.launcher
		m.log = filepath.Join(o.Folder, m.name+".log")
		m.arguments = []string{o.Program, role, "--settings", filepath.Join(o.Folder, m.name+".yaml")}
		d.members = append(d.members, m)
	}
	for from, client := range d.members {
		for to, server := range d.members {
			if from != to {
				link, linkErr := proxy.NewDatagram(netip.AddrPortFrom(server.address, client.peerPort), client.peerAddress(), server.peerAddress())
				if err = errors.Join(err, linkErr); linkErr == nil {
					d.links[[2]int{from, to}] = link
				}
			}
		}
	}
	return d, err
}

func (m *member) peerAddress() netip.AddrPort { return netip.AddrPortFrom(m.address, m.peerPort) }

// freePorts returns ports below the ephemeral ones that are free for TCP and UDP on all addresses.
func freePorts(count int) (ports []uint16, err error) {
	first := 12000 + rand.IntN(18000)
	for port := first; port < first+1000 && len(ports) < count; port++ {
		udp, udpErr := net.ListenPacket("udp", fmt.Sprintf("0.0.0.0:%d", port))
		tcp, tcpErr := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port))
		if udpErr == nil {
			_ = udp.Close()
		}
		if tcpErr == nil {
			_ = tcp.Close()
		}
		if udpErr == nil && tcpErr == nil {
			ports = append(ports, uint16(port))
		}
	}
	if len(ports) < count {
		return nil, fmt.Errorf("found %d free ports, want %d", len(ports), count)
	}
	return ports, nil
}

// startAll writes the settings of all processes and starts them.
func (d *deployment) startAll(o Options, platformAddress string) error {
	for i, m := range d.members {
		settings := map[string]any{
			"process": m.name, "address": m.address, "data-centre": dataCentres[i%len(dataCentres)], "data-centres": dataCentres,
			"peer-port": m.peerPort, "seeds": d.keepers, "voters": o.Keepers, "maximum-lease": standin.MaxLease.Milliseconds(), "grace": grace.Seconds(),
			"fleet-key": fmt.Sprintf("%064x", o.Seed+1),
		}
		if i < o.Keepers {
			settings["control"], settings["first-start"], settings["data-folder"], settings["platform-address"] = m.served, true, m.data, platformAddress
		} else {
			settings["callers"] = m.served
		}
		text, err := json.Marshal(settings) // JSON is YAML
		if err = errors.Join(err, os.WriteFile(m.arguments[3], text, 0o600)); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// disturb sets the mode of the links between two members; forward is from the first to the second.
func (d *deployment) disturb(from, to int, m proxy.Mode) {
	d.links[[2]int{from, to}].Set(m)
	m.CutForward, m.CutBackward = m.CutBackward, m.CutForward
	d.links[[2]int{to, from}].Set(m)
}

// close ends all processes by their ids and stops the proxies.
func (d *deployment) close() (err error) {
	for _, m := range d.members {
		m.kill()
	}
	d.launcher.close()
	for _, l := range d.links {
		err = errors.Join(err, l.Close())
	}
	return err
}
