package standin_test

import (
	"slices"
	"testing"

	"cowslipshunt.example/shared/standin"
)

func TestJournalKeepsNewestEntriesInOrder(t *testing.T) {
	j := standin.NewJournal[int](3)
	for i := range 8 {
		j.Add(i)
		want := []int{i - 2, i - 1, i}
		if i < 2 {
			want = want[2-i:]
		}
		if got := j.All(); !slices.Equal(got, want) {
			t.Fatalf("after %d: got %v, want %v", i, got, want)
		}
	}
}

func TestTakeClearsSingleRequestFault(t *testing.T) {
	var f standin.Fault[int]
	f.Set(7)
	for i, want := range []int{7, 7, 0} {
		if got := f.Take(func(int) bool { return i == 1 }); got != want {
			t.Errorf("request %d: got %d, want %d", i, got, want)
		}
	}
}
