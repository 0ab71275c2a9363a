package peer

import (
	"context"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/timer"
)

// fakeHost is a Handler that lets the test send the answers.
type fakeHost struct {
	subs      chan magnoliashore.Sub
	reply     chan func(magnoliashore.SubAnswer)
	cancelled chan uint64
	malformed chan error
}

func newFakeHost() *fakeHost {
	return &fakeHost{
		subs:      make(chan magnoliashore.Sub, 10),
		reply:     make(chan func(magnoliashore.SubAnswer), 10),
		cancelled: make(chan uint64, 10),
		malformed: make(chan error, 10),
	}
}

func (f *fakeHost) Heartbeat(h Heartbeat) HeartbeatReply { return HeartbeatReply{Info: h.Info} }
func (f *fakeHost) Fetch(Fetch) Values                   { return Values{} }
func (f *fakeHost) Order() uint64                        { return 0 }
func (f *fakeHost) Witness(uint64)                       {}
func (f *fakeHost) Malformed(_ string, e error) {
	f.malformed <- e
}

func (f *fakeHost) Submit(sub magnoliashore.Sub, reply func(magnoliashore.SubAnswer)) func() {
	f.subs <- sub
	f.reply <- reply
	return func() { f.cancelled <- sub.ID() }
}

func (f *fakeHost) Forward(_ context.Context, q magnoliashore.Query) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{Query: q.ID(), Outcome: magnoliashore.OutcomeRan})
}

// startLink runs a server for host and returns a link that is connected to it.
// stop stops the server.
func startLink(t *testing.T, host *fakeHost) (link *Link, stop func()) {
	t.Helper()
	codec, err := NewCodec(&timer.Service{})
	if err != nil {
		t.Fatal(err)
	}
	server := &Server{Address: "127.0.0.1:0", Codec: codec, Handler: host}
	if err := server.Listen(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = server.Run(ctx) }()
	connected := make(chan bool, 10)
	link = &Link{
		Self: "e1", Seat: magnoliashore.NewSeat("e2", "a", server.Addr(), ""), Codec: codec, Timer: &timer.Service{},
		Order: host.Order, Witness: host.Witness, OnHeartbeatReply: func(HeartbeatReply) {}, OnValues: func(Values) {},
		OnConnection: func(state bool) { connected <- state }, OnMalformed: func(err error) { host.malformed <- err },
	}
	linkCtx, stopLink := context.WithCancel(context.Background())
	t.Cleanup(stopLink)
	t.Cleanup(stop)
	go link.Run(linkCtx)
	<-connected
	return link, stop
}

func testSub(id uint64) magnoliashore.Sub {
	return magnoliashore.NewSub(magnoliashore.SubSpec{
		ID: id, Query: "q", Partition: "p", Target: "t", Deadline: time.Now().Add(time.Minute), Body: []byte("{}"),
	})
}

func ran(sub magnoliashore.Sub) magnoliashore.SubAnswer {
	return magnoliashore.NewSubAnswer(magnoliashore.SubAnswerSpec{
		ID: sub.ID(), Partition: sub.Partition(), Target: sub.Target(), Outcome: magnoliashore.OutcomeRan,
	})
}

func TestLinkMatchesAnswersOutOfOrder(t *testing.T) {
	t.Parallel()
	host := newFakeHost()
	link, _ := startLink(t, host)
	answers := make(chan magnoliashore.SubAnswer, 10)
	link.Submit([]magnoliashore.Sub{testSub(1), testSub(2)}, func(a magnoliashore.SubAnswer) { answers <- a })
	first, second := <-host.subs, <-host.subs
	reply := <-host.reply
	reply(ran(second))
	reply(ran(second)) // a duplicate
	reply(magnoliashore.NewSubAnswer(magnoliashore.SubAnswerSpec{
		ID: first.ID(), Partition: "other", Target: "t", Outcome: magnoliashore.OutcomeRan,
	}))
	reply(ran(first))
	for _, want := range []uint64{second.ID(), first.ID()} {
		if got := <-answers; got.ID() != want || got.Partition() != "p" {
			t.Errorf("answer: got %d of %s, want %d of p", got.ID(), got.Partition(), want)
		}
	}
}

func TestLinkOutcomeWhenConnectionBreaks(t *testing.T) {
	t.Parallel()
	host := newFakeHost()
	link, stop := startLink(t, host)
	answers := make(chan magnoliashore.SubAnswer, 10)
	receive := func(a magnoliashore.SubAnswer) { answers <- a }
	link.Submit([]magnoliashore.Sub{testSub(1)}, receive)
	<-host.subs
	stop()
	if got, want := (<-answers).Outcome(), magnoliashore.OutcomeUnknown; got != want {
		t.Errorf("written before the break: got %v, want %v", got, want)
	}
	for link.Connected() {
		time.Sleep(time.Millisecond)
	}
	link.Submit([]magnoliashore.Sub{testSub(2)}, receive)
	if got, want := (<-answers).Outcome(), magnoliashore.OutcomeNotRun; got != want {
		t.Errorf("submitted without a connection: got %v, want %v", got, want)
	}
}

func TestLinkCancels(t *testing.T) {
	t.Parallel()
	host := newFakeHost()
	link, _ := startLink(t, host)
	link.Submit([]magnoliashore.Sub{testSub(1)}, func(a magnoliashore.SubAnswer) {
		t.Errorf("answer to a cancelled sub-request: got %v, want none", a.Outcome())
	})
	sub, reply := <-host.subs, <-host.reply
	link.Cancel([]uint64{sub.ID()})
	if got, want := <-host.cancelled, sub.ID(); got != want {
		t.Errorf("cancelled: got %d, want %d", got, want)
	}
	reply(ran(sub))
	answer, err := link.Forward(t.Context(), magnoliashore.NewQuery(magnoliashore.QuerySpec{
		ID: "q9", Deadline: time.Now().Add(time.Minute),
	}))
	if err != nil || answer.Query() != "q9" {
		t.Errorf("forward: got %s and error %v, want q9 and none", answer.Query(), err)
	}
}

func TestServerSurvivesMalformedFrames(t *testing.T) {
	t.Parallel()
	host := newFakeHost()
	link, _ := startLink(t, host)
	link.mu.Lock()
	conn := link.current.conn
	link.mu.Unlock()
	if err := conn.WriteMessage(2, []byte{kindBatch, 0xff}); err != nil {
		t.Fatal(err)
	}
	if err := <-host.malformed; err == nil {
		t.Error("malformed frame: got no error, want one")
	}
	link.Submit([]magnoliashore.Sub{testSub(1)}, func(magnoliashore.SubAnswer) {})
	if got, want := (<-host.subs).ID(), uint64(1); got != want {
		t.Errorf("after the malformed frame: got %d, want %d", got, want)
	}
}
