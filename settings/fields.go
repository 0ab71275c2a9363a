package settings

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// field describes one setting of the file.
type field struct {
	section string // key of the mapping that holds it; empty at the top
	key     string
	doc     string
	example string // written in the sample in place of the default
	value   value
}

// name returns the setting's name as messages write it.
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
		{"", "host", "seat that this host takes, as the layout names it", "e1",
			textValue(func(s *Settings) *magnoliashore.HostID { return &s.Host })},
		{"", "zone", "availability zone of this host", "a",
			textValue(func(s *Settings) *magnoliashore.ZoneName { return &s.Zone })},
		{"", "cell", "cell that the seat belongs to", "ljubljana",
			textValue(func(s *Settings) *string { return &s.Cell })},
		{"", "caller", "address towards callers", "127.0.0.1:7001",
			textValue(func(s *Settings) *string { return &s.Caller })},
		{"", "peer", "address towards the other entry hosts", "127.0.0.1:7101",
			textValue(func(s *Settings) *string { return &s.Peer })},
		{"", "operator", "address of the admin pages", "127.0.0.1:7201",
			textValue(func(s *Settings) *string { return &s.Operator })},
		{"", "platform", "address of the configuration service and host list", "127.0.0.1:7301",
			textValue(func(s *Settings) *string { return &s.Platform })},
		{"", "seeds", "addresses of other entry hosts towards peers, joined by spaces, to ask for a configuration at the start; may be empty", "127.0.0.1:7102 127.0.0.1:7103",
			textValue(func(s *Settings) *string { return &s.Seeds })},
		{"", "log", "lowest level that is logged: debug, info, warn, error or fatal", "",
			textValue(func(s *Settings) *string { return &s.Log })},
	}
}

func leaseFields() []field {
	return []field{
		{"lease", "heartbeat", "time between heartbeats to a peer, less than a third of term", "",
			timeValue(func(s *Settings) *time.Duration { return &s.Lease.Heartbeat })},
		{"lease", "term", "how long a lease runs", "",
			timeValue(func(s *Settings) *time.Duration { return &s.Lease.Term })},
		{"lease", "margin", "allowance for the drift of clocks, less than half of term", "",
			timeValue(func(s *Settings) *time.Duration { return &s.Lease.Margin })},
	}
}

func policyFields() []field {
	return []field{
		{"policy", "owner", "who may send to a target: lease or static", "",
			textValue(func(s *Settings) *string { return &s.Policy.Owner })},
		{"policy", "choose", "how a replica is chosen: least or random", "",
			textValue(func(s *Settings) *string { return &s.Policy.Choose })},
		{"policy", "queue", "how sub-requests wait for a target: fair or fifo", "",
			textValue(func(s *Settings) *string { return &s.Policy.Queue })},
		{"policy", "hedge", "whether slow sub-requests are hedged: learnt or off", "",
			textValue(func(s *Settings) *string { return &s.Policy.Hedge })},
		{"policy", "throttle", "whether the root refuses whole queries in overload: adaptive or off", "",
			textValue(func(s *Settings) *string { return &s.Policy.Throttle })},
		{"policy", "extra", "share of extra sub-requests by hedges and retries, 0 to 0.2", "",
			numberValue(func(s *Settings) *float64 { return &s.Policy.Extra })},
		{"policy", "quantile", "quantile of latency after which to hedge, 0.5 to 0.999", "",
			numberValue(func(s *Settings) *float64 { return &s.Policy.Quantile })},
	}
}

func limitFields() []field {
	return []field{
		{"limits", "body", "bytes of a query, at most 1048576", "",
			countValue(func(s *Settings) *int { return &s.Limits.Body })},
		{"limits", "queries", "queries that run at once", "",
			countValue(func(s *Settings) *int { return &s.Limits.Queries })},
		{"limits", "ring", "entries of a ring between duties", "",
			countValue(func(s *Settings) *int { return &s.Limits.Ring })},
		{"limits", "keep", "how long callers may use an answer with addresses", "",
			timeValue(func(s *Settings) *time.Duration { return &s.Limits.Keep })},
		{"limits", "drain", "how long a leaving host stays at most, at least keep", "",
			timeValue(func(s *Settings) *time.Duration { return &s.Limits.Drain })},
		{"limits", "ledger", "tickets kept", "",
			countValue(func(s *Settings) *int { return &s.Limits.Ledger })},
		{"limits", "epoch", "length of a ticket epoch", "",
			timeValue(func(s *Settings) *time.Duration { return &s.Limits.Epoch })},
	}
}

func configFields() []field {
	return []field{
		{"config", "poll", "time between reads of the list of hosts", "",
			timeValue(func(s *Settings) *time.Duration { return &s.Config.Poll })},
		{"config", "quiet", "silence of the cell's reader before a host reads itself", "",
			timeValue(func(s *Settings) *time.Duration { return &s.Config.Quiet })},
		{"config", "watch", "longest wait of one watch", "",
			timeValue(func(s *Settings) *time.Duration { return &s.Config.Watch })},
	}
}

func warmFields() []field {
	return []field{
		{"warm", "fresh", "how long evidence of warmth counts", "",
			timeValue(func(s *Settings) *time.Duration { return &s.Warm.Fresh })},
		{"warm", "jump", "factor of latency that makes a target cold", "",
			numberValue(func(s *Settings) *float64 { return &s.Warm.Jump })},
		{"warm", "sheds", "refusals in a row that make a target cold", "",
			countValue(func(s *Settings) *int { return &s.Warm.Sheds })},
		{"warm", "steps", "steps from the cold limit to all slots", "",
			countValue(func(s *Settings) *int { return &s.Warm.Steps })},
	}
}
