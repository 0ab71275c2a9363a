package standin

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// Target is a test double of one back end. All methods are safe for concurrent
// use.
type Target struct {
	cfg       TargetConfig
	state     *targetState
	conns     *conns
	ledger    *ledger
	health    healthCache
	ready     chan struct{}
	readyOnce sync.Once

	mu      sync.Mutex
	addr    string
	stopRun context.CancelFunc // ends the current Run
}

// NewTarget returns a target that listens once Run is called.
func NewTarget(cfg TargetConfig) *Target {
	cfg = cfg.withDefaults()
	return &Target{
		cfg:    cfg,
		state:  newTargetState(cfg),
		conns:  newConns(cfg.MaxConns),
		ledger: newLedger(cfg.LedgerSize),
		ready:  make(chan struct{}),
		addr:   cfg.Address,
	}
}

// Run serves until ctx ends or Stop is called. When ctx ends, it waits for running
// requests. After Stop it may be called again, with the same address.
func (t *Target) Run(ctx context.Context) error {
	listener, err := listen(ctx, t.Addr())
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.setRunning(listener, cancel)
	s := t.serve(listener)
	t.readyOnce.Do(func() { close(t.ready) })
	err = waitForServers(runCtx, []*server{s})
	if ctx.Err() == nil {
		s.close()
		return err
	}
	shutdown([]*server{s})
	return err
}

// Ready is closed when the target first listens.
func (t *Target) Ready() <-chan struct{} { return t.ready }

// Addr returns the bound "ip:port" address, or the configured one before Ready.
func (t *Target) Addr() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addr
}

// Config returns the configuration with defaults applied.
func (t *Target) Config() TargetConfig { return t.cfg }

// Chill makes the target cold without notice: connections stay open and running
// requests continue.
func (t *Target) Chill() { t.state.chill() }

// Restart replaces the process: it closes all connections, kills running and
// waiting requests, and starts a new incarnation, cold if the target has a
// warm-up.
func (t *Target) Restart() {
	t.state.restart()
	t.conns.closeConns(true)
}

// Stop ends Run as if the process were killed.
func (t *Target) Stop() {
	t.Restart()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopRun != nil {
		t.stopRun()
	}
}

// Drain makes the target refuse new requests.
func (t *Target) Drain() { t.state.setDrain(true) }

// Undrain makes the target accept new requests again.
func (t *Target) Undrain() { t.state.setDrain(false) }

// SetSnapshots replaces the snapshots that the target serves.
func (t *Target) SetSnapshots(snapshots ...uint64) {
	t.state.setSnapshots(slices.Clone(snapshots))
}

// SetFault injects a fault into every request that starts from now on; "" clears
// it.
func (t *Target) SetFault(fault string) error {
	if !slices.Contains(Faults(), fault) {
		return errors.Newf("fault %q does not exist, want one of %q", fault, Faults())
	}
	t.state.setFault(fault)
	return nil
}

// SetHealthFault injects a fault into the health reports: "warm" always reports
// warm and idle, "lag" reports a state up to 5 seconds old, "" clears the fault.
func (t *Target) SetHealthFault(fault string) error {
	if !slices.Contains(HealthFaults(), fault) {
		return errors.Newf("health fault %q does not exist, want one of %q", fault, HealthFaults())
	}
	t.health.setFault(fault)
	return nil
}

// Ledger returns the newest entries in order of their end.
func (t *Target) Ledger() []Entry { return t.ledger.list() }

// Dropped returns the number of entries that the ledger has overwritten.
func (t *Target) Dropped() uint64 { return t.ledger.droppedCount() }

// PeakCold returns the highest number of requests that ran at once and had
// started while the target was cold.
func (t *Target) PeakCold() int { return t.state.peakCold() }

// IsCold reports whether the target is cold.
func (t *Target) IsCold() bool { return t.state.isCold() }

// Incarnation identifies the current process.
func (t *Target) Incarnation() string { return t.state.incarnation() }

// OpenConnections returns the number of open connections.
func (t *Target) OpenConnections() int { return t.conns.count() }

func (t *Target) setRunning(listener net.Listener, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addr = listener.Addr().String()
	t.stopRun = cancel
}

func (t *Target) serve(listener net.Listener) *server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", t.postRun)
	mux.HandleFunc("GET /health", t.getHealth)
	s := newServer(mux)
	s.http.ConnContext = withConn
	s.start(&limitListener{Listener: listener, conns: t.conns, state: t.state})
	return s
}
