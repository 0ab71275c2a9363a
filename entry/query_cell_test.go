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
	wideCell     = "wide"
	wideSnapshot = magnoliashore.SnapshotID(1)
	wideDeadline = 2 * time.Second
	wideStart    = 30 * time.Second // for a cell to be ready and warm
	answerBytes  = 256
	queryBytes   = 128
)

// instant is a sender that answers at once, without a target.
type instant struct{ body []byte }

var _ magnoliashore.Sender = instant{}

func (s instant) Send(
	_ context.Context, sub magnoliashore.Sub, _ magnoliashore.Target, _ magnoliashore.Permit,
) (magnoliashore.SubAnswer, magnoliashore.Evidence) {
	answer := magnoliashore.NewSubAnswer(magnoliashore.SubAnswerSpec{
		ID: sub.ID(), Partition: sub.Partition(), Target: sub.Target(), Snapshot: sub.Snapshot(),
		Outcome: magnoliashore.OutcomeRan, Body: s.body,
	})
	return answer, magnoliashore.Evidence{Took: time.Millisecond, Healthy: true}
}

// wide is a cell of entry hosts with a group of services, each with one
// partition on two targets that answer at once.
type wide struct {
	fanout int
	owners int
	hosts  []*entry.Host
	clock  timer.Service
}

// start runs the cell until the benchmark ends, and returns when every target
// is warm.
func (w *wide) start(b *testing.B) {
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
	source.Publish(configservice.TableKey(wideCell), w.table())
	source.Publish(configservice.LayoutKey(wideCell), layout)
	w.await(b, w.leased)
	w.await(b, w.warm)
}

func (w *wide) host(i int, source string) *entry.Host {
	s := settings.Default()
	s.Host = magnoliashore.HostID(fmt.Sprintf("e%d", i+1))
	s.Zone = zoneOf(i)
	s.Cell = wideCell
	s.Caller = "127.0.0.1:0"
	s.Peer = "127.0.0.1:0"
	s.Platform = source
	s.Limits.Keep = time.Millisecond // nobody holds an address answer when the cell stops
	return &entry.Host{
		Settings: s,
		Platform: &configservice.Client{Address: source, HTTP: &http.Client{}, Wait: s.Config.Watch},
		Timer:    &w.clock,
		Log:      &log.Logger{Handler: discard.New()},
		Sender:   instant{body: make([]byte, answerBytes)},
	}
}

func zoneOf(i int) magnoliashore.ZoneName {
	return magnoliashore.ZoneName([]string{"a", "b", "c", "d"}[i%4])
}

func (w *wide) table() []byte {
	var out strings.Builder
	out.WriteString("row,name,group,class,weight,zones,deadline,slots,conns,cold,hedge,retry,queue,coverage,state\n")
	for i := range w.fanout {
		fmt.Fprintf(&out, "service,s%03d,wide,urgent,100,,%s,3,30,1,no,yes,32,0.5,on\n", i, wideDeadline)
	}
	for i := range 4 {
		fmt.Fprintf(&out, "zone,%s,,,,,,,,,,,,,in\n", zoneOf(i))
	}
	return []byte(out.String())
}

func (w *wide) layout() magnoliashore.Layout {
	spec := magnoliashore.LayoutSpec{Cell: wideCell}
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
	spec.Snapshots = []magnoliashore.Snapshot{magnoliashore.NewSnapshot(wideSnapshot, "wide", partitions)}
	return magnoliashore.NewLayout(spec)
}

func (w *wide) await(b *testing.B, done func() bool) {
	b.Helper()
	limit := time.Now().Add(wideStart)
	for !done() {
		if time.Now().After(limit) {
			b.Fatal("the cell did not start in time")
		}
		time.Sleep(time.Millisecond)
	}
}

func (w *wide) leased() bool {
	for _, h := range w.hosts {
		if !h.Ready() || !h.HoldsAllLeases() {
			return false
		}
	}
	return true
}

// warm asks once through every host and reports whether the targets have
// answered often enough to be warm.
func (w *wide) warm() bool {
	complete := 0
	for range 200 {
		for _, h := range w.hosts {
			if w.ask(h).Coverage().Complete() {
				complete++
			}
		}
	}
	return complete == 200*len(w.hosts)
}

func (w *wide) ask(h *entry.Host) magnoliashore.Answer {
	return h.Query(context.Background(), magnoliashore.NewQuery(magnoliashore.QuerySpec{
		Group: "wide", Body: make([]byte, queryBytes), Deadline: w.clock.Now().Add(wideDeadline),
	}))
}
