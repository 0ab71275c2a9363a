// Package wire provides the messages between callers and entry hosts, and
// their JSON and CBOR codecs.
package wire

import (
	"mime"
	"strconv"
	"strings"
)

// Paths and headers of the HTTP API towards callers.
const (
	PathQuery     = "/query"
	PathEntries   = "/entries"
	PathHealth    = "/health"
	PathReady     = "/ready"
	HeaderLeaving = "Leaving" // "1" in every reply of a leaving host
	ParamZone     = "zone"    // availability zone of the caller, in a call of PathEntries
)

// Format is an encoding of messages.
type Format int

// The formats.
const (
	JSON Format = iota
	CBOR
)

// The content types of the formats.
const (
	typeJSON = "application/json"
	typeCBOR = "application/cbor"
)

// ContentType returns the MIME type of the format.
func (f Format) ContentType() string {
	if f == CBOR {
		return typeCBOR
	}
	return typeJSON
}

// ParseContentType returns the format that a Content-Type header names; false
// if it is none of the two.
func ParseContentType(header string) (Format, bool) {
	kind, _, err := mime.ParseMediaType(header)
	if err != nil {
		return JSON, false
	}
	switch kind {
	case typeJSON:
		return JSON, true
	case typeCBOR:
		return CBOR, true
	default:
		return JSON, false
	}
}

// NegotiateFormat returns the reply format for an Accept header: CBOR if the
// header accepts CBOR with at least the quality of JSON, else JSON.
func NegotiateFormat(header string) Format {
	best := map[string]float64{}
	for _, part := range strings.Split(header, ",") {
		kind, params, err := mime.ParseMediaType(part)
		if err != nil {
			continue
		}
		best[kind] = max(best[kind], quality(params["q"]))
	}
	if best[typeCBOR] > 0 && best[typeCBOR] >= best[typeJSON] {
		return CBOR
	}
	return JSON
}

func quality(text string) float64 {
	if text == "" {
		return 1
	}
	q, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return q
}

func (f Format) codec() codec {
	if f == CBOR {
		return cborCodec{}
	}
	return jsonCodec{}
}
