package wire

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// maxNestingDepth limits the nesting of a CBOR message.
const maxNestingDepth = 16

// codec encodes and decodes the values of one format.
type codec interface {
	// splitObject splits an encoded map into its encoded values. A duplicate key
	// is an error.
	splitObject(data []byte) (map[string][]byte, error)
	// decode decodes one value and ignores unknown keys of a map.
	decode(data []byte, dest any) error
	encode(value any) ([]byte, error)
}

type jsonCodec struct{}

func (jsonCodec) splitObject(data []byte) (map[string][]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	first, err := decoder.Token()
	if err != nil {
		return nil, errors.Wrap(toUnexpectedEOF(err), "JSON")
	}
	if first != json.Delim('{') {
		return nil, errors.Newf("JSON: the message starts with %v; needed is an object", first)
	}
	fields := make(map[string][]byte)
	for decoder.More() {
		if err := readJSONField(decoder, fields); err != nil {
			return nil, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, errors.Wrap(toUnexpectedEOF(err), "JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("JSON: something follows the object; allowed is nothing")
	}
	return fields, nil
}

func readJSONField(decoder *json.Decoder, fields map[string][]byte) error {
	token, err := decoder.Token()
	if err != nil {
		return errors.Wrap(toUnexpectedEOF(err), "JSON")
	}
	key, ok := token.(string)
	if !ok {
		return errors.Newf("JSON: %v is no key", token)
	}
	if _, ok := fields[key]; ok {
		return errors.Newf("JSON: %q comes twice; allowed is once", key)
	}
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return errors.Wrapf(toUnexpectedEOF(err), "JSON: %s", key)
	}
	fields[key] = value
	return nil
}

// toUnexpectedEOF replaces io.EOF, which means here that the text is truncated,
// by io.ErrUnexpectedEOF.
func toUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (jsonCodec) decode(data []byte, dest any) error { return json.Unmarshal(data, dest) }

func (jsonCodec) encode(value any) ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// cborDecMode returns the strict decoding mode, which is built on first use.
var cborDecMode = sync.OnceValues(func() (cbor.DecMode, error) {
	return cbor.DecOptions{
		DupMapKey:       cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels: maxNestingDepth,
	}.DecMode()
})

type cborCodec struct{}

func (c cborCodec) splitObject(data []byte) (map[string][]byte, error) {
	var raw map[string]cbor.RawMessage
	if err := c.decode(data, &raw); err != nil {
		return nil, errors.Wrap(err, "CBOR")
	}
	if raw == nil {
		return nil, errors.New("CBOR: the message is null; needed is a map")
	}
	fields := make(map[string][]byte, len(raw))
	for key, value := range raw {
		fields[key] = value
	}
	return fields, nil
}

func (cborCodec) decode(data []byte, dest any) error {
	mode, err := cborDecMode()
	if err != nil {
		return err
	}
	return mode.Unmarshal(data, dest)
}

func (cborCodec) encode(value any) ([]byte, error) { return cbor.Marshal(value) }
