package peer

import (
	"reflect"
	"testing"

	"github.com/magnoliashore/magnoliashore/timer"
)

// TestDecodeCopiesFrame overwrites a frame after it was decoded, as the next frame
// of the connection does. The decoded message must not change.
func TestDecodeCopiesFrame(t *testing.T) {
	t.Parallel()
	codec, err := NewCodec(&timer.Service{})
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range []any{benchAnswers(3), benchHeartbeat()} {
		var sent, received deltaState
		frame, err := codec.encode(nil, message, &sent)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := codec.decode(frame, &received)
		if err != nil {
			t.Fatal(err)
		}
		for i := range frame {
			frame[i] = 0xff
		}
		want, err := codec.decode(mustEncode(t, codec, message), new(deltaState))
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
	frame, err := codec.encode(nil, message, new(deltaState))
	if err != nil {
		t.Fatal(err)
	}
	return frame
}
