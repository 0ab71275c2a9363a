package scatter

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes. A shorter remainder at the end
// of a part is not a record.
const RecordSize = 16

// MergeTopK returns the greatest n records of the parts, the greatest first. Equal
// records all count.
func MergeTopK(n int, parts [][]byte) []byte {
	var records [][]byte
	for _, part := range parts {
		for len(part) >= RecordSize {
			records = append(records, part[:RecordSize])
			part = part[RecordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(n, len(records))], nil)
}
