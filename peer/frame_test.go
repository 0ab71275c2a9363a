package peer

import (
	"reflect"
	"testing"

	"github.com/magnoliashore/magnoliashore/timer"
)

// TestDecodedMessageKeepsNothingOfTheFrame overwrites a frame after it was
// decoded, as the next frame of the connection does.
func TestDecodedMessageKeepsNothingOfTheFrame(t *testing.T) {
	t.Parallel()
	codec, err := NewCodec(&timer.Service{})
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range []any{benchAnswers(3), benchHeartbeat()} {
		var sent, got history
		frame, err := codec.encode(nil, message, &sent)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := codec.decode(frame, &got)
		if err != nil {
			t.Fatal(err)
		}
		for i := range frame {
			frame[i] = 0xff
		}
		want, err := codec.decode(mustEncode(t, codec, message), new(history))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, want) {
			t.Errorf("%T: got %+v, want %+v", message, decoded, want)
		}
	}
}

func mustEncode(t *testing.T, codec *Codec, message any) []byte {
	t.Helper()
	frame, err := codec.encode(nil, message, new(history))
	if err != nil {
		t.Fatal(err)
	}
	return frame
}
