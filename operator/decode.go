package operator

import (
	"bytes"
	"encoding/csv"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// maxTableBytes is the maximum size of a published table.
const maxTableBytes = 1 << 20

// byteOrderMark is the prefix that spreadsheets write before UTF-8 text.
var byteOrderMark = []byte("\xef\xbb\xbf")

// DecodeTable parses the operators' table from CSV and validates it. The columns
// may come in any order, and empty rows are skipped. The error joins the faults
// of all cells, each with its line, its column and what is allowed. The result
// depends only on the arguments.
func DecodeTable(version magnoliashore.Version, data []byte) (magnoliashore.Table, error) {
	table, err := decodeTable(version, data)
	if err != nil {
		return magnoliashore.Table{}, magnoliashore.Step(err, "decode table", "")
	}
	return table, nil
}

func decodeTable(version magnoliashore.Version, data []byte) (magnoliashore.Table, error) {
	if len(data) > maxTableBytes {
		return magnoliashore.Table{}, errors.Newf("the table has %d bytes; allowed are at most %d", len(data), maxTableBytes)
	}
	found := &faults{}
	rows, err := readRows(data, found)
	if err != nil {
		return magnoliashore.Table{}, errors.Join(found.err(), err)
	}
	d := decoder{faults: found, firstLines: make(map[string]int)}
	for _, row := range rows {
		d.addRow(row)
	}
	d.checkTable()
	if err := found.err(); err != nil {
		return magnoliashore.Table{}, err
	}
	return magnoliashore.NewTable(version, d.services, d.zones), nil
}

// readRows returns the rows below the header.
func readRows(data []byte, found *faults) ([]parsedRow, error) {
	reader := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, byteOrderMark)))
	reader.FieldsPerRecord = -1
	header, err := reader.Read()
	if errors.Is(err, io.EOF) {
		return nil, errors.Newf("line 1: the header is missing; allowed is %s", strings.Join(columns(), ","))
	}
	if err != nil {
		return nil, errors.Wrap(err, "header")
	}
	if !checkHeader(header, found) {
		return nil, nil
	}
	return readRecords(reader, header, found)
}

func readRecords(reader *csv.Reader, header []string, found *faults) ([]parsedRow, error) {
	var rows []parsedRow
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return rows, nil
		}
		if err != nil {
			return rows, errors.Wrap(err, "rows")
		}
		if emptyRecord(record) {
			continue
		}
		line, _ := reader.FieldPos(0)
		if len(record) != len(header) {
			found.add(line, columnRow, "the row has %d columns; allowed are %d", len(record), len(header))
			continue
		}
		rows = append(rows, newParsedRow(line, header, record, found))
	}
}

func newParsedRow(line int, header, record []string, found *faults) parsedRow {
	values := make(map[string]string, len(record))
	for i, value := range record {
		values[strings.TrimSpace(header[i])] = strings.TrimSpace(value)
	}
	return parsedRow{line: line, values: values, faults: found}
}

func emptyRecord(record []string) bool {
	return !slices.ContainsFunc(record, func(value string) bool {
		return strings.TrimSpace(value) != ""
	})
}

// checkHeader reports whether the header has each column exactly once.
func checkHeader(header []string, found *faults) bool {
	seen := make(map[string]bool, len(header))
	for _, name := range header {
		name = strings.TrimSpace(name)
		switch {
		case !validColumn(name):
			found.add(1, name, "unknown; allowed are %s", strings.Join(columns(), ","))
		case seen[name]:
			found.add(1, name, "comes twice; each column is allowed once")
		}
		seen[name] = true
	}
	for _, name := range columns() {
		if !seen[name] {
			found.add(1, name, "missing; needed are %s", strings.Join(columns(), ","))
		}
	}
	return found.err() == nil
}
