package wire

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// entriesMessage is the wire format of the entry hosts' addresses.
type entriesMessage struct {
	Keep    int64          `json:"keep"` // milliseconds for which the addresses may be cached
	Entries []entryMessage `json:"entries"`
}

type entryMessage struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
}

// EncodeEntries encodes the addresses of entry hosts. It rounds Keep down to
// whole milliseconds.
func EncodeEntries(format Format, entries magnoliashore.Entries) ([]byte, error) {
	message := entriesMessage{
		Keep:    entries.Keep().Milliseconds(),
		Entries: make([]entryMessage, 0, len(entries.List())),
	}
	for _, e := range entries.List() {
		message.Entries = append(message.Entries, entryMessage{
			Host:        string(e.Host()),
			Incarnation: uint64(e.Incarnation()),
			Epoch:       uint64(e.Epoch()),
			Zone:        string(e.Zone()),
			Address:     e.Address(),
		})
	}
	data, err := format.codec().encode(message)
	return data, magnoliashore.Step(err, "encode entries", "")
}

// DecodeEntries decodes the addresses of entry hosts and ignores unknown keys.
func DecodeEntries(format Format, data []byte) (magnoliashore.Entries, error) {
	var m entriesMessage
	if err := format.codec().decode(data, &m); err != nil {
		return magnoliashore.Entries{}, magnoliashore.Step(err, "decode entries", "")
	}
	list := make([]magnoliashore.Entry, 0, len(m.Entries))
	for _, e := range m.Entries {
		list = append(list, magnoliashore.NewEntry(magnoliashore.HostID(e.Host),
			magnoliashore.Incarnation(e.Incarnation), magnoliashore.Epoch(e.Epoch),
			magnoliashore.ZoneName(e.Zone), e.Address))
	}
	return magnoliashore.NewEntries(list, time.Duration(m.Keep)*time.Millisecond), nil
}
