package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers of the target's protocol.
const (
	headerRequest     = "Request"
	headerQuery       = "Query"
	headerPartition   = "Partition"
	headerSnapshot    = "Snapshot"
	headerRemaining   = "Remaining"
	headerDeadline    = "Deadline"
	headerOnce        = "Once"
	headerIncarnation = "Incarnation"
	headerState       = "State"
	headerRefused     = "Refused"
	headerWait        = "Wait"
)

// Values of the header Refused.
const (
	refusedShed     = "shed"
	refusedDrain    = "drain"
	refusedDeadline = "deadline"
	refusedSnapshot = "snapshot"
)

// ask is what one request asks for.
type ask struct {
	request   uint64
	query     string
	partition string
	snapshot  uint64
	deadline  time.Time // zero means none
	once      bool
}

// late reports whether the deadline is over.
func (a ask) late(now time.Time) bool {
	return !a.deadline.IsZero() && !now.Before(a.deadline)
}

func parseAsk(header http.Header, arrived time.Time) (ask, error) {
	a := ask{
		query:     header.Get(headerQuery),
		partition: header.Get(headerPartition),
		once:      header.Get(headerOnce) == "1",
	}
	var err error
	if a.request, err = parseNumber(header, headerRequest); err != nil {
		return ask{}, err
	}
	if a.snapshot, err = parseNumber(header, headerSnapshot); err != nil {
		return ask{}, err
	}
	if a.partition == "" {
		return ask{}, errors.Newf("header %s is missing", headerPartition)
	}
	a.deadline, err = parseDeadline(header, arrived)
	return a, err
}

// parseDeadline returns the earlier of the two deadlines that a request may
// state.
func parseDeadline(header http.Header, arrived time.Time) (time.Time, error) {
	var deadline time.Time
	if text := header.Get(headerRemaining); text != "" {
		left, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return deadline, errors.Wrapf(err, "header %s", headerRemaining)
		}
		deadline = arrived.Add(time.Duration(left) * time.Millisecond)
	}
	if text := header.Get(headerDeadline); text != "" {
		at, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return deadline, errors.Wrapf(err, "header %s", headerDeadline)
		}
		wall := time.UnixMilli(at)
		if deadline.IsZero() || wall.Before(deadline) {
			deadline = wall
		}
	}
	return deadline, nil
}

func parseNumber(header http.Header, name string) (uint64, error) {
	number, err := strconv.ParseUint(header.Get(name), 10, 64)
	return number, errors.Wrapf(err, "header %s", name)
}
