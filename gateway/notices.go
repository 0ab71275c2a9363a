package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/notice"
	"github.com/magnoliashore/magnoliashore/quota"
	"github.com/magnoliashore/magnoliashore/ring"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	// Time between two checks for reports that are due.
	noticeInterval = 250 * time.Millisecond
	// Messages of other hosts that were received and not yet handled.
	noticeInboxSize = 256
)

// notices exchanges notices with other hosts: reports and grants of quotas.
type notices struct {
	self   string // ip:port of this host for other hosts
	engine *Engine
	issuer func(id magnoliashore.TargetID) string
	notify func(peer string, data []byte) error
	timer  *timer.Service
	log    log.Interface

	leases quota.Issuer // used by the goroutine of run only
	inbox  *ring.Ring[notice.Message]
}

// run handles notices until ctx ends.
func (n *notices) run(ctx context.Context) {
	ticks := n.timer.Every(noticeInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			n.leases.Expire(n.timer.Now())
			n.report()
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
	m, err := notice.Decode(data)
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
}

// send sends a message to a host, which may be this one.
func (n *notices) send(peer string, m notice.Message) {
	m.From = n.self
	if peer == n.self {
		n.handle(m)
		return
	}
	data, err := notice.Encode(m)
	if err == nil {
		err = n.notify(peer, data)
	}
	if err != nil {
		n.log.WithError(err).WithField("peer", peer).Debug("cannot send a notice")
	}
}
