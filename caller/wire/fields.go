package wire

import (
	"maps"
	"slices"
)

// fieldSpec is a key of an encoded map and the variable that receives its value.
type fieldSpec struct {
	key  string
	dest any
}

// rawValue is an encoded value that is decoded later.
type rawValue []byte

// Encodings of null and undefined.
const (
	nullJSON      = "null"
	nullCBOR      = "\xf6"
	undefinedCBOR = "\xf7"
)

// empty reports whether the value is absent or null.
func (r rawValue) empty() bool {
	return len(r) == 0 || slices.Contains([]string{nullJSON, nullCBOR, undefinedCBOR}, string(r))
}

// readFields decodes an encoded map into fields and refuses other keys. Errors
// name the keys with prefix before them.
func readFields(c codec, data []byte, prefix string, fields []fieldSpec) error {
	values, err := c.splitObject(data)
	if err != nil {
		return fieldError(trimTrailingDot(prefix), "%v", err)
	}
	var first error
	for _, f := range fields {
		if value, ok := values[f.key]; ok {
			first = firstError(first, readField(c, value, prefix, f))
			delete(values, f.key)
		}
	}
	if len(values) > 0 {
		key := slices.Min(slices.Collect(maps.Keys(values)))
		return fieldError(prefix+truncateKey(key), "unknown; allowed are %v", allowedKeys(fields))
	}
	return first
}

func readField(c codec, value []byte, prefix string, f fieldSpec) error {
	if raw, ok := f.dest.(*rawValue); ok {
		*raw = value
		return nil
	}
	if err := c.decode(value, f.dest); err != nil {
		return fieldError(prefix+f.key, "%v", err)
	}
	return nil
}

// truncateKey limits how much of an unknown key an error text quotes.
func truncateKey(key string) string {
	if len(key) <= maxNameBytes {
		return key
	}
	return key[:maxNameBytes] + "..."
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func allowedKeys(fields []fieldSpec) []string {
	keys := make([]string, 0, len(fields))
	for _, f := range fields {
		keys = append(keys, f.key)
	}
	return keys
}

func trimTrailingDot(prefix string) string {
	if prefix == "" {
		return ""
	}
	return prefix[:len(prefix)-1]
}
