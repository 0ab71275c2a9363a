package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/quota"
)

const (
	simStep  = 10 * time.Millisecond
	simDelay = 2 * simStep // of a datagram
	window   = 4 * time.Second
	target   = magnoliashore.TargetID("t1")
)

// fleet simulates hosts that share the limit of one target.
type fleet struct {
	rate    float64
	random  *rand.Rand
	holders []*quota.Holder
	issuer  int // index of the host that issues leases; negative for none
	leases  *quota.Issuer
	changed time.Time // when a host last joined or was lost
	loss    float64   // share of the datagrams that are lost
	queue   []func(now time.Time)
	due     []time.Time
	sent    []time.Time // requests that the target received
}

func newFleet(hosts int, rate float64) *fleet {
	f := &fleet{rate: rate, random: rand.New(rand.NewPCG(1, 2)), leases: &quota.Issuer{}, changed: time.Unix(0, 0)}
	for range hosts {
		f.holders = append(f.holders, &quota.Holder{Random: f.random})
	}
	return f
}

func (f *fleet) sharing(now time.Time) quota.Sharing {
	return quota.Sharing{Hosts: len(f.holders), Running: len(f.holders), Stable: now.Sub(f.changed)}
}

// later delivers a datagram unless it is lost.
func (f *fleet) later(now time.Time, deliver func(now time.Time)) {
	if f.random.Float64() < f.loss {
		return
	}
	f.queue, f.due = append(f.queue, deliver), append(f.due, now.Add(simDelay))
}

// step runs one step, in which host i wants demand[i] requests per second.
func (f *fleet) step(now time.Time, demand []float64) {
	for len(f.due) > 0 && !now.Before(f.due[0]) {
		deliver := f.queue[0]
		f.queue, f.due = f.queue[1:], f.due[1:]
		deliver(now)
	}
	f.leases.Expire(now)
	for i, h := range f.holders {
		h.SetRate(now, target, f.rate)
		for want := demand[i] * simStep.Seconds(); f.random.Float64() < want; want-- {
			h.Want(now, target)
			if h.Allows(now, target, f.sharing(now)) {
				h.Take(target)
				f.sent = append(f.sent, now)
			}
		}
		for _, r := range h.Reports(now, f.sharing(now)) {
			f.report(now, i, r)
		}
	}
}

func (f *fleet) report(now time.Time, host int, r quota.Report) {
	if f.issuer < 0 {
		return
	}
	issuer := f.issuer
	f.later(now, func(now time.Time) {
		if issuer != f.issuer {
			return
		}
		if g, ok := f.leases.Grant(now, fmt.Sprint(host), r, f.sharing(now)); ok {
			f.later(now, func(now time.Time) { f.holders[host].Accept(now, g, f.sharing(now)) })
		}
	})
}

// succeed makes another host the issuer, which knows no lease.
func (f *fleet) succeed(now time.Time) {
	f.issuer, f.leases, f.changed = f.issuer+1, &quota.Issuer{}, now
}

// worst returns the most requests in any window.
func (f *fleet) worst() int {
	worst, begin := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[begin]) >= window {
			begin++
		}
		worst = max(worst, i-begin+1)
	}
	return worst
}

