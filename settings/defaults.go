package settings

import "time"

// Default returns the default settings. The host's names and addresses have no
// default and are empty.
func Default() Settings {
	return Settings{
		Log:    "info",
		Lease:  defaultLease(),
		Policy: defaultPolicy(),
		Limits: defaultLimits(),
		Config: defaultConfig(),
		Warm:   defaultWarm(),
	}
}

func defaultLease() Lease {
	return Lease{
		Heartbeat: 500 * time.Millisecond,
		Term:      2 * time.Second,
		Margin:    100 * time.Millisecond,
	}
}

func defaultPolicy() Policy {
	return Policy{
		Owner:    OwnerLease,
		Choose:   ChooseLeast,
		Queue:    QueueFair,
		Hedge:    HedgeAdaptive,
		Throttle: ThrottleAdaptive,
		Extra:    0.05,
		Quantile: 0.95,
	}
}

func defaultLimits() Limits {
	return Limits{
		Body:    1 << 20,
		Queries: 4096,
		Ring:    1024,
		Keep:    3 * time.Second,
		Drain:   10 * time.Second,
		Ledger:  65536,
		Epoch:   30 * time.Second,
	}
}

func defaultConfig() Config {
	return Config{
		Poll:  time.Second,
		Quiet: 1200 * time.Millisecond,
		Watch: 10 * time.Second,
	}
}

func defaultWarm() Warm {
	return Warm{
		Fresh: 10 * time.Second,
		Jump:  4,
		Sheds: 3,
		Steps: 4,
	}
}
