package proof

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/operator"
	"github.com/magnoliashore/magnoliashore/standin"
)

// daemonPath is the path of the magnoliashore program built by TestMain.
var daemonPath string

// parallelTests is the number of tests that run in parallel. Each has up to five
// entry hosts and its own load, and the bounds fail on an overloaded machine.
const parallelTests = "4"

func TestMain(m *testing.M) {
	if err := flag.Set("test.parallel", parallelTests); err != nil { // the command line overrides it
		panic(err)
	}
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	daemonPath = filepath.Join(dir, "magnoliashore")
	build := exec.Command("go", "build", "-o", daemonPath, "../cmd/magnoliashore")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cell is one cell. Its stand-ins run in the test process, each entry host as a
// separate process. Set the fields of the first block before calling start.
type cell struct {
	shape           standin.Shape
	hostCount       int
	settings        string                          // YAML added to the settings of every host
	configureTarget func(c *standin.TargetConfig)   // adjusts the configuration of each target; may be nil
	relayed         bool                            // puts a relay in front of every seat's peer address
	targetAddress   func(id, address string) string // returns the address to publish for a target; may be nil

	t        *testing.T
	dir      string
	platform *standin.Platform
	fleet    *standin.Fleet
	seats    []*seat

	mu    sync.Mutex
	table []byte
}

// seat is one seat of the cell and the host process that holds it.
type seat struct {
	host         magnoliashore.HostID
	zone         magnoliashore.ZoneName
	callerAddr   string
	peerAddr     string
	operatorAddr string
	relay        *relay // in front of the peer address; nil without relays
	process      *exec.Cmd
	exited       chan struct{}
}

// start starts the cell and waits until every host is ready.
func (c *cell) start(t *testing.T) *cell {
	t.Helper()
	c.t = t
	c.dir = t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c.startStandins(ctx)
	for i := range c.hostCount {
		c.seats = append(c.seats, c.newSeat(i))
	}
	c.table = c.shape.Table()
	c.publishTable(c.table)
	c.publishLayout(c.layout())
	for _, s := range c.seats {
		c.startProcess(s)
	}
	t.Cleanup(c.stop)
	c.awaitReady(c.seats...)
	return c
}

func (c *cell) startStandins(ctx context.Context) {
	c.platform = &standin.Platform{}
	c.fleet = &standin.Fleet{}
	for _, config := range c.shape.Targets() {
		if c.configureTarget != nil {
			c.configureTarget(&config)
		}
		c.fleet.Targets = append(c.fleet.Targets, standin.NewTarget(config))
	}
	go func() { _ = c.platform.Run(ctx) }()
	go func() { _ = c.fleet.Run(ctx) }()
	<-c.platform.Ready()
	<-c.fleet.Ready()
}

func (c *cell) newSeat(i int) *seat {
	zones := c.shape.Zones()
	s := &seat{
		host:         magnoliashore.HostID(fmt.Sprintf("e%d", i+1)),
		zone:         magnoliashore.ZoneName(zones[i%len(zones)]),
		callerAddr:   freeAddress(c.t),
		peerAddr:     freeAddress(c.t),
		operatorAddr: freeAddress(c.t),
	}
	if c.relayed {
		s.relay = startRelay(c.t, s.peerAddr)
	}
	return s
}

// publishedAddr returns the peer address published in the layout.
func (s *seat) publishedAddr() string {
	if s.relay != nil {
		return s.relay.address
	}
	return s.peerAddr
}

// portCounter counts the ports tried by freeAddress. They lie below the system's
// range of ephemeral ports, so that no other socket takes one before the host
// listens on it.
var portCounter atomic.Int32

const (
	firstPort = 12000
	portCount = 18000
)

func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + (os.Getpid()*100+int(portCounter.Add(1)))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("free address: got none")
	return ""
}

