package relay

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliashore/magnoliashore/balance"
)

// ObservationsSize returns the encoded size of observations in bytes.
func ObservationsSize(list []balance.Observation) (int, error) {
	data, err := cbor.Marshal(encodeObservations(list))
	return len(data), err
}
