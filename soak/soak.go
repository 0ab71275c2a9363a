// Package soak runs the real program as separate processes on the loopback
// interface, injects faults from outside it, and checks its promises while it
// runs, from what callers and targets see. A seed fixes the schedule of the
// faults.
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

// clock is what all parts of a soak read and wait by.
var clock timer.Service

// Soak is one run. Set the exported fields before Run.
type Soak struct {
	Program string // path of the gateway program
	Seed    uint64
	Length  time.Duration // of the faults
	Hosts   int
	Logs    io.Writer     // where the hosts' logs go
	Log     log.Interface // where the soak tells what it does

	site    *standin.Site
	folder  string
	random  *rand.Rand
	cuts    *rand.Rand // for cuts between hosts
	proxies []*Proxy   // before targets, in their order, and before the store
	peers   []*Proxy   // before hosts, where other hosts reach them

	mu         sync.Mutex
	faults     []error
	answers    map[int]int       // by status; zero for none
	refused    map[string]bool   // requests that were said not to have run
	once       map[string]string // the body of each request that may run once
	number     int
	leaving    map[string]time.Time // when a target began to leave
	restarting map[*standin.Process]bool
	disturbs   time.Time // end of the latest disturbance of a host or the store
}

// step is one part of a run.
type step interface {
	fmt.Stringer
	Run(ctx context.Context) error
}

// Run does the run. It returns an error that names each broken promise.
func (r *Soak) Run(ctx context.Context) error {
	r.random, r.cuts = rand.New(rand.NewPCG(r.Seed, 11)), rand.New(rand.NewPCG(r.Seed, 12))
	r.answers, r.refused = make(map[int]int), make(map[string]bool)
	r.restarting = make(map[*standin.Process]bool)
	r.once, r.leaving = make(map[string]string), make(map[string]time.Time)
	steps := []step{startStep{r}, faultStep{r}, recoverStep{r}, checkStep{r}, stopStep{r}}
	defer r.close()
	for _, s := range steps {
		r.Log.WithField("seed", r.Seed).Info(s.String())
		if err := s.Run(ctx); err != nil {
			return magnoliashore.Step(err, s.String(), fmt.Sprintf("seed %d", r.Seed))
		}
	}
	r.Log.WithFields(log.Fields{"seed": r.Seed, "answers": fmt.Sprint(r.answers)}).Info("done")
	return errors.Join(r.faults...)
}

func (r *Soak) close() {
	if r.site != nil {
		r.site.Close()
	}
	for _, p := range slices.Concat(r.proxies, r.peers) {
		p.Close()
	}
	if r.folder != "" {
		if err := os.RemoveAll(r.folder); err != nil {
			r.Log.WithError(err).Warn("cannot remove the folder of the settings")
		}
	}
}

// broken notes a broken promise.
func (r *Soak) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := errors.Newf(format, args...)
	r.faults = append(r.faults, err)
	r.Log.WithField("seed", r.Seed).WithError(err).Error("promise broken")
}

// startStep starts the stand-ins and the hosts.
type startStep struct{ *Soak }

func (startStep) String() string { return "starting stand-ins and hosts" }

func (s startStep) Run(ctx context.Context) error {
	var err error
	if s.folder, err = os.MkdirTemp("", "soak"); err != nil {
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
		p, err := s.site.NewProcess(s.Program, s.folder, fmt.Sprintf("h%d", i), zone, s.Logs)
		if err != nil {
			return err
		}
		if err := s.cover(p); err != nil {
			return err
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return s.allReady(ctx, startLimit)
}

// peerPort is where hosts listen behind their proxies.
const peerPort = "7104"

// cover puts a proxy where other hosts reach a process.
func (r *Soak) cover(p *standin.Process) error {
	host, _, err := net.SplitHostPort(p.Settings.Peer)
	if err != nil {
		return err
	}
	listen := net.JoinHostPort(host, peerPort)
	proxy, err := NewPeerProxy(p.Settings.Peer, listen)
	if err != nil {
		return magnoliashore.Step(err, "start a proxy", p.Settings.Peer)
	}
	r.peers = append(r.peers, proxy)
	p.Args = []string{"--peer-listen", listen}
	return nil
}

const (
	startLimit   = 10 * time.Second
	recoverLimit = 12 * time.Second // the users' bound for recovery
	poll         = 100 * time.Millisecond
)

// allReady waits until every host says that it is ready.
func (r *Soak) allReady(ctx context.Context, limit time.Duration) error {
	deadline := clock.Now().Add(limit)
	for _, p := range r.site.Processes {
		for !p.Ready(ctx) {
			if clock.Now().After(deadline) {
				return errors.Newf("host %s is not ready after %s", p.Settings.Host, limit)
			}
			clock.Sleep(poll)
		}
	}
	return nil
}

// recoverStep ends all faults and waits until the hosts serve every query.
type recoverStep struct{ *Soak }

func (recoverStep) String() string { return "waiting for recovery" }

func (s recoverStep) Run(ctx context.Context) error {
	s.heal()
	deadline := clock.Now().Add(recoverLimit)
	for streak := 0; streak < 10*len(s.site.Processes); {
		p := s.site.Processes[streak%len(s.site.Processes)]
		if s.askOne(ctx, &p.Host, standin.PathShards) {
			streak++
			continue
		}
		streak = 0
		if clock.Now().After(deadline) {
			s.broken("hosts do not answer every query %s after the last fault", recoverLimit)
			return nil
		}
		clock.Sleep(poll)
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
			s.broken("host %s still runs after its grace", p.Settings.Host)
		}
	}
	return nil
}
