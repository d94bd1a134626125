package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
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
// peer's address and its own port, where the proxy of the link between the two listens.
type member struct {
	*process
	address, data string
	peerPort      int
}

// deployment is the processes, keepers first, and the links between them by the indices of the members that dial and are dialled.
type deployment struct {
	launcher         *launcher
	members          []*member
	keepers, entries []string // the addresses for operators and instances, and for callers
	links            map[[2]int]*proxy.Datagram
}

// newDeployment starts the proxies and writes the settings of the processes. The process i has the address 127.0.0.(11+i).
func newDeployment(o Options) (*deployment, error) {
	d := &deployment{launcher: newLauncher(), links: map[[2]int]*proxy.Datagram{}}
	var addresses []string
	for i := range o.Keepers + o.Entries {
		addresses = append(addresses, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	ports, err := freePorts(addresses, len(addresses)+1)
	if err != nil {
		return d, err
	}
	for i, a := range addresses {
		served := fmt.Sprintf("%s:%d", a, ports[len(addresses)])
		m := &member{address: a, peerPort: ports[i], data: filepath.Join(o.Folder, fmt.Sprintf("data-%d", i))}
		role := "keeper"
		if i < o.Keepers {
			d.keepers = append(d.keepers, served)
		} else {
			role = "entry"
			d.entries = append(d.entries, served)
		}
		file := filepath.Join(o.Folder, fmt.Sprintf("%s-%d", role, i))
		m.process = &process{name: filepath.Base(file), log: file + ".log", program: o.Program, arguments: []string{role, "--settings", file + ".yaml"}, launcher: d.launcher}
		d.members = append(d.members, m)
	}
	for from := range d.members {
		for to := range d.members {
			err = errors.Join(err, d.link(from, to))
		}
	}
	return d, err
}

// freePorts returns ports below the ephemeral ones that are free on all addresses for TCP and UDP.
func freePorts(addresses []string, count int) (ports []int, err error) {
	first := 12000 + rand.IntN(18000)
	for port := first; port < first+1000 && len(ports) < count; port++ {
		free := true
		for _, a := range addresses {
			address := fmt.Sprintf("%s:%d", a, port)
			udp, udpErr := net.ListenPacket("udp", address)
			tcp, tcpErr := net.Listen("tcp", address)
			if udpErr == nil {
				_ = udp.Close()
			}
			if tcpErr == nil {
				_ = tcp.Close()
			}
			free = free && udpErr == nil && tcpErr == nil
		}
		if free {
			ports = append(ports, port)
		}
	}
	if len(ports) < count {
		return nil, fmt.Errorf("no %d ports are free on %v", count, addresses)
	}
	return ports, nil
}

// link starts the proxy by which one member reaches another.
func (d *deployment) link(from, to int) error {
	if from == to {
		return nil
	}
	client, server := d.members[from], d.members[to]
	link, err := proxy.NewDatagram(fmt.Sprintf("%s:%d", server.address, client.peerPort), fmt.Sprintf("%s:%d", server.address, server.peerPort), client.address)
	if err == nil {
		d.links[[2]int{from, to}] = link
	}
	return err
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
			settings["control"], settings["first-start"], settings["data-folder"], settings["platform-address"] = d.keepers[i], true, m.data, platformAddress
		} else {
			settings["callers"] = d.entries[i-o.Keepers]
		}
		text, err := json.Marshal(settings) // JSON is YAML
		if err = errors.Join(err, os.WriteFile(m.arguments[len(m.arguments)-1], text, 0o600)); err != nil {
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
