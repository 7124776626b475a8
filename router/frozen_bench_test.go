package main

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/wire"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// BenchmarkFrozenCopy encodes the copy of a frozen window, of which each of frozenPeers peers gets two a window.
func BenchmarkFrozenCopy(b *testing.B) {
	for _, size := range []struct{ instances, workspaces int }{{8, 16}, {80, 90}, {400, 240}} {
		b.Run(fmt.Sprintf("instances=%d", size.instances), func(b *testing.B) {
			f := metering.Frozen{Window: 357e6, Epoch: 1 << 33, Counts: metering.Counts{}, Sources: map[string]int64{}}
			for n := range size.instances {
				f.Sources[fmt.Sprintf("front-a-%d/%s", n, uuid.NewString())] = time.Now().UnixMilli()
			}
			for n := range size.workspaces {
				f.Counts[wire.WorkspaceName(fmt.Sprint("workspace-", n))] = 1000
			}
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				data, err := cbor.Marshal(message{Frozen: &f, Era: 2})
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
			if bytes > maxFrozenBytes {
				b.Errorf("a copy has %d bytes, at most %d fit into a datagram", bytes, maxFrozenBytes)
			}
			b.ReportMetric(float64(bytes), "B/copy")
		})
	}
}
