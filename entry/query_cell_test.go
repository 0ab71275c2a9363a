package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/entry"
	"github.com/magnoliashore/magnoliashore/settings"
	"github.com/magnoliashore/magnoliashore/standin"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	benchCellName = "wide"
	benchSnapshot = magnoliashore.SnapshotID(1)
	benchDeadline = 2 * time.Second
	startTimeout  = 30 * time.Second // timeout for a cell to become ready and warm
	answerBytes   = 256
	queryBytes    = 128
)

// instantSender answers immediately without a target.
type instantSender struct{ body []byte }

var _ magnoliashore.Sender = instantSender{}

func (s instantSender) Send(
	_ context.Context, sub magnoliashore.Sub, _ magnoliashore.Target, _ magnoliashore.Permit,
) (magnoliashore.SubAnswer, magnoliashore.Evidence) {
	answer := magnoliashore.NewSubAnswer(magnoliashore.SubAnswerSpec{
		ID: sub.ID(), Partition: sub.Partition(), Target: sub.Target(), Snapshot: sub.Snapshot(),
		Outcome: magnoliashore.OutcomeRan, Body: s.body,
	})
	return answer, magnoliashore.Evidence{Latency: time.Millisecond, Healthy: true}
}

// benchCell is a cell of entry hosts with one group of services. Each service has
// one partition on two targets that answer immediately.
type benchCell struct {
	fanout int
	owners int
	hosts  []*entry.Host
	clock  timer.Service
}

// start runs the cell until the benchmark ends. It returns when every target is
// warm.
func (w *benchCell) start(b *testing.B) {
	b.Helper()
	ctx, end := context.WithCancel(context.Background())
	var group sync.WaitGroup
	b.Cleanup(func() {
		end()
		group.Wait()
	})
	source := &standin.Platform{}
	group.Go(func() { _ = source.Run(ctx) })
	<-source.Ready()
	for i := range w.owners {
		h := w.host(i, source.Addr())
		if err := h.Prepare(ctx); err != nil {
			b.Fatal(err)
		}
		w.hosts = append(w.hosts, h)
		group.Go(func() { _ = h.Run(ctx) })
		<-h.Listening()
	}
	layout, err := configservice.EncodeLayout(w.layout())
	if err != nil {
		b.Fatal(err)
	}
	source.Publish(configservice.TableKey(benchCellName), w.table())
	source.Publish(configservice.LayoutKey(benchCellName), layout)
	w.waitFor(b, w.ready)
	w.waitFor(b, w.warm)
}

func (w *benchCell) host(i int, source string) *entry.Host {
	s := settings.Default()
	s.Host = magnoliashore.HostID(fmt.Sprintf("e%d", i+1))
	s.Zone = zoneOf(i)
	s.Cell = benchCellName
	s.Caller = "127.0.0.1:0"
	s.Peer = "127.0.0.1:0"
	s.Platform = source
	s.Limits.Keep = time.Millisecond // shutdown does not wait for address lists to expire
	return &entry.Host{
		Settings: s,
		Platform: &configservice.Client{Address: source, HTTP: &http.Client{}, Wait: s.Config.Watch},
		Timer:    &w.clock,
		Log:      &log.Logger{Handler: discard.New()},
		Sender:   instantSender{body: make([]byte, answerBytes)},
	}
}

func zoneOf(i int) magnoliashore.ZoneName {
	return magnoliashore.ZoneName([]string{"a", "b", "c", "d"}[i%4])
}

func (w *benchCell) table() []byte {
	var out strings.Builder
	out.WriteString("row,name,group,class,weight,zones,deadline,slots,conns,cold,hedge,retry,queue,coverage,state\n")
	for i := range w.fanout {
		fmt.Fprintf(&out, "service,s%03d,wide,urgent,100,,%s,3,30,1,no,yes,32,0.5,on\n", i, benchDeadline)
	}
	for i := range 4 {
		fmt.Fprintf(&out, "zone,%s,,,,,,,,,,,,,in\n", zoneOf(i))
	}
	return []byte(out.String())
}

func (w *benchCell) layout() magnoliashore.Layout {
	spec := magnoliashore.LayoutSpec{Cell: benchCellName}
	for _, h := range w.hosts {
		spec.Seats = append(spec.Seats, magnoliashore.NewSeat(
			h.Settings.Host, h.Settings.Zone, h.PeerAddr(), h.CallerAddr()))
	}
	partitions := make([]magnoliashore.Partition, 0, w.fanout)
	for i := range w.fanout {
		service := magnoliashore.ServiceName(fmt.Sprintf("s%03d", i))
		ids := []magnoliashore.TargetID{
			magnoliashore.TargetID(service + "-1"), magnoliashore.TargetID(service + "-2"),
		}
		for j, id := range ids {
			spec.Targets = append(spec.Targets, magnoliashore.NewTarget(id, service, zoneOf(i+j),
				fmt.Sprintf("127.0.0.1:%d", len(spec.Targets)+1)))
		}
		partitions = append(partitions, magnoliashore.NewPartition(magnoliashore.PartitionID(service), service, ids))
	}
	spec.Snapshots = []magnoliashore.Snapshot{magnoliashore.NewSnapshot(benchSnapshot, "wide", partitions)}
	return magnoliashore.NewLayout(spec)
}

func (w *benchCell) waitFor(b *testing.B, done func() bool) {
	b.Helper()
	limit := time.Now().Add(startTimeout)
	for !done() {
		if time.Now().After(limit) {
			b.Fatal("the cell did not start in time")
		}
		time.Sleep(time.Millisecond)
	}
}

func (w *benchCell) ready() bool {
	for _, h := range w.hosts {
		if !h.Ready() || !h.HoldsAllLeases() {
			return false
		}
	}
	return true
}

// warm sends 200 queries through every host and reports whether all answers are
// complete. The targets have then answered often enough to be warm.
func (w *benchCell) warm() bool {
	complete := 0
	for range 200 {
		for _, h := range w.hosts {
			if w.query(h).Coverage().Complete() {
				complete++
			}
		}
	}
	return complete == 200*len(w.hosts)
}

func (w *benchCell) query(h *entry.Host) magnoliashore.Answer {
	return h.Query(context.Background(), magnoliashore.NewQuery(magnoliashore.QuerySpec{
		Group: "wide", Body: make([]byte, queryBytes), Deadline: w.clock.Now().Add(benchDeadline),
	}))
}
