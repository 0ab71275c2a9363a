// Package notice holds the messages between hosts that need no answer and may be
// lost, each of which fits a datagram, and their encoding in CBOR.
package notice

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/quota"
	"github.com/magnoliashore/magnoliashore/suspect"
)

// maxItems is the most items of one kind in a message.
const maxItems = 64

// Message is what one host tells another.
type Message struct {
	From    string         // ip:port of the sender for other hosts
	Reports []quota.Report // to the issuer of their targets
	Grants  []quota.Grant  // from the issuer of their targets
	// Records of suspicious requests. Their times are by the clock of the receiver.
	Records []suspect.Record
	Ask     bool // requests the records of the receiver
	Tests   []Test
	Results []TestResult
}

// Test asks a host to connect to targets.
type Test struct {
	Number  uint64 // identifies the test at the sender
	Targets []magnoliashore.TargetID
}

// TestResult answers a Test.
type TestResult struct {
	Number  uint64
	Reached int // targets that the host could connect to
}

type wireMessage struct {
	_       struct{} `cbor:",toarray"`
	From    string
	Reports []wireReport
	Grants  []wireGrant
	Records []wireRecord
	Ask     bool
	Tests   []wireTest
	Results []wireTestResult
}

type wireTest struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Targets []string
}

type wireTestResult struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Reached int
}

// wireRecord holds the times of a record as ages.
type wireRecord struct {
	_       struct{} `cbor:",toarray"`
	Digest  []byte
	Ends    []wireEnd
	Cleared int64 // negative if it was not cleared
	Tried   int64 // negative if it was not tried again
}

type wireEnd struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Life   int64 // start of the process of the target
	Age    int64
}

type wireReport struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Rate   float64
	Demand float32
	Share  float32
	Left   int64 // milliseconds, like the other durations
}

type wireGrant struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Share  float32
	Term   int64
}

// Encode encodes a message that is sent at now.
func Encode(now time.Time, m Message) ([]byte, error) {
	w := wireMessage{From: m.From, Ask: m.Ask}
	for _, r := range m.Reports {
		w.Reports = append(w.Reports, wireReport{
			Target: string(r.Target), Rate: r.Rate, Demand: float32(r.Demand), Share: float32(r.Share), Left: r.Left.Milliseconds(),
		})
	}
	for _, g := range m.Grants {
		w.Grants = append(w.Grants, wireGrant{Target: string(g.Target), Share: float32(g.Share), Term: g.Term.Milliseconds()})
	}
	for _, r := range m.Records {
		w.Records = append(w.Records, encodeRecord(now, r))
	}
	for _, t := range m.Tests {
		encoded := wireTest{Number: t.Number}
		for _, id := range t.Targets {
			encoded.Targets = append(encoded.Targets, string(id))
		}
		w.Tests = append(w.Tests, encoded)
	}
	for _, r := range m.Results {
		w.Results = append(w.Results, wireTestResult{Number: r.Number, Reached: r.Reached})
	}
	data, err := cbor.Marshal(w)
	return data, errors.Wrap(err, "encoding a notice")
}

func encodeRecord(now time.Time, r suspect.Record) wireRecord {
	w := wireRecord{Digest: r.Digest[:], Cleared: age(now, r.Cleared), Tried: age(now, r.Tried)}
	for _, end := range r.Ends {
		w.Ends = append(w.Ends, wireEnd{Target: string(end.Target), Life: end.Process, Age: now.Sub(end.At).Milliseconds()})
	}
	return w
}

// age returns the milliseconds since a time, or -1 if it is zero.
func age(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

func decodeRecord(now time.Time, w wireRecord) (suspect.Record, error) {
	r := suspect.Record{}
	if len(w.Digest) != len(r.Digest) || len(w.Ends) > maxItems {
		return r, errors.Newf("record has a digest of %d bytes and %d ends", len(w.Digest), len(w.Ends))
	}
	copy(r.Digest[:], w.Digest)
	if w.Cleared >= 0 {
		r.Cleared = now.Add(-fromMillis(w.Cleared))
	}
	if w.Tried >= 0 {
		r.Tried = now.Add(-fromMillis(w.Tried))
	}
	for _, end := range w.Ends {
		r.Ends = append(r.Ends, suspect.End{Target: magnoliashore.TargetID(end.Target), Process: end.Life, At: now.Add(-fromMillis(end.Age))})
	}
	return r, nil
}

// Decode decodes a message that is received at now. It fails if a number in it is out of range.
func Decode(now time.Time, data []byte) (Message, error) {
	var w wireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Message{}, errors.Wrap(err, "decoding a notice")
	}
	if n := max(len(w.Reports), len(w.Grants), len(w.Records), len(w.Tests), len(w.Results)); n > maxItems {
		return Message{}, errors.Newf("notice has %d items of one kind; at most %d are allowed", n, maxItems)
	}
	m := Message{From: w.From, Ask: w.Ask}
	var err error
	if m.Tests, err = decodeTests(w.Tests); err != nil {
		return Message{}, err
	}
	for _, r := range w.Results {
		m.Results = append(m.Results, TestResult{Number: r.Number, Reached: r.Reached})
	}
	for _, encoded := range w.Records {
		r, err := decodeRecord(now, encoded)
		if err != nil {
			return Message{}, err
		}
		m.Records = append(m.Records, r)
	}
	for _, r := range w.Reports {
		if !valid(r.Rate, float64(r.Demand), float64(r.Share)) {
			return Message{}, errors.Newf("report on target %q has a rate that is out of range", r.Target)
		}
		m.Reports = append(m.Reports, quota.Report{
			Target: magnoliashore.TargetID(r.Target), Rate: r.Rate, Demand: float64(r.Demand), Share: float64(r.Share), Left: fromMillis(r.Left),
		})
	}
	for _, g := range w.Grants {
		if !valid(float64(g.Share)) {
			return Message{}, errors.Newf("grant for target %q has a share that is out of range", g.Target)
		}
		m.Grants = append(m.Grants, quota.Grant{Target: magnoliashore.TargetID(g.Target), Share: float64(g.Share), Term: fromMillis(g.Term)})
	}
	return m, nil
}

// maxTestTargets is the most targets of a test.
const maxTestTargets = 4

func decodeTests(list []wireTest) ([]Test, error) {
	var tests []Test
	for _, w := range list {
		if len(w.Targets) > maxTestTargets {
			return nil, errors.Newf("test of %d targets; at most %d are allowed", len(w.Targets), maxTestTargets)
		}
		t := Test{Number: w.Number}
		for _, id := range w.Targets {
			t.Targets = append(t.Targets, magnoliashore.TargetID(id))
		}
		tests = append(tests, t)
	}
	return tests, nil
}

// valid reports whether all rates are finite and not negative.
func valid(rates ...float64) bool {
	for _, rate := range rates {
		if !(rate >= 0) || math.IsInf(rate, 0) {
			return false
		}
	}
	return true
}

// maxDuration bounds the durations in a message.
const maxDuration = time.Hour

func fromMillis(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxDuration.Milliseconds())) * time.Millisecond
}
