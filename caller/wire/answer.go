package wire

import (
	"strings"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// answerMessage is the wire format of an answer.
type answerMessage struct {
	ID       string          `json:"id"`
	Outcome  string          `json:"outcome"`
	Reason   string          `json:"reason"`
	Detail   string          `json:"detail"`
	After    int64           `json:"after"` // retry-after in milliseconds
	Snapshot uint64          `json:"snapshot"`
	Host     string          `json:"host"`
	Subs     int             `json:"subs"`
	Coverage coverageMessage `json:"coverage"`
	Parts    []partMessage   `json:"parts"`
	Items    []itemMessage   `json:"items"`
}

type coverageMessage struct {
	Covered int           `json:"covered"`
	Total   int           `json:"total"`
	Missing []missMessage `json:"missing"`
	Zones   []zoneMessage `json:"zones"`
}

type missMessage struct {
	Partition string `json:"partition"`
	Reason    string `json:"reason"`
}

type zoneMessage struct {
	Zone    string `json:"zone"`
	Covered int    `json:"covered"`
	Total   int    `json:"total"`
}

type partMessage struct {
	Partition string `json:"partition"`
	Target    string `json:"target"`
	Body      []byte `json:"body"`
}

type itemMessage struct {
	Score     float64  `json:"score"`
	Partition string   `json:"partition"`
	Item      jsonText `json:"item"`
}

// EncodeAnswer encodes an answer. It rounds the retry-after delay up to whole
// milliseconds.
func EncodeAnswer(format Format, answer magnoliashore.Answer) ([]byte, error) {
	message := answerMessage{
		ID:       string(answer.Query()),
		Outcome:  answer.Outcome().String(),
		Reason:   string(answer.Reason()),
		Detail:   strings.ToValidUTF8(answer.Detail(), "?"),
		After:    ceilMilliseconds(answer.RetryAfter()),
		Snapshot: uint64(answer.Snapshot()),
		Host:     string(answer.Host()),
		Subs:     answer.Subs(),
		Coverage: encodeCoverage(answer.Coverage()),
		Parts:    encodeParts(answer.Parts()),
		Items:    encodeItems(answer.Items()),
	}
	data, err := format.codec().encode(message)
	return data, magnoliashore.Step(err, "encode answer", "")
}

// DecodeAnswer decodes an answer and ignores unknown keys.
func DecodeAnswer(format Format, data []byte) (magnoliashore.Answer, error) {
	var m answerMessage
	if err := format.codec().decode(data, &m); err != nil {
		return magnoliashore.Answer{}, magnoliashore.Step(err, "decode answer", "")
	}
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query:      magnoliashore.QueryID(m.ID),
		Outcome:    magnoliashore.ParseOutcome(m.Outcome),
		Reason:     magnoliashore.Reason(m.Reason),
		Detail:     m.Detail,
		RetryAfter: time.Duration(m.After) * time.Millisecond,
		Snapshot:   magnoliashore.SnapshotID(m.Snapshot),
		Coverage:   decodeCoverage(m.Coverage),
		Parts:      decodeParts(m.Parts),
		Items:      decodeItems(m.Items),
		Subs:       m.Subs,
		Host:       magnoliashore.HostID(m.Host),
	}), nil
}

func encodeCoverage(c magnoliashore.Coverage) coverageMessage {
	m := coverageMessage{
		Covered: c.Covered(),
		Total:   c.Total(),
		Missing: make([]missMessage, 0, len(c.Missing())),
		Zones:   make([]zoneMessage, 0, len(c.Zones())),
	}
	for _, miss := range c.Missing() {
		m.Missing = append(m.Missing, missMessage{Partition: string(miss.Partition()), Reason: string(miss.Reason())})
	}
	for _, z := range c.Zones() {
		m.Zones = append(m.Zones, zoneMessage{Zone: string(z.Zone()), Covered: z.Covered(), Total: z.Total()})
	}
	return m
}

func decodeCoverage(m coverageMessage) magnoliashore.Coverage {
	missing := make([]magnoliashore.Miss, 0, len(m.Missing))
	for _, miss := range m.Missing {
		missing = append(missing, magnoliashore.NewMiss(
			magnoliashore.PartitionID(miss.Partition), magnoliashore.Reason(miss.Reason)))
	}
	zones := make([]magnoliashore.ZoneCoverage, 0, len(m.Zones))
	for _, z := range m.Zones {
		zones = append(zones, magnoliashore.NewZoneCoverage(magnoliashore.ZoneName(z.Zone), z.Covered, z.Total))
	}
	return magnoliashore.NewCoverage(m.Covered, m.Total, missing, zones)
}

func encodeParts(parts []magnoliashore.Part) []partMessage {
	messages := make([]partMessage, 0, len(parts))
	for _, p := range parts {
		messages = append(messages, partMessage{
			Partition: string(p.Partition()), Target: string(p.Target()), Body: p.Body(),
		})
	}
	return messages
}

func decodeParts(messages []partMessage) []magnoliashore.Part {
	parts := make([]magnoliashore.Part, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, magnoliashore.NewPart(
			magnoliashore.PartitionID(m.Partition), magnoliashore.TargetID(m.Target), m.Body))
	}
	return parts
}

func encodeItems(items []magnoliashore.Item) []itemMessage {
	messages := make([]itemMessage, 0, len(items))
	for _, item := range items {
		messages = append(messages, itemMessage{
			Score: item.Score(), Partition: string(item.Partition()), Item: jsonText(item.Body()),
		})
	}
	return messages
}

func decodeItems(messages []itemMessage) []magnoliashore.Item {
	items := make([]magnoliashore.Item, 0, len(messages))
	for _, m := range messages {
		items = append(items, magnoliashore.NewItem(m.Score, magnoliashore.PartitionID(m.Partition), m.Item))
	}
	return items
}

func ceilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}
