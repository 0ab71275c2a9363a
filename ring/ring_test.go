package ring

import "testing"

func TestRingRefusesWhenFull(t *testing.T) {
	t.Parallel()
	r := New[int](2)
	for i, want := range []bool{true, true, false} {
		if got := r.Push(i); got != want {
			t.Errorf("push %d: got %v, want %v", i, got, want)
		}
	}
	if got, want := r.Refused(), uint64(1); got != want {
		t.Errorf("refused: got %d, want %d", got, want)
	}
	if got, want := <-r.Items(), 0; got != want {
		t.Errorf("first item: got %d, want %d", got, want)
	}
	if got, want := r.Len(), 1; got != want {
		t.Errorf("length: got %d, want %d", got, want)
	}
}
