package load

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// wireRecord is the JSON form of a ledger entry, one on each line.
type wireRecord struct {
	Query     string    `json:"query"`
	Partition string    `json:"partition"`
	Target    string    `json:"target"`
	Start     time.Time `json:"start"`
	End       time.Time `json:"end"`
	Begun     bool      `json:"begun"`
	Cold      bool      `json:"cold"`
	Told      bool      `json:"told"`
	Running   int       `json:"running"`
	Once      bool      `json:"once"`
	Result    string    `json:"result"`
	Reason    string    `json:"reason"`
}

func (w wireRecord) record() record {
	return record{
		query: magnoliashore.QueryID(w.Query), partition: magnoliashore.PartitionID(w.Partition), target: w.Target,
		start: w.Start, end: w.End, started: w.Begun, cold: w.Cold, coldReported: w.Told, atMostOnce: w.Once, running: w.Running,
		result: standin.Result(w.Result), reason: w.Reason,
	}
}
