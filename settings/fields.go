package settings

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// field describes one setting in the settings file.
type field struct {
	section string // key of the enclosing mapping; empty at the top level
	key     string
	doc     string // comment in the sample file
	example string // value in the sample file; empty means the default
	value   value
}

// name returns the name used in error messages, such as "lease.term".
func (f field) name() string {
	if f.section == "" {
		return f.key
	}
	return f.section + "." + f.key
}

// fields returns every setting in file order.
func fields() []field {
	var all []field
	all = append(all, hostFields()...)
	all = append(all, leaseFields()...)
	all = append(all, policyFields()...)
	all = append(all, limitFields()...)
	all = append(all, configFields()...)
	return append(all, warmFields()...)
}

func hostFields() []field {
	return []field{
		{"", "host", "name of this host's seat in the layout", "e1",
			textValue(func(s *Settings) *magnoliashore.HostID { return &s.Host })},
		{"", "zone", "availability zone of this host", "a",
			textValue(func(s *Settings) *magnoliashore.ZoneName { return &s.Zone })},
		{"", "cell", "cell that the seat belongs to", "ljubljana",
			textValue(func(s *Settings) *string { return &s.Cell })},
		{"", "caller", "address that callers connect to", "127.0.0.1:7001",
			textValue(func(s *Settings) *string { return &s.Caller })},
		{"", "peer", "address that other entry hosts connect to", "127.0.0.1:7101",
			textValue(func(s *Settings) *string { return &s.Peer })},
		{"", "operator", "address of the admin pages", "127.0.0.1:7201",
			textValue(func(s *Settings) *string { return &s.Operator })},
		{"", "platform", "address of the configuration service and host list", "127.0.0.1:7301",
			textValue(func(s *Settings) *string { return &s.Platform })},
		{"", "seeds", "peer addresses of other entry hosts, separated by spaces, to contact before the layout is known; may be empty", "127.0.0.1:7102 127.0.0.1:7103",
			textValue(func(s *Settings) *string { return &s.Seeds })},
		{"", "log", "minimum level of log records: debug, info, warn, error or fatal", "",
			textValue(func(s *Settings) *string { return &s.Log })},
	}
}

func leaseFields() []field {
	return []field{
		{"lease", "heartbeat", "interval between heartbeats to a peer, less than a third of term", "",
			durationValue(func(s *Settings) *time.Duration { return &s.Lease.Heartbeat })},
		{"lease", "term", "duration of a lease", "",
			durationValue(func(s *Settings) *time.Duration { return &s.Lease.Term })},
		{"lease", "margin", "allowance for clock drift, less than half of term", "",
			durationValue(func(s *Settings) *time.Duration { return &s.Lease.Margin })},
	}
}

func policyFields() []field {
	return []field{
		{"policy", "owner", "how the right to send to a target is assigned: lease or static", "",
			textValue(func(s *Settings) *string { return &s.Policy.Owner })},
		{"policy", "choose", "how a replica is chosen: least (shortest expected time) or random", "",
			textValue(func(s *Settings) *string { return &s.Policy.Choose })},
		{"policy", "queue", "order in which sub-requests are sent to a target: fair or fifo", "",
			textValue(func(s *Settings) *string { return &s.Policy.Queue })},
		{"policy", "hedge", "hedging of slow sub-requests: learnt (delay adapts to recent latencies) or off", "",
			textValue(func(s *Settings) *string { return &s.Policy.Hedge })},
		{"policy", "throttle", "whether the coordinator refuses whole queries under overload: adaptive or off", "",
			textValue(func(s *Settings) *string { return &s.Policy.Throttle })},
		{"policy", "extra", "hedges and retries allowed per first sub-request, 0 to 0.2", "",
			numberValue(func(s *Settings) *float64 { return &s.Policy.Extra })},
		{"policy", "quantile", "latency quantile after which a sub-request is hedged, 0.5 to 0.999", "",
			numberValue(func(s *Settings) *float64 { return &s.Policy.Quantile })},
	}
}

func limitFields() []field {
	return []field{
		{"limits", "body", "maximum size of a query in bytes, at most 1048576", "",
			countValue(func(s *Settings) *int { return &s.Limits.Body })},
		{"limits", "queries", "maximum number of queries in flight", "",
			countValue(func(s *Settings) *int { return &s.Limits.Queries })},
		{"limits", "ring", "capacity of each queue between background tasks", "",
			countValue(func(s *Settings) *int { return &s.Limits.Ring })},
		{"limits", "keep", "how long callers may cache the addresses of entry hosts", "",
			durationValue(func(s *Settings) *time.Duration { return &s.Limits.Keep })},
		{"limits", "drain", "maximum time that a leaving host keeps serving, at least keep", "",
			durationValue(func(s *Settings) *time.Duration { return &s.Limits.Drain })},
		{"limits", "ledger", "maximum number of idempotency tickets kept", "",
			countValue(func(s *Settings) *int { return &s.Limits.Ledger })},
		{"limits", "epoch", "length of a ticket epoch", "",
			durationValue(func(s *Settings) *time.Duration { return &s.Limits.Epoch })},
	}
}

func configFields() []field {
	return []field{
		{"config", "poll", "interval between reads of the host list", "",
			durationValue(func(s *Settings) *time.Duration { return &s.Config.Poll })},
		{"config", "quiet", "how long the cell's reader may be silent before the next host takes over", "",
			durationValue(func(s *Settings) *time.Duration { return &s.Config.Quiet })},
		{"config", "watch", "maximum time of one long poll of the platform", "",
			durationValue(func(s *Settings) *time.Duration { return &s.Config.Watch })},
	}
}

func warmFields() []field {
	return []field{
		{"warm", "fresh", "how long evidence that a target is warm remains valid", "",
			durationValue(func(s *Settings) *time.Duration { return &s.Warm.Fresh })},
		{"warm", "jump", "increase in latency, as a factor, that makes a target cold", "",
			numberValue(func(s *Settings) *float64 { return &s.Warm.Jump })},
		{"warm", "sheds", "consecutive refusals that make a target cold", "",
			countValue(func(s *Settings) *int { return &s.Warm.Sheds })},
		{"warm", "steps", "healthy replies before the limit of a target rises by one, from cold to all slots", "",
			countValue(func(s *Settings) *int { return &s.Warm.Steps })},
	}
}
