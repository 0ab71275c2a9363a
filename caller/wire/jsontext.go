package wire

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// tagJSON is the registered CBOR tag of a byte string that holds JSON text.
const tagJSON = 262

// jsonText is one JSON value. In JSON it stands as it is; in CBOR it is a byte
// string with tagJSON, so that no digit of a number is lost.
type jsonText []byte

// MarshalJSON returns the value itself.
func (t jsonText) MarshalJSON() ([]byte, error) {
	if len(t) == 0 {
		return []byte(nullJSON), nil
	}
	return t, nil
}

// UnmarshalJSON keeps the value.
func (t *jsonText) UnmarshalJSON(data []byte) error {
	*t = append((*t)[:0], data...)
	return nil
}

// MarshalCBOR returns the value as a tagged byte string.
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

// UnmarshalCBOR reads a tagged byte string and checks that it holds JSON.
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