// startProcess starts the host process of a seat.
func (c *cell) startProcess(s *seat) {
	c.t.Helper()
	path := filepath.Join(c.dir, fmt.Sprintf("%s-%d.yaml", s.host, time.Now().UnixNano()))
	text := fmt.Sprintf("host: %s\nzone: %s\ncell: %s\ncaller: %q\npeer: %q\noperator: %q\nplatform: %q\nlog: error\nseeds: %q\n%s",
		s.host, s.zone, c.shape.Cell(), s.callerAddr, s.peerAddr, s.operatorAddr, c.platform.Addr(), c.seeds(s), c.settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatalf("settings: got %v, want none", err)
	}
	s.process = exec.Command(daemonPath, "serve", "--settings", path)
	s.process.Stderr = os.Stderr
	s.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the host even if the test process is killed
	if err := s.process.Start(); err != nil {
		c.t.Fatalf("start %s: got %v, want none", s.host, err)
	}
	exited := make(chan struct{})
	s.exited = exited
	process := s.process
	go func() {
		_ = process.Wait()
		close(exited)
	}()
}

func (c *cell) seeds(self *seat) string {
	var list []string
	for _, s := range c.seats {
		if s != self {
			list = append(list, s.publishedAddr())
		}
	}
	return strings.Join(list, " ")
}

// signal sends a signal to the host process.
func (s *seat) signal(sig syscall.Signal) { _ = s.process.Process.Signal(sig) }

// kill sends SIGKILL to the process and waits for its exit.
func (s *seat) kill() {
	s.signal(syscall.SIGKILL)
	<-s.exited
}

func (s *seat) freeze() { s.signal(syscall.SIGSTOP) }

func (s *seat) resume() { s.signal(syscall.SIGCONT) }

// stopGracefully sends SIGTERM, which starts a graceful stop.
func (s *seat) stopGracefully() { s.signal(syscall.SIGTERM) }

// replace starts a new process for the seat on new addresses and publishes them.
// It returns the old process, which it leaves alone.
func (c *cell) replace(s *seat) (old seat) {
	c.t.Helper()
	old = *s
	c.t.Cleanup(old.kill)
	s.callerAddr, s.peerAddr, s.operatorAddr = freeAddress(c.t), freeAddress(c.t), freeAddress(c.t)
	if c.relayed {
		s.relay = startRelay(c.t, s.peerAddr)
	}
	c.startProcess(s)
	c.publishLayout(c.layout())
	return old
}

func (c *cell) stop() {
	if c.t.Failed() {
		c.t.Log(c.timeline())
	}
	for _, s := range c.seats {
		s.kill()
	}
}

// timeline returns the merged events of all reachable hosts.
func (c *cell) timeline() string {
	addresses := make([]string, 0, len(c.seats))
	for _, s := range c.seats {
		addresses = append(addresses, s.operatorAddr)
	}
	out, err := exec.Command(daemonPath, "timeline", "--from", strings.Join(addresses, ",")).CombinedOutput()
	if err != nil {
		return fmt.Sprintf("%s%v", out, err)
	}
	return string(out)
}

// layout returns the layout of the cell's shape with the current addresses.
func (c *cell) layout() magnoliashore.Layout {
	addresses := make(map[string]string)
	for _, target := range c.fleet.Targets {
		addresses[target.Config().ID] = target.Addr()
	}
	seats := make([]magnoliashore.Seat, 0, len(c.seats))
	for _, s := range c.seats {
		seats = append(seats, magnoliashore.NewSeat(s.host, s.zone, s.publishedAddr(), s.callerAddr))
	}
	targetAddress := func(id string) string {
		if c.targetAddress == nil {
			return addresses[id]
		}
		return c.targetAddress(id, addresses[id])
	}
	return c.shape.Layout(targetAddress, seats)
}

func (c *cell) publishTable(table []byte) magnoliashore.Version {
	return c.platform.Publish(configservice.TableKey(c.shape.Cell()), table)
}

