package main

import (
	"errors"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/persimmonmux/persimmonmux/standin/relay"
)

// The names and sizes of the desired state that the soak test configures.
const (
	modelName      = "m0"
	engineService  = "sprachmodelle"
	bookingService = "belegung"
	otherService   = "auskunft"
	callHost       = "soak.example"
	adapterCount   = 20
	modulePath     = "github.com/persimmonmux/persimmonmux"
	zoneCount      = 3
	// spoiledOneIn is the number of streams of which an engine spoils one.
	spoiledOneIn = 50
	// unsoundOneIn is the number of requests that may run once of which a server answers one in a
	// random form, which may contradict itself.
	unsoundOneIn = 25
)

// zoneRegions has the region of each failure domain.
var zoneRegions = map[string]string{"muc-a": "bayern-sued", "muc-b": "bayern-sued", "fra-a": "hessen-mitte"}

// zoneNames lists the failure domains in a fixed order, so that a seed always gives
// the same choices.
var zoneNames = [zoneCount]string{"muc-a", "muc-b", "fra-a"}

// A deployment holds the processes and relays of one run and the desired state that
// the platform has.
type deployment struct {
	directory string
	programs  string
	// nextPort is the port before the next one that freeAddress tries.
	nextPort        int
	platform        process
	platformAddress string
	hosts           []*host
	servers         []*server

	mutex sync.Mutex
	// stateVersion is the version of the desired state.
	stateVersion int
	// bookingTarget is the service that bookings and lookups are routed to.
	bookingTarget string
	// adapterVersions has the latest declared version of each adapter. An adapter
	// without an entry has version 1.
	adapterVersions map[string]int
	// keys are the keys of the organisations.
	keys keyring
}

// build compiles the programs under test into the directory.
func build(directory string) error {
	for name, path := range map[string]string{"persimmonmux": modulePath, "standin": modulePath + "/standin"} {
		command := exec.Command("go", "build", "-o", filepath.Join(directory, name), path)
		if output, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", path, err, output)
		}
	}
	return nil
}

// freeAddress returns a loopback address that no process listens on. Ports are
// tried in order from nextPort, which must lie below the ports that the kernel
// assigns to outgoing connections.
func (d *deployment) freeAddress() (string, error) {
	for range 2000 {
		d.nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", d.nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("no free port on loopback")
}

// newRelay starts a relay to the target address.
func (d *deployment) newRelay(target string) (*relay.Relay, error) {
	address, err := d.freeAddress()
	if err != nil {
		return nil, err
	}
	return relay.Listen(address, target)
}

// newProcess returns a process of a compiled program, which is not started yet.
func (d *deployment) newProcess(name, program string, arguments ...string) process {
	return process{
		name:      name,
		program:   filepath.Join(d.programs, program),
		arguments: arguments,
		logPath:   filepath.Join(d.directory, name+".log"),
	}
}

// start starts the platform, the servers and the hosts, and waits until every host
// is ready.
func (d *deployment) start(size size) error {
	d.bookingTarget, d.adapterVersions = bookingService, make(map[string]int)
	var err error
	if d.platformAddress, err = d.freeAddress(); err != nil {
		return err
	}
	d.platform = d.newProcess("platform", "standin", "platform", "--listen", d.platformAddress)
	if err := d.platform.start(); err != nil {
		return err
	}
	if err := d.awaitCondition(func() bool { return d.writeDesiredState() == nil }); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	for i := range zoneCount * size.Engines {
		if err := d.addServer(fmt.Sprintf("engine-%d", i), engineService, zoneNames[i%zoneCount]); err != nil {
			return err
		}
	}
	for i := range zoneCount * size.Services {
		service := []string{bookingService, otherService}[i%2]
		if err := d.addServer(fmt.Sprintf("%s-%d", service, i), service, zoneNames[i%zoneCount]); err != nil {
			return err
		}
	}
	for i := range zoneCount * size.Hosts {
		if err := d.addHost(fmt.Sprintf("host-%d", i), zoneNames[i%zoneCount]); err != nil {
			return err
		}
	}
	return d.awaitCondition(func() bool {
		for _, h := range d.hosts {
			if !h.isReady() {
				return false
			}
		}
		return true
	})
}

// startTimeout bounds each wait while a deployment starts.
const startTimeout = 30 * time.Second

// awaitCondition waits until the condition holds, at most for startTimeout.
func (d *deployment) awaitCondition(condition func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.New("deployment is not ready in time")
}

// close kills every process of the run, paused ones included, and closes the relays.
func (d *deployment) close() {
	var group sync.WaitGroup
	for _, p := range d.processes() {
		group.Go(func() {
			p.signal(syscall.SIGCONT)
			p.end(syscall.SIGKILL)
		})
	}
	group.Wait()
	for _, h := range d.hosts {
		_ = h.platformRelay.Close()
	}
	for _, s := range d.servers {
		_ = s.relay.Close()
	}
}

// processes returns all processes of the deployment.
func (d *deployment) processes() []*process {
	list := []*process{&d.platform}
	for _, h := range d.hosts {
		list = append(list, &h.process)
	}
	for _, s := range d.servers {
		list = append(list, &s.process)
	}
	return list
}
