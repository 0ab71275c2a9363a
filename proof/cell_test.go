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

// program is the path of the built daemon.
var program string

// atOnce is how many tests run at once: each has up to five entry hosts and
// its own load, and a machine that is too busy fails what it should measure.
const atOnce = "4"

func TestMain(m *testing.M) {
	if err := flag.Set("test.parallel", atOnce); err != nil { // a flag of the command line overrides it
		panic(err)
	}
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "magnoliashore")
	build := exec.Command("go", "build", "-o", program, "../cmd/magnoliashore")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cell is one cell: its stand-ins run in the test process, its entry hosts as
// processes of their own. Set the first fields before start.
type cell struct {
	shape    standin.Shape
	hosts    int
	settings string                          // YAML added to the settings of every host
	target   func(c *standin.TargetConfig)   // changes each target; may be nil
	relayed  bool                            // put a relay before every seat's peer address
	reach    func(id, address string) string // published address of a target; may be nil

	t        *testing.T
	dir      string
	platform *standin.Platform
	fleet    *standin.Fleet
	seats    []*seat

	mu    sync.Mutex
	table []byte
}

// seat is one seat of the cell with the process that holds it.
type seat struct {
	host     magnoliashore.HostID
	zone     magnoliashore.ZoneName
	caller   string
	peer     string
	operator string
	relay    *relay // before the peer address; nil without relays
	process  *exec.Cmd
	exited   chan struct{}
}

// start runs the whole cell and waits until every host is ready.
func (c *cell) start(t *testing.T) *cell {
	t.Helper()
	c.t = t
	c.dir = t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c.startStandins(ctx)
	for i := range c.hosts {
		c.seats = append(c.seats, c.newSeat(i))
	}
	c.table = c.shape.Table()
	c.publishTable(c.table)
	c.publishLayout(c.layout())
	for _, s := range c.seats {
		c.run(s)
	}
	t.Cleanup(c.stop)
	c.awaitReady(c.seats...)
	return c
}

func (c *cell) startStandins(ctx context.Context) {
	c.platform = &standin.Platform{}
	c.fleet = &standin.Fleet{}
	for _, config := range c.shape.Targets() {
		if c.target != nil {
			c.target(&config)
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
		host:     magnoliashore.HostID(fmt.Sprintf("e%d", i+1)),
		zone:     magnoliashore.ZoneName(zones[i%len(zones)]),
		caller:   freeAddress(c.t),
		peer:     freeAddress(c.t),
		operator: freeAddress(c.t),
	}
	if c.relayed {
		s.relay = startRelay(c.t, s.peer)
	}
	return s
}

// published returns the peer address that the layout names.
func (s *seat) published() string {
	if s.relay != nil {
		return s.relay.address
	}
	return s.peer
}

// nextPort is the last port given out. The ports lie below the range from
// which the system picks, so that nothing else takes one meanwhile.
var nextPort atomic.Int32

const (
	firstPort = 12000
	portCount = 18000
)

func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + (os.Getpid()*100+int(nextPort.Add(1)))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("free address: got none")
	return ""
}

// run starts the process of a seat.
func (c *cell) run(s *seat) {
	c.t.Helper()
	path := filepath.Join(c.dir, fmt.Sprintf("%s-%d.yaml", s.host, time.Now().UnixNano()))
	text := fmt.Sprintf("host: %s\nzone: %s\ncell: %s\ncaller: %q\npeer: %q\noperator: %q\nplatform: %q\nlog: error\nseeds: %q\n%s",
		s.host, s.zone, c.shape.Cell(), s.caller, s.peer, s.operator, c.platform.Addr(), c.seeds(s), c.settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatalf("settings: got %v, want none", err)
	}
	s.process = exec.Command(program, "serve", "--settings", path)
	s.process.Stderr = os.Stderr
	s.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also when the test is cut off
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
			list = append(list, s.published())
		}
	}
	return strings.Join(list, " ")
}

// signal sends a signal to the process of a seat.
func (s *seat) signal(sig syscall.Signal) { _ = s.process.Process.Signal(sig) }

// kill ends the process at once and waits for its end.
func (s *seat) kill() {
	s.signal(syscall.SIGKILL)
	<-s.exited
}

func (s *seat) freeze() { s.signal(syscall.SIGSTOP) }

func (s *seat) thaw() { s.signal(syscall.SIGCONT) }

// leave begins a graceful stop.
func (s *seat) leave() { s.signal(syscall.SIGTERM) }

