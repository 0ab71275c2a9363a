package standin

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// Target stands in for one back end. All methods are safe for concurrent use.
type Target struct {
	cfg    TargetConfig
	core   *core
	conns  *conns
	ledger *ledger
	health healthCache
	ready  chan struct{}
	once   sync.Once

	mu   sync.Mutex
	addr string
	stop context.CancelFunc // ends the current Run
}

// NewTarget returns a target; it listens from Run on.
func NewTarget(cfg TargetConfig) *Target {
	cfg = cfg.withDefaults()
	return &Target{
		cfg:    cfg,
		core:   newCore(cfg),
		conns:  newConns(cfg.MaxConns),
		ledger: newLedger(cfg.LedgerSize),
		ready:  make(chan struct{}),
		addr:   cfg.Address,
	}
}

// Run serves until ctx ends, which lets running requests end, or until Stop.
// After Stop it may be called again; the address stays the same.
func (t *Target) Run(ctx context.Context) error {
	listener, err := listen(ctx, t.Addr())
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.begin(listener, cancel)
	s := t.serve(listener)
	t.once.Do(func() { close(t.ready) })
	err = wait(runCtx, []*server{s})
	if ctx.Err() == nil {
		s.cut()
		return err
	}
	stop([]*server{s})
	return err
}

// Ready is closed when the target first listens.
func (t *Target) Ready() <-chan struct{} { return t.ready }

// Addr returns the bound "ip:port" address; before Ready it is the configured
// one.
func (t *Target) Addr() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addr
}

// Config returns the configuration, with defaults filled in.
func (t *Target) Config() TargetConfig { return t.cfg }

// Chill makes the target cold without warning: connections stand, running
// requests go on.
func (t *Target) Chill() { t.core.chill() }

// Restart replaces the process: connections are cut, running and waiting
// requests are lost, and a new incarnation starts cold.
func (t *Target) Restart() {
	t.core.restart()
	t.conns.cut(true)
}

// Stop ends Run as if the process were killed.
func (t *Target) Stop() {
	t.Restart()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stop != nil {
		t.stop()
	}
}

// Drain makes the target refuse new requests.
func (t *Target) Drain() { t.core.setDrain(true) }

// Undrain makes the target take new requests again.
func (t *Target) Undrain() { t.core.setDrain(false) }

// SetSnapshots replaces the snapshots that the target serves.
func (t *Target) SetSnapshots(snapshots ...uint64) {
	t.core.setSnapshots(slices.Clone(snapshots))
}

// SetFault sets what goes wrong with every request from now on; "" ends it.
func (t *Target) SetFault(fault string) error {
	if !slices.Contains(Faults(), fault) {
		return errors.Newf("fault %q does not exist, want one of %q", fault, Faults())
	}
	t.core.setFault(fault)
	return nil
}

// SetLie sets what the health report says from now on: "" the truth, "warm"
// always warm and idle, "lag" what was true up to 5 seconds ago.
func (t *Target) SetLie(lie string) error {
	if !slices.Contains(Lies(), lie) {
		return errors.Newf("lie %q does not exist, want one of %q", lie, Lies())
	}
	t.health.setLie(lie)
	return nil
}

// Ledger returns the newest entries, ordered by end.
func (t *Target) Ledger() []Entry { return t.ledger.list() }

// Dropped returns how many entries the ledger no longer has.
func (t *Target) Dropped() uint64 { return t.ledger.droppedCount() }

// PeakCold returns the highest number of requests that ran at once after
// starting cold.
func (t *Target) PeakCold() int { return t.core.peakCold() }

// IsCold reports whether the target is cold now.
func (t *Target) IsCold() bool { return t.core.isCold() }

// Incarnation returns the text that names the current process.
func (t *Target) Incarnation() string { return t.core.incarnation() }

// Accepted returns how many connections stand now.
func (t *Target) Accepted() int { return t.conns.count() }

func (t *Target) begin(listener net.Listener, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addr = listener.Addr().String()
	t.stop = cancel
}

func (t *Target) serve(listener net.Listener) *server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", t.postRun)
	mux.HandleFunc("GET /health", t.getHealth)
	s := newServer(mux)
	s.http.ConnContext = withConn
	s.start(&limitListener{Listener: listener, conns: t.conns, core: t.core})
	return s
}
