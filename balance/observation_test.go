package balance_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/catalog"
)

// partlyFailing simulates hosts that send requests to services with three
// replicas each, of which the first fails 40% of its requests. Each host sends a
// request to each service about once a second. It returns the share of failed
// requests after the first second. If sharing is set, a host exchanges
// observations with one other host before each request.
func partlyFailing(sharing bool) float64 {
	const hosts, services, seconds = 12, 20, 4
	random := rand.New(rand.NewPCG(1, 2))
	balancers := make([]*balance.Balancer, hosts)
	for i := range balancers {
		balancers[i] = &balance.Balancer{Zone: "a", Random: rand.New(rand.NewPCG(uint64(i), 3))}
	}
	var all []*catalog.Target
	replicas := make([][]*catalog.Target, services)
	for i := range replicas {
		for j := range 3 {
			t := target(magnoliashore.TargetID(strconv.Itoa(i)+"-"+strconv.Itoa(j)), "a")
			replicas[i] = append(replicas[i], t)
		}
		all = append(all, replicas[i]...)
	}
	requests, failed := 0, 0
	for i := range hosts * services * seconds {
		now := start.Add(time.Duration(i) * time.Second / (hosts * services))
		b, service := balancers[random.IntN(hosts)], replicas[random.IntN(services)]
		if sharing {
			for _, o := range balancers[random.IntN(hosts)].Report(now, all) {
				b.Adopt(now, o)
			}
		}
		t := b.Choose(now, service, kind, nil)
		request := b.Start(now, t, kind)
		if t != service[0] || random.Float64() >= 0.4 {
			b.Complete(now, request, 30*time.Millisecond)
		} else {
			b.Fail(now, request)
		}
		if now.Sub(start) < time.Second {
			continue
		}
		requests++
		if t == service[0] {
			failed++
		}
	}
	return float64(failed) / float64(requests)
}

// TestSharedObservationsOfPartlyFailingTargets has one replica of each service
// fail 40% of its requests, while each host sends too few requests to notice it
// soon. Hosts that share observations must choose it at most half as often.
func TestSharedObservationsOfPartlyFailingTargets(t *testing.T) {
	t.Parallel()
	alone, shared := partlyFailing(false), partlyFailing(true)
	if shared > alone/2 {
		t.Errorf("got %.3f of the requests sent to failing replicas, want at most half of the %.3f without sharing", shared, alone)
	}
}

// TestAdoptedObservationYieldsToNewerOne checks that an own newer observation
// stands, and that an adopted one changes the choice until it has decayed.
func TestAdoptedObservationYieldsToNewerOne(t *testing.T) {
	t.Parallel()
	b := &balance.Balancer{Zone: "a"}
	near, far := target("near", "a"), target("far", "b")
	both := []*catalog.Target{near, far}
	now := start
	for range 5 {
		now = answer(b, now, near, 30*time.Millisecond)
	}
	b.Adopt(now, balance.Observation{Target: "near", Slowness: 9, Age: time.Second})
	if got := b.Choose(now, both, kind, nil); got != near {
		t.Errorf("got %s after an older observation of another host, want the target in its own zone", got.ID())
	}
	now = now.Add(time.Second)
	b.Adopt(now, balance.Observation{Target: "near", Slowness: 9, Age: time.Millisecond})
	if got := b.Choose(now, both, kind, nil); got != far {
		t.Errorf("got %s after a newer observation of a slow target, want the other", got.ID())
	}
	if got := b.Choose(now.Add(20*time.Second), both, kind, nil); got != near {
		t.Errorf("got %s 20 s after the observation, want the target in its own zone", got.ID())
	}
}

// TestReportIsBounded checks that only slow and failing targets are reported, the
// worst first, and not more than 16.
func TestReportIsBounded(t *testing.T) {
	t.Parallel()
	b := &balance.Balancer{Zone: "a"}
	all := make([]*catalog.Target, 0, 41)
	fast := target("fast", "a")
	all = append(all, fast)
	now := answer(b, start, fast, 30*time.Millisecond)
	for i := range 40 {
		x := target(magnoliashore.TargetID("slow"+strconv.Itoa(i)), "a")
		all = append(all, x)
		b.Adopt(now, balance.Observation{Target: x.ID(), Slowness: 3 + float64(i)/10})
	}
	report := b.Report(now, all)
	if len(report) != 16 {
		t.Fatalf("got %d observations, want 16", len(report))
	}
	if got := report[0].Target; got != "slow39" {
		t.Errorf("got first target %s, want the slowest", got)
	}
	if got := b.Report(now.Add(5*time.Second), all); len(got) != 0 {
		t.Errorf("got %d observations after 5 s, want none", len(got))
	}
}

func TestObservationOutOfRange(t *testing.T) {
	t.Parallel()
	valid := balance.Observation{Target: "t", Slowness: 3, FailureRate: 0.5, Age: time.Second}
	if !valid.Valid() {
		t.Errorf("got %+v invalid, want it valid", valid)
	}
	for name, change := range map[string]func(o *balance.Observation){
		"no target":         func(o *balance.Observation) { o.Target = "" },
		"negative slowness": func(o *balance.Observation) { o.Slowness = -1 },
		"slowness":          func(o *balance.Observation) { o.Slowness = 1e9 },
		"not a number":      func(o *balance.Observation) { o.Slowness = math.NaN() },
		"failure rate":      func(o *balance.Observation) { o.FailureRate = 1.5 },
		"future":            func(o *balance.Observation) { o.Age = -time.Second },
		"old":               func(o *balance.Observation) { o.Age = time.Minute },
	} {
		o := valid
		change(&o)
		if o.Valid() {
			t.Errorf("%s: got %+v valid, want it invalid", name, o)
		}
	}
}
