package scatter

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes. A shorter remainder at the end of
// a partial result is ignored.
const RecordSize = 16

// MergeTopK returns the greatest k records of the partial results in descending
// byte order. Equal records are all kept.
func MergeTopK(k int, results [][]byte) []byte {
	var records [][]byte
	for _, result := range results {
		for len(result) >= RecordSize {
			records = append(records, result[:RecordSize])
			result = result[RecordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(max(k, 0), len(records))], nil)
}
