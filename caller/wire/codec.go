package wire

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// maxNested bounds how deep a CBOR message may nest.
const maxNested = 16

// codec reads and writes the values of one format.
type codec interface {
	// object splits an encoded map into its encoded values; a key that comes
	// twice is an error.
	object(data []byte) (map[string][]byte, error)
	// decode reads one value. Unknown keys of a map are ignored.
	decode(data []byte, into any) error
	encode(value any) ([]byte, error)
}

type jsonCodec struct{}

func (jsonCodec) object(data []byte) (map[string][]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	start, err := decoder.Token()
	if err != nil {
		return nil, errors.Wrap(unexpected(err), "JSON")
	}
	if start != json.Delim('{') {
		return nil, errors.Newf("JSON: the message starts with %v; needed is an object", start)
	}
	fields := make(map[string][]byte)
	for decoder.More() {
		if err := jsonField(decoder, fields); err != nil {
			return nil, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, errors.Wrap(unexpected(err), "JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("JSON: something follows the object; allowed is nothing")
	}
	return fields, nil
}

func jsonField(decoder *json.Decoder, fields map[string][]byte) error {
	token, err := decoder.Token()
	if err != nil {
		return errors.Wrap(unexpected(err), "JSON")
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
		return errors.Wrapf(unexpected(err), "JSON: %s", key)
	}
	fields[key] = value
	return nil
}

// unexpected says that the text ended too early, where it did.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (jsonCodec) decode(data []byte, into any) error { return json.Unmarshal(data, into) }

func (jsonCodec) encode(value any) ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// cborMode returns the strict decoder, which is built once.
var cborMode = sync.OnceValues(func() (cbor.DecMode, error) {
	return cbor.DecOptions{
		DupMapKey:       cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels: maxNested,
	}.DecMode()
})

type cborCodec struct{}

func (c cborCodec) object(data []byte) (map[string][]byte, error) {
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

func (cborCodec) decode(data []byte, into any) error {
	mode, err := cborMode()
	if err != nil {
		return err
	}
	return mode.Unmarshal(data, into)
}

func (cborCodec) encode(value any) ([]byte, error) { return cbor.Marshal(value) }
