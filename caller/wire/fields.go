package wire

import (
	"maps"
	"slices"
)

// slot says where the value of one key goes.
type slot struct {
	key  string
	into any
}

// rawValue is a value that is read later.
type rawValue []byte

// The encodings of null and undefined.
const (
	nullJSON      = "null"
	nullCBOR      = "\xf6"
	undefinedCBOR = "\xf7"
)

// empty reports whether the value is absent or null.
func (r rawValue) empty() bool {
	return len(r) == 0 || slices.Contains([]string{nullJSON, nullCBOR, undefinedCBOR}, string(r))
}

// readFields reads an encoded map into slots, and refuses other keys. prefix
// comes before the keys in errors.
func readFields(c codec, data []byte, prefix string, slots []slot) error {
	values, err := c.object(data)
	if err != nil {
		return wrongField(trimDot(prefix), "%v", err)
	}
	var first error
	for _, s := range slots {
		if value, ok := values[s.key]; ok {
			first = earlier(first, readField(c, value, prefix, s))
			delete(values, s.key)
		}
	}
	if len(values) > 0 {
		key := slices.Min(slices.Collect(maps.Keys(values)))
		return wrongField(prefix+shorten(key), "unknown; allowed are %v", keys(slots))
	}
	return first
}

func readField(c codec, value []byte, prefix string, s slot) error {
	if raw, ok := s.into.(*rawValue); ok {
		*raw = value
		return nil
	}
	if err := c.decode(value, s.into); err != nil {
		return wrongField(prefix+s.key, "%v", err)
	}
	return nil
}

// shorten bounds how much of an unknown key is repeated to the caller.
func shorten(key string) string {
	if len(key) <= maxName {
		return key
	}
	return key[:maxName] + "..."
}

func earlier(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func keys(slots []slot) []string {
	out := make([]string, 0, len(slots))
	for _, s := range slots {
		out = append(out, s.key)
	}
	return out
}

func trimDot(prefix string) string {
	if prefix == "" {
		return ""
	}
	return prefix[:len(prefix)-1]
}