func (c *cell) publishLayout(layout magnoliashore.Layout) magnoliashore.Version {
	c.t.Helper()
	data, err := configservice.EncodeLayout(layout)
	if err != nil {
		c.t.Fatalf("layout: got %v, want none", err)
	}
	return c.platform.Publish(configservice.LayoutKey(c.shape.Cell()), data)
}

// setZone publishes the table with the state of one availability zone changed to
// "in" or "out".
func (c *cell) setZone(zone, state string) magnoliashore.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := strings.Split(string(c.table), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "zone,"+zone+",") {
			lines[i] = line[:strings.LastIndex(line, ",")+1] + state
		}
	}
	c.table = []byte(strings.Join(lines, "\n"))
	return c.publishTable(c.table)
}

// awaitReady waits until the hosts of the seats have a layout and a table and, if
// all seats are given, hold a lease on every target.
func (c *cell) awaitReady(seats ...*seat) {
	c.t.Helper()
	c.await(20*time.Second, "hosts ready and leases held", func() bool {
		held := 0
		for _, s := range seats {
			status, err := operator.FetchStatus(c.t.Context(), s.operatorAddr)
			if err != nil || status.Layout() == 0 || status.Table() == 0 {
				return false
			}
			held += len(status.Leases())
		}
		return len(seats) < len(c.seats) || held >= len(c.fleet.Targets)
	})
}

// await polls until done returns true, and fails the test after the limit.
func (c *cell) await(limit time.Duration, what string, done func() bool) {
	c.t.Helper()
	end := time.Now().Add(limit)
	for !done() {
		if time.Now().After(end) {
			c.t.Fatalf("%s: not reached within %v", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// newClient returns a client with the given seats as seeds, or with all seats if
// none is given.
func (c *cell) newClient(seats ...*seat) *client.Client {
	if len(seats) == 0 {
		seats = c.seats
	}
	querier := &client.Client{}
	for _, s := range seats {
		querier.Seeds = append(querier.Seeds, s.callerAddr)
	}
	return querier
}

// ledger returns the ledger entries of all targets.
func (c *cell) ledger() []standin.Entry {
	var all []standin.Entry
	for _, target := range c.fleet.Targets {
		all = append(all, target.Ledger()...)
	}
	return all
}

const (
	warmupQueries  = 6  // concurrent queries of warm, so that both replicas of a partition receive requests
	warmupRequests = 12 // requests that a warm target completes before its owner treats it as warm: two steps of 4 and a margin
)

// warm sends concurrent queries until every target of the group is warm and has
// completed enough requests for its owner to treat it as warm.
func (c *cell) warm(group magnoliashore.GroupName) {
	c.t.Helper()
	querier := c.newClient()
	prefix := string(c.servicePrefix(group))
	c.await(20*time.Second, "targets warm", func() bool {
		var wg sync.WaitGroup
		for range warmupQueries {
			wg.Go(func() {
				_, _ = querier.Query(c.t.Context(), client.Request{Group: group, Body: []byte("{}"), Deadline: time.Second})
			})
		}
		wg.Wait()
		for _, target := range c.fleet.Targets {
			if strings.HasPrefix(target.Config().Service, prefix) && !warmedUp(target) {
				return false
			}
		}
		return true
	})
}

// warmedUp reports whether a target is warm and has completed warmupRequests
// requests while warm.
func warmedUp(target *standin.Target) bool {
	runs := 0
	for _, e := range target.Ledger() {
		if e.Result() == standin.ResultDone && !e.Cold() {
			runs++
		}
	}
	return runs >= warmupRequests && !target.IsCold()
}

// servicePrefix returns the common prefix of the service names of a group.
func (c *cell) servicePrefix(group magnoliashore.GroupName) magnoliashore.ServiceName {
	for _, s := range c.layout().Snapshots() {
		if s.Group() == group {
			return magnoliashore.ServiceName(strings.TrimRight(string(s.Partitions()[0].Service()), "0123456789"))
		}
	}
	return ""
}