// replace starts a new process at the seat of s on new addresses and publishes
// them; the old process is left as it is and returned.
func (c *cell) replace(s *seat) (old seat) {
	c.t.Helper()
	old = *s
	c.t.Cleanup(old.kill)
	s.caller, s.peer, s.operator = freeAddress(c.t), freeAddress(c.t), freeAddress(c.t)
	if c.relayed {
		s.relay = startRelay(c.t, s.peer)
	}
	c.run(s)
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

// timeline returns the merged events of the hosts that can be reached.
func (c *cell) timeline() string {
	addresses := make([]string, 0, len(c.seats))
	for _, s := range c.seats {
		addresses = append(addresses, s.operator)
	}
	out, err := exec.Command(program, "timeline", "--from", strings.Join(addresses, ",")).CombinedOutput()
	if err != nil {
		return fmt.Sprintf("%s%v", out, err)
	}
	return string(out)
}

// layout returns the layout of the shape with the addresses in use.
func (c *cell) layout() magnoliashore.Layout {
	addresses := make(map[string]string)
	for _, target := range c.fleet.Targets {
		addresses[target.Config().ID] = target.Addr()
	}
	seats := make([]magnoliashore.Seat, 0, len(c.seats))
	for _, s := range c.seats {
		seats = append(seats, magnoliashore.NewSeat(s.host, s.zone, s.published(), s.caller))
	}
	reach := func(id string) string {
		if c.reach == nil {
			return addresses[id]
		}
		return c.reach(id, addresses[id])
	}
	return c.shape.Layout(reach, seats)
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

// setZone publishes the table with a zone in or out.
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

// awaitReady waits until the seats hold a lease on every target they own.
func (c *cell) awaitReady(seats ...*seat) {
	c.t.Helper()
	c.await(20*time.Second, "hosts ready and leases held", func() bool {
		held := 0
		for _, s := range seats {
			status, err := operator.FetchStatus(c.t.Context(), s.operator)
			if err != nil || status.Layout() == 0 || status.Table() == 0 {
				return false
			}
			held += len(status.Leases())
		}
		return len(seats) < len(c.seats) || held >= len(c.fleet.Targets)
	})
}

// await polls until done, and fails the test after the limit.
func (c *cell) await(limit time.Duration, what string, done func() bool) {
	c.t.Helper()
	end := time.Now().Add(limit)
	for !done() {
		if time.Now().After(end) {
			c.t.Fatalf("%s: got nothing within %v", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// client returns a client that knows the given seats, or all.
func (c *cell) client(seats ...*seat) *client.Client {
	if len(seats) == 0 {
		seats = c.seats
	}
	asker := &client.Client{}
	for _, s := range seats {
		asker.Seeds = append(asker.Seeds, s.caller)
	}
	return asker
}

// ledger returns the entries of every target.
func (c *cell) ledger() []standin.Entry {
	var all []standin.Entry
	for _, target := range c.fleet.Targets {
		all = append(all, target.Ledger()...)
	}
	return all
}

const (
	warmers  = 6  // queries that warm asks at once, so that both replicas of a partition get work
	warmRuns = 12 // requests on a warm target until its owner holds it to be warm, two steps of 4 and some more
)

// warm asks queries, several at once, until every target of the group is warm
// and has run enough for its owner to know.
func (c *cell) warm(group magnoliashore.GroupName) {
	c.t.Helper()
	asker := c.client()
	prefix := string(c.prefix(group))
	c.await(20*time.Second, "targets warm", func() bool {
		var open sync.WaitGroup
		for range warmers {
			open.Go(func() {
				_, _ = asker.Query(c.t.Context(), client.Request{Group: group, Body: []byte("{}"), Deadline: time.Second})
			})
		}
		open.Wait()
		for _, target := range c.fleet.Targets {
			if strings.HasPrefix(target.Config().Service, prefix) && !isWarmed(target) {
				return false
			}
		}
		return true
	})
}

// isWarmed reports whether a target has run enough requests since it is warm.
func isWarmed(target *standin.Target) bool {
	runs := 0
	for _, e := range target.Ledger() {
		if e.Result() == standin.ResultDone && !e.Cold() {
			runs++
		}
	}
	return runs >= warmRuns && !target.IsCold()
}

// prefix returns the start of the service names of a group.
func (c *cell) prefix(group magnoliashore.GroupName) magnoliashore.ServiceName {
	for _, s := range c.layout().Snapshots() {
		if s.Group() == group {
			return magnoliashore.ServiceName(strings.TrimRight(string(s.Partitions()[0].Service()), "0123456789"))
		}
	}
	return ""
}