// TestSharesKeepTheLimit checks that hosts that share a limit keep it and use most
// of it, whoever has the demand and whatever becomes of the issuer and of
// datagrams.
func TestSharesKeepTheLimit(t *testing.T) {
	t.Parallel()
	const (
		hosts  = 8
		rate   = 20.0
		length = 20 * time.Second
		half   = length / 2
	)
	even := func(int, time.Duration) float64 { return 2 * rate / hosts }
	for _, test := range []struct {
		name   string
		demand func(host int, at time.Duration) float64
		used   float64 // least share of the limit
		loss   float64
		event  func(f *fleet, now time.Time) // at half of the time
	}{
		{"all hosts", even, 0.75, 0, nil},
		{"one host", func(host int, _ time.Duration) float64 { return map[int]float64{3: 2 * rate}[host] }, 0.75, 0, nil},
		{"from one host to another", func(host int, at time.Duration) float64 {
			return map[bool]float64{true: 2 * rate}[(host == 3 && at < half) || (host == 4 && at >= half)]
		}, 0.75, 0, nil},
		{"a third of the datagrams lost", even, 0.75, 0.3, nil},
		{"another issuer", even, 0.75, 0, (*fleet).succeed},
		{"no issuer any more", even, 0.4, 0, func(f *fleet, _ time.Time) { f.issuer = -1 }},
		{"a moment of demand at all hosts", func(host int, at time.Duration) float64 {
			if at > half && at < half+time.Second {
				return 10 * rate
			}
			return 2 * rate / hosts
		}, 0.75, 0, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(hosts, rate)
			f.loss = test.loss
			start := time.Unix(1000, 0)
			for at := time.Duration(0); at < length; at += simStep {
				now := start.Add(at)
				if at == half && test.event != nil {
					test.event(f, now)
				}
				demand := make([]float64, hosts)
				for i := range demand {
					demand[i] = test.demand(i, at)
				}
				f.step(now, demand)
			}
			if got, want := f.worst(), int(1.5*rate*window.Seconds())+5; got > want {
				t.Errorf("got %d requests in %s, want at most %d", got, window, want)
			}
			if got, want := float64(len(f.sent)), test.used*rate*length.Seconds(); got < want {
				t.Errorf("got %.0f requests, want %.0f at least", got, want)
			}
		})
	}
}

// TestReportsAreBounded checks that a host with many limited targets reports on the
// busiest ones only.
func TestReportsAreBounded(t *testing.T) {
	t.Parallel()
	const limited, bound = 200, 16
	now := time.Unix(1000, 0)
	var h quota.Holder
	for i := range limited {
		id := magnoliashore.TargetID(fmt.Sprint(i))
		h.SetRate(now, id, 10)
		for range i {
			h.Want(now, id)
		}
	}
	reports := h.Reports(now, quota.Sharing{Hosts: 4, Running: 4})
	if got := len(reports); got != bound {
		t.Fatalf("got %d reports, want %d", got, bound)
	}
	if got, want := reports[0].Target, magnoliashore.TargetID("199"); got != want {
		t.Errorf("got target %s first, want %s, which has the highest demand", got, want)
	}
}

// TestIntervalGrowsWithTheFleet checks that an issuer receives a bounded number of
// reports on one target.
func TestIntervalGrowsWithTheFleet(t *testing.T) {
	t.Parallel()
	const maxReportRate = 100.0 // per second
	for _, hosts := range []int{1, 60, 300, 2100} {
		interval := quota.Sharing{Hosts: hosts, Running: hosts}.Interval()
		if got := float64(hosts) / interval.Seconds(); got > max(maxReportRate, 2*float64(hosts)) || (hosts > 60 && got > maxReportRate) {
			t.Errorf("%d hosts: got %.0f reports a second, want %.0f at most", hosts, got, maxReportRate)
		}
	}
}

// TestManyHostsKeepALowLimit guards against hosts of which each saves up a request,
// or starts its lease with one, and which exceed a low limit when they all use it.
func TestManyHostsKeepALowLimit(t *testing.T) {
	t.Parallel()
	const length = 30 * time.Second
	idleThenBusy := func(idle, period, excess float64) func(at time.Duration) float64 {
		return func(at time.Duration) float64 {
			if math.Mod(at.Seconds(), period) < idle {
				return 0
			}
			return excess
		}
	}
	for name, demand := range map[string]func(at time.Duration) float64{ // relative to the limit
		"steady":               idleThenBusy(0, 1, 2),
		"three seconds of six": idleThenBusy(3, 6, 4),
		"four seconds of ten":  idleThenBusy(6, 10, 40),
	} {
		for _, fleet := range []struct {
			hosts int
			rate  float64
		}{{8, 2}, {8, 5}, {60, 5}, {60, 15}, {300, 30}} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, fleet.hosts), func(t *testing.T) {
				t.Parallel()
				f := newFleet(fleet.hosts, fleet.rate)
				start := time.Unix(1000, 0)
				for at := time.Duration(0); at < length; at += simStep {
					wanted := make([]float64, fleet.hosts)
					for i := range wanted {
						wanted[i] = demand(at) * fleet.rate / float64(fleet.hosts)
					}
					f.step(start.Add(at), wanted)
				}
				if got, want := f.worst(), int(1.5*fleet.rate*window.Seconds())+5; got > want {
					t.Errorf("got %d requests in %s at a limit of %.0f, want at most %d", got, window, fleet.rate, want)
				}
			})
		}
	}
}
