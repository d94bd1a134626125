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

	"github.com/sapphiresail/sapphiresail/soak/launcher"
	"github.com/sapphiresail/sapphiresail/soak/proxy"
)

// grace is the time that a process has to stop, in its settings.
const grace = 6 * time.Second

// dataCentres are those of the instances and of the settings.
var dataCentres = []string{"d1", "d2", "d3"}

// member is a process of the deployment: a keeper or an entry. Each has an address and a peer port of its own. It dials every peer at that
// peer's address and its own port, where the proxy of the link between the two listens.
type member struct {
	process  *launcher.Process
	address  string
	peerPort int
	data     string
}

// deployment is the processes and the links between them.
type deployment struct {
	launcher *launcher.Launcher
	members  []*member
	keepers  []string // control addresses
	entries  []string // addresses for callers
	links    map[[2]int]*proxy.Datagram
}

// portAttempts bounds the search for free ports.
const portAttempts = 200

// freePort returns a port below the ephemeral ones that is free on all addresses for TCP and UDP.
func freePort(addresses []string, taken map[int]bool) (int, error) {
	for range portAttempts {
		port := 12000 + rand.IntN(18000)
		if !taken[port] && isFree(addresses, port) {
			taken[port] = true
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free on %v", addresses)
}

func isFree(addresses []string, port int) bool {
	for _, a := range addresses {
		address := net.JoinHostPort(a, fmt.Sprint(port))
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = udp.Close()
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = tcp.Close()
	}
	return true
}

// newDeployment prepares the processes and starts the proxies between them.
func newDeployment(o Options, platformAddress func([]string) (string, error)) (*deployment, error) {
	d := &deployment{launcher: launcher.New(), links: map[[2]int]*proxy.Datagram{}}
	var addresses []string
	for i := range o.Keepers + o.Entries {
		addresses = append(addresses, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	taken := map[int]bool{}
	control, err := freePort(addresses, taken)
	if err != nil {
		return nil, err
	}
	for i, a := range addresses {
		port, err := freePort(addresses, taken)
		if err != nil {
			return nil, err
		}
		d.members = append(d.members, &member{address: a, peerPort: port, data: filepath.Join(o.Folder, fmt.Sprintf("data-%d", i))})
		if i < o.Keepers {
			d.keepers = append(d.keepers, fmt.Sprintf("%s:%d", a, control))
		} else {
			d.entries = append(d.entries, fmt.Sprintf("%s:%d", a, control))
		}
	}
	platform, err := platformAddress(d.keepers)
	if err != nil {
		return nil, err
	}
	for i := range d.members {
		if err := errors.Join(d.define(o, i, platform), d.linkTo(i)); err != nil {
			return nil, errors.Join(err, d.close())
		}
	}
	return d, nil
}

// define writes the settings of a member.
func (d *deployment) define(o Options, i int, platform string) error {
	m := d.members[i]
	role := "entry"
	settings := map[string]any{
		"process": fmt.Sprintf("p-%d", i), "address": m.address, "data-centre": dataCentres[i%len(dataCentres)], "data-centres": dataCentres,
		"peer-port": m.peerPort, "seeds": d.keepers, "voters": o.Keepers, "maximum-lease": o.maxLeaseMillis(), "grace": grace.Seconds(),
		"fleet-key": fmt.Sprintf("%064x", o.Seed+1),
	}
	if i < o.Keepers {
		role = "keeper"
		settings["control"], settings["first-start"], settings["data-folder"], settings["platform-address"] = d.keepers[i], true, m.data, platform
	} else {
		settings["callers"] = d.entries[i-o.Keepers]
	}
	text, err := json.Marshal(settings) // JSON is YAML
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	name := fmt.Sprintf("%s-%d", role, i)
	file := filepath.Join(o.Folder, name+".yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	// Two threads each keep the processes of a scenario from taking all cores of the machine.
	env := []string{"GOMAXPROCS=2", "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	m.process = d.launcher.Define(name, filepath.Join(o.Folder, name+".log"), env, o.Program, role, "--settings", file)
	return nil
}

// linkTo starts the proxies by which the other members reach a member.
func (d *deployment) linkTo(to int) error {
	for from, m := range d.members {
		if from == to {
			continue
		}
		at, target := d.members[to].address, d.members[to]
		link, err := proxy.NewDatagram(fmt.Sprintf("%s:%d", at, m.peerPort), fmt.Sprintf("%s:%d", at, target.peerPort), m.address)
		if err != nil {
			return err
		}
		d.links[[2]int{from, to}] = link
	}
	return nil
}

func (d *deployment) start() error {
	var err error
	for _, m := range d.members {
		err = errors.Join(err, m.process.Start())
	}
	return err
}

// disturb sets the mode of the links between two members.
func (d *deployment) disturb(from, to int, m proxy.Mode) {
	_ = d.links[[2]int{from, to}].Set(m)
	back := m
	back.CutForward, back.CutBackward = m.CutBackward, m.CutForward
	_ = d.links[[2]int{to, from}].Set(back)
}

// heal opens all links.
func (d *deployment) heal() {
	for _, l := range d.links {
		_ = l.Set(proxy.Mode{})
	}
}

// close ends all processes by their ids and stops the proxies.
func (d *deployment) close() error {
	err := d.launcher.Close()
	for _, l := range d.links {
		err = errors.Join(err, l.Close())
	}
	return err
}
