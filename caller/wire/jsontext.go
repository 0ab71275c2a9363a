package wire

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// tagJSON is the registered CBOR tag of a byte string that holds JSON text.
const tagJSON = 262

// jsonText is one JSON value as text. JSON messages contain it unchanged. CBOR
// messages contain it as a byte string tagged with tagJSON, so that numbers lose
// no digits.
type jsonText []byte

// MarshalJSON returns the text unchanged, or null if it is empty.
func (t jsonText) MarshalJSON() ([]byte, error) {
	if len(t) == 0 {
		return []byte(nullJSON), nil
	}
	return t, nil
}

// UnmarshalJSON copies the text unchanged.
func (t *jsonText) UnmarshalJSON(data []byte) error {
	*t = append((*t)[:0], data...)
	return nil
}

// MarshalCBOR returns the text as a tagged byte string.
func (t jsonText) MarshalCBOR() ([]byte, error) {
	text, err := t.MarshalJSON()
	if err != nil {
		return nil, err
	}
	if !json.Valid(text) {
		return nil, errors.New("an item holds no JSON value")
	}
	return cbor.Marshal(cbor.Tag{Number: tagJSON, Content: text})
}

// UnmarshalCBOR decodes a tagged byte string and checks that it is valid JSON.
func (t *jsonText) UnmarshalCBOR(data []byte) error {
	var tag cbor.RawTag
	if err := cbor.Unmarshal(data, &tag); err != nil {
		return err
	}
	if tag.Number != tagJSON {
		return errors.Newf("an item has tag %d; needed is %d", tag.Number, tagJSON)
	}
	var text []byte
	if err := cbor.Unmarshal(tag.Content, &text); err != nil {
		return err
	}
	if !json.Valid(text) {
		return errors.New("an item holds no JSON value")
	}
	*t = text
	return nil
}
