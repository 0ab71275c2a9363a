// Package soak is a soak test of the real program. It runs hosts as separate
// processes on the loopback interface, injects faults from outside, and checks
// the guarantees of the hosts by what callers and targets receive. The seed
// determines the schedule of the faults.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/platform/standin"
	"github.com/magnoliashore/magnoliashore/timer"
)

// clock is the time source of the whole package.
var clock timer.Service

// Soak is one run of the soak test. Set the exported fields before Run.
type Soak struct {
	Program       string // path of the gateway program
	Seed          uint64
	FaultDuration time.Duration // length of the phase with faults
	Hosts         int
	HostLogs      io.Writer     // receives the logs of the hosts
	Log           log.Interface // receives the log of the soak test itself

	site        *standin.Site
	settingsDir string
	random      *rand.Rand
	peerRandom  *rand.Rand // separate generator for faults between hosts
	storeRandom *rand.Rand // separate generator for restores of the store
	// separate generator for the moments at which all connections become silent
	silenceRandom *rand.Rand
	proxies       []*Proxy // one for each target, in their order, then one for the store
	peerProxies   []*Proxy // one for each host, at its address for other hosts

	copies []standin.Copy // of the store, the latest one last

	configMu sync.Mutex // keeps the configurations in their order
	version  int        // of the latest configuration

	mu             sync.Mutex
	violations     []error
	answerCounts   map[int]int       // by HTTP status; 0 counts requests without an answer
	notRun         map[string]bool   // requests answered with 429 or 503, which say that they did not run
	atMostOnce     map[string]string // body of each at-most-once request, by request ID
	lastRequest    int
	drainingSince  map[string]time.Time // when each draining target began to drain
	restarting     map[*standin.Process]bool
	disturbedUntil time.Time // settleTime after the latest disturbance of a host or the store
}

// step is one phase of a run.
type step interface {
	fmt.Stringer
	Run(ctx context.Context) error
}

// Run runs all steps. The error joins every violation of a guarantee.
func (r *Soak) Run(ctx context.Context) error {
	r.random, r.peerRandom = rand.New(rand.NewPCG(r.Seed, 11)), rand.New(rand.NewPCG(r.Seed, 12))
	r.silenceRandom = rand.New(rand.NewPCG(r.Seed, 14))
	r.storeRandom, r.version = rand.New(rand.NewPCG(r.Seed, 13)), firstVersion-1
	r.answerCounts, r.notRun = make(map[int]int), make(map[string]bool)
	r.restarting = make(map[*standin.Process]bool)
	r.atMostOnce, r.drainingSince = make(map[string]string), make(map[string]time.Time)
	steps := []step{startStep{r}, faultStep{r}, recoverStep{r}, restoreStep{r}, limitStep{r}, deadlyStep{r}, checkStep{r}, stopStep{r}}
	defer r.close()
	for _, s := range steps {
		r.Log.WithField("seed", r.Seed).Info(s.String())
		if err := s.Run(ctx); err != nil {
			return magnoliashore.Step(err, s.String(), fmt.Sprintf("seed %d", r.Seed))
		}
	}
	r.Log.WithFields(log.Fields{"seed": r.Seed, "answers": fmt.Sprint(r.answerCounts)}).Info("done")
	return errors.Join(r.violations...)
}

func (r *Soak) close() {
	if r.site != nil {
		r.site.Close()
	}
	for _, p := range slices.Concat(r.proxies, r.peerProxies) {
		p.Close()
	}
	if r.settingsDir != "" {
		if err := os.RemoveAll(r.settingsDir); err != nil {
			r.Log.WithError(err).Warn("cannot remove the directory of the settings")
		}
	}
}

// recordViolation records and logs the violation of a guarantee.
func (r *Soak) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := errors.Newf(format, args...)
	r.violations = append(r.violations, err)
	r.Log.WithField("seed", r.Seed).WithError(err).Error("guarantee violated")
}

// startStep starts the stand-ins and the hosts, each behind a proxy.
type startStep struct{ *Soak }

func (startStep) String() string { return "starting stand-ins and hosts" }

