package promptblock_test

import (
	"slices"
	"strings"
	"testing"

	"cowslipshunt.example/shared/promptblock"
)

func TestNamesMatchExactlyUpToTheCommonPrefix(t *testing.T) {
	a := promptblock.Names(strings.Fields("a b c d e f g"), 2)
	b := promptblock.Names(strings.Fields("a b c x e f"), 2)
	if len(a) != 3 || len(b) != 3 || a[0] != b[0] || a[1] == b[1] || a[2] == b[2] {
		t.Errorf("names %v and %v", a, b)
	}
	if !slices.Equal(a[:2], promptblock.Names(strings.Fields("a b c d"), 2)) {
		t.Error("a longer prompt changed the names of its prefix")
	}
}

func TestKeysMatchExactlyUpToTheCommonPrefix(t *testing.T) {
	a := promptblock.Keys([]byte("abcdefg"), 2)
	b := promptblock.Keys([]byte("abcxef"), 2)
	if len(a) != 3 || len(b) != 3 || a[0] != b[0] || a[1] == b[1] || a[2] == b[2] {
		t.Errorf("keys %v and %v", a, b)
	}
}

func BenchmarkKeys(b *testing.B) {
	text := make([]byte, 32<<10)
	b.ReportAllocs()
	for b.Loop() {
		promptblock.Keys(text, 1024)
	}
}
