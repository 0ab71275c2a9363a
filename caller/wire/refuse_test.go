package wire

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliashore/magnoliashore"
)

func TestDecodeQueryRefusesInvalidQuery(t *testing.T) {
	t.Parallel()
	request, ticket := magnoliashore.ReasonRequest, magnoliashore.ReasonTicket
	tooLong := strings.Repeat("x", 200)
	cases := []struct {
		text   string
		field  string
		reason magnoliashore.Reason
	}{
		{``, "", request},
		{`[]`, "", request},
		{`{"group":"g"`, "", request},
		{`{"group":"g"} {}`, "", request},
		{`{"group":"g","group":"h"}`, "", request},
		{`{"group":"g","Once":true}`, "Once", request},
		{`{"group":"g","extra":1}`, "extra", request},
		{`{}`, "group", request},
		{`{"group":"` + tooLong + `"}`, "group", request},
		{`{"group":7}`, "group", request},
		{`{"group":"g","id":"` + tooLong + `"}`, "id", request},
		{`{"group":"g","services":["a",""]}`, "services", request},
		{`{"group":"g","services":["a","a"]}`, "services", request},
		{`{"group":"g","body":"%"}`, "body", request},
		{`{"group":"g","deadline":0}`, "deadline", request},
		{`{"group":"g","deadline":-1}`, "deadline", request},
		{`{"group":"g","deadline":60001}`, "deadline", request},
		{`{"group":"g","deadline":1.5}`, "deadline", request},
		{`{"group":"g","deadline":"80ms"}`, "deadline", request},
		{`{"group":"g","merge":"worst"}`, "merge", request},
		{`{"group":"g","merge":"best"}`, "best", request},
		{`{"group":"g","best":3}`, "best", request},
		{`{"group":"g","once":1}`, "once", request},
		{`{"group":"g","once":true}`, "ticket", ticket},
		{`{"group":"g","ticket":{"seat":"e1"}}`, "ticket.seat", request},
		{`{"group":"g","ticket":7}`, "ticket", request},
		{`{"group":"g","ticket":{}}`, "ticket.host", ticket},
		{`{"group":"g","ticket":{"host":"e1","epoch":1,"id":"x"}}`, "ticket.incarnation", ticket},
		{`{"group":"g","ticket":{"host":"e1","incarnation":1,"id":"x"}}`, "ticket.epoch", ticket},
		{`{"group":"g","ticket":{"host":"e1","incarnation":1,"epoch":1}}`, "ticket.id", ticket},
		{`{"group":"g","ticket":{"host":"e1","incarnation":1,"epoch":1,"id":"` + tooLong + `"}}`, "ticket.id", ticket},
	}
	for _, c := range cases {
		checkRefused(t, JSON, []byte(c.text), c.field, c.reason)
		if data, ok := jsonToCBOR(t, c.text); ok {
			checkRefused(t, CBOR, data, c.field, c.reason)
		}
	}
}

func checkRefused(t *testing.T, format Format, data []byte, field string, reason magnoliashore.Reason) {
	t.Helper()
	_, err := DecodeQuery(format, data, now)
	var requestErr *RequestError
	if !errors.As(err, &requestErr) {
		t.Errorf("%s: got %v, want a RequestError", data, err)
		return
	}
	if requestErr.Field() != field || requestErr.Reason() != reason {
		t.Errorf("%s: got field %q and reason %q, want %q and %q", data, requestErr.Field(), requestErr.Reason(), field, reason)
	}
}

// jsonToCBOR converts JSON text to CBOR. It returns false if the text is not a
// single JSON value or contains the key group twice.
func jsonToCBOR(t *testing.T, text string) ([]byte, bool) {
	t.Helper()
	var value any
	if json.Unmarshal([]byte(text), &value) != nil || strings.Count(text, `"group"`) > 1 {
		return nil, false
	}
	data, err := cbor.Marshal(restoreIntegers(value))
	if err != nil {
		t.Fatal(err)
	}
	return data, true
}

// restoreIntegers converts whole numbers, which JSON decoding returns as floats,
// to integers.
func restoreIntegers(value any) any {
	switch v := value.(type) {
	case float64:
		if v == float64(int64(v)) {
			return int64(v)
		}
	case map[string]any:
		for key, field := range v {
			v[key] = restoreIntegers(field)
		}
	}
	return value
}

func TestDecodeQueryRefusesDuplicateCBORKey(t *testing.T) {
	t.Parallel()
	data := []byte("\xa2\x65group\x61g\x65group\x61h")
	checkRefused(t, CBOR, data, "", magnoliashore.ReasonRequest)
}