func (s startStep) Run(ctx context.Context) error {
	var err error
	if s.settingsDir, err = os.MkdirTemp("", "soak"); err != nil {
		return err
	}
	if s.site, err = standin.NewSite(s.Log); err != nil {
		return err
	}
	addresses := make([]string, 0, len(s.site.Targets)+1)
	for _, t := range s.site.Targets {
		addresses = append(addresses, t.Address())
	}
	for _, address := range append(addresses, s.site.Store.Address()) {
		proxy, err := NewProxy(address)
		if err != nil {
			return err
		}
		s.proxies = append(s.proxies, proxy)
	}
	s.site.Proxy = s.proxies[len(s.proxies)-1].Address()
	for i, t := range s.site.Targets {
		t.Proxy = s.proxies[i].Address()
		t.Behave(standin.Behaviour{Work: 5 * time.Millisecond})
		if err := t.Register(s.site.Store, "ready"); err != nil {
			return err
		}
	}
	for i := range s.Hosts {
		zone := string(rune('a' + i%3))
		p, err := s.site.NewProcess(s.Program, s.settingsDir, fmt.Sprintf("h%d", i), zone, s.HostLogs)
		if err != nil {
			return err
		}
		if err := s.addPeerProxy(p); err != nil {
			return err
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return s.waitReady(ctx, startTimeout)
}

// peerPort is the port at which hosts listen behind their peer proxies.
const peerPort = "7104"

// addPeerProxy starts a proxy at the address that a process advertises to other
// hosts, and makes the process listen behind it.
func (r *Soak) addPeerProxy(p *standin.Process) error {
	host, _, err := net.SplitHostPort(p.Settings.Peer)
	if err != nil {
		return err
	}
	listen := net.JoinHostPort(host, peerPort)
	proxy, err := NewPeerProxy(p.Settings.Peer, listen)
	if err != nil {
		return magnoliashore.Step(err, "start the peer proxy", p.Settings.Peer)
	}
	r.peerProxies = append(r.peerProxies, proxy)
	p.Args = []string{"--peer-listen", listen}
	return nil
}

const (
	startTimeout   = 10 * time.Second
	recoverTimeout = 12 * time.Second // longest recovery time that the users allow
	pollInterval   = 100 * time.Millisecond
)

// waitReady waits until every host reports that it is ready.
func (r *Soak) waitReady(ctx context.Context, limit time.Duration) error {
	deadline := clock.Now().Add(limit)
	for _, p := range r.site.Processes {
		for !p.Ready(ctx) {
			if clock.Now().After(deadline) {
				return errors.Newf("host %s is not ready after %s", p.Settings.Host, limit)
			}
			clock.Sleep(pollInterval)
		}
	}
	return nil
}

// recoverStep ends all faults and waits until each host has answered 10 queries
// and no query failed in between.
type recoverStep struct{ *Soak }

func (recoverStep) String() string { return "waiting for recovery" }

func (s recoverStep) Run(ctx context.Context) error {
	s.endFaults()
	deadline := clock.Now().Add(recoverTimeout)
	for successes := 0; successes < 10*len(s.site.Processes); {
		p := s.site.Processes[successes%len(s.site.Processes)]
		if s.sendRequest(ctx, &p.Host, standin.PathShards) {
			successes++
			continue
		}
		successes = 0
		if clock.Now().After(deadline) {
			s.recordViolation("hosts do not answer all queries %s after the last fault", recoverTimeout)
			return nil
		}
		clock.Sleep(pollInterval)
	}
	return nil
}

// stopStep stops all hosts gracefully.
type stopStep struct{ *Soak }

func (stopStep) String() string { return "stopping the hosts" }

func (s stopStep) Run(context.Context) error {
	for _, p := range s.site.Processes {
		if err := p.Signal(sigterm); err != nil {
			return err
		}
	}
	for _, p := range s.site.Processes {
		if !p.Wait(p.Settings.Grace + time.Second) {
			s.recordViolation("host %s is still running after its grace period", p.Settings.Host)
		}
	}
	return nil
}
