// Package wire provides the messages that callers and entry hosts exchange, with
// their JSON and CBOR codecs.
package wire

import (
	"mime"
	"strconv"
	"strings"
)

// Paths, headers and parameters of the caller API.
const (
	PathQuery     = "/query"
	PathEntries   = "/entries"
	PathHealth    = "/health"
	PathReady     = "/ready"
	HeaderLeaving = "Leaving" // set to "1" in every reply of a host that is leaving
	ParamZone     = "zone"    // query parameter of PathEntries: the caller's availability zone
)

// Format is a message encoding.
type Format int

// Supported formats.
const (
	JSON Format = iota
	CBOR
)

// MIME types of the formats.
const (
	mediaTypeJSON = "application/json"
	mediaTypeCBOR = "application/cbor"
)

// ContentType returns the MIME type of the format.
func (f Format) ContentType() string {
	if f == CBOR {
		return mediaTypeCBOR
	}
	return mediaTypeJSON
}

// ParseContentType returns the format that a Content-Type header names, and false
// if the header names neither JSON nor CBOR.
func ParseContentType(header string) (Format, bool) {
	mediaType, _, err := mime.ParseMediaType(header)
	if err != nil {
		return JSON, false
	}
	switch mediaType {
	case mediaTypeJSON:
		return JSON, true
	case mediaTypeCBOR:
		return CBOR, true
	default:
		return JSON, false
	}
}

// NegotiateFormat returns the reply format for an Accept header: CBOR if the
// header accepts CBOR with at least the quality of JSON, else JSON.
func NegotiateFormat(header string) Format {
	qualities := map[string]float64{}
	for _, mediaRange := range strings.Split(header, ",") {
		mediaType, params, err := mime.ParseMediaType(mediaRange)
		if err != nil {
			continue
		}
		qualities[mediaType] = max(qualities[mediaType], parseQuality(params["q"]))
	}
	if qualities[mediaTypeCBOR] > 0 && qualities[mediaTypeCBOR] >= qualities[mediaTypeJSON] {
		return CBOR
	}
	return JSON
}

func parseQuality(text string) float64 {
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
