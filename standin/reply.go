package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
)

// The faults that SetFault accepts.
const (
	FaultNone     = ""
	FaultTruncate = "truncate" // the body is shorter than its Content-Length
	FaultCross    = "cross"    // the reply has the number of another request
	FaultSlow     = "slow"     // the service time is ten times as long
	FaultMute     = "mute"     // the target never replies
	FaultGarble   = "garble"   // the reply belongs to another snapshot
)

const (
	bodyItems  = 3    // items in a reply
	scoreSteps = 1000 // distinct scores per whole number
	scoreRange = 100  // exclusive upper bound of a score
)

// Faults lists the faults that SetFault accepts.
func Faults() []string {
	return []string{FaultNone, FaultTruncate, FaultCross, FaultSlow, FaultMute, FaultGarble}
}

type wireItem struct {
	Score float64    `json:"score"`
	Item  wireRecord `json:"item"`
}

type wireRecord struct {
	Partition string `json:"partition"`
	Snapshot  uint64 `json:"snapshot"`
	Rank      int    `json:"rank"`
}

// Body returns the partial result of every healthy target for a partition and a
// snapshot: a JSON array of 3 scored items.
func Body(partition string, snapshot uint64) []byte {
	items := make([]wireItem, 0, bodyItems)
	for rank := range bodyItems {
		items = append(items, wireItem{
			Score: score(partition, snapshot, rank),
			Item:  wireRecord{Partition: partition, Snapshot: snapshot, Rank: rank},
		})
	}
	data, err := json.Marshal(items)
	if err != nil {
		return nil
	}
	return data
}

// score derives a number from 0 to below 100, with three decimals, from a hash
// of its arguments.
func score(partition string, snapshot uint64, rank int) float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s/%d/%d", partition, snapshot, rank)
	return float64(hash.Sum64()%(scoreRange*scoreSteps)) / scoreSteps
}

// writeReply writes the reply of a completed job, altered by its fault.
func (t *Target) writeReply(w http.ResponseWriter, j *job) {
	snapshot := j.request.snapshot
	if j.fault == FaultGarble {
		snapshot++
	}
	request := j.request.number
	if j.fault == FaultCross {
		request = wrongRequestNumber(j)
	}
	body := Body(j.request.partition, snapshot)
	header := w.Header()
	header.Set(headerRequest, strconv.FormatUint(request, 10))
	header.Set(headerPartition, j.request.partition)
	header.Set(headerSnapshot, strconv.FormatUint(snapshot, 10))
	header.Set(headerIncarnation, j.incarnation)
	header.Set(headerState, stateName(j.coldAtEnd))
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if j.fault == FaultTruncate {
		body = body[:len(body)/2] // net/http then closes the connection
	}
	_, _ = w.Write(body)
}

// wrongRequestNumber returns the number of the previous request, or the next
// number if there is none or it is the same.
func wrongRequestNumber(j *job) uint64 {
	if j.previousRequest == 0 || j.previousRequest == j.request.number {
		return j.request.number + 1
	}
	return j.previousRequest
}
