package configservice

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// checkKeys refuses an object key that occurs twice or is not in lower case,
// both of which the JSON decoder accepts. data is valid JSON.
func checkKeys(data []byte) error {
	return walkValue(json.NewDecoder(bytes.NewReader(data)))
}

func walkValue(decoder *json.Decoder) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return walkObject(decoder)
	case json.Delim('['):
		return walkArray(decoder)
	default:
		return nil
	}
}

func walkObject(decoder *json.Decoder) error {
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		key, ok := token.(string)
		if !ok || key != strings.ToLower(key) {
			return errors.Newf("layout: unknown field %q at byte %d", token, decoder.InputOffset())
		}
		if seen[key] {
			return errors.Newf("layout: field %q occurs twice, at byte %d", key, decoder.InputOffset())
		}
		seen[key] = true
		if err := walkValue(decoder); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}

func walkArray(decoder *json.Decoder) error {
	for decoder.More() {
		if err := walkValue(decoder); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}
