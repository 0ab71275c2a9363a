package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/catalog"
)

// manyShards returns 135 shards of three replicas each, a tenth of them slow.
func manyShards(b *balance.Balancer) (shards [][]*catalog.Target, all []*catalog.Target) {
	for i := range 135 {
		replicas := make([]*catalog.Target, 0, 3)
		for j := range 3 {
			t := target(magnoliashore.TargetID(strconv.Itoa(i)+"-"+strconv.Itoa(j)), magnoliashore.ZoneName("abc"[j:j+1]))
			replicas = append(replicas, t)
			if (i+j)%10 == 0 {
				b.Adopt(start, balance.Observation{Target: t.ID(), Slowness: 6})
			}
		}
		shards, all = append(shards, replicas), append(all, replicas...)
	}
	return shards, all
}

// BenchmarkChoose measures the choice of a replica for each of 135 shards.
func BenchmarkChoose(b *testing.B) {
	balancer := &balance.Balancer{Zone: "a"}
	shards, _ := manyShards(balancer)
	b.ReportAllocs()
	for b.Loop() {
		for _, replicas := range shards {
			balancer.Choose(start, replicas, kind, nil)
		}
	}
}

// BenchmarkReport measures the report for a batch of 45 shards.
func BenchmarkReport(b *testing.B) {
	balancer := &balance.Balancer{Zone: "a"}
	_, all := manyShards(balancer)
	b.ReportAllocs()
	for b.Loop() {
		balancer.Report(start, all[:3*45])
	}
}

// BenchmarkAdopt measures a report of 16 observations from each of 80 hosts.
func BenchmarkAdopt(b *testing.B) {
	balancer := &balance.Balancer{Zone: "a"}
	_, all := manyShards(balancer)
	report := balancer.Report(start, all)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		for range 80 {
			now = now.Add(time.Microsecond) // each report is newer than the one before
			for _, o := range report {
				balancer.Adopt(now, o)
			}
		}
	}
}

// BenchmarkFailing measures a look at 15,000 targets of which none fails.
func BenchmarkFailing(b *testing.B) {
	balancer := &balance.Balancer{Zone: "a"}
	targets := make([]*catalog.Target, 15_000)
	for i := range targets {
		targets[i] = target(magnoliashore.TargetID(strconv.Itoa(i)), "a")
		balancer.Complete(start, balancer.Start(start, targets[i], kind), time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, t := range targets {
			balancer.Failing(start, t.ID(), time.Second, 300*time.Millisecond)
		}
	}
}
