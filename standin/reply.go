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
	FaultCross    = "cross"    // the reply carries another request's number
	FaultSlow     = "slow"     // requests take ten times as long
	FaultMute     = "mute"     // no reply ever comes
	FaultGarble   = "garble"   // the reply comes from another snapshot
)

const (
	bodyItems  = 3    // items of a reply
	scoreSteps = 1000 // distinct scores between two whole numbers
	scoreRange = 100  // scores are below this
)

// Faults lists what SetFault accepts.
func Faults() []string {
	return []string{FaultNone, FaultTruncate, FaultCross, FaultSlow, FaultMute, FaultGarble}
}

type wireItem struct {
	Score float64    `json:"score"`
	Item  wireResult `json:"item"`
}

type wireResult struct {
	Partition string `json:"partition"`
	Snapshot  uint64 `json:"snapshot"`
	Rank      int    `json:"rank"`
}

// Body returns the part that every healthy target answers for a partition in
// a snapshot: a JSON array of 3 scored items.
func Body(partition string, snapshot uint64) []byte {
	items := make([]wireItem, 0, bodyItems)
	for rank := range bodyItems {
		items = append(items, wireItem{
			Score: score(partition, snapshot, rank),
			Item:  wireResult{Partition: partition, Snapshot: snapshot, Rank: rank},
		})
	}
	data, err := json.Marshal(items)
	if err != nil {
		return nil
	}
	return data
}

// score returns a number from 0 to 100 with three decimals.
func score(partition string, snapshot uint64, rank int) float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s/%d/%d", partition, snapshot, rank)
	return float64(hash.Sum64()%(scoreRange*scoreSteps)) / scoreSteps
}

// reply writes the answer to a job that ran.
func (t *Target) reply(w http.ResponseWriter, j *job) {
	snapshot := j.ask.snapshot
	if j.fault == FaultGarble {
		snapshot++
	}
	request := j.ask.request
	if j.fault == FaultCross {
		request = otherRequest(j)
	}
	body := Body(j.ask.partition, snapshot)
	header := w.Header()
	header.Set(headerRequest, strconv.FormatUint(request, 10))
	header.Set(headerPartition, j.ask.partition)
	header.Set(headerSnapshot, strconv.FormatUint(snapshot, 10))
	header.Set(headerIncarnation, j.process)
	header.Set(headerState, stateName(j.left))
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if j.fault == FaultTruncate {
		body = body[:len(body)/2] // net/http then cuts the connection
	}
	_, _ = w.Write(body)
}

// otherRequest returns the number of the request before, where there is one.
func otherRequest(j *job) uint64 {
	if j.last == 0 || j.last == j.ask.request {
		return j.ask.request + 1
	}
	return j.last
}
