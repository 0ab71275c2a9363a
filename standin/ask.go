package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers of the target protocol.
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

// Reasons for a refusal: the values of the header Refused.
const (
	refusedShed     = "shed"
	refusedDrain    = "drain"
	refusedDeadline = "deadline"
	refusedSnapshot = "snapshot"
)

// subRequest holds the headers of one request to a target.
type subRequest struct {
	number     uint64
	query      string
	partition  string
	snapshot   uint64
	deadline   time.Time // zero means no deadline
	atMostOnce bool
}

// expired reports whether the deadline has passed.
func (r subRequest) expired(now time.Time) bool {
	return !r.deadline.IsZero() && !now.Before(r.deadline)
}

func parseSubRequest(header http.Header, arrived time.Time) (subRequest, error) {
	r := subRequest{
		query:      header.Get(headerQuery),
		partition:  header.Get(headerPartition),
		atMostOnce: header.Get(headerOnce) == "1",
	}
	var err error
	if r.number, err = parseNumber(header, headerRequest); err != nil {
		return subRequest{}, err
	}
	if r.snapshot, err = parseNumber(header, headerSnapshot); err != nil {
		return subRequest{}, err
	}
	if r.partition == "" {
		return subRequest{}, errors.Newf("header %s is missing", headerPartition)
	}
	r.deadline, err = parseDeadline(header, arrived)
	return r, err
}

// parseDeadline returns the earlier of the two optional deadlines: Remaining,
// in milliseconds from arrival, and Deadline, a Unix time in milliseconds.
func parseDeadline(header http.Header, arrived time.Time) (time.Time, error) {
	var deadline time.Time
	if text := header.Get(headerRemaining); text != "" {
		remaining, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return deadline, errors.Wrapf(err, "header %s", headerRemaining)
		}
		deadline = arrived.Add(time.Duration(remaining) * time.Millisecond)
	}
	if text := header.Get(headerDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return deadline, errors.Wrapf(err, "header %s", headerDeadline)
		}
		absolute := time.UnixMilli(millis)
		if deadline.IsZero() || absolute.Before(deadline) {
			deadline = absolute
		}
	}
	return deadline, nil
}

func parseNumber(header http.Header, name string) (uint64, error) {
	number, err := strconv.ParseUint(header.Get(name), 10, 64)
	return number, errors.Wrapf(err, "header %s", name)
}
