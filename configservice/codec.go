package configservice

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

type wireHosts struct {
	Live    []string `json:"live"`
	Leaving []string `json:"leaving"`
}

type wireLayout struct {
	Cell      string         `json:"cell"`
	Seats     []wireSeat     `json:"seats"`
	Former    []string       `json:"former"`
	Targets   []wireTarget   `json:"targets"`
	Snapshots []wireSnapshot `json:"snapshots"`
}

type wireSeat struct {
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
}

type wireTarget struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

type wireSnapshot struct {
	Snapshot   uint64          `json:"snapshot"`
	Group      string          `json:"group"`
	Partitions []wirePartition `json:"partitions"`
}

type wirePartition struct {
	Partition string   `json:"partition"`
	Service   string   `json:"service"`
	Targets   []string `json:"targets"`
}

func decodeHosts(data []byte) (magnoliashore.HostList, error) {
	var wire wireHosts
	if err := json.Unmarshal(data, &wire); err != nil {
		return magnoliashore.HostList{}, err
	}
	return magnoliashore.NewHostList(wire.Live, wire.Leaving), nil
}

// DecodeLayout parses and validates the layout published in data. It rejects
// unknown fields, trailing data and inconsistencies; the error names the path.
// The result depends only on the arguments.
func DecodeLayout(version magnoliashore.Version, data []byte) (magnoliashore.Layout, error) {
	if len(data) > MaxValue {
		return magnoliashore.Layout{}, errors.Newf("the layout has %d bytes, at most %d are allowed",
			len(data), MaxValue)
	}
	wire, err := parseLayout(data)
	if err != nil {
		return magnoliashore.Layout{}, err
	}
	if err := checkLayout(wire); err != nil {
		return magnoliashore.Layout{}, err
	}
	return layoutFromWire(version, wire), nil
}

// EncodeLayout encodes a layout for publication, without its version. It returns
// an error if DecodeLayout would reject the layout.
func EncodeLayout(layout magnoliashore.Layout) ([]byte, error) {
	data, err := json.Marshal(layoutToWire(layout))
	if err != nil {
		return nil, err
	}
	if _, err := DecodeLayout(layout.Version(), data); err != nil {
		return nil, err
	}
	return data, nil
}

func parseLayout(data []byte) (wireLayout, error) {
	var wire wireLayout
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return wireLayout{}, errors.Wrap(err, "layout")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return wireLayout{}, errors.Newf("layout: data follows the end of the object at byte %d",
			decoder.InputOffset())
	}
	return wire, checkKeys(data)
}
