package standin

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

type wireTargets struct {
	Targets []wireTarget `yaml:"targets"`
}

type wireTarget struct {
	ID                   string        `yaml:"id"`
	Zone                 string        `yaml:"zone"`
	Service              string        `yaml:"service"`
	Address              string        `yaml:"address"`
	Slots                int           `yaml:"slots"`
	ColdSlots            int           `yaml:"cold"`
	MaxConns             int           `yaml:"conns"`
	ConnDelay            time.Duration `yaml:"conncost"`
	Latency              time.Duration `yaml:"latency"`
	StragglerProbability float64       `yaml:"straggle"`
	StragglerLatency     time.Duration `yaml:"straggler"`
	WarmAfter            int           `yaml:"warmafter"`
	Seed                 uint64        `yaml:"seed"`
	Snapshots            []uint64      `yaml:"snapshots"`
	Partitions           []string      `yaml:"partitions"`
	MaxWaiting           int           `yaml:"shed"`
	LedgerSize           int           `yaml:"ledgersize"`
}

// ParseTargets reads a YAML list of targets under the key targets. Each
// element has the keys of wireTarget.
func ParseTargets(data []byte) ([]TargetConfig, error) {
	var wire wireTargets
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(&wire); err != nil {
		return nil, errors.Wrap(err, "targets")
	}
	list := make([]TargetConfig, 0, len(wire.Targets))
	seen := make(map[string]bool, len(wire.Targets))
	for i, t := range wire.Targets {
		if t.ID == "" {
			return nil, errors.Newf("targets[%d]: the id is empty", i)
		}
		if seen[t.ID] {
			return nil, errors.Newf("targets[%d]: id %q is listed twice", i, t.ID)
		}
		seen[t.ID] = true
		list = append(list, TargetConfig(t))
	}
	return list, nil
}

// FormatTargets encodes targets as the YAML that ParseTargets reads.
func FormatTargets(list []TargetConfig) ([]byte, error) {
	wire := wireTargets{Targets: make([]wireTarget, 0, len(list))}
	for _, t := range list {
		wire.Targets = append(wire.Targets, wireTarget(t))
	}
	return yaml.Marshal(wire)
}
