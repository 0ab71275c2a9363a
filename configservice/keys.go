package configservice

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// checkKeys rejects object keys that are duplicate or not in lower case, which
// the JSON decoder accepts. data must be valid JSON.
func checkKeys(data []byte) error {
	return checkValueKeys(json.NewDecoder(bytes.NewReader(data)))
}

func checkValueKeys(decoder *json.Decoder) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return checkObjectKeys(decoder)
	case json.Delim('['):
		return checkArrayKeys(decoder)
	default:
		return nil
	}
}

func checkObjectKeys(decoder *json.Decoder) error {
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
		if err := checkValueKeys(decoder); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}

func checkArrayKeys(decoder *json.Decoder) error {
	for decoder.More() {
		if err := checkValueKeys(decoder); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}
