package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
	"github.com/magnoliashore/magnoliashore/notice"
	"github.com/magnoliashore/magnoliashore/quota"
	"github.com/magnoliashore/magnoliashore/ring"
	"github.com/magnoliashore/magnoliashore/suspect"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	// Time between two checks for reports that are due.
	noticeInterval = 250 * time.Millisecond
	// Messages of other hosts that were received and not yet handled.
	noticeInboxSize = 256
)

const (
	// Hosts that are told news at once. Each tells as many others what is new to it,
	// so all hosts know within a few round trips, also if datagrams are lost.
	newsFanout = 12
	// Records in one datagram. Most have three ends and 90 bytes.
	recordsPerDatagram = 8
	// Records in the answer to a host that asks for them.
	recordsPerAnswer = 32
	// Checks between two exchanges of the worst records with a random host.
	exchangeChecks = 4
	// How often a starting host asks others for their records: once it knows any, and
	// at the next checks.
	askTimes = 4
	// Bytes of records that a host sends per second, and at once.
	maxRecordRate  = 4 << 10
	maxRecordBurst = 32 << 10
)

// notices exchanges notices with other hosts: reports and grants of quotas, and
// records of suspicious requests.
type notices struct {
	self   string // ip:port of this host for other hosts
	engine *Engine
	issuer func(id magnoliashore.TargetID) string
	notify func(peer string, data []byte) error
	peers  func() []string // other running hosts
	joined <-chan struct{} // closed when another host is found
	timer  *timer.Service
	log    log.Interface

	inbox *ring.Ring[notice.Message]
	reach *reachability

	// Used by the goroutine of run only.
	leases quota.Issuer
	bytes  admit.Bucket // of records that may be sent
	checks int
	asked  int
}

// run handles notices until ctx ends.
func (n *notices) run(ctx context.Context) {
	ticks := n.timer.Every(noticeInterval)
	defer ticks.Stop()
	joined := n.joined
	for {
		select {
		case <-ctx.Done():
			return
		case <-joined:
			joined = nil
			n.ask() // before this host has a configuration and serves requests
		case <-ticks.C:
			n.leases.Expire(n.timer.Now())
			n.report()
			n.check()
		case <-n.engine.suspects.due:
			n.tellNews()
		case <-n.engine.reportDue:
			n.report()
		case m := <-n.inbox.Items():
			n.handle(m)
		}
	}
}

// receive queues a notice of another host. It drops the notice while the queue is
// full, as the network may.
func (n *notices) receive(data []byte) {
	m, err := notice.Decode(n.timer.Now(), data)
	if err != nil {
		n.log.WithError(err).Warn("ignoring a malformed notice")
		return
	}
	if !n.inbox.Push(m) {
		n.engine.Metrics.noticesDropped.Inc()
	}
}

// report sends the reports that are due to the issuers of their targets.
func (n *notices) report() {
	messages := make(map[string]notice.Message)
	for _, r := range n.engine.quotaReports() {
		issuer := n.issuer(r.Target)
		m := messages[issuer]
		m.Reports = append(m.Reports, r)
		messages[issuer] = m
	}
	for issuer, m := range messages {
		n.send(issuer, m)
	}
}

// handle grants what a message asks for, and accepts what it grants.
func (n *notices) handle(m notice.Message) {
	var answer notice.Message
	sharing := n.engine.Hosts.Sharing()
	for _, r := range m.Reports {
		if !n.engine.View().Has(r.Target) {
			continue
		}
		if g, ok := n.leases.Grant(n.timer.Now(), m.From, r, sharing); ok {
			answer.Grants = append(answer.Grants, g)
		}
	}
	if len(answer.Grants) > 0 {
		n.send(m.From, answer)
	}
	for _, g := range m.Grants {
		n.engine.acceptGrant(g, m.From)
	}
	n.engine.mergeSuspects(m.Records, m.From)
	for _, t := range m.Tests {
		n.reach.serveTest(m.From, t)
	}
	for _, r := range m.Results {
		n.reach.receive(m.From, r)
	}
	if m.Ask {
		n.sendRecords([]string{m.From}, n.engine.suspects.worst(n.timer.Now(), recordsPerAnswer))
	}
}

// check tells news that did not fit the budget, exchanges records with a random host
// from time to time, and asks for them while this host has just started.
func (n *notices) check() {
	n.tellNews()
	n.checks++
	if n.checks%exchangeChecks == 0 {
		n.sendRecords(n.randomPeers(1), n.engine.suspects.worst(n.timer.Now(), recordsPerDatagram))
	}
	if n.asked < askTimes {
		n.ask()
	}
}

// ask asks a random host for its records.
func (n *notices) ask() {
	for _, peer := range n.randomPeers(1) {
		n.asked++
		n.send(peer, notice.Message{Ask: true})
	}
}

// tellNews tells other hosts what is new to this one, as far as the budget allows.
func (n *notices) tellNews() {
	for n.bytes.Refill(n.timer.Now(), maxRecordRate, maxRecordBurst) >= 0 {
		records := n.engine.suspects.takeNews(recordsPerDatagram)
		if len(records) == 0 {
			return
		}
		n.sendRecords(n.randomPeers(newsFanout), records)
	}
}

// sendRecords sends records to hosts.
func (n *notices) sendRecords(peers []string, records []suspect.Record) {
	for chunk := range slices.Chunk(records, recordsPerDatagram) {
		for _, peer := range peers {
			n.bytes.Spend(float64(n.send(peer, notice.Message{Records: chunk})))
		}
	}
}

// randomPeers returns other hosts in random order, at most count.
func (n *notices) randomPeers(count int) []string {
	peers := n.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), count)]
}

// send sends a message to a host, which may be this one, and returns its size in
// bytes.
func (n *notices) send(peer string, m notice.Message) int {
	m.From = n.self
	if peer == n.self {
		n.handle(m)
		return 0
	}
	data, err := notice.Encode(n.timer.Now(), m)
	if err == nil {
		err = n.notify(peer, data)
	}
	if err != nil {
		n.log.WithError(err).WithField("peer", peer).Debug("cannot send a notice")
	}
	return len(data)
}
